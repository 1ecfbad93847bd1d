"""The replies of a server that answers twice are assigned to the right requests."""

import asyncio
import random
from dataclasses import replace

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollencleat.core.data import Position
from pollencleat.core.errors import BackendError, BackendLostError
from pollencleat.engine.exchange import (
    MAX_EQUAL_REPLIES,
    AmbiguousReplyError,
    Exchange,
    NotSentError,
)
from pollencleat.engine.replies import (
    MAX_REMEMBERED_REPLIES,
    PROVEN_AFTER_REPLIES,
    Expectation,
    ReceivedReply,
    RepetitionRecord,
    ReplyKind,
)
from pollencleat.engine.statements import NOT_RUN_FAILURES, ServerFailure, ServerReply

BARRIER = b"barrier"
READ = Expectation(ReplyKind.RECEIPT, False)
SET = Expectation(ReplyKind.ACKNOWLEDGED, False)
BEGIN = Expectation(ReplyKind.ACKNOWLEDGED, True)
READ_INSIDE = Expectation(ReplyKind.RECEIPT, True)
STATUS = Expectation(ReplyKind.STATUS)
AT_3 = Position(1, 3)


def acknowledged(position=AT_3, in_transaction=False):
    reply = ServerReply(position=position, in_transaction=in_transaction)
    return ReceivedReply(ReplyKind.ACKNOWLEDGED, reply)


def success(receipt, in_transaction=False):
    reply = ServerReply(("row",), receipt, None, "", AT_3, in_transaction)
    return ReceivedReply(ReplyKind.RECEIPT, reply)


def failed(failure=ServerFailure.BUSY, in_transaction=False):
    reply = ServerReply(failure=failure, position=AT_3, in_transaction=in_transaction)
    return ReceivedReply(ReplyKind.FAILED, reply)


def status(row="replica 3"):
    return ReceivedReply(ReplyKind.STATUS, ServerReply((row,), position=AT_3))


class ScriptedConnection:
    """An exchange whose server answers each request with the next part of a script."""

    def __init__(self, *script):
        self.sent = []
        self.repetitions = []
        self.script = list(script)
        self.record = RepetitionRecord(self.repetitions.append)
        self.exchange = Exchange(
            self.send,
            lambda: (BARRIER, BARRIER),
            self.record,
        )

    def send(self, data):
        self.sent.append(data)
        replies = self.script.pop(0) if self.script else ()
        loop = asyncio.get_running_loop()
        for received in replies if isinstance(replies, tuple) else (replies,):
            loop.call_soon(self.exchange.on_reply, received)

    async def ask(self, expected, data=b"request"):
        async with asyncio.timeout(1.0):
            return await self.exchange.request(data, expected)


async def test_second_answer_to_a_read_is_not_the_answer_to_the_next():
    connection = ScriptedConnection(success("r1"), (success("r1"), success("r2")))
    assert (await connection.ask(READ)).receipt == "r1"
    assert (await connection.ask(READ)).receipt == "r2"
    assert connection.repetitions == [success("r1")]


async def test_second_answer_several_requests_later_is_dropped():
    script = [success(f"r{number}") for number in range(5)]
    connection = ScriptedConnection(*script, (success("r0"), success("r5")))
    for number in range(6):
        assert (await connection.ask(READ)).receipt == f"r{number}"


async def test_second_answer_to_an_idle_connection_is_dropped():
    connection = ScriptedConnection(success("r1"), success("r2"))
    await connection.ask(READ)
    connection.exchange.on_reply(success("r1"))
    assert connection.exchange.is_usable
    assert (await connection.ask(READ)).receipt == "r2"


async def test_reply_that_had_begun_before_the_request_does_not_answer_it():
    """Its kind and content would fit, and nothing like it was received before."""
    connection = ScriptedConnection(success("r1"), (success("r2"), success("r3")))
    await connection.ask(READ)
    with pytest.raises(BackendLostError):
        await connection.exchange.request(b"request", READ, is_inside_reply=True)


async def test_reply_to_no_request_ends_the_use_of_the_connection():
    connection = ScriptedConnection(success("r1"))
    await connection.ask(READ)
    connection.exchange.on_reply(success("other"))
    assert not connection.exchange.is_usable
    with pytest.raises(NotSentError):
        await connection.ask(READ)


async def test_success_without_a_receipt_is_no_answer_to_a_read():
    connection = ScriptedConnection(acknowledged(), (acknowledged(), success("r1")))
    await connection.ask(SET)
    assert (await connection.ask(READ)).receipt == "r1"
    with pytest.raises(BackendLostError):
        await ScriptedConnection(acknowledged()).ask(READ)


async def test_refused_set_behind_a_second_acknowledgement_stops_the_statement():
    """Otherwise the statement runs with other session values than acknowledged."""
    connection = ScriptedConnection(
        acknowledged(), acknowledged(), (failed(),), acknowledged()
    )
    await connection.ask(SET)
    await connection.ask(SET, b"second set")
    with pytest.raises(NotSentError):
        await connection.exchange.settle()
    assert not connection.exchange.is_usable


async def test_refused_set_that_arrives_between_two_requests_ends_the_connection():
    connection = ScriptedConnection(acknowledged(), acknowledged())
    await connection.ask(SET)
    await connection.ask(SET)
    connection.exchange.on_reply(failed())
    with pytest.raises(NotSentError):
        await connection.exchange.settle()


async def test_refused_set_that_equals_an_earlier_refusal_ends_the_connection():
    """It was taken for the second answer to the earlier one, and the read was sent."""
    connection = ScriptedConnection(failed(), acknowledged(), acknowledged())
    await connection.ask(READ)
    await connection.ask(SET)
    await connection.ask(SET)
    connection.exchange.on_reply(failed())
    with pytest.raises(NotSentError):
        await connection.exchange.settle()


async def test_equal_acknowledgements_are_settled_by_as_many_barriers():
    connection = ScriptedConnection(*[acknowledged()] * 5)
    for _ in range(3):
        await connection.ask(SET)
    await connection.exchange.settle()
    assert connection.sent.count(BARRIER) == 2


async def test_acknowledgement_at_a_new_position_needs_no_barrier():
    connection = ScriptedConnection(
        acknowledged(), acknowledged(Position(1, 4)), success("r1")
    )
    await connection.ask(SET)
    await connection.ask(SET)
    await connection.exchange.settle()
    assert (await connection.ask(READ)).receipt == "r1"
    assert BARRIER not in connection.sent


async def test_second_refusal_is_no_promise_about_a_write_that_ran():
    """A repeated BUSY promised that nothing was kept, and the write was committed."""
    busy = failed()
    connection = ScriptedConnection(busy, (busy,), success("w2"), acknowledged())
    assert (await connection.ask(READ)).failure is ServerFailure.BUSY
    assert (await connection.ask(READ, b"write")).receipt == "w2"


async def test_equal_refusals_of_two_writes_are_both_reported():
    busy = failed()
    connection = ScriptedConnection(busy, busy, acknowledged(), acknowledged())
    assert (await connection.ask(READ)).failure is ServerFailure.BUSY
    reply = await connection.ask(READ)
    assert reply.failure is ServerFailure.BUSY and reply.position is None
    assert connection.exchange.is_usable


async def test_outcome_between_two_failures_is_unknown():
    busy, ran = failed(), failed(ServerFailure.FAILED)
    connection = ScriptedConnection(
        busy, ran, (busy,), (ran, acknowledged()), acknowledged()
    )
    await connection.ask(READ)
    await connection.ask(READ)
    with pytest.raises(AmbiguousReplyError):
        await connection.ask(READ)
    assert not connection.exchange.is_usable


async def test_second_refusal_in_a_transaction_ends_the_connection():
    lost = failed(ServerFailure.READ_ONLY, True)
    connection = ScriptedConnection(acknowledged(in_transaction=True), lost, lost)
    await connection.ask(BEGIN)
    await connection.ask(READ_INSIDE)
    assert (await connection.ask(READ_INSIDE)).failure is ServerFailure.READ_ONLY
    assert not connection.exchange.is_usable


async def test_commit_is_not_refused_by_the_second_failure_of_a_statement():
    """The failure of a statement says that the transaction is open."""
    lost = failed(ServerFailure.BUSY, True)
    connection = ScriptedConnection(
        acknowledged(in_transaction=True), lost, (lost,), success("c"), acknowledged()
    )
    await connection.ask(BEGIN)
    await connection.ask(READ_INSIDE)
    assert (await connection.ask(READ, b"commit")).receipt == "c"


async def test_status_that_equals_an_earlier_one_is_not_believed():
    connection = ScriptedConnection(status(), status())
    await connection.ask(STATUS)
    with pytest.raises(AmbiguousReplyError):
        await connection.ask(STATUS)
    connection = ScriptedConnection(status(), (status(), status("primary 4")))
    await connection.ask(STATUS)
    with pytest.raises(AmbiguousReplyError):
        await connection.ask(STATUS)


async def test_second_answer_to_the_start_answers_nothing():
    started = ReceivedReply(ReplyKind.STARTED, ServerReply(position=AT_3))
    connection = ScriptedConnection(started, (started, success("r1")))
    await connection.ask(Expectation(ReplyKind.STARTED, False))
    assert (await connection.ask(READ)).receipt == "r1"


async def test_connection_with_many_equal_replies_is_not_used_again():
    connection = ScriptedConnection(*[acknowledged()] * MAX_EQUAL_REPLIES)
    for _ in range(MAX_EQUAL_REPLIES):
        assert connection.exchange.is_usable
        await connection.ask(SET)
    assert not connection.exchange.is_usable
    for _ in range(PROVEN_AFTER_REPLIES):
        connection.record.note_reply()
    assert connection.exchange.is_usable
    connection.exchange.on_reply(acknowledged())
    assert connection.exchange.is_usable
    await connection.exchange.settle()
    assert BARRIER not in connection.sent


async def test_refusals_of_a_proven_server_cost_no_connection():
    """Each second LAGGING of a replica whose log stood still closed one."""
    behind = failed(ServerFailure.BEHIND)
    script = [acknowledged()] * MAX_EQUAL_REPLIES + [behind] * 20
    connection = ScriptedConnection(*script)
    for _ in range(PROVEN_AFTER_REPLIES):
        connection.record.note_reply()
    for _ in range(MAX_EQUAL_REPLIES):
        await connection.ask(SET)
    for _ in range(20):
        assert (await connection.ask(READ)).failure is ServerFailure.BEHIND
        assert connection.exchange.is_usable
    assert BARRIER not in connection.sent


async def test_acknowledgement_without_a_log_position_is_accepted():
    nowhere = acknowledged(None)
    connection = ScriptedConnection(acknowledged(), acknowledged(), nowhere, nowhere)
    await connection.ask(SET)
    await connection.ask(SET)
    await connection.exchange.settle()
    assert connection.exchange.position == AT_3


async def test_receipt_is_remembered_for_the_connections_life():
    connection = ScriptedConnection(
        *(success(f"r{number}") for number in range(MAX_REMEMBERED_REPLIES))
    )
    for _ in range(MAX_REMEMBERED_REPLIES):
        assert connection.exchange.is_usable
        await connection.ask(READ)
    connection.exchange.on_reply(success("r0"))
    assert connection.repetitions == [success("r0")]
    assert not connection.exchange.is_usable


async def test_abandoned_request_leaves_the_connection_unusable():
    connection = ScriptedConnection(())
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await connection.exchange.request(b"request", READ)
    assert not connection.exchange.is_usable


class StutteringServer:
    """A server that refuses at random and sends each answer up to twice, late.

    Attributes:
        genuine_replies: The first answer to each request, in the order of requests.
    """

    def __init__(self, generator):
        self.random = generator
        self.number = 0
        self.position = 0
        self.in_transaction = False
        self.genuine_replies = []
        self.exchange = Exchange(
            self.send,
            lambda: (BARRIER, BARRIER),
            RepetitionRecord(),
        )
        self.late = []

    def send(self, data):
        loop = asyncio.get_running_loop()
        received = self.answer(data)
        if data != BARRIER:
            self.genuine_replies.append(received)
        self.deliver_late_ones()
        loop.call_soon(self.exchange.on_reply, received)
        if self.random.random() < 0.4:
            self.late.append(received)
        self.deliver_late_ones()

    def deliver_late_ones(self):
        loop = asyncio.get_running_loop()
        self.random.shuffle(self.late)
        while self.late and self.random.random() < 0.3:
            loop.call_soon(self.exchange.on_reply, self.late.pop())

    def answer(self, data):
        if self.random.random() < 0.3:
            self.position += 1
        position = Position(1, self.position)
        if data != BARRIER and self.random.random() < 0.25:
            failure = self.random.choice([ServerFailure.BUSY, ServerFailure.FAILED])
            self.in_transaction = self.in_transaction and data != b"commit"
            received = failed(failure, self.in_transaction)
        elif data == b"read" or data == b"commit":
            self.number += 1
            self.in_transaction = self.in_transaction and data == b"read"
            received = success(f"r{self.number}", self.in_transaction)
        else:
            if data == b"begin":
                self.in_transaction = True
            if data == b"rollback":
                self.in_transaction = False
            received = acknowledged(position, self.in_transaction)
        reply = replace(received.reply, position=position)
        return ReceivedReply(received.kind, reply)


async def talk(seed):
    """Return what was done until the connection ended."""
    generator = random.Random(seed)
    server = StutteringServer(generator)
    exchange = server.exchange
    answered = 0
    for _ in range(60):
        if not exchange.is_usable:
            break
        is_inside = exchange.has_open_transaction
        kinds = ["set", "read"] + (["commit", "rollback"] if is_inside else ["begin"])
        kind = generator.choice(kinds)
        try:
            if kind in ("read", "commit", "begin"):
                await exchange.settle()
                refused = [
                    received
                    for received in server.genuine_replies[answered:]
                    if received.kind is ReplyKind.FAILED
                ]
                assert not refused, "sent although an earlier request was refused"
            after = {"begin": True, "commit": False, "rollback": False}
            reply_kind = ReplyKind.ACKNOWLEDGED
            if kind in ("read", "commit"):
                reply_kind = ReplyKind.RECEIPT
            expected = Expectation(reply_kind, after.get(kind, is_inside))
            async with asyncio.timeout(1.0):
                reply = await exchange.request(kind.encode(), expected)
                if kind == "begin" and reply.failure is None:
                    await exchange.settle()
        except BackendError:
            break
        genuine = server.genuine_replies[-1].reply
        if kind in ("read", "commit"):
            check_outcome(reply, genuine, may_promise=kind == "commit" or not is_inside)
        if kind == "begin":
            assert reply.failure is not None or genuine.failure is None
        if reply.failure is not None:
            if not exchange.is_usable or exchange.has_open_transaction:
                break
            answered = len(server.genuine_replies)
        if generator.random() < 0.5:
            server.deliver_late_ones()
            await asyncio.sleep(0)
    return len(server.genuine_replies)


def check_outcome(reply, genuine, may_promise):
    """A failure in a transaction ends it, whether or not the statement ran."""
    if reply.failure is None:
        assert reply.receipt == genuine.receipt
    elif may_promise and reply.failure in NOT_RUN_FAILURES:
        assert genuine.failure in NOT_RUN_FAILURES


@example(461)
@example(810)
@example(4300)
@given(st.integers(0, 2**32))
def test_no_answer_is_taken_from_another_request(seed):
    asyncio.run(talk(seed))


def test_most_requests_to_a_stuttering_server_are_answered():
    counts = [asyncio.run(talk(seed)) for seed in range(200)]
    assert sum(counts) > 1000
