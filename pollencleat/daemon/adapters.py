"""Carries out the effects that controllers ask for, and reports their results."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from pollencleat.callers.gateway import Gateway
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.effects import (
    Effect,
    FenceServer,
    FleetUpdated,
    FollowPrimary,
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
from pollencleat.membership.beats import BeatController
from pollencleat.reports.metrics import Metrics
from pollencleat.store.client import StoreClient
from pollencleat.store.objects import (
    FLEET_NAME,
    encode_fleet,
    read_fleet,
    read_inventory,
    read_vm_list,
)

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


class EffectRunner:
    """Runs effects as tasks."""

    def __init__(
        self,
        board: Blackboard,
        beats: BeatController,
        deliver: Callable[[object], None],
        store: StoreClient,
        gateway: Gateway,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Connect controllers to the platform and the backend servers."""
        self._board = board
        self._beats = beats
        self._deliver = deliver
        self._store = store
        self._gateway = gateway
        self._metrics = metrics
        self._clock = clock
        self._reads_in_flight = 0
        self._tasks: set[asyncio.Task] = set()
        self._platform_answers = True

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
            log.debug("effect failed", effect=type(effect).__name__, error=str(error))

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
        try:
            await self._read_objects()
        except StoreUnavailableError as error:
            self._note_platform(False, str(error))
        else:
            self._note_platform(True, "")
        finally:
            self._reads_in_flight -= 1

    async def _read_objects(self) -> None:
        board = self._board
        sent_at_s = self._clock()
        fleet, inventory, vms = await asyncio.gather(
            read_fleet(self._store, board.fleet),
            read_inventory(self._store, board.inventory),
            read_vm_list(self._store, board.vms),
        )
        self._beats.on_platform_read(sent_at_s, self._clock(), fleet, inventory, vms)

    def _note_platform(self, answers: bool, reason: str) -> None:
        self._metrics.count("platform_read", "ok" if answers else "failed")
        if answers == self._platform_answers:
            return
        self._platform_answers = answers
        log.info("platform answers" if answers else "platform lost", reason=reason)

    @carries_out(UpdateFleet)
    async def _update_fleet(self, effect: UpdateFleet) -> None:
        try:
            version = await self._store.update_object(
                FLEET_NAME, effect.expected_version, encode_fleet(effect.fleet)
            )
        except StoreConflictError:
            version = 0
        except PollencleatError:
            version = None
        self._metrics.count("fleet_update", _update_result(version))
        if version:
            log.info("fleet changed", version=version, cause=effect.cause)
        else:
            await self._read_after_failure()
        self._deliver(FleetUpdated(effect, version))

    async def _read_after_failure(self) -> None:
        try:
            await self._read_objects()
        except PollencleatError:
            self._metrics.count("platform_read", "failed")

    @carries_out(FenceServer)
    async def _fence(self, effect: FenceServer) -> None:
        status = None
        monitor = self._gateway.monitors_by_server.get(effect.server_id)
        if monitor is not None:
            try:
                status = await monitor.fence(effect.term)
            except BackendError:
                self._metrics.count("fence_failed", effect.server_id)
        self._deliver(ServerFenced(effect.attempt_id, effect.server_id, status))

    @carries_out(ReadServerStatus)
    async def _read_status(self, effect: ReadServerStatus) -> None:
        status = None
        monitor = self._gateway.monitors_by_server.get(effect.server_id)
        if monitor is not None:
            try:
                status = await monitor.read_status()
            except BackendError:
                self._metrics.count("status_failed", effect.server_id)
        self._deliver(ServerStatusRead(effect.attempt_id, effect.server_id, status))

    @carries_out(PromoteServer)
    async def _promote(self, effect: PromoteServer) -> None:
        start_position = None
        monitor = self._gateway.monitors_by_server.get(effect.server_id)
        if monitor is not None:
            try:
                start_position = await monitor.promote(effect.term)
            except BackendError:
                self._metrics.count("promote_failed", effect.server_id)
        self._deliver(
            ServerPromoted(effect.attempt_id, effect.server_id, start_position)
        )

    @carries_out(FollowPrimary)
    async def _follow(self, effect: FollowPrimary) -> None:
        primary = self._board.inventory.servers_by_id.get(effect.primary_id)
        monitor = self._gateway.monitors_by_server.get(effect.server_id)
        if primary is None or monitor is None:
            return
        await monitor.follow(primary, effect.term)
        log.info(
            "replica ordered",
            server=effect.server_id,
            primary=effect.primary_id,
            term=effect.term,
        )


def _update_result(version: int | None) -> str:
    if version is None:
        return "unknown"
    return "accepted" if version else "conflict"
