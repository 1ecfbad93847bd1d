import pytest
from hypothesis import given
from hypothesis import strategies as st

from pollencleat.core.errors import InvalidHintError
from pollencleat.routing.statements import Action, classify_statement


@pytest.mark.parametrize("number", ["9" * 5_000, "9" * 400, "٣", "²", "1e9", "-1"])
def test_odd_age_limit_in_a_hint_raises_a_typed_error(number):
    """A number that no int or float can hold ended the caller's session."""
    with pytest.raises(InvalidHintError):
        classify_statement(f"/* pollencleat: max_age_ms={number} */ SELECT 1")


@pytest.mark.parametrize(
    ("text", "action"),
    [
        ("select 1", Action.READ),
        ("  /* note */ SELECT a FROM t WHERE b = 'FOR UPDATE'", Action.READ),
        ("SELECT a FROM t FOR UPDATE", Action.WRITE),
        ("SELECT a FROM t LOCK IN SHARE MODE", Action.WRITE),
        ("SELECT a INTO OUTFILE 'x' FROM t", Action.WRITE),
        ("WITH x AS (SELECT 1) SELECT * FROM x", Action.READ),
        ("WITH x AS (SELECT 1) DELETE FROM t", Action.WRITE),
        ("INSERT INTO t VALUES ('GET_LOCK(')", Action.WRITE),
        ("SELECT GET_LOCK('a', 1)", Action.REFUSED),
        ("SELECT get_lock ('a', 1)", Action.REFUSED),
        ("SELECT @x := 1", Action.REFUSED),
        ("SELECT @x", Action.REFUSED),
        ("SELECT LAST_INSERT_ID()", Action.SESSION_VALUE),
        ("SELECT LAST_INSERT_ID() + 1 FROM t", Action.REFUSED),
        ("CREATE TEMPORARY TABLE t (a INT)", Action.REFUSED),
        ("LOCK TABLES t WRITE", Action.REFUSED),
        ("LOAD DATA INFILE 'x' INTO TABLE t", Action.REFUSED),
        ("CALL p()", Action.REFUSED),
        ("SAVEPOINT a", Action.REFUSED),
        ("ROLLBACK TO a", Action.REFUSED),
        ("START TRANSACTION READ ONLY", Action.BEGIN_READ_ONLY),
        ("begin", Action.BEGIN),
        ("SELECT 1 /*! FOR UPDATE */", Action.REFUSED),
        ("SELECT 1 /* FOR UPDATE */", Action.READ),
        ("SELECT @pollencleat_token", Action.SESSION_VALUE),
        ("", Action.REFUSED),
    ],
)
def test_statement_is_classified(text, action):
    assert classify_statement(text).action is action


def test_hints_are_parsed():
    hints = classify_statement(
        "SELECT /* pollencleat: kind=status max_age_ms=50 token=g:1:2 */ 1"
    ).hints
    assert (hints.kind, hints.max_age_ms, hints.token) == ("status", 50, "g:1:2")


@pytest.mark.parametrize("body", ["age=1", "max_age_ms=-1", "kind", "kind="])
def test_malformed_hint_is_refused(body):
    with pytest.raises(InvalidHintError):
        classify_statement(f"SELECT /* pollencleat: {body} */ 1")


def test_hint_inside_a_literal_is_ignored():
    text = "SELECT '/* pollencleat: kind=status */'"
    assert classify_statement(text).hints.kind == ""


@given(st.text())
def test_any_text_is_classified_or_raises_invalid_hint_error(text):
    try:
        classify_statement(text)
    except InvalidHintError:
        assert "pollencleat:" in text
