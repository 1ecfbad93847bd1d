"""Structured log lines on standard output: bounded in volume, never blocking.

A line that would exceed the rate of its kind is left out and counted; the next line of
the kind tells how many were.  Lines wait in memory until the output takes them.
"""

import logging
import os
from collections import Counter, deque
from collections.abc import Callable, MutableMapping

import structlog

LINES_PER_S = 25.0
"""Lines of one kind a second; enough to follow single requests, little processor."""

BURST_LINES = 100.0
"""Lines of one kind that may come at once."""

WAITING_LINES = 5_000
"""Lines that wait for a reader of the output; more are dropped and counted."""


class KindLimiter:
    """A structlog processor that bounds the lines of each kind."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Count time with a clock in seconds."""
        self._clock = clock
        self._tokens_by_kind: dict[str, tuple[float, float]] = {}
        self._left_out_by_kind: Counter[str] = Counter()

    def __call__(
        self, logger: object, method: str, event: MutableMapping
    ) -> MutableMapping:
        """Pass a line on, or drop it.

        Args:
            logger: Unused; part of structlog's interface.
            method: Unused.
            event: The line.

        Returns:
            The line, with the number of lines left out before it.

        Raises:
            structlog.DropEvent: The line exceeds the rate of its kind.
        """
        kind = str(event.get("event"))
        now_s = self._clock()
        tokens, seen_at_s = self._tokens_by_kind.get(kind, (BURST_LINES, now_s))
        tokens = min(BURST_LINES, tokens + (now_s - seen_at_s) * LINES_PER_S)
        if tokens < 1:
            self._tokens_by_kind[kind] = (tokens, now_s)
            self._left_out_by_kind[kind] += 1
            raise structlog.DropEvent
        self._tokens_by_kind[kind] = (tokens - 1, now_s)
        left_out = self._left_out_by_kind.pop(kind, 0)
        if left_out:
            event["left_out"] = left_out
        return event


class BoundedOutput:
    """A file-like object that writes to a descriptor without ever waiting for it."""

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Take a text and write what the descriptor accepts now.

        Args:
            text: A line with its end.
        """
        if len(self._waiting) >= WAITING_LINES:
            self.dropped += 1
            return
        self._waiting.append(text.encode())
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        while self._waiting:
            data = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is nowhere to tell it.
                self.dropped += 1
                continue
            if written < len(data):
                self._waiting.appendleft(data[written:])
                return


def configure_output_logging(
    descriptor: int, clock: Callable[[], float], level: str = "info"
) -> BoundedOutput:
    """Write log lines as JSON to a descriptor.

    Args:
        descriptor: Usually that of standard output.
        clock: Seconds, for the rate limit.
        level: Lowest level that is written.

    Returns:
        The output, which has to be flushed now and then.
    """
    output = BoundedOutput(descriptor)
    structlog.configure(
        processors=[
            KindLimiter(clock),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(output),
    )
    return output
