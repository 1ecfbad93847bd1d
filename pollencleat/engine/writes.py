"""Writes outside a transaction."""

from pollencleat.backend.pool import Lease
from pollencleat.core.data import Route
from pollencleat.core.errors import (
    BackendError,
    FailedError,
    UnknownOutcomeError,
    WritesUnavailableError,
)
from pollencleat.engine.access import RETRY_AFTER_MS
from pollencleat.engine.exchange import NotSentError
from pollencleat.engine.statements import (
    NOT_RUN_FAILURES,
    Answer,
    ServerFailure,
    ServerReply,
    Work,
)
from pollencleat.engine.steps import (
    RetryableError,
    StatementSteps,
    describe_error,
    unreachable_error,
)
from pollencleat.routing.placement import Target


class WriteRunner:
    """Runs the single writes of one session."""

    def __init__(self, steps: StatementSteps) -> None:
        """Use the steps of a session."""
        self._steps = steps
        self._access = steps.access
        self._session = steps.session

    async def run(self, route: Route, work: Work) -> Answer:
        """Run a write outside a transaction.

        It is retried on another connection while it has certainly not run.
        """
        excluded: set[str] = set()
        deadline_s = self._access.clock() + route.statement_limit_ms / 1000
        while True:
            target = self._steps.choose_target(route, False, excluded)
            try:
                lease = await self._steps.borrow(target, route, False)
                return await self._write_on_connection(
                    lease, target, route, work, deadline_s
                )
            except RetryableError as error:
                if not error.may_retry_there:
                    excluded.add(target.server_id)
                self._steps.require_attempts_left(error.cause)

    async def _write_on_connection(
        self, lease: Lease, target: Target, route: Route, work: Work, deadline_s: float
    ) -> Answer:
        term = target.term
        try:
            name = await self._steps.restore_session(lease, work)
            is_writable = self._access.is_still_writable(term)
        except (BackendError, TimeoutError) as error:
            lease.release(False)
            raise unreachable_error(target, error) from error
        except BaseException:
            lease.release(False)
            raise
        if not is_writable:
            lease.release(True)
            raise WritesUnavailableError(
                self._access.why_not_writable(route.group_id), RETRY_AFTER_MS
            )
        reusable = False
        sent_at_s = self._access.clock()
        self._steps.trace.may_persist = True
        try:
            reply = await self._steps.await_reply(
                lease,
                lease.connection.run(work, name, None),
                deadline_s - self._access.clock(),
                route,
            )
            reusable = not reply.in_transaction
        except NotSentError as error:
            self._steps.trace.may_persist = False
            raise unreachable_error(target, error) from error
        except (BackendError, TimeoutError) as error:
            raise UnknownOutcomeError(
                f"{target.server_id}: {describe_error(error)}"
            ) from error
        finally:
            lease.release(reusable)
        if reply.failure is not None:
            raise self._write_error(target, reply)
        if not self._access.is_still_writable(term):
            raise UnknownOutcomeError("the write permit lapsed before the answer")
        self._access.note_primary_confirmed(term, sent_at_s)
        self._access.note_commit(term, reply, sent_at_s)
        self._session.note_commit(route.group_id, reply.position)
        return Answer(reply.rows, reply.receipt, reply.position)

    def _write_error(self, target: Target, reply: ServerReply) -> Exception:
        if reply.failure in NOT_RUN_FAILURES:
            self._steps.trace.may_persist = False
            return RetryableError(self._steps.caller_error(target, reply))
        detail = f"{target.server_id}: {reply.failure}: {reply.detail}"
        self._steps.trace.last_failure = detail
        if reply.failure is ServerFailure.FAILED:
            return FailedError(detail)
        return UnknownOutcomeError(detail)
