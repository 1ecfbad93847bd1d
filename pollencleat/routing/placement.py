"""Chooses the server for a statement of a declared route.

There are two cases.  A read that any server with a recent enough log may run goes to
the server of the lowest cost, by its outstanding statements and its failure domain.
Other statements go to the primary.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.bounds import is_before
from pollencleat.core.data import Freshness, GroupTerm, Position, Route
from pollencleat.membership.permits import writable_term
from pollencleat.routing.tokens import later_of

AGE_MARGIN_S = 0.15
"""Seconds subtracted from age limits for the way from the client and to the server."""

OTHER_DOMAIN_COST = 2.0
"""Cost of a server in another failure domain, in outstanding statements."""

BEHIND_COST = 2.0
"""Cost of a server whose last reported position was too low, in statements."""

PRIMARY_COST = 0.5
"""Cost of a primary, which also runs all writes, in outstanding statements."""

UNANSWERED_LIMIT_S = 0.6
"""A server with a request unanswered for longer gets no reads."""


@dataclass(frozen=True, slots=True)
class Target:
    """The server chosen for a statement and the condition that makes its answer valid.

    Attributes:
        server_id: The chosen server.
        at_least: Log position that the server must have applied, or None.
        term: Term whose write permit must be valid, or None if `at_least` suffices.
    """

    server_id: str
    at_least: Position | None
    term: GroupTerm | None


def choose_for_read(
    board: Blackboard,
    route: Route,
    seen: Position | None,
    load_by_server: Mapping[str, float],
    excluded: Collection[str],
    now_s: float,
) -> Target | None:
    """Return the server for a read; the primary if no other server may be used.

    Args:
        board: The node's state.
        route: The declared route.
        seen: Log position of the session's newest commit, or None.
        load_by_server: Outstanding statements of each server, running or queued.
        excluded: Servers that were already tried for this read.
        now_s: Local time.

    Returns:
        The target, or None if no server is known to qualify.
    """
    if route.freshness is not Freshness.PRIMARY:
        target = _choose_by_position(
            board, route, seen, load_by_server, excluded, now_s
        )
        if target is not None:
            return target
    return choose_primary(board, route.group_id, excluded, now_s)


def choose_primary(
    board: Blackboard, group_id: str, excluded: Collection[str], now_s: float
) -> Target | None:
    """Return the primary if this node holds a valid write permit.

    Args:
        board: The node's state.
        group_id: The group.
        excluded: Servers that were already tried.
        now_s: Local time.

    Returns:
        The target, or None if there is no valid permit, the group has no primary, or
        the primary was already tried, is not in the inventory or has left.
    """
    term = writable_term(board, group_id, now_s)
    if term is None or term.primary in excluded:
        return None
    if term.primary not in board.inventory.servers_by_id:
        return None
    if has_left(board, term.primary, now_s):
        return None
    return Target(term.primary, None, term)


def has_left(board: Blackboard, server_id: str, now_s: float) -> bool:
    """Return whether a server that is leaving gets no new statements any more.

    Args:
        board: The node's state.
        server_id: The server.
        now_s: Local time.

    Returns:
        True from leaving_limit_s after the node learned that the server is leaving.
    """
    since_s = board.leaving_since_by_server.get(server_id)
    return since_s is not None and now_s - since_s >= board.leaving_limit_s


def _choose_by_position(
    board: Blackboard,
    route: Route,
    seen: Position | None,
    load_by_server: Mapping[str, float],
    excluded: Collection[str],
    now_s: float,
) -> Target | None:
    bounds = board.bounds_by_group.get(route.group_id)
    group = board.inventory.groups_by_id.get(route.group_id)
    if bounds is None or group is None:
        return None
    max_age_s = route.max_age_ms / 1000 - AGE_MARGIN_S
    age_floor = bounds.position_bound_since(now_s - max_age_s)
    if age_floor is None:
        return None
    at_least = later_of(seen, age_floor)
    term = board.group_term(route.group_id)
    primary = term.primary if term is not None else ""
    best = None
    best_cost = float("inf")
    for server_id in group.server_ids:
        if server_id in excluded or server_id not in load_by_server:
            continue
        view = board.server_view(server_id)
        if is_unavailable(view, now_s):
            continue
        cost = load_by_server[server_id]
        if board.inventory.servers_by_id[server_id].failure_domain != (
            board.failure_domain
        ):
            cost += OTHER_DOMAIN_COST
        if server_id == primary:
            cost += PRIMARY_COST
        elif view.applied is not None and is_before(view.applied, at_least):
            cost += BEHIND_COST
        if server_id in board.vms.leaving:
            continue
        if cost < best_cost:
            best = server_id
            best_cost = cost
    if best is None:
        return None
    return Target(best, at_least, None)


def is_unavailable(view: ServerView, now_s: float) -> bool:
    """Return whether a server should get no reads at present.

    Args:
        view: This node's view of the server.
        now_s: Local time.

    Returns:
        True if a request has been unanswered for too long, the server refuses
        connections, or reads avoid it after a gateway got no answer.
    """
    if view.refused_at_s is not None or now_s < view.backoff_until_s:
        return True
    return view.unanswered_for_s(now_s) > UNANSWERED_LIMIT_S
