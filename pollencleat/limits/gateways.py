"""Which entry VMs hold the connections to a database group.

Load pattern: many entry VMs, each with a few statements a second for every group.  If
each held a share of a server's connections, there would be one or none for a node; a
transaction that rests keeps it, and all other callers of that node wait, while the
connections of other nodes are idle.  A few gateways in each failure domain therefore
hold them for all, and the other nodes borrow there.  In a small fleet a share serves a
node well, and every node has its own.

Gateways follow from the fleet state alone, by rendezvous hash, so that nodes which know
the same state agree.  While the state spreads, a former and a new gateway may both hold
connections; shares are therefore such that two generations stay within the declaration.
"""

from collections.abc import Sequence

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, Member
from pollencleat.core.index import rank_members, rank_names
from pollencleat.inventory.forecast import connection_share

OWN_SHARE = 3
"""Connections of a seat from which a node needs no gateway."""

GATEWAYS_PER_DOMAIN = 2
"""Gateways of a group in a failure domain: one may end without notice."""

USEFUL_SHARE = 2
"""Connections that a gateway should at least have; fewer gateways are chosen before."""

GENERATIONS = 2
"""Sets of gateways that may hold connections at the same time."""


def is_pooled_at_gateways(board: Blackboard, server: BackendServer) -> bool:
    """Return whether the connections to a server belong to gateways.

    Args:
        board: The node's state.
        server: A server.

    Returns:
        False where operators declare seats, and while each seat's share is large.
    """
    seats = board.fleet.seats
    if board.inventory.rules.seats or not seats or not server.connections:
        return False
    return connection_share(server.connections, seats) < OWN_SHARE


def gateways_per_domain(connections: int, domains: int) -> int:
    """Return how many gateways a group has in each failure domain.

    Args:
        connections: Connections that a server accepts from all callers together.
        domains: Failure domains that have gateways.

    Returns:
        GATEWAYS_PER_DOMAIN, or fewer where each would have too few connections.
    """
    count = GATEWAYS_PER_DOMAIN
    while count > 1 and connections // (GENERATIONS * count * domains) < USEFUL_SHARE:
        count -= 1
    return count


def gateway_share(board: Blackboard, server: BackendServer) -> int:
    """Return the connections that this node may hold as a gateway.

    Args:
        board: The node's state; the node is a member.
        server: A server of the group.

    Returns:
        Its share; 0 if it is no gateway of the group.
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
        Gateways by failure domain, the first choice first; where there are fewer
        connections than failure domains, some have none.
    """
    ranked = board.index().ranked(f"gateway\0{server.group_id}")
    served = max(1, server.connections // GENERATIONS)
    if len(ranked) > served:
        order = rank_names(server.group_id, list(ranked))
        ranked = {domain: ranked[domain] for domain in order[:served]}
    count = gateways_per_domain(server.connections, max(1, len(ranked)))
    return {domain: members[:count] for domain, members in ranked.items()}


def order_gateways(
    board: Blackboard, server: BackendServer, silent: Sequence[str]
) -> list[Member]:
    """Return the gateways to borrow from, in the order in which to ask them.

    Args:
        board: The node's state.
        server: A server of the group.
        silent: Nodes that have not answered lately; they are asked last.

    Returns:
        Other nodes: those of the own failure domain first, the others by a hash of this
        node, so that nodes whose gateways are gone spread over the others.
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
    return sorted(ranked, key=lambda member: member.node_id in silent)
