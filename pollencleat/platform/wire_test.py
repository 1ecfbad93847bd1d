"""Lines and statements keep every byte, or are refused as a whole."""

import asyncio
import itertools

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from pollencleat.core.errors import BackendLostError, MalformedStatementError
from pollencleat.engine.statements import (
    Begin,
    Commit,
    Forget,
    Prepare,
    Rollback,
    SetValue,
    Work,
)
from pollencleat.platform.wire import (
    MAX_DETAIL_CHARACTERS,
    MAX_LINE_BYTES,
    LineTooLongError,
    UnsendableLineError,
    decode_line,
    encode_error,
    encode_line,
    encode_startup,
    parse_ready,
    parse_statement,
    read_line,
)

ODD_CHARACTERS = "\r\n\0\t\x0b\x0c\x1c\x1d\x1e\x7f\x85\xa0\u2028\u2029\u3000\ufeff"
TEXTS = st.text(st.sampled_from("ab " + ODD_CHARACTERS) | st.characters(codec="utf-8"))
LINES = TEXTS.map(lambda text: text.replace("\r\n", "\rx\n"))
FIELDS = LINES.map(lambda text: text.replace(" ", "_")).filter(bool)
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


def text_of(statement):
    """Return the text that a statement stands for."""
    match statement:
        case Begin(read_only=True):
            return "BEGIN READ"
        case Work(prepared_name="", text=text):
            return text
        case Work(prepared_name=name, text=text):
            return f"EXECUTE {name} {text}"
        case SetValue(name=name, value=value):
            return f"SET {name} {value}"
        case Prepare(name=name, shape=shape):
            return f"PREPARE {name} {shape.access.name} {shape.text}"
        case Forget(name=name):
            return f"DEALLOCATE {name}"
    plain = {Begin: "BEGIN", Commit: "COMMIT", Rollback: "ROLLBACK"}
    return plain[type(statement)]


WORDS = "BEGIN READ WRITE COMMIT ROLLBACK SET PREPARE EXECUTE DEALLOCATE WAITFOR"
NEAR_TEXTS = st.lists(
    st.sampled_from([*WORDS.split(" "), " ", " ", " ", "a", "-", *ODD_CHARACTERS])
).map("".join)


@given(FIELDS, NEAR_TEXTS | LINES)
@example("1", "COMMIT ")
@example("1", "BEGIN ")
@example("1", "BEGIN READ ")
@example("1", "ROLLBACK ")
@example("1", "SET a")
@example("1", "SET a ")
@example("1", "SET a  b ")
@example("1", "PREPARE  READ x")
@example("1", "PREPARE s READ  x ")
@example("1", "DEALLOCATE s ")
@example("1", "EXECUTE s  x ")
@example("1", "READ x ")
@example("1", "WRITE x  ")
def test_statement_stands_for_exactly_the_text_that_was_sent(request_id, text):
    """Blanks at the end were dropped; "SET a" was sent to servers as "SET a "."""
    try:
        statement = parse_statement(f"QUERY {request_id} {text}")
    except MalformedStatementError:
        return
    assert (statement.request_id, text_of(statement)) == (request_id, text)


@given(FIELDS.filter(lambda name: name != "-"), FIELDS, FIELDS, LINES)
def test_statement_of_any_characters_keeps_its_text(request_id, name, item, last):
    texts = [
        f"READ {item}",
        f"READ {item} {last}",
        f"WRITE {item} x{last}",
        f"SET {name} {last}",
        f"PREPARE {name} WRITE x{last}",
        f"EXECUTE {name} {item} {last}",
        f"DEALLOCATE {name}",
    ]
    for text in texts:
        statement = parse_statement(f"QUERY {request_id} {text}")
        assert (statement.request_id, text_of(statement)) == (request_id, text)


@pytest.mark.parametrize(
    "line",
    [
        "",
        " ",
        "\n",
        "QUERY",
        "QUERY ",
        "QUERY 1",
        "QUERY 1 ",
        "QUERY  1 READ x",
        "QUERY  READ x",
        " QUERY 1 READ x",
        "\nQUERY 1 READ x",
        "\0QUERY 1 READ x",
        "\ufeffQUERY 1 READ x",
        "query 1 READ x",
        "QUERY\t1 READ x",
        "QUERY 1\x0bREAD x",
        "QUERY 1 READ\x85x",
        "QUERY 1 READ\u2028x",
        "QUERY 1 READ  x",
        "QUERY 1 READ",
        "QUERY 1 READ ",
        "QUERY 1 WRITE k",
        "QUERY 1 WRITE k ",
        "QUERY 1 COMMIT\r",
        "QUERY 1 COMMIT ",
        "QUERY 1 BEGIN\n",
        "QUERY 1 BEGIN WRITE",
        "QUERY 1 SET",
        "QUERY 1 SET ",
        "QUERY 1 SET a",
        "QUERY 1 SET  b",
        "QUERY 1 PREPARE  READ x",
        "QUERY 1 PREPARE s  READ x",
        "QUERY 1 PREPARE s READ\rx",
        "QUERY 1 PREPARE s READ",
        "QUERY 1 DEALLOCATE s t",
        "QUERY 1 WAITFOR 1.1 READ x",
        "QUERY 1 DISCARD",
        "QUERY 1 STATUS",
        "QUERY 1 STEPDOWN 9",
        "TERMINATE now",
    ],
)
def test_line_that_is_no_statement_is_refused(line):
    with pytest.raises(MalformedStatementError):
        parse_statement(line)


@pytest.mark.parametrize("text", ["READ x", "WRITE k v", "SET a b", "COMMIT"])
def test_callers_cannot_use_the_request_id_of_the_proxys_own_statements(text):
    with pytest.raises(MalformedStatementError):
        parse_statement(f"QUERY - {text}")


@pytest.mark.parametrize("fields", ["I 3.1\x0b", "I 3.1 ", "I  3.1", "I -\u2028"])
def test_ready_line_with_further_characters_is_malformed(fields):
    with pytest.raises(BackendLostError):
        parse_ready(fields)


@given(st.lists(TEXTS, min_size=1, max_size=4))
@example(["STARTUP", "a\r\nQUERY 1 WRITE k v", "x"])
@example(["DATAROW", "x\r\nREADY I -"])
@example(["STARTUP", "", "x"])
@example(["STARTUP", "a b", "x"])
@example(["QUERY", "1", "READ x\r"])
def test_encoded_line_is_read_as_the_same_fields_or_refused(fields):
    """A field with a line end became a line of its own."""
    try:
        data = encode_line(*fields)
    except UnsendableLineError:
        shifts = any(not field or " " in field for field in fields[:-1])
        assert shifts or "\r\n" in "".join(fields)
        return
    (line,) = asyncio.run(read_lines([data]))
    assert decode_line(line).split(" ", len(fields) - 1) == fields


def test_line_beyond_the_limit_is_not_sent():
    """A prepared statement is renamed, so that a text of the largest size may grow."""
    text = "x" * (MAX_LINE_BYTES - len("QUERY 1 "))
    (line,) = asyncio.run(read_lines([encode_line("QUERY", "1", text)]))
    assert len(line) == MAX_LINE_BYTES
    with pytest.raises(UnsendableLineError):
        encode_line("QUERY", "1", text + "x")
    with pytest.raises(UnsendableLineError):
        encode_line("QUERY", "1", text[:-1] + "é")


@pytest.mark.parametrize("name", ["", " ", "a b", "a\r\nb", "\ud800"])
def test_name_that_is_no_field_starts_no_session_at_a_server(name):
    with pytest.raises(UnsendableLineError):
        encode_startup(name, "pollencleat", "s-1")
    with pytest.raises(UnsendableLineError):
        encode_startup("books", "pollencleat", name)


@given(st.text(max_size=700))
@example("x\r\nREADY I -")
@example("\ud800")
@example("x" * MAX_LINE_BYTES)
def test_error_line_is_sent_whatever_its_detail(detail):
    (line,) = asyncio.run(read_lines([encode_error("BUSY", detail)]))
    text = decode_line(line)
    assert text.startswith("ERROR BUSY ") and text.isprintable()
    assert len(text) <= len("ERROR BUSY ") + MAX_DETAIL_CHARACTERS
