"""Logs changes of the node's state; an unchanged state is not logged again."""

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.membership.beats import acts_as_relay
from pollencleat.membership.permits import permit_basis

log = structlog.get_logger()


class ChangeLog:
    """Compares the blackboard with the last logged state of each subject."""

    def __init__(self, board: Blackboard) -> None:
        """Start with nothing logged, so that the first tick logs every subject."""
        self._board = board
        self._last_state_by_subject: dict[str, object] = {}

    def tick(self, now_s: float) -> None:
        """Log every subject whose state changed since the last tick.

        Args:
            now_s: Local time in seconds.
        """
        board = self._board
        self._log_if_changed("write permit", basis=permit_basis(board, now_s).value)
        self._log_if_changed("relay", acting=acts_as_relay(board, now_s))
        self._log_if_changed("inventory", version=board.inventory.version)
        self._log_if_changed("member", registered=board.is_member())
        for group_id, term in board.fleet.terms_by_group.items():
            self._log_if_changed(
                f"group {group_id}",
                term=term.term,
                primary=term.primary,
                promoting=term.promotion is not None,
            )

    def _log_if_changed(self, subject: str, **state: object) -> None:
        if self._last_state_by_subject.get(subject) == state:
            return
        self._last_state_by_subject[subject] = state
        log.info("state changed", subject=subject, node=self._board.node_id, **state)
