"""Writes whose answer is a result set that the server ends with an error."""

from types import SimpleNamespace

from pollencleat.backend.connection import EOF_HEADER, ERROR_HEADER
from pollencleat.callers.commands import QueryCommand
from pollencleat.callers.writes import run_single_write
from pollencleat.core.data import GroupTerm
from pollencleat.routing.statements import Hints

ERROR_PACKET = bytes([ERROR_HEADER]) + b"\x28\x04#HY000broken"
END_OF_COLUMNS = bytes([EOF_HEADER]) + bytes(4)


class ScriptedConnection:
    """Answers the only command with the given packets."""

    deprecates_eof = False
    is_usable = True

    def __init__(self, *packets):
        self.packets = list(packets)

    async def send_command(self, command, body):
        pass

    async def read_raw(self):
        return self.packets.pop(0)

    def close(self):
        self.is_usable = False


async def test_result_set_that_ends_with_an_error_is_answered_once():
    """A second error packet followed, which the caller took for its next answer."""
    connection = ScriptedConnection(
        b"\x01", b"column", END_OF_COLUMNS, b"\x01a", ERROR_PACKET
    )
    released, forwarded = [], []
    lease = SimpleNamespace(
        connection=connection,
        release=lambda reusable: released.append(reusable and connection.is_usable),
    )

    async def borrow(*options):
        return lease

    async def forward(payload, source):
        forwarded.append(payload)

    async def drain():
        pass

    term = GroupTerm("g", 1, "s")
    gateway = SimpleNamespace(
        require_writable=lambda group_id: term,
        is_still_writable=lambda term: True,
        queue_deadline_s=lambda: 1.0,
        borrow=borrow,
    )
    context = SimpleNamespace(
        gateway=gateway,
        session=SimpleNamespace(seen_by_group={}),
        stream=SimpleNamespace(forward=forward, drain=drain),
        caller_deprecates_eof=True,
        end_maker=None,
    )
    result = await run_single_write(
        context, None, SimpleNamespace(group_id="g"), QueryCommand(b"x"), Hints()
    )
    assert result is None
    assert forwarded == [b"\x01", b"column", b"\x01a", ERROR_PACKET]
    assert released == [False]
