"""Status requests and replication orders to servers over the database protocol."""

from pollencleat.backend.monitor import ServerMonitor
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import require_log_end
from pollencleat.core.data import Position, ServerStatus, TermStart
from pollencleat.core.errors import BackendError


class MonitorCommands:
    """Sends status requests and orders over each server's monitor connection."""

    def __init__(
        self, board: Blackboard, monitors_by_server: dict[str, ServerMonitor]
    ) -> None:
        """Use the given monitors; the mapping is shared with the gateway."""
        self._board = board
        self._monitors_by_server = monitors_by_server

    def _monitor(self, server_id: str) -> ServerMonitor:
        monitor = self._monitors_by_server.get(server_id)
        if monitor is None:
            raise BackendError(f"server {server_id} is not declared")
        return monitor

    async def read_status(self, server_id: str) -> ServerStatus:
        """Read a server's status."""
        return await self._monitor(server_id).read_status()

    async def fence(self, server_id: str, term: int) -> ServerStatus:
        """Make a primary of an older term read-only and read its final status."""
        return await self._monitor(server_id).fence(term)

    async def pause_replication(self, server_id: str, term: int) -> ServerStatus:
        """Read the status only; these servers have no command to stop replication."""
        return await self._monitor(server_id).read_status()

    async def promote(
        self, server_id: str, term: int, fence: int, log_end: Position
    ) -> TermStart:
        """Make a server the primary and return the start of its term."""
        status = await self._monitor(server_id).read_status()
        require_log_end(server_id, status, log_end)
        return TermStart(term, await self._monitor(server_id).promote(term))

    async def follow(self, server_id: str, primary_id: str, term: int) -> None:
        """Make a server a replica of a primary."""
        primary = self._board.inventory.servers_by_id.get(primary_id)
        if primary is None:
            raise BackendError(f"server {primary_id} is not declared")
        await self._monitor(server_id).follow(primary, term)
