"""Who is removed when nodes hear each other, the platform, both or neither.

The nodes are whole ones on simulated time; the platform accepts one change at a time.
"""

import random
from dataclasses import replace

import pytest

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.constants import EVICT_AFTER_S
from pollencleat.core.data import Fleet, Inventory, VmList
from pollencleat.core.effects import (
    FleetUpdated,
    PlatformRead,
    ReadPlatform,
    UpdateFleet,
)
from pollencleat.core.timers import TimerService
from pollencleat.daemon.node import Node

STEP_S = 0.01
CALL_S = 0.01
"""Time between two steps, and time that a call to the platform takes."""

START_S = 100.0
JOINED_S = 12.0
"""Time after which the members of a fleet have joined and vouch for each other."""


class Fleets:
    """Nodes in failure domains, with links that can be cut."""

    def __init__(self, count, domains, seed=1):
        self.now_s = START_S
        self.fleet = Fleet()
        self.removed = set()
        self.due = []
        self.cut_from_peers = set()
        self.cut_from_platform = set()
        self.dead = set()
        self.nodes = {}
        self.timers = {}
        for number in range(count):
            name = f"n{number:02}"
            timers = TimerService(lambda: self.now_s)
            board = Blackboard(
                name, f"{name}-1", f"d{number % domains}", name, "", random.Random(seed)
            )
            self.nodes[name] = Node(board, timers)
            self.timers[name] = timers

    def run(self, seconds):
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            due = [item for item in self.due if item[0] <= self.now_s]
            self.due = [item for item in self.due if item[0] > self.now_s]
            for _, name, event in due:
                if name not in self.dead:
                    self.nodes[name].handle(event)
            for name, node in self.nodes.items():
                if name not in self.dead:
                    self.timers[name].run_due()
                    self._carry_out(name, node.board)

    def _carry_out(self, name, board):
        effects, board.effects = board.effects, []
        for effect in effects:
            result = self._call(name, effect)
            if result is not None:
                self.due.append((self.now_s + CALL_S, name, result))
        outbox, board.outbox = board.outbox, []
        for envelope in outbox:
            if {name, envelope.to_node} & self.cut_from_peers:
                continue
            self.due.append((self.now_s + CALL_S, envelope.to_node, envelope.message))

    def _call(self, name, effect):
        if name in self.cut_from_platform:
            if isinstance(effect, UpdateFleet):
                return FleetUpdated(effect, None)
            return None
        if isinstance(effect, ReadPlatform):
            inventory = replace(Inventory(), version=1)
            return PlatformRead(
                effect.sent_at_s, self.fleet, inventory, VmList(1, None)
            )
        if not isinstance(effect, UpdateFleet):
            return None
        if effect.expected_version != self.fleet.version:
            return FleetUpdated(effect, 0)
        members = set(self.fleet.members_by_id)
        self.removed |= members - set(effect.fleet.members_by_id)
        self.fleet = replace(effect.fleet, version=effect.expected_version + 1)
        return FleetUpdated(effect, self.fleet.version)


def make_joined(count, domains):
    world = Fleets(count, domains)
    world.run(JOINED_S)
    assert len(world.fleet.members_by_id) == count
    return world


def find_relay_name(world, domain):
    index = next(iter(world.nodes.values())).board.index()
    return index.members_by_domain[domain][0].node_id


@pytest.mark.parametrize(("count", "domains"), [(2, 1), (2, 2), (5, 3), (36, 3)])
def test_relay_that_hears_no_peer_removes_nobody_who_lives(count, domains):
    """Regression (grown Exportloket, scale-2): a relay that heard no peer for 10 s but
    read the platform removed all 24 other members."""
    world = make_joined(count, domains)
    world.cut_from_peers = {find_relay_name(world, "d0")}
    world.run(2.5 * EVICT_AFTER_S)
    assert not world.removed
    assert len(world.fleet.members_by_id) == count


@pytest.mark.parametrize(("count", "domains"), [(2, 1), (2, 2), (5, 3), (36, 3)])
def test_last_node_that_is_left_removes_all_others(count, domains):
    world = make_joined(count, domains)
    survivor = find_relay_name(world, "d0")
    world.dead = set(world.nodes) - {survivor}
    world.run(EVICT_AFTER_S + 8.0)
    assert set(world.fleet.members_by_id) == {survivor}


def test_members_cut_from_the_platform_are_kept_while_peers_hear_them():
    world = make_joined(24, 3)
    world.cut_from_platform = {f"n{number:02}" for number in range(0, 24, 3)}
    world.run(2.5 * EVICT_AFTER_S)
    assert not world.removed


def test_member_that_nobody_hears_and_that_reads_nothing_is_removed():
    world = make_joined(5, 3)
    relay = find_relay_name(world, "d0")
    world.cut_from_peers = {relay}
    world.cut_from_platform = {relay}
    world.run(EVICT_AFTER_S + 4.0)
    assert world.removed == {relay}


def test_dead_members_are_removed_while_a_living_one_is_doubted():
    world = make_joined(12, 3)
    alone = find_relay_name(world, "d0")
    dead = {find_relay_name(world, "d1"), find_relay_name(world, "d2")}
    world.cut_from_peers = {alone}
    world.dead = dead
    world.run(2.5 * EVICT_AFTER_S)
    assert world.removed == dead
