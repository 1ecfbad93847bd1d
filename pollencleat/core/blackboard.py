"""The state that the controllers of one node share.

Controllers are synchronous objects: they read and update the blackboard and append
effects to it, which adapters carry out.  No controller does I/O, so tests can drive
each of them with simulated time.
"""

import bisect
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import structlog

from pollencleat.core.bounds import AcknowledgedBounds, is_before, log_end_of
from pollencleat.core.data import (
    Fleet,
    GroupTerm,
    Inventory,
    Position,
    ServerLog,
    ServerStatus,
    VmList,
    with_lapsed_servers,
    with_registered_servers,
)
from pollencleat.core.effects import Effect, FleetUpdated
from pollencleat.core.index import FleetIndex, make_fleet_index
from pollencleat.core.messages import (
    Envelope,
    PeerMessage,
    SeenPosition,
    Versions,
    WritesEnded,
)
from pollencleat.core.versions import era_of, format_version

log = structlog.get_logger()

MAX_PRIMARY_SAMPLES = 256
"""Position samples kept for each primary to bound the staleness of its replicas."""


@dataclass(slots=True)
class PeerView:
    """State of another entry VM; times are seconds of the local clock.

    Attributes:
        last_heartbeat_at_s: When the peer's latest heartbeat arrived.
        promised_at_s: Earliest time at which the peer can have given its latest
            promise to make no server a primary.
        peer_sent_at_s: Send time in the peer's latest heartbeat, on the peer's clock;
            echoed back to it.  None before the first heartbeat.
    """

    incarnation: str = ""
    last_heartbeat_at_s: float = -1e9
    promised_at_s: float = -1e9
    peer_sent_at_s: float | None = None


@dataclass(slots=True)
class DomainView:
    """The latest promise that covers all members of a failure domain.

    Attributes:
        members_key: Digest of the members that the promise covers.
        promised_at_s: Earliest time, on the local clock, at which it can have been
            given.
    """

    members_key: int = 0
    promised_at_s: float = -1e9


@dataclass(slots=True)
class ServerView:
    """State of a backend server as seen by this node.

    Times and durations are seconds of the local clock.

    Attributes:
        status: Latest status report of the server, or None.
        status_sent_at_s: When the request for that status report was sent.
        answered_at_s: When the server last answered a request.
        fresh_as_of_s: The server has applied everything that was in its primary's log
            at this time.
        refused_at_s: When the server last refused a connection; None once it has
            answered again.
        applied: Log position in the latest statement reply that carried one.
        applied_sent_at_s: When the request of that reply was sent.
        highest_reported: Highest log position that the latest reports have shown at a
            call of note_reports; a lower report shows that the server was rolled back,
            or that it has restarted without its log.
        tracks_requests: Every request to the server is recorded, so that the time
            without an answer is exact; otherwise the server's position is sampled.
        open_requests: Requests that are neither answered nor abandoned.
        unanswered_since_s: Since when the server has left requests unanswered: the time
            of the first such request, or of the last answer if requests were still open
            then.  None if no answer is outstanding.
        restart_suspected_at_s: Latest time at which the server may have restarted
            unnoticed: a request got no answer, or no connection to it was left.
        backoff_until_s: Reads go to other servers until this time, after a read through
            a gateway got no answer.  This does not count as a failure of the server.
        backoff_s: Length of the latest such backoff; 0 after an answer.
        primary_confirmed_in: Agreed term in which the server last accepted a request
            that only a primary accepts, and when that request was sent.
    """

    status: ServerStatus | None = None
    status_sent_at_s: float = -1e9
    answered_at_s: float = -1e9
    fresh_as_of_s: float = -1e9
    refused_at_s: float | None = None
    applied: Position | None = None
    applied_sent_at_s: float = -1e9
    highest_reported: Position | None = None
    tracks_requests: bool = False
    open_requests: int = 0
    unanswered_since_s: float | None = None
    restart_suspected_at_s: float = -1e9
    backoff_until_s: float = -1e9
    backoff_s: float = 0.0
    primary_confirmed_in: tuple[int, float] = (0, -1e9)

    def note_reports(self) -> Position | None:
        """Note the log position in the latest reports, if it is the highest so far.

        Returns:
            The highest position; None if the server has reported none.
        """
        reported = [] if self.status is None else [log_end_of(self.status)]
        for position in (*reported, self.applied):
            if position is None:
                continue
            if self.highest_reported is None or is_before(
                self.highest_reported, position
            ):
                self.highest_reported = position
        return self.highest_reported

    def record_request(self, now_s: float) -> None:
        """Record that a request was sent to the server."""
        self.tracks_requests = True
        self.open_requests += 1
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def record_request_ended(self, now_s: float, is_answered: bool) -> None:
        """Record that a request was answered or abandoned.

        After an answer, the unanswered time starts again at now_s if other requests
        are open.  An abandoned request leaves the unanswered time running.
        """
        self.open_requests -= 1
        if not is_answered:
            return
        self.answered_at_s = now_s
        self.refused_at_s = None
        self.unanswered_since_s = now_s if self.open_requests else None

    def unanswered_for_s(self, now_s: float) -> float:
        """Return for how many seconds requests have gone without any answer."""
        return (
            0.0 if self.unanswered_since_s is None else now_s - self.unanswered_since_s
        )


@dataclass(slots=True)
class PrimarySamples:
    """Log positions of one term's primary over time.

    Attributes:
        term: Log term of the primary.
        sent_at_s: Local times at which the samples were requested, ascending.
        positions: The sampled positions, ascending.
    """

    term: int = 0
    sent_at_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_PRIMARY_SAMPLES)
    )
    positions: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_PRIMARY_SAMPLES)
    )

    def add(self, term: int, sent_at_s: float, position: int) -> None:
        """Add a sample; a sample of another term discards all earlier samples.

        Args:
            term: The primary's log term.
            sent_at_s: Local time at which the sample was requested.
            position: The primary's log position in the reply.
        """
        if term != self.term:
            self.term = term
            self.sent_at_s.clear()
            self.positions.clear()
        if self.sent_at_s and sent_at_s <= self.sent_at_s[-1]:
            return
        self.sent_at_s.append(sent_at_s)
        self.positions.append(position)

    def time_at_position(self, position: int) -> float | None:
        """Return the latest time at which the primary's log did not exceed a position.

        Args:
            position: A replica's applied position.

        Returns:
            Seconds of the local clock, or None if every sample is beyond the position.
        """
        index = bisect.bisect_right(self.positions, position)
        if index == 0:
            return None
        return self.sent_at_s[index - 1]


@dataclass
class Blackboard:
    """The state shared by all controllers of one node.

    Times are seconds of the local clock unless stated otherwise.

    Attributes:
        fleet: Latest known fleet state.
        inventory: The inventory in force: the declared one, plus the servers that
            registered themselves.
        declared_inventory: Latest inventory that was accepted from operators.
        vms: Latest known VM list.
        fleet_confirmed_at_s: When the latest platform read was sent that confirmed the
            known fleet state as current; the read may have been another node's.
        read_answered_at_s: When this node's latest platform read was answered.
        store_era: Highest era of the store that this node has seen.
        restored: Unsettled fleet state in the store, or None.
        restored_seen_at_s: When this node first read an unsettled state in this era.
        outage_limit_s: The inventory's outage limit at the last update of
            fleet_confirmed_at_s; a later change must not extend an outage that has
            already begun.
        registered_at_s: When this node first saw itself as a member.
        no_promotion_before_s: This node must not promote a server before this time,
            because of the promises it has given.
        withholds_promises: This node gives no promises, since it may be promoting a
            server.
        tracks_all_requests: Every request to a server is recorded, so that a server
            without any state has not been used; otherwise all servers are sampled.
        resigning: This node is leaving the fleet.
        draining: This node accepts no new work because it is stopping.
        bounds_by_group: Bounds of the acknowledged log positions.
        bound_wanted_at_s: When a read last wanted a bound of its age, by group.
        outbox: Messages to be sent to peers.
        wall_clock_s: Unix time for audit entries; no decision depends on it.
        effects: Effects to be carried out by the adapters.
        public_key: This node's own key for peer messages; empty where the deployment
            shares one.
        writes_ended_by_group: For each group, the latest notice that all writes had
            stopped for a change of primary.
        leaving_since_by_server: When this node learned that a registered server is
            about to shut down; long ago if it did when it first saw the server.
        leaving_limit_s: Seconds after which a leaving server gets no new statements.
        statuses_wanted: Servers whose status a controller wants to know soon.
        primary_learned_at_s: When this node learned of the current primary, by group.
        removal_learned_at_s: When this node learned of a member's removal, by
            incarnation.
        member_learned_at_s: When this node learned of a member, by incarnation.
        departed_logs_by_group: Logs of servers that have ended, and when this node
            learned of it.  They may have been the only ones besides the primary's that
            held an acknowledged commit; they are dropped once that is excluded.
        recorded_logs: Those of the departed logs that this node knows only from the
            fleet state; their servers may come back.
        lapsed_logs_by_group: Logs of the servers that lapsed while this node knew them.
        covered_logs_by_group: The newest departed logs that were dropped.
        servers_complete_at_s: Local time from which every live server is registered
            again after an outage of the platform.
        vms_followers: Called whenever another VM list has been adopted, before any
            decision is based on it.
    """

    node_id: str
    incarnation: str
    failure_domain: str
    address: str
    admin_address: str
    random: random.Random
    fleet: Fleet = field(default_factory=Fleet)
    inventory: Inventory = field(default_factory=Inventory)
    declared_inventory: Inventory = field(default_factory=Inventory)
    vms: VmList = field(default_factory=VmList)
    fleet_confirmed_at_s: float = -1e9
    read_answered_at_s: float = -1e9
    store_era: int = 0
    restored: Fleet | None = None
    restored_seen_at_s: float = -1e9
    outage_limit_s: float = 0.0
    registered_at_s: float | None = None
    no_promotion_before_s: float = -1e9
    withholds_promises: bool = False
    tracks_all_requests: bool = False
    resigning: bool = False
    draining: bool = False
    peers_by_id: dict[str, PeerView] = field(default_factory=dict)
    domains_by_id: dict[str, DomainView] = field(default_factory=dict)
    servers_by_id: dict[str, ServerView] = field(default_factory=dict)
    primary_samples_by_group: dict[str, PrimarySamples] = field(default_factory=dict)
    bounds_by_group: dict[str, AcknowledgedBounds] = field(default_factory=dict)
    bound_wanted_at_s: dict[str, float] = field(default_factory=dict)
    outbox: list[Envelope] = field(default_factory=list)
    wall_clock_s: int = 0
    effects: list[Effect] = field(default_factory=list)
    public_key: str = ""
    writes_ended_by_group: dict[str, WritesEnded] = field(default_factory=dict)
    leaving_since_by_server: dict[str, float] = field(default_factory=dict)
    leaving_limit_s: float = float("inf")
    statuses_wanted: set[str] = field(default_factory=set)
    primary_learned_at_s: dict[str, float] = field(default_factory=dict)
    removal_learned_at_s: dict[str, float] = field(default_factory=dict)
    member_learned_at_s: dict[str, float] = field(default_factory=dict)
    departed_logs_by_group: dict[str, dict[ServerLog, float]] = field(
        default_factory=dict
    )
    recorded_logs: set[ServerLog] = field(default_factory=set)
    lapsed_logs_by_group: dict[str, set[ServerLog]] = field(default_factory=dict)
    servers_complete_at_s: float = -1e9
    covered_logs_by_group: dict[str, tuple[ServerLog, ...]] = field(
        default_factory=dict
    )
    vms_followers: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the index of the initial fleet state."""
        self._indexed_fleet: Fleet | None = None
        self._index = make_fleet_index(self.fleet)

    def send(self, to_node: str, message: PeerMessage) -> None:
        """Queue a message to a peer.

        Args:
            to_node: The receiver's node id.
            message: The message.
        """
        self.outbox.append(Envelope(to_node, message))

    def versions(self) -> Versions:
        """Return the versions of the platform objects that this node knows.

        Returns:
            Versions of fleet, inventory and VM list.
        """
        return Versions(
            self.fleet.version, self.declared_inventory.version, self.vms.version
        )

    def fleet_index(self) -> FleetIndex:
        """Return the index of the known fleet state, computed once for each state.

        Returns:
            Order and digests of the members.
        """
        if self._indexed_fleet is not self.fleet:
            self._index = make_fleet_index(self.fleet)
            self._indexed_fleet = self.fleet
        return self._index

    def is_member(self) -> bool:
        """Return whether this incarnation of the process is a member of the fleet.

        Returns:
            True if the known fleet state lists this incarnation.
        """
        member = self.fleet.members_by_id.get(self.node_id)
        return member is not None and member.incarnation == self.incarnation

    def group_term(self, group_id: str) -> GroupTerm | None:
        """Return the agreed primary of a group.

        Args:
            group_id: A declared group.

        Returns:
            The term record, or None before the group's first term.
        """
        return self.fleet.terms_by_group.get(group_id)

    def last_crash_at_s(self) -> float:
        """Return when this node last learned of the crash of a member.

        A crashed member is one that was removed without having resigned.

        Returns:
            Local time; before every event if none is recorded.
        """
        return max(
            (
                self.removal_learned_at_s[incarnation]
                for incarnation, entry in self.fleet.removed_by_incarnation.items()
                if not entry.resigned
            ),
            default=-1e9,
        )

    def server_view(self, server_id: str) -> ServerView:
        """Return the state of a server, creating an empty one if there is none.

        Args:
            server_id: A declared server.

        Returns:
            The server's mutable state.
        """
        view = self.servers_by_id.get(server_id)
        if view is None:
            view = ServerView(tracks_requests=self.tracks_all_requests)
            self.servers_by_id[server_id] = view
        return view

    def seen_positions(self, now_s: float) -> dict[str, SeenPosition]:
        """Return the log positions that primaries have reported to this node.

        Args:
            now_s: Local time.

        Returns:
            For each group, the highest position, and the age in seconds of the latest
            request to which its primary reported one.
        """
        return {
            group_id: SeenPosition(bounds.highest, now_s - bounds.newest_sent_at_s)
            for group_id, bounds in self.bounds_by_group.items()
            if bounds.highest is not None
        }

    def confirm_fleet(self, sent_at_s: float) -> None:
        """Record that the known fleet state was current when a read was sent.

        If all writes to a group have stopped for a change of primary that is still in
        progress, this also shows that no commit beyond the position at which they
        stopped had been acknowledged at that time.

        Args:
            sent_at_s: Local time at which the platform read was sent.
        """
        self.fleet_confirmed_at_s = sent_at_s
        self.outage_limit_s = self.inventory.rules.outage_limit_s
        for group_id, ended in self.writes_ended_by_group.items():
            term = self.group_term(group_id)
            if term is None or term.term != ended.term or term.primary:
                continue
            bounds = self.bounds_by_group.setdefault(group_id, AcknowledgedBounds())
            bounds.add(term.term, sent_at_s, ended.position)

    def note_restored(self, fleet: Fleet, now_s: float) -> None:
        """Record an unsettled fleet state of the store; the known one stays in force.

        Args:
            fleet: The state that was read.
            now_s: Local time.
        """
        if fleet.version <= self.fleet.version:
            return
        is_first = self.restored is None or era_of(self.restored.version) != era_of(
            fleet.version
        )
        self.restored = fleet
        if is_first:
            self.restored_seen_at_s = now_s
            log.warning(
                "store restored",
                known=format_version(self.fleet.version),
                restored=format_version(fleet.version),
                written_for_era=fleet.era,
            )

    def adopt_updated_fleet(self, result: FleetUpdated, now_s: float) -> None:
        """Adopt the state that this node's own update has put into the store.

        Args:
            result: The result of a successful update.
            now_s: Local time.
        """
        fleet = replace(result.effect.fleet, version=result.version)
        if fleet.is_settled:
            self.adopt_fleet(fleet, now_s)
        else:
            self.note_restored(fleet, now_s)

    def adopt_fleet(self, fleet: Fleet, now_s: float) -> bool:
        """Replace the known fleet state if the given one is newer.

        Args:
            fleet: A settled state read from the platform or received from a peer.
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
                self.primary_learned_at_s[group_id] = now_s
        self.fleet = fleet
        if self.restored is not None and fleet.version > self.restored.version:
            self.restored = None
        for incarnation in fleet.removed_by_incarnation:
            self.removal_learned_at_s.setdefault(incarnation, now_s)
        for member in fleet.members_by_id.values():
            self.member_learned_at_s.setdefault(member.incarnation, now_s)
        if self.registered_at_s is None and self.is_member():
            self.registered_at_s = now_s
        return True

    def adopt_inventory(self, inventory: Inventory) -> bool:
        """Replace the declared inventory if the given one is newer.

        Args:
            inventory: An accepted inventory.

        Returns:
            True if it was newer.
        """
        if inventory.version <= self.declared_inventory.version:
            return False
        self.declared_inventory = inventory
        self.inventory = with_registered_servers(inventory, self.vms)
        return True

    def adopt_vms(self, vms: VmList, is_from_peer: bool = False) -> bool:
        """Replace the known VM list if the given one is newer.

        Args:
            vms: A VM list of the platform.
            is_from_peer: Whether another node made it, which may have been started
                since servers lapsed that this node knows of.

        Returns:
            True if it was newer.
        """
        if vms.version <= self.vms.version:
            return False
        self.vms = with_lapsed_servers(vms, self.vms) if is_from_peer else vms
        self.inventory = with_registered_servers(self.declared_inventory, vms)
        for follow in self.vms_followers:
            follow()
        return True
