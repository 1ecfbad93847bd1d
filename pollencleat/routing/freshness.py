"""How old a replica may be, from samples of positions.

A replica that has applied everything up to the position which its primary had in a
sample is no older than the time at which that sample was asked for.  A sample counts
only while this node holds a write permit: otherwise the server may have been replaced
as primary before it was asked, and the replica would seem younger than it is.
"""

from pollencleat.core.blackboard import Blackboard, PrimarySamples
from pollencleat.core.data import GroupTerm, ServerStatus
from pollencleat.membership.permits import holds_write_permit


def record_status(
    board: Blackboard,
    server_id: str,
    status: ServerStatus,
    sent_at_s: float,
    now_s: float,
) -> None:
    """Take in a server's answer.

    Args:
        board: The node's state.
        server_id: Who answered.
        status: The answer.
        sent_at_s: When it was asked for.
        now_s: Local time.
    """
    view = board.server(server_id)
    view.answered_at_s = now_s
    view.refused_at_s = None
    if sent_at_s < view.status_sent_at_s:
        return
    view.status = status
    view.status_sent_at_s = sent_at_s
    server = board.inventory.servers_by_id.get(server_id)
    if server is None:
        return
    term = board.group_term(server.group_id)
    if term is None or not term.primary:
        return
    samples = board.primary_samples_by_group.setdefault(
        server.group_id, PrimarySamples()
    )
    if is_primary_status(term, server_id, status):
        if not holds_write_permit(board, now_s):
            return
        samples.add(term.log_term, sent_at_s, status.position)
        view.fresh_as_of_s = sent_at_s
        return
    if not is_replica_status(term, status):
        view.fresh_as_of_s = -1e9
        return
    if samples.term != term.log_term:
        return
    covered_at_s = samples.time_covered_by(status.position)
    if covered_at_s is not None:
        view.fresh_as_of_s = covered_at_s


def record_silence(
    board: Blackboard, server_id: str, refused: bool, now_s: float
) -> None:
    """Take in that a server did not answer.

    Args:
        board: The node's state.
        server_id: Who was asked.
        refused: The connection was refused: nothing listens there.
        now_s: Local time.
    """
    view = board.server(server_id)
    if refused:
        view.refused_at_s = now_s


def is_primary_status(term: GroupTerm, server_id: str, status: ServerStatus) -> bool:
    """Return whether a status is that of the agreed primary in office.

    Args:
        term: The group's agreed term.
        server_id: Who answered.
        status: The answer.

    Returns:
        True if the server is the primary, writable and of the same term.
    """
    return (
        server_id == term.primary
        and not status.read_only
        and status.term == term.log_term
    )


def is_primary_confirmed(board: Blackboard, term: GroupTerm) -> bool:
    """Return whether the agreed primary has said that it leads since it was doubted.

    A server that starts again under its id knows nothing of before.  It refuses writes
    but runs reads, on an empty log.

    Args:
        board: The node's state.
        term: The group's agreed term.

    Returns:
        True if nothing speaks against reads at the primary under a permit.
    """
    view = board.server(term.primary)
    led_term, led_at_s = view.led_in
    if led_term == term.term and led_at_s > view.doubted_at_s:
        return True
    if view.status is None or view.status_sent_at_s <= view.doubted_at_s:
        return False
    return is_primary_status(term, term.primary, view.status)


def is_replica_status(term: GroupTerm, status: ServerStatus) -> bool:
    """Return whether a status is that of a replica of the agreed primary.

    Args:
        term: The group's agreed term.
        status: The answer.

    Returns:
        True if the server follows the primary in the same term.
    """
    return (
        status.read_only
        and status.following in (None, term.primary)
        and status.term == term.log_term
    )
