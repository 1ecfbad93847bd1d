"""Borrows connections to backend servers from gateways.

A borrowed connection is used like one of the node's own.  If the hop to the gateway
fails, the outcome is the same as for a failed server: a call without an answer has an
unknown outcome if it may have run; if no lease was granted, nothing has run.  No call
is ever sent twice.
"""

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import AcknowledgedBounds
from pollencleat.core.errors import (
    BackendLostError,
    BackendUnreachableError,
    CallerError,
    OverloadedError,
)
from pollencleat.core.messages import (
    LeaseEnded,
    LeaseGranted,
    LeaseRefused,
    LeaseRequest,
    LeasesHeld,
    LeasesKnown,
    LinkReply,
    PeerMessage,
    ReadAnswer,
    ReadRequest,
    RequestAtWork,
)
from pollencleat.engine.access import ConnectionRequest, GatewayRead, ReadResult
from pollencleat.hops.calls import (
    apply_link_state,
    decode_reply,
    encode_arguments,
    get_link_state,
)
from pollencleat.hops.links import BorrowedLease, BorrowedLink
from pollencleat.limits.gateways import order_gateways
from pollencleat.reports.metrics import Metrics

GRANT_MARGIN_S = 0.15
"""Time by which the answer to a lease request may exceed the agreed wait, including the
time to connect."""

MAX_GATEWAYS_TRIED = 3
"""Maximum number of gateways that are asked for one statement."""

INITIAL_BACKOFF_S = 1.0
"""Time for which a gateway that did not answer is asked last; doubled with each further
unanswered request."""

MAX_BACKOFF_S = 8.0
"""Upper limit of the backoff; a failed member is removed from the fleet after
about this time."""

RECENT_MESSAGE_S = 2.0
"""A gateway that sent a message within this time is considered alive."""

FIRST_ANSWER_TIMEOUT_S = 0.12
"""Time within which a gateway without a recent message must answer a request, or send
RequestAtWork for it."""

LEASES_HELD_INTERVAL_S = 0.6
"""Interval of the LeasesHeld messages, which renew the leases at a gateway."""

GATEWAY_TIMEOUT_S = 1.2
"""Time without a message from a gateway after which reads and unanswered requests at
it are abandoned; writes that may have run continue until their time limit."""

RETRY_AFTER_MS = 100
"""Retry delay for a caller when no gateway grants a connection."""

LEASE_ID_BITS = 62


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request that has not been answered yet."""

    gateway_id: str
    sent_at_s: float
    future: asyncio.Future
    timeout: asyncio.Timeout
    limit_s: float


@dataclass
class HopBorrower:
    """Requests leases from gateways and keeps those that this node holds.

    Attributes:
        send: Sends a message to a node; False if it was dropped.
        open_by_server: Number of statements that wait for a borrowed connection or
            hold one.
    """

    board: Blackboard
    send: Callable[[str, PeerMessage], bool]
    clock: Callable[[], float]
    metrics: Metrics
    open_by_server: Counter[str]

    @property
    def node_id(self) -> str:
        """Id of this node."""
        return self.board.node_id

    def __post_init__(self) -> None:
        """Create the borrower without leases."""
        self._requests: dict[int, _PendingRequest] = {}
        self._leases: dict[int, BorrowedLease] = {}
        self._last_message_at_s: dict[str, float] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}
        self._leases_held_sent_at_s = -1e9
        self._is_closed = False

    async def borrow(self, connection_request: ConnectionRequest) -> BorrowedLease:
        """Borrow a connection, asking one gateway after the other.

        Args:
            connection_request: The requested connection and the longest wait for it.

        Returns:
            A lease that must be released.

        Raises:
            OverloadedError: The wait exceeded the limit, or would exceed it.
            BackendUnreachableError: No gateway granted a connection.
        """
        server_id = connection_request.server.server_id
        self.open_by_server[server_id] += 1
        try:
            return await self._borrow(connection_request)
        except BaseException:
            self._decrement_open(server_id)
            raise

    async def _borrow(self, connection_request: ConnectionRequest) -> BorrowedLease:
        deadline_s = self.clock() + connection_request.wait_s
        error: CallerError = BackendUnreachableError(
            f"server {connection_request.server.server_id}: no gateway answers",
            RETRY_AFTER_MS,
        )
        gateways = order_gateways(
            self.board, connection_request.server, self._gateways_in_backoff()
        )
        for gateway in gateways[:MAX_GATEWAYS_TRIED]:
            remaining_s = deadline_s - self.clock()
            if remaining_s < 0 or self._is_closed:
                break
            answer = await self._request_lease(
                gateway.node_id, connection_request, remaining_s
            )
            if isinstance(answer, BorrowedLease):
                return answer
            if answer is not None:
                error = _make_refusal_error(connection_request.server.server_id, answer)
        raise error

    def _gateways_in_backoff(self) -> list[str]:
        now_s = self.clock()
        return [
            gateway_id
            for gateway_id, until_s in self._backoff_until_s.items()
            if now_s < until_s
        ]

    async def _request_lease(
        self, gateway_id: str, connection_request: ConnectionRequest, wait_s: float
    ) -> BorrowedLease | LeaseRefused | None:
        """Request a lease; None if the gateway does not answer."""
        request = self._make_request(connection_request, wait_s)
        requested_at_s = self.clock()
        limit_s = wait_s + GRANT_MARGIN_S
        answer = await self._send_and_wait(
            gateway_id, request.lease_id, request, limit_s
        )
        if not isinstance(answer, LeaseGranted):
            return answer
        if self._is_closed:
            ended = LeaseEnded(self.board.node_id, request.lease_id, answer.state)
            self.send(gateway_id, ended)
            return None
        link = BorrowedLink(self, gateway_id, request.lease_id)
        apply_link_state(link, answer.state)
        lease = BorrowedLease(
            self,
            link,
            connection_request.server.server_id,
            connection_request.term,
            requested_at_s,
        )
        self._leases[request.lease_id] = lease
        self._record_log_position(
            connection_request.server.group_id, answer, requested_at_s
        )
        return lease

    def _make_request(
        self, connection_request: ConnectionRequest, wait_s: float
    ) -> LeaseRequest:
        return LeaseRequest(
            self.board.node_id,
            secrets.randbits(LEASE_ID_BITS),
            connection_request.server.server_id,
            connection_request.account,
            wait_s,
            connection_request.term,
            connection_request.needs_lead,
            connection_request.values,
            connection_request.kind.name,
            connection_request.kind.priority,
        )

    async def _send_and_wait(
        self, gateway_id: str, lease_id: int, request: PeerMessage, limit_s: float
    ) -> LeaseGranted | LeaseRefused | ReadAnswer | None:
        """Send a request and wait for the answer; None if there is none in time."""
        if not self.send(gateway_id, request):
            self._back_off(gateway_id)
            return None
        future = asyncio.get_running_loop().create_future()
        sent_at_s = self.clock()
        first_timeout_s = limit_s
        if not self._has_recent_message(gateway_id):
            first_timeout_s = min(limit_s, FIRST_ANSWER_TIMEOUT_S)
        try:
            async with asyncio.timeout(first_timeout_s) as timeout:
                self._requests[lease_id] = _PendingRequest(
                    gateway_id, sent_at_s, future, timeout, limit_s
                )
                return await future
        except TimeoutError:
            if self._last_message_at_s.get(gateway_id, -1e9) < sent_at_s:
                self._back_off(gateway_id)
            self.send(gateway_id, LeaseEnded(self.board.node_id, lease_id, None))
            return None
        except BaseException:
            self.send(gateway_id, LeaseEnded(self.board.node_id, lease_id, None))
            raise
        finally:
            self._requests.pop(lease_id, None)

    async def read(
        self, connection_request: ConnectionRequest, call: GatewayRead, limit_s: float
    ) -> ReadResult:
        """Have a gateway run a read outside a transaction.

        Args:
            connection_request: The connection that the read needs.
            call: The read.
            limit_s: Time limit in seconds, the wait for a connection included.

        Returns:
            The server's reply and the gateway that ran the read.

        Raises:
            OverloadedError: The wait exceeded the limit, or would exceed it.
            BackendUnreachableError: No gateway granted a connection, or none answered.
            BackendLostError: The gateway received no complete reply of the server.
        """
        server_id = connection_request.server.server_id
        self.open_by_server[server_id] += 1
        try:
            return await self._read(connection_request, call, limit_s)
        finally:
            self._decrement_open(server_id)

    async def _read(
        self, connection_request: ConnectionRequest, call: GatewayRead, limit_s: float
    ) -> ReadResult:
        deadline_s = self.clock() + limit_s
        payload = encode_arguments((call.work, call.shape, call.at_least))
        error: CallerError = BackendUnreachableError(
            f"server {connection_request.server.server_id}: no gateway answers",
            RETRY_AFTER_MS,
        )
        gateways = order_gateways(
            self.board, connection_request.server, self._gateways_in_backoff()
        )
        for gateway in gateways[:MAX_GATEWAYS_TRIED]:
            remaining_s = deadline_s - self.clock()
            if remaining_s <= 0 or self._is_closed:
                break
            request = self._make_request(
                connection_request, min(connection_request.wait_s, remaining_s)
            )
            requested_at_s = self.clock()
            message = ReadRequest(request, remaining_s, payload)
            answer = await self._send_and_wait(
                gateway.node_id, request.lease_id, message, remaining_s
            )
            if isinstance(answer, LeaseRefused):
                error = _make_refusal_error(connection_request.server.server_id, answer)
            if not isinstance(answer, ReadAnswer):
                continue
            if answer.error:
                raise BackendLostError(f"gateway {gateway.node_id}: {answer.error}")
            self._record_log_position(
                connection_request.server.group_id, answer, requested_at_s
            )
            return ReadResult(decode_reply(answer.reply), gateway.node_id)
        raise error

    def _has_recent_message(self, gateway_id: str) -> bool:
        last_message_at_s = self._last_message_at_s.get(gateway_id, -1e9)
        return self.clock() - last_message_at_s < RECENT_MESSAGE_S

    def _record_message(self, gateway_id: str) -> None:
        self._last_message_at_s[gateway_id] = self.clock()
        self._backoff_s.pop(gateway_id, None)
        self._backoff_until_s.pop(gateway_id, None)

    def _back_off(self, gateway_id: str) -> None:
        now_s = self.clock()
        if now_s < self._backoff_until_s.get(gateway_id, -1e9):
            return
        backoff_s = self._backoff_s.get(gateway_id, INITIAL_BACKOFF_S)
        self._backoff_s[gateway_id] = min(MAX_BACKOFF_S, 2 * backoff_s)
        self._backoff_until_s[gateway_id] = now_s + backoff_s
        self.metrics.count("gateway_silent", gateway_id)

    def _record_log_position(
        self,
        group_id: str,
        answer: LeaseGranted | ReadAnswer,
        requested_at_s: float,
    ) -> None:
        """Record the newest log position of the primary that the gateway knows.

        The gateway answered after the request was sent.  The age is therefore counted
        from the request: the position is never taken for newer than it is.
        """
        term = self.board.group_term(group_id)
        if term is None or answer.newest is None or term.term != answer.log_term:
            return
        bounds = self.board.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
        asked_at_s = requested_at_s - answer.newest.age_s
        bounds.add(term.term, asked_at_s, answer.newest.position)

    def release(self, lease: BorrowedLease, reusable: bool) -> None:
        """End a lease.

        Args:
            lease: A lease of this node; ending it again has no effect.
            reusable: Whether the gateway may lease the connection again.
        """
        link = lease.connection
        if self._leases.pop(link.lease_id, None) is None:
            return
        self._decrement_open(lease.server_id)
        is_clean = link.is_usable and not link.has_open_transaction
        state = get_link_state(link) if reusable and is_clean else None
        link.close()
        self.send(link.gateway_id, LeaseEnded(self.board.node_id, link.lease_id, state))

    def _decrement_open(self, server_id: str) -> None:
        self.open_by_server[server_id] -= 1

    # Handlers of the gateways' messages.

    def on_lease_granted(self, message: LeaseGranted) -> None:
        """Complete a lease request; a lease that nobody waits for is returned.

        A grant that arrives again while its lease is in use is ignored.
        """
        self._record_message(message.node_id)
        if message.lease_id in self._leases or self._is_granted(message.lease_id):
            return
        if not self._complete_request(message):
            self.send(
                message.node_id,
                LeaseEnded(self.board.node_id, message.lease_id, message.state),
            )

    def _is_granted(self, lease_id: int) -> bool:
        """Return whether a request was granted that its task has not resumed for."""
        request = self._requests.get(lease_id)
        if request is None or not request.future.done() or request.future.cancelled():
            return False
        return isinstance(request.future.result(), LeaseGranted)

    def on_read_answer(self, message: ReadAnswer) -> None:
        """Complete a read request."""
        self._record_message(message.node_id)
        self._complete_request(message)

    def _complete_request(
        self, message: LeaseGranted | LeaseRefused | ReadAnswer
    ) -> bool:
        """Complete the request of an answer; False if it is no longer pending."""
        request = self._requests.get(message.lease_id)
        if request is None or request.future.done():
            return False
        request.future.set_result(message)
        return True

    def on_request_at_work(self, message: RequestAtWork) -> None:
        """Extend the timeout of a request in progress to its full time limit."""
        self._record_message(message.node_id)
        request = self._requests.get(message.lease_id)
        if request is None or request.gateway_id != message.node_id:
            return
        if request.timeout.expired() or request.future.done():
            return
        passed_s = self.clock() - request.sent_at_s
        now_s = asyncio.get_running_loop().time()
        request.timeout.reschedule(now_s + request.limit_s - passed_s)

    def on_lease_refused(self, message: LeaseRefused) -> None:
        """Complete a request that the gateway refused."""
        self._record_message(message.node_id)
        self._complete_request(message)

    def on_link_reply(self, message: LinkReply) -> None:
        """Pass a reply to the link of its lease."""
        self._record_message(message.node_id)
        lease = self._leases.get(message.lease_id)
        if lease is not None:
            lease.connection.on_reply(message)

    def on_leases_known(self, message: LeasesKnown) -> None:
        """Abandon the leases and requests that a gateway does not know."""
        self._record_message(message.node_id)
        for lease_id in message.unknown_ids:
            request = self._requests.get(lease_id)
            if request is not None and request.gateway_id == message.node_id:
                self._abandon(request)
            lease = self._leases.get(lease_id)
            if lease is not None and lease.connection.gateway_id == message.node_id:
                lease.connection.fail("the gateway has ended the lease")

    def tick(self) -> None:
        """Renew the leases, and give up gateways that are silent for too long."""
        now_s = self.clock()
        if now_s - self._leases_held_sent_at_s < LEASES_HELD_INTERVAL_S:
            return
        self._leases_held_sent_at_s = now_s
        self._send_leases_held()
        self._abandon_timed_out_reads(now_s)
        self._abandon_timed_out_requests(now_s)

    def _send_leases_held(self) -> None:
        """Tell each gateway which leases and requests of it this node has."""
        ids_by_gateway: dict[str, list[int]] = {}
        for lease_id, lease in self._leases.items():
            ids_by_gateway.setdefault(lease.gateway_id, []).append(lease_id)
        for lease_id, request in self._requests.items():
            ids_by_gateway.setdefault(request.gateway_id, []).append(lease_id)
        for gateway_id, lease_ids in ids_by_gateway.items():
            self.send(gateway_id, LeasesHeld(self.node_id, tuple(lease_ids)))

    def _abandon_timed_out_reads(self, now_s: float) -> None:
        """Fail reads on leases of gateways that have sent nothing for the timeout."""
        for lease in list(self._leases.values()):
            link = lease.connection
            last_message_at_s = max(
                lease.requested_at_s, self._last_message_at_s.get(link.gateway_id, -1e9)
            )
            if now_s - last_message_at_s < GATEWAY_TIMEOUT_S:
                continue
            self._back_off(link.gateway_id)
            if lease.is_read and link.is_waiting:
                link.fail(f"no message from gateway {link.gateway_id}")

    def _abandon_timed_out_requests(self, now_s: float) -> None:
        """Abandon requests to gateways that have sent nothing for the timeout."""
        for request in list(self._requests.values()):
            last_message_at_s = max(
                request.sent_at_s, self._last_message_at_s.get(request.gateway_id, -1e9)
            )
            if now_s - last_message_at_s < GATEWAY_TIMEOUT_S:
                continue
            self._back_off(request.gateway_id)
            self._abandon(request)

    def _abandon(self, request: _PendingRequest) -> None:
        """Complete a request without answer, so that the next gateway is asked."""
        if not request.future.done():
            request.future.set_result(None)

    def close(self) -> None:
        """End all leases and requests; no gateway is asked any more."""
        self._is_closed = True
        for lease in list(self._leases.values()):
            self.release(lease, False)
        for lease_id, request in list(self._requests.items()):
            ended = LeaseEnded(self.board.node_id, lease_id, None)
            self.send(request.gateway_id, ended)
            self._abandon(request)


def _make_refusal_error(server_id: str, answer: LeaseRefused) -> CallerError:
    detail = f"server {server_id} at {answer.node_id}: {answer.detail}"
    error_type = OverloadedError if answer.is_overload else BackendUnreachableError
    return error_type(detail, answer.retry_after_ms)
