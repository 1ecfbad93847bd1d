"""Writes that a server answers with an error, also one within a result set."""

from types import SimpleNamespace

import pytest

from pollencleat.backend.connection import (
    EOF_HEADER,
    ERROR_HEADER,
    BackendStatementError,
)
from pollencleat.callers.acknowledgement import commit_on_server
from pollencleat.callers.commands import QueryCommand
from pollencleat.callers.writes import run_single_write
from pollencleat.core.data import GroupTerm
from pollencleat.core.errors import (
    BackendLostError,
    TransactionLostError,
    UnknownOutcomeError,
)
from pollencleat.routing.statements import Hints

ERROR_PACKET = bytes([ERROR_HEADER]) + b"\x28\x04#HY000broken"
END_OF_COLUMNS = bytes([EOF_HEADER]) + bytes(4)


TERM = GroupTerm("g", 1, "s")


class ScriptedConnection:
    """Answers a command with the given packets, and the proxy's own statements.

    If an answer is out of step, the next statement gets the answer to the command.
    """

    deprecates_eof = False
    is_usable = True

    def __init__(self, *packets, is_out_of_step=False):
        self.packets = list(packets)
        self.is_out_of_step = is_out_of_step

    async def send_command(self, command, body):
        pass

    async def read_raw(self):
        return self.packets.pop(0)

    async def run(self, sql):
        if sql == "COMMIT":
            raise BackendStatementError(self.packets.pop(0))
        if self.is_out_of_step:
            return object()
        return [(1, 5, int(sql.rsplit(" ", 1)[1]))]

    def close(self):
        self.is_usable = False


class Statement:
    """The context of one statement, whose connection and packets are recorded."""

    def __init__(self, connection):
        self.connection = connection
        self.is_kept = None
        self.forwarded = []
        self.lease = SimpleNamespace(connection=connection, release=self._release)
        gateway = SimpleNamespace(
            require_writable=lambda group_id: TERM,
            is_still_writable=lambda term: True,
            queue_deadline_s=lambda: 1.0,
            borrow=self._borrow,
        )
        self.context = SimpleNamespace(
            gateway=gateway,
            session=SimpleNamespace(seen_by_group={}),
            stream=SimpleNamespace(forward=self._forward, drain=self._drain),
            caller_deprecates_eof=True,
            end_maker=None,
        )

    def _release(self, reusable):
        self.is_kept = reusable and self.connection.is_usable

    async def _borrow(self, *options):
        return self.lease

    async def _forward(self, payload, source):
        self.forwarded.append(payload)

    async def _drain(self):
        pass

    async def run(self):
        group = SimpleNamespace(group_id="g")
        command = QueryCommand(b"x")
        return await run_single_write(self.context, None, group, command, Hints())


async def test_result_set_that_ends_with_an_error_is_answered_once():
    """A second error packet followed, which the caller took for its next answer."""
    statement = Statement(
        ScriptedConnection(b"\x01", b"column", END_OF_COLUMNS, b"\x01a", ERROR_PACKET)
    )
    assert await statement.run() is None
    assert statement.forwarded == [b"\x01", b"column", b"\x01a", ERROR_PACKET]
    assert statement.is_kept is False


@pytest.mark.parametrize(
    ("is_out_of_step", "error"),
    [(False, BackendStatementError), (True, UnknownOutcomeError)],
)
async def test_error_of_an_earlier_statement_is_no_promise_for_a_write(
    is_out_of_step, error
):
    """The caller was told that its write had not run, and it had."""
    statement = Statement(
        ScriptedConnection(ERROR_PACKET, is_out_of_step=is_out_of_step)
    )
    with pytest.raises(error):
        await statement.run()
    assert statement.is_kept is not is_out_of_step


@pytest.mark.parametrize(
    ("is_out_of_step", "error"),
    [(False, TransactionLostError), (True, BackendLostError)],
)
async def test_error_of_an_earlier_statement_is_no_promise_for_a_commit(
    is_out_of_step, error
):
    statement = Statement(
        ScriptedConnection(ERROR_PACKET, is_out_of_step=is_out_of_step)
    )
    with pytest.raises(error):
        await commit_on_server(statement.context, TERM, statement.lease)
