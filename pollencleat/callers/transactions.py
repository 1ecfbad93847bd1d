"""Transactions that a caller begins and ends."""

import asyncio

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import ANY_TERM, Lease
from pollencleat.callers.acknowledgement import (
    borrow_primary,
    commit_on_server,
    refusal_of,
    require_known_history,
)
from pollencleat.callers.claims import claim_request
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_LIMIT_S,
    Done,
    StatementContext,
    ask,
    hand_on,
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
) -> Done:
    """Begin a transaction.

    Args:
        context: The caller.
        customer: Who asks.
        group: The group.
        hints: The caller's hints; a request id makes it run at most once.
        read_only: It may run on a replica.

    Returns:
        The result.
    """
    if context.session.transaction is not None:
        await commit_transaction(context)
    if read_only:
        return await begin_read_only(context, customer, group, hints)
    term = context.gateway.require_writable(group.group_id)
    require_known_history(context, term)
    lease = await borrow_primary(context, customer, term)
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await lease.connection.run("BEGIN")
            if hints.request_id:
                await claim_for_transaction(context, customer, lease, hints)
    except BackendStatementError as error:
        lease.give_back(False)
        raise refusal_of(error, term) from error
    except (BackendLostError, TimeoutError) as error:
        lease.give_back(False)
        raise WritesUnavailableError(f"{term.primary}: {error}", 200) from error
    except BaseException:
        lease.give_back(False)
        raise
    context.session.transaction = Transaction(lease, term, True, hints.request_id)
    return Done()


async def claim_for_transaction(
    context: StatementContext, customer: Customer, lease: Lease, hints: Hints
) -> None:
    """Claim a request id for a transaction.

    Args:
        context: The caller.
        customer: Whom the id belongs to.
        lease: A connection with a transaction open.
        hints: With the request id.

    Raises:
        RequestAlreadyDoneError: It was committed before.
    """
    recorded = await claim_request(context, customer, lease, hints.request_id)
    if recorded is None:
        return
    context.gateway.metrics.count("request_repeated", customer.customer_id)
    raise RequestAlreadyDoneError(f"request {hints.request_id} was committed before")


async def begin_read_only(
    context: StatementContext, customer: Customer, group: DatabaseGroup, hints: Hints
) -> Done:
    """Begin a transaction that may run on a replica.

    Args:
        context: The caller.
        customer: Who asks.
        group: The group.
        hints: The caller's hints.

    Returns:
        The result.
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
        lease.give_back(False)
        raise NoReplicaError(f"{server_id}: {error}", 200) from error
    except BaseException:
        lease.give_back(False)
        raise
    context.session.transaction = Transaction(lease, term, False)
    return Done()


async def run_in_transaction(
    context: StatementContext, action: Action, command: Command
) -> Done | None:
    """Run a statement in the open transaction.

    Args:
        context: The caller.
        action: Kind of statement.
        command: What to send.

    Returns:
        The result, or None if a result set was handed on.
    """
    transaction = context.session.transaction
    if action is Action.WRITE:
        if not transaction.writable:
            raise UnsupportedStatementError("the transaction is read only")
        if not context.gateway.is_still_writable(transaction.term):
            context.session.end_transaction(reusable=False)
            raise TransactionLostError("the write permit lapsed")
        transaction.has_written = True
    try:
        answer = await ask(transaction.lease, command, ANSWER_LIMIT_S)
        if answer.is_error:
            raise BackendStatementError(answer.first)
        if answer.is_result_set:
            if await hand_on(context, answer, transaction.lease) is None:
                context.session.end_transaction(reusable=False)
            return None
    except BackendStatementError as error:
        if error.code in (1205, 1213):
            context.session.end_transaction(reusable=False)
        raise
    except (BackendLostError, TimeoutError) as error:
        context.session.end_transaction(reusable=False)
        raise TransactionLostError(f"connection lost: {error}") from error
    except BaseException:
        context.session.end_transaction(reusable=False)
        raise
    ok = answer.ok
    transaction.affected_rows += ok.affected_rows
    transaction.last_insert_id = ok.last_insert_id or transaction.last_insert_id
    return Done(ok.affected_rows, ok.last_insert_id, ok.warnings)


async def commit_transaction(
    context: StatementContext,
) -> Done:
    """Commit the open transaction.

    Returns:
        The result.
    """
    transaction = context.session.transaction
    if transaction is None:
        return Done()
    lease = transaction.lease
    reusable = False
    try:
        if not transaction.writable:
            await lease.connection.run("COMMIT")
        else:
            await record_transaction(context, transaction)
            await commit_on_server(context, transaction.term, lease)
        reusable = True
        return Done()
    except (BackendLostError, TimeoutError) as error:
        if not transaction.has_written and not transaction.request_id:
            raise TransactionLostError(f"connection lost: {error}") from error
        raise UnknownOutcomeError(f"no answer to COMMIT: {error}") from error
    finally:
        context.session.end_transaction(reusable)


async def record_transaction(
    context: StatementContext, transaction: Transaction
) -> None:
    """Store the outcome of a transaction with a request id.

    Args:
        context: The caller.
        transaction: The transaction.

    Raises:
        TransactionLostError: The connection was lost.
    """
    if not transaction.request_id:
        return
    customer_id = context.session.customer_id
    outcome = requests.RecordedOutcome(
        transaction.affected_rows, transaction.last_insert_id
    )
    try:
        await transaction.lease.connection.run(
            requests.record_sql(customer_id, transaction.request_id, outcome)
        )
    except (BackendLostError, BackendStatementError) as error:
        raise TransactionLostError(str(error)) from error


async def roll_back_transaction(
    context: StatementContext,
) -> Done:
    """Roll the open transaction back.

    Returns:
        The result.
    """
    transaction = context.session.transaction
    if transaction is None:
        return Done()
    reusable = False
    try:
        await transaction.lease.connection.run("ROLLBACK")
        reusable = True
    except (BackendError, BackendStatementError):
        # A closed connection rolls back just as well.
        context.gateway.metrics.count("rollback_by_close")
    finally:
        context.session.end_transaction(reusable)
    return Done()
