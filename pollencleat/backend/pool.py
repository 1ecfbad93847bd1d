"""The pool of this node's connections to one backend server.

A connection serves one transaction at a time.  It returns to the pool only after a
complete response with no transaction open.  Otherwise it is closed, so that a late
response cannot reach another session.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.data import BackendServer
from pollencleat.core.errors import (
    BackendError,
    BackendFullError,
    BackendUnreachableError,
    OverloadedError,
)
from pollencleat.limits.growth import ConnectionGrowth
from pollencleat.limits.queue import (
    ANY_WORK,
    Refusal,
    ServerQueue,
    Ticket,
    WorkKind,
)
from pollencleat.limits.shares import ORDER_CONNECTIONS

SERVER_FULL_PAUSE_S = 1.0
"""Seconds without new connections after a server refused one because it was full."""

OPEN_TIMEOUT_S = 2.0
MIN_RETRY_AFTER_MS = 20
CLOSED_POOL_DETAIL = "this node does not use the server any more"
ANY_TERM = 0
"""Term of reads, whose consistency is checked by position and age instead."""

WARM_UP_CUSTOMER = ""


@dataclass(frozen=True, slots=True)
class Credentials:
    """User name and password of the proxy at the backend servers."""

    user: str
    password: str


class PooledConnection(Protocol):
    """The operations that a pool needs of a connection of any protocol."""

    @property
    def is_usable(self) -> bool:
        """Whether the connection may be leased: it is not known to be broken."""

    @property
    def has_open_transaction(self) -> bool:
        """Whether the server has a transaction open on the connection."""

    def close(self) -> None:
        """Close the connection; the server rolls back an open transaction."""


@dataclass(eq=False, slots=True)
class Lease:
    """A connection that is in use for one statement or transaction.

    Attributes:
        connection: The leased connection.
        ticket: The granted place in the server's queue.
        opened_for_term: Term for which the connection was opened.
        pool: The pool that the connection returns to.
        is_read: The statement is a read and may be retried on another server.
        is_borrowed: The connection belongs to another node.
        gateway_id: That node's id, or empty.
    """

    connection: PooledConnection
    ticket: Ticket
    opened_for_term: int
    pool: "ServerPool"
    is_read: bool = False
    is_borrowed: bool = False
    gateway_id: str = ""

    @property
    def server_id(self) -> str:
        """Id of the server that the connection leads to."""
        return self.pool.server.server_id

    def release(self, reusable: bool) -> None:
        """Return the connection to its pool, which may close it.

        Args:
            reusable: The last response was complete and no transaction is open.
        """
        self.pool.return_connection(self, reusable)

    def set_running(self, is_running: bool) -> None:
        """Tell the pool that a transaction pauses or goes on.

        Args:
            is_running: Whether a statement runs on the connection.
        """
        self.pool.set_running(self, is_running)


class ServerPool:
    """Opens, leases and closes connections within this node's share.

    Attributes:
        server: The backend server.
        queue: Decides which statement gets the next connection.
        open_count: Connections that are open or being opened.
        allowed: This node's share of the server's connections.
    """

    def __init__(
        self,
        server: BackendServer,
        open_to_server: Callable[[], Awaitable[PooledConnection]],
        clock: Callable[[], float],
    ) -> None:
        """Start empty; `allow` sets the share."""
        self.server = server
        self.queue = ServerQueue(0)
        self.open_count = 0
        self.allowed = 0
        self._open_to_server = open_to_server
        self._clock = clock
        self._reserved = ORDER_CONNECTIONS
        self._growth = ConnectionGrowth()
        self._full_until_s: float | None = None
        self._idle: list[tuple[PooledConnection, int]] = []
        self._leases: set[Lease] = set()
        self._connection_attempts: set[asyncio.Task] = set()
        self._is_closed = False

    def allow(
        self,
        connections: int,
        reserved: int = ORDER_CONNECTIONS,
        resting: int | None = None,
    ) -> None:
        """Set how many connections may be open and close surplus idle ones.

        Args:
            connections: This node's share, connections for orders included.
            reserved: Connections of the share that are kept free for orders.
            resting: Connections that may be open while no statement waits long; None
                for all that are not reserved.
        """
        self.allowed = connections
        self._reserved = reserved
        share = max(0, connections - reserved)
        self._growth.set_share(share, share if resting is None else resting)
        self._apply_capacity()

    def hold_growth(self, until_s: float) -> None:
        """Use no more than the resting connections for a while.

        Args:
            until_s: Local time.
        """
        self._growth.held_until_s = until_s

    def _apply_capacity(self) -> None:
        """Close idle connections beyond the allowed number and grant what it allows."""
        self.queue.capacity = self._growth.capacity
        while self._idle and self.open_count > self.queue.capacity:
            self._close(self._idle.pop()[0])
        self._wake(self.queue.grant_waiting(self._clock()))

    def _grow(self) -> bool:
        """Allow one more connection of the share, unless the server has no room.

        Returns:
            False if no more connections may be opened now.
        """
        if self._full_until_s is not None or not self._growth.grow(self._clock()):
            return False
        self._apply_capacity()
        return True

    async def borrow(
        self,
        customer_id: str,
        queue_limit: int,
        deadline_s: float,
        term: int,
        is_preferred: Callable[[PooledConnection], bool] | None = None,
        kind: WorkKind = ANY_WORK,
    ) -> Lease:
        """Wait in the server's queue and lease a connection.

        Args:
            customer_id: The client account that the statement counts against.
            queue_limit: Statements that the client account may have in the queue.
            deadline_s: Local time after which the statement is refused.
            term: Idle connections of an older term are closed instead of leased; 0
                accepts any, which is enough for reads.
            is_preferred: Returns True for the idle connections that need the least
                preparation; one of these is taken if there is any.
            kind: What the statement is queued as.

        Returns:
            A lease, which must be returned by `release`.

        Raises:
            OverloadedError: The queue refused the statement, or its deadline passed.
            BackendUnreachableError: No connection could be opened.
        """
        while True:
            ticket = Ticket(customer_id, deadline_s, kind)
            await self._wait_for_turn(ticket, queue_limit)
            try:
                entry = self._pop_idle(term, is_preferred)
                if entry is None:
                    entry = (await self._open(), term)
                break
            except BackendUnreachableError as error:
                self._wake(self.queue.release(ticket, self._clock()))
                if not self._handle_full_server(error):
                    raise
            except BaseException:
                self._wake(self.queue.release(ticket, self._clock()))
                raise
        connection, opened_for_term = entry
        lease = Lease(connection, ticket, opened_for_term, self)
        self._leases.add(lease)
        return lease

    def _handle_full_server(self, error: BackendUnreachableError) -> bool:
        """Limit the pool to its open connections if the server has no room for more.

        The server still counts connections of ended processes for some seconds, so that
        fewer connections than the share can be opened.

        Returns:
            True if the statement should wait for one of the open connections.
        """
        if not isinstance(error.__cause__, BackendFullError) or not self.open_count:
            return False
        self._full_until_s = self._clock() + SERVER_FULL_PAUSE_S
        self.queue.capacity = self.open_count
        return True

    def adjust_capacity(self) -> None:
        """Give back what is not needed, and end the pause of a full server.

        The pool opens connections again SERVER_FULL_PAUSE_S after the server was full.
        """
        if self._full_until_s is not None:
            if self._clock() < self._full_until_s:
                return
            self._full_until_s = None
            self._apply_capacity()
        if self._growth.shrink(self.queue.in_use, self._clock()):
            self._apply_capacity()

    async def _wait_for_turn(self, ticket: Ticket, queue_limit: int) -> None:
        refusal = self.queue.offer(ticket, queue_limit, self._clock())
        while refusal is Refusal.DEADLINE and self._grow():
            refusal = self.queue.offer(ticket, queue_limit, self._clock())
        if refusal is not None:
            raise self._overloaded(ticket, refusal.value)
        if ticket.granted_at_s is not None:
            return
        granted = asyncio.get_running_loop().create_future()
        ticket.granted_future = granted
        self._refuse_overtaken(ticket)
        try:
            async with asyncio.timeout(max(0.0, ticket.deadline_s - self._clock())):
                while not granted.done():
                    await asyncio.wait((granted,), timeout=self._growth.mean_open_s)
                    if not granted.done():
                        self._grow()
                await granted
        except TimeoutError:
            self._leave_queue(ticket)
            raise self._overloaded(
                ticket, "the deadline passed while waiting for a connection"
            ) from None
        except asyncio.CancelledError:
            self._leave_queue(ticket)
            raise

    def _refuse_overtaken(self, newcomer: Ticket) -> None:
        """Refuse the tickets that a new one has pushed beyond their deadline."""
        for ticket in self.queue.pop_overtaken(newcomer, self._clock()):
            if ticket.granted_future.done():
                continue
            error = self._overloaded(ticket, Refusal.DEADLINE.value)
            ticket.granted_future.set_exception(error)

    def _leave_queue(self, ticket: Ticket) -> None:
        if self.queue.withdraw(ticket) or ticket.granted_at_s is None:
            return
        self._wake(self.queue.release(ticket, self._clock()))

    def _overloaded(self, ticket: Ticket, reason: str) -> OverloadedError:
        expected_s = self.queue.expected_wait_s(ticket.customer_id, ticket.kind)
        wait_ms = int(expected_s * 1000)
        return OverloadedError(
            f"server {self.server.server_id}: {reason}",
            max(MIN_RETRY_AFTER_MS, wait_ms),
        )

    def _wake(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            if not ticket.granted_future.done():
                ticket.granted_future.set_result(None)

    def _pop_idle(
        self, term: int, is_preferred: Callable[[PooledConnection], bool] | None
    ) -> tuple[PooledConnection, int] | None:
        if is_preferred is not None:
            # Preferred connections are sorted last, because pop() takes the last.
            self._idle.sort(key=lambda entry: is_preferred(entry[0]))
        while self._idle:
            connection, opened_for_term = self._idle.pop()
            if opened_for_term >= term and connection.is_usable:
                return connection, opened_for_term
            self._close(connection)
        return None

    def has_live_connection(self) -> bool:
        """Return whether a connection is open that the server has not closed."""
        return any(connection.is_usable for connection, _ in self._idle) or any(
            lease.connection.is_usable for lease in self._leases
        )

    async def _open(self) -> PooledConnection:
        if self._is_closed:
            raise self._closed_error()
        self.open_count += 1
        started_at_s = self._clock()
        attempt = asyncio.get_running_loop().create_task(self._open_to_server())
        self._connection_attempts.add(attempt)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await asyncio.wait((attempt,))
            if attempt.cancelled():
                raise BackendError(
                    CLOSED_POOL_DETAIL
                    if self._is_closed
                    else "the connection attempt was cancelled because a new term began"
                )
            connection = attempt.result()
            if self._is_closed:
                connection.close()
                raise BackendError(CLOSED_POOL_DETAIL)
            self._growth.note_opened(self._clock() - started_at_s)
            return connection
        except (BackendError, TimeoutError) as error:
            self.open_count -= 1
            attempt.cancel()
            raise BackendUnreachableError(
                f"server {self.server.server_id}: {str(error) or type(error).__name__}",
                200,
            ) from error
        except BaseException:
            self.open_count -= 1
            _discard_attempt(attempt)
            raise
        finally:
            self._connection_attempts.discard(attempt)

    def return_connection(self, lease: Lease, reusable: bool) -> None:
        """End a lease and keep its connection for reuse, or close it.

        Args:
            lease: A lease of this pool; does nothing if it has already ended.
            reusable: The last response was complete and no transaction is open.
        """
        if lease not in self._leases:
            return
        self._leases.discard(lease)
        is_surplus = self.open_count > self.queue.capacity
        is_clean = lease.connection.is_usable and (
            not lease.connection.has_open_transaction
        )
        if reusable and is_clean and not is_surplus:
            self._idle.append((lease.connection, lease.opened_for_term))
        else:
            self._close(lease.connection)
        self._wake(self.queue.release(lease.ticket, self._clock()))

    def set_running(self, lease: Lease, is_running: bool) -> None:
        """Note that the transaction of a lease pauses or goes on.

        Args:
            lease: A lease; does nothing if it has ended.
            is_running: Whether a statement runs on its connection.
        """
        if lease not in self._leases:
            return
        self._wake(self.queue.set_running(lease.ticket, is_running, self._clock()))

    async def warm_up(self, count: int, term: int) -> None:
        """Open idle connections in advance.

        Stops early if the share is used up, statements are waiting or an attempt fails.

        Args:
            count: Number of idle connections of this or a later term to reach.
            term: Term for which they are opened.
        """
        while self._count_idle(term) < count:
            if not self._ensure_room(term):
                return
            ticket = Ticket(WARM_UP_CUSTOMER, self._clock())
            if self.queue.offer(ticket, 0, self._clock()) is not None:
                return
            if ticket.granted_at_s is None:
                self.queue.withdraw(ticket)
                return
            try:
                connection = await self._open()
                self._idle.append((connection, term))
            except BackendUnreachableError:
                return
            finally:
                self._wake(self.queue.release(ticket, self._clock()))

    def _count_idle(self, term: int) -> int:
        return sum(opened_for_term >= term for _, opened_for_term in self._idle)

    def _ensure_room(self, term: int) -> bool:
        """Close an idle connection of an older term if the share is used up.

        Returns:
            True if one more connection may be opened.
        """
        if self.open_count < self.queue.capacity:
            return True
        for entry in self._idle:
            if entry[1] < term:
                self._idle.remove(entry)
                self._close(entry[0])
                return True
        return False

    def close_older_terms(self, term: int) -> None:
        """Close connections of older terms, in use or idle, and cancel all attempts.

        Args:
            term: The oldest term whose connections stay open.
        """
        for connection, opened_for_term in self._idle:
            if opened_for_term < term:
                self._close(connection)
        self._idle = [entry for entry in self._idle if entry[1] >= term]
        for lease in self._leases:
            if lease.opened_for_term < term:
                lease.connection.close()
        for attempt in self._connection_attempts:
            attempt.cancel()

    def close_reads(self) -> None:
        """Close the connections of running reads, which are then retried elsewhere."""
        for lease in self._leases:
            if lease.is_read:
                lease.connection.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._close(self._idle.pop()[0])

    def close(self) -> None:
        """Close all connections, idle or in use, and refuse waiting statements.

        A closed pool opens no connection any more.
        """
        self._is_closed = True
        self.close_idle()
        for lease in self._leases:
            lease.connection.close()
        for attempt in self._connection_attempts:
            attempt.cancel()
        for ticket in self.queue.withdraw_all():
            if ticket.granted_future.done():
                continue
            ticket.granted_future.set_exception(self._closed_error())

    def _closed_error(self) -> BackendUnreachableError:
        return BackendUnreachableError(
            f"server {self.server.server_id}: {CLOSED_POOL_DETAIL}", MIN_RETRY_AFTER_MS
        )

    def _close(self, connection: PooledConnection) -> None:
        self.open_count -= 1
        connection.close()


def _discard_attempt(attempt: asyncio.Task) -> None:
    """Cancel a connection attempt, or close its connection if it just succeeded."""
    if not attempt.done():
        attempt.cancel()
    elif not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()
