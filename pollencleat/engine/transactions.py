"""Transactions: from the first statement that needs a server to commit or rollback."""

import asyncio

from pollencleat.backend.pool import Lease
from pollencleat.core.errors import (
    BackendError,
    BackendLostError,
    CallerError,
    DrainingError,
    FailedError,
    MalformedStatementError,
    TransactionLostError,
    UnknownOutcomeError,
)
from pollencleat.engine.exchange import NotSentError
from pollencleat.engine.session import OpenTransaction
from pollencleat.engine.statements import (
    NOT_RUN_FAILURES,
    Access,
    Answer,
    Begin,
    Commit,
    ServerFailure,
    ServerLink,
    ServerReply,
    Work,
)
from pollencleat.engine.steps import (
    RESTORE_TIMEOUT_S,
    RetryableError,
    StatementSteps,
    describe_error,
    unreachable_error,
)
from pollencleat.routing.placement import Target

ROLLBACK_TIMEOUT_S = 1.0
"""Timeout for a rollback; the connection is closed when it expires."""


class TransactionRunner:
    """Runs the transactions of one session."""

    def __init__(self, steps: StatementSteps) -> None:
        """Use the steps of a session."""
        self._steps = steps
        self._access = steps.access
        self._session = steps.session

    async def begin(self, statement: Begin) -> Answer:
        """Open a transaction; a server is chosen with its first statement.

        Raises:
            MalformedStatementError: One is open already.
            DrainingError: The node stops before a transaction can be expected to end.
            WritesUnavailableError: It may write, and no primary can be written to.
        """
        if self._session.transaction is not None:
            raise MalformedStatementError("a transaction is already open")
        if not self._access.accepts_transactions:
            raise DrainingError("this node is stopping")
        route = self._access.route_of(self._session.database)
        now_s = self._access.clock()
        if not statement.read_only:
            # Report a missing primary now, not at the first write. The server
            # connection is acquired with the first statement that needs one.
            self._access.require_writable(route.group_id)
        self._session.transaction = OpenTransaction(
            statement, route, now_s, last_used_at_s=now_s
        )
        return Answer()

    async def commit(self, statement: Commit) -> Answer:
        """Commit the open transaction, which ends it in any case.

        Raises:
            TransactionLostError: It was rolled back.
            UnknownOutcomeError: It may have been committed.
        """
        transaction = self._session.transaction
        if transaction is None:
            raise MalformedStatementError("no transaction is open")
        if transaction.failure:
            await self.end()
            raise TransactionLostError(
                f"transaction was rolled back: {transaction.failure}"
            )
        try:
            if transaction.lease is None:
                await self._begin_on_server(transaction)
            return await self._commit_on_server(transaction, statement)
        finally:
            await self.end()

    async def _commit_on_server(
        self, transaction: OpenTransaction, statement: Commit
    ) -> Answer:
        term = transaction.term
        lease = transaction.lease
        try:
            # The caller may have set a value since the latest statement.
            await self._steps.restore_session(lease, None)
        except (BackendError, TimeoutError) as error:
            raise TransactionLostError(
                f"commit not sent: {describe_error(error)}"
            ) from error
        if transaction.has_written and not self._access.is_still_writable(term):
            raise TransactionLostError("the write permit lapsed before the commit")
        limit_s = transaction.route.statement_limit_ms / 1000
        sent_at_s = self._access.clock()
        self._steps.trace.may_persist = transaction.has_written
        try:
            reply = await self._steps.await_reply(
                lease, lease.connection.commit(statement), limit_s, transaction.route
            )
        except NotSentError as error:
            raise TransactionLostError(f"commit not sent: {error}") from error
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
        if not self._access.is_still_writable(term):
            raise UnknownOutcomeError("the write permit lapsed before the answer")
        self._access.note_commit(term, reply, sent_at_s)
        self._session.note_commit(transaction.route.group_id, reply.position)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _commit_error(
        self, transaction: OpenTransaction, reply: ServerReply
    ) -> CallerError:
        detail = f"commit failed: {reply.failure}: {reply.detail}"
        self._steps.trace.last_failure = detail
        if not transaction.has_written or reply.failure in NOT_RUN_FAILURES:
            return TransactionLostError(detail)
        return UnknownOutcomeError(detail)

    async def run(
        self, transaction: OpenTransaction, work: Work, access: Access
    ) -> Answer:
        """Run a statement in the open transaction.

        Raises:
            TransactionLostError: The transaction is lost; nothing of it is kept.
            FailedError: The server ran the statement, and it failed.
        """
        if access is Access.WRITE and transaction.read_only:
            raise MalformedStatementError("write in a read-only transaction")
        transaction.last_used_at_s = self._access.clock()
        if transaction.lease is None:
            await self._begin_on_server(transaction)
        lease = transaction.lease
        term = transaction.term
        if access is Access.WRITE:
            if not self._access.is_still_writable(term):
                raise TransactionLostError("the write permit lapsed")
            transaction.has_written = True
        limit_s = transaction.route.statement_limit_ms / 1000
        lease.set_running(True)
        try:
            reply = await self._steps.restore_and_run(
                lease, work, None, limit_s, transaction.route
            )
        except (BackendError, TimeoutError) as error:
            raise TransactionLostError(
                f"connection lost: {describe_error(error)}"
            ) from error
        finally:
            lease.set_running(False)
        transaction.last_used_at_s = self._access.clock()
        if reply.failure is not None:
            raise self._transaction_error(reply)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _transaction_error(self, reply: ServerReply) -> CallerError:
        detail = f"{reply.failure}: {reply.detail}"
        self._steps.trace.last_failure = detail
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
            target = self._steps.choose_target(route, transaction.read_only, excluded)
            try:
                lease = await self._steps.borrow(target, route, transaction.read_only)
                await self._begin_on_connection(lease, target, transaction)
                return
            except RetryableError as error:
                if not error.may_retry_there:
                    excluded.add(target.server_id)
                self._steps.require_attempts_left(error.cause)

    async def _begin_on_connection(
        self, lease: Lease, target: Target, transaction: OpenTransaction
    ) -> None:
        link: ServerLink = lease.connection
        known_position = self._access.newest_position(target.term)
        sent_at_s = self._access.clock()
        try:
            await self._steps.restore_session(lease, None)
            reply = await self._steps.await_reply(
                lease,
                link.begin(transaction.begin, target.at_least),
                RESTORE_TIMEOUT_S,
                transaction.route,
            )
        except (BackendError, TimeoutError) as error:
            lease.release(False)
            raise unreachable_error(target, error) from error
        except BaseException:
            lease.release(False)
            raise
        if reply.failure is not None:
            lease.release(not reply.in_transaction)
            raise RetryableError(self._steps.caller_error(target, reply))
        try:
            self._steps.require_current_log(
                target, reply, known_position, transaction.route
            )
        except BaseException:
            lease.release(False)
            raise
        if not transaction.read_only:
            self._access.note_primary_confirmed(target.term, sent_at_s)
        transaction.lease = lease
        transaction.term = target.term

    async def fail(self, error: CallerError) -> None:
        """Mark the open transaction as failed, roll back and release its connection.

        The caller still has to end it with a commit or rollback.
        """
        transaction = self._session.transaction
        if transaction is None:
            return
        transaction.failure = transaction.failure or error.detail
        await self._release_connection(transaction)

    async def end(self) -> None:
        """End the open transaction, if any, and roll back what is not committed."""
        transaction = self._session.transaction
        if transaction is None:
            return
        self._session.transaction = None
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
            self._access.metrics.count("rollback_by_close")
        finally:
            lease.release(reusable)

    async def end_idle(self, now_s: float) -> None:
        """Fail the open transaction if it exceeded the idle timeout.

        Its connection is released. Does nothing if no connection is held or the timeout
        is 0.

        Args:
            now_s: Local time in seconds.
        """
        transaction = self._session.transaction
        limit_ms = self._access.board.inventory.rules.transaction_idle_ms
        if transaction is None or transaction.lease is None or not limit_ms:
            return
        if now_s - transaction.last_used_at_s < limit_ms / 1000:
            return
        self._access.metrics.count("transaction_idle")
        await self.fail(TransactionLostError("idle timeout exceeded"))
