"""Connections to backend servers in the platform's line protocol."""

import asyncio
import itertools
from dataclasses import replace

from pollencleat.core.data import BackendServer, Position, ServerStatus
from pollencleat.core.errors import (
    BackendDeclinedError,
    BackendError,
    BackendFullError,
    BackendLostError,
    BackendRefusedError,
)
from pollencleat.core.sockets import CONNECT_ERRORS, configure_socket
from pollencleat.engine.exchange import Exchange, NotSentError
from pollencleat.engine.replies import Expectation, RepetitionRecord, ReplyKind
from pollencleat.engine.statements import (
    Begin,
    Commit,
    ServerFailure,
    ServerReply,
    Shape,
    Work,
)
from pollencleat.platform.reply_parser import ReplyParser
from pollencleat.platform.wire import (
    PROXY_REQUEST_ID,
    encode_line,
    encode_startup,
    format_position,
    is_decimal_number,
    parse_position,
)

USER = "pollencleat"
"""User name sent to servers, which accept any."""

MIN_STATUS_FIELDS = 7
PRIMARY_ROLE = "primary"


class ServerConnection(asyncio.Protocol):
    """One connection to a server; carries one request at a time."""

    def __init__(self, record: RepetitionRecord | None = None) -> None:
        """Create the protocol of a connection that is to be opened.

        Args:
            record: Shared by all connections to the server, or None.
        """
        self._transport: asyncio.Transport | None = None
        self._parser = ReplyParser()
        self._exchange = Exchange(
            self._send,
            self._make_barriers,
            record or RepetitionRecord(),
        )
        self._barrier_numbers = itertools.count(1)
        self._is_closed = False
        self.values: dict[str, str] = {}
        self.names_by_shape: dict[Shape, str] = {}

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and no reply is pending."""
        return (
            not self._is_closed
            and not self._transport.is_closing()
            and self._exchange.is_usable
        )

    @property
    def has_open_transaction(self) -> bool:
        """Whether the server has a transaction open on the connection."""
        return self._exchange.has_open_transaction

    def close(self) -> None:
        """Close; the server rolls back an open transaction."""
        self._is_closed = True
        self._exchange.fail(BackendLostError("the connection is closed"))
        if self._transport is not None:
            self._transport.close()

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Use the open connection."""
        self._transport = transport
        configure_socket(transport)

    def data_received(self, data: bytes) -> None:
        """Assign the replies that are complete now."""
        try:
            for received in self._parser.feed(data):
                self._exchange.on_reply(received)
        except BackendError as error:
            self._exchange.fail(error)
            self.close()

    def eof_received(self) -> None:
        """Take the last reply; the transport then closes the connection."""
        received = self._parser.finish()
        if received is not None:
            self._exchange.on_reply(received)
        self._exchange.fail(BackendLostError("the server closed the connection"))

    def connection_lost(self, error: Exception | None) -> None:
        """Note that nothing more arrives."""
        reason = str(error or "") or "the connection is closed"
        self._exchange.fail(BackendLostError(reason))

    def _send(self, data: bytes) -> None:
        if self._transport.is_closing():
            raise BackendLostError("the connection is closed")
        self._transport.write(data)

    def _make_barriers(self) -> tuple[bytes, ...]:
        name = f"barrier{next(self._barrier_numbers)}"
        return (
            encode_line("QUERY", PROXY_REQUEST_ID, f"PREPARE {name} READ -"),
            encode_line("QUERY", PROXY_REQUEST_ID, f"DEALLOCATE {name}"),
        )

    # Requests.

    async def start(self, service: str, server_id: str) -> None:
        """Start the session; the server refuses if the id is not its own.

        Args:
            service: The group's name.
            server_id: The server's id.

        Raises:
            BackendError: The server refused, or the connection broke.
        """
        reply = await self._request(
            encode_startup(service, USER, server_id),
            Expectation(ReplyKind.STARTED, False),
        )
        if reply.failure is ServerFailure.TOO_MANY:
            raise BackendFullError(reply.detail)
        if reply.failure is not None:
            raise _make_refusal_error(reply)

    async def begin(self, begin: Begin, at_least: Position | None) -> ServerReply:
        """Begin a transaction once the server has applied a log position, if given."""
        verb = "BEGIN READ" if begin.read_only else "BEGIN"
        await self._exchange.settle()
        reply = await self._acknowledge(
            _format_wait(at_least) + verb, begin.request_id, True
        )
        if reply.failure is None and reply.position is None:
            await self._exchange.settle()
            return replace(reply, position=self._exchange.position)
        return reply

    async def run(
        self, work: Work, prepared_name: str, at_least: Position | None
    ) -> ServerReply:
        """Run a read or write once the server has applied a log position, if given.

        Raises:
            NotSentError: The state of the connection could not be settled before.
        """
        text = work.text
        if prepared_name:
            text = f"EXECUTE {prepared_name} {work.text}"
        reply = await self._execute(
            work.request_id, _format_wait(at_least) + text, self.has_open_transaction
        )
        if prepared_name and reply.failure is ServerFailure.UNKNOWN_NAME:
            # The statements prepared on the connection are not those remembered.
            self.close()
        return reply

    async def commit(self, commit: Commit) -> ServerReply:
        """Commit the transaction."""
        return await self._execute(commit.request_id, "COMMIT", False)

    async def roll_back(self) -> ServerReply:
        """Roll back the transaction."""
        return await self._acknowledge("ROLLBACK", in_transaction=False)

    async def set_value(self, name: str, value: str) -> ServerReply:
        """Set a session variable."""
        return await self._acknowledge(f"SET {name} {value}")

    async def prepare(self, name: str, shape: Shape) -> ServerReply:
        """Prepare a statement under a name that is local to this connection."""
        access = shape.access.name
        # A server that has refused it rejects what is executed under the name.
        return await self._acknowledge(
            f"PREPARE {name} {access} {shape.text}", is_required=False
        )

    async def reset(self) -> ServerReply:
        """Clear session variables and prepared statements."""
        return await self._acknowledge("DISCARD")

    async def run_command(
        self, text: str, may_be_outdated: bool = False
    ) -> ServerStatus:
        """Send a control command, which the server answers with its status.

        Args:
            text: The command.
            may_be_outdated: Whether the status may be the answer to an earlier one.

        Returns:
            The status.

        Raises:
            AmbiguousReplyError: The answer may be that to an earlier command.
            BackendError: The server refused, or the answer is malformed.
        """
        data = encode_line("QUERY", PROXY_REQUEST_ID, text)
        expected = Expectation(ReplyKind.STATUS)
        reply = await self._request(data, expected, may_be_outdated=may_be_outdated)
        if reply.failure is not None:
            raise _make_refusal_error(reply)
        return parse_status(reply.rows[0])

    async def _acknowledge(
        self,
        text: str,
        request_id: str = PROXY_REQUEST_ID,
        in_transaction: bool | None = None,
        is_required: bool = True,
    ) -> ServerReply:
        if in_transaction is None:
            in_transaction = self.has_open_transaction
        expected = Expectation(ReplyKind.ACKNOWLEDGED, in_transaction)
        return await self._query(request_id, text, expected, is_required)

    async def _execute(
        self, request_id: str, text: str, in_transaction: bool
    ) -> ServerReply:
        await self._exchange.settle()
        expected = Expectation(ReplyKind.RECEIPT, in_transaction)
        return await self._query(request_id, text, expected)

    async def _query(
        self,
        request_id: str,
        text: str,
        expected: Expectation,
        is_required: bool = True,
    ) -> ServerReply:
        data = encode_line("QUERY", request_id, text)
        return await self._request(data, expected, is_required)

    async def _request(
        self,
        data: bytes,
        expected: Expectation,
        is_required: bool = True,
        may_be_outdated: bool = False,
    ) -> ServerReply:
        if self._is_closed or self._transport.is_closing():
            raise NotSentError("the connection is closed")
        try:
            return await self._exchange.request(
                data,
                expected,
                self._parser.is_inside_reply,
                is_required,
                may_be_outdated,
            )
        except BaseException:
            # The reply may still arrive; the next request must not read it.
            self.close()
            raise


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
    fields = row.split(" ")
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


async def open_server_connection(
    server: BackendServer,
    record: RepetitionRecord | None = None,
) -> ServerConnection:
    """Connect to a server and verify its id.

    Args:
        server: The server.
        record: Shared by all connections to the server, or None.

    Returns:
        An open connection.

    Raises:
        BackendRefusedError: Nothing listens at the address.
        BackendError: Any other failure.
    """
    loop = asyncio.get_running_loop()
    try:
        _, connection = await loop.create_connection(
            lambda: ServerConnection(record),
            server.host,
            server.port,
        )
    except ConnectionRefusedError as error:
        raise BackendRefusedError(str(error)) from error
    except CONNECT_ERRORS as error:
        raise BackendError(str(error)) from error
    try:
        await connection.start(server.group_id, server.server_id)
    except BaseException:
        connection.close()
        raise
    return connection
