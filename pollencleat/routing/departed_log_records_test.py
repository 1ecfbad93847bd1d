from dataclasses import replace

import pytest

from pollencleat.core.data import GroupTerm, Promotion, ServerLog, VmList
from pollencleat.core.effects import UpdateFleet
from pollencleat.promotion.missing_logs import (
    UNKNOWN_SERVER_WAIT_S,
    can_waiting_help,
)
from pollencleat.routing.departed_log_records import (
    RECORD_AFTER_S,
    DepartedLogRecorder,
)
from pollencleat.routing.departed_logs import DepartedLogController
from pollencleat.routing.departed_logs_test import STEP_S, TERM, Group

LOG = ServerLog("s", 1)


class RecordedGroup(Group):
    """A group whose node records departed logs; each update is carried out at once."""

    def __init__(self):
        super().__init__()
        self.recorder = DepartedLogRecorder(self.board)

    def run(self, seconds, carries_out=True):
        """Pass time; return the number of updates."""
        count = 0
        for _ in range(round(seconds / STEP_S)):
            self.tick()
            self.recorder.tick(self.now_s)
            for effect in self.board.effects:
                assert isinstance(effect, UpdateFleet)
                assert effect.expected_version == self.board.fleet.version
                count += 1
                if carries_out:
                    self.adopt(effect.fleet)
            self.board.effects.clear()
        return count

    def adopt(self, fleet):
        version = self.board.fleet.version + 1
        self.board.adopt_fleet(replace(fleet, version=version), self.now_s)

    def recorded(self):
        return self.board.fleet.departed_logs_by_group.get("g", ())

    def start_anew(self):
        """Return the same group as a process sees it that is started now."""
        started = RecordedGroup()
        board = started.board
        board.vms = VmList()
        board.departed_logs_by_group.clear()
        board.vms_followers.clear()
        started.controller = DepartedLogController(
            board, started.probed.append, lambda: started.now_s
        )
        started.servers = self.servers
        started.received = self.received
        started.acknowledged = self.acknowledged
        started.adopt(self.board.fleet)
        started.publish()
        started.tick()
        return started


@pytest.fixture
def group():
    group = RecordedGroup()
    group.commit("s")
    group.leave("s")
    return group


def test_process_started_after_a_departure_knows_of_it(group):
    assert group.run(RECORD_AFTER_S + 1.0) == 1
    assert group.recorded() == (LOG,)
    started = group.start_anew()
    assert started.open_logs() == [LOG]
    assert not started.find_lost_commit()


def test_departed_log_that_is_soon_covered_costs_no_update(group):
    group.receive("r")
    group.answer("p")
    group.answer("r")
    assert group.run(10.0) == 0


def test_covered_log_is_dropped_from_the_record_and_not_recorded_again(group):
    group.run(RECORD_AFTER_S + 1.0)
    started = group.start_anew()
    group.receive("r")
    group.answer("p")
    group.answer("r")
    assert group.run(RECORD_AFTER_S + 1.0) == 1
    assert group.recorded() == ()
    assert started.run(1.0) == 0
    started.adopt(group.board.fleet)
    assert started.open_logs() and started.run(20.0) == 0


def test_lapsed_log_is_recorded_until_its_server_is_back():
    group = RecordedGroup()
    server = group.servers.pop("s")
    group.publish(lapsed=["s"])
    assert group.run(RECORD_AFTER_S + 1.0) == 1
    assert group.recorded() == (LOG,)
    group.servers["s"] = server
    group.publish()
    assert group.run(RECORD_AFTER_S + 1.0) == 1
    assert group.recorded() == () and not group.open_logs()


def test_process_that_stops_records_at_once(group):
    group.board.draining = True
    assert group.run(2 * STEP_S) == 1


def test_update_that_was_not_accepted_is_repeated(group):
    assert group.run(RECORD_AFTER_S + 3.0, carries_out=False) >= 2


def begin_promotion(group):
    promotion = Promotion("a/1", "n", "n-1", "p", False, "primary lost")
    term = GroupTerm("g", TERM + 1, "", promotion)
    group.adopt(replace(group.board.fleet, terms_by_group={"g": term}))


def test_log_that_a_choice_waits_for_is_known_if_all_processes_restart_meanwhile(group):
    """Nothing was recorded while a promotion was in progress (review, case 3)."""
    begin_promotion(group)
    terms = group.board.fleet.terms_by_group
    assert group.run(2 * STEP_S) == 1
    assert group.run(10.0) == 0
    assert group.recorded() == (LOG,)
    assert group.board.fleet.terms_by_group == terms
    started = group.start_anew()
    assert started.open_logs() == [LOG]
    assert not started.find_lost_commit()


def test_old_primary_that_lapses_is_not_recorded_at_once():
    """The update would meet the publication of the next primary in most promotions."""
    group = RecordedGroup()
    del group.servers["p"]
    group.publish(lapsed=["p"])
    begin_promotion(group)
    assert group.run(RECORD_AFTER_S / 2) == 0
    group.publish()
    assert group.open_logs() == [ServerLog("p", 1)]
    assert group.run(RECORD_AFTER_S / 2 - 2 * STEP_S) == 0


def test_nothing_is_dropped_from_the_record_while_a_promotion_is_in_progress():
    """A promotion does not have to repeat its update for what can wait."""
    group = RecordedGroup()
    server = group.servers.pop("s")
    group.publish(lapsed=["s"])
    assert group.run(RECORD_AFTER_S + 1.0) == 1
    terms = group.board.fleet.terms_by_group
    begin_promotion(group)
    group.servers["s"] = server
    group.publish()
    assert group.run(10.0) == 0 and group.recorded() == (LOG,)
    group.adopt(replace(group.board.fleet, terms_by_group=terms))
    assert group.run(RECORD_AFTER_S + 1.0) == 1 and group.recorded() == ()


def test_choice_waits_a_limited_time_for_servers_that_only_the_record_names():
    """The record does not tell a lapsed server from one that ended (seed 9143)."""
    group = RecordedGroup()
    group.commit("s")
    for server_id in "ps":
        del group.servers[server_id]
    group.publish(lapsed=["p", "s"])
    group.run(RECORD_AFTER_S + 1.0)
    assert len(group.recorded()) == 2
    started = group.start_anew()
    attempt = started.make_attempt()
    attempt.statuses_by_server = {"r": attempt.statuses_by_server["r"]}
    attempt.unconfirmed_incarnations = set()
    declared = started.board.inventory.groups_by_id["g"]
    assert can_waiting_help(started.board, attempt, declared, 0.0)
    waited_s = UNKNOWN_SERVER_WAIT_S
    assert not can_waiting_help(started.board, attempt, declared, waited_s)


def test_log_of_a_leaving_server_is_known_if_no_process_sees_it_go():
    """All processes were killed while a leaving server ended (soak, seed 270105)."""
    group = RecordedGroup()
    group.commit("s")
    group.leaving.add("s")
    group.publish()
    assert group.run(RECORD_AFTER_S + 1.0) == 1
    assert group.recorded() == (LOG,) and not group.open_logs()
    assert group.run(10.0) == 0
    del group.servers["s"]
    del group.received["s"]
    started = group.start_anew()
    assert started.open_logs() == [LOG]
    assert not started.find_lost_commit()
