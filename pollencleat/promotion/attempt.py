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
from pollencleat.core.constants import CLOCK_DRIFT, PERMIT_S, PROMISE_S
from pollencleat.core.data import (
    DatabaseGroup,
    GroupTerm,
    Promotion,
    ServerStatus,
    TermStart,
)

REMOVED_WAIT_S = max(PERMIT_S, PROMISE_S) * (1 + 3 * CLOCK_DRIFT)
"""A removed member holds no permit after this time."""


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
        slow_deadline_s: From then on no permit of an older term can be valid.
        waiting_for: Incarnations that have not confirmed.
        old_status: Status of the old primary after it was fenced.
        statuses_by_server: Answers in the current round of questions.
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
    old_status: ServerStatus | None = None
    chosen: str = ""
    start: TermStart | None = None
    statuses_by_server: dict[str, ServerStatus | None] = field(default_factory=dict)

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
    )


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
        known_for_s = now_s - board.removed_seen_at_s[incarnation]
        if known_for_s < REMOVED_WAIT_S:
            writers.add(incarnation)
    return writers


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


def has_every_acknowledged_commit(
    attempt: Attempt, group: DatabaseGroup, server_id: str
) -> bool:
    """Return whether no acknowledged commit can be missing from a chosen server.

    A commit that needs k replicas for its acknowledgement is on one of the replicas
    that were held unless k or more could not be asked; the chosen server is the most
    advanced of them.  Otherwise only the final position of the old primary tells.

    Args:
        attempt: With the answers of the current round; all who answered are held.
        group: The group.
        server_id: The chosen server.

    Returns:
        True if the choice is safe, or if the group does not promise to keep commits.
    """
    if not group.acknowledging_replicas or not attempt.promotion.old_primary:
        return True
    silent = [
        name
        for name in group.server_ids
        if name != attempt.promotion.old_primary
        and attempt.statuses_by_server.get(name) is None
    ]
    if len(silent) < group.acknowledging_replicas:
        return True
    old = attempt.old_status
    if old is None:
        old = attempt.statuses_by_server.get(attempt.promotion.old_primary)
    if old is None:
        return False
    status = attempt.statuses_by_server[server_id]
    return (status.last_entry_term, status.received_position) >= (
        old.last_entry_term,
        old.received_position,
    )


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
