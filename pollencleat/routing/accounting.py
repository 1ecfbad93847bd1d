"""Which reads had to go to a primary, judged by what replicas report afterwards.

When a read goes to the primary, no replica was known to qualify.  Positions only grow:
if every replica's next report, asked for after the decision, is still below the read's
floor, then no replica could have answered.  Otherwise the read is counted as avoidable,
although the replica may have caught up only in between.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

PENDING_LIMIT = 10_000
"""Reads that wait to be judged; older ones are counted as avoidable."""


@dataclass(slots=True)
class PendingRead:
    """A read that went to the primary."""

    decided_at_s: float
    floor: int
    unheard: set[str] = field(default_factory=set)


class PrimaryReadAccount:
    """Judges the primary reads of each group."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Report each verdict to a counter."""
        self._count = count
        self._pending_by_group: dict[str, deque[PendingRead]] = {}

    def add_read(
        self, group_id: str, floor: int, replicas: set[str], now_s: float
    ) -> None:
        """Take in a read that goes to the primary.

        Args:
            group_id: The group.
            floor: Position that the answer must include.
            replicas: The group's replicas that answer.
            now_s: Local time of the decision.
        """
        if not replicas:
            self._count("read_primary_unavoidable")
            return
        pending = self._pending_by_group.setdefault(group_id, deque())
        pending.append(PendingRead(now_s, floor, replicas))
        if len(pending) > PENDING_LIMIT:
            pending.popleft()
            self._count("read_primary_avoidable")

    def add_report(
        self, group_id: str, server_id: str, position: int, sent_at_s: float
    ) -> None:
        """Take in a replica's report.

        Args:
            group_id: The group.
            server_id: The replica.
            position: Its applied position.
            sent_at_s: When it was asked.
        """
        pending = self._pending_by_group.get(group_id)
        if not pending:
            return
        kept = deque()
        for read in pending:
            if sent_at_s <= read.decided_at_s or server_id not in read.unheard:
                kept.append(read)
                continue
            if position >= read.floor:
                self._count("read_primary_avoidable")
                continue
            read.unheard.discard(server_id)
            if read.unheard:
                kept.append(read)
                continue
            self._count("read_primary_unavoidable")
        self._pending_by_group[group_id] = kept
