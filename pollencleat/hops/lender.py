"""Lends this node's connections to other entry VMs.

A lease ends when its borrower says so, or when the borrower has been silent for some
seconds.  A call that is running then is let run to its end, for it may be a commit; the
connection is closed afterwards, which rolls back what was not committed.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pollencleat.backend.pool import Lease, PooledConnection
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.errors import (
    BackendError,
    CallerError,
    OverloadedError,
)
from pollencleat.core.faults import FaultLog
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
    SeenPosition,
)
from pollencleat.engine.access import WAITING_STATEMENTS_LIMIT, ServerAccess
from pollencleat.engine.restore import restore_shape, restore_values
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import ServerReply
from pollencleat.hops.calls import (
    apply_state,
    decode_read,
    encode_reply,
    start_call,
    state_of,
)
from pollencleat.reports.metrics import Metrics

BORROWER_SILENT_S = 3.0
"""Silence after which a borrower's leases are ended."""

REQUESTS_LIMIT = 1024
"""Requests of all borrowers that may wait at the same time."""

AT_WORK_S = 0.05
"""Time without an answer after which a borrower is told that its request is at work;
less than the borrower's FIRST_ANSWER_S."""

RETRY_AFTER_MS = 100
"""When a borrower's caller may ask again where this node lends nothing."""


@dataclass(eq=False, slots=True)
class Loan:
    """A connection that a borrower holds.

    Attributes:
        heard_at_s: When the borrower was last heard of.
        running: The call under way.
        is_ended: The borrower is gone; the connection is closed after the call.
    """

    borrower_id: str
    lease: Lease
    heard_at_s: float
    running: asyncio.Task | None = None
    is_ended: bool = False


class HopLender:
    """All connections of this node that others hold."""

    def __init__(
        self,
        access: ServerAccess,
        send: Callable[[str, PeerMessage], bool],
        metrics: Metrics,
        faults: FaultLog | None = None,
    ) -> None:
        """Lend from the node's pools."""
        self._faults = faults or FaultLog()
        self._access = access
        self._board: Blackboard = access.board
        self._send = send
        self._metrics = metrics
        self._loans_by_id: dict[int, Loan] = {}
        self._requests_by_id: dict[int, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def is_busy(self) -> bool:
        """Whether a borrower holds or wants a connection."""
        return bool(self._loans_by_id or self._requests_by_id)

    # Granting.

    def on_request(self, request: LeaseRequest) -> None:
        """Lend a connection, or queue the request, or refuse it at once."""
        if self._is_refused(request) or request.lease_id in self._requests_by_id:
            return
        self._requests_by_id[request.lease_id] = self._start(
            self._work_on(request, self._grant, request)
        )

    def _is_refused(self, request: LeaseRequest) -> bool:
        """Refuse a request that cannot be served; return whether that was so."""
        pool = self._access.pools.pools_by_server.get(request.server_id)
        if self._board.draining:
            self._refuse(request, False, "the gateway is stopping")
        elif pool is None or not pool.queue.capacity:
            self._refuse(request, False, "the node is no gateway")
        elif len(self._requests_by_id) >= REQUESTS_LIMIT:
            self._refuse(request, True, "too many requests wait")
        else:
            return False
        return True

    def on_read(self, request: ReadRequest) -> None:
        """Run a read on one of the node's connections."""
        lease = request.lease
        if self._is_refused(lease) or lease.lease_id in self._requests_by_id:
            return
        self._requests_by_id[lease.lease_id] = self._start(
            self._work_on(lease, self._read, request)
        )

    async def _work_on(
        self,
        lease: LeaseRequest,
        carry_out: Callable[..., Awaitable[None]],
        request: LeaseRequest | ReadRequest,
    ) -> None:
        """Carry a request out; tell its borrower if the answer takes its time."""
        message = RequestAtWork(self._board.node_id, lease.lease_id)
        telling = asyncio.get_running_loop().call_later(
            AT_WORK_S, self._send, lease.node_id, message
        )
        try:
            await carry_out(request)
        finally:
            telling.cancel()

    async def _read(self, request: ReadRequest) -> None:
        wish = request.lease
        try:
            lease = await self._borrow(wish)
            lease.is_read = True
            reusable = False
            try:
                async with asyncio.timeout(request.limit_s):
                    reply = await self._run_read(request, lease)
                reusable = not reply.in_transaction
            finally:
                lease.give_back(reusable)
        except CallerError as error:
            is_overload = isinstance(error, OverloadedError)
            self._refuse(wish, is_overload, error.detail, error.retry_after_ms)
        except (BackendError, TimeoutError) as error:
            text = str(error) or type(error).__name__
            answer = ReadAnswer(self._board.node_id, wish.lease_id, b"", text)
            self._send(wish.node_id, answer)
        else:
            log_term, newest = self._newest(lease)
            answer = ReadAnswer(
                self._board.node_id,
                wish.lease_id,
                encode_reply(reply),
                "",
                log_term,
                newest,
            )
            self._send(wish.node_id, answer)
        finally:
            self._requests_by_id.pop(wish.lease_id, None)

    async def _run_read(self, request: ReadRequest, lease: Lease) -> ServerReply:
        """Give the connection the session's values, and run the read."""
        access = self._access
        server = lease.pool.server
        link = lease.connection

        async def ask(call: Awaitable[ServerReply]) -> ServerReply:
            return await access.track(server.server_id, call)

        work, shape, at_least = decode_read(request.call)
        session = SessionState("", request.lease.account)
        session.values = request.lease.values
        await restore_values(link, session, ask)
        name = "" if shape is None else await restore_shape(link, shape, ask)
        sent_at_s = access.clock()
        reply = await ask(link.run(work, name, at_least))
        access.note_position(server.server_id, reply, sent_at_s, server.group_id)
        return reply

    def _start(self, coroutine: object) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    def _note_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._faults.record("lent connection", task.exception())

    async def _grant(self, request: LeaseRequest) -> None:
        try:
            lease = await self._borrow(request)
        except CallerError as error:
            is_overload = isinstance(error, OverloadedError)
            self._refuse(request, is_overload, error.detail, error.retry_after_ms)
            return
        finally:
            self._requests_by_id.pop(request.lease_id, None)
        loan = Loan(request.node_id, lease, self._access.clock())
        self._loans_by_id[request.lease_id] = loan
        self._metrics.count("lease_granted")
        granted = self._make_granted(request, lease)
        if not self._send(request.node_id, granted):
            self._end(request.lease_id, False)

    async def _borrow(self, request: LeaseRequest) -> Lease:
        access = self._access
        pool = access.pools.pools_by_server[request.server_id]

        def suits(link: PooledConnection) -> bool:
            return link.values == request.values

        deadline_s = access.clock() + request.wait_s
        lease = await pool.borrow(
            request.account, WAITING_STATEMENTS_LIMIT, deadline_s, request.term, suits
        )
        is_sure = False
        try:
            is_sure = not request.needs_lead or await self._leads(request)
        finally:
            if not is_sure:
                lease.give_back(True)
        if not is_sure:
            raise OverloadedError(
                f"{request.server_id}: does not confirm that it leads", RETRY_AFTER_MS
            )
        return lease

    async def _leads(self, request: LeaseRequest) -> bool:
        server = self._board.inventory.servers_by_id.get(request.server_id)
        term = self._board.group_term(server.group_id) if server else None
        if term is None or term.term != request.term:
            return False
        if term.primary != request.server_id:
            return False
        return await self._access.wait_until_confirmed(term)

    def _make_granted(self, request: LeaseRequest, lease: Lease) -> LeaseGranted:
        log_term, newest = self._newest(lease)
        return LeaseGranted(
            self._board.node_id,
            request.lease_id,
            state_of(lease.connection),
            log_term,
            newest,
        )

    def _newest(self, lease: Lease) -> tuple[int, SeenPosition | None]:
        """Return what this node was told of the primary's log, and in which term."""
        bounds = self._board.bounds_by_group.get(lease.pool.server.group_id)
        if bounds is None or not bounds.entries:
            return 0, None
        asked_at_s, position = bounds.entries[-1]
        age_s = self._access.clock() - asked_at_s
        return bounds.term, SeenPosition(position, age_s)

    def _refuse(
        self,
        request: LeaseRequest,
        is_overload: bool,
        detail: str,
        retry_after_ms: int | None = None,
    ) -> None:
        self._metrics.count("lease_refused", "overload" if is_overload else "other")
        self._send(
            request.node_id,
            LeaseRefused(
                self._board.node_id,
                request.lease_id,
                is_overload,
                detail,
                RETRY_AFTER_MS if retry_after_ms is None else retry_after_ms,
            ),
        )

    # Using.

    def on_call(self, message: LinkCall) -> None:
        """Carry out a call on a lent connection."""
        loan = self._loans_by_id.get(message.lease_id)
        if loan is None or loan.borrower_id != message.node_id:
            self._reply_error(message, "the lease has ended")
            return
        loan.heard_at_s = self._access.clock()
        if loan.running is not None:
            self._reply_error(message, "a call is under way")
            return
        loan.running = self._start(self._carry_out(loan, message))

    async def _carry_out(self, loan: Loan, message: LinkCall) -> None:
        access = self._access
        server = loan.lease.pool.server
        sent_at_s = access.clock()
        try:
            call = start_call(loan.lease.connection, message.call, message.arguments)
            reply = await access.track(server.server_id, call)
        except (BackendError, TimeoutError) as error:
            self._reply_error(message, str(error) or type(error).__name__)
        else:
            access.note_position(server.server_id, reply, sent_at_s, server.group_id)
            answer = LinkReply(
                self._board.node_id,
                message.lease_id,
                message.number,
                encode_reply(reply),
            )
            self._send(message.node_id, answer)
        finally:
            loan.running = None
            if loan.is_ended:
                self._end(message.lease_id, False)

    def _reply_error(self, message: LinkCall, error: str) -> None:
        self._send(
            message.node_id,
            LinkReply(
                self._board.node_id, message.lease_id, message.number, b"", error
            ),
        )

    # Ending.

    def on_ended(self, message: LeaseEnded) -> None:
        """Take a connection back, or stop waiting for one."""
        request = self._requests_by_id.pop(message.lease_id, None)
        if request is not None:
            request.cancel()
        loan = self._loans_by_id.get(message.lease_id)
        if loan is None or loan.borrower_id != message.node_id:
            return
        reusable = message.state is not None and loan.running is None
        if reusable:
            try:
                apply_state(loan.lease.connection, message.state)
            except ValueError:
                reusable = False
        if loan.running is not None:
            # The borrower has given the call up; its answer has nobody to reach.
            loan.running.cancel()
        self._end(message.lease_id, reusable)

    def on_held(self, message: LeasesHeld) -> None:
        """Take in that a borrower is alive, and tell it which leases have ended."""
        now_s = self._access.clock()
        unknown = []
        for lease_id in message.lease_ids:
            if lease_id in self._requests_by_id:
                continue
            loan = self._loans_by_id.get(lease_id)
            if loan is None or loan.borrower_id != message.node_id:
                unknown.append(lease_id)
                continue
            loan.heard_at_s = now_s
            if not loan.lease.connection.is_usable and loan.running is None:
                unknown.append(lease_id)
        self._send(message.node_id, LeasesKnown(self._board.node_id, tuple(unknown)))

    def _end(self, lease_id: int, reusable: bool) -> None:
        loan = self._loans_by_id.pop(lease_id, None)
        if loan is not None:
            loan.lease.give_back(reusable)

    def tick(self) -> None:
        """End the leases of borrowers that are silent."""
        now_s = self._access.clock()
        for lease_id, loan in list(self._loans_by_id.items()):
            if now_s - loan.heard_at_s < BORROWER_SILENT_S:
                continue
            self._metrics.count("borrower_silent", loan.borrower_id)
            if loan.running is not None:
                loan.is_ended = True
                continue
            self._end(lease_id, False)

    def close(self) -> None:
        """Cancel everything and close what is lent."""
        for task in list(self._tasks):
            task.cancel()
        for lease_id in list(self._loans_by_id):
            self._end(lease_id, False)
