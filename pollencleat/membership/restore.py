"""Settles the fleet state after its store came back from an older copy.

While the state is unsettled, writes go on where they rest on the other members'
promises: these are given from node to node, and no promotion can begin before the state
is settled.  Permits that rest on a read of before the restore end when they would have
ended, since a term that begins later waits for them.

A member settles the state as soon as all other members have promised since it saw the
restore: a promise is counted only by a node that knows at least as much as its sender,
so nothing that a member knows is missing.  If members are missing, it waits until an
order that rests on a lost term can no longer be sent, and asks the servers.  A process
that was just started knows nothing; it settles only if every other one was started too,
or after the longest time for which a member may write without the store.
"""

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import MAX_CLOCK_DRIFT
from pollencleat.core.data import Fleet, ServerStatus
from pollencleat.core.effects import (
    FleetUpdated,
    ReadServerStatus,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.versions import era_of, format_version
from pollencleat.membership.permits import domain_promised_at_s
from pollencleat.membership.restored import (
    is_renewed,
    merge_restored,
    shows_known_term,
    with_doubtful_terms_replaced,
)
from pollencleat.promotion.attempt import ORDER_MAX_READ_AGE_S

log = structlog.get_logger()

RESTORE_PURPOSE = "restore"

ORDER_DURATION_S = 1.0
"""Seconds that a promote order may be under way after it was sent."""

SETTLE_WITHOUT_ALL_AFTER_S = (
    ORDER_MAX_READ_AGE_S * (1 + 3 * MAX_CLOCK_DRIFT) + ORDER_DURATION_S
)
"""Seconds after which no promote order can rest on a read of before the restore."""

STATUS_WAIT_S = 0.7
"""Seconds to wait for the servers' statuses."""

RETRY_INTERVAL_S = 0.3
"""Seconds before a lost or refused update is tried again."""


class RestoreController:
    """Settles a restored fleet state; every node that reads the platform tries it."""

    def __init__(self, board: Blackboard) -> None:
        """Create a controller for the node whose state is on the blackboard."""
        self.board = board
        self._is_update_pending = False
        self._next_try_at_s = -1e9
        self._asked_at_s: float | None = None
        self._statuses: dict[str, ServerStatus] = {}

    def tick(self, now_s: float) -> None:
        """Settle the restored state if that is due.

        Args:
            now_s: Local time.
        """
        board = self.board
        if board.restored is None:
            self._asked_at_s = None
            return
        if self._is_update_pending or now_s < self._next_try_at_s:
            return
        if board.is_member() and have_all_promised(board, board.restored_seen_at_s):
            settled = self._merge()
            self._settle(settled, "all members agree")
            return
        if not self._may_settle_without_all(now_s):
            return
        if self._asked_at_s is None:
            self._ask_servers(now_s)
            return
        if now_s - self._asked_at_s < STATUS_WAIT_S and not self._have_all_answered():
            return
        settled = self._merge()
        doubtful = self._find_doubtful_groups(settled)
        settled = with_doubtful_terms_replaced(settled, doubtful)
        self._asked_at_s = None
        self._settle(settled, f"members missing; primaries replaced: {doubtful}")

    def _may_settle_without_all(self, now_s: float) -> bool:
        board = self.board
        seen_for_s = now_s - board.restored_seen_at_s
        if seen_for_s < SETTLE_WITHOUT_ALL_AFTER_S:
            return False
        if board.is_member():
            return True
        if board.incarnation not in {
            member.incarnation for member in board.restored.members_by_id.values()
        }:
            return False
        if is_renewed(board.restored, era_of(board.restored.version)):
            return True
        outage_limit_s = board.inventory.rules.outage_limit_s
        return seen_for_s >= outage_limit_s * (1 + 3 * MAX_CLOCK_DRIFT)

    def _merge(self) -> Fleet:
        restored = self.board.restored
        return merge_restored(self.board.fleet, restored, era_of(restored.version))

    def _settle(self, settled: Fleet, basis: str) -> None:
        board = self.board
        self._is_update_pending = True
        log.info(
            "restored state settled",
            known=format_version(board.fleet.version),
            restored=format_version(board.restored.version),
            basis=basis,
        )
        board.effects.append(
            UpdateFleet(
                RESTORE_PURPOSE,
                board.restored.version,
                settled,
                f"store restored; {basis}",
            )
        )

    def on_updated(self, result: FleetUpdated, now_s: float) -> None:
        """Process the result of an update; a lost one is read back and tried again.

        Args:
            result: The result.
            now_s: Local time.
        """
        self._is_update_pending = False
        self._next_try_at_s = now_s + RETRY_INTERVAL_S
        if result.version:
            self.board.adopt_updated_fleet(result, now_s)

    def _ask_servers(self, now_s: float) -> None:
        self._asked_at_s = now_s
        self._statuses = {}
        for group in self.board.inventory.groups_by_id.values():
            for server_id in group.server_ids:
                self.board.effects.append(ReadServerStatus(RESTORE_PURPOSE, server_id))

    def on_status_read(self, result: ServerStatusRead) -> None:
        """Record the status of a server.

        Args:
            result: The status; answers to other questions are ignored.
        """
        if result.attempt_id == RESTORE_PURPOSE and result.status is not None:
            self._statuses[result.server_id] = result.status

    def _have_all_answered(self) -> bool:
        groups = self.board.inventory.groups_by_id.values()
        return all(
            server_id in self._statuses
            for group in groups
            for server_id in group.server_ids
        )

    def _find_doubtful_groups(self, settled: Fleet) -> list[str]:
        groups_by_id = self.board.inventory.groups_by_id
        doubtful = []
        for group_id, record in settled.terms_by_group.items():
            if not record.primary:
                continue
            group = groups_by_id.get(group_id)
            server_ids = group.server_ids if group is not None else ()
            if not shows_known_term(record, server_ids, self._statuses):
                doubtful.append(group_id)
        return doubtful


def have_all_promised(board: Blackboard, since_s: float) -> bool:
    """Return whether all other members have given a promise since a time.

    Args:
        board: The node's state.
        since_s: Local time.

    Returns:
        True if so; then this node knows all that they knew at that time.
    """
    for domain, members in board.fleet_index().members_by_domain.items():
        if domain_promised_at_s(board, domain, members) < since_s:
            return False
    return True
