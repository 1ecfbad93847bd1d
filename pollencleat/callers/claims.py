"""Requests that run at most once: claiming an id and recording the outcome."""

import asyncio

from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.acknowledgement import acknowledge, commit_on_server
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_LIMIT_S,
    Done,
    StatementContext,
    ask,
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

JOURNAL_MISSING_CODE = 1146


async def run_once(
    context: StatementContext,
    customer: Customer,
    term: GroupTerm,
    lease: Lease,
    command: Command,
    hints: Hints,
) -> Done:
    """Run a write with a request id, or return what its first run returned.

    Args:
        context: The caller.
        customer: Who asks.
        term: The term to write in.
        lease: A connection to its primary.
        command: What to send.
        hints: With the request id.

    Returns:
        The result of the first run.
    """
    connection = lease.connection
    await connection.run("BEGIN")
    recorded = await claim_request(context, customer, lease, hints.request_id)
    if recorded is not None:
        await connection.run("ROLLBACK")
        await acknowledge(context, term, lease)
        context.gateway.metrics.count("request_repeated", customer.customer_id)
        return Done(recorded.affected_rows, recorded.last_insert_id)
    answer = await ask(lease, command, ANSWER_LIMIT_S)
    if answer.is_error:
        await connection.run("ROLLBACK")
        raise BackendStatementError(answer.first)
    if answer.is_result_set:
        raise BackendLostError("a result set cannot be recorded")
    outcome = requests.RecordedOutcome(
        answer.ok.affected_rows, answer.ok.last_insert_id
    )
    await connection.run(
        requests.record_sql(customer.customer_id, hints.request_id, outcome)
    )
    await commit_on_server(context, term, lease)
    return Done(outcome.affected_rows, outcome.last_insert_id, answer.ok.warnings)


async def claim_request(
    context: StatementContext, customer: Customer, lease: Lease, request_id: str
) -> requests.RecordedOutcome | None:
    """Insert a request id into the journal.

    Args:
        context: The caller.
        customer: Whom the id belongs to.
        lease: A connection with a transaction open.
        request_id: The id.

    Returns:
        The recorded outcome if it ran before, or None.

    Raises:
        InvalidHintError: The id has other characters than allowed.
    """
    if not requests.is_valid_request_id(request_id):
        raise InvalidHintError("request_id takes letters, digits and . _ : -")
    connection = lease.connection
    sql = requests.insert_sql(customer.customer_id, request_id, unix_time_s())
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await connection.run(sql)
        return None
    except BackendStatementError as error:
        if error.code == JOURNAL_MISSING_CODE:
            await create_journal(lease)
            return await claim_request(context, customer, lease, request_id)
        if error.code not in requests.DUPLICATE_KEY_CODES:
            raise
    rows = await connection.run(requests.select_sql(customer.customer_id, request_id))
    if not rows:
        raise UnknownOutcomeError("the request's record is being removed")
    return requests.RecordedOutcome(int(rows[0][0]), int(rows[0][1]))


async def create_journal(lease: Lease) -> None:
    """Create the journal, and begin the transaction anew.

    Args:
        lease: A connection with a transaction open.
    """
    await lease.connection.run("ROLLBACK")
    await lease.connection.run(requests.CREATE_TABLE)
    await lease.connection.run("BEGIN")
