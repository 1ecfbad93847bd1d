"""The platform's line protocol: words, fields and lines.

A line is a word and its fields, separated by blanks; the last field runs to the end.
"""

import asyncio
from dataclasses import dataclass

from pollencleat.core.data import Position
from pollencleat.core.errors import (
    BackendLostError,
    CallerError,
    FailedError,
    MalformedStatementError,
    NoReplicaError,
    NotRunError,
    StatementTimeoutError,
    TransactionLostError,
    UnknownDatabaseError,
    UnknownNameError,
    UnknownOutcomeError,
)
from pollencleat.engine.statements import (
    Access,
    Begin,
    Commit,
    Forget,
    Prepare,
    Rollback,
    ServerFailure,
    SetValue,
    Shape,
    Statement,
    Work,
)

MAX_LINE_BYTES = 1024 * 1024
"""Largest message; from the protocol."""

NO_POSITION = "-"
OWN_REQUEST = "-"
"""Request id of statements that the proxy itself issues."""

LINE_END = b"\r\n"

_failures_by_code = {
    "BUSY": ServerFailure.BUSY,
    "LAGGING": ServerFailure.BEHIND,
    "READONLY": ServerFailure.READ_ONLY,
    "UNKNOWN": ServerFailure.UNKNOWN_NAME,
    "MISROUTED": ServerFailure.OTHER_SERVER,
    "TOOMANY": ServerFailure.TOO_MANY,
    "FAILED": ServerFailure.FAILED,
    "TIMEOUT": ServerFailure.TIMED_OUT,
}

_codes_by_error: list[tuple[type[CallerError], str]] = [
    (UnknownDatabaseError, "NODATABASE"),
    (MalformedStatementError, "MALFORMED"),
    (UnknownNameError, "UNKNOWN"),
    (NoReplicaError, "LAGGING"),
    (NotRunError, "BUSY"),
    (TransactionLostError, "ABORTED"),
    (FailedError, "FAILED"),
    (StatementTimeoutError, "TIMEOUT"),
    (UnknownOutcomeError, "INDOUBT"),
]


NUMBER_DIGITS = 18
"""Longest number of a server that is read, in digits."""


class LineTooLongError(MalformedStatementError):
    """A line exceeds the protocol's limit, so that nothing after it can be read."""


@dataclass(frozen=True, slots=True)
class ReadyLine:
    """The end of an answer: the state of the session and the server's position."""

    in_transaction: bool
    position: Position | None


def code_of_error(error: CallerError) -> str:
    """Return the protocol's code for an error.

    Args:
        error: Any error for callers.

    Returns:
        The code whose promise is true for the error's outcome.
    """
    for kind, code in _codes_by_error:
        if isinstance(error, kind):
            return code
    return "INDOUBT"


def failure_of_code(code: str) -> ServerFailure:
    """Return what a server's error code means.

    Args:
        code: As received.

    Returns:
        The failure; REFUSED for codes that promise nothing.
    """
    return _failures_by_code.get(code, ServerFailure.REFUSED)


def format_position(position: Position | None) -> str:
    """Return the protocol's text of a position."""
    if position is None:
        return NO_POSITION
    return f"{position.term}.{position.position}"


def parse_position(text: str) -> Position | None:
    """Return the position of a text.

    Args:
        text: ``TERM.NUMBER`` or a dash.

    Returns:
        The position, or None.

    Raises:
        BackendLostError: The text is neither.
    """
    if text == NO_POSITION:
        return None
    term, _, number = text.partition(".")
    if not is_number(term) or not is_number(number):
        raise BackendLostError(f"malformed position {text[:40]!r}")
    return Position(int(term), int(number))


def is_number(text: str) -> bool:
    """Return whether a text is a whole decimal number that fits into 64 bits."""
    return text.isascii() and text.isdigit() and len(text) <= NUMBER_DIGITS


def parse_ready(fields: str) -> ReadyLine:
    """Return the content of the line that ends an answer.

    Args:
        fields: The line without its word.

    Returns:
        Its content.

    Raises:
        BackendLostError: The line is malformed.
    """
    state, _, position = fields.partition(" ")
    if state not in ("I", "T", "E"):
        raise BackendLostError(f"malformed state {fields[:40]!r}")
    return ReadyLine(state != "I", parse_position(position.strip()))


def parse_statement(line: str) -> Statement:
    """Return the statement of a caller's line.

    Args:
        line: Without the line end.

    Returns:
        The typed statement.

    Raises:
        MalformedStatementError: The line is no statement.
    """
    word, _, rest = line.partition(" ")
    request_id, _, text = rest.partition(" ")
    if word != "QUERY" or not request_id or not text:
        raise MalformedStatementError(f"not a statement: {line[:60]!r}")
    verb, _, arguments = text.partition(" ")
    statement = _parse_verb(request_id, verb, arguments, text)
    if statement is None:
        raise MalformedStatementError(f"not a statement: {text[:60]!r}")
    return statement


def _parse_verb(
    request_id: str, verb: str, arguments: str, text: str
) -> Statement | None:
    first, _, rest = arguments.partition(" ")
    if verb == "BEGIN" and arguments in ("", "READ"):
        return Begin(request_id, arguments == "READ")
    if verb == "COMMIT" and not arguments:
        return Commit(request_id)
    if verb == "ROLLBACK" and not arguments:
        return Rollback(request_id)
    if verb == "READ" and first:
        return Work(request_id, Access.READ, "", text)
    if verb == "WRITE" and first and rest:
        return Work(request_id, Access.WRITE, "", text)
    if verb == "EXECUTE" and first and rest:
        return Work(request_id, None, first, rest)
    if verb == "SET" and first:
        return SetValue(request_id, first, rest)
    if verb == "DEALLOCATE" and first and not rest:
        return Forget(request_id, first)
    access, _, shape = rest.partition(" ")
    if verb == "PREPARE" and shape and access in ("READ", "WRITE"):
        return Prepare(request_id, first, Shape(Access[access], shape))
    return None


def encode_line(*fields: str) -> bytes:
    """Return a line with its end."""
    return " ".join(fields).encode() + LINE_END


async def read_line(reader: asyncio.StreamReader) -> str | None:
    """Read a line.

    Args:
        reader: The connection.

    Returns:
        The line without its end, or None after the last.

    Raises:
        LineTooLongError: The line exceeds the limit.
        MalformedStatementError: The bytes are no text.
    """
    try:
        data = await reader.readuntil(b"\n")
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise LineTooLongError("the line is too long") from error
    try:
        return data.rstrip(LINE_END).decode()
    except UnicodeDecodeError as error:
        raise MalformedStatementError("the line is no text") from error
