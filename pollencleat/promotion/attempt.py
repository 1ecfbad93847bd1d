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

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import (
    MAX_CLOCK_DRIFT,
    PLATFORM_PERMIT_S,
    PROMISE_DURATION_S,
)
from pollencleat.core.data import (
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
        known_log_end_by_server: Last log entries known when the attempt began.
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
    known_log_end_by_server: dict[str, Position] = field(default_factory=dict)
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
        known_log_end_by_server={
            server_id: log_end
            for server_id, view in board.servers_by_id.items()
            if (log_end := view.note_reports()) is not None
        },
        history=term.history,
    )


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
