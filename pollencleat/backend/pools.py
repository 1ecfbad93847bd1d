"""The connection pools of all servers, kept in sync with the blackboard."""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping

from pollencleat.backend.pool import ServerPool
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import BackendServer, GroupTerm, Inventory
from pollencleat.limits.growth import DEAD_CONNECTIONS_COUNTED_S
from pollencleat.limits.shares import (
    connections_allowed,
    reserved_connections,
    resting_connections,
    running_limit,
    usable_share,
)

WARM_CONNECTIONS = 3
"""Idle connections that are opened in advance for a new term."""

UNRESPONSIVE_AFTER_S = 1.2
"""Reads at a server that has answered nothing for longer are moved elsewhere.

A slow read at a server that still answers continues.
"""


class LoadByServer(Mapping):
    """Maps server ids to the load of their queues, computed on lookup."""

    def __init__(self, pools_by_server: dict[str, ServerPool]) -> None:
        """Read the given pools; the mapping is shared."""
        self._pools_by_server = pools_by_server

    def __getitem__(self, server_id: str) -> float:
        """Return running and queued statements, divided by the queue's capacity."""
        return self._pools_by_server[server_id].queue.load()

    def __iter__(self):
        """Iterate over server ids."""
        return iter(self._pools_by_server)

    def __len__(self) -> int:
        """Return the number of servers."""
        return len(self._pools_by_server)


class OutstandingByServer(LoadByServer):
    """Maps server ids to this node's running and queued statements."""

    def __init__(
        self, pools_by_server: dict[str, ServerPool], borrowed_by_server: Counter[str]
    ) -> None:
        """Read the given pools and counts of connections borrowed from other nodes."""
        super().__init__(pools_by_server)
        self._borrowed_by_server = borrowed_by_server

    def __getitem__(self, server_id: str) -> float:
        """Return the statements in the server's queue and on borrowed connections."""
        own_statements = self._pools_by_server[server_id].queue.outstanding()
        return own_statements + self._borrowed_by_server[server_id]


class ServerPools:
    """Creates, resizes and closes the pool of each declared server."""

    def __init__(
        self,
        board: Blackboard,
        clock: Callable[[], float],
        make_pool: Callable[[BackendServer], ServerPool],
    ) -> None:
        """Start without pools; apply_board creates them."""
        self.board = board
        self.clock = clock
        self.pools_by_server: dict[str, ServerPool] = {}
        self.loads = LoadByServer(self.pools_by_server)
        self.borrowed_by_server: Counter[str] = Counter()
        self.outstanding = OutstandingByServer(
            self.pools_by_server, self.borrowed_by_server
        )
        self._make_pool = make_pool
        self._applied_inventory: Inventory | None = None
        self._inventory_changed_at_s = -1e9
        self._applied_terms: dict[str, GroupTerm] = {}
        self._background_tasks: set[asyncio.Task] = set()

    def apply_board(self) -> None:
        """Adapt the pools to the inventory, this node's share and the groups' terms."""
        if self.board.inventory is not self._applied_inventory:
            self._apply_inventory()
        growth_held_until_s = self.board.last_crash_at_s() + DEAD_CONNECTIONS_COUNTED_S
        for server_id, pool in self.pools_by_server.items():
            pool.hold_growth(growth_held_until_s)
            allowed = usable_share(
                pool.allowed,
                connections_allowed(self.board, server_id),
                self.clock() - self._inventory_changed_at_s,
            )
            pool.adjust_capacity()
            if server_id in self.board.vms.leaving:
                pool.close_idle()
            if allowed != pool.allowed:
                self._allow(pool, allowed)
            if self._is_unresponsive(server_id):
                pool.close_reads()
                pool.close_idle()
        for group_id, term in self.board.fleet.terms_by_group.items():
            previous = self._applied_terms.get(group_id, GroupTerm(group_id, 0, ""))
            if (previous.term, previous.primary) != (term.term, term.primary):
                self._apply_term(previous, term)

    def _is_unresponsive(self, server_id: str) -> bool:
        """Return whether a server has stopped answering requests or samples."""
        view = self.board.servers_by_id.get(server_id)
        if view is None:
            return False
        now_s = self.clock()
        if view.tracks_requests:
            return view.unanswered_for_s(now_s) > UNRESPONSIVE_AFTER_S
        if view.status is None:
            return False
        return now_s - view.answered_at_s > UNRESPONSIVE_AFTER_S

    def _apply_inventory(self) -> None:
        inventory = self.board.inventory
        previous = self._applied_inventory
        if previous is not None and 0 < previous.version < inventory.version:
            self._inventory_changed_at_s = self.clock()
        self._applied_inventory = inventory
        for server_id, pool in list(self.pools_by_server.items()):
            server = inventory.servers_by_id.get(server_id)
            if server == pool.server:
                continue
            if server is not None and _is_same_process(server, pool.server):
                pool.server = server
                self._allow(pool, pool.allowed)
                continue
            pool.allow(0)
            pool.close()
            del self.pools_by_server[server_id]
        for server_id, server in inventory.servers_by_id.items():
            if server_id in self.pools_by_server:
                continue
            pool = self._make_pool(server)
            # No node holds connections to a server that was not declared before, so the
            # share applies at once.
            self._allow(pool, connections_allowed(self.board, server_id))
            self.pools_by_server[server_id] = pool

    def _allow(self, pool: ServerPool, connections: int) -> None:
        server_id = pool.server.server_id
        pool.queue.running_limit = running_limit(self.board, server_id)
        pool.allow(
            connections,
            reserved_connections(self.board, server_id),
            resting_connections(self.board, server_id, connections),
        )

    def _apply_term(self, previous: GroupTerm, term: GroupTerm) -> None:
        """Close the former primary's connections and warm up those of the next one.

        While the next primary is being chosen it is not known, so connections of the
        new term are opened to every candidate.
        """
        group = self.board.inventory.groups_by_id.get(term.group_id)
        if group is None:
            return
        self._applied_terms[term.group_id] = term
        former_primary = (
            term.promotion.old_primary if term.promotion else previous.primary
        )
        for server_id in group.server_ids:
            pool = self.pools_by_server.get(server_id)
            if pool is None:
                continue
            if server_id == former_primary and server_id != term.primary:
                pool.close_older_terms(term.term)
            elif term.primary in ("", server_id):
                self.start_background_task(pool.warm_up(WARM_CONNECTIONS, term.term))

    def start_background_task(self, coroutine: Coroutine) -> None:
        """Run a coroutine in the background and keep a reference to it.

        Args:
            coroutine: The coroutine to run.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def close(self) -> None:
        """Close all connections to backend servers."""
        for pool in self.pools_by_server.values():
            pool.allow(0)
            pool.close()


def _is_same_process(server: BackendServer, other: BackendServer) -> bool:
    """Return whether connections to a server as it was declared lead to it still."""
    limits = {"slots": other.slots, "connections": other.connections}
    return dataclasses.replace(server, **limits) == other
