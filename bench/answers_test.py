"""Answers and texts stay with their request, whatever bytes and repeats arrive."""

import asyncio
import random

import pytest

from bench.platform_cluster import LineClient, PlatformCluster

LOAD_S = 4.0
SESSIONS = 24
REPEAT_PROBABILITY = 0.02
DATABASES = ("main-db", "old-db", "own-db")


@pytest.fixture
async def cluster():
    cluster = PlatformCluster(3)
    await cluster.start()
    yield cluster
    await cluster.stop()


def executed(cluster, request_id):
    return [
        statement
        for statement in cluster.group.executed_statements
        if statement.request_id == request_id
    ]


@pytest.mark.parametrize("data", ["x\r", "x\n", "x\nQUERY 1 WRITE k y", "\r"])
async def test_text_with_part_of_a_line_end_runs_unchanged(cluster, data):
    """Lines were split at LF and lost every CR at their end."""
    client = await cluster.connect("main-db")
    written, executed_write, read = (client.next_id() for _ in range(3))
    assert not (await client.send(written, f"WRITE k {data}")).error
    assert not (await client.query(f"PREPARE s WRITE shape{data}")).error
    assert not (await client.query(f"SET v {data}")).error
    assert not (await client.send(executed_write, f"EXECUTE s k {data}")).error
    answer = await client.send(read, "READ k")
    assert answer.rows == (data,) and answer.state == "I"
    (run,) = executed(cluster, written)
    assert run.text == f"WRITE k {data}"
    (run,) = executed(cluster, executed_write)
    assert run.shape == f"WRITE shape{data}"
    assert run.text.endswith(f" k {data}")
    assert run.values == (("v", data),)
    assert cluster.group.malformed_lines == []


async def test_server_that_answers_twice_changes_no_callers_answer(cluster):
    """One second answer shifted all later answers of its connection."""
    for server in cluster.group.servers:
        server.faults.repeat_probability = REPEAT_PROBABILITY
    broken, counts = [], {"answered": 0, "failed": 0}
    ends_s = asyncio.get_running_loop().time() + LOAD_S
    await asyncio.gather(
        *(
            run_session(cluster, number, ends_s, broken, counts)
            for number in range(SESSIONS)
        )
    )
    assert cluster.group.second_answers and counts["answered"]
    assert broken == [], f"{len(broken)} of {counts}"


async def run_session(cluster, number, ends_s, broken, counts):
    """Send reads, writes and transactions; note the answers of other statements."""
    generator = random.Random(number)
    client: LineClient = await cluster.connect(DATABASES[number % 3], number % 3)
    while asyncio.get_running_loop().time() < ends_s:
        texts = [f"READ k{number}", f"WRITE k{number} {generator.random()}"]
        if generator.random() < 0.3:
            texts = ["BEGIN", *generator.choices(texts, k=2), "COMMIT"]
        else:
            texts = generator.choices(texts)
        if generator.random() < 0.2:
            texts = [f"SET v {generator.randint(0, 3)}", *texts]
        for text in texts:
            request_id = client.next_id()
            answer = await client.send(request_id, text)
            if answer.error:
                counts["failed"] += 1
                break
            counts["answered"] += 1
            if text.startswith(("READ", "WRITE", "COMMIT")) and not (
                answer.receipt.endswith(f".{request_id}")
            ):
                broken.append((text, answer))
        if answer.state != "I" and (await client.query("ROLLBACK")).state != "I":
            client.close()
            client = await cluster.connect(DATABASES[number % 3], number % 3)
        await asyncio.sleep(generator.uniform(0.0, 0.02))
    client.close()
