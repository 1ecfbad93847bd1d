"""HTTP server for a few fixed paths that answer without waiting.

It serves readiness checks and metrics.  Requests have no body; whoever sends something
else is disconnected, and no error of one connection reaches another.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import unquote

import httptools

MAX_REQUEST_BYTES = 16 * 1024
"""Largest request line and headers together."""

IDLE_TIMEOUT_S = 75.0
"""Seconds after which a connection without a complete request is closed."""

OK = 200
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503

_reasons_by_status = {
    OK: "OK",
    NOT_FOUND: "Not Found",
    METHOD_NOT_ALLOWED: "Method Not Allowed",
    SERVER_ERROR: "Internal Server Error",
    SERVICE_UNAVAILABLE: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes = b""


Handler = Callable[[], HttpAnswer]


class _ServerConnection(asyncio.Protocol):
    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._received_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._server.connections.add(self)
        self._restart_timer()

    def data_received(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self._received_bytes > MAX_REQUEST_BYTES:
            self.transport.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._server.count_malformed()
            self.transport.abort()
        except httptools.HttpParserUpgrade:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._timer.cancel()

    # Callbacks of the parser.

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        path = unquote(self._url.split(b"?", 1)[0].decode("latin-1"))
        answer = self._server.answer(self._parser.get_method(), path)
        keep_alive = self._parser.should_keep_alive()
        lines = (
            f"HTTP/1.1 {answer.status} {_reasons_by_status[answer.status]}",
            f"Content-Length: {len(answer.body)}",
            "Content-Type: text/plain; charset=utf-8",
            f"Connection: {'keep-alive' if keep_alive else 'close'}",
        )
        self.transport.write("\r\n".join([*lines, "", ""]).encode() + answer.body)
        self._url = b""
        self._received_bytes = 0
        self._restart_timer()
        if not keep_alive:
            self.transport.close()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(
            IDLE_TIMEOUT_S, self.transport.abort
        )


class HttpServer:
    """Answers GET requests by their path.

    Attributes:
        connections: Open connections.
    """

    def __init__(
        self,
        handlers_by_path: dict[str, Handler],
        record_error: Callable[[str, Exception], None],
        count_malformed: Callable[[], None],
    ) -> None:
        """Create a server that does not listen yet.

        Args:
            handlers_by_path: Returns the answer for each path.
            record_error: Called with the path and an error that its handler raised.
            count_malformed: Called for each malformed request.
        """
        self._handlers_by_path = handlers_by_path
        self._record_error = record_error
        self.count_malformed = count_malformed
        self.connections: set[_ServerConnection] = set()
        self._listener: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen.

        Args:
            host: Address to listen on.
            port: Port to listen on; 0 picks a free one.

        Returns:
            The port that is listened on.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _ServerConnection(self), host, port
        )
        return self._listener.sockets[0].getsockname()[1]

    def answer(self, method: bytes, path: str) -> HttpAnswer:
        """Return the answer to a request; a handler's error becomes status 500."""
        if method != b"GET":
            return HttpAnswer(METHOD_NOT_ALLOWED)
        handler = self._handlers_by_path.get(path)
        if handler is None:
            return HttpAnswer(NOT_FOUND)
        try:
            return handler()
        except Exception as error:
            self._record_error(path, error)
            return HttpAnswer(SERVER_ERROR)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
