"""One connection to a backend server.

Answers are handed on as raw packets, so that no field of a result set is decoded, typed
anew or lost on its way to the caller.
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

CONNECT_TIMEOUT_S = 2
OK_HEADER = 0x00
ERROR_HEADER = 0xFF
EOF_HEADER = 0xFE
LOCAL_INFILE_HEADER = 0xFB
MAX_EOF_BYTES = 9
"""An EOF packet is shorter; a row that begins alike is longer."""

MAX_PACKET_BYTES = 0xFFFFFF
CLIENT_SIDE_CODES = frozenset({0, 2000, 2006, 2013, 2014})
"""Codes of errors that the driver raises by itself when the connection is unusable."""


class RawPacket:
    """A packet as received; the driver's decoding is left out."""

    __slots__ = ("data",)

    def __init__(self, data: bytes, encoding: str) -> None:
        """Keep the payload."""
        self.data = data

    def is_error_packet(self) -> bool:
        """Return False, so that the driver hands error packets on."""
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
        data: A packet.
        offset: Where the integer begins.

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
    """Return the fields of an OK packet.

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
    """Return the fields of an error packet.

    Args:
        data: The payload.

    Returns:
        Its fields.
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
    """Return the packet of an error that the driver has decoded.

    Args:
        error: An error that a server sent.

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
        """Keep the packet, to hand it on unchanged."""
        parsed = parse_error_packet(packet)
        super().__init__(parsed.message)
        self.packet = packet
        self.code = parsed.code
        self.sqlstate = parsed.sqlstate


class BackendConnection(asyncmy.connection.Connection):
    """A driver connection that sends commands and reads raw packets."""

    def __init__(self, **options: object) -> None:
        """Take the driver's options; several statements in one are never allowed."""
        super().__init__(connect_timeout=CONNECT_TIMEOUT_S, autocommit=None, **options)
        self._client_flag &= ~CLIENT.MULTI_STATEMENTS
        self._client_flag &= ~CLIENT.LOCAL_FILES
        self.statement_ids_by_text: dict[str, tuple[int, list[bytes]]] = {}
        self.has_open_transaction = False

    def note_status(self, status: int) -> None:
        """Keep whether the server holds a transaction open on this connection.

        Args:
            status: Status flags of the newest answer; errors carry none.
        """
        self.has_open_transaction = is_in_transaction(status)

    @property
    def is_usable(self) -> bool:
        """Whether it is open as far as is known; no command may be under way."""
        protocol = self._proto
        return self.connected and protocol is not None and not protocol.eof

    def pause_reading(self) -> None:
        """Let the server wait; called while a caller does not take its answer."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    @property
    def deprecates_eof(self) -> bool:
        """Whether result sets end with an OK packet."""
        return bool(self._deprecate_eof)

    async def send_command(self, command: int, body: bytes) -> None:
        """Send one command.

        Args:
            command: Command byte.
            body: The rest of the payload.

        Raises:
            BackendLostError: The connection is broken; part may have been sent.
        """
        try:
            await self._execute_command(command, body)
        except (asyncmy.errors.MySQLError, OSError) as error:
            raise BackendLostError(str(error)) from error

    async def read_raw(self) -> bytes:
        """Read one packet.

        Returns:
            Its payload.

        Raises:
            BackendLostError: The connection broke or the protocol was violated.
        """
        try:
            packet = await self.read_packet(RawPacket)
        except (asyncmy.errors.MySQLError, OSError) as error:
            raise BackendLostError(str(error)) from error
        return packet.data

    async def read_result(self) -> AsyncIterator[bytes]:
        """Read all packets of the answer to a command.

        Yields:
            Payloads: one OK or error packet, or the column count, the column
            definitions, an EOF packet unless deprecated, the rows, and the end.
        """
        first = await self.read_raw()
        yield first
        if first[0] in (OK_HEADER, ERROR_HEADER):
            return
        if first[0] == LOCAL_INFILE_HEADER:
            raise BackendLostError("the server asked for a local file")
        columns, _ = read_length_encoded(first, 0)
        headers = columns if self.deprecates_eof else columns + 1
        for _ in range(headers):
            yield await self.read_raw()
        while True:
            data = await self.read_raw()
            yield data
            if is_last_packet(data, self.deprecates_eof):
                return

    async def run(self, sql: str) -> OkPacket | list[tuple]:
        """Run a statement of the proxy itself and decode its answer.

        Args:
            sql: A statement.

        Returns:
            The OK packet's fields, or the rows.

        Raises:
            BackendStatementError: The server refused the statement.
            BackendLostError: The connection broke.
        """
        try:
            await self.query(sql)
        except (asyncmy.errors.InterfaceError, OSError) as error:
            raise BackendLostError(str(error)) from error
        except asyncmy.errors.MySQLError as error:
            if not error.args or error.args[0] in CLIENT_SIDE_CODES:
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
        deprecates_eof: The end is an OK packet with the EOF header.

    Returns:
        True for the end and for an error.
    """
    if data[0] == ERROR_HEADER:
        return True
    if data[0] != EOF_HEADER:
        return False
    if deprecates_eof:
        return len(data) < MAX_PACKET_BYTES
    return len(data) < MAX_EOF_BYTES


def status_of_end(data: bytes, deprecates_eof: bool) -> int:
    """Return the server status in the packet that ends a result set.

    Args:
        data: The last packet.
        deprecates_eof: The end is an OK packet with the EOF header.

    Returns:
        Status flags.
    """
    if deprecates_eof:
        return parse_ok_packet(data).status
    return int.from_bytes(data[3:5], "little")


def is_in_transaction(status: int) -> bool:
    """Return whether status flags say that a transaction is open.

    Args:
        status: Status flags.

    Returns:
        True if the server holds a transaction open.
    """
    return bool(status & SERVER_STATUS.SERVER_STATUS_IN_TRANS)


async def open_connection(
    host: str, port: int, user: str, password: str, database: str
) -> BackendConnection:
    """Connect to a backend server.

    Args:
        host: Address.
        port: Port.
        user: User name.
        password: Password.
        database: Database, or empty.

    Returns:
        An open connection.

    Raises:
        BackendRefusedError: Nothing listens there.
        BackendError: Any other failure.
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
    except (asyncmy.errors.MySQLError, OSError) as error:
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
