"""State of one caller's connection."""

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
    """The few variables that the protocol library looks at."""

    __slots__ = ("_changed",)

    def __init__(self) -> None:
        """Start with the defaults."""
        self._changed: dict[str, str] | None = None

    def get(self, name: str) -> str:
        """Return a variable.

        Args:
            name: Its name.

        Returns:
            Its value, or an empty text.
        """
        if self._changed is not None and name in self._changed:
            return self._changed[name]
        return _DEFAULT_VARIABLES.get(name, "")

    def set(self, name: str, value: str, force: bool = False) -> None:
        """Change a variable.

        Args:
            name: Its name.
            value: The new value.
            force: Ignored; part of the library's interface.
        """
        if self.get(name) == value:
            return
        if self._changed is None:
            self._changed = {}
        self._changed[name] = value


@dataclass(eq=False, slots=True)
class Transaction:
    """A transaction that a caller has open.

    Attributes:
        term: Term of the primary it runs on.
        writable: It runs on the primary and may write.
        request_id: Recorded in the journal by this transaction, or empty.
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
    """What is kept between two statements of a caller.

    Attributes:
        seen_by_group: Up to where the session has seen each group.
        floor_known: Groups for which the session's history before its arrival here is
            covered by seen_by_group.
    """

    variables: CallerVariables = field(default_factory=CallerVariables)
    username: str | None = None
    database: str | None = None
    customer_id: str = ""
    autocommit: bool = True
    last_insert_id: int = 0
    transaction: Transaction | None = None
    seen_by_group: dict[str, Position] = field(default_factory=dict)
    floor_known: set[str] = field(default_factory=set)
    token_group: str = ""

    def note_seen(self, group_id: str, seen: Position) -> None:
        """Raise the session's floor.

        Args:
            group_id: The group.
            seen: A position that the session has seen.
        """
        self.seen_by_group[group_id] = later_of(self.seen_by_group.get(group_id), seen)
        self.token_group = group_id

    def forget_history(self, group_id: str) -> None:
        """Go on from what there is now, after the session was told of a loss.

        Args:
            group_id: The group whose failover lost what the session saw.
        """
        self.seen_by_group.pop(group_id, None)
        self.floor_known.discard(group_id)

    async def close(self) -> None:
        """Give up an open transaction; its connection is closed, so it rolls back."""
        self.end_transaction(reusable=False)

    def end_transaction(self, reusable: bool) -> None:
        """Return the transaction's connection.

        Args:
            reusable: The server confirmed the transaction's end.
        """
        if self.transaction is None:
            return
        self.transaction.lease.give_back(reusable)
        self.transaction = None
