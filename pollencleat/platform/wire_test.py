"""Lines and statements keep every byte, or are refused as a whole."""

import asyncio
import itertools

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollencleat.core.errors import MalformedStatementError
from pollencleat.platform.wire import (
    MAX_LINE_BYTES,
    LineTooLongError,
    decode_line,
    encode_line,
    read_line,
)

ODD_CHARACTERS = "\r\n\0\t\x0b\x0c\x1c\x1d\x1e\x7f\x85\xa0\u2028\u2029\u3000\ufeff"
TEXTS = st.text(st.sampled_from("ab " + ODD_CHARACTERS) | st.characters(codec="utf-8"))
LINES = TEXTS.map(lambda text: text.replace("\r\n", "\rx\n"))
STREAMS = st.lists(st.sampled_from([b"\r", b"\n", b"\r\n", b" "]) | st.binary()).map(
    b"".join
)


async def read_lines(chunks, limit=MAX_LINE_BYTES):
    reader = asyncio.StreamReader(limit=limit)
    lines = []

    async def read():
        while (line := await read_line(reader)) is not None:
            lines.append(line)

    reading = asyncio.create_task(read())
    for chunk in chunks:
        reader.feed_data(chunk)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    reader.feed_eof()
    await reading
    return lines


def split(stream, cuts):
    places = sorted({0, len(stream), *(cut % (len(stream) + 1) for cut in cuts)})
    return [stream[a:b] for a, b in itertools.pairwise(places)]


@given(STREAMS, st.lists(st.integers(0, 1 << 16)))
@example(b"a\r\r\nb\n\r\n\r\n\r\r\n", list(range(14)))
def test_stream_is_split_at_cr_lf_only(stream, cuts):
    """Lines were split at LF and lost every CR at their end."""
    complete = stream.split(b"\r\n")[:-1]
    lines = asyncio.run(read_lines(split(stream, cuts)))
    assert lines == complete


@given(st.binary())
def test_decoded_line_is_encoded_to_the_same_bytes(data):
    try:
        line = decode_line(data)
    except MalformedStatementError:
        assert "�" in data.decode(errors="replace")
        return
    assert line.encode() == data


@given(st.lists(LINES), st.lists(st.integers(0, 1 << 16)))
def test_encoded_lines_are_read_back(texts, cuts):
    stream = b"".join(encode_line(text) for text in texts)
    lines = asyncio.run(read_lines(split(stream, cuts)))
    assert [decode_line(line) for line in lines] == texts


@pytest.mark.parametrize("size", [15, 16])
def test_line_up_to_the_limit_is_read_wherever_it_is_split(size):
    stream = b"x" * size + b"\r\ny\r\n"
    for cut in range(len(stream)):
        lines = asyncio.run(read_lines([stream[:cut], stream[cut:]], limit=16))
        assert lines == [b"x" * size, b"y"]


def test_line_beyond_the_limit_is_refused_wherever_it_is_split():
    stream = b"x" * 17 + b"\r\ny\r\n"
    for cut in range(len(stream)):
        with pytest.raises(LineTooLongError):
            asyncio.run(read_lines([stream[:cut], stream[cut:]], limit=16))
