"""Which server runs a statement of a declared route.

Answers two load patterns: reads that any server with a recent enough log may run, which
are spread by what is in use and how far away the server is; and work that only the
primary may run, which leaves no choice.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.bounds import is_before
from pollencleat.core.data import Freshness, GroupTerm, Position, Route
from pollencleat.membership.permits import writable_term
from pollencleat.routing.tokens import later_of

AGE_MARGIN_S = 0.15
"""Kept back from an age limit for the way from the caller and to the server."""

OTHER_DOMAIN_COST = 2.0
"""Statements in use that a server in another failure domain counts as."""

BEHIND_COST = 2.0
"""Statements in use that a server counts as which was behind when it last answered."""

PRIMARY_COST = 0.5
"""Statements in use that a primary counts as, which also has all writes to run."""

QUIET_S = 0.6
"""A server that has left a request unanswered for this long is not read from."""


@dataclass(frozen=True, slots=True)
class Target:
    """Where a statement goes, and what its answer rests on.

    Attributes:
        at_least: Position that the server must have applied, or None.
        term: Term whose permit the answer rests on, or None if the position suffices.
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
    """Return the server that a read should go to.

    Args:
        board: The node's state.
        route: The declared route.
        seen: Newest commit of the session itself, or None.
        load_by_server: Statements in use or waiting at each server.
        excluded: Servers that have been tried for this read.
        now_s: Local time.

    Returns:
        The target, or None if no server is known to be able to answer.
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
    """Return the primary under a valid permit.

    Args:
        board: The node's state.
        group_id: The group.
        excluded: Servers that have been tried.
        now_s: Local time.

    Returns:
        The target, or None without a permit, a primary or a server at its address.
    """
    term = writable_term(board, group_id, now_s)
    if term is None or term.primary in excluded:
        return None
    if term.primary not in board.inventory.servers_by_id:
        return None
    return Target(term.primary, None, term)


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
    covered = bounds.position_since(now_s - max_age_s)
    if covered is None:
        return None
    at_least = later_of(seen, covered)
    term = board.group_term(route.group_id)
    primary = term.primary if term is not None else ""
    best = None
    best_cost = float("inf")
    for server_id in group.server_ids:
        if server_id in excluded or server_id not in load_by_server:
            continue
        view = board.server(server_id)
        if is_quiet(view, now_s):
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


def is_quiet(view: ServerView, now_s: float) -> bool:
    """Return whether a server owes an answer, refuses connections, or is avoided.

    Args:
        view: What is known of the server.
        now_s: Local time.

    Returns:
        True if no statement should be sent to it.
    """
    if view.refused_at_s is not None or now_s < view.avoid_until_s:
        return True
    return view.owes_for_s(now_s) > QUIET_S
