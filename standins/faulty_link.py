"""TCP forwarder on loopback with fault injection.

An active fault applies to open and new connections: bytes are delayed, or dropped in
one direction or both, or connections are reset.
"""

import asyncio
import enum

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.01
"""Poll interval of new connections that wait for the SILENT fault to end."""


class LinkFault(enum.StrEnum):
    """Fault of a link.

    Attributes:
        DELAY: Each chunk of data is forwarded after a delay.
        RESET: Open connections and new ones are reset.
        SILENT: Data is dropped in both directions; new connections wait.
        SILENT_THERE: Data to the target is dropped.
        SILENT_BACK: Data from the target is dropped.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    SILENT_THERE = "silent there"
    SILENT_BACK = "silent back"


class FaultyLink:
    """Forwards TCP connections to a target address."""

    def __init__(self, host: str, port: int, delay_s: float = 0.15) -> None:
        """Set the target and the delay in seconds; start listens."""
        self._target = (host, port)
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.fault = LinkFault.NONE
        self.port = 0

    @property
    def address(self) -> str:
        """Listening address as host:port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self._abort_connections()

    def set_fault(self, fault: LinkFault) -> None:
        """Switch to a fault, or to none.

        Connections are also reset when a fault that drops bytes ends, because those
        bytes are lost.

        Args:
            fault: The new fault.
        """
        may_have_dropped_bytes = self.fault.startswith("silent")
        self.fault = fault
        if fault is LinkFault.RESET or may_have_dropped_bytes:
            self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            writer.transport.abort()
            return
        while self.fault is LinkFault.SILENT:
            await asyncio.sleep(POLL_INTERVAL_S)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, LinkFault.SILENT_THERE),
                self._copy(target_reader, writer, LinkFault.SILENT_BACK),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        dropping_fault: LinkFault,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault in (LinkFault.SILENT, dropping_fault):
                    continue
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self._delay_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        writer.close()
