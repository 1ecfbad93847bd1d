"""Whether a node should be sent new callers."""

from pollencleat.core.blackboard import Blackboard
from pollencleat.membership.permits import permit_ends_at


def is_ready(board: Blackboard, now_s: float) -> bool:
    """Return whether new callers are welcome.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        False before the first configuration, while stopping, and without a write
        permit: such a node cannot serve what others can.
    """
    if board.draining or not board.inventory.version:
        return False
    if not board.inventory.servers_by_id:
        return False
    return now_s < permit_ends_at(board)
