"""The listener for callers' connections."""

import asyncio
from ssl import SSLContext

import structlog
from mysql_mimic.control import LocalControl, TooManyConnections
from mysql_mimic.stream import ConnectionClosed

from pollencleat.callers.connection import SERVER_CAPABILITIES, CallerConnection
from pollencleat.callers.gateway import Gateway
from pollencleat.callers.identity import CallerIdentityProvider
from pollencleat.callers.session import CallerSession
from pollencleat.callers.stream import CallerStream
from pollencleat.core.errors import PollencleatError
from pollencleat.core.sockets import close_when_sent

READ_BUFFER_BYTES = 64 * 1024
LISTEN_BACKLOG = 4096
DRAIN_POLL_S = 0.02
READ_PASSES = 4
"""Passes of the event loop in which a drain reads what has arrived, before it ends
the connections that are idle."""

SEND_LIMIT_S = 1.0
"""How long a connection that has ended is kept to send the rest of its answers."""

log = structlog.get_logger()


class CallerServer:
    """Accepts callers' connections and drains them when the node stops."""

    def __init__(
        self,
        gateway: Gateway,
        identity_provider: CallerIdentityProvider,
        ssl: SSLContext | None,
    ) -> None:
        """Create the server; start opens its port."""
        self.gateway = gateway
        self._identity_provider = identity_provider
        self._ssl = ssl
        self._control = LocalControl()
        self._server: asyncio.Server | None = None
        self.connections: set[CallerConnection] = set()

    async def start(self, host: str, port: int) -> int:
        """Listen for connections.

        Args:
            host: Address to listen on.
            port: Port, or 0 for one that the system chooses.

        Returns:
            The port in use.

        Raises:
            OSError: The address cannot be used.
        """
        self._server = await asyncio.start_server(
            self._accept, host, port, limit=READ_BUFFER_BYTES, backlog=LISTEN_BACKLOG
        )
        return self._server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = CallerConnection(
            CallerStream(reader, writer, SERVER_CAPABILITIES),
            CallerSession(),
            self._control,
            self._identity_provider,
            self.gateway,
            self._ssl,
        )
        try:
            connection.connection_id = await self._control.add(connection)
        except TooManyConnections:
            self.gateway.metrics.count("connection_refused")
            writer.close()
            return
        self.connections.add(connection)
        try:
            await connection.start()
        except (ConnectionClosed, OSError, TimeoutError, PollencleatError):
            self.gateway.metrics.count("connection_broken")
        except Exception as error:
            # The library raises many types of error on malformed handshakes.
            self.gateway.metrics.count("connection_broken", type(error).__name__)
        finally:
            await connection.session.close()
            await self._control.remove(connection.connection_id)
            if not await close_when_sent(writer, SEND_LIMIT_S):
                self.gateway.metrics.count("connection_broken", "answers not sent")
            self.connections.discard(connection)

    async def drain(self, timeout_s: float) -> bool:
        """Stop accepting and wait until the connections have ended.

        A connection ends when no statement or transaction is open; statements that have
        arrived are answered before.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            True if no statement or transaction is open.
        """
        if self._server is not None:
            self._server.close()
        for _ in range(READ_PASSES):
            await asyncio.sleep(0)
        deadline_s = self.gateway.clock() + timeout_s
        while self.gateway.clock() < deadline_s:
            for connection in list(self.connections):
                if not self._is_busy(connection):
                    connection.end_reading()
            if not self.connections:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        return not any(self._is_busy(item) for item in self.connections)

    async def close(self, limit_s: float) -> None:
        """Close all connections after the answers to the statements at work.

        The gateway must have been closed, so that all statements fail.

        Args:
            limit_s: Longest wait in seconds.
        """
        deadline_s = self.gateway.clock() + limit_s
        for connection in list(self.connections):
            connection.end_reading()
        while self.connections and self.gateway.clock() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        for connection in list(self.connections):
            connection.stream.writer.close()

    def _is_busy(self, connection: CallerConnection) -> bool:
        return connection.is_executing or connection.session.transaction is not None
