"""The steps that reads, writes and transactions share when they use a server.

A step either succeeds, or raises the error that the caller gets, or a RetryableError:
then the statement has certainly not run and may be tried on another server.
"""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from pollencleat.backend.pool import Lease
from pollencleat.core.bounds import is_before
from pollencleat.core.data import Freshness, Position, Route
from pollencleat.core.errors import (
    BackendUnreachableError,
    CallerError,
    FailedError,
    NoReplicaError,
    OverloadedError,
    PollencleatError,
    StatementTimeoutError,
    WritesUnavailableError,
)
from pollencleat.engine.access import RETRY_AFTER_MS, ServerAccess
from pollencleat.engine.exchange import NotSentError
from pollencleat.engine.restore import restore_shape, restore_values
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import (
    ServerFailure,
    ServerLink,
    ServerReply,
    Work,
)
from pollencleat.routing.placement import Target, choose_for_read, choose_primary

MAX_ATTEMPTS = 4
"""Most servers or connections on which one statement is attempted. The next attempt
starts only if the statement has certainly not run; a group has three servers."""

RESTORE_TIMEOUT_S = 0.5
"""Timeout for restoring a session on a connection and for beginning a transaction.
Setting values and preparing statements needs no execution slot on the server."""


@dataclass(slots=True)
class StatementTrace:
    """How a statement was executed, for its log line.

    Attributes:
        server_id: Last server that was chosen, or empty.
        gateway_id: Gateway whose connection was used, or empty.
        at_least: Log position that the server must have applied, or empty.
        term: Group term whose write permit must be valid; 0 if none is needed.
        tries: Attempts, hedged reads included.
        last_failure: Detail of the last failed attempt, or empty.
        may_persist: Whether a write or commit was sent that the server has not refused.
    """

    server_id: str = ""
    gateway_id: str = ""
    at_least: str = ""
    term: int = 0
    tries: int = 0
    last_failure: str = ""
    may_persist: bool = False


class RetryableError(PollencleatError):
    """An attempt failed; the statement may be tried on another server.

    Attributes:
        cause: Error for the caller if no attempt is left.
        may_retry_there: Whether another connection to the same server may be tried.
    """

    def __init__(self, cause: CallerError, may_retry_there: bool = False) -> None:
        """Wrap the error for the caller."""
        super().__init__(cause.detail)
        self.cause = cause
        self.may_retry_there = may_retry_there


class StatementSteps:
    """Steps of the statements of one session.

    Attributes:
        access: The node's connections to backend servers.
        session: State of the session.
        trace: How the current statement is executed.
    """

    def __init__(self, access: ServerAccess, session: SessionState) -> None:
        """Create the steps of a session."""
        self.access = access
        self.session = session
        self.trace = StatementTrace()

    def choose_target(self, route: Route, is_read: bool, excluded: set[str]) -> Target:
        """Return the server for the next attempt.

        Args:
            route: Route of the statement.
            is_read: Whether a replica may run it.
            excluded: Ids of servers that were already tried.

        Returns:
            The server, also noted in the trace.

        Raises:
            NoReplicaError: No server can run the read.
            WritesUnavailableError: No primary can run the write.
            DrainingError: The node has stopped.
        """
        self.access.require_not_stopped()
        self.trace.tries += 1
        if is_read:
            target = self.find_read_target(route, excluded)
        else:
            target = choose_primary(
                self.access.board, route.group_id, excluded, self.access.clock()
            )
        if target is None or target.server_id not in self.access.pools.pools_by_server:
            reason = self.access.why_not_writable(route.group_id)
            if self.trace.last_failure:
                reason = self.trace.last_failure
            kind = NoReplicaError if is_read else WritesUnavailableError
            raise kind(reason, RETRY_AFTER_MS)
        self.trace_target(target)
        return target

    def trace_target(self, target: Target) -> None:
        """Note the server in the trace."""
        self.trace.server_id = target.server_id
        self.trace.at_least = str(target.at_least or "")
        self.trace.term = target.term.term if target.term is not None else 0

    def find_read_target(self, route: Route, excluded: set[str]) -> Target | None:
        """Return the server for a read, or None if no server is known to qualify."""
        now_s = self.access.clock()
        if route.freshness is not Freshness.PRIMARY:
            self.access.board.bound_wanted_at_s[route.group_id] = now_s
        return choose_for_read(
            self.access.board,
            route,
            self.session.seen_by_group.get(route.group_id),
            self.access.pools.outstanding,
            excluded,
            now_s,
        )

    def require_attempts_left(self, error: CallerError) -> None:
        """Note a failed attempt; raise its error if no attempt is left."""
        self.trace.last_failure = error.detail
        if self.trace.tries >= MAX_ATTEMPTS:
            raise error

    async def borrow(self, target: Target, route: Route, is_read: bool) -> Lease:
        """Borrow a connection to a server.

        A read from the primary first waits until the server has confirmed that it is
        the primary.

        Args:
            target: The server.
            route: Route of the statement.
            is_read: Whether nothing will be written on the connection.

        Returns:
            The lease, which the caller of this method must release.

        Raises:
            RetryableError: No connection was available, or the primary's role was not
                confirmed in time.
        """
        try:
            lease = await self.access.borrow(target, route, self.session, is_read)
        except (BackendUnreachableError, OverloadedError) as error:
            raise RetryableError(error) from error
        self.trace.gateway_id = lease.gateway_id
        if not is_read or target.term is None:
            return lease
        if lease.is_borrowed:
            # The gateway confirmed the primary before it leased the connection.
            self.access.note_primary_confirmed(target.term, lease.requested_at_s)
            return lease
        is_confirmed = False
        try:
            is_confirmed = await self.access.wait_until_confirmed(target.term)
        finally:
            if not is_confirmed:
                lease.release(True)
        if not is_confirmed:
            detail = f"{target.server_id}: does not confirm that it leads"
            raise RetryableError(NoReplicaError(detail, RETRY_AFTER_MS))
        return lease

    async def restore_session(self, lease: Lease, work: Work | None) -> str:
        """Restore the session's values, and a prepared statement if one is needed.

        Returns:
            The connection's name of the prepared statement, or empty.
        """

        async def await_reply(request: Awaitable[ServerReply]) -> ServerReply:
            return await self.track(lease, request)

        link: ServerLink = lease.connection
        async with asyncio.timeout(RESTORE_TIMEOUT_S):
            await restore_values(link, self.session, await_reply)
            if work is None or not work.prepared_name:
                return ""
            shape = self.session.shapes_by_name[work.prepared_name]
            return await restore_shape(link, shape, await_reply)

    async def restore_and_run(
        self,
        lease: Lease,
        work: Work,
        at_least: Position | None,
        limit_s: float,
        route: Route,
    ) -> ServerReply:
        """Restore the session on a connection and run a read or write there."""
        name = await self.restore_session(lease, work)
        return await self.await_reply(
            lease, lease.connection.run(work, name, at_least), limit_s, route
        )

    async def await_reply(
        self,
        lease: Lease,
        request: Awaitable[ServerReply],
        limit_s: float,
        route: Route,
    ) -> ServerReply:
        """Wait for a reply and record the server's log position from it."""
        server_id = lease.server_id
        sent_at_s = self.access.clock()
        async with asyncio.timeout(max(0.0, limit_s)):
            reply = await self.track(lease, request)
        self.access.note_position(server_id, reply, sent_at_s, route.group_id)
        return reply

    async def track(self, lease: Lease, request: Awaitable[ServerReply]) -> ServerReply:
        """Wait for a reply and track whether the server responds.

        Requests on a gateway's connection are tracked by the gateway.
        """
        if lease.is_borrowed:
            return await request
        return await self.access.track(lease.server_id, request)

    def caller_error(self, target: Target, reply: ServerReply) -> CallerError:
        """Return the caller's error for a reply that reports a failure."""
        detail = f"{target.server_id}: {reply.failure}: {reply.detail}"
        if reply.failure is ServerFailure.READ_ONLY:
            self.access.request_probe(target.server_id)
            return WritesUnavailableError(detail, RETRY_AFTER_MS)
        if reply.failure is ServerFailure.BUSY:
            return OverloadedError(detail, RETRY_AFTER_MS)
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        if reply.failure is ServerFailure.TIMED_OUT:
            return StatementTimeoutError(detail)
        if reply.failure is ServerFailure.BEHIND:
            detail += f", at {reply.position}"
        return NoReplicaError(detail, RETRY_AFTER_MS)

    def require_current_log(
        self,
        target: Target,
        reply: ServerReply,
        known_position: Position | None,
        route: Route,
    ) -> None:
        """Raise if a primary's reply may come from an outdated log.

        Such a reply is valid only while this node holds a write permit for the same
        term. Its log position must not be below the one that was known before the
        request was sent; otherwise the server has lost part of its log.

        Args:
            target: The server; nothing is checked if it was not chosen as the primary.
            reply: Its reply.
            known_position: Newest position of the primary that was known when the
                request was sent.
            route: Route of the statement.

        Raises:
            RetryableError: The reply must not be used.
        """
        if target.term is None:
            return
        if not self.access.is_still_writable(target.term):
            raise RetryableError(
                WritesUnavailableError(
                    self.access.why_not_writable(route.group_id), RETRY_AFTER_MS
                )
            )
        if known_position is None:
            return
        if reply.position is None or is_before(reply.position, known_position):
            self.access.request_probe(target.server_id)
            detail = f"{target.server_id}: log position is behind an earlier one"
            raise RetryableError(NoReplicaError(detail, RETRY_AFTER_MS))


def unreachable_error(target: Target, error: Exception) -> RetryableError:
    """Return the error for a server that failed before the statement was sent."""
    reason = f"{target.server_id}: {describe_error(error)}"
    may_retry_there = isinstance(error, NotSentError)
    return RetryableError(
        BackendUnreachableError(reason, RETRY_AFTER_MS), may_retry_there
    )


def describe_error(error: Exception) -> str:
    """Return the error's text, or its class name if it has none."""
    return str(error) or type(error).__name__
