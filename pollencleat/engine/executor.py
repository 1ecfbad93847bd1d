"""Executes the statements of one session on backend servers.

Every statement ends with an answer or raises a CallerError that states the outcome
correctly: after a NotRunError, no change of the statement or its transaction persists.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from pollencleat.backend.pool import Lease
from pollencleat.core.bounds import is_before
from pollencleat.core.data import Freshness, Position, Route
from pollencleat.core.errors import (
    BackendError,
    BackendLostError,
    BackendUnreachableError,
    CallerError,
    FailedError,
    MalformedStatementError,
    NoReplicaError,
    OverloadedError,
    PollencleatError,
    StatementTimeoutError,
    TransactionLostError,
    UnknownNameError,
    UnknownOutcomeError,
    WritesUnavailableError,
)
from pollencleat.engine.access import RETRY_AFTER_MS, GatewayRead, ServerAccess
from pollencleat.engine.hedging import run_hedged
from pollencleat.engine.restore import restore_shape, restore_values
from pollencleat.engine.session import OpenTransaction, SessionState
from pollencleat.engine.statements import (
    NOT_RUN_FAILURES,
    Access,
    Answer,
    Begin,
    Commit,
    Forget,
    Prepare,
    Rollback,
    ServerFailure,
    ServerLink,
    ServerReply,
    SetValue,
    Statement,
    Work,
)
from pollencleat.limits.hedging import compute_hedge_delay_s
from pollencleat.routing.placement import Target, choose_for_read, choose_primary

MAX_ATTEMPTS = 4
"""Most servers or connections on which one statement is attempted. The next attempt
starts only if the statement has certainly not run; a group has three servers."""

RESTORE_TIMEOUT_S = 0.5
"""Timeout for restoring a session on a connection and for beginning a transaction.
Setting values and preparing statements needs no execution slot on the server."""

ROLLBACK_TIMEOUT_S = 1.0
"""Timeout for a rollback; the connection is closed when it expires."""

log = structlog.get_logger()
_handlers_by_type: dict[type, Callable] = {}


def executes(statement_type: type) -> Callable[[Callable], Callable]:
    """Return a decorator that registers the handler of a statement type.

    Args:
        statement_type: Class of the statements that the decorated method executes.

    Returns:
        The decorator; it returns the method unchanged.
    """

    def register(function: Callable) -> Callable:
        _handlers_by_type[statement_type] = function
        return function

    return register


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
    """

    server_id: str = ""
    gateway_id: str = ""
    at_least: str = ""
    term: int = 0
    tries: int = 0
    last_failure: str = ""


class SessionExecutor:
    """Executes the statements of one session, one at a time."""

    def __init__(self, access: ServerAccess, session: SessionState) -> None:
        """Create an executor.

        Args:
            access: The node's connections to backend servers.
            session: State of the session; the executor changes it.
        """
        self.access = access
        self.session = session
        self._trace = StatementTrace()

    async def execute(self, statement: Statement) -> Answer:
        """Execute a statement.

        Args:
            statement: A statement of the session's caller.

        Returns:
            The answer.

        Raises:
            CallerError: The statement failed; the error states its outcome. An open
                transaction is marked as failed.
        """
        started_s = self.access.clock()
        self._trace = StatementTrace()
        try:
            answer = await _handlers_by_type[type(statement)](self, statement)
        except CallerError as error:
            await self._fail_transaction(error)
            self._log(statement, started_s, error)
            raise
        self._log(statement, started_s, None)
        return answer

    def _log(
        self, statement: Statement, started_s: float, error: CallerError | None
    ) -> None:
        duration_ms = (self.access.clock() - started_s) * 1000
        action = type(statement).__name__.lower()
        self.access.metrics.record_duration(action, duration_ms)
        outcome = "ok" if error is None else type(error).__name__
        self.access.metrics.count("statement", f"{action} {outcome}")
        trace = self._trace
        if error is None and not trace.server_id:
            return
        log.info(
            "statement" if error is None else "statement failed",
            request=statement.request_id,
            database=self.session.database,
            action=action,
            server=trace.server_id,
            gateway=trace.gateway_id,
            at_least=trace.at_least,
            term=trace.term,
            permit_age_ms=round(
                (self.access.clock() - self.access.board.fleet_confirmed_at_s) * 1000
            ),
            inventory=self.access.board.inventory.version,
            tries=trace.tries,
            last_failure=trace.last_failure,
            ms=round(duration_ms, 1),
            outcome=outcome,
            detail="" if error is None else error.detail,
        )

    @property
    def is_in_transaction(self) -> bool:
        """Whether the session has an open transaction."""
        return self.session.transaction is not None

    @property
    def has_failed(self) -> bool:
        """Whether the open transaction has failed and must be ended by the caller."""
        transaction = self.session.transaction
        return transaction is not None and bool(transaction.failure)

    # Statements that only change the session state.

    @executes(SetValue)
    async def _set_value(self, statement: SetValue) -> Answer:
        self._require_no_failed_transaction()
        self.session.values[statement.name] = statement.value
        return Answer()

    @executes(Prepare)
    async def _prepare(self, statement: Prepare) -> Answer:
        self._require_no_failed_transaction()
        self.session.shapes_by_name[statement.name] = statement.shape
        return Answer()

    @executes(Forget)
    async def _forget(self, statement: Forget) -> Answer:
        self._require_no_failed_transaction()
        if self.session.shapes_by_name.pop(statement.name, None) is None:
            raise UnknownNameError(f"no prepared statement {statement.name!r}")
        return Answer()

    # Transactions.

    @executes(Begin)
    async def _begin(self, statement: Begin) -> Answer:
        if self.session.transaction is not None:
            raise MalformedStatementError("a transaction is already open")
        route = self.access.route_of(self.session.database)
        now_s = self.access.clock()
        if not statement.read_only:
            # Report a missing primary now, not at the first write. The server
            # connection is acquired with the first statement that needs one.
            self.access.require_writable(route.group_id)
        self.session.transaction = OpenTransaction(
            statement, route, now_s, last_used_at_s=now_s
        )
        return Answer()

    @executes(Commit)
    async def _commit(self, statement: Commit) -> Answer:
        transaction = self.session.transaction
        if transaction is None:
            raise MalformedStatementError("no transaction is open")
        if transaction.failure:
            await self._end_transaction()
            raise TransactionLostError(
                f"transaction was rolled back: {transaction.failure}"
            )
        try:
            if transaction.lease is None:
                await self._begin_on_server(transaction)
            return await self._commit_on_server(transaction, statement)
        finally:
            await self._end_transaction()

    async def _commit_on_server(
        self, transaction: OpenTransaction, statement: Commit
    ) -> Answer:
        term = transaction.term
        if transaction.has_written and not self.access.is_still_writable(term):
            raise TransactionLostError("the write permit lapsed before the commit")
        lease = transaction.lease
        limit_s = transaction.route.statement_limit_ms / 1000
        try:
            reply = await self._await_reply(
                lease, lease.connection.commit(statement), limit_s, transaction.route
            )
        except (BackendLostError, TimeoutError) as error:
            if transaction.has_written:
                raise UnknownOutcomeError(
                    f"no answer to the commit: {describe_error(error)}"
                ) from error
            raise TransactionLostError(
                f"no answer to the commit: {describe_error(error)}"
            ) from error
        if reply.failure is not None:
            raise self._commit_error(transaction, reply)
        transaction.lease = None
        lease.release(True)
        if not transaction.has_written:
            return Answer(reply.rows, reply.receipt, reply.position)
        if not self.access.is_still_writable(term):
            raise UnknownOutcomeError("the write permit lapsed before the answer")
        self.session.note_commit(transaction.route.group_id, reply.position)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _commit_error(
        self, transaction: OpenTransaction, reply: ServerReply
    ) -> CallerError:
        detail = f"commit failed: {reply.failure}: {reply.detail}"
        self._trace.last_failure = detail
        if not transaction.has_written or reply.failure in NOT_RUN_FAILURES:
            return TransactionLostError(detail)
        return UnknownOutcomeError(detail)

    @executes(Rollback)
    async def _roll_back(self, statement: Rollback) -> Answer:
        await self._end_transaction()
        return Answer()

    def _require_no_failed_transaction(self) -> None:
        """Raise if the open transaction has failed and must be ended first."""
        if self.has_failed:
            raise MalformedStatementError(
                f"the transaction has failed: {self.session.transaction.failure}"
            )

    async def _fail_transaction(self, error: CallerError) -> None:
        """Mark the open transaction as failed, roll back and release its connection.

        The caller still has to end it with a commit or rollback.
        """
        transaction = self.session.transaction
        if transaction is None:
            return
        transaction.failure = transaction.failure or error.detail
        await self._release_connection(transaction)

    async def _end_transaction(self) -> None:
        transaction = self.session.transaction
        if transaction is None:
            return
        self.session.transaction = None
        await self._release_connection(transaction)

    async def _release_connection(self, transaction: OpenTransaction) -> None:
        """Roll back and return the connection to its pool.

        If the rollback fails, the connection is closed; the server then rolls back.
        """
        lease, transaction.lease = transaction.lease, None
        if lease is None:
            return
        reusable = False
        try:
            if lease.connection.is_usable:
                async with asyncio.timeout(ROLLBACK_TIMEOUT_S):
                    reply = await lease.connection.roll_back()
                reusable = reply.failure is None and not reply.in_transaction
        except (BackendError, TimeoutError):
            self.access.metrics.count("rollback_by_close")
        finally:
            lease.release(reusable)

    async def end_idle_transaction(self, now_s: float) -> None:
        """Fail the open transaction if it exceeded the idle timeout.

        Its connection is released. Does nothing if no connection is held or the timeout
        is 0.

        Args:
            now_s: Local time in seconds.
        """
        transaction = self.session.transaction
        limit_ms = self.access.board.inventory.rules.transaction_idle_ms
        if transaction is None or transaction.lease is None or not limit_ms:
            return
        if now_s - transaction.last_used_at_s < limit_ms / 1000:
            return
        self.access.metrics.count("transaction_idle")
        await self._fail_transaction(TransactionLostError("idle timeout exceeded"))

    async def close(self) -> None:
        """End the session and roll back its open transaction."""
        await self._end_transaction()

    # Reads and writes.

    @executes(Work)
    async def _run_work(self, work: Work) -> Answer:
        self._require_no_failed_transaction()
        access = work.access
        if work.prepared_name:
            shape = self.session.shapes_by_name.get(work.prepared_name)
            if shape is None:
                raise UnknownNameError(f"no prepared statement {work.prepared_name!r}")
            access = shape.access
        transaction = self.session.transaction
        if transaction is not None:
            return await self._run_in_transaction(transaction, work, access)
        route = self.access.route_of(self.session.database)
        if access is Access.WRITE:
            return await self._run_write(route, work)
        return await self._run_read(route, work)

    async def _run_in_transaction(
        self, transaction: OpenTransaction, work: Work, access: Access
    ) -> Answer:
        if access is Access.WRITE and transaction.read_only:
            raise MalformedStatementError("write in a read-only transaction")
        transaction.last_used_at_s = self.access.clock()
        if transaction.lease is None:
            await self._begin_on_server(transaction)
        lease = transaction.lease
        term = transaction.term
        if access is Access.WRITE:
            if not self.access.is_still_writable(term):
                raise TransactionLostError("the write permit lapsed")
            transaction.has_written = True
        limit_s = transaction.route.statement_limit_ms / 1000
        lease.set_running(True)
        try:
            reply = await self._restore_and_run(
                lease, work, None, limit_s, transaction.route
            )
        except (BackendError, TimeoutError) as error:
            raise TransactionLostError(
                f"connection lost: {describe_error(error)}"
            ) from error
        finally:
            lease.set_running(False)
        transaction.last_used_at_s = self.access.clock()
        if reply.failure is not None:
            raise self._transaction_error(reply)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _transaction_error(self, reply: ServerReply) -> CallerError:
        detail = f"{reply.failure}: {reply.detail}"
        self._trace.last_failure = detail
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        return TransactionLostError(detail)

    async def _begin_on_server(self, transaction: OpenTransaction) -> None:
        """Begin the transaction on a server, trying others if one fails.

        This is safe to repeat: the caller has not received any result yet.
        """
        excluded: set[str] = set()
        route = transaction.route
        while True:
            target = self._choose_target(route, transaction.read_only, excluded)
            try:
                lease = await self._borrow(target, route, transaction.read_only)
                await self._begin_on_connection(lease, target, transaction)
                return
            except _RetryableError as error:
                excluded.add(target.server_id)
                self._require_attempts_left(error.cause)

    async def _begin_on_connection(
        self, lease: Lease, target: Target, transaction: OpenTransaction
    ) -> None:
        link: ServerLink = lease.connection
        known_position = self.access.newest_position(target.term)
        sent_at_s = self.access.clock()
        try:
            await self._restore_session(lease, None)
            reply = await self._await_reply(
                lease,
                link.begin(transaction.begin, target.at_least),
                RESTORE_TIMEOUT_S,
                transaction.route,
            )
        except (BackendError, TimeoutError) as error:
            lease.release(False)
            raise _unreachable_error(target, error) from error
        except BaseException:
            lease.release(False)
            raise
        if reply.failure is not None:
            lease.release(not reply.in_transaction)
            raise _RetryableError(self._caller_error(target, reply))
        try:
            self._require_current_log(target, reply, known_position, transaction.route)
        except _RetryableError:
            lease.release(False)
            raise
        if not transaction.read_only:
            self.access.note_primary_confirmed(target.term, sent_at_s)
        transaction.lease = lease
        transaction.term = target.term

    async def _run_write(self, route: Route, work: Work) -> Answer:
        """Run a write outside a transaction.

        It is retried on another connection while it has certainly not run.
        """
        excluded: set[str] = set()
        deadline_s = self.access.clock() + route.statement_limit_ms / 1000
        while True:
            target = self._choose_target(route, False, excluded)
            try:
                lease = await self._borrow(target, route, False)
                return await self._write_on_connection(
                    lease, target, route, work, deadline_s
                )
            except _RetryableError as error:
                excluded.add(target.server_id)
                self._require_attempts_left(error.cause)

    async def _run_read(self, route: Route, work: Work) -> Answer:
        """Run a read outside a transaction, retrying and hedging on other servers."""
        self.access.hedge_budget.record_attempt()
        deadline_s = self.access.clock() + route.statement_limit_ms / 1000
        read = _Read(route, work, deadline_s, set())
        while True:
            target = self._choose_target(route, True, read.tried_servers)
            read.tried_servers.add(target.server_id)
            try:
                return await self._read_with_hedging(read, target)
            except _RetryableError as error:
                self._require_attempts_left(error.cause)

    async def _read_with_hedging(self, read: "_Read", target: Target) -> Answer:
        """Read from a server; if it is slow, send the read to another one as well."""

        def start_hedge() -> asyncio.Task[Answer] | None:
            other = self._find_hedge_target(read)
            if other is None:
                return None
            self.access.metrics.count("read_asked_again", target.server_id)
            reading = self._read_from_hedge_target(read, other, target)
            return asyncio.get_running_loop().create_task(reading)

        hedge_delay_s = compute_hedge_delay_s(
            read.route.latency_objective_ms / 1000,
            read.deadline_s - self.access.clock(),
        )
        reading = self._read_from(read, target)
        return await run_hedged(reading, hedge_delay_s, start_hedge)

    def _find_hedge_target(self, read: "_Read") -> Target | None:
        """Return a further server for a slow read, or None.

        None if no server qualifies, the attempts are used up, or the hedge budget is
        spent.
        """
        if self._trace.tries >= MAX_ATTEMPTS:
            return None
        other = self._find_read_target(read.route, read.tried_servers)
        if other is None or other.server_id not in self.access.pools.pools_by_server:
            return None
        if not self.access.hedge_budget.take():
            return None
        read.tried_servers.add(other.server_id)
        self._trace.tries += 1
        return other

    async def _read_from_hedge_target(
        self, read: "_Read", target: Target, slow_target: Target
    ) -> Answer:
        answer = await self._read_with_hedging(read, target)
        if self.access.uses_gateways(slow_target.server_id):
            self.access.note_gateway_read(slow_target.server_id, False)
        return answer

    async def _read_from(self, read: "_Read", target: Target) -> Answer:
        if self.access.uses_gateways(target.server_id):
            answer = await self._read_through_gateway(read, target)
        else:
            lease = await self._borrow(target, read.route, True)
            answer = await self._read_on_connection(lease, read, target)
        self._trace_target(target)
        return answer

    async def _read_on_connection(
        self, lease: Lease, read: "_Read", target: Target
    ) -> Answer:
        route = read.route
        lease.is_read = True
        reusable = False
        known_position = self.access.newest_position(target.term)
        limit_s = read.deadline_s - self.access.clock()
        try:
            reply = await self._restore_and_run(
                lease, read.work, target.at_least, limit_s, route
            )
            reusable = not reply.in_transaction
        except TimeoutError as error:
            raise StatementTimeoutError(
                f"{target.server_id} did not answer in time"
            ) from error
        except BackendError as error:
            raise _RetryableError(
                NoReplicaError(
                    f"{target.server_id}: {describe_error(error)}", RETRY_AFTER_MS
                )
            ) from error
        finally:
            lease.release(reusable)
        return self._answer_to_read(target, reply, known_position, route)

    async def _read_through_gateway(self, read: "_Read", target: Target) -> Answer:
        route, work, deadline_s = read.route, read.work, read.deadline_s
        known_position = self.access.newest_position(target.term)
        shape = None
        if work.prepared_name:
            shape = self.session.shapes_by_name[work.prepared_name]
        connection_request = self.access.make_connection_request(
            target, route, self.session, True
        )
        call = GatewayRead(work, shape, target.at_least)
        sent_at_s = self.access.clock()
        try:
            result = await self.access.gateways.read(
                connection_request, call, deadline_s - sent_at_s
            )
        except (OverloadedError, BackendUnreachableError) as error:
            if self.access.clock() >= deadline_s:
                self.access.note_gateway_read(target.server_id, False)
                raise StatementTimeoutError(error.detail) from error
            raise _RetryableError(error) from error
        except BackendError as error:
            self.access.note_gateway_read(target.server_id, False)
            raise _RetryableError(
                NoReplicaError(
                    f"{target.server_id}: {describe_error(error)}", RETRY_AFTER_MS
                )
            ) from error
        reply = result.reply
        self._trace.gateway_id = result.gateway_id
        self.access.note_gateway_read(target.server_id, True)
        if target.term is not None:
            # The gateway confirmed the primary before it sent the read.
            self.access.note_primary_confirmed(target.term, sent_at_s)
        self.access.note_position(target.server_id, reply, sent_at_s, route.group_id)
        return self._answer_to_read(target, reply, known_position, route)

    def _answer_to_read(
        self,
        target: Target,
        reply: ServerReply,
        known_position: Position | None,
        route: Route,
    ) -> Answer:
        if reply.failure is not None:
            raise _RetryableError(self._caller_error(target, reply))
        self._require_current_log(target, reply, known_position, route)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _require_current_log(
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
            _RetryableError: The reply must not be used.
        """
        if target.term is None:
            return
        if not self.access.is_still_writable(target.term):
            raise _RetryableError(
                WritesUnavailableError(
                    self.access.why_not_writable(route.group_id), RETRY_AFTER_MS
                )
            )
        if known_position is None:
            return
        if reply.position is None or is_before(reply.position, known_position):
            self.access.request_probe(target.server_id)
            detail = f"{target.server_id}: log position is behind an earlier one"
            raise _RetryableError(NoReplicaError(detail, RETRY_AFTER_MS))

    async def _write_on_connection(
        self, lease: Lease, target: Target, route: Route, work: Work, deadline_s: float
    ) -> Answer:
        term = target.term
        try:
            name = await self._restore_session(lease, work)
        except (BackendError, TimeoutError) as error:
            lease.release(False)
            raise _unreachable_error(target, error) from error
        except BaseException:
            lease.release(False)
            raise
        if not self.access.is_still_writable(term):
            lease.release(True)
            raise WritesUnavailableError(
                self.access.why_not_writable(route.group_id), RETRY_AFTER_MS
            )
        reusable = False
        sent_at_s = self.access.clock()
        try:
            reply = await self._await_reply(
                lease,
                lease.connection.run(work, name, None),
                deadline_s - self.access.clock(),
                route,
            )
            reusable = not reply.in_transaction
        except (BackendError, TimeoutError) as error:
            raise UnknownOutcomeError(
                f"{target.server_id}: {describe_error(error)}"
            ) from error
        finally:
            lease.release(reusable)
        if reply.failure is not None:
            raise self._write_error(target, reply)
        if not self.access.is_still_writable(term):
            raise UnknownOutcomeError("the write permit lapsed before the answer")
        self.access.note_primary_confirmed(term, sent_at_s)
        self.session.note_commit(route.group_id, reply.position)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _write_error(self, target: Target, reply: ServerReply) -> Exception:
        if reply.failure in NOT_RUN_FAILURES:
            return _RetryableError(self._caller_error(target, reply))
        detail = f"{target.server_id}: {reply.failure}: {reply.detail}"
        self._trace.last_failure = detail
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        return UnknownOutcomeError(detail)

    # Steps shared by reads, writes and transactions.

    def _choose_target(self, route: Route, is_read: bool, excluded: set[str]) -> Target:
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
        """
        self._trace.tries += 1
        if is_read:
            target = self._find_read_target(route, excluded)
        else:
            target = choose_primary(
                self.access.board, route.group_id, excluded, self.access.clock()
            )
        if target is None or target.server_id not in self.access.pools.pools_by_server:
            reason = self.access.why_not_writable(route.group_id)
            if self._trace.last_failure:
                reason = self._trace.last_failure
            kind = NoReplicaError if is_read else WritesUnavailableError
            raise kind(reason, RETRY_AFTER_MS)
        self._trace_target(target)
        return target

    def _trace_target(self, target: Target) -> None:
        self._trace.server_id = target.server_id
        self._trace.at_least = str(target.at_least or "")
        self._trace.term = target.term.term if target.term is not None else 0

    def _find_read_target(self, route: Route, excluded: set[str]) -> Target | None:
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

    def _require_attempts_left(self, error: CallerError) -> None:
        """Note a failed attempt; raise its error if no attempt is left."""
        self._trace.last_failure = error.detail
        if self._trace.tries >= MAX_ATTEMPTS:
            raise error

    async def _borrow(self, target: Target, route: Route, is_read: bool) -> Lease:
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
            _RetryableError: No connection was available, or the primary's role was not
                confirmed in time.
        """
        try:
            lease = await self.access.borrow(target, route, self.session, is_read)
        except (BackendUnreachableError, OverloadedError) as error:
            raise _RetryableError(error) from error
        self._trace.gateway_id = lease.gateway_id
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
            raise _RetryableError(NoReplicaError(detail, RETRY_AFTER_MS))
        return lease

    async def _restore_session(self, lease: Lease, work: Work | None) -> str:
        """Restore the session's values, and a prepared statement if one is needed.

        Returns:
            The connection's name of the prepared statement, or empty.
        """

        async def await_reply(request: Awaitable[ServerReply]) -> ServerReply:
            return await self._track(lease, request)

        link: ServerLink = lease.connection
        async with asyncio.timeout(RESTORE_TIMEOUT_S):
            await restore_values(link, self.session, await_reply)
            if work is None or not work.prepared_name:
                return ""
            shape = self.session.shapes_by_name[work.prepared_name]
            return await restore_shape(link, shape, await_reply)

    async def _restore_and_run(
        self,
        lease: Lease,
        work: Work,
        at_least: Position | None,
        limit_s: float,
        route: Route,
    ) -> ServerReply:
        name = await self._restore_session(lease, work)
        return await self._await_reply(
            lease, lease.connection.run(work, name, at_least), limit_s, route
        )

    async def _await_reply(
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
            reply = await self._track(lease, request)
        self.access.note_position(server_id, reply, sent_at_s, route.group_id)
        return reply

    async def _track(
        self, lease: Lease, request: Awaitable[ServerReply]
    ) -> ServerReply:
        """Wait for a reply and track whether the server responds.

        Requests on a gateway's connection are tracked by the gateway.
        """
        if lease.is_borrowed:
            return await request
        return await self.access.track(lease.server_id, request)

    def _caller_error(self, target: Target, reply: ServerReply) -> CallerError:
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


@dataclass(frozen=True, slots=True)
class _Read:
    """A read outside a transaction.

    Attributes:
        deadline_s: Local time in seconds at which its time limit ends.
        tried_servers: Ids of servers that the read was sent to.
    """

    route: Route
    work: Work
    deadline_s: float
    tried_servers: set[str]


class _RetryableError(PollencleatError):
    """An attempt failed; the statement may be tried on another server.

    Attributes:
        cause: Error for the caller if no attempt is left.
    """

    def __init__(self, cause: CallerError) -> None:
        super().__init__(cause.detail)
        self.cause = cause


def _unreachable_error(target: Target, error: Exception) -> _RetryableError:
    """Return the error for a server that failed before the statement was sent."""
    reason = f"{target.server_id}: {describe_error(error)}"
    return _RetryableError(BackendUnreachableError(reason, RETRY_AFTER_MS))


def describe_error(error: Exception) -> str:
    """Return the error's text, or its class name if it has none."""
    return str(error) or type(error).__name__
