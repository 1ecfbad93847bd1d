"""Statements, replies and the server connection interface, independent of protocols.

The codec for callers parses its protocol into these statements; the codec for servers
executes them. The engine between them never parses statement text.
"""

import enum
from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.data import Position


class Access(enum.StrEnum):
    """Whether a statement only reads data or also writes it."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction.

    Attributes:
        read_only: Whether the caller declared the transaction as read-only.
    """

    request_id: str
    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Work:
    """A read or write that must run on a server.

    Attributes:
        access: Whether it reads or writes; None for a prepared statement, whose shape
            states it.
        prepared_name: The caller's name of a prepared statement, or empty.
        text: The statement, or the arguments of the prepared statement.
    """

    request_id: str
    access: Access | None
    prepared_name: str
    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value, which lasts until the session ends."""

    request_id: str
    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Shape:
    """Definition of a prepared statement, without its name."""

    access: Access
    text: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement under a name that lasts until the session ends."""

    request_id: str
    name: str
    shape: Shape


@dataclass(frozen=True, slots=True)
class Forget:
    """Deallocate a prepared statement by its name."""

    request_id: str
    name: str


Statement = Begin | Commit | Rollback | Work | SetValue | Prepare | Forget


class ServerFailure(enum.StrEnum):
    """Why a server did not execute a statement successfully."""

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read only"
    UNKNOWN_NAME = "unknown name"
    OTHER_SERVER = "other server"
    TOO_MANY = "too many connections"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    REFUSED = "refused"


NOT_RUN_FAILURES = frozenset(
    {
        ServerFailure.BUSY,
        ServerFailure.BEHIND,
        ServerFailure.READ_ONLY,
        ServerFailure.UNKNOWN_NAME,
        ServerFailure.OTHER_SERVER,
        ServerFailure.TOO_MANY,
    }
)
"""Failures after which the statement has certainly not run on the server."""


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A server's complete reply to one statement.

    Attributes:
        rows: Result rows.
        receipt: The server's proof of execution, passed to the caller unchanged.
        failure: Why the statement failed, or None if it succeeded.
        detail: The server's description of the failure.
        position: Log position that the server had applied when it replied, or None if
            it was not reported.
        in_transaction: Whether a transaction is open on the connection.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ""
    failure: ServerFailure | None = None
    detail: str = ""
    position: Position | None = None
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The engine's answer to a successful statement; failures raise errors.

    Attributes:
        rows: Result rows.
        receipt: The server's proof of execution, or empty if no server was involved.
        position: Log position that the server had applied, or None.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ""
    position: Position | None = None


class ServerLink(Protocol):
    """A connection to a backend server, implemented by a protocol codec.

    Every method that returns a reply raises BackendLostError if no complete reply
    arrives.

    Attributes:
        is_usable: Whether the connection can still be used.
        has_open_transaction: Whether a transaction is open on it.
        values: Session values that are set on it.
        names_by_shape: Its own names of the statements prepared on it.
    """

    is_usable: bool
    has_open_transaction: bool
    values: dict[str, str]
    names_by_shape: dict[Shape, str]

    async def begin(self, begin: Begin, at_least: Position | None) -> ServerReply:
        """Begin a transaction; the server must have applied `at_least`."""

    async def run(
        self, work: Work, prepared_name: str, at_least: Position | None
    ) -> ServerReply:
        """Run a read or write; the server must have applied `at_least`."""

    async def commit(self, commit: Commit) -> ServerReply:
        """Commit the open transaction."""

    async def roll_back(self) -> ServerReply:
        """Roll back the open transaction."""

    async def set_value(self, name: str, value: str) -> ServerReply:
        """Set a session value."""

    async def prepare(self, name: str, shape: Shape) -> ServerReply:
        """Prepare a statement under a name of this connection."""

    async def reset(self) -> ServerReply:
        """Clear session values and prepared statements."""

    def close(self) -> None:
        """Close the connection; the server rolls back its open transaction."""
