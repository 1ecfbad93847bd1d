"""Framing of packets to and from a caller, with a limit on what is accepted."""

import asyncio
from ssl import SSLContext

from mysql_mimic.stream import ConnectionClosed, MysqlStream
from mysql_mimic.types import Capabilities

from pollencleat.backend.connection import BackendConnection
from pollencleat.callers.handshake import FIXED_BYTES, is_complete_answer
from pollencleat.core.constants import MAX_STATEMENT_BYTES
from pollencleat.core.errors import StatementTooLargeError

HEADER_BYTES = 4
MAX_PAYLOAD_BYTES = 0xFFFFFF
FLUSH_BYTES = 32 * 1024
"""The library's stream sends when it holds this much."""


class CallerStream:
    """Reads whole packets and refuses oversized or malformed ones.

    The library's stream is compiled and cannot be derived from; it does the writing.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        capabilities: Capabilities,
    ) -> None:
        """Use an accepted connection; the first packet is a handshake answer."""
        self.reader = reader
        self.writer = writer
        self.awaits_handshake = True
        self._capabilities = capabilities
        self._unsent_bytes = 0
        self._inner = MysqlStream(reader, writer)
        self.seq = self._inner.seq
        self.write = self._inner.write
        self.write_many = self._inner.write_many
        self.write_text_rows = self._inner.write_text_rows
        self.drain = self._inner.drain
        self.reset_seq = self._inner.reset_seq

    async def start_tls(self, context: SSLContext) -> None:
        """Go on with TLS.

        A caller may send its first TLS message right behind its wish for TLS.  What has
        been read already has to be handed to the TLS layer, which the library leaves
        out; it is fed in after the layer has been connected and before more is read.

        Args:
            context: Certificate and key.
        """
        early = bytes(self.reader._buffer)
        self.reader._buffer.clear()
        transport = self.writer.transport
        loop = asyncio.get_running_loop()

        def feed() -> None:
            protocol = transport.get_protocol()
            protocol.get_buffer(len(early))[: len(early)] = early
            protocol.buffer_updated(len(early))

        if early:
            loop.call_soon(loop.call_soon, feed)
        await self._inner.start_tls(context)

    async def read(self) -> bytes:
        """Read one command or handshake packet.

        Returns:
            The payload, joined if it was split.

        Raises:
            ConnectionClosed: The caller left, or its framing is broken.
            StatementTooLargeError: The payload exceeds the limit.
        """
        payload = await self._read_whole()
        if self.awaits_handshake:
            self.awaits_handshake = len(payload) == FIXED_BYTES
            if not is_complete_answer(payload, self._capabilities):
                raise ConnectionClosed
        return payload

    async def _read_whole(self) -> bytes:
        parts = []
        size = 0
        while True:
            payload = await self._read_payload()
            size += len(payload)
            if size > MAX_STATEMENT_BYTES:
                raise StatementTooLargeError(f"more than {MAX_STATEMENT_BYTES} bytes")
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
        """Send a packet on; while the caller is slow, nothing is read for it.

        The driver reads whatever arrives into memory, so that a caller who does not
        read would make the node hold a whole result.

        Args:
            payload: A payload from a backend server.
            source: The connection that it came from.
        """
        self._unsent_bytes += len(payload)
        if self._unsent_bytes < FLUSH_BYTES:
            await self.write(payload, drain=False)
            return
        self._unsent_bytes = 0
        source.pause_reading()
        try:
            await self.write(payload, drain=True)
        finally:
            source.resume_reading()
