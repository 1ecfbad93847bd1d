"""Log positions below which nothing acknowledged can be missing.

A primary that answers a request tells its log position with the answer.  Every commit
that anybody had acknowledged before the request was sent lies at or below it.  A server
that has applied the position of a request sent s seconds ago therefore lacks nothing
that was acknowledged more than s seconds ago.
"""

from collections import deque
from dataclasses import dataclass, field

from pollencleat.core.data import Position

GRAIN_S = 0.01
"""Seconds between two positions that are kept; more would tell nothing useful."""

KEPT_S = 10.0
"""Seconds for which positions are kept; above the largest age limit in use."""


@dataclass(slots=True)
class AcknowledgedBounds:
    """Positions of one term's primary, with the times at which they were asked for.

    Attributes:
        highest: The highest position of any term; whatever this node has acknowledged
            lies at or below it.
        newest_sent_at_s: When the newest answered request was sent.
    """

    term: int = 0
    highest: Position | None = None
    newest_sent_at_s: float = -1e9
    entries: deque[tuple[float, Position]] = field(default_factory=deque)

    def add(self, term: int, sent_at_s: float, position: Position) -> None:
        """Take in a position of the primary; a new term starts over.

        Args:
            term: The agreed term of the group.
            sent_at_s: When the request was sent, on the local clock.
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
        if self.entries and sent_at_s - self.entries[-1][0] < GRAIN_S:
            return
        self.entries.append((sent_at_s, position))
        while self.entries[0][0] < sent_at_s - KEPT_S:
            self.entries.popleft()

    def newest_of(self, term: int) -> Position | None:
        """Return the newest known position of a term's primary.

        Args:
            term: The agreed term of the group.

        Returns:
            The position, or None if none is known.
        """
        if term != self.term or not self.entries:
            return None
        return self.entries[-1][1]

    def position_since(self, since_s: float) -> Position | None:
        """Return what covers every commit acknowledged before a time.

        Args:
            since_s: Local time.

        Returns:
            The lowest known position that does, or None.
        """
        lowest = None
        for sent_at_s, position in reversed(self.entries):
            if sent_at_s < since_s:
                break
            if lowest is None or is_before(position, lowest):
                lowest = position
        return lowest


def is_before(first: Position, second: Position) -> bool:
    """Return whether a position lies earlier in the history than another."""
    return (first.term, first.position) < (second.term, second.position)
