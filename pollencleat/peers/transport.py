"""Encrypted and authenticated transport of peer messages.

Either all entry VMs of a deployment share one CURVE key pair from their settings, or
each generates its own at startup and registers the public key in the fleet state.  A
listener accepts only clients that prove possession of a known key, so that no one else
can forge a heartbeat or a promise.  Delivery is best effort: messages may be lost at
any time, and no protocol relies on their arrival.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog
import zmq
import zmq.asyncio
import zmq.auth
from zmq.auth.base import Authenticator

from pollencleat.core.faults import ErrorRecorder
from pollencleat.core.messages import (
    MAX_MESSAGE_BYTES,
    PeerMessage,
    decode_message,
    encode_message,
)

SEND_QUEUE_MESSAGES = 256
"""Messages queued per peer; further messages are dropped."""

ADDRESS_PREFIX = "tcp://"
MAX_REFUSED = 1_000
"""Addresses and keys that are remembered as unusable, so that each is logged once."""

MAX_REASON_CHARACTERS = 200

IDLE_TIMEOUT_S = 30.0
"""Time without a sent message after which a connection is closed."""

LISTENER_HANDSHAKE_TIMEOUT_MS = 3_000
ZAP_DOMAIN = b"pollencleat"
ZAP_ENDPOINT = "inproc://zeromq.zap.01"
"""Endpoint to which libzmq sends authentication requests (ZeroMQ RFC 27)."""

ZAP_AUTHENTICATION_FAILURE = b"400"
ZAP_TEMPORARY_ERROR = b"300"
UNKNOWN_KEY_ATTEMPTS = 8
UNKNOWN_KEY_RETRY_S = 0.05
"""Number of further lookups of an unknown client key, and the delay before each.  Other
new connections wait meanwhile, so the total is less than one or two heartbeats."""

UNACKNOWLEDGED_TIMEOUT_MS = 2_000
"""Time after which a connection with unacknowledged data is closed."""

CONNECT_TIMEOUT_MS = 500
"""Timeout of a TCP connect before it is retried.  The operating system resends the SYN
only after 1, 3, 7 and 15 s, which would prolong a network outage by that much."""

CONNECT_HANDSHAKE_TIMEOUT_MS = 1_500
"""Timeout of an outgoing connection's handshake before it is retried; the default of
libzmq is 30 s.  Longer than the lookups of an unknown key take."""

SOCKET_RETRY_S = 0.1
"""Delay before a socket is read again after an error."""

HEARTBEAT_INTERVAL_MS = 500
"""Interval of ZeroMQ heartbeats, which detect dead connections."""


log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CurveKeys:
    """A CURVE key pair, each key as Z85 text in bytes."""

    public: bytes
    secret: bytes


def make_curve_keys() -> CurveKeys:
    """Generate a new key pair."""
    public, secret = zmq.curve_keypair()
    return CurveKeys(public, secret)


class KnownKeyProvider:
    """Accepts clients whose key a callback knows."""

    def __init__(
        self, is_known: Callable[[bytes], bool], on_unknown: Callable[[], None]
    ) -> None:
        """Create a provider.

        Args:
            is_known: Returns whether a Z85 key is known.
            on_unknown: Called when a key is unknown, before it is looked up again.
        """
        self._is_known = is_known
        self._on_unknown = on_unknown

    async def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client may connect.

        An unknown key is looked up several times, since a new member may already be
        registered in a fleet state that has not reached this node yet.

        Args:
            domain: The ZAP domain.
            key: The client's Z85 key.

        Returns:
            True if the key is known.
        """
        if self._is_known(key):
            return True
        self._on_unknown()
        for _ in range(UNKNOWN_KEY_ATTEMPTS):
            await asyncio.sleep(UNKNOWN_KEY_RETRY_S)
            if self._is_known(key):
                return True
        return False


class RetryingAuthenticator(Authenticator):
    """Answers libzmq's authentication requests for new connections.

    Refused clients get a temporary error and retry, since the key of a new member may
    become known a little later.
    """

    def __init__(self, context: zmq.asyncio.Context, faults: ErrorRecorder) -> None:
        """Create an authenticator for a context's sockets; start() runs it."""
        super().__init__(context)
        self._faults = faults
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the task that answers authentication requests."""
        # The inherited start creates a blocking socket.
        self.zap_socket = self.context.socket(zmq.REP)
        self.zap_socket.linger = 0
        self.zap_socket.bind(ZAP_ENDPOINT)
        self._task = asyncio.get_running_loop().create_task(self._handle_key_requests())

    def stop(self) -> None:
        """Stop answering and close the socket."""
        if self._task is not None:
            self._task.cancel()
        super().stop()

    async def _handle_key_requests(self) -> None:
        while True:
            try:
                request = await self.zap_socket.recv_multipart()
            except zmq.Again:
                # The connection was reset after its request was announced.
                continue
            except zmq.ZMQError as error:
                self._faults.record("questions about keys", error)
                await asyncio.sleep(SOCKET_RETRY_S)
                continue
            try:
                await self.handle_zap_message(request)
            except Exception as error:
                # The REP socket receives no further request before it has replied.
                self._faults.record("key of a new connection", error)
                self._send_zap_reply(request[1], ZAP_AUTHENTICATION_FAILURE, b"failed")

    def _send_zap_reply(
        self,
        request_id: bytes,
        status_code: bytes,
        status_text: bytes,
        user_id: str = "anonymous",
    ) -> None:
        if status_code == ZAP_AUTHENTICATION_FAILURE:
            status_code = ZAP_TEMPORARY_ERROR
        super()._send_zap_reply(request_id, status_code, status_text, user_id)


@dataclass(eq=False, slots=True)
class _OutgoingConnection:
    socket: zmq.Socket
    server_key: bytes
    used_at_s: float


class PeerTransport:
    """One listening socket, and one outgoing connection for each peer in use."""

    def __init__(
        self,
        keys: CurveKeys,
        on_message: Callable[[PeerMessage], None],
        clock: Callable[[], float],
        on_malformed: Callable[[], None],
        is_known_key: Callable[[bytes], bool] | None = None,
        on_unknown_key: Callable[[], None] = lambda: None,
        faults: ErrorRecorder | None = None,
    ) -> None:
        """Create a transport.

        Args:
            keys: This node's key pair.
            on_message: Called with each received message.
            clock: Returns the local time in seconds.
            on_malformed: Called when a message cannot be decoded.
            is_known_key: Returns whether a client's Z85 key is accepted; by default
                only this node's own public key, which the deployment then shares.
            on_unknown_key: Called when a client's key is unknown.
            faults: Records unexpected errors; by default they are only logged.
        """
        self._on_unknown_key = on_unknown_key
        self._faults = faults or ErrorRecorder()
        self._keys = keys
        self._is_known_key = is_known_key or keys.public.__eq__
        self._on_message = on_message
        self._on_malformed = on_malformed
        self._clock = clock
        self._context = zmq.asyncio.Context()
        self._authenticator: RetryingAuthenticator | None = None
        self._listener: zmq.asyncio.Socket | None = None
        self._outgoing_by_address: dict[str, _OutgoingConnection] = {}
        self._refused: set[tuple[str, bytes]] = set()
        self._task: asyncio.Task | None = None
        self._encoded_message: PeerMessage | None = None
        self._encoded_payload = b""
        self.bytes_sent = 0
        self.messages_sent = 0
        self.bytes_received = 0

    def start(self, endpoint: str) -> str:
        """Start listening for peers.

        Args:
            endpoint: ``tcp://host:port``; port 0 selects a free port.

        Returns:
            The endpoint with the actual port.
        """
        self._authenticator = RetryingAuthenticator(self._context, self._faults)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN.decode(),
            credentials_provider=KnownKeyProvider(
                self._is_known_key, self._on_unknown_key
            ),
        )
        listener = self._context.socket(zmq.PULL)
        listener.linger = 0
        listener.curve_publickey = self._keys.public
        listener.curve_secretkey = self._keys.secret
        listener.curve_server = True
        listener.zap_domain = ZAP_DOMAIN
        listener.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        listener.setsockopt(zmq.HANDSHAKE_IVL, LISTENER_HANDSHAKE_TIMEOUT_MS)
        _configure_dead_peer_detection(listener)
        listener.bind(endpoint)
        self._listener = listener
        self._task = asyncio.get_running_loop().create_task(self._receive())
        return listener.getsockopt(zmq.LAST_ENDPOINT).decode().rstrip("\0")

    async def _receive(self) -> None:
        """Receive messages until the listener is closed; errors do not end the loop."""
        while True:
            try:
                payload = await self._listener.recv()
            except zmq.Again:
                # The connection was reset after its message was announced.
                continue
            except zmq.ZMQError as error:
                if self._listener.closed:
                    return
                self._faults.record("receiving from peers", error)
                await asyncio.sleep(SOCKET_RETRY_S)
                continue
            self.bytes_received += len(payload)
            self._handle_payload(payload)

    def _handle_payload(self, payload: bytes) -> None:
        try:
            message = decode_message(payload)
        except msgspec.MsgspecError:
            self._on_malformed()
            return
        except Exception as error:
            self._on_malformed()
            self._faults.record("decoding a message", error)
            return
        try:
            self._on_message(message)
        except Exception as error:
            # A failing message must not stop the receipt of others.
            self._faults.record(f"message {type(message).__name__}", error)

    def send(self, address: str, message: PeerMessage, key: str = "") -> bool:
        """Queue a message for a peer, or drop it if the queue is full.

        Args:
            address: The peer's endpoint.
            message: The message.
            key: The peer's Z85 public key; empty if the deployment shares one key pair.

        Returns:
            False if the message was dropped, or if the address or the key cannot be
            used.
        """
        server_key = key.encode() or self._keys.public
        outgoing = self._outgoing_by_address.get(address)
        if outgoing is not None and outgoing.server_key != server_key:
            outgoing.socket.close()
            del self._outgoing_by_address[address]
            outgoing = None
        if outgoing is None:
            try:
                outgoing = self._connect(address, server_key)
            except (zmq.ZMQError, ValueError) as error:
                self._refuse(address, server_key, str(error))
                return False
        outgoing.used_at_s = self._clock()
        if message is not self._encoded_message:
            # Reuse the encoding: the same message is often sent to many peers in a row.
            self._encoded_message, self._encoded_payload = (
                message,
                encode_message(message),
            )
        payload = self._encoded_payload
        try:
            outgoing.socket.send(payload, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.bytes_sent += len(payload)
        self.messages_sent += 1
        return True

    def _refuse(self, address: str, server_key: bytes, reason: str) -> None:
        """Log an address or key of a member that cannot be used, once."""
        if (address, server_key) in self._refused:
            return
        if len(self._refused) >= MAX_REFUSED:
            self._refused.clear()
        self._refused.add((address, server_key))
        log.warning(
            "peer address refused",
            address=address[:MAX_REASON_CHARACTERS],
            reason=reason[:MAX_REASON_CHARACTERS],
        )

    def _connect(self, address: str, server_key: bytes) -> _OutgoingConnection:
        """Open a connection.

        Raises:
            zmq.ZMQError: libzmq accepts no such address or key.
            ValueError: The address is of another transport, or no text.
        """
        if not address.startswith(ADDRESS_PREFIX):
            raise ValueError(f"expected {ADDRESS_PREFIX}HOST:PORT")
        socket = zmq.Context(self._context).socket(zmq.PUSH)
        socket.linger = 0
        try:
            self._configure_outgoing(socket, server_key)
            socket.connect(address)
        except BaseException:
            socket.close()
            raise
        outgoing = _OutgoingConnection(socket, server_key, self._clock())
        self._outgoing_by_address[address] = outgoing
        return outgoing

    def _configure_outgoing(self, socket: zmq.Socket, server_key: bytes) -> None:
        socket.curve_publickey = self._keys.public
        socket.curve_secretkey = self._keys.secret
        socket.curve_serverkey = server_key
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        _configure_dead_peer_detection(socket)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, CONNECT_HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)

    def close_unused(self) -> None:
        """Close connections on which nothing was sent for IDLE_TIMEOUT_S."""
        now_s = self._clock()
        for address, outgoing in list(self._outgoing_by_address.items()):
            if now_s - outgoing.used_at_s > IDLE_TIMEOUT_S:
                outgoing.socket.close()
                del self._outgoing_by_address[address]

    def close(self) -> None:
        """Stop the tasks and close all sockets."""
        if self._task is not None:
            self._task.cancel()
        if self._listener is not None:
            self._listener.close()
        for outgoing in self._outgoing_by_address.values():
            outgoing.socket.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)


def _configure_dead_peer_detection(socket: zmq.Socket) -> None:
    """Set the options by which libzmq detects and closes dead connections."""
    socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3 * HEARTBEAT_INTERVAL_MS)
