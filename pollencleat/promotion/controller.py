"""Starts and carries out changes of primary.

The start of a term is one conditional update of the fleet state, so that there is one
winner.  While its own update may be under way the node gives no promises.  Afterwards
it may promise again: its promises then carry a fleet version that names the new term,
and a receiver adopts that version before it counts the promise.
"""

import dataclasses
from collections.abc import Collection

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import FAILOVER_AFTER_S
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
    choose_server,
    has_every_acknowledged_commit,
    has_permit_lapsed,
    is_caught_up,
    may_name_primary,
    may_withdraw,
)
from pollencleat.promotion.suspicion import (
    PeerSighting,
    Suspicion,
    assess_primary,
    is_seen_by_peer,
)

log = structlog.get_logger()

START_PURPOSE = "promotion start"
PUBLISH_PURPOSE = "promotion publish"

READ_IS_RECENT_S = 1.5
"""A promotion is begun only if the platform was read within this time."""

ASK_PEERS_S = 0.15
"""How long answers to a sighting request are waited for."""

FIRST_ASKERS = 6
"""Candidates that ask all others at once; every node suspects a dead primary in the
same moment."""

ASK_RANK_DELAY_S = 0.1
"""Each further candidate waits this much longer before it asks."""

RANK_DELAY_S = 0.25
"""Each further candidate waits this much longer before it begins."""

OWNER_SILENT_S = 2.5
"""A promotion is taken over when its owner has answered nothing for this long."""

TAKE_OVER_AFTER_S = 18.0
"""A promotion that lasts longer is taken over from an owner that answers, too."""

ASK_OWNER_S = 0.4
"""Time between two questions to the owner of a promotion."""

ASK_AGAIN_S = 0.1
"""Time between two questions to a server, and between repeated messages."""

TELL_AGAIN_LIMIT_S = 0.8
"""Longest pause until members are told of an attempt again.  The message holds the
fleet state; sent to all of many members ten times a second, it would fill a narrow link
and delay the confirmations."""

CHOOSE_WAIT_S = 0.4
"""How long servers that do not answer are waited for."""

CATCH_UP_LIMIT_S = 12.0
"""How long a chosen replica may take to apply what it has to; more would lose the
bound of 20 s for a change of primary, less would lose writes that it has received."""

TAKEN_OVER_CAUSE = "promotion taken over"
WARM_UP_S = 1.0
"""A node judges primaries only after it has run this long."""


@dataclasses.dataclass
class Suspect:
    """A group whose primary this node would replace."""

    suspicion: Suspicion
    since_s: float
    asked_at_s: float = -1e9
    sightings_by_node: dict[str, PeerSighting] = dataclasses.field(default_factory=dict)


class PromotionController:
    """Runs on every node; the conditional update decides who promotes."""

    def __init__(self, board: Blackboard, started_at_s: float) -> None:
        """Work on a blackboard from a local time on.

        Args:
            board: The node's state.
            started_at_s: Since when the platform has been read without a gap.
        """
        self.board = board
        self.started_at_s = started_at_s
        self.attempts_by_group: dict[str, Attempt] = {}
        self.suspects_by_group: dict[str, Suspect] = {}
        self.foreign_since_s: dict[str, tuple[str, float]] = {}
        self._owner_asked_at_s: dict[str, float] = {}
        self._heard_at_s: dict[str, float] = {}
        self._start_pending: UpdateFleet | None = None
        self._start_unknown_since_s: float | None = None
        self._publish_pending: set[str] = set()
        self._attempt_counter = 0

    def tick(self, now_s: float) -> None:
        """Look at every group and advance own attempts.

        Args:
            now_s: Local time.
        """
        self._settle_unknown_start()
        self._adopt_own_attempts(now_s)
        self._advance_attempts(now_s)
        if self._may_start(now_s):
            self._start_due_promotions(now_s)

    # Starting.

    def _may_start(self, now_s: float) -> bool:
        board = self.board
        if now_s - board.fresh_at_s >= READ_IS_RECENT_S:
            # What was seen while this node was cut off says nothing of the servers.
            self.started_at_s = now_s
            self.suspects_by_group.clear()
            return False
        if not board.is_member() or board.draining or self._start_pending:
            return False
        if not board.fleet.members_by_id[board.node_id].may_promote:
            return False
        return now_s - self.started_at_s >= WARM_UP_S

    def _start_due_promotions(self, now_s: float) -> None:
        board = self.board
        fleet = board.fleet
        causes = []
        for group_id in board.inventory.groups_by_id:
            promotion = self._due_promotion(group_id, now_s)
            if promotion is None:
                continue
            fleet = with_promotion_started(fleet, group_id, promotion)
            causes.append(f"{group_id}: {promotion.cause}")
        if not causes:
            return
        board.promoting = True
        effect = UpdateFleet(
            START_PURPOSE, board.fleet.version, fleet, "; ".join(causes)
        )
        self._start_pending = effect
        board.effects.append(effect)

    def _due_promotion(self, group_id: str, now_s: float) -> Promotion | None:
        term = self.board.group_term(group_id)
        if term is not None and term.promotion is not None:
            self.suspects_by_group.pop(group_id, None)
            if not self._is_take_over_due(term, now_s):
                return None
            return self._make_promotion(
                term.promotion.old_primary, False, TAKEN_OVER_CAUSE
            )
        self.foreign_since_s.pop(group_id, None)
        suspicion = assess_primary(self.board, term, now_s)
        if suspicion is Suspicion.NONE:
            self.suspects_by_group.pop(group_id, None)
            return None
        suspect = self.suspects_by_group.get(group_id)
        if suspect is None or suspect.suspicion is not suspicion:
            suspect = Suspect(suspicion, now_s)
            self.suspects_by_group[group_id] = suspect
            self._log_suspicion(group_id, term, suspicion, now_s)
        if not self._is_suspect_due(group_id, term, suspect, now_s):
            return None
        old_primary = term.primary if term else ""
        planned = suspicion is Suspicion.LEAVING
        return self._make_promotion(old_primary, planned, suspicion.value)

    def _log_suspicion(
        self, group_id: str, term: GroupTerm | None, suspicion: Suspicion, now_s: float
    ) -> None:
        server_id = term.primary if term is not None else ""
        view = self.board.server(server_id)
        log.info(
            "primary suspected",
            group=group_id,
            server=server_id,
            reason=suspicion.value,
            answered_ago_ms=round((now_s - view.answered_at_s) * 1000),
            owes_for_ms=round(view.owes_for_s(now_s) * 1000),
            open_requests=view.open_requests,
            refused=view.refused_at_s is not None,
            read_age_ms=round((now_s - self.board.fresh_at_s) * 1000),
            fleet=self.board.fleet.version,
        )

    def _is_suspect_due(
        self, group_id: str, term: GroupTerm | None, suspect: Suspect, now_s: float
    ) -> bool:
        if suspect.suspicion is Suspicion.LOST:
            later = max(0, self._rank(group_id) + 1 - FIRST_ASKERS)
            if now_s - suspect.since_s < later * ASK_RANK_DELAY_S:
                return False
            self._ask_peers(term.primary, suspect, now_s)
            # Those that cannot answer are cut off or dead; nobody waits for their turn.
            reachable = {self.board.node_id, *suspect.sightings_by_node}
            wait_s = self._rank(group_id, reachable) * RANK_DELAY_S
            if not self._have_all_answered(suspect):
                wait_s += ASK_PEERS_S
            for sighting in suspect.sightings_by_node.values():
                if is_seen_by_peer(sighting, now_s):
                    return False
        else:
            wait_s = self._rank(group_id) * RANK_DELAY_S
        if not self._has_candidate(group_id, term, now_s):
            return False
        return now_s - suspect.since_s >= wait_s

    def _have_all_answered(self, suspect: Suspect) -> bool:
        others = set(self.board.fleet.members_by_id) - {self.board.node_id}
        return others <= set(suspect.sightings_by_node)

    def _has_candidate(
        self, group_id: str, term: GroupTerm | None, now_s: float
    ) -> bool:
        board = self.board
        for server_id in board.inventory.groups_by_id[group_id].server_ids:
            if term is not None and server_id == term.primary:
                continue
            if now_s - board.server(server_id).answered_at_s < FAILOVER_AFTER_S:
                return True
            if self._is_registered_and_answers(server_id, now_s):
                return True
        return term is None

    def _is_registered_and_answers(self, server_id: str, now_s: float) -> bool:
        """Return whether a server that nobody samples may be taken as alive."""
        if server_id not in self.board.vms.servers_by_id:
            return False
        view = self.board.server(server_id)
        if view.refused_at_s is not None:
            return False
        return view.owes_for_s(now_s) < FAILOVER_AFTER_S

    def _rank(self, group_id: str, among: Collection[str] | None = None) -> int:
        """Return this node's place among those that may promote.

        Args:
            group_id: The group.
            among: Node ids that count, this one included; None for all members.

        Returns:
            0 for the node that should begin.
        """
        candidates = [
            member
            for member in self.board.fleet.members_by_id.values()
            if member.may_promote and (among is None or member.node_id in among)
        ]
        ranked = rank_members(group_id, candidates)
        ids = [member.node_id for member in ranked]
        return min(ids.index(self.board.node_id), 8)

    def _ask_peers(self, server_id: str, suspect: Suspect, now_s: float) -> None:
        if now_s - suspect.asked_at_s < ASK_AGAIN_S:
            return
        suspect.asked_at_s = now_s
        for node_id in self.board.fleet.members_by_id:
            if node_id == self.board.node_id:
                continue
            self.board.send(node_id, SightingRequest(self.board.node_id, server_id))

    def on_sighting(self, sighting: Sighting, now_s: float) -> None:
        """Take in a peer's report about a suspected primary.

        Args:
            sighting: The report; its age is counted from its arrival, which errs
                towards keeping the primary.
            now_s: Local time.
        """
        self._heard_at_s[sighting.node_id] = now_s
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
        attempt_id, since_s = self.foreign_since_s.get(term.group_id, ("", now_s))
        if attempt_id != promotion.attempt_id:
            since_s = now_s
            self.foreign_since_s[term.group_id] = (promotion.attempt_id, now_s)
        wait_s = self._rank(term.group_id) * RANK_DELAY_S
        owner = self.board.fleet.members_by_id.get(promotion.node_id)
        owner_is_gone = owner is None or owner.incarnation != promotion.incarnation
        if owner_is_gone:
            return now_s - since_s >= wait_s
        self._ask_owner(promotion, now_s)
        heard_at_s = max(since_s, self._heard_at_s.get(promotion.node_id, since_s))
        if now_s - heard_at_s >= wait_s + OWNER_SILENT_S:
            return True
        return now_s - since_s >= wait_s + TAKE_OVER_AFTER_S

    def _ask_owner(self, promotion: Promotion, now_s: float) -> None:
        asked_at_s = self._owner_asked_at_s.get(promotion.node_id, -1e9)
        if now_s - asked_at_s < ASK_OWNER_S:
            return
        self._owner_asked_at_s[promotion.node_id] = now_s
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
        """Take in the result of an update that this controller asked for.

        Args:
            result: The result; a lost answer is settled when a newer version is known.
            now_s: Local time.
        """
        board = self.board
        if result.effect.purpose == PUBLISH_PURPOSE:
            self._publish_pending.clear()
        if result.version:
            self._order_replicas_of_published(result)
            fleet = dataclasses.replace(result.effect.fleet, version=result.version)
            board.adopt_fleet(fleet, now_s)
            self._tell_members()
        if result.effect.purpose != START_PURPOSE:
            return
        if result.version is None:
            self._start_unknown_since_s = now_s
            return
        self._end_start()
        self._adopt_own_attempts(now_s)

    def _tell_members(self) -> None:
        """Spread a new primary at once instead of with the next heartbeats."""
        board = self.board
        for node_id in board.fleet.members_by_id:
            if node_id != board.node_id:
                board.send(node_id, State(board.node_id, board.fleet, None, None))

    def _settle_unknown_start(self) -> None:
        """Find out what became of a start whose answer was lost.

        A newer version tells.  If a later read still shows the expected one, the update
        is sent again: it is conditional, so that at most one of both takes effect, and
        they are the same.
        """
        if self._start_unknown_since_s is None:
            return
        board = self.board
        if board.fleet.version > self._start_pending.expected_version:
            self._end_start()
            return
        if board.fresh_at_s > self._start_unknown_since_s:
            self._start_unknown_since_s = None
            board.effects.append(self._start_pending)

    def _end_start(self) -> None:
        self._start_pending = None
        self._start_unknown_since_s = None
        self.board.promoting = False

    # Carrying out.

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
            self._ask_to_stop(attempt, now_s)
            if may_withdraw(attempt):
                self._ask_old_primary(attempt)
            else:
                self._fence_old_primary(attempt)

    def _ask_old_primary(self, attempt: Attempt) -> None:
        """Ask whether it leads still; it may have been silent for a moment only."""
        attempt.is_old_asked = True
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
        attempt.waiting_for -= {
            incarnation
            for incarnation in attempt.waiting_for
            if has_permit_lapsed(self.board, incarnation, now_s)
        }
        if not attempt.waiting_for or now_s >= attempt.slow_deadline_s:
            if may_withdraw(attempt):
                self._fence_old_primary(attempt)
            attempt.enter(Phase.CHOOSING, now_s)
            return
        if now_s - attempt.told_at_s >= attempt.tell_again_s:
            self._ask_to_stop(attempt, now_s)
        if now_s - attempt.asked_at_s >= ASK_AGAIN_S:
            attempt.asked_at_s = now_s
            if may_withdraw(attempt) and not attempt.is_old_asked:
                self._ask_old_primary(attempt)

    def _ask_to_stop(self, attempt: Attempt, now_s: float) -> None:
        board = self.board
        attempt.told_at_s = now_s
        pause_s = max(ASK_AGAIN_S, 2 * attempt.tell_again_s)
        attempt.tell_again_s = min(TELL_AGAIN_LIMIT_S, pause_s)
        message = StopWrites(board.node_id, attempt.promotion.attempt_id, board.fleet)
        for member in board.fleet.members_by_id.values():
            if member.incarnation in attempt.waiting_for:
                board.send(member.node_id, message)

    def on_writes_stopped(self, message: WritesStopped, now_s: float) -> None:
        """Take in a member's confirmation.

        Args:
            message: The confirmation.
            now_s: Local time.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != message.attempt_id:
                continue
            attempt.waiting_for.discard(message.incarnation)
            attempt.seen_by_member[message.incarnation] = message.seen_by_group.get(
                attempt.group_id
            )
        self._advance_attempts(now_s)

    def on_fenced(self, result: ServerFenced) -> None:
        """Take in the old primary's final status.

        Args:
            result: The status, or None if the server could not be fenced.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != result.attempt_id:
                continue
            if attempt.promotion.old_primary == result.server_id:
                attempt.old_status = result.status

    def _advance_choosing(self, attempt: Attempt, now_s: float) -> None:
        server_ids = self.board.inventory.groups_by_id[attempt.group_id].server_ids
        if now_s - attempt.asked_at_s >= CHOOSE_WAIT_S:
            attempt.asked_at_s = now_s
            attempt.statuses_by_server = {}
            for server_id in server_ids:
                self.board.effects.append(self._make_question(attempt, server_id))

    def _make_question(
        self, attempt: Attempt, server_id: str
    ) -> ReadServerStatus | HoldServer:
        """Return how a server is asked; those that acknowledge commits are held."""
        attempt_id = attempt.promotion.attempt_id
        group = self.board.inventory.groups_by_id[attempt.group_id]
        if not group.acknowledging_replicas or not attempt.promotion.old_primary:
            return ReadServerStatus(attempt_id, server_id)
        return HoldServer(attempt_id, server_id, attempt.log_term)

    def on_status_read(self, result: ServerStatusRead, now_s: float) -> None:
        """Take in a server's answer; choose once enough are there.

        Args:
            result: The answer.
            now_s: Local time.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != result.attempt_id:
                continue
            group = self.board.inventory.groups_by_id[attempt.group_id]
            if result.server_id not in group.server_ids:
                continue
            if may_withdraw(attempt):
                self._withdraw_if_it_leads(attempt, result.status, now_s)
            if attempt.phase is not Phase.CHOOSING:
                continue
            attempt.statuses_by_server[result.server_id] = result.status
            self._choose(attempt, group, now_s)

    def _withdraw_if_it_leads(
        self, attempt: Attempt, status: ServerStatus | None, now_s: float
    ) -> None:
        """Leave the old primary in office if it answers as the primary that it was."""
        attempt.is_old_asked = False
        term = self.board.group_term(attempt.group_id)
        if status is None or status.read_only or status.held_for_term:
            return
        if status.term != term.former_log_term:
            return
        attempt.chosen = attempt.promotion.old_primary
        attempt.is_withdrawn = True
        # What this node was owed is no sign of a loss any more.
        view = self.board.server(attempt.chosen)
        view.answered_at_s = now_s
        view.refused_at_s = None
        view.owing_since_s = now_s if view.open_requests else None
        attempt.enter(Phase.PUBLISHING, now_s)
        self._advance_publishing(attempt, now_s)

    def _choose(self, attempt: Attempt, group: DatabaseGroup, now_s: float) -> None:
        server_ids = group.server_ids
        others = [name for name in server_ids if name != attempt.promotion.old_primary]
        missing = [name for name in others if name not in attempt.statuses_by_server]
        waited_s = now_s - attempt.phase_since_s
        if missing and waited_s < CHOOSE_WAIT_S:
            return
        leaving = self.board.vms.leaving
        if attempt.promotion.planned:
            leaving = (*leaving, attempt.promotion.old_primary)
        chosen = choose_server(attempt, server_ids, leaving)
        if chosen is None:
            return
        lapsed = self.board.vms.lapsed_by_group.get(attempt.group_id, ())
        if not has_every_acknowledged_commit(attempt, group, chosen, lapsed):
            return
        if not is_caught_up(attempt, chosen) and waited_s < CATCH_UP_LIMIT_S:
            if len(attempt.statuses_by_server) == len(server_ids):
                attempt.asked_at_s = now_s - CHOOSE_WAIT_S + ASK_AGAIN_S
            return
        attempt.chosen = chosen
        self._tell_writes_ended(attempt, chosen)
        attempt.enter(Phase.PROMOTING, now_s)
        self._advance_promoting(attempt, now_s)

    def _tell_writes_ended(self, attempt: Attempt, chosen: str) -> None:
        """Let replicas go on answering reads until the next primary is published."""
        board = self.board
        status = attempt.statuses_by_server[chosen]
        position = Position(status.last_entry_term, status.received_position)
        message = WritesEnded(board.node_id, attempt.group_id, attempt.term, position)
        board.ended_by_group[attempt.group_id] = message
        for node_id in board.fleet.members_by_id:
            if node_id != board.node_id:
                board.send(node_id, message)

    def _advance_promoting(self, attempt: Attempt, now_s: float) -> None:
        if attempt.is_order_open:
            # Its result is always told; a second order could name another server.
            return
        if not may_name_primary(self.board, attempt.group_id, attempt.term, now_s):
            # Another node may have taken over; the order would be refused.
            return
        attempt.is_order_open = True
        self.board.effects.append(
            PromoteServer(
                attempt.promotion.attempt_id,
                attempt.chosen,
                attempt.log_term,
                attempt.term,
            )
        )

    def on_promoted(self, result: ServerPromoted, now_s: float) -> None:
        """Take in whether the chosen server accepts writes now.

        Args:
            result: Its start position, or None.
            now_s: Local time.
        """
        for attempt in self.attempts_by_group.values():
            if attempt.promotion.attempt_id != result.attempt_id:
                continue
            attempt.is_order_open = False
            if attempt.phase is not Phase.PROMOTING:
                continue
            if result.start is None:
                attempt.enter(Phase.CHOOSING, now_s)
                attempt.asked_at_s = now_s - CHOOSE_WAIT_S + ASK_AGAIN_S
                continue
            attempt.start = result.start
            attempt.enter(Phase.PUBLISHING, now_s)
        self._advance_attempts(now_s)

    def _advance_publishing(self, attempt: Attempt, now_s: float) -> None:
        board = self.board
        if self._publish_pending:
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
                causes.append(f"{other.group_id}: {other.chosen} answers again")
            else:
                fleet = with_primary_published(
                    fleet, other.group_id, other.chosen, other.start
                )
                causes.append(f"{other.group_id}: {other.chosen} in term {other.term}")
                if may_name_primary(board, other.group_id, other.term, now_s):
                    self._order_replicas(other)
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
            f"primary {attempt.chosen}, term {attempt.term}",
            promotion.cause,
        )

    def _is_current(self, attempt: Attempt) -> bool:
        term = self.board.group_term(attempt.group_id)
        return (
            term.promotion is not None
            and term.promotion.attempt_id == attempt.promotion.attempt_id
        )

    def _order_replicas_of_published(self, result: FleetUpdated) -> None:
        """Order the replicas whose orders rested on no recent read before."""
        if result.effect.purpose != PUBLISH_PURPOSE:
            return
        for attempt in self.attempts_by_group.values():
            published = result.effect.fleet.terms_by_group[attempt.group_id]
            is_published = (
                published.primary == attempt.chosen and published.promotion is None
            )
            if is_published and attempt.start and not attempt.are_replicas_ordered:
                self._order_replicas(attempt)

    def _order_replicas(self, attempt: Attempt) -> None:
        attempt.are_replicas_ordered = True
        group = self.board.inventory.groups_by_id[attempt.group_id]
        for server_id in group.server_ids:
            if server_id == attempt.chosen:
                continue
            self.board.effects.append(
                FollowPrimary(server_id, attempt.chosen, attempt.start.term)
            )
