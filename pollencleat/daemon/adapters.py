"""Carries out the effects that controllers ask for, and reports their results."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.effects import (
    Effect,
    FenceServer,
    FleetUpdated,
    FollowPrimary,
    HoldServer,
    PlatformRead,
    PromoteServer,
    ReadPlatform,
    ReadServerStatus,
    ServerFenced,
    ServerPromoted,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.errors import (
    BackendError,
    PollencleatError,
    StoreConflictError,
    StoreUnavailableError,
)
from pollencleat.core.faults import FaultLog
from pollencleat.core.ports import PlatformStore, ServerOrders
from pollencleat.reports.metrics import Metrics

READS_IN_FLIGHT = 4
"""Platform reads that may be under way at the same time on a slow platform."""

log = structlog.get_logger()
_runners_by_type: dict[type, Callable] = {}


def carries_out(effect_type: type) -> Callable[[Callable], Callable]:
    """Register the method that carries out a type of effect.

    Args:
        effect_type: The type.

    Returns:
        A decorator.
    """

    def register(function: Callable) -> Callable:
        _runners_by_type[effect_type] = function
        return function

    return register


_failed_results_by_type: dict[type, Callable[[Effect], object]] = {
    UpdateFleet: lambda effect: FleetUpdated(effect, None),
    FenceServer: lambda effect: ServerFenced(effect.attempt_id, effect.server_id, None),
    ReadServerStatus: lambda effect: ServerStatusRead(
        effect.attempt_id, effect.server_id, None
    ),
    HoldServer: lambda effect: ServerStatusRead(
        effect.attempt_id, effect.server_id, None
    ),
    PromoteServer: lambda effect: ServerPromoted(
        effect.attempt_id, effect.server_id, None
    ),
}


class EffectRunner:
    """Runs effects as tasks."""

    def __init__(
        self,
        board: Blackboard,
        deliver: Callable[[object], None],
        store: PlatformStore,
        orders: ServerOrders,
        metrics: Metrics,
        clock: Callable[[], float],
        faults: FaultLog | None = None,
    ) -> None:
        """Connect controllers to the platform and the backend servers."""
        self._faults = faults or FaultLog()
        self._board = board
        self._deliver = deliver
        self._store = store
        self._orders = orders
        self._metrics = metrics
        self._clock = clock
        self._reads_in_flight = 0
        self._tasks: set[asyncio.Task] = set()
        self._platform_answers = True
        self._answered_sent_at_s = -1e9

    def run(self, effect: Effect) -> None:
        """Start carrying out an effect.

        Args:
            effect: What a controller wants.
        """
        runner = _runners_by_type[type(effect)]
        task = asyncio.get_running_loop().create_task(self._guard(runner, effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(
        self, runner: Callable[["EffectRunner", Effect], Awaitable], effect: Effect
    ) -> None:
        try:
            await runner(self, effect)
        except PollencleatError as error:
            self._metrics.count("effect_failed", type(effect).__name__)
            log.info("effect failed", effect=type(effect).__name__, error=str(error))
        except Exception as error:
            self._faults.record(f"effect {type(effect).__name__}", error)
            self._deliver_failure(effect)

    def _deliver_failure(self, effect: Effect) -> None:
        """Tell a controller that waits for a result that nothing is known of it."""
        make_result = _failed_results_by_type.get(type(effect))
        if make_result is None:
            return
        try:
            self._deliver(make_result(effect))
        except Exception as error:
            self._faults.record(f"result of {type(effect).__name__}", error)

    def close(self) -> None:
        """Cancel everything under way."""
        for task in self._tasks:
            task.cancel()

    @carries_out(ReadPlatform)
    async def _read_platform(self, effect: ReadPlatform) -> None:
        if self._reads_in_flight >= READS_IN_FLIGHT:
            self._metrics.count("platform_read_skipped")
            return
        self._reads_in_flight += 1
        sent_at_s = self._clock()
        try:
            await self._read_objects()
        except StoreUnavailableError as error:
            # A read from before the newest answer says nothing of now.
            if sent_at_s >= self._answered_sent_at_s:
                self._note_platform(False, str(error))
        else:
            self._answered_sent_at_s = max(self._answered_sent_at_s, sent_at_s)
            self._note_platform(True, "")
        finally:
            self._reads_in_flight -= 1

    async def _read_objects(self) -> None:
        board = self._board
        sent_at_s = self._clock()
        state = await self._store.read_state(board)
        self._deliver(PlatformRead(sent_at_s, state.fleet, state.inventory, state.vms))

    def _note_platform(self, answers: bool, reason: str) -> None:
        self._metrics.count("platform_read", "ok" if answers else "failed")
        if answers == self._platform_answers:
            return
        self._platform_answers = answers
        log.info("platform answers" if answers else "platform lost", reason=reason)

    @carries_out(UpdateFleet)
    async def _update_fleet(self, effect: UpdateFleet) -> None:
        try:
            version = await self._store.update_fleet(
                effect.expected_version, effect.fleet
            )
        except StoreConflictError:
            version = 0
        except PollencleatError as error:
            version = None
            log.info("fleet update unsettled", cause=effect.cause, error=str(error))
        self._metrics.count("fleet_update", _update_result(version))
        if version:
            log.info("fleet changed", version=version, cause=effect.cause)
        else:
            log.info(
                "fleet change not accepted",
                result=_update_result(version),
                expected_version=effect.expected_version,
                cause=effect.cause,
            )
            await self._read_after_failure()
        self._deliver(FleetUpdated(effect, version))

    async def _read_after_failure(self) -> None:
        try:
            await self._read_objects()
        except PollencleatError:
            self._metrics.count("platform_read", "failed")

    @carries_out(FenceServer)
    async def _fence(self, effect: FenceServer) -> None:
        status = await self._try(
            self._orders.fence(effect.server_id, effect.term), effect
        )
        self._deliver(ServerFenced(effect.attempt_id, effect.server_id, status))

    @carries_out(ReadServerStatus)
    async def _read_status(self, effect: ReadServerStatus) -> None:
        status = await self._try(self._orders.read_status(effect.server_id), effect)
        self._deliver(ServerStatusRead(effect.attempt_id, effect.server_id, status))

    @carries_out(HoldServer)
    async def _hold(self, effect: HoldServer) -> None:
        status = await self._try(
            self._orders.hold(effect.server_id, effect.term), effect
        )
        self._deliver(ServerStatusRead(effect.attempt_id, effect.server_id, status))

    @carries_out(PromoteServer)
    async def _promote(self, effect: PromoteServer) -> None:
        start = await self._try(
            self._orders.promote(effect.server_id, effect.term, effect.fence), effect
        )
        self._deliver(ServerPromoted(effect.attempt_id, effect.server_id, start))

    @carries_out(FollowPrimary)
    async def _follow(self, effect: FollowPrimary) -> None:
        await self._orders.follow(effect.server_id, effect.primary_id, effect.term)
        log.info(
            "replica ordered",
            server=effect.server_id,
            primary=effect.primary_id,
            term=effect.term,
        )

    async def _try(self, order: Awaitable, effect: Effect) -> object | None:
        """Wait for an order's answer; None if the server did not carry it out."""
        try:
            answer = await order
        except BackendError as error:
            self._metrics.count("order_failed", type(effect).__name__)
            log.info(
                "order failed",
                order=type(effect).__name__,
                server=effect.server_id,
                attempt=effect.attempt_id,
                error=str(error),
            )
            return None
        log.info(
            "order answered",
            order=type(effect).__name__,
            server=effect.server_id,
            attempt=effect.attempt_id,
            answer=str(answer),
        )
        return answer


def _update_result(version: int | None) -> str:
    if version is None:
        return "unknown"
    return "accepted" if version else "conflict"
