"""Every byte of a line reaches the server unchanged, or the line is refused."""

import asyncio

import pytest

from bench.platform_cluster import LineClient, PlatformCluster
from pollencleat.limits.shares import connections_allowed
from pollencleat.platform.wire import MAX_LINE_BYTES

ODD_TEXTS = [
    "a\0b",
    "\x01\x1b\x7f",
    "a\tb",
    "\x0b\x0c\x1c\x1d\x1e",
    "\x85\xa0",
    "\u2028\u2029",
    "\u3000\ufeff",
    "é𝄞e\u0301",
    " ",
    " a",
    "a ",
    "a  b",
    "\r",
    "\n",
    "\n\r",
    "a\r\r",
    "a\nREADY I -\nb",
    "a\rQUERY 1 WRITE k v\r",
]
PROBE_S = 0.05
GATEWAY_NODES = 6
CONNECTIONS = 12
JOIN_LIMIT_S = 8.0


@pytest.fixture
async def cluster():
    cluster = PlatformCluster(1)
    await cluster.start()
    yield cluster
    await cluster.stop()


async def send_bytes(client, data, chunk_bytes=0):
    """Send a line, in chunks that arrive one by one if a size is given."""
    line = data + b"\r\n"
    size = chunk_bytes or len(line)
    for start in range(0, len(line), size):
        client.writer.write(line[start : start + size])
        if chunk_bytes:
            await asyncio.sleep(0.0005)
    return await client.read_answer()


async def has_further_answer(client):
    try:
        async with asyncio.timeout(PROBE_S):
            return bool(await client.reader.read(1))
    except TimeoutError:
        return False


async def run_odd_texts(cluster, client, chunk_bytes=0):
    """Run every kind of statement and check that the server got what was sent."""
    for number, text in enumerate(ODD_TEXTS):
        key = f"k{number}"
        shape = f"shape{text}"
        request_ids = [client.next_id() for _ in range(5)]
        texts = [
            f"WRITE {key} x{text}",
            f"SET v {text}",
            f"PREPARE s WRITE {shape}",
            f"EXECUTE s {key} {text}",
            f"READ {key}",
        ]
        for request_id, sent in zip(request_ids, texts, strict=True):
            data = f"QUERY {request_id} {sent}".encode()
            answer = await send_bytes(client, data, chunk_bytes)
            assert not answer.error and answer.state == "I", (sent, answer)
        assert answer.rows == (text,)
        runs = {run.request_id: run for run in cluster.group.executed_statements}
        assert runs[request_ids[0]].text == texts[0]
        executed = runs[request_ids[3]]
        assert executed.text.split(" ", 2)[2] == f"{key} {text}"
        assert executed.shape == f"WRITE {shape}"
        assert executed.values == (("v", text),)
    assert cluster.group.malformed_lines == []
    assert not await has_further_answer(client)


@pytest.mark.parametrize("chunk_bytes", [0, 1])
async def test_texts_of_odd_characters_run_unchanged(cluster, chunk_bytes):
    await run_odd_texts(cluster, await cluster.connect("main-db"), chunk_bytes)


async def test_texts_of_odd_characters_run_unchanged_through_gateways():
    cluster = PlatformCluster(GATEWAY_NODES, connection_limit=CONNECTIONS)
    try:
        await cluster.start()
        async with asyncio.timeout(JOIN_LIMIT_S):
            while not (number := find_node_without_connections(cluster)):
                await asyncio.sleep(0.02)
        client = await cluster.connect("main-db", number)
        await run_odd_texts(cluster, client)
        await run_odd_texts_in_transactions(cluster, client)
        pools = cluster.nodes[number].access.pools.pools_by_server.values()
        assert all(pool.open_count == 0 for pool in pools)
    finally:
        await cluster.stop()


def find_node_without_connections(cluster):
    """Return the number of a node that borrows connections, or 0 while none does.

    The first node is not considered.
    """
    primary_id = cluster.group.servers[0].server_id
    for number, node in enumerate(cluster.nodes[1:], start=1):
        has_all_joined = len(node.board.fleet.members_by_id) == GATEWAY_NODES
        if has_all_joined and not connections_allowed(node.board, primary_id):
            pools = node.access.pools.pools_by_server.values()
            if all(pool.open_count == 0 for pool in pools):
                return number
    return 0


async def run_odd_texts_in_transactions(cluster, client):
    for text in ODD_TEXTS:
        request_id = client.next_id()
        assert not (await client.query("BEGIN")).error
        assert not (await client.query(f"SET v {text}")).error
        assert not (await client.query(f"PREPARE s WRITE shape{text}")).error
        assert not (await client.send(request_id, f"EXECUTE s k {text}")).error
        assert (await client.query("READ k")).rows == (text,)
        assert (await client.query("COMMIT")).receipt
        (run,) = (
            run
            for run in cluster.group.executed_statements
            if run.request_id == request_id
        )
        assert run.in_transaction
        assert run.text.split(" ", 2)[2] == f"k {text}"
        assert run.shape == f"WRITE shape{text}"
        assert run.values == (("v", text),)


async def test_empty_session_value_is_set(cluster):
    client = await cluster.connect("main-db")
    assert not (await client.query("SET v x")).error
    assert not (await client.query("SET v ")).error
    assert not (await client.query("WRITE k one")).error
    assert cluster.group.executed_statements[-1].values == (("v", ""),)
    assert (await client.query("SET v")).error == "MALFORMED"
    assert not (await client.query("WRITE k two")).error
    assert cluster.group.executed_statements[-1].values == (("v", ""),)


REFUSED_LINES = [
    b"",
    b" ",
    b"\n",
    b"\r",
    b"QUERY",
    b"QUERY 7",
    b"QUERY 7 ",
    b"QUERY  READ k",
    b"QUERY - READ k",
    b"QUERY - WRITE k refused",
    b"\nQUERY 7 WRITE k refused",
    b"\0QUERY 7 WRITE k refused",
    b" QUERY 7 WRITE k refused",
    b"QUERY\t7\tWRITE k refused",
    b"QUERY 7 WRITE  refused",
    b"QUERY 7 WRITE\xc2\x85k refused",
    b"QUERY 7 WRITE\xe2\x80\xa8k refused",
    b"QUERY 7 WRITE k refused\xff",
    b"QUERY 7 WRITE k \xed\xa0\x80",
    b"QUERY 7 WRITE k \xc0\x8d\xc0\x8a",
    b"QUERY \xff WRITE k refused",
    b"\xfe\xff\r",
    b"QUERY 7 BEGIN ",
    b"QUERY 7 COMMIT ",
    b"QUERY 7 COMMIT\r",
    b"QUERY 7 ROLLBACK\n",
    b"QUERY 7 SET v",
    b"QUERY 7 SET  v",
    b"QUERY 7 PREPARE  READ x",
    b"QUERY 7 DEALLOCATE s ",
    b"QUERY 7 WAITFOR 1.1 READ k",
    b"QUERY 7 DISCARD",
    b"TERMINATE ",
    b"TERMINATE\r",
    b"TERMINATED",
    b"STARTUP main-db team",
]


async def test_line_that_is_not_forwarded_gets_one_error_and_the_session_goes_on(
    cluster,
):
    """Invalid UTF-8 and every line that begins with TERMINATE ended the session."""
    client = await cluster.connect("main-db")
    assert not (await client.query("PREPARE s READ x")).error
    for data in REFUSED_LINES:
        answer = await send_bytes(client, data)
        assert (answer.error, answer.state) == ("MALFORMED", "I"), data
        request_id = client.next_id()
        answer = await client.send(request_id, "WRITE k next")
        assert not answer.error and answer.receipt.endswith(request_id), data
    assert not await has_further_answer(client)
    assert not (await client.query("EXECUTE s k")).error
    assert "7" not in cluster.group.received_request_ids
    assert not [
        run
        for run in cluster.group.executed_statements
        if "refused" in run.text or run.values
    ]
    assert cluster.group.malformed_lines == []


async def test_largest_text_runs_and_one_that_grows_beyond_the_limit_does_not(cluster):
    """A statement whose new name made it too long was sent, with unknown outcome."""
    client = await cluster.connect("main-db")
    request_id = client.next_id()
    head = f"QUERY {request_id} WRITE k "
    data = "x" * (MAX_LINE_BYTES - len(head))
    answer = await client.send(request_id, f"WRITE k {data}")
    assert answer.receipt.endswith(request_id)
    assert (await client.query("READ k")).rows == (data,)
    assert not (await client.query("PREPARE s WRITE x")).error
    data = "x" * (MAX_LINE_BYTES - len(head.replace("WRITE", "EXECUTE s")))
    request_id = client.next_id()
    answer = await client.send(request_id, f"EXECUTE s k {data}")
    assert answer.error == "BUSY" and answer.state == "I"
    assert request_id not in cluster.group.received_request_ids
    assert not (await client.query("EXECUTE s k small")).error


async def test_terminate_ends_the_session(cluster):
    client = await cluster.connect("main-db")
    client.writer.write(b"TERMI")
    await asyncio.sleep(0.01)
    client.writer.write(b"NATE\r")
    await asyncio.sleep(0.01)
    client.writer.write(b"\n")
    assert await client.reader.read() == b""


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"STARTUP main-db \xff", b"MALFORMED"),
        (b"STARTUP main-db", b"MALFORMED"),
        (b"STARTUP  team", b"MALFORMED"),
        (b"STARTUP main-db\x0bteam", b"MALFORMED"),
        (b"\nSTARTUP main-db team", b"MALFORMED"),
        (b"", b"MALFORMED"),
        (b"STARTUP main-db\r team", b"NODATABASE"),
        (b"STARTUP no\rsuch\n\xe2\x80\xa8\xc2\x85\0 team", b"NODATABASE"),
        (b"STARTUP " + b"x" * 600_000 + b" team", b"NODATABASE"),
    ],
)
async def test_refused_startup_is_answered_with_one_error_line(cluster, data, code):
    """The name of the database came back with its control characters."""
    reader, writer = await asyncio.open_connection("127.0.0.1", cluster.port())
    writer.write(data + b"\r\n")
    answer = await reader.read()
    writer.close()
    assert answer.startswith(b"ERROR %b " % code) and answer.endswith(b"\r\n")
    assert answer.removesuffix(b"\r\n").decode().isprintable()
    assert len(answer) < 2_000


async def test_startup_with_odd_characters_in_the_account_is_accepted(cluster):
    for account in ("a\rb", "\n", "a b", "\u2028", "é "):
        client = await LineClient.connect(cluster.port(), "main-db", account)
        assert not (await client.query("WRITE k one")).error
        client.close()
