"""Immutable data types that all packages share.

Two of them are stored as objects of the platform: the inventory, which operators
declare, and the fleet state, which entry VMs agree on.  The fleet state is a single
object with a single version, so that changes of membership and terms are totally
ordered: each version determines the members and the valid primaries at that point.
"""

import enum
from dataclasses import dataclass, field, replace

from pollencleat.core.versions import MAX_ERA, era_of

MAX_FLEET_NUMBER = 1 << 62
"""Largest number in a fleet state; the next one still fits into a message."""


class Outcome(enum.StrEnum):
    """Whether a statement that returned an error ran, as reported to the caller."""

    NOT_RUN = "not run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    ALREADY_DONE = "already done"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A database server that is declared in the inventory or registered itself.

    Attributes:
        slots: Statements that the server executes concurrently.
        connections: Connections that all entry VMs together may hold to the server.
        born_ms: Start time of the server in Unix milliseconds, 0 if unknown; a server
            that restarted under the same name has lost its log.
    """

    server_id: str
    group_id: str
    host: str
    port: int
    failure_domain: str
    slots: int
    connections: int
    born_ms: int = 0


@dataclass(frozen=True, order=True, slots=True)
class ServerLog:
    """The log of one start of a server; it is lost when that process ends for good.

    Attributes:
        born_ms: Start time of the server in Unix milliseconds, 0 if unknown.
    """

    server_id: str
    born_ms: int


@dataclass(frozen=True, slots=True)
class DatabaseGroup:
    """A replicated database: one primary and its replicas.

    Attributes:
        acknowledging_replicas: Replicas that must have received a commit before it is
            acknowledged; None if commits are acknowledged by the primary alone.
    """

    group_id: str
    database: str
    customers: tuple[str, ...]
    server_ids: tuple[str, ...]
    acknowledging_replicas: int | None = None


class Freshness(enum.StrEnum):
    """Consistency that the reads of a route require."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded age"
    OWN_WRITES = "own writes"


@dataclass(frozen=True, slots=True)
class Route:
    """A database name that callers connect to, with the rules for its statements.

    Attributes:
        max_age_ms: Greatest staleness of a read; 0 if only the primary may answer.
        statement_limit_ms: Timeout of a single statement.
        latency_objective_ms: Target latency of a whole operation.
        priority: Scheduling priority; 0 is the most urgent.
    """

    database: str
    group_id: str
    freshness: Freshness
    max_age_ms: int
    statement_limit_ms: int
    latency_objective_ms: int
    priority: int


@dataclass(frozen=True, slots=True)
class Customer:
    """A client account: one of the teams that share the platform.

    Attributes:
        users: Database user names of the account.
        queue_limit: Statements of the account that may be queued on one entry VM.
    """

    customer_id: str
    users: tuple[str, ...]
    queue_limit: int


@dataclass(frozen=True, slots=True)
class ReadRule:
    """Staleness and wait limits for one kind of read.

    Attributes:
        max_age_ms: Greatest staleness of the result.
        wait_ms: How long the read waits for a replica before it uses the primary.
    """

    kind: str
    max_age_ms: int
    wait_ms: int = 60


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits that apply to the whole deployment.

    Attributes:
        seats: Number of shares into which the connections are divided, one for each
            entry VM; 0 to derive it from the number of members.
        request_retention_s: How long recorded request ids are kept.
        drain_limit_s: How long a graceful stop waits for statements in flight.
        outage_limit_s: How long writes may continue while the platform is unavailable.
        queue_deadline_ms: How long a statement may wait for a connection.
        transaction_idle_ms: Time without statements after which an open transaction is
            rolled back; 0 for no limit.
    """

    seats: int = 5
    request_retention_s: int = 86_400
    drain_limit_s: int = 30
    outage_limit_s: int = 3_600
    queue_deadline_ms: int = 2_000
    transaction_idle_ms: int = 0


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Audit record of one accepted change.

    Attributes:
        at_s: Unix time of the change in seconds.
        author: Operator, or node that made the change on its own.
        subject: What was changed.
        before: Summary of the state before the change.
        after: Summary of the state after the change.
        cause: Reason for the change.
    """

    change_id: str
    at_s: int
    author: str
    subject: str
    before: str
    after: str
    cause: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """Everything that operators declare.

    Attributes:
        version: Version of the platform object; 0 before the first was accepted.
        source: The INI text that the inventory was parsed from.
        audit: Audit entry of the change that created this version.
        connections_by_group: Connection limit of each server, for groups whose servers
            register themselves.
    """

    version: int = 0
    source: str = ""
    audit: AuditEntry | None = None
    domains_by_id: dict[str, str] = field(default_factory=dict)
    customers_by_id: dict[str, Customer] = field(default_factory=dict)
    groups_by_id: dict[str, DatabaseGroup] = field(default_factory=dict)
    servers_by_id: dict[str, BackendServer] = field(default_factory=dict)
    read_rules_by_kind: dict[str, ReadRule] = field(default_factory=dict)
    rules: Rules = Rules()
    routes_by_database: dict[str, Route] = field(default_factory=dict)
    connections_by_group: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Member:
    """An entry VM that is registered in the fleet.

    Attributes:
        incarnation: Random id of the process, new at each start.
        address: ZeroMQ endpoint for peer messages.
        admin_address: Host and port of the administration API.
        seat: Index of the member's share of the connections.
        may_promote: Whether the member may promote servers: every node is known to
            require its promises.
        public_key: Z85 text of the member's own key for peer messages; empty where
            the deployment shares one.
        joined_in_era: Era of the store in which the process joined an unsettled state;
            0 for others.
        is_heir: Whether it replaced a process at the same address that could promote
            or was such a replacement itself.  A node that does not know of the
            replacement still requires the promises of the dead process, so once those
            have expired the new process needs no other member to grant it that right.
    """

    node_id: str
    incarnation: str
    failure_domain: str
    address: str
    admin_address: str
    seat: int
    may_promote: bool
    public_key: str = ""
    is_heir: bool = False
    joined_in_era: int = 0


@dataclass(frozen=True, slots=True)
class RemovedMember:
    """A former member that may still hold a write permit.

    Attributes:
        resigned: The member left voluntarily and no longer holds a permit.
        removed_version: First fleet version of which it was not a member.
    """

    node_id: str
    incarnation: str
    resigned: bool
    removed_version: int


@dataclass(frozen=True, slots=True)
class Promotion:
    """A change of primary in progress.

    Attributes:
        attempt_id: Id of this attempt.
        node_id: Node that carries out the promotion.
        incarnation: Incarnation of that node.
        old_primary: Server id of the primary that is being replaced.
        planned: The old primary is leaving but still works, so that no commit need be
            lost.
        cause: Reason for the promotion.
    """

    attempt_id: str
    node_id: str
    incarnation: str
    old_primary: str
    planned: bool
    cause: str


@dataclass(frozen=True, slots=True)
class TermStart:
    """The log position from which a term's primary accepted writes."""

    term: int
    start_position: int


@dataclass(frozen=True, slots=True)
class GroupTerm:
    """The agreed primary of a database group.

    Attributes:
        term: Agreed number of the term.
        primary: Server that may accept writes; empty while a promotion is in progress.
        promotion: The promotion in progress, or None.
        history: The latest terms, oldest first.
        assigned_log_term: Log term that the servers chose themselves for this primary,
            or 0 if they use the agreed term.
    """

    group_id: str
    term: int
    primary: str
    promotion: Promotion | None = None
    history: tuple[TermStart, ...] = ()
    assigned_log_term: int = 0

    @property
    def log_term(self) -> int:
        """Term that the servers record in their logs under this primary."""
        return self.assigned_log_term or self.term

    @property
    def previous_log_term(self) -> int:
        """Term in the servers' logs under the primary that is being replaced."""
        return self.assigned_log_term or self.term - 1

    @property
    def next_log_term(self) -> int:
        """Term of commands to servers while the next primary is being chosen."""
        return self.assigned_log_term + 1 if self.assigned_log_term else self.term


@dataclass(frozen=True, slots=True)
class Fleet:
    """Membership and terms, agreed through one object of the platform.

    Attributes:
        version: Version of the platform object; 0 before the first update.
        audit: Audit entries of the latest promotions, oldest first.  They are part of
            the object, so that an entry exists if and only if its change was accepted.
        seats: Number of shares into which the connections are divided where the
            inventory declares none.  It never decreases, since a share that has been
            reassigned is slow to reclaim.
        doubted: Incarnations of members that some node suspects to be gone, sorted.
        era: Era of the store that the state was written for.
        next_term: Lowest number of the next term of any group.
        departed_logs_by_group: Logs that some member found gone, or lapsed, and that
            may have been the only ones besides the primary's with an acknowledged
            commit; for processes that start later.
    """

    version: int = 0
    members_by_id: dict[str, Member] = field(default_factory=dict)
    removed_by_incarnation: dict[str, RemovedMember] = field(default_factory=dict)
    terms_by_group: dict[str, GroupTerm] = field(default_factory=dict)
    audit: tuple[AuditEntry, ...] = ()
    seats: int = 0
    doubted: tuple[str, ...] = ()
    era: int = 0
    next_term: int = 0
    departed_logs_by_group: dict[str, tuple[ServerLog, ...]] = field(
        default_factory=dict
    )

    @property
    def is_settled(self) -> bool:
        """Whether the state was written for the era of the store that holds it.

        Otherwise the store came back from an older copy since, or the update was made
        before and took effect after.
        """
        return self.era == era_of(self.version)


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's list of virtual machines and servers, which may lag behind.

    Attributes:
        live: Names of running machines; None where the platform does not list them.
        leaving: Machines and servers that are about to stop.
        servers_by_id: Servers that registered themselves; empty where the inventory
            declares them.
        lapsed_by_group: Ids of servers whose registration expired without a
            deregistration; they may come back with their logs intact.
    """

    version: int = 0
    live: tuple[str, ...] | None = ()
    leaving: tuple[str, ...] = ()
    servers_by_id: dict[str, BackendServer] = field(default_factory=dict)
    lapsed_by_group: dict[str, tuple[str, ...]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Position:
    """A point in a database group's history."""

    term: int
    position: int


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Replication status that a backend server reports.

    Attributes:
        term: Term of the last promotion that the server took part in.
        position: Last applied log position.
        received_position: Last log position received; applying may lag behind.
        last_entry_term: Term of the last applied log entry.
        read_only: Whether the server rejects writes.
        following: Id of the server that it replicates from, or empty; None if not
            reported.
        held_for_term: The server's replication is paused until there is a primary of
            this term; 0 if it is not paused.
        connected_at_s: Local time at which the connection that carried the report was
            opened; the server has not restarted since.  None if not known.
    """

    term: int
    position: int
    received_position: int
    last_entry_term: int
    read_only: bool
    following: str | None
    held_for_term: int = 0
    connected_at_s: float | None = None


def with_lapsed_servers(newer: VmList, known: VmList) -> VmList:
    """Add the lapsed servers that an older list shows to a newer one of another node.

    Args:
        newer: The list of another node.
        known: This node's list.

    Returns:
        The newer list. Servers that lapsed by the known list, or that are in it alone
        and had not announced that they leave, count as lapsed.
    """
    lapsed_by_group = {
        group_id: list(ids) for group_id, ids in newer.lapsed_by_group.items()
    }
    candidates = [
        (group_id, server_id)
        for group_id, ids in known.lapsed_by_group.items()
        for server_id in ids
    ]
    for server_id, server in known.servers_by_id.items():
        if server_id not in known.leaving and server_id not in newer.leaving:
            candidates.append((server.group_id, server_id))
    for group_id, server_id in candidates:
        lapsed = lapsed_by_group.setdefault(group_id, [])
        if server_id not in newer.servers_by_id and server_id not in lapsed:
            lapsed.append(server_id)
    return replace(
        newer,
        lapsed_by_group={
            group_id: tuple(ids) for group_id, ids in lapsed_by_group.items() if ids
        },
    )


def with_registered_servers(inventory: Inventory, vms: VmList) -> Inventory:
    """Add the servers that registered themselves to a declared inventory.

    Servers of undeclared groups are ignored.

    Args:
        inventory: The declared inventory.
        vms: The VM list, with the registered servers.

    Returns:
        The inventory in force; the given object if no servers are registered.
    """
    if not vms.servers_by_id:
        return inventory
    ids_by_group: dict[str, list[str]] = {}
    servers_by_id = dict(inventory.servers_by_id)
    for server_id, server in sorted(vms.servers_by_id.items()):
        if server.group_id not in inventory.groups_by_id:
            continue
        ids_by_group.setdefault(server.group_id, []).append(server_id)
        connections = inventory.connections_by_group.get(server.group_id, 0)
        servers_by_id[server_id] = replace(server, connections=connections)
    groups_by_id = {
        group_id: replace(
            group,
            server_ids=(*group.server_ids, *ids_by_group.get(group_id, ())),
        )
        for group_id, group in inventory.groups_by_id.items()
    }
    return replace(inventory, servers_by_id=servers_by_id, groups_by_id=groups_by_id)


def find_fleet_problem(fleet: Fleet) -> str:
    """Find out why a fleet state from outside cannot be used.

    Args:
        fleet: A state whose fields have the right types.

    Returns:
        What is wrong; empty if all entries have the keys of their objects and all
        numbers are in range.
    """
    keys = (
        *((key, member.node_id) for key, member in fleet.members_by_id.items()),
        *(
            (key, entry.incarnation)
            for key, entry in fleet.removed_by_incarnation.items()
        ),
        *((key, term.group_id) for key, term in fleet.terms_by_group.items()),
    )
    for key, name in keys:
        if key != name or not name:
            return f"entry {name[:80]!r} under the key {key[:80]!r}"
    if not 0 <= fleet.era <= MAX_ERA:
        return f"era {fleet.era} is out of range"
    for number in _list_numbers(fleet):
        if not -1 <= number <= MAX_FLEET_NUMBER:
            return f"number {number} is out of range"
    return ""


def _list_numbers(fleet: Fleet) -> list[int]:
    numbers = [fleet.seats, fleet.next_term]
    numbers.extend(member.seat for member in fleet.members_by_id.values())
    numbers.extend(m.joined_in_era for m in fleet.members_by_id.values())
    numbers.extend(
        entry.removed_version for entry in fleet.removed_by_incarnation.values()
    )
    for term in fleet.terms_by_group.values():
        numbers.extend((term.term, term.assigned_log_term))
        for start in term.history:
            numbers.extend((start.term, start.start_position))
    return numbers
