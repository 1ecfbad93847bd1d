"""What a statement is, judged by its leading words.

The full text is never parsed: what cannot be judged from its words is treated as a
write, or refused when it would leave state on a shared connection.
"""

import enum
import functools
import re
from collections.abc import Callable
from dataclasses import dataclass

from pollencleat.core.errors import InvalidHintError

HINT_CACHE_SIZE = 4096
SCHEMA_WORDS = frozenset({"CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME"})
"""First words of statements before which a server commits an open transaction."""


class Action(enum.StrEnum):
    """How a statement is carried out."""

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
    """What a caller says in a comment about its statement.

    Attributes:
        kind: Declared kind of read.
        max_age_ms: Age limit for this read; tightens the kind's own.
        request_id: Identity of a request that must run at most once.
        token: What the session has seen.
    """

    kind: str = ""
    max_age_ms: int | None = None
    request_id: str = ""
    token: str = ""


@dataclass(frozen=True, slots=True)
class Statement:
    """A judged statement.

    Attributes:
        word: Its first word in upper case.
        reason: Why it is refused.
    """

    action: Action
    word: str
    hints: Hints = Hints()
    reason: str = ""


_COMMENT = re.compile(r"/\*.*?\*/|--[ \t][^\n]*(?:\n|$)|#[^\n]*(?:\n|$)", re.DOTALL)
_LEADING = re.compile(
    r"(?:\s+|/\*(?!!).*?\*/|--[ \t][^\n]*(?:\n|$)|#[^\n]*(?:\n|$))+", re.DOTALL
)
_HINT = re.compile(r"/\*\s*pollencleat:(?P<body>[^*]*)\*/")
_WORD = re.compile(r"\(*\s*([A-Za-z]+)")
_QUOTED = re.compile(r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|`[^`]*`")
_LOCKING = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b|\bINTO\b", re.IGNORECASE
)
_SESSION_BOUND = re.compile(
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
_TEMPORARY = re.compile(r"\bTEMPORARY\b", re.IGNORECASE)
_READ_ONLY = re.compile(r"\bREAD\s+ONLY\b", re.IGNORECASE)
_CTE_WRITE = re.compile(r"\b(?:INSERT|UPDATE|DELETE|REPLACE)\b", re.IGNORECASE)
_CHAIN = re.compile(r"\b(?:CHAIN|RELEASE|TO|PREPARED)\b", re.IGNORECASE)

_judges_by_word: dict[str, Callable[[str, str], tuple[Action, str]]] = {}


def judges(*words: str) -> Callable:
    """Register a function that judges statements with these first words.

    Args:
        *words: First words in upper case.

    Returns:
        A decorator.
    """

    def register(function: Callable[[str, str], tuple[Action, str]]) -> Callable:
        for word in words:
            _judges_by_word[word] = function
        return function

    return register


@judges("SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN", "VALUES", "TABLE", "WITH")
def _judge_read(word: str, text: str) -> tuple[Action, str]:
    if _SESSION_VALUE.match(text):
        return Action.SESSION_VALUE, ""
    bare = _QUOTED.sub("''", text)
    if _SESSION_BOUND.search(bare) or _LAST_INSERT_ID.search(bare):
        return Action.REFUSED, "it reads or changes state of one server session"
    if word == "WITH" and _CTE_WRITE.search(bare):
        return Action.WRITE, ""
    if _LOCKING.search(bare):
        return Action.WRITE, ""
    return Action.READ, ""


@judges(
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
def _judge_write(word: str, text: str) -> tuple[Action, str]:
    bare = _QUOTED.sub("''", text)
    if word in ("CREATE", "DROP", "ALTER") and _TEMPORARY.search(bare[:80]):
        return Action.REFUSED, "temporary tables do not survive on shared connections"
    if _SESSION_BOUND.search(bare):
        return Action.REFUSED, "it reads or changes state of one server session"
    return Action.WRITE, ""


@judges("BEGIN", "START")
def _judge_begin(word: str, text: str) -> tuple[Action, str]:
    if word == "START" and "TRANSACTION" not in text.upper():
        return Action.REFUSED, "only START TRANSACTION is supported"
    if _READ_ONLY.search(text):
        return Action.BEGIN_READ_ONLY, ""
    return Action.BEGIN, ""


@judges("COMMIT")
def _judge_commit(word: str, text: str) -> tuple[Action, str]:
    if _CHAIN.search(text):
        return Action.REFUSED, "COMMIT takes no options here"
    return Action.COMMIT, ""


@judges("ROLLBACK")
def _judge_rollback(word: str, text: str) -> tuple[Action, str]:
    if _CHAIN.search(text):
        return Action.REFUSED, "savepoints and chained transactions are not supported"
    return Action.ROLLBACK, ""


@judges("SET")
def _judge_set(word: str, text: str) -> tuple[Action, str]:
    return Action.SET, ""


@judges("USE")
def _judge_use(word: str, text: str) -> tuple[Action, str]:
    return Action.USE, ""


def parse_hints(text: str) -> Hints:
    """Return the hints in a statement's comments.

    Args:
        text: The whole statement.

    Returns:
        The hints; empty when there is none.

    Raises:
        InvalidHintError: A hint is unknown or malformed.
    """
    if "pollencleat:" not in text:
        return Hints()
    values: dict[str, str] = {}
    for match in _HINT.finditer(_QUOTED.sub(_keep_length, text)):
        for part in text[match.start("body") : match.end("body")].split():
            key, separator, value = part.partition("=")
            if not separator or not value:
                raise InvalidHintError(f"hint {part!r} is not of the form key=value")
            values[key] = value
    return _hints_from_values(values)


def _keep_length(match: re.Match) -> str:
    return "'" + " " * (len(match[0]) - 2) + "'"


def _hints_from_values(values: dict[str, str]) -> Hints:
    known = {"kind", "max_age_ms", "request_id", "token"}
    for key in values:
        if key not in known:
            raise InvalidHintError(f"unknown hint {key!r}")
    max_age_ms = None
    if "max_age_ms" in values:
        if not values["max_age_ms"].isdecimal():
            raise InvalidHintError("max_age_ms is not a whole number")
        max_age_ms = int(values["max_age_ms"])
    if len(values.get("request_id", "")) > 64:
        raise InvalidHintError("request_id is longer than 64 characters")
    return Hints(
        values.get("kind", ""),
        max_age_ms,
        values.get("request_id", ""),
        values.get("token", ""),
    )


@functools.lru_cache(maxsize=HINT_CACHE_SIZE)
def judge_statement(text: str) -> Statement:
    """Judge a statement.

    Args:
        text: The statement as sent.

    Returns:
        How to carry it out.

    Raises:
        InvalidHintError: A hint is malformed.
    """
    hints = parse_hints(text)
    lead = _LEADING.match(text)
    body = text[lead.end() :] if lead else text
    match = _WORD.match(body)
    if match is None:
        return Statement(Action.REFUSED, "", hints, "no statement was recognised")
    word = match[1].upper()
    judge = _judges_by_word.get(word)
    if judge is None:
        reason = f"{word} is not supported over shared connections"
        return Statement(Action.REFUSED, word, hints, reason)
    if "/*!" in text:
        reason = "version comments hide what a statement does"
        return Statement(Action.REFUSED, word, hints, reason)
    action, reason = judge(word, _COMMENT.sub(" ", body))
    return Statement(action, word, hints, reason)
