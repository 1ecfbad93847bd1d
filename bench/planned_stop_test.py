"""Planned stops of an entry VM: every request gets an answer that is true."""

import asyncio
import dataclasses

import pytest

from bench.platform_cluster import PlatformCluster

GRACE_S = 4.0
"""Grace period in these tests: shorter than on the platform, to save time."""


@pytest.fixture
async def cluster():
    cluster = PlatformCluster(1)
    await cluster.start()
    node = cluster.nodes[0]
    node.settings = dataclasses.replace(node.settings, grace_s=GRACE_S)
    yield cluster
    await cluster.stop()
    cluster.nodes.clear()


def find_values(cluster, key):
    return [entry.value for entry in cluster.group.servers[0].log if entry.key == key]


async def begin_and_write(cluster, key):
    client = await cluster.connect("main-db")
    await client.query("BEGIN")
    assert not (await client.query(f"WRITE {key} one")).error
    return client


async def keep_open(client, key, seconds):
    """Use a transaction more often than the idle timeout allows pauses."""
    until_s = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until_s:
        assert (await client.query(f"READ {key}")).state == "T"
        await asyncio.sleep(0.1)


async def test_commit_late_in_the_grace_period_is_not_broken_off(cluster):
    """Guards against breaking off work before the last sixth of the grace period."""
    client = await begin_and_write(cluster, "k")
    stopping = asyncio.create_task(cluster.nodes[0].stop())
    await keep_open(client, "k", GRACE_S - 1.4)
    cluster.group.unreachable_replica_ids.update({"books-1", "books-2"})
    client.send_without_reading("COMMIT")
    await asyncio.sleep(0.4)
    cluster.group.unreachable_replica_ids.clear()
    cluster.group.replicate(cluster.group.servers[0])
    answer = await client.read_answer()
    assert (answer.error, answer.state) == ("", "I")
    client.close()
    await stopping


async def test_requests_at_the_end_of_the_grace_period_get_a_true_answer(cluster):
    """Guards against ending the process while requests have no answer."""
    loop = asyncio.get_running_loop()
    clients = [await begin_and_write(cluster, f"k{number}") for number in range(4)]
    statement, commit, rollback, idle = clients
    started_at_s = loop.time()
    stopping = asyncio.create_task(cluster.nodes[0].stop())
    await asyncio.gather(
        *(
            keep_open(client, f"k{number}", GRACE_S - 0.8)
            for number, client in enumerate(clients)
        )
    )
    for server in cluster.group.servers:
        server.faults.silent = True
    statement.send_without_reading("WRITE k0 two")
    commit.send_without_reading("COMMIT")
    answers = [await client.read_answer() for client in (statement, commit)]
    # Crosses the error that announced the end of the session.
    rollback.send_without_reading("ROLLBACK")
    answers += [await client.read_answer() for client in (rollback, idle)]
    assert loop.time() - started_at_s < GRACE_S
    assert [answer.error for answer in answers] == [
        "ABORTED",
        "INDOUBT",
        "ABORTED",
        "ABORTED",
    ]
    assert [answer.state for answer in answers] == ["E", "I", "I", ""]
    for client in clients:
        client.close()
    await stopping
    assert loop.time() - started_at_s < GRACE_S
    for server in cluster.group.servers:
        server.faults.silent = False
    assert find_values(cluster, "k0") == find_values(cluster, "k3") == []
