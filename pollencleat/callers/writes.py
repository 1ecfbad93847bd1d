"""Writes outside of a transaction."""

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.acknowledgement import (
    acknowledge,
    borrow_primary,
    refusal_of,
    require_known_history,
)
from pollencleat.callers.claims import run_once
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_LIMIT_S,
    Done,
    StatementContext,
    ask,
    hand_on,
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
) -> Done | None:
    """Run one write.

    Args:
        context: The caller.
        customer: Who asks.
        group: The group.
        command: What to send.
        hints: The caller's hints; with a request id it runs at most once.

    Returns:
        The result, or None if a result set was handed on.
    """
    term = context.gateway.require_writable(group.group_id)
    require_known_history(context, term)
    lease = await borrow_primary(context, customer, term)
    reusable = False
    try:
        # The permit may have run out in the queue.
        if not context.gateway.is_still_writable(term):
            reusable = True
            raise WritesUnavailableError(f"group {group.group_id}: permit lapsed", 200)
        if hints.request_id:
            done = await run_once(context, customer, term, lease, command, hints)
        else:
            done = await run_write(context, term, lease, command)
        reusable = True
        return done
    except BackendStatementError as error:
        reusable = True
        raise refusal_of(error, term) from error
    except (BackendLostError, TimeoutError) as error:
        raise UnknownOutcomeError(f"no answer from {term.primary}: {error}") from (
            error
        )
    finally:
        lease.give_back(reusable)


async def run_write(
    context: StatementContext, term: GroupTerm, lease: Lease, command: Command
) -> Done | None:
    """Run a write that has no request id.

    Args:
        context: The caller.
        term: The term to write in.
        lease: A connection to its primary.
        command: What to send.

    Returns:
        The result, or None if a result set was handed on.
    """
    answer = await ask(lease, command, ANSWER_LIMIT_S)
    if answer.is_error:
        raise BackendStatementError(answer.first)
    if answer.is_result_set:
        status = await hand_on(context, answer, lease)
        if status is None:
            raise BackendLostError("the result ended with an error")
        return None
    await acknowledge(context, term, lease)
    return Done(answer.ok.affected_rows, answer.ok.last_insert_id, answer.ok.warnings)
