"""The application for the database protocol: creates, starts and stops all parts."""

import ssl
import time

import structlog

from pollencleat.administration.server import AdminServer
from pollencleat.backend.orders import MonitorCommands
from pollencleat.callers.gateway import Gateway
from pollencleat.callers.identity import CallerIdentityProvider
from pollencleat.callers.server import CallerServer
from pollencleat.core.constants import SAMPLE_INTERVAL_S
from pollencleat.core.timers import read_boottime_s
from pollencleat.daemon.gauges import add_gauges
from pollencleat.daemon.runtime import NodeRuntime
from pollencleat.daemon.settings import Settings
from pollencleat.journal.pruning import JournalPruner
from pollencleat.store.client import StoreClient
from pollencleat.store.objects import ObjectStore

BOARD_TICK_S = 0.05
RESIGN_LIMIT_S = 3.0
FINAL_ANSWERS_LIMIT_S = 1.0
"""Maximum time that a stopping node waits until its final answers are sent."""

CLOSE_UNUSED_TICK_S = 10.0
log = structlog.get_logger()


class Application(NodeRuntime):
    """One entry VM's process."""

    def __init__(self, settings: Settings) -> None:
        """Create all parts; start connects them to the network."""
        super().__init__(
            settings.node_id, settings.failure_domain, settings.seeds_by_id
        )
        self.settings = settings
        self.store = StoreClient(settings.platform_url, settings.platform_token)
        self.gateway = Gateway(
            self.board, settings.backend, self.metrics, read_boottime_s
        )
        self.connect(
            ObjectStore(self.store),
            MonitorCommands(self.board, self.gateway.monitors_by_server),
            settings.curve_keys,
        )
        self.callers = CallerServer(
            self.gateway,
            CallerIdentityProvider(settings.hashes_by_user),
            make_tls_context(settings),
        )
        self.admin = AdminServer(
            self, settings.admin_tokens, make_tls_context(settings)
        )
        self.pruner = JournalPruner(self.gateway)
        self.callers_port = 0

    async def start(self) -> None:
        """Start to listen and to join the fleet."""
        settings = self.settings
        peers = settings.peers
        endpoint = self.transport.start(f"tcp://{peers.host}:{peers.port}")
        self.stop_hooks.append(self._stop_transport)
        self.board.address = settings.advertise_peers or endpoint
        await self.admin.start(settings.admin.host, settings.admin.port)
        self.stop_hooks.append(self.admin.stop)
        self.board.admin_address = self.admin.address
        self._subscribe()
        add_gauges(self)
        self.start_controllers()
        self.callers_port = await self.callers.start(
            settings.callers.host, settings.callers.port
        )
        log.info(
            "started",
            node=settings.node_id,
            incarnation=self.board.incarnation,
            callers_port=self.callers_port,
            peers=self.board.address,
            admin=self.board.admin_address,
        )

    def _subscribe(self) -> None:
        self.timers.subscribe(BOARD_TICK_S, self._follow_board)
        self.timers.subscribe(SAMPLE_INTERVAL_S, self.gateway.sampler.sample_all)
        self.timers.subscribe(CLOSE_UNUSED_TICK_S, self.transport.close_unused)
        self.timers.subscribe(1.0, self.pruner.tick)

    def _follow_board(self) -> None:
        self.board.wall_clock_s = int(time.time())
        self.gateway.follow_board()
        self.change_log.tick(read_boottime_s())

    async def stop(self) -> None:
        """Drain, resign and close; statements in progress may end within the limit."""
        log.info("draining", node=self.settings.node_id)
        self.board.draining = True
        limit_s = self.board.inventory.rules.drain_limit_s
        is_clean = await self.callers.drain(limit_s)
        if not is_clean:
            self.metrics.count("drain_cut_off")
            log.warning("drain limit reached", limit_s=limit_s)
        self.gateway.close()
        await self.callers.close(FINAL_ANSWERS_LIMIT_S)
        await self.resign(RESIGN_LIMIT_S)
        await self.close_runtime()
        await self.store.close()
        self.metrics.close()
        log.info("stopped", node=self.settings.node_id)

    async def _stop_transport(self) -> None:
        self.transport.close()


def make_tls_context(settings: Settings) -> ssl.SSLContext | None:
    """Return the TLS context of the listeners.

    Args:
        settings: The process settings.

    Returns:
        The context, or None if the settings name no certificate.
    """
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
