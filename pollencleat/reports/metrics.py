"""Counters and histograms, exported by OpenTelemetry.

Counters are plain integers that are read when metrics are scraped, so that counting on
the path of a statement costs no more than an addition.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

DURATION_SAMPLE = 16
"""One statement in this many is recorded; a record costs a fifth of a statement."""

DURATION_BUCKETS_MS = (0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Metrics:
    """All metrics of one process."""

    def __init__(self, node_id: str) -> None:
        """Create the meter; metrics carry the node id."""
        self.counts: Counter[tuple[str, str]] = Counter()
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self.registry)
        view = View(
            instrument_name="pollencleat.statement.duration",
            aggregation=ExplicitBucketHistogramAggregation(DURATION_BUCKETS_MS),
        )
        provider = MeterProvider(metric_readers=[reader], views=[view])
        self._provider = provider
        self._meter = provider.get_meter("pollencleat")
        self._meter.create_observable_counter(
            "pollencleat.events",
            callbacks=[self._observe_counts],
            description="Events by name and detail",
        )
        self._durations = self._meter.create_histogram(
            "pollencleat.statement.duration", unit="ms"
        )
        self._until_sample = DURATION_SAMPLE
        self._node_id = node_id

    def count(self, name: str, detail: str = "", amount: int = 1) -> None:
        """Count an event.

        Args:
            name: What happened.
            detail: Which kind of it.
            amount: How often.
        """
        self.counts[(name, detail)] += amount

    def record_duration(self, action: str, duration_ms: float) -> None:
        """Record how long a statement took, for one in DURATION_SAMPLE statements.

        Args:
            action: Kind of statement.
            duration_ms: Milliseconds.
        """
        self._until_sample -= 1
        if self._until_sample:
            return
        self._until_sample = DURATION_SAMPLE
        self._durations.record(duration_ms, {"action": action})

    def add_gauge(
        self, name: str, read: Callable[[], Iterable[tuple[float, dict[str, str]]]]
    ) -> None:
        """Export values that are read when metrics are scraped.

        Args:
            name: Name of the gauge.
            read: Returns pairs of value and attributes.
        """

        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, attributes) for value, attributes in read()]

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def render(self) -> bytes:
        """Return all metrics in the text form that scrapers read.

        Returns:
            The exposition.
        """
        return generate_latest(self.registry)

    def close(self) -> None:
        """Stop the meter."""
        self._provider.shutdown()

    def _observe_counts(self, options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(
                amount, {"event": name, "detail": detail, "node": self._node_id}
            )
            for (name, detail), amount in self.counts.items()
        ]
