"""Reads outside of a transaction."""

from pollencleat.backend.pool import ANY_TERM
from pollencleat.callers.commands import Command
from pollencleat.callers.context import (
    ANSWER_LIMIT_S,
    Done,
    StatementContext,
    ask,
    hand_on,
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

DEFAULT_KIND = "default"

DEFAULT_MAX_AGE_MS = 10_000

MAX_AGE_LIMIT_MS = 3_600_000

READ_TRIES = 3


async def run_read(
    context: StatementContext,
    customer: Customer,
    group: DatabaseGroup,
    command: Command,
    hints: Hints,
) -> Done | None:
    """Answer a read outside of a transaction.

    Args:
        context: The caller.
        customer: Who asks.
        group: The group.
        command: What to send.
        hints: The caller's hints.

    Returns:
        None if a result set was handed on.
    """
    context.gateway.retry_budget.record_attempt()
    tries = 0
    while True:
        tries += 1
        request = await make_read_request(context, group, hints)
        server_id = await context.gateway.choose_server(request)
        try:
            return await read_from(context, server_id, customer, group, command)
        except (BackendUnreachableError, BackendLostError) as error:
            if tries >= READ_TRIES or not context.gateway.retry_budget.take():
                if isinstance(error, BackendUnreachableError):
                    raise
                raise NoReplicaError(f"the read broke off: {error}", 200) from error
            context.gateway.metrics.count("read_retried", group.group_id)
            await context.gateway.sampler.sample(server_id)


async def make_read_request(
    context: StatementContext, group: DatabaseGroup, hints: Hints
) -> ReadRequest:
    """Return what a read of this session needs.

    Args:
        context: The caller.
        group: The group.
        hints: The caller's hints.

    Returns:
        Floor and age limit.
    """
    rule = find_read_rule(context, hints)
    floor = await find_floor(context, group.group_id)
    max_age_ms = rule.max_age_ms
    if hints.max_age_ms is not None:
        max_age_ms = min(max_age_ms, hints.max_age_ms)
    max_age_ms = min(max_age_ms, MAX_AGE_LIMIT_MS)
    return ReadRequest(group.group_id, floor, max_age_ms / 1000, rule.wait_ms / 1000)


def find_read_rule(context: StatementContext, hints: Hints) -> ReadRule:
    """Return the declared rule of a read.

    Args:
        context: The caller.
        hints: Its hints.

    Returns:
        The rule of the named kind, or the default.

    Raises:
        InvalidHintError: The kind is not declared.
    """
    rules = context.gateway.board.inventory.read_rules_by_kind
    rule = rules.get(hints.kind or DEFAULT_KIND)
    if rule is not None:
        return rule
    if hints.kind:
        raise InvalidHintError(f"no read kind {hints.kind!r} is declared")
    return ReadRule(DEFAULT_KIND, DEFAULT_MAX_AGE_MS)


async def find_floor(context: StatementContext, group_id: str) -> int:
    """Return the position that an answer to this session must include.

    Args:
        context: The caller.
        group_id: The group.

    Returns:
        A log position of the current history.

    Raises:
        SessionHistoryLostError: A failover lost what the session saw.
        NoReplicaError: What it saw cannot be determined here.
    """
    session = context.session
    if group_id not in session.floor_known:
        session.note_seen(group_id, await context.gateway.sample_floor(group_id))
        session.floor_known.add(group_id)
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


async def read_from(
    context: StatementContext,
    server_id: str,
    customer: Customer,
    group: DatabaseGroup,
    command: Command,
) -> Done | None:
    """Run a read on a chosen server.

    Args:
        context: The caller.
        server_id: The server.
        customer: Who asks.
        group: The group.
        command: What to send.

    Returns:
        None, since the answer was handed on.

    Raises:
        BackendLostError: Nothing was handed on; another server may be asked.
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
        answer = await ask(lease, command, ANSWER_LIMIT_S)
        if is_primary and not may_show_primary_read(context, term):
            raise BackendLostError("the primary may have been replaced")
        status = await hand_on(context, answer, lease)
        reusable = status is not None
        return None
    except TimeoutError:
        raise BackendLostError(f"{server_id} does not answer") from None
    finally:
        lease.give_back(reusable)


def may_show_primary_read(context: StatementContext, term: GroupTerm) -> bool:
    """Return whether an answer of the primary may be shown.

    Args:
        context: The caller.
        term: The term under which it was asked.

    Returns:
        False if the primary may have been replaced meanwhile.
    """
    if context.gateway.is_still_writable(term):
        return True
    return not context.gateway.holds_permit()
