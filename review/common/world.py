"""Stand-ins for the users' platform, and real entry VM processes on loopback.

Only the standard library is used.  The store, the servers and the clients run in this
process; each entry VM is a process started with the command of the deploy file.
"""

import asyncio
import copy
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ZONES = ("accra-a", "accra-b", "accra-c")
NODE_ZONES = ("accra-a", "accra-a", "accra-b", "accra-c")
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
HANDSHAKE_S = 0.012
PROMOTE_S = 0.6
OLD_PRIMARY_YIELDS_S = 1.0
REPLICATION_TICK_S = 0.002
MAX_LINE_BYTES = 1 << 20
FIRST_TERM = 3
STORE_ANSWER_S = 0.004
READY_LIMIT_S = 25.0

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_period_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "fencing_enforced": False,
    "thaw_slack_ms": 300,
}
"""The bounds of the volta-huts sheet."""


class Record:
    """The case's record of what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now_s():9.4f} {text}\n")

    def close(self) -> None:
        """Write everything to disk."""
        self._file.close()


@dataclass(frozen=True)
class Entry:
    """One committed write of a server's log."""

    term: int
    number: int
    item: str
    data: str
    request_id: str


@dataclass
class ServerSession:
    """State of one connection at a server."""

    number: int
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)
    state: str = "I"
    read_only: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)


@dataclass(frozen=True)
class Run:
    """A statement that a server ran."""

    at_s: float
    server_id: str
    connection: int
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]


class Server:
    """One database server, which speaks the wire protocol."""

    def __init__(self, group: "Group", server_id: str, zone: str) -> None:
        """Create a replica with the group's first log."""
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.log: list[Entry] = list(group.first_log)
        self.applied = len(self.log)
        self.term = FIRST_TERM
        self.is_primary = False
        self.held_for_term = 0
        self.is_deaf = False
        self.entries_per_s = 0.0
        self.is_draining = False
        self.is_dark = False
        self.is_cut_from_store = False
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.slots = asyncio.Semaphore(group.slots)
        self.waiting = 0
        self._credit = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.connections = 0
        self.last_beat_s = -1e9
        self.next_beat_s = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._server is not None

    async def start(self) -> None:
        """Listen on loopback, at the former port if there was one."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        """End the process; its connections are reset, its log stays on its disk."""
        self.group.record.note(f"{self.server_id} crashes, log at {self.received()}")
        server, self._server = self._server, None
        if server is not None:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.held_for_term = 0

    async def come_back(self) -> None:
        """Start again with the log; as a replica if another server was promoted."""
        if any(other.is_primary and other is not self for other in self.group.servers):
            self.is_primary = False
        await self.start()
        self.next_beat_s = time.monotonic()
        self.group.record.note(f"{self.server_id} is back, log at {self.received()}")

    async def start_again_empty(self) -> None:
        """Start again under the same id, holding and knowing nothing of before."""
        self.log = []
        self.applied = 0
        self.is_primary = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        await self.start()
        self.group.record.note(f"{self.server_id} starts again with nothing")

    def received(self) -> str:
        """Return the position of the last entry received."""
        return _position_of(self.log, len(self.log))

    def position(self) -> str:
        """Return the position of the last entry applied."""
        return _position_of(self.log, self.applied)

    def entry(self) -> dict:
        """Return what the server says of itself in the store."""
        self.sequence += 1
        return {
            "service": self.group.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "database_role": "primary" if self.is_primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    # Connections.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_running:
            writer.transport.abort()
            return
        self._writers.add(writer)
        self.connections += 1
        session = ServerSession(self.group.next_connection())
        try:
            words = (await self._read(reader)).split()
            if not self._is_start_for_me(words):
                writer.write(b"ERROR MISROUTED\r\n")
                return
            if self.connections > self.group.connection_limit:
                writer.write(b"ERROR TOOMANY\r\n")
                return
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(self._ready(session))
            while True:
                line = await self._read(reader)
                if line == "TERMINATE":
                    return
                _, request_id, text = line.split(" ", 2)
                answer = await self._answer(session, request_id, text)
                if answer is None:
                    writer.transport.abort()
                    return
                await self._wait_while_dark()
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> str:
        line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
        await self._wait_while_dark()
        return line

    async def _wait_while_dark(self) -> None:
        while self.is_dark:
            await asyncio.sleep(REPLICATION_TICK_S)

    def _is_start_for_me(self, words: list[str]) -> bool:
        if len(words) < 3 or words[:2] != ["STARTUP", self.group.name]:
            return False
        return len(words) < 4 or words[3] == self.server_id

    def _ready(self, session: ServerSession) -> bytes:
        return f"READY {session.state} {self.position()}\r\n".encode()

    def _complete(self, session: ServerSession, receipt: str = "-") -> bytes:
        return f"COMPLETE {receipt}\r\n".encode() + self._ready(session)

    def _error(self, session: ServerSession, code: str) -> bytes:
        if session.state == "T":
            session.state = "E"
        return f"ERROR {code} {self.server_id}\r\n".encode() + self._ready(session)

    async def _answer(
        self, session: ServerSession, request_id: str, text: str
    ) -> bytes | None:
        words = text.split(" ")
        if words[0] == "WAITFOR":
            if not self._has_applied(words[1]):
                return self._error(session, "LAGGING")
            words = words[2:]
        text = " ".join(words)
        verb = words[0]
        if verb == "ROLLBACK" or (verb == "COMMIT" and session.state == "E"):
            session.state = "I"
            session.writes.clear()
            return self._complete(session)
        if session.state == "E":
            return self._error(session, "MALFORMED")
        if session.state == "T" and not session.read_only and not self.is_primary:
            # The server has lost the lead.
            if verb == "COMMIT" and not session.writes:
                session.state = "I"
                return self._complete(session, self._receipt(request_id))
            self.group.record.note(
                f"{self.server_id} #{session.number} answers READONLY to {text!r} "
                f"of {request_id}, values {session.values}"
            )
            return self._error(session, "READONLY")
        if verb == "SET":
            session.values[words[1]] = " ".join(words[2:])
            return self._complete(session)
        if verb == "PREPARE":
            session.prepared[words[1]] = (words[2], " ".join(words[3:]))
            return self._complete(session)
        if verb == "DEALLOCATE":
            session.prepared.pop(words[1], None)
            return self._complete(session)
        if verb == "DISCARD":
            session.values.clear()
            session.prepared.clear()
            return self._complete(session)
        if verb == "BEGIN":
            is_plain = len(words) == 1
            if is_plain and not self.is_primary:
                return self._error(session, "READONLY")
            session.state, session.read_only = "T", not is_plain
            return self._complete(session)
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(session, words)
        if self.waiting >= self.group.queue:
            return self._error(session, "BUSY")
        self.waiting += 1
        try:
            async with self.slots:
                return await self._run(session, request_id, words, text)
        finally:
            self.waiting -= 1

    def _receipt(self, request_id: str) -> str:
        return f"{self.server_id}.{request_id}"

    def _has_applied(self, position: str) -> bool:
        wanted = tuple(int(part) for part in position.split("."))
        return tuple(int(part) for part in self.position().split(".")) >= wanted

    def _control(self, session: ServerSession, words: list[str]) -> bytes:
        verb = words[0]
        if verb == "PAUSE":
            self.group.paused_at_s.append(time.monotonic())
        if verb == "PAUSE" and int(words[1]) > self.term and not self.is_primary:
            self.held_for_term = int(words[1])
        if verb == "RESUME":
            self.held_for_term = 0
        if verb == "STEPDOWN" and self.is_primary and self.term < int(words[1]):
            self.is_primary = False
        role = "primary" if self.is_primary else "replica"
        row = f"{role} {self.term} {self.received()} {self.held_for_term} 0 0 1"
        if verb != "STATUS":
            self.group.record.note(f"{self.server_id} {' '.join(words)}: {row}")
        return f"DATAROW {row}\r\n".encode() + self._complete(session)

    async def _run(
        self, session: ServerSession, request_id: str, words: list[str], text: str
    ) -> bytes | None:
        access, item, data = words[0], (words[1:] or [""])[0], " ".join(words[2:])
        if access == "EXECUTE":
            prepared = session.prepared.get(words[1])
            if prepared is None:
                return self._error(session, "UNKNOWN")
            access, item, data = prepared[0], words[2], " ".join(words[3:])
        if access == "WRITE" and not self.is_primary:
            return self._error(session, "READONLY")
        await asyncio.sleep(self.group.draw_work_s())
        await self._wait_while_dark()
        self.group.note_run(self, session, request_id, text)
        if access == "COMMIT":
            if session.state != "T":
                return self._error(session, "MALFORMED")
            if not await self._append(session):
                return None
            session.state = "I"
            return self._complete(session, self._receipt(request_id))
        if access == "READ":
            row = self._read_item(session, item)
            return f"DATAROW {row}\r\n".encode() + self._complete(
                session, self._receipt(request_id)
            )
        session.writes.append((item, data, request_id))
        if session.state == "I" and not await self._append(session):
            return None
        return self._complete(session, self._receipt(request_id))

    def _read_item(self, session: ServerSession, item: str) -> str:
        for written, data, _ in reversed(session.writes):
            if written == item:
                return data
        for entry in reversed(self.log[: self.applied]):
            if entry.item == item:
                return entry.data
        return "none"

    async def _append(self, session: ServerSession) -> bool:
        """Append the writes; False if the outcome cannot be told."""
        writes, session.writes = session.writes, []
        if not writes:
            return True
        if not self.is_primary:
            return False
        term = self.term
        for item, data, request_id in writes:
            number = self.log[-1].number + 1 if self.log else 1
            self.log.append(Entry(term, number, item, data, request_id))
        self.applied = len(self.log)
        last = self.log[-1]
        while True:
            if not self.is_running or not self.is_primary or self.term != term:
                return False
            holders = [
                other
                for other in self.group.servers
                if other is not self and other.is_running and last in other.tail()
            ]
            if len(holders) >= self.group.sync_replica_count:
                return True
            await asyncio.sleep(REPLICATION_TICK_S)

    def tail(self) -> list[Entry]:
        """Return the newest entries of the log."""
        return self.log[-400:]

    # Replication.

    def receive(self, primary: "Server", passed_s: float) -> None:
        """Receive what the primary has, as fast as the way from it allows.

        Args:
            primary: The server that leads.
            passed_s: Seconds since the last call.
        """
        if self.is_deaf or self.is_dark or primary.is_dark or self.held_for_term:
            return
        if self.is_primary or self.term > primary.term:
            return
        self.term = primary.term
        common = min(len(self.log), len(primary.log))
        while common and self.log[common - 1] != primary.log[common - 1]:
            common -= 1
        del self.log[common:]
        missing = len(primary.log) - common
        if self.entries_per_s:
            self._credit = min(self._credit + passed_s * self.entries_per_s, missing)
            missing = int(self._credit)
            self._credit -= missing
        self.log.extend(primary.log[common : common + missing])
        self.applied = min(self.applied, len(self.log))
        asyncio.get_running_loop().call_later(
            self.group.lag_s, self._apply, len(self.log)
        )

    def _apply(self, count: int) -> None:
        self.applied = max(self.applied, min(count, len(self.log)))


def _position_of(log: list[Entry], count: int) -> str:
    if not count:
        return "0.0"
    return f"{log[count - 1].term}.{log[count - 1].number}"


class Group:
    """A primary and its replicas."""

    def __init__(
        self,
        record: Record,
        generator: random.Random,
        name: str = "booking",
        work_ms: float = 6.0,
        entries: int = 1200,
    ) -> None:
        """Create three servers, one in each zone; the first leads."""
        self.record = record
        self.name = name
        self.slots = 3
        self.queue = 24
        self.connection_limit = 23
        self.sync_replica_count = 1
        self.lag_s = 0.06
        self.first_log = [
            Entry(FIRST_TERM, number, f"k{number % 50}", f"first{number}", "-")
            for number in range(1, entries + 1)
        ]
        self._random = generator
        self._work_s = work_ms / 1000
        self._connections = 0
        self.paused_at_s: list[float] = []
        self.runs: list[Run] = []
        self.servers = [
            Server(self, f"i-{generator.getrandbits(40):010x}", zone) for zone in ZONES
        ]
        self.servers[0].is_primary = True
        self.on_promoted: list[Callable[[Server], None]] = []
        self.on_run: list[Callable[[Server, ServerSession, str], None]] = []
        self._newest_term = FIRST_TERM
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the servers and the replication between them."""
        for server in self.servers:
            await server.start()
        self._tasks.append(asyncio.create_task(self._replicate()))

    def stop(self) -> None:
        """Stop the replication."""
        for task in self._tasks:
            task.cancel()

    def next_connection(self) -> int:
        """Return the number of a new connection."""
        self._connections += 1
        return self._connections

    def draw_work_s(self) -> float:
        """Return how long a statement works."""
        return self._work_s * self._random.uniform(0.5, 1.5)

    def note_run(
        self, server: Server, session: ServerSession, request_id: str, text: str
    ) -> None:
        """Record that a statement ran."""
        values = tuple(sorted(session.values.items()))
        run = Run(
            self.record.now_s(),
            server.server_id,
            session.number,
            request_id,
            text,
            values,
        )
        self.runs.append(run)
        for follow in self.on_run:
            follow(server, session, request_id)
        self.record.note(
            f"run {request_id} at {server.server_id} #{session.number}: {text} "
            f"values {dict(values)}"
        )

    def leader(self) -> Server | None:
        """Return the running primary of the newest term."""
        leading = [item for item in self.servers if item.is_primary and item.is_running]
        return max(leading, key=lambda item: item.term, default=None)

    async def _replicate(self) -> None:
        before_s = time.monotonic()
        while True:
            await asyncio.sleep(REPLICATION_TICK_S)
            now_s = time.monotonic()
            leader = self.leader()
            if leader is not None:
                for server in self.servers:
                    if server is not leader and server.is_running:
                        server.receive(leader, now_s - before_s)
            before_s = now_s

    def promote(self, server_id: str) -> bool:
        """Begin to promote a server; False if it does not run."""
        for server in self.servers:
            if server.server_id == server_id and server.is_running:
                if not server.is_primary:
                    task = asyncio.create_task(self._promote(server))
                    self._tasks.append(task)
                return True
        return False

    async def _promote(self, server: Server) -> None:
        await asyncio.sleep(PROMOTE_S)
        if not server.is_running:
            return
        self._newest_term = max(self._newest_term, *(s.term for s in self.servers)) + 1
        server.term = self._newest_term
        server.is_primary = True
        server.held_for_term = 0
        server.applied = len(server.log)
        self.record.note(
            f"{server.server_id} leads term {server.term} from {server.received()}"
        )
        for other in self.servers:
            if other is not server:
                other.held_for_term = 0
        for follow in self.on_promoted:
            follow(server)
        self._tasks.append(asyncio.create_task(self._yield_to(server)))

    async def _yield_to(self, server: Server) -> None:
        """Make former primaries replicas a second after they can reach the new one."""
        await asyncio.sleep(OLD_PRIMARY_YIELDS_S)
        for other in self.servers:
            while other.is_dark:
                await asyncio.sleep(REPLICATION_TICK_S)
            if other is not server and other.is_running and other.term < server.term:
                other.is_primary = False


class Store:
    """The platform's store and its promotion call, with a listener for each node."""

    def __init__(self, record: Record, groups: list[Group]) -> None:
        """Create an empty store."""
        self.record = record
        self.groups_by_name = {group.name: group for group in groups}
        self.revision = 10
        self.era = 0
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.oldest_revision = self.revision
        self.is_down = False
        self.cut_nodes: set[str] = set()
        self.promotions: list[tuple[float, str, str, str, int]] = []
        self.copies: list[tuple[float, int, dict, list, int]] = []
        self.on_call: Callable[[str, str, str], Awaitable[None]] | None = None
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task] = []

    async def listen_for(self, node: str) -> str:
        """Listen for one node; return the address for its settings."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(node, reader, writer)

        server = await asyncio.start_server(serve, HOST, 0, limit=MAX_LINE_BYTES)
        self._servers.append(server)
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    def start(self) -> None:
        """Begin to take the servers' entries."""
        self._tasks.append(asyncio.create_task(self._take_beats()))

    def stop(self) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()

    # Content.

    async def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object; an equal one changes nothing."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": known["meta"]["created"] if known else self.revision,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        await self._tell(kind, {"object": item, "deleted": False})
        return item

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        item = {**item, "meta": {**item["meta"], "revision": self.revision}}
        await self._tell(kind, {"object": item, "deleted": True})

    async def _tell(self, kind: str, event: dict) -> None:
        self.events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    def take_copy(self) -> None:
        """Keep a copy of all objects as they are now."""
        self.copies.append(
            (
                self.record.now_s(),
                self.revision,
                copy.deepcopy(self.objects),
                list(self.events),
                self.oldest_revision,
            )
        )

    async def restore(self, number: int = -1) -> None:
        """Come back from a copy; the era rises by one."""
        at_s, self.revision, objects, events, oldest = self.copies[number]
        self.objects = copy.deepcopy(objects)
        self.events = list(events)
        self.oldest_revision = oldest
        self.era += 1
        self.record.note(f"the store is back from its copy of {at_s:.1f} s")
        async with self._changed:
            self._changed.notify_all()

    async def _take_beats(self) -> None:
        """Write the servers' entries, and remove those that are silent."""
        while True:
            await asyncio.sleep(0.01)
            if self.is_down:
                continue
            now_s = time.monotonic()
            for group in self.groups_by_name.values():
                for server in group.servers:
                    await self._take_beat(server, now_s)

    async def _take_beat(self, server: Server, now_s: float) -> None:
        known = self.objects.get("servers", {}).get(server.server_id)
        if not server.is_running or server.is_dark or server.is_cut_from_store:
            if known is not None and now_s - server.last_beat_s > LAPSE_S:
                self.record.note(f"the entry of {server.server_id} lapses")
                await self.remove("servers", server.server_id)
            return
        entry = server.entry()
        if known is not None and known["spec"]["born"] == entry["born"]:
            is_changed = {**known["spec"], "sequence": 0} != {**entry, "sequence": 0}
        else:
            is_changed = False
        if now_s < server.next_beat_s and not is_changed:
            return
        server.last_beat_s = now_s
        server.next_beat_s = now_s + HEARTBEAT_S
        if known is None or is_changed or known["spec"]["born"] != entry["born"]:
            self.record.note(f"entry {server.server_id}: {json.dumps(entry)}")
            await self.put("servers", server.server_id, entry)

    # Calls.

    async def _serve(
        self, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(length)) if length else None
                while node in self.cut_nodes:
                    await asyncio.sleep(0.01)
                if self.on_call is not None:
                    await self.on_call(node, method, target)
                await asyncio.sleep(STORE_ANSWER_S)
                status, answer = await self._handle(node, method, target, headers, body)
                while node in self.cut_nodes:
                    await asyncio.sleep(0.01)
                content = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(
        self, node: str, method: str, target: str, headers: dict, body: dict | None
    ) -> tuple[int, object]:
        if self.is_down:
            return 503, {}
        parts = urlsplit(target)
        if parts.path == "/promotion":
            return self._promote(headers, body)
        names = [unquote(part) for part in parts.path.split("/")[3:]]
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        kind = names[0]
        if len(names) == 1 and method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if len(names) == 1 and method == "GET":
            after = query.get("after", "")
            items = self.objects.get(kind, {})
            found = [items[name] for name in sorted(items) if name > after]
            return 200, {
                "items": found,
                "has_more": False,
                "current_rev": self.revision,
            }
        name = names[1] if len(names) > 1 else body["meta"]["name"]
        item = self.objects.get(kind, {}).get(name)
        if method == "GET":
            return (404, {}) if item is None else (200, item)
        if method == "POST":
            if item is not None:
                return 409, item
            return 201, await self.put(kind, name, body["spec"])
        if method == "PUT" and item is None:
            return 404, {}
        expected = (body or {}).get("meta", {}).get("revision")
        if expected is not None and expected != item["meta"]["revision"]:
            return 409, item
        if method == "PUT":
            self.record.note(f"{node} changes {kind}/{name}")
            return 200, await self.put(kind, name, body["spec"])
        return 404, {}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, object]:
        since, era = int(query["watch"]), self.era
        deadline_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            is_gone = since < self.oldest_revision - 1 or since > self.revision
            if is_gone or era != self.era:
                return 410, {}
            events = [
                event
                for revision, changed, event in self.events
                if revision > since and changed == kind
            ]
            left_s = deadline_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue

    def _promote(self, headers: dict, body: dict) -> tuple[int, object]:
        group = self.groups_by_name.get(body["service"])
        holder, fence = headers["duty-holder"], int(headers["fencing-token"])
        self.promotions.append(
            (self.record.now_s(), body["service"], body["id"], holder, fence)
        )
        self.record.note(f"promotion of {body['id']} by {holder}, epoch {fence}")
        if group is None or not group.promote(body["id"]):
            return 409, {}
        return 200, {}


class Node:
    """One entry VM: a process started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, ip: str, folder: Path) -> None:
        """Prepare the node; start() runs it."""
        self.name = name
        self.zone = zone
        self.ip = ip
        ports = _find_free_ports(ip)
        self.callers_port, self.ready_port, self.first_port = ports
        self._settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, **bounds: object) -> None:
        """Write the settings file."""
        settings = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "accra",
            "zones": dict.fromkeys(ZONES, "accra"),
            "listen_addresses": {
                "frontend_address": f"{self.ip}:{self.callers_port}",
                "ready": f"{self.ip}:{self.ready_port}",
            },
            "internal_port_range": [self.first_port, self.first_port + 15],
            "bootstrap": True,
            "limits": {"memory_mb": 430, "file_descriptors": 6300},
            "data_dir": None,
            "heartbeat_interval_ms": int(HEARTBEAT_S * 1000),
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "sql",
                "platform",
            ],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, **bounds},
            "platform": {
                "address": store,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
            "cloud_api": {
                "address": store,
                "rate_per_s": 50.0,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }
        self._settings_path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["POLLENCLEAT_BOOT"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, also while it is stopped."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        return self._log_path.read_text(errors="replace").splitlines()

    async def is_ready(self) -> bool:
        """Return whether the node answers the platform's check with 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


def _find_free_ports(ip: str) -> tuple[int, int, int]:
    """Return ports for callers and checks, and the first of sixteen for the nodes."""
    while True:
        first = random.randrange(20_000, 32_000, 32)
        probes = []
        try:
            for port in range(first, first + 18):
                probe = socket.socket()
                probes.append(probe)
                probe.bind((ip, port))
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
        return first, first + 1, first + 2


@dataclass
class Answer:
    """The answer to one request."""

    rows: list[str] = field(default_factory=list)
    receipt: str = ""
    error: str = ""
    detail: str = ""
    state: str = ""
    is_complete: bool = False


class Client:
    """One client session, which keeps what was acknowledged to it."""

    _last_id = random.Random().getrandbits(40) << 24

    def __init__(self, record: Record, node: Node, database: str) -> None:
        """Prepare a session at a node."""
        self.record = record
        self.node = node
        self.database = database
        self.values: dict[str, str] = {}
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Connect and start the session; False if that fails within 2 s."""
        self.values = {}
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(
                    self.node.ip, self.node.callers_port, limit=2 * MAX_LINE_BYTES
                )
                self._writer.write(f"STARTUP {self.database} team1\r\n".encode())
                answer = await self._read_answer()
        except (OSError, TimeoutError):
            self.close()
            return False
        if not answer.is_complete or answer.error:
            self.close()
            return False
        return True

    @classmethod
    def next_id(cls) -> str:
        """Return a new request id."""
        cls._last_id += 1
        return f"{cls._last_id:016x}"

    async def send(
        self, text: str, request_id: str = "", limit_s: float = 3.0
    ) -> Answer:
        """Send a statement and wait for its answer."""
        request_id = request_id or self.next_id()
        self.record.note(f"send {request_id} to {self.node.name}: {text}")
        try:
            async with asyncio.timeout(limit_s):
                self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
                answer = await self._read_answer()
        except (OSError, TimeoutError) as error:
            answer = Answer(error="CLOSED", detail=type(error).__name__)
        words = text.split(" ")
        if words[0] == "SET" and answer.is_complete and not answer.error:
            self.values[words[1]] = " ".join(words[2:])
        self.record.note(
            f"answer {request_id}: {answer.error or 'ok'} {answer.detail} "
            f"{answer.receipt} {answer.rows} {answer.state}"
        )
        return answer

    async def _read_answer(self) -> Answer:
        answer = Answer()
        while True:
            line = (await self._reader.readline()).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                answer.rows.append(rest)
            elif word == "COMPLETE":
                answer.receipt = rest
            elif word == "ERROR":
                answer.error, _, answer.detail = rest.partition(" ")
            elif word == "READY":
                answer.state, answer.is_complete = rest[:1], True
                return answer
            else:
                answer.error = answer.error or "CLOSED"
                return answer

    def close(self) -> None:
        """Leave."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class World:
    """A small deployment: the store, one service or more, and four entry VMs."""

    def __init__(self, folder: Path, seed: int, groups: int = 1, **options) -> None:
        """Create the stand-ins; start() starts everything."""
        self.random = random.Random(seed)
        self.record = Record(folder / "record.txt")
        self.record.note(f"seed {seed}")
        names = ("booking", "booking2", "booking3")[:groups]
        self.groups = [
            Group(self.record, self.random, name, **options) for name in names
        ]
        self.group = self.groups[0]
        self.store = Store(self.record, self.groups)
        self.nodes: list[Node] = []
        self.version = 7
        self._folder = tempfile.TemporaryDirectory()
        self.path = Path(self._folder.name)

    async def start(self, zones: tuple[str, ...] = NODE_ZONES) -> None:
        """Start everything and wait until all nodes are ready."""
        for group in self.groups:
            await group.start()
        await self.put_configuration()
        self.store.start()
        for number, zone in enumerate(zones):
            node = Node(f"front-{number}", zone, f"127.0.0.{20 + number}", self.path)
            node.write_settings(await self.store.listen_for(node.name))
            self.nodes.append(node)
            node.start()
        await self.wait_until_writable()

    async def put_configuration(self) -> None:
        """Write the next desired state."""
        self.version += 3
        routes = []
        for group in self.groups:
            suffix = group.name.removeprefix("booking")
            for host, kind, timeout_ms, target_ms, max_ms in (
                ("hut", "primary", 800, 150, None),
                ("lookup", "bounded_staleness", 2000, 500, 1500),
                ("gear", "read_your_writes", 800, 250, 2500),
            ):
                route = {
                    "name": f"{host}{suffix}",
                    "host": f"{host}{suffix}",
                    "kind": kind,
                    "service": group.name,
                    "timeout_ms": timeout_ms,
                    "target_latency_ms": target_ms,
                    "priority": 1,
                }
                if max_ms is not None:
                    route["max_staleness_ms"] = max_ms
                routes.append(route)
        services = [
            {
                "name": group.name,
                "connection_limit": group.connection_limit,
                "sync_replica_count": group.sync_replica_count,
            }
            for group in self.groups
        ]
        state = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"transaction_idle_ms": 4000},
        }
        await self.store.put("config", "main", state)

    async def wait_until_writable(self, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until every node is ready and has served a write of every service.

        Raises:
            TimeoutError: That took too long.
        """
        deadline_s = time.monotonic() + limit_s
        for node in self.nodes:
            for group in self.groups:
                while not await self._try_write(node, group):
                    if time.monotonic() > deadline_s:
                        raise TimeoutError(f"{node.name} does not serve")
                    await asyncio.sleep(0.1)

    async def _try_write(self, node: Node, group: Group) -> bool:
        if not await node.is_ready():
            return False
        client = Client(self.record, node, "hut" + group.name.removeprefix("booking"))
        if not await client.open():
            return False
        answer = await client.send("WRITE warm up")
        client.close()
        return not answer.error

    def stop(self) -> None:
        """End all processes that were started, and close the record."""
        for node in self.nodes:
            node.kill()
        for group in self.groups:
            group.stop()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                target = Path(keep) / f"{node.name}.log"
                target.write_text("\n".join(node.log_lines()))
        self.record.close()
        self._folder.cleanup()


def run_case(
    folder: Path,
    play: Callable[[World, bool], Awaitable[list[str]]],
    **options: object,
) -> None:
    """Play a case and exit with 0 (rule held), 1 (rule broken) or 2 (could not run).

    Args:
        folder: Folder of the case.
        play: Plays it, with the disruption if the second argument is true, and returns
            what broke the rule.
        options: Options of the world.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", str(int(time.time() * 1000) % 1_000_000)))
    world = World(folder, seed, **options)

    async def play_in_time() -> list[str]:
        async with asyncio.timeout(110.0):
            await world.start()
            broken = await play(world, is_troubled)
        for node in world.nodes:
            node.kill()
        await asyncio.sleep(0.1)
        return broken

    code = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(code))
    try:
        broken = asyncio.run(play_in_time())
        for line in broken:
            world.record.note(f"BROKEN {line}")
        print("\n".join(broken[:3]))
        print(f"{len(broken)} violations, trouble {is_troubled}, seed {seed}")
        code = 1 if broken else 0
    except Exception as error:
        world.record.note(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
    finally:
        world.stop()
    sys.exit(code)
