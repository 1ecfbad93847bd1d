"""Makes replicas follow the agreed primary.

A former primary that returns is still writable.  No node writes to it, since no write
permit names it, but it must be fenced and follow the new primary before it may serve
reads.
"""

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import GroupTerm
from pollencleat.core.effects import FollowPrimary
from pollencleat.core.index import rank_members
from pollencleat.membership.permits import holds_write_permit
from pollencleat.routing.freshness import is_replica_status

ORDER_INTERVAL_S = 1.0
"""Minimum seconds between two orders to the same server."""


class ReplicaRepairController:
    """Orders replicas that do not follow the primary to do so.

    The first member in a group's ranking sends the orders at once; each further member
    waits longer and sends one only if the server still needs it.
    """

    def __init__(self, board: Blackboard) -> None:
        """Read state from and append effects to a blackboard."""
        self.board = board
        self._ordered_at_s: dict[str, float] = {}

    def tick(self, now_s: float) -> None:
        """Send due orders to the replicas of every group.

        A node without a write permit sends none.

        Args:
            now_s: Local time.
        """
        board = self.board
        if not holds_write_permit(board, now_s):
            return
        for group_id, group in board.inventory.groups_by_id.items():
            term = board.group_term(group_id)
            if term is None or not term.primary:
                continue
            for server_id in group.server_ids:
                if self._needs_order(server_id, term, now_s):
                    self._order_to_follow(server_id, term, now_s)

    def _needs_order(self, server_id: str, term: GroupTerm, now_s: float) -> bool:
        if server_id == term.primary:
            return False
        view = self.board.server_view(server_id)
        status = view.status
        if status is None or now_s - view.status_sent_at_s > ORDER_INTERVAL_S:
            return False
        if status.term > term.log_term:
            return False
        return not is_replica_status(term, status) or bool(status.held_for_term)

    def _order_to_follow(self, server_id: str, term: GroupTerm, now_s: float) -> None:
        rank = self._rank(term.group_id)
        wait_s = ORDER_INTERVAL_S * (1 + rank)
        ordered_at_s = self._ordered_at_s.get(server_id)
        if ordered_at_s is None and rank:
            self._ordered_at_s[server_id] = now_s
            return
        if ordered_at_s is not None and now_s - ordered_at_s < wait_s:
            return
        self._ordered_at_s[server_id] = now_s
        self.board.effects.append(FollowPrimary(server_id, term.primary, term.log_term))

    def _rank(self, group_id: str) -> int:
        members = list(self.board.fleet.members_by_id.values())
        ranked = rank_members(f"steward\0{group_id}", members)
        for index, member in enumerate(ranked):
            if member.node_id == self.board.node_id:
                return index
        return len(ranked)
