"""Failure scenarios of a running deployment, over real sockets."""

import asyncio
import dataclasses

import asyncmy.errors
import pytest
import pytest_asyncio

from bench.inprocess import Deployment, run

pytestmark = pytest.mark.asyncio


@pytest_asyncio.fixture
async def deployment():
    created = Deployment()
    await created.start(2)
    connection = await created.connect()
    await run(connection, "CREATE TABLE t (id INTEGER PRIMARY KEY, v VARCHAR(20))")
    connection.close()
    yield created
    await created.stop()


def primary_of(deployment):
    return deployment.nodes["n0"].board.group_term("g").primary


async def wait_for_new_primary(deployment, old_primary):
    while True:
        term = deployment.nodes["n0"].board.group_term("g")
        if term.primary not in ("", old_primary):
            return term.primary
        await asyncio.sleep(0.02)


def count_logged_statements(deployment, server_name, value):
    server = deployment.servers[server_name]
    return sum(
        f"'{value}'" in sql for entry in server.database.log for sql in entry.statements
    )


async def test_write_interrupted_by_crash_is_unknown_and_runs_at_most_once(
    deployment,
):
    primary = primary_of(deployment)
    connection = await deployment.connect()
    deployment.servers[primary].service_s = 0.5
    writing = asyncio.create_task(run(connection, "INSERT INTO t (v) VALUES ('x')"))
    await asyncio.sleep(0.2)
    await deployment.kill_server(primary)
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await writing
    assert "UnknownOutcomeError [unknown]" in str(caught.value)
    new = await wait_for_new_primary(deployment, primary)
    assert count_logged_statements(deployment, new, "x") <= 1
    connection.close()


async def test_write_that_ends_after_permit_loss_is_not_acknowledged(deployment):
    node = deployment.nodes["n0"]
    connection = await deployment.connect()
    deployment.servers[primary_of(deployment)].service_s = 0.3
    writing = asyncio.create_task(run(connection, "INSERT INTO t (v) VALUES ('late')"))
    await asyncio.sleep(0.1)
    board = node.board
    # The node is no member of an empty fleet and so loses its write permit.
    board.fleet = type(board.fleet)(board.fleet.version + 1)
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await writing
    assert "[unknown]" in str(caught.value)
    assert node.metrics.counts[("acknowledgement_withheld", "g")] == 1
    connection.close()


async def test_transaction_on_lost_primary_is_rolled_back_and_reported(deployment):
    primary = primary_of(deployment)
    connection = await deployment.connect()
    await connection.begin()
    await run(connection, "INSERT INTO t (v) VALUES ('tx')")
    await deployment.kill_server(primary)
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await run(connection, "INSERT INTO t (v) VALUES ('tx')")
    assert "[failed]" in str(caught.value) or "[unknown]" in str(caught.value)
    new = await wait_for_new_primary(deployment, primary)
    assert count_logged_statements(deployment, new, "tx") == 0
    connection.close()


async def test_write_lost_in_failover_is_reported_to_its_session_once(deployment):
    primary = primary_of(deployment)
    await asyncio.sleep(0.3)
    deployment.servers[primary].cut_servers = frozenset(deployment.servers)
    await asyncio.sleep(0.3)
    connection = await deployment.connect("n1")
    await run(connection, "INSERT INTO t (v) VALUES ('lost')")
    await deployment.kill_server(primary)
    await wait_for_new_primary(deployment, primary)
    await asyncio.sleep(0.3)
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await run(connection, "SELECT v FROM t WHERE v = 'lost'")
    assert "SessionHistoryLostError" in str(caught.value)
    assert await run(connection, "SELECT v FROM t WHERE v = 'lost'") == []
    connection.close()


async def test_request_id_is_recognized_after_failover(deployment):
    sql = "INSERT /* pollencleat: request_id=fo-1 */ INTO t (v) VALUES ('fo')"
    primary = primary_of(deployment)
    connection = await deployment.connect()
    await run(connection, sql)
    await asyncio.sleep(0.2)
    await deployment.kill_server(primary)
    new = await wait_for_new_primary(deployment, primary)
    for _ in range(50):
        try:
            await run(connection, sql)
            break
        except asyncmy.errors.MySQLError:
            await asyncio.sleep(0.1)
    assert count_logged_statements(deployment, new, "fo") == 1
    connection.close()


async def test_leaving_replica_gets_no_new_reads(deployment):
    primary = primary_of(deployment)
    leaving = next(name for name in deployment.servers if name != primary)
    deployment.platform.leaving = [leaving]
    deployment.platform.vms_version += 1
    while leaving not in deployment.nodes["n0"].board.vms.leaving:
        await asyncio.sleep(0.02)
    executed = []
    server = deployment.servers[leaving]
    for session in server.sessions:
        session.in_use_before = True
    original = type(next(iter(server.sessions))).execute

    async def record_execution(session, sql):
        if session.server is server and "FROM t" in sql:
            executed.append(sql)
        return await original(session, sql)

    type(next(iter(server.sessions))).execute = record_execution
    try:
        connection = await deployment.connect()
        for _ in range(40):
            await run(connection, "SELECT v FROM t")
        connection.close()
    finally:
        type(next(iter(server.sessions))).execute = original
    assert executed == []


async def test_writes_continue_during_platform_outage(deployment):
    connection = await deployment.connect()
    await asyncio.sleep(1.0)
    deployment.platform.outage = True
    for _ in range(35):
        await run(connection, "INSERT INTO t (v) VALUES ('outage')")
        await asyncio.sleep(0.1)
    assert deployment.nodes["n0"].board.fleet_confirmed_at_s > 0
    deployment.platform.outage = False
    connection.close()


async def test_graceful_stop_completes_work_in_flight(deployment):
    node = deployment.nodes.pop("n1")
    deployment.nodes["n1"] = node
    idle = await deployment.connect("n1")
    in_transaction = await deployment.connect("n1")
    await in_transaction.begin()
    await run(in_transaction, "INSERT INTO t (v) VALUES ('drain')")
    slow = await deployment.connect("n1")
    for server in deployment.servers.values():
        server.service_s = 0.4
    reading = asyncio.create_task(run(slow, "SELECT 1"))
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(node.stop())
    await asyncio.sleep(0.1)
    with pytest.raises((asyncmy.errors.MySQLError, OSError)):
        await deployment.connect("n1")
    assert len(await reading) == 1
    await run(in_transaction, "INSERT INTO t (v) VALUES ('drain')")
    await in_transaction.commit()
    await stopping
    assert node.metrics.counts[("drain_cut_off", "")] == 0
    del deployment.nodes["n1"]
    while "n1" in deployment.nodes["n0"].board.fleet.members_by_id:
        await asyncio.sleep(0.02)
    assert count_logged_statements(deployment, primary_of(deployment), "drain") == 2
    idle.close()


async def test_statement_that_arrives_as_a_stop_begins_is_answered(deployment):
    """Guards against closing a connection whose statement has arrived."""
    connections = [await deployment.connect("n1") for _ in range(10)]
    sql = "INSERT INTO t (v) VALUES ('late')"
    running = [asyncio.create_task(run(item, sql)) for item in connections]
    await asyncio.sleep(0)
    stopping = asyncio.create_task(deployment.nodes["n1"].stop())
    results = await asyncio.gather(*running, return_exceptions=True)
    errors = [str(result) for result in results if isinstance(result, Exception)]
    assert [text for text in errors if "DrainingError [not run]" not in text] == []
    primary = primary_of(deployment)
    succeeded = len(results) - len(errors)
    assert count_logged_statements(deployment, primary, "late") == succeeded
    await stopping
    del deployment.nodes["n1"]


async def test_statement_at_the_drain_limit_gets_a_true_answer(deployment):
    """Guards against closing a connection before its statement is answered."""
    node = deployment.nodes["n1"]
    writer = await deployment.connect("n1")
    for server in deployment.servers.values():
        server.service_s = 1.0
    rules = node.board.inventory.rules
    node.board.inventory = dataclasses.replace(
        node.board.inventory, rules=dataclasses.replace(rules, drain_limit_s=0.2)
    )
    writing = asyncio.create_task(run(writer, "INSERT INTO t (v) VALUES ('cut')"))
    await asyncio.sleep(0.2)
    stopping = asyncio.create_task(node.stop())
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await writing
    assert "UnknownOutcomeError [unknown]" in str(caught.value)
    await stopping
    del deployment.nodes["n1"]


async def test_overload_is_refused_early_as_not_run(deployment):
    for server in deployment.servers.values():
        server.service_s = 0.5
    connections = [await deployment.connect() for _ in range(60)]
    results = await asyncio.gather(
        *(
            run(connection, "INSERT INTO t (v) VALUES ('load')")
            for connection in connections
        ),
        return_exceptions=True,
    )
    errors = [result for result in results if isinstance(result, Exception)]
    assert errors and all("[not run]" in str(error) for error in errors)
    assert all("retry after" in str(error) for error in errors)
    succeeded = len(results) - len(errors)
    assert (
        count_logged_statements(deployment, primary_of(deployment), "load") == succeeded
    )
    for connection in connections:
        connection.close()


async def test_slow_read_on_responsive_server_is_not_retried(deployment):
    """Regression: a read that took more than 2 s was sent three times and failed."""
    for server in deployment.servers.values():
        server.service_s = 2.6
    connection = await deployment.connect()
    assert await run(connection, "SELECT 7") == [(7,)]
    counts = deployment.nodes["n0"].metrics.counts
    assert counts[("read_retried", "g")] == 0
    connection.close()


async def test_read_on_unresponsive_server_is_retried_on_another(deployment):
    primary = primary_of(deployment)
    connection = await deployment.connect()
    await run(connection, "SELECT 1")
    for name, server in deployment.servers.items():
        if name != primary:
            server.service_s = 0.5
    reading = asyncio.create_task(run(connection, "SELECT 8"))
    await asyncio.sleep(0.2)
    for name, server in deployment.servers.items():
        if name != primary:
            server.cut_users = frozenset({"n0"})
    assert await reading == [(8,)]
    assert deployment.nodes["n0"].metrics.counts[("read_retried", "g")] >= 1
    connection.close()


@pytest.mark.parametrize("sql", ["INSERT INTO t (v) VALUES ('ro')", "BEGIN"])
async def test_statement_refused_by_read_only_primary_is_reported_as_not_run(
    deployment, sql
):
    """Regression: an error in BEGIN closed the connection without an answer."""
    primary = primary_of(deployment)
    connection = await deployment.connect()
    await run(connection, "INSERT INTO t (v) VALUES ('first')")
    deployment.servers[primary].database.read_only = True
    with pytest.raises(asyncmy.errors.MySQLError) as caught:
        await run(connection, sql)
    assert "WritesUnavailableError [not run]" in str(caught.value)
    assert count_logged_statements(deployment, primary, "ro") == 0
    assert await run(connection, "SELECT 1")
    connection.close()
