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

from pollencleat.engine.statements import ServerReply

REPETITION_LIMIT_S = 15.0
"""How long after a reply its repetition is expected."""

MIN_REMEMBERED_RECEIPTS = 64
"""Receipts of a connection that are remembered whatever their age."""


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


class ReplyHistory:
    """The replies that a connection has received lately."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start empty; the clock gives local time in seconds."""
        self._clock = clock
        self._receipts: deque[tuple[float, str]] = deque()
        self._known_receipts: set[str] = set()
        self._others: deque[tuple[float, ServerReply]] = deque()
        self._count_by_reply: dict[ServerReply, int] = {}

    def add(self, received: ReceivedReply) -> None:
        """Remember a reply."""
        now_s = self._clock()
        reply = received.reply
        if received.kind is ReplyKind.RECEIPT:
            self._receipts.append((now_s, reply.receipt))
            self._known_receipts.add(reply.receipt)
            self._forget_receipts(now_s)
            return
        self._others.append((now_s, reply))
        self._count_by_reply[reply] = self._count_by_reply.get(reply, 0) + 1

    def count(self, received: ReceivedReply) -> int:
        """Return how many equal replies were received that may be repeated now."""
        if received.kind is ReplyKind.RECEIPT:
            return int(received.reply.receipt in self._known_receipts)
        return self.count_equal(received.reply)

    def count_equal(self, reply: ServerReply) -> int:
        """Return how many equal replies without a receipt may be repeated now."""
        self._forget_others(self._clock())
        return self._count_by_reply.get(reply, 0)

    def has_failure_like(self, reply: ServerReply) -> bool:
        """Return whether the same failure was received, whatever the log position."""
        self._forget_others(self._clock())
        return any(
            known.failure is reply.failure and known.detail == reply.detail
            for known in self._count_by_reply
        )

    def _forget_receipts(self, now_s: float) -> None:
        while len(self._receipts) > MIN_REMEMBERED_RECEIPTS:
            received_at_s, receipt = self._receipts[0]
            if now_s - received_at_s < REPETITION_LIMIT_S:
                return
            self._receipts.popleft()
            self._known_receipts.discard(receipt)

    def _forget_others(self, now_s: float) -> None:
        while self._others and now_s - self._others[0][0] >= REPETITION_LIMIT_S:
            _, reply = self._others.popleft()
            self._count_by_reply[reply] -= 1
            if not self._count_by_reply[reply]:
                del self._count_by_reply[reply]
