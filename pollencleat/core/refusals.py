"""Record of objects of other writers that cannot be used."""

from collections.abc import Callable

import structlog

MAX_REASON_CHARACTERS = 200
"""Longest reason in the log; malformed values are quoted in it."""

MAX_NAME_CHARACTERS = 80
MAX_REFUSED = 1_000
"""Refused objects that are remembered, so that each is logged once."""

log = structlog.get_logger()


def _log_refused(kind: str, name: str, reason: str) -> None:
    log.warning("object refused", kind=kind, name=name, reason=reason)


class RefusedObjects:
    """Logs and counts each object that cannot be used, once for each reason."""

    def __init__(
        self,
        count: Callable[[str], None] = lambda kind: None,
        report: Callable[[str, str, str], None] = _log_refused,
    ) -> None:
        """Create an empty record.

        Args:
            count: Called with the kind of each refused object.
            report: Called with its kind and name and the reason; by default logs them.
        """
        self._count = count
        self._report = report
        self._reasons_by_object: dict[tuple[str, str], str] = {}

    def refuse(self, kind: str, name: str, reason: str) -> None:
        """Log and count an object, unless it was refused for the same reason before.

        Args:
            kind: Its kind.
            name: Its name; empty if it cannot be read.
            reason: Why it cannot be used.
        """
        reason = reason[:MAX_REASON_CHARACTERS]
        if self._reasons_by_object.pop((kind, name), None) != reason:
            self._count(kind)
            self._report(kind, name[:MAX_NAME_CHARACTERS], reason)
        self._reasons_by_object[(kind, name)] = reason
        while len(self._reasons_by_object) > MAX_REFUSED:
            del self._reasons_by_object[next(iter(self._reasons_by_object))]

    def accept(self, kind: str, name: str) -> None:
        """Forget an object that was used or removed."""
        self._reasons_by_object.pop((kind, name), None)
