"""Write permits: whether this node may write, and until when.

A permit has one of two bases, each sufficient on its own:

- A recent platform read shows that no newer term had begun when the read was sent.  A
  promoter waits longer than a permit lasts before it makes a server writable.
- During a platform outage, unexpired promises of all other members show that no member
  promotes a server.
"""

import enum

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import (
    MAX_CLOCK_DRIFT,
    PLATFORM_PERMIT_S,
    PROMISE_DURATION_S,
)
from pollencleat.core.data import GroupTerm, Member

BEFORE_START_S = -1e9
"""Local time that lies before every event."""


class PermitBasis(enum.StrEnum):
    """The basis of a write permit."""

    PLATFORM = "platform"
    PROMISES = "promises"
    NONE = "none"


def permit_ends_at(board: Blackboard) -> float:
    """Return when this node's write permit expires.

    The permit covers the groups whose primary the node knows.

    Args:
        board: The node's state.

    Returns:
        Local time in seconds; in the past if the node holds no permit.
    """
    if not board.is_member():
        return BEFORE_START_S
    return max(platform_permit_ends_at(board), promise_permit_ends_at(board))


def holds_write_permit(board: Blackboard, now_s: float) -> bool:
    """Return whether this node holds a write permit.

    Promises are evaluated only if the platform read is too old.

    Args:
        board: The node's state.
        now_s: Local time in seconds.

    Returns:
        True if the node may write to groups whose primary it knows.
    """
    if not board.is_member():
        return False
    if now_s < platform_permit_ends_at(board):
        return True
    return now_s < promise_permit_ends_at(board)


def platform_permit_ends_at(board: Blackboard) -> float:
    """Return when the permit based on the newest platform read expires.

    Args:
        board: The node's state.

    Returns:
        Local time in seconds.
    """
    return board.fleet_confirmed_at_s + PLATFORM_PERMIT_S * (1 - MAX_CLOCK_DRIFT)


def promise_permit_ends_at(board: Blackboard) -> float:
    """Return when the permit based on the other members' promises expires.

    Args:
        board: The node's state.

    Returns:
        Local time in seconds; at most the outage limit after the newest read.
    """
    outage_ends_at = board.fleet_confirmed_at_s + board.outage_limit_s * (
        1 - MAX_CLOCK_DRIFT
    )
    ends_at = outage_ends_at
    for domain, members in board.fleet_index().members_by_domain.items():
        promised_at = domain_promised_at_s(board, domain, members)
        ends_at = min(ends_at, promised_at + PROMISE_DURATION_S * (1 - MAX_CLOCK_DRIFT))
    return ends_at


def domain_promised_at_s(
    board: Blackboard, domain: str, members: tuple[Member, ...]
) -> float:
    """Return the time of the oldest among the newest promises of a domain's members.

    Promises received from the members themselves and summaries received from a relay
    are both valid; the later time counts.

    Args:
        board: The node's state.
        domain: Failure domain.
        members: Members of the failure domain; this node is skipped.

    Returns:
        Local time in seconds.
    """
    direct_promised_at_s = float("inf")
    for member in members:
        if member.node_id == board.node_id:
            continue
        direct_promised_at_s = min(
            direct_promised_at_s, member_promised_at_s(board, member)
        )
    view = board.domains_by_id.get(domain)
    if (
        view is None
        or view.members_key != board.fleet_index().members_keys_by_domain[domain]
    ):
        return direct_promised_at_s
    return max(direct_promised_at_s, view.promised_at_s)


def member_promised_at_s(board: Blackboard, member: Member) -> float:
    """Return the earliest time at which a member gave its newest promise.

    Args:
        board: The node's state.
        member: Another member.

    Returns:
        Local time in seconds; BEFORE_START_S if this incarnation gave none.
    """
    peer = board.peers_by_id.get(member.node_id)
    if peer is None or peer.incarnation != member.incarnation:
        return BEFORE_START_S
    return peer.promised_at_s


def permit_basis(board: Blackboard, now_s: float) -> PermitBasis:
    """Return the basis of the current write permit, for status reports.

    Args:
        board: The node's state.
        now_s: Local time in seconds.

    Returns:
        The basis; NONE if the node holds no permit.
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
        now_s: Local time in seconds.

    Returns:
        The term, or None without a known primary or a write permit.
    """
    term = board.group_term(group_id)
    if term is None or not term.primary:
        return None
    if not holds_write_permit(board, now_s):
        return None
    return term
