import dataclasses
import random

import pytest

from pollencleat.backend.pool import ServerPool
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Fleet,
    Freshness,
    GroupTerm,
    Inventory,
    Member,
    Route,
)
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


class IdleConnection:
    """A connection that is open until it is closed."""

    is_usable = True
    has_open_transaction = False

    def close(self):
        self.is_usable = False


@pytest.mark.parametrize(
    ("changes", "keeps_connection"),
    [
        ({"connections": 20}, True),
        ({"slots": 8}, True),
        ({"port": 2}, False),
        ({"born_ms": 5}, False),
    ],
)
async def test_changed_limits_of_a_server_break_no_connection_in_use(
    changes, keeps_connection
):
    """Guards against breaking off requests when a configuration changes a limit."""
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    server = BackendServer("s", "g", "h", 1, "a", 4, 40)

    async def open_connection():
        return IdleConnection()

    access = ServerAccess(
        board,
        Metrics("n"),
        lambda: 10.0,
        lambda item: ServerPool(item, open_connection, lambda: 10.0),
    )
    member = Member("n", "n-1", "a", "", "", 0, True)
    board.fleet = Fleet(1, {"n": member}, {}, {"g": GroupTerm("g", 1, "s")})

    def declare(version, declared):
        board.inventory = Inventory(
            version=version,
            groups_by_id={"g": DatabaseGroup("g", "g", (), ("s",), 1)},
            servers_by_id={"s": declared},
        )
        access.follow_board(True)

    declare(1, server)
    pool = access.pools.pools_by_server["s"]
    pool.allow(10)
    lease = await pool.borrow("c", 10, 20.0, 0)
    changed = dataclasses.replace(server, **changes)
    declare(2, changed)
    assert lease.connection.is_usable is keeps_connection
    assert access.pools.pools_by_server["s"].server == changed
    assert (access.pools.pools_by_server["s"] is pool) is keeps_connection
