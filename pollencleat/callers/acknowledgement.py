"""Checks made before a write is sent and before it is acknowledged."""

import asyncio

from pollencleat.backend import operations
from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.context import (
    ANSWER_START_TIMEOUT_S,
    READ_ONLY_CODES,
    StatementContext,
)
from pollencleat.core.data import Customer, GroupTerm, Position
from pollencleat.core.errors import (
    BackendLostError,
    CallerError,
    SessionHistoryLostError,
    TransactionLostError,
    UnknownOutcomeError,
    WritesUnavailableError,
)
from pollencleat.routing.tokens import floor_position

POSITION_READ_TIMEOUT_S = 0.5
"""Time limit for reading the log position of a committed write."""


def check_session_history(context: StatementContext, term: GroupTerm) -> None:
    """Check that no failover lost writes that the session has seen.

    After the error, the session continues without the lost history.

    Args:
        context: The caller's statement context.
        term: The term to write in.

    Raises:
        SessionHistoryLostError: A failover lost writes that the session has seen.
    """
    seen = context.session.seen_by_group.get(term.group_id)
    if seen is None:
        return
    try:
        floor_position(term, seen)
    except SessionHistoryLostError:
        context.session.forget_history(term.group_id)
        raise


async def lease_primary_connection(
    context: StatementContext, customer: Customer, term: GroupTerm
) -> Lease:
    """Lease a connection to the primary of a term.

    Args:
        context: The caller's statement context.
        customer: The client account that sent the statement.
        term: The term whose primary is used.

    Returns:
        A lease of a connection to that primary.
    """
    gateway = context.gateway
    return await gateway.borrow(
        term.primary, customer, term.term, gateway.queue_deadline_s()
    )


async def acknowledge(context: StatementContext, term: GroupTerm, lease: Lease) -> None:
    """Record the log position of a committed write and recheck the permit.

    Args:
        context: The caller's statement context.
        term: The term that the write was sent in.
        lease: The connection on which the write was committed.

    Raises:
        UnknownOutcomeError: The permit expired, the group or the server is in another
            term, or the server refused to report the position.
        TimeoutError: The server did not report the position in time.
    """
    try:
        async with asyncio.timeout(POSITION_READ_TIMEOUT_S):
            server_term, position = await operations.read_position(lease.connection)
    except BackendStatementError as error:
        raise UnknownOutcomeError(
            f"cannot read the log position of the write: {error}"
        ) from error
    if server_term != term.term or not context.gateway.is_still_writable(term):
        context.gateway.metrics.count("acknowledgement_withheld", term.group_id)
        raise UnknownOutcomeError(
            f"the write permit of term {term.term} lapsed before acknowledgement"
        )
    context.session.note_seen(term.group_id, Position(term.term, position))
    context.session.groups_with_known_floor.add(term.group_id)


async def confirm_error(lease: Lease) -> None:
    """Check that the error just read is the answer to the latest command.

    The second error of an earlier command would be a false promise that the latest one
    did not run.

    Args:
        lease: The connection from which the error was read.

    Raises:
        BackendLostError: It may be the answer to an earlier command.
        TimeoutError: The server did not answer in time.
    """
    try:
        async with asyncio.timeout(POSITION_READ_TIMEOUT_S):
            await operations.read_position(lease.connection)
    except BackendStatementError as error:
        lease.connection.close()
        raise BackendLostError(f"cannot confirm an error: {error}") from error


async def commit_on_server(
    context: StatementContext, term: GroupTerm, lease: Lease
) -> None:
    """Commit on the server and check that the commit may be acknowledged.

    Args:
        context: The caller's statement context.
        term: The term of the transaction.
        lease: The connection of the transaction.

    Raises:
        TransactionLostError: The transaction was not committed: the permit expired
            before COMMIT was sent, or the server refused COMMIT.
        UnknownOutcomeError: The server committed, but the commit must not be
            acknowledged, for the reasons listed at acknowledge.
        BackendLostError: The connection broke, or an error may belong to an earlier
            command.
        TimeoutError: The server did not answer in time.
    """
    if not context.gateway.is_still_writable(term):
        raise TransactionLostError(
            f"the write permit of term {term.term} lapsed before COMMIT"
        )
    try:
        async with asyncio.timeout(ANSWER_START_TIMEOUT_S):
            await lease.connection.run("COMMIT")
    except BackendStatementError as error:
        await confirm_error(lease)
        raise TransactionLostError(str(error)) from error
    await acknowledge(context, term, lease)


def error_for_caller(error: BackendStatementError, term: GroupTerm) -> CallerError:
    """Return the error to send to a caller when the primary refused a statement.

    Args:
        error: The server's error.
        term: The term that the statement was sent in.

    Returns:
        The server's error, or a WritesUnavailableError if the server is read-only.
    """
    if error.code not in READ_ONLY_CODES:
        return error
    return WritesUnavailableError(f"the primary {term.primary} is read-only", 200)
