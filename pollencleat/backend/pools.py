"""The pools of all servers, kept in line with the blackboard."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping

from pollencleat.backend.pool import ServerPool
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, GroupTerm, Inventory
from pollencleat.limits.shares import (
    connections_allowed,
    reserved_connections,
    settled_share,
)

WARM_CONNECTIONS = 3
"""Idle connections of a new term that are opened ahead of need."""

SILENT_SERVER_S = 1.2
"""A read is taken from a server that has answered nothing for this long; a slow read
at a live server goes on."""


class LoadByServer(Mapping):
    """Loads of the pools, computed when looked up."""

    def __init__(self, pools_by_server: dict[str, ServerPool]) -> None:
        """Look up in the given pools."""
        self._pools_by_server = pools_by_server

    def __getitem__(self, server_id: str) -> float:
        """Return the load of a server's queue."""
        return self._pools_by_server[server_id].queue.load()

    def __iter__(self):
        """Iterate over server ids."""
        return iter(self._pools_by_server)

    def __len__(self) -> int:
        """Return the number of servers."""
        return len(self._pools_by_server)


class OutstandingByServer(LoadByServer):
    """This node's statements in use and waiting, computed when looked up."""

    def __init__(
        self, pools_by_server: dict[str, ServerPool], borrowed_by_server: Counter[str]
    ) -> None:
        """Look up in the given pools, and in what is borrowed from other nodes."""
        super().__init__(pools_by_server)
        self._borrowed_by_server = borrowed_by_server

    def __getitem__(self, server_id: str) -> float:
        """Return the number of statements of a server."""
        own = self._pools_by_server[server_id].queue.outstanding()
        return own + self._borrowed_by_server[server_id]


class ServerPools:
    """A pool for each known server; opens, shrinks and closes them."""

    def __init__(
        self,
        board: Blackboard,
        clock: Callable[[], float],
        make_pool: Callable[[BackendServer], ServerPool],
    ) -> None:
        """Start without servers; follow_board adds them."""
        self.board = board
        self.clock = clock
        self.pools_by_server: dict[str, ServerPool] = {}
        self.loads = LoadByServer(self.pools_by_server)
        self.borrowed_by_server: Counter[str] = Counter()
        self.outstanding = OutstandingByServer(
            self.pools_by_server, self.borrowed_by_server
        )
        self._make_pool = make_pool
        self._inventory_seen: Inventory | None = None
        self._inventory_changed_at_s = -1e9
        self._terms_seen: dict[str, GroupTerm] = {}
        self._background: set[asyncio.Task] = set()

    def follow_board(self) -> None:
        """Adapt pools to the inventory, the seat and the terms."""
        if self.board.inventory is not self._inventory_seen:
            self._follow_inventory()
        for server_id, pool in self.pools_by_server.items():
            allowed = settled_share(
                pool.allowed,
                connections_allowed(self.board, server_id),
                self.clock() - self._inventory_changed_at_s,
            )
            pool.recover()
            if server_id in self.board.vms.leaving:
                pool.close_idle()
            if allowed != pool.allowed:
                pool.allow(allowed, reserved_connections(self.board, server_id))
            if self._fell_silent(server_id):
                pool.end_reads()
                pool.close_idle()
        for group_id, term in self.board.fleet.terms_by_group.items():
            seen = self._terms_seen.get(group_id, GroupTerm(group_id, 0, ""))
            if (seen.term, seen.primary) != (term.term, term.primary):
                self._follow_term(seen, term)

    def _fell_silent(self, server_id: str) -> bool:
        """Return whether a server that used to answer samples does so no more."""
        view = self.board.servers_by_id.get(server_id)
        if view is None:
            return False
        now_s = self.clock()
        if view.is_tracked:
            return view.owes_for_s(now_s) > SILENT_SERVER_S
        if view.status is None:
            return False
        return now_s - view.answered_at_s > SILENT_SERVER_S

    def _follow_inventory(self) -> None:
        inventory = self.board.inventory
        seen = self._inventory_seen
        if seen is not None and 0 < seen.version < inventory.version:
            self._inventory_changed_at_s = self.clock()
        self._inventory_seen = inventory
        for server_id, pool in list(self.pools_by_server.items()):
            if inventory.servers_by_id.get(server_id) == pool.server:
                continue
            pool.allow(0)
            pool.close()
            del self.pools_by_server[server_id]
        for server_id, server in inventory.servers_by_id.items():
            if server_id in self.pools_by_server:
                continue
            pool = self._make_pool(server)
            # Nobody holds connections to a server that was not declared before.
            pool.allow(
                connections_allowed(self.board, server_id),
                reserved_connections(self.board, server_id),
            )
            self.pools_by_server[server_id] = pool

    def _follow_term(self, seen: GroupTerm, term: GroupTerm) -> None:
        """End the former primary's connections; warm up those of the next.

        The next primary is not known while it is being chosen, so connections of the
        new term are opened to every candidate.
        """
        group = self.board.inventory.groups_by_id.get(term.group_id)
        if group is None:
            return
        self._terms_seen[term.group_id] = term
        former = term.promotion.old_primary if term.promotion else seen.primary
        for server_id in group.server_ids:
            pool = self.pools_by_server.get(server_id)
            if pool is None:
                continue
            if server_id == former and server_id != term.primary:
                pool.end_older_terms(term.term)
            elif term.primary in ("", server_id):
                self.start(pool.warm_up(WARM_CONNECTIONS, term.term))

    def start(self, coroutine: Coroutine) -> None:
        """Run a coroutine in the background and keep a reference to it.

        Args:
            coroutine: What to run.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def close(self) -> None:
        """Close all connections to backend servers."""
        for pool in self.pools_by_server.values():
            pool.allow(0)
            pool.close()
