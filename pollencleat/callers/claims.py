"""At-most-once requests: claiming a request id and recording the outcome."""

import asyncio

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.acknowledgement import acknowledge, commit_on_server
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_START_TIMEOUT_S,
    StatementContext,
    StatementResult,
    request_answer,
)
from pollencleat.callers.gateway import unix_time_s
from pollencleat.core.data import Customer, GroupTerm
from pollencleat.core.errors import (
    BackendLostError,
    InvalidHintError,
    UnknownOutcomeError,
)
from pollencleat.journal import requests
from pollencleat.routing.statements import Hints

NO_SUCH_TABLE_CODE = 1146
"""MySQL error code of a statement on a missing table."""


async def run_idempotent_write(
    context: StatementContext,
    customer: Customer,
    term: GroupTerm,
    lease: Lease,
    command: Command,
    hints: Hints,
) -> StatementResult:
    """Run a write with a request id, or return the outcome of its first run.

    Args:
        context: The caller's statement context.
        customer: The client account that sent the statement.
        term: The term to write in.
        lease: A leased connection to the primary of the term.
        command: The command to send to the server.
        hints: The statement's hints, including the request id.

    Returns:
        The result of the first run.

    Raises:
        BackendStatementError: The server refused the statement.
        BackendLostError: The statement returned a result set, which the journal
            cannot record.
    """
    connection = lease.connection
    await connection.run("BEGIN")
    recorded = await claim_request(context, customer, lease, hints.request_id)
    if recorded is not None:
        await connection.run("ROLLBACK")
        await acknowledge(context, term, lease)
        context.gateway.metrics.count("request_repeated", customer.customer_id)
        return StatementResult(recorded.affected_rows, recorded.last_insert_id)
    answer = await request_answer(lease, command, ANSWER_START_TIMEOUT_S)
    if answer.is_error:
        await connection.run("ROLLBACK")
        raise BackendStatementError(answer.first)
    if answer.is_result_set:
        raise BackendLostError(
            "the result set of a request with an id cannot be recorded"
        )
    outcome = requests.RecordedOutcome(
        answer.ok.affected_rows, answer.ok.last_insert_id
    )
    await connection.run(
        requests.store_outcome_sql(customer.customer_id, hints.request_id, outcome)
    )
    await commit_on_server(context, term, lease)
    return StatementResult(
        outcome.affected_rows, outcome.last_insert_id, answer.ok.warnings
    )


async def claim_request(
    context: StatementContext, customer: Customer, lease: Lease, request_id: str
) -> requests.RecordedOutcome | None:
    """Insert a request id into the journal, creating the journal if necessary.

    Args:
        context: The caller's statement context.
        customer: The client account that owns the id.
        lease: A leased connection with an open transaction.
        request_id: The request id.

    Returns:
        The recorded outcome if the request ran before, or None.

    Raises:
        InvalidHintError: The id contains characters that are not allowed.
        UnknownOutcomeError: The id's record is being removed from the journal.
        BackendStatementError: The server refused the insertion.
    """
    if not requests.is_valid_request_id(request_id):
        raise InvalidHintError(
            "request_id may contain only letters, digits and . _ : -"
        )
    connection = lease.connection
    sql = requests.claim_request_sql(customer.customer_id, request_id, unix_time_s())
    try:
        async with asyncio.timeout(ANSWER_START_TIMEOUT_S):
            await connection.run(sql)
        return None
    except BackendStatementError as error:
        if error.code == NO_SUCH_TABLE_CODE:
            await create_journal_table(lease)
            return await claim_request(context, customer, lease, request_id)
        if error.code not in requests.DUPLICATE_KEY_CODES:
            raise
    rows = await connection.run(requests.select_sql(customer.customer_id, request_id))
    if not rows:
        raise UnknownOutcomeError(
            "the record of the request is being removed from the journal"
        )
    return requests.RecordedOutcome(int(rows[0][0]), int(rows[0][1]))


async def create_journal_table(lease: Lease) -> None:
    """Create the journal table and restart the transaction.

    Creating a table would commit the open transaction, so it is rolled back first.

    Args:
        lease: A leased connection with an open transaction.
    """
    await lease.connection.run("ROLLBACK")
    await lease.connection.run(requests.CREATE_TABLE)
    await lease.connection.run("BEGIN")
