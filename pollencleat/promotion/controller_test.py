import random
from dataclasses import replace

import pytest

from pollencleat.core.blackboard import Blackboard, PeerView
from pollencleat.core.constants import PRIMARY_TIMEOUT_S
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Fleet,
    GroupTerm,
    Inventory,
    Member,
    Position,
    Promotion,
    RemovedMember,
    ServerLog,
    ServerStatus,
    TermStart,
)
from pollencleat.core.effects import (
    FenceServer,
    FleetUpdated,
    FollowPrimary,
    HoldServer,
    PromoteServer,
    ReadServerStatus,
    ServerPromoted,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.index import rank_members
from pollencleat.core.messages import Sighting, StopWrites, WritesStopped
from pollencleat.promotion.attempt import REMOVED_PERMIT_EXPIRY_S, Phase
from pollencleat.promotion.controller import PromotionController
from pollencleat.promotion.detection import (
    PEER_ANSWER_TIMEOUT_S,
    START_RANK_DELAY_S,
    UNDELAYED_ASKERS,
    WARM_UP_S,
)
from pollencleat.promotion.steering import PUBLISH_PURPOSE
from pollencleat.promotion.suspicion import make_sighting
from pollencleat.routing.freshness import record_status_failure


def make_board():
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    servers = {name: BackendServer(name, "g", "h", 1, "a", 4, 20) for name in "pr"}
    group = DatabaseGroup("g", "g", (), ("p", "r"), 1)
    board.inventory = Inventory(1, groups_by_id={"g": group}, servers_by_id=servers)
    member = Member("n", "n-1", "a", "", "", 0, True)
    board.fleet = Fleet(1, {"n": member}, {}, {"g": GroupTerm("g", 1, "p")})
    return board


def run(controller, board, times_s, is_fresh):
    for now_s in times_s:
        if is_fresh:
            board.fleet_confirmed_at_s = now_s
        board.server_view("r").answered_at_s = now_s
        controller.tick(now_s)
    return [item for item in board.effects if isinstance(item, UpdateFleet)]


def steps(begin_s, end_s):
    return [begin_s + 0.05 * count for count in range(int((end_s - begin_s) * 20))]


def test_timeouts_during_a_network_cut_do_not_cause_a_replacement():
    """Regression (trouble-2): a healthy primary was replaced 0.1 s after a network cut
    of the node had ended."""
    board = make_board()
    controller = PromotionController(board, 0.0)
    view = board.server_view("p")
    view.record_request(5.0)
    view.record_request_ended(5.0, True)
    run(controller, board, steps(5.0, 6.0), True)
    assert run(controller, board, steps(6.05, 7.0), False) == []
    view.record_request(7.0)
    assert run(controller, board, steps(7.0, 11.0), False) == []
    assert run(controller, board, steps(11.0, 11.9), True) == []
    view.record_request_ended(11.9, True)
    assert run(controller, board, steps(11.9, 14.0), True) == []


@pytest.mark.parametrize("hears", [True, False])
def test_a_loss_during_an_outage_of_the_store_is_known_when_it_returns(hears):
    """Load pattern (Volta, trouble-3): a primary was lost while the store was away; its
    replacement began 1.4 s after the store was back.  A node that hears another failure
    domain was not the one that was cut off."""
    board = make_board()
    other = Member("m", "m-1", "b", "", "", 1, True)
    members = {**board.fleet.members_by_id, "m": other}
    board.fleet = replace(board.fleet, members_by_id=members)
    peer = board.peers_by_id.setdefault("m", PeerView("m-1"))
    controller = PromotionController(board, 0.0)
    board.server_view("p").record_request(7.0)

    def run_on(begin_s, end_s, is_fresh):
        for now_s in steps(begin_s, end_s):
            if hears:
                peer.last_heartbeat_at_s = now_s
            updates = run(controller, board, [now_s], is_fresh)
            if updates:
                return now_s
        return None

    assert run_on(5.0, 6.0, True) is None
    assert run_on(6.0, 11.0, False) is None
    started_at_s = run_on(11.0, 14.0, True)
    assert (started_at_s < 11.5) is hears


def test_suspicions_from_a_network_cut_are_dropped_while_a_start_is_pending():
    """Regression (scale-1): while the answer to a start was missing, a node that was
    cut off kept its suspicions and replaced healthy primaries right after the cut."""
    board = make_board()
    controller = PromotionController(board, 0.0)
    view = board.server_view("p")
    view.record_request(5.0)
    starts = run(controller, board, steps(5.0, 6.5), True)
    assert len(starts) == 1
    board.effects.clear()
    assert run(controller, board, steps(6.5, 11.0), False) == []
    controller.on_updated(FleetUpdated(starts[0], None), 11.0)
    board.fleet = replace(board.fleet, version=2)
    assert run(controller, board, steps(11.0, 11.5), True) == []
    view.record_request_ended(11.5, True)
    assert run(controller, board, steps(11.5, 14.0), True) == []


def test_promoter_waits_for_a_removed_process_only_until_its_permit_has_expired():
    """Regression (trouble-2): after a power loss of all nodes, the promoter waited one
    permit duration longer than any of the dead processes could have held a permit."""
    board = make_board()
    fleet = replace(
        board.fleet,
        version=2,
        members_by_id=board.fleet.members_by_id,
        removed_by_incarnation={"old": RemovedMember("o", "old", False, 2)},
    )
    board.adopt_fleet(fleet, 10.0)
    term = GroupTerm("g", 2, "", Promotion("n-1/1", "n", "n-1", "p", False, ""))
    board.adopt_fleet(replace(fleet, version=3, terms_by_group={"g": term}), 11.0)
    controller = PromotionController(board, 0.0)

    def is_choosing(now_s):
        controller.tick(now_s)
        return controller.attempts_by_group["g"].phase is Phase.CHOOSING

    assert not is_choosing(11.0)
    assert not is_choosing(10.0 + REMOVED_PERMIT_EXPIRY_S - 0.05)
    assert is_choosing(10.0 + REMOVED_PERMIT_EXPIRY_S + 0.05)


def begin_attempt_of(cause, log_term=7):
    """Return a board and a controller whose attempt waits for member m to confirm."""
    board = make_board()
    other = Member("m", "m-1", "a", "", "", 1, True)
    promotion = Promotion("n-1/1", "n", "n-1", "p", False, cause)
    fleet = replace(
        board.fleet,
        version=2,
        members_by_id={**board.fleet.members_by_id, "m": other},
        terms_by_group={"g": GroupTerm("g", 4, "", promotion, (), log_term)},
    )
    board.adopt_fleet(fleet, 10.0)
    controller = PromotionController(board, 0.0)
    controller.tick(10.0)
    return board, controller


def deliver_status(controller, read_only, term=7):
    status = ServerStatus(term, 5, 5, term, read_only, None)
    controller.on_status_read(ServerStatusRead("n-1/1", "p", status), 10.1)


def kinds_of(board):
    return [type(effect) for effect in board.effects]


def test_promotion_is_withdrawn_when_the_old_primary_still_leads():
    """Regression (trouble-2): a primary that answered again 0.1 s after the start of
    its replacement was replaced nevertheless; writes were unavailable for 1.7 s."""
    board, controller = begin_attempt_of("primary lost")
    assert FenceServer not in kinds_of(board)
    deliver_status(controller, read_only=False)
    change = board.effects[-1].fleet.terms_by_group["g"]
    assert (change.primary, change.promotion) == ("p", None)
    assert (change.term, change.log_term) == (4, 7)
    assert PromoteServer not in kinds_of(board)


def test_promotion_goes_on_when_the_old_primary_no_longer_leads():
    for read_only, term in ((True, 7), (False, 8)):
        board, controller = begin_attempt_of("primary lost")
        deliver_status(controller, read_only, term)
        assert UpdateFleet not in kinds_of(board)
        confirmed = WritesStopped("m", "m-1", "n-1/1")
        controller.on_writes_stopped(confirmed, 10.2)
        assert FenceServer in kinds_of(board)


def test_attempt_that_follows_another_is_not_withdrawn():
    """An order of the earlier attempt may still reach a server."""
    board, controller = begin_attempt_of("promotion taken over")
    assert FenceServer in kinds_of(board)
    deliver_status(controller, read_only=False)
    assert UpdateFleet not in kinds_of(board)


def measure_start_delay(answering):
    """Return the seconds from the suspicion to the start.

    Args:
        answering: Peers that answer sighting requests.
    """
    board = make_board()
    names = [f"m{number}" for number in range(5)]
    members = {name: Member(name, f"{name}-1", "b", "", "", 1, True) for name in names}
    members["n"] = board.fleet.members_by_id["n"]
    board.fleet = replace(board.fleet, members_by_id=members)
    controller = PromotionController(board, 0.0)
    board.server_view("p").record_request(5.0)
    run(controller, board, steps(5.0, 5.0 + PRIMARY_TIMEOUT_S + 0.15), True)
    suspected_at_s = controller.suspects_by_group["g"].suspected_at_s
    for now_s in steps(suspected_at_s, suspected_at_s + 4.0):
        for name in answering:
            controller.on_sighting(Sighting(name, "p", 3.0, False), now_s)
        if run(controller, board, [now_s], True):
            return now_s - suspected_at_s
    raise AssertionError("no promotion of group g was started within 4 s")


def test_candidate_does_not_wait_for_higher_ranked_nodes_that_do_not_answer():
    """Regression (exportloket scale-2): nodes of a failure domain that was cut off
    ranked first, and the other nodes waited for them until the cut had ended."""
    rank = rank_of("n")
    assert rank > 0
    assert measure_start_delay([]) <= PEER_ANSWER_TIMEOUT_S + 0.1
    everybody = [f"m{number}" for number in range(5)]
    assert measure_start_delay(everybody) >= rank * START_RANK_DELAY_S


def rank_of(node_id):
    names = [*(f"m{number}" for number in range(5)), "n"]
    members = [Member(name, f"{name}-1", "b", "", "", 1, True) for name in names]
    return [member.node_id for member in rank_members("g", members)].index(node_id)


def test_primary_that_stays_unresponsive_is_replaced_after_the_cut():
    board = make_board()
    controller = PromotionController(board, 0.0)
    view = board.server_view("p")
    view.record_request(7.0)
    assert run(controller, board, steps(7.0, 11.0), False) == []
    assert run(controller, board, steps(11.0, 11.0 + WARM_UP_S + 0.5), True)


def make_published(now_s):
    """Return a board and a controller; a request to the new primary is still open."""
    board = make_board()
    board.server_view("p").record_request(now_s - 3.0)
    terms = {"g": GroupTerm("g", 2, "p")}
    board.adopt_fleet(replace(board.fleet, version=2, terms_by_group=terms), now_s)
    return board, PromotionController(board, 0.0)


def test_timeout_from_before_a_primary_was_published_does_not_count():
    """Regression (grown Volta, scale-2): connections that every node had opened to all
    candidates were not answered in time, and each primary was suspected at the moment
    it was published."""
    board, controller = make_published(10.0)
    starts = run(controller, board, steps(10.0, 10.0 + PRIMARY_TIMEOUT_S - 0.1), True)
    assert not starts and not controller.suspects_by_group
    assert run(controller, board, steps(10.7, 13.0), True)


def test_refusal_from_before_a_primary_was_published_does_not_count():
    board, controller = make_published(10.0)
    view = board.server_view("p")
    view.record_request_ended(9.0, True)
    record_status_failure(board, "p", True, 9.5)
    assert not run(controller, board, steps(10.0, 12.0), True)
    record_status_failure(board, "p", True, 12.0)
    assert run(controller, board, steps(12.0, 14.0), True)


def test_statement_answers_are_reported_in_sightings():
    """Regression (grown Volta, scale-2): only nodes that had probed a server reported
    it as seen; nodes whose statements it had answered did not."""
    board = make_board()
    view = board.server_view("p")
    assert make_sighting(board, "p", 10.0).age_s is None
    view.record_request(9.5)
    view.record_request_ended(9.6, True)
    assert make_sighting(board, "p", 10.0).age_s == pytest.approx(0.4)


def test_promote_order_is_not_repeated_until_its_result_is_known():
    """Regression (grown Volta, scale-2): a promote order that took longer than 1.5 s
    was sent again, and both were answered."""
    board, controller = begin_attempt_of("primary lost")
    controller.on_writes_stopped(WritesStopped("m", "m-1", "n-1/1"), 10.2)
    status = ServerStatus(7, 5, 5, 7, True, None)

    def advance_until(end_s):
        now_s = controller.attempts_by_group["g"].phase_started_at_s
        while now_s < end_s:
            now_s += 0.05
            board.fleet_confirmed_at_s = now_s
            controller.tick(now_s)
            controller.on_status_read(ServerStatusRead("n-1/1", "r", status), now_s)
        return kinds_of(board).count(PromoteServer)

    assert advance_until(16.0) == 1
    controller.on_promoted(ServerPromoted("n-1/1", "r", None), 16.0)
    assert advance_until(17.0) == 2


@pytest.mark.parametrize("is_platform_read", [True, False])
def test_refused_orders_are_not_repeated_without_pause(is_platform_read):
    """Regression (grown Volta, trouble-1): a node without platform access held its
    servers and sent a promote order every 14 ms for 7 s; all of them were refused."""
    board, controller = begin_attempt_of("primary lost")
    controller.on_writes_stopped(WritesStopped("m", "m-1", "n-1/1"), 10.2)
    status = ServerStatus(7, 5, 5, 7, True, None)
    now_s = controller.attempts_by_group["g"].phase_started_at_s
    orders = []
    while now_s < 15.0:
        now_s += 0.01
        if is_platform_read:
            board.fleet_confirmed_at_s = now_s
        controller.tick(now_s)
        effects, board.effects = board.effects, []
        orders += [type(effect) for effect in effects]
        for effect in effects:
            if isinstance(effect, HoldServer | ReadServerStatus):
                read = ServerStatusRead("n-1/1", effect.server_id, status)
                controller.on_status_read(read, now_s)
            if isinstance(effect, PromoteServer):
                refused = ServerPromoted("n-1/1", effect.server_id, None)
                controller.on_promoted(refused, now_s)
    # At most ten queries a second to each of two servers, and no promote order without
    # a recent platform read.
    assert len(orders) <= 4.8 * 10 * 3 + 3
    assert (PromoteServer in orders) == is_platform_read


def test_promoter_without_a_recent_read_orders_no_replica_before_publishing():
    """Regression (grown Volta, trouble-1, and a scenario of the operators' tests): a
    promoter without platform access continued to send follow orders, concurrently with
    the node that had taken its attempt over."""
    board, controller = begin_attempt_of("primary lost")
    controller.on_writes_stopped(WritesStopped("m", "m-1", "n-1/1"), 10.2)
    status = ServerStatus(7, 5, 5, 7, True, None)
    now_s = controller.attempts_by_group["g"].phase_started_at_s
    board.fleet_confirmed_at_s = now_s
    while PromoteServer not in kinds_of(board):
        now_s += 0.05
        controller.tick(now_s)
        for server_id in ("p", "r"):
            read = ServerStatusRead("n-1/1", server_id, status)
            controller.on_status_read(read, now_s)
    now_s += 3.0
    started = ServerPromoted("n-1/1", "r", TermStart(8, 5))
    controller.on_promoted(started, now_s)
    for _ in range(100):
        now_s += 0.1
        controller.tick(now_s)
        for effect in [item for item in board.effects if is_publication(item)]:
            board.effects.remove(effect)
            controller.on_updated(FleetUpdated(effect, None), now_s)
    assert FollowPrimary not in kinds_of(board)
    controller.tick(now_s + 0.1)
    effect = next(item for item in board.effects if is_publication(item))
    controller.on_updated(FleetUpdated(effect, 9), now_s + 0.2)
    assert FollowPrimary in kinds_of(board)


def is_publication(effect):
    return isinstance(effect, UpdateFleet) and effect.purpose == PUBLISH_PURPOSE


def test_stop_writes_is_resent_with_backoff():
    """Load pattern (grown Volta, trouble-1): the fleet state was sent to 35 members ten
    times a second over a link of 5 Mbit/s, which delayed heartbeats and orders."""
    board, controller = begin_attempt_of("primary lost")
    board.outbox.clear()
    now_s = controller.attempts_by_group["g"].phase_started_at_s
    for _ in range(300):
        now_s += 0.01
        controller.tick(now_s)
    stop_messages = [
        item for item in board.outbox if isinstance(item.message, StopWrites)
    ]
    assert 4 <= len(stop_messages) <= 7


def test_member_that_did_not_confirm_in_time_is_still_asked_while_a_choice_waits():
    """A choice that needed its report waited until the attempt was taken over."""
    board, controller = begin_attempt_of("primary lost")
    attempt = controller.attempts_by_group["g"]
    now_s = attempt.stop_deadline_s + 0.1
    controller.tick(now_s)
    assert attempt.phase is Phase.CHOOSING and attempt.unconfirmed_incarnations
    board.outbox.clear()
    for _ in range(20):
        now_s += 0.1
        controller.tick(now_s)
    assert any(isinstance(item.message, StopWrites) for item in board.outbox)
    controller.on_writes_stopped(WritesStopped("m", "m-1", "n-1/1"), now_s)
    board.outbox.clear()
    for _ in range(20):
        now_s += 0.1
        controller.tick(now_s)
    assert not any(isinstance(item.message, StopWrites) for item in board.outbox)


def test_old_primary_leads_again_if_no_successor_has_every_acknowledged_commit():
    """A planned change waited for a replica that it had stopped from receiving."""
    board, controller = begin_attempt_of("primary is leaving")
    attempt = controller.attempts_by_group["g"]
    attempt.promotion = replace(attempt.promotion, planned=True)
    board.fleet.terms_by_group["g"] = replace(
        board.fleet.terms_by_group["g"], promotion=attempt.promotion
    )
    board.departed_logs_by_group["g"] = {ServerLog("s", 1): 9.0}
    controller.on_writes_stopped(WritesStopped("m", "m-1", "n-1/1"), 10.2)
    statuses = {"p": 9, "r": 8}
    now_s = 10.2
    while now_s < 13.0:
        now_s += 0.05
        board.fleet_confirmed_at_s = now_s
        controller.tick(now_s)
        for server_id, number in statuses.items():
            status = ServerStatus(7, number, number, 7, True, None, 7)
            read = ServerStatusRead("n-1/1", server_id, status)
            controller.on_status_read(read, now_s)
    orders = [item for item in board.effects if isinstance(item, PromoteServer)]
    assert [order.server_id for order in orders] == ["p"]


def test_server_that_was_never_queried_is_not_suspected():
    """Regression (grown Volta, quiet-1): nodes that are not gateways send no requests
    to servers, and suspected every primary as lost."""
    board = make_board()
    board.tracks_all_requests = True
    controller = PromotionController(board, 0.0)
    assert not run(controller, board, steps(5.0, 9.0), True)
    assert not controller.suspects_by_group


def test_few_of_many_nodes_ask_all_others_about_a_dead_primary():
    """Load pattern: 36 nodes suspect the same primary at the same moment; if each asked
    all others ten times a second, they would send 12,600 requests a second."""
    names = [f"m{number:02}" for number in range(36)]
    members = {name: Member(name, f"{name}-1", "b", "", "", 1, True) for name in names}
    asking_nodes = 0
    for name in names:
        board = make_board()
        board.node_id, board.incarnation = name, f"{name}-1"
        board.fleet = replace(board.fleet, members_by_id=members)
        controller = PromotionController(board, 0.0)
        board.server_view("p").record_request(5.0)
        run(
            controller,
            board,
            steps(5.0, 5.0 + PRIMARY_TIMEOUT_S + PEER_ANSWER_TIMEOUT_S),
            True,
        )
        asking_nodes += bool(board.outbox)
    assert 1 <= asking_nodes <= UNDELAYED_ASKERS


def test_withdrawn_replacement_is_not_restarted_for_the_same_timeout():
    """Regression (a soak with nine entry VMs): a node whose request was unanswered for
    31 s started a replacement every 1.2 s, and withdrew each when the primary
    answered."""
    board, controller = begin_attempt_of("primary lost")
    board.server_view("p").record_request(2.0)
    board.server_view("p").record_request_ended(2.0, False)
    deliver_status(controller, read_only=False)
    update = board.effects[-1]
    board.effects.clear()
    controller.on_updated(FleetUpdated(update, 3), 10.2)
    assert not run(controller, board, steps(10.2, 14.0), True)


def make_board_with_leaving_primary():
    """Return a board whose primary leaves and began its term at position 7."""
    board = make_board()
    history = (TermStart(1, 0), TermStart(2, 7))
    term = GroupTerm("g", 2, "p", history=history)
    board.fleet = replace(board.fleet, terms_by_group={"g": term})
    board.vms = replace(board.vms, leaving=("p",))
    board.tracks_all_requests = True
    return board


def test_leaving_primary_leads_until_another_server_has_the_start_of_its_term():
    """Guards against the loss of commits that only a leaving primary has."""
    board = make_board_with_leaving_primary()
    controller = PromotionController(board, 0.0)
    view = board.server_view("r")
    view.applied = Position(1, 6)
    assert run(controller, board, steps(5.0, 7.0), True) == []
    assert board.statuses_wanted == {"r"}
    view.applied = Position(2, 8)
    assert run(controller, board, steps(7.0, 7.2), True)


def test_leaving_primary_is_not_replaced_by_a_server_that_does_not_answer():
    """Regression: a crashed primary's last known position began planned changes."""
    board = make_board_with_leaving_primary()
    view = board.server_view("r")
    view.applied = Position(2, 8)
    view.record_request(1.0)
    controller = PromotionController(board, 0.0)
    assert run(controller, board, steps(5.0, 7.0), True) == []


def test_leaving_primary_is_not_replaced_by_a_server_that_leaves_too():
    board = make_board_with_leaving_primary()
    board.vms = replace(board.vms, leaving=("p", "r"))
    board.server_view("r").applied = Position(2, 8)
    controller = PromotionController(board, 0.0)
    assert run(controller, board, steps(5.0, 7.0), True) == []


def test_leaving_primary_that_is_gone_is_replaced():
    board = make_board_with_leaving_primary()
    servers = {"r": board.inventory.servers_by_id["r"]}
    board.inventory = replace(board.inventory, servers_by_id=servers)
    controller = PromotionController(board, 0.0)
    assert run(controller, board, steps(5.0, 7.0), True)


def test_leaving_primary_that_crashes_is_lost():
    """A leaving primary that does not answer must not wait for a successor that it can
    no longer send its log to."""
    board = make_board_with_leaving_primary()
    board.server_view("r").applied = Position(1, 6)
    controller = PromotionController(board, 0.0)
    assert run(controller, board, steps(5.0, 7.0), True) == []
    board.server_view("p").record_request(7.0)
    assert run(controller, board, steps(7.0, 12.0), True)


def test_leaving_primary_that_refuses_connections_is_lost():
    board = make_board_with_leaving_primary()
    board.server_view("r").applied = Position(1, 6)
    controller = PromotionController(board, 0.0)
    assert run(controller, board, steps(5.0, 7.0), True) == []
    record_status_failure(board, "p", True, 7.0)
    assert run(controller, board, steps(7.0, 12.0), True)


def test_position_of_a_server_from_before_it_crashed_begins_no_planned_change():
    """Regression (release-deaf2, seed 1, 46.16 s): a node that had asked the crashed
    former primary nothing since the crash replaced the leaving primary by itself."""
    board = make_board_with_leaving_primary()
    view = board.server_view("r")
    view.applied = Position(2, 8)
    view.record_request(0.9)
    view.record_request_ended(1.0, True)
    board.vms = replace(board.vms, servers_by_id=board.inventory.servers_by_id)
    controller = PromotionController(board, 0.0)
    for now_s in steps(5.0, 7.0):
        board.fleet_confirmed_at_s = now_s
        controller.tick(now_s)
    assert not [item for item in board.effects if isinstance(item, UpdateFleet)]


def test_leaving_primary_past_its_limit_is_replaced_by_another_leaving_server():
    """A primary that gets no more statements is of no use; one that leaves later is."""
    board = make_board_with_leaving_primary()
    board.leaving_limit_s = 6.0
    board.leaving_since_by_server = {"p": 5.0, "r": 10.0}
    board.vms = replace(board.vms, leaving=("p", "r"))
    board.server_view("r").applied = Position(2, 8)
    controller = PromotionController(board, 0.0)
    assert run(controller, board, steps(5.0, 10.0), True) == []
    assert run(controller, board, steps(11.0, 14.0), True)
