"""A dedicated connection to one server for status samples and commands."""

import asyncio
from collections.abc import Awaitable, Callable

from pollencleat.backend import operations
from pollencleat.backend.connection import (
    BackendConnection,
    BackendStatementError,
    open_connection,
)
from pollencleat.backend.pool import Credentials
from pollencleat.core.data import BackendServer, ServerStatus
from pollencleat.core.errors import BackendError, BackendRefusedError

COMMAND_TIMEOUT_S = 0.5
"""Timeout of a command or sample, including connecting and waiting for the lock."""


class ServerMonitor:
    """Runs the proxy's own statements on one server, one at a time."""

    def __init__(self, server: BackendServer, credentials: Credentials) -> None:
        """Keep the address; the connection is opened on first use."""
        self.server = server
        self._credentials = credentials
        self._connection: BackendConnection | None = None
        self._lock = asyncio.Lock()

    @property
    def open_count(self) -> int:
        """Number of open connections: 0 or 1."""
        return 0 if self._connection is None else 1

    async def read_status(self) -> ServerStatus:
        """Read the server's status.

        Returns:
            The status.

        Raises:
            BackendRefusedError: The connection was refused.
            BackendError: The request failed or timed out.
        """
        return await self._run(operations.read_status)

    async def fence(self, term: int) -> ServerStatus:
        """Make the server read-only and read its final status.

        Args:
            term: The new term.

        Returns:
            The status after fencing.

        Raises:
            BackendError: The command failed or timed out; it may have taken effect.
        """

        async def fence_and_read(connection: BackendConnection) -> ServerStatus:
            await operations.fence_server(connection, term)
            return await operations.read_status(connection)

        return await self._run(fence_and_read)

    async def promote(self, term: int) -> int:
        """Make the server the primary of a term.

        Args:
            term: The new term.

        Returns:
            The log position at which the new term starts.

        Raises:
            BackendError: The command failed or timed out; it may have taken effect.
        """

        async def promote(connection: BackendConnection) -> int:
            return await operations.promote_server(connection, term)

        return await self._run(promote)

    async def follow(self, primary: BackendServer, term: int) -> None:
        """Make the server a replica.

        Args:
            primary: The server to replicate from.
            term: The primary's term.

        Raises:
            BackendError: The command failed or timed out; it may have taken effect.
        """

        async def follow(connection: BackendConnection) -> None:
            await operations.follow_primary(
                connection, primary.server_id, primary.host, primary.port, term
            )

        await self._run(follow)

    async def _run(self, command: Callable[[BackendConnection], Awaitable]) -> object:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S), self._lock:
                try:
                    connection = await self._connect()
                    return await command(connection)
                except BaseException:
                    self.close()
                    raise
        except BackendRefusedError:
            raise
        except (BackendStatementError, TimeoutError, OSError) as error:
            raise BackendError(
                f"command on server {self.server.server_id} failed: {error}"
            ) from error

    async def _connect(self) -> BackendConnection:
        if self._connection is not None and self._connection.is_usable:
            return self._connection
        self.close()
        self._connection = await open_connection(
            self.server.host,
            self.server.port,
            self._credentials.user,
            self._credentials.password,
            "",
        )
        return self._connection

    def close(self) -> None:
        """Close the connection."""
        if self._connection is None:
            return
        self._connection.close()
        self._connection = None
