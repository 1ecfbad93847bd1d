"""Calls to a platform whose answers arrive a second time."""

import asyncio
import json
import re

import pytest

from pollencleat.store.client import StoreClient


class RepeatingPlatform:
    """Answers calls with the given bodies, each once more as the next call arrives."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._client = StoreClient(f"http://127.0.0.1:{port}")
        return self._client

    async def __aexit__(self, *error):
        await self._client.close()
        self._server.close()

    async def _serve(self, reader, writer):
        answer = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = re.search(rb"Content-Length: (\d+)", head)
                await reader.readexactly(int(size[1]) if size else 0)
                if answer:
                    writer.write(answer)
                    await asyncio.sleep(0.1)
                body = json.dumps(self.bodies.pop(0)).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                answer += body
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@pytest.mark.parametrize("is_change", [False, True])
async def test_second_answer_to_an_earlier_call_is_not_taken(is_change):
    """It confirmed a fleet state that had been replaced since."""
    bodies = [{"version": version, "value": ""} for version in (5, 6)]
    async with RepeatingPlatform(*bodies) as client:
        for version in (5, 6):
            if is_change:
                answered = await client.update_object("fleet", version - 1, "x")
            else:
                answered = (await client.read_object("fleet")).version
            assert answered == version
