"""Property tests: many sessions share few connections, and any step may fail.

A model server checks every statement against the expected state of its session. Mutated
implementations show that these checks can fail.
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
from pollencleat.core.errors import (
    BackendLostError,
    CallerError,
    WritesUnavailableError,
)
from pollencleat.engine import steps as steps_module
from pollencleat.engine import transactions as transactions_module
from pollencleat.engine import writes as writes_module
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
FAULTS = (
    "none",
    "none",
    "none",
    "lost before execution",
    "lost after execution",
    "refused",
)


class GuaranteeViolatedError(AssertionError):
    """A session or transaction guarantee was violated."""


@dataclass
class ExpectedSession:
    """Expected state of a session, from the answers that its caller received."""

    number: int
    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, Shape] = field(default_factory=dict)
    in_transaction: bool = False
    writes: list[str] = field(default_factory=list)


@dataclass
class ModelServer:
    """A server that knows which session sends the current statement.

    Each step takes the next entry of `faults`: "none", "refused", "silent" (no reply),
    or a connection that is lost before or after the step is executed.
    """

    faults: list[str] = field(default_factory=list)
    current_session: ExpectedSession | None = None
    current: Work | None = None
    committed: list[str] = field(default_factory=list)
    links: list["ModelLink"] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def next_fault(self):
        return self.faults.pop(0) if self.faults else "none"

    def fail(self, violation):
        """Note a violation, because the executor handles the error that is raised."""
        self.violations.append(violation)
        raise GuaranteeViolatedError(violation)


class ModelLink:
    """A connection to the model server.

    `server_values` and `server_names` are the actual state on the server; `values` and
    `names_by_shape` are the state that the proxy assumes.
    """

    def __init__(self, server):
        self.server = server
        self.is_usable = True
        self.has_open_transaction = False
        self.values = {}
        self.names_by_shape = {}
        self.server_values = {}
        self.server_names = {}
        self.owner = None
        self.writes = []
        server.links.append(self)

    def close(self):
        self.is_usable = False
        self.owner = None
        self.writes.clear()

    async def _step(self, effect):
        fault = self.server.next_fault()
        await asyncio.sleep(0)
        if fault == "refused":
            return ServerReply(
                failure=ServerFailure.BUSY, in_transaction=self.owner is not None
            )
        if fault == "lost before execution":
            self.is_usable = False
            raise BackendLostError("lost")
        if fault == "silent":
            await asyncio.Event().wait()
        reply = effect()
        if fault == "lost after execution":
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
                self.server.fail("begin inside a transaction")
            self.owner = self.server.current_session
            return self._reply()

        return await self._step(effect)

    async def run(self, work, prepared_name, at_least):
        def effect():
            self._check(work, prepared_name)
            if work.text.startswith("w"):
                self.writes.append(work.request_id)
                if self.owner is None:
                    self._commit_writes()
            return self._reply()

        return await self._step(effect)

    def _check(self, work, prepared_name):
        current_session = self.server.current_session
        if self.server_values != current_session.values:
            self.server.fail(
                f"{self.server_values} instead of {current_session.values}"
            )
        if self.owner not in (None, current_session):
            self.server.fail("statement ran in another session's transaction")
        if current_session.in_transaction and self.owner is not current_session:
            self.server.fail("statement ran outside its session's transaction")
        if work.prepared_name:
            shape = self.server_names.get(prepared_name)
            if shape != current_session.shapes[work.prepared_name]:
                self.server.fail(f"{work.prepared_name} executes {shape}")

    def _commit_writes(self):
        self.server.committed.extend(self.writes)
        self.writes.clear()

    async def commit(self, commit):
        def effect():
            if self.owner is not self.server.current_session:
                self.server.fail("commit of another session's transaction")
            self._commit_writes()
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
            self.server_values[name] = value
            return self._reply()

        return await self._step(effect)

    async def prepare(self, name, shape):
        def effect():
            self.server_names[name] = shape
            return self._reply()

        return await self._step(effect)

    async def reset(self):
        def effect():
            if self.owner is not None:
                self.server.fail("reset inside a transaction")
            self.server_values.clear()
            self.server_names.clear()
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
        board.fleet_confirmed_at_s = now_s
        return now_s

    access = ServerAccess(
        board, Metrics("n"), tick, lambda item: ServerPool(item, open_link, tick)
    )

    def confirm(server_id):
        view = board.server_view(server_id)
        view.status = ServerStatus(1, 1, 1, 1, False, None)
        view.status_sent_at_s = tick()

    access.probe_server = confirm
    pool = ServerPool(board.inventory.servers_by_id["s"], open_link, tick)
    pool.allow(CONNECTIONS + 1)
    access.pools.pools_by_server["s"] = pool
    return access


class Sessions:
    """Sessions on one node that share one model server, executed step by step."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.server = ModelServer()
        self.access = make_access(self.server)
        self.expected = [ExpectedSession(number) for number in range(SESSIONS)]
        self.executors = [self._make_executor() for _ in range(SESSIONS)]
        self.reported_not_run = set()
        self.acknowledged = set()
        self.numbers = itertools.count()

    def _make_executor(self):
        return SessionExecutor(self.access, SessionState("db", "account"))

    def execute(self, index, statement, faults=()):
        self.server.faults = list(faults)
        self.server.current_session = self.expected[index]
        executor = self.executors[index]
        try:
            self.loop.run_until_complete(executor.execute(statement))
        except CallerError as error:
            return error
        finally:
            self.server.faults = []
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

    def write(self, index, faults, name=""):
        expected = self.expected[index]
        work = Work(self.new_id(), None if name else Access.WRITE, name, "w")
        was_in_transaction = expected.in_transaction
        error = self.execute(index, work, faults)
        if was_in_transaction:
            expected.writes.append(work.request_id)
            if error is not None:
                self._record_outcome(expected.writes, error)
            return
        self._record_outcome([work.request_id], error)

    def _record_outcome(self, writes, error):
        if error is None:
            self.acknowledged.update(writes)
        elif error.outcome == "not run" or type(error).__name__ == (
            "TransactionLostError"
        ):
            self.reported_not_run.update(writes)

    def commit(self, index, faults):
        expected = self.expected[index]
        error = self.execute(index, Commit(self.new_id()), faults)
        if expected.in_transaction:
            self._record_outcome(expected.writes, error)
        expected.writes = []
        expected.in_transaction = False

    def roll_back(self, index, faults):
        expected = self.expected[index]
        self.execute(index, Rollback(self.new_id()), faults)
        if expected.in_transaction:
            self.reported_not_run.update(expected.writes)
        expected.writes = []
        expected.in_transaction = False

    def close_session(self, index):
        self.server.current_session = self.expected[index]
        self.loop.run_until_complete(self.executors[index].close())
        self.expected[index] = ExpectedSession(index)
        self.executors[index] = self._make_executor()

    def check(self):
        if self.server.violations:
            raise GuaranteeViolatedError("; ".join(self.server.violations))
        committed = self.server.committed
        if len(committed) != len(set(committed)):
            raise GuaranteeViolatedError("a write was committed twice")
        if self.reported_not_run & set(committed):
            raise GuaranteeViolatedError(
                "a write that was reported as not run was committed"
            )
        if not self.acknowledged <= set(committed):
            raise GuaranteeViolatedError("an acknowledged write was not committed")
        live = sum(link.is_usable for link in self.server.links)
        if live > CONNECTIONS:
            raise GuaranteeViolatedError(f"{live} connections are open")

    def close(self):
        self.loop.close()


indexes = st.integers(0, SESSIONS - 1)
fault_lists = st.lists(st.sampled_from(FAULTS), max_size=5)
shapes = st.builds(
    Shape, st.sampled_from((Access.READ, Access.WRITE)), st.sampled_from(("x", "y"))
)


class SessionMachine(RuleBasedStateMachine):
    """Executes steps of several sessions in random order."""

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

    @rule(index=indexes, faults=fault_lists)
    def write(self, index, faults):
        self.sessions.write(index, faults)

    @rule(index=indexes, name=st.sampled_from(NAMES), faults=fault_lists)
    def execute_prepared(self, index, name, faults):
        self.sessions.write(index, faults, name)

    @rule(index=indexes, faults=fault_lists)
    def commit(self, index, faults):
        self.sessions.commit(index, faults)

    @rule(index=indexes, faults=fault_lists)
    def roll_back(self, index, faults):
        self.sessions.roll_back(index, faults)

    @precondition(lambda self: len(self.sessions.server.links) > 1)
    @rule(index=indexes)
    def close_session(self, index):
        self.sessions.close_session(index)

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

    def faults():
        return generator.choices(FAULTS, k=generator.randrange(5))

    try:
        for _ in range(steps):
            index = generator.randrange(SESSIONS)
            name = generator.choice(NAMES)
            access = generator.choice((Access.READ, Access.WRITE))
            shape = Shape(access, generator.choice("xy"))
            step = generator.randrange(8)
            if step == 0:
                sessions.set_value(
                    index, generator.choice("ab"), generator.choice("12")
                )
            elif step == 1:
                sessions.prepare(index, name, shape)
            elif step == 2:
                sessions.begin(index)
            elif step == 3:
                sessions.commit(index, faults())
            elif step == 4:
                sessions.roll_back(index, faults())
            elif step == 5:
                sessions.close_session(index)
            else:
                sessions.write(index, faults(), generator.choice(("", name)))
            sessions.check()
    finally:
        sessions.close()


async def keep_other_session_values(link, session, await_reply):
    for name, value in session.values.items():
        if link.values.get(name) != value:
            await link.set_value(name, value)
            link.values[name] = value


async def ignore_refused_set_value(link, session, await_reply):
    if any(name not in session.values for name in link.values):
        await link.reset()
        link.values.clear()
        link.names_by_shape.clear()
    for name, value in session.values.items():
        if link.values.get(name) != value:
            await link.set_value(name, value)
            link.values[name] = value


async def prepare_under_one_name(link, shape, await_reply):
    if "p0" not in link.names_by_shape.values():
        await link.prepare("p0", shape)
    link.names_by_shape[shape] = "p0"
    return "p0"


def return_every_connection(self, lease, reusable):
    lease.connection.is_usable = True
    lease.connection.has_open_transaction = False
    original_return_connection(self, lease, True)


original_return_connection = ServerPool.return_connection
mutations = {
    "values of another session remain": (
        steps_module,
        "restore_values",
        keep_other_session_values,
    ),
    "a refused SetValue is recorded as set": (
        steps_module,
        "restore_values",
        ignore_refused_set_value,
    ),
    "all prepared statements share one name": (
        steps_module,
        "restore_shape",
        prepare_under_one_name,
    ),
    "unusable connections return to the pool": (
        ServerPool,
        "return_connection",
        return_every_connection,
    ),
    "writes with unknown outcome are reported as not run": (
        writes_module,
        "UnknownOutcomeError",
        WritesUnavailableError,
    ),
    "commits with unknown outcome are reported as not run": (
        transactions_module,
        "UnknownOutcomeError",
        WritesUnavailableError,
    ),
}


def test_value_refused_in_a_transaction_stays_on_no_connection():
    """The former value stayed on the pooled connection; other sessions ran with it."""
    sessions = Sessions()
    try:
        sessions.set_value(0, "a", "1")
        sessions.begin(0)
        sessions.write(0, [])
        sessions.set_value(0, "a", "2")
        sessions.write(0, ["refused"])
        sessions.roll_back(0, [])
        sessions.write(1, [])
        sessions.check()
    finally:
        sessions.close()


@pytest.mark.parametrize("seed", range(6))
def test_random_sessions_violate_no_guarantee(seed):
    run_random_steps(seed)


@pytest.mark.parametrize("name", mutations)
def test_mutation_is_detected(name, monkeypatch):
    owner, attribute, replacement = mutations[name]
    monkeypatch.setattr(owner, attribute, replacement)
    detections = 0
    for seed in range(12):
        try:
            run_random_steps(seed)
        except GuaranteeViolatedError:
            detections += 1
    assert detections, "no seed detects the mutation"
