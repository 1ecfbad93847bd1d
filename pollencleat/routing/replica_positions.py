"""Bounds of acknowledged commits from the positions of replicas.

Load pattern: a primary is lost, cut off or about to be replaced.  Its answers were the
only proof of how old a replica's data is, so reads that a replica could serve are
refused from one age limit after its last answer until the next primary answers: longer
than all other steps of the change together.

Where a commit needs k replicas before it is acknowledged, it is in the logs of at
least k + 1 servers.  If all servers but k report their positions, one of them has every
commit that was acknowledged before the first of these requests was sent.  None lies
beyond the highest of the positions, whichever server leads and whether or not a
promotion is in progress.  A server that restarted may have lost its log and does not
count until it has had time to receive it again; a connection that stays open shows that
it has not restarted.  Servers that have gone are among all servers as long as their
logs may have been the only ones with a commit (departed_logs.py).

The requests occupy slots, so they are sent only while reads want a bound and the
primary gives none.
"""

from collections.abc import Callable

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.bounds import AcknowledgedBounds, is_before
from pollencleat.core.data import DatabaseGroup, Position
from pollencleat.limits.growth import DEAD_CONNECTIONS_COUNTED_S
from pollencleat.limits.shares import connections_allowed, reserved_connections
from pollencleat.membership.permits import writable_term
from pollencleat.routing.departed_log_records import RECORDED_WITHIN_S

BOUND_WANTED_S = 1.0
"""Seconds after a read wanted a newer bound for which one is collected."""

RENEWAL_SHARE = 0.5
"""Fraction of the shortest age limit of a group's reads after which a bound is
renewed."""

STATUS_INTERVAL_S = 0.25
"""Shortest time in seconds between two status requests to a server."""

PRIMARY_SILENT_S = 0.25
"""Seconds without an answer after which a primary is not expected to give bounds."""

STATUS_VALID_S = 1.0
"""Seconds for which a status counts, from when it was requested."""

LOG_RECOVERY_S = 3.0
"""Seconds after a possible restart within which a server may lack commits that it had
received before."""


class ReplicaPositionController:
    """Collects the positions of replicas for groups whose reads lack a bound."""

    def __init__(self, board: Blackboard, request_probe: Callable[[str], None]) -> None:
        """Create a controller.

        Args:
            board: The node's state.
            request_probe: Has the status of a server with the given id read soon.
        """
        self._board = board
        self._request_probe = request_probe
        # Start time of each registered server, and when this node learned of it.
        self._known_since: dict[str, tuple[int, float]] = {}
        self._received_by_server: dict[str, Position] = {}
        self._started_at_s: float | None = None

    def tick(self, now_s: float) -> None:
        """Request the statuses that are needed, and record the bounds that they give.

        Args:
            now_s: Local time.
        """
        board = self._board
        if self._started_at_s is None:
            self._started_at_s = now_s
        self._note_registered_servers(now_s)
        for group_id, group in board.inventory.groups_by_id.items():
            if not group.acknowledging_replicas:
                continue
            if not is_bound_wanted(board, group_id, now_s):
                continue
            self._request_statuses(group, now_s)
            self._record_bound(group, now_s)

    def _request_statuses(self, group: DatabaseGroup, now_s: float) -> None:
        board = self._board
        for server_id in group.server_ids:
            asked_ago_s = now_s - board.server_view(server_id).status_sent_at_s
            if asked_ago_s < STATUS_INTERVAL_S:
                continue
            if connections_allowed(board, server_id) > 0:
                self._request_probe(server_id)

    def _note_registered_servers(self, now_s: float) -> None:
        servers_by_id = self._board.inventory.servers_by_id
        for server_id, server in servers_by_id.items():
            # A server that starts again without its log soon reports less.
            self._board.server_view(server_id).note_reports()
            known = self._known_since.get(server_id)
            if known is None or known[0] != server.born_ms:
                self._known_since[server_id] = (server.born_ms, now_s)
            elif now_s - known[1] > DEAD_CONNECTIONS_COUNTED_S:
                self._open_connection(server_id)
        for server_id in set(self._known_since) - set(servers_by_id):
            del self._known_since[server_id]
            self._received_by_server.pop(server_id, None)

    def _open_connection(self, server_id: str) -> None:
        """Have a connection opened that later shows that the server did not restart."""
        if self._board.server_view(server_id).status is not None:
            return
        if reserved_connections(self._board, server_id) > 0:
            self._request_probe(server_id)

    def _record_bound(self, group: DatabaseGroup, now_s: float) -> None:
        board = self._board
        if now_s - self._started_at_s < RECORDED_WITHIN_S:
            # Logs may have departed before this process was there to see it.
            return
        term = board.group_term(group.group_id)
        if term is None:
            return
        needed = self._count_needed(group)
        counted = []
        for server_id in group.server_ids:
            view = board.server_view(server_id)
            if self._counts(server_id, view, now_s):
                counted.append(view)
        if needed <= 0 or len(counted) < needed:
            return
        counted.sort(key=lambda view: view.status_sent_at_s, reverse=True)
        positions = [received_position(view) for view in counted]
        highest = max(positions, key=lambda item: (item.term, item.position))
        bounds = board.bounds_by_group.setdefault(group.group_id, AcknowledgedBounds())
        bounds.add(term.term, counted[needed - 1].status_sent_at_s, highest)

    def _count_needed(self, group: DatabaseGroup) -> int:
        """Return how many servers must report.

        Lapsed servers and departed logs may hold commits that no other replica has.
        """
        lapsed = self._board.vms.lapsed_by_group.get(group.group_id, ())
        departed = self._board.departed_logs_by_group.get(group.group_id, ())
        logs = len({*group.server_ids, *lapsed}) + len(departed)
        return logs - group.acknowledging_replicas

    def _counts(self, server_id: str, view: ServerView, now_s: float) -> bool:
        """Return whether a server's log certainly has all that it ever received."""
        if view.status is None or now_s - view.status_sent_at_s > STATUS_VALID_S:
            return False
        running_since_s = max(
            view.restart_suspected_at_s, self._known_since[server_id][1]
        )
        if view.status.connected_at_s is not None:
            running_since_s = min(running_since_s, view.status.connected_at_s)
        if view.status_sent_at_s - running_since_s < LOG_RECOVERY_S:
            return False
        received = received_position(view)
        known = self._received_by_server.get(server_id, received)
        if view.applied is not None and is_before(known, view.applied):
            known = view.applied
        if is_before(received, known):
            return False
        self._received_by_server[server_id] = received
        return True


def received_position(view: ServerView) -> Position:
    """Return the log position that a server reported as received in its status."""
    return Position(view.status.last_entry_term, view.status.received_position)


def is_bound_wanted(board: Blackboard, group_id: str, now_s: float) -> bool:
    """Return whether reads of a group want a newer bound than the primary gives.

    Args:
        board: The node's state.
        group_id: The group.
        now_s: Local time.

    Returns:
        True if reads wanted a bound lately, the newest one is old, and the primary is
        not known to answer this node.
    """
    wanted_at_s = board.bound_wanted_at_s.get(group_id)
    if wanted_at_s is None or now_s - wanted_at_s > BOUND_WANTED_S:
        return False
    bounds = board.bounds_by_group.get(group_id)
    newest_at_s = bounds.entries[-1][0] if bounds and bounds.entries else -1e9
    if now_s - newest_at_s <= RENEWAL_SHARE * shortest_age_limit_s(board, group_id):
        return False
    term = writable_term(board, group_id, now_s)
    if term is None:
        return True
    return board.server_view(term.primary).unanswered_for_s(now_s) > PRIMARY_SILENT_S


def shortest_age_limit_s(board: Blackboard, group_id: str) -> float:
    """Return the shortest age limit in seconds of the reads of a group.

    Args:
        board: The node's state.
        group_id: The group.

    Returns:
        Seconds; 0 if no route of the group limits the age of its reads.
    """
    limits_ms = [
        route.max_age_ms
        for route in board.inventory.routes_by_database.values()
        if route.group_id == group_id and route.max_age_ms
    ]
    return min(limits_ms, default=0) / 1000
