"""What sessions need from the node: routes, pools, permits and what answers tell."""

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
    UnknownDatabaseError,
    WritesUnavailableError,
)
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import ServerReply, Shape, Work
from pollencleat.limits.gateways import is_pooled_at_gateways
from pollencleat.limits.retries import RetryBudget
from pollencleat.membership.permits import holds_write_permit, writable_term
from pollencleat.reports.metrics import Metrics
from pollencleat.routing.freshness import is_primary_confirmed
from pollencleat.routing.placement import Target

RETRY_AFTER_MS = 200
"""When a caller may ask again while a primary is being replaced; a change of primary
takes a few of these."""

WAITING_STATEMENTS_LIMIT = 512
"""Statements of one client account that may wait for one server on this node."""

QUEUE_SHARE_OF_OBJECTIVE = 0.5
"""Share of the latency objective that a statement may wait for a connection."""


AVOID_S = 2.0
"""Time for which a server that left a gateway's read unanswered is not read from."""

MOST_AVOID_S = 8.0
"""Longest such time, after some failures in a row."""

CONFIRM_LIMIT_S = 0.2
"""How long a read waits for a primary to confirm its role; a question takes some
milliseconds, with a new connection."""

CONFIRM_POLL_S = 0.02
"""Seconds between two looks at whether it has, and between two questions."""


@dataclass(frozen=True, slots=True)
class Wish:
    """What kind of connection is wanted of another node.

    Attributes:
        wait_s: How long the statement may wait for it.
        term: Term that it must belong to, or ANY_TERM.
        needs_lead: The server must have said that it leads the term.
        values: Values of the session; a connection that has them is preferred.
    """

    server: BackendServer
    account: str
    wait_s: float
    term: int
    needs_lead: bool
    values: dict[str, str]


@dataclass(frozen=True, slots=True)
class ReadCall:
    """A read that belongs to no transaction.

    Attributes:
        shape: What its prepared name stands for, or None.
        at_least: Position that the server must have applied, or None.
    """

    work: Work
    shape: Shape | None
    at_least: Position | None


@dataclass(frozen=True, slots=True)
class ReadResult:
    """A server's answer to a read, and the gateway that asked it."""

    reply: ServerReply
    gateway_id: str


class Borrower(Protocol):
    """Uses connections of other nodes."""

    async def borrow(self, wish: Wish) -> Lease:
        """Borrow a connection; raises a NotRunError if none can be had."""

    async def read(self, wish: Wish, call: ReadCall, limit_s: float) -> ReadResult:
        """Have a read run; raises a NotRunError or BackendLostError."""


class ServerAccess:
    """The node's servers as sessions see them."""

    def __init__(
        self,
        board: Blackboard,
        metrics: Metrics,
        clock: Callable[[], float],
        make_pool: Callable[[BackendServer], ServerPool],
    ) -> None:
        """Work on a blackboard; pools follow it."""
        self.board = board
        self.metrics = metrics
        self.clock = clock
        self.pools = ServerPools(board, clock, make_pool)
        self.doubted_servers: set[str] = set()
        self.ask_status: Callable[[str], None] = self.note_doubt
        self.has_joined = False
        self.hops: Borrower | None = None
        self.second_tries = RetryBudget()

    def follow_board(self, is_ready: bool) -> None:
        """Adapt pools to the blackboard; work begins when they have their share.

        Args:
            is_ready: Whether new callers are welcome.
        """
        self.pools.follow_board()
        self.has_joined = self.has_joined or is_ready

    def route_of(self, database: str) -> Route:
        """Return the declared route of a database name.

        Args:
            database: As the caller gave it.

        Returns:
            The route in force now.

        Raises:
            UnknownDatabaseError: No route has this name.
        """
        route = self.board.inventory.routes_by_database.get(database)
        if route is None:
            raise UnknownDatabaseError(f"unknown database {database!r}")
        return route

    def require_writable(self, group_id: str) -> GroupTerm:
        """Return the term under which writes may be sent now.

        Args:
            group_id: The group.

        Returns:
            The term.

        Raises:
            WritesUnavailableError: No permit, no primary, or an unknown server.
        """
        term = writable_term(self.board, group_id, self.clock())
        if term is not None and term.primary in self.pools.pools_by_server:
            return term
        raise WritesUnavailableError(self.why_not_writable(group_id), RETRY_AFTER_MS)

    def why_not_writable(self, group_id: str) -> str:
        """Return why no primary can be used, for logs and answers.

        Args:
            group_id: The group.

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
        return f"group {group_id}: primary {term.primary} is not registered"

    def is_still_writable(self, term: GroupTerm) -> bool:
        """Return whether an answer under a term may still be acknowledged.

        Args:
            term: The term under which the statement was sent.

        Returns:
            True if the permit is valid and names the same term.
        """
        current = writable_term(self.board, term.group_id, self.clock())
        return current is not None and current.term == term.term

    async def borrow(
        self, target: Target, route: Route, session: SessionState, is_read: bool
    ) -> Lease:
        """Lend a connection to a chosen server.

        Args:
            target: The server.
            route: Tells how long the statement may wait.
            session: Whose turn it is; a connection with its values is preferred.
            is_read: Nothing will be written on it.

        Returns:
            A lease.

        Raises:
            OverloadedError: The wait would be too long.
            BackendUnreachableError: No connection could be opened.
        """
        pool = self.pools.pools_by_server[target.server_id]
        if self.is_at_gateways(target.server_id):
            wish = self.make_wish(target, route, session, is_read)
            return await self.hops.borrow(wish)
        wait_s = route.latency_objective_ms / 1000 * QUEUE_SHARE_OF_OBJECTIVE
        term = target.term.term if target.term is not None else ANY_TERM
        return await pool.borrow(
            session.account,
            WAITING_STATEMENTS_LIMIT,
            self.clock() + wait_s,
            term,
            lambda link: link.values == session.values,
        )

    def make_wish(
        self, target: Target, route: Route, session: SessionState, is_read: bool
    ) -> Wish:
        """Return what is wanted of a gateway.

        Args:
            target: The server.
            route: Tells how long the statement may wait.
            session: Whose turn it is.
            is_read: Nothing will be written.

        Returns:
            The wish.
        """
        return Wish(
            self.pools.pools_by_server[target.server_id].server,
            session.account,
            route.latency_objective_ms / 1000 * QUEUE_SHARE_OF_OBJECTIVE,
            target.term.term if target.term is not None else ANY_TERM,
            is_read and target.term is not None,
            session.values,
        )

    def is_at_gateways(self, server_id: str) -> bool:
        """Return whether the connections belong to others, not to this node.

        Args:
            server_id: A server that has a pool.
        """
        pool = self.pools.pools_by_server[server_id]
        if self.hops is None or pool.queue.capacity:
            return False
        return is_pooled_at_gateways(self.board, pool.server)

    # What answers tell.

    def note_sent(self, server_id: str) -> None:
        """Note that a request was sent to a server.

        Args:
            server_id: The server.
        """
        self.board.server(server_id).note_request(self.clock())

    def note_ended(self, server_id: str, is_answered: bool) -> None:
        """Note the end of a request.

        Args:
            server_id: The server.
            is_answered: A complete answer came.
        """
        self.board.server(server_id).note_request_ended(self.clock(), is_answered)

    def note_lost(self, server_id: str) -> None:
        """Note that a connection broke; the server may start again with nothing.

        Args:
            server_id: The server.
        """
        self.board.server(server_id).doubted_at_s = self.clock()

    async def track(
        self, server_id: str, request: Awaitable[ServerReply]
    ) -> ServerReply:
        """Wait for an answer; the server owes one meanwhile.

        Args:
            server_id: Who is asked.
            request: The request.

        Returns:
            The answer.

        Raises:
            BackendError: No complete answer arrived.
        """
        self.note_sent(server_id)
        is_answered = False
        try:
            reply = await request
            is_answered = True
            return reply
        except BackendError:
            self.note_lost(server_id)
            raise
        finally:
            self.note_ended(server_id, is_answered)

    def note_gateway_read(self, server_id: str, is_answered: bool) -> None:
        """Take in whether a server answered a read that a gateway ran.

        Gateways ask a quiet server for its status; this node only leaves it alone for a
        while, twice as long each time, and tries again.

        Args:
            server_id: The server.
            is_answered: A complete answer came.
        """
        view = self.board.server(server_id)
        if is_answered:
            view.answered_at_s = self.clock()
            view.avoid_s = 0.0
            return
        view.avoid_s = min(MOST_AVOID_S, max(AVOID_S, 2 * view.avoid_s))
        view.avoid_until_s = self.clock() + view.avoid_s

    def note_position(
        self, server_id: str, reply: ServerReply, sent_at_s: float, group_id: str
    ) -> None:
        """Take in what an answer tells of a server's log.

        Args:
            server_id: Who answered.
            reply: The answer.
            sent_at_s: When the request was sent.
            group_id: The server's group.
        """
        if reply.position is None:
            return
        self.board.server(server_id).applied = reply.position
        self._note_bound(server_id, reply.position, sent_at_s, group_id)

    async def open_tracked(
        self, server_id: str, opening: Awaitable[PooledConnection]
    ) -> PooledConnection:
        """Open a connection; the server owes an answer meanwhile.

        Args:
            server_id: The server.
            opening: The attempt.

        Returns:
            The connection.
        """
        pool = self.pools.pools_by_server.get(server_id)
        if pool is None or not pool.has_live_connection():
            self.note_lost(server_id)
        self.note_sent(server_id)
        is_answered = False
        try:
            connection = await opening
            is_answered = True
            return connection
        except BackendDeclinedError:
            is_answered = True
            raise
        finally:
            self.note_ended(server_id, is_answered)

    def _note_bound(
        self, server_id: str, position: Position, sent_at_s: float, group_id: str
    ) -> None:
        """Keep the position if it is that of a primary that nobody has replaced."""
        term = writable_term(self.board, group_id, self.clock())
        if term is None or term.primary != server_id:
            return
        if not is_primary_confirmed(self.board, term):
            return
        bounds = self.board.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
        bounds.add(term.term, sent_at_s, position)

    def newest_position(self, term: GroupTerm | None) -> Position | None:
        """Return the newest position that a primary has told.

        Args:
            term: The group's term; None for a read that does not rest on it.

        Returns:
            The position, or None if none is known.
        """
        if term is None:
            return None
        bounds = self.board.bounds_by_group.get(term.group_id)
        return bounds.newest_of(term.term) if bounds is not None else None

    async def wait_until_confirmed(self, term: GroupTerm) -> bool:
        """Wait until a primary has said that it leads, if that is in doubt.

        Args:
            term: The group's term.

        Returns:
            False if it has not said so in time.
        """
        deadline_s = self.clock() + CONFIRM_LIMIT_S
        while not is_primary_confirmed(self.board, term):
            if self.clock() > deadline_s:
                return False
            self.ask_status(term.primary)
            await asyncio.sleep(CONFIRM_POLL_S)
        return True

    def note_lead(self, term: GroupTerm, sent_at_s: float) -> None:
        """Take in that a server accepted what only a primary does.

        Args:
            term: The group's term, with the server.
            sent_at_s: When it was sent.
        """
        self.board.server(term.primary).led_in = (term.term, sent_at_s)

    def note_doubt(self, server_id: str) -> None:
        """Have a server asked for its status soon, since it answered unexpectedly.

        Args:
            server_id: The server.
        """
        self.doubted_servers.add(server_id)

    def close(self) -> None:
        """Close all connections to servers."""
        self.pools.close()
