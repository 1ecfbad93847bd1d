"""Control commands to backend servers, and the platform's promotion call."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import msgspec

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import require_log_end
from pollencleat.core.data import BackendServer, Position, ServerStatus, TermStart
from pollencleat.core.errors import BackendError
from pollencleat.core.timers import read_boottime_s
from pollencleat.engine.exchange import AmbiguousReplyError
from pollencleat.engine.replies import RepetitionRecord
from pollencleat.platform.servers import (
    ServerConnection,
    open_server_connection,
)
from pollencleat.platform.settings import Endpoint
from pollencleat.web.client import HttpClient, HttpError

COMMAND_TIMEOUT_S = 0.6
"""Timeout of a command to a server, connecting included."""

PROMOTION_CALL_TIMEOUT_S = 1.0
"""Timeout of the HTTP call that requests a promotion."""

PROMOTION_TIMEOUT_S = 4.0
"""How long a promoted server may take to become primary; the platform states a few
hundred milliseconds."""

IDLE_CONNECTION_TIMEOUT_S = 3.0
"""How long an unused command connection stays open if the node has no reserved
connection to the server; a failover sends several commands to the same servers."""

STATUS_POLL_INTERVAL_S = 0.03
"""Seconds between two status reads while a server becomes primary."""

PROMOTION_PATH = "/promotion"

HTTP_OK = 200


class PlatformOrders:
    """Sends control commands over one connection to each server."""

    def __init__(
        self,
        board: Blackboard,
        promotion: Endpoint,
        is_current_promoter: Callable[[str, int], bool],
        may_keep_open: Callable[[str], bool],
        repetition_record: Callable[[str], RepetitionRecord],
    ) -> None:
        """Use the platform's promotion service at an address.

        Args:
            board: The node's state.
            promotion: Address of the promotion service.
            is_current_promoter: Called with group id and fencing token right before
                each promotion call; False prevents the call.
            may_keep_open: Called with a server id; whether a connection to the
                server is reserved for this node and so may stay open while idle.
            repetition_record: Called with a server id; the record that all connections
                to the server share.
        """
        self._repetition_record = repetition_record
        self._may_keep_open = may_keep_open
        self._board = board
        self._is_current_promoter = is_current_promoter
        self._promotion_service = HttpClient(promotion.host, promotion.port)
        self._connections_by_server: dict[str, ServerConnection] = {}
        self._connected_servers_by_id: dict[str, BackendServer] = {}
        self._last_used_s_by_server: dict[str, float] = {}
        self._opened_at_s_by_server: dict[str, float] = {}
        self._locks_by_server: dict[str, asyncio.Lock] = {}

    async def read_status(self, server_id: str) -> ServerStatus:
        """Read a server's replication status."""
        return await self._run_command(server_id, "STATUS")

    async def fence(self, server_id: str, term: int) -> ServerStatus:
        """Demote a primary of an older term and return its final status."""
        return await self._run_command(server_id, f"STEPDOWN {term}")

    async def pause_replication(self, server_id: str, term: int) -> ServerStatus:
        """Pause replication on a server; a primary of an older term is fenced."""
        status = await self._run_command(server_id, f"PAUSE {term}")
        if not status.read_only and status.term < term:
            return await self._run_command(server_id, f"STEPDOWN {term}")
        return status

    async def promote(
        self, server_id: str, term: int, fence: int, log_end: Position
    ) -> TermStart:
        """Promote a server and wait until it is primary.

        Args:
            server_id: The server.
            term: Lowest term to wait for; the server assigns its term itself.
            fence: Fencing token; grows with every promotion attempt of the group.
            log_end: Last log entry that the server had when it was chosen.

        Returns:
            Term of the new primary and the log position at which the term starts.

        Raises:
            BackendError: The server has lost log entries, or did not become primary in
                time; the promotion may still take effect.
        """
        status = await self.read_status(server_id)
        require_log_end(server_id, status, log_end)
        if status.read_only or status.term < term - 1:
            await self._request_promotion(server_id, fence)
            status = await self._wait_until_primary(server_id, term)
        return TermStart(status.term, status.received_position)

    async def _wait_until_primary(self, server_id: str, term: int) -> ServerStatus:
        try:
            async with asyncio.timeout(PROMOTION_TIMEOUT_S):
                while True:
                    status = await self._run_command(server_id, "STATUS", True)
                    if not status.read_only and status.term >= term:
                        return status
                    await asyncio.sleep(STATUS_POLL_INTERVAL_S)
        except TimeoutError as error:
            raise BackendError(f"{server_id} did not become primary in time") from error

    async def _request_promotion(self, server_id: str, fence: int) -> None:
        server = self._registered_server(server_id)
        headers = {"Duty-Holder": self._board.node_id, "Fencing-Token": str(fence)}
        body = msgspec.json.encode({"service": server.group_id, "id": server_id})
        if not self._is_current_promoter(server.group_id, fence):
            raise BackendError(f"promotion attempt {fence} may have been superseded")
        try:
            response = await self._promotion_service.request(
                "POST", PROMOTION_PATH, PROMOTION_CALL_TIMEOUT_S, body, headers
            )
        except HttpError as error:
            raise BackendError(f"no answer to the promotion call: {error}") from error
        if response.status != HTTP_OK:
            raise BackendError(f"promotion refused: HTTP status {response.status}")

    async def follow(self, server_id: str, primary_id: str, term: int) -> None:
        """Resume replication on a server; a primary of an older term is fenced."""
        status = await self._run_command(server_id, "RESUME")
        if not status.read_only and status.term < term:
            await self._run_command(server_id, f"STEPDOWN {term}")

    def _registered_server(self, server_id: str) -> BackendServer:
        server = self._board.inventory.servers_by_id.get(server_id)
        if server is None:
            raise BackendError(f"server {server_id} is not registered")
        return server

    async def _run_command(
        self, server_id: str, text: str, may_be_outdated: bool = False
    ) -> ServerStatus:
        lock = self._locks_by_server.setdefault(server_id, asyncio.Lock())

        async def run() -> ServerStatus:
            async with lock:
                connection = await self._connect(server_id)
                self._last_used_s_by_server[server_id] = read_boottime_s()
                try:
                    status = await connection.run_command(text, may_be_outdated)
                except AmbiguousReplyError:
                    # Only a new connection has no earlier reply that may be repeated.
                    connection = await self._connect(server_id)
                    status = await connection.run_command(text)
                opened_at_s = self._opened_at_s_by_server[server_id]
                return dataclasses.replace(status, connected_at_s=opened_at_s)

        return await _with_timeout(run, f"{server_id}: {text}")

    async def _connect(self, server_id: str) -> ServerConnection:
        server = self._registered_server(server_id)
        connection = self._connections_by_server.get(server_id)
        if connection is not None:
            if (
                connection.is_usable
                and self._connected_servers_by_id[server_id] == server
            ):
                return connection
            connection.close()
        connection = await open_server_connection(
            server, self._repetition_record(server_id)
        )
        self._opened_at_s_by_server[server_id] = read_boottime_s()
        self._connections_by_server[server_id] = connection
        self._connected_servers_by_id[server_id] = server
        return connection

    def close_unused(self, now_s: float) -> None:
        """Close connections that are not reserved and have not been used lately.

        Args:
            now_s: Local time in seconds, suspended time included.
        """
        for server_id, connection in list(self._connections_by_server.items()):
            last_used_s = self._last_used_s_by_server.get(server_id, now_s)
            if (
                self._may_keep_open(server_id)
                or now_s - last_used_s < IDLE_CONNECTION_TIMEOUT_S
            ):
                continue
            connection.close()
            del self._connections_by_server[server_id]

    def open_count(self, server_id: str) -> int:
        """Return the number of open connections to a server: 0 or 1."""
        connection = self._connections_by_server.get(server_id)
        return int(connection is not None and connection.is_usable)

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections_by_server.values():
            connection.close()
        self._promotion_service.close()


async def _with_timeout(
    run: Callable[[], Awaitable[ServerStatus]], operation: str
) -> ServerStatus:
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            return await run()
    except TimeoutError as error:
        raise BackendError(f"{operation}: no answer in time") from error
