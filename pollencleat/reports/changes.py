"""Log lines for changes of state, and only for those."""

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.membership.beats import acts_as_relay
from pollencleat.membership.permits import permit_basis

log = structlog.get_logger()


class ChangeLog:
    """Compares the blackboard with what was logged last."""

    def __init__(self, board: Blackboard) -> None:
        """Watch a blackboard."""
        self._board = board
        self._last: dict[str, object] = {}

    def tick(self, now_s: float) -> None:
        """Log what changed.

        Args:
            now_s: Local time.
        """
        board = self._board
        self._note("write permit", basis=permit_basis(board, now_s).value)
        self._note("relay", acting=acts_as_relay(board, now_s))
        self._note("inventory", version=board.inventory.version)
        self._note("member", registered=board.is_member())
        for group_id, term in board.fleet.terms_by_group.items():
            self._note(
                f"group {group_id}",
                term=term.term,
                primary=term.primary,
                promoting=term.promotion is not None,
            )

    def _note(self, subject: str, **state: object) -> None:
        if self._last.get(subject) == state:
            return
        self._last[subject] = state
        log.info("state changed", subject=subject, node=self._board.node_id, **state)
