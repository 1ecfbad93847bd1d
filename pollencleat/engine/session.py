"""State of one caller's session."""

from dataclasses import dataclass, field

from pollencleat.backend.pool import Lease
from pollencleat.core.data import GroupTerm, Position, Route
from pollencleat.engine.statements import Begin, Shape
from pollencleat.routing.tokens import later_of


@dataclass(eq=False, slots=True)
class OpenTransaction:
    """A transaction that the caller has begun.

    It gets a server connection with its first statement that needs one.

    Attributes:
        begun_at_s: When the caller asked for it, on the local clock.
        term: Term of the primary that it runs on, or None on any other server.
        has_written: A write was sent.
        failure: Why it cannot go on; only its end is accepted then.
    """

    begin: Begin
    route: Route
    begun_at_s: float
    lease: Lease | None = None
    term: GroupTerm | None = None
    has_written: bool = False
    failure: str = ""
    used_at_s: float = 0.0

    @property
    def read_only(self) -> bool:
        """Whether the caller declared that it writes nothing."""
        return self.begin.read_only


@dataclass(eq=False, slots=True)
class SessionState:
    """What holds from the beginning of a session to its end.

    Attributes:
        account: Client account that the session belongs to.
        values: Values as acknowledged to the caller.
        shapes_by_name: Prepared statements by the caller's names.
        seen_by_group: Newest position of the session's own commits.
    """

    database: str
    account: str
    values: dict[str, str] = field(default_factory=dict)
    shapes_by_name: dict[str, Shape] = field(default_factory=dict)
    seen_by_group: dict[str, Position] = field(default_factory=dict)
    transaction: OpenTransaction | None = None

    def note_commit(self, group_id: str, position: Position | None) -> None:
        """Raise what reads of this session must include.

        Args:
            group_id: The group that was written to.
            position: The server's position after the commit.
        """
        if position is None:
            return
        known = self.seen_by_group.get(group_id)
        self.seen_by_group[group_id] = later_of(known, position)
