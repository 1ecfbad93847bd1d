"""Number of connections that this node may open to each server.

If a seat's share of the connections is large enough, each node holds the share of its
seat; otherwise the gateways of a group hold its connections.  A seat is reassigned only
after its owner has resigned with all connections closed, or when the platform lists the
owner's VM as gone.  The sum over all nodes therefore stays within the declared number
of connections.
"""

import math

from pollencleat.core.blackboard import Blackboard
from pollencleat.inventory.forecast import connection_share
from pollencleat.limits.gateways import (
    gateway_share,
    is_pooled_at_gateways,
    list_gateways,
)
from pollencleat.limits.growth import resting_share

ORDER_CONNECTIONS = 1
"""Connections of a share that are reserved for orders and probes."""

RUNNING_PER_SLOT = 2.0
"""Statements that all gateways together send to a server for each of its slots; one
waits while another runs, so that no slot is idle between two answers."""

INVENTORY_PROPAGATION_S = 4.0
"""Seconds after which an accepted inventory is in force on every reachable node."""


def connections_allowed(board: Blackboard, server_id: str) -> int:
    """Return the number of connections that this node may hold to a server.

    Args:
        board: The node's state.
        server_id: The server.

    Returns:
        The share of the node's seat, or its share as a gateway if gateways hold the
        connections; 0 for a node that is not a member, for an undeclared server, for a
        node that is not a gateway, and for a seat that is missing or beyond the
        declared number.
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
    """Return how many connections are reserved for orders and probes.

    Args:
        board: The node's state.
        server_id: The server.

    Returns:
        ORDER_CONNECTIONS; 0 if gateways hold the connections, since half of the
        declared connections are then not assigned to any node.
    """
    server = board.inventory.servers_by_id.get(server_id)
    if server is not None and is_pooled_at_gateways(board, server):
        return 0
    return ORDER_CONNECTIONS


def resting_connections(board: Blackboard, server_id: str, connections: int) -> int:
    """Return how many connections this node keeps open while no statement waits long.

    Args:
        board: The node's state.
        server_id: The server.
        connections: This node's share, connections for orders included.

    Returns:
        The resting number.  A gateway rests at its whole share, which already leaves
        room for another generation of gateways.
    """
    server = board.inventory.servers_by_id.get(server_id)
    if server is not None and is_pooled_at_gateways(board, server):
        return connections
    return resting_share(max(0, connections - ORDER_CONNECTIONS))


def running_limit(board: Blackboard, server_id: str) -> int | None:
    """Return how many statements this node may have running on a server at a time.

    Load pattern: several gateways that do not see each other send a server more than it
    has slots for.  The rest waits at the server in the order of arrival, where no
    gateway can put urgent or short work first or refuse what comes too late.

    Args:
        board: The node's state.
        server_id: The server.

    Returns:
        The gateway's part of RUNNING_PER_SLOT statements for each slot; None where
        nodes hold their own connections, of which there are few.
    """
    server = board.inventory.servers_by_id.get(server_id)
    if server is None or not is_pooled_at_gateways(board, server):
        return None
    gateways = sum(len(members) for members in list_gateways(board, server).values())
    return max(1, math.ceil(RUNNING_PER_SLOT * server.slots / max(1, gateways)))


def usable_share(held: int, allowed: int, known_for_s: float) -> int:
    """Return how many connections of a changed share may be used now.

    A smaller share applies at once.  A larger one applies only after the inventory that
    grants it has had time to reach the nodes whose shares it reduces.

    Args:
        held: Connections of the share in use.
        allowed: Connections of the share under the newest inventory.
        known_for_s: Seconds for which this node has known the newest change of the
            inventory; infinite if it has seen none.

    Returns:
        The number of connections that may be open.
    """
    if allowed > held and known_for_s < INVENTORY_PROPAGATION_S:
        return held
    return allowed
