import random

import pytest

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import (
    HEARTBEAT_INTERVAL_S,
    MAX_CLOCK_DRIFT,
    PLATFORM_PERMIT_S,
    PLATFORM_READ_INTERVAL_S,
)
from pollencleat.core.data import BackendServer, Fleet, Inventory, Member
from pollencleat.daemon.readiness import (
    OUT_OF_ROTATION_AFTER_S,
    PERMIT_MARGIN_S,
    RotationWatch,
    is_ready,
)

PERMIT_S = PLATFORM_PERMIT_S * (1 - MAX_CLOCK_DRIFT)


def make_board(confirmed_at_s):
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    servers = {"s": BackendServer("s", "g", "h", 1, "a", 4, 20)}
    board.inventory = Inventory(1, servers_by_id=servers)
    members = {
        name: Member(name, f"{name}-1", "a", "", "", 0, True) for name in ("n", "m")
    }
    board.fleet = Fleet(1, members)
    board.fleet_confirmed_at_s = confirmed_at_s
    return board


def test_a_node_is_unready_before_it_can_no_longer_write():
    """Load pattern (Volta, trouble-3): a node that was cut off failed 952 statements
    while its callers could have been sent to other nodes."""
    board = make_board(100.0)
    assert is_ready(board, 100.0 + PERMIT_S - PERMIT_MARGIN_S - 0.01)
    assert not is_ready(board, 100.0 + PERMIT_S - PERMIT_MARGIN_S + 0.01)


def test_a_permit_is_renewed_before_the_node_becomes_unready():
    """A member that is no relay learns of a read with the next heartbeat."""
    oldest_s = PLATFORM_READ_INTERVAL_S + HEARTBEAT_INTERVAL_S + 0.1
    assert is_ready(make_board(100.0), 100.0 + oldest_s)


@pytest.mark.parametrize("checks", [0, 1, 2])
def test_sessions_move_as_soon_as_the_platform_has_seen_two_failed_checks(checks):
    watch = RotationWatch()
    watch.update(True, 90.0)
    assert watch.update(False, 100.0) and not watch.update(False, 100.1)
    for _ in range(checks):
        watch.record_check(False)
    assert watch.is_out_of_rotation(101.1) is (checks == 2)
    assert watch.is_out_of_rotation(100.0 + OUT_OF_ROTATION_AFTER_S)


def test_a_check_that_succeeds_begins_the_count_anew():
    watch = RotationWatch()
    watch.update(True, 90.0)
    watch.record_check(False)
    watch.record_check(True)
    watch.update(False, 100.0)
    watch.record_check(False)
    assert not watch.is_out_of_rotation(100.5)
