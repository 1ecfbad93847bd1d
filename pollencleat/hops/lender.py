"""Leases this node's connections to other entry VMs.

A lease ends when its borrower ends it, or when no message of the borrower has arrived
for some seconds.  In the latter case a call in progress is not cancelled, because it
may be a commit; the connection is closed after it, which rolls back what was not
committed.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pollencleat.backend.pool import Lease, PooledConnection
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.errors import (
    BackendError,
    BackendUnreachableError,
    CallerError,
    OverloadedError,
)
from pollencleat.core.faults import ErrorRecorder
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
    apply_link_state,
    decode_read,
    encode_reply,
    get_link_state,
    start_call,
)
from pollencleat.limits.queue import WorkKind
from pollencleat.reports.metrics import Metrics

BORROWER_TIMEOUT_S = 3.0
"""Time without a message of a borrower after which its leases end."""

MAX_PENDING_REQUESTS = 1024
"""Requests of all borrowers that may be pending at the same time."""

REQUEST_AT_WORK_DELAY_S = 0.05
"""Time without an answer after which a borrower gets RequestAtWork; less than the
borrower's FIRST_ANSWER_TIMEOUT_S."""

SESSION_STATE_CALLS = frozenset({"set_value", "prepare", "reset"})
"""Calls that change a connection's session state; after one that did not succeed, the
state is not what the borrower reports."""

RETRY_AFTER_MS = 100
"""Retry delay for a borrower's caller when this node grants no lease."""


@dataclass(eq=False, slots=True)
class ActiveLease:
    """A connection that is leased to a borrower.

    Attributes:
        pool_lease: The connection, as leased from this node's pool.
        last_message_at_s: Local time of the borrower's last message.
        last_call_number: Number of the newest call that was started.
        running_call: The call in progress.
        close_after_call: The borrower timed out during the call in progress; the
            connection is closed after the call.
        is_reusable: No call was left without a reply, and none that changes the session
            state was refused.
    """

    borrower_id: str
    pool_lease: Lease
    last_message_at_s: float
    last_call_number: int = 0
    running_call: asyncio.Task | None = None
    close_after_call: bool = False
    is_reusable: bool = True


class HopLender:
    """Grants leases on this node's connections and runs the borrowers' calls."""

    def __init__(
        self,
        access: ServerAccess,
        send: Callable[[str, PeerMessage], bool],
        metrics: Metrics,
        faults: ErrorRecorder | None = None,
    ) -> None:
        """Create the lender, which takes connections from the pools of access."""
        self._faults = faults or ErrorRecorder()
        self._access = access
        self._board: Blackboard = access.board
        self._send = send
        self._metrics = metrics
        self._active_leases_by_id: dict[int, ActiveLease] = {}
        self._requests_by_id: dict[int, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._is_closed = False

    @property
    def is_busy(self) -> bool:
        """Whether a lease is active or a request is pending."""
        return bool(self._active_leases_by_id or self._requests_by_id)

    # Lease and read requests.

    def on_lease_request(self, request: LeaseRequest) -> None:
        """Start processing a lease request, or refuse it at once.

        A request that arrives again has an answer or will get one.
        """
        if (
            request.lease_id in self._requests_by_id
            or request.lease_id in self._active_leases_by_id
            or self._refuse_unservable(request)
        ):
            return
        self._requests_by_id[request.lease_id] = self._start_task(
            self._process_request(request, self._grant_lease, request)
        )

    def _refuse_unservable(self, request: LeaseRequest) -> bool:
        """Refuse a request that cannot be served; True if it was refused."""
        pool = self._access.pools.pools_by_server.get(request.server_id)
        if self._board.draining:
            self._refuse(request, False, "the gateway is stopping")
        elif pool is None or not pool.queue.capacity:
            self._refuse(request, False, "the node is not a gateway of the server")
        elif len(self._requests_by_id) >= MAX_PENDING_REQUESTS:
            self._refuse(request, True, "too many pending lease requests")
        else:
            return False
        return True

    def on_read_request(self, request: ReadRequest) -> None:
        """Start a read on one of this node's connections, or refuse it at once."""
        lease = request.lease
        if lease.lease_id in self._requests_by_id or self._refuse_unservable(lease):
            return
        self._requests_by_id[lease.lease_id] = self._start_task(
            self._process_request(lease, self._read, request)
        )

    async def _process_request(
        self,
        lease: LeaseRequest,
        process: Callable[..., Awaitable[None]],
        request: LeaseRequest | ReadRequest,
    ) -> None:
        """Process a request; send RequestAtWork if the answer takes longer.

        A request that meets an unexpected error or the end of a stop is refused.
        """
        message = RequestAtWork(self._board.node_id, lease.lease_id)
        at_work_timer = asyncio.get_running_loop().call_later(
            REQUEST_AT_WORK_DELAY_S, self._send, lease.node_id, message
        )
        try:
            await process(request)
        except asyncio.CancelledError:
            if self._is_closed:
                self._refuse(lease, False, "the gateway has stopped")
            raise
        except Exception as error:
            self._refuse(lease, False, f"unexpected {type(error).__name__}")
            raise
        finally:
            at_work_timer.cancel()

    async def _read(self, request: ReadRequest) -> None:
        lease_request = request.lease
        try:
            lease = await self._borrow(lease_request)
            lease.is_read = True
            reusable = False
            try:
                async with asyncio.timeout(request.limit_s):
                    reply = await self._run_read(request, lease)
                reusable = not reply.in_transaction
            finally:
                lease.release(reusable)
        except CallerError as error:
            is_overload = isinstance(error, OverloadedError)
            self._refuse(lease_request, is_overload, error.detail, error.retry_after_ms)
        except (BackendError, TimeoutError) as error:
            text = str(error) or type(error).__name__
            answer = ReadAnswer(self._board.node_id, lease_request.lease_id, b"", text)
            self._send(lease_request.node_id, answer)
        else:
            log_term, newest = self._newest_position(lease)
            answer = ReadAnswer(
                self._board.node_id,
                lease_request.lease_id,
                encode_reply(reply),
                "",
                log_term,
                newest,
            )
            self._send(lease_request.node_id, answer)
        finally:
            self._requests_by_id.pop(lease_request.lease_id, None)

    async def _run_read(self, request: ReadRequest, lease: Lease) -> ServerReply:
        """Set the session values on the connection and run the read."""
        access = self._access
        server = lease.pool.server
        link = lease.connection

        async def run_tracked(call: Awaitable[ServerReply]) -> ServerReply:
            return await access.track(server.server_id, call)

        work, shape, at_least = decode_read(request.call)
        session = SessionState("", request.lease.account)
        session.values = request.lease.values
        await restore_values(link, session, run_tracked)
        name = "" if shape is None else await restore_shape(link, shape, run_tracked)
        sent_at_s = access.clock()
        reply = await run_tracked(link.run(work, name, at_least))
        access.note_position(server.server_id, reply, sent_at_s, server.group_id)
        return reply

    def _start_task(self, coroutine: object) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self._faults.record("lent connection", task.exception())

    async def _grant_lease(self, request: LeaseRequest) -> None:
        try:
            lease = await self._borrow(request)
        except CallerError as error:
            is_overload = isinstance(error, OverloadedError)
            self._refuse(request, is_overload, error.detail, error.retry_after_ms)
            return
        finally:
            self._requests_by_id.pop(request.lease_id, None)
        active_lease = ActiveLease(request.node_id, lease, self._access.clock())
        self._active_leases_by_id[request.lease_id] = active_lease
        self._metrics.count("lease_granted")
        granted = self._make_grant(request, lease)
        if not self._send(request.node_id, granted):
            self._end_lease(request.lease_id, False)

    async def _borrow(self, request: LeaseRequest) -> Lease:
        access = self._access
        pool = access.pools.pools_by_server.get(request.server_id)
        if pool is None:
            raise BackendUnreachableError(
                f"server {request.server_id} has left", RETRY_AFTER_MS
            )

        def has_session_values(link: PooledConnection) -> bool:
            return link.values == request.values

        deadline_s = access.clock() + request.wait_s
        lease = await pool.borrow(
            request.account,
            WAITING_STATEMENTS_LIMIT,
            deadline_s,
            request.term,
            has_session_values,
            WorkKind(request.kind, request.priority),
        )
        is_confirmed = False
        try:
            is_confirmed = not request.needs_lead or await self._is_confirmed_primary(
                request
            )
        finally:
            if not is_confirmed:
                lease.release(True)
        if not is_confirmed:
            raise OverloadedError(
                f"{request.server_id}: does not confirm that it leads", RETRY_AFTER_MS
            )
        return lease

    async def _is_confirmed_primary(self, request: LeaseRequest) -> bool:
        server = self._board.inventory.servers_by_id.get(request.server_id)
        term = self._board.group_term(server.group_id) if server else None
        if term is None or term.term != request.term:
            return False
        if term.primary != request.server_id:
            return False
        return await self._access.wait_until_confirmed(term)

    def _make_grant(self, request: LeaseRequest, lease: Lease) -> LeaseGranted:
        log_term, newest = self._newest_position(lease)
        return LeaseGranted(
            self._board.node_id,
            request.lease_id,
            get_link_state(lease.connection),
            log_term,
            newest,
        )

    def _newest_position(self, lease: Lease) -> tuple[int, SeenPosition | None]:
        """Return the newest known log position of the primary, and its term.

        Without one, the term is 0 and the position None.
        """
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

    # Calls on leased connections.

    def on_link_call(self, message: LinkCall) -> None:
        """Start a call on a leased connection; one that arrives again is ignored."""
        active_lease = self._active_leases_by_id.get(message.lease_id)
        if active_lease is None or active_lease.borrower_id != message.node_id:
            self._reply_error(message, "unknown or ended lease")
            return
        active_lease.last_message_at_s = self._access.clock()
        if message.number <= active_lease.last_call_number:
            return
        if active_lease.running_call is not None:
            self._reply_error(message, "another call is in progress")
            return
        active_lease.last_call_number = message.number
        active_lease.running_call = self._start_task(
            self._run_call(active_lease, message)
        )

    async def _run_call(self, active_lease: ActiveLease, message: LinkCall) -> None:
        access = self._access
        server = active_lease.pool_lease.pool.server
        sent_at_s = access.clock()
        active_lease.pool_lease.set_running(True)
        try:
            call = start_call(
                active_lease.pool_lease.connection, message.call, message.arguments
            )
            reply = await access.track(server.server_id, call)
            if message.call in SESSION_STATE_CALLS and reply.failure is not None:
                active_lease.is_reusable = False
        except asyncio.CancelledError:
            if self._is_closed:
                self._reply_error(message, "the gateway has stopped")
            raise
        except (BackendError, TimeoutError) as error:
            active_lease.is_reusable = False
            self._reply_error(message, str(error) or type(error).__name__)
        except Exception as error:
            active_lease.is_reusable = False
            self._reply_error(message, f"unexpected {type(error).__name__}")
            raise
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
            active_lease.running_call = None
            active_lease.pool_lease.set_running(False)
            if active_lease.close_after_call:
                self._end_lease(message.lease_id, False)

    def _reply_error(self, message: LinkCall, error: str) -> None:
        self._send(
            message.node_id,
            LinkReply(
                self._board.node_id, message.lease_id, message.number, b"", error
            ),
        )

    # Ends of leases.

    def on_lease_ended(self, message: LeaseEnded) -> None:
        """End a lease, or cancel a pending request."""
        request = self._requests_by_id.pop(message.lease_id, None)
        if request is not None:
            request.cancel()
        active_lease = self._active_leases_by_id.get(message.lease_id)
        if active_lease is None or active_lease.borrower_id != message.node_id:
            return
        reusable = (
            message.state is not None
            and active_lease.running_call is None
            and active_lease.is_reusable
        )
        if reusable:
            try:
                apply_link_state(active_lease.pool_lease.connection, message.state)
            except ValueError:
                reusable = False
        if active_lease.running_call is not None:
            # The borrower has abandoned the call, so nobody waits for its reply.
            active_lease.running_call.cancel()
        self._end_lease(message.lease_id, reusable)

    def on_leases_held(self, message: LeasesHeld) -> None:
        """Renew the leases of a borrower and reply with those that are unknown."""
        now_s = self._access.clock()
        unknown = []
        for lease_id in message.lease_ids:
            if lease_id in self._requests_by_id:
                continue
            active_lease = self._active_leases_by_id.get(lease_id)
            if active_lease is None or active_lease.borrower_id != message.node_id:
                unknown.append(lease_id)
                continue
            active_lease.last_message_at_s = now_s
            if (
                not active_lease.pool_lease.connection.is_usable
                and active_lease.running_call is None
            ):
                unknown.append(lease_id)
        self._send(message.node_id, LeasesKnown(self._board.node_id, tuple(unknown)))

    def _end_lease(self, lease_id: int, reusable: bool) -> None:
        active_lease = self._active_leases_by_id.pop(lease_id, None)
        if active_lease is not None:
            active_lease.pool_lease.release(reusable)

    def tick(self) -> None:
        """End the leases of borrowers that timed out."""
        now_s = self._access.clock()
        for lease_id, active_lease in list(self._active_leases_by_id.items()):
            if now_s - active_lease.last_message_at_s < BORROWER_TIMEOUT_S:
                continue
            self._metrics.count("borrower_silent", active_lease.borrower_id)
            if active_lease.running_call is not None:
                active_lease.close_after_call = True
                continue
            self._end_lease(lease_id, False)

    def close(self) -> None:
        """Cancel pending requests and calls, and close leased connections.

        Their borrowers are told as soon as the event loop runs again.
        """
        self._is_closed = True
        for task in list(self._tasks):
            task.cancel()
        for lease_id in list(self._active_leases_by_id):
            self._end_lease(lease_id, False)
