"""Counters and samples of one process.

Counters are plain integers that are read at each scrape, so that counting an event
while a statement is processed costs no more than an addition.  The exporter is loaded
at the first scrape: its libraries take longer to import than a process takes to begin
to serve, and a process that was just started has nothing to report.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pollencleat.reports.exporter import MetricsExporter

DURATION_SAMPLE_INTERVAL = 16
"""One statement in this many is recorded, since recording a duration costs a fifth of
what a statement costs."""

MAX_WAITING_SAMPLES = 4096
"""Newest duration samples that are kept for the first scrape."""

GaugeReader = Callable[[], Iterable[tuple[float, dict[str, str]]]]


class Metrics:
    """All metrics of one process.

    Attributes:
        counts: Counters by name and detail.
        gauges_by_name: Returns pairs of a value and its labels for each gauge.
    """

    def __init__(self, node_id: str) -> None:
        """Start empty; event counters carry the node id as a label."""
        self.node_id = node_id
        self.counts: Counter[tuple[str, str]] = Counter()
        self.gauges_by_name: dict[str, GaugeReader] = {}
        self._exporter: MetricsExporter | None = None
        self._waiting_samples: deque[tuple[str, float]] = deque(
            maxlen=MAX_WAITING_SAMPLES
        )
        self._statements_until_sample = DURATION_SAMPLE_INTERVAL

    def count(self, name: str, detail: str = "", amount: int = 1) -> None:
        """Count an event.

        Args:
            name: Name of the event.
            detail: Subdivision of the event, such as a group or a cause.
            amount: Number of occurrences.
        """
        self.counts[(name, detail)] += amount

    def record_duration(self, action: str, duration_ms: float) -> None:
        """Record the duration of one in every DURATION_SAMPLE_INTERVAL statements.

        Args:
            action: Kind of statement, exported as a label.
            duration_ms: Duration in milliseconds.
        """
        self._statements_until_sample -= 1
        if self._statements_until_sample:
            return
        self._statements_until_sample = DURATION_SAMPLE_INTERVAL
        if self._exporter is None:
            self._waiting_samples.append((action, duration_ms))
        else:
            self._exporter.record_duration(action, duration_ms)

    def add_gauge(self, name: str, read: GaugeReader) -> None:
        """Export a gauge whose values are read at each scrape.

        Gauges are added before the first scrape.

        Args:
            name: Name of the gauge.
            read: Returns pairs of a value and its labels.
        """
        self.gauges_by_name[name] = read

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format.

        Returns:
            The encoded text.
        """
        if self._exporter is None:
            from pollencleat.reports.exporter import MetricsExporter

            self._exporter = MetricsExporter(self)
            for action, duration_ms in self._waiting_samples:
                self._exporter.record_duration(action, duration_ms)
            self._waiting_samples.clear()
        return self._exporter.render()

    def close(self) -> None:
        """Shut down the exporter if it was loaded."""
        if self._exporter is not None:
            self._exporter.close()
