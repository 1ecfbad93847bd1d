"""Logs of servers that have ended, which may have held acknowledged commits.

Where a commit needs k replicas before it is acknowledged, a replica that leaves counts
among them until it has ended, and its log ends with it.  The primary's log may then be
the only one left with that commit.  A departed log therefore counts as one that does
not answer: in the choice of a primary, and in the bounds that replicas give for reads.

It stops to count once k registered replicas have received a position that the primary
reported for a request sent after the departure.  Every commit that the departed server
can have acknowledged lies at or below that position, so each of them is again in k
other logs.  The positions come with ordinary replies; where there are none, one node of
each failure domain requests statuses.
"""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.bounds import is_before
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    GroupTerm,
    Position,
    ServerLog,
    VmList,
)
from pollencleat.limits.gateways import list_gateways
from pollencleat.limits.shares import connections_allowed
from pollencleat.membership.permits import writable_term
from pollencleat.routing.freshness import is_primary_status
from pollencleat.routing.replica_positions import received_position

TRAFFIC_WAIT_S = 0.4
"""Seconds after a departure in which only ordinary replies are used."""

MIN_PROBE_INTERVAL_S = 0.4
"""Seconds between the first two status requests for a departed log."""

MAX_PROBE_INTERVAL_S = 4.0
"""Largest interval in seconds, to which it doubles while a replica lags."""

MAX_OLDER_COVERED = 31
"""Covered logs remembered per group in addition to the newest."""

log = structlog.get_logger()


@dataclass(slots=True)
class ProbeSchedule:
    """When statuses are requested for a departed log; times are local."""

    next_at_s: float
    interval_s: float = MIN_PROBE_INTERVAL_S


class DepartedLogController:
    """Records departed logs on the blackboard, and drops those that no longer count."""

    def __init__(
        self,
        board: Blackboard,
        request_probe: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Create a controller, which follows the board's VM list.

        Args:
            board: The node's state.
            request_probe: Has the status of a server with the given id read soon.
            clock: Returns the local time in seconds, suspended time included.
        """
        self._board = board
        self._request_probe = request_probe
        self._clock = clock
        # Servers that are registered, or lapsed: these may come back with their logs.
        self._servers_by_id: dict[str, BackendServer] = {}
        self._schedules_by_log: dict[ServerLog, ProbeSchedule] = {}
        self._seen_records: set[ServerLog] = set()
        # A departure that counts only from the next tick on is missed by a choice of a
        # primary before it.
        board.vms_followers.append(self._follow_vms)

    def tick(self, now_s: float) -> None:
        """Drop the logs that no longer count.

        Args:
            now_s: Local time.
        """
        board = self._board
        if board.vms.version and board.fleet.departed_logs_by_group:
            self._note_recorded(now_s)
        for group_id, logs in board.departed_logs_by_group.items():
            group = board.inventory.groups_by_id.get(group_id)
            if group is None or not logs:
                continue
            for departed, since_s in list(logs.items()):
                if self._is_covered(group, departed, since_s, now_s):
                    self._drop(group_id, departed, now_s - since_s)

    def _follow_vms(self) -> None:
        self._note_departures(self._board.vms, self._clock())

    def _note_departures(self, vms: VmList, now_s: float) -> None:
        board = self._board
        for server_id, server in list(self._servers_by_id.items()):
            registered = vms.servers_by_id.get(server_id)
            if registered is not None:
                has_ended = registered.born_ms != server.born_ms
            else:
                lapsed = vms.lapsed_by_group.get(server.group_id, ())
                has_ended = server_id not in lapsed
            if has_ended:
                del self._servers_by_id[server_id]
                self._add(server.group_id, _log_of(server), now_s)
        for server in vms.servers_by_id.values():
            # Its entry was missing for a while.
            logs = board.departed_logs_by_group.get(server.group_id, {})
            logs.pop(_log_of(server), None)
        board.lapsed_logs_by_group.clear()
        for server_id, server in self._servers_by_id.items():
            if server_id not in vms.servers_by_id:
                logs = board.lapsed_logs_by_group.setdefault(server.group_id, set())
                logs.add(_log_of(server))
        self._servers_by_id.update(vms.servers_by_id)

    def _note_recorded(self, now_s: float) -> None:
        """Adopt the departures that were recorded before this process knew the group.

        The others are known from the lists of servers.
        """
        board = self._board
        for group_id, recorded in board.fleet.departed_logs_by_group.items():
            for departed in recorded:
                if departed in self._seen_records:
                    continue
                self._seen_records.add(departed)
                server = self._servers_by_id.get(departed.server_id)
                is_present = server is not None and _log_of(server) == departed
                is_covered = departed in board.covered_logs_by_group.get(group_id, ())
                logs = board.departed_logs_by_group.get(group_id, {})
                if not is_present and not is_covered and departed not in logs:
                    board.recorded_logs.add(departed)
                    self._add(group_id, departed, now_s)

    def _add(self, group_id: str, departed: ServerLog, now_s: float) -> None:
        self._board.departed_logs_by_group.setdefault(group_id, {})[departed] = now_s
        self._schedules_by_log[departed] = ProbeSchedule(now_s + TRAFFIC_WAIT_S)
        log.info(
            "log departed",
            group=group_id,
            server=departed.server_id,
            born_ms=departed.born_ms,
        )

    def _drop(self, group_id: str, departed: ServerLog, after_s: float) -> None:
        board = self._board
        del board.departed_logs_by_group[group_id][departed]
        self._schedules_by_log.pop(departed, None)
        covered = board.covered_logs_by_group.get(group_id, ())
        board.covered_logs_by_group[group_id] = (
            *covered[-MAX_OLDER_COVERED:],
            departed,
        )
        log.info(
            "departed log covered",
            group=group_id,
            server=departed.server_id,
            after_ms=round(after_s * 1000),
        )

    def _is_covered(
        self, group: DatabaseGroup, departed: ServerLog, since_s: float, now_s: float
    ) -> bool:
        """Return whether no acknowledged commit can depend on a departed log."""
        if not group.acknowledging_replicas:
            return True
        term = writable_term(self._board, group.group_id, now_s)
        if term is None:
            return False
        position = find_primary_position(self._board, term, since_s)
        lacking = []
        for server_id in group.server_ids:
            if server_id == term.primary:
                continue
            received = find_received_position(
                self._board.server_view(server_id), since_s
            )
            if position is None or received is None or is_before(received, position):
                lacking.append(server_id)
        if position is None:
            lacking.append(term.primary)
        received_count = len(group.server_ids) - 1 - len(lacking)
        if position is not None and received_count >= group.acknowledging_replicas:
            return True
        self._request_statuses(departed, lacking, now_s)
        return False

    def _request_statuses(
        self, departed: ServerLog, server_ids: list[str], now_s: float
    ) -> None:
        schedule = self._schedules_by_log[departed]
        if now_s < schedule.next_at_s:
            return
        probed = [server_id for server_id in server_ids if self._may_probe(server_id)]
        if not probed:
            # This node may become the one that asks for its failure domain.
            return
        schedule.next_at_s = now_s + schedule.interval_s
        schedule.interval_s = min(MAX_PROBE_INTERVAL_S, 2 * schedule.interval_s)
        for server_id in probed:
            self._request_probe(server_id)

    def _may_probe(self, server_id: str) -> bool:
        """Return whether this node probes a server for its failure domain."""
        board = self._board
        server = board.inventory.servers_by_id.get(server_id)
        if server is None or connections_allowed(board, server_id) <= 0:
            return False
        gateways = list_gateways(board, server).get(board.failure_domain, ())
        return bool(gateways) and gateways[0].node_id == board.node_id


def find_primary_position(
    board: Blackboard, term: GroupTerm, since_s: float
) -> Position | None:
    """Return a log position that a primary reported for a request after a time.

    Args:
        board: The node's state.
        term: The group's term, under which this node may write now.
        since_s: Local time.

    Returns:
        A position at or above every commit that was acknowledged before that time, the
        lowest one known; None if there is none.
    """
    positions = []
    bounds = board.bounds_by_group.get(term.group_id)
    if bounds is not None and bounds.term == term.term:
        position = bounds.position_bound_since(since_s)
        if position is not None:
            positions.append(position)
    view = board.server_view(term.primary)
    if (
        view.status is not None
        and view.status_sent_at_s >= since_s
        and is_primary_status(term, term.primary, view.status)
    ):
        positions.append(received_position(view))
    return min(positions, key=_order, default=None)


def find_received_position(view: ServerView, since_s: float) -> Position | None:
    """Return the highest log position that a server reported after a time.

    Args:
        view: This node's observations of the server.
        since_s: Local time; replies to earlier requests do not count, since the server
            may have lost its log since.

    Returns:
        The position, or None if there is none.
    """
    positions = []
    if view.applied is not None and view.applied_sent_at_s >= since_s:
        positions.append(view.applied)
    if view.status is not None and view.status_sent_at_s >= since_s:
        positions.append(received_position(view))
    return max(positions, key=_order, default=None)


def _log_of(server: BackendServer) -> ServerLog:
    return ServerLog(server.server_id, server.born_ms)


def _order(position: Position) -> tuple[int, int]:
    return (position.term, position.position)
