"""Gauges whose values are read at each scrape."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from pollencleat.membership.permits import permit_ends_at

if TYPE_CHECKING:
    from pollencleat.daemon.application import Application

GaugeValue = tuple[float, dict[str, str]]


def add_gauges(application: "Application") -> None:
    """Register all gauges with the application's metrics.

    Args:
        application: The application whose state the gauges read.
    """
    board = application.board
    clock = application.timers.clock

    def read_backend_connections() -> Iterable[GaugeValue]:
        for server_id, count in application.gateway.open_connections().items():
            yield count, {"server": server_id}

    def read_replica_ages() -> Iterable[GaugeValue]:
        now_s = clock()
        for server_id, view in board.servers_by_id.items():
            yield now_s - view.fresh_as_of_s, {"server": server_id}

    def read_permit_remaining() -> Iterable[GaugeValue]:
        yield max(0.0, permit_ends_at(board) - clock()), {}

    def read_terms() -> Iterable[GaugeValue]:
        for group_id, term in board.fleet.terms_by_group.items():
            yield term.term, {"group": group_id}

    def read_caller_connections() -> Iterable[GaugeValue]:
        yield len(application.callers.connections), {}

    def read_peer_bytes() -> Iterable[GaugeValue]:
        yield application.transport.bytes_sent, {"direction": "sent"}
        yield application.transport.bytes_received, {"direction": "received"}

    def read_platform_calls() -> Iterable[GaugeValue]:
        yield application.store.calls, {}

    def read_inventory_version() -> Iterable[GaugeValue]:
        yield board.inventory.version, {}

    add_gauge = application.metrics.add_gauge
    add_gauge("pollencleat.backend.connections", read_backend_connections)
    add_gauge("pollencleat.replica.age_seconds", read_replica_ages)
    add_gauge("pollencleat.permit.remaining_seconds", read_permit_remaining)
    add_gauge("pollencleat.group.term", read_terms)
    add_gauge("pollencleat.caller.connections", read_caller_connections)
    add_gauge("pollencleat.peer.bytes", read_peer_bytes)
    add_gauge("pollencleat.platform.calls", read_platform_calls)
    add_gauge("pollencleat.inventory.version", read_inventory_version)
