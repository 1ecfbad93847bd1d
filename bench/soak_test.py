"""A short soak of the real programs, and the seeds that ever broke a promise."""

import pytest

from bench.soak import run_seed

FAULT_S = 5.0
FOUND_IN_S = 12.0
"""Length of the runs in which the seeds below failed; shorter ones miss the faults."""

REGRESSION_SEEDS = {
    1: "a signal before its handler ended a process, and nobody started it again",
    1001: "reads at a primary that had come back empty",
    1015: "the same",
    1027: "the same",
    1034: "the same",
}
"""Seeds that failed once, with the cause.  Real time makes each run differ a little."""


@pytest.mark.parametrize(
    ("seed", "fault_s"),
    [(7, FAULT_S), *((seed, FOUND_IN_S) for seed in REGRESSION_SEEDS)],
)
async def test_promises_hold_under_faults(seed, fault_s, tmp_path):
    broken = await run_seed(seed, fault_s, tmp_path)
    assert broken == [], f"logs in {tmp_path}"


async def test_promises_hold_with_gateways(tmp_path):
    """Nine entry VMs before 12 connections: gateways are killed, paused and cut off."""
    broken = await run_seed(7, FAULT_S, tmp_path, nodes=9, connections=12)
    assert broken == [], f"logs in {tmp_path}"
