from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.data import (
    DatabaseGroup,
    Position,
    Promotion,
    ServerStatus,
    TermStart,
)
from pollencleat.core.messages import SeenPosition
from pollencleat.promotion.attempt import (
    REMOVED_PERMIT_EXPIRY_S,
    Attempt,
)
from pollencleat.promotion.choice import (
    choose_server,
    has_every_acknowledged_commit,
    has_lost_log,
    has_old_primary_final_log,
    reaches_latest_term,
)
from pollencleat.promotion.suspicion import Suspicion

SERVERS = ("old", "r1", "r2", "r3")


def make_status(position, read_only=True, term=3):
    return ServerStatus(term, position, position, term, read_only, None)


def make_attempt(statuses, old_primary_status=None, old_primary="old"):
    promotion = Promotion("a/1", "n", "n-1", old_primary, False, "lost")
    attempt = Attempt("g", 2, 4, promotion, 0.0, 0.0, set())
    attempt.statuses_by_server = statuses
    attempt.old_primary_status = old_primary_status
    return attempt


def make_log_ends(positions):
    return {server_id: Position(3, number) for server_id, number in positions.items()}


def make_group(count, servers=SERVERS):
    return DatabaseGroup("g", "g", (), servers, count)


@given(
    st.integers(1, 2),
    st.lists(st.integers(0, 9), min_size=3, max_size=3),
    st.sets(st.sampled_from(("r1", "r2", "r3"))),
    st.sets(st.sampled_from(("r1", "r2", "r3"))),
    st.booleans(),
)
def test_choice_holds_every_acknowledged_commit(
    count, logs, unanswered, leaving, old_primary_answers
):
    """A commit is acknowledged once ``count`` replicas have received it."""
    logs_by_id = dict(zip(("r1", "r2", "r3"), logs, strict=True))
    acknowledged = sorted(logs, reverse=True)[count - 1]
    old_position = max(logs)
    statuses = {
        name: None if name in unanswered else make_status(position)
        for name, position in logs_by_id.items()
    }
    attempt = make_attempt(
        {**statuses, "old": None},
        make_status(old_position) if old_primary_answers else None,
    )
    chosen = choose_server(attempt, SERVERS, tuple(leaving))
    if chosen is None:
        return
    if has_every_acknowledged_commit(attempt, make_group(count), chosen):
        assert logs_by_id[chosen] >= acknowledged


def test_choice_is_unsafe_if_one_of_two_replicas_does_not_answer():
    attempt = make_attempt({"old": None, "r1": make_status(5), "r2": None})
    group = make_group(1, ("old", "r1", "r2"))
    assert not has_every_acknowledged_commit(attempt, group, "r1")
    attempt.old_primary_status = make_status(5)
    assert has_every_acknowledged_commit(attempt, group, "r1")
    attempt.old_primary_status = make_status(6)
    assert not has_every_acknowledged_commit(attempt, group, "r1")


def test_replica_that_lost_its_log_counts_as_one_that_does_not_answer():
    """Its answer of an empty log made a choice without its commits look complete."""
    attempt = make_attempt({"old": None, "r1": make_status(5), "r2": make_status(0)})
    attempt.known_log_end_by_server = make_log_ends({"r1": 5, "r2": 6})
    attempt.unconfirmed_incarnations = {"m-1"}
    group = make_group(1, ("old", "r1", "r2"))
    assert choose_server(attempt, group.server_ids, ()) == "r1"
    assert not has_every_acknowledged_commit(attempt, group, "r1")
    attempt.old_primary_status = make_status(5)
    assert has_every_acknowledged_commit(attempt, group, "r1")


def test_replica_with_a_part_of_its_log_counts_as_one_that_does_not_answer():
    """Only an empty log counted as lost; about 180 commits were lost (review, 1)."""
    attempt = make_attempt({"old": None, "r1": make_status(5), "r2": make_status(3)})
    attempt.known_log_end_by_server = make_log_ends({"r1": 5, "r2": 6})
    attempt.unconfirmed_incarnations = {"m-1"}
    group = make_group(1, ("old", "r1", "r2"))
    assert not has_every_acknowledged_commit(attempt, group, "r1")
    attempt.old_primary_status = make_status(5)
    assert has_every_acknowledged_commit(attempt, group, "r1")


def test_replica_that_a_promotion_rolled_back_counts_as_whole():
    """A choice would wait for an old primary that is not needed."""
    attempt = make_attempt({"old": None, "r1": make_status(5), "r2": make_status(4)})
    attempt.history = (TermStart(2, 0), TermStart(3, 4))
    attempt.known_log_end_by_server = {"r1": Position(3, 5), "r2": Position(2, 6)}
    attempt.unconfirmed_incarnations = {"m-1"}
    group = make_group(1, ("old", "r1", "r2"))
    assert has_every_acknowledged_commit(attempt, group, "r1")


def test_replica_that_an_unpublished_promotion_rolled_back_counts_as_whole():
    """Its log follows a primary of which the members know no start."""
    statuses = {"old": None, "r1": make_status(5), "r2": make_status(4)}
    statuses = {
        server_id: status and replace(status, term=4)
        for server_id, status in statuses.items()
    }
    attempt = make_attempt(statuses)
    attempt.log_term = 5
    attempt.history = (TermStart(2, 0), TermStart(3, 2))
    attempt.known_log_end_by_server = make_log_ends({"r1": 5, "r2": 6})
    attempt.unconfirmed_incarnations = {"m-1"}
    group = make_group(1, ("old", "r1", "r2"))
    assert has_every_acknowledged_commit(attempt, group, "r1")


def test_choice_is_always_safe_without_acknowledging_replicas():
    attempt = make_attempt({"r1": make_status(1), "r2": None})
    assert has_every_acknowledged_commit(attempt, make_group(0), "r1")


def test_writable_server_is_preferred_as_first_primary():
    statuses = {
        "r1": make_status(7),
        "r2": make_status(7, read_only=False),
        "r3": make_status(7),
    }
    assert choose_server(make_attempt(statuses, old_primary=""), SERVERS, ()) == "r2"


def test_higher_term_is_preferred_to_a_longer_log():
    statuses = {"r1": make_status(9, term=3), "r2": make_status(2, term=4)}
    assert choose_server(make_attempt(statuses), SERVERS, ()) == "r2"


def test_server_restarted_empty_is_not_chosen_while_others_do_not_answer():
    """Regression (make demo): a killed primary restarted with an empty log, was the
    only server to answer in time, and was promoted again."""
    attempt = make_attempt({"old": make_status(0), "r1": None, "r2": None})
    attempt.known_log_end_by_server = make_log_ends({"old": 7, "r1": 7, "r2": 6})
    servers = ("old", "r1", "r2")
    assert choose_server(attempt, servers, ()) is None
    attempt.statuses_by_server["r2"] = make_status(6)
    assert choose_server(attempt, servers, ()) == "r2"


def test_server_already_promoted_by_the_attempt_is_chosen_with_an_empty_log():
    """Regression: a server with an empty log was promoted and its answer was lost; the
    attempt then rejected it for its empty log and found no other server."""
    attempt = make_attempt(
        {"old": None, "r1": make_status(0, read_only=False, term=4), "r2": None}
    )
    attempt.known_log_end_by_server = make_log_ends({"r1": 10, "r2": 10})
    assert choose_server(attempt, ("old", "r1", "r2"), ()) == "r1"


def test_server_is_chosen_if_all_restarted_empty():
    attempt = make_attempt({"old": make_status(0), "r1": make_status(0)})
    attempt.known_log_end_by_server = make_log_ends({"old": 7, "r1": 7})
    assert choose_server(attempt, ("old", "r1"), ()) == "old"


def make_attempt_with_empty_old(cause, seen):
    """Return an attempt in which only the old primary has answered, now empty."""
    empty = make_status(0)
    attempt = make_attempt({"old": empty}, empty)
    attempt.promotion = Promotion("a/1", "n", "n-1", "old", False, cause)
    attempt.unconfirmed_incarnations = {"m-1"}
    attempt.seen_by_incarnation = {"n-1": seen}
    return attempt


def test_empty_log_of_an_old_primary_is_not_its_final_position():
    """Regression (soak, seed 1001): a primary that had restarted empty reported 0 as
    its final position and was promoted before the replica with all 90 commits answered
    again; 181 acknowledged writes were lost."""
    group = make_group(1, ("old", "r1", "r2"))
    demoted = make_attempt_with_empty_old(Suspicion.DEMOTED.value, None)
    assert not has_every_acknowledged_commit(demoted, group, "old")
    seen = SeenPosition(Position(3, 90), 0.1)
    lost = make_attempt_with_empty_old(Suspicion.LOST.value, seen)
    assert not has_every_acknowledged_commit(lost, group, "old")


def test_replica_with_the_highest_seen_position_is_chosen_over_an_empty_old_primary():
    group = make_group(1, ("old", "r1", "r2"))
    attempt = make_attempt_with_empty_old(Suspicion.DEMOTED.value, None)
    attempt.statuses_by_server = {"old": make_status(0), "r1": make_status(90)}
    attempt.unconfirmed_incarnations = set()
    attempt.seen_by_incarnation = {"n-1": SeenPosition(Position(3, 90), 0.1)}
    assert choose_server(attempt, ("old", "r1", "r2"), ()) == "r1"
    assert has_every_acknowledged_commit(attempt, group, "r1")


def test_removed_process_may_have_acknowledged_commits_until_its_permit_expired():
    """Regression: only its removal counted, after which it could still write."""
    attempt = make_attempt({"old": None, "r1": make_status(7), "r2": None})
    attempt.age_reference_s = 100.0
    attempt.last_crash_at_s = 98.0
    group = make_group(1, ("old", "r1", "r2"))
    seen_at_s = 98.0 + REMOVED_PERMIT_EXPIRY_S
    for after_s, is_safe in ((-0.1, False), (0.1, True)):
        age_s = attempt.age_reference_s - (seen_at_s + after_s)
        seen = SeenPosition(Position(3, 7), age_s)
        attempt.seen_by_incarnation = {"n-1": seen}
        assert has_every_acknowledged_commit(attempt, group, "r1") is is_safe


def make_planned_attempt(statuses, history):
    attempt = make_attempt(statuses, statuses["old"])
    attempt.promotion = Promotion("a/1", "n", "n-1", "old", True, "leaving")
    attempt.history = history
    return attempt


def test_planned_change_gives_no_lead_to_a_server_without_the_start_of_the_term():
    """The old primary leads again if no other server has what only it had at first."""
    statuses = {"old": make_status(9), "r1": make_status(5), "r2": None}
    history = (TermStart(2, 0), TermStart(3, 7))
    servers = ("old", "r1", "r2")
    attempt = make_planned_attempt({**statuses, "r1": make_status(5, term=2)}, history)
    assert choose_server(attempt, servers, ("old",)) == "old"
    attempt.statuses_by_server["r2"] = make_status(7, term=2)
    assert choose_server(attempt, servers, ("old",)) == "r2"


def test_server_without_the_start_of_the_term_waits_for_those_that_do_not_answer():
    """Guards against the loss of commits that only the last primary had at first."""
    group = make_group(1, ("old", "r1", "r2"))
    attempt = make_attempt(
        {"old": None, "r1": make_status(5, term=2), "r2": make_status(5, term=2)}
    )
    attempt.history = (TermStart(2, 0), TermStart(3, 7))
    assert not has_every_acknowledged_commit(attempt, group, "r1")
    attempt.statuses_by_server["r1"] = make_status(7, term=2)
    assert has_every_acknowledged_commit(attempt, group, "r1")


@st.composite
def draw_terms(draw):
    """Draw a group's terms: start of each, and the entries of its primary's log."""
    log = []
    history = []
    logs = []
    term = 0
    for _ in range(draw(st.integers(1, 5))):
        term += draw(st.integers(1, 2))
        log = log[: draw(st.integers(0, len(log)))]
        history.append(TermStart(term, len(log)))
        log = log + [term] * draw(st.integers(0, 4))
        logs.append(log)
    return tuple(history), logs


@given(draw_terms(), st.data())
def test_log_reaches_a_term_exactly_if_it_has_all_entries_of_its_start(terms, data):
    """A server may have stopped receiving at any entry of any primary's log."""
    history, logs = terms
    start = logs[-1][: history[-1].start_position]
    log = data.draw(st.sampled_from(logs))
    log = log[: data.draw(st.integers(0, len(log)))]
    log_end = Position(log[-1] if log else 0, len(log))
    assert reaches_latest_term(history, log_end) == (log[: len(start)] == start)


@given(draw_terms(), st.data())
def test_log_counts_as_lost_exactly_if_it_lacks_what_no_promotion_rolled_back(
    terms, data
):
    """A log is known up to an entry; promotions may have rolled it back since."""
    history, logs = terms
    known_log = data.draw(st.sampled_from(logs))
    known_log = known_log[: data.draw(st.integers(0, len(known_log)))]
    known = Position(known_log[-1] if known_log else 0, len(known_log))
    latest_log = logs[-1]
    kept = 0
    while kept < len(known_log) and known_log[: kept + 1] == latest_log[: kept + 1]:
        kept += 1
    log = latest_log[: data.draw(st.integers(0, len(latest_log)))]
    term = history[-1].term
    status = ServerStatus(term, len(log), len(log), log[-1] if log else 0, True, None)
    attempt = make_attempt({"r1": status})
    attempt.history = history
    attempt.log_term = term + 1
    attempt.known_log_end_by_server = {"r1": known}
    assert has_lost_log(attempt, "r1") == (len(log) < kept)


def test_old_primary_that_is_back_leads_again_if_no_other_has_its_commits():
    """Regression: a change stayed without a primary that had only lost its entry."""
    statuses = {"old": make_status(9), "r1": make_status(5), "r2": make_status(0)}
    attempt = make_planned_attempt(statuses, (TermStart(3, 0),))
    assert has_old_primary_final_log(attempt)
    attempt.seen_by_incarnation = {"n-1": SeenPosition(Position(3, 10), 0.1)}
    assert not has_old_primary_final_log(attempt)
    attempt.statuses_by_server["old"] = None
    assert not has_old_primary_final_log(attempt)


def make_attempt_after_a_lost_acknowledger(seen):
    """Return an attempt in which r1, which has all commits, does not answer."""
    attempt = make_attempt({"old": None, "r1": None, "r2": make_status(60)})
    attempt.history = (TermStart(2, 0), TermStart(3, 7))
    attempt.seen_by_incarnation = seen
    return attempt


def test_old_primary_that_came_back_empty_has_no_final_position():
    """Guards against a loss where no member that is left has seen the log's end."""
    group = make_group(1, ("old", "r1", "r2"))
    attempt = make_attempt_after_a_lost_acknowledger({"n-1": None})
    attempt.unconfirmed_incarnations = {"crashed-1"}
    attempt.old_primary_status = make_status(0, term=1)
    assert choose_server(attempt, ("old", "r1", "r2"), ()) == "r2"
    assert not has_every_acknowledged_commit(attempt, group, "r2")


def test_old_primary_that_follows_a_later_one_has_no_final_position():
    """Guards against a loss after a promotion that a restored store has forgotten."""
    group = make_group(1, ("old", "r1", "r2"))
    attempt = make_attempt_after_a_lost_acknowledger({"n-1": None})
    attempt.unconfirmed_incarnations = {"crashed-1"}
    # It is a replica in term 4, which the members do not know.
    attempt.old_primary_status = make_status(60, term=4)
    attempt.statuses_by_server["r2"] = make_status(60, term=4)
    assert not has_every_acknowledged_commit(attempt, group, "r2")


def test_position_seen_before_a_member_resigned_bounds_nothing():
    """Guards against a loss of commits that only a member that has left had seen."""
    group = make_group(1, ("old", "r1", "r2"))
    seen = {"n-1": SeenPosition(Position(3, 50), 100.0)}
    attempt = make_attempt_after_a_lost_acknowledger(seen)
    # Another member acknowledged entries up to 90 and resigned 1 s before the attempt.
    attempt.last_removal_at_s = -1.0
    assert not has_every_acknowledged_commit(attempt, group, "r2")


def test_empty_log_of_an_old_primary_is_not_its_final_position_if_no_member_saw_more():
    """Regression: only the members' reports counted, not what the promoter knew."""
    attempt = make_attempt({"old": make_status(0), "r1": make_status(5), "r2": None})
    attempt.old_primary_status = make_status(0)
    attempt.known_log_end_by_server = make_log_ends({"old": 9})
    attempt.unconfirmed_incarnations = {"m-1"}
    group = make_group(1, ("old", "r1", "r2"))
    assert not has_every_acknowledged_commit(attempt, group, "r1")
