"""Stand-in for the users' backend servers, which speak a line protocol.

A group replicates one log.  Replicas apply entries after a delay, and a commit waits
until ``sync_replica_count`` replicas have received it.  To detect errors of the proxy,
every server itself rejects misrouted connections, writes to a replica, reads of
positions that it has not applied and excess connections, and records the statements
that it ran.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field

from standins.segments import cut_into_segments

MAX_LINE_BYTES = 1024 * 1024
LINE_END = b"\r\n"
POLL_INTERVAL_S = 0.002
SEGMENT_PAUSE_S = 0.01
"""Longest pause in seconds between two segments of an answer."""

ACKNOWLEDGE_TIMEOUT_S = 2.0
"""Longest time that a commit waits for replicas before it fails."""


@dataclass(frozen=True)
class LogEntry:
    """A committed write; its log position is ``term.number``."""

    term: int
    number: int
    key: str
    value: str
    request_id: str


@dataclass
class ServerFaults:
    """Active faults of a server.

    Attributes:
        lose_responses: Number of reads, writes and commits that run but whose
            connection is aborted before the response.
        busy: Whether reads, writes and commits are rejected with BUSY.
        silent: Whether statements wait unprocessed until the fault ends.
        reject_proxy_statements: Number of statements of the proxy itself (request id
            ``-``) to reject with BUSY.
        repeat_probability: Probability that an answer of any kind is sent twice.
        repeat_delay_s: Range of the seconds until the second answer is sent.
        busy_probability: Probability that a statement is rejected with BUSY, also one
            that needs no slot.
        split_probability: Probability that an answer is sent in several segments.
        fails_transactions: Whether an error fails the open transaction, which then
            accepts only its end.
    """

    lose_responses: int = 0
    busy: bool = False
    silent: bool = False
    reject_proxy_statements: int = 0
    repeat_probability: float = 0.0
    repeat_delay_s: tuple[float, float] = (0.0, 0.3)
    busy_probability: float = 0.0
    split_probability: float = 0.0
    fails_transactions: bool = False


@dataclass
class _Session:
    connection: int = 0
    transaction: int = 0
    has_failed: bool = False
    output: asyncio.Lock = field(default_factory=asyncio.Lock)
    values: dict[str, str] = field(default_factory=dict)
    prepared_statements: dict[str, tuple[str, str]] = field(default_factory=dict)
    in_transaction: bool = False
    read_only: bool = False
    writes: list[tuple[str, str, str]] = field(default_factory=list)
    term: int = 0

    def end_transaction(self) -> None:
        """Leave the open transaction."""
        self.in_transaction = False
        self.has_failed = False
        self.transaction = 0


@dataclass(frozen=True)
class ExecutedStatement:
    """A statement that a server ran, with the session values at that time.

    Attributes:
        shape: Access and definition of the prepared statement that ran, or empty.
        in_transaction: Whether a transaction was open on the connection.
        receipt: Proof of this run, which no other run has.
        row: Row that a read returned.
        log: The server's append-only log.
        applied_count: Number of leading log entries that the statement saw.
        connection: Number of the connection, which no other one of the group has.
        transaction: Number of the open transaction, which no other one of the group
            has; 0 outside of transactions.
    """

    server_id: str
    request_id: str
    text: str
    values: tuple[tuple[str, str], ...]
    shape: str = ""
    in_transaction: bool = False
    receipt: str = ""
    row: str = ""
    log: tuple[LogEntry, ...] | list[LogEntry] = ()
    applied_count: int = 0
    connection: int = 0
    transaction: int = 0


class LineServer:
    """One backend server of a group.

    Attributes:
        applied_count: Number of applied log entries.
        paused_for_term: Term for which replication is paused; 0 if it is not.
        born: Incarnation number; a server that restarts empty gets a new one.
        connections: Open connections.
        peak_connections: Most connections open at the same time.
        sequence: Number of entries written to the object store.
        status_calls: Number of STATUS commands received.
        port: Listening port, kept across restarts.
        public_port: Port to publish instead of the listening port, unless 0.
        has_left: Whether the server has ended for good.
    """

    _incarnations = itertools.count(1)

    def __init__(self, group: "ServerGroup", server_id: str, zone: str) -> None:
        """Create a replica with an empty log; start listens."""
        self.group = group
        self.server_id = server_id
        self.zone = zone
        self.log: list[LogEntry] = []
        self.applied_count = 0
        self.term = group.first_term
        self.paused_for_term = 0
        self.is_primary = False
        self.draining = False
        self.faults = ServerFaults()
        self.born = next(self._incarnations)
        self.connections = 0
        self.peak_connections = 0
        self.sequence = 0
        self.status_calls = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.public_port = 0
        self.has_left = False

    async def start(self) -> None:
        """Listen on loopback, on the previous port if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Simulate a crash: abort all connections and keep the log."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_running(self) -> bool:
        """Whether the server is listening."""
        return self._server is not None

    async def restart(self) -> None:
        """Restart with the log kept, as a replica if another server was promoted.

        A server that has left does not come back.
        """
        if self.has_left:
            return
        if self.term < self.group.newest_term():
            self.is_primary = False
        self.paused_for_term = 0
        await self.start()
        self.group.catch_up(self)

    async def restart_empty(self) -> None:
        """Restart as a replica with an empty log, under the same id and address.

        A server that has left does not come back.
        """
        if self.has_left:
            return
        await self.stop()
        self.log = []
        self.applied_count = 0
        self.is_primary = False
        self.paused_for_term = 0
        self.born = next(self._incarnations)
        await self.start()

    def roll_back_to(self, log: list[LogEntry]) -> None:
        """Drop the entries that another server's log does not have.

        Args:
            log: The other server's log.
        """
        kept = set(log)
        self.log = [entry for entry in self.log if entry in kept]
        self.applied_count = min(self.applied_count, len(self.log))

    def make_store_entry(self) -> dict | None:
        """Return the server's object store entry, or None while it is down."""
        if not self.is_running:
            return None
        self.sequence += 1
        return {
            "service": self.group.name,
            "address": f"127.0.0.1:{self.public_port or self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "database_role": "primary" if self.is_primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    def position(self) -> str:
        """Return the log position of the last applied entry."""
        return _last_position(self.log[: self.applied_count], self.group.first_term)

    def received(self) -> str:
        """Return the log position of the last received entry."""
        return _last_position(self.log, self.group.first_term)

    def has_applied(self, position: str) -> bool:
        """Return whether the log is applied up to a position."""
        required = tuple(int(part) for part in position.split("."))
        reached = tuple(int(part) for part in self.position().split("."))
        return reached >= required

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_running:
            # The connection was accepted just before the server stopped.
            writer.transport.abort()
            return
        self._writers.add(writer)
        self.connections += 1
        session = _Session(next(self.group.connection_numbers))
        try:
            startup = (await _read_line(reader)).split()
            if not self._accepts_startup(startup):
                writer.write(b"ERROR MISROUTED another server\r\n")
                return
            if self.connections > self.group.connection_limit:
                writer.write(b"ERROR TOOMANY\r\n")
                return
            self.peak_connections = max(self.peak_connections, self.connections)
            await self._send(session, writer, f"READY I {self.position()}\r\n")
            while True:
                line = await _read_line(reader)
                self._record_line(session, f"receives {line!r}")
                if line == "TERMINATE":
                    return
                word, _, rest = line.partition(" ")
                request_id, _, text = rest.partition(" ")
                if word != "QUERY" or not text:
                    response = self._reject_malformed(session, line)
                    await self._send(session, writer, response)
                    continue
                self.group.received_request_ids.add(request_id)
                try:
                    response = await self._respond(session, request_id, text)
                except (IndexError, ValueError):
                    response = self._reject_malformed(session, line)
                if response is None:
                    writer.transport.abort()
                    return
                await self._send(session, writer, response)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _send(
        self, session: _Session, writer: asyncio.StreamWriter, response: str
    ) -> None:
        """Send an answer, and at times a second time, later."""
        data = response.encode()
        await self._write_whole(session, writer, data)
        faults, generator = self.faults, self.group.random
        if generator.random() >= faults.repeat_probability:
            return

        async def repeat() -> None:
            await asyncio.sleep(delay_s)
            if not writer.is_closing():
                self.group.second_answers += 1
                await self._write_whole(session, writer, data, "again ")

        delay_s = generator.uniform(*faults.repeat_delay_s)
        self.group.start_task(repeat())

    async def _write_whole(
        self,
        session: _Session,
        writer: asyncio.StreamWriter,
        data: bytes,
        note: str = "",
    ) -> None:
        """Send an answer, at times in segments, before any other answer."""
        generator = self.group.random
        segments = [data]
        if generator.random() < self.faults.split_probability:
            segments = cut_into_segments(data, generator)
        async with session.output:
            self._record_line(session, f"answers {note}{data!r}")
            writer.write(segments[0])
            for segment in segments[1:]:
                await asyncio.sleep(generator.uniform(0.0, SEGMENT_PAUSE_S))
                if writer.is_closing():
                    return
                writer.write(segment)

    def _record_line(self, session: _Session, text: str) -> None:
        self.group.record_line(
            f"{self.server_id} connection {session.connection} {text}"
        )

    def _reject_malformed(self, session: _Session, line: str) -> str:
        """Record a line that the proxy must never send."""
        self.group.malformed_lines.append(line)
        return self._error_response(session, "MALFORMED")

    def _accepts_startup(self, startup: list[str]) -> bool:
        if len(startup) < 3 or startup[0] != "STARTUP" or startup[1] != self.group.name:
            return False
        return len(startup) < 4 or startup[3] == self.server_id

    async def _respond(
        self, session: _Session, request_id: str, text: str
    ) -> str | None:
        while self.faults.silent:
            await asyncio.sleep(POLL_INTERVAL_S)
        if request_id == "-" and self.faults.reject_proxy_statements:
            self.faults.reject_proxy_statements -= 1
            return self._error_response(session, "BUSY")
        if session.has_failed and text not in ("COMMIT", "ROLLBACK"):
            return self._error_response(session, "MALFORMED")
        if self.group.random.random() < self.faults.busy_probability:
            return self._error_response(session, "BUSY")
        words = text.split(" ")
        if words[0] == "WAITFOR":
            if not self.has_applied(words[1]):
                return self._error_response(session, "LAGGING")
            words = words[2:]
        text = " ".join(words)
        if words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT") and self.faults.busy:
            return self._error_response(session, "BUSY")
        response = await self._dispatch(session, request_id, words, text)
        accesses_data = words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT")
        if accesses_data and self.faults.lose_responses:
            self.faults.lose_responses -= 1
            return None
        return response

    async def _dispatch(
        self, session: _Session, request_id: str, words: list[str], text: str
    ) -> str:
        verb = words[0]
        if verb == "SET":
            session.values[words[1]] = " ".join(words[2:])
        elif verb == "PREPARE":
            session.prepared_statements[words[1]] = (words[2], " ".join(words[3:]))
        elif verb == "DEALLOCATE":
            if session.prepared_statements.pop(words[1], None) is None:
                return self._error_response(session, "UNKNOWN")
        elif verb == "DISCARD":
            session.values.clear()
            session.prepared_statements.clear()
        elif verb == "BEGIN":
            if session.in_transaction:
                return self._reject_malformed(session, "BEGIN in a transaction")
            if len(words) == 1 and not self.is_primary:
                return self._error_response(session, "READONLY")
            session.in_transaction = True
            session.read_only = len(words) > 1
            session.term = self.term
            session.transaction = next(self.group.transaction_numbers)
        elif verb == "ROLLBACK":
            session.end_transaction()
            session.writes.clear()
        elif verb == "COMMIT":
            return await self._commit(session, request_id)
        elif verb in ("READ", "WRITE", "EXECUTE"):
            return await self._execute_statement(session, request_id, words, text)
        else:
            return self._execute_control_command(session, words, text)
        return f"COMPLETE -\r\n{self._ready_line(session)}"

    async def _execute_statement(
        self, session: _Session, request_id: str, words: list[str], text: str
    ) -> str:
        access, item, data = words[0], words[1], " ".join(words[2:])
        shape = ""
        if access == "EXECUTE":
            prepared = session.prepared_statements.get(words[1])
            if prepared is None:
                return self._error_response(session, "UNKNOWN")
            access, item, data = prepared[0], words[2], " ".join(words[3:])
            shape = " ".join(prepared)
        if access == "WRITE" and not self.is_primary:
            return self._error_response(session, "READONLY")
        if session.in_transaction and not session.read_only and not self.is_primary:
            return self._error_response(session, "READONLY")
        await asyncio.sleep(self.group.statement_duration_s)
        row = self._read_item(session, item) if access == "READ" else ""
        receipt = self._next_receipt(request_id)
        self.group.executed_statements.append(
            self._describe_run(session, request_id, text, receipt, shape, row)
        )
        if access == "READ":
            return f"DATAROW {row}\r\nCOMPLETE {receipt}\r\n" + self._ready_line(
                session
            )
        session.writes.append((item, data, request_id))
        if not session.in_transaction and not await self._append_to_log(session):
            return self._error_response(session, "FAILED")
        return f"COMPLETE {receipt}\r\n{self._ready_line(session)}"

    def _describe_run(
        self,
        session: _Session,
        request_id: str,
        text: str,
        receipt: str,
        shape: str = "",
        row: str = "",
    ) -> ExecutedStatement:
        return ExecutedStatement(
            self.server_id,
            request_id,
            text,
            tuple(sorted(session.values.items())),
            shape,
            session.in_transaction,
            receipt,
            row,
            self.log,
            self.applied_count,
            session.connection,
            session.transaction,
        )

    def _next_receipt(self, request_id: str) -> str:
        return f"{self.server_id}.{next(self.group.run_numbers):x}.{request_id}"

    def _read_item(self, session: _Session, item: str) -> str:
        for written_item, data, _ in reversed(session.writes):
            if written_item == item:
                return data
        for entry in reversed(self.log[: self.applied_count]):
            if entry.key == item:
                return entry.value
        return "none"

    async def _commit(self, session: _Session, request_id: str) -> str:
        if not session.in_transaction:
            line = f"COMMIT {request_id} outside a transaction"
            return self._reject_malformed(session, line)
        if session.has_failed:
            session.end_transaction()
            session.writes.clear()
            return self._error_response(session, "ABORTED")
        if session.writes and not self.is_primary:
            session.end_transaction()
            session.writes.clear()
            return self._error_response(session, "READONLY")
        receipt = self._next_receipt(request_id)
        self.group.executed_commits.append(
            self._describe_run(session, request_id, "COMMIT", receipt)
        )
        is_replicated = await self._append_to_log(session)
        session.end_transaction()
        if not is_replicated:
            return self._error_response(session, "FAILED")
        return f"COMPLETE {receipt}\r\n{self._ready_line(session)}"

    async def _append_to_log(self, session: _Session) -> bool:
        """Append the session's writes; False if too few replicas received them."""
        writes, session.writes = session.writes, []
        for item, data, request_id in writes:
            number = self.log[-1].number + 1 if self.log else 1
            self.log.append(LogEntry(self.term, number, item, data, request_id))
        self.applied_count = len(self.log)
        if not writes:
            return True
        self.group.replicate(self)
        return await self.group.wait_for_replicas(self, self.log[-1])

    def _execute_control_command(
        self, session: _Session, words: list[str], text: str = ""
    ) -> str:
        verb = words[0]
        if verb == "STATUS":
            self.status_calls += 1
        elif verb == "PAUSE":
            if int(words[1]) > self.term:
                self.paused_for_term = int(words[1])
        elif verb == "RESUME":
            self.paused_for_term = 0
            self.group.catch_up(self)
        elif verb == "STEPDOWN":
            if self.is_primary and self.term < int(words[1]):
                self.is_primary = False
                self.group.catch_up(self)
        else:
            return self._reject_malformed(session, text)
        role = "primary" if self.is_primary else "replica"
        row = f"{role} {self.term} {self.received()} {self.paused_for_term} 0 0 1"
        return f"DATAROW {row}\r\nCOMPLETE -\r\n{self._ready_line(session)}"

    def _error_response(self, session: _Session, code: str) -> str:
        session.has_failed = session.in_transaction and (
            session.has_failed or self.faults.fails_transactions
        )
        return f"ERROR {code} {self.server_id}\r\n{self._ready_line(session)}"

    def _ready_line(self, session: _Session) -> str:
        state = "I"
        if session.in_transaction:
            state = "E" if session.has_failed else "T"
        return f"READY {state} {self.position()}\r\n"


async def _read_line(reader: asyncio.StreamReader) -> str:
    """Return the next line without its end; a lone CR or LF is part of its text."""
    return (await reader.readuntil(LINE_END)).removesuffix(LINE_END).decode()


def _last_position(log: list[LogEntry], first_term: int) -> str:
    if not log:
        return f"{first_term}.0"
    return f"{log[-1].term}.{log[-1].number}"


def _discard(text: str) -> None:
    """Record nothing."""


class ServerGroup:
    """A primary and its replicas.

    Attributes:
        sync_replica_count: Replicas that must receive a write before it is
            acknowledged.
        lag_s: Seconds until a replica applies a received entry.
        statement_duration_s: Seconds that each read or write takes.
        promotion_delay_s: Seconds that a promotion takes.
        connection_limit: Limit on open connections per server.
        first_term: Term of the servers at the start.
        executed_statements: Reads and writes that the servers ran, in order.
        executed_commits: Commits that the servers ran, in order.
        received_request_ids: Ids of the requests that reached a server.
        malformed_lines: Lines that are no statement, which the proxy must never send.
        second_answers: Number of answers that were sent a second time.
        random: Draws the faults that happen with a probability.
        record_event: Called with a line for each promotion, with the log positions of
            all servers.
        record_line: Called with a line for each request and answer of a connection.
        unreachable_replica_ids: Ids of replicas that receive no entries from the
            primary.
        left_server_ids: Ids of servers that have left for good.
    """

    def __init__(
        self,
        name: str,
        zones: tuple[str, ...],
        sync_replica_count: int = 1,
        lag_s: float = 0.005,
        statement_duration_s: float = 0.001,
        promotion_delay_s: float = 0.1,
        connection_limit: int = 30,
        first_term: int = 3,
    ) -> None:
        """Create one server per zone; the first is the primary."""
        self.name = name
        self.sync_replica_count = sync_replica_count
        self.lag_s = lag_s
        self.statement_duration_s = statement_duration_s
        self.promotion_delay_s = promotion_delay_s
        self.connection_limit = connection_limit
        self.first_term = first_term
        self.executed_statements: list[ExecutedStatement] = []
        self.executed_commits: list[ExecutedStatement] = []
        self.received_request_ids: set[str] = set()
        self.malformed_lines: list[str] = []
        self.second_answers = 0
        self.run_numbers = itertools.count(1)
        self.connection_numbers = itertools.count(1)
        self.transaction_numbers = itertools.count(1)
        self.random = random.Random(1)
        self.record_event: Callable[[str], None] = _discard
        self.record_line: Callable[[str], None] = _discard
        self.servers = [
            LineServer(self, f"{name}-{number}", zone)
            for number, zone in enumerate(zones)
        ]
        self.servers[0].is_primary = True
        self.unreachable_replica_ids: set[str] = set()
        self.left_server_ids: set[str] = set()
        self._highest_term = first_term
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start all servers."""
        for server in self.servers:
            await server.start()

    async def stop(self) -> None:
        """Stop all servers."""
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()

    async def add_server(
        self, server_id: str, zone: str, port: int = 0, public_port: int = 0
    ) -> LineServer:
        """Start a further replica, which receives the primary's log.

        Args:
            server_id: Its id.
            zone: Its failure domain.
            port: Port to listen on, or 0 for a free one.
            public_port: Port to publish instead, or 0.

        Returns:
            The server.
        """
        server = LineServer(self, server_id, zone)
        server.port, server.public_port = port, public_port
        await server.start()
        self.servers.append(server)
        self.catch_up(server)
        return server

    async def remove_server(self, server: LineServer) -> None:
        """End a server for good, and with it its log.

        Args:
            server: The server.
        """
        self.newest_term()
        self.servers.remove(server)
        self.left_server_ids.add(server.server_id)
        server.has_left = True
        server.is_primary = False
        await server.stop()
        server.log = []

    def newest_term(self) -> int:
        """Return the newest term that any server has reached."""
        terms = [server.term for server in self.servers]
        self._highest_term = max(self._highest_term, *terms)
        return self._highest_term

    def by_id(self, server_id: str) -> LineServer:
        """Return the server with an id."""
        return next(item for item in self.servers if item.server_id == server_id)

    def replicate(self, primary: LineServer) -> None:
        """Send the primary's log to all reachable replicas that are not paused.

        Args:
            primary: The server whose log is sent; one that is down sends nothing.
        """
        if not primary.is_running:
            return
        for server in self.servers:
            is_unreachable = (
                server.server_id in self.unreachable_replica_ids
                or not server.is_running
            )
            if server is primary or server.paused_for_term or is_unreachable:
                continue
            # A former primary receives nothing until it has stepped down.
            if server.is_primary or server.term > primary.term:
                continue
            server.log = list(primary.log)
            server.term = primary.term
            self.start_task(self._apply(server, len(server.log)))

    def catch_up(self, server: LineServer) -> None:
        """Replicate from the current primary unless it is this server."""
        for primary in self.servers:
            if primary.is_primary and primary is not server:
                self.replicate(primary)

    async def _apply(self, server: LineServer, entry_count: int) -> None:
        await asyncio.sleep(self.lag_s)
        server.applied_count = max(
            server.applied_count, min(entry_count, len(server.log))
        )

    async def wait_for_replicas(self, primary: LineServer, entry: LogEntry) -> bool:
        """Return whether ``sync_replica_count`` replicas received an entry in time."""
        deadline_s = asyncio.get_running_loop().time() + ACKNOWLEDGE_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline_s:
            replicas_with_entry = [
                server
                for server in self.servers
                if server is not primary and entry in server.log
            ]
            if len(replicas_with_entry) >= self.sync_replica_count:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def begin_promotion(self, server_id: str) -> bool:
        """Start the promotion of a server; False if it is not running or has left."""
        if server_id in self.left_server_ids:
            return False
        server = self.by_id(server_id)
        if not server.is_running:
            return False
        if not server.is_primary:
            self.start_task(self._promote(server))
        return True

    async def _promote(self, server: LineServer) -> None:
        await asyncio.sleep(self.promotion_delay_s)
        if server.has_left:
            return
        positions = ", ".join(
            f"{other.server_id} at {other.received()}" for other in self.servers
        )
        server.term = self.newest_term() + 1
        self.record_event(f"{server.server_id} leads term {server.term}: {positions}")
        server.paused_for_term = 0
        server.is_primary = True
        server.applied_count = len(server.log)
        for other in self.servers:
            if other is server or other.is_primary or not other.is_running:
                continue
            other.paused_for_term = 0
            if other.server_id in self.unreachable_replica_ids:
                other.roll_back_to(server.log)
                continue
            other.log = list(server.log)
            other.applied_count = len(other.log)
            other.term = server.term

    def start_task(self, coroutine: Coroutine) -> None:
        """Run a coroutine until the group stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
