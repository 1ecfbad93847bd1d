"""What every kind of daemon shares: controllers, timers, peers and effects."""

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.effects import ReadPlatform
from pollencleat.core.faults import FaultLog
from pollencleat.core.messages import PeerMessage
from pollencleat.core.ports import PlatformStore, ServerOrders
from pollencleat.core.timers import TimerService, read_boottime_s
from pollencleat.daemon.adapters import EffectRunner
from pollencleat.daemon.node import Node
from pollencleat.peers.transport import CurveKeys, PeerTransport
from pollencleat.reports.changes import ChangeLog
from pollencleat.reports.metrics import Metrics

RESIGN_POLL_S = 0.02
"""Seconds between two looks at whether the resignation was accepted."""


class NodeRuntime:
    """One node's controllers, connected to the network."""

    def __init__(
        self, node_id: str, failure_domain: str, seeds_by_id: dict[str, str]
    ) -> None:
        """Create the node; connect gives it its ports."""
        self.metrics = Metrics(node_id)
        self.faults = FaultLog(
            lambda part: self.metrics.count("unexpected_error", part)
        )
        self.timers = TimerService(read_boottime_s, self.faults)
        self.board = Blackboard(
            node_id,
            secrets.token_hex(8),
            failure_domain,
            "",
            "",
            random.Random(secrets.randbits(64)),
        )
        self.node = Node(self.board, self.timers, tuple(seeds_by_id))
        self.changes = ChangeLog(self.board)
        self.seeds_by_id = seeds_by_id
        self.effects: EffectRunner | None = None
        self.transport: PeerTransport | None = None
        self.tasks: list[asyncio.Task] = []
        self.on_stop: list[Callable[[], Awaitable[None]]] = []
        self.handlers_by_type: dict[type, Callable[[object], None]] = {}

    def connect(
        self,
        store: PlatformStore,
        orders: ServerOrders,
        keys: CurveKeys,
        is_known_key: Callable[[bytes], bool] | None = None,
    ) -> None:
        """Connect the controllers to their ports.

        Args:
            store: The platform's store.
            orders: Orders to servers.
            keys: This node's keys for peer messages.
            is_known_key: Tells the keys of peers, if each has its own.
        """
        self.effects = EffectRunner(
            self.board,
            self.deliver,
            store,
            orders,
            self.metrics,
            read_boottime_s,
            self.faults,
        )
        self.transport = PeerTransport(
            keys,
            self.deliver,
            read_boottime_s,
            lambda: self.metrics.count("peer_message_malformed"),
            is_known_key,
            self._read_platform_now,
            self.faults,
        )

    def _read_platform_now(self) -> None:
        """Learn of a peer that registered a moment ago."""
        self.board.effects.append(ReadPlatform(read_boottime_s()))
        self.dispatch()

    async def wait_for_failure(self) -> None:
        """Wait until a controller fails, which ends the process.

        Raises:
            Exception: The failure; a node that cannot decide must not go on.
        """
        await self.tasks[0]

    def start_controllers(self) -> None:
        """Let time pass for the controllers, from now on."""
        self.tasks.insert(
            0, asyncio.create_task(self.timers.run_forever(self.dispatch))
        )

    def deliver(self, event: object) -> None:
        """Hand a peer message or the result of an effect to whom it concerns.

        Args:
            event: The message or result; the controllers get what no handler takes.
        """
        handler = self.handlers_by_type.get(type(event))
        if handler is not None:
            handler(event)
            return
        self.node.handle(event)
        self.dispatch()

    def send_to(self, node_id: str, message: PeerMessage) -> bool:
        """Send a message to a member at once.

        Args:
            node_id: The member.
            message: What to send.

        Returns:
            False if it was dropped, or if there is no such member.
        """
        address, key = self._address_of(node_id)
        return bool(address) and self.transport.send(address, message, key)

    def dispatch(self) -> None:
        """Carry out what the controllers want."""
        board = self.board
        while board.effects:
            effects, board.effects = board.effects, []
            for effect in effects:
                self.effects.run(effect)
        envelopes, board.outbox = board.outbox, []
        for envelope in envelopes:
            address, key = self._address_of(envelope.to_node)
            if address:
                self.transport.send(address, envelope.message, key)

    def _address_of(self, node_id: str) -> tuple[str, str]:
        member = self.board.fleet.members_by_id.get(node_id)
        if member is not None:
            return member.address, member.public_key
        return self.seeds_by_id.get(node_id, ""), ""

    async def resign(self, limit_s: float) -> None:
        """Leave the fleet, so that nobody has to wait for this node.

        Args:
            limit_s: Longest wait in seconds; without an answer the others find out.
        """
        self.board.resigning = True
        deadline_s = read_boottime_s() + limit_s
        while self.board.is_member() and read_boottime_s() < deadline_s:
            await asyncio.sleep(RESIGN_POLL_S)

    async def close_runtime(self) -> None:
        """Stop the controllers and run the stop hooks, the newest first."""
        for task in self.tasks:
            task.cancel()
        self.effects.close()
        for hook in reversed(self.on_stop):
            await hook()
