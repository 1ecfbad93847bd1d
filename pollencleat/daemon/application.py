"""The application object: owns every part and cleans up."""

import asyncio
import random
import secrets
import ssl
import time
from collections.abc import Awaitable, Callable

import structlog

from pollencleat.administration.server import AdminServer
from pollencleat.callers.gateway import Gateway
from pollencleat.callers.identity import CallerIdentityProvider
from pollencleat.callers.server import CallerServer
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import SAMPLE_S
from pollencleat.core.timers import TimerService, read_boottime_s
from pollencleat.daemon.adapters import EffectRunner
from pollencleat.daemon.node import Node
from pollencleat.daemon.settings import Settings
from pollencleat.journal.pruning import JournalPruner
from pollencleat.peers.transport import PeerTransport
from pollencleat.reports.changes import ChangeLog
from pollencleat.reports.gauges import add_gauges
from pollencleat.reports.metrics import Metrics
from pollencleat.store.client import StoreClient

FOLLOW_S = 0.05
RESIGN_LIMIT_S = 3.0
RESIGN_POLL_S = 0.02
CLOSE_UNUSED_S = 10.0
log = structlog.get_logger()


class Application:
    """One entry VM's process."""

    def __init__(self, settings: Settings) -> None:
        """Create all parts; start connects them to the network."""
        self.settings = settings
        self.timers = TimerService(read_boottime_s)
        self.metrics = Metrics(settings.node_id)
        self.board = Blackboard(
            settings.node_id,
            secrets.token_hex(8),
            settings.failure_domain,
            "",
            "",
            random.Random(secrets.randbits(64)),
        )
        self.store = StoreClient(settings.platform_url, settings.platform_token)
        self.gateway = Gateway(
            self.board, settings.backend, self.metrics, read_boottime_s
        )
        self.node = Node(self.board, self.timers, tuple(settings.seeds_by_id))
        self.effects = EffectRunner(
            self.board,
            self.node.beats,
            self.deliver,
            self.store,
            self.gateway,
            self.metrics,
            read_boottime_s,
        )
        self.transport = PeerTransport(
            settings.curve_keys,
            self.deliver,
            read_boottime_s,
            lambda: self.metrics.count("peer_message_malformed"),
        )
        self.callers = CallerServer(
            self.gateway,
            CallerIdentityProvider(settings.hashes_by_user),
            make_tls_context(settings),
        )
        self.admin = AdminServer(self)
        self.pruner = JournalPruner(self.gateway)
        self.changes = ChangeLog(self.board)
        self.callers_port = 0
        self._tasks: list[asyncio.Task] = []
        self._on_stop: list[Callable[[], Awaitable[None]]] = []

    async def wait_for_failure(self) -> None:
        """Wait until a controller fails, which ends the process.

        Raises:
            Exception: The failure; a node that cannot decide must not go on.
        """
        await self._tasks[0]

    async def start(self) -> None:
        """Listen, and begin to join the fleet."""
        settings = self.settings
        peers = settings.peers
        endpoint = self.transport.start(f"tcp://{peers.host}:{peers.port}")
        self._on_stop.append(self._stop_transport)
        self.board.address = settings.advertise_peers or endpoint
        await self.admin.start(settings.admin.host, settings.admin.port)
        self._on_stop.append(self.admin.stop)
        self.board.admin_address = self.admin.address
        self._subscribe()
        add_gauges(self)
        self._tasks.append(asyncio.create_task(self.timers.run_forever(self.dispatch)))
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
        self.timers.subscribe(FOLLOW_S, self._follow_board)
        self.timers.subscribe(SAMPLE_S, self.gateway.sampler.sample_all)
        self.timers.subscribe(CLOSE_UNUSED_S, self.transport.close_unused)
        self.timers.subscribe(1.0, self.pruner.tick)

    def _follow_board(self) -> None:
        self.board.wall_clock_s = int(time.time())
        self.gateway.follow_board()
        self.changes.tick(read_boottime_s())

    def deliver(self, event: object) -> None:
        """Hand a peer message or the result of an effect to the controllers.

        Args:
            event: The message or result.
        """
        self.node.handle(event)
        self.dispatch()

    def dispatch(self) -> None:
        """Carry out what the controllers want."""
        board = self.board
        while board.effects:
            effects, board.effects = board.effects, []
            for effect in effects:
                self.effects.run(effect)
        envelopes, board.outbox = board.outbox, []
        for envelope in envelopes:
            address = self._address_of(envelope.to_node)
            if address:
                self.transport.send(address, envelope.message)

    def _address_of(self, node_id: str) -> str:
        member = self.board.fleet.members_by_id.get(node_id)
        if member is not None:
            return member.address
        return self.settings.seeds_by_id.get(node_id, "")

    async def stop(self) -> None:
        """Drain, resign and close; nothing in flight is cut off within the limit."""
        log.info("draining", node=self.settings.node_id)
        self.board.draining = True
        limit_s = self.board.inventory.rules.drain_limit_s
        is_clean = await self.callers.drain(limit_s)
        if not is_clean:
            self.metrics.count("drain_cut_off")
            log.warning("drain limit reached", limit_s=limit_s)
        self.gateway.close()
        self.board.resigning = True
        await self._wait_for_resignation()
        for task in self._tasks:
            task.cancel()
        self.effects.close()
        for hook in reversed(self._on_stop):
            await hook()
        await self.store.close()
        self.metrics.close()
        log.info("stopped", node=self.settings.node_id)

    async def _wait_for_resignation(self) -> None:
        deadline_s = read_boottime_s() + RESIGN_LIMIT_S
        while self.board.is_member() and read_boottime_s() < deadline_s:
            await asyncio.sleep(RESIGN_POLL_S)

    async def _stop_transport(self) -> None:
        self.transport.close()


def make_tls_context(settings: Settings) -> ssl.SSLContext | None:
    """Return the context for listening with TLS.

    Args:
        settings: The process settings.

    Returns:
        The context, or None without a certificate.
    """
    if not settings.tls_certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
