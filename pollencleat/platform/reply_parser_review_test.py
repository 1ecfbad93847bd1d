"""Lines that cannot be one reply are not joined to one."""

import pytest

from pollencleat.core.errors import BackendLostError
from pollencleat.platform.reply_parser import ReplyParser

READY = b"READY I 1.3\r\n"


@pytest.mark.parametrize(
    "lines",
    [
        b"COMPLETE r1\r\nERROR BUSY i-1\r\n",
        b"ERROR BUSY i-1\r\nCOMPLETE r1\r\n",
        b"COMPLETE r1\r\nCOMPLETE r2\r\n",
        b"COMPLETE r1\r\nDATAROW other\r\nCOMPLETE r2\r\n",
        b"COMPLETE r1\r\nDATAROW other\r\n",
        b"ERROR FAILED i-1\r\nERROR BUSY i-1\r\n",
    ],
)
def test_two_endings_are_not_joined_to_one_reply(lines):
    """A write that ran would be refused, or carry another statement's receipt."""
    with pytest.raises(BackendLostError):
        ReplyParser().feed(lines + READY)
