"""Records departed logs in the fleet state, for processes that start later.

A server that leaves is recorded while it still runs, since all processes may be
restarted while it ends.  The log of another server is recorded only if it is not
covered soon, because a replica lags or receives nothing.
"""

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import DatabaseGroup, Fleet, ServerLog
from pollencleat.core.effects import UpdateFleet
from pollencleat.limits.gateways import list_gateways
from pollencleat.membership.fleet import with_departed_logs

PURPOSE = "departed logs"

RECORD_AFTER_S = 2.0
"""Seconds for which a change is known before it is recorded."""

RANK_DELAY_S = 1.0
"""Seconds that the node of each further failure domain waits longer."""

UPDATE_INTERVAL_S = 1.0
"""Shortest time in seconds between two updates that this node requests."""

RECORDED_WITHIN_S = 5.0
"""Seconds within which a departure is recorded while the platform accepts updates, even
if no node is left in two of the failure domains."""

MAX_READ_AGE_S = 1.5
"""Largest age in seconds of the platform read that permits an update."""


class DepartedLogRecorder:
    """Keeps the fleet state's departed logs up to date; runs on every node."""

    def __init__(self, board: Blackboard) -> None:
        """Read state from and append effects to a blackboard."""
        self._board = board
        self._due_since_s: dict[tuple[str, ServerLog], float] = {}
        self._seen_recorded: set[ServerLog] = set()
        self._updated_at_s = -1e9

    def tick(self, now_s: float) -> None:
        """Request an update if changes are due.

        Args:
            now_s: Local time.
        """
        board = self._board
        for logs in board.fleet.departed_logs_by_group.values():
            self._seen_recorded.update(logs)
        changes = {}
        for group_id, group in board.inventory.groups_by_id.items():
            for changed in self._find_changes(group):
                key = (group_id, changed)
                changes[key] = self._due_since_s.get(key, now_s)
        self._due_since_s = changes
        if not changes or not self._may_update(now_s):
            return
        fleet = board.fleet
        for group_id, group in board.inventory.groups_by_id.items():
            due = {
                changed
                for (name, changed), since_s in changes.items()
                if name == group_id and self._is_due(group, changed, now_s - since_s)
            }
            if due:
                recorded = set(fleet.departed_logs_by_group.get(group_id, ()))
                fleet = with_departed_logs(fleet, group_id, recorded ^ due)
        if fleet is not board.fleet:
            self._request_update(fleet, now_s)

    def _find_changes(self, group: DatabaseGroup) -> set[ServerLog]:
        """Return the logs to be added to the record, and those to be dropped from it.

        A log is added once at most: another node may know that it is covered.  None is
        dropped during a promotion, which would have to repeat its update; what is to
        be added cannot wait, because the choice may wait for that log.
        """
        board = self._board
        group_id = group.group_id
        recorded = set(board.fleet.departed_logs_by_group.get(group_id, ()))
        needed: set[ServerLog] = set()
        if group.acknowledging_replicas:
            needed.update(board.departed_logs_by_group.get(group_id, ()))
            needed.update(board.lapsed_logs_by_group.get(group_id, ()))
        not_needed = set(board.covered_logs_by_group.get(group_id, ()))
        for server_id in group.server_ids:
            server = board.inventory.servers_by_id[server_id]
            registered = ServerLog(server_id, server.born_ms)
            if server_id in board.vms.leaving:
                # All processes may be restarted while it ends.
                needed.add(registered)
            else:
                not_needed.add(registered)
        if not group.acknowledging_replicas:
            needed.clear()
            not_needed |= recorded
        added = needed - recorded - self._seen_recorded - not_needed
        terms = board.fleet.terms_by_group.values()
        if any(term.promotion is not None for term in terms):
            return added
        return added | (recorded & not_needed)

    def _may_update(self, now_s: float) -> bool:
        board = self._board
        if not board.is_member() or board.resigning:
            return False
        if board.restored is not None:
            return False
        if now_s - self._updated_at_s < UPDATE_INTERVAL_S:
            return False
        return now_s - board.fleet_confirmed_at_s < MAX_READ_AGE_S

    def _is_due(self, group: DatabaseGroup, changed: ServerLog, for_s: float) -> bool:
        """Return whether this node records a change for its failure domain now."""
        board = self._board
        if not group.server_ids:
            return False
        server = board.inventory.servers_by_id[group.server_ids[0]]
        gateways_by_domain = list_gateways(board, server)
        own = gateways_by_domain.get(board.failure_domain, ())
        if not own or own[0].node_id != board.node_id:
            return False
        if board.draining:
            # The process hands on what it knows before it ends.
            return True
        rank = sorted(gateways_by_domain).index(board.failure_domain)
        wait_s = 0.0 if self._holds_up_choice(group, changed) else RECORD_AFTER_S
        return for_s >= wait_s + rank * RANK_DELAY_S

    def _holds_up_choice(self, group: DatabaseGroup, changed: ServerLog) -> bool:
        """Return whether a choice in progress may wait because of a departed log.

        An old primary usually lapses while it is replaced, which needs no update.
        """
        term = self._board.group_term(group.group_id)
        if term is None or term.promotion is None:
            return False
        departed = self._board.departed_logs_by_group.get(group.group_id, ())
        return changed in departed and (changed.server_id != term.promotion.old_primary)

    def _request_update(self, fleet: Fleet, now_s: float) -> None:
        board = self._board
        self._updated_at_s = now_s
        count = sum(len(logs) for logs in fleet.departed_logs_by_group.values())
        board.effects.append(
            UpdateFleet(
                PURPOSE, board.fleet.version, fleet, f"{count} departed logs recorded"
            )
        )
