"""Orders to servers, and the platform's call that names a new primary."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, ServerStatus, TermStart
from pollencleat.core.errors import BackendError
from pollencleat.core.timers import read_boottime_s
from pollencleat.platform.servers import ServerConnection, open_server_connection
from pollencleat.platform.settings import Endpoint

ORDER_LIMIT_S = 0.6
"""How long a server may take to answer an order, a new connection included."""

PROMOTION_CALL_LIMIT_S = 1.0
"""How long the platform may take to accept a promotion."""

PROMOTION_LIMIT_S = 4.0
"""How long a named server may take to lead; the platform says some hundred ms."""

KEEP_S = 3.0
"""How long a connection for orders stays open unused where a node has none of its own;
a change of primary asks the same servers several times."""

POLL_S = 0.03
"""Seconds between two looks at a server that is about to lead."""

ACCEPTED = 200


class PlatformOrders:
    """Carries orders over one connection to each server."""

    def __init__(
        self,
        board: Blackboard,
        promotion: Endpoint,
        may_name_primary: Callable[[str, int], bool],
        may_keep: Callable[[str], bool],
    ) -> None:
        """Use the platform's promotion service at an address.

        may_name_primary is asked, with group and fence, right before each call;
        may_keep, whether a server's connection stays open when it is not used.
        """
        self._may_keep = may_keep
        self._board = board
        self._may_name_primary = may_name_primary
        self._promotion_url = f"http://{promotion}/promotion"
        self._connections_by_server: dict[str, ServerConnection] = {}
        self._opened_for: dict[str, BackendServer] = {}
        self._used_at_s: dict[str, float] = {}
        self._locks_by_server: dict[str, asyncio.Lock] = {}
        self._session: aiohttp.ClientSession | None = None

    async def read_status(self, server_id: str) -> ServerStatus:
        """Ask a server for its status."""
        return await self._order(server_id, "STATUS")

    async def fence(self, server_id: str, term: int) -> ServerStatus:
        """Make a primary of an older term a replica and read its final status."""
        return await self._order(server_id, f"STEPDOWN {term}")

    async def hold(self, server_id: str, term: int) -> ServerStatus:
        """Keep a server from receiving more; a primary of an older term is fenced."""
        status = await self._order(server_id, f"PAUSE {term}")
        if not status.read_only and status.term < term:
            return await self._order(server_id, f"STEPDOWN {term}")
        return status

    async def promote(self, server_id: str, term: int, fence: int) -> TermStart:
        """Name a server as primary and wait until it leads.

        Args:
            server_id: The server.
            term: Unused; servers count their terms themselves.
            fence: Number that grows with every attempt of the group.

        Returns:
            Term and position from which it leads.

        Raises:
            BackendError: It does not lead; the call may still take effect.
        """
        status = await self.read_status(server_id)
        if status.read_only or status.term < term - 1:
            await self._call_promotion(server_id, fence)
            status = await self._wait_for_lead(server_id, term)
        return TermStart(status.term, status.received_position)

    async def _wait_for_lead(self, server_id: str, term: int) -> ServerStatus:
        try:
            async with asyncio.timeout(PROMOTION_LIMIT_S):
                while True:
                    status = await self.read_status(server_id)
                    if not status.read_only and status.term >= term:
                        return status
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            raise BackendError(f"{server_id} does not lead in time") from error

    async def _call_promotion(self, server_id: str, fence: int) -> None:
        server = self._server(server_id)
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=PROMOTION_CALL_LIMIT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        headers = {"Duty-Holder": self._board.node_id, "Fencing-Token": str(fence)}
        body = {"service": server.group_id, "id": server_id}
        if not self._may_name_primary(server.group_id, fence):
            raise BackendError(f"attempt {fence} may not be the current one")
        try:
            async with self._session.post(
                self._promotion_url, json=body, headers=headers
            ) as response:
                if response.status != ACCEPTED:
                    raise BackendError(f"promotion refused: {response.status}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BackendError(f"no answer to the promotion: {error}") from error

    async def follow(self, server_id: str, primary_id: str, term: int) -> None:
        """Let a server receive again, and end a former primary's lead."""
        status = await self._order(server_id, "RESUME")
        if not status.read_only and status.term < term:
            await self._order(server_id, f"STEPDOWN {term}")

    def _server(self, server_id: str) -> BackendServer:
        server = self._board.inventory.servers_by_id.get(server_id)
        if server is None:
            raise BackendError(f"server {server_id} is not registered")
        return server

    async def _order(self, server_id: str, text: str) -> ServerStatus:
        lock = self._locks_by_server.setdefault(server_id, asyncio.Lock())

        async def send() -> ServerStatus:
            async with lock:
                connection = await self._connect(server_id)
                self._used_at_s[server_id] = read_boottime_s()
                return await connection.order(text)

        return await _within_limit(send, f"{server_id}: {text}")

    async def _connect(self, server_id: str) -> ServerConnection:
        server = self._server(server_id)
        connection = self._connections_by_server.get(server_id)
        if connection is not None:
            if connection.is_usable and self._opened_for[server_id] == server:
                return connection
            connection.close()
        connection = await open_server_connection(server)
        self._connections_by_server[server_id] = connection
        self._opened_for[server_id] = server
        return connection

    def close_unused(self, now_s: float) -> None:
        """Close connections beyond this node's share that have not been used lately.

        Args:
            now_s: Local time.
        """
        for server_id, connection in list(self._connections_by_server.items()):
            used_at_s = self._used_at_s.get(server_id, now_s)
            if self._may_keep(server_id) or now_s - used_at_s < KEEP_S:
                continue
            connection.close()
            del self._connections_by_server[server_id]

    def open_count(self, server_id: str) -> int:
        """Return the connections held to a server: 0 or 1."""
        connection = self._connections_by_server.get(server_id)
        return int(connection is not None and connection.is_usable)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections_by_server.values():
            connection.close()
        if self._session is not None:
            await self._session.close()


async def _within_limit(
    send: Callable[[], Awaitable[ServerStatus]], what: str
) -> ServerStatus:
    try:
        async with asyncio.timeout(ORDER_LIMIT_S):
            return await send()
    except TimeoutError as error:
        raise BackendError(f"{what}: no answer in time") from error
