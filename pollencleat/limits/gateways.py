"""Selection of the gateways: entry VMs that hold a database group's connections.

Load pattern: many entry VMs, each with a few statements a second for every group.  If
each of them held a share of a server's connections, a node would have one connection or
none.  An idle transaction would occupy it while all other callers of the node waited,
although connections of other nodes were idle.  A few gateways in each failure domain
therefore hold the connections, and the other nodes borrow from them.  In a small fleet
the shares are large enough, and every node has its own connections.

Gateways are selected from the fleet state alone, by rendezvous hashing, so that nodes
with the same state agree.  While a new state propagates, former and new gateways may
both hold connections; shares are therefore sized so that two generations of gateways
stay within the declared number of connections.
"""

from collections.abc import Sequence

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, Member
from pollencleat.core.index import rank_members, rank_names
from pollencleat.inventory.forecast import connection_share

MIN_OWN_SHARE = 3
"""Smallest number of connections per seat at which nodes need no gateway."""

GATEWAYS_PER_DOMAIN = 2
"""Gateways of a group in a failure domain; a second one covers a crash of the first."""

MIN_GATEWAY_SHARE = 2
"""Fewest connections per gateway for which a failure domain has several gateways."""

GENERATIONS = 2
"""Generations of gateways that may hold connections at the same time."""


def is_pooled_at_gateways(board: Blackboard, server: BackendServer) -> bool:
    """Return whether the connections to a server belong to gateways.

    Args:
        board: The node's state.
        server: A server.

    Returns:
        False if operators declare the number of seats, or if each seat's share has at
        least MIN_OWN_SHARE connections.
    """
    seats = board.fleet.seats
    if board.inventory.rules.seats or not seats or not server.connections:
        return False
    return connection_share(server.connections, seats) < MIN_OWN_SHARE


def gateways_per_domain(connections: int, domains: int) -> int:
    """Return how many gateways a group has in each failure domain.

    Args:
        connections: Connections that a server accepts from the whole fleet.
        domains: Number of failure domains that have gateways.

    Returns:
        GATEWAYS_PER_DOMAIN, or fewer if each would have less than MIN_GATEWAY_SHARE
        connections.
    """
    count = GATEWAYS_PER_DOMAIN
    while (
        count > 1 and connections // (GENERATIONS * count * domains) < MIN_GATEWAY_SHARE
    ):
        count -= 1
    return count


def gateway_share(board: Blackboard, server: BackendServer) -> int:
    """Return the number of connections that this node may hold as a gateway.

    Args:
        board: The node's state; the node is a member.
        server: A server of the group.

    Returns:
        The node's share; 0 if it is not a gateway of the group.
    """
    gateways_by_domain = list_gateways(board, server)
    own = gateways_by_domain.get(board.failure_domain, ())
    if all(member.node_id != board.node_id for member in own):
        return 0
    domains = len(gateways_by_domain)
    count = gateways_per_domain(server.connections, domains)
    return max(1, server.connections // (GENERATIONS * count * domains))


def list_gateways(
    board: Blackboard, server: BackendServer
) -> dict[str, Sequence[Member]]:
    """Return the gateways of a server's group.

    Args:
        board: The node's state.
        server: A server of the group.

    Returns:
        Gateways by failure domain, in order of preference.  Some failure domains have
        none if a generation has fewer connections than there are failure domains.
    """
    ranked = board.fleet_index().ranked_by_domain(f"gateway\0{server.group_id}")
    max_domains = max(1, server.connections // GENERATIONS)
    if len(ranked) > max_domains:
        order = rank_names(server.group_id, list(ranked))
        ranked = {domain: ranked[domain] for domain in order[:max_domains]}
    count = gateways_per_domain(server.connections, max(1, len(ranked)))
    return {domain: members[:count] for domain, members in ranked.items()}


def order_gateways(
    board: Blackboard, server: BackendServer, unresponsive: Sequence[str]
) -> list[Member]:
    """Return the gateways to borrow connections from, in order of preference.

    Args:
        board: The node's state.
        server: A server of the group.
        unresponsive: Ids of nodes that have not answered recently; they come last.

    Returns:
        Gateways other than this node, those of its own failure domain first.  The order
        depends on a hash of this node's id, so that nodes whose gateways have failed
        are distributed over the remaining ones.
    """
    own = []
    others = []
    for domain, members in list_gateways(board, server).items():
        for member in members:
            if member.node_id == board.node_id:
                continue
            (own if domain == board.failure_domain else others).append(member)
    key = f"borrow\0{server.group_id}\0{board.node_id}"
    ranked = [*rank_members(key, own), *rank_members(key, others)]
    return sorted(ranked, key=lambda member: member.node_id in unresponsive)
