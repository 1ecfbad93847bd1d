"""Objects of this project's own object API that another writer has left."""

import json
import random

import pytest
from aiohttp import web

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Fleet, Inventory, Member
from pollencleat.core.errors import StoreError
from pollencleat.store.client import StoreClient
from pollencleat.store.objects import ObjectStore, encode_fleet
from standins.platform import STATE, make_app

NESTED = "[" * 100_000 + "]" * 100_000
AUDIT = {
    "change_id": "c",
    "at_s": 1,
    "author": "a",
    "subject": "s",
    "before": "",
    "after": "",
    "cause": "",
}


def make_inventory(source):
    return json.dumps({"source": source, "audit": AUDIT})


@pytest.fixture
async def platform():
    app = make_app()
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    client = StoreClient(f"http://127.0.0.1:{runner.addresses[0][1]}")
    yield app[STATE], ObjectStore(client)
    await client.close()
    await runner.cleanup()


def make_board():
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    board.declared_inventory = Inventory(1)
    return board


@pytest.mark.parametrize(
    "odd",
    [
        NESTED,
        '{"source": ' + NESTED + "}",
        "{}",
        make_inventory("[rules]\nseats = " + "9" * 30),
        make_inventory("[server s]\naddress = h:٣"),
    ],
    ids=["nested", "nested inside", "empty", "large number", "odd digits"],
)
async def test_odd_inventory_does_not_hide_the_fleet_state(platform, odd):
    """Every read failed while it was there, so that permits to write expired."""
    state, store = platform
    member = Member("n", "n-1", "a", "tcp://127.0.0.1:1", "", 0, True)
    state.values["fleet"] = (7, encode_fleet(Fleet(0, {"n": member})))
    state.values["inventory"] = (3, odd)
    board = make_board()
    read = await store.read_state(board)
    assert read.fleet.version == 7
    assert read.inventory is board.declared_inventory
    state.values["inventory"] = (4, make_inventory(""))
    assert (await store.read_state(board)).inventory.version == 4


@pytest.mark.parametrize(
    "odd",
    [
        NESTED,
        json.dumps({"members_by_id": {"x": {"node_id": "y"}}}),
        json.dumps({"next_term": 10**30}),
        json.dumps({"era": -1}),
    ],
    ids=["nested", "key", "number", "era"],
)
async def test_odd_fleet_state_raises_a_typed_error(platform, odd):
    state, store = platform
    state.values["fleet"] = (7, odd)
    with pytest.raises(StoreError):
        await store.read_state(make_board())
