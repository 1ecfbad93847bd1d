"""A small model of membership, permits, promises and promotion, searched exhaustively.

Three nodes, one group.  Nodes 0 and 1 are members at first; node 2 may join.  Time is a
number of ticks, and every permit or promise has some ticks left.  A step is one of:
a tick, a platform read, a heartbeat, joining, vouching, removing, the three parts of
starting a term (sent, in force, known), a confirmation, making a server writable, and
publishing it.  Any node may be cut off, slow or paused: the search simply takes no step
for it, while its permits go on running out.

The one property: when a server has been made writable in a term, no node may still
write under an older term.  ``RULES`` names what the protocol relies on; leaving one out
must make the search find a violation, which shows that the property can fail.

A delivery that is late is not modelled apart: its credits are counted from the request
that it echoes, so it equals an early delivery that has aged.
"""

import random
import sys
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace

import click

PERMIT = 2
PROMISE = 2
WAIT = 3
"""Ticks that a promoter or a voucher waits: more than a permit or promise lasts."""

NODES = (0, 1, 2)
RULES = (
    "withhold promises while a start may be under way",
    "wait for permits on the slow path",
    "wait for own promises on the slow path",
    "ask all members on the fast path",
    "ask members that were removed lately",
    "adopt the sender's version before counting its promise",
    "only a vouched member promotes",
    "vouch only after older promises lapsed",
    "an heir waits until older promises lapsed",
    "only the successor of a vouched member is an heir",
    "stop writing when told of a promotion",
    "only a member writes",
    "a start is one conditional update",
    "only a first attempt is withdrawn",
)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The fleet object in one version.

    Attributes:
        removed: Former members, each with the version that removed it.
        heirs: Members whose former process was vouched for and is dead: nobody can
            count promises without also requiring those of the dead one.
        lead: Term in which the server became writable that is the primary.
        taken_over: The attempt in progress follows one that did not end.
    """

    version: int
    members: frozenset[int]
    vouched: frozenset[int]
    removed: frozenset[tuple[int, int]]
    term: int
    promoter: int | None
    heirs: frozenset[int] = frozenset()
    lead: int = 0
    taken_over: bool = False


@dataclass(frozen=True, slots=True)
class NodeState:
    """One node.

    Attributes:
        fresh: Ticks left of the permit by platform reads.
        held: Ticks left of each node's promise.
        given: Ticks left of the newest promise given.
        pending: Version that an own start of a term expects, or None.
        wait: Ticks left until all older permits have lapsed; None without an attempt.
        confirmed: Who confirmed the attempt.
        newcomers: Ticks since the node learned of members that are not vouched for.
        removals: Ticks since the node learned of removals.
    """

    known: Snapshot
    fresh: int = 0
    held: tuple[int, int, int] = (0, 0, 0)
    given: int = 0
    pending: int | None = None
    wait: int | None = None
    confirmed: frozenset[int] = frozenset()
    newcomers: tuple[int, int, int] = (0, 0, 0)
    removals: tuple[int, int, int] = (WAIT, WAIT, WAIT)


@dataclass(frozen=True, slots=True)
class State:
    """Everything: the platform's object, the nodes and the newest writable term."""

    store: Snapshot
    nodes: tuple[NodeState, NodeState, NodeState]
    writable: int = 0


def first_state(member_count: int = 2) -> State:
    """Return the start: members that know each other.

    Args:
        member_count: 2, so that one node may join, or 3.

    Returns:
        The state.
    """
    members = frozenset(NODES[:member_count])
    first = Snapshot(1, members, members, frozenset(), 0, None)
    empty = Snapshot(0, frozenset(), frozenset(), frozenset(), 0, None)
    nodes = [NodeState(first if number in members else empty) for number in NODES]
    return State(first, tuple(nodes))


def may_write(node: int, state: NodeState, rules: frozenset[str]) -> bool:
    """Return whether a node would acknowledge a write under the term it knows.

    Args:
        node: Its number.
        state: Its state.
        rules: Rules in force.

    Returns:
        True if it holds a permit.
    """
    known = state.known
    if node not in known.members and "only a member writes" in rules:
        return False
    stops = "stop writing when told of a promotion" in rules
    if known.promoter is not None and stops:
        return False
    if state.fresh > 0:
        return True
    others = known.members - {node}
    if node not in known.members:
        return False
    return all(state.held[other] > 0 for other in others)


def find_violation(state: State, rules: frozenset[str]) -> str | None:
    """Return how a state breaks the property.

    Args:
        state: A state.
        rules: Rules in force.

    Returns:
        A description, or None.
    """
    for number, node in enumerate(state.nodes):
        lead = node.known.lead
        if lead < state.writable and may_write(number, node, rules):
            return (
                f"node {number} writes to the server of term {lead}, a server is "
                f"writable in term {state.writable}"
            )
    return None


def adopt(state: NodeState, snapshot: Snapshot, number: int) -> NodeState:
    """Return a node that knows a newer version.

    Args:
        state: The node.
        snapshot: What it is told.
        number: Its number.

    Returns:
        The node; its own start is settled when a version beyond the expected is known.
    """
    if snapshot.version <= state.known.version:
        return state
    newcomers = list(state.newcomers)
    removals = list(state.removals)
    for other in NODES:
        if other in snapshot.members and other not in state.known.members:
            newcomers[other] = 0
    for other, _ in snapshot.removed - state.known.removed:
        removals[other] = 0
    changed = replace(
        state, known=snapshot, newcomers=tuple(newcomers), removals=tuple(removals)
    )
    if state.pending is not None and snapshot.version > state.pending:
        changed = replace(changed, pending=None)
    if snapshot.promoter != number:
        return replace(changed, wait=None, confirmed=frozenset())
    if changed.wait is None:
        changed = replace(changed, wait=max(WAIT, changed.given), confirmed=frozenset())
    return changed


def with_node(state: State, number: int, node: NodeState) -> State:
    """Return a state with one node replaced.

    Args:
        state: The state.
        number: The node's number.
        node: Its new state.

    Returns:
        The new state.
    """
    nodes = list(state.nodes)
    nodes[number] = node
    return replace(state, nodes=tuple(nodes))


def with_store(state: State, number: int, **changes: object) -> State:
    """Return the state after a conditional update whose answer arrived.

    Args:
        state: The state.
        number: The node that made the update.
        **changes: Changed fields of the object.

    Returns:
        The new state.
    """
    store = replace(state.store, version=state.store.version + 1, **changes)
    state = replace(state, store=store)
    return with_node(state, number, adopt(state.nodes[number], store, number))


def list_steps(state: State, rules: frozenset[str]) -> Iterator[tuple[str, State]]:
    """Return all steps from a state.

    Args:
        state: The state.
        rules: Rules in force.

    Yields:
        A description and the next state.
    """
    yield "tick", _tick(state)
    for number in NODES:
        yield from _node_steps(state, number, rules)
        for other in NODES:
            if other != number:
                yield from _pair_steps(state, number, other, rules)


def _tick(state: State) -> State:
    nodes = []
    for node in state.nodes:
        nodes.append(
            replace(
                node,
                fresh=max(0, node.fresh - 1),
                held=tuple(max(0, left - 1) for left in node.held),
                given=max(0, node.given - 1),
                wait=None if node.wait is None else max(0, node.wait - 1),
                newcomers=tuple(min(WAIT, age + 1) for age in node.newcomers),
                removals=tuple(min(WAIT, age + 1) for age in node.removals),
            )
        )
    return replace(state, nodes=tuple(nodes))


def _node_steps(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    node = state.nodes[number]
    store = state.store
    read = replace(adopt(node, store, number), fresh=PERMIT)
    yield f"{number} reads the platform", with_node(state, number, read)
    if number in store.members:
        yield f"{number} restarts", _restart(state, number, rules)
    if node.known.version == store.version:
        yield from _update_steps(state, number, rules)
    elif "a start is one conditional update" not in rules:
        yield from _start_steps(state, number, rules)
    if node.pending is not None and node.pending == store.version:
        started = replace(
            store,
            version=store.version + 1,
            term=store.term + 1,
            promoter=number,
            taken_over=store.promoter is not None,
        )
        yield f"{number}'s start takes effect", replace(state, store=started)
    if _may_make_writable(number, node, rules):
        term = node.known.term
        yield (
            f"{number} makes a server writable in term {term}",
            replace(state, writable=max(state.writable, term)),
        )


def _restart(state: State, number: int, rules: frozenset[str]) -> State:
    """Return the state after a process ended and its successor registered."""
    store = state.store
    only_vouched = "only the successor of a vouched member is an heir" in rules
    is_heir = number in store.vouched | store.heirs or not only_vouched
    heirs = store.heirs | {number} if is_heir else store.heirs
    store = replace(
        store,
        version=store.version + 1,
        vouched=store.vouched - {number},
        heirs=heirs,
    )
    empty = Snapshot(0, frozenset(), frozenset(), frozenset(), 0, None)
    node = replace(adopt(NodeState(empty), store, number), wait=None)
    return with_node(replace(state, store=store), number, node)


def _update_steps(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    node = state.nodes[number]
    store = state.store
    if number not in store.members:
        changed = with_store(state, number, members=store.members | {number})
        yield f"{number} joins", changed
        return
    yield from _start_steps(state, number, rules)
    for other in store.members - store.vouched:
        waited = node.newcomers[other] >= WAIT
        if number not in store.vouched:
            continue
        if waited or "vouch only after older promises lapsed" not in rules:
            changed = with_store(state, number, vouched=store.vouched | {other})
            yield f"{number} vouches for {other}", changed
    if number in store.heirs:
        waited = node.newcomers[number] >= WAIT
        if waited or "an heir waits until older promises lapsed" not in rules:
            changed = with_store(
                state,
                number,
                vouched=store.vouched | {number},
                heirs=store.heirs - {number},
            )
            yield f"{number} vouches for itself as an heir", changed
    for other in store.members - {number}:
        changed = with_store(
            state,
            number,
            members=store.members - {other},
            vouched=store.vouched - {other},
            heirs=store.heirs - {other},
            removed=store.removed | {(other, store.version + 1)},
        )
        yield f"{number} removes {other}", changed
    if store.promoter == number and state.writable >= store.term:
        changed = with_store(state, number, promoter=None, lead=store.term)
        yield f"{number} publishes", changed
    only_first = "only a first attempt is withdrawn" in rules
    nothing_done = store.promoter == number and state.writable < store.term
    if nothing_done and not (store.taken_over and only_first):
        yield f"{number} withdraws", with_store(state, number, promoter=None)


def _start_steps(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    node = state.nodes[number]
    if node.pending is not None or node.known.promoter == number:
        return
    if number not in node.known.members:
        return
    if number not in node.known.vouched and "only a vouched member promotes" in rules:
        return
    if "a start is one conditional update" not in rules:
        changed = with_store(state, number, term=state.store.term + 1, promoter=number)
        yield f"{number} starts a term blindly", changed
        return
    sent = replace(node, pending=node.known.version)
    yield f"{number} sends a start", with_node(state, number, sent)


def _may_make_writable(number: int, node: NodeState, rules: frozenset[str]) -> bool:
    if node.known.promoter != number or node.wait is None:
        return False
    asked = node.known.members - {number}
    if "ask members that were removed lately" in rules:
        asked |= {
            other
            for other, _ in node.known.removed
            if other != number and node.removals[other] < WAIT
        }
    if "ask all members on the fast path" not in rules:
        asked = frozenset(sorted(asked)[:1])
    if asked <= node.confirmed:
        return True
    if "wait for permits on the slow path" not in rules:
        return node.given == 0
    if "wait for own promises on the slow path" not in rules:
        return node.wait <= max(0, WAIT - PERMIT)
    return node.wait == 0


def _pair_steps(
    state: State, sender: int, receiver: int, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    giver, taker = state.nodes[sender], state.nodes[receiver]
    adopts = "adopt the sender's version before counting its promise" in rules
    if adopts or taker.known.version >= giver.known.version:
        told = adopt(taker, giver.known, receiver)
    else:
        told = taker
    held = [max(*pair) for pair in zip(told.held, giver.held, strict=True)]
    held[receiver] = 0
    withheld = giver.pending is not None and RULES[0] in rules
    if not withheld:
        held[sender] = PROMISE
        giver = replace(giver, given=PROMISE)
    told = replace(told, fresh=max(told.fresh, giver.fresh), held=tuple(held))
    changed = with_node(with_node(state, sender, giver), receiver, told)
    yield f"heartbeat from {sender} to {receiver}", changed
    if state.nodes[sender].wait is not None:
        asked = adopt(taker, state.nodes[sender].known, receiver)
        confirmed = state.nodes[sender].confirmed | {receiver}
        confirming = replace(state.nodes[sender], confirmed=confirmed)
        changed = with_node(with_node(state, receiver, asked), sender, confirming)
        yield f"{receiver} confirms to {sender}", changed


@dataclass(frozen=True, slots=True)
class Search:
    """Result of a search; the trace is empty if nothing was found."""

    states: int
    violation: str
    trace: tuple[str, ...]


def search_exhaustively(
    depth: int,
    rules: frozenset[str],
    state_limit: int = 10_000_000,
    member_count: int = 2,
) -> Search:
    """Visit every state up to a number of steps.

    Args:
        depth: Longest trace.
        rules: Rules in force.
        state_limit: Stop after this many states.
        member_count: Members at the start.

    Returns:
        The first violation, with the shortest trace.
    """
    start = first_state(member_count)
    parents: dict[State, tuple[State, str] | None] = {start: None}
    queue = deque([(start, 0)])
    while queue and len(parents) < state_limit:
        state, steps = queue.popleft()
        if steps == depth:
            continue
        for label, following in list_steps(state, rules):
            if following in parents:
                continue
            parents[following] = (state, label)
            violation = find_violation(following, rules)
            if violation:
                return Search(len(parents), violation, _trace(parents, following))
            queue.append((following, steps + 1))
    return Search(len(parents), "", ())


def _trace(
    parents: dict[State, tuple[State, str] | None], state: State
) -> tuple[str, ...]:
    labels = []
    while (parent := parents[state]) is not None:
        state, label = parent
        labels.append(label)
    return tuple(reversed(labels))


def search_randomly(
    walks: int, length: int, seed: int, rules: frozenset[str]
) -> Search:
    """Walk at random from the start.

    Args:
        walks: Number of walks.
        length: Steps of a walk.
        seed: Seed of the choices.
        rules: Rules in force.

    Returns:
        The first violation; states counts the steps taken.
    """
    generator = random.Random(seed)
    taken = 0
    for walk in range(walks):
        state = first_state(2 + walk % 2)
        trace = []
        for _ in range(length):
            label, state = generator.choice(list(list_steps(state, rules)))
            taken += 1
            trace.append(label)
            violation = find_violation(state, rules)
            if violation:
                return Search(taken, violation, tuple(trace))
    return Search(taken, "", ())


@click.command()
@click.option("--depth", default=7, help="Steps of the exhaustive search.")
@click.option("--walks", default=20_000, help="Random walks of 40 steps.")
@click.option("--seed", default=1)
def main(depth: int, walks: int, seed: int) -> None:
    """Search with all rules, then without each one."""
    rules = frozenset(RULES)
    started_s = time.monotonic()
    result = search_exhaustively(depth, rules)
    click.echo(
        f"all rules, depth {depth}: {result.states} states, "
        f"{result.violation or 'no violation'}, {time.monotonic() - started_s:.0f} s"
    )
    walked = search_randomly(walks, 40, seed, rules)
    click.echo(
        f"all rules, seed {seed}: {walked.states} random steps, "
        f"{walked.violation or 'no violation'}"
    )
    for rule in RULES:
        found = search_randomly(walks, 40, seed, rules - {rule})
        outcome = f"violation after {found.states} random steps"
        if not found.violation:
            outcome = f"not caught in {found.states} random steps"
        click.echo(f"without '{rule}': {outcome}")
    for label in (*result.trace, *walked.trace):
        click.echo(f"  {label}")
    sys.exit(1 if result.violation or walked.violation else 0)


if __name__ == "__main__":
    main()
