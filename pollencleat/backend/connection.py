"""One connection to a backend server.

Responses are forwarded as raw packets, so that no field of a result set is decoded,
converted to another type or lost on its way to the client.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import asyncmy.connection
import asyncmy.errors
from asyncmy.constants import CLIENT, COMMAND, SERVER_STATUS

from pollencleat.core.errors import (
    BackendError,
    BackendLostError,
    BackendRefusedError,
    FailedError,
)
from pollencleat.core.sockets import CONNECT_ERRORS, has_unread_input

CONNECT_TIMEOUT_S = 2
OK_HEADER = 0x00
ERROR_HEADER = 0xFF
EOF_HEADER = 0xFE
LOCAL_INFILE_HEADER = 0xFB
EOF_SIZE_LIMIT_BYTES = 9
"""An EOF packet is shorter; a row that starts with the same byte is not."""

MAX_PACKET_BYTES = 0xFFFFFF
CLIENT_SIDE_CODES = frozenset({0, 2000, 2006, 2013, 2014})
"""Error codes that the driver itself raises when the connection is unusable."""


class RawPacket:
    """A packet as received, which the driver does not decode."""

    __slots__ = ("data",)

    def __init__(self, data: bytes, encoding: str) -> None:
        """Keep the payload; the driver also passes its character encoding."""
        self.data = data

    def is_error_packet(self) -> bool:
        """Return False, so that the driver returns error packets instead of raising."""
        return False


@dataclass(frozen=True, slots=True)
class OkPacket:
    """The fields of an OK packet."""

    affected_rows: int
    last_insert_id: int
    status: int
    warnings: int


@dataclass(frozen=True, slots=True)
class ErrorPacket:
    """The fields of an error packet."""

    code: int
    sqlstate: str
    message: str


def read_length_encoded(data: bytes, offset: int) -> tuple[int, int]:
    """Read a length-encoded integer.

    Args:
        data: The payload of a packet.
        offset: Offset of the integer's first byte.

    Returns:
        The value and the offset after it.
    """
    first = data[offset]
    if first < 0xFB:
        return first, offset + 1
    size = {0xFC: 2, 0xFD: 3, 0xFE: 8}[first]
    end = offset + 1 + size
    return int.from_bytes(data[offset + 1 : end], "little"), end


def parse_ok_packet(data: bytes) -> OkPacket:
    """Parse an OK packet.

    Args:
        data: The payload.

    Returns:
        Its fields.
    """
    affected_rows, offset = read_length_encoded(data, 1)
    last_insert_id, offset = read_length_encoded(data, offset)
    status = int.from_bytes(data[offset : offset + 2], "little")
    warnings = int.from_bytes(data[offset + 2 : offset + 4], "little")
    return OkPacket(affected_rows, last_insert_id, status, warnings)


def parse_error_packet(data: bytes) -> ErrorPacket:
    """Parse an error packet.

    Args:
        data: The payload.

    Returns:
        Its fields; SQL state HY000 if the packet has none.
    """
    code = int.from_bytes(data[1:3], "little")
    if data[3:4] == b"#":
        return ErrorPacket(
            code,
            data[4:9].decode("ascii", "replace"),
            data[9:].decode("utf8", "replace"),
        )
    return ErrorPacket(code, "HY000", data[3:].decode("utf8", "replace"))


def make_error_packet(error: asyncmy.errors.MySQLError) -> bytes:
    """Return the error packet of an error that the driver has already decoded.

    Args:
        error: An error that the server sent.

    Returns:
        The payload.
    """
    code = int(error.args[0])
    message = str(error.args[1]) if len(error.args) > 1 else str(error)
    sqlstate = (error.sqlstate or "HY000").encode()
    return b"\xff" + code.to_bytes(2, "little") + b"#" + sqlstate + message.encode()


class BackendStatementError(FailedError):
    """A backend server answered a statement with an error packet."""

    def __init__(self, packet: bytes) -> None:
        """Keep the packet, so that it can be forwarded unchanged."""
        parsed = parse_error_packet(packet)
        super().__init__(parsed.message)
        self.packet = packet
        self.code = parsed.code
        self.sqlstate = parsed.sqlstate


class BackendConnection(asyncmy.connection.Connection):
    """A driver connection that sends commands and reads raw packets.

    Attributes:
        statement_ids_by_text: Id and metadata packets of each statement that was
            prepared on this connection.
        has_open_transaction: The server has a transaction open on this connection.
    """

    def __init__(self, **options: object) -> None:
        """Pass the driver's options on; disable multi-statements and local files."""
        super().__init__(connect_timeout=CONNECT_TIMEOUT_S, autocommit=None, **options)
        self._client_flag &= ~CLIENT.MULTI_STATEMENTS
        self._client_flag &= ~CLIENT.LOCAL_FILES
        self.statement_ids_by_text: dict[str, tuple[int, list[bytes]]] = {}
        self.has_open_transaction = False

    def note_status(self, status: int) -> None:
        """Update has_open_transaction.

        Args:
            status: Status flags of the latest response; error packets carry none.
        """
        self.has_open_transaction = is_in_transaction(status)

    @property
    def is_usable(self) -> bool:
        """Whether a command may be sent; valid between commands.

        Packets that arrive without a command may belong to an earlier one; those after
        them can then be assigned to none.
        """
        protocol = self._proto
        if not self.connected or protocol is None or protocol.eof:
            return False
        if protocol.length != protocol.pos or self._transport.is_closing():
            return False
        return not has_unread_input(self._transport)

    def _require_usable(self) -> None:
        if self.is_usable:
            return
        self.close()
        raise BackendLostError("closed, or packets that belong to no command")

    def pause_reading(self) -> None:
        """Stop reading from the server while the client does not read its response."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue reading from the server."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def deprecates_eof(self) -> bool:
        """Whether result sets end with an OK packet instead of an EOF packet."""
        return bool(self._deprecate_eof)

    async def send_command(self, command: int, body: bytes) -> None:
        """Send one command.

        Args:
            command: Command byte.
            body: The payload after the command byte.

        Raises:
            BackendLostError: The connection broke; the command may have been sent in
                part.  Or it was not usable, and nothing was sent.
        """
        self._require_usable()
        try:
            await self._execute_command(command, body)
        except (asyncmy.errors.MySQLError, OSError) as error:
            raise BackendLostError(str(error)) from error

    async def read_raw(self) -> bytes:
        """Read one packet.

        Returns:
            Its payload.

        Raises:
            BackendLostError: The connection broke or the server violated the protocol.
        """
        try:
            packet = await self.read_packet(RawPacket)
        except (asyncmy.errors.MySQLError, OSError) as error:
            self.close()
            raise BackendLostError(str(error)) from error
        if not packet.data:
            self.close()
            raise BackendLostError("an empty packet")
        return packet.data

    async def read_result(self) -> AsyncIterator[bytes]:
        """Read all packets of the response to a command.

        Yields:
            Payloads: one OK or error packet, or the column count, the column
            definitions, an EOF packet unless deprecated, the rows, and the last packet.

        Raises:
            BackendLostError: The connection broke or the server requested a local file.
        """
        first = await self.read_raw()
        yield first
        if first[0] in (OK_HEADER, ERROR_HEADER):
            return
        if first[0] == LOCAL_INFILE_HEADER:
            raise BackendLostError("the server asked for a local file")
        column_count, _ = read_length_encoded(first, 0)
        definition_packets = column_count if self.deprecates_eof else column_count + 1
        for _ in range(definition_packets):
            yield await self.read_raw()
        while True:
            data = await self.read_raw()
            yield data
            if is_last_packet(data, self.deprecates_eof):
                return

    async def run(self, sql: str) -> OkPacket | list[tuple]:
        """Run a statement of the proxy itself and decode the response.

        Args:
            sql: The statement.

        Returns:
            The OK packet's fields, or the rows.

        Raises:
            BackendStatementError: The server answered with an error packet.
            BackendLostError: The connection broke, or the response violates the
                protocol.
        """
        self._require_usable()
        try:
            await self.query(sql)
        except (asyncmy.errors.InterfaceError, OSError) as error:
            self.close()
            raise BackendLostError(str(error)) from error
        except asyncmy.errors.MySQLError as error:
            # The driver's own errors have a text or one of these codes.
            code = error.args[0] if error.args else 0
            if not isinstance(code, int) or code in CLIENT_SIDE_CODES:
                self.close()
                raise BackendLostError(str(error)) from error
            raise BackendStatementError(make_error_packet(error)) from error
        result = self._result
        self.note_status(result.server_status)
        if result.description is not None:
            return list(result.rows)
        return OkPacket(
            result.affected_rows,
            result.insert_id,
            result.server_status,
            result.warning_count,
        )


def is_last_packet(data: bytes, deprecates_eof: bool) -> bool:
    """Return whether a packet ends a result set.

    Args:
        data: A payload that follows the column definitions.
        deprecates_eof: Result sets end with an OK packet that has the EOF header.

    Returns:
        True for the packet that ends the result set and for an error packet.
    """
    if data[0] == ERROR_HEADER:
        return True
    if data[0] != EOF_HEADER:
        return False
    if deprecates_eof:
        return len(data) < MAX_PACKET_BYTES
    return len(data) < EOF_SIZE_LIMIT_BYTES


def status_of_end(data: bytes, deprecates_eof: bool) -> int:
    """Return the server status in the packet that ends a result set.

    Args:
        data: The payload of the last packet.
        deprecates_eof: Result sets end with an OK packet that has the EOF header.

    Returns:
        The status flags.
    """
    if deprecates_eof:
        return parse_ok_packet(data).status
    return int.from_bytes(data[3:5], "little")


def is_in_transaction(status: int) -> bool:
    """Return whether status flags say that a transaction is open.

    Args:
        status: Status flags.

    Returns:
        True if the server has a transaction open.
    """
    return bool(status & SERVER_STATUS.SERVER_STATUS_IN_TRANS)


async def open_connection(
    host: str, port: int, user: str, password: str, database: str
) -> BackendConnection:
    """Connect to a backend server.

    Args:
        host: The server's address.
        port: The server's port.
        user: User name of the proxy at the server.
        password: Password of that user.
        database: Database to select, or empty.

    Returns:
        An open connection.

    Raises:
        BackendRefusedError: The connection was refused; no process listens on the port.
        BackendError: The connection or the login failed for another reason.
    """
    connection = BackendConnection(
        host=host,
        port=port,
        user=user,
        password=password,
        database=database or None,
        charset="utf8mb4",
    )
    try:
        await connection.connect()
    except (asyncmy.errors.MySQLError, *CONNECT_ERRORS) as error:
        connection.close()
        if "refused" in str(error) or "111" in str(error.args[:1]):
            raise BackendRefusedError(str(error)) from error
        raise BackendError(str(error)) from error
    except BaseException:
        connection.close()
        raise
    return connection


QUERY_COMMAND = COMMAND.COM_QUERY
PREPARE_COMMAND = COMMAND.COM_STMT_PREPARE
EXECUTE_COMMAND = COMMAND.COM_STMT_EXECUTE
CLOSE_STATEMENT_COMMAND = COMMAND.COM_STMT_CLOSE
LONG_DATA_COMMAND = COMMAND.COM_STMT_SEND_LONG_DATA
