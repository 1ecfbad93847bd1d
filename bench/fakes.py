"""Fakes at the interfaces of the controllers: platform, network, servers and time.

The controllers are the real ones.  Everything happens in simulated time and is
determined by a seed.  Guarantees are checked at the events that could violate them.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import SAMPLE_INTERVAL_S
from pollencleat.core.data import (
    Fleet,
    Inventory,
    Position,
    ServerStatus,
    TermStart,
    VmList,
)
from pollencleat.core.effects import (
    FenceServer,
    FleetUpdated,
    FollowPrimary,
    PlatformRead,
    PromoteServer,
    ReadPlatform,
    ReadServerStatus,
    ServerFenced,
    ServerPromoted,
    ServerStatusRead,
    UpdateFleet,
)
from pollencleat.core.errors import SessionHistoryLostError
from pollencleat.core.timers import TimerService
from pollencleat.daemon.node import Node
from pollencleat.inventory.parser import parse_inventory
from pollencleat.limits.shares import connections_allowed
from pollencleat.membership.permits import writable_term
from pollencleat.routing.freshness import record_status, record_status_failure
from pollencleat.routing.reads import ReadRequest, choose_replica
from pollencleat.routing.tokens import floor_position, is_history_lost, later_of

GROUP = "g"
SERVERS = ("sa", "sb", "sc")
DOMAIN_BY_SERVER = {"sa": "a", "sb": "b", "sc": "c"}
DOMAIN_BY_NODE = {"na": "a", "nb": "b", "nc": "c", "na2": "a"}
TICK_S = 0.05
SERVER_TIMEOUT_S = 0.5
PLATFORM_TIMEOUT_S = 2.0
REPLICATION_INTERVAL_S = 0.02
VM_LIST_LAG_S = 3.0
OUTAGE_LIMIT_S = 20
CONNECTION_LIMIT = 30
WRITE_TIMEOUT_S = 8.0
PLATFORM_LOCATION = "platform"


class GuaranteeViolationError(AssertionError):
    """A guarantee of the proxy was violated."""


@dataclass
class FakePlatform:
    """Linearizable objects with conditional updates.

    Attributes:
        lose_replies: Number of further updates whose replies are lost.
        update_count: Number of successful updates of the fleet state.
    """

    fleet: Fleet = field(default_factory=Fleet)
    inventory: Inventory = field(default_factory=Inventory)
    vms: VmList = field(default_factory=VmList)
    is_down: bool = False
    lose_replies: int = 0
    update_count: int = 0


@dataclass
class FakeServer:
    """A database server with a log of writes.

    Attributes:
        following: Id of the primary from which the server has replicated.
        ordered_primary_id: Id of the primary that the server was ordered to follow.
        lag_s: Time from the commit of an entry on the primary to its application here.
        entries: The log, as pairs of term and write id.
        apply_at_s: Time at which each entry is applied here.
        committed_at_s: Time at which each entry was committed on its primary.
    """

    server_id: str
    term: int = 0
    read_only: bool = True
    following: str = ""
    ordered_primary_id: str = ""
    lag_s: float = 0.01
    start_position: int = 0
    alive: bool = True
    paused: bool = False
    entries: list[tuple[int, int]] = field(default_factory=list)
    apply_at_s: list[float] = field(default_factory=list)
    committed_at_s: list[float] = field(default_factory=list)

    def status(self, now_s: float) -> ServerStatus:
        """Return what the server reports."""
        applied_count = self.applied_count(now_s)
        last_term = self.entries[-1][0] if self.entries else 0
        return ServerStatus(
            self.term,
            applied_count,
            len(self.entries),
            last_term,
            self.read_only,
            self.following,
        )

    def applied_count(self, now_s: float) -> int:
        """Return the number of applied entries."""
        applied_count = len(self.entries)
        while applied_count and self.apply_at_s[applied_count - 1] > now_s:
            applied_count -= 1
        return applied_count


@dataclass
class FakeNode:
    """One entry VM with the real controllers.

    Attributes:
        deferred_actions: Actions that arrived while the node was paused.
    """

    node_id: str
    board: Blackboard
    node: Node
    timers: TimerService
    alive: bool = True
    paused: bool = False
    deferred_actions: list[Callable[[], None]] = field(default_factory=list)
    sampled_at_s: float = -1e9


@dataclass
class FakeSession:
    """A client session that moves between nodes.

    Attributes:
        uses_token: Whether the session brings a token with its position; otherwise
            each read samples the primary's position.
        seen: Newest log position that the session has seen.
        acknowledged: Ids of its acknowledged writes.
        busy_until_s: Time at which the pending write times out; 0 if none is pending.
    """

    name: str
    uses_token: bool
    seen: Position | None = None
    acknowledged: set[int] = field(default_factory=set)
    busy_until_s: float = 0.0


class World:
    """All fakes, and the queue of scheduled actions."""

    def __init__(
        self,
        seed: int,
        mutation: str = "",
        mutate_node: Callable[["FakeNode"], None] | None = None,
    ) -> None:
        """Create three nodes and one group of three servers."""
        self.random = random.Random(seed)
        self.mutation = mutation
        self._mutate_node = mutate_node
        self.now_s = 1000.0
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self.platform = FakePlatform()
        self.servers = {name: FakeServer(name) for name in SERVERS}
        self.nodes: dict[str, FakeNode] = {}
        self.cuts: set[frozenset[str]] = set()
        self.cut_server_links: set[str] = set()
        self.loss_probability = 0.0
        self.highest_writable_term = 0
        self.write_ids = itertools.count(1)
        self.acknowledged_at_s: dict[int, float] = {}
        self.refused_write_ids: set[int] = set()
        self.event_counts: dict[str, int] = {}
        self._publish_inventory(1)
        for node_id in ("na", "nb", "nc"):
            self.start_node(node_id)
        self._schedule_repeatedly(REPLICATION_INTERVAL_S, self._replicate)
        self._schedule_repeatedly(1.0, self._refresh_vms)

    # Time.

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def _schedule_repeatedly(
        self, interval_s: float, action: Callable[[], None]
    ) -> None:
        def run() -> None:
            action()
            self.schedule(interval_s, run)

        self.schedule(interval_s, run)

    def advance(self, seconds: float) -> None:
        """Advance the time and run the actions that become due."""
        until_s = self.now_s + seconds
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._queue)
            self.now_s = max(self.now_s, at_s)
            action()
        self.now_s = until_s

    def count_event(self, name: str) -> None:
        """Count an event."""
        self.event_counts[name] = self.event_counts.get(name, 0) + 1

    def _delay(self) -> float:
        if self.random.random() < 0.03:
            return self.random.uniform(0.1, 1.5)
        return self.random.uniform(0.0005, 0.004)

    # Locations and network cuts.

    def _location(self, name: str) -> str:
        if name == PLATFORM_LOCATION:
            return name
        return DOMAIN_BY_NODE.get(name) or DOMAIN_BY_SERVER[name]

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether the network between two parties is cut.

        Args:
            first: Id of a node or server, or PLATFORM_LOCATION.
            second: The other party, likewise.
        """
        pair = frozenset({self._location(first), self._location(second)})
        return pair in self.cuts

    # Nodes.

    def start_node(self, node_id: str) -> None:
        """Start an entry VM with a new incarnation."""
        incarnation = f"{node_id}-{next(self._sequence)}"
        timers = TimerService(lambda: self.now_s)
        board = Blackboard(
            node_id,
            incarnation,
            DOMAIN_BY_NODE[node_id],
            node_id,
            "",
            random.Random(self.random.random()),
        )
        seeds = tuple(name for name in ("na", "nb", "nc") if name != node_id)
        node = FakeNode(node_id, board, Node(board, timers, seeds), timers)
        self.nodes[node_id] = node
        if self._mutate_node is not None:
            self._mutate_node(node)
        self._run_node(node)

    def _run_node(self, node: FakeNode) -> None:
        if not node.alive:
            return
        self.schedule(TICK_S, lambda: self._run_node(node))
        if node.paused:
            return
        node.timers.run_due()
        if self.now_s - node.sampled_at_s >= SAMPLE_INTERVAL_S:
            node.sampled_at_s = self.now_s
            for server_id in SERVERS:
                self.sample_server(node, server_id, lambda: None)
        self._dispatch(node)
        self._check_shares()

    def _dispatch(self, node: FakeNode) -> None:
        board = node.board
        while board.effects:
            effects, board.effects = board.effects, []
            for effect in effects:
                _effect_runners[type(effect)](self, node, effect)
        envelopes, board.outbox = board.outbox, []
        for envelope in envelopes:
            copies = 2 if self.random.random() < 0.02 else 1
            for _ in range(copies):
                self._send(node, envelope.to_node, envelope.message)

    def _send(self, sender: FakeNode, to_node: str, message: object) -> None:
        if self.random.random() < self.loss_probability:
            return

        def arrive() -> None:
            receiver = self.nodes.get(to_node)
            if receiver is None or not receiver.alive:
                return
            if self.is_cut(sender.node_id, to_node):
                return
            self._run_on_node(receiver, lambda: receiver.node.handle(message))

        self.schedule(self._delay(), arrive)

    def _run_on_node(self, node: FakeNode, action: Callable[[], None]) -> None:
        """Run an action in a node's process, once the node is not paused."""
        if not node.alive:
            return
        if node.paused:
            node.deferred_actions.append(action)
            return
        action()
        self._dispatch(node)

    def resume(self, node: FakeNode) -> None:
        """Resume a paused node; actions that arrived during the pause run first."""
        node.paused = False
        deferred_actions, node.deferred_actions = node.deferred_actions, []
        for action in deferred_actions:
            self._run_on_node(node, action)

    # The platform.

    def _publish_inventory(self, version: int) -> None:
        text = (
            f"[rules]\nseats = 5\noutage-limit-s = {OUTAGE_LIMIT_S}\n"
            f"[customer c]\nusers = u{version}\n"
            "[group g]\ndatabase = d\ncustomers = c\n"
        )
        for domain in ("a", "b", "c"):
            text += f"[failure-domain {domain}]\nregion = r\n"
        for port, server_id in enumerate(SERVERS, start=1):
            text += (
                f"[server {server_id}]\ngroup = g\naddress = h:{port}\n"
                f"failure-domain = {DOMAIN_BY_SERVER[server_id]}\n"
                f"slots = 2\nconnections = {CONNECTION_LIMIT}\n"
            )
        inventory = parse_inventory("simulated", text)
        self.platform.inventory = replace(inventory, version=version)

    def change_inventory(self) -> None:
        """Publish a new inventory version."""
        self._publish_inventory(self.platform.inventory.version + 1)

    def _refresh_vms(self) -> None:
        live = tuple(name for name, node in self.nodes.items() if node.alive)
        live += SERVERS

        def publish() -> None:
            vms = self.platform.vms
            if vms.live != live:
                self.platform.vms = replace(vms, version=vms.version + 1, live=live)

        self.schedule(VM_LIST_LAG_S, publish)

    def set_leaving(self, server_ids: tuple[str, ...]) -> None:
        """Mark servers as leaving in the VM list."""
        vms = self.platform.vms
        self.platform.vms = replace(vms, version=vms.version + 1, leaving=server_ids)

    def _reaches_platform(self, node: FakeNode) -> bool:
        if self.platform.is_down or not node.alive:
            return False
        return not self.is_cut(node.node_id, PLATFORM_LOCATION)

    def _read_platform(self, node: FakeNode, effect: ReadPlatform) -> None:
        sent_at_s = self.now_s

        def arrive() -> None:
            if not self._reaches_platform(node):
                return
            platform = self.platform
            objects = (platform.fleet, platform.inventory, platform.vms)

            def answer() -> None:
                if self.is_cut(node.node_id, PLATFORM_LOCATION):
                    return
                self._run_on_node(
                    node,
                    lambda: node.node.handle(PlatformRead(sent_at_s, *objects)),
                )

            self.schedule(self._delay(), answer)

        self.schedule(self._delay(), arrive)

    def _update_fleet(self, node: FakeNode, effect: UpdateFleet) -> None:
        results = []

        def finish(version: int | None) -> None:
            if results:
                return
            results.append(version)
            self._run_on_node(
                node, lambda: node.node.handle(FleetUpdated(effect, version))
            )

        def arrive() -> None:
            if not self._reaches_platform(node):
                return
            platform = self.platform
            version = 0
            if platform.fleet.version == effect.expected_version:
                version = platform.fleet.version + 1
                platform.fleet = replace(effect.fleet, version=version)
                platform.update_count += 1
            if platform.lose_replies:
                platform.lose_replies -= 1
                return
            self.schedule(self._delay(), lambda: finish(version))

        self.schedule(self._delay(), arrive)
        self.schedule(PLATFORM_TIMEOUT_S, lambda: finish(None))

    # Servers.

    def _reaches_server(self, node: FakeNode, server: FakeServer) -> bool:
        if not server.alive or server.paused:
            return False
        return not self.is_cut(node.node_id, server.server_id)

    def _call_server(
        self,
        node: FakeNode,
        server_id: str,
        command: Callable[[FakeServer], object],
        finish: Callable[[object], None],
    ) -> None:
        """Run a command on a server; finish gets None if there is no response."""
        server = self.servers[server_id]
        results = []

        def finish_once(value: object) -> None:
            if results:
                return
            results.append(value)
            self._run_on_node(node, lambda: finish(value))

        def arrive() -> None:
            if not self._reaches_server(node, server):
                return
            value = command(server)
            if not self.is_cut(node.node_id, server_id):
                self.schedule(self._delay(), lambda: finish_once(value))

        self.schedule(self._delay(), arrive)
        self.schedule(SERVER_TIMEOUT_S, lambda: finish_once(None))

    def sample_server(
        self, node: FakeNode, server_id: str, finish: Callable[[], None]
    ) -> None:
        """Read a server's status and record it on the blackboard."""
        sent_at_s = self.now_s

        def record(status: ServerStatus | None) -> None:
            server = self.servers[server_id]
            if status is None:
                refused = not server.alive and not self.is_cut(node.node_id, server_id)
                record_status_failure(node.board, server_id, refused, self.now_s)
            else:
                record_status(node.board, server_id, status, sent_at_s, self.now_s)
            finish()

        self._call_server(
            node, server_id, lambda server: server.status(self.now_s), record
        )

    def _fence(self, node: FakeNode, effect: FenceServer) -> None:
        def fence(server: FakeServer) -> ServerStatus | None:
            if effect.term < server.term:
                return None
            server.term = effect.term
            server.read_only = True
            return server.status(self.now_s)

        self._call_server(
            node,
            effect.server_id,
            fence,
            lambda status: node.node.handle(
                ServerFenced(effect.attempt_id, effect.server_id, status)
            ),
        )

    def _read_status(self, node: FakeNode, effect: ReadServerStatus) -> None:
        self._call_server(
            node,
            effect.server_id,
            lambda server: server.status(self.now_s),
            lambda status: node.node.handle(
                ServerStatusRead(effect.attempt_id, effect.server_id, status)
            ),
        )

    def _promote(self, node: FakeNode, effect: PromoteServer) -> None:
        def promote(server: FakeServer) -> int | None:
            if effect.term < server.term:
                return None
            if effect.term == server.term and not server.read_only:
                return server.start_position
            self._truncate(server, server.applied_count(self.now_s))
            server.term = effect.term
            server.read_only = False
            server.following = server.ordered_primary_id = ""
            server.start_position = len(server.entries)
            self.highest_writable_term = max(self.highest_writable_term, effect.term)
            self.count_event("promotions")
            return server.start_position

        self._call_server(
            node,
            effect.server_id,
            promote,
            lambda start: node.node.handle(
                ServerPromoted(
                    effect.attempt_id,
                    effect.server_id,
                    None if start is None else TermStart(effect.term, start),
                )
            ),
        )

    def _follow(self, node: FakeNode, effect: FollowPrimary) -> None:
        def follow(server: FakeServer) -> bool:
            if effect.term < server.term:
                return False
            server.term = effect.term
            server.read_only = True
            if server.ordered_primary_id != effect.primary_id:
                server.ordered_primary_id = effect.primary_id
                server.following = ""
            return True

        self._call_server(node, effect.server_id, follow, lambda value: None)

    def _truncate(self, server: FakeServer, length: int) -> None:
        del server.entries[length:]
        del server.apply_at_s[length:]
        del server.committed_at_s[length:]

    def _replicate(self) -> None:
        for server in self.servers.values():
            source = self.servers.get(server.ordered_primary_id)
            if source is None or not server.alive or not source.alive:
                continue
            if server.paused or source.paused:
                continue
            if self.is_cut(server.server_id, source.server_id):
                continue
            if source.server_id in self.cut_server_links:
                continue
            self._pull(server, source)

    def _pull(self, server: FakeServer, source: FakeServer) -> None:
        common_length = 0
        for own, other in zip(server.entries, source.entries, strict=False):
            if own != other:
                break
            common_length += 1
        self._truncate(server, common_length)
        applied_count = source.applied_count(self.now_s)
        for index in range(common_length, applied_count):
            committed_at_s = source.committed_at_s[index]
            apply_at_s = max(self.now_s, committed_at_s + server.lag_s)
            if server.apply_at_s:
                apply_at_s = max(apply_at_s, server.apply_at_s[-1])
            server.entries.append(source.entries[index])
            server.apply_at_s.append(apply_at_s)
            server.committed_at_s.append(committed_at_s)
        server.following = server.ordered_primary_id

    def kill_server(self, server_id: str) -> None:
        """Kill a server, which loses all its data."""
        self.servers[server_id] = FakeServer(server_id, alive=False)

    # Client sessions.

    def write(self, session: FakeSession, node_id: str) -> None:
        """Send a write; the permit is checked before sending and acknowledging it."""
        node = self.nodes[node_id]
        if not node.alive or node.paused or self.now_s < session.busy_until_s:
            return
        write_id = next(self.write_ids)
        term = writable_term(node.board, GROUP, self.now_s)
        if term is None:
            self.refused_write_ids.add(write_id)
            self.count_event("writes refused")
            return
        if session.seen is not None and is_history_lost(term, session.seen):
            self._report_lost_writes(session)
            return
        session.busy_until_s = self.now_s + WRITE_TIMEOUT_S
        server = self.servers[term.primary]

        def arrive() -> None:
            if not self._reaches_server(node, server):
                return
            is_open = server.term == term.term and not server.read_only
            if not is_open or self.servers[server.server_id] is not server:
                self.refused_write_ids.add(write_id)
                return
            server.entries.append((term.term, write_id))
            server.apply_at_s.append(self.now_s)
            server.committed_at_s.append(self.now_s)
            position = len(server.entries)
            self.schedule(
                self._delay(),
                lambda: self._run_on_node(
                    node,
                    lambda: self._acknowledge(node, session, write_id, term, position),
                ),
            )

        self.schedule(self._delay(), arrive)

    def _report_lost_writes(self, session: FakeSession) -> None:
        session.seen = None
        session.acknowledged.clear()
        self.count_event("sessions informed of lost writes")

    def _acknowledge(self, node, session, write_id, term, position) -> None:
        if self.now_s >= session.busy_until_s:
            return
        session.busy_until_s = 0.0
        current = writable_term(node.board, GROUP, self.now_s)
        is_permitted = current is not None and current.term == term.term
        if not is_permitted and self.mutation != "skip the check at acknowledgement":
            self.count_event("acknowledgements withheld")
            return
        if self.highest_writable_term > term.term:
            raise GuaranteeViolationError(
                f"{node.node_id} acknowledged write {write_id} of term {term.term} "
                f"after a server was made writable in term {self.highest_writable_term}"
            )
        self.count_event("writes acknowledged")
        self.acknowledged_at_s[write_id] = self.now_s
        session.acknowledged.add(write_id)
        session.seen = later_of(session.seen, Position(term.term, position))

    def read(self, session: FakeSession, node_id: str, max_age_s: float) -> None:
        """Read through a node, with or without a token."""
        node = self.nodes[node_id]
        if not node.alive or node.paused or self.now_s < session.busy_until_s:
            return
        if session.uses_token:
            self._read_with_floor(session, node, session.seen, max_age_s)
            return
        term = writable_term(node.board, GROUP, self.now_s)
        if term is None:
            return
        requested_at_s = self.now_s

        def continue_read() -> None:
            current = writable_term(node.board, GROUP, self.now_s)
            samples = node.board.primary_samples_by_group.get(GROUP)
            if current is None or current.term != term.term or samples is None:
                return
            if samples.term != term.term or not samples.sent_at_s:
                return
            if samples.sent_at_s[-1] < requested_at_s:
                return
            seen = Position(term.term, samples.positions[-1])
            self._read_with_floor(session, node, seen, max_age_s)

        self.sample_server(node, term.primary, continue_read)

    def _read_with_floor(self, session, node, seen, max_age_s) -> None:
        board = node.board
        term = board.group_term(GROUP)
        if term is None or (seen is not None and term.term < seen.term):
            return
        floor = 0
        if seen is not None:
            try:
                floor = floor_position(term, seen)
            except SessionHistoryLostError:
                self._report_lost_writes(session)
                return
        request = ReadRequest(GROUP, floor, max_age_s)
        if self.mutation == "trust a stale position":
            request = ReadRequest(GROUP, 0, max_age_s)
        server_id = choose_replica(board, request, {}, self.now_s)
        from_primary = False
        if server_id is None:
            current = writable_term(board, GROUP, self.now_s)
            if current is None:
                self.count_event("reads refused")
                return
            server_id = current.primary
            from_primary = True
        expected = set(session.acknowledged)
        began_at_s = self.now_s

        def read_entries(server: FakeServer) -> list[tuple[int, int]] | None:
            if from_primary and server.read_only:
                return None
            return server.entries[: server.applied_count(self.now_s)]

        def check(entries) -> None:
            if entries is None:
                return
            if from_primary:
                current = writable_term(board, GROUP, self.now_s)
                if current is None or current.term != term.term:
                    return
            self._check_read(session, entries, expected, began_at_s, max_age_s)
            self.count_event(
                "reads from primary" if from_primary else "reads from replicas"
            )

        self._call_server(node, server_id, read_entries, check)

    def _check_read(self, session, entries, expected, began_at_s, max_age_s) -> None:
        visible = {write_id for _, write_id in entries}
        surviving = {write_id for _, write_id in self.history()}
        for write_id in expected & surviving:
            if write_id not in visible:
                raise GuaranteeViolationError(
                    f"session {session.name} does not see its write {write_id}"
                )
        missing = expected - visible
        if session.uses_token and missing & session.acknowledged:
            raise GuaranteeViolationError(
                f"session {session.name} lost writes {missing} without being informed"
            )
        for write_id in surviving - visible:
            age_s = began_at_s - self.acknowledged_at_s.get(write_id, self.now_s)
            if age_s > max_age_s + 1e-6:
                raise GuaranteeViolationError(
                    f"write {write_id} is {age_s:.3f} s old and missing from a read "
                    f"that allows {max_age_s:.3f} s"
                )

    def history(self) -> list[tuple[int, int]]:
        """Return the log entries of the writable server with the newest term."""
        writable = [
            server
            for server in self.servers.values()
            if server.alive and not server.read_only
        ]
        if not writable:
            return []
        return max(writable, key=lambda server: server.term).entries

    # Guarantees that concern no single response.

    def _check_shares(self) -> None:
        for server_id in SERVERS:
            total = sum(
                connections_allowed(node.board, server_id)
                for node in self.nodes.values()
                if node.alive
            )
            if total > CONNECTION_LIMIT:
                raise GuaranteeViolationError(
                    f"{total} connections allowed to {server_id}"
                )

    def check_history(self) -> None:
        """Check that no refused write was executed, and no write twice."""
        for server in self.servers.values():
            ids = [write_id for _, write_id in server.entries]
            if len(set(ids)) != len(ids):
                raise GuaranteeViolationError(
                    f"a write was executed twice on {server.server_id}"
                )
            if set(ids) & self.refused_write_ids:
                raise GuaranteeViolationError("a refused write was executed")

    def heal(self) -> None:
        """Remove all faults."""
        self.cuts.clear()
        self.cut_server_links.clear()
        self.loss_probability = 0.0
        self.platform.is_down = False
        self.platform.lose_replies = 0
        self.set_leaving(())
        for server in self.servers.values():
            server.alive = True
            server.paused = False
            server.lag_s = 0.01
        for node_id, node in list(self.nodes.items()):
            if not node.alive:
                self.start_node(node_id)
            elif node.paused:
                self.resume(node)


_effect_runners = {
    ReadPlatform: World._read_platform,
    UpdateFleet: World._update_fleet,
    FenceServer: World._fence,
    ReadServerStatus: World._read_status,
    PromoteServer: World._promote,
    FollowPrimary: World._follow,
}
