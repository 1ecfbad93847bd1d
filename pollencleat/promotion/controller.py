"""Starts promotions, and passes events on to those in progress.

A term starts by a single conditional update of the fleet state, so that only one of
several competing nodes succeeds.  A node gives no promises while its own update may be
in progress.  Afterwards it may promise again: its promises then carry a fleet version
that includes the new term, and a receiver adopts that version before it counts the
promise.
"""

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import Promotion
from pollencleat.core.effects import (
    FleetUpdated,
    ServerFenced,
    ServerPromoted,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.messages import Sighting, State, WritesStopped
from pollencleat.membership.fleet import with_promotion_started
from pollencleat.promotion.attempt import Attempt
from pollencleat.promotion.detection import PrimaryDetector, SuspectedPrimary
from pollencleat.promotion.steering import AttemptSteering
from pollencleat.promotion.suspicion import Suspicion

START_PURPOSE = "promotion start"

TAKEN_OVER_CAUSE = "promotion taken over"


class PromotionController:
    """Starts promotions; its parts detect lost primaries and carry out the attempts.

    It runs on every node; the conditional fleet update decides which node promotes.
    """

    def __init__(self, board: Blackboard, started_at_s: float) -> None:
        """Initialize the controller without attempts.

        Args:
            board: The node's state.
            started_at_s: Local time since which the platform has been read without
                interruption.
        """
        self.board = board
        self.detector = PrimaryDetector(board, started_at_s)
        self.steering = AttemptSteering(board)
        self._start_pending: UpdateFleet | None = None
        self._start_unknown_since_s: float | None = None
        self._attempt_counter = 0

    @property
    def attempts_by_group(self) -> dict[str, Attempt]:
        """Promotions that this node carries out."""
        return self.steering.attempts_by_group

    @property
    def suspects_by_group(self) -> dict[str, SuspectedPrimary]:
        """Primaries that this node suspects."""
        return self.detector.suspects_by_group

    def tick(self, now_s: float) -> None:
        """Advance this node's attempts and start promotions that are due.

        Args:
            now_s: Local time.
        """
        self._resolve_unknown_start()
        self.steering.adopt_own_attempts(now_s)
        self.steering.advance(now_s)
        if self._may_start(now_s):
            self._start_due_promotions(now_s)

    def _may_start(self, now_s: float) -> bool:
        board = self.board
        may_judge = self.detector.may_judge(now_s)
        if not board.is_member() or board.draining or self._start_pending:
            return False
        if board.restored is not None:
            return False
        return may_judge and board.fleet.members_by_id[board.node_id].may_promote

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
            if group_id in self.attempts_by_group:
                return None
            if not self.detector.is_take_over_due(term, now_s):
                return None
            old_primary = term.promotion.old_primary
            return self._make_promotion(old_primary, False, TAKEN_OVER_CAUSE)
        suspicion = self.detector.find_due_replacement(group_id, now_s)
        if suspicion is Suspicion.NONE:
            return None
        old_primary = term.primary if term is not None else ""
        is_planned = suspicion is Suspicion.LEAVING
        return self._make_promotion(old_primary, is_planned, suspicion.value)

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
        self.steering.on_updated(result)
        if result.version:
            board.adopt_updated_fleet(result, now_s)
            self._broadcast_fleet()
        if result.effect.purpose != START_PURPOSE:
            return
        if result.version is None:
            self._start_unknown_since_s = now_s
            return
        self._finish_start()
        self.steering.adopt_own_attempts(now_s)

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

    # Events for the parts.

    def on_sighting(self, sighting: Sighting, now_s: float) -> None:
        """Pass a peer's report about a suspected primary to the detector."""
        self.detector.on_sighting(sighting, now_s)

    def on_writes_stopped(self, message: WritesStopped, now_s: float) -> None:
        """Pass a member's confirmation that it stopped writing to the attempts."""
        self.steering.on_writes_stopped(message, now_s)

    def on_fenced(self, result: ServerFenced) -> None:
        """Pass the old primary's final status to the attempts."""
        self.steering.on_fenced(result)

    def on_status_read(self, result: ServerStatusRead, now_s: float) -> None:
        """Pass a server's status to the attempts."""
        self.steering.on_status_read(result, now_s)

    def on_promoted(self, result: ServerPromoted, now_s: float) -> None:
        """Pass the result of a promote order to the attempts."""
        self.steering.on_promoted(result, now_s)
