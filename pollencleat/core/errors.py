"""The exception tree.

Errors that reach a caller carry an outcome, which tells whether the statement ran, and
a MySQL code with its SQLSTATE.  Errors that an operator sees carry their location.
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
        retry_after_ms: When the caller may ask again, or None.
    """

    code = 1105
    sqlstate = "HY000"
    outcome = Outcome.NOT_RUN

    def __init__(self, detail: str, retry_after_ms: int | None = None) -> None:
        """Keep the detail and the time after which a retry makes sense."""
        super().__init__(detail)
        self.detail = detail
        self.retry_after_ms = retry_after_ms

    def message_for_caller(self) -> str:
        """Return the text of the MySQL error packet.

        Returns:
            Type name, outcome, detail and, where known, the retry time.
        """
        text = f"{type(self).__name__} [{self.outcome}]: {self.detail}"
        if self.retry_after_ms is not None:
            text += f"; retry after {self.retry_after_ms} ms"
        return text


class NotRunError(CallerError):
    """The statement did not run and may be sent again."""


class WritesUnavailableError(NotRunError):
    """This node may not write to the group at the moment."""

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
    """The statement cannot be carried over pooled connections."""

    code = 1235
    sqlstate = "42000"


class UnknownDatabaseError(NotRunError):
    """No database group of this name is declared for the customer."""

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
    """This node is stopping and takes no new work."""

    code = 1053
    sqlstate = "08S01"


class SessionHistoryLostError(NotRunError):
    """A failover lost writes that this session was acknowledged."""

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
    """The statement cannot be read, or is not possible in the session's state."""

    code = 1064
    sqlstate = "42000"


class UnknownNameError(NotRunError):
    """The session has no prepared statement of this name."""

    code = 1243


class RequestAlreadyDoneError(CallerError):
    """An earlier arrival of the same request id was committed; this one did not run."""

    code = 1062
    sqlstate = "23000"
    outcome = Outcome.ALREADY_DONE


class StoreError(PollencleatError):
    """A call to the platform did not succeed."""


class StoreUnavailableError(StoreError):
    """The platform gave no answer; a change may have taken effect."""


class StoreConflictError(StoreError):
    """The object's version was not the expected one."""


class BackendError(PollencleatError):
    """A backend server failed in the protocol or refused a command."""


class BackendRefusedError(BackendError):
    """Nothing listens at the server's address."""


class BackendDeclinedError(BackendError):
    """The server answered that it does not do what was asked; it is alive."""


class BackendFullError(BackendDeclinedError):
    """The server has as many connections from all callers as it accepts."""


class BackendLostError(BackendError):
    """The connection to the backend server broke."""


class SettingsError(PollencleatError):
    """The process settings are unusable; holds all located errors."""

    def __init__(self, errors: "list[LocatedError]") -> None:
        """Keep all errors and join their texts."""
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


class InventoryError(SettingsError):
    """The inventory is unusable; holds all located errors."""


class AccessDeniedError(PollencleatError):
    """A token is missing, unknown or lacks the role."""


@dataclass(frozen=True, slots=True)
class LocatedError:
    """One thing wrong in an INI file, collected rather than raised.

    Attributes:
        line: Line number from 1; 0 if the whole file is concerned.
        expected: What would be right.
    """

    filename: str
    line: int
    section: str
    key: str
    problem: str
    expected: str

    def __str__(self) -> str:
        """Return the error in the form that compilers use."""
        place = f"{self.filename}:{self.line}: [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.problem}; expected {self.expected}"
