"""A small model of doubts and removals, searched exhaustively.

Three members; any of them may be dead, cut off from the platform, or unable to hear
another.  A member that reads the platform does so at least once in READ_TICKS.  A step
is a tick, a read, a doubt or a removal.

Two properties: no member is removed that lives and reads the platform, or that a living
reader hears; a dead member can be removed as long as one that reads is left.  ``RULES``
names what the first rests on; leaving one out must make the search find a violation.
"""

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

MEMBERS = (0, 1, 2)
READ_TICKS = 2
"""Ticks within which a living member that reaches the platform reads it."""

ANSWER_TICKS = 3
"""Ticks for which a doubt stands before the removal: more than a read takes."""

RULES = (
    "a doubt stands before a removal",
    "the doubt has stood for longer than a read takes",
    "a doubted member answers",
    "a member that hears a doubted one answers",
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is broken, for the whole run.

    Attributes:
        hears: Pairs of members that hear each other.
        dead: Members that do nothing.
        cut: Members that do not reach the platform.
    """

    hears: frozenset[frozenset[int]]
    dead: frozenset[int]
    cut: frozenset[int]

    def reads(self, member: int) -> bool:
        """Return whether a member lives and reaches the platform."""
        return member not in self.dead and member not in self.cut

    def hears_of(self, member: int, other: int) -> bool:
        """Return whether a member hears another, which lives."""
        return other not in self.dead and frozenset({member, other}) in self.hears


@dataclass(frozen=True, slots=True)
class State:
    """The fleet state's members and doubts, with ages in ticks."""

    members: frozenset[int] = frozenset(MEMBERS)
    doubted: frozenset[int] = frozenset()
    doubt_ticks: tuple[int, ...] = (0, 0, 0)
    read_ticks: tuple[int, ...] = (0, 0, 0)


def list_scenarios() -> Iterator[Scenario]:
    """Yield every combination of dead members, cuts and links."""
    pairs = [frozenset(pair) for pair in itertools.combinations(MEMBERS, 2)]
    for dead in subsets(MEMBERS):
        for cut in subsets(MEMBERS):
            for hears in subsets(pairs):
                yield Scenario(hears, dead, cut)


def subsets(items: tuple | list) -> list[frozenset]:
    """Return all subsets."""
    sizes = range(len(items) + 1)
    return [
        frozenset(chosen)
        for size in sizes
        for chosen in itertools.combinations(items, size)
    ]


def list_steps(
    state: State, scenario: Scenario, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    """Yield the name and result of every step.

    Args:
        state: Where to start.
        scenario: What is broken.
        rules: Rules in force.

    Yields:
        Name and next state.
    """
    readers = [member for member in state.members if scenario.reads(member)]
    if all(state.read_ticks[member] < READ_TICKS for member in readers):
        yield "tick", _tick(state)
    for member in readers:
        yield f"{member} reads", _read(state, scenario, member, rules)
        for other in state.members - {member}:
            if scenario.hears_of(member, other):
                continue
            if other not in state.doubted:
                yield f"{member} doubts {other}", _doubt(state, other)
            if _may_remove(state, other, rules):
                members = state.members - {other}
                yield f"{member} removes {other}", replace(state, members=members)


def _tick(state: State) -> State:
    return replace(
        state,
        doubt_ticks=tuple(
            min(ANSWER_TICKS, ticks + (member in state.doubted))
            for member, ticks in enumerate(state.doubt_ticks)
        ),
        read_ticks=tuple(min(READ_TICKS, ticks + 1) for ticks in state.read_ticks),
    )


def _doubt(state: State, other: int) -> State:
    ticks = list(state.doubt_ticks)
    ticks[other] = 0
    return replace(state, doubted=state.doubted | {other}, doubt_ticks=tuple(ticks))


def _read(
    state: State, scenario: Scenario, member: int, rules: frozenset[str]
) -> State:
    answered = set()
    if "a doubted member answers" in rules:
        answered.add(member)
    if "a member that hears a doubted one answers" in rules:
        answered |= {
            other for other in state.doubted if scenario.hears_of(member, other)
        }
    ticks = list(state.read_ticks)
    ticks[member] = 0
    return replace(state, doubted=state.doubted - answered, read_ticks=tuple(ticks))


def _may_remove(state: State, other: int, rules: frozenset[str]) -> bool:
    if "a doubt stands before a removal" not in rules:
        return True
    if other not in state.doubted:
        return False
    if "the doubt has stood for longer than a read takes" not in rules:
        return True
    return state.doubt_ticks[other] >= ANSWER_TICKS


def is_wrong(state: State, scenario: Scenario) -> bool:
    """Return whether a member was removed that somebody could speak for."""
    for gone in set(MEMBERS) - state.members:
        if gone in scenario.dead:
            continue
        if scenario.reads(gone):
            return True
        hearers = [other for other in state.members if scenario.reads(other)]
        if any(scenario.hears_of(other, gone) for other in hearers):
            return True
    return False


def search(
    scenario: Scenario, rules: frozenset[str]
) -> tuple[set[State], tuple[str, ...]]:
    """Visit every state of a scenario.

    Args:
        scenario: What is broken.
        rules: Rules in force.

    Returns:
        The states, and the steps to the first wrong one, if any.
    """
    start = State()
    parents: dict[State, tuple[State, str] | None] = {start: None}
    queue = deque([start])
    while queue:
        state = queue.popleft()
        for label, following in list_steps(state, scenario, rules):
            if following in parents:
                continue
            parents[following] = (state, label)
            if is_wrong(following, scenario):
                return set(parents), _trace(parents, following)
            queue.append(following)
    return set(parents), ()


def _trace(
    parents: dict[State, tuple[State, str] | None], state: State
) -> tuple[str, ...]:
    labels = []
    while (parent := parents[state]) is not None:
        state, label = parent
        labels.append(label)
    return tuple(reversed(labels))
