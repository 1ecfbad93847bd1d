"""What one node knows and wants.

Controllers are plain synchronous objects: they read the blackboard, change it and
append effects, which adapters carry out.  No controller does I/O, so each can be driven
by tests with simulated time.
"""

import bisect
import random
from collections import deque
from dataclasses import dataclass, field

from pollencleat.core.bounds import AcknowledgedBounds
from pollencleat.core.data import (
    Fleet,
    GroupTerm,
    Inventory,
    Position,
    ServerStatus,
    VmList,
    with_registered_servers,
)
from pollencleat.core.effects import Effect
from pollencleat.core.index import FleetIndex, make_fleet_index
from pollencleat.core.messages import (
    Envelope,
    PeerMessage,
    SeenPosition,
    Versions,
    WritesEnded,
)

PRIMARY_SAMPLES_KEPT = 256
"""Position samples of a primary that are kept for bounding the age of replicas."""


@dataclass(slots=True)
class PeerView:
    """What is known of another entry VM, in the local clock's seconds.

    Attributes:
        promised_at_s: Lower bound of the time at which the peer's newest promise was
            given.
        their_sent_at_s: The peer's clock in its newest heartbeat, to be echoed.
    """

    incarnation: str = ""
    heard_at_s: float = -1e9
    promised_at_s: float = -1e9
    their_sent_at_s: float | None = None


@dataclass(slots=True)
class DomainView:
    """The newest promise of all members of a failure domain."""

    members_key: int = 0
    promised_at_s: float = -1e9


@dataclass(slots=True)
class ServerView:
    """What is known of a backend server, in the local clock's seconds.

    Attributes:
        status: Newest answer, or None.
        status_sent_at_s: When the question to that answer was sent.
        fresh_as_of_s: The server has everything that its primary had at this time.
        refused_at_s: When the newest connection was refused; cleared by an answer.
        applied: Position in the newest answer to ordinary traffic, if it told one.
        is_tracked: Every request to the server is noted; otherwise it is sampled.
        open_requests: Requests that were sent and have neither an answer nor an end.
        owing_since_s: Since when the server has owed an answer and given none, or None.
        doubted_at_s: When the server may last have started again without notice: an
            answer was missing, or no connection was left.
        avoid_until_s: A gateway left a read there unanswered; it is not used until
            then, which says nothing of the server's loss.
        avoid_s: How long it was avoided the last time; 0 after an answer.
        led_in: Agreed term in which it last accepted what only a primary does, and
            when that was sent.
    """

    status: ServerStatus | None = None
    status_sent_at_s: float = -1e9
    answered_at_s: float = -1e9
    fresh_as_of_s: float = -1e9
    refused_at_s: float | None = None
    applied: Position | None = None
    is_tracked: bool = False
    open_requests: int = 0
    owing_since_s: float | None = None
    doubted_at_s: float = -1e9
    avoid_until_s: float = -1e9
    avoid_s: float = 0.0
    led_in: tuple[int, float] = (0, -1e9)

    def note_request(self, now_s: float) -> None:
        """Take in that a request was sent."""
        self.is_tracked = True
        self.open_requests += 1
        if self.owing_since_s is None:
            self.owing_since_s = now_s

    def note_request_ended(self, now_s: float, is_answered: bool) -> None:
        """Take in that a request was answered, or that its answer was given up.

        After an answer, silence counts from now on if others are still open; a request
        that was given up leaves the server owing.
        """
        self.open_requests -= 1
        if not is_answered:
            return
        self.answered_at_s = now_s
        self.refused_at_s = None
        self.owing_since_s = now_s if self.open_requests else None

    def owes_for_s(self, now_s: float) -> float:
        """Return for how long an open request has gone without any answer."""
        return 0.0 if self.owing_since_s is None else now_s - self.owing_since_s


@dataclass(slots=True)
class PrimarySamples:
    """Positions of one term's primary over time, both ascending."""

    term: int = 0
    sent_at_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=PRIMARY_SAMPLES_KEPT)
    )
    positions: deque[int] = field(
        default_factory=lambda: deque(maxlen=PRIMARY_SAMPLES_KEPT)
    )

    def add(self, term: int, sent_at_s: float, position: int) -> None:
        """Add a sample; a new term starts over.

        Args:
            term: The primary's term.
            sent_at_s: When the question was sent.
            position: The position that was answered.
        """
        if term != self.term:
            self.term = term
            self.sent_at_s.clear()
            self.positions.clear()
        if self.sent_at_s and sent_at_s <= self.sent_at_s[-1]:
            return
        self.sent_at_s.append(sent_at_s)
        self.positions.append(position)

    def time_covered_by(self, position: int) -> float | None:
        """Return the newest time at which the primary had nothing beyond a position.

        Args:
            position: A replica's applied position.

        Returns:
            Seconds of the local clock, or None if no sample is that old.
        """
        index = bisect.bisect_right(self.positions, position)
        if index == 0:
            return None
        return self.sent_at_s[index - 1]


@dataclass
class Blackboard:
    """All state of one node's controllers.

    Attributes:
        inventory: What is in force here: the declaration with registered servers.
        declared: The newest declaration, as operators accepted it.
        ended_by_group: Groups that nobody writes to while a primary is being replaced.
        public_key: This node's own key for peer messages, or empty.
        fresh_at_s: The fleet state was the platform's newest when a read was sent at
            this local time.
        outage_limit_s: The inventory's outage limit when fresh_at_s was last moved; a
            later change must not lengthen an outage that already runs.
        registered_at_s: When this node first saw itself as a member.
        promised_until_s: No server may be made a primary by this node before.
        primary_seen_at_s: When this node learned of a group's current primary.
        wall_clock_s: Unix time for audit entries; never used for a decision.
        promoting: Promises are withheld while a promotion may be under way.
        tracks_requests: Every request to a server is noted, so that a server of which
            nothing is known has not been asked; otherwise all servers are sampled.
    """

    node_id: str
    incarnation: str
    failure_domain: str
    address: str
    admin_address: str
    random: random.Random
    fleet: Fleet = field(default_factory=Fleet)
    inventory: Inventory = field(default_factory=Inventory)
    declared: Inventory = field(default_factory=Inventory)
    vms: VmList = field(default_factory=VmList)
    fresh_at_s: float = -1e9
    read_answered_at_s: float = -1e9
    outage_limit_s: float = 0.0
    registered_at_s: float | None = None
    promised_until_s: float = -1e9
    promoting: bool = False
    tracks_requests: bool = False
    resigning: bool = False
    draining: bool = False
    peers_by_id: dict[str, PeerView] = field(default_factory=dict)
    domains_by_id: dict[str, DomainView] = field(default_factory=dict)
    servers_by_id: dict[str, ServerView] = field(default_factory=dict)
    primary_samples_by_group: dict[str, PrimarySamples] = field(default_factory=dict)
    bounds_by_group: dict[str, AcknowledgedBounds] = field(default_factory=dict)
    outbox: list[Envelope] = field(default_factory=list)
    wall_clock_s: int = 0
    effects: list[Effect] = field(default_factory=list)
    public_key: str = ""
    ended_by_group: dict[str, WritesEnded] = field(default_factory=dict)
    primary_seen_at_s: dict[str, float] = field(default_factory=dict)
    removed_seen_at_s: dict[str, float] = field(default_factory=dict)
    member_seen_at_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin without an index."""
        self._indexed_fleet: Fleet | None = None
        self._index = make_fleet_index(self.fleet)

    def send(self, to_node: str, message: PeerMessage) -> None:
        """Queue a message to a peer.

        Args:
            to_node: The receiver's node id.
            message: What to send.
        """
        self.outbox.append(Envelope(to_node, message))

    def versions(self) -> Versions:
        """Return the versions of the objects that this node knows.

        Returns:
            Versions of fleet, inventory and VM list.
        """
        return Versions(self.fleet.version, self.declared.version, self.vms.version)

    def index(self) -> FleetIndex:
        """Return what is derived from the known fleet, computed once for each state.

        Returns:
            Order and digests of the members.
        """
        if self._indexed_fleet is not self.fleet:
            self._index = make_fleet_index(self.fleet)
            self._indexed_fleet = self.fleet
        return self._index

    def is_member(self) -> bool:
        """Return whether this run of the process is registered.

        Returns:
            True if the known fleet names this incarnation.
        """
        member = self.fleet.members_by_id.get(self.node_id)
        return member is not None and member.incarnation == self.incarnation

    def group_term(self, group_id: str) -> GroupTerm | None:
        """Return the agreed primary of a group.

        Args:
            group_id: A declared group.

        Returns:
            The term record, or None before the first.
        """
        return self.fleet.terms_by_group.get(group_id)

    def server(self, server_id: str) -> ServerView:
        """Return the view of a server, created empty when missing.

        Args:
            server_id: A declared server.

        Returns:
            The mutable view.
        """
        view = self.servers_by_id.get(server_id)
        if view is None:
            view = ServerView(is_tracked=self.tracks_requests)
            self.servers_by_id[server_id] = view
        return view

    def seen_positions(self, now_s: float) -> dict[str, SeenPosition]:
        """Return what primaries told this node of their logs.

        Args:
            now_s: Local time.

        Returns:
            The highest position of each group and the age of the newest answer.
        """
        return {
            group_id: SeenPosition(bounds.highest, now_s - bounds.newest_sent_at_s)
            for group_id, bounds in self.bounds_by_group.items()
            if bounds.highest is not None
        }

    def note_fresh(self, sent_at_s: float) -> None:
        """Take in that the fleet state was the newest when a read was sent.

        While a primary is being replaced, and nobody writes, that also shows that
        nothing was acknowledged beyond the position at which the writes ended.

        Args:
            sent_at_s: Local time at which the read was sent.
        """
        self.fresh_at_s = sent_at_s
        self.outage_limit_s = self.inventory.rules.outage_limit_s
        for group_id, ended in self.ended_by_group.items():
            term = self.group_term(group_id)
            if term is None or term.term != ended.term or term.primary:
                continue
            bounds = self.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
            bounds.add(term.term, sent_at_s, ended.position)

    def adopt_fleet(self, fleet: Fleet, now_s: float) -> bool:
        """Take over a fleet state if it is newer.

        Args:
            fleet: A state as read from the platform or told by a peer.
            now_s: Local time.

        Returns:
            True if it was newer.
        """
        if fleet.version <= self.fleet.version:
            return False
        for group_id, term in fleet.terms_by_group.items():
            known = self.fleet.terms_by_group.get(group_id)
            if known is None or (known.term, known.primary) != (
                term.term,
                term.primary,
            ):
                self.primary_seen_at_s[group_id] = now_s
        self.fleet = fleet
        for incarnation in fleet.removed_by_incarnation:
            self.removed_seen_at_s.setdefault(incarnation, now_s)
        for member in fleet.members_by_id.values():
            self.member_seen_at_s.setdefault(member.incarnation, now_s)
        if self.registered_at_s is None and self.is_member():
            self.registered_at_s = now_s
        return True

    def adopt_inventory(self, inventory: Inventory) -> bool:
        """Take over an inventory if it is newer.

        Args:
            inventory: An accepted inventory.

        Returns:
            True if it was newer.
        """
        if inventory.version <= self.declared.version:
            return False
        self.declared = inventory
        self.inventory = with_registered_servers(inventory, self.vms)
        return True

    def adopt_vms(self, vms: VmList) -> bool:
        """Take over a VM list if it is newer.

        Args:
            vms: A list of the platform.

        Returns:
            True if it was newer.
        """
        if vms.version <= self.vms.version:
            return False
        self.vms = vms
        self.inventory = with_registered_servers(self.declared, vms)
        return True
