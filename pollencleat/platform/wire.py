"""Encoding and parsing of the platform's line protocol.

A line is a keyword and its fields, separated by single blanks (0x20 only); the last
field extends to the end of the line and may contain blanks. CR LF ends a line; a lone
CR or LF is part of a field.
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
from pollencleat.engine.exchange import NotSentError
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
"""Largest line that the protocol allows, without its line end."""

NO_POSITION = "-"
PROXY_REQUEST_ID = "-"
"""Request id of statements that the proxy issues itself."""

LINE_END = b"\r\n"

MAX_DETAIL_CHARACTERS = 500
"""Longest description in an ERROR line."""

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


MAX_NUMBER_DIGITS = 18
"""Largest number of digits accepted in a number from a server; every such number fits
into 64 bits."""


class LineTooLongError(MalformedStatementError):
    """A line exceeds the protocol's limit, so nothing after it can be read."""


class UnsendableLineError(NotSentError):
    """Fields do not form one line that is read as the same fields."""


@dataclass(frozen=True, slots=True)
class ReadyLine:
    """The last line of a reply: transaction state and the server's log position."""

    in_transaction: bool
    position: Position | None


def code_of_error(error: CallerError) -> str:
    """Return the protocol's code for an error.

    Args:
        error: Any error that callers receive.

    Returns:
        A code whose guarantee about the statement's outcome holds for the error.
    """
    for kind, code in _codes_by_error:
        if isinstance(error, kind):
            return code
    return "INDOUBT"


def failure_of_code(code: str) -> ServerFailure:
    """Return the failure for a server's error code.

    Args:
        code: The code as received.

    Returns:
        The failure; REFUSED for codes that guarantee nothing.
    """
    return _failures_by_code.get(code, ServerFailure.REFUSED)


def format_position(position: Position | None) -> str:
    """Format a log position; a dash if there is none."""
    if position is None:
        return NO_POSITION
    return f"{position.term}.{position.position}"


def parse_position(text: str) -> Position | None:
    """Parse a log position.

    Args:
        text: ``TERM.NUMBER`` or a dash.

    Returns:
        The position, or None for a dash.

    Raises:
        BackendLostError: The text is malformed.
    """
    if text == NO_POSITION:
        return None
    term, _, number = text.partition(".")
    if not is_decimal_number(term) or not is_decimal_number(number):
        raise BackendLostError(f"malformed log position {text[:40]!r}")
    return Position(int(term), int(number))


def is_decimal_number(text: str) -> bool:
    """Return whether a text is an unsigned decimal integer that fits into 64 bits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


def parse_ready(fields: str) -> ReadyLine:
    """Parse the READY line that ends a reply.

    Args:
        fields: The line without its keyword.

    Returns:
        Transaction state and log position.

    Raises:
        BackendLostError: The line is malformed.
    """
    state, _, position = fields.partition(" ")
    if state not in ("I", "T", "E"):
        raise BackendLostError(f"malformed READY line {fields[:40]!r}")
    return ReadyLine(state != "I", parse_position(position))


def parse_startup(line: str) -> tuple[str, str]:
    """Parse the line with which a caller starts its session.

    Args:
        line: The line without its line end.

    Returns:
        The name of the database and the client account.

    Raises:
        MalformedStatementError: The line starts no session.
    """
    word, _, rest = line.partition(" ")
    database, _, account = rest.partition(" ")
    if word != "STARTUP" or not database or not account:
        raise MalformedStatementError("no start")
    return database, account


def parse_statement(line: str) -> Statement:
    """Parse a caller's line.

    A text is accepted only if the statement keeps every character of it.

    Args:
        line: The line without its line end.

    Returns:
        The typed statement.

    Raises:
        MalformedStatementError: The line is not a valid statement.
    """
    word, _, rest = line.partition(" ")
    request_id, _, text = rest.partition(" ")
    if word != "QUERY" or not request_id or not text:
        raise MalformedStatementError(f"not a statement: {line[:60]!r}")
    if request_id == PROXY_REQUEST_ID:
        raise MalformedStatementError("not a request id of a caller")
    verb, separator, arguments = text.partition(" ")
    statement = _parse_plain(request_id, text)
    if statement is None and separator:
        statement = _parse_verb(request_id, verb, arguments, text)
    if statement is None:
        raise MalformedStatementError(f"not a statement: {text[:60]!r}")
    return statement


def _parse_plain(request_id: str, text: str) -> Statement | None:
    """Parse a statement without arguments of the caller's choice."""
    if text in ("BEGIN", "BEGIN READ"):
        return Begin(request_id, text != "BEGIN")
    if text == "COMMIT":
        return Commit(request_id)
    if text == "ROLLBACK":
        return Rollback(request_id)
    return None


def _parse_verb(
    request_id: str, verb: str, arguments: str, text: str
) -> Statement | None:
    first, separator, rest = arguments.partition(" ")
    if not first:
        return None
    if verb == "READ":
        return Work(request_id, Access.READ, "", text)
    if verb == "WRITE" and rest:
        return Work(request_id, Access.WRITE, "", text)
    if verb == "EXECUTE" and rest:
        return Work(request_id, None, first, rest)
    if verb == "SET" and separator:
        return SetValue(request_id, first, rest)
    if verb == "DEALLOCATE" and not separator:
        return Forget(request_id, first)
    access, _, shape = rest.partition(" ")
    if verb == "PREPARE" and shape and access in ("READ", "WRITE"):
        return Prepare(request_id, first, Shape(Access[access], shape))
    return None


def encode_line(*fields: str) -> bytes:
    """Encode fields as a line with its line end.

    Args:
        fields: The keyword and the fields; only the last one may be empty or contain
            blanks.

    Returns:
        The line.

    Raises:
        UnsendableLineError: The receiver would read other fields or another line, or
            the line exceeds the limit.
    """
    for field in fields[:-1]:
        if not field or " " in field:
            raise UnsendableLineError(f"no field of a line: {field[:60]!r}")
    try:
        line = " ".join(fields).encode() + LINE_END
    except UnicodeEncodeError as error:
        raise UnsendableLineError("the line is no text") from error
    if len(line) > MAX_LINE_BYTES + len(LINE_END):
        raise UnsendableLineError("the line is too long")
    # Most lines contain one LF, and a search for one byte is much faster.
    has_one_lf = line.find(b"\n") == len(line) - 1
    if not has_one_lf and line.find(LINE_END) != len(line) - len(LINE_END):
        raise UnsendableLineError("a field contains a line end")
    return line


def encode_startup(service: str, user: str, server_id: str) -> bytes:
    """Encode the line that starts a session at a server.

    Args:
        service: The group's name.
        user: Name of who connects.
        server_id: The server's id.

    Returns:
        The line.

    Raises:
        UnsendableLineError: A field is empty or contains a blank or a line end.
    """
    if not server_id or " " in server_id:
        raise UnsendableLineError(f"no field of a line: {server_id[:60]!r}")
    return encode_line("STARTUP", service, user, server_id)


def encode_error(code: str, detail: str) -> bytes:
    """Encode an ERROR line, whatever text describes the error.

    Args:
        code: The protocol's code.
        detail: Description; characters that are not printable are replaced, and what
            exceeds MAX_DETAIL_CHARACTERS is cut off.

    Returns:
        The line.
    """
    detail = detail[:MAX_DETAIL_CHARACTERS]
    if not detail.isprintable():
        detail = "".join(item if item.isprintable() else "?" for item in detail)
    return encode_line("ERROR", code, detail)


async def read_line(reader: asyncio.StreamReader) -> bytes | None:
    """Read a line.

    Args:
        reader: The connection, with MAX_LINE_BYTES as its limit.

    Returns:
        The line without its line end, or None at the end of the stream.

    Raises:
        LineTooLongError: The line exceeds the limit.
    """
    try:
        data = await reader.readuntil(LINE_END)
    except asyncio.IncompleteReadError:
        return None
    except asyncio.LimitOverrunError as error:
        raise LineTooLongError("the line is too long") from error
    return data.removesuffix(LINE_END)


def decode_line(data: bytes) -> str:
    """Decode a line.

    Args:
        data: The line without its line end.

    Returns:
        The line as text; encoding it gives the same bytes.

    Raises:
        MalformedStatementError: The bytes are not valid UTF-8.
    """
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise MalformedStatementError("the line is not valid UTF-8") from error
