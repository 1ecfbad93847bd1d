"""Questions and orders to backend servers over the database protocol."""

from pollencleat.backend.monitor import ServerMonitor
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import ServerStatus, TermStart
from pollencleat.core.errors import BackendError


class MonitorOrders:
    """Carries orders over the monitor connection of each server."""

    def __init__(
        self, board: Blackboard, monitors_by_server: dict[str, ServerMonitor]
    ) -> None:
        """Use the monitors that the gateway keeps."""
        self._board = board
        self._monitors_by_server = monitors_by_server

    def _monitor(self, server_id: str) -> ServerMonitor:
        monitor = self._monitors_by_server.get(server_id)
        if monitor is None:
            raise BackendError(f"server {server_id} is not declared")
        return monitor

    async def read_status(self, server_id: str) -> ServerStatus:
        """Ask a server for its status."""
        return await self._monitor(server_id).read_status()

    async def fence(self, server_id: str, term: int) -> ServerStatus:
        """Make a primary of an older term read-only and read its final status."""
        return await self._monitor(server_id).fence(term)

    async def hold(self, server_id: str, term: int) -> ServerStatus:
        """Read the status; these servers take no order to stop receiving."""
        return await self._monitor(server_id).read_status()

    async def promote(self, server_id: str, term: int, fence: int) -> TermStart:
        """Make a server the primary and return where its term begins."""
        return TermStart(term, await self._monitor(server_id).promote(term))

    async def follow(self, server_id: str, primary_id: str, term: int) -> None:
        """Make a server a replica that receives from a primary."""
        primary = self._board.inventory.servers_by_id.get(primary_id)
        if primary is None:
            raise BackendError(f"server {primary_id} is not declared")
        await self._monitor(server_id).follow(primary, term)
