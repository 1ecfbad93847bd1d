"""Probes servers whose ordinary responses do not show their state.

A probe is a status request.  Ordinary traffic shows at no extra cost that a server is
alive and how far its log is, while a probe occupies a slot.  Therefore only three kinds
of servers are probed: an idle primary, a server with an unanswered request, and a
server that is not known to follow the current primary.  In addition, sessions request a
probe when it is uncertain whether the primary still leads.
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
    record_status,
    record_status_failure,
)

UNANSWERED_PROBE_AFTER_S = 0.25
"""A server with a request unanswered for longer is probed.

Also the shortest interval between two periodic probes of a server.
"""

IDLE_PRIMARY_PROBE_AFTER_S = 1.0
"""A primary that has answered nothing for longer is probed, by one node only."""

UNCONFIRMED_PROBE_INTERVAL_S = 0.8
"""Interval between probes of a server whose replication role is not confirmed.

Shorter than the age up to which ReplicaRepairController uses a status.
"""

log = structlog.get_logger()


class LivenessController:
    """Probes idle primaries, servers that do not answer and unconfirmed replicas."""

    def __init__(
        self,
        board: Blackboard,
        orders: ServerOrders,
        servers_to_probe: set[str],
        clock: Callable[[], float],
    ) -> None:
        """Probe through `orders`; each tick probes and clears `servers_to_probe`."""
        self._board = board
        self._orders = orders
        self._servers_to_probe = servers_to_probe
        self._clock = clock
        self._probed_at_s: dict[str, float] = {}
        # Agreed term and start time (Unix ms) for which a server's role is confirmed.
        self._confirmed_roles: dict[str, tuple[int, int]] = {}
        self._tasks_by_server: dict[str, asyncio.Task] = {}

    def tick(self) -> None:
        """Probe the servers that are due."""
        now_s = self._clock()
        self._request_wanted_statuses()
        for group_id, group in self._board.inventory.groups_by_id.items():
            for server_id in group.server_ids:
                if self._is_due(group_id, server_id, now_s):
                    self._probe(server_id, now_s)
        self._servers_to_probe.clear()

    def _request_wanted_statuses(self) -> None:
        """Have the servers probed whose statuses the controllers want."""
        wanted, self._board.statuses_wanted = self._board.statuses_wanted, set()
        for server_id in wanted:
            is_registered = server_id in self._board.inventory.servers_by_id
            if is_registered and self._may_connect(server_id):
                self._servers_to_probe.add(server_id)

    def _is_due(self, group_id: str, server_id: str, now_s: float) -> bool:
        if server_id in self._servers_to_probe:
            return True
        board = self._board
        view = board.server_view(server_id)
        since_probe_s = now_s - self._probed_at_s.get(server_id, -1e9)
        if since_probe_s < UNANSWERED_PROBE_AFTER_S:
            return False
        if (
            view.unanswered_for_s(now_s) > UNANSWERED_PROBE_AFTER_S
            or view.refused_at_s is not None
        ):
            return self._may_connect(server_id) or self._is_coordinator(group_id)
        term = board.group_term(group_id)
        if term is None or not term.primary:
            return False
        if server_id == term.primary:
            is_idle = now_s - view.answered_at_s > IDLE_PRIMARY_PROBE_AFTER_S
            return is_idle and self._is_coordinator(group_id)
        if since_probe_s < UNCONFIRMED_PROBE_INTERVAL_S:
            return False
        server = board.inventory.servers_by_id[server_id]
        if self._confirmed_roles.get(server_id) == (term.term, server.born_ms):
            return False
        return self._is_coordinator(group_id)

    def _may_connect(self, server_id: str) -> bool:
        """Return whether this node may hold connections to a server.

        Nodes without connections would each have to open one for a probe; the gateways
        report the server's state to them instead.
        """
        server = self._board.inventory.servers_by_id[server_id]
        if not is_pooled_at_gateways(self._board, server):
            return True
        return connections_allowed(self._board, server_id) > 0

    def _is_coordinator(self, group_id: str) -> bool:
        """Return whether this node ranks first among the members for a group.

        The ranking is that of ReplicaRepairController, so one node does both.
        """
        members = list(self._board.fleet.members_by_id.values())
        ranked = rank_members(f"steward\0{group_id}", members)
        return bool(ranked) and ranked[0].node_id == self._board.node_id

    def probe_now(self, server_id: str) -> None:
        """Probe a server at once, unless a probe is in progress.

        Args:
            server_id: The server.
        """
        self._probe(server_id, self._clock())

    def _probe(self, server_id: str, now_s: float) -> None:
        running = self._tasks_by_server.get(server_id)
        if running is not None and not running.done():
            return
        self._probed_at_s[server_id] = now_s
        self._tasks_by_server[server_id] = asyncio.get_running_loop().create_task(
            self._run_probe(server_id)
        )

    async def _run_probe(self, server_id: str) -> None:
        board = self._board
        sent_at_s = self._clock()
        view = board.server_view(server_id)
        view.record_request(sent_at_s)
        try:
            status = await self._orders.read_status(server_id)
        except BackendDeclinedError:
            view.record_request_ended(self._clock(), True)
            return
        except BackendError as error:
            view.record_request_ended(self._clock(), False)
            view.restart_suspected_at_s = self._clock()
            refused = isinstance(error, BackendRefusedError)
            if refused and view.refused_at_s is None:
                log.info("dependency lost", dependency=server_id, reason=str(error))
            record_status_failure(board, server_id, refused, self._clock())
            return
        except BaseException:
            view.record_request_ended(self._clock(), False)
            raise
        if view.refused_at_s is not None:
            log.info("dependency regained", dependency=server_id)
        view.record_request_ended(self._clock(), True)
        record_status(board, server_id, status, sent_at_s, self._clock())
        self._record_role(server_id)

    def _record_role(self, server_id: str) -> None:
        board = self._board
        server = board.inventory.servers_by_id.get(server_id)
        term = board.group_term(server.group_id) if server is not None else None
        status = board.server_view(server_id).status
        if term is None or status is None or not term.primary:
            return
        is_confirmed_replica = (
            is_replica_status(term, status) and not status.held_for_term
        )
        if is_confirmed_replica or is_primary_status(term, server_id, status):
            self._confirmed_roles[server_id] = (term.term, server.born_ms)
        else:
            self._confirmed_roles.pop(server_id, None)

    def close(self) -> None:
        """Cancel the probes in progress."""
        for task in self._tasks_by_server.values():
            task.cancel()
