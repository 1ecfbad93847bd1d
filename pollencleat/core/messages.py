"""Messages between entry VMs, encoded with MessagePack.

A heartbeat is sent as a request and answered immediately.  Clock values of different
machines are never compared: each heartbeat echoes the send time of the receiver's last
one, and the receiver uses that time to bound the age of the information it receives.
"""

import zlib
from dataclasses import dataclass

import msgspec

from pollencleat.core.compression import decompress
from pollencleat.core.data import (
    Fleet,
    Inventory,
    Position,
    ServerLog,
    VmList,
    find_fleet_problem,
)
from pollencleat.core.ranges import Seconds


class Versions(msgspec.Struct, frozen=True, array_like=True):
    """Versions of the latest platform objects that a node knows."""

    fleet: int
    inventory: int
    vms: int


class DomainPromise(msgspec.Struct, frozen=True, array_like=True):
    """The promise of all members of a failure domain to make no server a primary.

    Attributes:
        members_key: Digest of the members that the promise covers.
        age_s: Upper bound of the promise's age in seconds when the message was sent.
    """

    failure_domain: str
    members_key: int
    age_s: Seconds


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A heartbeat.

    Attributes:
        sent_at_s: Send time on the sender's clock.
        echo_s: Send time, on the receiver's clock, of the latest heartbeat that the
            sender has received from it, or None.
        echo_incarnation: Incarnation of the receiver that the echo belongs to.
        fresh_age_s: Upper bound of the age in seconds of the platform read that
            confirmed the sender's fleet version as the latest, or None.
        promising: The sender promises to make no server a primary for
            PROMISE_DURATION_S from the send time.
        domain_promises: Promises of whole failure domains that the sender has
            collected.
        reply: This is the answer to a heartbeat and is not answered itself.
    """

    node_id: str
    incarnation: str
    sent_at_s: Seconds
    echo_s: Seconds | None
    echo_incarnation: str
    versions: Versions
    fresh_age_s: Seconds | None
    promising: bool
    domain_promises: tuple[DomainPromise, ...]
    reply: bool


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag="state_request"):
    """Requests all platform objects that are newer than the given versions."""

    node_id: str
    versions: Versions


class State(msgspec.Struct, frozen=True, array_like=True, tag="state"):
    """Newer platform objects; None where the receiver is up to date."""

    node_id: str
    fleet: Fleet | None
    inventory: Inventory | None
    vms: VmList | None


class SeenPosition(msgspec.Struct, frozen=True, array_like=True):
    """Highest log position that a group's primary has reported to a node.

    Attributes:
        age_s: Seconds since the sending of the latest request that was answered with a
            position.
    """

    position: Position
    age_s: Seconds


class StopWrites(msgspec.Struct, frozen=True, array_like=True, tag="stop_writes"):
    """Requests that a member adopt the fleet state of a promotion and stop writing."""

    node_id: str
    attempt_id: str
    fleet: Fleet


class WritesStopped(msgspec.Struct, frozen=True, array_like=True, tag="writes_stopped"):
    """The sender has adopted the promotion and no longer writes under an older term.

    Attributes:
        seen_by_group: For each group, the highest log position known to the sender.
        departed_logs: Logs of the group in promotion that have gone and may have been
            the only ones besides the primary's with an acknowledged commit.
        covered_logs: Logs of that group that have gone and are known not to be needed.
    """

    node_id: str
    incarnation: str
    attempt_id: str
    seen_by_group: dict[str, SeenPosition] = {}
    departed_logs: tuple[ServerLog, ...] = ()
    covered_logs: tuple[ServerLog, ...] = ()


class WritesEnded(msgspec.Struct, frozen=True, array_like=True, tag="writes_ended"):
    """All writes to a group have stopped until its next primary is published.

    Attributes:
        term: The new term, whose primary has not been published yet.
        position: Upper bound of the positions of all acknowledged commits.
    """

    node_id: str
    group_id: str
    term: int
    position: Position


class SightingRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="sighting_request"
):
    """Asks when the receiver last got an answer from a server."""

    node_id: str
    server_id: str


class Sighting(msgspec.Struct, frozen=True, array_like=True, tag="sighting"):
    """When the sender last got an answer from a server.

    Attributes:
        age_s: Seconds since the last answer; None if there was none.
        refused: The server has refused a connection since its last answer.
    """

    node_id: str
    server_id: str
    age_s: Seconds | None
    refused: bool


class LeaseRequest(msgspec.Struct, frozen=True, array_like=True, tag="lease_request"):
    """Requests the lease of a connection for one statement or transaction.

    Sent to a gateway, a node that holds connections to the server.

    Attributes:
        lease_id: Random id, chosen by the sender.
        account: Client account under which the statement is queued.
        wait_s: Seconds for which the statement may wait for a connection.
        term: Term that the connection must belong to, or 0 for any.
        needs_lead: The server must have confirmed that it is the primary of the term.
        values: Session variables; a connection that already has them set is preferred.
        kind: Name of the kind of work that the statement is queued as.
        priority: Scheduling priority; 0 is the most urgent.
    """

    node_id: str
    lease_id: int
    server_id: str
    account: str
    wait_s: Seconds
    term: int
    needs_lead: bool
    values: dict[str, str]
    kind: str = ""
    priority: int = 0


class LinkState(msgspec.Struct, frozen=True, array_like=True):
    """Session state of a connection, handed over with the connection.

    Attributes:
        values: Session variables that are set.
        names: Access (read or write), text and server-side name of each prepared
            statement.
    """

    values: dict[str, str]
    names: tuple[tuple[str, str, str], ...] = ()


class ReadRequest(msgspec.Struct, frozen=True, array_like=True, tag="read_request"):
    """Asks a gateway to run a single read outside of any transaction.

    Attributes:
        lease: The lease request for a connection; the lease ends with the answer.
        limit_s: Timeout of the server's answer in seconds.
        call: The encoded read.
    """

    lease: LeaseRequest
    limit_s: Seconds
    call: bytes


class ReadAnswer(msgspec.Struct, frozen=True, array_like=True, tag="read_answer"):
    """The server's answer to a read that a gateway ran.

    Attributes:
        reply: The encoded answer; empty if no complete answer arrived.
        error: Why there is no complete answer.
        log_term: Agreed term that the position in newest belongs to, or 0.
        newest: Latest log position of that term's primary known to the gateway.
    """

    node_id: str
    lease_id: int
    reply: bytes
    error: str = ""
    log_term: int = 0
    newest: SeenPosition | None = None


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="lease_granted"):
    """A gateway leases a connection to the receiver.

    Attributes:
        state: Session state of the connection.
        log_term: Agreed term that the position in newest belongs to, or 0.
        newest: Latest log position of that term's primary known to the gateway.
    """

    node_id: str
    lease_id: int
    state: LinkState
    log_term: int = 0
    newest: SeenPosition | None = None


class LeaseRefused(msgspec.Struct, frozen=True, array_like=True, tag="lease_refused"):
    """The gateway leases no connection, and nothing has run.

    Attributes:
        is_overload: The wait would be too long; otherwise no connection is available.
    """

    node_id: str
    lease_id: int
    is_overload: bool
    detail: str
    retry_after_ms: int


class RequestAtWork(
    msgspec.Struct, frozen=True, array_like=True, tag="request_at_work"
):
    """The gateway is alive and still working on a lease or read request."""

    node_id: str
    lease_id: int


class LeaseEnded(msgspec.Struct, frozen=True, array_like=True, tag="lease_ended"):
    """The borrower returns a connection or cancels its lease request.

    Attributes:
        state: Session state of the connection; None if it must be closed.
    """

    node_id: str
    lease_id: int
    state: LinkState | None


class LinkCall(msgspec.Struct, frozen=True, array_like=True, tag="link_call"):
    """A call on a leased connection.

    Attributes:
        number: Sequence number of the call within the lease.
        call: Name of the call.
        arguments: The encoded arguments.
    """

    node_id: str
    lease_id: int
    number: int
    call: str
    arguments: bytes


class LinkReply(msgspec.Struct, frozen=True, array_like=True, tag="link_reply"):
    """The server's answer to a call on a leased connection.

    Attributes:
        number: Sequence number of the call within the lease.
        reply: The encoded answer; empty if no complete answer arrived.
        error: Why there is no complete answer.
    """

    node_id: str
    lease_id: int
    number: int
    reply: bytes
    error: str = ""


class LeasesHeld(msgspec.Struct, frozen=True, array_like=True, tag="leases_held"):
    """The borrower is alive and holds or waits for these leases."""

    node_id: str
    lease_ids: tuple[int, ...]


class LeasesKnown(msgspec.Struct, frozen=True, array_like=True, tag="leases_known"):
    """The gateway is alive; it does not know these of the borrower's leases."""

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
"""Largest message in bytes, both compressed and uncompressed."""

MIN_COMPRESSED_BYTES = 2_048
"""Messages of at least this many bytes are compressed."""

COMPRESSION_LEVEL = 1
"""Fastest zlib level; repeated keys and names already compress well with it."""

COMPRESSED_PREFIX = b"\xc1"
"""First byte of a compressed message; MessagePack never uses it."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message for sending.

    Args:
        message: Any peer message.

    Returns:
        MessagePack bytes; long messages are compressed for links of low bandwidth.
    """
    payload = _encoder.encode(message)
    if len(payload) < MIN_COMPRESSED_BYTES:
        return payload
    return COMPRESSED_PREFIX + zlib.compress(payload, COMPRESSION_LEVEL)


def decode_message(payload: bytes) -> PeerMessage:
    """Decode a received message.

    Args:
        payload: The received bytes.

    Returns:
        The typed message.

    Raises:
        msgspec.DecodeError: The bytes are not a valid message.
    """
    try:
        if payload[:1] == COMPRESSED_PREFIX:
            payload = decompress(payload[1:], MAX_MESSAGE_BYTES)
        message = _decoder.decode(payload)
    except msgspec.MsgspecError:
        raise
    except (ValueError, RecursionError) as error:
        raise msgspec.DecodeError(f"malformed message: {error}") from error
    if isinstance(message, State | StopWrites) and message.fleet is not None:
        problem = find_fleet_problem(message.fleet)
        if problem:
            raise msgspec.DecodeError(f"malformed fleet state: {problem}")
    return message


@dataclass(frozen=True, slots=True)
class Envelope:
    """An outgoing message and the node id of its receiver."""

    to_node: str
    message: PeerMessage
