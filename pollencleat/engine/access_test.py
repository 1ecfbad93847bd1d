import random

import pytest

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Freshness, Route
from pollencleat.core.errors import (
    BackendError,
    BackendFullError,
    BackendUnreachableError,
)
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.session import SessionState
from pollencleat.reports.metrics import Metrics
from pollencleat.routing.placement import Target


@pytest.mark.parametrize(
    ("error", "is_unanswered"),
    [(BackendFullError("no room"), False), (BackendError("?"), True)],
)
async def test_server_that_declines_a_connection_counts_as_answering(
    error, is_unanswered
):
    """Regression (grown Volta, scale-2): a server that refused connections beyond its
    limit seemed unresponsive to 36 nodes, which failed over to another one."""
    now_s = 10.0
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    access = ServerAccess(board, Metrics("n"), lambda: now_s, lambda server: None)

    async def fail():
        raise error

    with pytest.raises(BackendError):
        await access.open_tracked("p", fail())
    now_s = 12.0
    assert (board.server_view("p").unanswered_for_s(now_s) > 0) is is_unanswered


async def test_server_that_left_meanwhile_is_unreachable_for_a_started_statement():
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    access = ServerAccess(board, Metrics("n"), lambda: 10.0, lambda server: None)
    route = Route("db", "g", Freshness.PRIMARY, 0, 1000, 60_000, 1)
    session = SessionState("db", "account")
    target = Target("gone", None, None)
    assert not access.uses_gateways("gone")
    with pytest.raises(BackendUnreachableError):
        await access.borrow(target, route, session, True)
    with pytest.raises(BackendUnreachableError):
        access.make_connection_request(target, route, session, True)
