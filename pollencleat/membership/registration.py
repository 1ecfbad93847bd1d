"""Joining, vouching and leaving.

A newcomer may promote a server only after an existing member has vouched for it.  The
member does so once all promises that it gave without knowing the newcomer have lapsed;
from then on nobody can count its promises without also requiring the newcomer's.
"""

import dataclasses

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import CLOCK_DRIFT, PERMIT_S, PROMISE_S
from pollencleat.core.data import Fleet, Member, RemovedMember
from pollencleat.core.effects import FleetUpdated, ReadPlatform, UpdateFleet
from pollencleat.core.index import rank_members
from pollencleat.membership.eviction import READ_IS_RECENT_S, EvictionController
from pollencleat.membership.fleet import (
    NO_SEAT,
    with_free_seats_taken,
    with_member,
    with_voucher,
    without_member,
    without_removed,
)

PURPOSE = "membership"
CONFLICT = 0
"""Version that the result of an update names when another node was faster."""

RETRY_S = 0.3
"""Shortest time between two changes that this node tries, unless it joins or leaves."""

FIRST_RETRY_S = 0.05
"""Pause before a node that joins or leaves tries again, doubled with each conflict up
to RETRY_S: all nodes may start at the same moment, and one change is accepted at a
time, in some milliseconds."""

VOUCH_RANK_DELAY_S = 0.25
"""Each further member waits this much longer before it vouches, so that one does."""

VOUCH_AFTER_S = PROMISE_S * (1 + 3 * CLOCK_DRIFT)
FORGET_AFTER_S = 8 * PERMIT_S
"""A removed member is forgotten after this time."""


class RegistrationController:
    """Keeps this node registered and the list of members clean."""

    def __init__(self, board: Blackboard) -> None:
        """Work on a blackboard."""
        self.board = board
        self._pending = False
        self._next_try_s = -1e9
        self._conflicts = 0
        self.eviction = EvictionController(board)

    def tick(self, now_s: float) -> None:
        """Try at most one change.

        Args:
            now_s: Local time.
        """
        board = self.board
        self.eviction.tick(now_s)
        if self._pending or now_s < self._next_try_s:
            return
        if self._joins_or_leaves():
            if self._conflicts or board.resigning:
                # The change is tried with the answer, before others change the state.
                self._next_try_s = now_s + FIRST_RETRY_S
                board.effects.append(ReadPlatform(now_s))
            return
        # Only relays read the platform; the others hear of its reads.
        platform_seen_at_s = max(board.read_answered_at_s, board.fresh_at_s)
        if now_s - platform_seen_at_s > READ_IS_RECENT_S:
            return
        self._try_change(now_s)

    def on_platform_read(self, now_s: float) -> None:
        """Join or leave with the state that was read just now.

        Args:
            now_s: Local time.
        """
        if self._joins_or_leaves() and not self._pending:
            self._try_change(now_s)

    def _joins_or_leaves(self) -> bool:
        return self.board.resigning or not self.board.is_member()

    def _try_change(self, now_s: float) -> None:
        board = self.board
        change = self._choose_change(now_s)
        if change is None:
            return
        fleet, cause = change
        self._pending = True
        board.effects.append(UpdateFleet(PURPOSE, board.fleet.version, fleet, cause))

    def on_updated(self, result: FleetUpdated, now_s: float) -> None:
        """Take in the result; a lost answer is settled by the next platform read.

        Args:
            result: The result.
            now_s: Local time.
        """
        self._pending = False
        self._next_try_s = now_s + self._pause_after(result) * (
            1 + self.board.random.random()
        )
        if not result.version:
            return
        fleet = dataclasses.replace(result.effect.fleet, version=result.version)
        self.board.adopt_fleet(fleet, now_s)

    def _pause_after(self, result: FleetUpdated) -> float:
        if result.version != CONFLICT:
            self._conflicts = 0
            return RETRY_S
        self._conflicts += 1
        if not self._joins_or_leaves():
            return RETRY_S
        return min(RETRY_S, FIRST_RETRY_S * 2 ** (self._conflicts - 1))

    def _choose_change(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        if board.resigning:
            if not board.is_member():
                return None
            fleet = without_member(board.fleet, board.node_id, resigned=True)
            return fleet, f"member {board.node_id} resigned"
        if not board.is_member():
            return self._register(), f"member {board.node_id} registered"
        return (
            self._vouch(now_s)
            or self.eviction.choose_change(now_s)
            or self._seat()
            or self._forget(now_s)
        )

    def _register(self) -> Fleet:
        board = self.board
        if board.incarnation in board.fleet.removed_by_incarnation:
            # A promoter counts the time since the removal of an incarnation; the same
            # one must not be a member, and be removed, a second time.
            board.incarnation = f"{board.random.getrandbits(64):016x}"
            board.registered_at_s = None
        member = Member(
            board.node_id,
            board.incarnation,
            board.failure_domain,
            board.address,
            board.admin_address,
            NO_SEAT,
            False,
            board.public_key,
        )
        return with_member(board.fleet, member, board.inventory.rules.seats)

    def _vouch(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        me = board.fleet.members_by_id[board.node_id]
        if not me.may_promote:
            return self._vouch_for_itself(now_s)
        wait_s = VOUCH_AFTER_S + self._rank_as_voucher() * VOUCH_RANK_DELAY_S
        due = [
            member.node_id
            for member in board.fleet.members_by_id.values()
            if not member.may_promote
            and now_s - board.member_seen_at_s[member.incarnation] >= wait_s
        ]
        if not due:
            return None
        fleet = board.fleet
        for node_id in due:
            fleet = with_voucher(fleet, node_id)
        return fleet, f"members {', '.join(due)} vouched for by {board.node_id}"

    def _rank_as_voucher(self) -> int:
        members = self.board.fleet.members_by_id.values()
        vouchers = [member for member in members if member.may_promote]
        ranked = rank_members("vouch", vouchers)
        return [member.node_id for member in ranked].index(self.board.node_id)

    def _vouch_for_itself(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        limit_s = board.inventory.rules.outage_limit_s * (1 + 3 * CLOCK_DRIFT)
        if board.fleet.members_by_id[board.node_id].is_heir:
            limit_s = min(limit_s, VOUCH_AFTER_S)
        if board.registered_at_s is None or now_s - board.registered_at_s < limit_s:
            return None
        fleet = with_voucher(board.fleet, board.node_id)
        return fleet, f"member {board.node_id} vouched for itself after {limit_s:.1f} s"

    def _seat(self) -> tuple[Fleet, str] | None:
        board = self.board
        fleet = with_free_seats_taken(board.fleet, board.inventory.rules.seats)
        if fleet == board.fleet:
            return None
        return fleet, "free seats taken"

    def _forget(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        ranked = rank_members("forget", list(board.fleet.members_by_id.values()))
        if ranked[0].node_id != board.node_id:
            return None
        old = [
            incarnation
            for incarnation, entry in board.fleet.removed_by_incarnation.items()
            if now_s - board.removed_seen_at_s[incarnation] > self._keep_for_s(entry)
        ]
        if not old:
            return None
        return without_removed(board.fleet, old), "former members forgotten"

    def _keep_for_s(self, entry: RemovedMember) -> float:
        if entry.resigned:
            return FORGET_AFTER_S
        return max(FORGET_AFTER_S, self.board.inventory.rules.outage_limit_s)
