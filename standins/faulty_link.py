"""A network link whose faults are switched on from outside.

Forwards TCP on loopback.  While a fault is on it applies to open connections and to new
ones: bytes are held back, dropped in one direction or both, or connections are reset.
"""

import asyncio
import enum

CHUNK_BYTES = 65_536
POLL_S = 0.01
"""Seconds between two looks at whether a silenced direction is open again."""


class LinkFault(enum.StrEnum):
    """What a link does wrong."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    SILENT_THERE = "silent there"
    SILENT_BACK = "silent back"


class FaultyLink:
    """Forwards connections to a target."""

    def __init__(self, host: str, port: int, delay_s: float = 0.15) -> None:
        """Forward to an address; start listens."""
        self._target = (host, port)
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.fault = LinkFault.NONE
        self.port = 0

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        self._break_all()

    def set_fault(self, fault: LinkFault) -> None:
        """Switch to a fault, or to none.

        Args:
            fault: From now on; bytes that were dropped before stay lost, so that
                connections which lost some are reset.
        """
        had_silence = self.fault.startswith("silent")
        self.fault = fault
        if fault is LinkFault.RESET or had_silence:
            self._break_all()

    def _break_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        while self.fault is LinkFault.SILENT:
            await asyncio.sleep(POLL_S)
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        try:
            await asyncio.gather(
                self._copy(reader, back, LinkFault.SILENT_THERE),
                self._copy(there, writer, LinkFault.SILENT_BACK),
            )
        finally:
            self._writers -= {writer, back}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silenced_by: LinkFault,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault in (LinkFault.SILENT, silenced_by):
                    continue
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self._delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        writer.close()
