"""The exception hierarchy.

Errors that are sent to a caller, a database client of the proxy, carry an outcome,
which states whether the statement ran, and a MySQL error code with its SQLSTATE.
Errors in settings and inventories carry their location in the file.
"""

from dataclasses import dataclass

from pollencleat.core.data import Outcome


class PollencleatError(Exception):
    """Base of every error that this project raises."""


class CallerError(PollencleatError):
    """An error that is sent to a caller.

    Attributes:
        code: MySQL error code.
        sqlstate: Five-character SQLSTATE.
        outcome: Whether the statement ran.
        detail: Description of the failure.
        retry_after_ms: Milliseconds after which the caller may retry, or None.
    """

    code = 1105
    sqlstate = "HY000"
    outcome = Outcome.NOT_RUN

    def __init__(self, detail: str, retry_after_ms: int | None = None) -> None:
        """Create an error with its detail and an optional retry delay."""
        super().__init__(detail)
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    def message_for_caller(self) -> str:
        """Return the text of the MySQL error packet.

        Returns:
            Class name, outcome, detail and, if known, the retry delay.
        """
        text = f"{type(self).__name__} [{self.outcome}]: {self.detail}"
        if self.retry_after_ms is not None:
            text += f"; retry after {self.retry_after_ms} ms"
        return text


class NotRunError(CallerError):
    """The statement did not run and may be retried."""


class WritesUnavailableError(NotRunError):
    """This node may not write to the group at present."""

    code = 1290


class NoReplicaError(NotRunError):
    """No server can answer the read within its age limit."""

    code = 1205


class OverloadedError(NotRunError):
    """The queue for a server is too long for the deadline."""

    code = 1040
    sqlstate = "08004"


class BackendUnreachableError(NotRunError):
    """No connection to the backend server could be opened."""

    code = 2003


class UnsupportedStatementError(NotRunError):
    """The statement is not supported over pooled connections."""

    code = 1235
    sqlstate = "42000"


class UnknownDatabaseError(NotRunError):
    """No database of this name is declared for the client account."""

    code = 1049
    sqlstate = "42000"


class InvalidHintError(NotRunError):
    """A token, hint or option of the caller is malformed."""

    code = 1231
    sqlstate = "42000"


class StatementTooLargeError(NotRunError):
    """The statement exceeds the largest accepted size."""

    code = 1153
    sqlstate = "08S01"


class DrainingError(NotRunError):
    """This node is stopping and accepts no new work."""

    code = 1053
    sqlstate = "08S01"


class SessionHistoryLostError(NotRunError):
    """A failover lost writes that had been acknowledged to this session."""

    code = 3100


class FailedError(CallerError):
    """The statement ran and failed."""

    outcome = Outcome.FAILED


class TransactionLostError(FailedError):
    """The transaction was rolled back because its connection was lost."""

    code = 1213
    sqlstate = "40001"


class UnknownOutcomeError(CallerError):
    """The statement may or may not have run."""

    code = 2013
    outcome = Outcome.UNKNOWN


class StatementTimeoutError(UnknownOutcomeError):
    """The statement reached its time limit and may or may not have run."""

    code = 3024


class MalformedStatementError(NotRunError):
    """The statement cannot be parsed, or is invalid in the session's state."""

    code = 1064
    sqlstate = "42000"


class UnknownNameError(NotRunError):
    """The session has no prepared statement of this name."""

    code = 1243


class RequestAlreadyDoneError(CallerError):
    """A request with the same id was committed earlier; this statement did not run."""

    code = 1062
    sqlstate = "23000"
    outcome = Outcome.ALREADY_DONE


class StoreError(PollencleatError):
    """A call to the platform failed."""


class StoreUnavailableError(StoreError):
    """The platform did not answer; a change may have taken effect."""


class StoreConflictError(StoreError):
    """The object's version was not the expected one."""


class BackendError(PollencleatError):
    """A backend server violated the protocol, failed or rejected a command."""


class BackendRefusedError(BackendError):
    """The connection was refused: nothing listens at the server's address."""


class BackendDeclinedError(BackendError):
    """The server is alive but rejected the request."""


class BackendFullError(BackendDeclinedError):
    """The server has reached the limit of connections that it accepts in total."""


class BackendLostError(BackendError):
    """The connection to the backend server broke."""


class SettingsError(PollencleatError):
    """The process settings are invalid; holds all errors with their locations."""

    def __init__(self, errors: "list[LocatedError]") -> None:
        """Create an error whose message joins those of all errors."""
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


class InventoryError(SettingsError):
    """The inventory is invalid; holds all errors with their locations."""


class AccessDeniedError(PollencleatError):
    """A token is missing, unknown or lacks the required role."""


@dataclass(frozen=True, slots=True)
class LocatedError:
    """An error in an INI file; collected rather than raised.

    Attributes:
        line: Line number from 1; 0 if the error concerns the whole file.
        problem: What is wrong.
        expected: What would be valid.
    """

    filename: str
    line: int
    section: str
    key: str
    problem: str
    expected: str

    def __str__(self) -> str:
        """Return the error in the format of compiler messages."""
        location = f"{self.filename}:{self.line}: [{self.section}]"
        if self.key:
            location += f" {self.key}"
        return f"{location}: {self.problem}; expected {self.expected}"
