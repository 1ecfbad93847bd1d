"""Eviction of dead members.

A member that receives no heartbeats from another cannot tell whose network links are
cut.  Before it removes the other member it therefore records a doubt in the fleet
state.  The doubted member itself, or the relay that receives its heartbeats, clears the
doubt when it reads the platform.  A doubt that is not cleared in time leads to removal.
"""

from dataclasses import dataclass, field

from pollencleat.core.blackboard import Blackboard, PeerView
from pollencleat.core.constants import EVICTION_TIMEOUT_S
from pollencleat.core.data import Fleet, Member
from pollencleat.core.index import rank_members
from pollencleat.membership.beats import (
    find_heartbeat_targets,
    find_relay,
    has_recent_heartbeat,
)
from pollencleat.membership.fleet import with_doubts, without_doubts, without_member

MAX_READ_AGE_S = 1.5
"""A change is requested only if the newest platform read is at most this old."""

DOUBT_TIMEOUT_S = 2.5
"""How long a doubt may stand before the member is removed.  Covers several platform
reads by a relay, and the timeout after which a member without a relay acts as one."""

DOUBT_AFTER_S = EVICTION_TIMEOUT_S - DOUBT_TIMEOUT_S
"""Time without heartbeats after which a member is doubted."""


@dataclass
class EvictionController:
    """Doubts unresponsive members, clears doubts and removes dead members.

    Attributes:
        board: The node's state.
        probed_since_s: Local time since which this node has sent heartbeats to a
            member, by node id.
        doubted_since_s: Local time since which this node has known that a member is
            doubted, by incarnation.
    """

    board: Blackboard
    probed_since_s: dict[str, float] = field(default_factory=dict)
    doubted_since_s: dict[str, float] = field(default_factory=dict)

    def tick(self, now_s: float) -> None:
        """Update since when members have been probed and doubted.

        Both start anew after a time without platform reads, in which this node itself
        may have been disconnected or suspended.

        Args:
            now_s: Local time in seconds.
        """
        board = self.board
        if now_s - board.fleet_confirmed_at_s > MAX_READ_AGE_S:
            self.probed_since_s = {}
            self.doubted_since_s = {}
            return
        self.probed_since_s = {
            member.node_id: self.probed_since_s.get(member.node_id, now_s)
            for member in find_heartbeat_targets(board, now_s)
        }
        doubted = board.fleet.doubted
        for member in board.fleet.members_by_id.values():
            was_doubted = member.incarnation in self.doubted_since_s
            if was_doubted and member.incarnation not in doubted:
                # The doubt was cleared, so the member is alive: restart the timeout.
                self.probed_since_s[member.node_id] = now_s
        self.doubted_since_s = {
            incarnation: self.doubted_since_s.get(incarnation, now_s)
            for incarnation in doubted
        }

    def choose_change(self, now_s: float) -> tuple[Fleet, str] | None:
        """Return the next change of the fleet state, if one is due.

        Args:
            now_s: Local time in seconds.

        Returns:
            The changed state and its cause, or None.
        """
        return (
            self._clear_doubts(now_s)
            or self._remove_dead(now_s)
            or self._doubt_unresponsive(now_s)
        )

    def _clear_doubts(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        alive = [
            member
            for member in board.fleet.members_by_id.values()
            if member.incarnation in board.fleet.doubted
            and self._can_confirm_alive(member, now_s)
        ]
        if not alive:
            return None
        cause = f"members {_join_names(alive)} alive, told by {board.node_id}"
        return without_doubts(board.fleet, alive), cause

    def _can_confirm_alive(self, member: Member, now_s: float) -> bool:
        if member.node_id == self.board.node_id:
            return True
        return has_recent_heartbeat(self.board, member, now_s) and self._is_monitor_of(
            member, now_s
        )

    def _remove_dead(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        dead = [
            member
            for member in self._find_unresponsive(now_s, EVICTION_TIMEOUT_S)
            if now_s - self.doubted_since_s.get(member.incarnation, now_s)
            >= DOUBT_TIMEOUT_S
        ]
        if not dead:
            return None
        fleet = board.fleet
        for member in dead:
            fleet = without_member(fleet, member.node_id, resigned=False)
        return (
            fleet,
            f"members {_join_names(dead)} gone, removed by {board.node_id}",
        )

    def _doubt_unresponsive(self, now_s: float) -> tuple[Fleet, str] | None:
        board = self.board
        unresponsive = [
            member
            for member in self._find_unresponsive(now_s, DOUBT_AFTER_S)
            if member.incarnation not in board.fleet.doubted
        ]
        if not unresponsive:
            return None
        cause = f"members {_join_names(unresponsive)} doubted by {board.node_id}"
        return with_doubts(board.fleet, unresponsive), cause

    def _find_unresponsive(self, now_s: float, timeout_s: float) -> list[Member]:
        board = self.board
        if not board.vms.version:
            return []
        return [
            member
            for member in board.fleet.members_by_id.values()
            if member.node_id != board.node_id
            and not self._is_vm_live(member.node_id)
            and self._is_unresponsive(member, now_s, timeout_s)
            and self._is_monitor_of(member, now_s)
        ]

    def _is_unresponsive(self, member: Member, now_s: float, timeout_s: float) -> bool:
        probed_since_s = self.probed_since_s.get(member.node_id)
        if probed_since_s is None:
            return False
        peer = self.board.peers_by_id.get(member.node_id, PeerView())
        return now_s - max(peer.last_heartbeat_at_s, probed_since_s) > timeout_s

    def _is_monitor_of(self, member: Member, now_s: float) -> bool:
        """Return whether this node decides whether a member is alive.

        The relay of the member's failure domain decides.  If no member of that domain
        is responsive, one of the relays of the other domains does, all of which send
        heartbeats to the member.
        """
        board = self.board
        relay = find_relay(board, member.failure_domain, now_s)
        if relay is None:
            domains = board.fleet_index().members_by_domain
            relays = [find_relay(board, domain, now_s) for domain in domains]
            responsive = [candidate for candidate in relays if candidate is not None]
            relay = rank_members("evict", responsive)[0]
        return relay.node_id == board.node_id

    def _is_vm_live(self, node_id: str) -> bool:
        live = self.board.vms.live
        return live is not None and node_id in live


def _join_names(members: list[Member]) -> str:
    return ", ".join(member.node_id for member in members)
