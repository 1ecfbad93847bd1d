import asyncio
import random

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Fleet, Inventory, VmList
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
    """Reads end when the test says so."""

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


async def begin_read(runner, clock):
    clock["now"] += 0.1
    runner.run(ReadPlatform(clock["now"]))
    await asyncio.sleep(0)


class Lines:
    """Keeps the events that would be logged."""

    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append(event)


async def test_read_from_before_an_answer_does_not_tell_of_a_loss(monkeypatch):
    """Regression (grown scale-2): after a cut, reads that had been sent into it failed
    one after the other, and the log told "platform lost" twelve times in 4 s."""
    store, delivered, clock = SlowStore(), [], {"now": 100.0}
    runner = make_runner(store, delivered, clock)
    lines = Lines()
    monkeypatch.setattr(adapters, "log", lines)
    for _ in range(3):
        await begin_read(runner, clock)
    store.reads[0].set_exception(StoreUnavailableError("no answer"))
    await asyncio.sleep(0.01)
    store.reads[2].set_result(PlatformState(Fleet(), Inventory(), VmList()))
    await asyncio.sleep(0.01)
    store.reads[1].set_exception(StoreUnavailableError("no answer"))
    await asyncio.sleep(0.01)
    assert lines.events == ["platform lost", "platform answers"]
    assert [type(event) for event in delivered] == [PlatformRead]


class BrokenOrders:
    """Fails in a way that nobody expects."""

    async def promote(self, server_id, term, fence):
        raise KeyError("unknown group")


async def test_controller_hears_of_an_order_that_failed_unexpectedly():
    """Regression: the result never came, and the change of primary stood still."""
    delivered = []
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    runner = EffectRunner(
        board, delivered.append, None, BrokenOrders(), Metrics("n"), lambda: 100.0
    )
    runner.run(PromoteServer("n-1/1", "p", 1, 1))
    await asyncio.sleep(0.01)
    assert delivered == [ServerPromoted("n-1/1", "p", None)]
