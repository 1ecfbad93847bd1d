"""Transactions that a caller begins and ends explicitly."""

import asyncio

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import ANY_TERM, Lease
from pollencleat.callers.acknowledgement import (
    check_session_history,
    commit_on_server,
    error_for_caller,
    lease_primary_connection,
)
from pollencleat.callers.claims import claim_request
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_START_TIMEOUT_S,
    StatementContext,
    StatementResult,
    forward_answer,
    request_answer,
)
from pollencleat.callers.reads import make_read_request
from pollencleat.callers.session import Transaction
from pollencleat.core.data import Customer, DatabaseGroup
from pollencleat.core.errors import (
    BackendError,
    BackendLostError,
    NoReplicaError,
    RequestAlreadyDoneError,
    TransactionLostError,
    UnknownOutcomeError,
    UnsupportedStatementError,
    WritesUnavailableError,
)
from pollencleat.journal import requests
from pollencleat.routing.statements import Action, Hints


async def begin_transaction(
    context: StatementContext,
    customer: Customer,
    group: DatabaseGroup,
    hints: Hints,
    read_only: bool,
) -> StatementResult:
    """Begin a transaction; an open one is committed first, as MySQL does.

    Args:
        context: The caller's statement context.
        customer: The client account that sent the statement.
        group: The database group of the transaction.
        hints: The caller's hints; with a request id, the transaction runs at most once.
        read_only: Whether the transaction only reads, and so may run on a replica.

    Returns:
        The result to send to the caller.

    Raises:
        WritesUnavailableError: The primary cannot be written to at the moment.
        NoReplicaError: No server can run the read-only transaction.
        RequestAlreadyDoneError: A transaction with this request id was committed.
    """
    if context.session.transaction is not None:
        await commit_transaction(context)
    if read_only:
        return await begin_read_only(context, customer, group, hints)
    term = context.gateway.require_writable(group.group_id)
    check_session_history(context, term)
    lease = await lease_primary_connection(context, customer, term)
    try:
        async with asyncio.timeout(ANSWER_START_TIMEOUT_S):
            await lease.connection.run("BEGIN")
            if hints.request_id:
                await claim_for_transaction(context, customer, lease, hints)
    except BackendStatementError as error:
        lease.release(False)
        raise error_for_caller(error, term) from error
    except (BackendLostError, TimeoutError) as error:
        lease.release(False)
        raise WritesUnavailableError(
            f"cannot begin a transaction on {term.primary}: {error}", 200
        ) from error
    except BaseException:
        lease.release(False)
        raise
    context.session.transaction = Transaction(lease, term, True, hints.request_id)
    return StatementResult()


async def claim_for_transaction(
    context: StatementContext, customer: Customer, lease: Lease, hints: Hints
) -> None:
    """Claim a request id for a transaction.

    Args:
        context: The caller's statement context.
        customer: The client account that owns the id.
        lease: A leased connection with an open transaction.
        hints: The statement's hints, including the request id.

    Raises:
        RequestAlreadyDoneError: A transaction with this request id was committed.
    """
    recorded = await claim_request(context, customer, lease, hints.request_id)
    if recorded is None:
        return
    context.gateway.metrics.count("request_repeated", customer.customer_id)
    raise RequestAlreadyDoneError(f"request {hints.request_id} was already committed")


async def begin_read_only(
    context: StatementContext, customer: Customer, group: DatabaseGroup, hints: Hints
) -> StatementResult:
    """Begin a read-only transaction, on a replica if one is fresh enough.

    Args:
        context: The caller's statement context.
        customer: The client account that sent the statement.
        group: The database group of the transaction.
        hints: The caller's hints.

    Returns:
        The result to send to the caller.

    Raises:
        NoReplicaError: No server qualifies, or the chosen one failed.
    """
    request = await make_read_request(context, group, hints)
    server_id = await context.gateway.choose_server(request)
    term = context.gateway.board.group_term(group.group_id)
    is_primary = server_id == term.primary
    lease = await context.gateway.borrow(
        server_id,
        customer,
        term.term if is_primary else ANY_TERM,
        context.gateway.queue_deadline_s(),
    )
    context.gateway.metrics.count("read_primary" if is_primary else "read_replica")
    try:
        await lease.connection.run("START TRANSACTION READ ONLY")
    except (BackendError, BackendStatementError) as error:
        lease.release(False)
        raise NoReplicaError(
            f"cannot begin a transaction on {server_id}: {error}", 200
        ) from error
    except BaseException:
        lease.release(False)
        raise
    context.session.transaction = Transaction(lease, term, False)
    return StatementResult()


async def run_in_transaction(
    context: StatementContext, action: Action, command: Command
) -> StatementResult | None:
    """Run a statement in the open transaction.

    Args:
        context: The caller's statement context.
        action: Whether the statement reads or writes.
        command: The command to send to the server.

    Returns:
        The result, or None if a result set was forwarded.

    Raises:
        UnsupportedStatementError: A write in a read-only transaction.
        TransactionLostError: The permit expired before a write, or the connection was
            lost.
        BackendStatementError: The server refused the statement.
    """
    transaction = context.session.transaction
    if action is Action.WRITE:
        if not transaction.writable:
            raise UnsupportedStatementError("cannot write in a read-only transaction")
        if not context.gateway.is_still_writable(transaction.term):
            context.session.end_transaction(reusable=False)
            raise TransactionLostError(
                "the write permit lapsed before the write was sent"
            )
        transaction.has_written = True
    try:
        answer = await request_answer(
            transaction.lease, command, ANSWER_START_TIMEOUT_S
        )
        if answer.is_error:
            raise BackendStatementError(answer.first)
        if answer.is_result_set:
            if await forward_answer(context, answer, transaction.lease) is None:
                context.session.end_transaction(reusable=False)
            return None
    except BackendStatementError as error:
        # Lock wait timeout and deadlock: the transaction is rolled back.
        if error.code in (1205, 1213):
            context.session.end_transaction(reusable=False)
        raise
    except (BackendLostError, TimeoutError) as error:
        context.session.end_transaction(reusable=False)
        raise TransactionLostError(f"connection to the server lost: {error}") from error
    except BaseException:
        context.session.end_transaction(reusable=False)
        raise
    ok = answer.ok
    transaction.affected_rows += ok.affected_rows
    transaction.last_insert_id = ok.last_insert_id or transaction.last_insert_id
    return StatementResult(ok.affected_rows, ok.last_insert_id, ok.warnings)


async def commit_transaction(
    context: StatementContext,
) -> StatementResult:
    """Commit the open transaction, if there is one.

    Args:
        context: The caller's statement context.

    Returns:
        The result to send to the caller.

    Raises:
        TransactionLostError: The transaction was not committed.
        UnknownOutcomeError: The transaction may or may not have been committed.
    """
    transaction = context.session.transaction
    if transaction is None:
        return StatementResult()
    lease = transaction.lease
    reusable = False
    try:
        if not transaction.writable:
            await lease.connection.run("COMMIT")
        else:
            await record_transaction_outcome(context, transaction)
            await commit_on_server(context, transaction.term, lease)
        reusable = True
        return StatementResult()
    except (BackendLostError, TimeoutError) as error:
        if not transaction.has_written and not transaction.request_id:
            raise TransactionLostError(
                f"connection to the server lost: {error}"
            ) from error
        raise UnknownOutcomeError(f"no answer to COMMIT: {error}") from error
    finally:
        context.session.end_transaction(reusable)


async def record_transaction_outcome(
    context: StatementContext, transaction: Transaction
) -> None:
    """Record the outcome of a transaction in the journal if it has a request id.

    Args:
        context: The caller's statement context.
        transaction: The open transaction.

    Raises:
        TransactionLostError: The connection was lost, or the server refused the record.
    """
    if not transaction.request_id:
        return
    customer_id = context.session.customer_id
    outcome = requests.RecordedOutcome(
        transaction.affected_rows, transaction.last_insert_id
    )
    try:
        await transaction.lease.connection.run(
            requests.store_outcome_sql(customer_id, transaction.request_id, outcome)
        )
    except (BackendLostError, BackendStatementError) as error:
        raise TransactionLostError(str(error)) from error


async def roll_back_transaction(
    context: StatementContext,
) -> StatementResult:
    """Roll back the open transaction, if there is one.

    Args:
        context: The caller's statement context.

    Returns:
        The result to send to the caller.
    """
    transaction = context.session.transaction
    if transaction is None:
        return StatementResult()
    reusable = False
    try:
        await transaction.lease.connection.run("ROLLBACK")
        reusable = True
    except (BackendError, BackendStatementError):
        # Closing the connection, as done below, rolls back as well.
        context.gateway.metrics.count("rollback_by_close")
    finally:
        context.session.end_transaction(reusable)
    return StatementResult()
