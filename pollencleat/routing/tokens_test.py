import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.data import GroupTerm, Position, TermStart
from pollencleat.core.errors import InvalidHintError, SessionHistoryLostError
from pollencleat.routing.tokens import (
    Token,
    floor_position,
    format_token,
    parse_token,
)

groups = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)


@given(groups, st.integers(0, 10**8), st.integers(0, 10**17))
def test_token_survives_round_trip(group, term, position):
    token = Token(group, Position(term, position))
    assert parse_token(format_token(token)) == token


@pytest.mark.parametrize(
    "text", ["g:٣:1", "g:1:٣", "g:²:1", "g:1:1\n", "g:1:" + "9" * 19]
)
def test_number_that_format_token_never_writes_is_refused(text):
    with pytest.raises(InvalidHintError):
        parse_token(text)


@given(st.text())
def test_any_text_is_a_token_or_raises_invalid_hint_error(text):
    try:
        parse_token(text)
    except InvalidHintError:
        return
    assert text.count(":") == 2


@given(
    st.lists(st.integers(0, 50), min_size=1, max_size=6),
    st.integers(1, 6),
    st.integers(0, 60),
)
def test_history_is_lost_if_and_only_if_a_later_term_started_below(
    starts, term, position
):
    history = tuple(
        TermStart(number, start) for number, start in enumerate(starts, start=1)
    )
    group = GroupTerm("g", len(starts), "a", None, history)
    seen = Position(term, position)
    is_lost = any(
        item.term > term and item.start_position < position for item in history
    )
    if is_lost:
        with pytest.raises(SessionHistoryLostError):
            floor_position(group, seen)
    else:
        assert floor_position(group, seen) == position
