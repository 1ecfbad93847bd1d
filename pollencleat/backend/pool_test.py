import asyncio
import itertools
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pollencleat.backend.pool import ORDER_CONNECTIONS, ServerPool
from pollencleat.core.data import BackendServer
from pollencleat.core.errors import (
    BackendError,
    BackendFullError,
    BackendUnreachableError,
    OverloadedError,
)
from pollencleat.inventory.forecast import connection_share
from pollencleat.limits.growth import (
    SURPLUS_RETENTION_S,
    resting_share,
)

SHARE = 4
ACTIONS = ("borrow", "keep", "drop", "warm", "cancel")
SERVER = BackendServer("s", "g", "h", 1, "d", 2, 30)
driver = SimpleNamespace(open_connection=None)


class FakeConnection:
    """Stands in for a driver connection."""

    numbers = itertools.count()

    def __init__(self):
        self.number = next(self.numbers)
        self.connected = True
        self.has_open_transaction = False
        self.eof = False

    @property
    def is_usable(self):
        return self.connected and not self.eof

    def close(self):
        self.connected = False


@pytest.fixture
def opened(monkeypatch):
    connections = []

    async def open_connection(*options):
        await asyncio.sleep(0)
        connections.append(FakeConnection())
        return connections[-1]

    monkeypatch.setattr(driver, "open_connection", open_connection)
    return connections


def make_pool(resting=None):
    clock = itertools.count()
    pool = ServerPool(
        SERVER, lambda: driver.open_connection(), lambda: next(clock) * 0.001
    )
    pool.allow(SHARE, resting=resting)
    return pool


async def borrow(pool, term=1, wait_s=1000.0):
    return await pool.borrow("c", 10, pool._clock() + wait_s, term)


async def test_clean_connection_is_reused(opened):
    pool = make_pool()
    (await borrow(pool)).release(True)
    await borrow(pool)
    assert len(opened) == 1


@pytest.mark.parametrize("fault", ["not reusable", "open transaction", "ended", "term"])
async def test_unclean_connection_is_never_reused(opened, fault):
    pool = make_pool()
    lease = await borrow(pool)
    first = lease.connection
    first.has_open_transaction = fault == "open transaction"
    first.eof = fault == "ended"
    lease.release(fault != "not reusable")
    second = await borrow(pool, term=2 if fault == "term" else 1)
    assert second.connection is not first
    assert not first.connected
    assert pool.open_count == 1


async def test_second_give_back_does_nothing(opened):
    pool = make_pool()
    lease = await borrow(pool)
    lease.release(True)
    lease.release(True)
    assert pool.open_count == 1 and pool.queue.in_use == 0


async def test_new_term_closes_connections_in_use(opened):
    pool = make_pool()
    lease = await borrow(pool, term=1)
    (await borrow(pool, term=1)).release(True)
    pool.close_older_terms(2)
    assert not lease.connection.connected
    lease.release(True)
    assert pool.open_count == 0


async def test_failed_connection_attempt_frees_its_slot(opened, monkeypatch):
    pool = make_pool()

    async def refuse(*options):
        raise BackendError("refused")

    with monkeypatch.context() as patch:
        patch.setattr(driver, "open_connection", refuse)
        for _ in range(10):
            with pytest.raises(Exception, match="refused"):
                await borrow(pool)
    assert pool.open_count == 0 and pool.queue.in_use == 0
    await borrow(pool)


@settings(max_examples=40)
@given(
    st.lists(st.sampled_from(["borrow", "keep", "drop", "warm", "cancel"]), max_size=30)
)
def test_share_is_never_exceeded(actions):
    async def scenario():
        pool = make_pool()
        leases = []
        waiting = []
        for action in actions:
            if action == "borrow":
                waiting.append(asyncio.create_task(borrow(pool)))
            elif action == "warm":
                waiting.append(asyncio.create_task(pool.warm_up(3, 1)))
            elif action == "cancel" and waiting:
                waiting.pop().cancel()
            elif leases:
                leases.pop().release(action == "keep")
            for _ in range(3):
                await asyncio.sleep(0)
            for task in [task for task in waiting if task.done()]:
                waiting.remove(task)
                if not task.cancelled() and task.exception() is None and task.result():
                    leases.append(task.result())
            assert pool.open_count <= SHARE - 1
            assert pool.queue.in_use <= SHARE - 1
        for task in waiting:
            task.cancel()

    async def open_connection(*options):
        await asyncio.sleep(0)
        return FakeConnection()

    original = driver.open_connection
    driver.open_connection = open_connection
    try:
        asyncio.run(scenario())
    finally:
        driver.open_connection = original


async def test_statement_is_refused_if_its_wait_exceeds_the_deadline(opened):
    pool = make_pool()
    for _ in range(SHARE - 1):
        await borrow(pool)
    with pytest.raises(OverloadedError) as caught:
        await borrow(pool, wait_s=0.05)
    assert caught.value.retry_after_ms > 0
    assert pool.queue.waiting == 0


async def test_connection_attempt_to_a_former_primary_is_cancelled_at_once(monkeypatch):
    """Regression: a write waited 2 s for a connection to a paused former primary,
    although the next primary already accepted writes."""
    started = asyncio.Event()

    async def never(*options):
        started.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(driver, "open_connection", never)
    pool = make_pool()
    borrow_task = asyncio.create_task(borrow(pool))
    await started.wait()
    pool.close_older_terms(2)
    with pytest.raises(
        BackendUnreachableError, match="connection attempt was cancelled"
    ):
        await borrow_task
    assert pool.open_count == 0 and pool.queue.in_use == 0


async def test_full_server_limits_the_pool_to_its_open_connections(opened):
    """Regression: after a crash of all proxy processes, statements failed while the
    server still counted the connections of the ended processes."""
    pool = make_pool()
    lease = await borrow(pool)

    async def refuse():
        raise BackendFullError("no room")

    working = driver.open_connection
    driver.open_connection = refuse
    waiting = asyncio.create_task(borrow(pool))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    lease.release(True)
    (await waiting).release(True)
    assert pool.queue.capacity == 1
    driver.open_connection = working
    for _ in range(1200):
        pool.adjust_capacity()
    assert pool.queue.capacity == SHARE - 1


async def test_full_server_without_an_open_connection_is_unreachable(opened):
    async def refuse():
        raise BackendFullError("no room")

    driver.open_connection = refuse
    with pytest.raises(BackendUnreachableError):
        await borrow(make_pool())


class FullServer:
    """A server that counts a dead process's connections until it notices the death."""

    def __init__(self, limit):
        self.limit = limit
        self.connections = []
        self.refusals = 0

    async def open(self):
        await asyncio.sleep(0)
        if len(self.connections) >= self.limit:
            self.refusals += 1
            raise BackendFullError("no room")
        connection = FakeConnection()
        self.connections.append(connection)
        return connection


@pytest.mark.parametrize(("limit", "nodes"), [(23, 4), (34, 4), (28, 5), (60, 9)])
async def test_next_generation_finds_room_while_the_dead_one_is_still_counted(
    limit, nodes
):
    """Load pattern: power loss of the whole fleet.  With the whole share in use, the
    server refused the new processes for 3 s (TOOMANY on 250 of 335 statements)."""
    server = FullServer(limit)
    share = connection_share(limit, nodes + 1)

    async def run_statement(pool):
        lease = await pool.borrow("c", 512, pool._clock() + 1000.0, 0)
        await asyncio.sleep(0.002)
        lease.release(True)

    async def serve_a_generation():
        pools = []
        for _ in range(nodes):
            pool = ServerPool(SERVER, server.open, asyncio.get_running_loop().time)
            pool.allow(share, resting=resting_share(share - ORDER_CONNECTIONS))
            pools.append(pool)
        for _ in range(20):
            await asyncio.gather(
                *(run_statement(pool) for pool in pools for _ in range(share))
            )

    await serve_a_generation()
    # The processes die without closing: nothing leaves the server's count.
    await serve_a_generation()
    assert server.refusals == 0
    assert len(server.connections) <= limit


async def test_waiting_statements_get_the_whole_share_and_give_it_back(opened):
    pool = ServerPool(
        SERVER, lambda: driver.open_connection(), asyncio.get_running_loop().time
    )
    pool.allow(SHARE, resting=1)
    leases = await asyncio.gather(*(borrow(pool) for _ in range(SHARE - 1)))
    assert pool.open_count == SHARE - 1
    for lease in leases:
        lease.release(True)
    pool.adjust_capacity()
    assert pool.open_count == SHARE - 1
    later_s = asyncio.get_running_loop().time() + SURPLUS_RETENTION_S
    pool._clock = lambda: later_s
    pool.adjust_capacity()
    assert pool.open_count == 1


async def test_a_statement_is_not_refused_while_the_share_has_room(opened):
    """The wait is expected for the resting connections; the share can do better."""
    pool = make_pool(resting=1)
    pool.queue.service_times.mean_s = 100.0
    await borrow(pool, wait_s=1.0)
    await borrow(pool, wait_s=1.0)


async def test_a_crash_keeps_the_others_at_their_resting_connections(opened):
    """Regression (Volta, trouble-2): after a power loss three of four processes grew
    under the pressure of the restart, and the fourth found no room for 1.5 s (TOOMANY
    on 274 statements)."""
    pool = make_pool(resting=1)
    pool.hold_growth(1000.0)
    lease = await borrow(pool)
    waiting = asyncio.create_task(borrow(pool))
    await asyncio.sleep(0.1)
    assert pool.open_count == 1 and not waiting.done()
    pool.hold_growth(0.0)
    await borrow(pool)
    lease.release(True)
    await waiting


async def test_closed_pool_refuses_waiting_statements_and_opens_no_connection(opened):
    pool = make_pool()
    leases = [await borrow(pool) for _ in range(pool.queue.capacity)]
    waiting = asyncio.create_task(borrow(pool))
    await asyncio.sleep(0)
    leases[0].release(False)
    opening = asyncio.create_task(borrow(pool))
    granted = [waiting, opening]
    pool.close()
    for task in granted:
        with pytest.raises(BackendUnreachableError):
            await asyncio.wait_for(task, 1.0)
    assert not any(connection.connected for connection in opened)
    with pytest.raises((BackendUnreachableError, OverloadedError)):
        await borrow(pool, wait_s=0.0)


async def test_connection_that_opens_as_its_pool_is_closed_is_not_used(opened):
    pool = make_pool()
    opening = asyncio.create_task(borrow(pool))
    while not opened:
        await asyncio.sleep(0)
    pool.close()
    with pytest.raises(BackendUnreachableError):
        await opening
    assert not any(connection.connected for connection in opened)
