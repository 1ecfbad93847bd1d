"""Union of what a node knows and what a restored store shows."""

from dataclasses import replace

import pytest

from pollencleat.core.data import (
    Fleet,
    GroupTerm,
    Member,
    Promotion,
    RemovedMember,
    ServerLog,
    ServerStatus,
)
from pollencleat.core.versions import make_version
from pollencleat.membership.fleet import (
    NO_SEAT,
    with_primary_published,
    with_promotion_started,
)
from pollencleat.membership.restored import (
    TERMS_PER_ERA,
    is_renewed,
    merge_restored,
    shows_known_term,
    with_doubtful_terms_replaced,
    with_member_after_restore,
)


def member(node_id, start=1, seat=0, may_promote=True, **options):
    return Member(
        node_id, f"{node_id}-{start}", "a", f"tcp://{node_id}", "", seat, may_promote,
        **options,
    )  # fmt: skip


def fleet(*members, version=100, era=0, **options):
    by_id = {item.node_id: item for item in members}
    return Fleet(version, by_id, era=era, **options)


def restored(*members, **options):
    return fleet(*members, version=make_version(1, 95), **options)


def term(number, primary="p", promoter="", log_term=3):
    promotion = None
    if promoter:
        promotion = Promotion("a/1", promoter, f"{promoter}-1", "p", False, "")
    return GroupTerm("g", number, primary, promotion, (), log_term)


def test_a_member_that_the_store_has_lost_is_kept():
    merged = merge_restored(
        fleet(member("a"), member("b", seat=1)), restored(member("a")), 1
    )
    assert set(merged.members_by_id) == {"a", "b"} and merged.era == 1


def test_a_removed_process_does_not_come_back():
    removal = {"b-1": RemovedMember("b", "b-1", False, 99)}
    known = fleet(member("a"), removed_by_incarnation=removal)
    merged = merge_restored(known, restored(member("a"), member("b")), 1)
    assert set(merged.members_by_id) == {"a"}
    assert "b-1" in merged.removed_by_incarnation


def test_a_process_that_started_again_keeps_its_newer_incarnation():
    removal = {"b-1": RemovedMember("b", "b-1", False, 99)}
    known = fleet(member("a"), member("b", 2), removed_by_incarnation=removal)
    merged = merge_restored(known, restored(member("a"), member("b", 1)), 1)
    assert merged.members_by_id["b"].incarnation == "b-2"


def test_rights_granted_since_the_copy_are_kept():
    known = fleet(member("a"), member("b", may_promote=True))
    copy = restored(member("a"), member("b", may_promote=False))
    assert merge_restored(known, copy, 1).members_by_id["b"].may_promote


def test_no_two_members_get_one_seat():
    known = fleet(member("a", seat=0), member("b", seat=1), seats=3)
    copy = restored(member("a", seat=0), member("z", seat=1), seats=2)
    merged = merge_restored(known, copy, 1)
    seats = [item.seat for item in merged.members_by_id.values()]
    assert sorted(seats) == [NO_SEAT, 0, 1] and merged.seats == 3


def test_a_process_that_joins_meanwhile_has_neither_seat_nor_right():
    copy = with_member_after_restore(restored(member("a")), member("a", 2), 1)
    joined = copy.members_by_id["a"]
    assert (joined.seat, joined.may_promote, joined.is_heir) == (NO_SEAT, False, True)
    assert "a-1" in copy.removed_by_incarnation and not copy.is_settled
    merged = merge_restored(fleet(member("a"), member("b", seat=1)), copy, 1)
    assert merged.members_by_id["a"] == replace(joined, seat=0)
    assert merged.removed_by_incarnation["a-1"]


def test_a_process_whose_predecessor_resigned_is_not_its_heir():
    """The restored copy still lists the predecessor, with the right."""
    copy = with_member_after_restore(
        restored(member("a"), member("b")), member("a", 2), 1
    )
    merged = merge_restored(fleet(member("b")), copy, 1)
    assert not merged.members_by_id["a"].is_heir


def test_a_fleet_is_renewed_once_every_member_has_started_anew():
    copy = with_member_after_restore(
        restored(member("a"), member("b")), member("a", 2), 1
    )
    assert not is_renewed(copy, 1)
    copy = with_member_after_restore(copy, member("b", 2), 1)
    assert is_renewed(copy, 1) and not is_renewed(copy, 2)


@pytest.mark.parametrize(
    ("ours", "theirs", "expected"),
    [
        (term(5), term(4), term(5)),
        (term(4), term(5), term(5)),
        (term(5, "", "b"), term(5, "q"), term(5, "q")),
        (term(5, "q"), term(5, "", "b"), term(5, "q")),
    ],
)
def test_the_newest_record_of_a_group_is_kept(ours, theirs, expected):
    known = fleet(member("a"), terms_by_group={"g": ours})
    copy = restored(member("a"), terms_by_group={"g": theirs})
    assert merge_restored(known, copy, 1).terms_by_group["g"] == expected


def test_no_term_repeats_after_a_restore():
    settled = merge_restored(
        fleet(member("a"), terms_by_group={"g": term(5)}), restored(member("a")), 1
    )
    promotion = Promotion("a/9", "a", "a-1", "p", False, "")
    started = with_promotion_started(settled, "g", promotion).terms_by_group["g"]
    assert started.term == TERMS_PER_ERA
    assert (started.previous_log_term, started.next_log_term) == (3, 4)
    again = with_promotion_started(
        replace(settled, terms_by_group={"g": started}), "g", promotion
    )
    assert again.terms_by_group["g"].term == TERMS_PER_ERA + 1


def test_a_jump_of_the_term_leaves_the_servers_terms_alone():
    """Where the servers' terms equalled the agreed ones, they do not from then on."""
    record = GroupTerm("g", 1, "p")
    settled = merge_restored(
        fleet(member("a"), terms_by_group={"g": record}), restored(member("a")), 1
    )
    promotion = Promotion("a/9", "a", "a-1", "p", False, "")
    started = with_promotion_started(settled, "g", promotion)
    record = started.terms_by_group["g"]
    assert (record.previous_log_term, record.next_log_term) == (1, 2)
    published = with_primary_published(started, "g", "q", TermStartStub(2))
    assert published.terms_by_group["g"].log_term == 2


class TermStartStub:
    def __init__(self, term):
        self.term = term
        self.start_position = 0


LEADS = ServerStatus(3, 5, 5, 3, False, None)
FOLLOWS = ServerStatus(3, 5, 5, 3, True, None)


@pytest.mark.parametrize(
    ("statuses", "is_known"),
    [
        ({"p": LEADS, "q": FOLLOWS}, True),
        ({"p": LEADS}, False),
        ({"p": FOLLOWS, "q": FOLLOWS}, False),
        ({"p": LEADS, "q": ServerStatus(4, 5, 5, 4, False, None)}, False),
        ({"p": LEADS, "q": ServerStatus(3, 6, 6, 4, True, None)}, False),
    ],
)
def test_the_servers_show_whether_a_term_was_lost(statuses, is_known):
    assert shows_known_term(term(5), ("p", "q"), statuses) is is_known


def test_a_doubtful_primary_is_written_to_by_nobody():
    settled = merge_restored(
        fleet(member("a"), terms_by_group={"g": term(5)}), restored(member("a")), 1
    )
    changed = with_doubtful_terms_replaced(settled, ["g"]).terms_by_group["g"]
    assert changed.primary == "" and changed.promotion.node_id == ""
    assert changed.promotion.old_primary == "p"


def test_departed_logs_of_before_and_of_the_copy_are_kept():
    known = fleet(departed_logs_by_group={"g": (ServerLog("s", 1),)})
    copy = restored(
        departed_logs_by_group={"g": (ServerLog("r", 1),), "h": (ServerLog("t", 1),)}
    )
    assert merge_restored(known, copy, 1).departed_logs_by_group == {
        "g": (ServerLog("r", 1), ServerLog("s", 1)),
        "h": (ServerLog("t", 1),),
    }
