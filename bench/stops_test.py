"""Planned stops of daemon processes while callers use their sessions to the end."""

from bench.stops import ROUNDS, run_seed

SEED = 4


async def test_no_request_ends_without_an_answer_around_planned_stops(tmp_path):
    run = await run_seed(SEED, ROUNDS, tmp_path)
    assert run.history.broken == [], f"logs in {tmp_path}"
    assert run.history.answers[""] > 500
    assert run.history.ends["told to leave"] > 0
