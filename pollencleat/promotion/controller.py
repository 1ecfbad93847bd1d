"""Starts promotions and carries them out.

A term starts by a single conditional update of the fleet state, so that only one of
several competing nodes succeeds.  A node gives no promises while its own update may be
in progress.  Afterwards it may promise again: its promises then carry a fleet version
that includes the new term, and a receiver adopts that version before it counts the
promise.
"""

import dataclasses
from collections.abc import Collection

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import PRIMARY_TIMEOUT_S
from pollencleat.core.data import (
    AuditEntry,
    DatabaseGroup,
    Fleet,
    GroupTerm,
    Position,
    Promotion,
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
from pollencleat.core.index import rank_members
from pollencleat.core.messages import (
    Sighting,
    SightingRequest,
    State,
    StopWrites,
    WritesEnded,
    WritesStopped,
)
from pollencleat.membership.fleet import (
    with_audit_entry,
    with_primary_published,
    with_promotion_started,
    with_promotion_withdrawn,
)
from pollencleat.promotion.attempt import (
    Attempt,
    Phase,
    begin_attempt,
    can_keep_old_primary,
    choose_server,
    has_every_acknowledged_commit,
    has_permit_expired,
    is_caught_up,
    is_current_promoter,
)
from pollencleat.promotion.suspicion import (
    PeerSighting,
    Suspicion,
    assess_primary,
    hears_other_domain,
    shows_server_alive,
)

log = structlog.get_logger()

START_PURPOSE = "promotion start"
PUBLISH_PURPOSE = "promotion publish"

START_MAX_READ_AGE_S = 1.5
"""Largest age in seconds of the platform read that permits the start of a promotion."""

PEER_ANSWER_TIMEOUT_S = 0.15
"""Seconds to wait for answers to a SightingRequest."""

UNDELAYED_ASKERS = 6
"""Number of candidates that ask all their peers without a delay.  The number is limited
because all nodes suspect a dead primary at the same moment."""

ASK_RANK_DELAY_S = 0.1
"""Seconds that each further candidate waits longer before it asks its peers."""

START_RANK_DELAY_S = 0.25
"""Seconds that each further candidate waits longer before it starts a promotion."""

PROMOTER_TIMEOUT_S = 2.5
"""Seconds without an answer from the promoter until its promotion is taken over."""

TAKE_OVER_AFTER_S = 18.0
"""Seconds after which a promotion is taken over even if its promoter answers."""

ASK_PROMOTER_INTERVAL_S = 0.4
"""Seconds between two liveness requests to the promoter of a promotion."""

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

TAKEN_OVER_CAUSE = "promotion taken over"

WARM_UP_S = 1.0
"""Seconds of uninterrupted platform reads before a node may start a promotion."""


@dataclasses.dataclass
class SuspectedPrimary:
    """A suspected failure of a group's primary.

    Attributes:
        suspected_at_s: Local time at which this node began to suspect the primary.
        peers_asked_at_s: Local time of the last SightingRequest to all peers.
        sightings_by_node: The newest report of each peer about the primary.
    """

    suspicion: Suspicion
    suspected_at_s: float
    peers_asked_at_s: float = -1e9
    sightings_by_node: dict[str, PeerSighting] = dataclasses.field(default_factory=dict)


class PromotionController:
    """Starts and carries out promotions.

    It runs on every node; the conditional fleet update decides which node promotes.

    Attributes:
        attempts_by_group: Promotions that this node carries out.
        foreign_attempts_by_group: Attempt id of the promotion that another node carries
            out, and the local time at which this node first saw it.
    """

    def __init__(self, board: Blackboard, started_at_s: float) -> None:
        """Initialize the controller without attempts.

        Args:
            board: The node's state.
            started_at_s: Local time since which the platform has been read without
                interruption.
        """
        self.board = board
        self.started_at_s = started_at_s
        self.attempts_by_group: dict[str, Attempt] = {}
        self.suspects_by_group: dict[str, SuspectedPrimary] = {}
        self.foreign_attempts_by_group: dict[str, tuple[str, float]] = {}
        self._promoter_asked_at_s: dict[str, float] = {}
        self._peer_answered_at_s: dict[str, float] = {}
        self._start_pending: UpdateFleet | None = None
        self._start_unknown_since_s: float | None = None
        self._publish_pending: set[str] = set()
        self._attempt_counter = 0

    def tick(self, now_s: float) -> None:
        """Advance this node's attempts and start promotions that are due.

        Args:
            now_s: Local time.
        """
        self._resolve_unknown_start()
        self._adopt_own_attempts(now_s)
        self._advance_attempts(now_s)
        if self._may_start(now_s):
            self._start_due_promotions(now_s)

    def _may_start(self, now_s: float) -> bool:
        board = self.board
        if now_s - board.fleet_confirmed_at_s >= START_MAX_READ_AGE_S:
            if not hears_other_domain(board, now_s):
                # Failures seen while this node was cut off say nothing about servers.
                self.started_at_s = now_s
                self.suspects_by_group.clear()
            return False
        if not board.is_member() or board.draining or self._start_pending:
            return False
        if board.restored is not None:
            return False
        if not board.fleet.members_by_id[board.node_id].may_promote:
            return False
        return now_s - self.started_at_s >= WARM_UP_S

    def _start_due_promotions(self, now_s: float) -> None:
        board = self.board
        fleet = board.fleet
        causes = []
        for group_id in board.inventory.groups_by_id:
            promotion = self._make_due_promotion(group_id, now_s)
            if promotion is None:
                continue
            fleet = with_promotion_started(fleet, group_id, promotion)
            causes.append(f"{group_id}: {promotion.cause}")
        if not causes:
            return
        board.withholds_promises = True
        effect = UpdateFleet(
            START_PURPOSE, board.fleet.version, fleet, "; ".join(causes)
        )
        self._start_pending = effect
        board.effects.append(effect)

    def _make_due_promotion(self, group_id: str, now_s: float) -> Promotion | None:
        term = self.board.group_term(group_id)
        if term is not None and term.promotion is not None:
            self.suspects_by_group.pop(group_id, None)
            if not self._is_take_over_due(term, now_s):
                return None
            return self._make_promotion(
                term.promotion.old_primary, False, TAKEN_OVER_CAUSE
            )
        self.foreign_attempts_by_group.pop(group_id, None)
        suspicion = assess_primary(self.board, term, now_s)
        if suspicion is Suspicion.NONE:
            self.suspects_by_group.pop(group_id, None)
            return None
        suspect = self.suspects_by_group.get(group_id)
        if suspect is None or suspect.suspicion is not suspicion:
            suspect = SuspectedPrimary(suspicion, now_s)
            self.suspects_by_group[group_id] = suspect
            self._log_suspicion(group_id, term, suspicion, now_s)
        if not self._is_replacement_due(group_id, term, suspect, now_s):
            return None
        old_primary = term.primary if term else ""
        planned = suspicion is Suspicion.LEAVING
        return self._make_promotion(old_primary, planned, suspicion.value)

    def _log_suspicion(
        self, group_id: str, term: GroupTerm | None, suspicion: Suspicion, now_s: float
    ) -> None:
        server_id = term.primary if term is not None else ""
        view = self.board.server_view(server_id)
        log.info(
            "primary suspected",
            group=group_id,
            server=server_id,
            reason=suspicion.value,
            answered_ago_ms=round((now_s - view.answered_at_s) * 1000),
            owes_for_ms=round(view.unanswered_for_s(now_s) * 1000),
            open_requests=view.open_requests,
            refused=view.refused_at_s is not None,
            read_age_ms=round((now_s - self.board.fleet_confirmed_at_s) * 1000),
            fleet=self.board.fleet.version,
        )

    def _is_replacement_due(
        self,
        group_id: str,
        term: GroupTerm | None,
        suspect: SuspectedPrimary,
        now_s: float,
    ) -> bool:
        if suspect.suspicion is Suspicion.LOST:
            delayed_rank = max(0, self._rank(group_id) + 1 - UNDELAYED_ASKERS)
            if now_s - suspect.suspected_at_s < delayed_rank * ASK_RANK_DELAY_S:
                return False
            self._ask_peers(term.primary, suspect, now_s)
            # Rank only nodes that answer: the others are cut off or dead, and waiting
            # for them to start would delay the promotion.
            reachable = {self.board.node_id, *suspect.sightings_by_node}
            wait_s = self._rank(group_id, reachable) * START_RANK_DELAY_S
            if not self._have_all_peers_answered(suspect):
                wait_s += PEER_ANSWER_TIMEOUT_S
            for sighting in suspect.sightings_by_node.values():
                if shows_server_alive(sighting, now_s):
                    return False
        else:
            wait_s = self._rank(group_id) * START_RANK_DELAY_S
        if not self._has_candidate(group_id, term, now_s):
            return False
        return now_s - suspect.suspected_at_s >= wait_s

    def _have_all_peers_answered(self, suspect: SuspectedPrimary) -> bool:
        others = set(self.board.fleet.members_by_id) - {self.board.node_id}
        return others <= set(suspect.sightings_by_node)

    def _has_candidate(
        self, group_id: str, term: GroupTerm | None, now_s: float
    ) -> bool:
        board = self.board
        for server_id in board.inventory.groups_by_id[group_id].server_ids:
            if term is not None and server_id == term.primary:
                continue
            if now_s - board.server_view(server_id).answered_at_s < PRIMARY_TIMEOUT_S:
                return True
            if self._is_presumed_alive(server_id, now_s):
                return True
        return term is None

    def _is_presumed_alive(self, server_id: str, now_s: float) -> bool:
        """Return whether a registered but unsampled server can be assumed alive."""
        if server_id not in self.board.vms.servers_by_id:
            return False
        view = self.board.server_view(server_id)
        if view.refused_at_s is not None:
            return False
        return view.unanswered_for_s(now_s) < PRIMARY_TIMEOUT_S

    def _rank(self, group_id: str, among: Collection[str] | None = None) -> int:
        """Return this node's rank among the members that may promote.

        Args:
            group_id: The group.
            among: Node ids to rank, including this one; None for all members.

        Returns:
            The rank, at most 8; the node with rank 0 should start the promotion.
        """
        candidates = [
            member
            for member in self.board.fleet.members_by_id.values()
            if member.may_promote and (among is None or member.node_id in among)
        ]
        ranked = rank_members(group_id, candidates)
        ids = [member.node_id for member in ranked]
        return min(ids.index(self.board.node_id), 8)

    def _ask_peers(
        self, server_id: str, suspect: SuspectedPrimary, now_s: float
    ) -> None:
        if now_s - suspect.peers_asked_at_s < RETRY_INTERVAL_S:
            return
        suspect.peers_asked_at_s = now_s
        for node_id in self.board.fleet.members_by_id:
            if node_id == self.board.node_id:
                continue
            self.board.send(node_id, SightingRequest(self.board.node_id, server_id))

    def on_sighting(self, sighting: Sighting, now_s: float) -> None:
        """Record a peer's report about a suspected primary.

        Args:
            sighting: The report.  Its age is subtracted from the arrival time, so that
                the error favors keeping the primary.
            now_s: Local time of the arrival.
        """
        self._peer_answered_at_s[sighting.node_id] = now_s
        for group_id, suspect in self.suspects_by_group.items():
            term = self.board.group_term(group_id)
            if term is None or term.primary != sighting.server_id:
                continue
            age_s = sighting.age_s if sighting.age_s is not None else 1e9
            suspect.sightings_by_node[sighting.node_id] = PeerSighting(
                now_s - age_s, sighting.refused, now_s
            )

    def _is_take_over_due(self, term: GroupTerm, now_s: float) -> bool:
        promotion = term.promotion
        if term.group_id in self.attempts_by_group:
            return False
        attempt_id, first_seen_at_s = self.foreign_attempts_by_group.get(
            term.group_id, ("", now_s)
        )
        if attempt_id != promotion.attempt_id:
            first_seen_at_s = now_s
            self.foreign_attempts_by_group[term.group_id] = (
                promotion.attempt_id,
                now_s,
            )
        wait_s = self._rank(term.group_id) * START_RANK_DELAY_S
        promoter = self.board.fleet.members_by_id.get(promotion.node_id)
        is_promoter_gone = (
            promoter is None or promoter.incarnation != promotion.incarnation
        )
        if is_promoter_gone:
            return now_s - first_seen_at_s >= wait_s
        self._ask_promoter(promotion, now_s)
        answered_at_s = max(
            first_seen_at_s,
            self._peer_answered_at_s.get(promotion.node_id, first_seen_at_s),
        )
        if now_s - answered_at_s >= wait_s + PROMOTER_TIMEOUT_S:
            return True
        return now_s - first_seen_at_s >= wait_s + TAKE_OVER_AFTER_S

    def _ask_promoter(self, promotion: Promotion, now_s: float) -> None:
        asked_at_s = self._promoter_asked_at_s.get(promotion.node_id, -1e9)
        if now_s - asked_at_s < ASK_PROMOTER_INTERVAL_S:
            return
        self._promoter_asked_at_s[promotion.node_id] = now_s
        request = SightingRequest(self.board.node_id, promotion.old_primary)
        self.board.send(promotion.node_id, request)

    def _make_promotion(self, old_primary: str, planned: bool, cause: str) -> Promotion:
        board = self.board
        self._attempt_counter += 1
        attempt_id = f"{board.incarnation}/{self._attempt_counter}"
        return Promotion(
            attempt_id, board.node_id, board.incarnation, old_primary, planned, cause
        )

    def on_updated(self, result: FleetUpdated, now_s: float) -> None:
        """Process the result of a fleet update that this controller requested.

        Args:
            result: The result.  If the answer to a start was lost, the outcome is
                determined later, from a newer fleet version or platform read.
            now_s: Local time.
        """
        board = self.board
        if result.effect.purpose == PUBLISH_PURPOSE:
            self._publish_pending.clear()
        if result.version:
            self._send_withheld_follow_orders(result)
            board.adopt_updated_fleet(result, now_s)
            self._broadcast_fleet()
        if result.effect.purpose != START_PURPOSE:
            return
        if result.version is None:
            self._start_unknown_since_s = now_s
            return
        self._finish_start()
        self._adopt_own_attempts(now_s)

    def _broadcast_fleet(self) -> None:
        """Send the fleet state to all members without waiting for heartbeats."""
        board = self.board
        for node_id in board.fleet.members_by_id:
            if node_id != board.node_id:
                board.send(node_id, State(board.node_id, board.fleet, None, None))

    def _resolve_unknown_start(self) -> None:
        """Determine the outcome of a start whose answer was lost.

        A newer fleet version shows that the update was applied or lost to another one.
        If a later platform read still shows the expected version, the update is sent
        again: both updates are conditional and identical, and at most one is applied.
        """
        if self._start_unknown_since_s is None:
            return
        board = self.board
        if board.fleet.version > self._start_pending.expected_version:
            self._finish_start()
            return
        if board.fleet_confirmed_at_s > self._start_unknown_since_s:
            self._start_unknown_since_s = None
            board.effects.append(self._start_pending)

    def _finish_start(self) -> None:
        self._start_pending = None
        self._start_unknown_since_s = None
        self.board.withholds_promises = False

    def _adopt_own_attempts(self, now_s: float) -> None:
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

    def _advance_attempts(self, now_s: float) -> None:
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
        attempt.unconfirmed_incarnations -= {
            incarnation
            for incarnation in attempt.unconfirmed_incarnations
            if has_permit_expired(self.board, incarnation, now_s)
        }
        if not attempt.unconfirmed_incarnations or now_s >= attempt.stop_deadline_s:
            if can_keep_old_primary(attempt):
                self._fence_old_primary(attempt)
            attempt.enter(Phase.CHOOSING, now_s)
            return
        if now_s - attempt.stop_sent_at_s >= attempt.stop_resend_interval_s:
            self._send_stop_writes(attempt, now_s)
        if now_s - attempt.servers_asked_at_s >= RETRY_INTERVAL_S:
            attempt.servers_asked_at_s = now_s
            if can_keep_old_primary(attempt) and not attempt.is_old_primary_asked:
                self._ask_old_primary(attempt)

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
        self._advance_attempts(now_s)

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
        server_ids = self.board.inventory.groups_by_id[attempt.group_id].server_ids
        if now_s - attempt.servers_asked_at_s >= STATUS_TIMEOUT_S:
            attempt.servers_asked_at_s = now_s
            attempt.statuses_by_server = {}
            for server_id in server_ids:
                self.board.effects.append(self._make_status_request(attempt, server_id))

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
        leaving = self.board.vms.leaving
        if attempt.promotion.planned:
            leaving = (*leaving, attempt.promotion.old_primary)
        chosen = choose_server(attempt, server_ids, leaving)
        if chosen is None:
            return
        unregistered = self.board.vms.lapsed_by_group.get(attempt.group_id, ())
        if not has_every_acknowledged_commit(attempt, group, chosen, unregistered):
            return
        if not is_caught_up(attempt, chosen) and waited_s < CATCH_UP_LIMIT_S:
            if len(attempt.statuses_by_server) == len(server_ids):
                attempt.servers_asked_at_s = now_s - STATUS_TIMEOUT_S + RETRY_INTERVAL_S
            return
        attempt.chosen_server_id = chosen
        self._broadcast_writes_ended(attempt, chosen)
        attempt.enter(Phase.PROMOTING, now_s)
        self._advance_promoting(attempt, now_s)

    def _broadcast_writes_ended(self, attempt: Attempt, chosen: str) -> None:
        """Announce the end of the old term's writes to all members.

        Replicas can then serve reads until the next primary is published.
        """
        board = self.board
        status = attempt.statuses_by_server[chosen]
        position = Position(status.last_entry_term, status.received_position)
        message = WritesEnded(board.node_id, attempt.group_id, attempt.term, position)
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
        self._advance_attempts(now_s)

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
        if result.effect.purpose != PUBLISH_PURPOSE:
            return
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
