"""State and decisions of one promotion attempt.

An attempt replaces the primary of one database group.  It passes through these phases,
each of which ends on an event or at a deadline:

stopping
    Wait until no node writes under an older term: every possible writer has confirmed,
    or all write permits and promises of older terms have expired.
choosing
    Query the log positions of the group's servers and choose the most advanced server.
promoting
    Make the chosen server writable under the new term.
publishing
    Record the chosen server as primary in the fleet state.
"""

import enum
from dataclasses import dataclass, field

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.bounds import is_before, log_end_of
from pollencleat.core.constants import (
    MAX_CLOCK_DRIFT,
    PLATFORM_PERMIT_S,
    PROMISE_DURATION_S,
)
from pollencleat.core.data import (
    DatabaseGroup,
    GroupTerm,
    Position,
    Promotion,
    ServerLog,
    ServerStatus,
    TermStart,
)
from pollencleat.core.messages import SeenPosition
from pollencleat.promotion.suspicion import Suspicion

REMOVED_PERMIT_EXPIRY_S = max(PLATFORM_PERMIT_S, PROMISE_DURATION_S) * (
    1 + 3 * MAX_CLOCK_DRIFT
)
"""Seconds after its removal by which a member's write permit has expired."""

ORDER_MAX_READ_AGE_S = 2.0
"""Largest age in seconds of the platform read that permits a promote order.  It is
shorter than PROMOTER_TIMEOUT_S, after which another node takes the attempt over."""


class Phase(enum.StrEnum):
    """Phase of a promotion attempt."""

    STOPPING = "stopping"
    CHOOSING = "choosing"
    PROMOTING = "promoting"
    PUBLISHING = "publishing"


@dataclass
class Attempt:
    """State of one promotion that this node carries out.

    All times are local.

    Attributes:
        term: Agreed term that the attempt starts.
        log_term: Term sent to the database servers; it may differ from ``term``.
        stop_deadline_s: Time at which the stopping phase ends without the missing
            confirmations; by then all permits and promises of older terms have expired.
        unconfirmed_incarnations: Possible writers that have not confirmed that they
            stopped.
        phase_started_at_s: When the current phase started.
        servers_asked_at_s: When servers were last queried in the current phase.
        stop_sent_at_s: When StopWrites was last sent to the unconfirmed members.
        stop_resend_interval_s: Time until StopWrites is sent again.
        old_primary_status: Status of the old primary after it was fenced, or None.
        chosen_server_id: Server that becomes primary; empty before the choice.
        chosen_log_end: Last log entry that it had received when it was chosen, or None.
        start: Log position at which the chosen server started the term, or None.
        age_reference_s: Time from which the answer ages that members report are
            subtracted.  It is not later than any confirmation, so that answers appear
            older than they are.
        statuses_by_server: Answers in the current query round; None for a failure.
        seen_by_incarnation: Highest log position that each node had received from the
            group's primary when it stopped writing, by incarnation.
        reported_departed_logs: Departed logs that other members know and that may be
            needed.
        reported_covered_logs: Departed logs that other members know not to be needed.
        last_removal_at_s: When this node last learned of the removal of a member, which
            may have acknowledged commits until then.
        last_crash_at_s: When this node last learned of the removal of a member that had
            not resigned; such a member may have acknowledged commits until its permit
            had expired.
        known_position_by_server: Log positions known when the attempt began.
        is_promote_pending: A PromoteServer order is in progress.
        is_old_primary_asked: A probe of the old primary is in progress.
        is_withdrawn: The old primary still leads and is kept.
        are_follow_orders_sent: The other servers were ordered to follow the chosen one.
        history: Starts of the group's latest terms, the replaced one last.
        logged_choice: Server and reason to wait in the latest log line of the choice.
    """

    group_id: str
    term: int
    log_term: int
    promotion: Promotion
    started_at_s: float
    stop_deadline_s: float
    unconfirmed_incarnations: set[str]
    phase: Phase = Phase.STOPPING
    phase_started_at_s: float = 0.0
    servers_asked_at_s: float = -1e9
    stop_sent_at_s: float = -1e9
    stop_resend_interval_s: float = 0.0
    old_primary_status: ServerStatus | None = None
    chosen_server_id: str = ""
    chosen_log_end: Position | None = None
    start: TermStart | None = None
    age_reference_s: float = 0.0
    statuses_by_server: dict[str, ServerStatus | None] = field(default_factory=dict)
    seen_by_incarnation: dict[str, SeenPosition | None] = field(default_factory=dict)
    reported_departed_logs: set[ServerLog] = field(default_factory=set)
    reported_covered_logs: set[ServerLog] = field(default_factory=set)
    last_removal_at_s: float = -1e9
    last_crash_at_s: float = -1e9
    known_position_by_server: dict[str, int] = field(default_factory=dict)
    is_promote_pending: bool = False
    is_old_primary_asked: bool = False
    is_withdrawn: bool = False
    are_follow_orders_sent: bool = False
    history: tuple[TermStart, ...] = ()
    logged_choice: tuple[str, str] = ("", "")

    def enter(self, phase: Phase, now_s: float) -> None:
        """Switch to a phase and reset its query round.

        Args:
            phase: The next phase.
            now_s: Local time.
        """
        self.phase = phase
        self.phase_started_at_s = now_s
        self.servers_asked_at_s = -1e9
        self.statuses_by_server = {}


def begin_attempt(board: Blackboard, term: GroupTerm, now_s: float) -> Attempt:
    """Return the attempt for a promotion that the fleet state assigns to this node.

    Call this only once the start of the term is known to be in force, because the
    deadline of the stopping phase is computed from ``now_s``.

    Args:
        board: The node's state, with the new term adopted.
        term: The group's term record, with a promotion.
        now_s: Local time.

    Returns:
        An attempt in the stopping phase.
    """
    permits_expire_at_s = now_s + PLATFORM_PERMIT_S * (1 + 3 * MAX_CLOCK_DRIFT)
    stop_deadline_s = max(permits_expire_at_s, board.no_promotion_before_s)
    return Attempt(
        term.group_id,
        term.term,
        term.next_log_term,
        term.promotion,
        now_s,
        stop_deadline_s,
        find_possible_writers(board, now_s),
        phase_started_at_s=now_s,
        age_reference_s=now_s,
        seen_by_incarnation={
            board.incarnation: board.seen_positions(now_s).get(term.group_id)
        },
        last_crash_at_s=board.last_crash_at_s(),
        last_removal_at_s=max(board.removal_learned_at_s.values(), default=-1e9),
        known_position_by_server={
            server_id: find_known_position(view)
            for server_id, view in board.servers_by_id.items()
        },
        history=term.history,
    )


def find_known_position(view: ServerView) -> int:
    """Return the highest log position, of any term, in a server's latest reports."""
    reported = [0]
    if view.status is not None:
        reported.append(view.status.received_position)
    if view.applied is not None:
        reported.append(view.applied.position)
    return max(reported)


def can_keep_old_primary(attempt: Attempt) -> bool:
    """Return whether the old primary may be kept if it answers again.

    This is allowed only while no server has received an order: during the stopping
    phase of the first attempt since the primary was published.  Orders of an earlier
    attempt may still be in flight.

    Args:
        attempt: The attempt.

    Returns:
        True for the first attempt to replace a lost primary, while it is stopping.
    """
    is_first = attempt.promotion.cause == Suspicion.LOST.value
    return is_first and attempt.phase is Phase.STOPPING


def is_current_promoter(
    board: Blackboard, group_id: str, term: int, now_s: float
) -> bool:
    """Return whether this node's attempt is certainly still the current one.

    Call this right before an order is sent.  An attempt is taken over only after its
    promoter has not answered for longer than ORDER_MAX_READ_AGE_S, and a node that was
    suspended resumes with an outdated platform read.

    Args:
        board: The node's state.
        group_id: The group.
        term: Term of the attempt.
        now_s: Local time, suspended time included.

    Returns:
        True if a recent platform read showed this node as the promoter of the term.
    """
    record = board.group_term(group_id)
    if record is None or record.term != term or record.promotion is None:
        return False
    if record.promotion.incarnation != board.incarnation:
        return False
    return now_s - board.fleet_confirmed_at_s < ORDER_MAX_READ_AGE_S


def find_possible_writers(board: Blackboard, now_s: float) -> set[str]:
    """Return the incarnations that may still write under an older term.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        All other members, and members that were removed without having resigned and
        whose permit may not have expired.
    """
    writers = {
        member.incarnation
        for member in board.fleet.members_by_id.values()
        if member.incarnation != board.incarnation
    }
    for incarnation, entry in board.fleet.removed_by_incarnation.items():
        if entry.resigned or incarnation == board.incarnation:
            continue
        if not has_permit_expired(board, incarnation, now_s):
            writers.add(incarnation)
    return writers


def has_permit_expired(board: Blackboard, incarnation: str, now_s: float) -> bool:
    """Return whether the write permit of a removed process has expired.

    Args:
        board: The node's state.
        incarnation: The process.
        now_s: Local time.

    Returns:
        False for members and for processes that were removed less than
        REMOVED_PERMIT_EXPIRY_S ago.
    """
    removed_at_s = board.removal_learned_at_s.get(incarnation)
    return removed_at_s is not None and now_s - removed_at_s >= REMOVED_PERMIT_EXPIRY_S


def choose_server(
    attempt: Attempt, server_ids: tuple[str, ...], leaving: tuple[str, ...]
) -> str | None:
    """Return the most advanced server that answered.

    Servers are compared by the term of their last log entry, then by log position.  A
    leaving server acknowledges commits until it ends, so it is passed over only for a
    server with the same log.  A server that has lost its log is not chosen while
    another server does not answer.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_ids: The group's servers in declared order.
        leaving: Servers that are about to shut down.

    Returns:
        A server id, or None if no server qualifies.
    """
    answered = [
        server_id
        for server_id in server_ids
        if attempt.statuses_by_server.get(server_id)
    ]
    if len(answered) < len(server_ids):
        # The missing servers may still have the log entries that these have lost.
        answered = [
            candidate for candidate in answered if not has_lost_log(attempt, candidate)
        ]
    best = None
    best_key = (-1, -1, False, False)
    for server_id in find_successors(attempt, answered) or answered:
        status = attempt.statuses_by_server[server_id]
        is_staying = server_id not in leaving
        # A server that is already writable is preferred as a group's first primary.
        is_primary = not attempt.promotion.old_primary and not status.read_only
        key = (status.last_entry_term, status.received_position, is_staying, is_primary)
        if key > best_key:
            best = server_id
            best_key = key
    return best


def find_successors(attempt: Attempt, answered: list[str]) -> list[str]:
    """Return the servers that can succeed the old primary.

    Args:
        attempt: The attempt, with the answers of the current round.
        answered: Servers that answered.

    Returns:
        In a planned change, the other servers that have everything with which the old
        primary began its term; otherwise all.
    """
    if not attempt.promotion.planned:
        return answered
    return [
        server_id
        for server_id in answered
        if server_id != attempt.promotion.old_primary
        and has_start_of_replaced_term(attempt, server_id)
    ]


def has_start_of_replaced_term(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server has everything with which the old primary began its term.

    Commits of older terms may be in the old primary's log alone until other servers
    have received its log up to there.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_id: A server that answered.

    Returns:
        True if the server's log reaches the start of the term that is replaced.
    """
    log_end = log_end_of(attempt.statuses_by_server[server_id])
    return reaches_latest_term(attempt.history, log_end)


def reaches_latest_term(history: tuple[TermStart, ...], log_end: Position) -> bool:
    """Return whether a log has every entry with which the latest term began.

    A log that ends in an older term can be longer and still lack entries, because a
    promotion rolls back what the new primary did not have.

    Args:
        history: Starts of a group's latest terms, oldest first.
        log_end: Term and position of the log's last entry.

    Returns:
        True if the log reaches the start of the last term, or if there was no term.
    """
    if not history:
        return True
    common_position = log_end.position
    for start in history:
        if start.term > log_end.term:
            common_position = min(common_position, start.start_position)
    return common_position >= history[-1].start_position


def has_lost_log(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server restarted without its former log.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_id: A server.

    Returns:
        True if its log is empty now and was not empty when the attempt began; False if
        it has not answered.
    """
    status = attempt.statuses_by_server.get(server_id)
    if status is None:
        return False
    if not status.read_only and status.term >= attempt.log_term:
        # This attempt has already promoted the server, and the answer was lost.
        return False
    known = attempt.known_position_by_server.get(server_id, 0)
    return status.received_position == 0 and known > 0


def has_every_acknowledged_commit(
    attempt: Attempt,
    group: DatabaseGroup,
    server_id: str,
    unregistered: tuple[str, ...] = (),
) -> bool:
    """Return whether a chosen server certainly has every acknowledged commit.

    What the old primary began its term with was acknowledged under older terms, and
    may be in its log alone, so the chosen server must have received that.  A later
    commit that k replicas must acknowledge is on at least one held replica unless k or
    more replicas did not answer or have lost their logs; the chosen server is the most
    advanced of those that answered.  Otherwise, the chosen server's log must reach the
    final position of the old primary, or the highest position that any node has
    received from it: every acknowledgement passed through one of the nodes.

    Args:
        attempt: The attempt, with the answers of the current round; every server that
            answered is held.
        group: The group.
        server_id: The chosen server.
        unregistered: Replicas that are no longer registered, but may have commits.

    Returns:
        True if no acknowledged commit can be lost, or if the group does not require
        replicas to acknowledge commits.
    """
    old_primary = attempt.promotion.old_primary
    if not group.acknowledging_replicas or not old_primary:
        return True
    unanswered = {
        replica_id
        for replica_id in (*group.server_ids, *unregistered)
        if attempt.statuses_by_server.get(replica_id) is None
        or has_lost_log(attempt, replica_id)
    }
    if attempt.statuses_by_server.get(old_primary) is None:
        unanswered.add(old_primary)
    if unanswered and not has_start_of_replaced_term(attempt, server_id):
        return False
    unanswered.discard(old_primary)
    if len(unanswered) < group.acknowledging_replicas:
        return True
    old_status = attempt.old_primary_status
    if old_status is None:
        old_status = attempt.statuses_by_server.get(old_primary)
    status = attempt.statuses_by_server[server_id]
    log_end = (status.last_entry_term, status.received_position)
    if (
        old_status is not None
        and is_final_position_reliable(attempt, old_status)
        and log_end >= (old_status.last_entry_term, old_status.received_position)
    ):
        return True
    seen = find_acknowledgement_bound(attempt)
    return seen is not None and log_end >= (seen.term, seen.position)


def has_old_primary_final_log(attempt: Attempt) -> bool:
    """Return whether the old primary answers and has every commit it acknowledged.

    Args:
        attempt: The attempt, with the answers of the current round.

    Returns:
        True if it may lead again, for instance because its entry had only expired.
    """
    old_primary = attempt.promotion.old_primary
    status = attempt.statuses_by_server.get(old_primary)
    if status is None or has_lost_log(attempt, old_primary):
        return False
    return is_final_position_reliable(attempt, status)


def is_final_position_reliable(attempt: Attempt, old_status: ServerStatus) -> bool:
    """Return whether the old primary's log still has all commits it acknowledged.

    Args:
        attempt: The attempt, with the log positions that the members have seen.
        old_status: The old primary's status after it was fenced.

    Returns:
        False if the primary lost its role without being fenced, if it has followed a
        later primary, or if its log ends before the start of its own term or a position
        that it reported earlier: it has restarted since, possibly with an empty log.
    """
    if attempt.promotion.cause == Suspicion.DEMOTED.value:
        return False
    if old_status.term >= attempt.log_term:
        return False
    known = attempt.known_position_by_server.get(attempt.promotion.old_primary, 0)
    if old_status.received_position < known:
        return False
    if not reaches_latest_term(attempt.history, log_end_of(old_status)):
        return False
    for seen in attempt.seen_by_incarnation.values():
        if seen is None:
            continue
        reported = (seen.position.term, seen.position.position)
        if (old_status.last_entry_term, old_status.received_position) < reported:
            return False
    return True


def find_acknowledgement_bound(attempt: Attempt) -> Position | None:
    """Return an upper bound of the positions of all acknowledged commits.

    Args:
        attempt: The attempt, with the log positions that the members have seen.

    Returns:
        The highest position that any member has seen; None if a possible writer has not
        confirmed, or if a removed member may have acknowledged a later commit.
    """
    if attempt.unconfirmed_incarnations:
        return None
    highest = None
    newest_seen_at_s = -1e9
    for seen in attempt.seen_by_incarnation.values():
        if seen is None:
            continue
        newest_seen_at_s = max(newest_seen_at_s, attempt.age_reference_s - seen.age_s)
        if highest is None or is_before(highest, seen.position):
            highest = seen.position
    removed_until_s = max(
        attempt.last_removal_at_s, attempt.last_crash_at_s + REMOVED_PERMIT_EXPIRY_S
    )
    return highest if newest_seen_at_s > removed_until_s else None


def is_caught_up(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server has applied all known log entries.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_id: The chosen server.

    Returns:
        True if it has applied all entries that it received and, if the old primary was
        fenced, all entries that the old primary had applied.
    """
    status = attempt.statuses_by_server[server_id]
    if status.position < status.received_position:
        return False
    old_status = attempt.old_primary_status
    if old_status is None:
        return True
    return (status.last_entry_term, status.position) >= (
        old_status.last_entry_term,
        old_status.position,
    )


def format_log_end(status: ServerStatus | None) -> str:
    """Return the last entry that a server received, for logs.

    Args:
        status: The server's status, or None.

    Returns:
        Term and position; empty without a status.
    """
    if status is None:
        return ""
    return f"{status.last_entry_term}.{status.received_position}"
