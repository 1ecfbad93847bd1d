"""Readiness of a node for new callers, and when its sessions are better moved.

Load pattern: a node is cut off from the other nodes and from the platform, while
callers still reach it.  It cannot serve what other nodes can, but the platform keeps
sending it callers until two readiness checks in a row have failed, and open sessions
stay.  The sooner it says so, the sooner its callers are served elsewhere.

If every node is in the same state, as in an outage of the platform's store, permits
rest on promises, and no node is unready.
"""

from pollencleat.core.blackboard import Blackboard
from pollencleat.membership.permits import permit_ends_at

PERMIT_MARGIN_S = 0.5
"""Seconds before the end of its permit at which a node stops to be ready.  In normal
operation permits are renewed while more than this is left."""

FAILED_CHECKS_UNTIL_OUT = 2
"""Failed readiness checks in a row after which the platform sends no new callers."""

OUT_OF_ROTATION_AFTER_S = 2.2
"""Seconds of unreadiness after which the platform, which checks once a second, has
checked twice even if the checks did not arrive."""


def is_ready(board: Blackboard, now_s: float) -> bool:
    """Return whether the node is ready for new callers.

    Args:
        board: The node's state.
        now_s: Local time in seconds.

    Returns:
        False without an inventory that names servers, while draining, and without a
        write permit that is being renewed, because such a node cannot serve all
        requests that other nodes can.
    """
    if board.draining or not board.inventory.version:
        return False
    if not board.inventory.servers_by_id:
        return False
    return now_s < permit_ends_at(board) - PERMIT_MARGIN_S


class RotationWatch:
    """Follows whether the platform still sends new callers to this node.

    Attributes:
        is_ready: Readiness at the last update.
        unready_since_s: Local time at which the node became unready.
    """

    def __init__(self) -> None:
        """Start unready."""
        self.is_ready = False
        self.unready_since_s = -1e9
        self._failed_checks = 0

    def update(self, ready: bool, now_s: float) -> bool:
        """Note the node's readiness.

        Args:
            ready: Whether the node is ready now.
            now_s: Local time.

        Returns:
            True if it changed.
        """
        if ready == self.is_ready:
            return False
        self.is_ready = ready
        self.unready_since_s = now_s
        return True

    def record_check(self, ready: bool) -> None:
        """Note the answer to a readiness check of the platform.

        Args:
            ready: Whether the answer said that the node is ready.
        """
        self._failed_checks = 0 if ready else self._failed_checks + 1

    def is_out_of_rotation(self, now_s: float) -> bool:
        """Return whether callers that leave this node now are sent to another one.

        Args:
            now_s: Local time.

        Returns:
            True once the platform has seen enough failed checks, or must have.
        """
        if self.is_ready:
            return False
        if self._failed_checks >= FAILED_CHECKS_UNTIL_OUT:
            return True
        return now_s - self.unready_since_s >= OUT_OF_ROTATION_AFTER_S
