import asyncio
import random

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Fleet, Inventory, Position, VmList
from pollencleat.core.effects import (
    PlatformRead,
    PromoteServer,
    ReadPlatform,
    ServerPromoted,
)
from pollencleat.core.errors import StoreUnavailableError
from pollencleat.core.ports import PlatformState
from pollencleat.daemon import adapters
from pollencleat.daemon.adapters import EffectRunner
from pollencleat.reports.metrics import Metrics


class SlowStore:
    """Keeps reads pending until the test sets their results."""

    def __init__(self):
        self.reads = []

    async def read_state(self, board):
        future = asyncio.get_running_loop().create_future()
        self.reads.append(future)
        return await future


def make_runner(store, delivered, clock):
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    return EffectRunner(
        board, delivered.append, store, None, Metrics("n"), lambda: clock["now"]
    )


async def start_read(runner, clock):
    clock["now"] += 0.1
    runner.run(ReadPlatform(clock["now"]))
    await asyncio.sleep(0)


class RecordedLog:
    """Replaces the log and records its events."""

    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append(event)


async def test_failed_read_older_than_an_answer_does_not_log_platform_lost(monkeypatch):
    """Regression (grown scale-2): reads sent during a network outage failed one by one
    after it, and each logged "platform lost", twelve times in 4 s."""
    store, delivered, clock = SlowStore(), [], {"now": 100.0}
    runner = make_runner(store, delivered, clock)
    recorded_log = RecordedLog()
    monkeypatch.setattr(adapters, "log", recorded_log)
    for _ in range(3):
        await start_read(runner, clock)
    store.reads[0].set_exception(StoreUnavailableError("no answer"))
    await asyncio.sleep(0.01)
    store.reads[2].set_result(PlatformState(Fleet(), Inventory(), VmList()))
    await asyncio.sleep(0.01)
    store.reads[1].set_exception(StoreUnavailableError("no answer"))
    await asyncio.sleep(0.01)
    assert recorded_log.events == ["platform lost", "platform answers"]
    assert [type(event) for event in delivered] == [PlatformRead]


class BrokenOrders:
    """Raises an error that is no PollencleatError."""

    async def promote(self, server_id, term, fence, log_end):
        raise KeyError("unknown group")


async def test_unexpected_error_of_an_order_delivers_an_empty_result():
    """Regression: no result was delivered, and the failover made no progress."""
    delivered = []
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    runner = EffectRunner(
        board, delivered.append, None, BrokenOrders(), Metrics("n"), lambda: 100.0
    )
    runner.run(PromoteServer("n-1/1", "p", 1, 1, Position(0, 0)))
    await asyncio.sleep(0.01)
    assert delivered == [ServerPromoted("n-1/1", "p", None)]
