"""What the controllers need from outside, whatever protocol it is spoken in.

The daemon connects one implementation of each port: the object API and the database
protocol of our own stand-ins, or those of another platform.
"""

from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Fleet, Inventory, ServerStatus, TermStart, VmList


@dataclass(frozen=True, slots=True)
class PlatformState:
    """What one read of the platform showed."""

    fleet: Fleet
    inventory: Inventory
    vms: VmList


class PlatformStore(Protocol):
    """Where the fleet state, the inventory and the list of machines are kept."""

    async def read_state(self, board: Blackboard) -> PlatformState:
        """Read everything newer than the blackboard holds.

        Args:
            board: What is known.

        Returns:
            The newest state; the fleet part comes from a linearizable read.

        Raises:
            StoreUnavailableError: No answer.
        """

    async def update_fleet(self, expected_version: int, fleet: Fleet) -> int:
        """Replace the fleet state if its version is the expected one.

        Args:
            expected_version: 0 to create it.
            fleet: The new state.

        Returns:
            The new version.

        Raises:
            StoreConflictError: Another node changed it.
            StoreUnavailableError: No answer; the change may have taken effect.
        """


class ServerOrders(Protocol):
    """Questions and orders to backend servers; each raises BackendError."""

    async def read_status(self, server_id: str) -> ServerStatus:
        """Ask a server for its status."""

    async def fence(self, server_id: str, term: int) -> ServerStatus:
        """Make a primary of an older term read-only and read its final status."""

    async def hold(self, server_id: str, term: int) -> ServerStatus:
        """Keep a server from receiving more and read its status."""

    async def promote(self, server_id: str, term: int, fence: int) -> TermStart:
        """Make a server the primary and return where its term begins."""

    async def follow(self, server_id: str, primary_id: str, term: int) -> None:
        """Make a server a replica that receives from a primary."""
