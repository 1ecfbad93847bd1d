"""When a node settles a restored fleet state, and what it does meanwhile."""

import random
from dataclasses import replace

import pytest

from pollencleat.core.blackboard import Blackboard, DomainView, PeerView
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Fleet,
    GroupTerm,
    Inventory,
    Member,
    Rules,
    ServerStatus,
    VmList,
)
from pollencleat.core.effects import (
    FleetUpdated,
    PlatformRead,
    ReadServerStatus,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.versions import make_version
from pollencleat.membership.beats import HeartbeatController
from pollencleat.membership.permits import holds_write_permit
from pollencleat.membership.registration import RegistrationController
from pollencleat.membership.restore import (
    RESTORE_PURPOSE,
    SETTLE_WITHOUT_ALL_AFTER_S,
    RestoreController,
)
from pollencleat.promotion.controller import PromotionController

NOW_S = 100.0
OUTAGE_LIMIT_S = 15
LEADS = ServerStatus(1, 5, 5, 1, False, None)
FOLLOWS = ServerStatus(1, 5, 5, 1, True, None)


def make_member(node_id, start=1):
    return Member(node_id, f"{node_id}-{start}", node_id, node_id, "", 0, True)


def make_fleet(version, *members, **options):
    by_id = {item.node_id: item for item in members}
    terms = {"g": GroupTerm("g", 1, "p")}
    return Fleet(version, by_id, {}, terms, **options)


class Restored:
    """Node a of a fleet of two, whose store came back at NOW_S."""

    def __init__(self, knows=True):
        incarnation = "a-1" if knows else "a-2"
        self.board = Blackboard("a", incarnation, "a", "a", "", random.Random(1))
        servers = {name: BackendServer(name, "g", "h", 1, "a", 4, 20) for name in "pr"}
        group = DatabaseGroup("g", "g", (), ("p", "r"), 1)
        inventory = Inventory(
            1,
            groups_by_id={"g": group},
            servers_by_id=servers,
            rules=replace(Rules(), seats=0, outage_limit_s=OUTAGE_LIMIT_S),
        )
        self.board.adopt_inventory(inventory)
        members = (make_member("a"), make_member("b"))
        if knows:
            self.board.adopt_fleet(make_fleet(100, *members), NOW_S - 50)
            self.board.confirm_fleet(NOW_S - 0.1)
        self.copy = make_fleet(make_version(1, 95), *members)
        self.beats = HeartbeatController(self.board)
        self.registration = RegistrationController(self.board)
        self.restore = RestoreController(self.board)
        self.read(self.copy, NOW_S)

    def read(self, fleet, now_s):
        read = PlatformRead(now_s, fleet, self.board.declared_inventory, VmList(), 1)
        self.beats.on_platform_read(read, now_s)

    def hear_promise(self, now_s):
        peer = self.board.peers_by_id.setdefault("b", PeerView("b-1"))
        peer.promised_at_s = peer.last_heartbeat_at_s = now_s

    def updates(self, now_s):
        self.restore.tick(now_s)
        return self.taken(UpdateFleet)

    def taken(self, kind):
        found = [item for item in self.board.effects if isinstance(item, kind)]
        self.board.effects = []
        return found

    def answer(self, **statuses):
        for server_id, status in statuses.items():
            read = ServerStatusRead(RESTORE_PURPOSE, server_id, status)
            self.restore.on_status_read(read)


def test_a_restored_state_is_neither_adopted_nor_a_permit():
    node = Restored()
    assert node.board.fleet.version == 100
    assert holds_write_permit(node.board, NOW_S + 1.4)
    node.read(node.copy, NOW_S + 1.0)
    assert not holds_write_permit(node.board, NOW_S + 1.6)


def test_writes_go_on_while_all_others_promise():
    node = Restored()
    node.hear_promise(NOW_S + 1.5)
    assert holds_write_permit(node.board, NOW_S + 2.5)


def test_a_member_settles_once_all_others_have_promised_since():
    node = Restored()
    node.hear_promise(NOW_S - 0.1)
    assert not node.updates(NOW_S + 0.1)
    node.hear_promise(NOW_S + 0.2)
    (update,) = node.updates(NOW_S + 0.3)
    assert update.expected_version == node.copy.version
    assert update.fleet.era == 1 and update.fleet.terms_by_group["g"].primary == "p"
    settled = FleetUpdated(update, make_version(1, 96))
    node.restore.on_updated(settled, NOW_S + 0.4)
    assert node.board.restored is None
    assert node.board.fleet.version == make_version(1, 96)


def test_a_promise_that_a_relay_passes_on_counts_too():
    node = Restored()
    key = node.board.fleet_index().members_keys_by_domain["b"]
    node.board.domains_by_id["b"] = DomainView(key, NOW_S + 0.2)
    assert node.updates(NOW_S + 0.3)


@pytest.mark.parametrize(
    ("statuses", "primary"),
    [
        ({"p": LEADS, "r": FOLLOWS}, "p"),
        ({"p": LEADS, "r": ServerStatus(2, 6, 6, 2, False, None)}, ""),
        ({"p": LEADS}, ""),
    ],
)
def test_without_a_member_the_servers_are_asked_after_lost_orders_expired(
    statuses, primary
):
    node = Restored()
    due_s = NOW_S + SETTLE_WITHOUT_ALL_AFTER_S
    assert not node.updates(due_s - 0.1)
    assert not node.updates(due_s) and not node.taken(UpdateFleet)
    node.answer(**statuses)
    (update,) = node.updates(due_s + 0.8)
    assert update.fleet.terms_by_group["g"].primary == primary


def test_servers_are_asked_once():
    node = Restored()
    for step in range(5):
        node.restore.tick(NOW_S + SETTLE_WITHOUT_ALL_AFTER_S + step * 0.1)
    asked = node.taken(ReadServerStatus)
    assert [item.server_id for item in asked] == ["p", "r"]


def test_a_refused_update_is_tried_again_with_the_newer_state():
    node = Restored()
    node.hear_promise(NOW_S + 0.2)
    (update,) = node.updates(NOW_S + 0.3)
    node.restore.on_updated(FleetUpdated(update, 0), NOW_S + 0.4)
    newer = replace(node.copy, version=make_version(1, 96))
    node.read(newer, NOW_S + 0.5)
    assert not node.updates(NOW_S + 0.5)
    (again,) = node.updates(NOW_S + 0.8)
    assert again.expected_version == newer.version


def test_a_second_restore_starts_the_wait_anew():
    node = Restored()
    node.read(make_fleet(make_version(2, 90), make_member("a")), NOW_S + 3.0)
    assert not node.updates(NOW_S + SETTLE_WITHOUT_ALL_AFTER_S + 0.1)
    node.hear_promise(NOW_S + 3.2)
    (update,) = node.updates(NOW_S + 3.3)
    assert update.fleet.era == 2


def test_a_late_update_of_before_makes_the_state_unsettled_again():
    """Its condition holds again, since revisions are handed out twice."""
    node = Restored()
    node.hear_promise(NOW_S + 0.2)
    (update,) = node.updates(NOW_S + 0.3)
    node.restore.on_updated(FleetUpdated(update, make_version(1, 96)), NOW_S + 0.4)
    late = make_fleet(make_version(1, 97), make_member("a"))
    node.read(late, NOW_S + 1.0)
    assert node.board.restored is late
    node.hear_promise(NOW_S + 1.2)
    (again,) = node.updates(NOW_S + 1.3)
    assert set(again.fleet.members_by_id) == {"a", "b"}


def test_no_term_begins_and_nobody_is_removed_before_the_state_is_settled():
    node = Restored()
    board = node.board
    promotion = PromotionController(board, NOW_S - 50)
    board.server_view("p").record_request(NOW_S - 5)
    for step in range(40):
        now_s = NOW_S + step * 0.1
        board.fleet_confirmed_at_s = now_s
        board.server_view("r").answered_at_s = now_s
        promotion.tick(now_s)
        node.registration.tick(now_s)
    assert not node.taken(UpdateFleet)


def test_a_started_process_joins_and_waits():
    node = Restored(knows=False)
    node.registration.on_platform_read(NOW_S)
    (join,) = node.taken(UpdateFleet)
    assert not join.fleet.is_settled
    node.registration.on_updated(FleetUpdated(join, make_version(1, 96)), NOW_S + 0.1)
    later_s = NOW_S + SETTLE_WITHOUT_ALL_AFTER_S + 0.1
    node.restore.tick(later_s)
    assert not node.board.effects
    limit_s = OUTAGE_LIMIT_S * 1.06
    node.restore.tick(NOW_S + limit_s - 0.1)
    assert not node.board.effects
    node.restore.tick(NOW_S + limit_s + 0.1)
    assert node.taken(ReadServerStatus)


def test_a_fleet_that_started_anew_settles_without_the_long_wait():
    node = Restored(knows=False)
    node.registration.on_platform_read(NOW_S)
    (join,) = node.taken(UpdateFleet)
    joined = replace(join.fleet.members_by_id["a"], node_id="b", incarnation="b-2")
    members = {**join.fleet.members_by_id, "b": joined}
    node.read(
        replace(join.fleet, version=make_version(1, 97), members_by_id=members),
        NOW_S + 0.2,
    )
    due_s = NOW_S + SETTLE_WITHOUT_ALL_AFTER_S + 0.1
    node.restore.tick(due_s)
    assert node.taken(ReadServerStatus)
    node.answer(p=LEADS, r=FOLLOWS)
    (update,) = node.updates(due_s + 0.1)
    assert update.fleet.terms_by_group["g"].primary == "p"
    assert update.fleet.era == 1


def test_a_copy_of_before_the_fleet_object_is_settled_from_memory():
    node = Restored()
    node.read(Fleet(make_version(2, 0), era=0), NOW_S + 1.0)
    node.hear_promise(NOW_S + 1.2)
    (update,) = node.updates(NOW_S + 1.3)
    assert update.expected_version == make_version(2, 0)
    assert set(update.fleet.members_by_id) == {"a", "b"}


def test_a_new_object_in_a_later_era_begins_with_terms_of_that_era():
    board = Blackboard("a", "a-1", "a", "a", "", random.Random(1))
    registration = RegistrationController(board)
    beats = HeartbeatController(board)
    beats.on_platform_read(PlatformRead(1.0, Fleet(), Inventory(), VmList(), 3), 1.0)
    registration.on_platform_read(1.0)
    (update,) = board.effects
    assert update.fleet.era == 3 and update.fleet.next_term > 2
