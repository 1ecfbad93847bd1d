"""Bounds the staleness of replicas by position samples of their primary.

A replica that has applied the log up to the position of a primary sample has all data
that the primary had when that sample was requested.  A primary's sample is used only
while this node holds a write permit: without one, the server may have been replaced as
primary before the request, and the replica would appear fresher than it is.
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
    """Record a server's status reply and update its freshness.

    A reply to an older request than the recorded one only shows that the server is
    alive.

    Args:
        board: The node's state.
        server_id: The server that replied.
        status: The reported status.
        sent_at_s: Local time at which the status request was sent.
        now_s: Local time.
    """
    view = board.server_view(server_id)
    view.answered_at_s = now_s
    view.refused_at_s = None
    if sent_at_s < view.status_sent_at_s:
        return
    view.note_reports()
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
    covered_at_s = samples.time_at_position(status.position)
    if covered_at_s is not None:
        view.fresh_as_of_s = covered_at_s


def record_status_failure(
    board: Blackboard, server_id: str, refused: bool, now_s: float
) -> None:
    """Record that a status request failed; only a refused connection changes the view.

    Args:
        board: The node's state.
        server_id: The server that was queried.
        refused: The connection was refused: no process listens on the port.
        now_s: Local time.
    """
    view = board.server_view(server_id)
    if refused:
        view.refused_at_s = now_s


def is_primary_status(term: GroupTerm, server_id: str, status: ServerStatus) -> bool:
    """Return whether a status shows the agreed primary acting as primary.

    Args:
        term: The group's agreed term.
        server_id: The server that reported the status.
        status: The reported status.

    Returns:
        True if the server is the agreed primary, writable and in the agreed log term.
    """
    return (
        server_id == term.primary
        and not status.read_only
        and status.term == term.log_term
    )


def is_primary_confirmed(board: Blackboard, term: GroupTerm) -> bool:
    """Return whether the agreed primary has proved its role since it was suspected.

    A server that restarts under the same id has lost its state.  It refuses writes but
    would serve reads from an empty log.

    Args:
        board: The node's state.
        term: The group's agreed term.

    Returns:
        True if the primary may serve reads of a node that holds a write permit.
    """
    view = board.server_view(term.primary)
    led_term, led_at_s = view.primary_confirmed_in
    if led_term == term.term and led_at_s > view.restart_suspected_at_s:
        return True
    if view.status is None or view.status_sent_at_s <= view.restart_suspected_at_s:
        return False
    return is_primary_status(term, term.primary, view.status)


def is_replica_status(term: GroupTerm, status: ServerStatus) -> bool:
    """Return whether a status shows a replica of the agreed primary.

    Args:
        term: The group's agreed term.
        status: The reported status.

    Returns:
        True if the server is read-only, replicates from the agreed primary or does not
        report its source, and is in the agreed log term.
    """
    return (
        status.read_only
        and status.following in (None, term.primary)
        and status.term == term.log_term
    )
