"""Borrows connections from gateways.

A borrowed connection is used like an own one.  Where the hop itself fails, the outcome
is what it would be for a server: a call whose answer does not arrive has an unknown
outcome if it may have run; a lease that was not granted has run nothing.  No call is
ever sent twice.
"""

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import AcknowledgedBounds
from pollencleat.core.data import Position
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
    LinkCall,
    LinkReply,
    PeerMessage,
    ReadAnswer,
    ReadRequest,
    RequestAtWork,
)
from pollencleat.engine.access import ReadCall, ReadResult, Wish
from pollencleat.engine.statements import Begin, Commit, ServerReply, Shape, Work
from pollencleat.hops.calls import (
    apply_state,
    decode_reply,
    encode_arguments,
    state_of,
)
from pollencleat.limits.gateways import order_gateways
from pollencleat.reports.metrics import Metrics

GRANT_MARGIN_S = 0.15
"""How much later than agreed the answer to a request may come, connecting included."""

GATEWAYS_TRIED = 3
"""Gateways that are asked for one statement."""

AVOID_S = 1.0
"""Time for which a gateway that gave no answer is asked last; doubled with each further
question that it leaves unanswered."""

MOST_AVOID_S = 8.0
"""Longest such time; a member that is gone is removed after about this time."""

HEARD_LATELY_S = 2.0
"""A gateway that was heard of within this time is taken to be alive."""

FIRST_ANSWER_S = 0.12
"""How long a gateway that has not been heard of lately may take to answer, or to say
that the request is at work."""

HELD_S = 0.6
"""Seconds between two messages that tell a gateway which leases are held."""

GATEWAY_SILENT_S = 1.2
"""Reads are taken from a gateway that has been silent for this long; writes that may
have run go on until their time limit."""

RETRY_AFTER_MS = 100
"""When a caller may ask again where no gateway lends a connection."""

LEASE_ID_BITS = 62


class BorrowedLink:
    """A connection of a gateway, with the interface of ServerLink."""

    def __init__(self, hops: "HopBorrower", gateway_id: str, lease_id: int) -> None:
        """Use a granted lease."""
        self._hops = hops
        self.gateway_id = gateway_id
        self.lease_id = lease_id
        self.values: dict[str, str] = {}
        self.names_by_shape: dict[Shape, str] = {}
        self.has_open_transaction = False
        self.is_closed = False
        self._number = 0
        self._pending: asyncio.Future | None = None

    @property
    def is_usable(self) -> bool:
        """Whether it is lent still and no answer is outstanding."""
        return not self.is_closed and self._pending is None

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is outstanding."""
        return self._pending is not None

    def close(self) -> None:
        """End the lease; the gateway closes the connection."""
        self.fail("the lease was ended")

    def fail(self, reason: str) -> None:
        """Take in that the connection is lost.

        Args:
            reason: For the error of a call under way.
        """
        self.is_closed = True
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(BackendLostError(reason))

    def on_reply(self, message: LinkReply) -> None:
        """Take in the answer to a call; others were given up."""
        if self._pending is None or message.number != self._number:
            return
        if not self._pending.done():
            self._pending.set_result(message)

    async def _call(self, call: str, *arguments: object) -> ServerReply:
        if not self.is_usable:
            raise BackendLostError("the connection is not usable")
        self._number += 1
        message = LinkCall(
            self._hops.board.node_id,
            self.lease_id,
            self._number,
            call,
            encode_arguments(arguments),
        )
        if not self._hops.send(self.gateway_id, message):
            self.is_closed = True
            raise BackendLostError(f"gateway {self.gateway_id} takes no messages")
        self._pending = asyncio.get_running_loop().create_future()
        try:
            answer: LinkReply = await self._pending
            if answer.error:
                raise BackendLostError(f"gateway {self.gateway_id}: {answer.error}")
            reply = decode_reply(answer.reply)
        except BaseException:
            # An answer may still be under way; nobody else must read it.
            self.is_closed = True
            raise
        finally:
            self._pending = None
        self.has_open_transaction = reply.in_transaction
        return reply

    async def begin(self, begin: Begin, at_least: Position | None) -> ServerReply:
        """Begin a transaction, if the server has applied a position."""
        return await self._call("begin", begin, at_least)

    async def run(
        self, work: Work, prepared_name: str, at_least: Position | None
    ) -> ServerReply:
        """Run a read or write, if the server has applied a position."""
        return await self._call("run", work, prepared_name, at_least)

    async def commit(self, commit: Commit) -> ServerReply:
        """Commit."""
        return await self._call("commit", commit)

    async def roll_back(self) -> ServerReply:
        """Roll back."""
        return await self._call("roll_back")

    async def set_value(self, name: str, value: str) -> ServerReply:
        """Set a value."""
        return await self._call("set_value", name, value)

    async def prepare(self, name: str, shape: Shape) -> ServerReply:
        """Prepare a shape under a name of this connection."""
        return await self._call("prepare", name, shape)

    async def reset(self) -> ServerReply:
        """Clear values and prepared statements."""
        return await self._call("reset")


@dataclass(eq=False, slots=True)
class BorrowedLease:
    """A connection borrowed for one statement or transaction.

    Attributes:
        requested_at_s: When the gateway was asked for it.
        is_read: The statement may be asked again elsewhere.
        is_borrowed: The gateway, not this node, asks the server for its status.
    """

    hops: "HopBorrower"
    connection: BorrowedLink
    server_id: str
    opened_for_term: int
    requested_at_s: float
    is_read: bool = False
    is_borrowed: bool = True

    @property
    def gateway_id(self) -> str:
        """The node that lends the connection."""
        return self.connection.gateway_id

    def give_back(self, reusable: bool) -> None:
        """Return the connection, or have it closed.

        Args:
            reusable: The last answer was complete and no transaction is open.
        """
        self.hops.give_back(self, reusable)


@dataclass(frozen=True, slots=True)
class _Request:
    """A request whose answer is waited for."""

    gateway_id: str
    sent_at_s: float
    future: asyncio.Future
    timeout: asyncio.Timeout
    limit_s: float


@dataclass
class HopBorrower:
    """All leases that this node holds at gateways.

    Attributes:
        send: Sends a message to a node; False if it was dropped.
        open_by_server: Statements that wait for or hold a borrowed connection.
    """

    board: Blackboard
    send: Callable[[str, PeerMessage], bool]
    clock: Callable[[], float]
    metrics: Metrics
    open_by_server: Counter[str]

    def __post_init__(self) -> None:
        """Start without leases."""
        self._requests: dict[int, _Request] = {}
        self._leases: dict[int, BorrowedLease] = {}
        self._heard_at_s: dict[str, float] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._avoid_s: dict[str, float] = {}
        self._told_at_s = -1e9

    async def borrow(self, wish: Wish) -> BorrowedLease:
        """Borrow a connection from one gateway after the other.

        Args:
            wish: What is wanted.

        Returns:
            A lease that must be given back.

        Raises:
            OverloadedError: The wait would be, or was, too long.
            BackendUnreachableError: No gateway has a connection.
        """
        server_id = wish.server.server_id
        self.open_by_server[server_id] += 1
        try:
            return await self._borrow(wish)
        except BaseException:
            self._forget_open(server_id)
            raise

    async def _borrow(self, wish: Wish) -> BorrowedLease:
        deadline_s = self.clock() + wish.wait_s
        error: CallerError = BackendUnreachableError(
            f"server {wish.server.server_id}: no gateway answers", RETRY_AFTER_MS
        )
        gateways = order_gateways(self.board, wish.server, self._silent_gateways())
        for gateway in gateways[:GATEWAYS_TRIED]:
            left_s = deadline_s - self.clock()
            if left_s < 0:
                break
            answer = await self._ask(gateway.node_id, wish, left_s)
            if isinstance(answer, BorrowedLease):
                return answer
            if answer is not None:
                error = _refusal(wish.server.server_id, answer)
        raise error

    def _silent_gateways(self) -> list[str]:
        now_s = self.clock()
        return [
            name for name, until_s in self._avoid_until_s.items() if now_s < until_s
        ]

    async def _ask(
        self, gateway_id: str, wish: Wish, wait_s: float
    ) -> BorrowedLease | LeaseRefused | None:
        """Return the gateway's answer, or None if it gave none."""
        request = self._make_request(wish, wait_s)
        requested_at_s = self.clock()
        limit_s = wait_s + GRANT_MARGIN_S
        answer = await self._exchange(gateway_id, request.lease_id, request, limit_s)
        if not isinstance(answer, LeaseGranted):
            return answer
        link = BorrowedLink(self, gateway_id, request.lease_id)
        apply_state(link, answer.state)
        lease = BorrowedLease(
            self, link, wish.server.server_id, wish.term, requested_at_s
        )
        self._leases[request.lease_id] = lease
        self._take_newest(wish.server.group_id, answer, requested_at_s)
        return lease

    def _make_request(self, wish: Wish, wait_s: float) -> LeaseRequest:
        return LeaseRequest(
            self.board.node_id,
            secrets.randbits(LEASE_ID_BITS),
            wish.server.server_id,
            wish.account,
            wait_s,
            wish.term,
            wish.needs_lead,
            wish.values,
        )

    async def _exchange(
        self, gateway_id: str, lease_id: int, request: PeerMessage, limit_s: float
    ) -> LeaseGranted | LeaseRefused | ReadAnswer | None:
        """Send a request and wait for what answers it; None if nothing does."""
        if not self.send(gateway_id, request):
            self._avoid(gateway_id)
            return None
        future = asyncio.get_running_loop().create_future()
        sent_at_s = self.clock()
        first_s = limit_s
        if not self._is_heard(gateway_id):
            first_s = min(limit_s, FIRST_ANSWER_S)
        try:
            async with asyncio.timeout(first_s) as timeout:
                self._requests[lease_id] = _Request(
                    gateway_id, sent_at_s, future, timeout, limit_s
                )
                return await future
        except TimeoutError:
            if self._heard_at_s.get(gateway_id, -1e9) < sent_at_s:
                self._avoid(gateway_id)
            self.send(gateway_id, LeaseEnded(self.board.node_id, lease_id, None))
            return None
        except BaseException:
            self.send(gateway_id, LeaseEnded(self.board.node_id, lease_id, None))
            raise
        finally:
            self._requests.pop(lease_id, None)

    async def read(self, wish: Wish, call: ReadCall, limit_s: float) -> ReadResult:
        """Have a gateway run a read that belongs to no transaction.

        Args:
            wish: The connection that it needs.
            call: The read.
            limit_s: How long the server may take.

        Returns:
            The server's answer.

        Raises:
            OverloadedError: The wait would be, or was, too long.
            BackendUnreachableError: No gateway has a connection.
            BackendLostError: No complete answer arrived.
        """
        server_id = wish.server.server_id
        self.open_by_server[server_id] += 1
        try:
            return await self._read(wish, call, limit_s)
        finally:
            self._forget_open(server_id)

    async def _read(self, wish: Wish, call: ReadCall, limit_s: float) -> ReadResult:
        deadline_s = self.clock() + limit_s
        payload = encode_arguments((call.work, call.shape, call.at_least))
        error: CallerError = BackendUnreachableError(
            f"server {wish.server.server_id}: no gateway answers", RETRY_AFTER_MS
        )
        gateways = order_gateways(self.board, wish.server, self._silent_gateways())
        for gateway in gateways[:GATEWAYS_TRIED]:
            left_s = deadline_s - self.clock()
            if left_s <= 0:
                break
            request = self._make_request(wish, min(wish.wait_s, left_s))
            requested_at_s = self.clock()
            message = ReadRequest(request, left_s, payload)
            answer = await self._exchange(
                gateway.node_id, request.lease_id, message, left_s
            )
            if isinstance(answer, LeaseRefused):
                error = _refusal(wish.server.server_id, answer)
            if not isinstance(answer, ReadAnswer):
                continue
            if answer.error:
                raise BackendLostError(f"gateway {gateway.node_id}: {answer.error}")
            self._take_newest(wish.server.group_id, answer, requested_at_s)
            return ReadResult(decode_reply(answer.reply), gateway.node_id)
        raise error

    def _is_heard(self, gateway_id: str) -> bool:
        heard_at_s = self._heard_at_s.get(gateway_id, -1e9)
        return self.clock() - heard_at_s < HEARD_LATELY_S

    def _note_heard(self, gateway_id: str) -> None:
        self._heard_at_s[gateway_id] = self.clock()
        self._avoid_s.pop(gateway_id, None)
        self._avoid_until_s.pop(gateway_id, None)

    def _avoid(self, gateway_id: str) -> None:
        now_s = self.clock()
        if now_s < self._avoid_until_s.get(gateway_id, -1e9):
            return
        avoid_s = self._avoid_s.get(gateway_id, AVOID_S)
        self._avoid_s[gateway_id] = min(MOST_AVOID_S, 2 * avoid_s)
        self._avoid_until_s[gateway_id] = now_s + avoid_s
        self.metrics.count("gateway_silent", gateway_id)

    def _take_newest(
        self,
        group_id: str,
        granted: LeaseGranted | ReadAnswer,
        requested_at_s: float,
    ) -> None:
        """Keep what the gateway was told of the primary's log.

        It answered after it was asked, so that its age counted from the question errs
        towards an older position.
        """
        term = self.board.group_term(group_id)
        if term is None or granted.newest is None or term.term != granted.log_term:
            return
        bounds = self.board.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
        asked_at_s = requested_at_s - granted.newest.age_s
        bounds.add(term.term, asked_at_s, granted.newest.position)

    def give_back(self, lease: BorrowedLease, reusable: bool) -> None:
        """End a lease.

        Args:
            lease: A lease of this node; a second end does nothing.
            reusable: Whether the connection may be lent again.
        """
        link = lease.connection
        if self._leases.pop(link.lease_id, None) is None:
            return
        self._forget_open(lease.server_id)
        is_clean = link.is_usable and not link.has_open_transaction
        state = state_of(link) if reusable and is_clean else None
        link.close()
        self.send(link.gateway_id, LeaseEnded(self.board.node_id, link.lease_id, state))

    def _forget_open(self, server_id: str) -> None:
        self.open_by_server[server_id] -= 1

    # Messages of gateways.

    def on_granted(self, message: LeaseGranted) -> None:
        """Take in a granted lease; one that nobody waits for is given back."""
        self._note_heard(message.node_id)
        if not self._settle(message):
            self.send(
                message.node_id,
                LeaseEnded(self.board.node_id, message.lease_id, message.state),
            )

    def on_read(self, message: ReadAnswer) -> None:
        """Take in the answer to a read."""
        self._note_heard(message.node_id)
        self._settle(message)

    def _settle(self, message: LeaseGranted | LeaseRefused | ReadAnswer) -> bool:
        """Hand an answer to who waits for it; return whether anybody does."""
        request = self._requests.get(message.lease_id)
        if request is None or request.future.done():
            return False
        request.future.set_result(message)
        return True

    def on_at_work(self, message: RequestAtWork) -> None:
        """Give a gateway that has begun with a request the agreed time for it."""
        self._note_heard(message.node_id)
        request = self._requests.get(message.lease_id)
        if request is None or request.gateway_id != message.node_id:
            return
        if request.timeout.expired() or request.future.done():
            return
        passed_s = self.clock() - request.sent_at_s
        now_s = asyncio.get_running_loop().time()
        request.timeout.reschedule(now_s + request.limit_s - passed_s)

    def on_refused(self, message: LeaseRefused) -> None:
        """Take in that no connection is lent."""
        self._note_heard(message.node_id)
        self._settle(message)

    def on_reply(self, message: LinkReply) -> None:
        """Take in the answer to a call."""
        self._note_heard(message.node_id)
        lease = self._leases.get(message.lease_id)
        if lease is not None:
            lease.connection.on_reply(message)

    def on_known(self, message: LeasesKnown) -> None:
        """Take in which leases a gateway has ended."""
        self._note_heard(message.node_id)
        for lease_id in message.unknown_ids:
            request = self._requests.get(lease_id)
            if request is not None and request.gateway_id == message.node_id:
                self._give_up(request)
            lease = self._leases.get(lease_id)
            if lease is not None and lease.connection.gateway_id == message.node_id:
                lease.connection.fail("the gateway has ended the lease")

    def tick(self) -> None:
        """Tell gateways which leases are held; take reads from silent ones."""
        now_s = self.clock()
        if now_s - self._told_at_s < HELD_S:
            return
        self._told_at_s = now_s
        ids_by_gateway: dict[str, list[int]] = {}
        for lease_id, lease in self._leases.items():
            ids_by_gateway.setdefault(lease.connection.gateway_id, []).append(lease_id)
        for lease_id, request in self._requests.items():
            ids_by_gateway.setdefault(request.gateway_id, []).append(lease_id)
        for gateway_id, lease_ids in ids_by_gateway.items():
            self.send(gateway_id, LeasesHeld(self.board.node_id, tuple(lease_ids)))
        for lease in list(self._leases.values()):
            link = lease.connection
            heard_at_s = max(
                lease.requested_at_s, self._heard_at_s.get(link.gateway_id, -1e9)
            )
            if now_s - heard_at_s < GATEWAY_SILENT_S:
                continue
            self._avoid(link.gateway_id)
            if lease.is_read and link.is_waiting:
                link.fail(f"gateway {link.gateway_id} is silent")
        self._leave_silent_gateways(now_s)

    def _leave_silent_gateways(self, now_s: float) -> None:
        """Ask another gateway where one has been silent since it was asked."""
        for request in list(self._requests.values()):
            heard_at_s = max(
                request.sent_at_s, self._heard_at_s.get(request.gateway_id, -1e9)
            )
            if now_s - heard_at_s < GATEWAY_SILENT_S:
                continue
            self._avoid(request.gateway_id)
            self._give_up(request)

    def _give_up(self, request: _Request) -> None:
        """Let the next gateway be asked."""
        if not request.future.done():
            request.future.set_result(None)

    def close(self) -> None:
        """End all leases."""
        for lease in list(self._leases.values()):
            self.give_back(lease, False)


def _refusal(server_id: str, answer: LeaseRefused) -> CallerError:
    detail = f"server {server_id} at {answer.node_id}: {answer.detail}"
    kind = OverloadedError if answer.is_overload else BackendUnreachableError
    return kind(detail, answer.retry_after_ms)
