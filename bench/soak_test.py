"""A short soak of the real programs, and the seeds that ever broke a promise."""

import pytest

from bench.soak import run_seed

FAULT_S = 5.0

REGRESSION_SEEDS = {
    1: "a signal before its handler ended a process, and nobody started it again",
}
"""Seeds that failed once, with the cause.  Real time makes each run differ a little."""


@pytest.mark.parametrize("seed", [7, *REGRESSION_SEEDS])
async def test_promises_hold_under_faults(seed, tmp_path):
    broken = await run_seed(seed, FAULT_S, tmp_path)
    assert broken == [], f"logs in {tmp_path}"
