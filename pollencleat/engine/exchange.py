"""Requests and replies on one server connection, one request at a time.

A reply is taken for the answer to the open request only if it cannot be the repetition
of an earlier one.  Where equal replies leave this open, barriers settle it: requests
that change nothing, so many that repetitions alone cannot account for all the replies.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace

from pollencleat.core.errors import BackendError, BackendLostError
from pollencleat.engine.replies import (
    Expectation,
    ReceivedReply,
    ReplyHistory,
    ReplyKind,
)
from pollencleat.engine.statements import (
    NOT_RUN_FAILURES,
    ServerFailure,
    ServerReply,
)

MAX_EQUAL_REPLIES = 8
"""Equal replies received lately after which a connection is not used any more; the next
request would need as many barriers."""

MAX_BARRIERS = 32
"""Barriers that may be sent at a time; a connection that needs more is given up."""


class NotSentError(BackendError):
    """The statement was not sent: the connection's state could not be settled."""


class AmbiguousReplyError(BackendLostError):
    """The reply may be the repetition of an earlier one."""


class Exchange:
    """Assigns the replies of one connection to its requests.

    Attributes:
        has_open_transaction: Whether the server has a transaction open.
    """

    def __init__(
        self,
        send: Callable[[bytes], None],
        make_barriers: Callable[[], tuple[bytes, ...]],
        clock: Callable[[], float],
        note_repetition: Callable[[ReceivedReply], None],
    ) -> None:
        """Start on a new connection.

        Args:
            send: Sends a request.
            make_barriers: Returns requests that change nothing and are acknowledged.
            clock: Local time in seconds.
            note_repetition: Called with each reply that answers no open request.
        """
        self.has_open_transaction = False
        self._send = send
        self._make_barriers = make_barriers
        self._note_repetition = note_repetition
        self._history = ReplyHistory(clock)
        self._replies: deque[ReceivedReply] = deque()
        self._arrival: asyncio.Future | None = None
        self._error: BackendError | None = None
        self._is_request_open = False
        self._replies_to_skip = 0
        # Replies without a receipt since the latest request was sent.
        self._taken: Counter[ServerReply] = Counter()
        self._last_reply: ReceivedReply | None = None
        self._is_settled = True
        # Acknowledgements that may have been repetitions, so that others still come.
        self._doubtful: Counter[ServerReply | None] = Counter()

    @property
    def is_usable(self) -> bool:
        """Whether the next request may be sent."""
        if self._error is not None or self._is_request_open:
            return False
        last = self._last_reply
        if last is None or last.kind is ReplyKind.RECEIPT:
            return True
        return self._history.count(last) < MAX_EQUAL_REPLIES

    # Called by the connection.

    def on_reply(self, received: ReceivedReply) -> None:
        """Take a complete reply."""
        if self._error is not None:
            return
        if self._is_request_open and not self._replies_to_skip:
            self._replies.append(received)
            self._wake()
            return
        self._replies_to_skip = max(0, self._replies_to_skip - 1)
        try:
            self._discard(received)
        except BackendError as error:
            self._replies.clear()
            self.fail(error)

    def fail(self, error: BackendError) -> None:
        """Note that the connection cannot be used any more."""
        self._error = self._error or error
        self._wake()

    def _wake(self) -> None:
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)

    # Called by the owner of the connection.

    async def request(
        self, data: bytes, expected: Expectation, is_inside_reply: bool = False
    ) -> ServerReply:
        """Send a request and return its reply.

        An acknowledgement may still be the repetition of an earlier one, until `settle`
        has returned.

        Args:
            data: The request.
            expected: What a success is answered with.
            is_inside_reply: Whether a reply has already arrived in part, which
                therefore answers an earlier request.

        Raises:
            AmbiguousReplyError: The reply may be a repetition.
            BackendLostError: The connection broke or the server broke the protocol.
        """
        self._open(is_inside_reply)
        if not self._is_settled:
            self._doubtful[self._last_reply.reply] += 1
        self._taken.clear()
        self._send(data)
        received = await self._read_answer(expected)
        is_failure = received.kind is ReplyKind.FAILED
        is_new_failure = is_failure and not self._history.has_failure_like(
            received.reply
        )
        is_certain = self._take(received)
        reply = received.reply
        if is_failure:
            may_persist = _may_persist(expected)
            if self._doubtful or not (is_new_failure if may_persist else is_certain):
                reply = await self._settle_failure(received, expected)
        elif is_certain:
            self._is_settled = True
        elif received.kind is ReplyKind.ACKNOWLEDGED:
            self._is_settled = False
        else:
            raise AmbiguousReplyError("the reply equals an earlier one")
        self._close_request()
        self.has_open_transaction = reply.in_transaction
        return reply

    async def settle(self) -> None:
        """Ensure that the replies to all earlier requests have been received.

        Raises:
            NotSentError: One of them was refused, or the connection broke.
        """
        if self._is_settled:
            return
        expected = Expectation(ReplyKind.ACKNOWLEDGED, self.has_open_transaction)
        try:
            self._open(False)
            await self._settle_with_barriers(expected, set())
        except BackendError as error:
            raise NotSentError(str(error)) from error
        self._close_request()

    def _open(self, is_inside_reply: bool) -> None:
        if self._error is not None:
            raise self._error
        if self._is_request_open:
            raise BackendLostError("the connection has a pending reply")
        # Stays open after an error: the reply may still arrive.
        self._is_request_open = True
        self._replies_to_skip = int(is_inside_reply)

    def _close_request(self) -> None:
        self._is_request_open = False
        while self._replies:
            self.on_reply(self._replies.popleft())

    async def _read(self) -> ReceivedReply:
        while not self._replies:
            if self._error is not None:
                raise self._error
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        return self._replies.popleft()

    async def _read_answer(self, *expected: Expectation) -> ReceivedReply:
        """Read up to a reply that may be one of those that are expected."""
        while True:
            received = await self._read()
            is_expected = any(kind.allows(received) for kind in expected)
            is_repeated_receipt = (
                received.kind is ReplyKind.RECEIPT and self._history.count(received)
            )
            if is_expected and not is_repeated_receipt:
                return received
            self._discard(received)

    def _discard(self, received: ReceivedReply) -> None:
        """Drop a reply that answers an earlier request.

        Raises:
            BackendLostError: It cannot answer any.
        """
        may_be_first = bool(self._doubtful) or not self._is_settled
        if may_be_first and received.kind is ReplyKind.ACKNOWLEDGED:
            self._history.add(received)
        elif not self._history.count(received):
            raise BackendLostError(f"a reply to no request: {received.kind}")
        self._note_repetition(received)

    def _take(self, received: ReceivedReply) -> bool:
        """Remember a reply.

        Returns:
            Whether replies to what was sent before the latest request cannot account
            for it and its equals.
        """
        is_certain = self._count_missing(received) <= 1
        self._history.add(received)
        self._last_reply = received
        if received.kind is not ReplyKind.RECEIPT:
            self._taken[received.reply] += 1
        if is_certain and received.kind is not ReplyKind.FAILED:
            self._doubtful.clear()
        return is_certain

    def _count_missing(self, received: ReceivedReply) -> int:
        """Return how many more replies like one make it certain which they answer."""
        if received.kind is ReplyKind.RECEIPT:
            return 1
        reply = received.reply
        known_before = self._history.count(received) - self._taken[reply]
        if received.kind is not ReplyKind.ACKNOWLEDGED:
            return known_before + 1 - self._taken[reply]
        # Each doubtful one may stand for one of another content, sent twice.
        if known_before:
            known_before += 2 * (self._doubtful.total() - self._doubtful[reply])
            return known_before + 1 - self._taken[reply]
        return 2 * self._doubtful.total() + 1 - self._count_new()

    def _count_new(self) -> int:
        """Return how many acknowledgements are like none before the latest request."""
        return sum(
            count
            for reply, count in self._taken.items()
            if reply.failure is None and self._history.count_equal(reply) == count
        )

    async def _settle_failure(
        self, failed: ReceivedReply, expected: Expectation
    ) -> ServerReply:
        """Return the reply to a request whose failure may be a repetition."""
        # The position is that of another time, if it is a repetition.
        reply = replace(failed.reply, position=None)
        if not _may_persist(expected):
            # Nothing is kept in either case, once the connection is closed.
            self.fail(AmbiguousReplyError("a failure equals an earlier one"))
            return reply
        failures = {reply.failure}
        answer = await self._settle_with_barriers(
            Expectation(ReplyKind.ACKNOWLEDGED, False), failures, expected
        )
        if answer is not None:
            return answer.reply
        if len(failures) > 1 and not failures <= NOT_RUN_FAILURES:
            raise AmbiguousReplyError("one of several failures is the reply")
        return reply

    async def _settle_with_barriers(
        self,
        acknowledged: Expectation,
        failures: set[ServerFailure],
        *open_request: Expectation,
    ) -> ReceivedReply | None:
        """Send barriers until one of them, and so all before them, must be answered.

        Args:
            acknowledged: The acknowledgement of a barrier.
            failures: Failures that the open request may have been answered with; empty
                if it must have been acknowledged. Those that arrive are added.
            open_request: What a success of the open request is answered with, if it is
                none of the acknowledgements.

        Returns:
            The success of the open request, if it arrives.

        Raises:
            AmbiguousReplyError: A request may have been refused.
            BackendLostError: The connection broke or the server broke the protocol.
        """
        awaited = 0
        is_certain = False
        while awaited > 0 or not is_certain:
            if awaited <= 0:
                awaited = self._send_barriers()
            received = await self._read_answer(acknowledged, *open_request)
            if received.kind is ReplyKind.FAILED:
                if not failures or not self._history.has_failure_like(received.reply):
                    raise AmbiguousReplyError("an earlier request was refused")
                failures.add(received.reply.failure)
                continue
            is_certain = self._take(received) or is_certain
            if received.kind is ReplyKind.RECEIPT:
                break
            awaited -= 1
        self._is_settled = True
        self._doubtful = Counter(
            {reply: n for reply, n in self._taken.items() if reply.failure is None}
        )
        if awaited > 0:
            self._doubtful[None] = awaited
        return received if received.kind is ReplyKind.RECEIPT else None

    def _send_barriers(self) -> int:
        """Send the barriers that are needed beside repetitions; return their number."""
        needed = 1
        last = self._last_reply
        if last is not None and last.kind is ReplyKind.ACKNOWLEDGED:
            needed = max(1, self._count_missing(last))
        if needed > MAX_BARRIERS:
            raise AmbiguousReplyError("too many equal replies")
        sent = 0
        while sent < needed:
            for data in self._make_barriers():
                self._send(data)
                sent += 1
        return sent


def _may_persist(expected: Expectation) -> bool:
    """Return whether a request may change data for good, as a write or commit does."""
    return expected.kind is ReplyKind.RECEIPT and not expected.in_transaction
