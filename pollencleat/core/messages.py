"""Messages between entry VMs, encoded with MessagePack.

A heartbeat is sent as a request and answered at once.  No clock value of another
machine is ever compared with a local one: a receiver bounds the age of what it is told
by the time at which it sent the message that is echoed.
"""

import zlib
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


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="lease_request"):
    """Asks a gateway to lend a connection for one statement or transaction.

    Attributes:
        lease_id: Chosen by the sender, at random.
        account: Client account whose turn it is.
        wait_s: How long the statement may wait for a connection.
        term: Term that the connection must belong to, or 0.
        needs_lead: The server must have said that it leads the term.
        values: Values of the session; a connection that has them is preferred.
    """

    node_id: str
    lease_id: int
    server_id: str
    account: str
    wait_s: float
    term: int
    needs_lead: bool
    values: dict[str, str]


class LinkState(msgspec.Struct, frozen=True, array_like=True):
    """What a connection holds for whoever uses it next.

    Attributes:
        names: Access, text and name of each prepared statement.
    """

    values: dict[str, str]
    names: tuple[tuple[str, str, str], ...] = ()


class ReadRequest(msgspec.Struct, frozen=True, array_like=True, tag="read_request"):
    """Asks a gateway to run one read that belongs to no transaction.

    Attributes:
        lease: How it would ask for a connection; the answer ends the lease.
        limit_s: How long the server may take.
        call: The read, encoded.
    """

    lease: LeaseRequest
    limit_s: float
    call: bytes


class ReadAnswer(msgspec.Struct, frozen=True, array_like=True, tag="read_answer"):
    """The server's answer to a read that a gateway ran.

    Attributes:
        reply: The answer, encoded; empty if no complete one arrived.
        error: Why there is none.
        log_term: Agreed term that the newest position belongs to, or 0.
        newest: What the gateway was told of the primary's log in that term.
    """

    node_id: str
    lease_id: int
    reply: bytes
    error: str = ""
    log_term: int = 0
    newest: SeenPosition | None = None


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="lease_granted"):
    """A connection is lent.

    Attributes:
        log_term: Agreed term that the newest position belongs to, or 0.
        newest: What the gateway was told of the primary's log in that term.
    """

    node_id: str
    lease_id: int
    state: LinkState
    log_term: int = 0
    newest: SeenPosition | None = None


class LeaseRefused(msgspec.Struct, frozen=True, array_like=True, tag="lease_refused"):
    """No connection is lent, and nothing has run.

    Attributes:
        is_overload: The wait would be too long; otherwise no connection can be had.
    """

    node_id: str
    lease_id: int
    is_overload: bool
    detail: str
    retry_after_ms: int


class RequestAtWork(
    msgspec.Struct, frozen=True, array_like=True, tag="request_at_work"
):
    """The gateway is alive, and still busy with a request for a lease or a read."""

    node_id: str
    lease_id: int


class LeaseEnded(msgspec.Struct, frozen=True, array_like=True, tag="lease_ended"):
    """The borrower gives a connection back, or does not want it any more.

    Attributes:
        state: What the connection holds; None if it must be closed.
    """

    node_id: str
    lease_id: int
    state: LinkState | None


class LinkCall(msgspec.Struct, frozen=True, array_like=True, tag="link_call"):
    """A request on a lent connection.

    Attributes:
        number: Counts the calls of the lease.
        call: Name of the call.
        arguments: Its arguments, encoded.
    """

    node_id: str
    lease_id: int
    number: int
    call: str
    arguments: bytes


class LinkReply(msgspec.Struct, frozen=True, array_like=True, tag="link_reply"):
    """The server's answer to a call on a lent connection.

    Attributes:
        reply: The answer, encoded; empty if no complete one arrived.
        error: Why there is none.
    """

    node_id: str
    lease_id: int
    number: int
    reply: bytes
    error: str = ""


class LeasesHeld(msgspec.Struct, frozen=True, array_like=True, tag="leases_held"):
    """The borrower is alive and holds, or waits for, these leases."""

    node_id: str
    lease_ids: tuple[int, ...]


class LeasesKnown(msgspec.Struct, frozen=True, array_like=True, tag="leases_known"):
    """The gateway is alive; of the leases told it does not know these."""

    node_id: str
    unknown_ids: tuple[int, ...]


PeerMessage = (
    Beat
    | StateRequest
    | State
    | StopWrites
    | WritesStopped
    | WritesEnded
    | SightingRequest
    | Sighting
    | LeaseRequest
    | LeaseGranted
    | LeaseRefused
    | RequestAtWork
    | LeaseEnded
    | LinkCall
    | LinkReply
    | LeasesHeld
    | LeasesKnown
    | ReadRequest
    | ReadAnswer
)

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
"""Largest message, compressed or not."""

COMPRESSED_FROM_BYTES = 2_048
"""Shorter messages are sent as they are."""

COMPRESSION_LEVEL = 1
"""The fastest; keys and names repeat, so that it saves most of what can be saved."""

COMPRESSED_MARK = b"\xc1"
"""First byte of a compressed message; MessagePack never uses it."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Return the message's wire form.

    Args:
        message: Any peer message.

    Returns:
        MessagePack bytes; compressed where there are many, for narrow links.
    """
    payload = _encoder.encode(message)
    if len(payload) < COMPRESSED_FROM_BYTES:
        return payload
    return COMPRESSED_MARK + zlib.compress(payload, COMPRESSION_LEVEL)


def decode_message(payload: bytes) -> PeerMessage:
    """Return the message of a wire form.

    Args:
        payload: Bytes as received.

    Returns:
        The typed message.

    Raises:
        msgspec.DecodeError: The bytes are not a valid message.
    """
    if payload[:1] == COMPRESSED_MARK:
        payload = _decompress(payload)
    return _decoder.decode(payload)


def _decompress(payload: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(payload[1:], MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f"not compressed: {error}") from error
    if not decompressor.eof:
        raise msgspec.DecodeError("incomplete, or larger than allowed")
    return inflated


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message on its way to a peer."""

    to_node: str
    message: PeerMessage
