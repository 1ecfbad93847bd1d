"""Interfaces to the platform and the backend servers, independent of any protocol.

The daemon selects one implementation of each port: the object API and the database
protocol of the stand-ins in this repository, or those of another platform.
"""

from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    Fleet,
    Inventory,
    Position,
    ServerStatus,
    TermStart,
    VmList,
)


@dataclass(frozen=True, slots=True)
class PlatformState:
    """Result of one read of the platform.

    Attributes:
        era: Era of the store, which rises when it comes back from an older copy.
    """

    fleet: Fleet
    inventory: Inventory
    vms: VmList
    era: int = 0


class PlatformStore(Protocol):
    """Store of the fleet state, the inventory and the VM list."""

    async def read_state(self, board: Blackboard) -> PlatformState:
        """Read the objects that are newer than those on the blackboard.

        Args:
            board: The node's state, with the known objects.

        Returns:
            The latest state; the fleet state comes from a linearizable read.

        Raises:
            StoreUnavailableError: The platform did not answer.
        """

    async def update_fleet(self, expected_version: int, fleet: Fleet) -> int:
        """Replace the fleet state if it still has the expected version.

        Args:
            expected_version: Version to be replaced; 0 to create the object.
            fleet: The new state.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The stored version is not the expected one.
            StoreUnavailableError: The platform did not answer; the change may have
                taken effect.
        """


class ServerOrders(Protocol):
    """Status requests and commands to backend servers.

    Every method raises BackendError if the server does not answer or rejects the
    request.
    """

    async def read_status(self, server_id: str) -> ServerStatus:
        """Request a server's status."""

    async def fence(self, server_id: str, term: int) -> ServerStatus:
        """Make the primary of an older term read-only and return its final status."""

    async def pause_replication(self, server_id: str, term: int) -> ServerStatus:
        """Pause a server's replication and return its status."""

    async def promote(
        self, server_id: str, term: int, fence: int, log_end: Position
    ) -> TermStart:
        """Make a server the primary and return the start of its log term.

        A server whose log no longer reaches the given entry is not promoted.
        """

    async def follow(self, server_id: str, primary_id: str, term: int) -> None:
        """Make a server a read-only replica of a primary."""
