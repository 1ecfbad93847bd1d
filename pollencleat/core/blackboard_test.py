import random

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.data import Fleet, GroupTerm, Position
from pollencleat.core.messages import WritesEnded


def test_silence_counts_from_the_last_answer_while_requests_are_open():
    """Regression: with every connection waiting, and no new request, a silent primary
    owed nothing for a second."""
    view = ServerView()
    view.note_request(1.0)
    view.note_request(1.1)
    view.note_request_ended(1.2, True)
    assert view.owes_for_s(2.0) == 0.8


def test_answer_to_the_last_open_request_ends_the_debt():
    view = ServerView()
    view.note_request(1.0)
    view.note_request_ended(1.2, True)
    assert view.owes_for_s(9.0) == 0.0


def test_request_that_was_given_up_leaves_the_server_owing():
    view = ServerView()
    view.note_request(1.0)
    view.note_request_ended(2.0, False)
    view.note_request(2.5)
    assert view.owes_for_s(3.0) == 2.0
    view.note_request_ended(3.0, True)
    assert view.owes_for_s(3.0) == 0.0


def make_board_in_promotion(term, primary):
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    board.fleet = Fleet(4, terms_by_group={"g": GroupTerm("g", term, primary)})
    board.ended_by_group["g"] = WritesEnded("m", "g", 2, Position(1, 40))
    board.note_fresh(100.0)
    bounds = board.bounds_by_group.get("g")
    return bounds.position_since(99.0) if bounds else None


def test_end_of_writes_proves_the_age_of_reads_until_a_primary_is_published():
    assert make_board_in_promotion(2, "") == Position(1, 40)
    assert make_board_in_promotion(2, "s") is None
    assert make_board_in_promotion(3, "") is None
