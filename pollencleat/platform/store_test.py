import base64
import zlib
from dataclasses import field, fields, make_dataclass

import msgspec
import pytest

from pollencleat.core.data import Fleet, GroupTerm, Member, ServerLog, TermStart
from pollencleat.core.errors import StoreError
from pollencleat.membership.fleet import with_departed_logs, with_member
from pollencleat.platform.store import pack_fleet, unpack_fleet

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
