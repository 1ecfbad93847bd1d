"""Session tokens: what a session has seen, in a form that its caller can carry."""

import re
from dataclasses import dataclass

from pollencleat.core.data import GroupTerm, Position
from pollencleat.core.errors import InvalidHintError, SessionHistoryLostError

_TOKEN = re.compile(
    r"^(?P<group>[A-Za-z0-9][A-Za-z0-9._-]{0,62}):(?P<term>\d{1,9}):"
    r"(?P<position>\d{1,18})$"
)


@dataclass(frozen=True, slots=True)
class Token:
    """A session saw a group's history up to a position."""

    group_id: str
    seen: Position


def format_token(token: Token) -> str:
    """Return a token's text.

    Args:
        token: A token.

    Returns:
        Text that callers treat as opaque.
    """
    return f"{token.group_id}:{token.seen.term}:{token.seen.position}"


def parse_token(text: str) -> Token:
    """Return the token of a text.

    Args:
        text: As returned by format_token.

    Returns:
        The token.

    Raises:
        InvalidHintError: The text is not a token.
    """
    match = _TOKEN.match(text)
    if match is None:
        raise InvalidHintError(f"malformed session token {text[:80]!r}")
    seen = Position(int(match["term"]), int(match["position"]))
    return Token(match["group"], seen)


def floor_position(term: GroupTerm, seen: Position) -> int:
    """Return the position below which a server is too old for a session.

    Args:
        term: The group's agreed term with its history.
        seen: What the session saw.

    Returns:
        A log position of the current history.

    Raises:
        SessionHistoryLostError: A later primary started before that position, so that
            writes that the session saw are gone.
    """
    for start in term.history:
        if start.term <= seen.term:
            continue
        if start.start_position < seen.position:
            raise SessionHistoryLostError(
                f"term {start.term} of {term.group_id} began at position "
                f"{start.start_position}, the session had seen {seen.position} of "
                f"term {seen.term}"
            )
    return seen.position


def is_lost(term: GroupTerm, seen: Position) -> bool:
    """Return whether a failover lost what a session saw.

    Args:
        term: The group's agreed term.
        seen: What the session saw.

    Returns:
        True if floor_position would raise.
    """
    try:
        floor_position(term, seen)
    except SessionHistoryLostError:
        return True
    return False


def later_of(first: Position | None, second: Position) -> Position:
    """Return the one of two positions that lies later in the history.

    Args:
        first: A position, or None.
        second: A position.

    Returns:
        The later one by (term, position).
    """
    if first is None:
        return second
    if (second.term, second.position) > (first.term, first.position):
        return second
    return first
