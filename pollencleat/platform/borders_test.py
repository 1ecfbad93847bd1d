"""Decoders of external input raise only typed errors, whatever they receive."""

import contextlib
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.data import VmList
from pollencleat.core.errors import (
    BackendError,
    BackendLostError,
    MalformedStatementError,
    StoreError,
)
from pollencleat.core.messages import State, decode_message, encode_message
from pollencleat.hops.calls import decode_read, decode_reply, start_call
from pollencleat.platform.objects import (
    ObjectEvent,
    ObjectMeta,
    StoredObject,
    _decode_entries,
    _decode_readable,
    _ListPage,
)
from pollencleat.platform.records import decode_inventory, decode_server
from pollencleat.platform.servers import parse_status
from pollencleat.platform.store import unpack_fleet
from pollencleat.platform.wire import parse_ready, parse_statement

ENTRY = {
    "service": "g",
    "address": "10.0.0.1:8001",
    "zone": "a",
    "slots": 3,
    "state": "ready",
    "sequence": 1,
    "database_role": "primary",
    "born": 1,
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=12),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(sorted(ENTRY)), inner, max_size=4)
    ),
    max_leaves=8,
)
HUGE = st.sampled_from(
    [2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**30, -1, -(2**63) - 1, 10**400, 1e308]
)
ODD_TEXTS = st.sampled_from(
    [
        "²",
        "٣",
        "",
        " ",
        "a b",
        "a\nb",
        "a\n",
        "\x00",
        "\ud800",
        "x" * 300,
        "é",
        "10.0.0.1:0",
        "10.0.0.1:²",
        "10.0.0.1:٣",
        "10.0.0.1:65535",
        "10.0.0.1:65536",
        "10.0.0.1:99999999",
        "10.0.0.1:-1",
        "10.0.0.1:+1",
        "10.0.0.1:1_0",
        "10.0.0.1: 1",
        "10.0.0.1:1\n",
        "10.0.0.1:" + "9" * 5_000,
        "a" * 70_000 + ":80",
        "a\0b:80",
        "a b:80",
        "a..b:80",
        ".:80",
        "a" * 64 + ":80",
        ":80",
    ]
)
ODD_VALUES = JSON | HUGE | ODD_TEXTS
ROUTE = {
    "host": "main",
    "kind": "primary",
    "service": "g",
    "timeout_ms": 1_000,
    "target_latency_ms": 400,
    "priority": 1,
    "max_staleness_ms": 0,
}
SERVICE = {"name": "g", "connection_limit": 20, "sync_replica_count": 1}
LIMITS = {"transaction_idle_ms": 800}
VERBS = ("QUERY", "BEGIN", "READ", "WRITE", "COMMIT", "SET", "PREPARE", "EXECUTE")
LINES = st.lists(
    st.sampled_from(
        [*VERBS, "a", "1.2", "-", "I", "T", "E", "primary", "replica", "3", "²", "."]
    )
    | st.text(max_size=6),
    max_size=9,
).map(" ".join)


def make_object(spec):
    return StoredObject(ObjectMeta("name", 1), spec, None)


@given(JSON)
def test_server_entry_is_decoded_or_rejected(value):
    with contextlib.suppress(StoreError):
        decode_server(make_object(value))


@given(st.sampled_from(sorted(ENTRY)), ODD_VALUES)
def test_server_entry_with_one_wrong_field_is_decoded_or_rejected(field, value):
    with contextlib.suppress(StoreError):
        server, _ = decode_server(make_object({**ENTRY, field: value}))
        assert 0 < server.port < 65_536
        assert 0 < len(server.host) <= 253
        server.host.encode("idna")
        assert 0 <= server.slots <= 1_000_000
        assert 0 <= server.born_ms < 2**63
        assert len(server.failure_domain) <= 255
        for name in (server.group_id, server.server_id):
            assert 0 < len(name) <= 255 and not set(name) & set(" \0\r\n")
        vms = VmList(1, None, (), {server.server_id: server})
        decode_message(encode_message(State("n", None, None, vms)))


@given(ODD_TEXTS | st.text(max_size=300))
def test_server_with_an_odd_id_is_decoded_or_rejected(name):
    """The id is a field of the line that starts a session at the server."""
    with contextlib.suppress(StoreError):
        decode_server(StoredObject(ObjectMeta(name, 1), ENTRY, None))
        assert 0 < len(name) <= 255 and not set(name) & set(" \0\r\n")


@given(
    st.sampled_from(sorted(ROUTE)),
    ODD_VALUES,
    st.sampled_from(sorted(SERVICE)),
    ODD_VALUES,
    ODD_VALUES,
    ODD_VALUES,
    st.integers(0, 4),
)
def test_inventory_object_with_a_wrong_field_is_decoded_or_rejected(
    route_field, route_value, service_field, service_value, idle_ms, version, which
):
    route = {**ROUTE, route_field: route_value} if which == 0 else ROUTE
    service = {**SERVICE, service_field: service_value} if which == 1 else SERVICE
    limits = {"transaction_idle_ms": idle_ms} if which == 2 else LIMITS
    spec = {
        "version": version if which == 3 else 7,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }
    with contextlib.suppress(StoreError):
        inventory = decode_inventory(spec)
        assert 0 <= inventory.version < 2**63
        assert 0 <= inventory.rules.transaction_idle_ms < 10**10
        for known in inventory.routes_by_database.values():
            for limit_ms in (known.max_age_ms, known.statement_limit_ms):
                assert 0 <= limit_ms < 10**10
        assert all(0 <= n < 10**7 for n in inventory.connections_by_group.values())
        decode_message(encode_message(State("n", None, inventory, None)))


@given(JSON)
def test_inventory_object_is_decoded_or_rejected(value):
    with contextlib.suppress(StoreError):
        decode_inventory(value)


@given(st.binary(max_size=60) | JSON.map(msgspec.msgpack.encode))
def test_peer_message_is_decoded_or_rejected(payload):
    with contextlib.suppress(msgspec.MsgspecError):
        decode_message(payload)


@given(JSON | st.builds(lambda packed: {"packed": packed}, st.text(max_size=20)))
def test_fleet_state_is_decoded_or_rejected(spec):
    with contextlib.suppress(StoreError):
        unpack_fleet(spec, 1)


@given(LINES)
def test_line_is_parsed_or_rejected(line):
    with contextlib.suppress(MalformedStatementError):
        parse_statement(line)
    with contextlib.suppress(BackendError):
        parse_ready(line)
    with contextlib.suppress(BackendError):
        parse_status(line)


@pytest.mark.parametrize("number", ["²", "1²", "9" * 5_000, "-1", "1_0", ""])
def test_invalid_number_from_a_server_raises_a_typed_error(number):
    """Regression: a digit outside 0-9, such as a superscript two, raised an untyped
    error, which ended the statement and its session."""
    with pytest.raises(BackendError):
        parse_ready(f"I 1.{number}")
    with pytest.raises(BackendError):
        parse_ready(f"I {number}.1")
    with pytest.raises(BackendError):
        parse_status(f"replica {number} 1.1 0 1 1 1")


ODD_ENTRIES = st.sampled_from(
    [
        b"[" * 5_000 + b"]" * 5_000,
        b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
        b"NaN",
        b"-Infinity",
        b"1e999",
        b"9" * 5_000,
        b'"\\ud800"',
        b'"\x01"',
        b'"\xff"',
        b'"]}"',
        b'"\\"[{"',
        b"[0]",
        b"[7]",
    ]
)


@given(
    st.lists(
        st.tuples(st.integers(0, 4), ODD_ENTRIES | JSON.map(json.dumps).map(str.encode))
    )
)
def test_objects_beside_odd_ones_are_read(entries):
    """Each odd value stands in the place of an object, or of one of its fields."""
    items = []
    good = []
    for number, (place, odd) in enumerate(entries):
        name = b'"meta":{"name":"%d","revision":1}' % number
        good.append(str(number))
        items.append(b'{%b,"spec":{}}' % name)
        items.append(
            (
                b"[%b]" % odd,
                b'{"meta":%b,"spec":{}}' % odd,
                b'{"meta":{"name":%b,"revision":1},"spec":{}}' % odd,
                b'{"meta":{"name":"odd","revision":%b},"spec":{}}' % odd,
                b'{"spec":{"a":{"b":%b}},"meta":{"name":"odd","revision":1}}' % odd,
            )[place]
        )
    body = b'{"items":[%b],"current_rev":2}' % b",".join(items)
    page = _decode_entries(body, _ListPage)
    names = [item.meta.name for item in _decode_readable(page.items, StoredObject)]
    assert set(good) <= set(names)


def test_nested_arguments_of_a_lease_raise_a_typed_error():
    nested = b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0"
    with pytest.raises(BackendLostError):
        decode_read(b"\x93" + nested + b"\xc0\xc0")
    with pytest.raises(BackendLostError):
        decode_reply(nested)
    with pytest.raises(BackendLostError):
        start_call(None, "commit", b"\x91" + nested)


@pytest.mark.parametrize(
    "broken",
    [b'{"meta": 1}', b'{"meta":{"name":"x","revision":1},"spec":"\xff"}', b"7"],
)
def test_malformed_objects_are_skipped(broken):
    """A malformed object of another writer does not hide the valid ones."""
    good = json.dumps({"meta": {"name": "good", "revision": 2}, "spec": ENTRY}).encode()
    body = b'{"items":[%b,%b],"current_rev":2}' % (broken, good)
    page = msgspec.json.decode(body, type=_ListPage)
    names = [item.meta.name for item in _decode_readable(page.items, StoredObject)]
    assert names == ["good"]
    assert _decode_readable([msgspec.Raw(b'{"object":0}')], ObjectEvent) == []
