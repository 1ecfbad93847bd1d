from pollencleat.core.blackboard import ServerView


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
