"""Many sessions over few connections, with a loss possible at every step.

The model server checks each statement against what its session was told; mutations show
that the checks can fail.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from pollencleat.backend.pool import ServerPool
from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    BackendServer,
    DatabaseGroup,
    Fleet,
    Freshness,
    GroupTerm,
    Inventory,
    Member,
    Position,
    Route,
    ServerStatus,
)
from pollencleat.core.errors import BackendLostError, CallerError
from pollencleat.engine import executor as executor_module
from pollencleat.engine.access import ServerAccess
from pollencleat.engine.executor import SessionExecutor
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import (
    Access,
    Begin,
    Commit,
    Forget,
    Prepare,
    Rollback,
    ServerFailure,
    ServerReply,
    SetValue,
    Shape,
    Work,
)
from pollencleat.reports.metrics import Metrics

SESSIONS = 4
CONNECTIONS = 3
NAMES = ("s1", "s2")
FATES = ("fine", "fine", "fine", "lost before", "lost after", "refused")


class RuleBrokenError(AssertionError):
    """A statement ran where its session did not expect it."""


@dataclass
class Expected:
    """What a session was told."""

    number: int
    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, Shape] = field(default_factory=dict)
    in_transaction: bool = False
    writes: list[str] = field(default_factory=list)


@dataclass
class ModelServer:
    """A server that knows which session is speaking."""

    fates: list[str] = field(default_factory=list)
    speaking: Expected | None = None
    current: Work | None = None
    committed: list[str] = field(default_factory=list)
    links: list["ModelLink"] = field(default_factory=list)

    def next_fate(self):
        return self.fates.pop(0) if self.fates else "fine"


class ModelLink:
    """A connection; what the server holds is kept apart from what the proxy thinks."""

    def __init__(self, server):
        self.server = server
        self.is_usable = True
        self.has_open_transaction = False
        self.values = {}
        self.names_by_shape = {}
        self.held_values = {}
        self.held_names = {}
        self.owner = None
        self.writes = []
        server.links.append(self)

    def close(self):
        self.is_usable = False
        self.owner = None
        self.writes.clear()

    async def _step(self, effect):
        fate = self.server.next_fate()
        await asyncio.sleep(0)
        if fate == "refused":
            return ServerReply(
                failure=ServerFailure.BUSY, in_transaction=self.owner is not None
            )
        if fate == "lost before":
            self.is_usable = False
            raise BackendLostError("lost")
        if fate == "silent":
            await asyncio.Event().wait()
        reply = effect()
        if fate == "lost after":
            self.is_usable = False
            raise BackendLostError("lost")
        self.has_open_transaction = self.owner is not None
        return reply

    def _reply(self):
        return ServerReply(
            ("row",), "receipt", None, "", Position(1, 1), self.owner is not None
        )

    async def begin(self, begin, at_least):
        def effect():
            if self.owner is not None:
                raise RuleBrokenError("begin inside a transaction")
            self.owner = self.server.speaking
            return self._reply()

        return await self._step(effect)

    async def run(self, work, prepared_name, at_least):
        def effect():
            self._check(work, prepared_name)
            if work.text.startswith("w"):
                self.writes.append(work.request_id)
                if self.owner is None:
                    self._keep()
            return self._reply()

        return await self._step(effect)

    def _check(self, work, prepared_name):
        speaking = self.server.speaking
        if self.held_values != speaking.values:
            raise RuleBrokenError(f"{self.held_values} instead of {speaking.values}")
        if self.owner not in (None, speaking):
            raise RuleBrokenError("inside another session's transaction")
        if speaking.in_transaction and self.owner is not speaking:
            raise RuleBrokenError("outside its own transaction")
        if work.prepared_name:
            shape = self.held_names.get(prepared_name)
            if shape != speaking.shapes[work.prepared_name]:
                raise RuleBrokenError(f"{work.prepared_name} runs {shape}")

    def _keep(self):
        self.server.committed.extend(self.writes)
        self.writes.clear()

    async def commit(self, commit):
        def effect():
            if self.owner is not self.server.speaking:
                raise RuleBrokenError("commit of another session's transaction")
            self._keep()
            self.owner = None
            return self._reply()

        return await self._step(effect)

    async def roll_back(self):
        def effect():
            self.owner = None
            self.writes.clear()
            return self._reply()

        return await self._step(effect)

    async def set_value(self, name, value):
        def effect():
            self.held_values[name] = value
            return self._reply()

        return await self._step(effect)

    async def prepare(self, name, shape):
        def effect():
            self.held_names[name] = shape
            return self._reply()

        return await self._step(effect)

    async def reset(self):
        def effect():
            if self.owner is not None:
                raise RuleBrokenError("reset inside a transaction")
            self.held_values.clear()
            self.held_names.clear()
            return self._reply()

        return await self._step(effect)


def make_access(server):
    board = Blackboard("n", "n-1", "a", "", "", random.Random(1))
    route = Route("db", "g", Freshness.PRIMARY, 0, 1000, 60_000, 1)
    board.inventory = Inventory(
        version=1,
        groups_by_id={"g": DatabaseGroup("g", "g", (), ("s",), 1)},
        servers_by_id={"s": BackendServer("s", "g", "h", 1, "a", 4, 20)},
        routes_by_database={"db": route},
    )
    member = Member("n", "n-1", "a", "", "", 0, True)
    board.fleet = Fleet(1, {"n": member}, {}, {"g": GroupTerm("g", 1, "s")})
    clock = itertools.count(1)

    async def open_link():
        return ModelLink(server)

    def tick():
        now_s = next(clock) * 1e-4
        board.fresh_at_s = now_s
        return now_s

    access = ServerAccess(
        board, Metrics("n"), tick, lambda item: ServerPool(item, open_link, tick)
    )

    def confirm(server_id):
        view = board.server(server_id)
        view.status = ServerStatus(1, 1, 1, 1, False, None)
        view.status_sent_at_s = tick()

    access.ask_status = confirm
    pool = ServerPool(board.inventory.servers_by_id["s"], open_link, tick)
    pool.allow(CONNECTIONS + 1)
    access.pools.pools_by_server["s"] = pool
    return access


class Sessions:
    """Sessions on one node, driven step by step."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.server = ModelServer()
        self.access = make_access(self.server)
        self.expected = [Expected(number) for number in range(SESSIONS)]
        self.executors = [self._make_executor() for _ in range(SESSIONS)]
        self.promised_not_kept = set()
        self.acknowledged = set()
        self.numbers = itertools.count()

    def _make_executor(self):
        return SessionExecutor(self.access, SessionState("db", "account"))

    def execute(self, index, statement, fates=()):
        self.server.fates = list(fates)
        self.server.speaking = self.expected[index]
        executor = self.executors[index]
        try:
            self.loop.run_until_complete(executor.execute(statement))
        except CallerError as error:
            return error
        finally:
            self.server.fates = []
        return None

    def new_id(self):
        return f"q{next(self.numbers)}"

    def set_value(self, index, name, value):
        expected = self.expected[index]
        previous = expected.values.get(name)
        if self.execute(index, SetValue(self.new_id(), name, value)) is None:
            expected.values[name] = value
        elif previous is not None:
            expected.values[name] = previous

    def prepare(self, index, name, shape):
        if self.execute(index, Prepare(self.new_id(), name, shape)) is None:
            self.expected[index].shapes[name] = shape

    def forget(self, index, name):
        if self.execute(index, Forget(self.new_id(), name)) is None:
            self.expected[index].shapes.pop(name)

    def begin(self, index):
        if self.execute(index, Begin(self.new_id(), False)) is None:
            self.expected[index].in_transaction = True

    def write(self, index, fates, name=""):
        expected = self.expected[index]
        work = Work(self.new_id(), None if name else Access.WRITE, name, "w")
        was_in_transaction = expected.in_transaction
        error = self.execute(index, work, fates)
        if was_in_transaction:
            expected.writes.append(work.request_id)
            if error is not None:
                self._settle(expected.writes, error)
            return
        self._settle([work.request_id], error)

    def _settle(self, writes, error):
        if error is None:
            self.acknowledged.update(writes)
        elif error.outcome == "not run" or type(error).__name__ == (
            "TransactionLostError"
        ):
            self.promised_not_kept.update(writes)

    def commit(self, index, fates):
        expected = self.expected[index]
        error = self.execute(index, Commit(self.new_id()), fates)
        if expected.in_transaction:
            self._settle(expected.writes, error)
        expected.writes = []
        expected.in_transaction = False

    def roll_back(self, index, fates):
        expected = self.expected[index]
        self.execute(index, Rollback(self.new_id()), fates)
        if expected.in_transaction:
            self.promised_not_kept.update(expected.writes)
        expected.writes = []
        expected.in_transaction = False

    def leave(self, index):
        self.server.speaking = self.expected[index]
        self.loop.run_until_complete(self.executors[index].close())
        self.expected[index] = Expected(index)
        self.executors[index] = self._make_executor()

    def check(self):
        committed = self.server.committed
        if len(committed) != len(set(committed)):
            raise RuleBrokenError("a write was kept twice")
        if self.promised_not_kept & set(committed):
            raise RuleBrokenError("kept, though the caller was told otherwise")
        if not self.acknowledged <= set(committed):
            raise RuleBrokenError("acknowledged, but not kept")
        live = sum(link.is_usable for link in self.server.links)
        if live > CONNECTIONS:
            raise RuleBrokenError(f"{live} connections")

    def close(self):
        self.loop.close()


indexes = st.integers(0, SESSIONS - 1)
fate_lists = st.lists(st.sampled_from(FATES), max_size=5)
shapes = st.builds(
    Shape, st.sampled_from((Access.READ, Access.WRITE)), st.sampled_from(("x", "y"))
)


class SessionMachine(RuleBasedStateMachine):
    """Drives sessions in any order."""

    def __init__(self):
        super().__init__()
        self.sessions = Sessions()

    @rule(index=indexes, name=st.sampled_from("ab"), value=st.sampled_from("12"))
    def set_value(self, index, name, value):
        self.sessions.set_value(index, name, value)

    @rule(index=indexes, name=st.sampled_from(NAMES), shape=shapes)
    def prepare(self, index, name, shape):
        self.sessions.prepare(index, name, shape)

    @rule(index=indexes, name=st.sampled_from(NAMES))
    def forget(self, index, name):
        self.sessions.forget(index, name)

    @rule(index=indexes)
    def begin(self, index):
        self.sessions.begin(index)

    @rule(index=indexes, fates=fate_lists)
    def write(self, index, fates):
        self.sessions.write(index, fates)

    @rule(index=indexes, name=st.sampled_from(NAMES), fates=fate_lists)
    def execute_prepared(self, index, name, fates):
        self.sessions.write(index, fates, name)

    @rule(index=indexes, fates=fate_lists)
    def commit(self, index, fates):
        self.sessions.commit(index, fates)

    @rule(index=indexes, fates=fate_lists)
    def roll_back(self, index, fates):
        self.sessions.roll_back(index, fates)

    @precondition(lambda self: len(self.sessions.server.links) > 1)
    @rule(index=indexes)
    def leave(self, index):
        self.sessions.leave(index)

    def teardown(self):
        self.sessions.close()

    def check_invariants(self, *args, **kwargs):
        super().check_invariants(*args, **kwargs)
        self.sessions.check()


SessionMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=40)
TestSessions = SessionMachine.TestCase


def run_random_steps(seed, steps=400):
    generator = random.Random(seed)
    sessions = Sessions()

    def fates():
        return generator.choices(FATES, k=generator.randrange(5))

    try:
        for _ in range(steps):
            index = generator.randrange(SESSIONS)
            name = generator.choice(NAMES)
            access = generator.choice((Access.READ, Access.WRITE))
            shape = Shape(access, generator.choice("xy"))
            step = generator.randrange(8)
            if step == 0:
                sessions.set_value(index, generator.choice("ab"), "12"[seed % 2])
            elif step == 1:
                sessions.prepare(index, name, shape)
            elif step == 2:
                sessions.begin(index)
            elif step == 3:
                sessions.commit(index, fates())
            elif step == 4:
                sessions.roll_back(index, fates())
            elif step == 5:
                sessions.leave(index)
            else:
                sessions.write(index, fates(), generator.choice(("", name)))
            sessions.check()
    finally:
        sessions.close()


async def keep_foreign_values(link, session, ask):
    for name, value in session.values.items():
        if link.values.get(name) != value:
            await link.set_value(name, value)
            link.values[name] = value


async def believe_every_set(link, session, ask):
    if any(name not in session.values for name in link.values):
        await link.reset()
        link.values.clear()
        link.names_by_shape.clear()
    for name, value in session.values.items():
        if link.values.get(name) != value:
            await link.set_value(name, value)
            link.values[name] = value


async def share_one_name(link, shape, ask):
    if "p0" not in link.names_by_shape.values():
        await link.prepare("p0", shape)
    link.names_by_shape[shape] = "p0"
    return "p0"


def give_back_always(self, lease, reusable):
    lease.connection.is_usable = True
    lease.connection.has_open_transaction = False
    original_take_back(self, lease, True)


original_take_back = ServerPool.take_back
mutations = {
    "foreign values stay": (executor_module, "restore_values", keep_foreign_values),
    "a refused set is believed": (executor_module, "restore_values", believe_every_set),
    "one name for all shapes": (executor_module, "restore_shape", share_one_name),
    "doubtful connections are lent": (ServerPool, "take_back", give_back_always),
    "losses are retried": (
        executor_module,
        "UnknownOutcomeError",
        executor_module.WritesUnavailableError,
    ),
}


@pytest.mark.parametrize("seed", range(6))
def test_random_sessions_break_no_rule(seed):
    run_random_steps(seed)


@pytest.mark.parametrize("name", mutations)
def test_mutation_is_caught(name, monkeypatch):
    owner, attribute, replacement = mutations[name]
    monkeypatch.setattr(owner, attribute, replacement)
    caught = 0
    for seed in range(12):
        try:
            run_random_steps(seed)
        except RuleBrokenError:
            caught += 1
    assert caught, "no seed catches it"
