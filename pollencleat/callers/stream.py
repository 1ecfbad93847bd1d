"""Packet framing to and from a caller, with a limit on the size of a statement."""

import asyncio
from ssl import SSLContext

from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import Capabilities

from pollencleat.backend.connection import BackendConnection
from pollencleat.callers.handshake import FIXED_PART_BYTES, is_complete_response
from pollencleat.core.constants import MAX_STATEMENT_BYTES
from pollencleat.core.errors import StatementTooLargeError

HEADER_BYTES = 4
MAX_PAYLOAD_BYTES = 0xFFFFFF
FLUSH_BYTES = 32 * 1024
"""Number of buffered bytes at which the library's stream sends them."""


class CallerStream:
    """Reads whole packets and rejects oversized or malformed ones.

    The library's stream is compiled and cannot be subclassed, so writing is delegated
    to an instance of it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        capabilities: Capabilities,
    ) -> None:
        """Use an accepted connection, whose first packet is a handshake response."""
        self.reader = reader
        self.writer = writer
        self.awaits_handshake = True
        self._capabilities = capabilities
        self._unflushed_bytes = 0
        self._library_stream = MysqlStream(reader, writer)
        self.seq = self._library_stream.seq
        self.write = self._library_stream.write
        self.write_many = self._library_stream.write_many
        self.write_text_rows = self._library_stream.write_text_rows
        self.drain = self._library_stream.drain
        self.reset_seq = self._library_stream.reset_seq

    async def start_tls(self, context: SSLContext) -> None:
        """Upgrade the connection to TLS.

        A caller may send its first TLS message immediately after its TLS request.  The
        library does not pass bytes that have already been read to the TLS layer, so
        they are fed in here, after the layer is connected and before more is read.

        Args:
            context: TLS context with the certificate and key.
        """
        early_bytes = bytes(self.reader._buffer)
        self.reader._buffer.clear()
        transport = self.writer.transport
        loop = asyncio.get_running_loop()

        def feed_early_bytes() -> None:
            protocol = transport.get_protocol()
            protocol.get_buffer(len(early_bytes))[: len(early_bytes)] = early_bytes
            protocol.buffer_updated(len(early_bytes))

        if early_bytes:
            loop.call_soon(loop.call_soon, feed_early_bytes)
        await self._library_stream.start_tls(context)

    async def read(self) -> bytes:
        """Read one command or handshake packet.

        Returns:
            The payload, joined if it was split into several packets.

        Raises:
            ConnectionClosed: The caller disconnected, or its packets are malformed.
            StatementTooLargeError: The payload exceeds MAX_STATEMENT_BYTES.
        """
        payload = await self._read_joined_payload()
        if self.awaits_handshake:
            self.awaits_handshake = len(payload) == FIXED_PART_BYTES
            if not is_complete_response(payload, self._capabilities):
                raise ConnectionClosed
        return payload

    async def _read_joined_payload(self) -> bytes:
        parts = []
        size = 0
        while True:
            payload = await self._read_payload()
            size += len(payload)
            if size > MAX_STATEMENT_BYTES:
                raise StatementTooLargeError(
                    f"the statement exceeds {MAX_STATEMENT_BYTES} bytes"
                )
            parts.append(payload)
            if len(payload) < MAX_PAYLOAD_BYTES:
                return parts[0] if len(parts) == 1 else b"".join(parts)

    async def _read_payload(self) -> bytes:
        try:
            header = await self.reader.readexactly(HEADER_BYTES)
            if header[3] != next(self.seq):
                raise ConnectionClosed
            length = int.from_bytes(header[:3], "little")
            return await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise ConnectionClosed from error

    async def forward(self, payload: bytes, source: BackendConnection) -> None:
        """Forward a packet, reading no more from the server while the caller is slow.

        The driver buffers all data that arrives, so without this backpressure a caller
        that does not read would make the node buffer a whole result set.

        Args:
            payload: Payload of a packet from a backend server.
            source: The connection from which the packet was read.
        """
        self._unflushed_bytes += len(payload)
        if self._unflushed_bytes < FLUSH_BYTES:
            await self.write(payload, drain=False)
            return
        self._unflushed_bytes = 0
        source.pause_reading()
        try:
            await self.write(payload, drain=True)
        finally:
            source.resume_reading()
