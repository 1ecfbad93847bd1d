import asyncio
import gc
import socket

import zmq
import zmq.asyncio

from pollencleat.core.messages import SightingRequest
from pollencleat.core.timers import read_boottime_s
from pollencleat.peers.transport import PeerTransport, make_curve_keys


async def test_error_in_message_handler_does_not_stop_receiving():
    """Regression: an unexpected error while handling one message ended the receiving
    task, and the node ran on without receiving any message."""
    keys = make_curve_keys()
    received_ids = []

    def record(message):
        received_ids.append(message.server_id)
        if message.server_id == "first":
            raise KeyError("unknown group")

    receiver = PeerTransport(keys, record, read_boottime_s, lambda: None)
    sender = PeerTransport(keys, received_ids.append, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    sender.start("tcp://127.0.0.1:0")
    try:
        async with asyncio.timeout(10.0):
            while "second" not in received_ids:
                name = "second" if "first" in received_ids else "first"
                sender.send(address, SightingRequest("n", name))
                await asyncio.sleep(0.05)
    finally:
        sender.close()
        receiver.close()


async def send_until_received(sender, address, received_ids, name):
    async with asyncio.timeout(5.0):
        while name not in received_ids:
            sender.send(address, SightingRequest("n", name))
            await asyncio.sleep(0.02)


async def test_announced_message_of_reset_connection_does_not_stop_receiving(
    monkeypatch,
):
    """Regression (enlarged Volta deployment, scenario trouble-1): when connections were
    reset after a network cut, libzmq announced a message that it then did not have, and
    27 of 36 nodes never received a message again."""
    keys = make_curve_keys()
    received_ids = []

    def record(message):
        received_ids.append(message.server_id)

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
    receiver = PeerTransport(keys, record, read_boottime_s, lambda: None)
    sender = PeerTransport(keys, record, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    try:
        await send_until_received(sender, address, received_ids, "first")
        assert failed == {"recv", "recv_multipart"}
    finally:
        sender.close()
        receiver.close()


ODD_ADDRESSES = [
    "nonsense",
    "",
    "tcp://127.0.0.1:٣",
    "tcp://127.0.0.1:x",
    "tcp://a\0b:1",
    "tcp://*:1",
    "tcp://host name:5",
    "tcp://-1:5",
    "udp://127.0.0.1:5",
    "inproc://zeromq.zap.01",
    "ipc:///tmp/pollencleat",
    "tcp://\ud800:1",
]
ODD_KEYS = ["short", "é" * 40, "~" * 40, " " * 40, "a" * 70_000]


async def test_unusable_address_or_key_of_a_member_holds_up_no_other():
    """An address or key that libzmq rejects raised an error out of the timers, 20 of
    which in a row end the process; each attempt left a socket behind."""
    keys = make_curve_keys()
    received_ids = []
    receiver = PeerTransport(
        keys, lambda m: received_ids.append(m.server_id), read_boottime_s, lambda: None
    )
    sender = PeerTransport(keys, lambda m: None, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    key = keys.public.decode()
    try:
        for _ in range(3):
            for odd in ODD_ADDRESSES:
                assert not sender.send(odd, SightingRequest("n", "x"), key)
            for odd in ODD_KEYS:
                assert not sender.send(address, SightingRequest("n", "x"), odd)
        assert not sender._outgoing_by_address
        await send_until_received(sender, address, received_ids, "first")
        assert not sender.send(address, SightingRequest("n", "x"), "short")
        await send_until_received(sender, address, received_ids, "second")
    finally:
        sender.close()
        receiver.close()


async def test_error_in_key_lookup_does_not_block_other_connections():
    """An unexpected error in one authentication request ended the task that answers
    all of them."""
    keys, other = make_curve_keys(), make_curve_keys()
    received_ids = []
    looked_up = []

    def is_known(key):
        looked_up.append(key)
        if len(looked_up) == 1:
            raise KeyError("no such member")
        return True

    def record(message):
        received_ids.append(message.server_id)

    receiver = PeerTransport(keys, record, read_boottime_s, lambda: None, is_known)
    sender = PeerTransport(other, record, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    try:
        async with asyncio.timeout(5.0):
            while not received_ids:
                message = SightingRequest("n", "x")
                sender.send(address, message, keys.public.decode())
                await asyncio.sleep(0.02)
    finally:
        sender.close()
        receiver.close()


async def test_garbage_collection_does_not_stop_new_connections():
    """Regression (soak test with nine entry VMs; enlarged Exportloket deployment,
    scenario scale-2): some time after its start a node accepted no new connections and
    received no messages any more."""
    keys = make_curve_keys()
    received = []
    receiver = PeerTransport(keys, received.append, read_boottime_s, lambda: None)
    address = receiver.start("tcp://127.0.0.1:0")
    try:
        for number in range(12):
            sender = PeerTransport(keys, received.append, read_boottime_s, lambda: None)
            sender.start("tcp://127.0.0.1:0")
            name = f"server-{number}"
            async with asyncio.timeout(5.0):
                while not any(item.server_id == name for item in received):
                    sender.send(address, SightingRequest("n", name))
                    await asyncio.sleep(0.02)
            sender.close()
            gc.collect()
            await asyncio.sleep(0.01)
    finally:
        receiver.close()


async def test_connection_is_retried_soon_after_its_handshake_was_lost():
    """Regression (enlarged Volta deployment, scenario trouble-1): a connection whose
    ZMTP greeting was lost in a network cut was retried only after 30 s, and the nodes
    received no messages from each other meanwhile."""
    stalled_listener = socket.socket()
    stalled_listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    stalled_listener.bind(("127.0.0.1", 0))
    stalled_listener.listen(8)
    address = f"tcp://127.0.0.1:{stalled_listener.getsockname()[1]}"
    keys = make_curve_keys()
    received = []
    sender = PeerTransport(keys, received.append, read_boottime_s, lambda: None)
    sender.start("tcp://127.0.0.1:0")
    message = SightingRequest("n", "server")
    sender.send(address, message)
    await asyncio.sleep(0.3)
    stalled_connection, _ = stalled_listener.accept()
    stalled_listener.close()
    receiver = PeerTransport(keys, received.append, read_boottime_s, lambda: None)
    receiver.start(address)
    try:
        async with asyncio.timeout(4.0):
            while not received:
                sender.send(address, message)
                await asyncio.sleep(0.05)
    finally:
        sender.close()
        receiver.close()
        stalled_connection.close()
