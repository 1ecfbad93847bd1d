"""Whether this node may write, and until when.

Two grounds are known.  A platform read that was sent recently shows that no newer term
had been begun at that time; a promoter waits longer than that before it makes a server
writable.  During an outage of the platform, unexpired promises of every other member
show that nobody makes a server a primary.  Each ground alone is enough.
"""

import enum

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import CLOCK_DRIFT, PERMIT_S, PROMISE_S
from pollencleat.core.data import GroupTerm, Member

NEVER_S = -1e9
"""A local time before every event."""


class PermitBasis(enum.StrEnum):
    """On what a write permit rests."""

    PLATFORM = "platform"
    PROMISES = "promises"
    NONE = "none"


def permit_ends_at(board: Blackboard) -> float:
    """Return until when this node may write to groups whose primary it knows.

    Args:
        board: The node's state.

    Returns:
        Local time in seconds; in the past if the node may not write.
    """
    if not board.is_member():
        return NEVER_S
    return max(platform_permit_ends_at(board), promise_permit_ends_at(board))


def holds_write_permit(board: Blackboard, now_s: float) -> bool:
    """Return whether this node may write to groups whose primary it knows.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        True while either ground holds; promises are only looked at without the first.
    """
    if not board.is_member():
        return False
    if now_s < platform_permit_ends_at(board):
        return True
    return now_s < promise_permit_ends_at(board)


def platform_permit_ends_at(board: Blackboard) -> float:
    """Return until when the newest platform read permits writes.

    Args:
        board: The node's state.

    Returns:
        Local time in seconds.
    """
    return board.fresh_at_s + PERMIT_S * (1 - CLOCK_DRIFT)


def promise_permit_ends_at(board: Blackboard) -> float:
    """Return until when promises of all other members permit writes.

    Args:
        board: The node's state.

    Returns:
        Local time in seconds; never beyond the outage limit.
    """
    outage_ends_at = board.fresh_at_s + board.outage_limit_s * (1 - CLOCK_DRIFT)
    ends_at = outage_ends_at
    for domain, members in board.index().members_by_domain.items():
        promised_at = domain_promised_at(board, domain, members)
        ends_at = min(ends_at, promised_at + PROMISE_S * (1 - CLOCK_DRIFT))
    return ends_at


def domain_promised_at(
    board: Blackboard, domain: str, members: tuple[Member, ...]
) -> float:
    """Return the oldest time of the newest promises of a failure domain's members.

    Args:
        board: The node's state.
        domain: Failure domain.
        members: Its members; this node itself needs no promise.

    Returns:
        Local time in seconds, as told by the members or by a relay.
    """
    told_by_members = float("inf")
    for member in members:
        if member.node_id == board.node_id:
            continue
        told_by_members = min(told_by_members, member_promised_at(board, member))
    view = board.domains_by_id.get(domain)
    if view is None or view.members_key != board.index().keys_by_domain[domain]:
        return told_by_members
    return max(told_by_members, view.promised_at_s)


def member_promised_at(board: Blackboard, member: Member) -> float:
    """Return when a member's newest promise was given at the earliest.

    Args:
        board: The node's state.
        member: Another member.

    Returns:
        Local time in seconds.
    """
    peer = board.peers_by_id.get(member.node_id)
    if peer is None or peer.incarnation != member.incarnation:
        return NEVER_S
    return peer.promised_at_s


def permit_basis(board: Blackboard, now_s: float) -> PermitBasis:
    """Return on what a write would rest now.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        The basis, for status reports.
    """
    if not board.is_member():
        return PermitBasis.NONE
    if now_s < platform_permit_ends_at(board):
        return PermitBasis.PLATFORM
    if now_s < promise_permit_ends_at(board):
        return PermitBasis.PROMISES
    return PermitBasis.NONE


def writable_term(board: Blackboard, group_id: str, now_s: float) -> GroupTerm | None:
    """Return the term under which this node may write to a group now.

    Args:
        board: The node's state.
        group_id: The group.
        now_s: Local time.

    Returns:
        The term with its primary, or None if writes are not permitted.
    """
    term = board.group_term(group_id)
    if term is None or not term.primary:
        return None
    if not holds_write_permit(board, now_s):
        return None
    return term
