"""Executes the statements of one session.

Every statement ends with an answer or raises a CallerError that states the outcome
correctly: after a NotRunError, no change of the statement or its transaction persists.
"""

from collections.abc import Callable

import structlog

from pollencleat.core.data import Position
from pollencleat.core.errors import (
    CallerError,
    MalformedStatementError,
    NotRunError,
    TransactionLostError,
    UnknownNameError,
    UnknownOutcomeError,
)
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.reads import ReadRunner
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import (
    Access,
    Answer,
    Begin,
    Commit,
    Forget,
    Prepare,
    Rollback,
    SetValue,
    Statement,
    Work,
)
from pollencleat.engine.steps import StatementSteps, StatementTrace
from pollencleat.engine.transactions import TransactionRunner
from pollencleat.engine.writes import WriteRunner

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
        self._steps = StatementSteps(access, session)
        self._reads = ReadRunner(self._steps)
        self._writes = WriteRunner(self._steps)
        self._transactions = TransactionRunner(self._steps)

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
        self._steps.trace = StatementTrace()
        try:
            answer = await _handlers_by_type[type(statement)](self, statement)
        except CallerError as error:
            failure = error
        except Exception as error:
            self.access.faults.record("statement", error, request=statement.request_id)
            failure = self._describe_unexpected(error)
        else:
            self._log(statement, started_s, None, answer.position)
            return answer
        await self._transactions.fail(failure)
        self._log(statement, started_s, failure)
        raise failure

    def _describe_unexpected(self, error: Exception) -> CallerError:
        """Return the error that states the outcome of a statement after a defect."""
        detail = f"unexpected {type(error).__name__}"
        if self._steps.trace.may_persist:
            return UnknownOutcomeError(detail)
        if self.is_in_transaction:
            return TransactionLostError(detail)
        return NotRunError(detail)

    def _log(
        self,
        statement: Statement,
        started_s: float,
        error: CallerError | None,
        position: Position | None = None,
    ) -> None:
        duration_ms = (self.access.clock() - started_s) * 1000
        action = type(statement).__name__.lower()
        self.access.metrics.record_duration(action, duration_ms)
        outcome = "ok" if error is None else type(error).__name__
        self.access.metrics.count("statement", f"{action} {outcome}")
        trace = self._steps.trace
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
            position=f"{position.term}.{position.position}" if position else "",
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

    # Statements of and in transactions, reads and writes.

    @executes(Begin)
    async def _begin(self, statement: Begin) -> Answer:
        return await self._transactions.begin(statement)

    @executes(Commit)
    async def _commit(self, statement: Commit) -> Answer:
        return await self._transactions.commit(statement)

    @executes(Rollback)
    async def _roll_back(self, statement: Rollback) -> Answer:
        await self._transactions.end()
        return Answer()

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
            return await self._transactions.run(transaction, work, access)
        route = self.access.route_of(self.session.database)
        if access is Access.WRITE:
            return await self._writes.run(route, work)
        return await self._reads.run(route, work)

    def _require_no_failed_transaction(self) -> None:
        """Raise if the open transaction has failed and must be ended first."""
        if self.has_failed:
            raise MalformedStatementError(
                f"the transaction has failed: {self.session.transaction.failure}"
            )

    async def end_idle_transaction(self, now_s: float) -> None:
        """Fail the open transaction if it exceeded the idle timeout.

        Args:
            now_s: Local time in seconds.
        """
        await self._transactions.end_idle(now_s)

    async def close(self) -> None:
        """End the session and roll back its open transaction."""
        await self._transactions.end()
