"""The HTTP client against servers that answer in every way that a server can."""

import asyncio

import pytest

from pollencleat.web.client import HttpClient, HttpError, HttpResponse

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nStore-Era: 3\r\n\r\nok"


class ScriptedServer:
    """Answers each request with the next entry of a script.

    An entry is the bytes to send; None closes the connection without an answer, and a
    number waits for so many seconds first.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.requests = []
        self.connections = 0
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = HttpClient("127.0.0.1", port)
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests.append(head)
            step = self.script.pop(0)
            if isinstance(step, float):
                await asyncio.sleep(step)
                step = OK_ANSWER
            if step is None:
                break
            writer.write(step)
        writer.close()


async def test_connections_are_reused_and_headers_are_readable():
    async with ScriptedServer(OK_ANSWER, OK_ANSWER) as server:
        for _ in range(2):
            answer = await server.client.request("GET", "/a", 1.0)
            assert answer == HttpResponse(
                200, {"content-length": "2", "store-era": "3"}, b"ok"
            )
        assert server.connections == 1


async def test_chunked_bodies_are_joined():
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    )
    async with ScriptedServer(chunked, OK_ANSWER) as server:
        assert (await server.client.request("GET", "/a", 1.0)).body == b"abc"
        assert (await server.client.request("GET", "/a", 1.0)).body == b"ok"


async def test_a_read_is_repeated_once_if_a_reused_connection_was_closed():
    async with ScriptedServer(OK_ANSWER, None, OK_ANSWER) as server:
        await server.client.request("GET", "/a", 1.0)
        assert (await server.client.request("GET", "/a", 1.0)).status == 200
        assert len(server.requests) == 3


async def test_a_change_is_never_sent_twice():
    async with ScriptedServer(OK_ANSWER, None, OK_ANSWER) as server:
        await server.client.request("GET", "/a", 1.0)
        with pytest.raises(HttpError):
            await server.client.request("PUT", "/a", 1.0, b"{}")
        assert len(server.requests) == 2


@pytest.mark.parametrize(
    "answer",
    [
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"",
    ],
)
async def test_incomplete_and_malformed_answers_are_errors(answer):
    async with ScriptedServer(answer, OK_ANSWER) as server:
        with pytest.raises(HttpError):
            await server.client.request("GET", "/a", 0.3)
        assert (await server.client.request("GET", "/a", 1.0)).status == 200


async def test_a_late_answer_reaches_nobody_else():
    async with ScriptedServer(0.3, OK_ANSWER.replace(b"ok", b"no")) as server:
        with pytest.raises(HttpError, match="in time"):
            await server.client.request("GET", "/a", 0.1)
        assert (await server.client.request("GET", "/b", 1.0)).body == b"no"
        assert server.connections == 2


async def test_an_unsolicited_answer_closes_the_connection():
    async with ScriptedServer(OK_ANSWER + OK_ANSWER, OK_ANSWER) as server:
        await server.client.request("GET", "/a", 1.0)
        await asyncio.sleep(0.05)
        assert (await server.client.request("GET", "/b", 1.0)).body == b"ok"


async def test_close_fails_requests_that_are_under_way():
    async with ScriptedServer(5.0) as server:
        request = asyncio.create_task(server.client.request("GET", "/a", 9.0))
        await asyncio.sleep(0.1)
        server.client.close()
        with pytest.raises(HttpError):
            await request


async def test_an_address_without_a_listener_is_an_error():
    with pytest.raises(HttpError):
        await HttpClient("127.0.0.1", 1).request("GET", "/a", 1.0)
