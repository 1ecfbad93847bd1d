"""Connections that come back from a borrower after a call that did not succeed."""

import asyncio
from types import SimpleNamespace

import pytest

from pollencleat.core.errors import BackendLostError
from pollencleat.core.messages import LeaseEnded, LinkCall, LinkState
from pollencleat.engine.statements import Access, ServerFailure, ServerReply, Shape
from pollencleat.hops.calls import encode_arguments
from pollencleat.hops.lender import ActiveLease, HopLender
from pollencleat.reports.metrics import Metrics

LEASE_ID = 7
CALLS = {
    "set_value": ("v", "1"),
    "prepare": ("p0", Shape(Access.READ, "x")),
    "reset": (),
}
DONE = ServerReply()
REFUSED = ServerReply(failure=ServerFailure.BUSY)


class ScriptedLink:
    """Answers every call with the same reply or error."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.values = {"v": "former"}
        self.names_by_shape = {}

    async def answer(self, *arguments):
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    set_value = prepare = reset = answer


async def track(server_id, call):
    return await call


@pytest.fixture
def returned():
    return []


def make_lender(outcome, returned):
    pool_lease = SimpleNamespace(
        connection=ScriptedLink(outcome),
        pool=SimpleNamespace(server=SimpleNamespace(server_id="s", group_id="g")),
        set_running=lambda is_running: None,
        release=returned.append,
    )
    access = SimpleNamespace(
        board=SimpleNamespace(node_id="gateway", draining=False),
        clock=lambda: 0.0,
        track=track,
        note_position=lambda *observation: None,
    )
    lender = HopLender(access, lambda to, message: True, Metrics("gateway"))
    lender._active_leases_by_id[LEASE_ID] = ActiveLease("borrower", pool_lease, 0.0)
    return lender


@pytest.mark.parametrize(
    ("outcome", "is_kept"),
    [(DONE, True), (REFUSED, False), (BackendLostError("cut off"), False)],
)
@pytest.mark.parametrize("call", CALLS)
async def test_connection_whose_session_state_is_unknown_is_not_kept(
    call, outcome, is_kept, returned
):
    """A refused SET left its former value, which the borrower's report lacked."""
    lender = make_lender(outcome, returned)
    arguments = encode_arguments(CALLS[call])
    lender.on_link_call(LinkCall("borrower", LEASE_ID, 1, call, arguments))
    await asyncio.sleep(0.01)
    lender.on_lease_ended(LeaseEnded("borrower", LEASE_ID, LinkState({})))
    assert returned == [is_kept]


async def test_connection_that_is_returned_during_a_call_is_not_kept(returned):
    lender = make_lender(DONE, returned)
    arguments = encode_arguments(CALLS["reset"])
    lender.on_link_call(LinkCall("borrower", LEASE_ID, 1, "reset", arguments))
    lender.on_lease_ended(LeaseEnded("borrower", LEASE_ID, LinkState({})))
    assert returned == [False]
    await asyncio.sleep(0.01)
