"""Tests of restoring a session on a pooled connection."""

import asyncio

import pytest

from pollencleat.core.errors import BackendLostError
from pollencleat.engine.restore import (
    ConnectionNotRestoredError,
    restore_shape,
    restore_values,
)
from pollencleat.engine.session import SessionState
from pollencleat.engine.statements import Access, ServerFailure, ServerReply, Shape

SHAPE = Shape(Access.READ, "x")
CALLS = ("set_value", "reset", "prepare")


class FakeLink:
    """A connection with a value that answers one call as told."""

    def __init__(self, call, outcome):
        self.values = {"a": "1"}
        self.names_by_shape = {}
        self.has_open_transaction = True
        self.is_usable = True
        self._call = call
        self._outcome = outcome

    def close(self):
        self.is_usable = False

    async def _reply_to(self, call):
        if call == self._call:
            if isinstance(self._outcome, BaseException):
                raise self._outcome
            if self._outcome == "silent":
                await asyncio.Event().wait()
            if self._outcome == "refused":
                return ServerReply(failure=ServerFailure.BUSY, in_transaction=True)
        return ServerReply(in_transaction=True)

    async def set_value(self, name, value):
        return await self._reply_to("set_value")

    async def prepare(self, name, shape):
        return await self._reply_to("prepare")

    async def reset(self):
        return await self._reply_to("reset")


async def await_reply(request):
    return await request


async def restore(link, call):
    values = {} if call == "reset" else {"a": "2"}
    await restore_values(link, SessionState("db", "account", values), await_reply)
    await restore_shape(link, SHAPE, await_reply)


@pytest.mark.parametrize("call", CALLS)
async def test_refused_request_closes_the_connection(call):
    """The server still had a value that the proxy no longer knew of."""
    link = FakeLink(call, "refused")
    with pytest.raises(ConnectionNotRestoredError):
        await restore(link, call)
    assert not link.is_usable


@pytest.mark.parametrize("call", CALLS)
async def test_lost_reply_closes_the_connection(call):
    link = FakeLink(call, BackendLostError("lost"))
    with pytest.raises(BackendLostError):
        await restore(link, call)
    assert not link.is_usable


@pytest.mark.parametrize("call", CALLS)
async def test_abandoned_request_closes_the_connection(call):
    link = FakeLink(call, "silent")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await restore(link, call)
    assert not link.is_usable


async def test_restored_connection_stays_open_with_the_sessions_state():
    link = FakeLink("", "")
    await restore(link, "set_value")
    assert link.is_usable
    assert link.values == {"a": "2"} and link.names_by_shape == {SHAPE: "p0"}
