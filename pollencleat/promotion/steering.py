"""Carries out the promotions that the fleet state assigns to this node.

Each attempt passes through the phases of promotion/attempt.py.  Orders to servers, and
messages to the other members, are sent from here; what they show is recorded in the
attempt, whose decisions are functions without I/O.
"""

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.bounds import log_end_of
from pollencleat.core.data import (
    AuditEntry,
    DatabaseGroup,
    Fleet,
    ServerStatus,
)
from pollencleat.core.effects import (
    FenceServer,
    FleetUpdated,
    FollowPrimary,
    HoldServer,
    PromoteServer,
    ReadServerStatus,
    ServerFenced,
    ServerPromoted,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.messages import StopWrites, WritesEnded, WritesStopped
from pollencleat.membership.fleet import (
    with_audit_entry,
    with_primary_published,
    with_promotion_withdrawn,
)
from pollencleat.promotion.attempt import (
    Attempt,
    Phase,
    begin_attempt,
    can_keep_old_primary,
    has_permit_expired,
    is_current_promoter,
)
from pollencleat.promotion.choice import (
    choose_server,
    find_acknowledgement_bound,
    format_log_end,
    has_every_acknowledged_commit,
    has_old_primary_final_log,
    is_caught_up,
)
from pollencleat.promotion.missing_logs import can_waiting_help, find_missing_logs

PUBLISH_PURPOSE = "promotion publish"

RETRY_INTERVAL_S = 0.1
"""Seconds before a request to a server or a peer is repeated."""

MAX_STOP_RESEND_INTERVAL_S = 0.8
"""Largest interval in seconds between two StopWrites messages to a member.  The message
contains the fleet state: sent to many members ten times a second, it would saturate a
narrow link and delay the confirmations."""

STATUS_TIMEOUT_S = 0.4
"""Seconds to wait for status answers, and between two query rounds."""

CATCH_UP_LIMIT_S = 12.0
"""Seconds that a chosen replica may take to apply its log.  A longer limit would break
the 20 s bound for a change of primary; a shorter one would lose writes that the replica
has received."""

log = structlog.get_logger()


class AttemptSteering:
    """Advances this node's attempts through their phases.

    Attributes:
        attempts_by_group: Promotions that this node carries out.
    """

    def __init__(self, board: Blackboard) -> None:
        """Start without attempts."""
        self.board = board
        self.attempts_by_group: dict[str, Attempt] = {}
        self._publish_pending: set[str] = set()

    def on_updated(self, result: FleetUpdated) -> None:
        """Process the result of a publication that this object requested.

        Args:
            result: The result; its fleet state is not adopted yet.
        """
        if result.effect.purpose != PUBLISH_PURPOSE:
            return
        self._publish_pending.clear()
        if result.version:
            self._send_withheld_follow_orders(result)

    def adopt_own_attempts(self, now_s: float) -> None:
        """Begin the attempts that the known fleet state assigns to this process.

        Args:
            now_s: Local time.
        """
        board = self.board
        for group_id, term in board.fleet.terms_by_group.items():
            promotion = term.promotion
            if promotion is None or promotion.incarnation != board.incarnation:
                continue
            running = self.attempts_by_group.get(group_id)
            if running and running.promotion.attempt_id == promotion.attempt_id:
                continue
            attempt = begin_attempt(board, term, now_s)
            self.attempts_by_group[group_id] = attempt
            self._send_stop_writes(attempt, now_s)
            if can_keep_old_primary(attempt):
                self._ask_old_primary(attempt)
            else:
                self._fence_old_primary(attempt)

    def _ask_old_primary(self, attempt: Attempt) -> None:
        """Probe the old primary, in case it was unresponsive only briefly."""
        attempt.is_old_primary_asked = True
        promotion = attempt.promotion
        self.board.effects.append(
            ReadServerStatus(promotion.attempt_id, promotion.old_primary)
        )

    def _fence_old_primary(self, attempt: Attempt) -> None:
        promotion = attempt.promotion
        if not promotion.old_primary:
            return
        self.board.effects.append(
            FenceServer(promotion.attempt_id, promotion.old_primary, attempt.log_term)
        )

    def advance(self, now_s: float) -> None:
        """Advance every attempt; drop those that are no longer current.

        Args:
            now_s: Local time.
        """
        for group_id, attempt in list(self.attempts_by_group.items()):
            term = self.board.group_term(group_id)
            promotion = term.promotion
            if promotion is None or promotion.attempt_id != (
                attempt.promotion.attempt_id
            ):
                del self.attempts_by_group[group_id]
                continue
            if attempt.phase is Phase.STOPPING:
                self._advance_stopping(attempt, now_s)
            if attempt.phase is Phase.CHOOSING:
                self._advance_choosing(attempt, now_s)
            if attempt.phase is Phase.PROMOTING:
                self._advance_promoting(attempt, now_s)
            if attempt.phase is Phase.PUBLISHING:
                self._advance_publishing(attempt, now_s)

    def _advance_stopping(self, attempt: Attempt, now_s: float) -> None:
        self._pursue_confirmations(attempt, now_s)
        if not attempt.unconfirmed_incarnations or now_s >= attempt.stop_deadline_s:
            if can_keep_old_primary(attempt):
                self._fence_old_primary(attempt)
            attempt.enter(Phase.CHOOSING, now_s)
            return
        if now_s - attempt.servers_asked_at_s >= RETRY_INTERVAL_S:
            attempt.servers_asked_at_s = now_s
            if can_keep_old_primary(attempt) and not attempt.is_old_primary_asked:
                self._ask_old_primary(attempt)

    def _pursue_confirmations(self, attempt: Attempt, now_s: float) -> None:
        """Ask members that have not confirmed again; drop those that are long gone."""
        expired = {
            incarnation
            for incarnation in attempt.unconfirmed_incarnations
            if has_permit_expired(self.board, incarnation, now_s)
        }
        if expired:
            attempt.unconfirmed_incarnations -= expired
            # What they had seen of the old primary's log stays unknown.
            attempt.last_crash_at_s = self.board.last_crash_at_s()
        if not attempt.unconfirmed_incarnations:
            return
        if now_s - attempt.stop_sent_at_s >= attempt.stop_resend_interval_s:
            self._send_stop_writes(attempt, now_s)

    def _send_stop_writes(self, attempt: Attempt, now_s: float) -> None:
        board = self.board
        attempt.stop_sent_at_s = now_s
        pause_s = max(RETRY_INTERVAL_S, 2 * attempt.stop_resend_interval_s)
        attempt.stop_resend_interval_s = min(MAX_STOP_RESEND_INTERVAL_S, pause_s)
        message = StopWrites(board.node_id, attempt.promotion.attempt_id, board.fleet)
        for member in board.fleet.members_by_id.values():
            if member.incarnation in attempt.unconfirmed_incarnations:
                board.send(member.node_id, message)

    def on_writes_stopped(self, message: WritesStopped, now_s: float) -> None:
        """Record a member's confirmation that it stopped writing.

        Args:
            message: The confirmation.
            now_s: Local time.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != message.attempt_id:
                continue
            attempt.unconfirmed_incarnations.discard(message.incarnation)
            attempt.seen_by_incarnation[message.incarnation] = (
                message.seen_by_group.get(attempt.group_id)
            )
            attempt.reported_departed_logs.update(message.departed_logs)
            attempt.reported_covered_logs.update(message.covered_logs)
        self.advance(now_s)

    def on_fenced(self, result: ServerFenced) -> None:
        """Record the old primary's final status.

        Args:
            result: The result; its status is None if the server could not be fenced.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != result.attempt_id:
                continue
            if attempt.promotion.old_primary == result.server_id:
                attempt.old_primary_status = result.status

    def _advance_choosing(self, attempt: Attempt, now_s: float) -> None:
        self._pursue_confirmations(attempt, now_s)
        server_ids = self.board.inventory.groups_by_id[attempt.group_id].server_ids
        if now_s - attempt.servers_asked_at_s >= STATUS_TIMEOUT_S:
            attempt.servers_asked_at_s = now_s
            attempt.statuses_by_server = {}
            for server_id in server_ids:
                self.board.effects.append(self._make_status_request(attempt, server_id))
            return
        group = self.board.inventory.groups_by_id[attempt.group_id]
        if attempt.statuses_by_server:
            self._choose(attempt, group, now_s)

    def _make_status_request(
        self, attempt: Attempt, server_id: str
    ) -> ReadServerStatus | HoldServer:
        """Return the effect that reads a server's status.

        If the group's replicas acknowledge commits and there was a primary, the effect
        also holds the server: it pauses its replication.
        """
        attempt_id = attempt.promotion.attempt_id
        group = self.board.inventory.groups_by_id[attempt.group_id]
        if not group.acknowledging_replicas or not attempt.promotion.old_primary:
            return ReadServerStatus(attempt_id, server_id)
        return HoldServer(attempt_id, server_id, attempt.log_term)

    def on_status_read(self, result: ServerStatusRead, now_s: float) -> None:
        """Record a server's status and choose a server once enough have answered.

        Args:
            result: The status, or a failure, of a probed or held server.
            now_s: Local time.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != result.attempt_id:
                continue
            group = self.board.inventory.groups_by_id[attempt.group_id]
            if result.server_id not in group.server_ids:
                continue
            if can_keep_old_primary(attempt):
                self._withdraw_if_still_primary(attempt, result.status, now_s)
            if attempt.phase is not Phase.CHOOSING:
                continue
            attempt.statuses_by_server[result.server_id] = result.status
            self._choose(attempt, group, now_s)

    def _withdraw_if_still_primary(
        self, attempt: Attempt, status: ServerStatus | None, now_s: float
    ) -> None:
        """Keep the old primary if it is still writable in its former term."""
        attempt.is_old_primary_asked = False
        term = self.board.group_term(attempt.group_id)
        if status is None or status.read_only or status.held_for_term:
            return
        if status.term != term.previous_log_term:
            return
        attempt.chosen_server_id = attempt.promotion.old_primary
        attempt.is_withdrawn = True
        # Requests that are still open no longer indicate a failure of the server.
        view = self.board.server_view(attempt.chosen_server_id)
        view.answered_at_s = now_s
        view.refused_at_s = None
        view.unanswered_since_s = now_s if view.open_requests else None
        attempt.enter(Phase.PUBLISHING, now_s)
        self._advance_publishing(attempt, now_s)

    def _choose(self, attempt: Attempt, group: DatabaseGroup, now_s: float) -> None:
        server_ids = group.server_ids
        others = [
            server_id
            for server_id in server_ids
            if server_id != attempt.promotion.old_primary
        ]
        missing = [
            server_id
            for server_id in others
            if server_id not in attempt.statuses_by_server
        ]
        waited_s = now_s - attempt.phase_started_at_s
        if missing and waited_s < STATUS_TIMEOUT_S:
            return
        round_s = now_s - attempt.servers_asked_at_s
        if missing and attempt.promotion.planned and round_s < RETRY_INTERVAL_S:
            # The old primary often answers first, and is the last choice.
            return
        leaving = self.board.vms.leaving
        if attempt.promotion.planned:
            leaving = (*leaving, attempt.promotion.old_primary)
        chosen = choose_server(attempt, server_ids, leaving)
        if chosen is None:
            self._log_choice(attempt, "", "no server qualifies", ())
            return
        missing_logs = find_missing_logs(self.board, attempt, waited_s)
        is_complete = has_every_acknowledged_commit(
            attempt, group, chosen, missing_logs
        )
        if not is_complete and has_old_primary_final_log(attempt):
            # The others are held and receive nothing more; a leaving primary leads on.
            chosen = attempt.promotion.old_primary
            is_complete = has_every_acknowledged_commit(
                attempt, group, chosen, missing_logs
            )
        if not is_complete:
            if can_waiting_help(self.board, attempt, group, waited_s):
                reason = "may lack acknowledged commits"
                self._log_choice(attempt, chosen, reason, missing_logs)
                return
            log.warning("commits may be lost", group=attempt.group_id, server=chosen)
        if not is_caught_up(attempt, chosen) and waited_s < CATCH_UP_LIMIT_S:
            self._log_choice(attempt, chosen, "applies its log", missing_logs)
            if len(attempt.statuses_by_server) == len(server_ids):
                attempt.servers_asked_at_s = now_s - STATUS_TIMEOUT_S + RETRY_INTERVAL_S
            return
        attempt.chosen_server_id = chosen
        attempt.chosen_log_end = log_end_of(attempt.statuses_by_server[chosen])
        self._log_choice(attempt, chosen, "", missing_logs)
        self._broadcast_writes_ended(attempt)
        attempt.enter(Phase.PROMOTING, now_s)
        self._advance_promoting(attempt, now_s)

    def _log_choice(
        self,
        attempt: Attempt,
        chosen: str,
        waits_because: str,
        missing_logs: tuple[str, ...],
    ) -> None:
        """Log the logs that were compared, once for each outcome of the choice.

        Args:
            attempt: The attempt.
            chosen: The most advanced server, or empty.
            waits_because: Why the server is not promoted yet; empty if it is.
            missing_logs: Logs that cannot be asked and may be needed.
        """
        if attempt.logged_choice == (chosen, waits_because):
            return
        attempt.logged_choice = (chosen, waits_because)
        vms = self.board.vms
        seen = find_acknowledgement_bound(attempt)
        log.info(
            "promotion waits" if waits_because else "primary chosen",
            group=attempt.group_id,
            term=attempt.term,
            server=chosen,
            reason=waits_because,
            positions_by_server={
                server_id: format_log_end(status)
                for server_id, status in attempt.statuses_by_server.items()
            },
            old_primary=attempt.promotion.old_primary,
            fenced_at=format_log_end(attempt.old_primary_status),
            members_saw=f"{seen.term}.{seen.position}" if seen else "",
            unconfirmed=len(attempt.unconfirmed_incarnations),
            leaving=[
                server_id
                for server_id in attempt.statuses_by_server
                if server_id in vms.leaving
            ],
            unregistered=list(missing_logs),
        )

    def _broadcast_writes_ended(self, attempt: Attempt) -> None:
        """Announce the end of the old term's writes to all members.

        Replicas can then serve reads until the next primary is published.
        """
        board = self.board
        message = WritesEnded(
            board.node_id, attempt.group_id, attempt.term, attempt.chosen_log_end
        )
        board.writes_ended_by_group[attempt.group_id] = message
        for node_id in board.fleet.members_by_id:
            if node_id != board.node_id:
                board.send(node_id, message)

    def _advance_promoting(self, attempt: Attempt, now_s: float) -> None:
        if attempt.is_promote_pending:
            # The order always returns a result; a second one could promote another
            # server.
            return
        if not is_current_promoter(self.board, attempt.group_id, attempt.term, now_s):
            # Another node may have taken the attempt over; the order would be refused.
            return
        attempt.is_promote_pending = True
        self.board.effects.append(
            PromoteServer(
                attempt.promotion.attempt_id,
                attempt.chosen_server_id,
                attempt.log_term,
                attempt.term,
                attempt.chosen_log_end,
            )
        )

    def on_promoted(self, result: ServerPromoted, now_s: float) -> None:
        """Process the result of a promote order.

        Args:
            result: The result; its ``start`` is None if the server was not promoted.
            now_s: Local time.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != result.attempt_id:
                continue
            attempt.is_promote_pending = False
            if attempt.phase is not Phase.PROMOTING:
                continue
            if result.start is None:
                attempt.enter(Phase.CHOOSING, now_s)
                attempt.servers_asked_at_s = now_s - STATUS_TIMEOUT_S + RETRY_INTERVAL_S
                continue
            attempt.start = result.start
            attempt.enter(Phase.PUBLISHING, now_s)
        self.advance(now_s)

    def _advance_publishing(self, attempt: Attempt, now_s: float) -> None:
        board = self.board
        if self._publish_pending or board.restored is not None:
            return
        fleet: Fleet = board.fleet
        causes = []
        for other in self.attempts_by_group.values():
            if other.phase is not Phase.PUBLISHING:
                continue
            if not self._is_current(other):
                continue
            if other.is_withdrawn:
                fleet = with_promotion_withdrawn(fleet, other.group_id)
                causes.append(
                    f"{other.group_id}: {other.chosen_server_id} answers again"
                )
            else:
                fleet = with_primary_published(
                    fleet, other.group_id, other.chosen_server_id, other.start
                )
                causes.append(
                    f"{other.group_id}: {other.chosen_server_id} in term {other.term}"
                )
                if is_current_promoter(board, other.group_id, other.term, now_s):
                    self._send_follow_orders(other)
            self._publish_pending.add(other.group_id)
            fleet = with_audit_entry(fleet, self._make_audit_entry(other))
        if not causes:
            return
        board.effects.append(
            UpdateFleet(PUBLISH_PURPOSE, board.fleet.version, fleet, "; ".join(causes))
        )

    def _make_audit_entry(self, attempt: Attempt) -> AuditEntry:
        promotion = attempt.promotion
        return AuditEntry(
            promotion.attempt_id,
            self.board.wall_clock_s,
            self.board.node_id,
            f"group {attempt.group_id}",
            f"primary {promotion.old_primary or 'none'}, term {attempt.term - 1}",
            f"primary {attempt.chosen_server_id}, term {attempt.term}",
            promotion.cause,
        )

    def _is_current(self, attempt: Attempt) -> bool:
        term = self.board.group_term(attempt.group_id)
        return (
            term.promotion is not None
            and term.promotion.attempt_id == attempt.promotion.attempt_id
        )

    def _send_withheld_follow_orders(self, result: FleetUpdated) -> None:
        """Send follow orders that were withheld for lack of a recent platform read."""
        for attempt in self.attempts_by_group.values():
            published = result.effect.fleet.terms_by_group[attempt.group_id]
            is_published = (
                published.primary == attempt.chosen_server_id
                and published.promotion is None
            )
            if is_published and attempt.start and not attempt.are_follow_orders_sent:
                self._send_follow_orders(attempt)

    def _send_follow_orders(self, attempt: Attempt) -> None:
        attempt.are_follow_orders_sent = True
        group = self.board.inventory.groups_by_id[attempt.group_id]
        for server_id in group.server_ids:
            if server_id == attempt.chosen_server_id:
                continue
            self.board.effects.append(
                FollowPrimary(server_id, attempt.chosen_server_id, attempt.start.term)
            )
