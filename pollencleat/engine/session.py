"""State of a caller's session and its open transaction."""

from dataclasses import dataclass, field

from pollencleat.backend.pool import Lease
from pollencleat.core.data import GroupTerm, Position, Route
from pollencleat.engine.statements import Begin, Shape
from pollencleat.routing.tokens import later_of


@dataclass(eq=False, slots=True)
class OpenTransaction:
    """A transaction that the caller has begun.

    A server connection is acquired with the first statement that needs one.

    Attributes:
        begin: The statement that began it.
        route: Route of the session's database when it began.
        begun_at_s: Local time in seconds at which the caller began it.
        lease: Connection that it runs on, or None.
        term: Term of the primary that it runs on, or None if its server was chosen by
            log position.
        has_written: Whether a write was sent.
        failure: Why it failed, or empty. A failed transaction accepts only a commit or
            rollback.
        last_used_at_s: Local time in seconds of its last statement; the idle timeout
            starts then.
    """

    begin: Begin
    route: Route
    begun_at_s: float
    lease: Lease | None = None
    term: GroupTerm | None = None
    has_written: bool = False
    failure: str = ""
    last_used_at_s: float = 0.0

    @property
    def read_only(self) -> bool:
        """Whether the caller declared the transaction as read-only."""
        return self.begin.read_only


@dataclass(eq=False, slots=True)
class SessionState:
    """State that lasts from the beginning of a session to its end.

    Attributes:
        database: Name of the database that the caller connected to.
        account: Client account that the session belongs to.
        values: Session values that were acknowledged to the caller.
        shapes_by_name: Prepared statements by the names that the caller chose.
        seen_by_group: Newest log position of the session's own commits by group.
        transaction: The open transaction, or None.
    """

    database: str
    account: str
    values: dict[str, str] = field(default_factory=dict)
    shapes_by_name: dict[str, Shape] = field(default_factory=dict)
    seen_by_group: dict[str, Position] = field(default_factory=dict)
    transaction: OpenTransaction | None = None

    def note_commit(self, group_id: str, position: Position | None) -> None:
        """Raise the log position that later reads of this session must include.

        Args:
            group_id: Id of the group that was written to.
            position: The server's position after the commit, or None if unknown.
        """
        if position is None:
            return
        known_position = self.seen_by_group.get(group_id)
        self.seen_by_group[group_id] = later_of(known_position, position)
