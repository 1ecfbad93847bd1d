"""Orders to a server whose second answers come late."""

import asyncio

import pytest

from pollencleat.core.data import BackendServer, Inventory
from pollencleat.core.errors import BackendDeclinedError
from pollencleat.engine.replies import RepetitionRecord
from pollencleat.platform.orders import PlatformOrders
from pollencleat.platform.settings import Endpoint

STARTED = b"READY I 3.5\r\n"


def make_status(role="replica", position="3.5", held=0):
    row = f"{role} 3 {position} {held} 0 0 1"
    return f"DATAROW {row}\r\nCOMPLETE -\r\nREADY I {position}\r\n".encode()


class Board:
    """The part of the blackboard that orders use."""

    node_id = "vm"

    def __init__(self, port):
        server = BackendServer("s", "g", "127.0.0.1", port, "a", 1, 1)
        self.inventory = Inventory(servers_by_id={"s": server})


class ScriptedServer:
    """Answers the commands of each connection with the parts of its script."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.commands = []

    async def serve(self, reader, writer):
        script = self.scripts.pop(0)
        await reader.readuntil(b"\r\n")
        writer.write(STARTED)
        for part in script:
            line = await reader.readuntil(b"\r\n")
            self.commands.append(line.decode().strip())
            writer.write(part)


async def run_with(scripted, run):
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    orders = PlatformOrders(
        Board(port),
        Endpoint("127.0.0.1", 1),
        lambda group_id, fence: True,
        lambda server_id: True,
        lambda server_id: RepetitionRecord(),
    )
    try:
        return await run(orders)
    finally:
        await orders.close()
        server.close()


async def test_second_status_of_a_server_is_not_its_answer_to_a_pause():
    """A choice of primary took the log position of before the pause."""
    before, after = make_status(), make_status(position="3.9", held=4)
    scripted = ScriptedServer([before, before + after], [after])

    async def run(orders):
        await orders.read_status("s")
        return await orders.pause_replication("s", 4)

    status = await run_with(scripted, run)
    assert status.position == 9 and status.held_for_term == 4
    assert scripted.commands == ["QUERY - STATUS", *["QUERY - PAUSE 4"] * 2]


async def test_second_refusal_of_a_server_hides_no_status():
    refused = b"ERROR BUSY i-1\r\nREADY I 3.5\r\n"
    scripted = ScriptedServer([refused, refused + make_status()], [make_status()])

    async def run(orders):
        for _ in range(2):
            with pytest.raises(BackendDeclinedError):
                await orders.read_status("s")
        return await orders.read_status("s")

    assert (await run_with(scripted, run)).position == 5
