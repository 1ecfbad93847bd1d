"""What statements need from the node: pools, routing, log positions and permits.

Other modules of this package read the blackboard only through the gateway.
"""

import asyncio
import time
from collections.abc import Awaitable

import structlog

from pollencleat.backend.connection import BackendConnection, open_connection
from pollencleat.backend.monitor import ServerMonitor
from pollencleat.backend.pool import Credentials, Lease, ServerPool
from pollencleat.backend.pools import ServerPools
from pollencleat.backend.sampler import ServerSampler
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    BackendServer,
    Customer,
    DatabaseGroup,
    GroupTerm,
    Position,
)
from pollencleat.core.errors import (
    DrainingError,
    NoReplicaError,
    UnknownDatabaseError,
    WritesUnavailableError,
)
from pollencleat.limits.retries import RetryBudget
from pollencleat.membership.permits import holds_write_permit, writable_term
from pollencleat.reports.metrics import Metrics
from pollencleat.routing.accounting import PrimaryReadClassifier
from pollencleat.routing.freshness import (
    is_replica_status,
)
from pollencleat.routing.reads import (
    ReadRequest,
    choose_replica,
    is_wait_worthwhile,
)

WRITES_RETRY_AFTER_MS = 200
"""Retry time sent to callers whose statement did not run."""

REPLICA_POLL_INTERVAL_S = 0.004
log = structlog.get_logger()


class Gateway:
    """Pools and monitors of all backend servers, and the routing of statements."""

    def __init__(
        self,
        board: Blackboard,
        credentials: Credentials,
        metrics: Metrics,
        clock,
    ) -> None:
        """Start without servers; follow_board adds them."""
        self.board = board
        self.metrics = metrics
        self.clock = clock
        self.retry_budget = RetryBudget()
        self.pools = ServerPools(board, clock, self._make_pool)
        self.pools_by_server = self.pools.pools_by_server
        self.monitors_by_server: dict[str, ServerMonitor] = {}
        self._primary_reads = PrimaryReadClassifier(metrics.count)
        self.sampler = ServerSampler(
            board, self.monitors_by_server, self._primary_reads, clock
        )
        self._credentials = credentials
        self._applied_inventory: object = None
        self._customer_by_user: dict[str, Customer] = {}
        self._group_by_database: dict[str, DatabaseGroup] = {}

    # Following the blackboard.

    def follow_board(self) -> None:
        """Update pools, monitors and name tables from the blackboard."""
        self.pools.apply_board()
        inventory = self.board.inventory
        if inventory is self._applied_inventory:
            return
        self._applied_inventory = inventory
        self._customer_by_user = {
            user: customer
            for customer in inventory.customers_by_id.values()
            for user in customer.users
        }
        self._group_by_database = {
            group.database: group for group in inventory.groups_by_id.values()
        }
        for server_id, monitor in list(self.monitors_by_server.items()):
            if inventory.servers_by_id.get(server_id) != monitor.server:
                self.monitors_by_server.pop(server_id).close()
        for server_id, server in inventory.servers_by_id.items():
            if server_id not in self.monitors_by_server:
                self.monitors_by_server[server_id] = ServerMonitor(
                    server, self._credentials
                )

    def _make_pool(self, server: BackendServer) -> ServerPool:
        database = self.board.inventory.groups_by_id[server.group_id].database
        credentials = self._credentials

        def open_to_server() -> Awaitable[BackendConnection]:
            return open_connection(
                server.host,
                server.port,
                credentials.user,
                credentials.password,
                database,
            )

        return ServerPool(server, open_to_server, self.clock)

    def open_connections(self) -> dict[str, int]:
        """Return the number of open connections to each server.

        Returns:
            Server id to count, including the connections of monitors.
        """
        return {
            server_id: pool.open_count + self.monitors_by_server[server_id].open_count
            for server_id, pool in self.pools_by_server.items()
        }

    def close(self) -> None:
        """Close all connections to backend servers."""
        self.pools.close()
        for monitor in self.monitors_by_server.values():
            monitor.close()

    # Routing and permits of statements.

    def find_customer(self, user: str) -> Customer | None:
        """Return the client account of a user.

        Args:
            user: An authenticated user name.

        Returns:
            The client account, or None if the inventory no longer declares it.
        """
        return self._customer_by_user.get(user)

    def require_group(self, customer_id: str, database: str | None) -> DatabaseGroup:
        """Return the database group of a database name, for use by a statement.

        Args:
            customer_id: The client account that sent the statement.
            database: Database name, or None if the session has selected none.

        Returns:
            The database group.

        Raises:
            DrainingError: This node is stopping.
            UnknownDatabaseError: The database is not declared, or not for this client
                account.
        """
        if self.board.draining:
            raise DrainingError(f"node {self.board.node_id} is stopping", 0)
        group = self._group_by_database.get(database or "")
        if group is None or customer_id not in group.customers:
            raise UnknownDatabaseError(f"unknown database {database!r}")
        self.sampler.note_use(group.group_id)
        return group

    def require_writable(self, group_id: str) -> GroupTerm:
        """Return the term in which writes may be sent now.

        Args:
            group_id: The database group.

        Returns:
            The current term of the group.

        Raises:
            WritesUnavailableError: This node holds no write permit, or the group has
                no primary, or its primary is leaving.
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
        """Return whether a write sent in a term may still be acknowledged.

        Args:
            term: The term in which the statement was sent.

        Returns:
            True if the write permit is valid and the group is still in this term.
        """
        current = writable_term(self.board, term.group_id, self.clock())
        return current is not None and current.term == term.term

    def holds_permit(self) -> bool:
        """Return whether this node can be certain of the primaries.

        Returns:
            True while a write permit is valid.
        """
        return holds_write_permit(self.board, self.clock())

    async def borrow(
        self, server_id: str, customer: Customer, term: int, deadline_s: float
    ) -> Lease:
        """Lease a connection to a server, queueing if all are in use.

        Args:
            server_id: The server.
            customer: The client account whose queue limit and turn are used.
            term: The group's term, or ANY_TERM for reads of a replica.
            deadline_s: Until when to wait in the queue, in seconds of the local clock.

        Returns:
            A lease of the connection.
        """
        pool = self.pools_by_server[server_id]
        return await pool.borrow(
            customer.customer_id, customer.queue_limit, deadline_s, term
        )

    def queue_deadline_s(self) -> float:
        """Return the queue deadline of a statement that arrives now.

        Returns:
            Deadline in seconds of the local clock.
        """
        return self.clock() + self.board.inventory.rules.queue_deadline_ms / 1000

    async def sample_primary_position(self, group_id: str) -> Position:
        """Return the primary's current log position.

        A session that arrives without a token may have been acknowledged writes up to
        this position, by any node.

        Args:
            group_id: The database group.

        Returns:
            A position sampled after the call began.

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

        A replica that is fresh enough is preferred, then the primary while this node
        holds a write permit.  Without a permit, the last known primary may be chosen
        under the same limits as a replica.

        Args:
            request: The freshness that the read requires.

        Returns:
            A server id.

        Raises:
            NoReplicaError: No server is fresh enough.
        """
        now_s = self.clock()
        server_id = choose_replica(self.board, request, self.pools.loads, now_s)
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
                self._record_primary_read(request, term, now_s)
            return term.primary
        server_id = choose_replica(self.board, request, self.pools.loads, now_s, True)
        if server_id is not None:
            return server_id
        raise NoReplicaError(
            f"group {request.group_id}: no server has reached log position "
            f"{request.floor} with data at most "
            f"{request.max_age_s * 1000:.0f} ms old",
            WRITES_RETRY_AFTER_MS,
        )

    def _record_primary_read(
        self, request: ReadRequest, term: GroupTerm, now_s: float
    ) -> None:
        replica_ids = set()
        for server_id in self.board.inventory.groups_by_id[request.group_id].server_ids:
            view = self.board.servers_by_id.get(server_id)
            if view is None or view.status is None or view.refused_at_s is not None:
                continue
            if server_id != term.primary and is_replica_status(term, view.status):
                replica_ids.add(server_id)
        self._primary_reads.add_read(
            request.group_id, request.floor, replica_ids, now_s
        )

    async def _wait_for_replica(
        self, request: ReadRequest, deadline_s: float
    ) -> str | None:
        term = self.board.group_term(request.group_id)
        group = self.board.inventory.groups_by_id[request.group_id]
        replica_ids = [name for name in group.server_ids if name != term.primary]
        while self.clock() < deadline_s:
            tasks = [self.sampler.sample(name) for name in replica_ids]
            await asyncio.wait(
                tasks, timeout=request.wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            server_id = choose_replica(
                self.board, request, self.pools.loads, self.clock()
            )
            if server_id is not None:
                return server_id
            await asyncio.sleep(REPLICA_POLL_INTERVAL_S)
        return None


def unix_time_s() -> int:
    """Return the wall-clock time, for records that outlive this process.

    Returns:
        Unix time in whole seconds.
    """
    return int(time.time())
