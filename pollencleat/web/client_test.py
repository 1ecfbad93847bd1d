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
        self.writers = []
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
        self.writers.append(writer)
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


SECOND_ANSWER = OK_ANSWER.replace(b"ok", b"no").replace(b"Era: 3", b"Era: 9")


@pytest.mark.parametrize("extra", [SECOND_ANSWER, SECOND_ANSWER[:30], b"\0", b"\r\n"])
async def test_bytes_after_a_first_answer_change_nothing_and_end_the_connection(extra):
    """The headers of the second answer were taken for those of the first."""
    async with ScriptedServer(OK_ANSWER + extra, OK_ANSWER) as server:
        answer = await server.client.request("GET", "/a", 1.0)
        assert answer.body == b"ok" and answer.headers["store-era"] == "3"
        await server.client.request("GET", "/b", 1.0)
        assert server.connections == (1 if extra == b"\r\n" else 2)


async def test_of_two_answers_at_once_on_a_kept_connection_none_is_taken():
    """The first may be the second answer to an earlier request."""
    script = (OK_ANSWER, SECOND_ANSWER + OK_ANSWER, OK_ANSWER)
    async with ScriptedServer(*script) as server:
        await server.client.request("GET", "/a", 1.0)
        assert (await server.client.request("GET", "/b", 1.0)).body == b"ok"
        assert server.connections == 2


async def test_of_two_answers_at_once_to_a_change_the_first_is_taken():
    """Nothing was sent before on its connection."""
    script = (OK_ANSWER, OK_ANSWER + SECOND_ANSWER, OK_ANSWER)
    async with ScriptedServer(*script) as server:
        await server.client.request("GET", "/a", 1.0)
        assert (await server.client.request("PUT", "/b", 1.0, b"{}")).body == b"ok"
        assert len(server.requests) == 2 and server.connections == 2


@pytest.mark.parametrize(("method", "is_isolated"), [("PUT", False), ("GET", True)])
async def test_second_answer_to_an_earlier_request_answers_no_isolated_one(
    method, is_isolated
):
    """It came after the request was sent, when nothing tells it from its answer."""
    async with ScriptedServer(OK_ANSWER, 0.2) as server:
        await server.client.request("GET", "/a", 1.0)
        request = asyncio.create_task(
            server.client.request(method, "/b", 1.0, is_isolated=is_isolated)
        )
        await asyncio.sleep(0.1)
        server.writers[0].write(SECOND_ANSWER)
        assert (await request).body == b"ok"
        assert server.connections == 2


async def test_connection_of_an_isolated_request_is_not_used_again():
    async with ScriptedServer(OK_ANSWER, OK_ANSWER) as server:
        await server.client.request("PUT", "/a", 1.0, b"{}")
        await server.client.request("GET", "/b", 1.0)
        assert server.connections == 2


@pytest.mark.parametrize("status", [b"100 Continue", b"103 Early Hints"])
async def test_interim_answer_is_not_taken_for_the_answer(status):
    interim = b"HTTP/1.1 " + status + b"\r\nStore-Era: 9\r\n\r\n"
    async with ScriptedServer(interim * 2 + OK_ANSWER, OK_ANSWER) as server:
        answer = await server.client.request("GET", "/a", 1.0)
        assert (answer.status, answer.headers["store-era"]) == (200, "3")
        assert (await server.client.request("GET", "/b", 1.0)).status == 200
        assert server.connections == 1


async def test_change_of_protocol_is_an_error():
    switch = b"HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
    async with ScriptedServer(switch, OK_ANSWER) as server:
        with pytest.raises(HttpError):
            await server.client.request("GET", "/a", 0.3)
        assert (await server.client.request("GET", "/b", 1.0)).body == b"ok"


async def test_answer_that_waits_before_a_request_is_sent_is_not_taken_for_its_answer():
    """The event loop has not read it yet, so that the connection looked idle."""
    async with ScriptedServer(OK_ANSWER, OK_ANSWER) as server:
        await server.client.request("GET", "/a", 1.0)
        server.writers[0].write(SECOND_ANSWER)
        assert (await server.client.request("GET", "/b", 1.0)).body == b"ok"
        assert server.connections == 2


@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_answer_of_a_server_that_speaks_first_is_not_taken(method):
    async def speak(reader, writer):
        writer.write(SECOND_ANSWER)
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(speak, "127.0.0.1", 0)
    client = HttpClient("127.0.0.1", listener.sockets[0].getsockname()[1])
    with pytest.raises(HttpError):
        await client.request(method, "/a", 0.5)
    client.close()
    listener.close()


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/a HTTP/1.1\r\nHost: b\r\n\r\nGET /b", {}),
        ("/a\n", {}),
        ("/a", {"X-Node": "n\r\n\r\nGET /b HTTP/1.1"}),
        ("/a", {"Duty\nHolder": "n"}),
    ],
)
async def test_line_end_in_a_request_sends_nothing(path, headers):
    """It would send a second request, whose answer would be the next one's."""
    async with ScriptedServer(OK_ANSWER) as server:
        with pytest.raises(HttpError):
            await server.client.request("GET", path, 0.3, headers=headers)
        assert not server.requests


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
