"""Commands to backend servers: text queries and executions of prepared statements."""

from dataclasses import dataclass, field

from pollencleat.backend.connection import (
    CLOSE_STATEMENT_COMMAND,
    ERROR_HEADER,
    EXECUTE_COMMAND,
    LONG_DATA_COMMAND,
    PREPARE_COMMAND,
    QUERY_COMMAND,
    BackendConnection,
    BackendStatementError,
)
from pollencleat.core.errors import InvalidHintError

STATEMENTS_KEPT = 64
"""Prepared statements that stay open on one backend connection."""

ID_BYTES = 4
FLAGS_OFFSET = 4
BITMAP_OFFSET = 9
TYPE_BYTES = 2


@dataclass(eq=False, slots=True)
class PreparedText:
    """A caller's prepared statement.

    Attributes:
        parameter_types: Types of the last execution that sent them.
        long_data: Parts of parameters that were sent ahead: parameter and bytes.
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
            connection: A lent connection.
        """
        await connection.send_command(QUERY_COMMAND, self.text)


@dataclass(frozen=True, slots=True)
class ExecuteCommand:
    """The execution of a prepared statement.

    Attributes:
        body: The caller's packet after the statement id, with parameter types.
        long_data: Parameter number and bytes, in the form of the caller's packets.
    """

    text: str
    body: bytes
    long_data: tuple[bytes, ...]

    async def send(self, connection: BackendConnection) -> None:
        """Prepare the statement if this connection has not yet, and execute it.

        Args:
            connection: A lent connection.

        Raises:
            FailedError: The server refused to prepare the statement.
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
    """Prepare a statement on a connection unless it is prepared there.

    Args:
        connection: A lent connection.
        text: The statement.

    Returns:
        The server's statement id and the packets of its answer.

    Raises:
        FailedError: The server refused it; it did not run.
    """
    known = connection.statement_ids_by_text.get(text)
    if known is not None:
        return known
    if len(connection.statement_ids_by_text) >= STATEMENTS_KEPT:
        oldest = next(iter(connection.statement_ids_by_text))
        oldest_id, _ = connection.statement_ids_by_text.pop(oldest)
        await connection.send_command(
            CLOSE_STATEMENT_COMMAND, oldest_id.to_bytes(ID_BYTES, "little")
        )
    await connection.send_command(PREPARE_COMMAND, text.encode())
    first = await connection.read_raw()
    if first[0] == ERROR_HEADER:
        raise BackendStatementError(first)
    packets = [first]
    columns = int.from_bytes(first[5:7], "little")
    parameters = int.from_bytes(first[7:9], "little")
    for count in (parameters, columns):
        if not count:
            continue
        ends = 0 if connection.deprecates_eof else 1
        for _ in range(count + ends):
            packets.append(await connection.read_raw())
    statement_id = int.from_bytes(first[1:5], "little")
    connection.statement_ids_by_text[text] = (statement_id, packets)
    return statement_id, packets


def build_execute_command(prepared: PreparedText, data: bytes) -> ExecuteCommand:
    """Build the command for a backend server from a caller's packet.

    A caller may send parameter types only with its first execution; since executions
    may reach different servers, the types are put in again.  Cursors are not opened:
    the whole result is sent.

    Args:
        prepared: The caller's statement.
        data: The caller's packet after the command byte.

    Returns:
        The command.

    Raises:
        InvalidHintError: The packet is malformed.
    """
    body = bytearray(data[ID_BYTES:])
    if len(body) < BITMAP_OFFSET - ID_BYTES:
        raise InvalidHintError("malformed execute packet")
    body[0] = 0
    count = prepared.parameter_count
    if count:
        _insert_parameter_types(prepared, body, count)
    long_data = tuple(prepared.long_data)
    prepared.long_data = []
    prepared.long_data_size = 0
    return ExecuteCommand(prepared.text, bytes(body), long_data)


def _insert_parameter_types(
    prepared: PreparedText, body: bytearray, count: int
) -> None:
    bound_offset = BITMAP_OFFSET - ID_BYTES + (count + 7) // 8
    if len(body) <= bound_offset:
        raise InvalidHintError("malformed execute packet")
    types_offset = bound_offset + 1
    types_size = TYPE_BYTES * count
    if body[bound_offset]:
        types = bytes(body[types_offset : types_offset + types_size])
        if len(types) != types_size:
            raise InvalidHintError("malformed execute packet")
        prepared.parameter_types = types
        return
    if len(prepared.parameter_types) != types_size:
        raise InvalidHintError("execute packet without parameter types")
    body[bound_offset] = 1
    body[types_offset:types_offset] = prepared.parameter_types
