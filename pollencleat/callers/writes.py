"""Writes outside a transaction."""

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.acknowledgement import (
    acknowledge,
    check_session_history,
    confirm_error,
    error_for_caller,
    lease_primary_connection,
)
from pollencleat.callers.claims import run_idempotent_write
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_START_TIMEOUT_S,
    StatementContext,
    StatementResult,
    forward_answer,
    request_answer,
)
from pollencleat.core.data import Customer, DatabaseGroup, GroupTerm
from pollencleat.core.errors import (
    BackendLostError,
    UnknownOutcomeError,
    WritesUnavailableError,
)
from pollencleat.routing.statements import Hints


async def run_single_write(
    context: StatementContext,
    customer: Customer,
    group: DatabaseGroup,
    command: Command,
    hints: Hints,
) -> StatementResult | None:
    """Run one write on the primary and acknowledge it.

    Args:
        context: The caller's statement context.
        customer: The client account that sent the statement.
        group: The database group to write to.
        command: The command to send to the server.
        hints: The caller's hints; with a request id, the write runs at most once.

    Returns:
        The result, or None if a result set was forwarded.

    Raises:
        WritesUnavailableError: The write was not sent, or the server is read-only.
        UnknownOutcomeError: The write may or may not have run.
        BackendStatementError: The server refused the write.
    """
    term = context.gateway.require_writable(group.group_id)
    check_session_history(context, term)
    lease = await lease_primary_connection(context, customer, term)
    reusable = False
    try:
        # The permit may have expired while waiting for a connection.
        if not context.gateway.is_still_writable(term):
            reusable = True
            raise WritesUnavailableError(
                f"group {group.group_id}: the write permit lapsed", 200
            )
        if hints.request_id:
            result = await run_idempotent_write(
                context, customer, term, lease, command, hints
            )
        else:
            result = await run_write(context, term, lease, command)
        reusable = True
        return result
    except BackendStatementError as error:
        reusable = True
        raise error_for_caller(error, term) from error
    except (BackendLostError, TimeoutError) as error:
        raise UnknownOutcomeError(
            f"no answer from the primary {term.primary}: {error}"
        ) from error
    finally:
        lease.release(reusable)


async def run_write(
    context: StatementContext, term: GroupTerm, lease: Lease, command: Command
) -> StatementResult | None:
    """Run a write without a request id.

    Args:
        context: The caller's statement context.
        term: The term to write in.
        lease: A leased connection to the primary of the term.
        command: The command to send to the server.

    Returns:
        The result, or None if a result set was forwarded, with an error at its end if
        the server sent one.

    Raises:
        BackendStatementError: The server refused the write.
        BackendLostError: The connection broke, or an error may belong to an earlier
            command.
    """
    answer = await request_answer(lease, command, ANSWER_START_TIMEOUT_S)
    if answer.is_error:
        await confirm_error(lease)
        raise BackendStatementError(answer.first)
    if answer.is_result_set:
        status = await forward_answer(context, answer, lease)
        if status is None:
            # The caller has the error packet; whether a transaction is open is unknown.
            lease.connection.close()
        return None
    await acknowledge(context, term, lease)
    return StatementResult(
        answer.ok.affected_rows, answer.ok.last_insert_id, answer.ok.warnings
    )
