"""Connections to backend servers in the platform's line protocol."""

import asyncio

import structlog

from pollencleat.core.data import BackendServer, Position, ServerStatus
from pollencleat.core.errors import (
    BackendDeclinedError,
    BackendError,
    BackendFullError,
    BackendLostError,
    BackendRefusedError,
    MalformedStatementError,
)
from pollencleat.core.sockets import (
    CONNECT_ERRORS,
    configure_socket,
    write_bytes,
)
from pollencleat.engine.statements import (
    Begin,
    Commit,
    ServerFailure,
    ServerReply,
    Shape,
    Work,
)
from pollencleat.platform.wire import (
    MAX_LINE_BYTES,
    PROXY_REQUEST_ID,
    encode_line,
    failure_of_code,
    format_position,
    is_decimal_number,
    parse_position,
    parse_ready,
    read_line,
)

USER = "pollencleat"
"""User name sent to servers, which accept any."""

log = structlog.get_logger()

MIN_STATUS_FIELDS = 7
NO_RECEIPT = "-"
PRIMARY_ROLE = "primary"


class ServerConnection:
    """One connection to a server; carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use an open connection."""
        self._reader = reader
        self._writer = writer
        self._is_reply_pending = False
        self._is_closed = False
        self._server_id = ""
        self.has_open_transaction = False
        self.values: dict[str, str] = {}
        self.names_by_shape: dict[Shape, str] = {}

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and no reply is pending."""
        return (
            not self._is_closed
            and not self._is_reply_pending
            and not self._reader.at_eof()
            and not self._writer.transport.is_closing()
        )

    def close(self) -> None:
        """Close; the server rolls back an open transaction."""
        self._is_closed = True
        self._writer.close()

    async def start(self, service: str, server_id: str) -> None:
        """Start the session; the server refuses if the id is not its own.

        Args:
            service: The group's name.
            server_id: The server's id.

        Raises:
            BackendError: The server refused, or the connection broke.
        """
        self._server_id = server_id
        reply = await self._send_request(
            encode_line("STARTUP", service, USER, server_id)
        )
        if reply.failure is ServerFailure.TOO_MANY:
            raise BackendFullError(reply.detail)
        if reply.failure is not None:
            raise _make_refusal_error(reply)

    async def begin(self, begin: Begin, at_least: Position | None) -> ServerReply:
        """Begin a transaction once the server has applied a log position, if given."""
        verb = "BEGIN READ" if begin.read_only else "BEGIN"
        return await self._query(begin.request_id, _format_wait(at_least) + verb)

    async def run(
        self, work: Work, prepared_name: str, at_least: Position | None
    ) -> ServerReply:
        """Run a read or write once the server has applied a log position, if given."""
        text = work.text
        if prepared_name:
            text = f"EXECUTE {prepared_name} {work.text}"
        reply = await self._query(work.request_id, _format_wait(at_least) + text)
        if reply.failure is None and reply.receipt in ("", NO_RECEIPT):
            log.info(
                "success without a receipt",
                server=self._server_id,
                request=work.request_id,
            )
        return reply

    async def commit(self, commit: Commit) -> ServerReply:
        """Commit the transaction."""
        return await self._query(commit.request_id, "COMMIT")

    async def roll_back(self) -> ServerReply:
        """Roll back the transaction."""
        return await self._query(PROXY_REQUEST_ID, "ROLLBACK")

    async def set_value(self, name: str, value: str) -> ServerReply:
        """Set a session variable."""
        return await self._query(PROXY_REQUEST_ID, f"SET {name} {value}")

    async def prepare(self, name: str, shape: Shape) -> ServerReply:
        """Prepare a statement under a name that is local to this connection."""
        access = shape.access.name
        return await self._query(
            PROXY_REQUEST_ID, f"PREPARE {name} {access} {shape.text}"
        )

    async def reset(self) -> ServerReply:
        """Clear session variables and prepared statements."""
        return await self._query(PROXY_REQUEST_ID, "DISCARD")

    async def run_command(self, text: str) -> ServerStatus:
        """Send a control command, which the server answers with its status.

        Args:
            text: The command.

        Returns:
            The status.

        Raises:
            BackendError: The server refused, or the answer is malformed.
        """
        reply = await self._query(PROXY_REQUEST_ID, text)
        if reply.failure is not None:
            raise _make_refusal_error(reply)
        if not reply.rows:
            raise BackendLostError(f"{text}: reply without a status row")
        return parse_status(reply.rows[0])

    async def _query(self, request_id: str, text: str) -> ServerReply:
        return await self._send_request(encode_line("QUERY", request_id, text))

    async def _send_request(self, line: bytes) -> ServerReply:
        if not self.is_usable:
            raise BackendLostError("the connection is closed or has a pending reply")
        self._is_reply_pending = True
        # StreamReader has no public count of what it has buffered.
        unread = len(self._reader._buffer)
        if unread:
            log.info("reply to no request", server=self._server_id, bytes=unread)
        try:
            write_bytes(self._writer, line)
            await self._writer.drain()
            reply = await self._read_reply()
        except (OSError, MalformedStatementError) as error:
            self.close()
            raise BackendLostError(str(error) or type(error).__name__) from error
        except BaseException:
            # The reply may still arrive; the next request must not read it.
            self.close()
            raise
        self._is_reply_pending = False
        return reply

    async def _read_reply(self) -> ServerReply:
        rows = []
        receipt = ""
        failure: ServerFailure | None = None
        detail = ""
        while True:
            line = await read_line(self._reader)
            if line is None:
                if failure is not None:
                    # After a refused STARTUP the server closes without a READY line.
                    return ServerReply(failure=failure, detail=detail)
                raise BackendLostError("the server closed the connection")
            word, _, rest = line.partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                receipt = rest
            elif word == "ERROR":
                code, _, detail = rest.partition(" ")
                failure = failure_of_code(code)
                detail = f"{code} {detail}".strip()
            elif word == "READY":
                ready = parse_ready(rest)
                self.has_open_transaction = ready.in_transaction
                return ServerReply(
                    tuple(rows),
                    receipt,
                    failure,
                    detail,
                    ready.position,
                    ready.in_transaction,
                )
            else:
                raise BackendLostError(
                    f"unexpected line from the server: {line[:40]!r}"
                )


def _make_refusal_error(reply: ServerReply) -> BackendError:
    """Return the error for a refusal.

    OTHER_SERVER gives a plain BackendError: a refusal by a different server is no
    evidence about the requested one.
    """
    detail = f"{reply.failure}: {reply.detail}"
    if reply.failure is ServerFailure.OTHER_SERVER:
        return BackendError(detail)
    return BackendDeclinedError(detail)


def _format_wait(at_least: Position | None) -> str:
    return f"WAITFOR {format_position(at_least)} " if at_least else ""


def parse_status(row: str) -> ServerStatus:
    """Parse a server's status row.

    The fields are role, term, received log position, term for which replication is
    paused, lag in milliseconds, busy slots and connections.

    Args:
        row: The row as received.

    Returns:
        The status; the received position also serves as the applied one, because a
        server applies everything it received when it is promoted.

    Raises:
        BackendLostError: The row is malformed.
    """
    fields = row.split()
    if len(fields) < MIN_STATUS_FIELDS or not is_decimal_number(fields[1]):
        raise BackendLostError(f"malformed status row {row[:60]!r}")
    received = parse_position(fields[2]) or Position(0, 0)
    return ServerStatus(
        term=int(fields[1]),
        position=received.position,
        received_position=received.position,
        last_entry_term=received.term,
        read_only=fields[0] != PRIMARY_ROLE,
        following=None,
        held_for_term=int(fields[3]) if is_decimal_number(fields[3]) else 0,
    )


async def open_server_connection(server: BackendServer) -> ServerConnection:
    """Connect to a server and verify its id.

    Args:
        server: The server.

    Returns:
        An open connection.

    Raises:
        BackendRefusedError: Nothing listens at the address.
        BackendError: Any other failure.
    """
    try:
        reader, writer = await asyncio.open_connection(
            server.host, server.port, limit=MAX_LINE_BYTES
        )
    except ConnectionRefusedError as error:
        raise BackendRefusedError(str(error)) from error
    except CONNECT_ERRORS as error:
        raise BackendError(str(error)) from error
    configure_socket(writer)
    connection = ServerConnection(reader, writer)
    try:
        await connection.start(server.group_id, server.server_id)
    except BaseException:
        connection.close()
        raise
    return connection
