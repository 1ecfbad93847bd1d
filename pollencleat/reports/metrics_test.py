"""Counting before and after the exporter is loaded."""

import subprocess
import sys

from pollencleat.reports.metrics import DURATION_SAMPLE_INTERVAL, Metrics


def test_samples_of_before_the_first_scrape_are_exported():
    metrics = Metrics("n1")
    metrics.count("statement", "read ok", 2)
    metrics.add_gauge("pollencleat.size", lambda: [(3.0, {"kind": "a"})])
    for _ in range(2):
        for _ in range(DURATION_SAMPLE_INTERVAL):
            metrics.record_duration("read", 4.0)
        text = metrics.render().decode()
    assert "pollencleat_events_total{" in text and '"n1"' in text
    assert "pollencleat_size{" in text
    count = next(
        line
        for line in text.splitlines()
        if line.startswith("pollencleat_statement_duration_milliseconds_count")
    )
    assert count.endswith(" 2.0")
    metrics.close()


def test_the_first_answer_needs_neither_exporter_nor_a_general_http_library():
    code = (
        "import sys, pollencleat.daemon.entry_vm; "
        "print([name for name in ('aiohttp', 'opentelemetry', 'pydantic', 'asyncmy') "
        "if name in sys.modules])"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert run.stdout.strip() == "[]"
