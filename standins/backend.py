"""Stand-in for a backend server: the MySQL protocol over in-memory SQLite.

Run by hand: ``python -m standins.backend --server-id a --port 3301``.  Besides SQL it
accepts the platform's replication statements (status, FENCE, PROMOTE, FOLLOW, DUMP LOG)
and ``CONTROL name=value`` for fault injection: lag_ms, service_ms, cut_users and
cut_servers (comma-separated names that receive no response).
"""

import asyncio
import contextlib
import re
from collections.abc import Callable
from dataclasses import dataclass, field

import click
import uvloop
from mysql_mimic import packets
from mysql_mimic.auth import IdentityProvider, NativePasswordAuthPlugin, User
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.control import LocalControl
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.session import BaseSession
from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import Capabilities, ColumnType, ServerStatus

from pollencleat.callers.session import CallerVariables
from standins.database import Database, DatabaseError, Result, encode_entry
from standins.every_type import EVERY_TYPE_SQL, make_column, make_every_type_result
from standins.replication import LOG_MISMATCH_CODE, Replicator

DUMP_LOG_WAIT_S = 0.2
STATUS_COLUMNS = re.compile(r"SELECT\s+@@server_term\b.*", re.IGNORECASE)
_WRITE_STATEMENT = re.compile(
    r"\s*(?:INSERT|UPDATE|DELETE|REPLACE|CREATE|ALTER|DROP|TRUNCATE)\b", re.IGNORECASE
)
_LOCKING_CLAUSE = re.compile(r"\s+FOR\s+(?:UPDATE|SHARE)\s*$", re.IGNORECASE)
_LEADING_COMMENTS = re.compile(r"^(?:\s|/\*.*?\*/)*", re.DOTALL)
_command_handlers: list[tuple[re.Pattern, Callable]] = []


def command(pattern: str) -> Callable[[Callable], Callable]:
    """Register the decorated method as the handler of matching statements.

    Args:
        pattern: Regular expression that must match the whole statement.

    Returns:
        The decorator.
    """

    def register(function: Callable) -> Callable:
        compiled = re.compile(pattern + r"\s*;?\s*$", re.IGNORECASE | re.DOTALL)
        _command_handlers.append((compiled, function))
        return function

    return register


@dataclass
class BackendServer:
    """State that all sessions of one server share.

    Attributes:
        slots: Statements that may run at the same time.
        connections: Limit on open client connections; replicas do not count.
        connect_cost_s: Seconds added to each new connection.
        service_s: Seconds that each SQL statement holds its slot.
        peak_connections: Most client connections open at the same time.
        cut_users: Users whose statements get no response.
        cut_servers: Replicas whose log requests get no response.
    """

    server_id: str
    slots: int
    connections: int
    connect_cost_s: float
    service_s: float
    database: Database = field(default_factory=Database)
    sessions: set["BackendSession"] = field(default_factory=set)
    peak_connections: int = 0
    cut_users: frozenset[str] = frozenset()
    cut_servers: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        """Create the slot semaphore and the replicator."""
        self.slot_semaphore = asyncio.Semaphore(self.slots)
        self.replicator = Replicator(self.database, self.server_id)

    def end_client_sessions(self) -> None:
        """Close the connections of all sessions that have selected a database."""
        for session in list(self.sessions):
            if session.database:
                session.connection.stream_writer.close()


class SharedPasswordIdentityProvider(IdentityProvider):
    """Accepts any user with a shared password; user ``replica`` needs none."""

    def __init__(self, password: str) -> None:
        """Hash the password that all clients share."""
        self._password_hash = NativePasswordAuthPlugin.create_auth_string(password)

    async def get_user(self, username: str) -> User:
        """Return the user's authentication data.

        Args:
            username: Any name.

        Returns:
            A user with the shared password, or without one for ``replica``.
        """
        auth_string = None if username == "replica" else self._password_hash
        return User(username, auth_string, NativePasswordAuthPlugin.name)


class BackendSession(BaseSession):
    """Executes the statements of one connection."""

    def __init__(self, server: BackendServer) -> None:
        """Create a session outside a transaction."""
        self.server = server
        self.variables = CallerVariables()
        self.username = None
        self.database = None
        self.connection: BackendConnection | None = None
        self.in_transaction = False
        self.is_read_only = False

    async def close(self) -> None:
        """Roll back an open transaction."""
        if self.in_transaction:
            self.in_transaction = False
            self.server.database.rollback()

    async def execute(self, sql: str) -> Result:
        """Run a registered command or an SQL statement.

        Args:
            sql: Statement text; leading comments are ignored.

        Returns:
            The result.

        Raises:
            DatabaseError: The statement failed.
            ConnectionClosed: The client disconnected while its user was cut off.
        """
        await self._wait_while_user_cut()
        bare_sql = _LEADING_COMMENTS.sub("", sql).strip()
        for pattern, function in _command_handlers:
            match = pattern.match(bare_sql)
            if match:
                return await function(self, match)
        # Release the slot before waiting for the database lock: the transaction that
        # holds the lock needs a slot to proceed.
        async with self.server.slot_semaphore:
            if self.server.service_s:
                await asyncio.sleep(self.server.service_s)
        result = await self._execute_sql(bare_sql)
        await self._wait_while_user_cut()
        return result

    async def _wait_while_user_cut(self) -> None:
        while self.username in self.server.cut_users:
            if self.connection.stream_reader.at_eof():
                raise ConnectionClosed
            await asyncio.sleep(0.05)

    async def _execute_sql(self, sql: str) -> Result:
        database = self.server.database
        is_write = bool(_WRITE_STATEMENT.match(sql))
        sql = _LOCKING_CLAUSE.sub("", sql)
        if is_write and (database.read_only or self.is_read_only):
            raise DatabaseError(1290, "HY000", "The server is running read-only")
        if self.in_transaction:
            return database.execute(sql, is_write)
        await database.begin(self)
        try:
            if is_write and database.read_only:
                raise DatabaseError(1290, "HY000", "The server is running read-only")
            result = database.execute(sql, is_write)
        except BaseException:
            database.rollback()
            raise
        database.commit()
        return result

    @command(r"BEGIN|START\s+TRANSACTION(?P<read_only>\s+READ\s+ONLY)?")
    async def _begin(self, match: re.Match) -> Result:
        database = self.server.database
        if self.in_transaction:
            database.commit()
            self.in_transaction = False
        is_read_only = bool(match["read_only"])
        if database.read_only and not is_read_only:
            raise DatabaseError(1290, "HY000", "The server is running read-only")
        await database.begin(self)
        self.in_transaction = True
        self.is_read_only = is_read_only
        return Result()

    @command(r"COMMIT")
    async def _commit(self, match: re.Match) -> Result:
        if not self.in_transaction:
            return Result()
        self.in_transaction = False
        database = self.server.database
        if database.read_only and database.statements:
            database.rollback()
            raise DatabaseError(1290, "HY000", "The server is running read-only")
        database.commit()
        self.is_read_only = False
        return Result()

    @command(r"ROLLBACK")
    async def _rollback(self, match: re.Match) -> Result:
        if self.in_transaction:
            self.in_transaction = False
            self.is_read_only = False
            self.server.database.rollback()
        return Result()

    @command(r"SET\s+.*")
    async def _set(self, match: re.Match) -> Result:
        return Result()

    @command(r"SELECT\s+@@server_term\s*,\s*@@log_position(?:\s*,\s*(?P<number>\d+))?")
    async def _position(self, match: re.Match) -> Result:
        database = self.server.database
        names, row = ("term", "position"), (database.term, database.position)
        if match["number"] is not None:
            names, row = (*names, "number"), (*row, int(match["number"]))
        return Result(names, (row,))

    @command(r"SELECT\s+@@server_term\b.*@@following(?:\s*,\s*(?P<number>\d+))?")
    async def _status(self, match: re.Match) -> Result:
        database = self.server.database
        row = (
            database.term,
            database.position,
            database.received_position,
            database.last_entry_term,
            int(database.read_only),
            database.following,
        )
        names = "term position received entry_term read_only following"
        if match["number"] is not None:
            names, row = f"{names} number", (*row, int(match["number"]))
        return Result(tuple(names.split()), (row,))

    @command(r"SELECT\s+@@peak_connections")
    async def _peak(self, match: re.Match) -> Result:
        return Result(("peak",), ((self.server.peak_connections,),))

    @command(EVERY_TYPE_SQL)
    async def _every_type(self, match: re.Match) -> Result:
        return Result(("every",), ((EVERY_TYPE_SQL,),))

    @command(r"FENCE\s+FOR\s+TERM\s+(?P<term>\d+)")
    async def _fence(self, match: re.Match) -> Result:
        self._adopt_term(int(match["term"]))
        self.server.database.read_only = True
        self.server.end_client_sessions()
        return Result()

    def _adopt_term(self, term: int) -> None:
        database = self.server.database
        if term < database.term:
            raise DatabaseError(
                1105,
                "HY000",
                f"term {term} is older than the current term {database.term}",
            )
        database.term = term

    @command(r"PROMOTE\s+TO\s+TERM\s+(?P<term>\d+)")
    async def _promote(self, match: re.Match) -> Result:
        database = self.server.database
        term = int(match["term"])
        if term == database.term and not database.read_only:
            return Result(("start",), ((database.start_position,),))
        self._adopt_term(term)
        self.server.replicator.stop()
        database.start_position = database.position
        database.read_only = False
        return Result(("start",), ((database.start_position,),))

    @command(
        r"FOLLOW\s+'(?P<id>[^']+)'\s+AT\s+'(?P<host>[^':]+):(?P<port>\d+)'"
        r"\s+FOR\s+TERM\s+(?P<term>\d+)"
    )
    async def _follow(self, match: re.Match) -> Result:
        database = self.server.database
        self._adopt_term(int(match["term"]))
        if not database.read_only:
            database.read_only = True
            self.server.end_client_sessions()
        self.server.replicator.follow(match["id"], match["host"], int(match["port"]))
        return Result()

    @command(
        r"DUMP\s+LOG\s+FROM\s+(?P<from>\d+)\s+TERM\s+(?P<term>\d+)\s+FOR\s+'(?P<id>[^']*)'"
    )
    async def _dump(self, match: re.Match) -> Result:
        database = self.server.database
        position = int(match["from"])
        await self._wait_while_server_cut(match["id"])
        log_matches = position <= database.position and (
            position == 0 or database.log[position - 1].term == int(match["term"])
        )
        if not log_matches:
            raise DatabaseError(
                LOG_MISMATCH_CODE,
                "HY000",
                "the replica's log does not match this server's log",
            )
        if position == database.position:
            log_appended = database.log_appended
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DUMP_LOG_WAIT_S):
                    await log_appended.wait()
        await self._wait_while_server_cut(match["id"])
        entries = database.log[position : position + 500]
        return Result(("entry",), tuple((encode_entry(item),) for item in entries))

    async def _wait_while_server_cut(self, server_id: str) -> None:
        while server_id in self.server.cut_servers:
            if self.connection.stream_reader.at_eof():
                raise ConnectionClosed
            await asyncio.sleep(0.05)

    @command(r"CONTROL\s+(?P<name>\w+)\s*=\s*(?P<value>\S*)")
    async def _control(self, match: re.Match) -> Result:
        server = self.server
        name, value = match["name"].lower(), match["value"]
        if name == "lag_ms":
            server.database.lag_s = float(value) / 1000
        elif name == "service_ms":
            server.service_s = float(value) / 1000
        elif name == "cut_users":
            server.cut_users = frozenset(filter(None, value.split(",")))
        elif name == "cut_servers":
            server.cut_servers = frozenset(filter(None, value.split(",")))
        else:
            raise DatabaseError(1193, "HY000", f"unknown control {name}")
        return Result()


class BackendConnection(Connection):
    """Adds row counts, insert ids and status flags to the library's responses."""

    stream_reader: asyncio.StreamReader
    stream_writer: asyncio.StreamWriter

    async def authenticate(self, **options: object) -> None:
        """Authenticate the client.

        Args:
            **options: Passed on to the library.

        Raises:
            ConnectionClosed: Authentication failed.
        """
        await super().authenticate(**options)
        if self.session.username is None:
            raise ConnectionClosed

    async def handle_query(self, data: bytes) -> None:
        """Respond to a text query.

        Args:
            data: Encoded statement.
        """
        await self._answer(data.decode("utf8", "surrogateescape"), self._write_text)

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Execute a prepared statement.

        Args:
            data: Encoded statement id, flags and parameters.
        """
        execute = packets.parse_com_stmt_execute(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
            get_stmt=self.get_stmt,
        )
        execute.stmt.param_buffers = None
        await self._answer(execute.sql, self._write_binary)

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back an open transaction; session variables are not reset.

        Args:
            data: Empty.
        """
        await self.session.close()
        await self.stream.write(self.ok())

    async def _answer(self, sql: str, write_rows: Callable) -> None:
        try:
            result = await self.session.execute(sql)
        except ConnectionClosed:
            self.stream_writer.close()
            return
        except DatabaseError as error:
            self._set_status()
            await self.stream.write(_make_error(error))
            return
        self._set_status()
        if result.columns:
            await write_rows(_make_result_set(result))
            return
        await self.stream.write(
            self.ok(
                affected_rows=result.affected_rows,
                last_insert_id=result.last_insert_id,
            )
        )

    def _set_status(self) -> None:
        status = ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.in_transaction:
            status |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    async def _write_text(self, result_set: ResultSet) -> None:
        await self.write_text_resultset(result_set)

    async def _write_binary(self, result_set: ResultSet) -> None:
        write = self.stream.write
        await write(bytes([len(result_set.columns)]), drain=False)
        for column in result_set.columns:
            await write(_define_column(self, column), drain=False)
        if not self.deprecate_eof():
            await write(self.eof(), drain=False)
        for row in result_set.rows:
            await write(
                packets.make_binary_resultrow(row, result_set.columns), drain=False
            )
        await write(self.ok_or_eof())

    def com_stmt_prepare_response(self, statement):
        """Describe a prepared statement, without EOF for clients that deprecate it.

        Args:
            statement: Prepared statement.

        Yields:
            Packet payloads.
        """
        yield packets.make_com_stmt_prepare_ok(statement)
        if not statement.num_params:
            return
        for _ in range(statement.num_params):
            yield packets.make_column_definition_41(
                server_charset=self.server_charset, name="?"
            )
        if not self.deprecate_eof():
            yield self.eof()


def _define_column(connection: Connection, column: ResultColumn) -> bytes:
    return packets.make_column_definition_41(
        server_charset=connection.server_charset,
        name=column.name,
        column_type=column.type,
        character_set=column.character_set,
    )


def _make_error(error: DatabaseError) -> bytes:
    code = error.code.to_bytes(2, "little")
    return b"\xff" + code + b"#" + error.sqlstate.encode() + str(error).encode()


def _make_result_set(result: Result) -> ResultSet:
    if result.columns == ("every",):
        return make_every_type_result()
    columns = [
        make_column(name, _infer_column_type([row[index] for row in result.rows]))
        for index, name in enumerate(result.columns)
    ]
    return ResultSet(list(result.rows), columns)


def _infer_column_type(values: list) -> ColumnType:
    python_types = {type(value) for value in values if value is not None}
    if python_types == {int}:
        return ColumnType.LONGLONG
    if python_types and python_types <= {int, float}:
        return ColumnType.DOUBLE
    if bytes in python_types:
        return ColumnType.BLOB
    return ColumnType.VAR_STRING


async def serve(
    server: BackendServer, host: str, port: int, password: str
) -> asyncio.Server:
    """Listen for MySQL connections.

    Args:
        server: State shared by all sessions.
        host: Address to listen on.
        port: Port to listen on, or 0 for a free one.
        password: Password shared by all clients.

    Returns:
        The listening server.
    """
    identity_provider = SharedPasswordIdentityProvider(password)
    control = LocalControl()
    capabilities = DEFAULT_SERVER_CAPABILITIES & ~Capabilities.CLIENT_QUERY_ATTRIBUTES

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        session = BackendSession(server)
        connection = BackendConnection(
            MysqlStream(reader, writer),
            session,
            control,
            identity_provider,
            capabilities,
        )
        connection.stream_reader = reader
        connection.stream_writer = writer
        session.connection = connection
        client_count = sum(1 for item in server.sessions if item.username != "replica")
        if client_count >= server.connections:
            writer.write(b"\x17\x00\x00\x00\xff\x10\x04Too many connections")
            writer.close()
            return
        server.sessions.add(session)
        server.peak_connections = max(server.peak_connections, client_count + 1)
        try:
            await asyncio.sleep(server.connect_cost_s)
            connection.connection_id = await control.add(connection)
            await connection.start()
        except asyncio.CancelledError:
            return
        except Exception as error:
            if not isinstance(error, (ConnectionClosed, OSError)):
                click.echo(f"connection failed: {error!r}", err=True)
        finally:
            server.sessions.discard(session)
            await session.close()
            await control.remove(connection.connection_id)
            writer.close()

    return await asyncio.start_server(accept, host, port, backlog=512)


@click.command()
@click.option("--server-id", required=True)
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0, type=int)
@click.option("--slots", default=5, type=int)
@click.option("--connections", default=35, type=int)
@click.option("--connect-cost-ms", default=10.0, type=float)
@click.option("--service-ms", default=0.0, type=float)
@click.option("--lag-ms", default=10.0, type=float)
@click.option("--password", default="backend")
def main(
    server_id: str,
    host: str,
    port: int,
    slots: int,
    connections: int,
    connect_cost_ms: float,
    service_ms: float,
    lag_ms: float,
    password: str,
) -> None:
    """Print the port and serve until interrupted."""

    async def run() -> None:
        server = BackendServer(
            server_id, slots, connections, connect_cost_ms / 1000, service_ms / 1000
        )
        server.database.lag_s = lag_ms / 1000
        listener = await serve(server, host, port, password)
        click.echo(f"port {listener.sockets[0].getsockname()[1]}")
        await asyncio.Event().wait()

    uvloop.run(run())


if __name__ == "__main__":
    main()
