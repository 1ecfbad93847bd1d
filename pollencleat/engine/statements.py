"""Typed statements, answers, and what the engine needs of a server connection.

A codec at the callers' end turns its protocol into these statements; a codec at the
servers' end carries them out.  The engine between them reads no text.
"""

import enum
from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.data import Position


class Access(enum.StrEnum):
    """What a statement does to the data."""

    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction.

    Attributes:
        read_only: The caller declared that it writes nothing.
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
    """A read or write that only a server can answer.

    Attributes:
        access: What it does; None for a prepared statement, whose name tells.
        prepared_name: The caller's name of a prepared statement, or empty.
        text: The statement, or the arguments of the prepared one.
    """

    request_id: str
    access: Access | None
    prepared_name: str
    text: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value that holds until the session ends."""

    request_id: str
    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared statement does."""

    access: Access
    text: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Give a shape a name that holds until the session ends."""

    request_id: str
    name: str
    shape: Shape


@dataclass(frozen=True, slots=True)
class Forget:
    """Forget the name of a prepared statement."""

    request_id: str
    name: str


Statement = Begin | Commit | Rollback | Work | SetValue | Prepare | Forget


class ServerFailure(enum.StrEnum):
    """Why a server did not answer a statement with success."""

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
"""Failures after which the server is known to have executed nothing."""


@dataclass(frozen=True, slots=True)
class ServerReply:
    """A server's complete answer to one statement.

    Attributes:
        receipt: The server's proof of execution, handed on unchanged.
        position: What the server had applied when it answered, if it told.
        in_transaction: A transaction is open on the connection.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ""
    failure: ServerFailure | None = None
    detail: str = ""
    position: Position | None = None
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class Answer:
    """The engine's answer to a caller; errors are raised instead.

    Attributes:
        receipt: As the server gave it, or empty if no server was asked.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ""
    position: Position | None = None


class ServerLink(Protocol):
    """A connection to a server, as codecs provide it.

    Every method raises BackendLostError when no complete answer arrived.

    Attributes:
        values: Values that are set on it.
        names_by_shape: Prepared statements that it knows.
    """

    is_usable: bool
    has_open_transaction: bool
    values: dict[str, str]
    names_by_shape: dict[Shape, str]

    async def begin(self, begin: Begin, at_least: Position | None) -> ServerReply:
        """Begin a transaction, if the server has applied a position."""

    async def run(
        self, work: Work, prepared_name: str, at_least: Position | None
    ) -> ServerReply:
        """Run a read or write, if the server has applied a position."""

    async def commit(self, commit: Commit) -> ServerReply:
        """Commit."""

    async def roll_back(self) -> ServerReply:
        """Roll back."""

    async def set_value(self, name: str, value: str) -> ServerReply:
        """Set a value."""

    async def prepare(self, name: str, shape: Shape) -> ServerReply:
        """Prepare a shape under a name of this connection."""

    async def reset(self) -> ServerReply:
        """Clear values and prepared statements."""

    def close(self) -> None:
        """Close; the server rolls back what is open."""
