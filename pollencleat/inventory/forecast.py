"""Forecast of an inventory's resources, and connections open beyond it."""

from dataclasses import dataclass

from pollencleat.core.constants import HEARTBEAT_INTERVAL_S
from pollencleat.core.data import Inventory

SECONDS_PER_MONTH = 30 * 86_400
READS_PER_POLL = 3
"""A relay reads the fleet, the inventory and the VM list in each poll."""


@dataclass(frozen=True, slots=True)
class ForecastLine:
    """Servers, slots and connections that one group needs."""

    group_id: str
    customers: tuple[str, ...]
    servers: int
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class Forecast:
    """Next month's resources.

    Attributes:
        lines: One line for each group.
        platform_reads: Conditional reads a month by one relay in each failure domain.
    """

    lines: tuple[ForecastLine, ...]
    entry_vms: int
    servers: int
    connections: int
    platform_reads: int


@dataclass(frozen=True, slots=True)
class Excess:
    """A server with more open connections than declared."""

    server_id: str
    open_connections: int
    declared_connections: int


def connection_share(connections: int, seats: int) -> int:
    """Return the number of connections that one seat may open to a server.

    Args:
        connections: Connections declared for the whole fleet.
        seats: Number of entry VMs that share them.

    Returns:
        The share, rounded down; the remainder stays unused.
    """
    return connections // seats


def make_forecast(inventory: Inventory) -> Forecast:
    """Derive next month's resources from the inventory alone.

    Args:
        inventory: A valid inventory.

    Returns:
        The forecast, with one line for each group.
    """
    lines = []
    seats = inventory.rules.seats
    for group in inventory.groups_by_id.values():
        servers = [inventory.servers_by_id[name] for name in group.server_ids]
        shares = [connection_share(server.connections, seats) for server in servers]
        lines.append(
            ForecastLine(
                group.group_id,
                group.customers,
                len(servers),
                sum(server.slots for server in servers),
                sum(shares) * seats,
            )
        )
    polls = (
        SECONDS_PER_MONTH / HEARTBEAT_INTERVAL_S * max(1, len(inventory.domains_by_id))
    )
    return Forecast(
        tuple(lines),
        seats,
        sum(line.servers for line in lines),
        sum(line.connections for line in lines),
        round(polls * READS_PER_POLL),
    )


def find_excesses(
    inventory: Inventory, open_by_node: dict[str, dict[str, int]]
) -> list[Excess]:
    """Find servers with more open connections than declared.

    Args:
        inventory: The inventory in force.
        open_by_node: Open connections by node id, then by server id.

    Returns:
        One entry for each such server, by server id; an undeclared server counts as
        one with no declared connections.
    """
    open_by_server: dict[str, int] = {}
    for counts in open_by_node.values():
        for server_id, count in counts.items():
            open_by_server[server_id] = open_by_server.get(server_id, 0) + count
    excesses = []
    for server_id, count in sorted(open_by_server.items()):
        server = inventory.servers_by_id.get(server_id)
        declared = server.connections if server else 0
        if count > declared:
            excesses.append(Excess(server_id, count, declared))
    return excesses
