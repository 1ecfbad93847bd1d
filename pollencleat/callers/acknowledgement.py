"""What every write needs before it is sent and before it is acknowledged."""

import asyncio

from pollencleat.backend import operations
from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.context import (
    ANSWER_LIMIT_S,
    READ_ONLY_CODES,
    StatementContext,
)
from pollencleat.core.data import Customer, GroupTerm, Position
from pollencleat.core.errors import (
    CallerError,
    SessionHistoryLostError,
    TransactionLostError,
    UnknownOutcomeError,
    WritesUnavailableError,
)
from pollencleat.routing.tokens import floor_position

POSITION_LIMIT_S = 0.5


def require_known_history(context: StatementContext, term: GroupTerm) -> None:
    """Check that the session was told of every loss before it writes on.

    Args:
        context: The caller.
        term: The term that it would write in.

    Raises:
        SessionHistoryLostError: A failover lost what the session saw.
    """
    seen = context.session.seen_by_group.get(term.group_id)
    if seen is None:
        return
    try:
        floor_position(term, seen)
    except SessionHistoryLostError:
        context.session.forget_history(term.group_id)
        raise


async def borrow_primary(
    context: StatementContext, customer: Customer, term: GroupTerm
) -> Lease:
    """Lend a connection to a term's primary.

    Args:
        context: The caller.
        customer: Who asks.
        term: The term.

    Returns:
        A lease.
    """
    gateway = context.gateway
    return await gateway.borrow(
        term.primary, customer, term.term, gateway.queue_deadline_s()
    )


async def acknowledge(context: StatementContext, term: GroupTerm, lease: Lease) -> None:
    """Learn the position of a committed write and check the permit again.

    Args:
        context: The caller.
        term: The term that the write was sent in.
        lease: The connection that it was committed on.

    Raises:
        UnknownOutcomeError: The permit lapsed, or the position is not known.
    """
    try:
        async with asyncio.timeout(POSITION_LIMIT_S):
            server_term, position = await operations.read_position(lease.connection)
    except BackendStatementError as error:
        raise UnknownOutcomeError(f"the write's position is unknown: {error}") from (
            error
        )
    if server_term != term.term or not context.gateway.is_still_writable(term):
        context.gateway.metrics.count("acknowledgement_withheld", term.group_id)
        raise UnknownOutcomeError(
            f"the write permit of term {term.term} lapsed before the answer"
        )
    context.session.note_seen(term.group_id, Position(term.term, position))
    context.session.floor_known.add(term.group_id)


async def commit_on_server(
    context: StatementContext, term: GroupTerm, lease: Lease
) -> None:
    """Commit on the server and check that it may be acknowledged.

    Args:
        context: The caller.
        term: The term of the transaction.
        lease: Its connection.

    Raises:
        TransactionLostError: It was rolled back.
        UnknownOutcomeError: The permit lapsed before the answer.
    """
    if not context.gateway.is_still_writable(term):
        raise TransactionLostError(f"the write permit of term {term.term} lapsed")
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await lease.connection.run("COMMIT")
    except BackendStatementError as error:
        raise TransactionLostError(str(error)) from error
    await acknowledge(context, term, lease)


def refusal_of(error: BackendStatementError, term: GroupTerm) -> CallerError:
    """Return the error to tell a caller when the primary refused a statement.

    Args:
        error: The server's error.
        term: The term that the statement was sent in.

    Returns:
        The same error, or that writes are unavailable if the server is read-only.
    """
    if error.code not in READ_ONLY_CODES:
        return error
    return WritesUnavailableError(f"{term.primary} is read-only", 200)
