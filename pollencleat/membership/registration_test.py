import random
from dataclasses import replace

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Fleet, Member
from pollencleat.membership.fleet import (
    NO_SEAT,
    with_free_seats_taken,
    with_member,
    without_member,
)
from pollencleat.membership.registration import (
    VOUCH_AFTER_S,
    RegistrationController,
)


def make_board(node_id="n"):
    return Blackboard(node_id, f"{node_id}-1", "a", "tcp://x:1", "", random.Random(1))


def make_member(node_id, incarnation):
    return Member(node_id, incarnation, "a", "tcp://x:1", "", NO_SEAT, False)


def register(board, now_s):
    board.read_answered_at_s = now_s
    RegistrationController(board).tick(now_s)
    effect = board.effects.pop()
    return replace(effect.fleet, version=board.fleet.version + 1)


def test_removed_node_joins_again_under_another_incarnation():
    """Regression: the same incarnation could be removed twice, and a promoter counted
    the time since the first removal only."""
    board = make_board()
    board.adopt_fleet(register(board, 10.0), 10.0)
    first = board.incarnation
    removed = without_member(board.fleet, "n", resigned=False)
    board.adopt_fleet(replace(removed, version=2), 11.0)
    joined = register(board, 12.0)
    assert joined.members_by_id["n"].incarnation != first
    assert first in joined.removed_by_incarnation


def test_first_member_may_promote_and_the_next_may_not():
    fleet = with_member(Fleet(), make_member("a", "1"), 5)
    fleet = with_member(fleet, make_member("b", "2"), 5)
    assert fleet.members_by_id["a"].may_promote
    assert not fleet.members_by_id["b"].may_promote
    assert {member.seat for member in fleet.members_by_id.values()} == {0, 1}


def test_member_after_a_crash_of_all_may_not_promote():
    fleet = with_member(Fleet(), make_member("a", "1"), 5)
    fleet = without_member(fleet, "a", resigned=False)
    fleet = with_member(fleet, make_member("b", "2"), 5)
    assert not fleet.members_by_id["b"].may_promote


def test_member_after_resignation_of_all_may_promote():
    fleet = with_member(Fleet(), make_member("a", "1"), 5)
    fleet = without_member(fleet, "a", resigned=True)
    fleet = with_member(fleet, make_member("b", "2"), 5)
    assert fleet.members_by_id["b"].may_promote


def test_restarted_member_keeps_its_seat_and_must_be_vouched_for_again():
    fleet = with_member(Fleet(), make_member("a", "1"), 5)
    fleet = with_member(fleet, make_member("b", "2"), 5)
    fleet = with_member(fleet, make_member("a", "3"), 5)
    assert fleet.members_by_id["a"].seat == 0
    assert not fleet.members_by_id["a"].may_promote
    assert "1" in fleet.removed_by_incarnation


def test_seats_follow_the_members_and_never_shrink():
    """Regression: a node that had not read the inventory yet took its default number,
    and set the fleet's to none, so that nobody was allowed any connection."""
    fleet = Fleet()
    for number in range(7):
        fleet = with_member(fleet, make_member(f"n{number}", f"{number}"), 0)
    assert fleet.seats == 8
    assert {member.seat for member in fleet.members_by_id.values()} == set(range(7))
    rejoined = with_member(fleet, make_member("n3", "later"), 5)
    assert rejoined.seats == 8
    late = with_member(rejoined, make_member("n7", "7"), 5)
    assert late.members_by_id["n7"].seat == NO_SEAT
    seated = with_free_seats_taken(late, 0)
    assert seated.members_by_id["n7"].seat == 7 and seated.seats == 9


def test_no_seat_is_given_beyond_the_declared_number():
    fleet = with_member(Fleet(), make_member("a", "1"), 1)
    fleet = with_member(fleet, make_member("b", "2"), 1)
    assert fleet.members_by_id["b"].seat == NO_SEAT


def test_member_that_only_hears_of_platform_reads_vouches_and_resigns():
    """Regression: a member that was no relay never changed the fleet, so that nobody
    was vouched for, and a drained node never resigned."""
    fleet = with_member(Fleet(), make_member("n", "n-1"), 5)
    fleet = with_member(fleet, make_member("b", "b-1"), 5)
    board = make_board()
    board.adopt_fleet(replace(fleet, version=1), 10.0)
    board.fresh_at_s = 20.0
    controller = RegistrationController(board)
    controller.tick(20.5)
    assert board.effects.pop().fleet.members_by_id["b"].may_promote
    board.resigning = True
    controller = RegistrationController(board)
    controller.tick(20.5)
    assert "n" not in board.effects.pop().fleet.members_by_id


def make_restarted(address):
    """Return a board whose node replaced a vouched process, with nobody left."""
    vouched = replace(make_member("n", "old"), address="tcp://x:1")
    fleet = with_member(Fleet(), vouched, 5)
    fleet = with_member(fleet, replace(make_member("n", "n-1"), address=address), 5)
    board = make_board()
    board.adopt_fleet(replace(fleet, version=1), 10.0)
    return board


def vouches_for_itself(board, now_s):
    board.fresh_at_s = now_s
    controller = RegistrationController(board)
    controller.tick(now_s)
    return any(effect.fleet.members_by_id["n"].may_promote for effect in board.effects)


def test_heir_vouches_for_itself_once_promises_have_lapsed():
    """Regression (trouble-2): after all machines lost power nobody might promote."""
    board = make_restarted("tcp://x:1")
    assert board.fleet.members_by_id["n"].is_heir
    assert not vouches_for_itself(board, 10.0 + VOUCH_AFTER_S - 0.1)
    assert vouches_for_itself(board, 10.0 + VOUCH_AFTER_S + 0.1)


def test_process_at_another_address_is_no_heir():
    """The former process may still run there."""
    board = make_restarted("tcp://y:1")
    assert not board.fleet.members_by_id["n"].is_heir
    assert not vouches_for_itself(board, 10.0 + VOUCH_AFTER_S + 0.1)
