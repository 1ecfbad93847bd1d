"""Runs the effects that controllers request, and delivers their results."""

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
    StoreError,
)
from pollencleat.core.faults import ErrorRecorder
from pollencleat.core.ports import PlatformStore, ServerOrders
from pollencleat.reports.metrics import Metrics

MAX_READS_IN_FLIGHT = 4
"""Maximum number of concurrent platform reads, which pile up on a slow platform."""

log = structlog.get_logger()
_runners_by_type: dict[type, Callable] = {}


def runs_effect(effect_type: type) -> Callable[[Callable], Callable]:
    """Return a decorator that registers the method for a type of effect.

    Args:
        effect_type: The type of effect that the method runs.

    Returns:
        A decorator that returns the method unchanged.
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
    """Runs each effect as a task and delivers its result to the controllers."""

    def __init__(
        self,
        board: Blackboard,
        deliver: Callable[[object], None],
        store: PlatformStore,
        orders: ServerOrders,
        metrics: Metrics,
        clock: Callable[[], float],
        faults: ErrorRecorder | None = None,
    ) -> None:
        """Create the runner of the given platform store and backend servers."""
        self._faults = faults or ErrorRecorder()
        self._board = board
        self._deliver = deliver
        self._store = store
        self._orders = orders
        self._metrics = metrics
        self._clock = clock
        self._reads_in_flight = 0
        self._tasks: set[asyncio.Task] = set()
        self._is_platform_reachable = True
        self._last_answered_sent_at_s = -1e9

    def run(self, effect: Effect) -> None:
        """Start a task that runs an effect.

        Args:
            effect: An effect that a controller requested.
        """
        runner = _runners_by_type[type(effect)]
        task = asyncio.get_running_loop().create_task(
            self._run_and_report_errors(runner, effect)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_and_report_errors(
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
        """Deliver a result without data, so that no controller waits forever."""
        make_result = _failed_results_by_type.get(type(effect))
        if make_result is None:
            return
        try:
            self._deliver(make_result(effect))
        except Exception as error:
            self._faults.record(f"result of {type(effect).__name__}", error)

    def close(self) -> None:
        """Cancel all running effects."""
        for task in self._tasks:
            task.cancel()

    @runs_effect(ReadPlatform)
    async def _read_platform(self, effect: ReadPlatform) -> None:
        if self._reads_in_flight >= MAX_READS_IN_FLIGHT:
            self._metrics.count("platform_read_skipped")
            return
        self._reads_in_flight += 1
        sent_at_s = self._clock()
        try:
            await self._read_objects()
        except StoreError as error:
            # The failure is outdated if the platform has answered a later read.
            if sent_at_s >= self._last_answered_sent_at_s:
                self._record_platform_read(False, str(error))
        else:
            self._last_answered_sent_at_s = max(
                self._last_answered_sent_at_s, sent_at_s
            )
            self._record_platform_read(True, "")
        finally:
            self._reads_in_flight -= 1

    async def _read_objects(self) -> None:
        board = self._board
        sent_at_s = self._clock()
        state = await self._store.read_state(board)
        if board.fleet.version and state.era > board.store_era:
            self._metrics.count("store_restored")
        self._deliver(
            PlatformRead(sent_at_s, state.fleet, state.inventory, state.vms, state.era)
        )

    def _record_platform_read(self, is_reachable: bool, reason: str) -> None:
        self._metrics.count("platform_read", "ok" if is_reachable else "failed")
        if is_reachable == self._is_platform_reachable:
            return
        self._is_platform_reachable = is_reachable
        log.info("platform answers" if is_reachable else "platform lost", reason=reason)

    @runs_effect(UpdateFleet)
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

    @runs_effect(FenceServer)
    async def _fence(self, effect: FenceServer) -> None:
        status = await self._run_order(
            self._orders.fence(effect.server_id, effect.term), effect
        )
        self._deliver(ServerFenced(effect.attempt_id, effect.server_id, status))

    @runs_effect(ReadServerStatus)
    async def _read_status(self, effect: ReadServerStatus) -> None:
        status = await self._run_order(
            self._orders.read_status(effect.server_id), effect
        )
        self._deliver(ServerStatusRead(effect.attempt_id, effect.server_id, status))

    @runs_effect(HoldServer)
    async def _pause_replication(self, effect: HoldServer) -> None:
        status = await self._run_order(
            self._orders.pause_replication(effect.server_id, effect.term), effect
        )
        self._deliver(ServerStatusRead(effect.attempt_id, effect.server_id, status))

    @runs_effect(PromoteServer)
    async def _promote(self, effect: PromoteServer) -> None:
        start = await self._run_order(
            self._orders.promote(
                effect.server_id, effect.term, effect.fence, effect.log_end
            ),
            effect,
        )
        self._deliver(ServerPromoted(effect.attempt_id, effect.server_id, start))

    @runs_effect(FollowPrimary)
    async def _follow(self, effect: FollowPrimary) -> None:
        await self._orders.follow(effect.server_id, effect.primary_id, effect.term)
        log.info(
            "replica ordered",
            server=effect.server_id,
            primary=effect.primary_id,
            term=effect.term,
        )

    async def _run_order(self, order: Awaitable, effect: Effect) -> object | None:
        """Wait for the answer to an order; None if the order failed."""
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
