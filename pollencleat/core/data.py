"""The records that all other packages are functions over.

Everything here is an immutable value.  Two objects of the platform are modelled:
the inventory, which operators declare, and the fleet state, which entry VMs agree on.
The fleet state is a single object with a single version, so that membership and terms
change in one total order: whoever knows a version knows exactly who was a member and
which primary was valid at that point.
"""

import enum
from dataclasses import dataclass, field, replace


class Outcome(enum.StrEnum):
    """What a caller may conclude about a statement that returned an error."""

    NOT_RUN = "not run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    ALREADY_DONE = "already done"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A declared database server.

    Attributes:
        slots: Statements that the server executes at the same time.
        connections: Connections that the whole fleet may hold to the server.
        born_ms: Unix milliseconds of the server's start, 0 if it is not told; a server
            that started again under its name has lost its log.
    """

    server_id: str
    group_id: str
    host: str
    port: int
    failure_domain: str
    slots: int
    connections: int
    born_ms: int = 0


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
    """What the reads of a route must have seen."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded age"
    OWN_WRITES = "own writes"


@dataclass(frozen=True, slots=True)
class Route:
    """A database name that callers connect to, and how its statements are treated.

    Attributes:
        max_age_ms: How old a read may be; 0 if only the primary may answer.
        statement_limit_ms: Time limit of a single statement.
        latency_objective_ms: Time within which a whole operation should be answered.
        priority: 0 is the most urgent.
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
    """A team that shares the platform.

    Attributes:
        users: User names that belong to the customer.
        queue_limit: Statements that may wait on one entry VM at the same time.
    """

    customer_id: str
    users: tuple[str, ...]
    queue_limit: int


@dataclass(frozen=True, slots=True)
class ReadRule:
    """How a kind of read is answered.

    Attributes:
        max_age_ms: How old the answer may be.
        wait_ms: How long the read waits for a replica before it takes a connection of
            the primary.
    """

    kind: str
    max_age_ms: int
    wait_ms: int = 60


@dataclass(frozen=True, slots=True)
class Rules:
    """Limits that hold for the whole deployment.

    Attributes:
        seats: Entry VMs among which connections are divided; 0 to follow the members.
        request_retention_s: How long recorded request ids are kept.
        drain_limit_s: How long a graceful stop waits for statements in flight.
        outage_limit_s: How long writes may go on without the platform.
        queue_deadline_ms: How long a statement may wait for a connection.
        transaction_idle_ms: An open transaction without statements for this long is
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
    """One accepted change.

    Attributes:
        at_s: Unix time in seconds.
        author: Operator, or the node that acted by itself.
        before: What held before, in short.
        after: What holds since.
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
        audit: The change that brought this version.
        connections_by_group: Connections to each server of a group whose servers
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
        incarnation: Identity of this run of the process.
        address: ZeroMQ endpoint for peer messages.
        admin_address: Host and port of the administration API.
        seat: Index of the connection share that the member owns.
        may_promote: Whether the member's promises are known to be required by all.
        public_key: Z85 text of the member's own key for peer messages; empty where
            the deployment shares one.
        is_heir: It replaced a process at the same address that was vouched for.  Nobody
            can count promises without also requiring those of the dead process, so the
            heir needs no voucher once they have lapsed.
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


@dataclass(frozen=True, slots=True)
class RemovedMember:
    """A former member that may still hold a write permit.

    Attributes:
        resigned: The member left by itself and holds no permit any more.
        removed_version: Fleet version from which it no longer was a member.
    """

    node_id: str
    incarnation: str
    resigned: bool
    removed_version: int


@dataclass(frozen=True, slots=True)
class Promotion:
    """A change of primary in progress.

    Attributes:
        planned: The old primary is leaving but alive, so that nothing need be lost.
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
        primary: Server that may accept writes; empty while a promotion is in progress.
        history: The newest terms, oldest first.
        assigned_log_term: The term that the servers gave themselves when this primary
            took office, or 0 where they take over the agreed one.
    """

    group_id: str
    term: int
    primary: str
    promotion: Promotion | None = None
    history: tuple[TermStart, ...] = ()
    assigned_log_term: int = 0

    @property
    def log_term(self) -> int:
        """Term that the servers write into their log under this primary."""
        return self.assigned_log_term or self.term

    @property
    def former_log_term(self) -> int:
        """Term of the servers' log under the primary that is being replaced."""
        return self.assigned_log_term or self.term - 1

    @property
    def next_log_term(self) -> int:
        """Term for orders to servers while the next primary is chosen."""
        return self.assigned_log_term + 1 if self.assigned_log_term else self.term


@dataclass(frozen=True, slots=True)
class Fleet:
    """Membership and terms, agreed through one object of the platform.

    Attributes:
        audit: The newest promotions, oldest first; being part of the object, an entry
            is there exactly if its change was accepted.
        seats: Shares into which connections are divided where the inventory declares no
            number; never shrinks, since a share that is given away is slow to return.
        doubted: Incarnations of members that somebody takes for gone, sorted.
    """

    version: int = 0
    members_by_id: dict[str, Member] = field(default_factory=dict)
    removed_by_incarnation: dict[str, RemovedMember] = field(default_factory=dict)
    terms_by_group: dict[str, GroupTerm] = field(default_factory=dict)
    audit: tuple[AuditEntry, ...] = ()
    seats: int = 0
    doubted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VmList:
    """The platform's lagging list of virtual machines and of what runs on them.

    Attributes:
        live: Names of live machines; None where the platform does not list them.
        leaving: Machines and servers that are about to end.
        servers_by_id: Servers that registered themselves; empty where the inventory
            declares them.
        lapsed_by_group: Servers that went silent without leaving; they may return with
            their logs.
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
    """What a backend server reports of itself.

    Attributes:
        term: Term of the last promotion that the server took part in.
        position: Last applied log position.
        received_position: Last log position received; applying may lag behind.
        last_entry_term: Term of the last applied log entry.
        read_only: Whether the server refuses writes.
        following: Server id that it replicates from, or empty; None if not told.
        held_for_term: It receives nothing until a primary of this term is in office;
            0 if it receives as usual.
    """

    term: int
    position: int
    received_position: int
    last_entry_term: int
    read_only: bool
    following: str | None
    held_for_term: int = 0


def with_registered_servers(inventory: Inventory, vms: VmList) -> Inventory:
    """Add the servers that registered themselves to what operators declare.

    Args:
        inventory: The declaration.
        vms: The list in which servers may be registered.

    Returns:
        The inventory in force; the given one where the list names no servers.
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
