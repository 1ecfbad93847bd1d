"""Parts that both applications share: controllers, timers, peers and effects."""

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.effects import ReadPlatform
from pollencleat.core.faults import ErrorRecorder
from pollencleat.core.messages import PeerMessage
from pollencleat.core.ports import PlatformStore, ServerOrders
from pollencleat.core.timers import TimerService, read_boottime_s
from pollencleat.daemon.adapters import EffectRunner
from pollencleat.daemon.node import Node
from pollencleat.peers.transport import CurveKeys, PeerTransport
from pollencleat.reports.changes import ChangeLog
from pollencleat.reports.metrics import Metrics

RESIGN_POLL_S = 0.02
"""Interval at which a resigning node checks whether it has left the fleet."""


class NodeRuntime:
    """One node's controllers, connected to the network."""

    def __init__(
        self, node_id: str, failure_domain: str, seeds_by_id: dict[str, str]
    ) -> None:
        """Create the node; connect must be called before it is started."""
        self.metrics = Metrics(node_id)
        self.faults = ErrorRecorder(
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
        self.change_log = ChangeLog(self.board)
        self.seeds_by_id = seeds_by_id
        self.effects: EffectRunner | None = None
        self.transport: PeerTransport | None = None
        self.tasks: list[asyncio.Task] = []
        self.stop_hooks: list[Callable[[], Awaitable[None]]] = []
        self.handlers_by_type: dict[type, Callable[[object], None]] = {}

    def connect(
        self,
        store: PlatformStore,
        orders: ServerOrders,
        keys: CurveKeys,
        is_known_key: Callable[[bytes], bool] | None = None,
    ) -> None:
        """Connect the controllers to the platform, the backend servers and the peers.

        Args:
            store: Store of the fleet state and the inventory.
            orders: Sends orders to backend servers.
            keys: This node's CURVE keys for peer messages.
            is_known_key: Returns whether a public key belongs to a peer; None if all
                nodes share one key.
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
        """Read the fleet state; an unknown key may belong to a new member."""
        self.board.effects.append(ReadPlatform(read_boottime_s()))
        self.dispatch()

    async def wait_for_failure(self) -> None:
        """Wait until the controllers fail, which ends the process.

        Raises:
            Exception: The failure; a node without controllers must not go on.
        """
        await self.tasks[0]

    def start_controllers(self) -> None:
        """Start the task that runs the timers of the controllers."""
        self.tasks.insert(
            0, asyncio.create_task(self.timers.run_forever(self.dispatch))
        )

    def deliver(self, event: object) -> None:
        """Pass a peer message or the result of an effect to its handler.

        Args:
            event: The message or result; the controllers handle types that are not in
                handlers_by_type.
        """
        handler = self.handlers_by_type.get(type(event))
        if handler is not None:
            handler(event)
            return
        self.node.handle(event)
        self.dispatch()

    def send_to(self, node_id: str, message: PeerMessage) -> bool:
        """Send a message to a member or seed without waiting for dispatch.

        Args:
            node_id: The member or seed.
            message: The message.

        Returns:
            False if the message was dropped, or if the address is unknown.
        """
        address, key = self._find_address_and_key(node_id)
        return bool(address) and self.transport.send(address, message, key)

    def dispatch(self) -> None:
        """Run the effects and send the messages that the controllers produced."""
        board = self.board
        while board.effects:
            effects, board.effects = board.effects, []
            for effect in effects:
                self.effects.run(effect)
        envelopes, board.outbox = board.outbox, []
        for envelope in envelopes:
            try:
                self.send_to(envelope.to_node, envelope.message)
            except Exception as error:
                # One message that cannot be sent must not hold up the others.
                self.faults.record(f"sending {type(envelope.message).__name__}", error)

    def _find_address_and_key(self, node_id: str) -> tuple[str, str]:
        member = self.board.fleet.members_by_id.get(node_id)
        if member is not None:
            return member.address, member.public_key
        return self.seeds_by_id.get(node_id, ""), ""

    async def resign(self, limit_s: float) -> None:
        """Leave the fleet, so that other nodes do not wait for this one.

        Args:
            limit_s: Longest wait in seconds; a node that is still a member then is
                removed when the others detect its failure.
        """
        self.board.resigning = True
        deadline_s = read_boottime_s() + limit_s
        while self.board.is_member() and read_boottime_s() < deadline_s:
            await asyncio.sleep(RESIGN_POLL_S)

    async def close_runtime(self) -> None:
        """Stop the controllers and run the stop hooks in reverse order."""
        for task in self.tasks:
            task.cancel()
        self.effects.close()
        for hook in reversed(self.stop_hooks):
            await hook()
