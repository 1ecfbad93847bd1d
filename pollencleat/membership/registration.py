"""Registration: joining, granting promotion rights, and leaving.

A new member may promote servers only after an existing member has granted it that
right.  The granting member first waits until all promises that it gave before it knew
the new member have expired.  From then on, every write permit that relies on the
granting member's promise also requires the new member's.
"""

import dataclasses

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import (
    MAX_CLOCK_DRIFT,
    PLATFORM_PERMIT_S,
    PROMISE_DURATION_S,
)
from pollencleat.core.data import Fleet, Member, RemovedMember
from pollencleat.core.effects import FleetUpdated, ReadPlatform, UpdateFleet
from pollencleat.core.index import rank_members
from pollencleat.core.versions import era_of
from pollencleat.membership.eviction import MAX_READ_AGE_S, EvictionController
from pollencleat.membership.fleet import (
    NO_SEAT,
    with_free_seats_assigned,
    with_member,
    with_promotion_right,
    without_member,
    without_removal_records,
)
from pollencleat.membership.restored import first_term_of, with_member_after_restore

MEMBERSHIP_PURPOSE = "membership"
CONFLICT_VERSION = 0
"""Result version of an update that lost against another node's update."""

CHANGE_INTERVAL_S = 0.3
"""Minimum delay between two changes by this node, unless it is joining or leaving."""

JOIN_BACKOFF_S = 0.05
"""Initial retry delay of a joining or leaving node, doubled with each conflict up to
CHANGE_INTERVAL_S.  All nodes may start at the same moment, and the platform accepts one
change at a time, within some milliseconds."""

GRANT_RANK_DELAY_S = 0.25
"""Extra delay per rank before a member grants a promotion right, so only one acts."""

GRANT_AFTER_S = PROMISE_DURATION_S * (1 + 3 * MAX_CLOCK_DRIFT)
"""Delay after which promises given before a member was known have expired."""

REMOVED_RETENTION_S = 8 * PLATFORM_PERMIT_S
"""Minimum time for which the record of a removed member is kept."""


class RegistrationController:
    """Keeps this node registered and the list of members up to date."""

    def __init__(self, board: Blackboard) -> None:
        """Create a controller for the node whose state is on the blackboard."""
        self.board = board
        self._is_update_pending = False
        self._next_change_at_s = -1e9
        self._conflict_count = 0
        self.eviction = EvictionController(board)

    def tick(self, now_s: float) -> None:
        """Request at most one change of the fleet state.

        Args:
            now_s: Local time in seconds.
        """
        board = self.board
        self.eviction.tick(now_s)
        if self._is_update_pending or now_s < self._next_change_at_s:
            return
        if self._is_joining_or_leaving():
            if self._conflict_count or board.resigning:
                # The change follows at once in on_platform_read, before other nodes
                # change the state.
                self._next_change_at_s = now_s + JOIN_BACKOFF_S
                board.effects.append(ReadPlatform(now_s))
            return
        # Only relays read the platform; other members learn of reads by heartbeats.
        platform_seen_at_s = max(board.read_answered_at_s, board.fleet_confirmed_at_s)
        if now_s - platform_seen_at_s > MAX_READ_AGE_S:
            return
        self._try_change(now_s)

    def on_platform_read(self, now_s: float) -> None:
        """Join or leave the fleet, based on the state that was just read.

        Args:
            now_s: Local time in seconds.
        """
        if self._is_joining_or_leaving() and not self._is_update_pending:
            self._try_change(now_s)

    def _is_joining_or_leaving(self) -> bool:
        return self.board.resigning or not self.board.is_member()

    def _try_change(self, now_s: float) -> None:
        board = self.board
        base = board.fleet
        if board.restored is None:
            change = self._choose_change(now_s)
        else:
            base = board.restored
            change = self._join_unsettled(base)
        if change is None:
            return
        fleet, cause = change
        self._is_update_pending = True
        board.effects.append(
            UpdateFleet(MEMBERSHIP_PURPOSE, base.version, fleet, cause)
        )

    def _join_unsettled(self, restored: Fleet) -> tuple[Fleet, str] | None:
        """Join a restored state; nothing else changes before it is settled."""
        board = self.board
        listed = restored.members_by_id.get(board.node_id)
        if board.is_member() or board.resigning:
            return None
        if listed is not None and listed.incarnation == board.incarnation:
            return None
        fleet = with_member_after_restore(
            restored, self._make_member(), era_of(restored.version)
        )
        return fleet, f"member {board.node_id} registered after a restore"

    def on_updated(self, result: FleetUpdated, now_s: float) -> None:
        """Process the result of an update.

        If the answer was lost, the next platform read shows whether it succeeded.

        Args:
            result: The result.
            now_s: Local time in seconds.
        """
        self._is_update_pending = False
        self._next_change_at_s = now_s + self._retry_delay_s(result) * (
            1 + self.board.random.random()
        )
        if not result.version:
            return
        self.board.adopt_updated_fleet(result, now_s)

    def _retry_delay_s(self, result: FleetUpdated) -> float:
        if result.version != CONFLICT_VERSION:
            self._conflict_count = 0
            return CHANGE_INTERVAL_S
        self._conflict_count += 1
        if not self._is_joining_or_leaving():
            return CHANGE_INTERVAL_S
        return min(CHANGE_INTERVAL_S, JOIN_BACKOFF_S * 2 ** (self._conflict_count - 1))

    def _choose_change(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        if board.resigning:
            if not board.is_member():
                return None
            fleet = without_member(board.fleet, board.node_id, resigned=True)
            return fleet, f"member {board.node_id} resigned"
        if not board.is_member():
            return self._make_registered_fleet(), f"member {board.node_id} registered"
        return (
            self._grant_promotion_rights(now_s)
            or self.eviction.choose_change(now_s)
            or self._assign_free_seats()
            or self._delete_old_removals(now_s)
        )

    def _make_registered_fleet(self) -> Fleet:
        board = self.board
        if board.incarnation in board.fleet.removed_by_incarnation:
            # A promoter measures the time since an incarnation was removed, so an
            # incarnation must not join and be removed a second time.
            board.incarnation = f"{board.random.getrandbits(64):016x}"
            board.registered_at_s = None
        fleet = board.fleet
        if not fleet.version:
            # Terms of a group may have begun in an object that a restore has lost.
            next_term = first_term_of(board.store_era)
            fleet = dataclasses.replace(fleet, era=board.store_era, next_term=next_term)
        return with_member(fleet, self._make_member(), board.inventory.rules.seats)

    def _make_member(self) -> Member:
        board = self.board
        return Member(
            board.node_id,
            board.incarnation,
            board.failure_domain,
            board.address,
            board.admin_address,
            NO_SEAT,
            False,
            board.public_key,
        )

    def _grant_promotion_rights(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        own_member = board.fleet.members_by_id[board.node_id]
        if not own_member.may_promote:
            return self._grant_own_promotion_right(now_s)
        wait_s = GRANT_AFTER_S + self._rank_as_grantor() * GRANT_RANK_DELAY_S
        due_ids = [
            member.node_id
            for member in board.fleet.members_by_id.values()
            if not member.may_promote
            and now_s - board.member_learned_at_s[member.incarnation] >= wait_s
        ]
        if not due_ids:
            return None
        fleet = board.fleet
        for node_id in due_ids:
            fleet = with_promotion_right(fleet, node_id)
        return (
            fleet,
            f"members {', '.join(due_ids)} vouched for by {board.node_id}",
        )

    def _rank_as_grantor(self) -> int:
        members = self.board.fleet.members_by_id.values()
        grantors = [member for member in members if member.may_promote]
        ranked = rank_members("vouch", grantors)
        return [member.node_id for member in ranked].index(self.board.node_id)

    def _grant_own_promotion_right(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        wait_s = board.inventory.rules.outage_limit_s * (1 + 3 * MAX_CLOCK_DRIFT)
        if board.fleet.members_by_id[board.node_id].is_heir:
            wait_s = min(wait_s, GRANT_AFTER_S)
        if board.registered_at_s is None or now_s - board.registered_at_s < wait_s:
            return None
        fleet = with_promotion_right(board.fleet, board.node_id)
        return (
            fleet,
            f"member {board.node_id} vouched for itself after {wait_s:.1f} s",
        )

    def _assign_free_seats(self) -> tuple[Fleet, str] | None:
        board = self.board
        fleet = with_free_seats_assigned(board.fleet, board.inventory.rules.seats)
        if fleet == board.fleet:
            return None
        return fleet, "free seats taken"

    def _delete_old_removals(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        ranked = rank_members("forget", list(board.fleet.members_by_id.values()))
        if ranked[0].node_id != board.node_id:
            return None
        expired = [
            incarnation
            for incarnation, entry in board.fleet.removed_by_incarnation.items()
            if now_s - board.removal_learned_at_s[incarnation]
            > self._removal_retention_s(entry)
        ]
        if not expired:
            return None
        return without_removal_records(board.fleet, expired), "former members forgotten"

    def _removal_retention_s(self, entry: RemovedMember) -> float:
        if entry.resigned:
            return REMOVED_RETENTION_S
        return max(REMOVED_RETENTION_S, self.board.inventory.rules.outage_limit_s)
