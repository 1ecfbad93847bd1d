import random

import pytest

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Fleet,
    GroupTerm,
    Inventory,
    Member,
)
from pollencleat.membership.directory import ServerDirectory
from pollencleat.routing.placement import choose_primary

SERVER = BackendServer("p", "g", "10.0.0.1", 8001, "a", 4, 20)


def make_board(now_s):
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    board.declared_inventory = Inventory(
        1, groups_by_id={"g": DatabaseGroup("g", "g", (), (), 1)}
    )
    member = Member("n", "n-1", "a", "", "", 0, True)
    board.fleet = Fleet(1, {"n": member}, {}, {"g": GroupTerm("g", 1, "p")})
    board.fleet_confirmed_at_s = now_s
    board.leaving_limit_s = 6.0
    return board


@pytest.mark.parametrize("is_known_before", [True, False])
def test_primary_that_never_finishes_leaving_gets_no_more_statements(is_known_before):
    """Guards against statements at a server whose shutdown is due."""
    now_s = 100.0
    board = make_board(now_s)
    directory = ServerDirectory(board, lambda: now_s)
    if is_known_before:
        directory.update(SERVER, False, 1)
    directory.update(SERVER, True, 2)
    directory.publish(2)
    target = choose_primary(board, "g", (), now_s)
    assert (target is not None) is is_known_before
    now_s += board.leaving_limit_s
    board.fleet_confirmed_at_s = now_s
    assert choose_primary(board, "g", (), now_s) is None
    directory.update(SERVER, False, 3)
    directory.publish(3)
    assert choose_primary(board, "g", (), now_s).server_id == "p"
