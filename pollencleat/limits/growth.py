"""How many connections of its share a node keeps open to a server.

Load pattern: all processes end at once without closing their connections, as in a
power loss, and start again.  A server counts the connections of the dead processes for
some seconds, while the new ones ask for as many again.  If the dead ones had used their
whole shares, the server has no room, and the first new processes take all that is left.

A node therefore rests at half of its share, so that two generations fit at the same
time.  It uses the rest only while statements wait longer than it takes to open another
connection, and gives it back when it is no longer needed.  After a crash of a member,
when every other process is under pressure, it uses no more than the resting number.
"""

from dataclasses import dataclass

DEAD_CONNECTIONS_COUNTED_S = 3.5
"""Seconds for which servers may count the connections of a process that died without
closing them: three until they notice it, and some time for their clocks."""

INITIAL_OPEN_TIME_S = 0.02
"""Assumed time in seconds to open a connection before the first was opened."""

OPEN_TIME_WEIGHT = 0.2
"""Weight of a new sample in the moving average of the time to open a connection."""

SURPLUS_RETENTION_S = 2.0
"""Seconds without need after which connections beyond the resting number are closed."""


def resting_share(share: int) -> int:
    """Return how many connections of a share are used without pressure.

    Args:
        share: Connections that the node may open for statements.

    Returns:
        Half of the share, rounded up; two nodes at rest need at most one connection
        more than one share.
    """
    return (share + 1) // 2


@dataclass(slots=True)
class ConnectionGrowth:
    """Decides how many connections a pool may have open now.

    Attributes:
        share: Connections that may be open under pressure.
        resting: Connections that may be open without pressure.
        capacity: Connections that may be open now.
        held_until_s: Until when the pool uses no more than the resting number.
        mean_open_s: Moving average of the time to open a connection, in seconds.
        needed_at_s: When more than the resting number was last in use.
    """

    held_until_s: float = -1e9
    share: int = 0
    resting: int = 0
    capacity: int = 0
    mean_open_s: float = INITIAL_OPEN_TIME_S
    needed_at_s: float = -1e9

    def set_share(self, share: int, resting: int) -> None:
        """Change the limits; connections in use beyond them are not closed.

        Args:
            share: Connections that may be open under pressure.
            resting: Connections that may be open without pressure.
        """
        self.share = share
        self.resting = min(resting, share)
        self.capacity = min(max(self.capacity, self.resting), share)

    def note_opened(self, duration_s: float) -> None:
        """Record how long it took to open a connection, in seconds."""
        self.mean_open_s += OPEN_TIME_WEIGHT * (duration_s - self.mean_open_s)

    def grow(self, now_s: float) -> bool:
        """Allow one more connection because a statement waits.

        Args:
            now_s: Local time.

        Returns:
            False if the whole share is allowed already, or if the server may still
            count the connections of a member that crashed.
        """
        if self.capacity >= self.share:
            return False
        if now_s < self.held_until_s:
            return False
        self.capacity += 1
        self.needed_at_s = now_s
        return True

    def shrink(self, in_use: int, now_s: float) -> bool:
        """Return to the resting number once more has not been needed for a while.

        Args:
            in_use: Connections that statements use now.
            now_s: Local time.

        Returns:
            True if fewer connections are allowed than before.
        """
        if self.capacity <= self.resting:
            return False
        if in_use > self.resting:
            self.needed_at_s = now_s
            return False
        if now_s - self.needed_at_s < SURPLUS_RETENTION_S:
            return False
        self.capacity = self.resting
        return True
