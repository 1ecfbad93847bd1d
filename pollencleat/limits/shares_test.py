import math
import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, Fleet, Inventory, Member, Rules
from pollencleat.limits.gateways import GENERATIONS, MIN_OWN_SHARE
from pollencleat.limits.shares import (
    INVENTORY_PROPAGATION_S,
    connections_allowed,
    reserved_connections,
    running_limit,
    usable_share,
)


@given(
    st.integers(1, 40),
    st.integers(1, 12),
    st.lists(st.integers(-1, 14), unique=True, max_size=14),
)
def test_shares_of_all_seats_stay_within_the_declared_connections(
    connections, seats, occupied
):
    server = BackendServer("s", "g", "h", 1, "d", 1, connections)
    members = {
        f"n{seat}": Member(f"n{seat}", f"i{seat}", "d", "", "", seat, True)
        for seat in occupied
    }
    total = 0
    for member in members.values():
        board = Blackboard(
            member.node_id, member.incarnation, "d", "", "", random.Random(1)
        )
        board.adopt_fleet(Fleet(1, members), 0.0)
        board.adopt_inventory(
            Inventory(
                1, servers_by_id={"s": server}, rules=replace(Rules(), seats=seats)
            )
        )
        total += connections_allowed(board, "s")
    assert total <= connections


@given(st.integers(0, 30), st.integers(0, 30), st.floats(0, 10))
def test_share_shrinks_at_once_and_grows_when_the_change_is_in_force(
    held, allowed, known_for_s
):
    share = usable_share(held, allowed, known_for_s)
    if allowed <= held or known_for_s >= INVENTORY_PROPAGATION_S:
        assert share == allowed
    else:
        assert share == held
    assert usable_share(held, allowed, math.inf) == allowed


def test_no_connection_is_reserved_if_gateways_hold_the_connections():
    """With 60 connections, each of 25 entry VMs would own two.  Gateways lease out
    all of theirs, since enough unassigned connections remain for orders."""
    board = make_board_with_seats(connections=60, seats=26)
    assert connections_allowed(board, "s") > MIN_OWN_SHARE
    assert connections_allowed(board, "s") <= 60 // GENERATIONS
    assert reserved_connections(board, "s") == 0
    owner_board = make_board_with_seats(connections=34, seats=5)
    assert connections_allowed(owner_board, "s") == 6
    assert reserved_connections(owner_board, "s") == 1


def test_gateways_send_a_server_little_more_than_its_slots_can_run():
    """Load pattern (grown Volta, trouble-3): six gateways with four connections each
    had up to 24 statements at a primary with 3 slots, which waited there in the order
    of arrival, urgent ones among them."""
    board = make_board_with_seats(connections=60, seats=26)
    assert running_limit(board, "s") == 2 * 6
    assert running_limit(make_board_with_seats(34, 5), "s") is None


def make_board_with_seats(connections, seats):
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    server = BackendServer("s", "g", "h", 1, "a", 6, connections)
    board.inventory = Inventory(
        1, servers_by_id={"s": server}, rules=replace(Rules(), seats=0)
    )
    member = Member("n", "n-1", "a", "", "", 0, True)
    board.fleet = Fleet(1, {"n": member}, seats=seats)
    return board
