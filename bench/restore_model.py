"""Model checker for a store that comes back from an older copy.

The model has three nodes and one group.  Its store can be copied and restored; a
restore loses what was written since and hands revisions out again, and raises the era.
Besides, time passes in ticks; nodes read the store, exchange heartbeats, restart
without memory, join, start terms by updates that may take effect late, make a server
writable, publish it, and settle a restored state.  A node that is cut off, slow or
paused is one for which the search takes no step, while its permits expire.

Checked properties: no node may write under a primary that another one has replaced, and
the fencing token of each promote order exceeds those of all attempts before it.
``RULES`` names what the protocol relies on; the tests hold a violation without each.
"""

import random
import sys
from collections.abc import Iterator
from dataclasses import dataclass, replace

import click

PERMIT_TICKS = 2
PROMISE_TICKS = 2
ORDER_TICKS = 3
"""Ticks after a read within which a promoter may send an order."""

WAIT_TICKS = 3
"""Ticks before a server is made writable without all confirmations."""

SETTLE_TICKS = 4
"""Ticks before a restored state is settled without all members."""

KIND_WEIGHTS = {
    "tick": 6,
    "copy": 1,
    "restore": 1,
    "read": 8,
    "restart": 1,
    "store": 6,
    "promotion": 6,
    "settle": 4,
    "pair": 12,
}
"""Frequency of each kind of step in random walks."""

MAX_RESTORES = 2
TERMS_PER_ERA = 100
NODES = (0, 1, 2)
NOBODY = (-1, 0)
"""Promoter of a term that was begun by settling; any node takes it over."""

RULES = (
    "an unsettled read gives no permit",
    "an unsettled state is not adopted",
    "an update names the era that it was written for",
    "wait for the knowledge of all members",
    "wait until orders of before have expired",
    "servers show a lost term",
    "terms of a new era begin above all others",
    "without memory every member must be new",
)

Process = tuple[int, int]
"""A node's number and the count of its starts."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One content of the fleet object.

    Attributes:
        revision: Its revision in the store.
        era: Era that it was written for; another era than the store's: unsettled.
        rights: Processes that may promote.
        joined: Processes that joined while the state was unsettled.
        epoch: Log term of the primary in office.
        floor: The next term is at least this.
    """

    revision: int
    era: int
    members: frozenset[Process]
    rights: frozenset[Process]
    joined: frozenset[Process] = frozenset()
    term: int = 1
    promoter: Process | None = None
    epoch: int = 1
    floor: int = 0


@dataclass(frozen=True, slots=True)
class Node:
    """State of one process.

    Attributes:
        known: Newest settled state, or None after a start.
        store_era: Era of the store that the known state was read from.
        restored: Unsettled state that the node read, or None.
        settle_ticks: Ticks until it may be settled without all members.
        heard: Processes that promised since it was first read.
        order_ticks: Ticks left in which a promoter may send orders.
        pending: Content and expected revision of an update without an answer.
    """

    starts: int = 1
    known: Snapshot | None = None
    store_era: int = 0
    read_ticks: int = 0
    held_ticks: tuple[int, int, int] = (0, 0, 0)
    given_ticks: int = 0
    order_ticks: int = 0
    wait_ticks: int | None = None
    confirmed: frozenset[Process] = frozenset()
    restored: Snapshot | None = None
    settle_ticks: int = 0
    heard: frozenset[Process] = frozenset()
    pending: tuple[Snapshot, int] | None = None
    promoted_epoch: int = 0


@dataclass(frozen=True, slots=True)
class State:
    """The store, the nodes and the servers.

    Attributes:
        copy: What a restore brings back.
        epoch: Log term of the newest writable server.
        last_fence: Token and sender of the newest promote order.
        fault: Description of a broken property; empty if there is none.
    """

    store: Snapshot
    copy: Snapshot
    nodes: tuple[Node, Node, Node]
    era: int = 0
    restores: int = 0
    epoch: int = 1
    last_fence: tuple[int, Process] = (1, NOBODY)
    fault: str = ""


def initial_state() -> State:
    """Return the state in which all three nodes are members and know it."""
    members = frozenset((number, 1) for number in NODES)
    first = Snapshot(1, 0, members, members)
    node = Node(known=first)
    return State(first, first, (node, node, node))


def process_of(number: int, node: Node) -> Process:
    """Return the process that runs as a node now."""
    return (number, node.starts)


def may_write(number: int, node: Node) -> bool:
    """Return whether a node would write to the primary that it knows."""
    known = node.known
    if known is None or process_of(number, node) not in known.members:
        return False
    if known.promoter is not None:
        return False
    if node.read_ticks > 0:
        return True
    others = known.members - {process_of(number, node)}
    return all(node.held_ticks[other] > 0 for other, _ in others)


def find_violation(state: State) -> str:
    """Return how a state breaks a property; empty if it breaks none."""
    if state.fault:
        return state.fault
    for number, node in enumerate(state.nodes):
        if may_write(number, node) and node.known.epoch < state.epoch:
            return (
                f"node {number} writes to the primary of epoch {node.known.epoch}, "
                f"but {state.epoch} is writable"
            )
    return ""


def with_node(state: State, number: int, node: Node) -> State:
    """Return a state with one node replaced."""
    nodes = list(state.nodes)
    nodes[number] = node
    return replace(state, nodes=tuple(nodes))


def adopt(node: Node, snapshot: Snapshot, store_era: int, number: int) -> Node:
    """Return a node after it learned a settled state; an older one changes nothing."""
    version = (store_era, snapshot.revision)
    if node.known is not None and version <= (node.store_era, node.known.revision):
        return node
    former = node.known
    node = replace(node, known=snapshot, store_era=store_era, restored=None)
    if node.pending is not None and node.pending[1] < snapshot.revision:
        node = replace(node, pending=None)
    if former is not None and former.term == snapshot.term and snapshot.promoter:
        return node
    is_own = snapshot.promoter == process_of(number, node)
    return replace(
        node,
        wait_ticks=max(WAIT_TICKS, node.given_ticks) if is_own else None,
        confirmed=frozenset(),
        promoted_epoch=0,
    )


def list_steps(
    state: State, kind: str, number: int, other: int, rules: frozenset[str]
) -> list[tuple[str, State]]:
    """Return the label and the next state of every step of a kind.

    Args:
        state: The state to start from.
        kind: One of KIND_WEIGHTS.
        number: The node that takes the step.
        other: The receiver of a message.
        rules: Rules in force.

    Returns:
        The possible steps; empty if there is none.
    """
    if kind == "tick":
        return [("tick", _tick(state))]
    if kind == "copy":
        return [("copy", replace(state, copy=state.store))]
    if kind == "restore":
        if state.restores == MAX_RESTORES:
            return []
        restored = replace(
            state,
            store=state.copy,
            era=state.era + 1,
            restores=state.restores + 1,
        )
        return [("restore", restored)]
    if kind == "read":
        return [(f"{number} reads", _read_step(state, number, rules))]
    if kind == "restart":
        fresh = Node(starts=state.nodes[number].starts + 1)
        return [(f"{number} restarts", with_node(state, number, fresh))]
    if kind == "store":
        return list(_store_steps(state, number, rules))
    if kind == "promotion":
        return list(_promotion_steps(state, number))
    if kind == "settle":
        return list(_settle_steps(state, number, rules))
    return list(_pair_steps(state, number, other))


def _tick(state: State) -> State:
    nodes = [
        replace(
            node,
            read_ticks=max(0, node.read_ticks - 1),
            held_ticks=tuple(max(0, left - 1) for left in node.held_ticks),
            given_ticks=max(0, node.given_ticks - 1),
            order_ticks=max(0, node.order_ticks - 1),
            settle_ticks=max(0, node.settle_ticks - 1),
            wait_ticks=None if node.wait_ticks is None else max(0, node.wait_ticks - 1),
        )
        for node in state.nodes
    ]
    return replace(state, nodes=tuple(nodes))


def _store_steps(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    node, store = state.nodes[number], state.store
    if process_of(number, node) not in store.members:
        yield f"{number} joins", _join(state, number)
    elif store.era == state.era:
        leaving = replace(
            store,
            revision=store.revision + 1,
            members=store.members - {process_of(number, node)},
            rights=store.rights - {process_of(number, node)},
        )
        stopped = with_node(state, number, Node(starts=node.starts + 1))
        yield f"{number} resigns", replace(stopped, store=leaving)
    if node.pending is not None and node.pending[1] == store.revision:
        content = replace(node.pending[0], revision=store.revision + 1)
        if "an update names the era that it was written for" not in rules:
            content = replace(content, era=state.era)
        changed = with_node(state, number, replace(node, pending=None))
        yield f"{number}'s update takes effect", replace(changed, store=content)


def _read_step(state: State, number: int, rules: frozenset[str]) -> State:
    return with_node(state, number, _read(state, number, rules))


def _read(state: State, number: int, rules: frozenset[str]) -> Node:
    node, store = state.nodes[number], state.store
    is_settled = store.era == state.era
    if is_settled or "an unsettled state is not adopted" not in rules:
        node = adopt(node, store, state.era, number)
        if (node.store_era, node.known.revision) != (state.era, store.revision):
            return node
        return replace(node, read_ticks=PERMIT_TICKS, order_ticks=ORDER_TICKS)
    if "an unsettled read gives no permit" not in rules:
        node = replace(node, read_ticks=PERMIT_TICKS, order_ticks=ORDER_TICKS)
    if node.restored is None:
        node = replace(node, settle_ticks=SETTLE_TICKS, heard=frozenset())
    return replace(node, restored=store)


def _join(state: State, number: int) -> State:
    """Return the state after a process joined, in the place of one before it."""
    store = state.store
    process = process_of(number, state.nodes[number])
    former = {member for member in store.members if member[0] == number}
    joined = store.joined - former
    rights = store.rights - former
    if store.era != state.era:
        joined |= {process}
    changed = replace(
        store,
        revision=store.revision + 1,
        members=(store.members - former) | {process},
        rights=rights,
        joined=joined,
    )
    return replace(state, store=changed)


def _promotion_steps(state: State, number: int) -> Iterator[tuple[str, State]]:
    node, store = state.nodes[number], state.store
    known = node.known
    if known is None:
        return
    process = process_of(number, node)
    may_start = process in known.rights and process in known.members
    is_idle = node.pending is None and node.restored is None
    if may_start and is_idle and known.promoter != process:
        term = max(known.term + 1, known.floor)
        started = replace(known, term=term, promoter=process)
        sent = replace(node, pending=(started, known.revision))
        yield f"{number} sends a start", with_node(state, number, sent)
    if _may_promote(number, node):
        yield f"{number} makes a server writable", _promote(state, number)
    is_current = (node.store_era, known.revision) == (state.era, store.revision)
    if not is_current or store.era != state.era:
        return
    if known.promoter == process and node.promoted_epoch:
        published = replace(
            store,
            revision=store.revision + 1,
            promoter=None,
            epoch=node.promoted_epoch,
        )
        node = adopt(replace(node, promoted_epoch=0), published, state.era, number)
        yield (
            f"{number} publishes",
            with_node(replace(state, store=published), number, node),
        )
    for other in store.members - store.rights:
        if process in store.rights and node.held_ticks[other[0]] > 0:
            granted = replace(
                store, revision=store.revision + 1, rights=store.rights | {other}
            )
            changed = adopt(node, granted, state.era, number)
            yield (
                f"{number} grants {other[0]} the right",
                with_node(replace(state, store=granted), number, changed),
            )


def _may_promote(number: int, node: Node) -> bool:
    known = node.known
    process = process_of(number, node)
    if known.promoter != process or node.wait_ticks is None or node.promoted_epoch:
        return False
    if not node.order_ticks:
        return False
    return known.members - {process} <= node.confirmed or node.wait_ticks == 0


def _promote(state: State, number: int) -> State:
    node = state.nodes[number]
    process = process_of(number, node)
    fence, sender = state.last_fence
    fault = ""
    if node.known.term <= fence and process != sender:
        fault = f"fencing token {node.known.term} of {process} after {fence}"
    epoch = state.epoch + 1
    state = with_node(state, number, replace(node, promoted_epoch=epoch))
    return replace(
        state, epoch=epoch, last_fence=(node.known.term, process), fault=fault
    )


def _settle_steps(
    state: State, number: int, rules: frozenset[str]
) -> Iterator[tuple[str, State]]:
    node, store = state.nodes[number], state.store
    if node.restored != store or store.era == state.era:
        return
    process = process_of(number, node)
    is_member = node.known is not None and process in node.known.members
    is_complete = is_member and node.known.members - {process} <= node.heard
    if "wait for the knowledge of all members" not in rules:
        is_complete = is_member
    has_waited = node.settle_ticks == 0
    if "wait until orders of before have expired" not in rules:
        has_waited = True
    may_settle = is_complete or (has_waited and is_member)
    if not is_member and has_waited and process in store.members:
        may_settle = store.members <= store.joined
        if "without memory every member must be new" not in rules:
            may_settle = True
    if not may_settle:
        return
    settled = _merge(state, node, rules)
    asks_servers = not is_complete and "servers show a lost term" in rules
    if asks_servers and state.epoch != settled.epoch:
        term = max(settled.term + 1, settled.floor)
        settled = replace(settled, term=term, promoter=NOBODY)
    if not is_member:
        # The dead processes' promises have expired, and their successors stand in.
        settled = replace(settled, rights=settled.members)
    changed = adopt(node, settled, state.era, number)
    yield f"{number} settles", with_node(replace(state, store=settled), number, changed)


def _merge(state: State, node: Node, rules: frozenset[str]) -> Snapshot:
    """Return the union of a node's knowledge and the restored state."""
    store = state.store
    newest = node.known or store
    if (store.term, store.promoter is None) > (newest.term, newest.promoter is None):
        newest = replace(
            newest, term=store.term, promoter=store.promoter, epoch=store.epoch
        )
    renewed = {number for number, _ in store.joined}
    kept = {member for member in newest.members if member[0] not in renewed}
    floor = (state.era + 1) * TERMS_PER_ERA
    if "terms of a new era begin above all others" not in rules:
        floor = 0
    return replace(
        newest,
        revision=store.revision + 1,
        era=state.era,
        members=frozenset(kept) | store.joined,
        rights=frozenset(kept) & newest.rights
        if node.known is not None
        else store.rights,
        joined=frozenset(),
        floor=floor,
    )


def _pair_steps(
    state: State, sender: int, receiver: int
) -> Iterator[tuple[str, State]]:
    source, target = state.nodes[sender], state.nodes[receiver]
    known = source.known
    if known is None or process_of(sender, source) not in known.members:
        return
    updated = adopt(target, known, source.store_era, receiver)
    # A node gives no promise while its own start may take effect.
    if source.pending is None:
        held_ticks = list(updated.held_ticks)
        held_ticks[sender] = PROMISE_TICKS
        source = replace(source, given_ticks=PROMISE_TICKS)
        updated = replace(
            updated,
            held_ticks=tuple(held_ticks),
            heard=updated.heard | {process_of(sender, source)},
        )
    if (updated.store_era, updated.known) == (source.store_era, known):
        updated = replace(
            updated,
            read_ticks=max(updated.read_ticks, source.read_ticks),
            order_ticks=max(updated.order_ticks, source.order_ticks),
        )
    changed = with_node(with_node(state, sender, source), receiver, updated)
    yield f"heartbeat from {sender} to {receiver}", changed
    if source.wait_ticks is not None:
        informed = adopt(target, known, source.store_era, receiver)
        confirmed = source.confirmed | {process_of(receiver, informed)}
        confirming = replace(state.nodes[sender], confirmed=confirmed)
        changed = with_node(with_node(state, receiver, informed), sender, confirming)
        yield f"{receiver} confirms to {sender}", changed


def follow_trace(trace: tuple[str, ...], rules: frozenset[str]) -> str:
    """Return the violation that a sequence of steps leads to.

    Args:
        trace: Labels of the steps.
        rules: Rules in force.

    Returns:
        The violation; empty if there is none or a step is not possible.
    """
    state = initial_state()
    for wanted in trace:
        following = _find_step(state, wanted, rules)
        if following is None:
            return ""
        state = following
        violation = find_violation(state)
        if violation:
            return violation
    return ""


def _find_step(state: State, wanted: str, rules: frozenset[str]) -> State | None:
    for kind in KIND_WEIGHTS:
        for number in NODES:
            for other in NODES:
                if number == other:
                    continue
                for label, following in list_steps(state, kind, number, other, rules):
                    if label == wanted:
                        return following
    return None


def search_randomly(
    walks: int, length: int, seed: int, rules: frozenset[str]
) -> tuple[int, str, tuple[str, ...]]:
    """Take random walks from the initial state.

    Args:
        walks: Number of walks.
        length: Steps of a walk.
        seed: Seed of the random choices.
        rules: Rules in force.

    Returns:
        Steps taken, the first violation or an empty text, and its trace.
    """
    generator = random.Random(seed)
    kinds, weights = list(KIND_WEIGHTS), list(KIND_WEIGHTS.values())
    step_count = 0
    for _ in range(walks):
        state = initial_state()
        trace = []
        for _ in range(length):
            kind = generator.choices(kinds, weights)[0]
            number, other = generator.sample(NODES, 2)
            steps = list_steps(state, kind, number, other, rules)
            if not steps:
                continue
            label, state = generator.choice(steps)
            step_count += 1
            trace.append(label)
            violation = find_violation(state)
            if violation:
                return step_count, violation, tuple(trace)
    return step_count, "", ()


@click.command()
@click.option("--walks", default=20_000, help="Random walks of 120 steps.")
@click.option("--seed", default=1)
def main(walks: int, seed: int) -> None:
    """Search with all rules, then with each one left out."""
    steps, violation, trace = search_randomly(walks, 120, seed, frozenset(RULES))
    click.echo(f"all rules, seed {seed}: {steps} steps, {violation or 'no violation'}")
    for label in trace:
        click.echo(f"  {label}")
    for rule in RULES:
        rules = frozenset(RULES) - {rule}
        steps, found, _ = search_randomly(walks, 120, seed, rules)
        click.echo(f"without '{rule}': {found or 'not caught'}, {steps} steps")
    sys.exit(1 if violation else 0)


if __name__ == "__main__":
    main()
