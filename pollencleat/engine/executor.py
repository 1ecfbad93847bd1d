"""Carries out one session's statements.

Every statement ends with an answer or with a CallerError whose outcome is true: after a
NotRunError nothing of the statement, and nothing of its transaction, is kept.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from pollencleat.backend.pool import Lease
from pollencleat.core.bounds import is_before
from pollencleat.core.data import Position, Route
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
from pollencleat.engine.access import RETRY_AFTER_MS, ReadCall, ServerAccess
from pollencleat.engine.restore import restore_shape, restore_values
from pollencleat.engine.second_tries import answer_of_either
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
from pollencleat.limits.second_tries import second_try_after_s
from pollencleat.routing.placement import Target, choose_for_read, choose_primary

TRIES = 4
"""Servers or connections that a statement is tried on while it has certainly not run;
a group has three servers today."""

RESTORE_LIMIT_S = 0.5
"""How long a server may take to set values and names, which needs no slot."""

ROLLBACK_LIMIT_S = 1.0
"""How long a server may take to roll back; the connection is closed after that."""

log = structlog.get_logger()
_handlers_by_type: dict[type, Callable] = {}


def executes(statement_type: type) -> Callable[[Callable], Callable]:
    """Register the method that executes a type of statement.

    Args:
        statement_type: The type.

    Returns:
        A decorator.
    """

    def register(function: Callable) -> Callable:
        _handlers_by_type[statement_type] = function
        return function

    return register


@dataclass(slots=True)
class Trace:
    """What decided a statement's outcome, for its log line."""

    server_id: str = ""
    gateway_id: str = ""
    at_least: str = ""
    term: int = 0
    tries: int = 0
    last_failure: str = ""


class SessionExecutor:
    """Executes the statements of one session, one at a time."""

    def __init__(self, access: ServerAccess, session: SessionState) -> None:
        """Work for a session."""
        self.access = access
        self.session = session
        self._trace = Trace()

    async def execute(self, statement: Statement) -> Answer:
        """Execute a statement.

        Args:
            statement: What the caller asks for.

        Returns:
            The answer.

        Raises:
            CallerError: With a true outcome; an open transaction has failed then.
        """
        started_s = self.access.clock()
        self._trace = Trace()
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
                (self.access.clock() - self.access.board.fresh_at_s) * 1000
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
        """Whether the caller has a transaction open."""
        return self.session.transaction is not None

    @property
    def has_failed(self) -> bool:
        """Whether the open transaction accepts nothing but its end."""
        transaction = self.session.transaction
        return transaction is not None and bool(transaction.failure)

    # Session state, which needs no server.

    @executes(SetValue)
    async def _set_value(self, statement: SetValue) -> Answer:
        self._require_live_transaction()
        self.session.values[statement.name] = statement.value
        return Answer()

    @executes(Prepare)
    async def _prepare(self, statement: Prepare) -> Answer:
        self._require_live_transaction()
        self.session.shapes_by_name[statement.name] = statement.shape
        return Answer()

    @executes(Forget)
    async def _forget(self, statement: Forget) -> Answer:
        self._require_live_transaction()
        if self.session.shapes_by_name.pop(statement.name, None) is None:
            raise UnknownNameError(f"no prepared statement {statement.name!r}")
        return Answer()

    # Transactions.

    @executes(Begin)
    async def _begin(self, statement: Begin) -> Answer:
        if self.session.transaction is not None:
            raise MalformedStatementError("a transaction is open already")
        route = self.access.route_of(self.session.database)
        now_s = self.access.clock()
        if not statement.read_only:
            # Tell at once that no primary can be reached, before anything is done.
            self.access.require_writable(route.group_id)
        self.session.transaction = OpenTransaction(
            statement, route, now_s, used_at_s=now_s
        )
        return Answer()

    @executes(Commit)
    async def _commit(self, statement: Commit) -> Answer:
        transaction = self.session.transaction
        if transaction is None:
            raise MalformedStatementError("no transaction is open")
        if transaction.failure:
            await self._end_transaction()
            raise TransactionLostError(f"rolled back: {transaction.failure}")
        try:
            if transaction.lease is None:
                await self._open_on_server(transaction)
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
            reply = await self._ask(
                lease, lease.connection.commit(statement), limit_s, transaction.route
            )
        except (BackendLostError, TimeoutError) as error:
            if transaction.has_written:
                raise UnknownOutcomeError(
                    f"no answer to the commit: {describe(error)}"
                ) from (error)
            raise TransactionLostError(
                f"no answer to the commit: {describe(error)}"
            ) from error
        if reply.failure is not None:
            raise self._commit_failure(transaction, reply)
        transaction.lease = None
        lease.give_back(True)
        if not transaction.has_written:
            return Answer(reply.rows, reply.receipt, reply.position)
        if not self.access.is_still_writable(term):
            raise UnknownOutcomeError("the write permit lapsed before the answer")
        self.session.note_commit(transaction.route.group_id, reply.position)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _commit_failure(
        self, transaction: OpenTransaction, reply: ServerReply
    ) -> CallerError:
        detail = f"commit: {reply.failure}: {reply.detail}"
        self._trace.last_failure = detail
        if not transaction.has_written or reply.failure in NOT_RUN_FAILURES:
            return TransactionLostError(detail)
        return UnknownOutcomeError(detail)

    @executes(Rollback)
    async def _roll_back(self, statement: Rollback) -> Answer:
        await self._end_transaction()
        return Answer()

    def _require_live_transaction(self) -> None:
        """Raise if the open transaction has failed; only its end is accepted then."""
        if self.has_failed:
            raise MalformedStatementError(
                f"the transaction has failed: {self.session.transaction.failure}"
            )

    async def _fail_transaction(self, error: CallerError) -> None:
        """Let go of the server; the caller still has to end the transaction."""
        transaction = self.session.transaction
        if transaction is None:
            return
        transaction.failure = transaction.failure or error.detail
        await self._release(transaction)

    async def _end_transaction(self) -> None:
        transaction = self.session.transaction
        if transaction is None:
            return
        self.session.transaction = None
        await self._release(transaction)

    async def _release(self, transaction: OpenTransaction) -> None:
        """Roll back on the server, or close the connection, which does the same."""
        lease, transaction.lease = transaction.lease, None
        if lease is None:
            return
        reusable = False
        try:
            if lease.connection.is_usable:
                async with asyncio.timeout(ROLLBACK_LIMIT_S):
                    reply = await lease.connection.roll_back()
                reusable = reply.failure is None and not reply.in_transaction
        except (BackendError, TimeoutError):
            self.access.metrics.count("rollback_by_close")
        finally:
            lease.give_back(reusable)

    async def end_idle_transaction(self, now_s: float) -> None:
        """Let go of the server if the transaction has been idle for too long.

        Args:
            now_s: Local time.
        """
        transaction = self.session.transaction
        limit_ms = self.access.board.inventory.rules.transaction_idle_ms
        if transaction is None or transaction.lease is None or not limit_ms:
            return
        if now_s - transaction.used_at_s < limit_ms / 1000:
            return
        self.access.metrics.count("transaction_idle")
        await self._fail_transaction(TransactionLostError("idle for too long"))

    async def close(self) -> None:
        """End the session; what is open is rolled back."""
        await self._end_transaction()

    # Reads and writes.

    @executes(Work)
    async def _work(self, work: Work) -> Answer:
        self._require_live_transaction()
        access = work.access
        if work.prepared_name:
            shape = self.session.shapes_by_name.get(work.prepared_name)
            if shape is None:
                raise UnknownNameError(f"no prepared statement {work.prepared_name!r}")
            access = shape.access
        transaction = self.session.transaction
        if transaction is not None:
            return await self._work_in_transaction(transaction, work, access)
        route = self.access.route_of(self.session.database)
        if access is Access.WRITE:
            return await self._write_somewhere(route, work)
        return await self._read_somewhere(route, work)

    async def _work_in_transaction(
        self, transaction: OpenTransaction, work: Work, access: Access
    ) -> Answer:
        if access is Access.WRITE and transaction.read_only:
            raise MalformedStatementError("the transaction is read only")
        transaction.used_at_s = self.access.clock()
        if transaction.lease is None:
            await self._open_on_server(transaction)
        lease = transaction.lease
        term = transaction.term
        if access is Access.WRITE:
            if not self.access.is_still_writable(term):
                raise TransactionLostError("the write permit lapsed")
            transaction.has_written = True
        limit_s = transaction.route.statement_limit_ms / 1000
        try:
            reply = await self._run(lease, work, None, limit_s, transaction.route)
        except (BackendError, TimeoutError) as error:
            raise TransactionLostError(f"connection lost: {describe(error)}") from error
        transaction.used_at_s = self.access.clock()
        if reply.failure is not None:
            raise self._failure_in_transaction(reply)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _failure_in_transaction(self, reply: ServerReply) -> CallerError:
        detail = f"{reply.failure}: {reply.detail}"
        self._trace.last_failure = detail
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        return TransactionLostError(detail)

    async def _open_on_server(self, transaction: OpenTransaction) -> None:
        """Begin the transaction on a server; nothing was shown to the caller yet."""
        excluded: set[str] = set()
        route = transaction.route
        while True:
            target = self._choose(route, transaction.read_only, excluded)
            try:
                lease = await self._borrow(target, route, transaction.read_only)
                await self._begin_on(lease, target, transaction)
                return
            except _NotRunHereError as error:
                excluded.add(target.server_id)
                self._give_up_after(error.cause)

    async def _begin_on(
        self, lease: Lease, target: Target, transaction: OpenTransaction
    ) -> None:
        link: ServerLink = lease.connection
        known = self.access.newest_position(target.term)
        sent_at_s = self.access.clock()
        try:
            await self._prepare_link(lease, None)
            reply = await self._ask(
                lease,
                link.begin(transaction.begin, target.at_least),
                RESTORE_LIMIT_S,
                transaction.route,
            )
        except (BackendError, TimeoutError) as error:
            lease.give_back(False)
            raise _unreachable(target, error) from error
        except BaseException:
            lease.give_back(False)
            raise
        if reply.failure is not None:
            lease.give_back(not reply.in_transaction)
            raise _NotRunHereError(self._refusal(target, reply))
        try:
            self._require_current(target, reply, known, transaction.route)
        except _NotRunHereError:
            lease.give_back(False)
            raise
        if not transaction.read_only:
            self.access.note_lead(target.term, sent_at_s)
        transaction.lease = lease
        transaction.term = target.term

    async def _write_somewhere(self, route: Route, work: Work) -> Answer:
        """Try connections one after the other until one has run the write."""
        excluded: set[str] = set()
        deadline_s = self.access.clock() + route.statement_limit_ms / 1000
        while True:
            target = self._choose(route, False, excluded)
            try:
                lease = await self._borrow(target, route, False)
                return await self._write_on(lease, target, route, work, deadline_s)
            except _NotRunHereError as error:
                excluded.add(target.server_id)
                self._give_up_after(error.cause)

    async def _read_somewhere(self, route: Route, work: Work) -> Answer:
        """Try servers one after the other, or two at once, until one has answered."""
        self.access.second_tries.record_attempt()
        deadline_s = self.access.clock() + route.statement_limit_ms / 1000
        read = _Read(route, work, deadline_s, set())
        while True:
            target = self._choose(route, True, read.tried)
            read.tried.add(target.server_id)
            try:
                return await self._read_patiently(read, target)
            except _NotRunHereError as error:
                self._give_up_after(error.cause)

    async def _read_patiently(self, read: "_Read", target: Target) -> Answer:
        """Read at a server, and at another one too if that takes its time."""

        def read_at_other() -> asyncio.Task[Answer] | None:
            other = self._find_second(read)
            if other is None:
                return None
            self.access.metrics.count("read_asked_again", target.server_id)
            reading = self._read_at_second(read, other, target)
            return asyncio.get_running_loop().create_task(reading)

        patience_s = second_try_after_s(
            read.route.latency_objective_ms / 1000,
            read.deadline_s - self.access.clock(),
        )
        reading = self._read_at(read, target)
        return await answer_of_either(reading, patience_s, read_at_other)

    def _find_second(self, read: "_Read") -> Target | None:
        """Return another server for a read, if there is one that the budget allows."""
        if self._trace.tries >= TRIES:
            return None
        other = self._find_for_read(read.route, read.tried)
        if other is None or other.server_id not in self.access.pools.pools_by_server:
            return None
        if not self.access.second_tries.take():
            return None
        read.tried.add(other.server_id)
        self._trace.tries += 1
        return other

    async def _read_at_second(
        self, read: "_Read", target: Target, late: Target
    ) -> Answer:
        answer = await self._read_patiently(read, target)
        if self.access.is_at_gateways(late.server_id):
            self.access.note_gateway_read(late.server_id, False)
        return answer

    async def _read_at(self, read: "_Read", target: Target) -> Answer:
        if self.access.is_at_gateways(target.server_id):
            answer = await self._read_at_gateway(read, target)
        else:
            lease = await self._borrow(target, read.route, True)
            answer = await self._read_on(lease, read, target)
        self._note_target(target)
        return answer

    async def _read_on(self, lease: Lease, read: "_Read", target: Target) -> Answer:
        route = read.route
        lease.is_read = True
        reusable = False
        known = self.access.newest_position(target.term)
        limit_s = read.deadline_s - self.access.clock()
        try:
            reply = await self._run(lease, read.work, target.at_least, limit_s, route)
            reusable = not reply.in_transaction
        except TimeoutError as error:
            raise StatementTimeoutError(
                f"{target.server_id} did not answer in time"
            ) from error
        except BackendError as error:
            raise _NotRunHereError(
                NoReplicaError(f"{target.server_id}: {describe(error)}", RETRY_AFTER_MS)
            ) from error
        finally:
            lease.give_back(reusable)
        return self._read_answer(target, reply, known, route)

    async def _read_at_gateway(self, read: "_Read", target: Target) -> Answer:
        route, work, deadline_s = read.route, read.work, read.deadline_s
        known = self.access.newest_position(target.term)
        shape = None
        if work.prepared_name:
            shape = self.session.shapes_by_name[work.prepared_name]
        wish = self.access.make_wish(target, route, self.session, True)
        call = ReadCall(work, shape, target.at_least)
        sent_at_s = self.access.clock()
        try:
            result = await self.access.hops.read(wish, call, deadline_s - sent_at_s)
        except (OverloadedError, BackendUnreachableError) as error:
            if self.access.clock() >= deadline_s:
                self.access.note_gateway_read(target.server_id, False)
                raise StatementTimeoutError(error.detail) from error
            raise _NotRunHereError(error) from error
        except BackendError as error:
            self.access.note_gateway_read(target.server_id, False)
            raise _NotRunHereError(
                NoReplicaError(f"{target.server_id}: {describe(error)}", RETRY_AFTER_MS)
            ) from error
        reply = result.reply
        self._trace.gateway_id = result.gateway_id
        self.access.note_gateway_read(target.server_id, True)
        if target.term is not None:
            # The gateway has made sure before it asked.
            self.access.note_lead(target.term, sent_at_s)
        self.access.note_position(target.server_id, reply, sent_at_s, route.group_id)
        return self._read_answer(target, reply, known, route)

    def _read_answer(
        self, target: Target, reply: ServerReply, known: Position | None, route: Route
    ) -> Answer:
        if reply.failure is not None:
            raise _NotRunHereError(self._refusal(target, reply))
        self._require_current(target, reply, known, route)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _require_current(
        self, target: Target, reply: ServerReply, known: Position | None, route: Route
    ) -> None:
        """Raise if an answer that rests on a permit may come from an old log.

        What the primary had told before the request was sent must still be there.
        """
        if target.term is None:
            return
        if not self.access.is_still_writable(target.term):
            raise _NotRunHereError(
                WritesUnavailableError(
                    self.access.why_not_writable(route.group_id), RETRY_AFTER_MS
                )
            )
        if known is None:
            return
        if reply.position is None or is_before(reply.position, known):
            self.access.note_doubt(target.server_id)
            detail = f"{target.server_id}: has lost its log"
            raise _NotRunHereError(NoReplicaError(detail, RETRY_AFTER_MS))

    async def _write_on(
        self, lease: Lease, target: Target, route: Route, work: Work, deadline_s: float
    ) -> Answer:
        term = target.term
        try:
            name = await self._prepare_link(lease, work)
        except (BackendError, TimeoutError) as error:
            lease.give_back(False)
            raise _unreachable(target, error) from error
        except BaseException:
            lease.give_back(False)
            raise
        if not self.access.is_still_writable(term):
            lease.give_back(True)
            raise WritesUnavailableError(
                self.access.why_not_writable(route.group_id), RETRY_AFTER_MS
            )
        reusable = False
        sent_at_s = self.access.clock()
        try:
            reply = await self._ask(
                lease,
                lease.connection.run(work, name, None),
                deadline_s - self.access.clock(),
                route,
            )
            reusable = not reply.in_transaction
        except (BackendError, TimeoutError) as error:
            raise UnknownOutcomeError(
                f"{target.server_id}: {describe(error)}"
            ) from error
        finally:
            lease.give_back(reusable)
        if reply.failure is not None:
            raise self._write_failure(target, reply)
        if not self.access.is_still_writable(term):
            raise UnknownOutcomeError("the write permit lapsed before the answer")
        self.access.note_lead(term, sent_at_s)
        self.session.note_commit(route.group_id, reply.position)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _write_failure(self, target: Target, reply: ServerReply) -> Exception:
        if reply.failure in NOT_RUN_FAILURES:
            return _NotRunHereError(self._refusal(target, reply))
        detail = f"{target.server_id}: {reply.failure}: {reply.detail}"
        self._trace.last_failure = detail
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        return UnknownOutcomeError(detail)

    # Steps that all of them share.

    def _choose(self, route: Route, is_read: bool, excluded: set[str]) -> Target:
        """Return where to try next, or raise that nobody can run it."""
        self._trace.tries += 1
        if is_read:
            target = self._find_for_read(route, excluded)
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
        self._note_target(target)
        return target

    def _note_target(self, target: Target) -> None:
        self._trace.server_id = target.server_id
        self._trace.at_least = str(target.at_least or "")
        self._trace.term = target.term.term if target.term is not None else 0

    def _find_for_read(self, route: Route, excluded: set[str]) -> Target | None:
        return choose_for_read(
            self.access.board,
            route,
            self.session.seen_by_group.get(route.group_id),
            self.access.pools.outstanding,
            excluded,
            self.access.clock(),
        )

    def _give_up_after(self, error: CallerError) -> None:
        """Raise if the statement has been tried often enough."""
        self._trace.last_failure = error.detail
        if self._trace.tries >= TRIES:
            raise error

    async def _borrow(self, target: Target, route: Route, is_read: bool) -> Lease:
        """Borrow a connection; for a read that rests on a permit, to a sure primary."""
        try:
            lease = await self.access.borrow(target, route, self.session, is_read)
        except (BackendUnreachableError, OverloadedError) as error:
            raise _NotRunHereError(error) from error
        self._trace.gateway_id = lease.gateway_id
        if not is_read or target.term is None:
            return lease
        if lease.is_borrowed:
            # The gateway has made sure before it lent the connection.
            self.access.note_lead(target.term, lease.requested_at_s)
            return lease
        is_confirmed = False
        try:
            is_confirmed = await self.access.wait_until_confirmed(target.term)
        finally:
            if not is_confirmed:
                lease.give_back(True)
        if not is_confirmed:
            detail = f"{target.server_id}: does not confirm that it leads"
            raise _NotRunHereError(NoReplicaError(detail, RETRY_AFTER_MS))
        return lease

    async def _prepare_link(self, lease: Lease, work: Work | None) -> str:
        """Restore the session on a connection; return the name to execute by."""

        async def ask(request: Awaitable[ServerReply]) -> ServerReply:
            return await self._track(lease, request)

        link: ServerLink = lease.connection
        async with asyncio.timeout(RESTORE_LIMIT_S):
            await restore_values(link, self.session, ask)
            if work is None or not work.prepared_name:
                return ""
            shape = self.session.shapes_by_name[work.prepared_name]
            return await restore_shape(link, shape, ask)

    async def _run(
        self,
        lease: Lease,
        work: Work,
        at_least: Position | None,
        limit_s: float,
        route: Route,
    ) -> ServerReply:
        name = await self._prepare_link(lease, work)
        return await self._ask(
            lease, lease.connection.run(work, name, at_least), limit_s, route
        )

    async def _ask(
        self,
        lease: Lease,
        request: Awaitable[ServerReply],
        limit_s: float,
        route: Route,
    ) -> ServerReply:
        """Wait for an answer and take in what it tells of the server's log."""
        server_id = lease.server_id
        sent_at_s = self.access.clock()
        async with asyncio.timeout(max(0.0, limit_s)):
            reply = await self._track(lease, request)
        self.access.note_position(server_id, reply, sent_at_s, route.group_id)
        return reply

    async def _track(
        self, lease: Lease, request: Awaitable[ServerReply]
    ) -> ServerReply:
        """Wait for an answer; a gateway watches its servers itself."""
        if lease.is_borrowed:
            return await request
        return await self.access.track(lease.server_id, request)

    def _refusal(self, target: Target, reply: ServerReply) -> CallerError:
        """Return the error of a statement that a server has not run."""
        detail = f"{target.server_id}: {reply.failure}: {reply.detail}"
        if reply.failure is ServerFailure.READ_ONLY:
            self.access.note_doubt(target.server_id)
            return WritesUnavailableError(detail, RETRY_AFTER_MS)
        if reply.failure is ServerFailure.BUSY:
            return OverloadedError(detail, RETRY_AFTER_MS)
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        if reply.failure is ServerFailure.TIMED_OUT:
            return StatementTimeoutError(detail)
        return NoReplicaError(detail, RETRY_AFTER_MS)


@dataclass(frozen=True, slots=True)
class _Read:
    """A read that belongs to no transaction.

    Attributes:
        deadline_s: Local time at which its limit is over.
        tried: Servers that have been asked.
    """

    route: Route
    work: Work
    deadline_s: float
    tried: set[str]


class _NotRunHereError(PollencleatError):
    """The statement may be tried on another server.

    Attributes:
        cause: What the caller is told if there is no other.
    """

    def __init__(self, cause: CallerError) -> None:
        super().__init__(cause.detail)
        self.cause = cause


def _unreachable(target: Target, error: Exception) -> _NotRunHereError:
    """Return that a server could not be used, and that nothing ran there."""
    reason = f"{target.server_id}: {describe(error)}"
    return _NotRunHereError(BackendUnreachableError(reason, RETRY_AFTER_MS))


def describe(error: Exception) -> str:
    """Return what to tell of an error; some have no text of their own."""
    return str(error) or type(error).__name__
