"""The choice of a new primary by the logs that the servers report.

No server may be promoted that lacks an acknowledged commit.  Every server that may have
acknowledged one counts, whether it stays, leaves, has gone or has lost its log.
"""

from pollencleat.core.bounds import is_before, log_end_of
from pollencleat.core.data import (
    DatabaseGroup,
    Position,
    ServerStatus,
    TermStart,
)
from pollencleat.promotion.attempt import REMOVED_PERMIT_EXPIRY_S, Attempt
from pollencleat.promotion.suspicion import Suspicion


def choose_server(
    attempt: Attempt, server_ids: tuple[str, ...], leaving: tuple[str, ...]
) -> str | None:
    """Return the most advanced server that answered.

    Servers are compared by the term of their last log entry, then by log position.  A
    leaving server acknowledges commits until it ends, so it is passed over only for a
    server with the same log.  A server that has lost its log is not chosen while
    another server does not answer.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_ids: The group's servers in declared order.
        leaving: Servers that are about to shut down.

    Returns:
        A server id, or None if no server qualifies.
    """
    answered = [
        server_id
        for server_id in server_ids
        if attempt.statuses_by_server.get(server_id)
    ]
    if len(answered) < len(server_ids):
        # The missing servers may still have the log entries that these have lost.
        answered = [
            candidate for candidate in answered if not has_lost_log(attempt, candidate)
        ]
    best = None
    best_key = (-1, -1, False, False)
    for server_id in find_successors(attempt, answered) or answered:
        status = attempt.statuses_by_server[server_id]
        is_staying = server_id not in leaving
        # A server that is already writable is preferred as a group's first primary.
        is_primary = not attempt.promotion.old_primary and not status.read_only
        key = (status.last_entry_term, status.received_position, is_staying, is_primary)
        if key > best_key:
            best = server_id
            best_key = key
    return best


def find_successors(attempt: Attempt, answered: list[str]) -> list[str]:
    """Return the servers that can succeed the old primary.

    Args:
        attempt: The attempt, with the answers of the current round.
        answered: Servers that answered.

    Returns:
        In a planned change, the other servers that have everything with which the old
        primary began its term; otherwise all.
    """
    if not attempt.promotion.planned:
        return answered
    return [
        server_id
        for server_id in answered
        if server_id != attempt.promotion.old_primary
        and has_start_of_replaced_term(attempt, server_id)
    ]


def has_start_of_replaced_term(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server has everything with which the old primary began its term.

    Commits of older terms may be in the old primary's log alone until other servers
    have received its log up to there.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_id: A server that answered.

    Returns:
        True if the server's log reaches the start of the term that is replaced.
    """
    log_end = log_end_of(attempt.statuses_by_server[server_id])
    return reaches_latest_term(attempt.history, log_end)


def reaches_latest_term(history: tuple[TermStart, ...], log_end: Position) -> bool:
    """Return whether a log has every entry with which the latest term began.

    A log that ends in an older term can be longer and still lack entries, because a
    promotion rolls back what the new primary did not have.

    Args:
        history: Starts of a group's latest terms, oldest first.
        log_end: Term and position of the log's last entry.

    Returns:
        True if the log reaches the start of the last term, or if there was no term.
    """
    if not history:
        return True
    return kept_position(history, log_end) >= history[-1].start_position


def kept_position(history: tuple[TermStart, ...], log_end: Position) -> int:
    """Return up to where no promotion has rolled back a log.

    Args:
        history: Starts of a group's latest terms, oldest first.
        log_end: Term and position of the log's last entry.

    Returns:
        The position up to which the log is the same as that of the latest primary.
    """
    later_starts = [
        start.start_position for start in history if start.term > log_end.term
    ]
    return min((log_end.position, *later_starts))


def has_lost_log(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server restarted without its former log.

    Such a server may have received a part of it again.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_id: A server.

    Returns:
        True if its log lacks entries that it had when the attempt began, and that no
        promotion has rolled back; False if it has not answered.
    """
    status = attempt.statuses_by_server.get(server_id)
    if status is None:
        return False
    if not status.read_only and status.term >= attempt.log_term:
        # This attempt has already promoted the server, and the answer was lost.
        return False
    kept = find_kept_position(attempt, server_id)
    history = attempt.history
    published_term = history[-1].term if history else attempt.log_term - 1
    if status.term > published_term:
        # An unpublished attempt may have rolled it back, nobody knows how far.
        kept = min(kept, 1)
    return status.received_position < kept


def find_kept_position(attempt: Attempt, server_id: str) -> int:
    """Return up to where a server's log must reach unless it was lost.

    Args:
        attempt: The attempt, with what was known when it began.
        server_id: A server.

    Returns:
        The position; 0 if nothing is known of its log.
    """
    known = attempt.known_log_end_by_server.get(server_id)
    return 0 if known is None else kept_position(attempt.history, known)


def has_every_acknowledged_commit(
    attempt: Attempt,
    group: DatabaseGroup,
    server_id: str,
    unregistered: tuple[str, ...] = (),
) -> bool:
    """Return whether a chosen server certainly has every acknowledged commit.

    What the old primary began its term with was acknowledged under older terms, and
    may be in its log alone, so the chosen server must have received that.  A later
    commit that k replicas must acknowledge is on at least one held replica unless k or
    more replicas did not answer or have lost their logs; the chosen server is the most
    advanced of those that answered.  Otherwise, the chosen server's log must reach the
    final position of the old primary, or the highest position that any node has
    received from it: every acknowledgement passed through one of the nodes.

    Args:
        attempt: The attempt, with the answers of the current round; every server that
            answered is held.
        group: The group.
        server_id: The chosen server.
        unregistered: Replicas that are no longer registered, but may have commits.

    Returns:
        True if no acknowledged commit can be lost, or if the group does not require
        replicas to acknowledge commits.
    """
    old_primary = attempt.promotion.old_primary
    if not group.acknowledging_replicas or not old_primary:
        return True
    unanswered = {
        replica_id
        for replica_id in (*group.server_ids, *unregistered)
        if attempt.statuses_by_server.get(replica_id) is None
        or has_lost_log(attempt, replica_id)
    }
    if attempt.statuses_by_server.get(old_primary) is None:
        unanswered.add(old_primary)
    if unanswered and not has_start_of_replaced_term(attempt, server_id):
        return False
    unanswered.discard(old_primary)
    if len(unanswered) < group.acknowledging_replicas:
        return True
    old_status = attempt.old_primary_status
    if old_status is None:
        old_status = attempt.statuses_by_server.get(old_primary)
    status = attempt.statuses_by_server[server_id]
    log_end = (status.last_entry_term, status.received_position)
    if (
        old_status is not None
        and is_final_position_reliable(attempt, old_status)
        and log_end >= (old_status.last_entry_term, old_status.received_position)
    ):
        return True
    seen = find_acknowledgement_bound(attempt)
    return seen is not None and log_end >= (seen.term, seen.position)


def has_old_primary_final_log(attempt: Attempt) -> bool:
    """Return whether the old primary answers and has every commit it acknowledged.

    Args:
        attempt: The attempt, with the answers of the current round.

    Returns:
        True if it may lead again, for instance because its entry had only expired.
    """
    old_primary = attempt.promotion.old_primary
    status = attempt.statuses_by_server.get(old_primary)
    if status is None or has_lost_log(attempt, old_primary):
        return False
    return is_final_position_reliable(attempt, status)


def is_final_position_reliable(attempt: Attempt, old_status: ServerStatus) -> bool:
    """Return whether the old primary's log still has all commits it acknowledged.

    Args:
        attempt: The attempt, with the log positions that the members have seen.
        old_status: The old primary's status after it was fenced.

    Returns:
        False if the primary lost its role without being fenced, if it has followed a
        later primary, or if its log ends before the start of its own term or a position
        that it reported earlier: it has restarted since, possibly with an empty log.
    """
    if attempt.promotion.cause == Suspicion.DEMOTED.value:
        return False
    if old_status.term >= attempt.log_term:
        return False
    kept = find_kept_position(attempt, attempt.promotion.old_primary)
    if old_status.received_position < kept:
        return False
    if not reaches_latest_term(attempt.history, log_end_of(old_status)):
        return False
    for seen in attempt.seen_by_incarnation.values():
        if seen is None:
            continue
        reported = (seen.position.term, seen.position.position)
        if (old_status.last_entry_term, old_status.received_position) < reported:
            return False
    return True


def find_acknowledgement_bound(attempt: Attempt) -> Position | None:
    """Return an upper bound of the positions of all acknowledged commits.

    Args:
        attempt: The attempt, with the log positions that the members have seen.

    Returns:
        The highest position that any member has seen; None if a possible writer has not
        confirmed, or if a removed member may have acknowledged a later commit.
    """
    if attempt.unconfirmed_incarnations:
        return None
    highest = None
    newest_seen_at_s = -1e9
    for seen in attempt.seen_by_incarnation.values():
        if seen is None:
            continue
        newest_seen_at_s = max(newest_seen_at_s, attempt.age_reference_s - seen.age_s)
        if highest is None or is_before(highest, seen.position):
            highest = seen.position
    removed_until_s = max(
        attempt.last_removal_at_s, attempt.last_crash_at_s + REMOVED_PERMIT_EXPIRY_S
    )
    return highest if newest_seen_at_s > removed_until_s else None


def is_caught_up(attempt: Attempt, server_id: str) -> bool:
    """Return whether a server has applied all known log entries.

    Args:
        attempt: The attempt, with the answers of the current round.
        server_id: The chosen server.

    Returns:
        True if it has applied all entries that it received and, if the old primary was
        fenced, all entries that the old primary had applied.
    """
    status = attempt.statuses_by_server[server_id]
    if status.position < status.received_position:
        return False
    old_status = attempt.old_primary_status
    if old_status is None:
        return True
    return (status.last_entry_term, status.position) >= (
        old_status.last_entry_term,
        old_status.position,
    )


def format_log_end(status: ServerStatus | None) -> str:
    """Return the last entry that a server received, for logs.

    Args:
        status: The server's status, or None.

    Returns:
        Term and position; empty without a status.
    """
    if status is None:
        return ""
    return f"{status.last_entry_term}.{status.received_position}"
