"""Which servers are asked for their status, where ordinary answers tell too little.

Ordinary traffic shows for free that a server lives and how far its log is.  A question
costs a slot, so only three kinds of servers are asked: a primary that has been quiet, a
server that owes an answer, and one that is not known to follow the current primary;
besides, sessions ask whether a primary leads when that is in doubt.
"""

import asyncio
from collections.abc import Callable

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.errors import (
    BackendDeclinedError,
    BackendError,
    BackendRefusedError,
)
from pollencleat.core.index import rank_members
from pollencleat.core.ports import ServerOrders
from pollencleat.limits.gateways import is_pooled_at_gateways
from pollencleat.limits.shares import connections_allowed
from pollencleat.routing.freshness import (
    is_primary_status,
    is_replica_status,
    record_silence,
    record_status,
)

QUIET_S = 0.25
"""A server that has owed an answer for this long is asked."""

IDLE_S = 1.0
"""A primary that has had nothing to answer for this long is asked, by one node."""

CONFIRM_S = 0.8
"""Seconds between two questions to a server that is not known to be in line; below
the time for which the steward trusts a status."""

log = structlog.get_logger()


class LivenessController:
    """Asks servers that are quiet, owe an answer or may not follow."""

    def __init__(
        self,
        board: Blackboard,
        orders: ServerOrders,
        doubted_servers: set[str],
        clock: Callable[[], float],
    ) -> None:
        """Ask through a port; doubted servers are asked at the next tick."""
        self._board = board
        self._orders = orders
        self._doubted_servers = doubted_servers
        self._clock = clock
        self._asked_at_s: dict[str, float] = {}
        self._in_line: dict[str, tuple[int, int]] = {}
        self._tasks_by_server: dict[str, asyncio.Task] = {}

    def tick(self) -> None:
        """Ask the servers that are due."""
        now_s = self._clock()
        for group_id, group in self._board.inventory.groups_by_id.items():
            for server_id in group.server_ids:
                if self._is_due(group_id, server_id, now_s):
                    self._ask(server_id, now_s)
        self._doubted_servers.clear()

    def _is_due(self, group_id: str, server_id: str, now_s: float) -> bool:
        if server_id in self._doubted_servers:
            return True
        board = self._board
        view = board.server(server_id)
        asked_ago_s = now_s - self._asked_at_s.get(server_id, -1e9)
        if asked_ago_s < QUIET_S:
            return False
        if view.owes_for_s(now_s) > QUIET_S or view.refused_at_s is not None:
            return self._has_connections(server_id) or self._is_steward(group_id)
        term = board.group_term(group_id)
        if term is None or not term.primary:
            return False
        if server_id == term.primary:
            is_idle = now_s - view.answered_at_s > IDLE_S
            return is_idle and self._is_steward(group_id)
        if asked_ago_s < CONFIRM_S:
            return False
        server = board.inventory.servers_by_id[server_id]
        if self._in_line.get(server_id) == (term.term, server.born_ms):
            return False
        return self._is_steward(group_id)

    def _has_connections(self, server_id: str) -> bool:
        """Return whether this node's own connections show that a server is quiet.

        The others would each open one to ask; gateways tell them instead.
        """
        server = self._board.inventory.servers_by_id[server_id]
        if not is_pooled_at_gateways(self._board, server):
            return True
        return connections_allowed(self._board, server_id) > 0

    def _is_steward(self, group_id: str) -> bool:
        members = list(self._board.fleet.members_by_id.values())
        ranked = rank_members(f"steward\0{group_id}", members)
        return bool(ranked) and ranked[0].node_id == self._board.node_id

    def ask_now(self, server_id: str) -> None:
        """Ask a server at once, unless a question is under way.

        Args:
            server_id: The server.
        """
        self._ask(server_id, self._clock())

    def _ask(self, server_id: str, now_s: float) -> None:
        running = self._tasks_by_server.get(server_id)
        if running is not None and not running.done():
            return
        self._asked_at_s[server_id] = now_s
        self._tasks_by_server[server_id] = asyncio.get_running_loop().create_task(
            self._read_status(server_id)
        )

    async def _read_status(self, server_id: str) -> None:
        board = self._board
        sent_at_s = self._clock()
        view = board.server(server_id)
        view.note_request(sent_at_s)
        try:
            status = await self._orders.read_status(server_id)
        except BackendDeclinedError:
            view.note_request_ended(self._clock(), True)
            return
        except BackendError as error:
            view.note_request_ended(self._clock(), False)
            view.doubted_at_s = self._clock()
            refused = isinstance(error, BackendRefusedError)
            if refused and view.refused_at_s is None:
                log.info("dependency lost", dependency=server_id, reason=str(error))
            record_silence(board, server_id, refused, self._clock())
            return
        if view.refused_at_s is not None:
            log.info("dependency regained", dependency=server_id)
        view.note_request_ended(self._clock(), True)
        record_status(board, server_id, status, sent_at_s, self._clock())
        self._note_line(server_id)

    def _note_line(self, server_id: str) -> None:
        board = self._board
        server = board.inventory.servers_by_id.get(server_id)
        term = board.group_term(server.group_id) if server is not None else None
        status = board.server(server_id).status
        if term is None or status is None or not term.primary:
            return
        follows = is_replica_status(term, status) and not status.held_for_term
        if follows or is_primary_status(term, server_id, status):
            self._in_line[server_id] = (term.term, server.born_ms)
        else:
            self._in_line.pop(server_id, None)

    def close(self) -> None:
        """Cancel the questions under way."""
        for task in self._tasks_by_server.values():
            task.cancel()
