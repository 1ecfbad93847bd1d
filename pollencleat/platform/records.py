"""Decodes the objects that operators and servers write into the store."""

import msgspec

from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Freshness,
    Inventory,
    Route,
    Rules,
)
from pollencleat.core.errors import StoreError
from pollencleat.core.ranges import Count, DurationMs, Name, Number, Priority, Text
from pollencleat.platform.objects import Json, StoredObject
from pollencleat.platform.settings import parse_endpoint

READY = "ready"
LEAVING = "draining"
OUTAGE_LIMIT_S = 15
"""How long writes continue without the store, and so how long a node waits before it
promotes when no node is left that can grant it the promotion right; above the longest
stated outage."""

DEFAULT_CONNECTIONS = 20
"""Connections to a server whose group declares no limit."""

_freshness_by_kind = {
    "primary": Freshness.PRIMARY,
    "bounded_staleness": Freshness.BOUNDED_AGE,
    "read_your_writes": Freshness.OWN_WRITES,
}


class _Route(msgspec.Struct, frozen=True):
    host: Name
    """The database name that callers connect to, not an address."""
    kind: Text
    service: Name
    timeout_ms: DurationMs
    target_latency_ms: DurationMs
    priority: Priority = 0
    max_staleness_ms: DurationMs = 0


class _Service(msgspec.Struct, frozen=True):
    name: Name
    connection_limit: Count = DEFAULT_CONNECTIONS
    sync_replica_count: Count = 0


class _Limits(msgspec.Struct, frozen=True):
    transaction_idle_ms: DurationMs = 0


class _DesiredState(msgspec.Struct, frozen=True):
    version: Number
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()


class _ServerEntry(msgspec.Struct, frozen=True):
    service: Name
    address: str
    zone: Text
    slots: Count
    state: Text
    sequence: Number
    """Counts the entries written in one run of the server; not a log position."""
    database_role: Text
    born: Number = 0
    """Start of the server in Unix milliseconds; a changed value means an empty log."""
    cold_remaining_ms: float = 0


def decode_inventory(spec: Json) -> Inventory:
    """Decode the inventory object that operators write.

    Args:
        spec: The object's content.

    Returns:
        The inventory without servers, which register themselves.

    Raises:
        StoreError: The content is malformed.
    """
    try:
        desired = msgspec.convert(spec, _DesiredState)
    except msgspec.ValidationError as error:
        raise StoreError(f"malformed inventory object: {error}") from error
    services = {service.name: service for service in desired.services}
    return Inventory(
        version=desired.version,
        groups_by_id={
            name: DatabaseGroup(name, name, (), (), service.sync_replica_count)
            for name, service in services.items()
        },
        rules=Rules(
            seats=0,
            outage_limit_s=OUTAGE_LIMIT_S,
            transaction_idle_ms=desired.limits.transaction_idle_ms,
        ),
        routes_by_database={
            route.host: _make_route(route)
            for route in desired.routes
            if route.kind in _freshness_by_kind and route.service in services
        },
        connections_by_group={
            name: service.connection_limit for name, service in services.items()
        },
    )


def _make_route(route: _Route) -> Route:
    return Route(
        database=route.host,
        group_id=route.service,
        freshness=_freshness_by_kind[route.kind],
        max_age_ms=route.max_staleness_ms,
        statement_limit_ms=route.timeout_ms,
        latency_objective_ms=route.target_latency_ms,
        priority=route.priority,
    )


def decode_server(stored: StoredObject) -> tuple[BackendServer, bool]:
    """Decode a server's entry.

    Args:
        stored: The entry; its name is the server's id.

    Returns:
        The server, and True if it is about to shut down.

    Raises:
        StoreError: The entry is malformed or its state is unknown.
    """
    content = stored.status if stored.status is not None else stored.spec
    try:
        msgspec.convert(stored.meta.name, Name)
        entry = msgspec.convert(content, _ServerEntry)
        endpoint = parse_endpoint(entry.address)
    except (msgspec.ValidationError, ValueError) as error:
        raise StoreError(
            f"malformed server entry {stored.meta.name}: {error}"
        ) from error
    if entry.state not in (READY, LEAVING):
        raise StoreError(
            f"server entry {stored.meta.name}: unknown state {entry.state!r}"
        )
    server = BackendServer(
        server_id=stored.meta.name,
        group_id=entry.service,
        host=endpoint.host,
        port=endpoint.port,
        failure_domain=entry.zone,
        slots=entry.slots,
        connections=0,
        born_ms=entry.born,
    )
    return server, entry.state == LEAVING
