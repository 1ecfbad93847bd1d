"""Time: a clock that also runs while the VM is suspended, and a timer service.

Parts subscribe with an interval and are called back; nothing else in the controllers
knows about sleeping.  Tests advance the service by hand.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

from pollencleat.core.faults import FAILURES_IN_A_ROW, FaultLog

MAX_SLEEP_S = 0.1
"""Longest time in seconds between two looks at the clock."""

GRAIN_S = 0.1
"""Callbacks that are due within this time run together, to wake up less often."""


def read_boottime_s() -> float:
    """Return seconds since boot, suspended time included.

    Returns:
        A clock value; only differences on the same machine have a meaning.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimerService:
    """Calls subscribers back at their intervals."""

    def __init__(
        self, clock: Callable[[], float], faults: FaultLog | None = None
    ) -> None:
        """Use the given clock, in seconds.

        Unexpected errors of a callback are recorded; without a record they are raised,
        as they are after FAILURES_IN_A_ROW of one callback.
        """
        self.clock = clock
        self._faults = faults
        self._failures_by_order: dict[int, int] = {}
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, float, Callable[[], None]]] = []

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call back every interval, first at the next run.

        Args:
            interval_s: Seconds between two calls.
            callback: Called without arguments; must not block.
        """
        entry = (self.clock(), next(self._sequence), interval_s, callback)
        heapq.heappush(self._queue, entry)

    def run_due(self) -> float:
        """Run every callback that is due.

        Returns:
            Seconds until the next callback is due.
        """
        now = self.clock()
        while self._queue and self._queue[0][0] <= now:
            _, order, interval_s, callback = heapq.heappop(self._queue)
            heapq.heappush(self._queue, (now + interval_s, order, interval_s, callback))
            self._call(order, callback)
        if not self._queue:
            return MAX_SLEEP_S
        return max(0.0, self._queue[0][0] - now)

    def _call(self, order: int, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            failures = self._failures_by_order.get(order, 0) + 1
            self._failures_by_order[order] = failures
            if self._faults is None or failures >= FAILURES_IN_A_ROW:
                raise
            self._faults.record(f"timer {callback.__qualname__}", error)
        else:
            self._failures_by_order.pop(order, None)

    async def run_forever(self, after_run: Callable[[], None]) -> None:
        """Run callbacks until cancelled.

        Args:
            after_run: Called after each run.
        """
        while True:
            delay_s = self.run_due()
            after_run()
            await asyncio.sleep(min(max(delay_s, GRAIN_S), MAX_SLEEP_S))
