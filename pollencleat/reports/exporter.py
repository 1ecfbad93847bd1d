"""Export of the metrics by OpenTelemetry, in the Prometheus text format."""

from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

from pollencleat.reports.metrics import GaugeReader, Metrics

DURATION_BUCKETS_MS = (0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class MetricsExporter:
    """Instruments that read a process's metrics at each scrape."""

    def __init__(self, metrics: Metrics) -> None:
        """Create the instruments of all counters, gauges and histograms."""
        self._metrics = metrics
        self._registry = CollectorRegistry()
        view = View(
            instrument_name="pollencleat.statement.duration",
            aggregation=ExplicitBucketHistogramAggregation(DURATION_BUCKETS_MS),
        )
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider(metric_readers=[reader], views=[view])
        self._meter = self._provider.get_meter("pollencleat")
        self._meter.create_observable_counter(
            "pollencleat.events",
            callbacks=[self._observe_counts],
            description="Events by name and detail",
        )
        self._durations = self._meter.create_histogram(
            "pollencleat.statement.duration", unit="ms"
        )
        for name, read in metrics.gauges_by_name.items():
            self._add_gauge(name, read)

    def _add_gauge(self, name: str, read: GaugeReader) -> None:
        def observe(options: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, labels) for value, labels in read()]

        self._meter.create_observable_gauge(name, callbacks=[observe])

    def _observe_counts(self, options: CallbackOptions) -> Iterable[Observation]:
        node_id = self._metrics.node_id
        return [
            Observation(amount, {"event": name, "detail": detail, "node": node_id})
            for (name, detail), amount in self._metrics.counts.items()
        ]

    def record_duration(self, action: str, duration_ms: float) -> None:
        """Add the duration of a statement to the histogram of its kind."""
        self._durations.record(duration_ms, {"action": action})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()
