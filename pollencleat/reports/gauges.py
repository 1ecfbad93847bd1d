"""Gauges that are read when metrics are scraped."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from pollencleat.membership.permits import permit_ends_at

if TYPE_CHECKING:
    from pollencleat.daemon.application import Application

Reading = tuple[float, dict[str, str]]


def add_gauges(application: "Application") -> None:
    """Register all gauges.

    Args:
        application: The running application.
    """
    board = application.board
    clock = application.timers.clock

    def read_connections() -> Iterable[Reading]:
        for server_id, count in application.gateway.open_connections().items():
            yield count, {"server": server_id}

    def read_ages() -> Iterable[Reading]:
        now_s = clock()
        for server_id, view in board.servers_by_id.items():
            yield now_s - view.fresh_as_of_s, {"server": server_id}

    def read_permit() -> Iterable[Reading]:
        yield max(0.0, permit_ends_at(board) - clock()), {}

    def read_terms() -> Iterable[Reading]:
        for group_id, term in board.fleet.terms_by_group.items():
            yield term.term, {"group": group_id}

    def read_callers() -> Iterable[Reading]:
        yield len(application.callers.connections), {}

    def read_peer_bytes() -> Iterable[Reading]:
        yield application.transport.bytes_sent, {"direction": "sent"}
        yield application.transport.bytes_received, {"direction": "received"}

    def read_platform_calls() -> Iterable[Reading]:
        yield application.store.calls, {}

    def read_inventory_version() -> Iterable[Reading]:
        yield board.inventory.version, {}

    add_gauge = application.metrics.add_gauge
    add_gauge("pollencleat.backend.connections", read_connections)
    add_gauge("pollencleat.replica.age_seconds", read_ages)
    add_gauge("pollencleat.permit.remaining_seconds", read_permit)
    add_gauge("pollencleat.group.term", read_terms)
    add_gauge("pollencleat.caller.connections", read_callers)
    add_gauge("pollencleat.peer.bytes", read_peer_bytes)
    add_gauge("pollencleat.platform.calls", read_platform_calls)
    add_gauge("pollencleat.inventory.version", read_inventory_version)
