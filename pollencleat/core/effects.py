"""What controllers want done: typed requests to the adapters.

Each effect is carried out at most once.  Its result comes back to the controller that
asked, as an event of the type named in the effect's docstring.
"""

from dataclasses import dataclass

from pollencleat.core.data import Fleet, Inventory, ServerStatus, TermStart, VmList


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read fleet, inventory and VM list; answered by PlatformRead."""

    sent_at_s: float


@dataclass(frozen=True, slots=True)
class UpdateFleet:
    """Replace the fleet state if its version is still the expected one.

    Answered by FleetUpdated.  The audit entry is written after a success.
    """

    purpose: str
    expected_version: int
    fleet: Fleet
    cause: str


@dataclass(frozen=True, slots=True)
class FenceServer:
    """Make a server read-only and end its sessions; answered by ServerFenced."""

    attempt_id: str
    server_id: str
    term: int


@dataclass(frozen=True, slots=True)
class ReadServerStatus:
    """Ask a server for its status; answered by ServerStatusRead."""

    attempt_id: str
    server_id: str


@dataclass(frozen=True, slots=True)
class HoldServer:
    """Keep a server from receiving more and ask for its status.

    Answered by ServerStatusRead.  A held server acknowledges nothing to its primary, so
    that its position stays the last word on what it has.
    """

    attempt_id: str
    server_id: str
    term: int


@dataclass(frozen=True, slots=True)
class PromoteServer:
    """Make a server the primary of a term; answered by ServerPromoted.

    Attributes:
        fence: Grows with every attempt of the group; lets the executor of the order
            tell an older attempt from a newer one.
    """

    attempt_id: str
    server_id: str
    term: int
    fence: int


@dataclass(frozen=True, slots=True)
class FollowPrimary:
    """Make a server a read-only replica of a primary; not answered."""

    server_id: str
    primary_id: str
    term: int


Effect = (
    ReadPlatform
    | UpdateFleet
    | FenceServer
    | ReadServerStatus
    | HoldServer
    | PromoteServer
    | FollowPrimary
)


@dataclass(frozen=True, slots=True)
class PlatformRead:
    """The answer to a platform read that was sent at a local time."""

    sent_at_s: float
    fleet: Fleet
    inventory: Inventory
    vms: VmList


@dataclass(frozen=True, slots=True)
class FleetUpdated:
    """The result of an update; None if the answer was lost.

    Attributes:
        version: The new version, 0 after a conflict, None if unknown.
    """

    effect: UpdateFleet
    version: int | None


@dataclass(frozen=True, slots=True)
class ServerFenced:
    """Whether a server confirmed that it is read-only, and its final status."""

    attempt_id: str
    server_id: str
    status: ServerStatus | None


@dataclass(frozen=True, slots=True)
class ServerStatusRead:
    """A server's status, or None if it did not answer."""

    attempt_id: str
    server_id: str
    status: ServerStatus | None


@dataclass(frozen=True, slots=True)
class ServerPromoted:
    """Term and position from which a new primary accepts writes, or None."""

    attempt_id: str
    server_id: str
    start: TermStart | None
