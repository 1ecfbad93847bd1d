"""HTTP client with persistent connections.

A request is sent once.  Only a read may be sent a second time, and only if a reused
connection was closed before an answer, or had bytes that may answer an earlier request.

An answer names no request.  Bytes that arrive before a request is sent or after its
complete answer therefore end the connection.  A second answer that arrives after the
next request was sent cannot be told from the right one: isolated requests, and all that
change something, have a connection of their own.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field

import httptools

from pollencleat.core.errors import PollencleatError
from pollencleat.core.sockets import (
    CONNECT_ERRORS,
    configure_socket,
    has_unread_input,
)

IDLE_CONNECTION_TIMEOUT_S = 30.0
"""Seconds after which an unused connection is no longer reused."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Largest body of a response."""

READ_METHOD = "GET"
FINAL_STATUS = 200
"""Lowest status of a final response; those below announce one."""

SWITCHING_PROTOCOLS = 101


class HttpError(PollencleatError):
    """No complete response arrived; whether the request was carried out is unknown."""


class _ConnectionResetError(HttpError):
    """The connection was closed before the server answered anything."""


class _AmbiguousAnswerError(HttpError):
    """Two answers on a reused connection; either may belong to an earlier request."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True)
class _PartialResponse:
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)


class _Connection(asyncio.Protocol):
    """One connection, which carries one request at a time."""

    def __init__(self) -> None:
        self.idle_since_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._partial = _PartialResponse()
        self._response: asyncio.Future[HttpResponse] | None = None
        self._is_answer_started = False
        self._complete: HttpResponse | None = None
        self._has_extra_bytes = False
        self._keeps_alive = True
        self._requests = 0

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent: nothing arrived since the last answer."""
        if self._transport is None or self._transport.is_closing():
            return False
        return not has_unread_input(self._transport)

    def close(self) -> None:
        """Close the connection at once; an answer that is under way is lost."""
        if self._transport is not None:
            self._transport.abort()

    async def exchange(self, request: bytes) -> HttpResponse:
        """Send a request and wait for its response.

        Raises:
            HttpError: The connection ended first, or the response is malformed or
                cannot be assigned.
        """
        if not self.is_usable:
            raise _ConnectionResetError("closed, or bytes that belong to no request")
        self._requests += 1
        self._complete = None
        self._has_extra_bytes = False
        self._parser = httptools.HttpResponseParser(self)
        self._partial = _PartialResponse()
        self._is_answer_started = False
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._response

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        configure_socket(transport)

    def data_received(self, data: bytes) -> None:
        if self._response is None or self._response.done():
            # Nothing was asked, so that nothing that follows can be assigned.
            self.close()
            return
        self._is_answer_started = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._complete is None:
                self._fail(HttpError(f"malformed response: {error}"))
                self.close()
                return
            self._has_extra_bytes = True
        if self._complete is not None:
            self._end_exchange(self._complete)
        elif len(self._partial.body) > MAX_BODY_BYTES:
            self._fail(HttpError("response too large"))
            self.close()

    def _end_exchange(self, response: HttpResponse) -> None:
        """Pass the response on unless it may answer an earlier request."""
        if self._has_extra_bytes and self._requests > 1:
            self._fail(_AmbiguousAnswerError("more than one answer"))
        else:
            self._response.set_result(response)
        if self._has_extra_bytes:
            self.close()
        elif not self._keeps_alive:
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        reason = str(error) if error else "connection closed"
        kind = HttpError if self._is_answer_started else _ConnectionResetError
        self._fail(kind(reason))

    def _fail(self, error: HttpError) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(error)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._has_extra_bytes = self._complete is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete is not None:
            return
        self._partial.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        if self._complete is None:
            self._partial.body += body

    def on_message_complete(self) -> None:
        if self._complete is not None:
            return
        status = self._parser.get_status_code()
        if status == SWITCHING_PROTOCOLS:
            self._fail(HttpError("the server switches to another protocol"))
            self.close()
            return
        if status < FINAL_STATUS:
            self._partial = _PartialResponse()
            return
        # The parser knows this only while it is in this callback.
        self._keeps_alive = self._parser.should_keep_alive()
        self._complete = HttpResponse(
            status, self._partial.headers, bytes(self._partial.body)
        )


class HttpClient:
    """Sends requests to one server and keeps its connections open between them."""

    def __init__(self, host: str, port: int) -> None:
        """Use the server at an address; connections are opened when needed."""
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []
        self._in_use: set[_Connection] = set()

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        is_isolated: bool = False,
    ) -> HttpResponse:
        """Send a request and return its response, whatever its status.

        Args:
            method: HTTP method.
            path: Path with query, encoded.
            timeout_s: Seconds for connecting, sending and the complete response.
            body: Body, sent as JSON if it is not empty.
            headers: Further headers.
            is_isolated: Whether the request is sent on a connection of its own; changes
                always are.

        Returns:
            The response.

        Raises:
            HttpError: No complete response arrived in time.
        """
        try:
            message = self._encode(method, path, body, headers or {})
        except UnicodeEncodeError as error:
            raise HttpError(f"not a header: {error}") from error
        try:
            async with asyncio.timeout(timeout_s):
                if is_isolated or method != READ_METHOD:
                    return await self._exchange(await self._open(), message, False)
                return await self._send(message)
        except TimeoutError as error:
            raise HttpError("no response in time") from error
        except OSError as error:
            raise HttpError(str(error) or type(error).__name__) from error

    async def _send(self, message: bytes) -> HttpResponse:
        connection = self._pop_idle()
        if connection is None:
            return await self._exchange(await self._open(), message, True)
        try:
            return await self._exchange(connection, message, True)
        except (_ConnectionResetError, _AmbiguousAnswerError):
            return await self._exchange(await self._open(), message, True)

    async def _open(self) -> _Connection:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                _Connection, self._host, self._port
            )
        except CONNECT_ERRORS as error:
            raise HttpError(str(error) or type(error).__name__) from error
        return connection

    async def _exchange(
        self, connection: _Connection, message: bytes, keeps_connection: bool
    ) -> HttpResponse:
        self._in_use.add(connection)
        is_complete = False
        try:
            response = await connection.exchange(message)
            is_complete = True
            return response
        finally:
            self._in_use.discard(connection)
            if keeps_connection and is_complete and connection.is_usable:
                connection.idle_since_s = asyncio.get_running_loop().time()
                self._idle.append(connection)
            else:
                connection.close()

    def _pop_idle(self) -> _Connection | None:
        oldest_s = asyncio.get_running_loop().time() - IDLE_CONNECTION_TIMEOUT_S
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable and connection.idle_since_s > oldest_s:
                return connection
            connection.close()
        return None

    def _encode(
        self, method: str, path: str, body: bytes, headers: Mapping[str, str]
    ) -> bytes:
        if any(not character.isprintable() or character == " " for character in path):
            raise HttpError(f"not a path: {path!r}")
        if any(not text.isprintable() for item in headers.items() for text in item):
            raise HttpError(f"not headers: {headers!r}")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}:{self._port}"]
        if body:
            lines.append("Content-Type: application/json")
        if body or method != READ_METHOD:
            lines.append(f"Content-Length: {len(body)}")
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    def close(self) -> None:
        """Close all connections; requests that are under way fail."""
        for connection in (*self._idle, *self._in_use):
            connection.close()
        self._idle.clear()
