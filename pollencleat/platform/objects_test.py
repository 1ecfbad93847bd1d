"""Lists and watches beside objects that other writers left in the store."""

import json

import pytest

from pollencleat.core.errors import StoreError
from pollencleat.core.refusals import RefusedObjects
from pollencleat.platform import objects
from pollencleat.platform.objects import ObjectClient
from pollencleat.platform.settings import Endpoint
from standins.object_store import ObjectStoreStandIn, RawJson

DEPTH = 100_000
ODD_CONTENTS = {
    "nested": "[" * DEPTH + "]" * DEPTH,
    "nested objects": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "nested beside text": '{"text": "}]\\"", "a": ' + "[" * DEPTH + "]" * DEPTH + "}",
    "large float": "1e999",
    "large integer": "9" * 5_000,
    "infinity": "Infinity",
    "not a number": "NaN",
    "half a surrogate pair": '"\\ud800"',
    "control character": '"\x01"',
}


@pytest.fixture
async def store():
    store = ObjectStoreStandIn(page_size=2)
    await store.start()
    yield store
    await store.stop()


def make_client(store, counted=None):
    host, _, port = store.address.rpartition(":")
    refused = RefusedObjects((counted if counted is not None else []).append)
    return ObjectClient(Endpoint(host, int(port)), refused)


@pytest.mark.parametrize("is_inside", [False, True])
@pytest.mark.parametrize("odd", ODD_CONTENTS.values(), ids=ODD_CONTENTS)
async def test_odd_object_hides_no_other_in_a_list_or_a_watch(store, odd, is_inside):
    client = make_client(store)
    await store.put("servers", "a", {"good": 1})
    before = (await client.list_objects("servers")).version
    content = {"address": "x", "more": {"a": RawJson(odd)}}
    await store.put("servers", "b", content if is_inside else RawJson(odd))
    await store.put("servers", "c", {"good": 2})
    listed = await client.list_objects("servers")
    changes = await client.watch("servers", before, 0.1)
    assert {"a", "c"} <= set(listed.objects_by_name) <= {"a", "b", "c"}
    assert [event.object.meta.name for event in changes.events][-1] == "c"
    assert changes.version == listed.version
    await client.close()


@pytest.mark.parametrize("odd", ["nested", "infinity", "large float"])
async def test_list_goes_on_after_a_page_of_unreadable_objects(store, odd):
    """Such a page ended the list early, without the objects of the later pages."""
    client = make_client(store)
    for name in ("b-1", "b-2", "b-3", "b-4", "b-5"):
        await store.put("servers", name, RawJson(ODD_CONTENTS[odd]))
    await store.put("servers", "a", {})
    await store.put("servers", "c", {})
    listed = await client.list_objects("servers")
    assert set(listed.objects_by_name) == {"a", "c"}
    await client.close()


@pytest.mark.parametrize("odd", ODD_CONTENTS.values(), ids=ODD_CONTENTS)
async def test_removal_of_an_odd_object_is_noticed(store, odd):
    """The server under such an entry was used until the next complete list."""
    client = make_client(store)
    await store.put("servers", "a", {"good": 1})
    version = (await client.list_objects("servers")).version
    await store.put("servers", "a", {"x": RawJson(odd)})
    await store.remove("servers", "a")
    events = (await client.watch("servers", version, 0.1)).events
    assert [event.object.meta.name for event in events if event.deleted] == ["a"]
    await client.close()


async def test_list_without_a_name_to_continue_from_raises_a_typed_error(store):
    client = make_client(store)
    for name in ("a", "b", "c"):
        await store.put("servers", name, {})
    for stored in store.objects["servers"].values():
        stored["meta"] = 1
    with pytest.raises(StoreError, match="no name"):
        await client.list_objects("servers")
    await client.close()


async def test_refused_object_is_counted_once_for_each_change(store):
    counted = []
    client = make_client(store, counted)
    version = (await client.list_objects("servers")).version
    await store.put("servers", "a", RawJson(ODD_CONTENTS["nested"]))
    for _ in range(3):
        await client.list_objects("servers")
        await client.watch("servers", version, 0.1)
    assert counted == ["servers"]
    await store.put("servers", "a", RawJson("1e999"))
    await client.list_objects("servers")
    assert counted == ["servers", "servers"]
    await client.close()


@pytest.mark.parametrize("era", ["9" * 18, "9" * 30, "-1", "²", "1.5", ""])
async def test_odd_era_of_the_store_raises_a_typed_error(store, era):
    """A version of such an era fits into no message to a peer."""
    store.era = era
    client = make_client(store)
    with pytest.raises(StoreError):
        await client.list_objects("servers")
    await client.close()


def test_unreadable_answer_raises_a_typed_error():
    for body in (b"", b"[", b'{"items":', b"\xff", b"[" * DEPTH, b'{"items":[{}]}'):
        with pytest.raises(StoreError):
            objects._decode_entries(body, objects._ListPage)
    body = json.dumps({"items": [], "current_rev": 10**30}).encode()
    with pytest.raises(StoreError):
        objects._decode_entries(body, objects._ListPage)
