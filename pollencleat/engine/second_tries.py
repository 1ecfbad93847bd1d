"""Waits for the first answer of two servers that are asked for the same read."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

Answered = TypeVar("Answered")


async def answer_of_either(
    first: Awaitable[Answered],
    patience_s: float,
    start_second: Callable[[], asyncio.Task[Answered] | None],
) -> Answered:
    """Wait for a read's answer, and after a while for that of a second try too.

    The first try goes on beside the second: a server that is only slow keeps its work.

    Args:
        first: The first try.
        patience_s: How long it is waited for alone.
        start_second: Starts the second try; None if there is to be none.

    Returns:
        The answer that came first.  The other try is cancelled.

    Raises:
        Exception: The first try's error, if neither has an answer.
    """
    loop = asyncio.get_running_loop()
    second: asyncio.Task[Answered] | None = None
    is_over = False

    def ask_again() -> None:
        nonlocal second
        second = start_second()
        if second is not None:
            second.add_done_callback(end_first)

    def end_first(task: asyncio.Task) -> None:
        if is_over or task.cancelled() or task.exception() is not None:
            return
        first_wait.reschedule(loop.time())

    timer = loop.call_later(patience_s, ask_again)
    try:
        async with asyncio.timeout(None) as first_wait:
            try:
                return await first
            finally:
                is_over = True
                timer.cancel()
    except Exception as error:
        if second is None:
            raise
        try:
            return await second
        except Exception:
            raise error from None
    finally:
        if second is not None:
            second.cancel()
