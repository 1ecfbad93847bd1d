"""Entry VMs and stand-ins of the users' platform in one process, for tests."""

import asyncio
import os
import random
from dataclasses import dataclass

from pollencleat.daemon.entry_vm import PlatformApplication
from pollencleat.platform.settings import Endpoint, PlatformSettings
from pollencleat.reports.logs import NonBlockingOutput
from standins.line_server import ServerGroup
from standins.object_store import ObjectStoreStandIn
from standins.segments import cut_into_segments

HOST = "127.0.0.1"
ZONES = ("a", "b", "c")
READY_LIMIT_S = 12.0
"""Timeout for all entry VMs to accept writes; joining takes a second or two."""

SEGMENT_PAUSE_S = 0.01
"""Longest pause in seconds between two segments of a request."""


@dataclass(frozen=True)
class LineAnswer:
    """Response to one request, as a client received it."""

    rows: tuple[str, ...]
    receipt: str
    error: str
    detail: str
    state: str


class LineClient:
    """A caller that speaks the platform's line protocol.

    Attributes:
        segments: Draws the segments that requests are sent in; None sends each at once.
        name: Names the connection in records.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        """Create a client on an open connection."""
        self.reader = reader
        self.writer = writer
        self.segments: random.Random | None = None
        self.name = f"caller {writer.get_extra_info('sockname')}"
        self._next_id = int.from_bytes(os.urandom(4), "big") << 32

    @classmethod
    async def connect(
        cls, port: int, database: str, account: str = "team", host: str = HOST
    ) -> "LineClient":
        """Connect and start a session."""
        reader, writer = await asyncio.open_connection(host, port, limit=2 << 20)
        client = cls(reader, writer)
        writer.write(f"STARTUP {database} {account}\r\n".encode())
        answer = await client.read_answer()
        if answer.error:
            raise ConnectionError(answer.error)
        return client

    async def query(self, text: str) -> LineAnswer:
        """Send a statement with a new id and read its answer."""
        return await self.send(self.next_id(), text)

    def next_id(self) -> str:
        """Return a new request id."""
        self._next_id += 1
        return f"{self._next_id:016x}"

    async def send(self, request_id: str, text: str) -> LineAnswer:
        """Send a statement and read its answer."""
        data = f"QUERY {request_id} {text}\r\n".encode()
        if self.segments is None:
            self.writer.write(data)
            return await self.read_answer()
        for segment in cut_into_segments(data, self.segments):
            self.writer.write(segment)
            await asyncio.sleep(self.segments.uniform(0.0, SEGMENT_PAUSE_S))
        return await self.read_answer()

    def peek_unread(self) -> bytes:
        """Return what has arrived and is still to be read."""
        # StreamReader has no public access to what it has buffered.
        return bytes(self.reader._buffer)

    def send_without_reading(self, text: str) -> None:
        """Send a statement with a new id, without reading its answer."""
        self.writer.write(f"QUERY {self.next_id()} {text}\r\n".encode())

    async def read_answer(self) -> LineAnswer:
        """Read lines up to READY; the error is CLOSED at the connection's end."""
        rows, receipt, error, detail = [], "", "", ""
        while True:
            try:
                data = await self.reader.readuntil(b"\r\n")
            except asyncio.IncompleteReadError:
                data = b""
            line = data.removesuffix(b"\r\n").decode()
            keyword, _, rest = line.partition(" ")
            if keyword == "DATAROW":
                rows.append(rest)
            elif keyword == "COMPLETE":
                receipt = rest
            elif keyword == "ERROR":
                error, _, detail = rest.partition(" ")
            elif keyword == "READY":
                return LineAnswer(tuple(rows), receipt, error, detail, rest[:1])
            else:
                return LineAnswer(tuple(rows), receipt, error or "CLOSED", detail, "")

    def close(self) -> None:
        """Close the connection without a TERMINATE message."""
        self.writer.close()


class PlatformCluster:
    """A store, one group of servers and several entry VMs."""

    def __init__(self, nodes: int = 2, **group_options: object) -> None:
        """Create the store and the servers; start() starts everything."""
        self.store = ObjectStoreStandIn()
        self.group = ServerGroup("books", ZONES, **group_options)
        self.nodes: list[PlatformApplication] = []
        self.version = 7
        self._node_count = nodes
        self._null_fd = os.open(os.devnull, os.O_WRONLY)

    async def start(self) -> None:
        """Start everything and wait until all entry VMs accept writes."""
        await self.store.start()
        await self.group.start()
        self.store.register_group(self.group)
        await self.put_configuration()
        for number in range(self._node_count):
            await self.add_node(number)
        await self.wait_until_writable()

    async def add_node(self, number: int) -> PlatformApplication:
        """Start one more entry VM."""
        host, _, port = self.store.address.rpartition(":")
        store = Endpoint(host, int(port))
        listen = Endpoint(HOST, 0)
        settings = PlatformSettings(
            node_id=f"node-{number}",
            failure_domain=ZONES[number % len(ZONES)],
            host=HOST,
            callers=listen,
            readiness=listen,
            peers_port=0,
            admin_port=0,
            store=store,
            promotion=store,
            grace_s=6.0,
        )
        node = PlatformApplication(settings, NonBlockingOutput(os.dup(self._null_fd)))
        await node.start()
        self.nodes.append(node)
        return node

    async def put_configuration(self, **changes: object) -> None:
        """Write a configuration to the store, by default with a higher version."""
        self.version += 3
        await put_configuration(
            self.store,
            self.group,
            changes.pop("version", self.version),
            changes.pop("routes", {}),
        )

    def port(self, number: int = 0) -> int:
        """Return the callers' port of an entry VM."""
        return self.nodes[number].listener.port

    async def connect(self, database: str, number: int = 0) -> LineClient:
        """Start a session at an entry VM."""
        return await LineClient.connect(self.port(number), database)

    async def wait_until_writable(self) -> None:
        """Wait until every entry VM accepts writes.

        Raises:
            TimeoutError: An entry VM still refuses writes after READY_LIMIT_S.
        """
        deadline_s = asyncio.get_running_loop().time() + READY_LIMIT_S
        for number in range(len(self.nodes)):
            while True:
                if await self.try_write(number):
                    break
                if asyncio.get_running_loop().time() > deadline_s:
                    raise TimeoutError("the entry VMs do not accept writes")
                await asyncio.sleep(0.05)

    async def try_write(self, number: int = 0, key: str = "warm") -> bool:
        """Return whether a write succeeds at an entry VM."""
        try:
            client = await self.connect("main-db", number)
        except OSError:
            return False
        answer = await client.query(f"WRITE {key} up")
        client.close()
        return not answer.error

    async def stop(self) -> None:
        """Stop everything without draining."""
        for node in self.nodes:
            await node.abort()
        await self.group.stop()
        await self.store.stop()
        os.close(self._null_fd)


async def put_configuration(
    store: ObjectStoreStandIn,
    group: ServerGroup,
    version: int,
    routes_by_host: dict[str, tuple[str | None, int | None]] | None = None,
) -> None:
    """Write a configuration with one route of each kind.

    Args:
        store: Store to write to.
        group: Target of all routes.
        version: Version of the configuration.
        routes_by_host: Kind and maximum staleness in ms of additional or replaced
            routes; a kind of None omits the route.
    """
    options_by_host = {
        "main-db": ("primary", None),
        "old-db": ("bounded_staleness", 1500),
        "own-db": ("read_your_writes", 2500),
        **(routes_by_host or {}),
    }
    routes = []
    for host, (kind, max_age_ms) in options_by_host.items():
        if kind is None:
            continue
        route = {
            "name": f"r-{host}",
            "host": host,
            "path_prefix": "/",
            "kind": kind,
            "timeout_ms": 1000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": group.name,
            "max_attempts": 2,
        }
        if max_age_ms is not None:
            route["max_staleness_ms"] = max_age_ms
        routes.append(route)
    service = {
        "name": group.name,
        "health_check_path": "/health",
        "connection_limit": group.connection_limit,
        "protocol": "h1",
        "tls": False,
        "sync_replica_count": group.sync_replica_count,
    }
    await store.put(
        "config",
        "main",
        {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": {"transaction_idle_ms": 800},
        },
    )
