"""Accepts callers' connections, closes idle sessions and drains on shutdown."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import structlog

from pollencleat.core.sockets import close_when_sent, configure_socket
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.endings import (
    EndReason,
    SessionEnd,
    StopReport,
    record_end,
)

LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted; many callers reconnect at once after an
outage."""

DRAIN_POLL_S = 0.02
"""Interval at which the sessions are checked while the process drains."""


SEND_LIMIT_S = 1.0
"""How long a connection that has ended is kept to send the rest of its answers."""

ACCEPT_PASSES = 8
"""Passes of the event loop without a new session after which none waits to be accepted:
asyncio takes four from the accept to the session, uvloop accepts one in a pass."""

log = structlog.get_logger()


class SessionConnection(Protocol):
    """A caller's connection, implemented by a protocol codec.

    Attributes:
        end: How this process ended the session; None while it has not.
        request_id: The request at work, or the last one; empty before the first.
        unsent_bytes: Bytes of answers that are not sent yet.
        opened_at_s: Local time in seconds at which the connection was accepted.
        is_answering: Whether a request is at work.
        is_idle: Whether no request is open or to be expected at once.
    """

    end: SessionEnd | None
    request_id: str
    unsent_bytes: int
    opened_at_s: float
    is_answering: bool
    is_idle: bool

    async def serve(self) -> None:
        """Serve requests until either side closes the connection."""

    async def end_idle_transaction(self, now_s: float) -> None:
        """Fail the open transaction if it exceeded the idle timeout.

        Args:
            now_s: Local time in seconds.
        """

    def finish(self) -> None:
        """Close the connection after the next answer sent outside a transaction."""

    def announce_end(self, reason: EndReason) -> None:
        """Tell the caller of a session without a request at work to close it.

        Requests that the caller sent before it knew are refused, not run, and an open
        transaction is rolled back. The connection is closed if the caller does not do
        so. Announcing the end again has no effect.

        Args:
            reason: Why the session is ended.
        """

    def close(self, reason: EndReason) -> None:
        """Close the connection after answering a request that was already read.

        Args:
            reason: Why the session is ended.
        """

    def abort(self) -> None:
        """Close the connection at once, without answering an open request."""


class SessionListener:
    """Listens for callers and tracks their connections.

    Attributes:
        connections: Open connections.
        port: Port that the listener is bound to; 0 before the start.
        stop_report: What the drain did to the sessions.
    """

    def __init__(
        self,
        access: ServerAccess,
        make_connection: Callable[
            [ServerAccess, asyncio.StreamReader, asyncio.StreamWriter],
            SessionConnection,
        ],
        max_message_bytes: int,
    ) -> None:
        """Create a listener; `start` opens its port.

        Args:
            access: The node's connections to backend servers.
            make_connection: Creates the codec of an accepted connection.
            max_message_bytes: Largest message in bytes.
        """
        self._access = access
        self._make_connection = make_connection
        self._max_message_bytes = max_message_bytes
        self._server: asyncio.Server | None = None
        self.connections: set[SessionConnection] = set()
        self._recorded: set[SessionConnection] = set()
        self._accepted = 0
        self.port = 0
        self.stop_report = StopReport()

    async def start(self, host: str, port: int) -> None:
        """Bind and listen; sets the `port` attribute.

        Args:
            host: Address to bind to.
            port: Port, or 0 for one that the system chooses.

        Raises:
            OSError: The address cannot be bound.
        """
        self._server = await asyncio.start_server(
            self._serve,
            host,
            port,
            limit=self._max_message_bytes,
            backlog=LISTEN_BACKLOG,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        configure_socket(writer)
        connection = self._make_connection(self._access, reader, writer)
        self.connections.add(connection)
        self._accepted += 1
        try:
            await connection.serve()
        except (OSError, TimeoutError) as error:
            self._access.metrics.count("connection_broken", type(error).__name__)
        except Exception as error:
            self._access.faults.record("session", error, request=connection.request_id)
        finally:
            if not await close_when_sent(writer, SEND_LIMIT_S):
                self._access.metrics.count("connection_broken", "answers not sent")
            self._record_end(connection)
            self.connections.discard(connection)
            self._recorded.discard(connection)

    def _record_end(self, connection: SessionConnection) -> None:
        if connection.end is None or connection in self._recorded:
            return
        self._recorded.add(connection)
        record_end(self._access.metrics, connection.end)
        self.stop_report.add(connection.end)
        self.stop_report.unsent_bytes += connection.unsent_bytes

    async def abort(self) -> None:
        """Stop listening and abort every connection, as if the process had died."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def end_idle_transactions(self) -> None:
        """Fail transactions that exceeded the idle timeout; frees their connections."""
        now_s = self._access.clock()
        for connection in list(self.connections):
            await connection.end_idle_transaction(now_s)

    def close_idle(self, opened_before_s: float, count: int) -> int:
        """End some idle sessions so that their callers reconnect to other nodes.

        Args:
            opened_before_s: Local time in seconds; only sessions that were opened
                earlier are ended.
            count: Largest number of sessions to end.

        Returns:
            Number of ended sessions.
        """
        closed = 0
        for connection in list(self.connections):
            if closed == count:
                break
            if connection.is_idle and connection.opened_at_s < opened_before_s:
                connection.announce_end(EndReason.UNREADY)
                closed += 1
        return closed

    async def drain(self, limit_s: float, transactions_limit_s: float) -> bool:
        """Stop accepting, end idle sessions and wait until all have ended.

        A session that was used a moment ago ends after its next answer, or when no
        request has arrived. Callers close ended sessions themselves.

        Args:
            limit_s: Longest wait in seconds.
            transactions_limit_s: Seconds after which no transaction may begin.

        Returns:
            True if all sessions have ended.
        """
        await self._accept_waiting()
        report = self.stop_report = StopReport()
        report.sessions_at_close = len(self.connections)
        if self._server is not None:
            self._server.close()
            await self._accept_waiting()
        log.info("listening ended", sessions=report.sessions_at_close)
        started_at_s = self._access.clock()
        while self.connections:
            passed_s = self._access.clock() - started_at_s
            if passed_s >= limit_s:
                return False
            if passed_s >= transactions_limit_s:
                self._access.accepts_transactions = False
            for connection in list(self.connections):
                connection.finish()
                if connection.is_idle:
                    connection.announce_end(EndReason.STOPPING)
            await asyncio.sleep(DRAIN_POLL_S)
        return True

    async def end_sessions(self, limit_s: float) -> None:
        """End all sessions after the final answers to the requests at work.

        The access to servers must have been closed, so that all statements fail.

        Args:
            limit_s: Longest wait in seconds.
        """
        deadline_s = self._access.clock() + limit_s
        while self.connections and self._access.clock() < deadline_s:
            for connection in list(self.connections):
                connection.finish()
                if not connection.is_answering:
                    connection.announce_end(EndReason.LIMIT)
            await asyncio.sleep(DRAIN_POLL_S)
        for connection in list(self.connections):
            connection.close(EndReason.LIMIT)

    async def _accept_waiting(self) -> None:
        """Let the event loop accept waiting connections and start their sessions."""
        passes = 0
        accepted = self._accepted
        while passes < ACCEPT_PASSES:
            await asyncio.sleep(0)
            passes += 1
            if self._accepted > accepted:
                accepted = self._accepted
                passes = 0

    def report_stop(self) -> StopReport:
        """Return what the drain did, sessions that are still open included."""
        for connection in self.connections:
            self._record_end(connection)
        return self.stop_report
