"""The HTTP server's answers, and what one bad request does to others."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pollencleat.web.client import HttpClient
from pollencleat.web.server import MAX_REQUEST_BYTES, OK, HttpAnswer, HttpServer


class Running:
    """A server with one working and one failing path."""

    def __init__(self):
        self.errors = []
        self.malformed = 0

    async def __aenter__(self):
        def fail():
            raise ValueError("broken")

        def count():
            self.malformed += 1

        self.server = HttpServer(
            {"/ready": lambda: HttpAnswer(OK, b"yes"), "/broken": fail},
            lambda path, error: self.errors.append((path, error)),
            count,
        )
        self.port = await self.server.start("127.0.0.1", 0)
        self.client = HttpClient("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *error):
        self.client.close()
        self.server.close()

    async def send(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        try:
            async with asyncio.timeout(2):
                return await reader.read()
        except (TimeoutError, ConnectionError):
            return b""
        finally:
            writer.close()


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/ready", 200),
        ("GET", "/ready?x=1", 200),
        ("GET", "/other", 404),
        ("POST", "/ready", 405),
        ("GET", "/broken", 500),
    ],
)
async def test_statuses(method, path, status):
    async with Running() as running:
        answer = await running.client.request(method, path, 1.0)
        assert answer.status == status
        assert len(running.errors) == (status == 500)


async def test_a_connection_is_kept_open_unless_the_client_wants_it_closed():
    async with Running() as running:
        for _ in range(3):
            await running.client.request("GET", "/ready", 1.0)
        assert len(running.server.connections) == 1
        answer = await running.send(
            b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )
        assert answer.endswith(b"yes")


async def test_too_large_requests_are_cut_off():
    async with Running() as running:
        assert not await running.send(b"GET /" + b"a" * (MAX_REQUEST_BYTES + 1))


REQUEST = b"GET /ready HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 0\r\nContent-Length: 30",
        b"Content-Length: 0, 30",
        b"Content-Length: +30",
        b"Content-Length : 30",
        b"Content-Length: 30\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 30",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        b"Transfer-Encoding: xchunked",
        b"X: a\r\n Content-Length: 30",
        b"X: a\rContent-Length: 30",
        b"X: a\nContent-Length: 30",
    ],
)
async def test_request_whose_end_is_ambiguous_is_not_answered(head):
    async with Running() as running:
        requests = REQUEST + head + b"\r\n\r\n0\r\n\r\n" + REQUEST + b"\r\n"
        assert not await running.send(requests)
        assert running.malformed == 1


@pytest.mark.parametrize("target", [b"/ready\rX", b"/ready\nX"])
async def test_line_end_in_a_target_is_not_answered_as_the_path_before_it(target):
    async with Running() as running:
        assert b"yes" not in await running.send(
            b"GET " + target + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        )


async def test_each_pipelined_request_is_answered_once_and_in_order():
    async with Running() as running:
        answers = await running.send(
            REQUEST
            + b"Content-Length: 3\r\n\r\nabc"
            + REQUEST.replace(b"ready", b"other")
            + b"\r\n"
            + REQUEST
            + b"Connection: close\r\n\r\n"
        )
        statuses = [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [b"200", b"404", b"200"]
        assert answers.count(b"yes") == 2


@settings(
    max_examples=60,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(st.binary(min_size=1, max_size=80))
def test_no_bytes_of_one_client_disturb_another(data):
    async def run():
        async with Running() as running:
            writer = (await asyncio.open_connection("127.0.0.1", running.port))[1]
            writer.write(data)
            answer = await running.client.request("GET", "/ready", 1.0)
            assert answer.body == b"yes" and not running.errors
            writer.close()

    asyncio.run(run())
