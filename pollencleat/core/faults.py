"""Unexpected errors: recorded where they happen, so that one does not end a process.

Errors that this project raises have types and are handled where they occur.  What is
left is a defect.  The event that met it is given up and everything else goes on; a part
that fails again and again ends the process, which starts anew from the platform.
"""

from collections.abc import Callable

import structlog

FAILURES_IN_A_ROW = 20
"""Failures of one part, without a success between them, that end the process."""

log = structlog.get_logger()


class FaultLog:
    """Records unexpected errors."""

    def __init__(self, count: Callable[[str], None] = lambda part: None) -> None:
        """Count each error by the part that met it."""
        self._count = count

    def record(self, part: str, error: Exception) -> None:
        """Log an error with its place.

        Args:
            part: What was being done.
            error: The error.
        """
        self._count(part)
        log.error(
            "unexpected error",
            part=part,
            error=f"{type(error).__name__}: {error}",
            exc_info=error,
        )
