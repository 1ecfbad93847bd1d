"""Removing members that are gone, and only those.

A member that hears nothing of another cannot tell whose links are cut.  Before it
removes the other it therefore writes a doubt into the fleet state.  Whoever lives and
reads the platform sees the doubt and answers by deleting it: the doubted member itself,
or the relay that hears it.  A doubt that stands unanswered is followed by the removal.
"""

from dataclasses import dataclass, field

from pollencleat.core.blackboard import Blackboard, PeerView
from pollencleat.core.constants import EVICT_AFTER_S
from pollencleat.core.data import Fleet, Member
from pollencleat.core.index import rank_members
from pollencleat.membership.beats import find_beat_targets, find_relay, is_heard
from pollencleat.membership.fleet import with_doubts, without_doubts, without_member

READ_IS_RECENT_S = 1.5
"""A change is tried only if the platform answered within this time."""

ANSWER_DOUBT_S = 2.5
"""Time that a doubted member has for an answer: some platform reads of a relay, and
the silence after which a member that hears none becomes one."""

DOUBT_AFTER_S = EVICT_AFTER_S - ANSWER_DOUBT_S
"""Silence after which a member is doubted."""


@dataclass
class EvictionController:
    """Doubts silent members, answers doubts and removes those that do not.

    Attributes:
        asked_since_s: Since when this node has sent heartbeats to a member, by node id.
        doubted_since_s: Since when this node has known of a doubt, by incarnation.
    """

    board: Blackboard
    asked_since_s: dict[str, float] = field(default_factory=dict)
    doubted_since_s: dict[str, float] = field(default_factory=dict)

    def tick(self, now_s: float) -> None:
        """Keep since when members have been asked and doubted.

        Time during which this node could not read the platform does not count: it may
        have been cut off or suspended itself.

        Args:
            now_s: Local time.
        """
        board = self.board
        if now_s - board.fresh_at_s > READ_IS_RECENT_S:
            self.asked_since_s = {}
            self.doubted_since_s = {}
            return
        self.asked_since_s = {
            member.node_id: self.asked_since_s.get(member.node_id, now_s)
            for member in find_beat_targets(board, now_s)
        }
        doubted = board.fleet.doubted
        for member in board.fleet.members_by_id.values():
            answered = member.incarnation in self.doubted_since_s
            if answered and member.incarnation not in doubted:
                # Somebody knows it to be alive; the silence counts anew.
                self.asked_since_s[member.node_id] = now_s
        self.doubted_since_s = {
            incarnation: self.doubted_since_s.get(incarnation, now_s)
            for incarnation in doubted
        }

    def choose_change(self, now_s: float) -> tuple[Fleet, str] | None:
        """Return the next change of the fleet state, if one is due.

        Args:
            now_s: Local time.

        Returns:
            The changed state and its cause, or None.
        """
        return self._answer(now_s) or self._remove(now_s) or self._doubt(now_s)

    def _answer(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        alive = [
            member
            for member in board.fleet.members_by_id.values()
            if member.incarnation in board.fleet.doubted
            and self._can_speak_for(member, now_s)
        ]
        if not alive:
            return None
        cause = f"members {_names(alive)} alive, told by {board.node_id}"
        return without_doubts(board.fleet, alive), cause

    def _can_speak_for(self, member: Member, now_s: float) -> bool:
        if member.node_id == self.board.node_id:
            return True
        return is_heard(self.board, member, now_s) and self._is_judge_of(member, now_s)

    def _remove(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        gone = [
            member
            for member in self._silent_members(now_s, EVICT_AFTER_S)
            if now_s - self.doubted_since_s.get(member.incarnation, now_s)
            >= ANSWER_DOUBT_S
        ]
        if not gone:
            return None
        fleet = board.fleet
        for member in gone:
            fleet = without_member(fleet, member.node_id, resigned=False)
        return fleet, f"members {_names(gone)} gone, removed by {board.node_id}"

    def _doubt(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        silent = [
            member
            for member in self._silent_members(now_s, DOUBT_AFTER_S)
            if member.incarnation not in board.fleet.doubted
        ]
        if not silent:
            return None
        cause = f"members {_names(silent)} doubted by {board.node_id}"
        return with_doubts(board.fleet, silent), cause

    def _silent_members(self, now_s: float, limit_s: float) -> list[Member]:
        board = self.board
        if not board.vms.version:
            return []
        return [
            member
            for member in board.fleet.members_by_id.values()
            if member.node_id != board.node_id
            and not self._is_listed(member.node_id)
            and self._is_silent(member, now_s, limit_s)
            and self._is_judge_of(member, now_s)
        ]

    def _is_silent(self, member: Member, now_s: float, limit_s: float) -> bool:
        asked_since_s = self.asked_since_s.get(member.node_id)
        if asked_since_s is None:
            return False
        peer = self.board.peers_by_id.get(member.node_id, PeerView())
        return now_s - max(peer.heard_at_s, asked_since_s) > limit_s

    def _is_judge_of(self, member: Member, now_s: float) -> bool:
        """Return whether this node exchanges heartbeats with a member, if it lives.

        The relay of the member's failure domain does; if nobody there answers, so do
        the relays of the other ones, of which one is chosen.
        """
        board = self.board
        relay = find_relay(board, member.failure_domain, now_s)
        if relay is None:
            domains = board.index().members_by_domain
            relays = [find_relay(board, domain, now_s) for domain in domains]
            heard = [candidate for candidate in relays if candidate is not None]
            relay = rank_members("evict", heard)[0]
        return relay.node_id == board.node_id

    def _is_listed(self, node_id: str) -> bool:
        live = self.board.vms.live
        return live is not None and node_id in live


def _names(members: list[Member]) -> str:
    return ", ".join(member.node_id for member in members)
