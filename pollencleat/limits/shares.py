"""How many connections this node may open to each server.

A node owns the share of its seat.  A seat passes on only after its owner resigned with
all connections closed, or when the platform lists the owner's VM as gone, so that the
sum of all nodes stays within the declaration.
"""

from pollencleat.core.blackboard import Blackboard
from pollencleat.inventory.forecast import connection_share


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
    seats = board.inventory.rules.seats
    if not 0 <= member.seat < seats:
        return 0
    return connection_share(server.connections, seats)
