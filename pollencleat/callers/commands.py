"""Commands to backend servers: text queries and prepared statements."""

from dataclasses import dataclass, field

from pollencleat.backend.connection import (
    CLOSE_STATEMENT_COMMAND,
    ERROR_HEADER,
    EXECUTE_COMMAND,
    LONG_DATA_COMMAND,
    OK_HEADER,
    PREPARE_COMMAND,
    QUERY_COMMAND,
    BackendConnection,
    BackendStatementError,
)
from pollencleat.core.errors import BackendLostError, InvalidHintError

MAX_PREPARED_PER_CONNECTION = 64
"""Number of prepared statements kept open on one backend connection."""

ID_BYTES = 4
FLAGS_OFFSET = 4
BITMAP_OFFSET = 9
TYPE_BYTES = 2
PREPARE_ANSWER_BYTES = 12
"""Least size of the first packet of the answer to COM_STMT_PREPARE."""

PREPARE_FILLER_OFFSET = 9


@dataclass(eq=False, slots=True)
class PreparedStatement:
    """A caller's prepared statement.

    Attributes:
        statement_id: Id by which the caller refers to the statement.
        text: SQL text of the statement.
        parameter_count: Number of parameters.
        parameter_types: Parameter types of the last execution that sent them.
        long_data: Parts of long parameter values received before the execution, each
            with its parameter number in front.
        long_data_size: Bytes of the packets that carried these parts.
    """

    statement_id: int
    text: str
    parameter_count: int
    parameter_types: bytes = b""
    long_data: list[bytes] = field(default_factory=list)
    long_data_size: int = 0


@dataclass(frozen=True, slots=True)
class QueryCommand:
    """A text query."""

    text: bytes

    async def send(self, connection: BackendConnection) -> None:
        """Send the command.

        Args:
            connection: A leased connection.
        """
        await connection.send_command(QUERY_COMMAND, self.text)


@dataclass(frozen=True, slots=True)
class ExecuteCommand:
    """The execution of a prepared statement.

    Attributes:
        text: SQL text of the statement.
        body: The caller's packet after the statement id, with parameter types.
        long_data: Parts of long parameter values, each with its parameter number in
            front, as in the caller's packets.
    """

    text: str
    body: bytes
    long_data: tuple[bytes, ...]

    async def send(self, connection: BackendConnection) -> None:
        """Execute the statement, preparing it first if necessary.

        Args:
            connection: A leased connection.

        Raises:
            BackendStatementError: The server refused to prepare the statement.
        """
        statement_id, _ = await prepare_on(connection, self.text)
        prefix = statement_id.to_bytes(ID_BYTES, "little")
        for part in self.long_data:
            await connection.send_command(LONG_DATA_COMMAND, prefix + part)
        await connection.send_command(EXECUTE_COMMAND, prefix + self.body)


Command = QueryCommand | ExecuteCommand


async def prepare_on(
    connection: BackendConnection, text: str
) -> tuple[int, list[bytes]]:
    """Prepare a statement on a connection unless it is already prepared there.

    The oldest prepared statement is closed if too many are open.

    Args:
        connection: A leased connection.
        text: SQL text of the statement.

    Returns:
        The server's statement id and the packets of its answer to the preparation.

    Raises:
        BackendStatementError: The server refused to prepare the statement.
        BackendLostError: The connection broke, or the answer is to another command.
    """
    cached = connection.statement_ids_by_text.get(text)
    if cached is not None:
        return cached
    if len(connection.statement_ids_by_text) >= MAX_PREPARED_PER_CONNECTION:
        oldest_text = next(iter(connection.statement_ids_by_text))
        oldest_id, _ = connection.statement_ids_by_text.pop(oldest_text)
        await connection.send_command(
            CLOSE_STATEMENT_COMMAND, oldest_id.to_bytes(ID_BYTES, "little")
        )
    await connection.send_command(PREPARE_COMMAND, text.encode())
    first = await connection.read_raw()
    if first[0] == ERROR_HEADER:
        raise BackendStatementError(first)
    if (
        first[0] != OK_HEADER
        or len(first) < PREPARE_ANSWER_BYTES
        or first[PREPARE_FILLER_OFFSET] != 0
    ):
        connection.close()
        raise BackendLostError("an answer that is not to the preparation")
    packets = [first]
    column_count = int.from_bytes(first[5:7], "little")
    parameter_count = int.from_bytes(first[7:9], "little")
    for count in (parameter_count, column_count):
        if not count:
            continue
        eof_packets = 0 if connection.deprecates_eof else 1
        for _ in range(count + eof_packets):
            packets.append(await connection.read_raw())
    statement_id = int.from_bytes(first[1:5], "little")
    connection.statement_ids_by_text[text] = (statement_id, packets)
    return statement_id, packets


def build_execute_command(prepared: PreparedStatement, data: bytes) -> ExecuteCommand:
    """Build the command for a backend server from a caller's packet.

    A caller may send parameter types only with its first execution.  Since executions
    may reach different servers, the types are inserted into each packet.  No cursor is
    opened: the whole result set is sent at once.

    Args:
        prepared: The caller's prepared statement.
        data: The caller's packet after the command byte.

    Returns:
        The command to send.

    Raises:
        InvalidHintError: The packet is malformed, or the parameter types are missing.
    """
    body = bytearray(data[ID_BYTES:])
    if len(body) < BITMAP_OFFSET - ID_BYTES:
        raise InvalidHintError("truncated COM_STMT_EXECUTE packet")
    body[0] = 0
    count = prepared.parameter_count
    if count:
        _insert_parameter_types(prepared, body, count)
    long_data = tuple(prepared.long_data)
    prepared.long_data = []
    prepared.long_data_size = 0
    return ExecuteCommand(prepared.text, bytes(body), long_data)


def _insert_parameter_types(
    prepared: PreparedStatement, body: bytearray, count: int
) -> None:
    types_flag_offset = BITMAP_OFFSET - ID_BYTES + (count + 7) // 8
    if len(body) <= types_flag_offset:
        raise InvalidHintError("truncated COM_STMT_EXECUTE packet")
    types_offset = types_flag_offset + 1
    types_size = TYPE_BYTES * count
    if body[types_flag_offset]:
        types = bytes(body[types_offset : types_offset + types_size])
        if len(types) != types_size:
            raise InvalidHintError("truncated COM_STMT_EXECUTE packet")
        prepared.parameter_types = types
        return
    if len(prepared.parameter_types) != types_size:
        raise InvalidHintError("COM_STMT_EXECUTE packet without parameter types")
    body[types_flag_offset] = 1
    body[types_offset:types_offset] = prepared.parameter_types
