"""Upper bounds of the log positions of acknowledged commits.

A primary reports its log position with the answer to each request.  Every commit that
had been acknowledged to any caller before the request was sent lies at or below that
position.  A server that has applied the position reported for a request sent s seconds
ago is therefore missing no commit that was acknowledged more than s seconds ago.
"""

from collections import deque
from dataclasses import dataclass, field

from pollencleat.core.data import Position, ServerStatus
from pollencleat.core.errors import BackendError

MIN_ENTRY_INTERVAL_S = 0.01
"""Least time in seconds between two entries; a finer resolution has no use."""

ENTRY_RETENTION_S = 10.0
"""Seconds for which entries are kept; exceeds the largest age limit in use."""


@dataclass(slots=True)
class AcknowledgedBounds:
    """Log positions of one term's primary, with the times of their requests.

    Times are seconds of the local clock.

    Attributes:
        term: Agreed term of the primary.
        highest: Highest position of any term; every commit that this node has
            acknowledged lies at or below it.
        newest_sent_at_s: Send time of the latest request that was answered.
        entries: Send times and reported positions.
    """

    term: int = 0
    highest: Position | None = None
    newest_sent_at_s: float = -1e9
    entries: deque[tuple[float, Position]] = field(default_factory=deque)

    def add(self, term: int, sent_at_s: float, position: Position) -> None:
        """Add a position of the primary.

        A new term discards the entries of the previous one; a position of an older
        term is ignored.

        Args:
            term: The agreed term of the group.
            sent_at_s: Local time at which the request was sent.
            position: The position in its answer.
        """
        if term < self.term:
            return
        if self.highest is None or is_before(self.highest, position):
            self.highest = position
        self.newest_sent_at_s = max(self.newest_sent_at_s, sent_at_s)
        if term > self.term:
            self.term = term
            self.entries.clear()
        if self.entries and sent_at_s - self.entries[-1][0] < MIN_ENTRY_INTERVAL_S:
            return
        self.entries.append((sent_at_s, position))
        while self.entries[0][0] < sent_at_s - ENTRY_RETENTION_S:
            self.entries.popleft()

    def latest_position(self, term: int) -> Position | None:
        """Return the latest position of a term's primary.

        Args:
            term: The agreed term of the group.

        Returns:
            The position, or None if none is known.
        """
        if term != self.term or not self.entries:
            return None
        return self.entries[-1][1]

    def position_bound_since(self, since_s: float) -> Position | None:
        """Return a bound of all commits that were acknowledged before a time.

        Args:
            since_s: Local time.

        Returns:
            The lowest position at or above all of these commits, or None if no entry is
            that recent.
        """
        lowest = None
        for sent_at_s, position in reversed(self.entries):
            if sent_at_s < since_s:
                break
            if lowest is None or is_before(position, lowest):
                lowest = position
        return lowest


def is_before(first: Position, second: Position) -> bool:
    """Return whether the first position precedes the second in the group's history."""
    return (first.term, first.position) < (second.term, second.position)


def log_end_of(status: ServerStatus) -> Position:
    """Return term and position of the last log entry that a server received.

    Args:
        status: The server's status.

    Returns:
        The position; position 0 for an empty log.
    """
    return Position(status.last_entry_term, status.received_position)


def require_log_end(server_id: str, status: ServerStatus, log_end: Position) -> None:
    """Check that a server has lost no log entries since an earlier status.

    Args:
        server_id: The server.
        status: Its present status.
        log_end: The last entry that it had received before.

    Raises:
        BackendError: Its log ends earlier now; it has restarted.
    """
    if is_before(log_end_of(status), log_end):
        raise BackendError(
            f"{server_id}: the log ends at {log_end_of(status)}, before {log_end}"
        )
