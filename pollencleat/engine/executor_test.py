"""Outcomes that callers receive, one test per row of the table in
docs/design/platform.md.
"""

import pytest

from pollencleat.core.data import Outcome, Position
from pollencleat.core.errors import (
    NotRunError,
    StatementTimeoutError,
    TransactionLostError,
    UnknownOutcomeError,
)
from pollencleat.engine.sessions_test import Sessions
from pollencleat.engine.statements import Access, Begin, Commit, Work


@pytest.fixture
def sessions():
    created = Sessions()
    yield created
    created.close()


def write(sessions, faults=()):
    return sessions.execute(0, Work("w1", Access.WRITE, "", "w"), faults)


def begin_and_write(sessions):
    assert sessions.execute(0, Begin("b1", False)) is None
    sessions.expected[0].in_transaction = True
    assert write(sessions) is None


def lapse_permit_after(sessions, checks):
    """Let the write permit expire after a number of successful checks."""
    answers = iter([True] * checks)
    sessions.access.is_still_writable = lambda term: next(answers, False)


def test_refused_write_has_not_run(sessions):
    error = write(sessions, ["refused"])
    assert isinstance(error, NotRunError) and error.retry_after_ms
    assert sessions.server.committed == []


@pytest.mark.parametrize("fault", ["lost before execution", "lost after execution"])
def test_write_without_an_answer_is_unknown_and_not_repeated(sessions, fault):
    error = write(sessions, [fault])
    assert isinstance(error, UnknownOutcomeError)
    assert sessions.server.committed == (
        ["w1"] if fault == "lost after execution" else []
    )


def test_read_on_a_lost_connection_is_reported_as_not_run(sessions):
    read = Work("r1", Access.READ, "", "r")
    error = sessions.execute(0, read, ["lost after execution"])
    assert error.outcome is Outcome.NOT_RUN


def test_write_is_not_sent_after_the_permit_lapsed(sessions):
    lapse_permit_after(sessions, 0)
    assert isinstance(write(sessions), NotRunError)
    assert sessions.server.committed == []


def test_write_answered_after_the_permit_lapsed_is_unknown(sessions):
    lapse_permit_after(sessions, 1)
    assert isinstance(write(sessions), UnknownOutcomeError)
    assert sessions.server.committed == ["w1"]


def test_read_without_an_answer_within_the_limit_timed_out(sessions):
    error = sessions.execute(0, Work("r1", Access.READ, "", "r"), ["silent"])
    assert isinstance(error, StatementTimeoutError)
    assert error.outcome is not Outcome.NOT_RUN


def test_write_without_an_answer_within_the_limit_is_unknown(sessions):
    error = write(sessions, ["silent"])
    assert isinstance(error, UnknownOutcomeError)
    assert all(not link.is_usable for link in sessions.server.links)


def test_connection_lost_in_a_transaction_rolls_it_back(sessions):
    begin_and_write(sessions)
    assert isinstance(write(sessions, ["lost after execution"]), TransactionLostError)
    assert isinstance(sessions.execute(0, Commit("c1")), TransactionLostError)
    assert sessions.server.committed == []


@pytest.mark.parametrize("fault", ["lost before execution", "lost after execution"])
def test_commit_without_an_answer_is_unknown(sessions, fault):
    begin_and_write(sessions)
    error = sessions.execute(0, Commit("c1"), [fault])
    assert isinstance(error, UnknownOutcomeError)


def test_commit_is_not_sent_after_the_permit_lapsed(sessions):
    begin_and_write(sessions)
    lapse_permit_after(sessions, 0)
    assert isinstance(sessions.execute(0, Commit("c1")), TransactionLostError)
    assert sessions.server.committed == []


def test_commit_answered_after_the_permit_lapsed_is_unknown(sessions):
    begin_and_write(sessions)
    lapse_permit_after(sessions, 1)
    assert isinstance(sessions.execute(0, Commit("c1")), UnknownOutcomeError)


@pytest.mark.parametrize("in_transaction", [False, True])
def test_acknowledged_commit_counts_while_a_restart_of_its_primary_is_suspected(
    sessions, in_transaction
):
    """A promotion took the highest position that the nodes knew for the last commit."""
    board = sessions.access.board
    if in_transaction:
        begin_and_write(sessions)
    board.bounds_by_group.clear()
    board.server_view("s").restart_suspected_at_s = 1e9
    if in_transaction:
        assert sessions.execute(0, Commit("c1")) is None
    else:
        assert write(sessions) is None
    assert sessions.server.committed == ["w1"]
    seen = board.seen_positions(sessions.access.clock())
    assert seen["g"].position == Position(1, 1)
    assert seen["g"].age_s < 1.0


def test_stopping_node_begins_no_transaction_that_it_cannot_end(sessions):
    sessions.access.accepts_transactions = False
    assert isinstance(sessions.execute(0, Begin("b1", False)), NotRunError)
    assert not sessions.executors[0].is_in_transaction
    assert write(sessions) is None


def raise_key_error(*arguments):
    raise KeyError("defect")


READ = Work("r1", Access.READ, "", "r")
WRITE = Work("w1", Access.WRITE, "", "w")


@pytest.mark.parametrize(
    ("statement", "step", "outcome"),
    [
        (READ, "borrow", Outcome.NOT_RUN),
        (READ, "note_position", Outcome.NOT_RUN),
        (WRITE, "borrow", Outcome.NOT_RUN),
        (WRITE, "is_still_writable", Outcome.NOT_RUN),
        (WRITE, "note_position", Outcome.UNKNOWN),
        (WRITE, "note_primary_confirmed", Outcome.UNKNOWN),
    ],
)
def test_unexpected_error_is_answered_with_the_true_outcome(
    sessions, statement, step, outcome
):
    setattr(sessions.access, step, raise_key_error)
    error = sessions.execute(0, statement)
    assert error.outcome is outcome
    assert sessions.access.pools.pools_by_server["s"].queue.in_use == 0
    if outcome is Outcome.NOT_RUN:
        assert sessions.server.committed == []
    else:
        assert sessions.server.committed == ["w1"]
    assert sessions.access.metrics.counts[("unexpected_error", "statement")] == 1


@pytest.mark.parametrize(
    ("statement", "step", "outcome"),
    [
        (READ, "note_position", Outcome.FAILED),
        (WRITE, "is_still_writable", Outcome.FAILED),
        (Commit("c1"), "is_still_writable", Outcome.NOT_RUN),
        (Commit("c1"), "note_position", Outcome.UNKNOWN),
    ],
)
def test_unexpected_error_in_a_transaction_ends_it(sessions, statement, step, outcome):
    begin_and_write(sessions)
    setattr(sessions.access, step, raise_key_error)
    error = sessions.execute(0, statement)
    assert error.outcome is outcome
    if outcome is Outcome.UNKNOWN:
        return
    assert sessions.server.committed == []
    del sessions.access.__dict__[step]
    sessions.execute(0, Commit("c2"))
    assert sessions.server.committed == []
