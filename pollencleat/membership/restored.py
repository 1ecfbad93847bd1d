"""The fleet state after its store came back from an older copy, as pure functions.

A fleet state names the era that it was written for.  If the store is in another era,
the state is unsettled: changes of members and terms may be lost that some node still
knows of or that a server has carried out.  An unsettled state gives no permit and no
right.  It is settled by one conditional update with the union of what the members, the
restored state and, if some member is missing, the servers show.
"""

from dataclasses import replace

from pollencleat.core.data import (
    Fleet,
    GroupTerm,
    Member,
    Promotion,
    RemovedMember,
    ServerLog,
    ServerStatus,
)
from pollencleat.membership.fleet import (
    NO_SEAT,
    replaces_dead_member,
    with_promotion_started,
)

TERMS_PER_ERA = 1 << 16
"""Terms that a group may begin in one era.  Terms of a new era begin above all that can
have been handed out before, so that no fencing token repeats."""

RESTORED_CAUSE = "store restored from an older copy"

NOBODY = ""
"""Promoter of a promotion that settling begins; a member takes it over at once."""


def first_term_of(era: int) -> int:
    """Return the lowest term that may begin in an era."""
    return era * TERMS_PER_ERA


def with_member_after_restore(restored: Fleet, member: Member, era: int) -> Fleet:
    """Register a process in an unsettled state, which stays unsettled.

    The process gets no seat and no right before the state is settled.

    Args:
        restored: The unsettled state.
        member: The new process.
        era: Era of the store.

    Returns:
        The changed state.
    """
    members_by_id = dict(restored.members_by_id)
    removed = dict(restored.removed_by_incarnation)
    previous = members_by_id.pop(member.node_id, None)
    if previous is not None:
        removed[previous.incarnation] = _make_removal(previous, restored)
    members_by_id[member.node_id] = replace(
        member,
        seat=NO_SEAT,
        may_promote=False,
        is_heir=replaces_dead_member(previous, member),
        joined_in_era=era,
    )
    return replace(
        restored, members_by_id=members_by_id, removed_by_incarnation=removed
    )


def is_renewed(restored: Fleet, era: int) -> bool:
    """Return whether every member joined after the restore.

    Then the processes of before have all been replaced, and none of them can hold a
    permit for longer than the promises of the dead ones last.
    """
    members = restored.members_by_id.values()
    return bool(members) and all(member.joined_in_era == era for member in members)


def merge_restored(known: Fleet, restored: Fleet, era: int) -> Fleet:
    """Return the union of a node's knowledge and a restored state, settled.

    Args:
        known: The newest state of before that the node knows; empty for a process that
            knows none.
        restored: The unsettled state of the store.
        era: Era of the store.

    Returns:
        The settled state, whose next terms begin above all of before.
    """
    removed = {**restored.removed_by_incarnation, **known.removed_by_incarnation}
    members_by_id: dict[str, Member] = {}
    for node_id in sorted({*known.members_by_id, *restored.members_by_id}):
        ours = known.members_by_id.get(node_id)
        theirs = restored.members_by_id.get(node_id)
        member = _merge_member(ours, theirs, removed, known, era)
        if member is not None:
            members_by_id[node_id] = member
        for other in (ours, theirs):
            if other is not None and (
                member is None or other.incarnation != (member.incarnation)
            ):
                removed.setdefault(other.incarnation, _make_removal(other, restored))
    incarnations = {member.incarnation for member in members_by_id.values()}
    doubted = {*known.doubted, *restored.doubted} & incarnations
    return replace(
        known,
        members_by_id=_with_unique_seats(members_by_id, known),
        removed_by_incarnation=removed,
        terms_by_group=_merge_terms(known, restored),
        audit=_merge_audit(known, restored),
        seats=max(known.seats, restored.seats),
        doubted=tuple(sorted(doubted)),
        era=era,
        next_term=max(known.next_term, restored.next_term, first_term_of(era)),
        departed_logs_by_group=_merge_departed_logs(known, restored),
    )


def _merge_departed_logs(
    known: Fleet, restored: Fleet
) -> dict[str, tuple[ServerLog, ...]]:
    """Return all recorded logs; those that are not needed are dropped again."""
    merged = dict(known.departed_logs_by_group)
    for group_id, logs in restored.departed_logs_by_group.items():
        merged[group_id] = tuple(sorted({*merged.get(group_id, ()), *logs}))
    return merged


def _make_removal(member: Member, restored: Fleet) -> RemovedMember:
    return RemovedMember(
        member.node_id, member.incarnation, False, restored.version + 1
    )


def _merge_member(
    ours: Member | None,
    theirs: Member | None,
    removed: dict[str, RemovedMember],
    known: Fleet,
    era: int,
) -> Member | None:
    """Return a node's member entry; None if the process was removed."""
    if theirs is not None and theirs.joined_in_era == era:
        if not known.version:
            return theirs
        seat = ours.seat if ours is not None else NO_SEAT
        return replace(theirs, seat=seat, is_heir=replaces_dead_member(ours, theirs))
    if ours is not None and ours.incarnation in removed:
        ours = None
    if theirs is not None and theirs.incarnation in removed:
        theirs = None
    if ours is None or theirs is None:
        return ours or theirs
    if ours.incarnation != theirs.incarnation:
        return ours
    return replace(ours, may_promote=ours.may_promote or theirs.may_promote)


def _with_unique_seats(
    members_by_id: dict[str, Member], known: Fleet
) -> dict[str, Member]:
    """Return the members, of which no two have the same seat.

    A seat belongs to the member that is known to have it; the other gets a free one
    later.
    """
    owners = {member.seat: node_id for node_id, member in known.members_by_id.items()}
    seated = {}
    for node_id, member in members_by_id.items():
        owner = owners.setdefault(member.seat, node_id)
        if owner != node_id and owner in members_by_id:
            member = replace(member, seat=NO_SEAT)
        seated[node_id] = member
    return seated


def _merge_terms(known: Fleet, restored: Fleet) -> dict[str, GroupTerm]:
    """Return the newest record of each group.

    A record with a primary follows the one of the same term without.
    """
    terms = dict(known.terms_by_group)
    for group_id, theirs in restored.terms_by_group.items():
        ours = terms.get(group_id)
        if ours is None or _progress(theirs) > _progress(ours):
            terms[group_id] = theirs
    return terms


def _progress(record: GroupTerm) -> tuple[int, bool]:
    return record.term, bool(record.primary)


def _merge_audit(known: Fleet, restored: Fleet) -> tuple:
    changes = {entry.change_id for entry in known.audit}
    missing = [entry for entry in restored.audit if entry.change_id not in changes]
    return (*missing, *known.audit)


def shows_known_term(
    record: GroupTerm, server_ids: tuple[str, ...], statuses: dict[str, ServerStatus]
) -> bool:
    """Return whether all servers of a group agree with its record.

    A server may have been promoted in a term that the restored store has lost and that
    no reachable member knows of.

    Args:
        record: The group's record, with a primary.
        server_ids: The group's servers.
        statuses: Answers by server id, given after no lost order can be sent any more.

    Returns:
        False if a server did not answer, is in a later term, or if the primary does not
        lead in the recorded one.
    """
    for server_id in server_ids:
        status = statuses.get(server_id)
        if status is None:
            return False
        if max(status.term, status.last_entry_term) > record.log_term:
            return False
    primary = statuses.get(record.primary)
    if primary is None:
        return False
    return not primary.read_only and primary.term == record.log_term


def with_doubtful_terms_replaced(fleet: Fleet, group_ids: list[str]) -> Fleet:
    """Begin the next term of groups whose primary is uncertain.

    Args:
        fleet: A settled state.
        group_ids: The groups.

    Returns:
        The changed state, in which nobody writes to these groups until a member has
        taken the promotions over.
    """
    for group_id in group_ids:
        record = fleet.terms_by_group[group_id]
        promotion = Promotion(
            f"era {fleet.era}", NOBODY, NOBODY, record.primary, False, RESTORED_CAUSE
        )
        fleet = with_promotion_started(fleet, group_id, promotion)
    return fleet
