"""Recognition of repeated replies on a connection whose replies name no request.

A server may send a reply a second time, several requests later.  The repetition equals
the first one, so that a reply that was not received before is a new one.  A receipt
belongs to one run and makes its reply unique; other replies, such as refusals and
acknowledgements, may rightly be equal.
"""

import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from pollencleat.engine.statements import ServerFailure, ServerReply

MAX_REMEMBERED_REPLIES = 2_000
"""Different replies after which a connection is replaced."""

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
    """The replies that a connection has received in its life."""

    def __init__(self) -> None:
        """Start empty."""
        # By hash, since receipts and rows are long.
        self._count_by_key: Counter[int] = Counter()
        self._failures: set[tuple[ServerFailure, str]] = set()

    @property
    def is_full(self) -> bool:
        """Whether the connection should be replaced by one without a history."""
        return len(self._count_by_key) >= MAX_REMEMBERED_REPLIES

    def add(self, received: ReceivedReply) -> None:
        """Remember a reply."""
        reply = received.reply
        if received.kind is ReplyKind.FAILED:
            self._failures.add((reply.failure, reply.detail))
        self._count_by_key[_key_of(reply)] += 1

    def count(self, reply: ServerReply) -> int:
        """Return how many equal replies were received; each may be repeated once."""
        return self._count_by_key[_key_of(reply)]

    def has_failure_like(self, reply: ServerReply) -> bool:
        """Return whether the same failure was received, at any log position."""
        return (reply.failure, reply.detail) in self._failures


def _key_of(reply: ServerReply) -> int:
    return hash(reply.receipt or reply)
