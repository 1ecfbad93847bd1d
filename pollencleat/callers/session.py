"""Session state of one caller's connection."""

from dataclasses import dataclass, field

from mysql_mimic.session import BaseSession

from pollencleat.backend.pool import Lease
from pollencleat.core.data import GroupTerm, Position
from pollencleat.routing.tokens import later_of

_DEFAULT_VARIABLES = {
    "character_set_client": "utf8mb4",
    "character_set_results": "utf8mb4",
    "version": "8.0.36-pollencleat",
}


class CallerVariables:
    """The session variables that the protocol library reads and writes."""

    __slots__ = ("_changed_by_name",)

    def __init__(self) -> None:
        """Start with the default values."""
        self._changed_by_name: dict[str, str] | None = None

    def get(self, name: str) -> str:
        """Return the value of a variable.

        Args:
            name: Name of the variable.

        Returns:
            Its value, or an empty string if it has none.
        """
        if self._changed_by_name is not None and name in self._changed_by_name:
            return self._changed_by_name[name]
        return _DEFAULT_VARIABLES.get(name, "")

    def set(self, name: str, value: str, force: bool = False) -> None:
        """Set the value of a variable.

        Args:
            name: Name of the variable.
            value: The new value.
            force: Ignored; part of the library's interface.
        """
        if self.get(name) == value:
            return
        if self._changed_by_name is None:
            self._changed_by_name = {}
        self._changed_by_name[name] = value


@dataclass(eq=False, slots=True)
class Transaction:
    """An open transaction of a caller.

    Attributes:
        lease: The connection on which it runs.
        term: Term of the database group when it began.
        writable: Whether it runs on the primary and may write.
        request_id: Request id that it records in the journal, or empty.
        affected_rows: Sum over its statements.
        last_insert_id: Last non-zero id that a statement generated, or 0.
        has_written: Whether a write was sent.
    """

    lease: Lease
    term: GroupTerm
    writable: bool
    request_id: str = ""
    affected_rows: int = 0
    last_insert_id: int = 0
    has_written: bool = False


@dataclass(eq=False)
class CallerSession(BaseSession):
    """Session state that is kept between the statements of a caller.

    Attributes:
        seen_by_group: Latest log position of each group that the session has seen.
        groups_with_known_floor: Groups for which seen_by_group also covers what the
            session saw before it connected to this node.
        token_group_id: Group for which the session token is issued: the last one whose
            position was noted.
    """

    variables: CallerVariables = field(default_factory=CallerVariables)
    username: str | None = None
    database: str | None = None
    customer_id: str = ""
    autocommit: bool = True
    last_insert_id: int = 0
    transaction: Transaction | None = None
    seen_by_group: dict[str, Position] = field(default_factory=dict)
    groups_with_known_floor: set[str] = field(default_factory=set)
    token_group_id: str = ""

    def note_seen(self, group_id: str, seen: Position) -> None:
        """Raise the minimum log position of the session's reads.

        Args:
            group_id: The database group.
            seen: A log position that the session has seen.
        """
        self.seen_by_group[group_id] = later_of(self.seen_by_group.get(group_id), seen)
        self.token_group_id = group_id

    def forget_history(self, group_id: str) -> None:
        """Discard what the session has seen, after an error reported its loss.

        Args:
            group_id: The group whose failover lost writes that the session has seen.
        """
        self.seen_by_group.pop(group_id, None)
        self.groups_with_known_floor.discard(group_id)

    async def close(self) -> None:
        """End an open transaction by closing its connection, which rolls it back."""
        self.end_transaction(reusable=False)

    def end_transaction(self, reusable: bool) -> None:
        """End the transaction and release its connection.

        Args:
            reusable: Whether the server confirmed the end of the transaction; if not,
                the connection is closed.
        """
        if self.transaction is None:
            return
        self.transaction.lease.release(reusable)
        self.transaction = None
