"""Failure detection for primaries: decides when one has to be replaced."""

import enum
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.bounds import is_before, log_end_of
from pollencleat.core.constants import PRIMARY_TIMEOUT_S
from pollencleat.core.data import GroupTerm, Position
from pollencleat.core.messages import Sighting
from pollencleat.membership.beats import has_recent_heartbeat
from pollencleat.membership.permits import BEFORE_START_S


class Suspicion(enum.StrEnum):
    """Why a group needs a new primary."""

    NONE = "none"
    FIRST = "no primary yet"
    LOST = "primary lost"
    DEMOTED = "primary lost its role"
    LEAVING = "primary is leaving"


@dataclass(frozen=True, slots=True)
class PeerSighting:
    """A peer's report about a server, in local time.

    Attributes:
        seen_at_s: When the peer last had an answer from the server, too late by the
            time that the report was in transit.
        refused: The server refused a connection of the peer since then.
        received_at_s: When the report arrived.
    """

    seen_at_s: float
    refused: bool
    received_at_s: float


def assess_primary(
    board: Blackboard, term: GroupTerm | None, now_s: float
) -> Suspicion:
    """Return why a group's primary should be replaced, judged by this node's state.

    Args:
        board: The node's state.
        term: The group's agreed term, or None before the first.
        now_s: Local time.

    Returns:
        The reason, or NONE if the primary should be kept.
    """
    if term is None:
        return Suspicion.FIRST
    if not term.primary:
        return Suspicion.NONE
    if term.primary not in board.inventory.servers_by_id:
        return Suspicion.LEAVING
    view = board.server_view(term.primary)
    # Ignore observations from before the primary was published: its promoter has had
    # an answer since, and an older status shows the server's former role.
    published_at_s = board.primary_learned_at_s.get(term.group_id, 0.0)
    if view.refused_at_s is not None and view.refused_at_s > published_at_s:
        return Suspicion.LOST
    if now_s - published_at_s > PRIMARY_TIMEOUT_S and is_unresponsive(view, now_s):
        return Suspicion.LOST
    if term.primary in board.vms.leaving:
        return Suspicion.LEAVING
    status = view.status
    if view.status_sent_at_s <= published_at_s:
        return Suspicion.NONE
    if status is not None and (status.read_only or status.term != term.log_term):
        return Suspicion.DEMOTED
    return Suspicion.NONE


def is_unresponsive(view: ServerView, now_s: float) -> bool:
    """Return whether a server has not answered for longer than PRIMARY_TIMEOUT_S.

    If the requests to the server are tracked, only time with an open request counts;
    otherwise the time since its last answer does.

    Args:
        view: This node's observations of the server.
        now_s: Local time.

    Returns:
        True if the server has exceeded the timeout.
    """
    if view.tracks_requests:
        return view.unanswered_for_s(now_s) > PRIMARY_TIMEOUT_S
    return now_s - view.answered_at_s > PRIMARY_TIMEOUT_S


def make_sighting(board: Blackboard, server_id: str, now_s: float) -> Sighting:
    """Return this node's report to a peer about a server.

    Args:
        board: The node's state.
        server_id: The server asked about.
        now_s: Local time.

    Returns:
        The age of the newest answer, None if there was none, and whether the newest
        connection was refused.
    """
    view = board.servers_by_id.get(server_id)
    if view is None:
        return Sighting(board.node_id, server_id, None, False)
    # Answers to ordinary statements count too, since most nodes never probe a server.
    age_s = now_s - view.answered_at_s if view.answered_at_s > BEFORE_START_S else None
    return Sighting(board.node_id, server_id, age_s, view.refused_at_s is not None)


def known_log_end(view: ServerView) -> Position | None:
    """Return the latest log entry that a server is known to have received.

    Args:
        view: This node's observations of the server.

    Returns:
        Term and position of the entry, or None if none is known.
    """
    if view.status is None:
        return view.applied
    received = log_end_of(view.status)
    if view.applied is not None and is_before(received, view.applied):
        return view.applied
    return received


def hears_other_domain(board: Blackboard, now_s: float) -> bool:
    """Return whether a member of another failure domain has sent a recent heartbeat.

    Load pattern: the platform's store is away while a primary is lost.  A node that
    still hears another failure domain was not cut off, so the time for which a primary
    has not answered counts, and its replacement can begin once the store is back.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        False for a node that hears only its own failure domain, which may be cut off as
        a whole.
    """
    for member in board.fleet.members_by_id.values():
        if member.failure_domain == board.failure_domain:
            continue
        if has_recent_heartbeat(board, member, now_s):
            return True
    return False


def shows_server_alive(sighting: PeerSighting, now_s: float) -> bool:
    """Return whether a peer's report shows that a server is alive.

    Args:
        sighting: The report.
        now_s: Local time.

    Returns:
        True if the peer had an answer within PRIMARY_TIMEOUT_S and its connections have
        not been refused since.
    """
    if sighting.refused:
        return False
    return now_s - sighting.seen_at_s < PRIMARY_TIMEOUT_S
