"""How many connections this node may open to each server.

Where a seat's share is large enough, a node owns it; otherwise a group's connections
belong to its gateways.  A seat passes on only after its owner resigned with
all connections closed, or when the platform lists the owner's VM as gone, so that the
sum of all nodes stays within the declaration.
"""

from pollencleat.core.blackboard import Blackboard
from pollencleat.inventory.forecast import connection_share
from pollencleat.limits.gateways import gateway_share, is_pooled_at_gateways

ORDER_CONNECTIONS = 1
"""Connections of a share that are kept for orders and questions to a server."""

IN_FORCE_S = 4.0
"""Time after which an accepted inventory is in force on every reachable node."""


def connections_allowed(board: Blackboard, server_id: str) -> int:
    """Return the connections that this node may hold to a server.

    Args:
        board: The node's state.
        server_id: The server.

    Returns:
        The seat's share; 0 without a seat, for an undeclared server, and when the seat
        lies beyond the declared number.
    """
    member = board.fleet.members_by_id.get(board.node_id)
    if member is None or member.incarnation != board.incarnation:
        return 0
    server = board.inventory.servers_by_id.get(server_id)
    if server is None:
        return 0
    if is_pooled_at_gateways(board, server):
        return gateway_share(board, server)
    seats = board.inventory.rules.seats or board.fleet.seats
    if not 0 <= member.seat < seats:
        return 0
    return connection_share(server.connections, seats)


def reserved_connections(board: Blackboard, server_id: str) -> int:
    """Return how many connections of the share are kept for orders and questions.

    Args:
        board: The node's state.
        server_id: The server.

    Returns:
        One; none where gateways hold the connections, half of which belong to nobody.
    """
    server = board.inventory.servers_by_id.get(server_id)
    if server is not None and is_pooled_at_gateways(board, server):
        return 0
    return ORDER_CONNECTIONS


def settled_share(held: int, allowed: int, known_for_s: float) -> int:
    """Return how much of a share may be used now.

    A smaller share counts at once.  A larger one counts only when the inventory that
    grants it has had time to reach the nodes that give up theirs.

    Args:
        held: The share in use.
        allowed: The share by the newest inventory.
        known_for_s: How long this node has known a change of the inventory; infinite
            if it has seen none.

    Returns:
        Connections that may be open.
    """
    if allowed > held and known_for_s < IN_FORCE_S:
        return held
    return allowed
