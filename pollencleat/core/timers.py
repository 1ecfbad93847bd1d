"""A clock that keeps running while the VM is suspended, and a timer service.

The timer service calls subscribers back at fixed intervals, so that controllers never
sleep.  Tests advance the clock and run the service themselves.
"""

import asyncio
import heapq
import itertools
import time
from collections.abc import Callable

from pollencleat.core.faults import MAX_CONSECUTIVE_FAILURES, ErrorRecorder

MAX_SLEEP_S = 0.1
"""Longest sleep in seconds before the clock is read again."""

MIN_SLEEP_S = 0.1
"""Shortest sleep in seconds; callbacks due within it run together, which saves
wakeups."""

AFTER_RUN_ID = -1
"""Stands for the function that is called after each run, among the subscriptions."""


def read_boottime_s() -> float:
    """Return the seconds since boot, including time in suspension.

    Returns:
        A clock value; only meaningful as a difference on the same machine.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TimerService:
    """Calls subscribers back at fixed intervals."""

    def __init__(
        self, clock: Callable[[], float], faults: ErrorRecorder | None = None
    ) -> None:
        """Create a service without subscribers.

        Args:
            clock: Returns the local time in seconds.
            faults: Records unexpected errors of callbacks.  Without it they are raised,
                as is the last of MAX_CONSECUTIVE_FAILURES of one callback.
        """
        self.clock = clock
        self._faults = faults
        self._failures_by_subscription: dict[int, int] = {}
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, float, Callable[[], None]]] = []

    def subscribe(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call a callback at an interval, for the first time at the next run.

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
            _, subscription_id, interval_s, callback = heapq.heappop(self._queue)
            heapq.heappush(
                self._queue, (now + interval_s, subscription_id, interval_s, callback)
            )
            self._call(subscription_id, callback)
        if not self._queue:
            return MAX_SLEEP_S
        return max(0.0, self._queue[0][0] - now)

    def _call(self, subscription_id: int, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception as error:
            failures = self._failures_by_subscription.get(subscription_id, 0) + 1
            self._failures_by_subscription[subscription_id] = failures
            if self._faults is None or failures >= MAX_CONSECUTIVE_FAILURES:
                raise
            self._faults.record(f"timer {callback.__qualname__}", error)
        else:
            self._failures_by_subscription.pop(subscription_id, None)

    async def run_forever(self, after_run: Callable[[], None]) -> None:
        """Run callbacks until cancelled.

        Args:
            after_run: Called after each run; its errors are treated like those of a
                callback.
        """
        while True:
            delay_s = self.run_due()
            self._call(AFTER_RUN_ID, after_run)
            await asyncio.sleep(min(max(delay_s, MIN_SLEEP_S), MAX_SLEEP_S))
