"""Access of sessions to the node's routes, connection pools and write permits.

It also records what the replies of backend servers reveal about their state.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from pollencleat.backend.pool import ANY_TERM, Lease, PooledConnection, ServerPool
from pollencleat.backend.pools import ServerPools
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import AcknowledgedBounds
from pollencleat.core.data import BackendServer, GroupTerm, Position, Route
from pollencleat.core.errors import (
    BackendDeclinedError,
    BackendError,
    BackendUnreachableError,
    DrainingError,
    UnknownDatabaseError,
    WritesUnavailableError,
)
from pollencleat.core.faults import ErrorRecorder
from pollencleat.engine.exchange import AmbiguousReplyError, NotSentError
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import ServerReply, Shape, Work
from pollencleat.limits.gateways import is_pooled_at_gateways
from pollencleat.limits.queue import ANY_WORK, WorkKind
from pollencleat.limits.retries import RetryBudget
from pollencleat.membership.permits import holds_write_permit, writable_term
from pollencleat.reports.metrics import Metrics
from pollencleat.routing.freshness import is_primary_confirmed
from pollencleat.routing.placement import Target, has_left

RETRY_AFTER_MS = 200
"""Delay after which a caller may retry while a primary is being replaced; a failover
takes a few such delays."""

WAITING_STATEMENTS_LIMIT = 512
"""Most statements of one client account that may wait for a connection to one server
on this node."""

QUEUE_SHARE_OF_OBJECTIVE = 0.5
"""Fraction of the latency objective that a statement may wait for a connection."""

INITIAL_BACKOFF_S = 2.0
"""Time without reads from a server after it failed to answer a gateway's read."""

MAX_BACKOFF_S = 8.0
"""Upper bound of that time, which doubles with each consecutive failure."""

CONFIRM_TIMEOUT_S = 0.2
"""How long a read waits for a primary to confirm its role; a probe takes some
milliseconds even if it opens a connection."""

CONFIRM_POLL_INTERVAL_S = 0.02
"""Interval at which the confirmation is checked and the server probed again."""


@dataclass(frozen=True, slots=True)
class ConnectionRequest:
    """A request for a connection that is pooled on a gateway.

    Attributes:
        server: Backend server that the connection leads to.
        account: Client account that the statement is queued for.
        wait_s: How long the statement may wait for a connection, in seconds.
        term: Group term that the connection must belong to, or ANY_TERM.
        needs_lead: Whether the server must have confirmed that it is the primary of the
            term.
        values: Session values; a connection that already has them is preferred.
        kind: What the statement is queued as.
    """

    server: BackendServer
    account: str
    wait_s: float
    term: int
    needs_lead: bool
    values: dict[str, str]
    kind: WorkKind = ANY_WORK


@dataclass(frozen=True, slots=True)
class GatewayRead:
    """A read outside a transaction that a gateway runs.

    Attributes:
        shape: The prepared statement to execute, or None.
        at_least: Log position that the server must have applied, or None.
    """

    work: Work
    shape: Shape | None
    at_least: Position | None


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A server's reply to a read, and the gateway that ran the read."""

    reply: ServerReply
    gateway_id: str


class GatewayClient(Protocol):
    """Uses the backend connections of gateways."""

    async def borrow(self, connection_request: ConnectionRequest) -> Lease:
        """Borrow a connection.

        Raises:
            NotRunError: No connection is available.
        """

    async def read(
        self, connection_request: ConnectionRequest, call: GatewayRead, limit_s: float
    ) -> ReadResult:
        """Run a read on a gateway, which must reply within a limit in seconds.

        Raises:
            NotRunError: Every gateway tried refused the read or did not answer.
            BackendLostError: No complete reply arrived.
        """


class ServerAccess:
    """Gives sessions access to the backend servers and records the servers' state.

    Attributes:
        pools: Connection pools of this node.
        servers_to_probe: Ids of servers to probe soon.
        probe_server: Has the server with the given id probed.
        has_been_ready: Whether the node has been ready to serve callers at least once.
        accepts_transactions: Whether new transactions may begin.
        is_stopped: Whether no statement may use a server any more.
        gateways: Client for connections that are pooled on gateways, or None.
        hedge_budget: Limits how many reads are also sent to a second server.
        faults: Records unexpected errors.
    """

    def __init__(
        self,
        board: Blackboard,
        metrics: Metrics,
        clock: Callable[[], float],
        make_pool: Callable[[BackendServer], ServerPool],
        faults: ErrorRecorder | None = None,
    ) -> None:
        """Create the access to the servers on a blackboard.

        Args:
            board: The node's shared state.
            metrics: Counters of the node.
            clock: Local time in seconds.
            make_pool: Creates the connection pool of a server.
            faults: Records unexpected errors; by default they are counted and logged.
        """
        self.faults = faults or ErrorRecorder(
            lambda part: metrics.count("unexpected_error", part)
        )
        self.board = board
        self.metrics = metrics
        self.clock = clock
        self.pools = ServerPools(board, clock, make_pool)
        self.servers_to_probe: set[str] = set()
        self.probe_server: Callable[[str], None] = self.request_probe
        self.has_been_ready = False
        self.accepts_transactions = True
        self.is_stopped = False
        self.gateways: GatewayClient | None = None
        self.hedge_budget = RetryBudget()

    def follow_board(self, is_ready: bool) -> None:
        """Adapt the pools to the servers and connection shares on the blackboard.

        New sessions wait until the node has been ready once.

        Args:
            is_ready: Whether the node accepts new callers.
        """
        if not self.is_stopped:
            self.pools.apply_board()
        self.has_been_ready = self.has_been_ready or is_ready

    def route_of(self, database: str) -> Route:
        """Return the declared route of a database name.

        Args:
            database: Name from the caller.

        Returns:
            The route in the current inventory.

        Raises:
            UnknownDatabaseError: No route is declared for this name.
        """
        route = self.board.inventory.routes_by_database.get(database)
        if route is None:
            raise UnknownDatabaseError(f"unknown database {database!r}")
        return route

    def require_writable(self, group_id: str) -> GroupTerm:
        """Return the term under which writes may be sent now.

        Args:
            group_id: Id of the database group.

        Returns:
            The term.

        Raises:
            WritesUnavailableError: The node holds no write permit, the group has no
                primary, or the primary has no pool on this node.
        """
        now_s = self.clock()
        term = writable_term(self.board, group_id, now_s)
        if (
            term is not None
            and term.primary in self.pools.pools_by_server
            and not has_left(self.board, term.primary, now_s)
        ):
            return term
        raise WritesUnavailableError(self.why_not_writable(group_id), RETRY_AFTER_MS)

    def why_not_writable(self, group_id: str) -> str:
        """Return why a group cannot be written to, for logs and error messages.

        Args:
            group_id: Id of the database group.

        Returns:
            A short text.
        """
        term = self.board.group_term(group_id)
        if term is None:
            return f"group {group_id} has no primary yet"
        if not term.primary:
            return f"group {group_id}: a primary is being promoted"
        if not holds_write_permit(self.board, self.clock()):
            return f"group {group_id}: this node holds no write permit"
        if has_left(self.board, term.primary, self.clock()):
            return f"group {group_id}: primary {term.primary} is shutting down"
        return f"group {group_id}: primary {term.primary} is not registered"

    def is_still_writable(self, term: GroupTerm) -> bool:
        """Return whether writes under a term may still be sent or acknowledged.

        Args:
            term: The term that the statement was assigned to.

        Returns:
            True if the write permit is valid and the group is still in this term.
        """
        current = writable_term(self.board, term.group_id, self.clock())
        return current is not None and current.term == term.term

    async def borrow(
        self, target: Target, route: Route, session: SessionState, is_read: bool
    ) -> Lease:
        """Borrow a connection to a chosen server, from this node or from a gateway.

        Args:
            target: The server.
            route: Its latency objective limits the wait.
            session: Session of the statement; a connection that already has its values
                is preferred.
            is_read: Whether nothing will be written on the connection.

        Returns:
            A lease.

        Raises:
            OverloadedError: The wait would be too long.
            BackendUnreachableError: No connection could be opened.
        """
        pool = self._require_pool(target.server_id)
        if self.uses_gateways(target.server_id):
            connection_request = self.make_connection_request(
                target, route, session, is_read
            )
            return await self.gateways.borrow(connection_request)
        wait_s = route.latency_objective_ms / 1000 * QUEUE_SHARE_OF_OBJECTIVE
        term = target.term.term if target.term is not None else ANY_TERM
        return await pool.borrow(
            session.account,
            WAITING_STATEMENTS_LIMIT,
            self.clock() + wait_s,
            term,
            lambda link: link.values == session.values,
            make_work_kind(route, session),
        )

    def make_connection_request(
        self, target: Target, route: Route, session: SessionState, is_read: bool
    ) -> ConnectionRequest:
        """Return a request to a gateway for a connection to a chosen server.

        Args:
            target: The server.
            route: Its latency objective limits the wait.
            session: Session of the statement.
            is_read: Whether nothing will be written on the connection.

        Returns:
            The request.

        Raises:
            BackendUnreachableError: The server has left.
        """
        return ConnectionRequest(
            self._require_pool(target.server_id).server,
            session.account,
            route.latency_objective_ms / 1000 * QUEUE_SHARE_OF_OBJECTIVE,
            target.term.term if target.term is not None else ANY_TERM,
            is_read and target.term is not None,
            session.values,
            make_work_kind(route, session),
        )

    def _require_pool(self, server_id: str) -> ServerPool:
        pool = self.pools.pools_by_server.get(server_id)
        if pool is None:
            raise BackendUnreachableError(
                f"server {server_id} has left", RETRY_AFTER_MS
            )
        return pool

    def uses_gateways(self, server_id: str) -> bool:
        """Return whether a server is reached through gateways, not from this node.

        Args:
            server_id: Id of a server; False if it has left.
        """
        pool = self.pools.pools_by_server.get(server_id)
        if pool is None or self.gateways is None or pool.queue.capacity:
            return False
        return is_pooled_at_gateways(self.board, pool.server)

    # Recording of server state.

    def note_request_sent(self, server_id: str) -> None:
        """Record that a request was sent to a server.

        Args:
            server_id: Id of the server.
        """
        self.board.server_view(server_id).record_request(self.clock())

    def note_request_ended(self, server_id: str, is_answered: bool) -> None:
        """Record the end of a request, whether it succeeded or not.

        Args:
            server_id: Id of the server.
            is_answered: Whether a complete reply arrived.
        """
        self.board.server_view(server_id).record_request_ended(
            self.clock(), is_answered
        )

    def note_connection_lost(self, server_id: str) -> None:
        """Record that a connection was lost.

        The server may have restarted and lost its log, so its role must be confirmed
        again.

        Args:
            server_id: Id of the server.
        """
        self.board.server_view(server_id).restart_suspected_at_s = self.clock()

    async def track(
        self, server_id: str, request: Awaitable[ServerReply]
    ) -> ServerReply:
        """Wait for a reply and record the request as open until then.

        Args:
            server_id: Id of the server that the request is sent to.
            request: The request.

        Returns:
            The reply.

        Raises:
            BackendError: No complete reply arrived.
        """
        self.note_request_sent(server_id)
        is_answered = False
        try:
            reply = await request
            is_answered = True
            return reply
        except (NotSentError, AmbiguousReplyError):
            # The server has not ended the connection.
            raise
        except BackendError:
            self.note_connection_lost(server_id)
            raise
        finally:
            self.note_request_ended(server_id, is_answered)

    def note_gateway_read(self, server_id: str, is_answered: bool) -> None:
        """Record whether a server answered a read that a gateway ran.

        Gateways probe an unresponsive server themselves. This node only stops reading
        from it for a while, with exponential backoff.

        Args:
            server_id: Id of the server.
            is_answered: Whether a complete reply arrived.
        """
        view = self.board.server_view(server_id)
        if is_answered:
            view.answered_at_s = self.clock()
            view.backoff_s = 0.0
            return
        view.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * view.backoff_s))
        view.backoff_until_s = self.clock() + view.backoff_s

    def note_position(
        self, server_id: str, reply: ServerReply, sent_at_s: float, group_id: str
    ) -> None:
        """Record the log position that a server reported in a reply.

        Args:
            server_id: Id of the server.
            reply: Its reply; ignored if it has no position.
            sent_at_s: Local time in seconds at which the request was sent.
            group_id: Id of the server's database group.
        """
        if reply.position is None:
            return
        view = self.board.server_view(server_id)
        view.applied = reply.position
        view.applied_sent_at_s = sent_at_s
        self._note_primary_position(server_id, reply.position, sent_at_s, group_id)

    async def open_tracked(
        self, server_id: str, opening: Awaitable[PooledConnection]
    ) -> PooledConnection:
        """Wait for a new connection and record the attempt as an open request.

        A server that declines the connection counts as having answered.

        Args:
            server_id: Id of the server.
            opening: The attempt to open the connection.

        Returns:
            The connection.

        Raises:
            BackendError: No connection could be opened.
        """
        pool = self.pools.pools_by_server.get(server_id)
        if pool is None or not pool.has_live_connection():
            self.note_connection_lost(server_id)
        self.note_request_sent(server_id)
        is_answered = False
        try:
            connection = await opening
            is_answered = True
            return connection
        except BackendDeclinedError:
            is_answered = True
            raise
        finally:
            self.note_request_ended(server_id, is_answered)

    def _note_primary_position(
        self, server_id: str, position: Position, sent_at_s: float, group_id: str
    ) -> None:
        """Record a position if the server is the confirmed primary of the term.

        Without a valid write permit, another node may have replaced the primary, so the
        position is ignored.
        """
        term = writable_term(self.board, group_id, self.clock())
        if term is None or term.primary != server_id:
            return
        if not is_primary_confirmed(self.board, term):
            return
        bounds = self.board.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
        bounds.add(term.term, sent_at_s, position)

    def note_commit(
        self, term: GroupTerm, reply: ServerReply, sent_at_s: float
    ) -> None:
        """Record the log position of a commit before it is acknowledged.

        A server that accepts a write leads and has its log, whatever is suspected of
        it.  A promotion relies on every acknowledged commit being recorded.

        Args:
            term: Term of the commit, in which this node may still write.
            reply: The primary's reply.
            sent_at_s: Local time in seconds at which the request was sent.
        """
        if reply.position is None:
            return
        group_id = term.group_id
        bounds = self.board.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
        bounds.add(term.term, sent_at_s, reply.position)

    def newest_position(self, term: GroupTerm | None) -> Position | None:
        """Return the newest log position that the primary of a term has reported.

        Args:
            term: Term of the read's target; None if its `at_least` suffices.

        Returns:
            The position, or None if none is known.
        """
        if term is None:
            return None
        bounds = self.board.bounds_by_group.get(term.group_id)
        return bounds.latest_position(term.term) if bounds is not None else None

    async def wait_until_confirmed(self, term: GroupTerm) -> bool:
        """Wait until the primary of a term has confirmed its role.

        The server is probed repeatedly until then.

        Args:
            term: The group's term.

        Returns:
            False if it did not confirm its role within CONFIRM_TIMEOUT_S.
        """
        deadline_s = self.clock() + CONFIRM_TIMEOUT_S
        while not is_primary_confirmed(self.board, term):
            if self.is_stopped or self.clock() > deadline_s:
                return False
            self.probe_server(term.primary)
            await asyncio.sleep(CONFIRM_POLL_INTERVAL_S)
        return True

    def note_primary_confirmed(self, term: GroupTerm, sent_at_s: float) -> None:
        """Record that the primary accepted a request that only a primary accepts.

        Args:
            term: The group's term, which names the primary.
            sent_at_s: Local time in seconds at which the request was sent.
        """
        self.board.server_view(term.primary).primary_confirmed_in = (
            term.term,
            sent_at_s,
        )

    def request_probe(self, server_id: str) -> None:
        """Schedule a probe of a server after an unexpected reply.

        Args:
            server_id: Id of the server.
        """
        self.servers_to_probe.add(server_id)

    def require_not_stopped(self) -> None:
        """Raise if no statement may use a server any more.

        Raises:
            DrainingError: The node has stopped.
        """
        if self.is_stopped:
            raise DrainingError("this node has stopped")

    def close(self) -> None:
        """Close all connection pools; no statement uses a server any more.

        Statements at work fail as they do when the connections to their servers break.
        """
        self.is_stopped = True
        self.pools.close()


def make_work_kind(route: Route, session: SessionState) -> WorkKind:
    """Return what the next statement of a session is queued as.

    Args:
        route: Route of the statement; statements of one database take a similar time.
        session: The session; a transaction keeps its connection for longer.
    """
    name = route.database
    if session.transaction is not None:
        name += " transaction"
    return WorkKind(name, route.priority)
