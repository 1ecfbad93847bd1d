"""The connections of this node to one backend server.

A connection serves one transaction at a time.  It goes back to the pool only after a
complete answer with no transaction open; in every other case it is closed, so that a
late answer has nobody to reach.
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
from pollencleat.limits.queue import ServerQueue, Ticket
from pollencleat.limits.shares import ORDER_CONNECTIONS

FULL_PAUSE_S = 1.0
"""Time for which no connection is opened to a server that had no room for one."""

OPEN_TIMEOUT_S = 2.0
MIN_RETRY_AFTER_MS = 20
ANY_TERM = 0
"""Term for reads: what they may see is judged by position and age, not by term."""

WARM_UP_CUSTOMER = ""


@dataclass(frozen=True, slots=True)
class Credentials:
    """How the proxy logs in to backend servers."""

    user: str
    password: str


class PooledConnection(Protocol):
    """What a pool needs to know of a connection, whatever protocol it speaks."""

    @property
    def is_usable(self) -> bool:
        """Whether nothing speaks against lending it."""

    @property
    def has_open_transaction(self) -> bool:
        """Whether the server holds a transaction open on it."""

    def close(self) -> None:
        """Close it; the server rolls back what is open."""


@dataclass(eq=False, slots=True)
class Lease:
    """A connection lent for one statement or transaction.

    Attributes:
        opened_for_term: Term that the connection belongs to.
        is_read: The statement may be asked again elsewhere.
        is_borrowed: Another node's connection.
        gateway_id: That node, or empty.
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
        """The server that it is connected to."""
        return self.pool.server.server_id

    def give_back(self, reusable: bool) -> None:
        """Return the connection, or close it.

        Args:
            reusable: The last answer was complete and no transaction is open.
        """
        self.pool.take_back(self, reusable)


class ServerPool:
    """Opens, lends and closes connections, never more than allowed."""

    def __init__(
        self,
        server: BackendServer,
        open_to_server: Callable[[], Awaitable[PooledConnection]],
        clock: Callable[[], float],
    ) -> None:
        """Start empty, with no connection allowed."""
        self.server = server
        self.queue = ServerQueue(0)
        self.open_count = 0
        self.allowed = 0
        self._open_to_server = open_to_server
        self._clock = clock
        self._reserved = ORDER_CONNECTIONS
        self._full_until_s: float | None = None
        self._idle: list[tuple[PooledConnection, int]] = []
        self._leases: set[Lease] = set()
        self._openings: set[asyncio.Task] = set()

    def allow(self, connections: int, reserved: int = ORDER_CONNECTIONS) -> None:
        """Set how many connections may be open, those for orders included.

        Args:
            connections: This node's share.
            reserved: Connections of the share that are not lent.
        """
        self.allowed = connections
        self._reserved = reserved
        self.queue.capacity = max(0, connections - reserved)
        while self._idle and self.open_count > self.queue.capacity:
            self._close(self._idle.pop()[0])
        self._wake(self.queue.grant_waiting(self._clock()))

    async def borrow(
        self,
        customer_id: str,
        queue_limit: int,
        deadline_s: float,
        term: int,
        suits: Callable[[PooledConnection], bool] | None = None,
    ) -> Lease:
        """Wait for a turn and lend a connection.

        Args:
            customer_id: Who pays for the turn.
            queue_limit: Statements that the customer may have waiting.
            deadline_s: Local time after which the statement is refused.
            term: Connections of an older term are closed instead of lent; 0 lends any,
                which is enough for reads.
            suits: Tells which idle connection needs the least preparation.

        Returns:
            A lease that must be given back.

        Raises:
            OverloadedError: The wait would be, or was, too long.
            BackendUnreachableError: No connection could be opened.
        """
        while True:
            ticket = Ticket(customer_id, deadline_s)
            await self._take_turn(ticket, queue_limit)
            try:
                entry = self._pop_idle(term, suits)
                if entry is None:
                    entry = (await self._open(), term)
                break
            except BackendUnreachableError as error:
                self._wake(self.queue.release(ticket, self._clock()))
                if not self._is_full(error):
                    raise
            except BaseException:
                self._wake(self.queue.release(ticket, self._clock()))
                raise
        connection, opened_for_term = entry
        lease = Lease(connection, ticket, opened_for_term, self)
        self._leases.add(lease)
        return lease

    def _is_full(self, error: BackendUnreachableError) -> bool:
        """Return whether to wait for a connection that is open already.

        Connections of processes that ended stay at the server for some seconds, so that
        fewer than the share can be opened.
        """
        if not isinstance(error.__cause__, BackendFullError) or not self.open_count:
            return False
        self._full_until_s = self._clock() + FULL_PAUSE_S
        self.queue.capacity = self.open_count
        return True

    def recover(self) -> None:
        """Open connections up to the share again, a while after the server was full."""
        if self._full_until_s is None or self._clock() < self._full_until_s:
            return
        self._full_until_s = None
        self.allow(self.allowed, self._reserved)

    async def _take_turn(self, ticket: Ticket, queue_limit: int) -> None:
        refusal = self.queue.offer(ticket, queue_limit, self._clock())
        if refusal is not None:
            raise self._overloaded(ticket, refusal.value)
        if ticket.granted_at_s is not None:
            return
        future = asyncio.get_running_loop().create_future()
        ticket.settle = future
        try:
            async with asyncio.timeout(max(0.0, ticket.deadline_s - self._clock())):
                await future
        except TimeoutError:
            self._leave_queue(ticket)
            raise self._overloaded(ticket, "the deadline passed") from None
        except asyncio.CancelledError:
            self._leave_queue(ticket)
            raise

    def _leave_queue(self, ticket: Ticket) -> None:
        if self.queue.withdraw(ticket) or ticket.granted_at_s is None:
            return
        self._wake(self.queue.release(ticket, self._clock()))

    def _overloaded(self, ticket: Ticket, reason: str) -> OverloadedError:
        wait_ms = int(self.queue.expected_wait_s(ticket.customer_id) * 1000)
        return OverloadedError(
            f"server {self.server.server_id}: {reason}",
            max(MIN_RETRY_AFTER_MS, wait_ms),
        )

    def _wake(self, tickets: list[Ticket]) -> None:
        for ticket in tickets:
            if not ticket.settle.done():
                ticket.settle.set_result(None)

    def _pop_idle(
        self, term: int, suits: Callable[[PooledConnection], bool] | None
    ) -> tuple[PooledConnection, int] | None:
        if suits is not None:
            # The last one is taken first.
            self._idle.sort(key=lambda entry: suits(entry[0]))
        while self._idle:
            connection, opened_for_term = self._idle.pop()
            if opened_for_term >= term and connection.is_usable:
                return connection, opened_for_term
            self._close(connection)
        return None

    def has_live_connection(self) -> bool:
        """Return whether a connection is open that its server has not ended."""
        return any(connection.is_usable for connection, _ in self._idle) or any(
            lease.connection.is_usable for lease in self._leases
        )

    async def _open(self) -> PooledConnection:
        self.open_count += 1
        opening = asyncio.get_running_loop().create_task(self._open_to_server())
        self._openings.add(opening)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                await asyncio.wait((opening,))
            if opening.cancelled():
                raise BackendError("the opening was given up")
            return opening.result()
        except (BackendError, TimeoutError) as error:
            self.open_count -= 1
            opening.cancel()
            raise BackendUnreachableError(
                f"server {self.server.server_id}: {str(error) or type(error).__name__}",
                200,
            ) from error
        except BaseException:
            self.open_count -= 1
            _give_up(opening)
            raise
        finally:
            self._openings.discard(opening)

    def take_back(self, lease: Lease, reusable: bool) -> None:
        """Take a connection back from a lease.

        Args:
            lease: A lease of this pool; a second return does nothing.
            reusable: Whether the connection may be lent again.
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

    async def warm_up(self, count: int, term: int) -> None:
        """Open idle connections ahead of need.

        Args:
            count: Idle connections wanted.
            term: Term that they belong to.
        """
        while self._count_idle(term) < count:
            if not self._make_room(term):
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

    def _make_room(self, term: int) -> bool:
        """Close an idle connection of an older term if the share is used up."""
        if self.open_count < self.queue.capacity:
            return True
        for entry in self._idle:
            if entry[1] < term:
                self._idle.remove(entry)
                self._close(entry[0])
                return True
        return False

    def end_older_terms(self, term: int) -> None:
        """Close every connection of an older term, also those in use or being opened.

        Args:
            term: The first term that stays.
        """
        for connection, opened_for_term in self._idle:
            if opened_for_term < term:
                self._close(connection)
        self._idle = [entry for entry in self._idle if entry[1] >= term]
        for lease in self._leases:
            if lease.opened_for_term < term:
                lease.connection.close()
        for opening in self._openings:
            opening.cancel()

    def end_reads(self) -> None:
        """Close the connections of reads in use, which are then asked elsewhere."""
        for lease in self._leases:
            if lease.is_read:
                lease.connection.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._close(self._idle.pop()[0])

    def close(self) -> None:
        """Close everything, also connections in use."""
        self.close_idle()
        for lease in self._leases:
            lease.connection.close()

    def _close(self, connection: PooledConnection) -> None:
        self.open_count -= 1
        connection.close()


def _give_up(opening: asyncio.Task) -> None:
    """Cancel an opening, or close what it opened at the same moment."""
    if not opening.done():
        opening.cancel()
    elif not opening.cancelled() and opening.exception() is None:
        opening.result().close()
