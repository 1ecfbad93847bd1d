"""Forwards a backend server's answer to a caller, packet by packet.

The two connections may differ in whether a result set ends with an EOF packet or with
an OK packet.  Everything else is forwarded unchanged.
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
    """The first packet of an answer, which may be the whole answer.

    Attributes:
        first: Payload of the packet.
        ok: Its fields if it is an OK packet, else None.
        is_error: Whether it is an error packet.
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
        connection: The connection on which the command was sent.

    Returns:
        The first packet and its kind.

    Raises:
        BackendLostError: The connection broke, or the server requested a local
            file (LOAD DATA LOCAL), which is not supported.
    """
    first = await connection.read_raw()
    if first[0] == OK_HEADER:
        ok = parse_ok_packet(first)
        connection.note_status(ok.status)
        return Answer(first, ok=ok)
    if first[0] == ERROR_HEADER:
        return Answer(first, is_error=True)
    if first[0] == LOCAL_INFILE_HEADER:
        raise BackendLostError(
            "the server requested a local file, which is not supported"
        )
    return Answer(first)


async def forward_result_set(
    answer: Answer,
    connection: BackendConnection,
    stream: CallerStream,
    caller_deprecates_eof: bool,
    end_maker: "EndMaker",
) -> int | None:
    """Forward a result set no faster than the caller reads, which bounds memory.

    Args:
        answer: Start of the answer.
        connection: The connection from which the rest is read.
        stream: The caller's stream.
        caller_deprecates_eof: Whether the caller expects an OK packet instead of an EOF
            packet at the end.
        end_maker: Builds the end packets for the caller's capabilities.

    Returns:
        Server status flags at the end, or None if the result set ended with an error
        packet, which was forwarded too.
    """
    deprecates_eof = connection.deprecates_eof
    await stream.forward(answer.first, connection)
    column_count, _ = read_length_encoded(answer.first, 0)
    for _ in range(column_count):
        await stream.forward(await connection.read_raw(), connection)
    if not deprecates_eof:
        await connection.read_raw()
    if not caller_deprecates_eof:
        await stream.forward(end_maker.eof(0), connection)
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
            await stream.forward(end_maker.ok_as_eof(status), connection)
        else:
            await stream.forward(end_maker.eof(status), connection)
        return status


class EndMaker:
    """Builds the packets that end a result set, for a caller's capabilities."""

    def eof(self, status: int) -> bytes:
        """Return an EOF packet.

        Args:
            status: Server status flags.

        Returns:
            Payload of the packet.
        """
        raise NotImplementedError

    def ok_as_eof(self, status: int) -> bytes:
        """Return an OK packet with the EOF header.

        Args:
            status: Server status flags.

        Returns:
            Payload of the packet.
        """
        raise NotImplementedError
