"""Reads outside a transaction."""

from pollencleat.backend.pool import ANY_TERM
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_START_TIMEOUT_S,
    StatementContext,
    StatementResult,
    forward_answer,
    request_answer,
)
from pollencleat.core.data import Customer, DatabaseGroup, GroupTerm, ReadRule
from pollencleat.core.errors import (
    BackendLostError,
    BackendUnreachableError,
    InvalidHintError,
    NoReplicaError,
    SessionHistoryLostError,
)
from pollencleat.routing.reads import ReadRequest
from pollencleat.routing.statements import Hints
from pollencleat.routing.tokens import floor_position

DEFAULT_READ_KIND = "default"
"""Kind of a read whose hints name none."""

DEFAULT_MAX_AGE_MS = 10_000

MAX_AGE_LIMIT_MS = 3_600_000

MAX_READ_ATTEMPTS = 3


async def run_read(
    context: StatementContext,
    customer: Customer,
    group: DatabaseGroup,
    command: Command,
    hints: Hints,
) -> StatementResult | None:
    """Run a read outside a transaction, retrying on other servers if it fails.

    Args:
        context: The caller's statement context.
        customer: The client account that sent the statement.
        group: The database group to read from.
        command: The command to send to the server.
        hints: The caller's hints.

    Returns:
        None, since the answer was forwarded.

    Raises:
        NoReplicaError: No server qualifies, or the attempts or the retry budget
            ran out.
        BackendUnreachableError: No connection could be opened.
    """
    context.gateway.retry_budget.record_attempt()
    attempts = 0
    while True:
        attempts += 1
        request = await make_read_request(context, group, hints)
        server_id = await context.gateway.choose_server(request)
        try:
            return await read_from_server(context, server_id, customer, group, command)
        except (BackendUnreachableError, BackendLostError) as error:
            if attempts >= MAX_READ_ATTEMPTS or not context.gateway.retry_budget.take():
                if isinstance(error, BackendUnreachableError):
                    raise
                raise NoReplicaError(f"the read failed: {error}", 200) from error
            context.gateway.metrics.count("read_retried", group.group_id)
            await context.gateway.sampler.sample(server_id)


async def make_read_request(
    context: StatementContext, group: DatabaseGroup, hints: Hints
) -> ReadRequest:
    """Return the freshness that a read of this session requires.

    Args:
        context: The caller's statement context.
        group: The database group to read from.
        hints: The caller's hints.

    Returns:
        Minimum log position, age limit and longest wait for a replica.
    """
    rule = find_read_rule(context, hints)
    floor = await find_floor(context, group.group_id)
    max_age_ms = rule.max_age_ms
    if hints.max_age_ms is not None:
        max_age_ms = min(max_age_ms, hints.max_age_ms)
    max_age_ms = min(max_age_ms, MAX_AGE_LIMIT_MS)
    return ReadRequest(group.group_id, floor, max_age_ms / 1000, rule.wait_ms / 1000)


def find_read_rule(context: StatementContext, hints: Hints) -> ReadRule:
    """Return the freshness rule of a read.

    Args:
        context: The caller's statement context.
        hints: The caller's hints.

    Returns:
        The rule of the kind in the hints, or the default rule.

    Raises:
        InvalidHintError: The inventory declares no such kind.
    """
    rules = context.gateway.board.inventory.read_rules_by_kind
    rule = rules.get(hints.kind or DEFAULT_READ_KIND)
    if rule is not None:
        return rule
    if hints.kind:
        raise InvalidHintError(f"read kind {hints.kind!r} is not declared")
    return ReadRule(DEFAULT_READ_KIND, DEFAULT_MAX_AGE_MS)


async def find_floor(context: StatementContext, group_id: str) -> int:
    """Return the minimum log position that an answer to this session must include.

    Args:
        context: The caller's statement context.
        group_id: The database group.

    Returns:
        A log position in the current history of the group.

    Raises:
        SessionHistoryLostError: A failover lost writes that the session has seen.
        NoReplicaError: What the session has seen cannot be determined on this node.
    """
    session = context.session
    if group_id not in session.groups_with_known_floor:
        session.note_seen(
            group_id, await context.gateway.sample_primary_position(group_id)
        )
        session.groups_with_known_floor.add(group_id)
    seen = session.seen_by_group.get(group_id)
    if seen is None:
        return 0
    term = context.gateway.board.group_term(group_id)
    if term is None or term.term < seen.term:
        raise NoReplicaError(
            f"group {group_id}: this node does not know term {seen.term} yet", 200
        )
    try:
        return floor_position(term, seen)
    except SessionHistoryLostError:
        session.forget_history(group_id)
        raise


async def read_from_server(
    context: StatementContext,
    server_id: str,
    customer: Customer,
    group: DatabaseGroup,
    command: Command,
) -> StatementResult | None:
    """Run a read on a chosen server.

    Args:
        context: The caller's statement context.
        server_id: The server to read from.
        customer: The client account that sent the statement.
        group: The database group to read from.
        command: The command to send to the server.

    Returns:
        None, since the answer was forwarded.

    Raises:
        BackendLostError: Nothing was forwarded; the read may be retried on another
            server.
        FailedError: The connection was lost after a part was forwarded.
    """
    gateway = context.gateway
    term = gateway.board.group_term(group.group_id)
    is_primary = server_id == term.primary
    lease = await gateway.borrow(
        server_id,
        customer,
        term.term if is_primary else ANY_TERM,
        gateway.queue_deadline_s(),
    )
    gateway.metrics.count("read_primary" if is_primary else "read_replica")
    lease.is_read = True
    reusable = False
    try:
        answer = await request_answer(lease, command, ANSWER_START_TIMEOUT_S)
        if is_primary and not may_forward_primary_read(context, term):
            raise BackendLostError("the primary may have been replaced during the read")
        status = await forward_answer(context, answer, lease)
        reusable = status is not None
        return None
    except TimeoutError:
        raise BackendLostError(f"{server_id} did not answer in time") from None
    finally:
        lease.release(reusable)


def may_forward_primary_read(context: StatementContext, term: GroupTerm) -> bool:
    """Return whether an answer of the primary may be forwarded to the caller.

    Args:
        context: The caller's statement context.
        term: The term in which the read was sent.

    Returns:
        False if this node holds a write permit and the group is no longer in this term.
        True without a permit, because the last known primary is then read like a
        replica.
    """
    if context.gateway.is_still_writable(term):
        return True
    return not context.gateway.holds_permit()
