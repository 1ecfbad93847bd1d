"""Recognition of repeated replies on a connection whose replies name no request.

A server may send a reply a second time, several requests later.  The repetition equals
the first one, so that a reply that was not received before is a new one.  A receipt
belongs to one run and makes its reply unique; other replies, such as refusals and
acknowledgements, may rightly be equal.
"""

import enum
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pollencleat.engine.statements import ServerFailure, ServerReply

REPETITION_LIMIT_S = 15.0
"""How long after an acknowledgement its repetition is expected."""

MAX_REMEMBERED_REPLIES = 2_000
"""Receipts, statuses and failures after which a connection is replaced."""

PROVEN_AFTER_REPLIES = 200
"""Replies in a row without a repetition after which a server counts as proven."""


class ReplyKind(enum.StrEnum):
    """What a reply contains."""

    STARTED = "started"
    ACKNOWLEDGED = "acknowledged"
    RECEIPT = "receipt"
    STATUS = "status"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ReceivedReply:
    """A complete reply as it was received, not assigned to a request yet."""

    kind: ReplyKind
    reply: ServerReply


@dataclass(frozen=True, slots=True)
class Expectation:
    """What a successful reply to a request looks like.

    Attributes:
        kind: What it contains.
        in_transaction: Whether a transaction is open after it; None if unknown.
    """

    kind: ReplyKind
    in_transaction: bool | None = None

    def allows(self, received: ReceivedReply) -> bool:
        """Return whether a reply may answer the request; a failure always may."""
        if received.kind is ReplyKind.FAILED:
            return True
        if received.kind is not self.kind:
            return False
        return self.in_transaction in (None, received.reply.in_transaction)


class RepetitionRecord:
    """Whether a server has sent a reply twice lately, on any of its connections."""

    def __init__(
        self, observe: Callable[[ReceivedReply], None] = lambda received: None
    ) -> None:
        """Start with a server of which nothing is known.

        Args:
            observe: Called with each reply that answers no open request.
        """
        self._observe = observe
        self._replies_in_a_row = 0

    @property
    def is_proven(self) -> bool:
        """Whether many replies in a row were not repeated."""
        return self._replies_in_a_row >= PROVEN_AFTER_REPLIES

    def note_reply(self) -> None:
        """Note a reply to a request."""
        self._replies_in_a_row += 1

    def note_repetition(self, received: ReceivedReply) -> None:
        """Note a reply that answers no open request."""
        self._replies_in_a_row = 0
        self._observe(received)


class ReplyHistory:
    """The replies that a connection has received.

    Acknowledgements and exact refusals are forgotten after a while: so many are equal
    that the rest of the connection's life would be spent on telling them apart.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start empty; the clock gives local time in seconds."""
        self._clock = clock
        # Hashes, since receipts and rows are long and many.
        self._unique_keys: set[int] = set()
        self._failures: set[tuple[ServerFailure, str]] = set()
        self._recent: deque[tuple[float, ServerReply]] = deque()
        self._count_by_reply: dict[ServerReply, int] = {}

    @property
    def is_full(self) -> bool:
        """Whether the connection should be replaced by one without a history."""
        return len(self._unique_keys) + len(self._failures) >= MAX_REMEMBERED_REPLIES

    def add(self, received: ReceivedReply) -> None:
        """Remember a reply."""
        reply = received.reply
        if received.kind in _kept_kinds:
            self._unique_keys.add(_key_of(received))
            return
        if received.kind is ReplyKind.FAILED:
            self._failures.add((reply.failure, reply.detail))
        self._recent.append((self._clock(), reply))
        self._count_by_reply[reply] = self._count_by_reply.get(reply, 0) + 1

    def count(self, received: ReceivedReply) -> int:
        """Return how many equal replies were received that may be repeated now."""
        if received.kind in _kept_kinds:
            return int(_key_of(received) in self._unique_keys)
        return self.count_equal(received.reply)

    def count_equal(self, reply: ServerReply) -> int:
        """Return how many equal acknowledgements or failures may be repeated now."""
        self._forget_old()
        return self._count_by_reply.get(reply, 0)

    def has_failure_like(self, reply: ServerReply) -> bool:
        """Return whether the same failure was received, at any time and position."""
        return (reply.failure, reply.detail) in self._failures

    def _forget_old(self) -> None:
        now_s = self._clock()
        while self._recent and now_s - self._recent[0][0] >= REPETITION_LIMIT_S:
            _, reply = self._recent.popleft()
            self._count_by_reply[reply] -= 1
            if not self._count_by_reply[reply]:
                del self._count_by_reply[reply]


_kept_kinds = frozenset({ReplyKind.RECEIPT, ReplyKind.STATUS, ReplyKind.STARTED})


def _key_of(received: ReceivedReply) -> int:
    if received.kind is ReplyKind.RECEIPT:
        return hash(received.reply.receipt)
    return hash(received.reply)
