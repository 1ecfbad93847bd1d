"""Parsing of server replies from a byte stream that is split anywhere."""

from pollencleat.core.data import Position
from pollencleat.core.errors import BackendLostError
from pollencleat.engine.replies import ReceivedReply, ReplyKind
from pollencleat.engine.statements import ServerFailure, ServerReply
from pollencleat.platform.wire import (
    LINE_END,
    MAX_LINE_BYTES,
    failure_of_code,
    parse_ready,
)

NO_RECEIPT = "-"


class ReplyParser:
    """Turns the bytes of one connection into replies."""

    def __init__(self) -> None:
        """Start before the first reply."""
        self._buffer = bytearray()
        self._scanned = 0
        self._begin_reply()

    def _begin_reply(self) -> None:
        self._rows: list[str] = []
        self._receipt: str | None = None
        self._failure: ServerFailure | None = None
        self._detail = ""
        self._has_lines = False

    @property
    def is_inside_reply(self) -> bool:
        """Whether a part of the next reply has arrived."""
        return self._has_lines or bool(self._buffer)

    def feed(self, data: bytes) -> list[ReceivedReply]:
        """Add received bytes and return the replies that they complete.

        Raises:
            BackendLostError: The bytes are no reply.
        """
        self._buffer += data
        replies = []
        start = 0
        while True:
            end = self._buffer.find(LINE_END, max(start, self._scanned))
            if end < 0:
                break
            if end - start > MAX_LINE_BYTES:
                raise BackendLostError("the line is too long")
            reply = self._add_line(bytes(self._buffer[start:end]))
            if reply is not None:
                replies.append(reply)
                self._begin_reply()
            start = end + len(LINE_END)
        del self._buffer[:start]
        # The last byte may be the first of a line end.
        self._scanned = max(0, len(self._buffer) - 1)
        if len(self._buffer) > MAX_LINE_BYTES + len(LINE_END) - 1:
            raise BackendLostError("the line is too long")
        return replies

    def finish(self) -> ReceivedReply | None:
        """Return the failure after which the server closed without a READY line."""
        if self._failure is None:
            return None
        return self._make_failure(None, False)

    def _add_line(self, data: bytes) -> ReceivedReply | None:
        try:
            line = data.decode()
        except UnicodeDecodeError as error:
            raise BackendLostError("the line is no text") from error
        self._has_lines = True
        word, _, rest = line.partition(" ")
        has_ended = self._receipt is not None or self._failure is not None
        if has_ended and word != "READY":
            raise BackendLostError(f"{word[:40]!r} after the end of a reply")
        if word == "DATAROW":
            self._rows.append(rest)
        elif word == "COMPLETE":
            self._receipt = "" if rest == NO_RECEIPT else rest
        elif word == "ERROR":
            code, _, detail = rest.partition(" ")
            self._failure = failure_of_code(code)
            self._detail = f"{code} {detail}".rstrip(" ")
        elif word == "READY":
            return self._make_reply(rest)
        else:
            raise BackendLostError(f"unexpected line from the server: {line[:40]!r}")
        return None

    def _make_reply(self, ready_fields: str) -> ReceivedReply:
        ready = parse_ready(ready_fields)
        if self._failure is not None:
            return self._make_failure(ready.position, ready.in_transaction)
        reply = ServerReply(
            tuple(self._rows),
            self._receipt or "",
            position=ready.position,
            in_transaction=ready.in_transaction,
        )
        if self._receipt is None and not self._rows:
            return ReceivedReply(ReplyKind.STARTED, reply)
        if self._receipt is None:
            raise BackendLostError("rows without their end")
        if reply.receipt:
            return ReceivedReply(ReplyKind.RECEIPT, reply)
        kind = ReplyKind.STATUS if reply.rows else ReplyKind.ACKNOWLEDGED
        return ReceivedReply(kind, reply)

    def _make_failure(
        self, position: Position | None, in_transaction: bool
    ) -> ReceivedReply:
        reply = ServerReply(
            failure=self._failure,
            detail=self._detail,
            position=position,
            in_transaction=in_transaction,
        )
        return ReceivedReply(ReplyKind.FAILED, reply)
