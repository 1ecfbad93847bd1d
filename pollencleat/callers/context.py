"""Context of a statement, and the exchange of commands with a backend server.

Each function that runs a statement ends in one of three ways: the answer was forwarded,
a CallerError with its outcome was raised before anything was forwarded, or an error
packet follows a part of a result set.
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
"""Token of a session that has seen nothing yet."""

ANSWER_START_TIMEOUT_S = 300.0
"""Time limit for the first packet of an answer from a server that is alive."""

READ_ONLY_CODES = frozenset({1290, 1836})
"""Error codes with which a read-only server refuses a write before running it."""


@dataclass(slots=True)
class StatementContext:
    """One caller's session with the objects that run its statements.

    Attributes:
        gateway: Pools, routing and write permits of this node.
        session: State of the caller's connection.
        stream: Packets to and from the caller.
        end_maker: Builds the packets that end a result set for this caller.
        caller_deprecates_eof: Whether the caller negotiated CLIENT_DEPRECATE_EOF and
            expects an OK packet instead of an EOF packet after a result set.
    """

    gateway: Gateway
    session: CallerSession
    stream: CallerStream
    end_maker: EndMaker
    caller_deprecates_eof: bool = True


@dataclass(frozen=True, slots=True)
class StatementResult:
    """Result of a statement that succeeded without a result set."""

    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0


async def request_answer(lease: Lease, command: Command, timeout_s: float) -> Answer:
    """Send a command and read the start of its answer.

    Args:
        lease: The leased connection to use.
        command: The command to send to the server.
        timeout_s: Time limit for the first packet of the answer, in seconds.

    Returns:
        The start of the answer.

    Raises:
        TimeoutError: The server did not answer in time.
        BackendLostError: The connection broke.
    """
    async with asyncio.timeout(timeout_s):
        await command.send(lease.connection)
        return await read_answer_start(lease.connection)


async def forward_answer(
    context: StatementContext, answer: Answer, lease: Lease
) -> int | None:
    """Forward an answer to the caller.

    Args:
        context: The caller's statement context.
        answer: Start of the answer.
        lease: The connection from which the rest is read.

    Returns:
        Server status flags at the end of the answer, or None if a result set ended with
        an error.

    Raises:
        FailedError: The connection was lost within the result set.
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
        raise FailedError(
            f"the connection was lost within the result set: {error}"
        ) from error
    await context.stream.drain()
    return status


def apply_token(context: StatementContext, text: str) -> None:
    """Raise the session's minimum log position to that of a token.

    Args:
        context: The caller's statement context.
        text: A session token, or ``none`` for a session without history.

    Raises:
        InvalidHintError: The text is not a token.
    """
    session = context.session
    if text == NO_HISTORY_TOKEN:
        session.groups_with_known_floor.update(
            context.gateway.board.inventory.groups_by_id
        )
        return
    token = parse_token(text)
    session.note_seen(token.group_id, token.seen)
    session.groups_with_known_floor.add(token.group_id)
