"""Handing a backend server's answer on to a caller, packet by packet.

The two sides may differ in one detail: whether a result set ends with an EOF packet or
with an OK packet.  Everything else is handed on unchanged.
"""

from dataclasses import dataclass

from pollencleat.backend.connection import (
    ERROR_HEADER,
    LOCAL_INFILE_HEADER,
    OK_HEADER,
    BackendConnection,
    OkPacket,
    is_last_packet,
    parse_ok_packet,
    read_length_encoded,
    status_of_end,
)
from pollencleat.callers.stream import CallerStream
from pollencleat.core.errors import BackendLostError


@dataclass(frozen=True, slots=True)
class Answer:
    """How an answer began or ended.

    Attributes:
        first: The first packet.
        ok: Its fields if it is an OK packet.
        is_error: It is an error packet.
    """

    first: bytes
    ok: OkPacket | None = None
    is_error: bool = False

    @property
    def is_result_set(self) -> bool:
        """Whether column definitions and rows follow."""
        return self.ok is None and not self.is_error


async def read_answer_start(connection: BackendConnection) -> Answer:
    """Read the first packet of an answer.

    Args:
        connection: A connection to which a command was sent.

    Returns:
        What the packet says.

    Raises:
        BackendLostError: The connection broke, or the server asks for a local file.
    """
    first = await connection.read_raw()
    if first[0] == OK_HEADER:
        ok = parse_ok_packet(first)
        connection.note_status(ok.status)
        return Answer(first, ok=ok)
    if first[0] == ERROR_HEADER:
        return Answer(first, is_error=True)
    if first[0] == LOCAL_INFILE_HEADER:
        raise BackendLostError("the server asked for a local file")
    return Answer(first)


async def forward_result_set(
    answer: Answer,
    connection: BackendConnection,
    stream: CallerStream,
    caller_deprecates_eof: bool,
    make_end: "EndMaker",
) -> int | None:
    """Hand a result set on; memory stays bounded by the caller's reading.

    Args:
        answer: Start of the answer.
        connection: Where the rest comes from.
        stream: The caller.
        caller_deprecates_eof: The caller expects an OK packet at the end.
        make_end: Makes the end packets in the caller's form.

    Returns:
        Status flags of the end, or None if the result set ended with an error, which
        was handed on too.
    """
    deprecates_eof = connection.deprecates_eof
    await stream.forward(answer.first, connection)
    columns, _ = read_length_encoded(answer.first, 0)
    for _ in range(columns):
        await stream.forward(await connection.read_raw(), connection)
    if not deprecates_eof:
        await connection.read_raw()
    if not caller_deprecates_eof:
        await stream.forward(make_end.eof(0), connection)
    read_raw = connection.read_raw
    while True:
        data = await read_raw()
        if not is_last_packet(data, deprecates_eof):
            await stream.forward(data, connection)
            continue
        if data[0] == ERROR_HEADER:
            await stream.forward(data, connection)
            return None
        status = status_of_end(data, deprecates_eof)
        connection.note_status(status)
        if deprecates_eof == caller_deprecates_eof:
            await stream.forward(data, connection)
        elif caller_deprecates_eof:
            await stream.forward(make_end.ok_as_eof(status), connection)
        else:
            await stream.forward(make_end.eof(status), connection)
        return status


class EndMaker:
    """Makes end packets in a caller's form."""

    def eof(self, status: int) -> bytes:
        """Return an EOF packet.

        Args:
            status: Status flags.

        Returns:
            The payload.
        """
        raise NotImplementedError

    def ok_as_eof(self, status: int) -> bytes:
        """Return an OK packet with the EOF header.

        Args:
            status: Status flags.

        Returns:
            The payload.
        """
        raise NotImplementedError
