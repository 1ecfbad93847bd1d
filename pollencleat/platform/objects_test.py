"""Lists and watches beside objects that other writers left in the store."""

import asyncio
import json
import re

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


class RepeatingStore:
    """Answers calls with the given bodies, each once more as the next call arrives."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self._client = ObjectClient(Endpoint("127.0.0.1", port))
        return self._client

    async def __aexit__(self, *error):
        await self._client.close()
        self._server.close()

    async def _serve(self, reader, writer):
        answer = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = re.search(rb"Content-Length: (\d+)", head)
                await reader.readexactly(int(size[1]) if size else 0)
                if answer:
                    writer.write(answer)
                    await asyncio.sleep(0.1)
                body = json.dumps(self.bodies.pop(0)).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                answer += body
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def make_object(name, revision):
    return {"meta": {"name": name, "revision": revision}, "spec": {}}


async def test_object_is_not_read_from_the_second_answer_to_an_earlier_read():
    """It confirmed a fleet state that had been replaced since."""
    async with RepeatingStore(make_object("a", 5), make_object("a", 6)) as client:
        revisions = [
            (await client.read_object("k", "a")).meta.revision for _ in range(2)
        ]
    assert revisions == [5, 6]


async def test_list_is_not_read_from_the_second_answer_to_another_kind():
    bodies = [
        {"items": [make_object(name, 3)], "current_rev": 3} for name in ("a", "b")
    ]
    async with RepeatingStore(*bodies) as client:
        await client.list_objects("config")
        assert set((await client.list_objects("servers")).objects_by_name) == {"b"}


async def test_watch_is_not_answered_by_the_second_answer_to_another_kind():
    """Its revision was taken for the kind's, whose changes before it were missed."""
    bodies = [
        {"events": [{"object": make_object(name, 7)}], "current_rev": revision}
        for name, revision in (("a", 9), ("b", 7))
    ]
    async with RepeatingStore(*bodies) as client:
        await client.watch("config", 2, 0.1)
        changes = await client.watch("servers", 2, 0.1)
    assert [event.object.meta.name for event in changes.events] == ["b"]
    assert changes.version == 7


async def test_change_is_not_answered_by_the_second_answer_to_an_earlier_change():
    async with RepeatingStore(make_object("a", 5), make_object("a", 6)) as client:
        assert await client.replace_object("k", "a", 4, {"x": 1}) == 5
        assert await client.replace_object("k", "a", 5, {"x": 2}) == 6


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
