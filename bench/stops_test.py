"""Planned stops of daemon processes while callers use their sessions to the end."""

import asyncio
import signal
import time

from bench.platform_cluster import LineClient
from bench.stops import GRACE_S, ROUNDS, StopRun, run_seed

SEED = 4
SILENT_AFTER_S = 5.0
"""Seconds from SIGTERM to the servers' silence, shortly before the node's limit."""

SESSIONS = 5
BEGIN_S = 0.3
"""Seconds in which the sessions begin their transactions before SIGTERM."""


async def test_no_request_ends_without_an_answer_around_planned_stops(tmp_path):
    run = await run_seed(SEED, ROUNDS, tmp_path)
    assert run.history.broken == [], f"logs in {tmp_path}"
    assert run.history.answers[""] > 500
    assert run.history.ends["told to leave"] > 0


async def use_transaction(vm, number, until_s):
    client = await LineClient.connect(vm.callers_port, "main-db", host=vm.host)
    await client.query("BEGIN")
    assert not (await client.query(f"WRITE limit-{number} one")).error
    while time.monotonic() < until_s:
        assert (await client.query("READ k")).state == "T"
        await asyncio.sleep(0.1)
    return client


async def test_process_that_ends_at_its_limit_has_answered_every_request(tmp_path):
    """Guards against ending the process while its last answers are not sent."""
    run = StopRun(SEED, 0, tmp_path)
    try:
        await run.start()
        vm = run.vms[0]
        stopped_at_s = time.monotonic() + BEGIN_S
        using = [
            asyncio.create_task(
                use_transaction(vm, number, stopped_at_s + SILENT_AFTER_S)
            )
            for number in range(SESSIONS)
        ]
        await asyncio.sleep(BEGIN_S)
        vm.process.send_signal(signal.SIGTERM)
        clients = await asyncio.gather(*using)
        for server in run.group.servers:
            server.faults.silent = True
        for number, client in enumerate(clients):
            statement = ("COMMIT", "READ k", f"WRITE limit-{number} two")[number % 3]
            client.send_without_reading(statement)
        answers = [await client.read_answer() for client in clients]
        while vm.process.is_running:
            assert time.monotonic() - stopped_at_s < GRACE_S
            await asyncio.sleep(0.01)
        for server in run.group.servers:
            server.faults.silent = False
    finally:
        await run.stop()
    for number, answer in enumerate(answers):
        expected = ("INDOUBT", "I") if number % 3 == 0 else ("ABORTED", "E")
        assert (answer.error, answer.state) == expected, number
