"""A server connection under any order of second answers, checked against a model."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from pollencleat.core.errors import BackendError
from pollencleat.engine.exchange import MAX_BARRIERS, NotSentError
from pollencleat.engine.statements import (
    NOT_RUN_FAILURES,
    Access,
    Begin,
    Commit,
    Shape,
    Work,
)
from pollencleat.platform.servers import ServerConnection

MAX_DELIVERIES = 400
"""Replies delivered for one call before it counts as hanging."""

MAX_BARRIERS_PER_CALL = 2 * MAX_BARRIERS
"""A call settles at most twice."""

SEEDS = 600

NOT_RUN_CODES = ("BUSY", "LAGGING", "READONLY", "UNKNOWN")
RUN_CODES = ("FAILED", "TIMEOUT")
SETUP_VERBS = ("SET", "DISCARD", "BEGIN", "ROLLBACK")
"""Requests that must have been accepted before a statement is sent.  PREPARE need not:
the server rejects what is executed under a name that it does not know."""

STATEMENT_VERBS = ("READ", "WRITE", "EXECUTE", "COMMIT")


@dataclass
class Handled:
    """A request as the model server handled it.

    Attributes:
        is_told: Whether the client has been given its first answer.
    """

    verb: str
    request_id: str
    code: str
    receipt: str
    position: int
    is_barrier: bool
    data: bytes
    is_delivered: bool = False
    is_told: bool = False


@dataclass(frozen=True)
class Faults:
    """Probabilities of the model server's faults."""

    repeat: float = 0.4
    refuse: float = 0.15
    refuse_barrier: float = 0.0
    move: float = 0.3
    commit_keeps_transaction: bool = False
    failure_poisons: bool = False


class ModelServer:
    """A server whose answers arrive in order, each up to twice, split anywhere."""

    def __init__(self, seed, faults):
        self.random = random.Random(seed)
        self.faults = faults
        self.state = "I"
        self.position = 1
        self.values = {}
        self.is_prepared = False
        self.handled = []
        self.firsts = []
        self.late = []
        self.violations = []
        self.connection = ServerConnection()
        self.connection.connection_made(self)
        self.is_closed = False

    # The transport.

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    def get_extra_info(self, name):
        return None

    def write(self, data):
        for line in data.split(b"\r\n")[:-1]:
            self.handle(line.decode())

    # The server.

    def handle(self, line):
        if line.startswith("STARTUP"):
            self.answer("STARTUP", "", False, "")
            return
        _, request_id, text = line.split(" ", 2)
        words = text.split(" ")
        is_barrier = "barrier" in text
        if words[0] in (*STATEMENT_VERBS, "BEGIN"):
            self.check_settled(words[0])
        self.answer(words[0], request_id, is_barrier, text)

    def check_settled(self, verb):
        for entry in self.handled:
            if entry.is_barrier or entry.verb not in SETUP_VERBS:
                continue
            if not entry.is_delivered:
                self.violations.append(f"{verb} while {entry.verb} is unanswered")
            elif entry.code and not entry.is_told:
                self.violations.append(f"{verb} after a hidden refusal of {entry.verb}")

    def choose_code(self, verb, is_barrier):
        if self.state == "E" and verb != "ROLLBACK":
            return "MALFORMED"
        if verb == "STARTUP":
            return ""
        rate = self.faults.refuse_barrier if is_barrier else self.faults.refuse
        if self.random.random() >= rate:
            return ""
        if verb in STATEMENT_VERBS and self.random.random() < 0.3:
            return self.random.choice(RUN_CODES)
        return self.random.choice(NOT_RUN_CODES)

    def answer(self, verb, request_id, is_barrier, text):
        code = self.choose_code(verb, is_barrier)
        if verb == "EXECUTE" and not code and not self.is_prepared:
            code = "UNKNOWN"
        if self.random.random() < self.faults.move:
            self.position += 1
        receipt = "-"
        if not code:
            if verb == "BEGIN":
                self.state = "T"
            if verb in ("ROLLBACK", "COMMIT"):
                self.state = "I"
            if verb in STATEMENT_VERBS:
                receipt = f"run{len(self.handled)}"
            if verb == "SET":
                _, name, value = text.split(" ")
                self.values[name] = value
            if verb == "DISCARD":
                self.values.clear()
            if verb in ("PREPARE", "DISCARD") and not is_barrier:
                self.is_prepared = verb == "PREPARE"
        elif verb == "COMMIT" and not self.faults.commit_keeps_transaction:
            self.state = "I"
        elif self.state == "T" and self.faults.failure_poisons and not is_barrier:
            self.state = "E"
        lines = [f"COMPLETE {receipt}"] if not code else [f"ERROR {code} i-1"]
        if verb == "STARTUP":
            lines = []
        if verb in ("READ", "EXECUTE") and not code:
            lines.insert(0, f"DATAROW {receipt}")
        lines.append(f"READY {self.state} 1.{self.position}")
        data = "".join(line + "\r\n" for line in lines).encode()
        entry = Handled(
            verb, request_id, code, receipt, self.position, is_barrier, data
        )
        self.handled.append(entry)
        self.firsts.append(entry)

    def deliver(self):
        """Deliver one reply; False if there is none."""
        if not self.firsts and not self.late:
            return False
        if self.late and (not self.firsts or self.random.random() < 0.4):
            data = self.late.pop(self.random.randrange(len(self.late)))
        else:
            entry = self.firsts.pop(0)
            entry.is_delivered = True
            data = entry.data
            if self.random.random() < self.faults.repeat:
                self.late.append(data)
        cut = self.random.randrange(len(data) + 1)
        for part in (data[:cut], data[cut:]):
            if part and not self.is_closed:
                self.connection.data_received(part)
        return True

    async def call(self, awaitable):
        """Run a call on the connection, delivering replies in a random order."""
        task = asyncio.ensure_future(awaitable)
        for _ in range(MAX_DELIVERIES):
            for _ in range(6):
                await asyncio.sleep(0)
            if task.done():
                return task.result()
            is_delayed = self.firsts and self.random.random() < 0.1
            if not is_delayed and not self.deliver():
                break
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise AssertionError("no answer although the server answered everything")


class Client:
    """Uses a connection as the engine does, and checks each outcome."""

    def __init__(self, seed, faults):
        self.server = ModelServer(seed, faults)
        self.connection = self.server.connection
        self.random = random.Random(seed + 1)
        self.has_prepared = False
        self.answered = 0

    async def talk(self, calls):
        await self.server.call(self.connection.start("service", "i-1"))
        for number in range(calls):
            if not self.connection.is_usable:
                return
            for _ in range(self.random.randrange(3)):
                if self.random.random() < 0.5 and self.server.late:
                    firsts, self.server.firsts = self.server.firsts, []
                    self.server.deliver()
                    self.server.firsts = firsts
            if not self.connection.is_usable:
                return
            if not await self.step(f"q{number}"):
                return
            self.answered += 1

    def choose(self):
        kinds = ["set", "set", "prepare", "read", "write"]
        if self.has_prepared:
            kinds += ["execute", "execute"]
        if self.connection.has_open_transaction:
            return self.random.choice([*kinds, "commit", "rollback"])
        return self.random.choice([*kinds, "discard", "begin", "begin"])

    def start(self, kind, request_id):
        connection = self.connection
        if kind == "set":
            return connection.set_value("v", self.random.choice("ab"))
        if kind == "prepare":
            return connection.prepare("p", Shape(Access.READ, "q"))
        if kind == "discard":
            return connection.reset()
        if kind == "begin":
            return connection.begin(Begin(request_id, False), None)
        if kind == "rollback":
            return connection.roll_back()
        if kind == "commit":
            return connection.commit(Commit(request_id))
        if kind == "execute":
            return connection.run(Work(request_id, None, "p", "item"), "p", None)
        access = Access.READ if kind == "read" else Access.WRITE
        work = Work(request_id, access, "", f"{access.name} item data")
        return connection.run(work, "", None)

    async def step(self, request_id):
        server = self.server
        kind = self.choose()
        was_inside = self.connection.has_open_transaction
        position_before = server.position
        handled_before = len(server.handled)
        try:
            reply = await server.call(self.start(kind, request_id))
        except NotSentError:
            sent = [e for e in server.handled if e.request_id == request_id]
            assert kind == "begin" or not sent, "NotSentError, but it was sent"
            return False
        except BackendError:
            return False
        finally:
            assert not server.violations, server.violations
        new = server.handled[handled_before:]
        barriers = sum(entry.is_barrier for entry in new)
        assert barriers <= MAX_BARRIERS_PER_CALL, "too many barriers"
        own = next(e for e in new if e.verb == kind.upper() and not e.is_barrier)
        own.is_told = reply.failure is not None
        if kind in ("prepare", "discard") and reply.failure is None:
            self.has_prepared = kind == "prepare"
        if kind == "execute" and own.code == "UNKNOWN":
            assert not self.connection.is_usable, "an unknown name is remembered"
        if kind in ("read", "write", "execute", "commit", "begin") and reply.position:
            assert reply.position.position >= position_before, "an old position"
        if kind in ("read", "write", "execute", "commit"):
            if reply.failure is None:
                assert reply.receipt == own.receipt, "another run's receipt"
                assert not reply.rows or reply.rows == (own.receipt,)
            elif kind != "read" and (kind == "commit" or not was_inside):
                is_promise = reply.failure in NOT_RUN_FAILURES
                assert not is_promise or own.code in NOT_RUN_CODES, own.code
        if kind == "begin" and reply.failure is None:
            assert not own.code and server.state == "T"
        if reply.failure is None:
            return True
        if kind in ("set", "prepare", "discard", "rollback"):
            return False
        if not self.connection.is_usable:
            return False
        if self.connection.has_open_transaction:
            return await self.roll_back()
        return True

    async def roll_back(self):
        handled_before = len(self.server.handled)
        try:
            reply = await self.server.call(self.connection.roll_back())
        except BackendError:
            return False
        own = self.server.handled[handled_before]
        own.is_told = reply.failure is not None
        return reply.failure is None and not reply.in_transaction


FAULTS = {
    "moving log": Faults(move=0.3),
    "standing log": Faults(move=0.0),
    "all twice": Faults(repeat=1.0, move=0.1),
    "barriers refused": Faults(refuse_barrier=0.1),
    "no second answers": Faults(repeat=0.0),
    "commit refused, transaction open": Faults(commit_keeps_transaction=True),
    "failed transactions": Faults(failure_poisons=True),
    "few refusals": Faults(refuse=0.03, move=0.05),
    "few refusals, standing log": Faults(refuse=0.03, move=0.0, refuse_barrier=0.01),
    "few refusals, all twice": Faults(repeat=1.0, refuse=0.03, move=0.15),
}


@pytest.mark.parametrize("name", FAULTS)
async def test_no_answer_of_another_request_is_believed(name):
    """Nor an old position, a promise that is not kept, or a call without end."""
    for seed in range(SEEDS):
        client = Client(seed, FAULTS[name])
        try:
            await client.talk(40)
        except AssertionError as error:
            raise AssertionError(f"{name}, seed {seed}: {error}") from error


class ScriptedTransport:
    """Answers each line that is sent with the next part of a script."""

    def __init__(self, connection, *script):
        self.connection = connection
        self.script = list(script)
        connection.connection_made(self)

    def is_closing(self):
        return False

    def close(self):
        pass

    def get_extra_info(self, name):
        return None

    def write(self, data):
        loop = asyncio.get_running_loop()
        for _ in range(data.count(b"\r\n")):
            loop.call_soon(self.connection.data_received, self.script.pop(0))


async def test_begin_does_not_report_the_log_position_of_an_earlier_begin():
    """It is recorded with the time of this request, so that stale reads pass."""
    old, new = b"COMPLETE -\r\nREADY T 1.3\r\n", b"COMPLETE -\r\nREADY T 1.5\r\n"
    ended = b"COMPLETE -\r\nREADY I 1.4\r\n"
    connection = ServerConnection()
    ScriptedTransport(
        connection, b"READY I 1.3\r\n", old, ended, old + new, new, new, new, new
    )
    async with asyncio.timeout(1.0):
        await connection.start("service", "i-1")
        await connection.begin(Begin("b1", False), None)
        await connection.roll_back()
        reply = await connection.begin(Begin("b2", False), None)
    assert reply.position is None or reply.position.position > 3
