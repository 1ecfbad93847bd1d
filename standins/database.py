"""Storage of a stand-in backend server: in-memory SQLite with a replicated log."""

import asyncio
import json
import sqlite3
import time
from dataclasses import dataclass, field

LOCK_WAIT_TIMEOUT_S = 5.0
ROLLED_BACK = "rolled back"


class DatabaseError(Exception):
    """A statement failed with a MySQL error code."""

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        """Create an error with a MySQL code and an SQLSTATE."""
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate


@dataclass(frozen=True, slots=True)
class LogEntry:
    """A committed transaction; ``committed_at_s`` is in seconds since the epoch."""

    term: int
    committed_at_s: float
    statements: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Result:
    """Rows with column names, or the counts of a statement without rows."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple, ...] = ()
    affected_rows: int = 0
    last_insert_id: int = 0


@dataclass
class Database:
    """Tables, log and replication role of one server.

    Attributes:
        following: Id of the primary whose log this one matches, or empty.
        start_position: Log position at the last promotion.
        lag_s: Seconds from an entry's commit on the primary to its application here.
        log: Applied entries.
        received: Entries received from the primary and not yet applied.
        owner: Session with the open transaction; other sessions wait for the lock.
        statements: Writes of the open transaction.
        log_appended: Set when an entry is appended, then replaced by a new event.
    """

    term: int = 0
    read_only: bool = True
    following: str = ""
    start_position: int = 0
    lag_s: float = 0.0
    log: list[LogEntry] = field(default_factory=list)
    received: list[LogEntry] = field(default_factory=list)
    owner: object | None = None
    statements: list[str] = field(default_factory=list)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    log_appended: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Open the SQLite connection."""
        self._sqlite = sqlite3.connect(":memory:", isolation_level=None)

    @property
    def position(self) -> int:
        """Number of applied entries."""
        return len(self.log)

    @property
    def received_position(self) -> int:
        """Number of received entries, applied or not."""
        return len(self.log) + len(self.received)

    @property
    def last_entry_term(self) -> int:
        """Term of the newest received entry."""
        if self.received:
            return self.received[-1].term
        return self.log[-1].term if self.log else 0

    async def begin(self, owner: object) -> None:
        """Open a transaction once the previous one has ended.

        Args:
            owner: The session that opens the transaction.

        Raises:
            DatabaseError: The lock was not free within 5 s (code 1205).
        """
        await self._acquire_lock()
        self.owner = owner
        self.statements = []
        self._sqlite.execute("BEGIN")

    async def _acquire_lock(self) -> None:
        try:
            async with asyncio.timeout(LOCK_WAIT_TIMEOUT_S):
                await self.lock.acquire()
        except TimeoutError:
            raise DatabaseError(1205, "HY000", "Lock wait timeout exceeded") from None

    def commit(self) -> None:
        """Commit the open transaction; if it wrote, append it to the log."""
        self._sqlite.execute("COMMIT")
        if self.statements:
            self.append(LogEntry(self.term, time.time(), tuple(self.statements)))
        self._release_lock()

    def rollback(self) -> None:
        """Roll the open transaction back."""
        self._sqlite.execute("ROLLBACK")
        self._release_lock()

    def _release_lock(self) -> None:
        self.owner = None
        self.statements = []
        self.lock.release()

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log and wake waiting log requests.

        Args:
            entry: A committed transaction.
        """
        self.log.append(entry)
        self.log_appended.set()
        self.log_appended = asyncio.Event()

    def execute(self, sql: str, is_write: bool) -> Result:
        """Run a statement in the open transaction.

        Args:
            sql: The statement.
            is_write: Whether to record the statement for the log.

        Returns:
            The statement's result.

        Raises:
            DatabaseError: SQLite rejected the statement.
        """
        try:
            cursor = self._sqlite.execute(sql)
            rows = tuple(cursor.fetchall())
        except sqlite3.IntegrityError as error:
            raise DatabaseError(1062, "23000", str(error)) from error
        except sqlite3.OperationalError as error:
            code, sqlstate = _map_sqlite_error(str(error))
            raise DatabaseError(code, sqlstate, str(error)) from error
        except (sqlite3.Error, sqlite3.Warning) as error:
            raise DatabaseError(1105, "HY000", str(error)) from error
        if is_write:
            self.statements.append(sql)
        if cursor.description is not None:
            columns = tuple(column[0] for column in cursor.description)
            return Result(columns, rows)
        last_insert_id = (
            cursor.lastrowid or 0
            if sql.lstrip()[:6].upper()
            in (
                "INSERT",
                "REPLAC",
            )
            else 0
        )
        return Result(
            affected_rows=max(0, cursor.rowcount), last_insert_id=last_insert_id
        )

    async def apply(self, entry: LogEntry) -> None:
        """Apply an entry received from the primary.

        Args:
            entry: The entry after the last applied one.
        """
        async with self.lock:
            self._sqlite.execute("BEGIN")
            for sql in entry.statements:
                self._sqlite.execute(sql)
            self._sqlite.execute("COMMIT")
            self.append(entry)

    async def reset(self) -> None:
        """Delete all data, so that it can be rebuilt from the primary's log."""
        async with self.lock:
            self._sqlite.close()
            self._sqlite = sqlite3.connect(":memory:", isolation_level=None)
            self.log = []
            self.received = []


def _map_sqlite_error(message: str) -> tuple[int, str]:
    if "no such table" in message:
        return 1146, "42S02"
    if "already exists" in message:
        return 1050, "42S01"
    if "no such column" in message:
        return 1054, "42S22"
    return 1064, "42000"


def encode_entry(entry: LogEntry) -> str:
    """Serialize a log entry.

    Args:
        entry: A log entry.

    Returns:
        A JSON array of term, commit time and statements.
    """
    return json.dumps([entry.term, entry.committed_at_s, entry.statements])


def decode_entry(text: str) -> LogEntry:
    """Deserialize a log entry.

    Args:
        text: Output of encode_entry.

    Returns:
        The log entry.
    """
    term, committed_at_s, statements = json.loads(text)
    return LogEntry(term, committed_at_s, tuple(statements))
