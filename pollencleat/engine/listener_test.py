import asyncio
import random
import socket

import pytest
import uvloop

from pollencleat.core.blackboard import Blackboard
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.listener import SessionListener
from pollencleat.reports.metrics import Metrics

HOST = "127.0.0.1"
SMALL_BUFFER_BYTES = 4096
ANSWER = b"x" * 60_000


class OneAnswer:
    """A session that sends one answer and ends."""

    is_idle = False
    is_answering = False
    end = None
    request_id = ""
    opened_at_s = 0.0
    unsent_bytes = 0

    def __init__(self, access, reader, writer):
        self.reader = reader
        self.writer = writer

    async def serve(self):
        server_socket = self.writer.get_extra_info("socket")
        server_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        await self.reader.readline()
        self.writer.write(ANSWER)

    def finish(self):
        pass

    def announce_end(self, reason):
        pass

    def close(self, reason):
        pass


async def start_listener():
    loop = asyncio.get_running_loop()
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    access = ServerAccess(board, Metrics("n"), loop.time, lambda server: None)
    listener = SessionListener(access, OneAnswer, 1 << 20)
    await listener.start(HOST, 0)
    return listener


@pytest.fixture
async def listener():
    return await start_listener()


def connect(listener):
    """Connect without a pass of the event loop, which accepts the connection."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client.connect((HOST, listener.port))
    client.sendall(b"request\n")
    client.setblocking(False)
    return client


async def read_to_end(client):
    loop = asyncio.get_running_loop()
    data = b""
    while part := await loop.sock_recv(client, 1 << 16):
        data += part
    client.close()
    return data


async def test_drain_waits_until_an_answer_has_left_the_write_buffer(listener):
    client = connect(listener)
    await asyncio.sleep(0.1)
    draining = asyncio.create_task(listener.drain(2.0, 1.0))
    await asyncio.sleep(0.1)
    assert not draining.done()
    assert await read_to_end(client) == ANSWER
    assert await draining


async def test_connections_in_the_accept_queue_are_served_by_a_drain(listener):
    clients = [connect(listener) for _ in range(20)]
    draining = asyncio.create_task(listener.drain(2.0, 1.0))
    for client in clients:
        assert await read_to_end(client) == ANSWER
    assert await draining


def test_drain_accepts_what_waits_on_the_daemons_event_loop():
    """On uvloop, a pass of the event loop accepts one connection."""

    async def drain_with_waiting_connections():
        listener = await start_listener()
        clients = [connect(listener) for _ in range(20)]
        draining = asyncio.create_task(listener.drain(2.0, 1.0))
        answers = [await read_to_end(client) for client in clients]
        assert answers == [ANSWER] * len(clients)
        assert await draining

    uvloop.run(drain_with_waiting_connections())
