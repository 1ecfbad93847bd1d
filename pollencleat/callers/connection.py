"""The MySQL protocol connection of one caller."""

import asyncio
import re
from ssl import SSLContext

import structlog
from mysql_mimic import packets
from mysql_mimic.connection import Connection
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.control import LocalControl
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Capabilities, ColumnType, ServerStatus

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import ANY_TERM
from pollencleat.callers.commands import (
    ID_BYTES,
    Command,
    PreparedStatement,
    QueryCommand,
    build_execute_command,
    prepare_on,
)
from pollencleat.callers.context import StatementContext, StatementResult, apply_token
from pollencleat.callers.gateway import Gateway
from pollencleat.callers.identity import CallerIdentityProvider
from pollencleat.callers.reads import make_read_request, run_read
from pollencleat.callers.relay import EndMaker
from pollencleat.callers.session import CallerSession
from pollencleat.callers.stream import CallerStream
from pollencleat.callers.transactions import (
    begin_transaction,
    commit_transaction,
    roll_back_transaction,
    run_in_transaction,
)
from pollencleat.callers.writes import run_single_write
from pollencleat.core.constants import MAX_STATEMENT_BYTES
from pollencleat.core.data import Customer
from pollencleat.core.errors import (
    BackendLostError,
    CallerError,
    InvalidHintError,
    NotRunError,
    StatementTooLargeError,
    UnsupportedStatementError,
)
from pollencleat.routing.statements import (
    IMPLICIT_COMMIT_KEYWORDS,
    Action,
    Hints,
    classify_statement,
)
from pollencleat.routing.tokens import Token, format_token

HANDSHAKE_TIMEOUT_S = 10.0
MAX_PREPARED_PER_CALLER = 512
"""Number of prepared statements that one caller may keep open."""

SERVER_CAPABILITIES = DEFAULT_SERVER_CAPABILITIES & ~(
    Capabilities.CLIENT_QUERY_ATTRIBUTES | Capabilities.CLIENT_CONNECT_ATTRS
)
_TOKEN_NAME = "pollencleat_token"
_SET_TOKEN = re.compile(
    r"SET\s+(?:SESSION\s+)?@pollencleat_token\s*:?=\s*['\"]([^'\"]*)['\"]\s*;?\s*$",
    re.IGNORECASE,
)
_SET_AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+)?(?:@@)?(?:SESSION\.)?autocommit\s*=\s*"
    r"(0|1|ON|OFF|TRUE|FALSE)\s*;?\s*$",
    re.IGNORECASE,
)
_SET_NAMES = re.compile(
    r"SET\s+(?:NAMES|CHARACTER\s+SET)\s+['\"]?(utf8mb4|utf8mb3|utf8)['\"]?"
    r"(?:\s+COLLATE\s+['\"]?\w+['\"]?)?\s*;?\s*$",
    re.IGNORECASE,
)
_USE = re.compile(r"USE\s+`?([^`\s;]+)`?\s*;?\s*$", re.IGNORECASE)
_UTF8_CHARSETS = frozenset({"utf8mb4", "utf8mb3", "utf8"})
log = structlog.get_logger()


class CallerConnection(Connection, EndMaker):
    """Serves the MySQL protocol to one caller."""

    def __init__(
        self,
        stream: CallerStream,
        session: CallerSession,
        control: LocalControl,
        identity_provider: CallerIdentityProvider,
        gateway: Gateway,
        ssl: SSLContext | None = None,
    ) -> None:
        """Create the connection of an accepted stream."""
        super().__init__(
            stream, session, control, identity_provider, SERVER_CAPABILITIES, ssl
        )
        self.gateway = gateway
        self.context = StatementContext(gateway, session, stream, self)
        self.prepared_by_id: dict[int, PreparedStatement] = {}
        self.is_executing = False
        self._has_ended_reading = False
        # Callers compare the autocommit flag of the initial handshake packet with the
        # mode that they want.
        self._update_status_flags()

    # Connection phase.

    async def connection_phase(self) -> None:
        """Perform the handshake within a time limit."""
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            await super().connection_phase()
        charset = str(self.session.variables.get("character_set_client"))
        if charset not in _UTF8_CHARSETS:
            raise UnsupportedStatementError(
                f"character set {charset} is not supported; use utf8mb4"
            )
        self.context.caller_deprecates_eof = self.deprecate_eof()

    async def authenticate(self, **options: object) -> None:
        """Authenticate the caller and find its client account.

        Args:
            **options: Passed through to the library's method.

        Raises:
            ConnectionClosed: Authentication failed, or the user has no client account.
        """
        self.session.username = None
        await super().authenticate(**options)
        customer = self.gateway.find_customer(self.session.username or "")
        if customer is None:
            self.gateway.metrics.count("access_denied")
            raise ConnectionClosed
        self.session.customer_id = customer.customer_id
        self._update_status_flags()

    def _update_status_flags(self) -> None:
        status = ServerStatus(0)
        if self.session.autocommit:
            status |= ServerStatus.SERVER_STATUS_AUTOCOMMIT
        if self.session.transaction is not None:
            status |= ServerStatus.SERVER_STATUS_IN_TRANS
        self.status_flags = status

    # Packets.

    def eof(self, status: int = 0, **options: object) -> bytes:
        """Return an EOF packet.

        Args:
            status: Server status flags, or 0 for those of the session.
            **options: Passed through to the library's packet builder.

        Returns:
            Payload of the packet.
        """
        flags = ServerStatus(status) if status else self.status_flags
        return packets.make_eof(
            capabilities=self.capabilities, status_flags=flags, **options
        )

    def ok_as_eof(self, status: int) -> bytes:
        """Return the OK packet that ends a result set if EOF packets are deprecated.

        Args:
            status: Server status flags.

        Returns:
            Payload of the packet.
        """
        return packets.make_ok(
            capabilities=self.capabilities,
            status_flags=ServerStatus(status),
            eof=True,
        )

    async def _write_result(self, result: StatementResult) -> None:
        self._update_status_flags()
        if result.last_insert_id:
            self.session.last_insert_id = result.last_insert_id
        await self.stream.write(
            self.ok(
                affected_rows=result.affected_rows,
                last_insert_id=result.last_insert_id,
                warnings=result.warnings,
            )
        )

    async def _write_error(self, error: CallerError) -> None:
        self._update_status_flags()
        self.gateway.metrics.count("caller_error", type(error).__name__)
        if isinstance(error, BackendStatementError):
            await self.stream.write(error.packet)
            return
        message = error.message_for_caller().encode()
        code = int(error.code).to_bytes(2, "little")
        sqlstate = error.sqlstate.encode()
        await self.stream.write(b"\xff" + code + b"#" + sqlstate + message)

    # Commands.

    async def command_phase(self) -> None:
        """Execute commands until the caller disconnects or the node ends reading."""
        while True:
            try:
                data = await self.stream.read()
            except ConnectionClosed:
                return
            except StatementTooLargeError as error:
                await self._write_error(error)
                return
            self.is_executing = True
            try:
                if not await self._execute_command(data):
                    return
            finally:
                self.is_executing = False
                self.stream.reset_seq()

    def end_reading(self) -> None:
        """End the connection after the commands that have been read."""
        transport = self.stream.writer.transport
        if self._has_ended_reading or transport.is_closing():
            return
        self._has_ended_reading = True
        # The reader accepts no data after feed_eof.
        transport.pause_reading()
        self.stream.reader.feed_eof()

    async def _execute_command(self, data: bytes) -> bool:
        if not data or data[0] == 0x01:
            return False
        handler = _handlers_by_command.get(data[0])
        try:
            if handler is None:
                raise UnsupportedStatementError(
                    f"command {data[0]:#04x} is not supported"
                )
            await handler(self, data[1:])
        except CallerError as error:
            await self._write_error(error)
        except BackendLostError as error:
            await self._write_error(NotRunError(str(error)))
        return True

    def _require_customer(self) -> Customer:
        customer = self.gateway.find_customer(self.session.username)
        if customer is None:
            raise UnsupportedStatementError(
                "the inventory no longer declares this user"
            )
        return customer

    async def handle_query(self, data: bytes) -> None:
        """Run a text query.

        Args:
            data: SQL text of the statement.
        """
        text = _decode(data)
        await self._run_statement(text, QueryCommand(data))

    async def _run_statement(self, text: str, command: Command) -> None:
        statement = classify_statement(text)
        if statement.hints.token:
            apply_token(self.context, statement.hints.token)
        runner = _runners_by_action[statement.action]
        started_at_s = self.gateway.clock()
        result = await runner(self, statement.hints, text, command, statement.reason)
        if result is not None:
            await self._write_result(result)
        duration_ms = (self.gateway.clock() - started_at_s) * 1000
        self.gateway.metrics.record_duration(statement.action.value, duration_ms)

    async def _run_read(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult | None:
        customer = self._require_customer()
        if await self._ensure_transaction(customer, hints):
            return await run_in_transaction(self.context, Action.READ, command)
        group = self.gateway.require_group(customer.customer_id, self.session.database)
        return await run_read(self.context, customer, group, command, hints)

    async def _run_write(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult | None:
        customer = self._require_customer()
        if classify_statement(text).keyword in IMPLICIT_COMMIT_KEYWORDS:
            # Schema changes commit implicitly in MySQL, so the transaction ends here.
            await commit_transaction(self.context)
        elif await self._ensure_transaction(customer, hints):
            return await run_in_transaction(self.context, Action.WRITE, command)
        group = self.gateway.require_group(customer.customer_id, self.session.database)
        return await run_single_write(self.context, customer, group, command, hints)

    async def _ensure_transaction(self, customer: Customer, hints: Hints) -> bool:
        if self.session.transaction is not None:
            return True
        if self.session.autocommit:
            return False
        group = self.gateway.require_group(customer.customer_id, self.session.database)
        await begin_transaction(self.context, customer, group, hints, read_only=False)
        return True

    async def _run_begin(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult:
        customer = self._require_customer()
        group = self.gateway.require_group(customer.customer_id, self.session.database)
        return await begin_transaction(
            self.context, customer, group, hints, read_only=False
        )

    async def _run_begin_read_only(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult:
        customer = self._require_customer()
        group = self.gateway.require_group(customer.customer_id, self.session.database)
        return await begin_transaction(
            self.context, customer, group, hints, read_only=True
        )

    async def _run_commit(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult:
        return await commit_transaction(self.context)

    async def _run_rollback(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult:
        return await roll_back_transaction(self.context)

    async def _run_set(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult:
        text = text.strip()
        match = _SET_TOKEN.match(text)
        if match:
            apply_token(self.context, match[1])
            return StatementResult()
        match = _SET_AUTOCOMMIT.match(text)
        if match:
            autocommit = match[1].upper() in ("1", "ON", "TRUE")
            if autocommit and self.session.transaction is not None:
                await commit_transaction(self.context)
            self.session.autocommit = autocommit
            return StatementResult()
        if _SET_NAMES.match(text):
            return StatementResult()
        raise UnsupportedStatementError(
            "SET supports only autocommit, NAMES and @pollencleat_token"
        )

    async def _run_use(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> StatementResult:
        match = _USE.match(text.strip())
        if match is None:
            raise UnsupportedStatementError("malformed USE statement")
        self._change_database(match[1])
        return StatementResult()

    def _change_database(self, database: str) -> None:
        if self.session.transaction is not None:
            raise UnsupportedStatementError(
                "cannot change the database inside a transaction"
            )
        self.gateway.require_group(self._require_customer().customer_id, database)
        self.session.database = database

    async def _run_session_value(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> None:
        name = text.strip().rstrip("; ")[len("SELECT") :].strip()
        lowered_name = name.lower()
        if lowered_name.startswith("@" + _TOKEN_NAME):
            value = self._make_token()
        elif lowered_name.startswith("last_insert_id"):
            value = self.session.last_insert_id
        else:
            return await self._run_server_variable(lowered_name, hints, text, command)
        column_type = (
            ColumnType.LONGLONG if isinstance(value, int) else ColumnType.VAR_STRING
        )
        column = ResultColumn(name, column_type)
        await self.write_text_resultset(ResultSet([(value,)], [column]))
        return None

    async def _run_server_variable(
        self, name: str, hints: Hints, text: str, command: Command
    ) -> StatementResult | None:
        if "autocommit" in name:
            column = ResultColumn(name, ColumnType.LONGLONG)
            rows = [(int(self.session.autocommit),)]
            await self.write_text_resultset(ResultSet(rows, [column]))
            return None
        return await self._run_read(hints, text, command, "")

    def _make_token(self) -> str:
        group_id = self.session.token_group_id
        seen = self.session.seen_by_group.get(group_id)
        if seen is None:
            return ""
        return format_token(Token(group_id, seen))

    async def _run_refused(
        self, hints: Hints, text: str, command: Command, reason: str
    ) -> None:
        raise UnsupportedStatementError(reason)

    # Prepared statements.

    async def handle_stmt_prepare(self, data: bytes) -> None:
        """Prepare a statement and send its parameter and column definitions.

        Any server of the group can provide the definitions.  The statement is prepared
        again on each connection that executes it.

        Args:
            data: SQL text of the statement.
        """
        text = _decode(data)
        statement = classify_statement(text)
        if statement.action not in (Action.READ, Action.WRITE):
            raise UnsupportedStatementError(
                statement.reason or f"{statement.keyword} cannot be prepared"
            )
        if len(self.prepared_by_id) >= MAX_PREPARED_PER_CALLER:
            raise UnsupportedStatementError(
                f"more than {MAX_PREPARED_PER_CALLER} open prepared statements"
            )
        answer, deprecates_eof = await self._prepare_on_backend(text, statement.hints)
        statement_id = next(self.prepared_stmt_seq)
        column_count = int.from_bytes(answer[0][5:7], "little")
        parameter_count = int.from_bytes(answer[0][7:9], "little")
        self.prepared_by_id[statement_id] = PreparedStatement(
            statement_id, text, parameter_count
        )
        id_bytes = statement_id.to_bytes(ID_BYTES, "little")
        await self.stream.write(answer[0][:1] + id_bytes + answer[0][5:], drain=False)
        offset = 1
        for count in (parameter_count, column_count):
            if not count:
                continue
            for payload in answer[offset : offset + count]:
                await self.stream.write(payload, drain=False)
            offset += count + (0 if deprecates_eof else 1)
            if not self.deprecate_eof():
                await self.stream.write(self.eof(), drain=False)
        await self.stream.drain()

    async def _prepare_on_backend(
        self, text: str, hints: Hints
    ) -> tuple[list[bytes], bool]:
        if self.session.transaction is not None:
            connection = self.session.transaction.lease.connection
            _, answer = await prepare_on(connection, text)
            return answer, connection.deprecates_eof
        customer = self._require_customer()
        group = self.gateway.require_group(customer.customer_id, self.session.database)
        request = await make_read_request(self.context, group, hints)
        server_id = await self.gateway.choose_server(request)
        lease = await self.gateway.borrow(
            server_id, customer, ANY_TERM, self.gateway.queue_deadline_s()
        )
        reusable = False
        try:
            _, answer = await prepare_on(lease.connection, text)
            reusable = True
            return answer, lease.connection.deprecates_eof
        except BackendStatementError:
            reusable = True
            raise
        finally:
            lease.release(reusable)

    def _require_prepared(self, data: bytes) -> PreparedStatement:
        statement_id = int.from_bytes(data[:ID_BYTES], "little")
        prepared = self.prepared_by_id.get(statement_id)
        if prepared is None:
            raise InvalidHintError(f"unknown prepared statement {statement_id}")
        return prepared

    async def handle_stmt_execute(self, data: bytes) -> None:
        """Execute a prepared statement.

        Args:
            data: Statement id, flags and parameter values.
        """
        prepared = self._require_prepared(data)
        command = build_execute_command(prepared, data)
        await self._run_statement(prepared.text, command)

    async def handle_stmt_send_long_data(self, data: bytes) -> None:
        """Store a part of a long parameter value; this command has no answer.

        Args:
            data: Statement id, parameter number and a part of the value.

        Raises:
            ConnectionClosed: The stored parts exceed MAX_STATEMENT_BYTES.
        """
        prepared = self.prepared_by_id.get(int.from_bytes(data[:ID_BYTES], "little"))
        if prepared is None:
            return
        prepared.long_data_size += len(data)
        if prepared.long_data_size > MAX_STATEMENT_BYTES:
            raise ConnectionClosed
        prepared.long_data.append(data[ID_BYTES:])

    async def handle_stmt_reset(self, data: bytes) -> None:
        """Discard the stored parts of long parameter values.

        Args:
            data: Statement id.
        """
        prepared = self._require_prepared(data)
        prepared.long_data = []
        prepared.long_data_size = 0
        await self._write_result(StatementResult())

    async def handle_stmt_close(self, data: bytes) -> None:
        """Close a prepared statement; this command has no answer.

        Args:
            data: Statement id.
        """
        self.prepared_by_id.pop(int.from_bytes(data[:ID_BYTES], "little"), None)

    # Other commands.

    async def handle_ping(self, data: bytes) -> None:
        """Answer that this node is alive, without asking a backend server.

        Args:
            data: Empty.
        """
        await self._write_result(StatementResult())

    async def handle_init_db(self, data: bytes) -> None:
        """Change the default database of the session.

        Args:
            data: Name of the database.
        """
        self._change_database(_decode(data))
        await self._write_result(StatementResult())

    async def handle_reset_connection(self, data: bytes) -> None:
        """Roll back, and reset autocommit and the prepared statements.

        The default database and the log positions that the session has seen are kept.

        Args:
            data: Empty.
        """
        await roll_back_transaction(self.context)
        self.session.autocommit = True
        self.session.last_insert_id = 0
        self.prepared_by_id.clear()
        await self._write_result(StatementResult())


_handlers_by_command = {
    0x02: CallerConnection.handle_init_db,
    0x03: CallerConnection.handle_query,
    0x0E: CallerConnection.handle_ping,
    0x16: CallerConnection.handle_stmt_prepare,
    0x17: CallerConnection.handle_stmt_execute,
    0x18: CallerConnection.handle_stmt_send_long_data,
    0x19: CallerConnection.handle_stmt_close,
    0x1A: CallerConnection.handle_stmt_reset,
    0x1F: CallerConnection.handle_reset_connection,
}

_runners_by_action = {
    Action.READ: CallerConnection._run_read,
    Action.WRITE: CallerConnection._run_write,
    Action.BEGIN: CallerConnection._run_begin,
    Action.BEGIN_READ_ONLY: CallerConnection._run_begin_read_only,
    Action.COMMIT: CallerConnection._run_commit,
    Action.ROLLBACK: CallerConnection._run_rollback,
    Action.SET: CallerConnection._run_set,
    Action.USE: CallerConnection._run_use,
    Action.SESSION_VALUE: CallerConnection._run_session_value,
    Action.REFUSED: CallerConnection._run_refused,
}


def _decode(data: bytes) -> str:
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        # A text query may contain binary literals that are not UTF-8.
        if b"_binary" in data:
            return data.decode("utf8", "surrogateescape")
        raise InvalidHintError("the statement is not valid UTF-8") from error
