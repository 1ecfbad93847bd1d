"""Session tokens: the log position that a session has seen, as text for clients."""

import re
from dataclasses import dataclass

from pollencleat.core.data import GroupTerm, Position
from pollencleat.core.errors import InvalidHintError, SessionHistoryLostError

_TOKEN = re.compile(
    r"^(?P<group>[A-Za-z0-9][A-Za-z0-9._-]{0,62}):(?P<term>[0-9]{1,9}):"
    r"(?P<position>[0-9]{1,18})\Z"
)


@dataclass(frozen=True, slots=True)
class Token:
    """The newest log position of a group that a session has seen.

    Attributes:
        group_id: The group.
        seen: Term and position of the newest log entry that the session has seen.
    """

    group_id: str
    seen: Position


def format_token(token: Token) -> str:
    """Return a token's text.

    Args:
        token: A token.

    Returns:
        The text, which clients treat as opaque.
    """
    return f"{token.group_id}:{token.seen.term}:{token.seen.position}"


def parse_token(text: str) -> Token:
    """Parse a session token.

    Args:
        text: Text as returned by format_token.

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
    """Return the lowest log position that a server needs to serve a session.

    Args:
        term: The group's agreed term with its history.
        seen: Newest log position that the session has seen.

    Returns:
        A position of the group's current log.

    Raises:
        SessionHistoryLostError: A later term started below that position: writes that
            the session has seen are lost.
    """
    for start in term.history:
        if start.term <= seen.term:
            continue
        if start.start_position < seen.position:
            raise SessionHistoryLostError(
                f"term {start.term} of group {term.group_id} started at position "
                f"{start.start_position}, but the session has seen position "
                f"{seen.position} of term {seen.term}"
            )
    return seen.position


def is_history_lost(term: GroupTerm, seen: Position) -> bool:
    """Return whether a failover lost writes that a session has seen.

    Args:
        term: The group's agreed term with its history.
        seen: Newest log position that the session has seen.

    Returns:
        True if floor_position raises SessionHistoryLostError.
    """
    try:
        floor_position(term, seen)
    except SessionHistoryLostError:
        return True
    return False


def later_of(first: Position | None, second: Position) -> Position:
    """Return the later one of two log positions.

    Args:
        first: A position, or None.
        second: A position.

    Returns:
        The greater one by (term, position).
    """
    if first is None:
        return second
    if (second.term, second.position) > (first.term, first.position):
        return second
    return first
