"""What statements need from the node: pools, routing, floors and permits.

This is the only place where the callers' side touches the blackboard.
"""

import asyncio
import time
from collections.abc import Mapping

import structlog

from pollencleat.backend.monitor import ServerMonitor
from pollencleat.backend.pool import Credentials, Lease, ServerPool
from pollencleat.backend.sampler import ServerSampler
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Customer, DatabaseGroup, GroupTerm, Position
from pollencleat.core.errors import (
    DrainingError,
    NoReplicaError,
    UnknownDatabaseError,
    WritesUnavailableError,
)
from pollencleat.limits.retries import RetryBudget
from pollencleat.limits.shares import connections_allowed, settled_share
from pollencleat.membership.permits import holds_write_permit, writable_term
from pollencleat.reports.metrics import Metrics
from pollencleat.routing.accounting import PrimaryReadAccount
from pollencleat.routing.freshness import (
    is_replica_status,
)
from pollencleat.routing.reads import (
    ReadRequest,
    choose_replica,
    is_wait_worthwhile,
)

WRITES_RETRY_AFTER_MS = 200
REPLICA_POLL_S = 0.004
WARM_CONNECTIONS = 3
SILENT_SERVER_S = 1.2
"""A read is taken from a server that has answered no sample for this long; a slow read
at a live server goes on."""

log = structlog.get_logger()


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


class Gateway:
    """Pools and monitors of all servers, and the decisions about statements."""

    def __init__(
        self,
        board: Blackboard,
        credentials: Credentials,
        metrics: Metrics,
        clock,
    ) -> None:
        """Start without servers; follow_inventory adds them."""
        self.board = board
        self.metrics = metrics
        self.clock = clock
        self.retry_budget = RetryBudget()
        self.pools_by_server: dict[str, ServerPool] = {}
        self.monitors_by_server: dict[str, ServerMonitor] = {}
        self._account = PrimaryReadAccount(metrics.count)
        self.sampler = ServerSampler(
            board, self.monitors_by_server, self._account, clock
        )
        self._loads = LoadByServer(self.pools_by_server)
        self._credentials = credentials
        self._inventory_version = -1
        self._inventory_changed_at_s = -1e9
        self._customer_by_user: dict[str, Customer] = {}
        self._group_by_database: dict[str, DatabaseGroup] = {}
        self._terms_seen: dict[str, GroupTerm] = {}
        self._background: set[asyncio.Task] = set()

    # Keeping up with the blackboard.

    def follow_board(self) -> None:
        """Adapt pools to the inventory, the seat and the terms."""
        if self.board.inventory.version != self._inventory_version:
            self._follow_inventory()
        for server_id, pool in self.pools_by_server.items():
            allowed = settled_share(
                pool.allowed,
                connections_allowed(self.board, server_id),
                self.clock() - self._inventory_changed_at_s,
            )
            if server_id in self.board.vms.leaving:
                pool.close_idle()
            if allowed != pool.allowed:
                pool.allow(allowed)
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
        if view is None or view.status is None:
            return False
        return self.clock() - view.answered_at_s > SILENT_SERVER_S

    def _follow_inventory(self) -> None:
        inventory = self.board.inventory
        if self._inventory_version > 0:
            self._inventory_changed_at_s = self.clock()
        self._inventory_version = inventory.version
        self._customer_by_user = {
            user: customer
            for customer in inventory.customers_by_id.values()
            for user in customer.users
        }
        self._group_by_database = {
            group.database: group for group in inventory.groups_by_id.values()
        }
        for server_id, pool in list(self.pools_by_server.items()):
            if inventory.servers_by_id.get(server_id) == pool.server:
                continue
            pool.allow(0)
            pool.close()
            del self.pools_by_server[server_id]
            self.monitors_by_server.pop(server_id).close()
        for server_id, server in inventory.servers_by_id.items():
            if server_id in self.pools_by_server:
                continue
            database = inventory.groups_by_id[server.group_id].database
            pool = ServerPool(server, database, self._credentials, self.clock)
            # Nobody holds connections to a server that was not declared before.
            pool.allow(connections_allowed(self.board, server_id))
            self.pools_by_server[server_id] = pool
            self.monitors_by_server[server_id] = ServerMonitor(
                server, self._credentials
            )

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

    def start(self, coroutine) -> None:
        """Run a coroutine in the background and keep a reference to it.

        Args:
            coroutine: What to run.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def open_connections(self) -> dict[str, int]:
        """Return the open connections to each server.

        Returns:
            Server id to count, monitors included.
        """
        return {
            server_id: pool.open_count + self.monitors_by_server[server_id].open_count
            for server_id, pool in self.pools_by_server.items()
        }

    def close(self) -> None:
        """Close all connections to backend servers."""
        for pool in self.pools_by_server.values():
            pool.allow(0)
            pool.close()
        for monitor in self.monitors_by_server.values():
            monitor.close()

    # Decisions about statements.

    def customer_of(self, user: str) -> Customer | None:
        """Return the customer that a user belongs to.

        Args:
            user: An authenticated user name.

        Returns:
            The customer, or None if no longer declared.
        """
        return self._customer_by_user.get(user)

    def group_of(self, customer_id: str, database: str | None) -> DatabaseGroup:
        """Return the group that a database name stands for.

        Args:
            customer_id: Who asks.
            database: Database name.

        Returns:
            The group.

        Raises:
            UnknownDatabaseError: Not declared, or not for this customer.
        """
        if self.board.draining:
            raise DrainingError(f"node {self.board.node_id} is stopping", 0)
        group = self._group_by_database.get(database or "")
        if group is None or customer_id not in group.customers:
            raise UnknownDatabaseError(f"unknown database {database!r}")
        self.sampler.note_use(group.group_id)
        return group

    def require_writable(self, group_id: str) -> GroupTerm:
        """Return the term under which writes may be sent now.

        Args:
            group_id: The group.

        Returns:
            The term.

        Raises:
            WritesUnavailableError: No permit, or no primary.
        """
        term = writable_term(self.board, group_id, self.clock())
        if term is None:
            current = self.board.group_term(group_id)
            reason = "a primary is being promoted"
            if current is None or current.primary:
                reason = "this node holds no write permit"
            raise WritesUnavailableError(
                f"group {group_id}: {reason}", WRITES_RETRY_AFTER_MS
            )
        if term.primary in self.board.vms.leaving:
            raise WritesUnavailableError(
                f"group {group_id}: its primary is leaving", WRITES_RETRY_AFTER_MS
            )
        return term

    def is_still_writable(self, term: GroupTerm) -> bool:
        """Return whether an answer under a term may still be acknowledged.

        Args:
            term: The term under which the statement was sent.

        Returns:
            True if the permit is valid and names the same term.
        """
        current = writable_term(self.board, term.group_id, self.clock())
        return current is not None and current.term == term.term

    def holds_permit(self) -> bool:
        """Return whether this node knows the primaries for certain.

        Returns:
            True while a write permit is valid.
        """
        return holds_write_permit(self.board, self.clock())

    async def borrow(
        self, server_id: str, customer: Customer, term: int, deadline_s: float
    ) -> Lease:
        """Lend a connection to a server.

        Args:
            server_id: The server.
            customer: Who pays for the turn.
            term: The group's term.
            deadline_s: Local time of the queue's deadline.

        Returns:
            A lease.
        """
        pool = self.pools_by_server[server_id]
        return await pool.borrow(
            customer.customer_id, customer.queue_limit, deadline_s, term
        )

    def queue_deadline_s(self) -> float:
        """Return until when a statement that arrives now may wait.

        Returns:
            Local time.
        """
        return self.clock() + self.board.inventory.rules.queue_deadline_ms / 1000

    async def sample_floor(self, group_id: str) -> Position:
        """Return the primary's position now.

        A session that arrives without a token may have been acknowledged anything up to
        this position, at any node.

        Args:
            group_id: The group.

        Returns:
            A position sampled after the call.

        Raises:
            NoReplicaError: The primary is not known for certain, or does not answer.
        """
        sent_after_s = self.clock()
        for _ in range(3):
            term = writable_term(self.board, group_id, self.clock())
            if term is None:
                break
            await self.sampler.sample(term.primary)
            samples = self.board.primary_samples_by_group.get(group_id)
            if samples is None or samples.term != term.term or not samples.sent_at_s:
                continue
            if samples.sent_at_s[-1] >= sent_after_s:
                return Position(term.term, samples.positions[-1])
        raise NoReplicaError(
            f"group {group_id}: what this session has seen cannot be determined; "
            "send its token",
            WRITES_RETRY_AFTER_MS,
        )

    async def choose_server(self, request: ReadRequest) -> str:
        """Return the server that a read goes to, waiting briefly for a replica.

        Args:
            request: What the read needs.

        Returns:
            A server id.

        Raises:
            NoReplicaError: Nobody can answer within the limits.
        """
        now_s = self.clock()
        server_id = choose_replica(self.board, request, self._loads, now_s)
        if server_id is not None:
            return server_id
        if is_wait_worthwhile(self.board, request, now_s):
            server_id = await self._wait_for_replica(request, now_s + request.wait_s)
            if server_id is not None:
                return server_id
        now_s = self.clock()
        term = writable_term(self.board, request.group_id, now_s)
        if term is not None and term.primary not in self.board.vms.leaving:
            if request.max_age_s > 0:
                self._account_primary_read(request, term, now_s)
            return term.primary
        server_id = choose_replica(self.board, request, self._loads, now_s, True)
        if server_id is not None:
            return server_id
        raise NoReplicaError(
            f"group {request.group_id}: no server has position {request.floor} within "
            f"{request.max_age_s * 1000:.0f} ms of age",
            WRITES_RETRY_AFTER_MS,
        )

    def _account_primary_read(
        self, request: ReadRequest, term: GroupTerm, now_s: float
    ) -> None:
        replicas = set()
        for server_id in self.board.inventory.groups_by_id[request.group_id].server_ids:
            view = self.board.servers_by_id.get(server_id)
            if view is None or view.status is None or view.refused_at_s is not None:
                continue
            if server_id != term.primary and is_replica_status(term, view.status):
                replicas.add(server_id)
        self._account.add_read(request.group_id, request.floor, replicas, now_s)

    async def _wait_for_replica(
        self, request: ReadRequest, until_s: float
    ) -> str | None:
        term = self.board.group_term(request.group_id)
        group = self.board.inventory.groups_by_id[request.group_id]
        replicas = [name for name in group.server_ids if name != term.primary]
        while self.clock() < until_s:
            tasks = [self.sampler.sample(name) for name in replicas]
            await asyncio.wait(
                tasks, timeout=request.wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            server_id = choose_replica(self.board, request, self._loads, self.clock())
            if server_id is not None:
                return server_id
            await asyncio.sleep(REPLICA_POLL_S)
        return None


def unix_time_s() -> int:
    """Return the wall clock, for records that outlive this process.

    Returns:
        Unix time in seconds.
    """
    return int(time.time())
