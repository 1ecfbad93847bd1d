"""Classifies statements by their first keyword and a few patterns.

Statements are not parsed in full.  A statement that is not clearly a read is treated as
a write, or refused if it would leave state on a shared connection.  Statements with an
unknown first keyword are refused, too.
"""

import enum
import functools
import re
from collections.abc import Callable
from dataclasses import dataclass

from pollencleat.core.errors import InvalidHintError

STATEMENT_CACHE_SIZE = 4096
IMPLICIT_COMMIT_KEYWORDS = frozenset({"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME"})
"""First keywords of statements before which a server commits an open transaction."""


class Action(enum.StrEnum):
    """How the proxy handles a statement."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    USE = "use"
    SESSION_VALUE = "session value"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Hints:
    """Options that a client gives in a comment of its statement.

    Attributes:
        kind: Name of a declared kind of read.
        max_age_ms: Age limit of this read; lowers the limit of its kind.
        request_id: Id of a request that must run at most once.
        token: Session token: the log position that the session has seen.
    """

    kind: str = ""
    max_age_ms: int | None = None
    request_id: str = ""
    token: str = ""


@dataclass(frozen=True, slots=True)
class Statement:
    """A classified statement.

    Attributes:
        action: How the proxy handles it.
        keyword: Its first keyword in upper case.
        hints: Options from its comments.
        reason: Why it is refused, or empty.
    """

    action: Action
    keyword: str
    hints: Hints = Hints()
    reason: str = ""


MAX_AGE_DIGITS = 12
"""Most digits of a number of milliseconds in a hint."""

_COMMENT = re.compile(r"/\*.*?\*/|--[ \t][^\n]*(?:\n|$)|#[^\n]*(?:\n|$)", re.DOTALL)
_LEADING_COMMENTS = re.compile(
    r"(?:\s+|/\*(?!!).*?\*/|--[ \t][^\n]*(?:\n|$)|#[^\n]*(?:\n|$))+", re.DOTALL
)
_HINT = re.compile(r"/\*\s*pollencleat:(?P<body>[^*]*)\*/")
_AGE_MS = re.compile(rf"[0-9]{{1,{MAX_AGE_DIGITS}}}")
_WORD = re.compile(r"\(*\s*([A-Za-z]+)")
_QUOTED = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|`[^`]*`")
_LOCKING_OR_INTO = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b|\bINTO\b", re.IGNORECASE
)
_SESSION_STATE = re.compile(
    r"\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|IS_USED_LOCK|FOUND_ROWS"
    r"|ROW_COUNT|CONNECTION_ID|SLEEP|LOAD_FILE)\s*\(|@\w+\s*:=|(?<![@\w])@[A-Za-z_]",
    re.IGNORECASE,
)
_LAST_INSERT_ID = re.compile(r"\bLAST_INSERT_ID\s*\(\s*\)", re.IGNORECASE)
_SESSION_VALUE = re.compile(
    r"SELECT\s+(?:@pollencleat_token|LAST_INSERT_ID\s*\(\s*\)|@@(?:SESSION\.)?"
    r"[A-Za-z_]+)(?:\s+(?:AS\s+)?\w+)?\s*(?:LIMIT\s+1\s*)?;?\s*$",
    re.IGNORECASE,
)
_TEMPORARY_TABLE = re.compile(r"\bTEMPORARY\b", re.IGNORECASE)
_READ_ONLY = re.compile(r"\bREAD\s+ONLY\b", re.IGNORECASE)
_CTE_WRITE = re.compile(r"\b(?:INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
_TRANSACTION_OPTION = re.compile(r"\b(?:CHAIN|RELEASE|TO|PREPARED)\b", re.IGNORECASE)

_classifiers_by_keyword: dict[str, Callable[[str, str], tuple[Action, str]]] = {}


def classifies(*words: str) -> Callable:
    """Register the classifier of the statements that begin with these keywords.

    Args:
        *words: First keywords in upper case.

    Returns:
        A decorator.
    """

    def register(function: Callable[[str, str], tuple[Action, str]]) -> Callable:
        for word in words:
            _classifiers_by_keyword[word] = function
        return function

    return register


@classifies("SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN", "VALUES", "TABLE", "WITH")
def _classify_read(word: str, text: str) -> tuple[Action, str]:
    if _SESSION_VALUE.match(text):
        return Action.SESSION_VALUE, ""
    unquoted = _QUOTED.sub("''", text)
    if _SESSION_STATE.search(unquoted) or _LAST_INSERT_ID.search(unquoted):
        return Action.REFUSED, "it reads or changes state of one server session"
    if word == "WITH" and _CTE_WRITE.search(unquoted):
        return Action.WRITE, ""
    if _LOCKING_OR_INTO.search(unquoted):
        return Action.WRITE, ""
    return Action.READ, ""


@classifies(
    "INSERT",
    "UPDATE",
    "DELETE",
    "REPLACE",
    "CREATE",
    "ALTER",
    "DROP",
    "TRUNCATE",
    "RENAME",
)
def _classify_write(word: str, text: str) -> tuple[Action, str]:
    unquoted = _QUOTED.sub("''", text)
    if word in ("CREATE", "DROP", "ALTER") and _TEMPORARY_TABLE.search(unquoted[:80]):
        return (
            Action.REFUSED,
            "temporary tables do not survive on shared connections",
        )
    if _SESSION_STATE.search(unquoted):
        return Action.REFUSED, "it reads or changes state of one server session"
    return Action.WRITE, ""


@classifies("BEGIN", "START")
def _classify_begin(word: str, text: str) -> tuple[Action, str]:
    if word == "START" and "TRANSACTION" not in text.upper():
        return Action.REFUSED, "only START TRANSACTION is supported"
    if _READ_ONLY.search(text):
        return Action.BEGIN_READ_ONLY, ""
    return Action.BEGIN, ""


@classifies("COMMIT")
def _classify_commit(word: str, text: str) -> tuple[Action, str]:
    if _TRANSACTION_OPTION.search(text):
        return Action.REFUSED, "COMMIT supports no options"
    return Action.COMMIT, ""


@classifies("ROLLBACK")
def _classify_rollback(word: str, text: str) -> tuple[Action, str]:
    if _TRANSACTION_OPTION.search(text):
        return Action.REFUSED, "savepoints and chained transactions are not supported"
    return Action.ROLLBACK, ""


@classifies("SET")
def _classify_set(word: str, text: str) -> tuple[Action, str]:
    return Action.SET, ""


@classifies("USE")
def _classify_use(word: str, text: str) -> tuple[Action, str]:
    return Action.USE, ""


def parse_hints(text: str) -> Hints:
    """Return the hints in a statement's comments.

    Args:
        text: The whole statement.

    Returns:
        The hints; the defaults if there are none.

    Raises:
        InvalidHintError: A hint is unknown or malformed.
    """
    if "pollencleat:" not in text:
        return Hints()
    values: dict[str, str] = {}
    for match in _HINT.finditer(_QUOTED.sub(_blank_literal, text)):
        for part in text[match.start("body") : match.end("body")].split():
            key, separator, value = part.partition("=")
            if not separator or not value:
                raise InvalidHintError(f"hint {part!r} is not of the form key=value")
            values[key] = value
    return _hints_from_values(values)


def _blank_literal(match: re.Match) -> str:
    return "'" + " " * (len(match[0]) - 2) + "'"


def _hints_from_values(values: dict[str, str]) -> Hints:
    known = {"kind", "max_age_ms", "request_id", "token"}
    for key in values:
        if key not in known:
            raise InvalidHintError(f"unknown hint {key!r}")
    max_age_ms = None
    if "max_age_ms" in values:
        if not _AGE_MS.fullmatch(values["max_age_ms"]):
            raise InvalidHintError(
                f"hint max_age_ms is no whole number of at most {MAX_AGE_DIGITS} digits"
            )
        max_age_ms = int(values["max_age_ms"])
    if len(values.get("request_id", "")) > 64:
        raise InvalidHintError("hint request_id is longer than 64 characters")
    return Hints(
        values.get("kind", ""),
        max_age_ms,
        values.get("request_id", ""),
        values.get("token", ""),
    )


@functools.lru_cache(maxsize=STATEMENT_CACHE_SIZE)
def classify_statement(text: str) -> Statement:
    """Classify a statement.

    Args:
        text: The statement as sent by the client.

    Returns:
        The statement's action, first keyword and hints.

    Raises:
        InvalidHintError: A hint is unknown or malformed.
    """
    hints = parse_hints(text)
    leading = _LEADING_COMMENTS.match(text)
    body = text[leading.end() :] if leading else text
    match = _WORD.match(body)
    if match is None:
        return Statement(
            Action.REFUSED,
            "",
            hints,
            "no statement keyword at the beginning of the text",
        )
    word = match[1].upper()
    classify = _classifiers_by_keyword.get(word)
    if classify is None:
        reason = f"{word} is not supported over shared connections"
        return Statement(Action.REFUSED, word, hints, reason)
    if "/*!" in text:
        reason = "a statement with version comments (/*! ... */) is not supported"
        return Statement(Action.REFUSED, word, hints, reason)
    action, reason = classify(word, _COMMENT.sub(" ", body))
    return Statement(action, word, hints, reason)
