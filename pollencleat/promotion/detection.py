"""Decides when a group's primary is replaced, and by which node.

Load pattern: all nodes suspect a dead primary at the same moment.  Each asks the others
when the server last answered them, a few at once and the rest later; the first in the
group's ranking of those that answer starts the promotion, and the next one only if it
does not.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import PRIMARY_TIMEOUT_S
from pollencleat.core.data import GroupTerm, Position, Promotion
from pollencleat.core.index import rank_members
from pollencleat.core.messages import Sighting, SightingRequest
from pollencleat.promotion.choice import (
    reaches_latest_term,
)
from pollencleat.promotion.suspicion import (
    PeerSighting,
    Suspicion,
    assess_primary,
    hears_other_domain,
    is_unresponsive,
    known_log_end,
    shows_server_alive,
)
from pollencleat.routing.placement import has_left

log = structlog.get_logger()

START_MAX_READ_AGE_S = 1.5
"""Largest age in seconds of the platform read that permits the start of a promotion."""

PEER_ANSWER_TIMEOUT_S = 0.15
"""Seconds to wait for answers to a SightingRequest."""

UNDELAYED_ASKERS = 6
"""Number of candidates that ask all their peers without a delay.  The number is limited
because all nodes suspect a dead primary at the same moment."""

ASK_RANK_DELAY_S = 0.1
"""Seconds that each further candidate waits longer before it asks its peers."""

ASK_PEERS_INTERVAL_S = 0.1
"""Seconds before the peers are asked again."""

START_RANK_DELAY_S = 0.25
"""Seconds that each further candidate waits longer before it starts a promotion."""

MAX_RANK = 8
"""Largest rank that delays a candidate; the longest delay is bounded by it."""

PROMOTER_TIMEOUT_S = 2.5
"""Seconds without an answer from the promoter until its promotion is taken over."""

TAKE_OVER_AFTER_S = 18.0
"""Seconds after which a promotion is taken over even if its promoter answers."""

ASK_PROMOTER_INTERVAL_S = 0.4
"""Seconds between two liveness requests to the promoter of a promotion."""

SUCCESSOR_STATUS_INTERVAL_S = 0.3
"""Seconds between two status reads of a server that may succeed a leaving primary."""

SUCCESSOR_ANSWER_AGE_S = 1.0
"""Seconds for which an answer shows that a server can succeed a leaving primary."""

EMPTY_LOG_END = Position(0, 0)

WARM_UP_S = 1.0
"""Seconds of uninterrupted platform reads before a node may start a promotion."""


@dataclass
class SuspectedPrimary:
    """A suspected failure of a group's primary.

    Attributes:
        suspected_at_s: Local time at which this node began to suspect the primary.
        peers_asked_at_s: Local time of the last SightingRequest to all peers.
        sightings_by_node: The newest report of each peer about the primary.
    """

    suspicion: Suspicion
    suspected_at_s: float
    peers_asked_at_s: float = -1e9
    sightings_by_node: dict[str, PeerSighting] = field(default_factory=dict)


class PrimaryDetector:
    """Suspects primaries, asks the peers, and ranks the candidates.

    Attributes:
        suspects_by_group: Primaries that this node suspects.
        foreign_attempts_by_group: Attempt id of the promotion that another node carries
            out, and the local time at which this node first saw it.
    """

    def __init__(self, board: Blackboard, started_at_s: float) -> None:
        """Start without suspicions.

        Args:
            board: The node's state.
            started_at_s: Local time since which the platform has been read without
                interruption.
        """
        self.board = board
        self.suspects_by_group: dict[str, SuspectedPrimary] = {}
        self.foreign_attempts_by_group: dict[str, tuple[str, float]] = {}
        self._started_at_s = started_at_s
        self._promoter_asked_at_s: dict[str, float] = {}
        self._peer_answered_at_s: dict[str, float] = {}

    def may_judge(self, now_s: float) -> bool:
        """Return whether what this node has seen lately says something about servers.

        Suspicions from a time in which this node itself was cut off are dropped.

        Args:
            now_s: Local time.
        """
        if now_s - self.board.fleet_confirmed_at_s >= START_MAX_READ_AGE_S:
            if not hears_other_domain(self.board, now_s):
                self._started_at_s = now_s
                self.suspects_by_group.clear()
            return False
        return now_s - self._started_at_s >= WARM_UP_S

    def find_due_replacement(self, group_id: str, now_s: float) -> Suspicion:
        """Return why this node should replace a group's primary now.

        Args:
            group_id: A group without a promotion in progress.
            now_s: Local time.

        Returns:
            The reason; NONE if the primary is kept or another node should act first.
        """
        term = self.board.group_term(group_id)
        self.foreign_attempts_by_group.pop(group_id, None)
        suspicion = assess_primary(self.board, term, now_s)
        if suspicion is Suspicion.NONE:
            self.suspects_by_group.pop(group_id, None)
            return suspicion
        suspect = self.suspects_by_group.get(group_id)
        if suspect is None or suspect.suspicion is not suspicion:
            suspect = SuspectedPrimary(suspicion, now_s)
            self.suspects_by_group[group_id] = suspect
            self._log_suspicion(group_id, term, suspicion, now_s)
        if self._is_replacement_due(group_id, term, suspect, now_s):
            return suspicion
        return Suspicion.NONE

    def _log_suspicion(
        self, group_id: str, term: GroupTerm | None, suspicion: Suspicion, now_s: float
    ) -> None:
        server_id = term.primary if term is not None else ""
        view = self.board.server_view(server_id)
        log.info(
            "primary suspected",
            group=group_id,
            server=server_id,
            reason=suspicion.value,
            answered_ago_ms=round((now_s - view.answered_at_s) * 1000),
            owes_for_ms=round(view.unanswered_for_s(now_s) * 1000),
            open_requests=view.open_requests,
            refused=view.refused_at_s is not None,
            read_age_ms=round((now_s - self.board.fleet_confirmed_at_s) * 1000),
            fleet=self.board.fleet.version,
        )

    def _is_replacement_due(
        self,
        group_id: str,
        term: GroupTerm | None,
        suspect: SuspectedPrimary,
        now_s: float,
    ) -> bool:
        if suspect.suspicion is Suspicion.LOST:
            delayed_rank = max(0, self._rank(group_id) + 1 - UNDELAYED_ASKERS)
            if now_s - suspect.suspected_at_s < delayed_rank * ASK_RANK_DELAY_S:
                return False
            self._ask_peers(term.primary, suspect, now_s)
            # Rank only nodes that answer: the others are cut off or dead, and waiting
            # for them to start would delay the promotion.
            reachable = {self.board.node_id, *suspect.sightings_by_node}
            wait_s = self._rank(group_id, reachable) * START_RANK_DELAY_S
            if not self._have_all_peers_answered(suspect):
                wait_s += PEER_ANSWER_TIMEOUT_S
            for sighting in suspect.sightings_by_node.values():
                if shows_server_alive(sighting, now_s):
                    return False
        else:
            if suspect.suspicion is Suspicion.LEAVING and not self._has_successor(
                term, now_s
            ):
                return False
            wait_s = self._rank(group_id) * START_RANK_DELAY_S
        if not self._has_candidate(group_id, term, now_s):
            return False
        return now_s - suspect.suspected_at_s >= wait_s

    def _has_successor(self, term: GroupTerm, now_s: float) -> bool:
        """Return whether a leaving primary can be replaced without losing commits.

        It keeps the lead until a server that can succeed it has received everything
        with which its term began.  Until that is known, statuses are read.
        """
        board = self.board
        if term.primary not in board.inventory.servers_by_id:
            return True
        if reaches_latest_term(term.history, EMPTY_LOG_END):
            return True
        candidates = self._find_candidates(term, now_s)
        for server_id in candidates:
            view = board.server_view(server_id)
            if now_s - view.answered_at_s >= SUCCESSOR_ANSWER_AGE_S:
                continue
            if view.refused_at_s is not None or is_unresponsive(view, now_s):
                continue
            log_end = known_log_end(view)
            if log_end is not None and reaches_latest_term(term.history, log_end):
                return True
        for server_id in candidates:
            view = board.server_view(server_id)
            if now_s - view.status_sent_at_s >= SUCCESSOR_STATUS_INTERVAL_S:
                board.statuses_wanted.add(server_id)
        return False

    def _find_candidates(self, term: GroupTerm, now_s: float) -> list[str]:
        """Return the servers that may succeed a leaving primary.

        A primary that gets no more statements may be succeeded by a server that leaves
        too, but later.
        """
        board = self.board
        has_primary_left = has_left(board, term.primary, now_s)
        candidates = []
        for server_id in board.inventory.groups_by_id[term.group_id].server_ids:
            if server_id == term.primary:
                continue
            is_leaving = server_id in board.vms.leaving
            if is_leaving and not has_primary_left:
                continue
            if is_leaving and has_left(board, server_id, now_s):
                continue
            candidates.append(server_id)
        return candidates

    def _have_all_peers_answered(self, suspect: SuspectedPrimary) -> bool:
        others = set(self.board.fleet.members_by_id) - {self.board.node_id}
        return others <= set(suspect.sightings_by_node)

    def _has_candidate(
        self, group_id: str, term: GroupTerm | None, now_s: float
    ) -> bool:
        board = self.board
        for server_id in board.inventory.groups_by_id[group_id].server_ids:
            if term is not None and server_id == term.primary:
                continue
            if now_s - board.server_view(server_id).answered_at_s < PRIMARY_TIMEOUT_S:
                return True
            if self._is_presumed_alive(server_id, now_s):
                return True
        return term is None

    def _is_presumed_alive(self, server_id: str, now_s: float) -> bool:
        """Return whether a registered but unsampled server can be assumed alive."""
        if server_id not in self.board.vms.servers_by_id:
            return False
        view = self.board.server_view(server_id)
        if view.refused_at_s is not None:
            return False
        return view.unanswered_for_s(now_s) < PRIMARY_TIMEOUT_S

    def _rank(self, group_id: str, among: Collection[str] | None = None) -> int:
        """Return this node's rank among the members that may promote.

        Args:
            group_id: The group.
            among: Node ids to rank, including this one; None for all members.

        Returns:
            The rank, at most MAX_RANK; the node with rank 0 should start the promotion.
        """
        candidates = [
            member
            for member in self.board.fleet.members_by_id.values()
            if member.may_promote and (among is None or member.node_id in among)
        ]
        ranked = rank_members(group_id, candidates)
        ids = [member.node_id for member in ranked]
        return min(ids.index(self.board.node_id), MAX_RANK)

    def _ask_peers(
        self, server_id: str, suspect: SuspectedPrimary, now_s: float
    ) -> None:
        if now_s - suspect.peers_asked_at_s < ASK_PEERS_INTERVAL_S:
            return
        suspect.peers_asked_at_s = now_s
        for node_id in self.board.fleet.members_by_id:
            if node_id == self.board.node_id:
                continue
            self.board.send(node_id, SightingRequest(self.board.node_id, server_id))

    def on_sighting(self, sighting: Sighting, now_s: float) -> None:
        """Record a peer's report about a suspected primary.

        Args:
            sighting: The report.  Its age is subtracted from the arrival time, so that
                the error favors keeping the primary.
            now_s: Local time of the arrival.
        """
        self._peer_answered_at_s[sighting.node_id] = now_s
        for group_id, suspect in self.suspects_by_group.items():
            term = self.board.group_term(group_id)
            if term is None or term.primary != sighting.server_id:
                continue
            age_s = sighting.age_s if sighting.age_s is not None else 1e9
            suspect.sightings_by_node[sighting.node_id] = PeerSighting(
                now_s - age_s, sighting.refused, now_s
            )

    def is_take_over_due(self, term: GroupTerm, now_s: float) -> bool:
        """Return whether this node should take over another node's promotion.

        Args:
            term: The group's term, with the promotion.
            now_s: Local time.
        """
        promotion = term.promotion
        self.suspects_by_group.pop(term.group_id, None)
        attempt_id, first_seen_at_s = self.foreign_attempts_by_group.get(
            term.group_id, ("", now_s)
        )
        if attempt_id != promotion.attempt_id:
            first_seen_at_s = now_s
            self.foreign_attempts_by_group[term.group_id] = (
                promotion.attempt_id,
                now_s,
            )
        wait_s = self._rank(term.group_id) * START_RANK_DELAY_S
        promoter = self.board.fleet.members_by_id.get(promotion.node_id)
        is_promoter_gone = (
            promoter is None or promoter.incarnation != promotion.incarnation
        )
        if is_promoter_gone:
            return now_s - first_seen_at_s >= wait_s
        self._ask_promoter(promotion, now_s)
        answered_at_s = max(
            first_seen_at_s,
            self._peer_answered_at_s.get(promotion.node_id, first_seen_at_s),
        )
        if now_s - answered_at_s >= wait_s + PROMOTER_TIMEOUT_S:
            return True
        return now_s - first_seen_at_s >= wait_s + TAKE_OVER_AFTER_S

    def _ask_promoter(self, promotion: Promotion, now_s: float) -> None:
        asked_at_s = self._promoter_asked_at_s.get(promotion.node_id, -1e9)
        if now_s - asked_at_s < ASK_PROMOTER_INTERVAL_S:
            return
        self._promoter_asked_at_s[promotion.node_id] = now_s
        request = SightingRequest(self.board.node_id, promotion.old_primary)
        self.board.send(promotion.node_id, request)
