import math
import random
from dataclasses import replace

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import REREGISTRATION_GRACE_S
from pollencleat.core.data import BackendServer, VmList
from pollencleat.membership.directory import ServerDirectory

SERVER = BackendServer("old", "g", "10.0.0.1", 8001, "a", 4, 20)


def make_directory(servers):
    clock = {"now": 100.0}
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    directory = ServerDirectory(board, lambda: clock["now"])
    for revision, server in enumerate(servers, start=1):
        directory.update(server, False, revision)
    directory.publish(len(servers))
    return board, directory, clock


def lapsed_of(board, group_id="g"):
    return board.vms.lapsed_by_group.get(group_id, ())


def test_lapsed_server_is_kept_until_it_returns():
    board, directory, _ = make_directory([SERVER])
    directory.remove("old", 2)
    directory.publish(2)
    assert lapsed_of(board) == ("old",)
    directory.update(SERVER, False, 3)
    directory.publish(3)
    assert lapsed_of(board) == ()


def test_lapsed_server_is_discarded_when_its_address_is_reused():
    """Regression (Volta, trouble-1): a promotion waited for a crashed server
    although another server had started at its address 20 s before.  The group had no
    primary for 6 s, with both replicas available."""
    board, directory, _ = make_directory([SERVER])
    directory.remove("old", 2)
    directory.update(replace(SERVER, server_id="new", port=8002), False, 3)
    directory.publish(3)
    assert lapsed_of(board) == ("old",)
    directory.update(replace(SERVER, server_id="other", group_id="h"), False, 4)
    directory.publish(4)
    assert lapsed_of(board) == ()


def test_server_that_announced_leaving_is_not_lapsed():
    board, directory, _ = make_directory([SERVER])
    directory.update(SERVER, True, 2)
    directory.remove("old", 3)
    directory.publish(3)
    assert lapsed_of(board) == ()


def test_entry_missing_after_store_outage_is_removed_after_grace_period():
    board, directory, clock = make_directory([SERVER])
    directory.record_call_result(False)
    directory.remove("old", 2)
    directory.publish(2)
    assert "old" in board.vms.servers_by_id
    directory.record_call_result(True)
    clock["now"] += REREGISTRATION_GRACE_S - 0.1
    directory.record_call_result(True)
    assert "old" in board.vms.servers_by_id
    clock["now"] += 0.2
    directory.record_call_result(True)
    assert "old" not in board.vms.servers_by_id


def test_list_of_a_peer_does_not_make_a_lapsed_server_forgotten():
    """A process started since the server lapsed sent its list of the same revision."""
    board, directory, _ = make_directory([SERVER])
    other = replace(SERVER, server_id="other", port=8002)
    directory.remove("old", 2)
    directory.publish(2)
    board.adopt_vms(VmList(3, None, (), {"other": other}))
    assert lapsed_of(board) == ()
    directory.update(other, False, 3)
    directory.publish(3)
    assert lapsed_of(board) == ("old",)
    assert set(board.vms.servers_by_id) == {"other"}


def test_lapsed_server_that_only_a_peer_knows_is_kept_until_the_list_changes():
    board, directory, _ = make_directory([SERVER])
    board.adopt_vms(VmList(2, None, (), {"old": SERVER}, {"g": ("gone",)}))
    directory.publish(2)
    assert lapsed_of(board) == ("gone",)


def test_list_of_a_process_started_since_keeps_what_this_node_knows_as_lapsed():
    """Regression (Volta, leaving-servers): a crashed primary's log counted as gone for
    good when a restarted node sent its list, and a replica without commits led."""
    board, directory, _ = make_directory([SERVER])
    other = replace(SERVER, server_id="other", port=8002)
    directory.update(other, False, 2)
    directory.publish(2)
    directory.remove("old", 3)
    directory.publish(3)
    board.adopt_vms(VmList(4, None, (), {}), is_from_peer=True)
    assert set(lapsed_of(board)) == {"old", "other"}


def test_server_that_left_by_the_known_list_is_not_lapsed_by_a_list_of_a_peer():
    board, directory, _ = make_directory([SERVER])
    directory.update(SERVER, True, 2)
    directory.publish(2)
    board.adopt_vms(VmList(3, None, (), {}), is_from_peer=True)
    assert lapsed_of(board) == ()


def test_reused_address_discards_a_lapsed_server_that_a_list_of_a_peer_has_kept():
    board, directory, _ = make_directory([SERVER])
    directory.remove("old", 2)
    directory.publish(2)
    other = replace(SERVER, server_id="other")
    board.adopt_vms(VmList(3, None, (), {"other": other}), is_from_peer=True)
    assert lapsed_of(board) == ("old",)
    directory.update(other, False, 3)
    directory.publish(3)
    assert lapsed_of(board) == ()


def test_list_of_servers_is_complete_some_time_after_a_store_outage():
    board, directory, clock = make_directory([SERVER])
    assert board.servers_complete_at_s < clock["now"]
    directory.record_call_result(False)
    assert board.servers_complete_at_s == math.inf
    clock["now"] += 5.0
    directory.record_call_result(True)
    assert board.servers_complete_at_s == clock["now"] + REREGISTRATION_GRACE_S
    directory.record_call_result(True)
    assert board.servers_complete_at_s == clock["now"] + REREGISTRATION_GRACE_S
