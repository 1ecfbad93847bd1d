import asyncio
import gc
import socket

import zmq
import zmq.asyncio

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


async def send_until_heard(sender, address, heard, name):
    async with asyncio.timeout(5.0):
        while name not in heard:
            sender.send(address, SightingRequest("n", name))
            await asyncio.sleep(0.02)


async def test_message_that_was_announced_and_is_gone_does_not_make_a_node_deaf(
    monkeypatch,
):
    """Regression (grown Volta, trouble-1): when connections were reset after a cut, the
    library announced a message and then had none; 27 of 36 nodes heard nobody again."""
    keys = make_curve_keys()
    heard = []

    def take(message):
        heard.append(message.server_id)

    failed = set()

    def fail_first(name):
        original = getattr(zmq.asyncio.Socket, name)

        async def receive(socket, *arguments, **options):
            if name not in failed:
                failed.add(name)
                raise zmq.Again
            return await original(socket, *arguments, **options)

        monkeypatch.setattr(zmq.asyncio.Socket, name, receive)

    fail_first("recv")
    fail_first("recv_multipart")
    receiver = PeerTransport(keys, take, read_boottime_s, lambda: None)
    sender = PeerTransport(keys, take, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    try:
        await send_until_heard(sender, address, heard, "first")
        assert failed == {"recv", "recv_multipart"}
    finally:
        sender.close()
        receiver.close()


async def test_key_that_cannot_be_looked_up_keeps_out_nobody_else():
    """An unexpected error in one question ended the task that answers all of them."""
    keys, other = make_curve_keys(), make_curve_keys()
    heard = []
    asked = []

    def is_known(key):
        asked.append(key)
        if len(asked) == 1:
            raise KeyError("no such member")
        return True

    def take(message):
        heard.append(message.server_id)

    receiver = PeerTransport(keys, take, read_boottime_s, lambda: None, is_known)
    sender = PeerTransport(other, take, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    try:
        async with asyncio.timeout(5.0):
            while not heard:
                message = SightingRequest("n", "x")
                sender.send(address, message, keys.public.decode())
                await asyncio.sleep(0.02)
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
