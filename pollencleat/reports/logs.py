"""Structured logging to a file descriptor with a rate limit and without blocking.

The rate is limited for each event text.  Lines above the limit are dropped and counted;
the next line of the same event carries the count in ``left_out``.  Lines that the
descriptor does not accept at once are buffered in memory.
"""

import logging
import os
from collections import Counter, deque
from collections.abc import Callable, MutableMapping

import structlog

LINES_PER_S = 25.0
"""Rate limit for each event: enough to follow single requests at little CPU cost."""

BURST_LINES = 100.0
"""Lines of one event that may be written in a burst."""

MAX_BUFFERED_LINES = 5_000
"""Size of the buffer; lines that arrive while it is full are dropped and counted."""


class EventRateLimiter:
    """A structlog processor that limits the rate of each event with a token bucket."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a full bucket for each event; the clock returns seconds."""
        self._clock = clock
        self._tokens_by_event: dict[str, tuple[float, float]] = {}
        self._left_out_by_event: Counter[str] = Counter()

    def __call__(
        self, logger: object, method: str, event: MutableMapping
    ) -> MutableMapping:
        """Pass a line on, or drop it if its event exceeds the rate limit.

        Args:
            logger: Unused; part of structlog's interface.
            method: Unused; part of structlog's interface.
            event: Fields of the line.

        Returns:
            The fields; ``left_out`` is added if lines of this event were dropped since
            the last one that passed.

        Raises:
            structlog.DropEvent: The line exceeds the rate limit of its event.
        """
        event_name = str(event.get("event"))
        now_s = self._clock()
        tokens, refilled_at_s = self._tokens_by_event.get(
            event_name, (BURST_LINES, now_s)
        )
        tokens = min(BURST_LINES, tokens + (now_s - refilled_at_s) * LINES_PER_S)
        if tokens < 1:
            self._tokens_by_event[event_name] = (tokens, now_s)
            self._left_out_by_event[event_name] += 1
            raise structlog.DropEvent
        self._tokens_by_event[event_name] = (tokens - 1, now_s)
        left_out = self._left_out_by_event.pop(event_name, 0)
        if left_out:
            event["left_out"] = left_out
        return event


class NonBlockingOutput:
    """A file-like object that writes to a non-blocking descriptor through a buffer.

    Attributes:
        dropped: Lines lost because the buffer was full or the descriptor failed.
    """

    def __init__(self, descriptor: int) -> None:
        """Switch the descriptor to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Buffer a line and write what the descriptor accepts without blocking.

        Args:
            text: A line that ends with a newline.
        """
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._buffer.append(text.encode())
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._buffer:
            data = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The output was closed; there is nowhere to report the error.
                self.dropped += 1
                continue
            if written < len(data):
                self._buffer.appendleft(data[written:])
                return


def configure_output_logging(
    descriptor: int, clock: Callable[[], float], level: str = "info"
) -> NonBlockingOutput:
    """Configure structlog to write JSON lines to a descriptor.

    Args:
        descriptor: File descriptor, usually of standard output.
        clock: Returns seconds, for the rate limit.
        level: Name of the lowest level that is written.

    Returns:
        The output; its owner must call ``flush`` regularly to write buffered lines.
    """
    output = NonBlockingOutput(descriptor)
    structlog.configure(
        processors=[
            EventRateLimiter(clock),
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
