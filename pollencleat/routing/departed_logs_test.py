"""Departed logs, against a model of the commits that depended on them."""

import math
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import AcknowledgedBounds
from pollencleat.core.constants import REREGISTRATION_GRACE_S
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Fleet,
    GroupTerm,
    Inventory,
    Member,
    Position,
    Promotion,
    ServerLog,
    ServerStatus,
    VmList,
)
from pollencleat.promotion.attempt import (
    Attempt,
)
from pollencleat.promotion.choice import (
    choose_server,
    has_every_acknowledged_commit,
)
from pollencleat.promotion.missing_logs import (
    NOT_REGISTERED,
    can_waiting_help,
    find_missing_logs,
)
from pollencleat.routing.departed_logs import (
    MAX_PROBE_INTERVAL_S,
    TRAFFIC_WAIT_S,
    DepartedLogController,
)

START_S = 100.0
STEP_S = 0.1
TERM = 2


class Group:
    """A node that knows the primary p of a group and the replicas after it.

    Attributes:
        acknowledged: Number of the last acknowledged commit.
        lost_received: Last commits that the departed logs had received.
    """

    def __init__(
        self,
        replica_ids="rs",
        acknowledging=1,
        make_controller=DepartedLogController,
    ):
        self.now_s = START_S
        self.acknowledging = acknowledging
        self.board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
        self.group = DatabaseGroup("g", "g", (), (), acknowledging)
        self.board.declared_inventory = Inventory(
            1, groups_by_id={"g": self.group}, connections_by_group={"g": 20}
        )
        member = Member("n", "n-1", "a", "", "", 0, True)
        self.board.fleet = Fleet(
            1, {"n": member}, {}, {"g": GroupTerm("g", TERM, "p")}, seats=2
        )
        self.probed = []
        self.controller = make_controller(
            self.board, self.probed.append, lambda: self.now_s
        )
        self.received = dict.fromkeys(("p", *replica_ids), 0)
        self.servers = {
            server_id: BackendServer(server_id, "g", "h", port, "a", 4, 20, 1)
            for port, server_id in enumerate(self.received, start=1)
        }
        self.leaving = set()
        self.acknowledged = 0
        self.lost_received = []
        self.publish()

    def publish(self, lapsed=()):
        self.adopt_list(lapsed)
        self.tick()

    def adopt_list(self, lapsed=()):
        self.board.adopt_vms(
            VmList(
                self.board.vms.version + 1,
                None,
                tuple(sorted(self.leaving)),
                dict(self.servers),
                {"g": tuple(lapsed)},
            )
        )

    def tick(self, after_s=STEP_S):
        self.now_s += after_s
        self.board.fleet_confirmed_at_s = self.now_s
        self.controller.tick(self.now_s)

    def open_logs(self):
        return sorted(self.board.departed_logs_by_group.get("g", {}))

    def commit(self, *receiver_ids):
        self.received["p"] += 1
        for server_id in receiver_ids:
            self.receive(server_id)
        self.acknowledge()

    def receive(self, server_id):
        self.received[server_id] = self.received["p"]
        self.acknowledge()

    def acknowledge(self):
        replicas = [self.received[name] for name in self.received if name != "p"]
        replicas = sorted([*replicas, 0, 0], reverse=True)
        self.acknowledged = max(self.acknowledged, replicas[self.acknowledging - 1])

    def answer(self, server_id):
        """Record an ordinary reply of a server."""
        position = Position(TERM, self.received[server_id])
        view = self.board.server_view(server_id)
        view.applied = position
        view.applied_sent_at_s = self.now_s
        if server_id == "p":
            bounds = self.board.bounds_by_group.setdefault("g", AcknowledgedBounds())
            bounds.add(TERM, self.now_s, position)

    def leave(self, server_id):
        self.leaving.add(server_id)
        self.publish()
        del self.servers[server_id]
        del self.received[server_id]
        self.leaving.discard(server_id)
        self.publish()

    def crash(self, server_id):
        """Lose a server, whose address a new one without a log uses at once."""
        crashed = self.servers.pop(server_id)
        del self.received[server_id]
        self.publish()
        new_id = f"{server_id}+"
        self.servers[new_id] = replace(crashed, server_id=new_id)
        self.received[new_id] = 0
        self.publish()

    def restart_empty(self, server_id):
        server = self.servers[server_id]
        self.servers[server_id] = replace(server, born_ms=server.born_ms + 1)
        self.received[server_id] = 0
        self.board.servers_by_id.pop(server_id, None)
        self.publish()

    def find_lost_commit(self, unanswered=()):
        """Lose the primary; return whether a choice lacks an acknowledged commit."""
        attempt = self.make_attempt(unanswered)
        group = self.board.inventory.groups_by_id["g"]
        chosen = choose_server(attempt, group.server_ids, ())
        if chosen is None:
            return False
        missing = find_missing_logs(self.board, attempt, 0.0)
        if not has_every_acknowledged_commit(attempt, group, chosen, missing):
            return False
        return self.received[chosen] < self.acknowledged

    def make_attempt(self, unanswered=()):
        promotion = Promotion("a/1", "n", "n-1", "p", False, "primary lost")
        attempt = Attempt("g", 3, 3, promotion, 0.0, 0.0, {"m-1"})
        for server_id, number in self.received.items():
            status = ServerStatus(TERM, number, number, TERM, True, None)
            is_answered = server_id not in ("p", *unanswered)
            attempt.statuses_by_server[server_id] = status if is_answered else None
        return attempt


def test_commit_that_only_a_leaving_replica_had_is_not_forgotten():
    group = Group()
    group.commit("s")
    group.leave("s")
    assert group.open_logs() == [ServerLog("s", 1)]
    group.answer("p")
    group.answer("r")
    group.tick()
    assert not group.find_lost_commit()
    group.receive("r")
    group.answer("r")
    group.tick()
    assert not group.open_logs()


def test_commit_is_not_lost_if_a_primary_is_chosen_right_after_a_departure():
    """Guards against a choice between the departure and the next tick."""
    group = Group()
    group.commit("s")
    group.leaving.add("s")
    group.publish()
    del group.servers["s"], group.received["s"]
    group.leaving.discard("s")
    group.adopt_list()
    assert not group.find_lost_commit()


def test_commit_that_only_a_crashed_replica_had_is_not_forgotten_with_its_address():
    group = Group()
    group.commit("s")
    group.crash("s")
    assert group.open_logs() == [ServerLog("s", 1)]
    assert not group.find_lost_commit()
    group.receive("s+")
    group.answer("p")
    group.answer("s+")
    group.tick()
    assert not group.open_logs()


def test_commit_that_only_a_replica_had_is_not_forgotten_when_it_is_back_empty():
    group = Group()
    group.commit("s")
    group.restart_empty("s")
    assert group.open_logs() == [ServerLog("s", 1)]
    group.answer("p")
    group.answer("r")
    group.answer("s")
    group.tick()
    assert not group.find_lost_commit()
    group.receive("s")
    group.answer("s")
    group.tick()
    assert not group.open_logs()


def test_log_of_a_lapsed_server_has_not_departed_and_is_there_when_it_is_back():
    group = Group()
    server = group.servers.pop("s")
    group.publish(lapsed=["s"])
    assert not group.open_logs()
    group.servers["s"] = server
    group.publish()
    assert not group.open_logs()
    del group.servers["s"]
    group.publish()
    assert group.open_logs() == [ServerLog("s", 1)]
    group.servers["s"] = server
    group.publish()
    assert not group.open_logs()


def test_departure_is_forgotten_within_two_seconds_without_traffic():
    """Load pattern: replicas are released all day; an idle group must not wait."""
    group = Group()
    group.commit("r", "s")
    group.leave("s")
    left_at_s = group.now_s
    while group.open_logs():
        assert group.now_s - left_at_s < 2.0
        for server_id in group.probed:
            view = group.board.server_view(server_id)
            number = group.received[server_id]
            view.status = ServerStatus(
                TERM, number, number, TERM, server_id != "p", None
            )
            view.status_sent_at_s = group.now_s
        group.tick()
    assert sorted(group.probed) == ["p", "r"]


def test_ordinary_replies_make_probes_needless():
    group = Group()
    group.commit("r", "s")
    group.leave("s")
    group.answer("p")
    group.answer("r")
    group.tick()
    assert not group.open_logs() and not group.probed


def test_probes_for_a_replica_that_lags_become_rare():
    group = Group()
    group.commit("s")
    group.leave("s")
    for _ in range(int(60 / STEP_S)):
        group.answer("p")
        group.answer("r")
        group.tick()
    assert group.open_logs() and set(group.probed) == {"r"}
    assert len(group.probed) < 60 / MAX_PROBE_INTERVAL_S + 6
    assert TRAFFIC_WAIT_S >= STEP_S


def test_replies_to_requests_from_before_the_departure_prove_nothing():
    group = Group()
    group.commit("r", "s")
    group.answer("p")
    group.answer("r")
    group.leave("s")
    group.tick()
    assert group.open_logs()


def test_positions_of_a_term_without_a_write_permit_prove_nothing():
    group = Group()
    group.commit("s")
    group.leave("s")
    group.answer("p")
    group.receive("r")
    group.answer("r")
    group.board.fleet = replace(
        group.board.fleet, terms_by_group={"g": GroupTerm("g", TERM + 1, "")}
    )
    group.tick()
    assert group.open_logs()


def test_choice_waits_for_a_departed_log_only_while_something_may_still_come():
    group = Group()
    group.commit("s")
    group.leave("s")
    declared = group.board.inventory.groups_by_id["g"]
    attempt = group.make_attempt()
    assert can_waiting_help(group.board, attempt, declared, 0.0)
    attempt.unconfirmed_incarnations = set()
    assert can_waiting_help(group.board, attempt, declared, 0.0)
    group.leave("p")
    declared = group.board.inventory.groups_by_id["g"]
    attempt.statuses_by_server.pop("p")
    assert not can_waiting_help(group.board, attempt, declared, 0.0)
    attempt.statuses_by_server["r"] = None
    assert can_waiting_help(group.board, attempt, declared, 0.0)


def test_choice_counts_a_server_that_may_not_be_registered_yet_for_a_limited_time():
    """A replica that had started while the store was down had the only commits."""
    group = Group()
    group.leave("p")
    declared = group.board.inventory.groups_by_id["g"]
    attempt = group.make_attempt()
    attempt.unconfirmed_incarnations = set()
    board = group.board
    for complete_at_s, waited_s, may_lack in (
        (-1e9, 0.0, False),
        (0.5, 0.4, True),
        (0.5, 0.5, False),
        (math.inf, 0.0, True),
        (math.inf, REREGISTRATION_GRACE_S, False),
    ):
        board.servers_complete_at_s = complete_at_s
        missing = find_missing_logs(board, attempt, waited_s)
        assert (NOT_REGISTERED in missing) is may_lack
        assert can_waiting_help(board, attempt, declared, waited_s) is may_lack


def find_lost_commit(choose, acknowledging, count, make_controller):
    """Return whether a random history ends in a choice that loses a commit."""
    group = Group("rstuv"[:count], acknowledging, make_controller)
    for _ in range(40):
        replicas = [name for name in group.servers if name != "p"]
        some = choose.choice(replicas)
        actions = ["commit", "receive", "reply", "reply", "p"]
        actions += ["leave", "crash", "restart"]
        action = choose.choice(actions)
        if action == "commit":
            group.commit(some)
        elif action == "receive":
            group.receive(some)
        elif action == "reply":
            group.answer(some)
        elif action == "p":
            group.answer("p")
        elif action == "crash":
            group.crash(some)
        elif action == "restart":
            group.restart_empty(some)
        elif len(replicas) > 1:
            group.leave(some)
        group.tick()
        unanswered = choose.sample(replicas, choose.randint(0, acknowledging - 1))
        unanswered = [name for name in unanswered if name in group.servers]
        if group.find_lost_commit(unanswered):
            return True
    return False


@settings(max_examples=300)
@given(st.randoms(use_true_random=False), st.integers(1, 2), st.integers(3, 5))
def test_no_choice_loses_a_commit_of_a_departed_log(choose, acknowledging, count):
    assert not find_lost_commit(choose, acknowledging, count, DepartedLogController)


class ForgetsDepartures(DepartedLogController):
    def _add(self, group_id, departed, now_s):
        pass


class AcceptsOlderReplies(DepartedLogController):
    def _is_covered(self, group, departed, since_s, now_s):
        return super()._is_covered(group, departed, since_s - 1.0, now_s)


class OneReplicaLess(DepartedLogController):
    def _is_covered(self, group, departed, since_s, now_s):
        group = replace(group, acknowledging_replicas=group.acknowledging_replicas - 1)
        return super()._is_covered(group, departed, since_s, now_s)


@pytest.mark.parametrize(
    "mutant", [ForgetsDepartures, AcceptsOlderReplies, OneReplicaLess]
)
def test_the_check_finds_a_choice_that_loses_a_commit(mutant):
    generator = random.Random(1)
    assert any(
        find_lost_commit(generator, acknowledging, count, mutant)
        for _ in range(300)
        for acknowledging in (1, 2)
        for count in (3, 4)
    )
