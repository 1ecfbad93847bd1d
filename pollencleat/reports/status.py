"""Status of a node and explanation of read routing, as plain records for the API."""

from dataclasses import dataclass

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import GroupTerm
from pollencleat.membership.beats import find_relay
from pollencleat.membership.permits import permit_basis, permit_ends_at
from pollencleat.routing.reads import ReadRequest, can_serve


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A backend server as one node sees it.

    Attributes:
        role: ``primary``, ``replica``, ``unknown`` if the server has not answered yet,
            or ``out of line`` if it neither is the primary nor follows it read-only.
        position: Log position in the newest answer, or None.
        age_ms: Upper bound of the data's age in milliseconds, or None if unknown.
        answered_ms_ago: Milliseconds since the newest answer, or None.
        leaving: The platform lists the server as about to stop.
    """

    server_id: str
    role: str
    position: int | None
    age_ms: int | None
    answered_ms_ago: int | None
    leaving: bool


@dataclass(frozen=True, slots=True)
class GroupReport:
    """A database group as one node sees it.

    Attributes:
        promotion_by: Node that is promoting a new primary, or empty.
    """

    group_id: str
    term: int
    primary: str
    promotion_by: str
    servers: tuple[ServerReport, ...]


@dataclass(frozen=True, slots=True)
class MemberReport:
    """A member as one node sees it.

    Attributes:
        heard_ms_ago: Milliseconds since the member's last heartbeat, or None.
    """

    node_id: str
    failure_domain: str
    seat: int
    may_promote: bool
    admin_address: str
    heard_ms_ago: int | None


@dataclass(frozen=True, slots=True)
class NodeReport:
    """Status of one node and its view of members and groups.

    Attributes:
        registered: The fleet lists this node as a member.
        permit_basis: What the write permit is based on.
        permit_remaining_ms: Milliseconds until the write permit expires; 0 without one.
        relays_by_domain: Node id of each failure domain's relay, or empty.
    """

    node_id: str
    incarnation: str
    failure_domain: str
    registered: bool
    draining: bool
    permit_basis: str
    permit_remaining_ms: int
    fleet_version: int
    inventory_version: int
    relays_by_domain: dict[str, str]
    members: tuple[MemberReport, ...]
    groups: tuple[GroupReport, ...]


@dataclass(frozen=True, slots=True)
class RouteReport:
    """Whether a server may answer a read.

    Attributes:
        qualifies: True if it may.
        reason: Explanation for operators.
    """

    server_id: str
    qualifies: bool
    reason: str


def make_node_report(board: Blackboard, now_s: float) -> NodeReport:
    """Return a node's status.

    Args:
        board: The node's state.
        now_s: Local time in seconds.

    Returns:
        The report.
    """
    relays = {}
    for domain in board.fleet_index().members_by_domain:
        relay = find_relay(board, domain, now_s)
        relays[domain] = relay.node_id if relay else ""
    return NodeReport(
        board.node_id,
        board.incarnation,
        board.failure_domain,
        board.is_member(),
        board.draining,
        permit_basis(board, now_s).value,
        max(0, round((permit_ends_at(board) - now_s) * 1000)),
        board.fleet.version,
        board.inventory.version,
        relays,
        _make_member_reports(board, now_s),
        _make_group_reports(board, now_s),
    )


def _make_member_reports(board: Blackboard, now_s: float) -> tuple[MemberReport, ...]:
    reports = []
    for member in board.fleet.members_by_id.values():
        peer = board.peers_by_id.get(member.node_id)
        heard_ms_ago = (
            round((now_s - peer.last_heartbeat_at_s) * 1000) if peer else None
        )
        reports.append(
            MemberReport(
                member.node_id,
                member.failure_domain,
                member.seat,
                member.may_promote,
                member.admin_address,
                heard_ms_ago,
            )
        )
    return tuple(reports)


def _make_group_reports(board: Blackboard, now_s: float) -> tuple[GroupReport, ...]:
    reports = []
    for group in board.inventory.groups_by_id.values():
        term = board.group_term(group.group_id) or GroupTerm(group.group_id, 0, "")
        promotion_by = term.promotion.node_id if term.promotion else ""
        servers = tuple(
            _make_server_report(board, server_id, term, now_s)
            for server_id in group.server_ids
        )
        reports.append(
            GroupReport(group.group_id, term.term, term.primary, promotion_by, servers)
        )
    return tuple(reports)


def _make_server_report(
    board: Blackboard, server_id: str, term: GroupTerm, now_s: float
) -> ServerReport:
    view = board.servers_by_id.get(server_id)
    leaving = server_id in board.vms.leaving
    if view is None or view.status is None:
        return ServerReport(server_id, "unknown", None, None, None, leaving)
    status = view.status
    role = "out of line"
    if server_id == term.primary:
        role = "primary"
    elif status.read_only and status.following == term.primary:
        role = "replica"
    age_s = now_s - view.fresh_as_of_s
    return ServerReport(
        server_id,
        role,
        status.position,
        round(age_s * 1000) if age_s < 1e8 else None,
        round((now_s - view.answered_at_s) * 1000),
        leaving,
    )


def explain_route(
    board: Blackboard, request: ReadRequest, now_s: float
) -> tuple[RouteReport, ...]:
    """Explain for each server of a group whether it may answer a read.

    Args:
        board: The node's state.
        request: Requirements of the read; its group must be in the inventory.
        now_s: Local time in seconds.

    Returns:
        One report for each server, in the order of the inventory.
    """
    term = board.group_term(request.group_id) or GroupTerm(request.group_id, 0, "")
    reports = []
    for server_id in board.inventory.groups_by_id[request.group_id].server_ids:
        qualifies, reason = _check_eligibility(board, server_id, term, request, now_s)
        reports.append(RouteReport(server_id, qualifies, reason))
    return tuple(reports)


def _check_eligibility(
    board: Blackboard,
    server_id: str,
    term: GroupTerm,
    request: ReadRequest,
    now_s: float,
) -> tuple[bool, str]:
    if server_id == term.primary:
        basis = permit_basis(board, now_s)
        return basis != "none", f"primary; write permit rests on {basis}"
    view = board.servers_by_id.get(server_id)
    if view is None or view.status is None:
        return False, "no answer yet"
    if server_id in board.vms.leaving:
        return False, "leaving"
    age_s = now_s - view.fresh_as_of_s
    if view.status.position < request.floor:
        return False, f"position {view.status.position} is below {request.floor}"
    if age_s > request.max_age_s:
        return False, f"age {age_s * 1000:.0f} ms exceeds the limit"
    if not can_serve(server_id, view, term, request, now_s):
        return False, "does not follow the primary, or does not answer"
    return True, f"replica, age {age_s * 1000:.0f} ms"
