"""Mutations of the controllers, which show that each guarantee's check can fail."""

from collections.abc import Callable
from dataclasses import replace

import msgspec

from bench.fakes import FakeNode


def _skip_permit_wait(node: FakeNode) -> None:
    original = node.node.promotion.steering._advance_stopping

    def advance(attempt, now_s):
        attempt.stop_deadline_s = 0.0
        original(attempt, now_s)

    node.node.promotion.steering._advance_stopping = advance


def _count_unknown_versions(node: FakeNode) -> None:
    beats = node.node.beats
    original = beats.on_heartbeat

    def on_heartbeat(beat, now_s):
        original(with_old_fleet_version(beat), now_s)

    beats.on_heartbeat = on_heartbeat


def with_old_fleet_version(beat: object) -> object:
    """Return a heartbeat whose sender seems to know only an old fleet version.

    Its receiver then counts promises without first adopting the sender's version.

    Args:
        beat: A heartbeat.

    Returns:
        A copy with fleet version 0.
    """
    versions = msgspec.structs.replace(beat.versions, fleet=0)
    return msgspec.structs.replace(beat, versions=versions)


def _date_from_arrival(node: FakeNode) -> None:
    beats = node.node.beats
    original = beats._record_promises

    def count(beat, peer):
        now_s = node.timers.clock()
        original(msgspec.structs.replace(beat, echo_s=now_s), peer)

    beats._record_promises = count


def _promote_without_right(node: FakeNode) -> None:
    def may_start(now_s):
        board = node.board
        return (
            board.is_member()
            and node.node.promotion._start_pending is None
            and now_s - board.fleet_confirmed_at_s < 1.2
        )

    node.node.promotion._may_start = may_start
    node.node.promotion.detector._rank = lambda group_id, among=None: 0


def _write_during_promotion(node: FakeNode) -> None:
    original = node.board.adopt_fleet

    def adopt(fleet, now_s):
        terms = {
            group_id: node.board.fleet.terms_by_group.get(group_id, term)
            if term.promotion and term.promotion.node_id != node.node_id
            else term
            for group_id, term in fleet.terms_by_group.items()
        }
        return original(replace(fleet, terms_by_group=terms), now_s)

    node.board.adopt_fleet = adopt


MUTATIONS: dict[str, Callable[[FakeNode], None]] = {
    "skip the wait for permits": _skip_permit_wait,
    "count promises of unknown versions": _count_unknown_versions,
    "date permits and promises from their arrival": _date_from_arrival,
    "write while a promotion is in progress": _write_during_promotion,
    "promote without the promotion right": _promote_without_right,
}
