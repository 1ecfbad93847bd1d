"""The application on the users' platform: creates, starts and stops all parts."""

import asyncio
import os
import time
from collections.abc import Awaitable
from pathlib import Path

import structlog

from pollencleat.backend.liveness import LivenessController
from pollencleat.backend.pool import ServerPool
from pollencleat.core.data import BackendServer
from pollencleat.core.errors import SettingsError
from pollencleat.core.messages import (
    LeaseEnded,
    LeaseGranted,
    LeaseRefused,
    LeaseRequest,
    LeasesHeld,
    LeasesKnown,
    LinkCall,
    LinkReply,
    ReadAnswer,
    ReadRequest,
    RequestAtWork,
)
from pollencleat.core.refusals import RefusedObjects
from pollencleat.core.timers import read_boottime_s
from pollencleat.daemon.readiness import (
    OUT_OF_ROTATION_AFTER_S,
    RotationWatch,
    is_ready,
)
from pollencleat.daemon.runtime import NodeRuntime
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.listener import SessionListener
from pollencleat.engine.replies import ReceivedReply, RepetitionRecord
from pollencleat.hops.borrower import HopBorrower
from pollencleat.hops.lender import HopLender
from pollencleat.limits.shares import reserved_connections
from pollencleat.membership.directory import ServerDirectory
from pollencleat.peers.transport import make_curve_keys
from pollencleat.platform.clients import ClientConnection
from pollencleat.platform.endpoints import HttpEndpoints
from pollencleat.platform.objects import ObjectClient
from pollencleat.platform.orders import PlatformOrders
from pollencleat.platform.servers import ServerConnection, open_server_connection
from pollencleat.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    load_platform_settings,
)
from pollencleat.platform.store import (
    FleetObjectStore,
    make_inventory_watcher,
    make_servers_watcher,
)
from pollencleat.platform.wire import MAX_LINE_BYTES
from pollencleat.promotion.attempt import is_current_promoter
from pollencleat.reports.logs import NonBlockingOutput
from pollencleat.routing.departed_log_records import DepartedLogRecorder
from pollencleat.routing.departed_logs import DepartedLogController
from pollencleat.routing.replica_positions import ReplicaPositionController

BOARD_TICK_S = 0.1
"""Interval at which changes of the blackboard are applied."""

LIVENESS_TICK_S = 0.1
"""Interval of the check for servers that are due for a probe."""

IDLE_CHECK_S = 0.25
"""Interval of the check for idle transactions."""

LEASES_TICK_S = 0.3
"""Interval of the check of borrowed and leased connections."""

DRAIN_POLL_S = 0.02
"""Interval at which a draining node checks whether leased connections are back."""

CLOSE_ORDERS_TICK_S = 1.0
"""Interval of the check for unused connections for server orders."""

CLOSE_UNUSED_TICK_S = 10.0
"""Interval of the check for unused connections to peers."""

MAX_SESSIONS_MOVED_PER_TICK = 4
"""Idle sessions that a node which lost its readiness closes per tick; a hundred take
2.5 s, so that not all of them reconnect at the same moment."""

STOP_RESERVE = 1 / 8
"""Part of the grace period that is kept for final answers, resigning and closing."""

TRANSACTIONS_SHARE = 1 / 2
"""Part of the grace period after which a stopping node begins no transaction."""

FINAL_ANSWERS_LIMIT_S = 0.25
"""Maximum time that a stopping node waits until its final answers are sent."""

RESIGN_LIMIT_S = 0.7
"""Maximum time that a stopping node waits until its resignation is accepted."""

EXIT_RESERVE_S = 0.15
"""Part of the grace period that is reserved for the end of the process."""

log = structlog.get_logger()


class PlatformApplication(NodeRuntime):
    """One entry VM's process on the users' platform."""

    def __init__(self, settings: PlatformSettings, output: NonBlockingOutput) -> None:
        """Create all parts; start connects them to the network."""
        super().__init__(settings.node_id, settings.failure_domain, {})
        self.settings = settings
        self.board.tracks_all_requests = True
        self.board.leaving_limit_s = settings.leaving_limit_s
        self._output = output
        self._repetition_records_by_server: dict[str, RepetitionRecord] = {}
        self.client = ObjectClient(
            settings.store,
            RefusedObjects(lambda kind: self.metrics.count("object_refused", kind)),
        )
        self.orders = PlatformOrders(
            self.board,
            settings.promotion,
            self._is_current_promoter,
            lambda server_id: reserved_connections(self.board, server_id) > 0,
            self._repetition_record,
        )
        self.access = ServerAccess(
            self.board, self.metrics, read_boottime_s, self._make_pool, self.faults
        )
        keys = make_curve_keys()
        self.board.public_key = keys.public.decode()
        self.connect(
            FleetObjectStore(self.client), self.orders, keys, self._is_known_key
        )
        self.directory = ServerDirectory(self.board, read_boottime_s)
        self.liveness = LivenessController(
            self.board, self.orders, self.access.servers_to_probe, read_boottime_s
        )
        self.access.probe_server = self.liveness.probe_now
        self.departed_logs = DepartedLogController(
            self.board, self.access.request_probe, read_boottime_s
        )
        self.departed_log_recorder = DepartedLogRecorder(self.board)
        self.replica_positions = ReplicaPositionController(
            self.board, self.access.request_probe
        )
        self.borrower = HopBorrower(
            self.board,
            self.send_to,
            read_boottime_s,
            self.metrics,
            self.access.pools.borrowed_by_server,
        )
        self.lender = HopLender(self.access, self.send_to, self.metrics, self.faults)
        self.access.gateways = self.borrower
        self.handlers_by_type = {
            LeaseRequest: self.lender.on_lease_request,
            ReadRequest: self.lender.on_read_request,
            ReadAnswer: self.borrower.on_read_answer,
            RequestAtWork: self.borrower.on_request_at_work,
            LeaseEnded: self.lender.on_lease_ended,
            LinkCall: self.lender.on_link_call,
            LeasesHeld: self.lender.on_leases_held,
            LeaseGranted: self.borrower.on_lease_granted,
            LeaseRefused: self.borrower.on_lease_refused,
            LinkReply: self.borrower.on_link_reply,
            LeasesKnown: self.borrower.on_leases_known,
        }
        self.listener = SessionListener(self.access, ClientConnection, MAX_LINE_BYTES)
        self.endpoints = HttpEndpoints(self.metrics, self.faults)
        self._idle_check: asyncio.Task | None = None
        self._rotation = RotationWatch()
        self.ready_port = 0

    def _make_pool(self, server: BackendServer) -> ServerPool:
        def open_to_server() -> Awaitable[ServerConnection]:
            record = self._repetition_record(server.server_id)
            opening = open_server_connection(server, record)
            return self.access.open_tracked(server.server_id, opening)

        return ServerPool(server, open_to_server, read_boottime_s)

    def _repetition_record(self, server_id: str) -> RepetitionRecord:
        def observe(received: ReceivedReply) -> None:
            self.metrics.count("reply_repeated", server_id)
            log.info(
                "reply repeated",
                server=server_id,
                kind=received.kind,
                receipt=received.reply.receipt,
            )

        records = self._repetition_records_by_server
        return records.setdefault(server_id, RepetitionRecord(observe))

    def _is_current_promoter(self, group_id: str, fence: int) -> bool:
        return is_current_promoter(self.board, group_id, fence, read_boottime_s())

    def _is_known_key(self, key: bytes) -> bool:
        text = key.decode()
        members = self.board.fleet.members_by_id.values()
        return any(member.public_key == text for member in members)

    async def start(self) -> None:
        """Start to listen and to join the fleet."""
        settings = self.settings
        endpoint = f"tcp://{settings.host}:{settings.peers_port}"
        self.board.address = self.transport.start(endpoint)
        self.stop_hooks.append(self._stop_transport)
        self.ready_port = await self.endpoints.serve_readiness(
            settings.readiness.host, settings.readiness.port, self._answer_check
        )
        await self.endpoints.serve_metrics(settings.host, settings.admin_port)
        self.stop_hooks.append(self.endpoints.close)
        await self.listener.start(settings.callers.host, settings.callers.port)
        self._subscribe()
        self.start_controllers()
        for watcher in (
            make_inventory_watcher(self.client, self.board, self.faults),
            make_servers_watcher(self.client, self.directory, self.faults),
        ):
            self.tasks.append(asyncio.create_task(watcher.run()))
        log.info(
            "started",
            node=settings.node_id,
            incarnation=self.board.incarnation,
            failure_domain=settings.failure_domain,
            callers=str(settings.callers),
            peers=self.board.address,
        )

    def _subscribe(self) -> None:
        self.timers.subscribe(BOARD_TICK_S, self._follow_board)
        self.timers.subscribe(LIVENESS_TICK_S, self._check_servers)
        self.timers.subscribe(IDLE_CHECK_S, self._check_idle)
        self.timers.subscribe(LEASES_TICK_S, self._follow_leases)
        self.timers.subscribe(CLOSE_UNUSED_TICK_S, self.transport.close_unused)
        self.timers.subscribe(
            CLOSE_ORDERS_TICK_S, lambda: self.orders.close_unused(read_boottime_s())
        )

    def _check_servers(self) -> None:
        self.departed_logs.tick(read_boottime_s())
        self.departed_log_recorder.tick(read_boottime_s())
        self.replica_positions.tick(read_boottime_s())
        self.liveness.tick()

    def _follow_leases(self) -> None:
        self.borrower.tick()
        self.lender.tick()

    def _follow_board(self) -> None:
        self.board.wall_clock_s = int(time.time())
        self.access.follow_board(self._is_ready())
        self.change_log.tick(read_boottime_s())
        self._update_readiness(read_boottime_s())
        self._output.flush()

    def _update_readiness(self, now_s: float) -> None:
        """Log changes of readiness; close idle sessions once out of rotation.

        Sooner, the platform could send the callers back to this node.
        """
        if self._rotation.update(self._is_ready(), now_s):
            log.info(
                "readiness", ready=self._rotation.is_ready, node=self.settings.node_id
            )
        if not self.access.has_been_ready or self.board.draining:
            return
        if not self._rotation.is_out_of_rotation(now_s):
            return
        moved = self.listener.close_idle(
            self._rotation.unready_since_s, MAX_SESSIONS_MOVED_PER_TICK
        )
        if moved:
            self.metrics.count("session_moved", amount=moved)

    def _check_idle(self) -> None:
        if self._idle_check is None or self._idle_check.done():
            self._idle_check = asyncio.get_running_loop().create_task(
                self.listener.end_idle_transactions()
            )

    def _is_ready(self) -> bool:
        return is_ready(self.board, read_boottime_s())

    def _answer_check(self) -> bool:
        """Answer a readiness check of the platform."""
        ready = self._is_ready()
        self._rotation.record_check(ready)
        return ready

    def reload(self) -> None:
        """Read the settings file again; the listen addresses do not change."""
        try:
            settings = load_settings_from_environment()
        except SettingsError as error:
            log.warning("reload refused", reason=str(error))
            return
        log.info("reload", changed=settings != self.settings)
        self.settings = settings

    async def stop(self) -> None:
        """Drain, resign and close within the grace period."""
        started_at_s = read_boottime_s()
        grace_s = self.settings.grace_s
        sessions_at_start = len(self.listener.connections)
        log.info("draining", node=self.settings.node_id, sessions=sessions_at_start)
        self.board.draining = True
        transactions_until_s = started_at_s + grace_s * TRANSACTIONS_SHARE
        deadline_s = started_at_s + grace_s * (1 - STOP_RESERVE)
        await asyncio.sleep(min(OUT_OF_ROTATION_AFTER_S, grace_s * TRANSACTIONS_SHARE))
        now_s = read_boottime_s()
        is_clean = await self.listener.drain(
            deadline_s - now_s, transactions_until_s - now_s
        )
        while self.lender.is_busy and read_boottime_s() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        is_clean = is_clean and not self.lender.is_busy
        if not is_clean:
            log.warning("drain limit reached", limit_s=deadline_s - started_at_s)
        self.access.close()
        self._close_leases()
        await self.listener.end_sessions(FINAL_ANSWERS_LIMIT_S)
        self.liveness.close()
        left_s = started_at_s + grace_s - EXIT_RESERVE_S - read_boottime_s()
        await self.resign(min(RESIGN_LIMIT_S, left_s))
        await self.close_runtime()
        await self.orders.close()
        await self.client.close()
        self.metrics.close()
        report = self.listener.report_stop()
        report.sessions_at_start = sessions_at_start
        await self.listener.abort()
        log.info(
            "stopped",
            node=self.settings.node_id,
            clean=is_clean,
            ms=round((read_boottime_s() - started_at_s) * 1000),
            **report.fields(),
        )
        self._output.flush()

    async def abort(self) -> None:
        """Close everything without draining, as a crash of the process would."""
        await self.listener.abort()
        self._close_leases()
        self.liveness.close()
        self.access.close()
        await self.close_runtime()
        await self.orders.close()
        await self.client.close()
        self.metrics.close()

    def _close_leases(self) -> None:
        self.borrower.close()
        self.lender.close()

    async def _stop_transport(self) -> None:
        self.transport.close()


def load_settings_from_environment() -> PlatformSettings:
    """Load the settings file that SETTINGS_VARIABLE of the environment names.

    Returns:
        The checked settings.

    Raises:
        SettingsError: The variable is not set, or the file is missing or malformed.
    """
    return load_platform_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
