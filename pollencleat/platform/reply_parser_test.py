from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.data import Position
from pollencleat.core.errors import BackendLostError
from pollencleat.engine.replies import ReplyKind
from pollencleat.engine.statements import ServerFailure
from pollencleat.platform.reply_parser import ReplyParser
from pollencleat.platform.wire import MAX_LINE_BYTES

ROW = st.text(
    st.sampled_from(["\r", "\n", " ", "a", "é", "\x00", "\u2028"]), max_size=8
).filter(lambda text: "\r\n" not in text)
READ = "DATAROW {}\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n"


def split(data, cuts):
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in pairwise(edges)]


@given(st.lists(ROW, min_size=1, max_size=4), st.lists(st.integers(0, 500)))
def test_rows_survive_unchanged_however_the_stream_is_split(rows, cuts):
    """A row lost every CR at its end, and was split at LF."""
    parser = ReplyParser()
    data = "".join(READ.format(row) for row in rows).encode()
    received = [reply for part in split(data, cuts) for reply in parser.feed(part)]
    assert [reply.reply.rows for reply in received] == [(row,) for row in rows]
    assert all(reply.kind is ReplyKind.RECEIPT for reply in received)
    assert not parser.is_inside_reply


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("READY I -", ReplyKind.STARTED),
        ("COMPLETE -\r\nREADY T 3.4", ReplyKind.ACKNOWLEDGED),
        ("COMPLETE 7.1\r\nREADY I 3.4", ReplyKind.RECEIPT),
        ("DATAROW replica 3 3.1 0 0 0 1\r\nCOMPLETE -\r\nREADY I 3.4", "status"),
        ("ERROR BUSY i-1\r\nREADY E 3.4", ReplyKind.FAILED),
        ("DATAROW x\r\nERROR FAILED\r\nREADY I 3.4", ReplyKind.FAILED),
    ],
)
def test_kind_of_a_reply_is_that_of_its_lines(text, kind):
    parser = ReplyParser()
    (received,) = parser.feed(f"{text}\r\n".encode())
    assert received.kind == kind


def test_failure_has_its_code_and_the_transactions_state():
    parser = ReplyParser()
    (received,) = parser.feed(b"ERROR READONLY i-7\r\nREADY E 3.4\r\n")
    reply = received.reply
    assert reply.failure is ServerFailure.READ_ONLY and reply.detail == "READONLY i-7"
    assert reply.in_transaction and reply.position == Position(3, 4)


def test_part_of_a_reply_is_noticed():
    parser = ReplyParser()
    assert parser.feed(b"COMPLETE -\r") == [] and parser.is_inside_reply
    assert parser.feed(b"\n") == [] and parser.is_inside_reply
    assert len(parser.feed(b"READY I 3.4\r\nD")) == 1 and parser.is_inside_reply


@pytest.mark.parametrize("cut", [10, MAX_LINE_BYTES, MAX_LINE_BYTES + 1])
def test_row_of_just_the_limit_is_accepted_however_it_is_split(cut):
    """It was refused if its CR came before its LF."""
    row = "x" * (MAX_LINE_BYTES - len("DATAROW "))
    data = READ.format(row).encode()
    parser = ReplyParser()
    received = [*parser.feed(data[:cut]), *parser.feed(data[cut:])]
    assert received[0].reply.rows == (row,)


def test_refused_start_ends_without_a_ready_line():
    parser = ReplyParser()
    assert parser.feed(b"ERROR TOOMANY\r\n") == []
    assert parser.finish().reply.failure is ServerFailure.TOO_MANY
    assert ReplyParser().finish() is None


@pytest.mark.parametrize(
    "data",
    [
        b"DANCE\r\n",
        b"READY\r\n",
        b"READY I 3\r\n",
        b"DATAROW x\r\nREADY I 3.4\r\n",
        b"DATAROW \xff\r\n",
        b"\r\n",
        b"x" * (MAX_LINE_BYTES + 2),
        b"DATAROW " + b"x" * (MAX_LINE_BYTES - 7) + b"\r\n",
    ],
)
def test_bytes_that_are_no_reply_are_rejected(data):
    with pytest.raises(BackendLostError):
        ReplyParser().feed(data)
