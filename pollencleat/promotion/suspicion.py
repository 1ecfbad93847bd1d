"""When the primary of a group has to be replaced."""

import enum
from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard, ServerView
from pollencleat.core.constants import FAILOVER_AFTER_S
from pollencleat.core.data import GroupTerm
from pollencleat.core.messages import Sighting
from pollencleat.membership.permits import NEVER_S

REFUSED_COUNTS_S = 0.5
"""A refused connection speaks of the server's loss for this time."""


class Suspicion(enum.StrEnum):
    """Why a group needs a new primary."""

    NONE = "none"
    FIRST = "no primary yet"
    LOST = "primary lost"
    DEMOTED = "primary lost its role"
    LEAVING = "primary is leaving"


@dataclass(frozen=True, slots=True)
class PeerSighting:
    """When a peer last had an answer from a server, in the local clock's bounds."""

    seen_at_s: float
    refused: bool
    told_at_s: float


def assess_primary(
    board: Blackboard, term: GroupTerm | None, now_s: float
) -> Suspicion:
    """Return why a group's primary should be replaced, as this node sees it.

    Args:
        board: The node's state.
        term: The group's agreed primary, or None before the first.
        now_s: Local time.

    Returns:
        The reason, or NONE.
    """
    if term is None:
        return Suspicion.FIRST
    if not term.primary:
        return Suspicion.NONE
    if term.primary not in board.inventory.servers_by_id:
        return Suspicion.LEAVING
    if term.primary in board.vms.leaving:
        return Suspicion.LEAVING
    view = board.server(term.primary)
    # What was seen before the primary was published does not count: its promoter has
    # had an answer since, and an older status tells of its former role.
    published_at_s = board.primary_seen_at_s.get(term.group_id, 0.0)
    if view.refused_at_s is not None and view.refused_at_s > published_at_s:
        return Suspicion.LOST
    if now_s - published_at_s > FAILOVER_AFTER_S and is_silent(view, now_s):
        return Suspicion.LOST
    status = view.status
    if view.status_sent_at_s <= published_at_s:
        return Suspicion.NONE
    if status is not None and (status.read_only or status.term != term.log_term):
        return Suspicion.DEMOTED
    return Suspicion.NONE


def is_silent(view: ServerView, now_s: float) -> bool:
    """Return whether a server has left requests unanswered for too long.

    Args:
        view: What is known of the server.
        now_s: Local time.

    Returns:
        True after FAILOVER_AFTER_S, from the first open request where those are known.
    """
    if view.is_tracked:
        return view.owes_for_s(now_s) > FAILOVER_AFTER_S
    return now_s - view.answered_at_s > FAILOVER_AFTER_S


def make_sighting(board: Blackboard, server_id: str, now_s: float) -> Sighting:
    """Return what this node can tell a peer about a server.

    Args:
        board: The node's state.
        server_id: The server asked about.
        now_s: Local time.

    Returns:
        The age of the newest answer and whether connections are refused.
    """
    view = board.servers_by_id.get(server_id)
    if view is None:
        return Sighting(board.node_id, server_id, None, False)
    # Answers to ordinary statements count too; most nodes never ask for a status.
    age_s = now_s - view.answered_at_s if view.answered_at_s > NEVER_S else None
    return Sighting(board.node_id, server_id, age_s, view.refused_at_s is not None)


def is_seen_by_peer(sighting: PeerSighting, now_s: float) -> bool:
    """Return whether a peer's report speaks against the loss of a server.

    Args:
        sighting: The report.
        now_s: Local time.

    Returns:
        True if the peer had an answer within FAILOVER_AFTER_S and was not refused
        since.
    """
    if sighting.refused:
        return False
    return now_s - sighting.seen_at_s < FAILOVER_AFTER_S
