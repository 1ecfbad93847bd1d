import asyncio

from pollencleat.core.messages import SightingRequest
from pollencleat.core.timers import read_boottime_s
from pollencleat.peers.transport import PeerTransport, make_curve_keys


async def test_message_that_fails_does_not_make_a_node_deaf():
    """Regression: an unexpected error in one message ended the task that receives all
    of them, and the node went on without hearing anybody."""
    keys = make_curve_keys()
    heard = []

    def take(message):
        heard.append(message.server_id)
        if message.server_id == "first":
            raise KeyError("unknown group")

    receiver = PeerTransport(keys, take, read_boottime_s, lambda: None)
    sender = PeerTransport(keys, heard.append, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    sender.start("tcp://127.0.0.1:0")
    try:
        async with asyncio.timeout(10.0):
            while "second" not in heard:
                name = "second" if "first" in heard else "first"
                sender.send(address, SightingRequest("n", name))
                await asyncio.sleep(0.05)
    finally:
        sender.close()
        receiver.close()
