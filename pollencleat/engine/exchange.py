"""Requests and replies on one server connection, one request at a time.

A reply is taken for the answer to the open request only if it cannot be the repetition
of an earlier one.  Where equal replies leave this open, barriers settle it: requests
that change nothing, so many that repetitions alone cannot account for all the replies.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace

from pollencleat.core.bounds import is_before
from pollencleat.core.data import Position
from pollencleat.core.errors import BackendError, BackendLostError
from pollencleat.engine.replies import (
    Expectation,
    ReceivedReply,
    RepetitionRecord,
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

MAX_BARRIERS_IF_PROVEN = 2
"""The same for a server that is proven to answer once; more are saved there."""


class NotSentError(BackendError):
    """The statement was not sent: the connection's state could not be settled."""


class AmbiguousReplyError(BackendLostError):
    """The reply may be the repetition of an earlier one."""


class Exchange:
    """Assigns the replies of one connection to its requests.

    Requests that are acknowledged, and acknowledgements, are counted from a moment at
    which all requests had been answered.  Beside one reply to each request, only
    repetitions come: of what had been received by then, and of what has been since.

    Attributes:
        has_open_transaction: Whether the server has a transaction open.
        position: Newest log position among the acknowledgements since the latest
            request.
    """

    def __init__(
        self,
        send: Callable[[bytes], None],
        make_barriers: Callable[[], tuple[bytes, ...]],
        record: RepetitionRecord,
    ) -> None:
        """Start on a new connection.

        Args:
            send: Sends a request.
            make_barriers: Returns requests that change nothing and are acknowledged.
            record: Shared by all connections to the server.
        """
        self._record = record
        self.has_open_transaction = False
        self.position: Position | None = None
        self._send = send
        self._make_barriers = make_barriers
        self._history = ReplyHistory()
        self._replies: deque[ReceivedReply] = deque()
        self._arrival: asyncio.Future | None = None
        self._error: BackendError | None = None
        self._is_request_open = False
        self._replies_to_skip = 0
        self._last_acknowledgement: ServerReply | None = None
        self._last_by_state: dict[bool, ServerReply] = {}
        self._has_outdated_status = False
        # Requests to be acknowledged that were sent since the count began, the latest
        # of them that must not have been refused, and the acknowledgements.
        self._sent = 0
        self._required = 0
        self._taken: Counter[ServerReply] = Counter()

    @property
    def is_usable(self) -> bool:
        """Whether the next request may be sent."""
        if self._error is not None or self._is_request_open:
            return False
        if self._history.is_full:
            return False
        if self._record.is_proven:
            return True
        return all(
            self._history.count(reply) < MAX_EQUAL_REPLIES
            for reply in self._last_by_state.values()
        )

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
        self,
        data: bytes,
        expected: Expectation,
        is_inside_reply: bool = False,
        is_required: bool = True,
        may_be_outdated: bool = False,
    ) -> ServerReply:
        """Send a request and return its reply.

        An acknowledgement may still be the repetition of an earlier one, until `settle`
        has returned.

        Args:
            data: The request.
            expected: What a success is answered with.
            is_inside_reply: Whether a reply has already arrived in part, which
                therefore answers an earlier request.
            is_required: Whether `settle` has to ensure that it was not refused.
            may_be_outdated: Whether a status may be that of an earlier request.

        Returns:
            The reply; without a log position if it may be a repetition.

        Raises:
            NotSentError: The connection had ended before.
            AmbiguousReplyError: The reply may be a repetition.
            BackendLostError: The connection broke or the server broke the protocol.
        """
        self._open(is_inside_reply)
        self.position = None
        unanswered = self._sent - self._count_answered()
        is_acknowledged = expected.kind is ReplyKind.ACKNOWLEDGED
        self._sent += is_acknowledged
        self._send(data)
        received = await self._read_answer(expected)
        reply = received.reply
        if received.kind is ReplyKind.FAILED:
            is_doubtful = self._may_be_earlier_failure(received, expected, unanswered)
            self._history.add(received)
            if is_doubtful:
                reply = await self._settle_failure(received, expected)
            else:
                self._restart_count(0)
        elif is_acknowledged:
            if not self._count_acknowledgement(received):
                reply = replace(reply, position=None)
                if is_required:
                    self._required = self._sent
        else:
            if self._has_outdated_status or self._history.count(received.reply):
                if not may_be_outdated:
                    raise AmbiguousReplyError("the reply may be an earlier one")
                self._has_outdated_status = True
            self._history.add(received)
            self._restart_count(0)
        self._close_request()
        if not is_acknowledged:
            self._record.note_reply()
        self.has_open_transaction = reply.in_transaction
        return reply

    async def settle(self) -> None:
        """Ensure that no required request before was refused.

        Raises:
            NotSentError: One was refused, or the connection broke.
        """
        if self._count_answered() >= self._required:
            return
        if self._are_barriers_saved():
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
            raise NotSentError(str(self._error)) from self._error
        if self._is_request_open:
            raise NotSentError("the connection has a pending reply")
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
                received.kind is ReplyKind.RECEIPT
                and self._history.count(received.reply)
            )
            if is_expected and not is_repeated_receipt:
                return received
            self._discard(received)

    def _discard(self, received: ReceivedReply) -> None:
        """Drop a reply that answers an earlier request.

        Raises:
            BackendLostError: It cannot answer any.
        """
        # One that is expected to come no more cannot answer the open request either.
        may_be_first = received.kind is ReplyKind.ACKNOWLEDGED and (
            self._sent > 0
            or (self._is_request_open and self._last_acknowledgement is not None)
        )
        if not may_be_first and not self._history.count(received.reply):
            raise BackendLostError(f"a reply to no request: {received.kind}")
        is_failure = received.kind is ReplyKind.FAILED
        if is_failure and self._count_answered() < self._required:
            raise BackendLostError("an earlier request may have been refused")
        if may_be_first:
            self._count_acknowledgement(received)
            return
        self._record.note_repetition(received)

    # Counting.

    def _count_acknowledgement(self, received: ReceivedReply) -> bool:
        """Return whether all requests to be acknowledged must have been answered."""
        reply = received.reply
        self._record.note_reply()
        self._history.add(received)
        self._last_acknowledgement = reply
        self._last_by_state[reply.in_transaction] = reply
        if reply.position is not None and (
            self.position is None or is_before(self.position, reply.position)
        ):
            self.position = reply.position
        self._taken[reply] += 1
        if self._count_answered() < self._sent:
            return False
        self._restart_count(0)
        return True

    def _restart_count(self, sent: int) -> None:
        """Begin anew, with all but the latest requests answered."""
        self._sent = sent
        self._required = 0
        self._taken.clear()

    def _count_answered(self) -> int:
        """Return how many requests must have been acknowledged by now."""
        return sum(self._count_first(reply) for reply in self._taken)

    def _count_first(self, reply: ServerReply) -> int:
        """Return how many of the equal acknowledgements must be first answers.

        Of those beyond repetitions of earlier ones, every second may repeat another.
        """
        return (max(0, self._taken[reply] - self._count_earlier(reply)) + 1) // 2

    def _count_earlier(self, reply: ServerReply) -> int:
        """Return how many equal replies had been received when the count began."""
        return max(0, self._history.count(reply) - self._taken[reply])

    def _count_missing(self) -> int:
        """Return how many more acknowledgements, like the last one, are needed."""
        missing = 2 * (self._required - self._count_answered()) - 1
        last = self._last_acknowledgement
        if last in self._taken:
            missing += 2 * self._count_first(last) - self._taken[last]
            missing += self._count_earlier(last)
        return missing

    # Settling.

    def _are_barriers_saved(self) -> bool:
        """Return whether the server is proven, and settling would cost too much."""
        if not self._record.is_proven:
            return False
        return self._count_missing() > MAX_BARRIERS_IF_PROVEN

    def _may_be_earlier_failure(
        self, failed: ReceivedReply, expected: Expectation, unanswered: int
    ) -> bool:
        """Return whether a failure may answer another request than the open one."""
        if unanswered or self._history.count(failed.reply):
            return True
        return _may_persist(expected) and self._history.has_failure_like(failed.reply)

    async def _settle_failure(
        self, failed: ReceivedReply, expected: Expectation
    ) -> ServerReply:
        """Return the reply to a request whose failure may be a repetition."""
        # The position is that of another time, if it is a repetition.
        reply = replace(failed.reply, position=None)
        if not _may_persist(expected):
            if self._record.is_proven and expected.kind is ReplyKind.RECEIPT:
                return reply
            # Nothing is kept in either case, once the connection is closed.
            self.fail(AmbiguousReplyError("a failure equals an earlier one"))
            return reply
        failures = {reply.failure}
        # The first barrier.
        self._required = self._sent + 1
        if self._are_barriers_saved():
            return reply
        # Neither a write of its own nor a commit needs a state: both end in any.
        acknowledged = Expectation(ReplyKind.ACKNOWLEDGED)
        answer = await self._settle_with_barriers(acknowledged, failures, expected)
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
        """Send barriers until all required requests must have been answered.

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
        barriers = refusals = 0
        while self._count_answered() < self._required:
            if self._taken.total() + refusals >= self._sent:
                barriers += self._send_barriers(MAX_BARRIERS - barriers)
            received = await self._read_answer(acknowledged, *open_request)
            if received.kind is ReplyKind.RECEIPT:
                self._history.add(received)
                self._restart_count(barriers)
                return received
            if received.kind is ReplyKind.ACKNOWLEDGED:
                self._count_acknowledgement(received)
                continue
            if not failures or not self._history.has_failure_like(received.reply):
                raise AmbiguousReplyError("an earlier request was refused")
            failures.add(received.reply.failure)
            refusals += 1
        return None

    def _send_barriers(self, limit: int) -> int:
        """Send the barriers that are needed beside repetitions; return their number."""
        missing = self._count_missing()
        if missing > limit:
            raise AmbiguousReplyError("too many equal replies")
        sent = 0
        while sent < missing:
            for data in self._make_barriers():
                self._send(data)
                sent += 1
        self._sent += sent
        return sent


def _may_persist(expected: Expectation) -> bool:
    """Return whether a request may change data for good, as a write or commit does."""
    return expected.kind is ReplyKind.RECEIPT and not expected.in_transaction
