"""Heartbeats between members, and distribution of the platform's objects.

In each failure domain one member, the relay, reads the platform on behalf of the others
and exchanges heartbeats with the relays of the other failure domains.  The other
members exchange heartbeats only with their relay and its standby.  The number of
messages therefore grows with members plus failure domains, not with pairs of members.
"""

from pollencleat.core.blackboard import Blackboard, DomainView, PeerView
from pollencleat.core.constants import (
    MAX_CLOCK_DRIFT,
    PLATFORM_PERMIT_S,
    PLATFORM_READ_INTERVAL_S,
    PROMISE_DURATION_S,
    RELAY_TIMEOUT_S,
)
from pollencleat.core.data import Member
from pollencleat.core.effects import PlatformRead, ReadPlatform
from pollencleat.core.messages import (
    Beat,
    DomainPromise,
    State,
    StateRequest,
    StopWrites,
    Versions,
    WritesEnded,
    WritesStopped,
)
from pollencleat.membership.permits import domain_promised_at_s

PROMISE_CACHE_S = 0.1
"""How long the computed promises of whole failure domains are reused."""

READ_TIMER_TOLERANCE_S = 0.1
"""Largest expected timer delay.  A read that is due within this time is sent now
instead of with the next heartbeat."""

STATE_REQUEST_RETRY_S = 0.3
"""Delay before the same versions of the platform's objects are requested again.  Many
peers announce a new version within one heartbeat interval."""

LIVE_RELAY_TARGETS = 2
"""Responsive members per failure domain that receive heartbeats: relay and standby."""


class HeartbeatController:
    """Sends and answers heartbeats and keeps the platform's objects up to date."""

    def __init__(self, board: Blackboard, seeds: tuple[str, ...] = ()) -> None:
        """Create a controller.

        Args:
            board: The node's state.
            seeds: Peers that are asked for the state until a fleet state is known.
        """
        self.board = board
        self.seeds = seeds
        self._read_sent_at_s = -1e9
        self._requested_versions = Versions(0, 0, 0)
        self._state_requested_at_s = -1e9
        self._cached_promises: tuple[DomainPromise, ...] = ()
        self._cached_at_s = -1e9
        self._cache_key: tuple[int, bool] = (-1, False)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, and read the platform if a read is due.

        Args:
            now_s: Local time in seconds.
        """
        board = self.board
        if self._is_read_due(now_s):
            self._read_sent_at_s = now_s
            board.effects.append(ReadPlatform(now_s))
        for member in find_heartbeat_targets(board, now_s):
            board.send(
                member.node_id, self._make_heartbeat(member.node_id, now_s, False)
            )
        if board.fleet.version:
            return
        for seed in self.seeds:
            board.send(seed, StateRequest(board.node_id, board.versions()))

    def _is_read_due(self, now_s: float) -> bool:
        board = self.board
        if not board.is_member():
            return True
        if not acts_as_relay(board, now_s):
            return False
        if board.restored is not None:
            return True
        terms = board.fleet.terms_by_group.values()
        if any(term.promotion is not None for term in terms):
            return True
        # An unanswered read is repeated with the next heartbeat.
        is_overdue = board.read_answered_at_s < self._read_sent_at_s
        return (
            is_overdue
            or now_s - self._read_sent_at_s
            > PLATFORM_READ_INTERVAL_S - READ_TIMER_TOLERANCE_S
        )

    def on_platform_read(self, read: PlatformRead, now_s: float) -> None:
        """Adopt the result of a platform read.

        Platform reads are linearizable, so a version below the known one is invalid and
        does not extend the write permit.  Neither does an unsettled state, since terms
        may have begun that it does not show.

        Args:
            read: The result.
            now_s: Local time in seconds.
        """
        board = self.board
        board.read_answered_at_s = now_s
        board.store_era = max(board.store_era, read.era)
        board.adopt_inventory(read.inventory)
        board.adopt_vms(read.vms)
        if not read.fleet.is_settled:
            board.note_restored(read.fleet, now_s)
            return
        is_current = read.fleet.version >= board.fleet.version
        board.adopt_fleet(read.fleet, now_s)
        if is_current:
            self._advance_fresh_at(read.sent_at_s)

    def on_heartbeat(self, beat: Beat, now_s: float) -> None:
        """Process a heartbeat and answer it.

        Args:
            beat: The message.
            now_s: Local time in seconds.
        """
        board = self.board
        peer = board.peers_by_id.setdefault(beat.node_id, PeerView())
        if peer.incarnation != beat.incarnation:
            peer.incarnation = beat.incarnation
            peer.promised_at_s = -1e9
        peer.last_heartbeat_at_s = now_s
        peer.peer_sent_at_s = beat.sent_at_s
        own_versions = board.versions()
        peer_versions = beat.versions
        if is_newer(peer_versions, own_versions):
            self._request_state(beat.node_id, peer_versions, now_s)
        if peer_versions.fleet <= own_versions.fleet:
            self._record_promises(beat, peer)
        if not beat.reply:
            board.send(beat.node_id, self._make_heartbeat(beat.node_id, now_s, True))

    def _request_state(self, node_id: str, versions: Versions, now_s: float) -> None:
        """Request newer objects from a peer, unless a request for them is pending."""
        requested = self._requested_versions
        if now_s - self._state_requested_at_s < STATE_REQUEST_RETRY_S and not is_newer(
            versions, requested
        ):
            return
        self._requested_versions = versions
        self._state_requested_at_s = now_s
        request = StateRequest(self.board.node_id, self.board.versions())
        self.board.send(node_id, request)

    def on_state_request(self, request: StateRequest) -> None:
        """Send the objects that are newer than the peer's.

        Args:
            request: The versions that the peer knows.
        """
        board = self.board
        own_versions = board.versions()
        peer_versions = request.versions
        board.send(
            request.node_id,
            State(
                board.node_id,
                board.fleet if own_versions.fleet > peer_versions.fleet else None,
                board.declared_inventory
                if own_versions.inventory > peer_versions.inventory
                else None,
                board.vms if own_versions.vms > peer_versions.vms else None,
            ),
        )

    def on_state(self, state: State, now_s: float) -> None:
        """Adopt newer objects from a peer.

        Args:
            state: The peer's objects.
            now_s: Local time in seconds.
        """
        if state.fleet is not None:
            self.board.adopt_fleet(state.fleet, now_s)
        if state.inventory is not None:
            self.board.adopt_inventory(state.inventory)
        if state.vms is not None:
            self.board.adopt_vms(state.vms, is_from_peer=True)

    def on_stop_writes(self, message: StopWrites, now_s: float) -> None:
        """Adopt a promotion and confirm that writes in older terms have stopped.

        Args:
            message: The fleet state of the promotion.
            now_s: Local time in seconds.
        """
        board = self.board
        board.adopt_fleet(message.fleet, now_s)
        group_id = find_promoted_group(message)
        board.send(
            message.node_id,
            WritesStopped(
                board.node_id,
                board.incarnation,
                message.attempt_id,
                board.seen_positions(now_s),
                (
                    *board.departed_logs_by_group.get(group_id, ()),
                    *board.lapsed_logs_by_group.get(group_id, ()),
                ),
                board.covered_logs_by_group.get(group_id, ()),
            ),
        )

    def on_writes_ended(self, message: WritesEnded) -> None:
        """Store the position at which writes to a group ended.

        Args:
            message: The end of writes as determined by the promoter.
        """
        self.board.writes_ended_by_group[message.group_id] = message

    def _advance_fresh_at(self, read_sent_at_s: float) -> None:
        board = self.board
        if read_sent_at_s <= board.fleet_confirmed_at_s:
            return
        board.confirm_fleet(read_sent_at_s)

    def _record_promises(self, beat: Beat, peer: PeerView) -> None:
        board = self.board
        if beat.echo_s is None or beat.echo_incarnation != board.incarnation:
            return
        if beat.promising:
            peer.promised_at_s = max(peer.promised_at_s, beat.echo_s)
        if beat.fresh_age_s is not None:
            self._advance_fresh_at(beat.echo_s - beat.fresh_age_s)
        members_keys_by_domain = board.fleet_index().members_keys_by_domain
        for promise in beat.domain_promises:
            key = members_keys_by_domain.get(promise.failure_domain)
            if promise.members_key != key:
                continue
            promised_at_s = beat.echo_s - promise.age_s
            view = board.domains_by_id.setdefault(promise.failure_domain, DomainView())
            if view.members_key != key:
                view.members_key = key
                view.promised_at_s = promised_at_s
            view.promised_at_s = max(view.promised_at_s, promised_at_s)

    def _make_heartbeat(self, to_node: str, now_s: float, reply: bool) -> Beat:
        board = self.board
        peer = board.peers_by_id.get(to_node, PeerView())
        promising = not board.withholds_promises
        if promising:
            promise_duration_s = PROMISE_DURATION_S * (1 + MAX_CLOCK_DRIFT)
            board.no_promotion_before_s = max(
                board.no_promotion_before_s, now_s + promise_duration_s
            )
        fresh_age_s = now_s - board.fleet_confirmed_at_s
        return Beat(
            board.node_id,
            board.incarnation,
            now_s,
            peer.peer_sent_at_s,
            peer.incarnation,
            board.versions(),
            fresh_age_s if fresh_age_s < PLATFORM_PERMIT_S else None,
            promising,
            self._get_domain_promises(now_s, promising),
            reply,
        )

    def _get_domain_promises(
        self, now_s: float, promising: bool
    ) -> tuple[DomainPromise, ...]:
        """Return promises of whole failure domains from a short-lived cache.

        The time spent in the cache is added to their ages.  A cached promise stays
        valid for the members that its key identifies.
        """
        board = self.board
        is_expired = now_s - self._cached_at_s >= PROMISE_CACHE_S
        key = (board.fleet.version, promising)
        if is_expired or key != self._cache_key:
            self._cached_promises = collect_domain_promises(board, now_s, promising)
            self._cached_at_s = now_s
            self._cache_key = key
        cached_for_s = now_s - self._cached_at_s
        if not cached_for_s:
            return self._cached_promises
        return tuple(
            DomainPromise(
                item.failure_domain, item.members_key, item.age_s + cached_for_s
            )
            for item in self._cached_promises
        )


def find_promoted_group(message: StopWrites) -> str:
    """Return the group whose promotion a message announces; empty if there is none.

    Args:
        message: The message, with the fleet state that its promotion began with or a
            later one.
    """
    for group_id, term in message.fleet.terms_by_group.items():
        promotion = term.promotion
        if promotion is not None and promotion.attempt_id == message.attempt_id:
            return group_id
    return ""


def is_newer(versions: Versions, than: Versions) -> bool:
    """Return whether any of the platform's objects is newer.

    Args:
        versions: Versions to check.
        than: Versions to compare with.

    Returns:
        True if at least one object is newer.
    """
    return (
        versions.fleet > than.fleet
        or versions.inventory > than.inventory
        or versions.vms > than.vms
    )


def collect_domain_promises(
    board: Blackboard, now_s: float, promising: bool
) -> tuple[DomainPromise, ...]:
    """Return the unexpired promises of whole failure domains.

    Args:
        board: The node's state.
        now_s: Local time in seconds.
        promising: Whether this node itself gives a promise now.

    Returns:
        One entry per failure domain whose members all gave a promise that has not
        expired.
    """
    promises = []
    index = board.fleet_index()
    for domain, members in index.members_by_domain.items():
        if domain == board.failure_domain and not promising:
            continue
        promised_at_s = min(now_s, domain_promised_at_s(board, domain, members))
        age_s = now_s - promised_at_s
        if age_s >= PROMISE_DURATION_S:
            continue
        promises.append(
            DomainPromise(domain, index.members_keys_by_domain[domain], age_s)
        )
    return tuple(promises)


def has_recent_heartbeat(board: Blackboard, member: Member, now_s: float) -> bool:
    """Return whether a member's newest heartbeat is recent.

    Args:
        board: The node's state.
        member: A member.
        now_s: Local time in seconds.

    Returns:
        True if a heartbeat arrived within RELAY_TIMEOUT_S, or for this node itself.
    """
    if member.node_id == board.node_id:
        return True
    peer = board.peers_by_id.get(member.node_id)
    return peer is not None and now_s - peer.last_heartbeat_at_s < RELAY_TIMEOUT_S


def find_relay(board: Blackboard, domain: str, now_s: float) -> Member | None:
    """Return the relay of a failure domain from this node's point of view.

    Args:
        board: The node's state.
        domain: Failure domain.
        now_s: Local time in seconds.

    Returns:
        The first member in relay order with a recent heartbeat, or None.
    """
    for member in board.fleet_index().members_by_domain.get(domain, ()):
        if has_recent_heartbeat(board, member, now_s):
            return member
    return None


def acts_as_relay(board: Blackboard, now_s: float) -> bool:
    """Return whether this node is the relay of its failure domain.

    Args:
        board: The node's state.
        now_s: Local time in seconds.

    Returns:
        True if this node is the first responsive member in relay order.
    """
    relay = find_relay(board, board.failure_domain, now_s)
    return relay is not None and relay.node_id == board.node_id


def find_heartbeat_targets(board: Blackboard, now_s: float) -> list[Member]:
    """Return the members that this node sends heartbeats to.

    Args:
        board: The node's state.
        now_s: Local time in seconds.

    Returns:
        Relay and standby of this node's failure domain.  If this node is the relay,
        also those of the other failure domains and the unresponsive members of its own.
    """
    is_relay = acts_as_relay(board, now_s)
    targets = []
    for domain, members in board.fleet_index().members_by_domain.items():
        if domain != board.failure_domain and not is_relay:
            continue
        targets.extend(_select_relay_targets(board, members, now_s))
        if is_relay and domain == board.failure_domain:
            # A member must have been probed before it can be evicted.
            targets.extend(
                member
                for member in members
                if member not in targets
                and not has_recent_heartbeat(board, member, now_s)
            )
    return targets


def _select_relay_targets(
    board: Blackboard, members: tuple[Member, ...], now_s: float
) -> list[Member]:
    targets = []
    responsive_count = 0
    for member in members:
        if responsive_count == LIVE_RELAY_TARGETS:
            break
        if has_recent_heartbeat(board, member, now_s):
            responsive_count += 1
        if member.node_id != board.node_id:
            targets.append(member)
    return targets
