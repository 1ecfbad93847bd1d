"""One change of primary, from the start of its term to the published primary.

An attempt passes through phases, each of which ends by an event or a deadline:

stopping
    Wait until nobody writes under an older term: either every member that could
    has confirmed, or all permits and promises must have lapsed.
choosing
    Ask the group's servers for their positions and take the most advanced one.
promoting
    Make that server writable under the new term.
publishing
    Write its name into the fleet state.
"""

import enum
from dataclasses import dataclass, field

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import is_before
from pollencleat.core.constants import CLOCK_DRIFT, PERMIT_S, PROMISE_S
from pollencleat.core.data import (
    DatabaseGroup,
    GroupTerm,
    Position,
    Promotion,
    ServerStatus,
    TermStart,
)
from pollencleat.core.messages import SeenPosition
from pollencleat.promotion.suspicion import Suspicion

REMOVED_WAIT_S = max(PERMIT_S, PROMISE_S) * (1 + 3 * CLOCK_DRIFT)
"""A removed member holds no permit after this time."""

NAME_WITHIN_S = 2.0
"""Largest age of the platform read on which the order to a new primary may rest; below
the silence after which another node takes an attempt over."""


class Phase(enum.StrEnum):
    """How far an attempt has come."""

    STOPPING = "stopping"
    CHOOSING = "choosing"
    PROMOTING = "promoting"
    PUBLISHING = "publishing"


@dataclass
class Attempt:
    """State of one promotion that this node carries out.

    Attributes:
        log_term: Term for orders to servers.
        stopped_at_s: When the first confirmation arrived, at the latest; ages that
            members told are counted from here, which makes answers seem older.
        slow_deadline_s: From then on no permit of an older term can be valid.
        waiting_for: Incarnations that have not confirmed.
        told_at_s: When the members that still owe a confirmation were last told.
        tell_again_s: Pause until they are told again.
        old_status: Status of the old primary after it was fenced.
        statuses_by_server: Answers in the current round of questions.
        seen_by_member: By incarnation, what each node that stopped writing had been
            told of the group's log.
        position_by_server: What this node knew of each server's log beforehand.
        is_order_open: A server has been ordered to lead, with no result yet.
        is_old_asked: The old primary has been asked whether it leads still.
        is_withdrawn: The old primary leads still and stays in office.
        are_replicas_ordered: The others were told to follow the chosen server.
        crashed_at_s: Until when a member that cannot tell any more may have
            acknowledged commits.
    """

    group_id: str
    term: int
    log_term: int
    promotion: Promotion
    started_at_s: float
    slow_deadline_s: float
    waiting_for: set[str]
    phase: Phase = Phase.STOPPING
    phase_since_s: float = 0.0
    asked_at_s: float = -1e9
    told_at_s: float = -1e9
    tell_again_s: float = 0.0
    old_status: ServerStatus | None = None
    chosen: str = ""
    start: TermStart | None = None
    stopped_at_s: float = 0.0
    statuses_by_server: dict[str, ServerStatus | None] = field(default_factory=dict)
    seen_by_member: dict[str, SeenPosition | None] = field(default_factory=dict)
    crashed_at_s: float = -1e9
    position_by_server: dict[str, int] = field(default_factory=dict)
    is_order_open: bool = False
    is_old_asked: bool = False
    is_withdrawn: bool = False
    are_replicas_ordered: bool = False

    def enter(self, phase: Phase, now_s: float) -> None:
        """Go on to a phase.

        Args:
            phase: The next phase.
            now_s: Local time.
        """
        self.phase = phase
        self.phase_since_s = now_s
        self.asked_at_s = -1e9
        self.statuses_by_server = {}


def begin_attempt(board: Blackboard, term: GroupTerm, now_s: float) -> Attempt:
    """Return the attempt that the fleet state names this node for.

    Must be called once the start of the term is known to be in force: the deadline is
    counted from that time.

    Args:
        board: The node's state, with the new term adopted.
        term: The group's term record.
        now_s: Local time.

    Returns:
        An attempt in its first phase.
    """
    permits_lapse_at_s = now_s + PERMIT_S * (1 + 3 * CLOCK_DRIFT)
    slow_deadline_s = max(permits_lapse_at_s, board.promised_until_s)
    return Attempt(
        term.group_id,
        term.term,
        term.next_log_term,
        term.promotion,
        now_s,
        slow_deadline_s,
        find_possible_writers(board, now_s),
        phase_since_s=now_s,
        stopped_at_s=now_s,
        seen_by_member={
            board.incarnation: board.seen_positions(now_s).get(term.group_id)
        },
        crashed_at_s=find_newest_crash(board),
        position_by_server={
            server_id: view.status.received_position
            for server_id, view in board.servers_by_id.items()
            if view.status is not None
        },
    )


def may_withdraw(attempt: Attempt) -> bool:
    """Return whether the old primary may stay in office if it answers again.

    Only while nothing was done to any server: in the first phase, and in the first
    attempt since the primary was published, for the orders of an earlier one may still
    be on their way.

    Args:
        attempt: The attempt.

    Returns:
        True for the replacement of a primary that was silent.
    """
    is_first = attempt.promotion.cause == Suspicion.LOST.value
    return is_first and attempt.phase is Phase.STOPPING


def find_newest_crash(board: Blackboard) -> float:
    """Return until when a member that did not resign may have acknowledged commits.

    Args:
        board: The node's state.

    Returns:
        Local time; an answer to a request sent later covers all it acknowledged.
    """
    newest_s = -1e9
    for incarnation, entry in board.fleet.removed_by_incarnation.items():
        if not entry.resigned:
            newest_s = max(newest_s, board.removed_seen_at_s[incarnation])
    return newest_s


def may_name_primary(board: Blackboard, group_id: str, term: int, now_s: float) -> bool:
    """Return whether this node's attempt is certainly still the current one.

    Asked right before the order is sent: an attempt is taken over only after its owner
    has been silent for longer than NAME_WITHIN_S, and a suspended node wakes up with an
    old read.

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
    return now_s - board.fresh_at_s < NAME_WITHIN_S


def find_possible_writers(board: Blackboard, now_s: float) -> set[str]:
    """Return the incarnations that may still write under an older term.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        All other members, and members that were removed a short time ago without
        having resigned.
    """
    writers = {
        member.incarnation
        for member in board.fleet.members_by_id.values()
        if member.incarnation != board.incarnation
    }
    for incarnation, entry in board.fleet.removed_by_incarnation.items():
        if entry.resigned or incarnation == board.incarnation:
            continue
        if not has_permit_lapsed(board, incarnation, now_s):
            writers.add(incarnation)
    return writers


def has_permit_lapsed(board: Blackboard, incarnation: str, now_s: float) -> bool:
    """Return whether a process holds no permit because it was removed long enough ago.

    Args:
        board: The node's state.
        incarnation: The process.
        now_s: Local time.

    Returns:
        False for members and for processes that were removed lately.
    """
    removed_at_s = board.removed_seen_at_s.get(incarnation)
    return removed_at_s is not None and now_s - removed_at_s >= REMOVED_WAIT_S


def choose_server(
    attempt: Attempt, server_ids: tuple[str, ...], leaving: tuple[str, ...]
) -> str | None:
    """Return the most advanced server that answered.

    Args:
        attempt: With the answers of the current round.
        server_ids: The group's servers in declared order.
        leaving: Servers that must not become primary unless they are the only ones.

    Returns:
        A server id, or None if no server answered.
    """
    answered = [
        server_id
        for server_id in server_ids
        if attempt.statuses_by_server.get(server_id)
    ]
    if len(answered) < len(server_ids):
        # The silent ones may still have what these have lost.
        answered = [name for name in answered if not has_lost_log(attempt, name)]
    staying = [server_id for server_id in answered if server_id not in leaving]
    best = None
    best_key = (-1, -1, False)
    for server_id in staying or answered:
        status = attempt.statuses_by_server[server_id]
        # With no primary agreed before, one that leads already is kept.
        is_primary = not attempt.promotion.old_primary and not status.read_only
        key = (status.last_entry_term, status.received_position, is_primary)
        if key > best_key:
            best = server_id
            best_key = key
    return best


def has_lost_log(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server started again with nothing of what it had.

    Args:
        attempt: With the answers of the current round.
        server_id: A server that answered.

    Returns:
        True if its log is empty and this node knows that it was not.
    """
    status = attempt.statuses_by_server[server_id]
    if not status.read_only and status.term >= attempt.log_term:
        # This attempt has promoted it already, and the answer was lost.
        return False
    known = attempt.position_by_server.get(server_id, 0)
    return status.received_position == 0 and known > 0


def has_every_acknowledged_commit(
    attempt: Attempt,
    group: DatabaseGroup,
    server_id: str,
    lapsed: tuple[str, ...] = (),
) -> bool:
    """Return whether no acknowledged commit can be missing from a chosen server.

    A commit that needs k replicas for its acknowledgement is on one of the replicas
    that were held unless k or more could not be asked; the chosen server is the most
    advanced of them.  Otherwise the final position of the old primary tells, or what
    the nodes were told: every acknowledgement passed through one of them.

    Args:
        attempt: With the answers of the current round; all who answered are held.
        group: The group.
        server_id: The chosen server.
        lapsed: Replicas that are not registered any more, but may hold commits.

    Returns:
        True if the choice is safe, or if the group does not promise to keep commits.
    """
    if not group.acknowledging_replicas or not attempt.promotion.old_primary:
        return True
    silent = [
        name
        for name in (*group.server_ids, *lapsed)
        if name != attempt.promotion.old_primary
        and attempt.statuses_by_server.get(name) is None
    ]
    if len(silent) < group.acknowledging_replicas:
        return True
    old = attempt.old_status
    if old is None:
        old = attempt.statuses_by_server.get(attempt.promotion.old_primary)
    status = attempt.statuses_by_server[server_id]
    log_end = (status.last_entry_term, status.received_position)
    if (
        old is not None
        and tells_final_position(attempt, old)
        and log_end >= (old.last_entry_term, old.received_position)
    ):
        return True
    seen = find_highest_seen(attempt)
    return seen is not None and log_end >= (seen.term, seen.position)


def tells_final_position(attempt: Attempt, old: ServerStatus) -> bool:
    """Return whether an old primary's log still holds all that it acknowledged.

    Args:
        attempt: With what the members were told.
        old: The old primary's status after it was fenced.

    Returns:
        False if it had lost its role by itself, or has less than it has told before: it
        started again, maybe with nothing.
    """
    if attempt.promotion.cause == Suspicion.DEMOTED.value:
        return False
    for seen in attempt.seen_by_member.values():
        if seen is None:
            continue
        told = (seen.position.term, seen.position.position)
        if (old.last_entry_term, old.received_position) < told:
            return False
    return True


def find_highest_seen(attempt: Attempt) -> Position | None:
    """Return a position that no acknowledged commit lies beyond.

    Args:
        attempt: With what the members told.

    Returns:
        The highest position that any member was told; None if one has not answered, or
        if a member that crashed may have acknowledged later ones.
    """
    if attempt.waiting_for:
        return None
    highest = None
    newest_s = -1e9
    for seen in attempt.seen_by_member.values():
        if seen is None:
            continue
        newest_s = max(newest_s, attempt.stopped_at_s - seen.age_s)
        if highest is None or is_before(highest, seen.position):
            highest = seen.position
    return highest if newest_s > attempt.crashed_at_s else None


def is_caught_up(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server has applied everything that is known to exist.

    Args:
        attempt: With the answers of the current round.
        server_id: The chosen server.

    Returns:
        True if it applied all it received and, if the old primary could be asked,
        all that the old primary had.
    """
    status = attempt.statuses_by_server[server_id]
    if status.position < status.received_position:
        return False
    old = attempt.old_status
    if old is None:
        return True
    return (status.last_entry_term, status.position) >= (
        old.last_entry_term,
        old.position,
    )
