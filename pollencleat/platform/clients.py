"""Serves callers over the platform's line protocol."""

import asyncio
import contextlib

import structlog

from pollencleat.core.errors import (
    CallerError,
    DrainingError,
    MalformedStatementError,
    PollencleatError,
    TransactionLostError,
    UnknownDatabaseError,
    UnknownOutcomeError,
)
from pollencleat.core.sockets import write_bytes
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.endings import EndReason, SessionActivity, SessionEnd
from pollencleat.engine.executor import SessionExecutor
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import Answer
from pollencleat.platform.wire import (
    LineTooLongError,
    UnsendableLineError,
    code_of_error,
    decode_line,
    encode_error,
    encode_line,
    format_position,
    parse_startup,
    parse_statement,
    read_line,
)

STARTUP_TIMEOUT_S = 10.0
"""How long a connection may stay open before its STARTUP line."""

JOIN_TIMEOUT_S = 1.5
"""How long STARTUP waits while the process joins the fleet; callers time out after
2 s."""

JOIN_POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether the process has joined the fleet."""

CLOSE_IDLE_AFTER_S = 0.3
"""A session counts as idle after this time; before, its next request is probably about
to be sent."""

LEAVE_LIMIT_S = 1.0
"""How long a session whose end was announced stays open for its caller to close it."""

LAST_READ_S = 0.05
"""Time after LEAVE_LIMIT_S in which what has arrived is still read: after a suspension
of the process, the limit may pass before the event loop has read the socket."""

TOO_LARGE_CODE = "TOOLARGE"

END_LINE = b"TERMINATE"
"""Line with which a caller ends its session."""

_announcements_by_reason = {
    EndReason.STOPPING: "this node is stopping",
    EndReason.UNREADY: "this node is not ready",
    EndReason.LIMIT: "this node has stopped",
}

log = structlog.get_logger()


class ClientConnection:
    """One caller's connection and its session."""

    def __init__(
        self,
        access: ServerAccess,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve an accepted connection."""
        self._access = access
        self._reader = reader
        self._writer = writer
        self._lock = asyncio.Lock()
        self._last_used_s = access.clock()
        self.opened_at_s = self._last_used_s
        self._is_finishing = False
        self._is_closing = False
        self._is_end_announced = False
        self._leave_timer: asyncio.TimerHandle | None = None
        self.executor: SessionExecutor | None = None
        self.end: SessionEnd | None = None
        self.request_id = ""

    async def serve(self) -> None:
        """Serve until the caller leaves or the connection is closed."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                data = await read_line(self._reader)
            if data is None or self._is_end_announced:
                return
            async with self._lock:
                is_started = await self._start(data)
            if not is_started:
                return
            while await self._serve_next():
                pass
        except LineTooLongError as error:
            # The start of the next line is unknown.
            self._write(encode_error(TOO_LARGE_CODE, error.detail))
        finally:
            if self._leave_timer is not None:
                self._leave_timer.cancel()
            if self.executor is not None:
                async with self._lock:
                    await self.executor.close()

    async def _start(self, data: bytes) -> bool:
        try:
            database, account = parse_startup(decode_line(data))
        except MalformedStatementError as error:
            self._write(encode_error(code_of_error(error), error.detail))
            return False
        await self._wait_until_joined()
        try:
            if not self._access.board.inventory.version:
                raise PollencleatError("no configuration is known yet")
            self._access.route_of(database)
        except UnknownDatabaseError as error:
            log.info(
                "session refused",
                database=database,
                inventory=self._access.board.inventory.version,
                reason=error.detail,
            )
            self._write(encode_error("NODATABASE", database))
            return False
        except PollencleatError as error:
            self._write(encode_error("BUSY", str(error)))
            return False
        self.executor = SessionExecutor(self._access, SessionState(database, account))
        self._write(encode_line("READY", "I", "-"))
        return True

    async def _wait_until_joined(self) -> None:
        """Wait until a process that just started has its configuration and permit."""
        deadline_s = self._access.clock() + JOIN_TIMEOUT_S
        while not self._access.has_been_ready and self._access.clock() < deadline_s:
            if self._is_finishing:
                return
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)

    async def _serve_next(self) -> bool:
        data = await read_line(self._reader)
        if data is None or data == END_LINE:
            return False
        if self._is_end_announced:
            await self._refuse(data)
            return True
        self._last_used_s = self._access.clock()
        async with self._lock:
            try:
                statement = parse_statement(decode_line(data))
                self.request_id = statement.request_id
                answer = await self.executor.execute(statement)
                lines = self._encode_answer(answer)
            except CallerError as error:
                lines = self._encode_error(error)
            self._write(lines)
        self._last_used_s = self._access.clock()
        if self._is_finishing and not self.executor.is_in_transaction:
            self.announce_end(EndReason.STOPPING, SessionActivity.ANSWERED)
        await self._writer.drain()
        return not self._writer.is_closing()

    async def _refuse(self, data: bytes) -> None:
        """Complete the answer to a request that was sent before the end was known.

        Its caller takes the error that announced the end as the answer.
        """
        fields = data.decode(errors="replace").split(" ", 2)
        request_id = fields[1] if len(fields) > 1 else ""
        self._access.metrics.count("request_refused_at_end")
        log.info("request refused", reason=self.end.reason, request=request_id)
        async with self._lock:
            await self.executor.close()
        self._write(self._ready_line("-"))
        self._write_announcement(self.end.reason)

    def _encode_answer(self, answer: Answer) -> bytes:
        try:
            lines = [encode_line("DATAROW", row) for row in answer.rows]
            lines.append(encode_line("COMPLETE", answer.receipt or "-"))
        except UnsendableLineError as error:
            raise UnknownOutcomeError(str(error)) from error
        lines.append(self._ready_line(format_position(answer.position)))
        return b"".join(lines)

    def _encode_error(self, error: CallerError) -> bytes:
        detail = error.detail
        if error.retry_after_ms is not None:
            detail = f"retry after {error.retry_after_ms} ms: {detail}"
        return encode_error(code_of_error(error), detail) + self._ready_line("-")

    def _write(self, data: bytes) -> None:
        write_bytes(self._writer, data)

    def _ready_line(self, position: str) -> bytes:
        state = "I"
        if self.executor.is_in_transaction:
            state = "E" if self.executor.has_failed else "T"
        return encode_line("READY", state, position)

    @property
    def is_answering(self) -> bool:
        """Whether a request is at work."""
        return self._lock.locked()

    @property
    def _is_in_transaction(self) -> bool:
        return self.executor is not None and self.executor.is_in_transaction

    async def end_idle_transaction(self, now_s: float) -> None:
        """Release the server if the transaction has been idle for too long."""
        if self._lock.locked() or self.executor is None:
            return
        async with self._lock:
            await self.executor.end_idle_transaction(now_s)

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, has arrived or is to be expected at once."""
        if self.is_answering or self._is_in_transaction:
            return False
        if self.end is not None or self._unfinished_bytes:
            return False
        return self._access.clock() - self._last_used_s > CLOSE_IDLE_AFTER_S

    @property
    def _unfinished_bytes(self) -> int:
        # StreamReader has no public count of what it has buffered.
        return len(self._reader._buffer)

    def finish(self) -> None:
        """Close the connection after the next answer outside a transaction."""
        self._is_finishing = True

    def announce_end(
        self, reason: EndReason, activity: SessionActivity | None = None
    ) -> None:
        """Send an error that tells the caller to close the session.

        A caller that has sent a request in the meantime takes the error as its answer;
        the request is not run, and an open transaction is rolled back. The connection
        is closed if the caller does not do so.

        Args:
            reason: Why the session ends.
            activity: What the session was doing, or None to find out.
        """
        if self.end is not None or self._writer.transport.is_closing():
            return
        self._note_end(reason, activity or self._activity())
        self._is_end_announced = True
        # If the connection has just broken, the next read reports it.
        with contextlib.suppress(ConnectionResetError):
            self._write_announcement(reason)
        loop = asyncio.get_running_loop()
        self._leave_timer = loop.call_later(LEAVE_LIMIT_S, self._close_after_last_read)

    def _write_announcement(self, reason: EndReason) -> None:
        error: CallerError = DrainingError(_announcements_by_reason[reason])
        if self._is_in_transaction:
            error = TransactionLostError(error.detail)
        self._write(encode_error(code_of_error(error), error.detail))

    def _close_after_last_read(self) -> None:
        loop = asyncio.get_running_loop()
        self._leave_timer = loop.call_later(LAST_READ_S, self._end_reading)

    def close(self, reason: EndReason) -> None:
        """Close the connection; a request that was read already is answered first."""
        if self._writer.transport.is_closing():
            return
        self._note_end(reason, self._activity())
        self._end_reading()

    def _end_reading(self) -> None:
        transport = self._writer.transport
        if self._is_closing or transport.is_closing():
            return
        self._is_closing = True
        # The reader accepts no data after feed_eof.
        transport.pause_reading()
        self._reader.feed_eof()

    def _activity(self) -> SessionActivity:
        if self.executor is None:
            return SessionActivity.STARTING
        if self.is_answering:
            return SessionActivity.REQUEST
        if self._is_in_transaction:
            return SessionActivity.TRANSACTION
        return SessionActivity.IDLE

    def _note_end(self, reason: EndReason, activity: SessionActivity) -> None:
        if self.end is not None:
            return
        idle_s = self._access.clock() - self._last_used_s
        self.end = SessionEnd(
            reason,
            activity,
            round(idle_s * 1000),
            self._unfinished_bytes,
            self.executor.session.database if self.executor is not None else "",
            self.request_id,
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that are not sent yet."""
        return self._writer.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Break the connection."""
        self._writer.transport.abort()
