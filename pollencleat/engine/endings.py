"""Records of sessions that this process ends itself, and of a planned stop."""

import enum
from collections import Counter
from dataclasses import dataclass, field

import structlog

from pollencleat.reports.metrics import Metrics

MAX_LISTED_REQUESTS = 5
"""Ids of interrupted requests that the report of a stop lists."""

log = structlog.get_logger()


class EndReason(enum.StrEnum):
    """Why this process ends a session."""

    STOPPING = "stopping"
    UNREADY = "unready"
    LIMIT = "drain limit"


class SessionActivity(enum.StrEnum):
    """What a session is doing."""

    STARTING = "starting"
    IDLE = "idle"
    ANSWERED = "answered"
    TRANSACTION = "in transaction"
    REQUEST = "request at work"


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """A session as this process ended it.

    Attributes:
        idle_ms: Milliseconds since its last request began or was answered.
        unfinished_bytes: Bytes that were read but not handled yet.
        request_id: The request at work, or the last one; empty before the first.
    """

    reason: EndReason
    activity: SessionActivity
    idle_ms: int
    unfinished_bytes: int
    database: str
    request_id: str


@dataclass
class StopReport:
    """What a planned stop did to the sessions.

    Attributes:
        sessions_at_start: Open sessions when the stop began.
        sessions_at_close: Open sessions when the process ceased to listen.
        ended_by_activity: Sessions that the process ended.
        interrupted_requests: Ids of requests that were at work at the limit.
        unsent_bytes: Bytes of answers that were not sent yet at the end.
    """

    sessions_at_start: int = 0
    sessions_at_close: int = 0
    ended_by_activity: Counter[SessionActivity] = field(default_factory=Counter)
    interrupted_requests: list[str] = field(default_factory=list)
    unsent_bytes: int = 0

    def add(self, end: SessionEnd) -> None:
        """Add a session that the process ended."""
        self.ended_by_activity[end.activity] += 1
        if end.activity is SessionActivity.REQUEST:
            self.interrupted_requests.append(end.request_id)

    def fields(self) -> dict[str, object]:
        """Return the fields of the log line."""
        counts = self.ended_by_activity
        return {
            "sessions_at_start": self.sessions_at_start,
            "sessions_at_close": self.sessions_at_close,
            "ended_starting": counts[SessionActivity.STARTING],
            "ended_idle": counts[SessionActivity.IDLE],
            "ended_after_answer": counts[SessionActivity.ANSWERED],
            "ended_in_transaction": counts[SessionActivity.TRANSACTION],
            "interrupted": len(self.interrupted_requests),
            "interrupted_requests": self.interrupted_requests[:MAX_LISTED_REQUESTS],
            "unsent_bytes": self.unsent_bytes,
        }


def record_end(metrics: Metrics, end: SessionEnd) -> None:
    """Count and log a session that this process ended.

    Args:
        metrics: Counters of the process.
        end: The session.
    """
    metrics.count("session_ended", f"{end.reason}, {end.activity}")
    log.info(
        "session ended",
        reason=end.reason,
        activity=end.activity,
        idle_ms=end.idle_ms,
        unfinished_bytes=end.unfinished_bytes,
        database=end.database,
        request=end.request_id,
    )
