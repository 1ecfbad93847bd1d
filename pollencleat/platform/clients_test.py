import asyncio
import time
from types import SimpleNamespace

import pytest

from pollencleat.engine.statements import Answer
from pollencleat.platform.clients import ClientConnection


class Executor:
    is_in_transaction = False
    has_failed = False

    def __init__(self, answers):
        self.answers = list(answers)

    async def execute(self, statement):
        return self.answers.pop(0)

    async def close(self):
        pass


class Writer:
    def __init__(self):
        self.data = b""
        self.transport = self

    def is_closing(self):
        return False

    def write(self, data):
        self.data += data

    async def drain(self):
        pass


async def serve_requests(answers):
    """Return what a caller receives for one request each."""
    reader, writer = asyncio.StreamReader(), Writer()
    access = SimpleNamespace(clock=time.monotonic)
    connection = ClientConnection(access, reader, writer)
    connection.executor = Executor(answers)
    for number in range(len(answers)):
        reader.feed_data(b"QUERY %d READ k\r\n" % number)
        assert await connection._serve_next()
    return writer.data


@pytest.mark.parametrize(
    "answer",
    [
        Answer(("x\r\nCOMPLETE r\r\nREADY I -",), "r"),
        Answer(("x", "\r\n"), "r"),
        Answer(("x\ud800",), "r"),
        Answer(("x",), "r\r\nREADY I -"),
    ],
)
async def test_answer_that_is_no_sequence_of_lines_is_not_sent_in_part(answer):
    """A line end in a row ended the row, and the rest was taken for an answer."""
    received = await serve_requests([answer, Answer(("next\r",), "r2")])
    first, error, *rest = received.split(b"\r\n")
    assert first.startswith(b"ERROR INDOUBT ") and error == b"READY I -"
    assert rest == [b"DATAROW next\r", b"COMPLETE r2", b"READY I -", b""]
