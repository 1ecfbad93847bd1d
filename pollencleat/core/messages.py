"""Messages between entry VMs, encoded with MessagePack.

A heartbeat is sent as a request and answered at once.  No clock value of another
machine is ever compared with a local one: a receiver bounds the age of what it is told
by the time at which it sent the message that is echoed.
"""

from dataclasses import dataclass

import msgspec

from pollencleat.core.data import Fleet, Inventory, Position, VmList


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """The newest platform objects that a node knows."""

    fleet: int
    inventory: int
    vms: int


class DomainPromise(msgspec.Struct, frozen=True, array_like=True):
    """All members of a failure domain promised to make no server a primary.

    Attributes:
        members_key: Digest of the members that the promise covers.
        age_s: Upper bound of the promise's age when the message was sent.
    """

    failure_domain: str
    members_key: int
    age_s: float


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A heartbeat.

    Attributes:
        sent_at_s: The sender's clock.
        echo_s: The receiver's clock value from the last heartbeat that the sender had
            of it, or None.
        echo_incarnation: The incarnation of the receiver that the echo belongs to.
        fresh_age_s: Upper bound of the age of the platform read that showed the
            sender's fleet version to be the newest, or None.
        promising: The sender makes no server a primary for PROMISE_S from now on.
        reply: This answers a heartbeat and is not answered itself.
    """

    node_id: str
    incarnation: str
    sent_at_s: float
    echo_s: float | None
    echo_incarnation: str
    versions: Versions
    fresh_age_s: float | None
    promising: bool
    domain_promises: tuple[DomainPromise, ...]
    reply: bool


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag="state_request"):
    """Asks for everything newer than the given versions."""

    node_id: str
    versions: Versions


class State(msgspec.Struct, frozen=True, array_like=True, tag="state"):
    """Newer platform objects; None where the receiver is up to date."""

    node_id: str
    fleet: Fleet | None
    inventory: Inventory | None
    vms: VmList | None


class SeenPosition(msgspec.Struct, frozen=True, array_like=True):
    """The highest position that a node was told by a group's primary.

    Attributes:
        age_s: Time since the request that the newest such answer belongs to.
    """

    position: Position
    age_s: float


class StopWrites(msgspec.Struct, frozen=True, array_like=True, tag="stop_writes"):
    """Asks a member to adopt the fleet state of a promotion."""

    node_id: str
    attempt_id: str
    fleet: Fleet


class WritesStopped(msgspec.Struct, frozen=True, array_like=True, tag="writes_stopped"):
    """The sender adopted the promotion and writes under no older term.

    Attributes:
        seen_by_group: For each group, what the sender knows of its log.
    """

    node_id: str
    incarnation: str
    attempt_id: str
    seen_by_group: dict[str, SeenPosition] = {}


class WritesEnded(msgspec.Struct, frozen=True, array_like=True, tag="writes_ended"):
    """Nobody writes to a group until its next primary is published.

    Attributes:
        term: The term that is being begun.
        position: No acknowledged commit lies beyond it.
    """

    node_id: str
    group_id: str
    term: int
    position: Position


class SightingRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="sighting_request"
):
    """Asks when the receiver last had an answer from a server."""

    node_id: str
    server_id: str


class Sighting(msgspec.Struct, frozen=True, array_like=True, tag="sighting"):
    """When the sender last had an answer from a server; None if never."""

    node_id: str
    server_id: str
    age_s: float | None
    refused: bool


PeerMessage = (
    Beat
    | StateRequest
    | State
    | StopWrites
    | WritesStopped
    | WritesEnded
    | SightingRequest
    | Sighting
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the message's wire form.

    Args:
        message: Any peer message.

    Returns:
        MessagePack bytes.
    """
    return _encoder.encode(message)


def decode_message(payload: bytes) -> PeerMessage:
    """Return the message of a wire form.

    Args:
        payload: Bytes as received.

    Returns:
        The typed message.

    Raises:
        msgspec.DecodeError: The bytes are not a valid message.
    """
    return _decoder.decode(payload)


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message on its way to a peer."""

    to_node: str
    message: PeerMessage
