import pytest

from pollencleat.core.data import Fleet, GroupTerm, Member, TermStart
from pollencleat.core.errors import StoreError
from pollencleat.membership.fleet import with_member
from pollencleat.platform.store import pack_fleet, unpack_fleet

LARGEST_OF_25 = 4_000
"""Bytes of the object of 25 members with their keys, which are random; each relay reads
it 1.7 times a second."""


def make_fleet(count):
    fleet = Fleet(
        terms_by_group={"g": GroupTerm("g", 3, "s", None, (TermStart(3, 9),))}
    )
    for number in range(count):
        key = f"{number:02d}{hash_of(number)}"
        address = f"tcp://10.1.{number}.7:7440"
        member = Member(
            f"frontend-zone-a-{number}",
            hash_of(number)[:16],
            "zone-a",
            address,
            "",
            0,
            False,
            key[:40],
        )
        fleet = with_member(fleet, member, 0)
    return fleet


def hash_of(number):
    return f"{pow(7, 900 + number, (1 << 192) - 237):048x}"


def test_fleet_state_returns_from_its_object_with_the_revision():
    fleet = make_fleet(5)
    restored = unpack_fleet(pack_fleet(fleet), 77)
    assert restored.version == 77
    assert restored.members_by_id == fleet.members_by_id
    assert restored.terms_by_group == fleet.terms_by_group


def test_object_of_a_large_fleet_stays_small():
    assert len(pack_fleet(make_fleet(25))["packed"]) < LARGEST_OF_25


@pytest.mark.parametrize("spec", [None, {}, {"packed": "AAAA"}, {"members_by_id": {}}])
def test_content_of_another_form_is_refused(spec):
    with pytest.raises(StoreError):
        unpack_fleet(spec, 1)
