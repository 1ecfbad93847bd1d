"""Recording of unexpected errors, so that a single one does not end the process.

Expected errors have types of their own and are handled where they occur; any other
exception is a defect.  The event that caused it is dropped and other work continues.  A
part that keeps failing ends the process, which restarts with the platform's state.
"""

from collections.abc import Callable

import structlog

MAX_CONSECUTIVE_FAILURES = 20
"""Consecutive failures of one part that end the process."""

log = structlog.get_logger()


class ErrorRecorder:
    """Logs and counts unexpected errors."""

    def __init__(self, count: Callable[[str], None] = lambda part: None) -> None:
        """Call count with the name of the failing part for each error."""
        self._count = count

    def record(self, part: str, error: Exception, **details: str) -> None:
        """Count an error and log it with its traceback.

        Args:
            part: Name of the part of the process that failed.
            error: The unexpected error.
            **details: Further fields of the log line.
        """
        self._count(part)
        log.error(
            "unexpected error",
            part=part,
            error=f"{type(error).__name__}: {error}",
            exc_info=error,
            **details,
        )
