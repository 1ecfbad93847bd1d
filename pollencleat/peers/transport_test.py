import asyncio
import gc
import socket

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


async def test_node_goes_on_hearing_newcomers_whatever_the_collector_does():
    """Regression (a soak with nine entry VMs; grown Exportloket, scale-2): some time
    after its start a node let in no new connection, and heard nobody any more."""
    keys = make_curve_keys()
    heard = []
    receiver = PeerTransport(keys, heard.append, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    try:
        for number in range(12):
            sender = PeerTransport(keys, heard.append, read_boottime_s, lambda: None)
            sender.start("tcp://127.0.0.1:0")
            name = f"server-{number}"
            async with asyncio.timeout(5.0):
                while not any(item.server_id == name for item in heard):
                    sender.send(address, SightingRequest("n", name))
                    await asyncio.sleep(0.02)
            sender.close()
            gc.collect()
            await asyncio.sleep(0.01)
    finally:
        receiver.close()


async def test_peer_is_heard_soon_after_a_cut_ends():
    """Regression (grown Volta, trouble-1): a connection whose greeting a cut had
    swallowed was waited for 30 s, and the nodes stayed deaf to each other."""
    silent = socket.socket()
    silent.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    silent.bind(("127.0.0.1", 0))
    silent.listen(8)
    address = f"tcp://127.0.0.1:{silent.getsockname()[1]}"
    keys = make_curve_keys()
    heard = []
    sender = PeerTransport(keys, heard.append, read_boottime_s, lambda: None)
    sender.start("tcp://127.0.0.1:0")
    message = SightingRequest("n", "server")
    sender.send(address, message)
    await asyncio.sleep(0.3)
    held, _ = silent.accept()
    silent.close()
    receiver = PeerTransport(keys, heard.append, read_boottime_s, lambda: None)
    receiver.start(address)
    try:
        async with asyncio.timeout(4.0):
            while not heard:
                sender.send(address, message)
                await asyncio.sleep(0.05)
    finally:
        sender.close()
        receiver.close()
        held.close()
