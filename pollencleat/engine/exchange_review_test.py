"""Sequences that defeat the assignment of replies, or cost more than they should."""

from dataclasses import replace

import pytest

from pollencleat.core.data import Position
from pollencleat.core.errors import BackendError
from pollencleat.engine.exchange import NotSentError
from pollencleat.engine.exchange_test import (
    BARRIER,
    BEGIN,
    READ,
    READ_INSIDE,
    SET,
    STATUS,
    ScriptedConnection,
    acknowledged,
    failed,
    status,
    success,
)
from pollencleat.engine.replies import (
    MAX_REMEMBERED_REPLIES,
    PROVEN_AFTER_REPLIES,
    ReceivedReply,
    ReplyKind,
)
from pollencleat.engine.statements import ServerFailure

AT_5 = Position(1, 5)


async def test_commit_refused_with_its_transaction_open_is_settled():
    """The barriers are then acknowledged inside the transaction."""
    begun, busy = acknowledged(in_transaction=True), failed(in_transaction=True)
    connection = ScriptedConnection(begun, busy, busy, begun, begun)
    await connection.ask(BEGIN)
    first = await connection.ask(READ, b"commit")
    assert first.failure is ServerFailure.BUSY
    reply = await connection.ask(READ, b"commit again")
    assert reply.failure is ServerFailure.BUSY


async def test_refused_barrier_after_a_refused_write_does_not_hang():
    busy = failed()
    connection = ScriptedConnection(busy, busy, busy, acknowledged())
    await connection.ask(READ, b"write")
    try:
        reply = await connection.ask(READ, b"write")
    except BackendError:
        return
    assert reply.failure is ServerFailure.BUSY


async def test_receipt_is_recognised_after_many_others_and_any_time():
    """Otherwise a late second answer is taken for another statement's answer."""
    names = [f"r{number}" for number in range(MAX_REMEMBERED_REPLIES - 2)]
    connection = ScriptedConnection(
        *map(success, names), (success("r0"), success("new"))
    )
    for _ in names:
        await connection.ask(READ)
    assert (await connection.ask(READ)).receipt == "new"


async def test_status_repeated_after_the_limit_is_not_believed():
    """A stale status misleads the choice of a primary."""
    connection = ScriptedConnection(
        status(), (status(), status("primary 4")), status("primary 4")
    )
    await connection.ask(STATUS)
    try:
        reply = await connection.ask(STATUS)
    except BackendError:
        return
    assert reply.rows == ("primary 4",)


async def test_refused_set_behind_an_acknowledgement_after_the_limit_is_noticed():
    connection = ScriptedConnection(acknowledged(), (acknowledged(), failed()))
    await connection.ask(SET)
    try:
        reply = await connection.ask(SET)
        await connection.exchange.settle()
    except BackendError:
        return
    assert reply.failure is ServerFailure.BUSY


async def test_late_acknowledgement_during_a_write_does_not_cost_its_answer():
    """A reply that cannot answer the write, by its kind, ends it as unknown."""
    connection = ScriptedConnection(acknowledged(), (acknowledged(), success("w")))
    await connection.ask(SET)
    assert (await connection.ask(READ, b"write")).receipt == "w"


async def test_write_on_a_closed_connection_is_known_not_to_be_sent():
    """It is reported as unknown although the server never got it."""
    connection = ScriptedConnection(acknowledged())
    await connection.ask(SET)
    connection.exchange.fail(BackendError("the server closed the connection"))
    with pytest.raises(NotSentError):
        await connection.exchange.settle()
        await connection.ask(READ, b"write")


@pytest.mark.parametrize("kind", ["set", "begin"])
async def test_statements_on_a_standing_log_succeed_without_second_answers(kind):
    """A server that never answers twice must not lose statements to barriers."""
    connection = ScriptedConnection()
    for _ in range(PROVEN_AFTER_REPLIES):
        connection.record.note_reply()
    state = {"in": False, "receipts": 0}

    def send(data):
        connection.sent.append(data)
        if data in (b"begin", b"commit"):
            state["in"] = data == b"begin"
        received = acknowledged(in_transaction=state["in"])
        if data in (b"read", b"commit"):
            state["receipts"] += 1
            received = success(f"r{state['receipts']}", state["in"])
        connection.exchange.on_reply(received)

    connection.exchange._send = send
    for number in range(20):
        if kind == "set":
            await connection.ask(SET, b"set")
            await connection.exchange.settle()
            await connection.ask(READ, b"read")
        else:
            await connection.ask(BEGIN, b"begin")
            await connection.exchange.settle()
            await connection.ask(READ_INSIDE, b"read")
            await connection.ask(READ, b"commit")
        assert connection.sent.count(BARRIER) <= 4 * (number + 1), number


async def test_uncertain_acknowledgement_carries_no_log_position():
    """A gateway records the position of every acknowledgement, a SET's too."""
    later = ReceivedReply(
        ReplyKind.ACKNOWLEDGED, replace(acknowledged().reply, position=AT_5)
    )
    connection = ScriptedConnection(acknowledged(), (acknowledged(), later))
    await connection.ask(SET)
    reply = await connection.ask(SET)
    assert reply.position is None


async def test_refusal_repeated_after_the_limit_is_no_promise_about_a_write():
    busy = failed()
    connection = ScriptedConnection(busy, (busy, success("w")), acknowledged())
    await connection.ask(READ)
    try:
        reply = await connection.ask(READ, b"write")
    except BackendError:
        return
    assert reply.receipt == "w"
