"""Changes of the fleet state, as pure functions.

Each returns a new state with an unchanged version; the platform assigns the next
version when the conditional update succeeds.
"""

from dataclasses import replace

from pollencleat.core.data import (
    AuditEntry,
    Fleet,
    GroupTerm,
    Member,
    Promotion,
    RemovedMember,
    ServerLog,
    TermStart,
)

NO_SEAT = -1
"""Seat of a member without a connection share, because none was free."""

SPARE_SEATS = 1
"""Seats kept free where the inventory declares no number, so that a new member can open
connections before the others have reduced theirs."""

FIRST_LOG_TERM = 1
"""Term of a server that was never promoted."""

MAX_HISTORY_TERMS = 32
"""Newest terms of each group that the fleet state keeps."""

MAX_AUDIT_ENTRIES = 200
"""Newest audit entries of promotions that the fleet state keeps."""


def with_member(fleet: Fleet, member: Member, seats: int) -> Fleet:
    """Register a member and give it a free seat.

    If all former members resigned, the first member may promote servers at once, since
    no other node can hold a write permit.  Every other new member must be granted that
    right.

    Args:
        fleet: The state to start from.
        member: The new member; its seat and may_promote are ignored.
        seats: Declared number of seats; 0 to add seats as members join.

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
    has_forced_removal = any(not entry.resigned for entry in removed.values())
    is_first_member = not members_by_id and not has_forced_removal
    if previous is not None:
        seat = previous.seat
    else:
        seat = _find_free_seat(members_by_id, seats or len(members_by_id) + 1)
    members_by_id[member.node_id] = replace(
        member,
        seat=seat,
        may_promote=is_first_member,
        is_heir=replaces_dead_member(previous, member),
    )
    if previous is not None:
        fleet = without_doubts(fleet, [previous])
    return replace(
        fleet,
        members_by_id=members_by_id,
        removed_by_incarnation=removed,
        seats=max(fleet.seats, seat + 1 + SPARE_SEATS),
    )


def replaces_dead_member(previous: Member | None, member: Member) -> bool:
    """Return whether a member replaces a dead one that had the promotion right.

    A previous member that itself replaced one with the right counts too.  A new process
    at the same address shows that the previous process is dead.
    """
    if previous is None or previous.address != member.address:
        return False
    return previous.may_promote or previous.is_heir


def _find_free_seat(members_by_id: dict[str, Member], seats: int) -> int:
    taken = {member.seat for member in members_by_id.values()}
    for seat in range(seats):
        if seat not in taken:
            return seat
    return NO_SEAT


def with_free_seats_assigned(fleet: Fleet, seats: int) -> Fleet:
    """Assign free seats to members that got none when they registered.

    Args:
        fleet: The state to start from.
        seats: Declared number of seats; 0 to add seats as needed.

    Returns:
        The changed state; equal to the given one if no seat could be assigned.
    """
    members_by_id = dict(fleet.members_by_id)
    seat_count = fleet.seats
    for node_id, member in sorted(members_by_id.items()):
        if member.seat != NO_SEAT:
            continue
        seat = _find_free_seat(members_by_id, seats or len(members_by_id) + 1)
        members_by_id[node_id] = replace(member, seat=seat)
        seat_count = max(seat_count, seat + 1 + SPARE_SEATS)
    return replace(fleet, members_by_id=members_by_id, seats=seat_count)


def without_member(fleet: Fleet, node_id: str, resigned: bool) -> Fleet:
    """Remove a member.

    Args:
        fleet: The state to start from.
        node_id: The member to remove.
        resigned: Whether the member gave up its write permit and left by itself.

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
    """Mark members as doubted: they are removed unless the doubt is cleared.

    Args:
        fleet: The state to start from.
        members: Unresponsive members.

    Returns:
        The changed state.
    """
    added = {member.incarnation for member in members}
    return replace(fleet, doubted=tuple(sorted({*fleet.doubted, *added})))


def without_doubts(fleet: Fleet, members: list[Member]) -> Fleet:
    """Clear the doubts about members.

    Args:
        fleet: The state to start from.
        members: Members that are alive or have been removed.

    Returns:
        The changed state.
    """
    cleared = {member.incarnation for member in members}
    remaining = tuple(name for name in fleet.doubted if name not in cleared)
    return replace(fleet, doubted=remaining)


def with_promotion_right(fleet: Fleet, node_id: str) -> Fleet:
    """Grant a member the right to promote servers.

    Args:
        fleet: The state to start from.
        node_id: The member.

    Returns:
        The changed state.
    """
    members_by_id = dict(fleet.members_by_id)
    members_by_id[node_id] = replace(members_by_id[node_id], may_promote=True)
    return replace(fleet, members_by_id=members_by_id)


def without_removal_records(fleet: Fleet, incarnations: list[str]) -> Fleet:
    """Delete records of removed members whose write permits expired long ago.

    Args:
        fleet: The state to start from.
        incarnations: Incarnations of the removed members.

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

    The term jumps where the store came back from an older copy, which may have lost
    terms that were begun.

    Args:
        fleet: The state to start from.
        group_id: The group.
        promotion: The promoter, the old primary and the cause.

    Returns:
        The changed state.
    """
    current = fleet.terms_by_group.get(group_id) or GroupTerm(group_id, 0, "")
    term = max(current.term + 1, fleet.next_term)
    assigned_log_term = current.assigned_log_term
    if term > current.term + 1 and not assigned_log_term:
        # The servers' terms do not follow the jump.
        assigned_log_term = max(current.term, FIRST_LOG_TERM)
    started = replace(
        current,
        term=term,
        primary="",
        promotion=promotion,
        assigned_log_term=assigned_log_term,
    )
    terms = {**fleet.terms_by_group, group_id: started}
    return replace(fleet, terms_by_group=terms)


def with_primary_published(
    fleet: Fleet, group_id: str, server_id: str, start: TermStart
) -> Fleet:
    """End a promotion with a new primary.

    Args:
        fleet: A state in which the promotion is in progress.
        group_id: The group.
        server_id: The new primary.
        start: The new primary's log term and the log position from which it accepts
            writes.

    Returns:
        The changed state.
    """
    current = fleet.terms_by_group[group_id]
    history = (*current.history, start)
    published = replace(
        current,
        primary=server_id,
        promotion=None,
        history=history[-MAX_HISTORY_TERMS:],
        assigned_log_term=0 if start.term == current.term else start.term,
    )
    terms = {**fleet.terms_by_group, group_id: published}
    return replace(fleet, terms_by_group=terms)


def with_promotion_withdrawn(fleet: Fleet, group_id: str) -> Fleet:
    """Cancel a promotion whose old primary still leads, and reinstate that primary.

    No server was changed, so the servers' log term and the history stay the same.

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
        assigned_log_term=current.previous_log_term,
    )
    terms = {**fleet.terms_by_group, group_id: withdrawn}
    return replace(fleet, terms_by_group=terms)


def with_departed_logs(fleet: Fleet, group_id: str, logs: set[ServerLog]) -> Fleet:
    """Replace the recorded departed logs of a group.

    Args:
        fleet: The state to start from.
        group_id: The group.
        logs: Its logs that may be needed.

    Returns:
        The changed state.
    """
    recorded = {**fleet.departed_logs_by_group, group_id: tuple(sorted(logs))}
    kept = {name: recorded[name] for name in sorted(recorded) if recorded[name]}
    return replace(fleet, departed_logs_by_group=kept)


def with_audit_entry(fleet: Fleet, entry: AuditEntry) -> Fleet:
    """Add an audit entry to the change that it describes.

    Args:
        fleet: The changed state.
        entry: Description of the change.

    Returns:
        The state with the entry; only the newest MAX_AUDIT_ENTRIES are kept.
    """
    return replace(fleet, audit=(*fleet.audit, entry)[-MAX_AUDIT_ENTRIES:])
