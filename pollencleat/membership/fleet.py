"""Changes of the fleet state, as pure functions.

Each returns a new state with the old version; the platform assigns the next version
when the conditional update succeeds.
"""

from dataclasses import replace

from pollencleat.core.data import (
    AuditEntry,
    Fleet,
    GroupTerm,
    Member,
    Promotion,
    RemovedMember,
    TermStart,
)

NO_SEAT = -1
"""Seat of a member for which no connection share is free."""

SPARE_SEATS = 1
"""Seats kept free where none are declared, so that a newcomer may open connections
before the others have given up theirs."""

HISTORY_KEPT = 32
"""Terms of a group that stay in the fleet state."""

AUDIT_KEPT = 200
"""Promotions whose audit entries stay in the fleet state."""


def with_member(fleet: Fleet, member: Member, seats: int) -> Fleet:
    """Register a member and give it a free seat.

    The first member of a fleet that nobody was forced out of may promote at once:
    nobody else can hold a write permit.  Every other newcomer has to be vouched for.

    Args:
        fleet: The state to start from.
        member: The newcomer; its seat and may_promote are ignored.
        seats: Number of seats declared; 0 to make room as members come.

    Returns:
        The changed state.
    """
    members_by_id = dict(fleet.members_by_id)
    removed = dict(fleet.removed_by_incarnation)
    previous = members_by_id.pop(member.node_id, None)
    if previous is not None:
        removed[previous.incarnation] = RemovedMember(
            previous.node_id, previous.incarnation, False, fleet.version + 1
        )
    forced_out = any(not entry.resigned for entry in removed.values())
    alone = not members_by_id and not forced_out
    if previous is not None:
        seat = previous.seat
    else:
        seat = _find_free_seat(members_by_id, seats or len(members_by_id) + 1)
    members_by_id[member.node_id] = replace(
        member, seat=seat, may_promote=alone, is_heir=_is_heir(previous, member)
    )
    if previous is not None:
        fleet = without_doubts(fleet, [previous])
    return replace(
        fleet,
        members_by_id=members_by_id,
        removed_by_incarnation=removed,
        seats=max(fleet.seats, seat + 1 + SPARE_SEATS),
    )


def _is_heir(previous: Member | None, member: Member) -> bool:
    """Return whether a newcomer's address shows that a vouched process is dead."""
    if previous is None or previous.address != member.address:
        return False
    return previous.may_promote or previous.is_heir


def _find_free_seat(members_by_id: dict[str, Member], seats: int) -> int:
    taken = {member.seat for member in members_by_id.values()}
    for seat in range(seats):
        if seat not in taken:
            return seat
    return NO_SEAT


def with_free_seats_taken(fleet: Fleet, seats: int) -> Fleet:
    """Seat members that found no free seat when they registered.

    Args:
        fleet: The state to start from.
        seats: Number of seats declared; 0 to make room.

    Returns:
        The changed state; equal to the given one if nobody could be seated.
    """
    members_by_id = dict(fleet.members_by_id)
    highest = fleet.seats
    for node_id, member in sorted(members_by_id.items()):
        if member.seat != NO_SEAT:
            continue
        seat = _find_free_seat(members_by_id, seats or len(members_by_id) + 1)
        members_by_id[node_id] = replace(member, seat=seat)
        highest = max(highest, seat + 1 + SPARE_SEATS)
    return replace(fleet, members_by_id=members_by_id, seats=highest)


def without_member(fleet: Fleet, node_id: str, resigned: bool) -> Fleet:
    """Remove a member.

    Args:
        fleet: The state to start from.
        node_id: A member.
        resigned: It gave up its write permit by itself.

    Returns:
        The changed state.
    """
    members_by_id = dict(fleet.members_by_id)
    member = members_by_id.pop(node_id)
    removed = dict(fleet.removed_by_incarnation)
    removed[member.incarnation] = RemovedMember(
        node_id, member.incarnation, resigned, fleet.version + 1
    )
    return replace(
        without_doubts(fleet, [member]),
        members_by_id=members_by_id,
        removed_by_incarnation=removed,
    )


def with_doubts(fleet: Fleet, members: list[Member]) -> Fleet:
    """Ask whether members are alive.

    Args:
        fleet: The state to start from.
        members: Members that are silent.

    Returns:
        The changed state.
    """
    added = {member.incarnation for member in members}
    return replace(fleet, doubted=tuple(sorted({*fleet.doubted, *added})))


def without_doubts(fleet: Fleet, members: list[Member]) -> Fleet:
    """Delete the doubts about members.

    Args:
        fleet: The state to start from.
        members: Members that are alive, or no members any more.

    Returns:
        The changed state.
    """
    settled = {member.incarnation for member in members}
    kept = tuple(name for name in fleet.doubted if name not in settled)
    return replace(fleet, doubted=kept)


def with_voucher(fleet: Fleet, node_id: str) -> Fleet:
    """Let a member promote.

    Args:
        fleet: The state to start from.
        node_id: The member that is vouched for.

    Returns:
        The changed state.
    """
    members_by_id = dict(fleet.members_by_id)
    members_by_id[node_id] = replace(members_by_id[node_id], may_promote=True)
    return replace(fleet, members_by_id=members_by_id)


def without_removed(fleet: Fleet, incarnations: list[str]) -> Fleet:
    """Forget former members whose permits lapsed long ago.

    Args:
        fleet: The state to start from.
        incarnations: Incarnations to forget.

    Returns:
        The changed state.
    """
    removed = {
        incarnation: entry
        for incarnation, entry in fleet.removed_by_incarnation.items()
        if incarnation not in incarnations
    }
    return replace(fleet, removed_by_incarnation=removed)


def with_promotion_started(fleet: Fleet, group_id: str, promotion: Promotion) -> Fleet:
    """Move a group to the next term, with no primary until one is published.

    Args:
        fleet: The state to start from.
        group_id: The group.
        promotion: Who does it and why.

    Returns:
        The changed state.
    """
    current = fleet.terms_by_group.get(group_id) or GroupTerm(group_id, 0, "")
    started = replace(current, term=current.term + 1, primary="", promotion=promotion)
    terms = {**fleet.terms_by_group, group_id: started}
    return replace(fleet, terms_by_group=terms)


def with_primary_published(
    fleet: Fleet, group_id: str, server_id: str, start: TermStart
) -> Fleet:
    """End a promotion.

    Args:
        fleet: A state in which the promotion is in progress.
        group_id: The group.
        server_id: The new primary.
        start: The term of its log, and its position when it began to accept writes.

    Returns:
        The changed state.
    """
    current = fleet.terms_by_group[group_id]
    history = (*current.history, start)
    published = replace(
        current,
        primary=server_id,
        promotion=None,
        history=history[-HISTORY_KEPT:],
        assigned_log_term=0 if start.term == current.term else start.term,
    )
    terms = {**fleet.terms_by_group, group_id: published}
    return replace(fleet, terms_by_group=terms)


def with_promotion_withdrawn(fleet: Fleet, group_id: str) -> Fleet:
    """End a promotion with the primary that it was to replace, which leads still.

    Nothing was done to any server, so that the servers' term and history stay.

    Args:
        fleet: A state in which the promotion is in progress.
        group_id: The group.

    Returns:
        The changed state.
    """
    current = fleet.terms_by_group[group_id]
    withdrawn = replace(
        current,
        primary=current.promotion.old_primary,
        promotion=None,
        assigned_log_term=current.former_log_term,
    )
    terms = {**fleet.terms_by_group, group_id: withdrawn}
    return replace(fleet, terms_by_group=terms)


def with_audit_entry(fleet: Fleet, entry: AuditEntry) -> Fleet:
    """Add an audit entry to the change that it describes.

    Args:
        fleet: The changed state.
        entry: What was changed.

    Returns:
        The state with the entry; the oldest is dropped beyond the limit.
    """
    return replace(fleet, audit=(*fleet.audit, entry)[-AUDIT_KEPT:])
