"""Statements that read and change the replication state of a backend server.

All SQL that is specific to the platform's database groups is in this module: status,
fencing, promotion and following a primary.

An answer of the protocol names no request.  Status and position are therefore asked for
together with a number that the server returns, so that a second answer to an earlier
request is not taken for the one to the latest.
"""

import itertools
from collections.abc import Sequence

from pollencleat.backend.connection import BackendConnection
from pollencleat.core.data import ServerStatus
from pollencleat.core.errors import BackendError, BackendLostError

STATUS_SQL = (
    "SELECT @@server_term, @@log_position, @@received_position, @@last_entry_term, "
    "@@read_only, @@following"
)
POSITION_SQL = "SELECT @@server_term, @@log_position"

MAX_NUMBER = 10**18 - 1
"""Largest number accepted from a server; every such number fits into 64 bits."""

_request_numbers = itertools.count(1)


async def _run_numbered(connection: BackendConnection, sql: str) -> Sequence:
    """Return the row of a SELECT, which must hold the number of this request.

    Args:
        connection: An idle connection; closed if the answer is to another request.
        sql: A SELECT without FROM clause.

    Returns:
        The values that were asked for.

    Raises:
        BackendLostError: The answer is to another request.
    """
    number = next(_request_numbers)
    rows = await connection.run(f"{sql}, {number}")
    row = _first_row(rows)
    if not row or len(rows) != 1 or str(row[-1]) != str(number):
        connection.close()
        raise BackendLostError("the answer does not hold the number of the request")
    return row[:-1]


def _first_row(rows: object) -> Sequence:
    """Return the first row of a result; empty if there is none."""
    return rows[0] if isinstance(rows, list) and rows else ()


def _parse_numbers(values: Sequence, count: int) -> list[int]:
    """Return the numbers of a row; other values raise BackendError."""
    try:
        numbers = [int(value) for value in values]
    except (TypeError, ValueError) as error:
        raise BackendError(f"malformed numbers from the server: {error}") from error
    if len(numbers) != count or not all(0 <= n <= MAX_NUMBER for n in numbers):
        raise BackendError("numbers from the server are missing or out of range")
    return numbers


async def read_status(connection: BackendConnection) -> ServerStatus:
    """Read a server's replication status.

    Args:
        connection: An idle connection.

    Returns:
        The status.

    Raises:
        BackendError: The result is malformed or to another request, or the statement
            failed.
    """
    row = await _run_numbered(connection, STATUS_SQL)
    if not row:
        raise BackendError("malformed status answer: no values")
    *numbers, following = row
    term, position, received, entry_term, read_only = _parse_numbers(numbers, 5)
    return ServerStatus(
        term, position, received, entry_term, bool(read_only), str(following or "")
    )


async def read_position(connection: BackendConnection) -> tuple[int, int]:
    """Read a server's term and applied log position.

    Args:
        connection: An idle connection.

    Returns:
        The term and the applied log position.

    Raises:
        BackendError: The result is malformed or to another request, or the statement
            failed.
    """
    row = await _run_numbered(connection, POSITION_SQL)
    term, position = _parse_numbers(row, 2)
    return term, position


async def fence_server(connection: BackendConnection, term: int) -> None:
    """Make a server read-only for a term and end all its client sessions.

    Args:
        connection: An idle connection.
        term: The new term; the server refuses it if it knows a later one.
    """
    await connection.run(f"FENCE FOR TERM {term}")


async def promote_server(connection: BackendConnection, term: int) -> int:
    """Make a server the primary of a term.

    Args:
        connection: An idle connection.
        term: The new term; the server refuses it if it knows a later one.

    Returns:
        The log position from which it accepts writes.

    Raises:
        BackendError: The result is malformed, or the server refused.
    """
    rows = await connection.run(f"PROMOTE TO TERM {term}")
    return _parse_numbers(_first_row(rows)[:1], 1)[0]


async def follow_primary(
    connection: BackendConnection, primary_id: str, host: str, port: int, term: int
) -> None:
    """Make a server a read-only replica.

    Args:
        connection: An idle connection.
        primary_id: The primary's id, which the server then reports as its source.
        host: The primary's address.
        port: The primary's port.
        term: The primary's term; the server refuses it if it knows a later one.
    """
    await connection.run(f"FOLLOW '{primary_id}' AT '{host}:{port}' FOR TERM {term}")
