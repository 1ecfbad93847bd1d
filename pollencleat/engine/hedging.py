"""Hedged reads: a slow read is also sent to a second server; the first answer wins."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

Result = TypeVar("Result")


async def run_hedged(
    first: Awaitable[Result],
    hedge_delay_s: float,
    start_hedge: Callable[[], asyncio.Task[Result] | None],
) -> Result:
    """Run a read and start a hedge, a second attempt, if it takes too long.

    The first attempt continues beside the hedge, so the work of a server that is merely
    slow is not lost.

    Args:
        first: The first attempt.
        hedge_delay_s: Seconds to wait before the hedge is started.
        start_hedge: Starts the hedge; returns None if there is none.

    Returns:
        The answer that arrives first. The other attempt is cancelled.

    Raises:
        Exception: The first attempt's error, if neither attempt succeeds.
    """
    loop = asyncio.get_running_loop()
    hedge: asyncio.Task[Result] | None = None
    has_first_ended = False

    def start_after_delay() -> None:
        nonlocal hedge
        hedge = start_hedge()
        if hedge is not None:
            hedge.add_done_callback(stop_waiting_for_first)

    def stop_waiting_for_first(task: asyncio.Task) -> None:
        if has_first_ended or task.cancelled() or task.exception() is not None:
            return
        first_timeout.reschedule(loop.time())

    timer = loop.call_later(hedge_delay_s, start_after_delay)
    try:
        async with asyncio.timeout(None) as first_timeout:
            try:
                return await first
            finally:
                has_first_ended = True
                timer.cancel()
    except Exception as error:
        if hedge is None:
            raise
        try:
            return await hedge
        except Exception:
            raise error from None
    finally:
        if hedge is not None:
            hedge.cancel()
