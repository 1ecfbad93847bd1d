"""Statements from callers through entry VMs to stand-in servers, over sockets."""

import asyncio
import contextlib
import random

import asyncmy.errors
import pymysql
import pytest
import pytest_asyncio

from bench.inprocess import HOST, Deployment, run
from standins.every_type import VALUES_BY_TYPE


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def deployment():
    created = Deployment()
    await created.start(2)
    connection = await created.connect()
    await run(connection, "CREATE TABLE t (id INTEGER PRIMARY KEY, v VARCHAR(20))")
    connection.close()
    yield created
    await created.stop()


pytestmark = pytest.mark.asyncio(loop_scope="module")


@contextlib.asynccontextmanager
async def caller(deployment, node_id="n0", **options):
    connection = await deployment.connect(node_id, **options)
    try:
        yield connection
    finally:
        connection.close()


def raises_mysql_error(code):
    return pytest.raises(asyncmy.errors.MySQLError, match=rf"\({code},")


async def connect_to_server(deployment, server_name="sa"):
    return await asyncmy.connect(
        host=HOST,
        port=deployment.server_ports[server_name],
        user="test",
        password="backend",
        autocommit=True,
    )


async def test_write_is_visible_at_once_through_another_node(deployment):
    async with caller(deployment, "n0") as first, caller(deployment, "n1") as second:
        await run(first, "INSERT INTO t (v) VALUES ('moved')")
        rows = await run(second, "SELECT v FROM t WHERE v = 'moved'")
        assert len(rows) == 1


async def test_session_token_is_accepted_by_another_node(deployment):
    async with caller(deployment, "n0") as first, caller(deployment, "n1") as second:
        await run(first, "INSERT INTO t (v) VALUES ('token')")
        token = (await run(first, "SELECT @pollencleat_token"))[0][0]
        await run(second, f"SET @pollencleat_token = '{token}'")
        assert await run(second, "SELECT v FROM t WHERE v = 'token'")
        hint = f"/* pollencleat: token={token} max_age_ms=500 */"
        assert await run(second, f"SELECT {hint} v FROM t WHERE v = 'token'")


async def test_row_counts_and_insert_ids_are_returned(deployment):
    async with caller(deployment) as connection:
        cursor = connection.cursor()
        await cursor.execute("INSERT INTO t (v) VALUES ('a'), ('b'), ('c')")
        assert cursor.rowcount == 3
        inserted = cursor.lastrowid
        assert inserted > 0
        assert (await run(connection, "SELECT LAST_INSERT_ID()"))[0][0] == inserted
        await cursor.execute("DELETE FROM t WHERE v IN ('a', 'b')")
        assert cursor.rowcount == 2


async def test_server_errors_keep_code_and_state(deployment):
    async with caller(deployment) as connection:
        with raises_mysql_error(1146) as caught:
            await run(connection, "SELECT * FROM missing")
        assert caught.value.sqlstate == "42S02"
        await run(connection, "INSERT INTO t (id, v) VALUES (900001, 'x')")
        with raises_mysql_error(1062) as caught:
            await run(connection, "INSERT INTO t (id, v) VALUES (900001, 'x')")
        assert caught.value.sqlstate == "23000"


@pytest.mark.parametrize("prepared", [False, True])
async def test_every_column_type_is_returned_unchanged(deployment, prepared):
    direct = await connect_to_server(deployment)
    async with caller(deployment) as proxied:
        results = []
        for connection in (direct, proxied):
            if prepared:
                statement = await connection.prepare("SELECT EVERY TYPE")
                result = await statement.execute()
                results.append((result.description, result.rows))
            else:
                cursor = connection.cursor()
                await cursor.execute("SELECT EVERY TYPE")
                results.append((cursor.description, await cursor.fetchall()))
        direct.close()
        assert results[0] == results[1]
        assert len(results[0][0]) == len(VALUES_BY_TYPE)


async def test_prepared_statement_runs_on_several_servers(deployment):
    async with caller(deployment) as connection:
        insert = await connection.prepare("INSERT INTO t (v) VALUES (?)")
        await insert.execute(("prepared",))
        select = await connection.prepare("SELECT v, ? FROM t WHERE v = ?")
        for number in range(10):
            result = await select.execute((number, "prepared"))
            assert [int(row[1]) for row in result.rows] == [number]


async def test_transaction_takes_effect_only_on_commit(deployment):
    async with caller(deployment) as first:
        await first.begin()
        await run(first, "INSERT INTO t (v) VALUES ('tx')")
        await first.rollback()
        assert not await run(first, "SELECT v FROM t WHERE v = 'tx'")
        await first.begin()
        await run(first, "INSERT INTO t (v) VALUES ('tx')")
        await first.commit()
        assert len(await run(first, "SELECT v FROM t WHERE v = 'tx'")) == 1


async def test_autocommit_off_begins_transactions(deployment):
    async with caller(deployment, autocommit=False) as connection:
        await run(connection, "INSERT INTO t (v) VALUES ('implicit')")
        await connection.rollback()
        assert not await run(connection, "SELECT v FROM t WHERE v = 'implicit'")
        await run(connection, "INSERT INTO t (v) VALUES ('implicit')")
        await connection.commit()
    async with caller(deployment) as connection:
        assert await run(connection, "SELECT v FROM t WHERE v = 'implicit'")


async def test_abandoned_transaction_is_rolled_back(deployment):
    async with caller(deployment) as first:
        await first.begin()
        await run(first, "INSERT INTO t (v) VALUES ('abandoned')")
    await asyncio.sleep(0.05)
    async with caller(deployment) as second:
        assert not await run(second, "SELECT v FROM t WHERE v = 'abandoned'")


async def test_large_and_null_and_binary_results(deployment):
    async with caller(deployment) as connection:
        await run(connection, "CREATE TABLE big (id INTEGER PRIMARY KEY, b BLOB)")
        for _ in range(3):
            await run(
                connection, "INSERT INTO big (b) VALUES (zeroblob(5000000)), (NULL)"
            )
        rows = await run(connection, "SELECT id, b FROM big ORDER BY id")
        assert [row[1] and len(row[1]) for row in rows] == [5_000_000, None] * 3


@pytest.mark.parametrize(
    "sql",
    [
        "SELECT GET_LOCK('a', 1)",
        "LOCK TABLES t READ",
        "CREATE TEMPORARY TABLE x (a INT)",
        "LOAD DATA INFILE 'x' INTO TABLE t",
        "SET sql_mode = ''",
        "SET @x = 1",
    ],
)
async def test_session_bound_statement_is_refused_as_not_run(deployment, sql):
    async with caller(deployment) as connection:
        with raises_mysql_error(1235) as caught:
            await run(connection, sql)
        assert "[not run]" in str(caught.value)
        assert await run(connection, "SELECT 1")


async def test_multiple_statements_in_one_query_are_refused(deployment):
    async with caller(deployment) as connection:
        with pytest.raises(asyncmy.errors.MySQLError):
            await run(connection, "INSERT INTO t (v) VALUES ('m1'); DELETE FROM t")
        assert not await run(connection, "SELECT v FROM t WHERE v = 'm1'")


async def test_request_id_runs_at_most_once(deployment):
    sql = "INSERT /* pollencleat: request_id=once-1 */ INTO t (v) VALUES ('once')"
    results = []
    for node_id in ("n0", "n1", "n0"):
        async with caller(deployment, node_id) as connection:
            cursor = connection.cursor()
            await cursor.execute(sql)
            results.append((cursor.rowcount, cursor.lastrowid))
    assert len(set(results)) == 1
    async with caller(deployment) as connection:
        assert len(await run(connection, "SELECT v FROM t WHERE v = 'once'")) == 1


async def test_concurrent_requests_with_the_same_id_run_once(deployment):
    sql = "INSERT /* pollencleat: request_id=race-1 */ INTO t (v) VALUES ('race')"

    async def send(node_id):
        async with caller(deployment, node_id) as connection:
            cursor = connection.cursor()
            await cursor.execute(sql)
            return cursor.rowcount

    counts = await asyncio.gather(*(send(f"n{n % 2}") for n in range(8)))
    assert counts == [1] * 8
    async with caller(deployment) as connection:
        assert len(await run(connection, "SELECT v FROM t WHERE v = 'race'")) == 1


async def test_failed_request_can_be_retried_with_the_same_id(deployment):
    async with caller(deployment) as connection:
        hint = "/* pollencleat: request_id=fail-1 */"
        with raises_mysql_error(1146):
            await run(connection, f"INSERT {hint} INTO missing (v) VALUES ('x')")
        await run(connection, f"INSERT {hint} INTO t (v) VALUES ('after failure')")
        assert await run(connection, "SELECT v FROM t WHERE v = 'after failure'")


async def test_repeated_transaction_with_a_request_id_is_refused(deployment):
    begin = "BEGIN /* pollencleat: request_id=tx-1 */"
    async with caller(deployment) as connection:
        await run(connection, begin)
        await run(connection, "INSERT INTO t (v) VALUES ('tx once')")
        await run(connection, "COMMIT")
        with raises_mysql_error(1062) as caught:
            await run(connection, begin)
        assert "[already done]" in str(caught.value)


async def test_zero_max_age_reads_from_the_primary(deployment):
    counts = deployment.nodes["n0"].metrics.counts
    async with caller(deployment) as connection:
        before = counts[("read_primary", "")]
        await run(connection, "SELECT /* pollencleat: kind=exact */ 1")
        assert counts[("read_primary", "")] == before + 1
        before = counts[("read_replica", "")]
        await run(connection, "SELECT 1")
        assert counts[("read_replica", "")] == before + 1
        with raises_mysql_error(1231):
            await run(connection, "SELECT /* pollencleat: kind=unknown */ 1")


@pytest.mark.parametrize(
    ("options", "code"),
    [
        ({"password": "wrong"}, 1045),
        ({"user": "nobody"}, 1045),
        ({"password": ""}, 1045),
    ],
)
async def test_wrong_credentials_are_refused(deployment, options, code):
    with raises_mysql_error(code):
        await deployment.connect(**options)


async def test_no_command_runs_after_access_is_denied(deployment):
    """Regression: mysql_mimic reads commands even after it has denied access."""
    reader, writer = await asyncio.open_connection(
        HOST, deployment.nodes["n0"].callers_port
    )
    await read_packet(reader)
    capabilities = 0x0200 | 0x8000 | 0x80000
    login = capabilities.to_bytes(4, "little") + bytes(4) + b"\x2d" + bytes(23)
    login += b"advisor\0\x00mysql_native_password\0"
    writer.write(make_packet(1, login))
    response = await read_packet(reader)
    assert response[0] in (0xFF, 0xFE)
    writer.write(make_packet(0, b"\x03SELECT 1") + make_packet(3, b""))
    rest = await asyncio.wait_for(reader.read(-1), 5)
    assert b"SELECT" not in rest and b"\x01\x00\x00\x01\x01" not in rest
    writer.close()


async def test_database_of_another_customer_is_unknown(deployment):
    async with caller(deployment, user="other") as connection:
        with raises_mysql_error(1049):
            await run(connection, "SELECT 1")
    async with caller(deployment) as connection:
        with raises_mysql_error(1049):
            await run(connection, "USE nothing")


def make_packet(sequence, payload):
    return len(payload).to_bytes(3, "little") + bytes([sequence]) + payload


async def read_packet(reader):
    header = await reader.readexactly(4)
    return await reader.readexactly(int.from_bytes(header[:3], "little"))


async def test_malformed_packets_close_only_their_own_connection(deployment):
    generator = random.Random(20261204)
    async with caller(deployment) as bystander:
        for _ in range(60):
            reader, writer = await asyncio.open_connection(
                HOST, deployment.nodes["n0"].callers_port
            )
            await read_packet(reader)
            size = generator.choice((1, 4, 36, 60, 200))
            payload = generator.randbytes(size)
            if generator.random() < 0.5:
                payload = make_packet(1, payload)
            writer.write(payload)
            writer.write_eof()
            await asyncio.wait_for(reader.read(-1), 15)
            writer.close()
            assert await run(bystander, "SELECT 1")


async def test_malformed_commands_after_login_affect_no_other_connection(deployment):
    generator = random.Random(20261205)
    for _ in range(60):
        connection = await deployment.connect()
        command = generator.choice((0x03, 0x16, 0x17, 0x18, 0x19, 0x1A, 0x1C, 0x99))
        payload = bytes([command]) + generator.randbytes(
            generator.choice((0, 3, 9, 40))
        )
        connection._write_bytes(make_packet(0, payload))
        connection._write_bytes(make_packet(0, b"\x0e"))
        connection._write_bytes(make_packet(0, b"\x01"))
        await asyncio.sleep(0)
        connection.close()
    async with caller(deployment) as connection:
        assert await run(connection, "SELECT 1")


async def test_commands_sent_without_waiting_are_answered_in_order(deployment):
    texts = [f"value {number}" for number in range(20)]
    packets = [make_packet(0, b"\x03SELECT '%s'" % text.encode()) for text in texts]
    async with caller(deployment) as connection:
        connection._transport.write(b"".join(packets))
        for text in texts:
            connection._next_seq_id = 1
            await connection._read_query_result()
            assert connection._result.rows == ((text,),)
        connection._transport.write(packets[0][:7])
        await asyncio.sleep(0.05)
        connection._transport.write(packets[0][7:])
        connection._next_seq_id = 1
        await connection._read_query_result()
        assert connection._result.rows == ((texts[0],),)


async def test_oversized_statement_is_refused(deployment):
    async with caller(deployment) as connection:
        with pytest.raises(asyncmy.errors.MySQLError) as caught:
            await run(connection, "SELECT '" + "x" * 17_000_000 + "'")
        assert "1153" in str(caught.value) or "Lost" in str(caught.value)
    async with caller(deployment) as connection:
        assert await run(connection, "SELECT 1")


async def test_many_unauthenticated_connections_do_not_block_callers(deployment):
    port = deployment.nodes["n0"].callers_port
    unauthenticated = [await asyncio.open_connection(HOST, port) for _ in range(400)]
    async with caller(deployment) as connection:
        assert await run(connection, "SELECT 1")
    for _, writer in unauthenticated:
        writer.close()


async def test_pymysql_client_is_served(deployment):
    def write_and_read():
        connection = pymysql.connect(
            host=HOST,
            port=deployment.nodes["n1"].callers_port,
            user="advisor",
            password="advisor-password",
            database="db",
        )
        with connection.cursor() as cursor:
            cursor.execute("INSERT INTO t (v) VALUES (%s)", ("ñ€",))
            connection.commit()
            cursor.execute("SELECT v FROM t WHERE v = %s", ("ñ€",))
            return cursor.fetchall()

    assert await asyncio.to_thread(write_and_read) == (("ñ€",),)


async def test_open_connections_stay_within_declared_limits(deployment):
    async def run_statements(number):
        async with caller(deployment, f"n{number % 2}") as connection:
            for _ in range(5):
                await run(connection, "SELECT 1")
                await run(connection, "INSERT INTO t (v) VALUES ('load')")

    await asyncio.gather(*(run_statements(number) for number in range(60)))
    node_limit = deployment.connections // 3
    for application in deployment.nodes.values():
        for count in application.gateway.open_connections().values():
            assert count <= node_limit
    for server in deployment.servers.values():
        assert server.peak_connections <= deployment.connections


async def test_schema_change_commits_the_open_transaction(deployment):
    async with caller(deployment, autocommit=False) as connection:
        await run(connection, "INSERT INTO t (v) VALUES ('before schema')")
        await run(connection, "CREATE TABLE made (id INTEGER PRIMARY KEY)")
        await connection.rollback()
    async with caller(deployment) as connection:
        assert await run(connection, "SELECT v FROM t WHERE v = 'before schema'")
        assert not await run(connection, "SELECT id FROM made")


async def test_caller_that_stops_reading_uses_bounded_memory(deployment):
    """Regression: the driver buffered the whole result for a caller that is slow."""
    async with caller(deployment) as connection:
        await run(connection, "CREATE TABLE wide (id INTEGER PRIMARY KEY, b BLOB)")
        for _ in range(4):
            values = ", ".join(["(zeroblob(1000000))"] * 10)
            await run(connection, f"INSERT INTO wide (b) VALUES {values}")
    slow = await deployment.connect()
    slow._transport.pause_reading()
    slow._write_bytes(make_packet(0, b"\x03SELECT id, b FROM wide"))
    await asyncio.sleep(1.0)
    buffered_bytes = [
        lease.connection._proto.length - lease.connection._proto.pos
        for pool in deployment.nodes["n0"].gateway.pools_by_server.values()
        for lease in pool._leases
    ]
    assert buffered_bytes and max(buffered_bytes) < 4_000_000
    slow._transport.resume_reading()
    slow._next_seq_id = 1
    await slow._read_query_result()
    assert len(slow._result.rows) == 40
    slow.close()
