"""Effects that controllers request from the adapters, and their result events.

Each effect is carried out at most once.  Its result is delivered to the controller that
requested it, as an event of the type named in the effect's docstring.
"""

from dataclasses import dataclass

from pollencleat.core.data import (
    Fleet,
    Inventory,
    Position,
    ServerStatus,
    TermStart,
    VmList,
)


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Read fleet, inventory and VM list; the result is a PlatformRead."""

    sent_at_s: float


@dataclass(frozen=True, slots=True)
class UpdateFleet:
    """Replace the fleet state if its version is still the expected one.

    The result is a FleetUpdated.  The audit entry is written after a success.
    """

    purpose: str
    expected_version: int
    fleet: Fleet
    cause: str


@dataclass(frozen=True, slots=True)
class FenceServer:
    """Make a server read-only and close its sessions; the result is a ServerFenced."""

    attempt_id: str
    server_id: str
    term: int


@dataclass(frozen=True, slots=True)
class ReadServerStatus:
    """Request a server's status; the result is a ServerStatusRead."""

    attempt_id: str
    server_id: str


@dataclass(frozen=True, slots=True)
class HoldServer:
    """Pause a server's replication and request its status.

    The result is a ServerStatusRead.  While paused, the server receives nothing and
    acknowledges nothing to its primary, so that its log cannot grow beyond the reported
    position.
    """

    attempt_id: str
    server_id: str
    term: int


@dataclass(frozen=True, slots=True)
class PromoteServer:
    """Make a server the primary of a term; the result is a ServerPromoted.

    Attributes:
        fence: Fencing token, which increases with every attempt in the group; whoever
            executes the command can reject that of an older attempt.
        log_end: Last log entry that the server had when it was chosen.
    """

    attempt_id: str
    server_id: str
    term: int
    fence: int
    log_end: Position


@dataclass(frozen=True, slots=True)
class FollowPrimary:
    """Make a server a read-only replica of a primary; there is no result event."""

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
    """Result of a platform read that was sent at a local time, in seconds.

    Attributes:
        era: Era of the store.
    """

    sent_at_s: float
    fleet: Fleet
    inventory: Inventory
    vms: VmList
    era: int = 0


@dataclass(frozen=True, slots=True)
class FleetUpdated:
    """Result of a fleet update.

    Attributes:
        version: The new version; 0 after a conflict; None if the answer was lost, so
            that the result is unknown.
    """

    effect: UpdateFleet
    version: int | None


@dataclass(frozen=True, slots=True)
class ServerFenced:
    """Final status of a server that is now read-only, or None if it did not confirm."""

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
    """Term and position from which a new primary accepts writes, or None on failure."""

    attempt_id: str
    server_id: str
    start: TermStart | None
