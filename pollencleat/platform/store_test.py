import base64
import tracemalloc
import zlib
from dataclasses import field, fields, make_dataclass, replace

import msgspec
import pytest

from pollencleat.core.data import Fleet, GroupTerm, Member, ServerLog, TermStart
from pollencleat.core.errors import StoreError
from pollencleat.membership.fleet import with_departed_logs, with_member
from pollencleat.platform.store import MAX_FLEET_BYTES, pack_fleet, unpack_fleet

MAX_BYTES_OF_25_MEMBERS = 4_000
"""Size limit of the fleet object of 25 members with their keys, which are random; each
relay reads the object 1.7 times a second."""


def make_fleet(count):
    fleet = Fleet(
        terms_by_group={"g": GroupTerm("g", 3, "s", None, (TermStart(3, 9),))}
    )
    for number in range(count):
        key = f"{number:02d}{make_digest(number)}"
        address = f"tcp://10.1.{number}.7:7440"
        member = Member(
            f"frontend-zone-a-{number}",
            make_digest(number)[:16],
            "zone-a",
            address,
            "",
            0,
            False,
            key[:40],
        )
        fleet = with_member(fleet, member, 0)
    return fleet


def make_digest(number):
    return f"{pow(7, 900 + number, (1 << 192) - 237):048x}"


def test_unpacked_fleet_equals_the_packed_one_and_has_the_revision():
    fleet = make_fleet(5)
    restored = unpack_fleet(pack_fleet(fleet), 77)
    assert restored.version == 77
    assert restored.members_by_id == fleet.members_by_id
    assert restored.terms_by_group == fleet.terms_by_group


def test_object_of_a_large_fleet_stays_small():
    assert len(pack_fleet(make_fleet(25))["packed"]) < MAX_BYTES_OF_25_MEMBERS


def pack(content):
    return {"packed": base64.b64encode(zlib.compress(content)).decode()}


def encode(fleet):
    return msgspec.msgpack.encode(fleet)


MEMBER = next(iter(make_fleet(1).members_by_id.values()))
ODD_CONTENTS = {
    "large": b"\0" * (MAX_FLEET_BYTES + 1),
    "nested": b"\x81\xa1x" + b"\x91" * 100_000 + b"\xc0",
    "key of another member": encode(Fleet(members_by_id={"x": MEMBER})),
    "key of another group": encode(Fleet(terms_by_group={"x": GroupTerm("g", 1, "s")})),
    "term": encode(Fleet(terms_by_group={"g": GroupTerm("g", 2**63, "s")})),
    "next term": encode(Fleet(next_term=2**64 - 1)),
    "seat": encode(Fleet(members_by_id={"x": replace(MEMBER, node_id="x", seat=-9)})),
    "era": encode(Fleet(era=2**40)),
}


@pytest.mark.parametrize("content", ODD_CONTENTS.values(), ids=ODD_CONTENTS)
def test_content_that_no_node_can_use_is_rejected(content):
    """A member under a wrong key or a term without a next one fails every timer."""
    with pytest.raises(StoreError):
        unpack_fleet(pack(content), 1)


def test_content_that_grows_without_bound_takes_little_memory():
    spec = pack(b"\0" * (1 << 28))
    tracemalloc.start()
    try:
        with pytest.raises(StoreError, match="larger"):
            unpack_fleet(spec, 1)
        assert tracemalloc.get_traced_memory()[1] < 4 * MAX_FLEET_BYTES
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("spec", [None, {}, {"packed": "AAAA"}, {"members_by_id": {}}])
def test_malformed_content_is_rejected(spec):
    with pytest.raises(StoreError):
        unpack_fleet(spec, 1)


def test_fleet_object_passes_between_this_build_and_one_without_departed_logs():
    fleet = with_departed_logs(make_fleet(2), "g", {ServerLog("s", 5)})
    packed = pack_fleet(fleet)
    assert unpack_fleet(packed, 7).departed_logs_by_group == {"g": (ServerLog("s", 5),)}
    content = msgspec.msgpack.decode(
        zlib.decompress(base64.b64decode(packed["packed"]))
    )
    older_fields = [
        (item.name, item.type, field(default=None))
        for item in fields(Fleet)
        if item.name != "departed_logs_by_group"
    ]
    older_fleet = make_dataclass("OlderFleet", older_fields)
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(content), type=older_fleet)
    assert older.members_by_id == fleet.members_by_id
    del content["departed_logs_by_group"]
    packed["packed"] = base64.b64encode(
        zlib.compress(msgspec.msgpack.encode(content))
    ).decode()
    restored = unpack_fleet(packed, 7)
    assert restored.members_by_id == fleet.members_by_id
    assert restored.departed_logs_by_group == {}
