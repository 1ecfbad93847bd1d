"""Classifies reads on a primary as avoidable or unavoidable, from later reports.

A read goes to the primary when no replica is known to qualify.  Log positions only
grow: if every replica's next report that was requested after the routing decision is
still below the read's floor, no replica could have served the read.  Otherwise the read
counts as avoidable, even if the replica caught up only after the decision.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_PENDING_READS = 10_000
"""Pending reads per group; when exceeded, the oldest counts as avoidable."""


@dataclass(slots=True)
class PendingRead:
    """A read on the primary that is not classified yet.

    Attributes:
        decided_at_s: Local time of the routing decision.
        floor: Log position that the answer had to include.
        unreported_replicas: Replicas that have not reported since the decision.
    """

    decided_at_s: float
    floor: int
    unreported_replicas: set[str] = field(default_factory=set)


class PrimaryReadClassifier:
    """Classifies the reads on the primary of each group."""

    def __init__(self, count: Callable[[str], None]) -> None:
        """Call `count` with the counter's name for each classified read."""
        self._count = count
        self._pending_by_group: dict[str, deque[PendingRead]] = {}

    def add_read(
        self, group_id: str, floor: int, replicas: set[str], now_s: float
    ) -> None:
        """Add a read that is routed to the primary.

        Args:
            group_id: The group that is read.
            floor: Log position that the answer must include.
            replicas: Ids of the group's responding replicas; the set is modified.
            now_s: Local time of the routing decision.
        """
        if not replicas:
            self._count("read_primary_unavoidable")
            return
        pending = self._pending_by_group.setdefault(group_id, deque())
        pending.append(PendingRead(now_s, floor, replicas))
        if len(pending) > MAX_PENDING_READS:
            pending.popleft()
            self._count("read_primary_avoidable")

    def add_report(
        self, group_id: str, server_id: str, position: int, sent_at_s: float
    ) -> None:
        """Classify the group's pending reads by a replica's reported position.

        Args:
            group_id: The replica's group.
            server_id: The replica.
            position: Its applied log position.
            sent_at_s: Local time at which the status request was sent.
        """
        pending = self._pending_by_group.get(group_id)
        if not pending:
            return
        still_pending = deque()
        for read in pending:
            if (
                sent_at_s <= read.decided_at_s
                or server_id not in read.unreported_replicas
            ):
                still_pending.append(read)
                continue
            if position >= read.floor:
                self._count("read_primary_avoidable")
                continue
            read.unreported_replicas.discard(server_id)
            if read.unreported_replicas:
                still_pending.append(read)
                continue
            self._count("read_primary_unavoidable")
        self._pending_by_group[group_id] = still_pending
