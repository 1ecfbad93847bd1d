"""Test configuration: fixed, reported seeds and no hypothesis deadline."""

import logging

import structlog
from hypothesis import settings

SEED = 20261204

settings.register_profile(
    "ci", derandomize=True, deadline=None, print_blob=True, max_examples=60
)
settings.load_profile("ci")

structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))


def pytest_report_header() -> str:
    """Report the seed in the header of the test run.

    Returns:
        The header line.
    """
    return f"hypothesis: derandomized; seeded generators use {SEED}"
