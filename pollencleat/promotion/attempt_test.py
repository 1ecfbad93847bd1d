import random

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    BackendServer,
    GroupTerm,
    Inventory,
    Position,
    Promotion,
    ServerStatus,
)
from pollencleat.promotion.attempt import begin_attempt
from pollencleat.routing.freshness import record_status
from pollencleat.routing.replica_positions import ReplicaPositionController


def begin(board):
    promotion = Promotion("a/1", "n", "n-1", "old", False, "lost")
    return begin_attempt(board, GroupTerm("g", 2, "", promotion), 10.0)


def make_status(position):
    return ServerStatus(3, position, position, 3, True, None)


def test_lower_report_before_an_attempt_does_not_hide_what_a_server_had():
    """A server that started again answered with the part of its log that it had."""
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    servers = {"r1": BackendServer("r1", "g", "h", 1, "a", 4, 20, born_ms=1)}
    board.inventory = Inventory(version=1, servers_by_id=servers)
    record_status(board, "r1", make_status(9), 1.0, 1.0)
    record_status(board, "r1", make_status(3), 2.0, 2.0)
    assert begin(board).known_log_end_by_server == {"r1": Position(3, 9)}
    controller = ReplicaPositionController(board, lambda server_id: None)
    view = board.server_view("r1")
    view.applied = Position(3, 12)
    controller.tick(3.0)
    view.applied = Position(3, 4)
    assert begin(board).known_log_end_by_server == {"r1": Position(3, 12)}
    board.servers_by_id.clear()
    assert begin(board).known_log_end_by_server == {}
