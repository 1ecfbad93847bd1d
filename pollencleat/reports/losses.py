"""Which statements failed, by cause and time, from the structured log lines.

Lines may carry a prefix before the JSON object, as collectors add one.  Lines that were
left out by the rate limit are counted with the cause of the line that tells of them.
"""

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

import msgspec

FAILED_EVENT = "statement failed"
STATEMENT_EVENT = "statement"

_names = re.compile(r"\b[\w-]*\d[\w.-]*\b")
"""Words with a digit are names, numbers or times; causes are counted without them."""


@dataclass
class LossReport:
    """Counts of failed statements.

    Attributes:
        by_cause: By outcome and detail, without names and numbers.
        by_second: By second since the first line, then by outcome.
        answered: Statements that were answered with success.
    """

    by_cause: Counter[tuple[str, str]] = field(default_factory=Counter)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)
    answered: int = 0


def collect_losses(lines: Iterable[str]) -> LossReport:
    """Return the losses that log lines tell of.

    Args:
        lines: Log lines of one or more processes.

    Returns:
        The report; other lines are passed over.
    """
    report = LossReport()
    first_s = None
    for line in lines:
        event = parse_log_line(line)
        if event is None:
            continue
        at_s = _read_time(event)
        if first_s is None:
            first_s = at_s
        weight = 1 + int(event.get("left_out", 0))
        if event.get("event") == STATEMENT_EVENT:
            report.answered += weight
        if event.get("event") != FAILED_EVENT:
            continue
        outcome = str(event.get("outcome"))
        cause = _names.sub("*", str(event.get("detail") or event.get("last_failure")))
        report.by_cause[(outcome, cause)] += weight
        second = int(at_s - first_s)
        report.by_second.setdefault(second, Counter())[outcome] += weight
    return report


def parse_log_line(line: str) -> dict | None:
    """Return the fields of a log line.

    Args:
        line: A line, maybe with a prefix.

    Returns:
        The fields, or None if it is no structured line.
    """
    begin = line.find("{")
    if begin < 0 or '"event"' not in line:
        return None
    try:
        event = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return None
    return event if isinstance(event, dict) else None


def _read_time(event: dict) -> float:
    text = str(event.get("timestamp", ""))
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return 0.0


def format_losses(report: LossReport, causes: int = 20) -> str:
    """Return a report as text: a table of causes and a plot over time.

    Args:
        report: The losses.
        causes: Causes that are listed.

    Returns:
        Lines of text.
    """
    lines = [f"answered {report.answered}, failed {report.by_cause.total()}"]
    for (outcome, cause), count in report.by_cause.most_common(causes):
        lines.append(f"{count:7}  {outcome:24} {cause[:90]}")
    if not report.by_second:
        return "\n".join(lines)
    most = max(counts.total() for counts in report.by_second.values())
    for second in range(max(report.by_second) + 1):
        counts = report.by_second.get(second, Counter())
        bar = "#" * round(50 * counts.total() / most)
        kinds = ", ".join(f"{name} {count}" for name, count in counts.most_common(3))
        lines.append(f"{second:4} s {counts.total():6} {bar} {kinds}")
    return "\n".join(lines)
