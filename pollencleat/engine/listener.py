"""Accepts callers, moves idle sessions elsewhere, and drains."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from pollencleat.core.faults import FaultLog
from pollencleat.core.sockets import tune_socket
from pollencleat.engine.access import ServerAccess

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted; a crowd returns after an outage."""

DRAIN_POLL_S = 0.02
"""Seconds between two looks at the sessions while the process drains."""


class SessionConnection(Protocol):
    """One caller's connection, as a codec provides it.

    Attributes:
        opened_at_s: Local time at which it was accepted.
        is_busy: A request or a transaction is open.
        is_resting: It has been idle long enough that no request is on its way.
    """

    opened_at_s: float
    is_busy: bool
    is_resting: bool

    async def serve(self) -> None:
        """Serve until the caller leaves or the connection is closed."""

    async def end_idle_transaction(self, now_s: float) -> None:
        """Let go of a server if the transaction is idle for too long."""

    def finish(self) -> None:
        """Close the connection after the next answer outside a transaction."""

    def close(self) -> None:
        """Close the connection; a request that was read already is answered first."""

    def abort(self) -> None:
        """Break the connection."""


class SessionListener:
    """Listens for callers and keeps their connections."""

    def __init__(
        self,
        access: ServerAccess,
        make_connection: Callable[
            [ServerAccess, asyncio.StreamReader, asyncio.StreamWriter],
            SessionConnection,
        ],
        limit_bytes: int,
        faults: FaultLog | None = None,
    ) -> None:
        """Prepare; start listens.

        Args:
            access: The node's servers.
            make_connection: Makes the codec of an accepted connection.
            limit_bytes: Largest message.
            faults: Where unexpected errors are recorded.
        """
        self._faults = faults or FaultLog()
        self._access = access
        self._make_connection = make_connection
        self._limit_bytes = limit_bytes
        self._server: asyncio.Server | None = None
        self.connections: set[SessionConnection] = set()
        self.port = 0

    async def start(self, host: str, port: int) -> None:
        """Listen; the port is known afterwards.

        Args:
            host: Address.
            port: Port, or 0 for one that the system chooses.
        """
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=self._limit_bytes, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tune_socket(writer)
        connection = self._make_connection(self._access, reader, writer)
        self.connections.add(connection)
        try:
            await connection.serve()
        except (OSError, TimeoutError) as error:
            self._access.metrics.count("connection_broken", type(error).__name__)
        except Exception as error:
            self._faults.record("session", error)
        finally:
            self.connections.discard(connection)
            writer.close()

    async def abandon(self) -> None:
        """Break every connection at once, as the end of the process does."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def end_idle_transactions(self) -> None:
        """Let go of servers that idle transactions hold."""
        now_s = self._access.clock()
        for connection in list(self.connections):
            await connection.end_idle_transaction(now_s)

    def move_idle(self, opened_before_s: float, count: int) -> int:
        """Close some idle sessions, so that their callers come back elsewhere.

        Args:
            opened_before_s: Sessions opened later are left alone.
            count: How many to close at most.

        Returns:
            How many were closed.
        """
        closed = 0
        for connection in list(self.connections):
            if closed == count:
                break
            if connection.is_resting and connection.opened_at_s < opened_before_s:
                connection.close()
                closed += 1
        return closed

    async def drain(self, limit_s: float) -> bool:
        """Stop accepting, close sessions at rest, and wait for the others.

        A session that was used a moment ago may have a request on its way; it is closed
        with its next answer, or when none has come.

        Args:
            limit_s: Longest wait in seconds.

        Returns:
            True if nothing was cut off.
        """
        if self._server is not None:
            self._server.close()
        deadline_s = self._access.clock() + limit_s
        while self.connections and self._access.clock() < deadline_s:
            for connection in list(self.connections):
                connection.finish()
                if connection.is_resting:
                    connection.close()
            await asyncio.sleep(DRAIN_POLL_S)
        is_clean = not any(item.is_busy for item in self.connections)
        for connection in list(self.connections):
            connection.close()
        return is_clean
