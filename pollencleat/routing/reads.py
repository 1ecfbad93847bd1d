"""Chooses a replica for a read by its position, age and load."""

from collections.abc import Mapping
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.constants import SAMPLE_INTERVAL_S
from pollencleat.core.data import GroupTerm
from pollencleat.routing.freshness import is_primary_status, is_replica_status

AGE_LOAD_PER_S = 0.1
"""Load that one second of a replica's age counts as, in statements per slot."""

OTHER_DOMAIN_LOAD = 0.25
"""Load that another failure domain counts as, in statements per slot."""

MAX_ANSWER_AGE_S = 0.6
"""A replica whose last answer is older gets no reads."""


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """The group and the freshness that a read requires.

    Attributes:
        group_id: The group to read from.
        floor: Log position that the answer must include.
        max_age_s: Age limit of the answer; 0 for the primary only.
        wait_s: How long the read may wait for a replica to qualify.
    """

    group_id: str
    floor: int
    max_age_s: float
    wait_s: float = 0.0


def choose_replica(
    board: Blackboard,
    request: ReadRequest,
    load_by_server: Mapping[str, float],
    now_s: float,
    include_primary: bool = False,
) -> str | None:
    """Return the replica of the lowest cost that may serve a read.

    Args:
        board: The node's state.
        request: The read's requirements.
        load_by_server: Statements running or queued, divided by the server's slots.
        now_s: Local time.
        include_primary: Treat the known primary like a replica; for nodes without a
            write permit, which cannot tell whether it still is the primary.

    Returns:
        A server id, or None if no replica qualifies.
    """
    term = board.fleet.terms_by_group.get(request.group_id)
    group = board.inventory.groups_by_id.get(request.group_id)
    if term is None or group is None or request.max_age_s <= 0:
        return None
    best = None
    best_cost = float("inf")
    for server_id in group.server_ids:
        view = board.servers_by_id.get(server_id)
        if view is None or server_id in board.vms.leaving:
            continue
        if server_id == term.primary and not include_primary:
            continue
        if not can_serve(server_id, view, term, request, now_s):
            continue
        server = board.inventory.servers_by_id[server_id]
        cost = load_by_server.get(server_id, 0.0)
        cost += AGE_LOAD_PER_S * (now_s - view.fresh_as_of_s)
        if server.failure_domain != board.failure_domain:
            cost += OTHER_DOMAIN_LOAD
        if cost < best_cost:
            best = server_id
            best_cost = cost
    return best


def can_serve(
    server_id: str,
    view: ServerView,
    term: GroupTerm,
    request: ReadRequest,
    now_s: float,
) -> bool:
    """Return whether a server meets a read's floor and age limit.

    During a promotion the replicas still follow the former primary.  They may continue
    to serve reads up to the age limit: their freshness is not updated meanwhile, so
    that their age only grows.

    Args:
        server_id: The server.
        view: This node's view of it.
        term: The group's agreed term.
        request: The read's requirements.
        now_s: Local time.

    Returns:
        True if the server may serve the read.
    """
    status = view.status
    if status is None or view.refused_at_s is not None:
        return False
    if now_s - view.answered_at_s > MAX_ANSWER_AGE_S:
        return False
    if status.position < request.floor:
        return False
    if now_s - view.fresh_as_of_s > request.max_age_s:
        return False
    if term.primary:
        return is_replica_status(term, status) or is_primary_status(
            term, server_id, status
        )
    return status.read_only and bool(status.following)


def is_wait_worthwhile(board: Blackboard, request: ReadRequest, now_s: float) -> bool:
    """Return whether a replica will probably qualify within the read's wait.

    A replica with a lag of L seconds reaches the floor L seconds after the primary did.
    The wait is therefore compared with L less the time since the primary reached the
    floor, not with L itself.

    Args:
        board: The node's state.
        request: The read's requirements.
        now_s: Local time.

    Returns:
        True if a live replica should reach the floor by the end of the wait, estimated
        from position samples of the primary.
    """
    term = board.fleet.terms_by_group.get(request.group_id)
    if term is None or not term.primary or min(request.max_age_s, request.wait_s) <= 0:
        return False
    samples = board.primary_samples_by_group.get(request.group_id)
    if samples is None:
        return False
    written_at_s = samples.time_at_position(request.floor - 1)
    written_ago_s = 0.0 if written_at_s is None else now_s - written_at_s
    for server_id in board.inventory.groups_by_id[request.group_id].server_ids:
        view = board.servers_by_id.get(server_id)
        if view is None or view.status is None or server_id == term.primary:
            continue
        if view.refused_at_s is not None or server_id in board.vms.leaving:
            continue
        if not is_replica_status(term, view.status):
            continue
        lag_s = view.status_sent_at_s - view.fresh_as_of_s
        if lag_s - written_ago_s <= request.wait_s + SAMPLE_INTERVAL_S:
            return True
    return False
