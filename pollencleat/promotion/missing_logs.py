"""Logs of a group that no registered server has, and whether they may be needed."""

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import REREGISTRATION_GRACE_S
from pollencleat.core.data import DatabaseGroup, ServerLog
from pollencleat.promotion.attempt import (
    Attempt,
)
from pollencleat.promotion.choice import (
    has_lost_log,
    is_final_position_reliable,
)

UNKNOWN_SERVER_WAIT_S = 8.0
"""Seconds for which a choice waits for a server that may have ended for good: a process
that started since cannot tell."""


NOT_REGISTERED = "not registered yet"
"""Stands for the log of a server that may have started while the platform was down."""


def find_missing_logs(
    board: Blackboard, attempt: Attempt, waited_s: float
) -> tuple[str, ...]:
    """Return logs that cannot be asked and may have acknowledged commits.

    Args:
        board: The node's state.
        attempt: The attempt.
        waited_s: Seconds since the choice began.

    Returns:
        Ids of lapsed servers, and names of the departed logs that count still: those
        that this node or another member knows and none knows not to be needed.  The
        logs that the old primary kept before its term are not among them: it was
        chosen with every commit that they can have acknowledged.  Neither are those
        of servers whose answers in this attempt show that they have lost their logs.
    """
    group_id = attempt.group_id
    lapsed = board.vms.lapsed_by_group.get(group_id, ())
    known = set(board.departed_logs_by_group.get(group_id, ()))
    covered = attempt.reported_covered_logs.union(
        board.covered_logs_by_group.get(group_id, ())
    )
    names = []
    for log in sorted(known | attempt.reported_departed_logs):
        if log in covered or log.server_id == attempt.promotion.old_primary:
            continue
        if has_lost_log(attempt, log.server_id):
            continue
        if log not in known and is_accounted_for(board, log, lapsed):
            continue
        names.append(f"{log.server_id}@{log.born_ms}")
    if may_lack_servers(board, attempt, waited_s):
        names.append(NOT_REGISTERED)
    return (*lapsed, *names)


def may_lack_servers(board: Blackboard, attempt: Attempt, waited_s: float) -> bool:
    """Return whether a server that acknowledges commits may not be registered yet.

    Args:
        board: The node's state.
        attempt: The attempt.
        waited_s: Seconds since the choice began; a platform that fails now and then
            delays no choice for longer than servers take to register.
    """
    now_s = attempt.phase_started_at_s + waited_s
    is_recent_outage = now_s < board.servers_complete_at_s
    return is_recent_outage and waited_s < REREGISTRATION_GRACE_S


def is_accounted_for(
    board: Blackboard, log: ServerLog, lapsed: tuple[str, ...]
) -> bool:
    """Return whether a log is that of a server that is known as registered or lapsed.

    Args:
        board: The node's state.
        log: A log that another member takes for departed.
        lapsed: Ids of the group's lapsed servers.
    """
    registered = board.vms.servers_by_id.get(log.server_id)
    if registered is not None:
        return registered.born_ms == log.born_ms
    return log.server_id in lapsed


def can_waiting_help(
    board: Blackboard, attempt: Attempt, group: DatabaseGroup, waited_s: float
) -> bool:
    """Return whether a missing log, or the proof that it is not needed, may still come.

    Args:
        board: The node's state.
        attempt: The attempt, with the answers of the current round.
        group: The group.
        waited_s: Seconds since the choice began.

    Returns:
        False if all servers that may have a log have answered, the log of the old
        primary is gone, and every possible writer has reported or is gone: the commits
        that are missing now cannot come back.
    """
    if attempt.unconfirmed_incarnations or may_lack_servers(board, attempt, waited_s):
        return True
    if board.vms.lapsed_by_group.get(attempt.group_id):
        return True
    old_primary = attempt.promotion.old_primary
    for server_id in group.server_ids:
        if server_id == old_primary:
            continue
        if attempt.statuses_by_server.get(server_id) is None:
            return True
    departed = set(board.departed_logs_by_group.get(attempt.group_id, ()))
    reported = attempt.reported_departed_logs - attempt.reported_covered_logs
    is_unknown = departed & board.recorded_logs or reported - departed
    if is_unknown and waited_s < UNKNOWN_SERVER_WAIT_S:
        # It is not known here whether their servers have ended or only lapsed.
        return True
    old_status = attempt.old_primary_status
    if old_status is None:
        old_status = attempt.statuses_by_server.get(old_primary)
    if old_status is not None:
        return is_final_position_reliable(attempt, old_status)
    if old_primary in group.server_ids:
        return True
    if any(log.server_id == old_primary for log in departed):
        return False
    return waited_s < UNKNOWN_SERVER_WAIT_S
