"""Heartbeats, relays and what is learned from them.

In each failure domain one member, the relay, reads the platform for all and exchanges
heartbeats with the relays of the other failure domains.  The other members exchange
heartbeats with their relay and its stand-by only.  Messages therefore grow with the
number of members and failure domains, not with pairs of members.
"""

from pollencleat.core.blackboard import Blackboard, DomainView, PeerView
from pollencleat.core.constants import (
    CLOCK_DRIFT,
    PERMIT_S,
    PROMISE_S,
    READ_S,
    RELAY_SILENCE_S,
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
from pollencleat.membership.permits import domain_promised_at

COLLECT_S = 0.1
"""For how long collected promises of whole failure domains are passed on."""

READ_GRAIN_S = 0.1
"""Timers are late by up to this much; a read is not put off to the next heartbeat."""

STATE_AGAIN_S = 0.3
"""Pause until the same versions of the platform's objects are asked for again; many
peers tell of a new version within one interval of heartbeats."""

LIVE_RELAYS = 2
"""Members of a failure domain, known alive, that heartbeats are sent to."""


class BeatController:
    """Sends and answers heartbeats and keeps platform objects up to date."""

    def __init__(self, board: Blackboard, seeds: tuple[str, ...] = ()) -> None:
        """Work on a blackboard.

        Args:
            board: The node's state.
            seeds: Peers to ask for the state while the node knows no member.
        """
        self.board = board
        self.seeds = seeds
        self._read_asked_at_s = -1e9
        self._state_asked_for = Versions(0, 0, 0)
        self._state_asked_at_s = -1e9
        self._collected: tuple[DomainPromise, ...] = ()
        self._collected_at_s = -1e9
        self._collected_for: tuple[int, bool] = (-1, False)

    def tick(self, now_s: float) -> None:
        """Send heartbeats, and read the platform if it is this node's turn.

        Args:
            now_s: Local time.
        """
        board = self.board
        if self._is_read_due(now_s):
            self._read_asked_at_s = now_s
            board.effects.append(ReadPlatform(now_s))
        for member in find_beat_targets(board, now_s):
            board.send(member.node_id, self._make_beat(member.node_id, now_s, False))
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
        terms = board.fleet.terms_by_group.values()
        if any(term.promotion is not None for term in terms):
            return True
        # An answer that is overdue is asked for again with the next heartbeat.
        is_overdue = board.read_answered_at_s < self._read_asked_at_s
        return is_overdue or now_s - self._read_asked_at_s > READ_S - READ_GRAIN_S

    def on_platform_read(self, read: PlatformRead, now_s: float) -> None:
        """Take in the answer to a platform read.

        A version below the known one would contradict the platform's linearizable
        reads, so that such an answer proves nothing and is not counted.

        Args:
            read: What was read.
            now_s: Local time.
        """
        board = self.board
        board.read_answered_at_s = now_s
        is_current = read.fleet.version >= board.fleet.version
        board.adopt_fleet(read.fleet, now_s)
        board.adopt_inventory(read.inventory)
        board.adopt_vms(read.vms)
        if is_current:
            self._confirm_fresh(read.sent_at_s)

    def on_beat(self, beat: Beat, now_s: float) -> None:
        """Take in a heartbeat and answer it.

        Args:
            beat: The message.
            now_s: Local time.
        """
        board = self.board
        peer = board.peers_by_id.setdefault(beat.node_id, PeerView())
        if peer.incarnation != beat.incarnation:
            peer.incarnation = beat.incarnation
            peer.promised_at_s = -1e9
        peer.heard_at_s = now_s
        peer.their_sent_at_s = beat.sent_at_s
        mine = board.versions()
        theirs = beat.versions
        if is_newer(theirs, mine):
            self._ask_for_state(beat.node_id, theirs, now_s)
        if theirs.fleet <= mine.fleet:
            self._count_beat(beat, peer)
        if not beat.reply:
            board.send(beat.node_id, self._make_beat(beat.node_id, now_s, True))

    def _ask_for_state(self, node_id: str, versions: Versions, now_s: float) -> None:
        """Ask a peer for newer objects, unless another one is about to send them."""
        asked = self._state_asked_for
        if now_s - self._state_asked_at_s < STATE_AGAIN_S and not is_newer(
            versions, asked
        ):
            return
        self._state_asked_for = versions
        self._state_asked_at_s = now_s
        request = StateRequest(self.board.node_id, self.board.versions())
        self.board.send(node_id, request)

    def on_state_request(self, request: StateRequest) -> None:
        """Send what a peer lacks.

        Args:
            request: The versions that the peer knows.
        """
        board = self.board
        mine = board.versions()
        known = request.versions
        board.send(
            request.node_id,
            State(
                board.node_id,
                board.fleet if mine.fleet > known.fleet else None,
                board.declared if mine.inventory > known.inventory else None,
                board.vms if mine.vms > known.vms else None,
            ),
        )

    def on_state(self, state: State, now_s: float) -> None:
        """Adopt newer objects from a peer.

        Args:
            state: The peer's objects.
            now_s: Local time.
        """
        if state.fleet is not None:
            self.board.adopt_fleet(state.fleet, now_s)
        if state.inventory is not None:
            self.board.adopt_inventory(state.inventory)
        if state.vms is not None:
            self.board.adopt_vms(state.vms)

    def on_stop_writes(self, message: StopWrites, now_s: float) -> None:
        """Adopt a promotion and confirm that no older term is written to.

        Args:
            message: The fleet state of the promotion.
            now_s: Local time.
        """
        board = self.board
        board.adopt_fleet(message.fleet, now_s)
        board.send(
            message.node_id,
            WritesStopped(
                board.node_id,
                board.incarnation,
                message.attempt_id,
                board.seen_positions(now_s),
            ),
        )

    def on_writes_ended(self, message: WritesEnded) -> None:
        """Keep up to which position a group's commits reach.

        Args:
            message: What the promoter found out.
        """
        self.board.ended_by_group[message.group_id] = message

    def _confirm_fresh(self, read_sent_at_s: float) -> None:
        board = self.board
        if read_sent_at_s <= board.fresh_at_s:
            return
        board.note_fresh(read_sent_at_s)

    def _count_beat(self, beat: Beat, peer: PeerView) -> None:
        board = self.board
        if beat.echo_s is None or beat.echo_incarnation != board.incarnation:
            return
        if beat.promising:
            peer.promised_at_s = max(peer.promised_at_s, beat.echo_s)
        if beat.fresh_age_s is not None:
            self._confirm_fresh(beat.echo_s - beat.fresh_age_s)
        keys_by_domain = board.index().keys_by_domain
        for promise in beat.domain_promises:
            key = keys_by_domain.get(promise.failure_domain)
            if promise.members_key != key:
                continue
            promised_at_s = beat.echo_s - promise.age_s
            view = board.domains_by_id.setdefault(promise.failure_domain, DomainView())
            if view.members_key != key:
                view.members_key = key
                view.promised_at_s = promised_at_s
            view.promised_at_s = max(view.promised_at_s, promised_at_s)

    def _make_beat(self, to_node: str, now_s: float, reply: bool) -> Beat:
        board = self.board
        peer = board.peers_by_id.get(to_node, PeerView())
        promising = not board.promoting
        if promising:
            lapse_s = PROMISE_S * (1 + CLOCK_DRIFT)
            board.promised_until_s = max(board.promised_until_s, now_s + lapse_s)
        fresh_age_s = now_s - board.fresh_at_s
        return Beat(
            board.node_id,
            board.incarnation,
            now_s,
            peer.their_sent_at_s,
            peer.incarnation,
            board.versions(),
            fresh_age_s if fresh_age_s < PERMIT_S else None,
            promising,
            self._domain_promises(now_s, promising),
            reply,
        )

    def _domain_promises(
        self, now_s: float, promising: bool
    ) -> tuple[DomainPromise, ...]:
        """Return promises of whole failure domains, collected a short time ago.

        Ages grow with the time since; what was collected stays true for its members.
        """
        board = self.board
        is_old = now_s - self._collected_at_s >= COLLECT_S
        key = (board.fleet.version, promising)
        if is_old or key != self._collected_for:
            self._collected = collect_domain_promises(board, now_s, promising)
            self._collected_at_s = now_s
            self._collected_for = key
        waited_s = now_s - self._collected_at_s
        if not waited_s:
            return self._collected
        return tuple(
            DomainPromise(item.failure_domain, item.members_key, item.age_s + waited_s)
            for item in self._collected
        )


def is_newer(versions: Versions, than: Versions) -> bool:
    """Return whether any of the platform's objects is newer.

    Args:
        versions: Of one node.
        than: Of another.

    Returns:
        True if at least one is.
    """
    return (
        versions.fleet > than.fleet
        or versions.inventory > than.inventory
        or versions.vms > than.vms
    )


def collect_domain_promises(
    board: Blackboard, now_s: float, promising: bool
) -> tuple[DomainPromise, ...]:
    """Return what this node knows of the promises of whole failure domains.

    Args:
        board: The node's state.
        now_s: Local time.
        promising: Whether this node itself promises now.

    Returns:
        An entry for each failure domain all of whose members promised recently.
    """
    promises = []
    index = board.index()
    for domain, members in index.members_by_domain.items():
        if domain == board.failure_domain and not promising:
            continue
        promised_at_s = min(now_s, domain_promised_at(board, domain, members))
        age_s = now_s - promised_at_s
        if age_s >= PROMISE_S:
            continue
        promises.append(DomainPromise(domain, index.keys_by_domain[domain], age_s))
    return tuple(promises)


def is_heard(board: Blackboard, member: Member, now_s: float) -> bool:
    """Return whether a member was heard of lately; this node always is.

    Args:
        board: The node's state.
        member: A member.
        now_s: Local time.

    Returns:
        True if a heartbeat arrived within RELAY_SILENCE_S.
    """
    if member.node_id == board.node_id:
        return True
    peer = board.peers_by_id.get(member.node_id)
    return peer is not None and now_s - peer.heard_at_s < RELAY_SILENCE_S


def find_relay(board: Blackboard, domain: str, now_s: float) -> Member | None:
    """Return the relay of a failure domain as this node sees it.

    Args:
        board: The node's state.
        domain: Failure domain.
        now_s: Local time.

    Returns:
        The first member in relay order that was heard of, or None.
    """
    for member in board.index().members_by_domain.get(domain, ()):
        if is_heard(board, member, now_s):
            return member
    return None


def acts_as_relay(board: Blackboard, now_s: float) -> bool:
    """Return whether this node reads the platform for its failure domain.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        True for the relay of the node's failure domain.
    """
    relay = find_relay(board, board.failure_domain, now_s)
    return relay is not None and relay.node_id == board.node_id


def find_beat_targets(board: Blackboard, now_s: float) -> list[Member]:
    """Return the members that this node sends heartbeats to.

    Args:
        board: The node's state.
        now_s: Local time.

    Returns:
        The relay and its stand-by of the own failure domain; for a relay also those of
        every other one, and members of its own that are silent.
    """
    is_relay = acts_as_relay(board, now_s)
    targets = []
    for domain, members in board.index().members_by_domain.items():
        if domain != board.failure_domain and not is_relay:
            continue
        targets.extend(_take_until_live(board, members, now_s))
        if is_relay and domain == board.failure_domain:
            # A member that sends nothing is asked before it is taken for gone.
            targets.extend(
                member
                for member in members
                if member not in targets and not is_heard(board, member, now_s)
            )
    return targets


def _take_until_live(
    board: Blackboard, members: tuple[Member, ...], now_s: float
) -> list[Member]:
    taken = []
    live = 0
    for member in members:
        if live == LIVE_RELAYS:
            break
        if is_heard(board, member, now_s):
            live += 1
        if member.node_id != board.node_id:
            taken.append(member)
    return taken
