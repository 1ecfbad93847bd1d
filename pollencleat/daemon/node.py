"""All controllers of one node and their blackboard, without any I/O.

The daemon and the property tests drive the same object.  Inputs are peer messages,
results of effects and timer callbacks; outputs are messages and effects, which the
controllers place on the blackboard.
"""

from collections.abc import Callable

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import HEARTBEAT_INTERVAL_S
from pollencleat.core.effects import (
    FleetUpdated,
    PlatformRead,
    ServerFenced,
    ServerPromoted,
    ServerStatusRead,
)
from pollencleat.core.messages import (
    Beat,
    PeerMessage,
    Sighting,
    SightingRequest,
    State,
    StateRequest,
    StopWrites,
    WritesEnded,
    WritesStopped,
)
from pollencleat.core.timers import TimerService
from pollencleat.membership.beats import HeartbeatController
from pollencleat.membership.registration import (
    MEMBERSHIP_PURPOSE,
    RegistrationController,
)
from pollencleat.membership.restore import RESTORE_PURPOSE, RestoreController
from pollencleat.promotion.controller import PromotionController
from pollencleat.promotion.replica_repair import ReplicaRepairController
from pollencleat.promotion.suspicion import make_sighting

PROMOTION_TICK_S = 0.05
REGISTRATION_TICK_S = 0.1
REPLICA_REPAIR_INTERVAL_S = 0.25

_handlers_by_type: dict[type, Callable] = {}


def handles(message_type: type) -> Callable[[Callable], Callable]:
    """Return a decorator that registers the handler of a message or result type.

    Args:
        message_type: Type of the message or of the effect's result.

    Returns:
        A decorator that returns the method unchanged.
    """

    def register(function: Callable) -> Callable:
        _handlers_by_type[message_type] = function
        return function

    return register


class Node:
    """The controllers of one node, which share a blackboard."""

    def __init__(
        self,
        board: Blackboard,
        timers: TimerService,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Create the controllers and subscribe them to the timers."""
        self.board = board
        self.clock = timers.clock
        self.beats = HeartbeatController(board, seeds)
        self.registration = RegistrationController(board)
        self.restore = RestoreController(board)
        self.promotion = PromotionController(board, timers.clock())
        self.replica_repair = ReplicaRepairController(board)
        timers.subscribe(HEARTBEAT_INTERVAL_S, lambda: self.beats.tick(self.clock()))
        timers.subscribe(
            REGISTRATION_TICK_S, lambda: self.registration.tick(self.clock())
        )
        timers.subscribe(REGISTRATION_TICK_S, lambda: self.restore.tick(self.clock()))
        timers.subscribe(PROMOTION_TICK_S, lambda: self.promotion.tick(self.clock()))
        timers.subscribe(
            REPLICA_REPAIR_INTERVAL_S, lambda: self.replica_repair.tick(self.clock())
        )

    def handle(self, event: PeerMessage | object) -> None:
        """Pass a peer message or the result of an effect to its handler.

        Args:
            event: The message or result.
        """
        _handlers_by_type[type(event)](self, event, self.clock())

    @handles(Beat)
    def _on_beat(self, beat: Beat, now_s: float) -> None:
        self.beats.on_heartbeat(beat, now_s)

    @handles(StateRequest)
    def _on_state_request(self, request: StateRequest, now_s: float) -> None:
        self.beats.on_state_request(request)

    @handles(State)
    def _on_state(self, state: State, now_s: float) -> None:
        self.beats.on_state(state, now_s)

    @handles(StopWrites)
    def _on_stop_writes(self, message: StopWrites, now_s: float) -> None:
        self.beats.on_stop_writes(message, now_s)

    @handles(WritesStopped)
    def _on_writes_stopped(self, message: WritesStopped, now_s: float) -> None:
        self.promotion.on_writes_stopped(message, now_s)

    @handles(WritesEnded)
    def _on_writes_ended(self, message: WritesEnded, now_s: float) -> None:
        self.beats.on_writes_ended(message)

    @handles(SightingRequest)
    def _on_sighting_request(self, request: SightingRequest, now_s: float) -> None:
        self.board.send(
            request.node_id, make_sighting(self.board, request.server_id, now_s)
        )

    @handles(Sighting)
    def _on_sighting(self, sighting: Sighting, now_s: float) -> None:
        self.promotion.on_sighting(sighting, now_s)

    @handles(PlatformRead)
    def _on_platform_read(self, read: PlatformRead, now_s: float) -> None:
        self.beats.on_platform_read(read, now_s)
        self.restore.tick(now_s)
        self.registration.on_platform_read(now_s)

    @handles(FleetUpdated)
    def _on_fleet_updated(self, result: FleetUpdated, now_s: float) -> None:
        if result.effect.purpose == MEMBERSHIP_PURPOSE:
            self.registration.on_updated(result, now_s)
        elif result.effect.purpose == RESTORE_PURPOSE:
            self.restore.on_updated(result, now_s)
        else:
            self.promotion.on_updated(result, now_s)

    @handles(ServerFenced)
    def _on_fenced(self, result: ServerFenced, now_s: float) -> None:
        self.promotion.on_fenced(result)

    @handles(ServerStatusRead)
    def _on_status_read(self, result: ServerStatusRead, now_s: float) -> None:
        self.promotion.on_status_read(result, now_s)
        self.restore.on_status_read(result)

    @handles(ServerPromoted)
    def _on_promoted(self, result: ServerPromoted, now_s: float) -> None:
        self.promotion.on_promoted(result, now_s)
