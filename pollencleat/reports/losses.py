"""Counts failed statements by cause and time, from structured log lines.

Lines may have a prefix before the JSON object, as log collectors add one.  Lines that
the rate limit dropped (``left_out``) are counted under the cause and time of the line
that reports their number.
"""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

FAILED_EVENT = "statement failed"
STATEMENT_EVENT = "statement"

_word_with_digit = re.compile(r"\b[\w-]*\d[\w.-]*\b")
"""Words with a digit are names, numbers or times; they are masked in causes."""


@dataclass
class FailureReport:
    """Counts of failed and successful statements.

    Attributes:
        by_cause: Failures by outcome and detail, with names and numbers masked.
        by_second: Failures by second since the first log line, then by outcome.
        answered: Statements that succeeded.
    """

    by_cause: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)
    answered: int = 0


def count_failures(lines: Iterable[str]) -> FailureReport:
    """Count the statements that log lines report.

    Args:
        lines: Log lines of one or more processes.

    Returns:
        The counts; lines that are not structured log lines are ignored.
    """
    report = FailureReport()
    first_at_s = None
    for line in lines:
        event = parse_log_line(line)
        if event is None:
            continue
        at_s = _parse_timestamp(event)
        if first_at_s is None:
            first_at_s = at_s
        occurrences = 1 + int(event.get("left_out", 0))
        if event.get("event") == STATEMENT_EVENT:
            report.answered += occurrences
        if event.get("event") != FAILED_EVENT:
            continue
        outcome = str(event.get("outcome"))
        cause = _word_with_digit.sub(
            "*", str(event.get("detail") or event.get("last_failure"))
        )
        report.by_cause[(outcome, cause)] += occurrences
        second = int(at_s - first_at_s)
        report.by_second.setdefault(second, Counter())[outcome] += occurrences
    return report


def parse_log_line(line: str) -> dict | None:
    """Return the fields of a log line.

    Args:
        line: A line, optionally with a prefix before the JSON object.

    Returns:
        The fields, or None if the line is not a structured log line.
    """
    begin = line.find("{")
    if begin < 0 or '"event"' not in line:
        return None
    try:
        event = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    return event if isinstance(event, dict) else None


def _parse_timestamp(event: dict) -> float:
    text = str(event.get("timestamp", ""))
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return 0.0


def format_failures(report: FailureReport, causes: int = 20) -> str:
    """Format a report as a table of causes and a bar chart over time.

    Args:
        report: The counts.
        causes: Number of most frequent causes to list.

    Returns:
        Lines of text.
    """
    lines = [f"answered {report.answered}, failed {report.by_cause.total()}"]
    for (outcome, cause), count in report.by_cause.most_common(causes):
        lines.append(f"{count:7}  {outcome:24} {cause[:90]}")
    if not report.by_second:
        return "\n".join(lines)
    max_failures = max(counts.total() for counts in report.by_second.values())
    for second in range(max(report.by_second) + 1):
        counts = report.by_second.get(second, Counter())
        bar = "#" * round(50 * counts.total() / max_failures)
        kinds = ", ".join(f"{name} {count}" for name, count in counts.most_common(3))
        lines.append(f"{second:4} s {counts.total():6} {bar} {kinds}")
    return "\n".join(lines)
