"""What carrying out a statement needs, and the exchange with a backend server.

Each function that carries out a statement ends in one of three ways: the answer was
handed on, a CallerError with its outcome was raised before anything was handed on, or
an error packet follows a part of a result set.
"""

import asyncio
from dataclasses import dataclass

from pollencleat.backend.pool import Lease
from pollencleat.callers.commands import Command
from pollencleat.callers.gateway import Gateway
from pollencleat.callers.relay import (
    Answer,
    EndMaker,
    forward_result_set,
    read_answer_start,
)
from pollencleat.callers.session import CallerSession
from pollencleat.callers.stream import CallerStream
from pollencleat.core.errors import BackendLostError, FailedError
from pollencleat.routing.tokens import parse_token

NO_HISTORY_TOKEN = "none"
ANSWER_LIMIT_S = 300.0
"""How long a server that is alive may take to begin an answer."""

READ_ONLY_CODES = frozenset({1290, 1836})
"""A server that is read-only refuses a write before it runs."""


@dataclass(slots=True)
class StatementContext:
    """One caller's session with all that its statements use.

    Attributes:
        caller_deprecates_eof: The caller expects an OK packet after a result set.
    """

    gateway: Gateway
    session: CallerSession
    stream: CallerStream
    end_maker: EndMaker
    caller_deprecates_eof: bool = True


@dataclass(frozen=True, slots=True)
class Done:
    """A statement succeeded without a result set."""

    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0


async def ask(lease: Lease, command: Command, limit_s: float) -> Answer:
    """Send a command and read the start of its answer.

    Args:
        lease: A lent connection.
        command: What to send.
        limit_s: How long the server may take to begin.

    Returns:
        The start of the answer.

    Raises:
        TimeoutError: The server took longer.
        BackendLostError: The connection broke.
    """
    async with asyncio.timeout(limit_s):
        await command.send(lease.connection)
        return await read_answer_start(lease.connection)


async def hand_on(
    context: StatementContext, answer: Answer, lease: Lease
) -> int | None:
    """Hand an answer on to the caller.

    Args:
        context: The caller.
        answer: Start of the answer.
        lease: Where the rest comes from.

    Returns:
        Status flags of the end, or None if it ended with an error.

    Raises:
        FailedError: The result broke off.
    """
    if not answer.is_result_set:
        await context.stream.write(answer.first)
        return answer.ok.status if answer.ok else 0
    try:
        status = await forward_result_set(
            answer,
            lease.connection,
            context.stream,
            context.caller_deprecates_eof,
            context.end_maker,
        )
    except BackendLostError as error:
        raise FailedError(f"the result broke off: {error}") from error
    await context.stream.drain()
    return status


def adopt_token(context: StatementContext, text: str) -> None:
    """Raise the session's floor to what a token says.

    Args:
        context: The caller.
        text: A token, or ``none`` for a session without history.

    Raises:
        InvalidHintError: The text is not a token.
    """
    session = context.session
    if text == NO_HISTORY_TOKEN:
        session.floor_known.update(context.gateway.board.inventory.groups_by_id)
        return
    token = parse_token(text)
    session.note_seen(token.group_id, token.seen)
    session.floor_known.add(token.group_id)
