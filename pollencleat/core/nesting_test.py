import json
import time

from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.nesting import find_nested, split_nested

JSON = st.recursive(
    st.none() | st.integers() | st.text(alphabet='ab"\\[]{}:,é', max_size=6),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(alphabet='a"\\[{', max_size=3), inner, max_size=3)
    ),
    max_leaves=30,
)


def split(value, depth, parts):
    """Do the same on decoded values."""
    if not isinstance(value, dict | list):
        return value
    if not depth:
        parts.append(value)
        return [len(parts) - 1]
    if isinstance(value, list):
        return [split(item, depth - 1, parts) for item in value]
    return {key: split(item, depth - 1, parts) for key, item in value.items()}


@given(JSON, st.integers(0, 4), st.booleans())
def test_values_below_the_depth_become_parts(value, depth, with_blanks):
    separators = (", ", ": ") if with_blanks else (",", ":")
    text = json.dumps(value, separators=separators).encode()
    outline, parts = split_nested(text, depth)
    expected_parts = []
    assert json.loads(outline) == split(value, depth, expected_parts)
    assert [json.loads(part) for part in parts] == expected_parts


@given(st.text(alphabet='[]{}"\\a', max_size=30), st.integers(0, 3))
def test_malformed_text_raises_no_error(text, depth):
    split_nested(text.encode(), depth)
    find_nested(text.encode(), b"a")


def test_value_of_a_key_is_not_taken_from_a_string_or_a_nested_object():
    text = json.dumps({"x": '"meta":[0]', "y": {"meta": [1]}, "meta": {"name": "a"}})
    assert json.loads(find_nested(text.encode(), b"meta")) == {"name": "a"}
    assert find_nested(b'{"meta":5}', b"meta") == b""


def test_long_texts_take_linear_time():
    count = 1_000_000
    texts = (
        b"[" * count + b"]" * count,
        b'{"a":' * count + b"1" + b"}" * count,
        b'"' + b'\\"' * count,
        b'"\\' * count,
        b"]" * count,
    )
    started_s = time.monotonic()
    for text in texts:
        split_nested(text, 64)
    assert time.monotonic() - started_s < 10.0
