"""End-to-end tests on stand-ins of the users' platform, over real sockets."""

import asyncio
import json

import pytest
from click.testing import CliRunner

from bench.platform_cluster import LineClient, PlatformCluster
from pollencleat.core.data import Position
from pollencleat.core.errors import BackendError
from pollencleat.limits.retries import BURST, RETRY_RATIO
from pollencleat.platform.clients import CLOSE_IDLE_AFTER_S
from pollencleat.routing.departed_log_records import RECORDED_WITHIN_S
from pollencleat.tools.main import main
from standins.line_server import LineServer


@pytest.fixture
async def cluster():
    cluster = PlatformCluster(2)
    await cluster.start()
    yield cluster
    await cluster.stop()


async def wait_for(check, limit_s=8.0):
    deadline_s = asyncio.get_running_loop().time() + limit_s
    while not await check():
        assert asyncio.get_running_loop().time() < deadline_s, (
            "condition not met before the deadline"
        )
        await asyncio.sleep(0.05)


async def read_until_answered(client, key, limit_s):
    """Return the rows of the first answer; a node may refuse until it has caught up."""
    deadline_s = asyncio.get_running_loop().time() + limit_s
    while True:
        answer = await client.query(f"READ {key}")
        if not answer.error:
            return answer.rows
        assert asyncio.get_running_loop().time() < deadline_s, answer
        await asyncio.sleep(0.02)


async def test_write_is_read_by_its_session_and_by_others(cluster):
    client = await cluster.connect("own-db", 0)
    assert (await client.query("WRITE k one")).receipt.startswith("books-0.")
    answer = await client.query("READ k")
    assert answer.rows == ("one",) and answer.receipt and answer.state == "I"
    other = await cluster.connect("main-db", 1)
    assert (await other.query("READ k")).rows == ("one",)


async def test_transaction_commits_with_a_receipt_and_rolls_back(cluster):
    client = await cluster.connect("main-db")
    assert (await client.query("BEGIN")).state == "T"
    assert (await client.query("WRITE k kept")).state == "T"
    answer = await client.query("COMMIT")
    assert answer.receipt.startswith("books-0.") and answer.state == "I"
    await client.query("BEGIN")
    await client.query("WRITE k dropped")
    assert (await client.query("ROLLBACK")).state == "I"
    assert (await client.query("READ k")).rows == ("kept",)


async def test_empty_transaction_gets_a_servers_receipt(cluster):
    client = await cluster.connect("main-db")
    await client.query("BEGIN")
    assert (await client.query("COMMIT")).receipt.startswith("books-")
    await client.query("BEGIN READ")
    assert (await client.query("COMMIT")).receipt.startswith("books-")


async def test_same_names_and_values_of_two_clients_stay_separate(cluster):
    first = await cluster.connect("main-db")
    second = await cluster.connect("main-db")
    await first.query("SET tz amsterdam")
    await second.query("SET tz quito")
    await first.query("PREPARE s1 WRITE shape-a")
    await second.query("PREPARE s1 READ shape-b")
    assert not (await first.query("EXECUTE s1 k seven")).error
    assert (await second.query("EXECUTE s1 k")).rows == ("seven",)
    tz_of_write, tz_of_read = (
        run.values for run in cluster.group.executed_statements[-2:]
    )
    assert tz_of_write == (("tz", "amsterdam"),)
    assert tz_of_read == (("tz", "quito"),)
    await second.query("DEALLOCATE s1")
    assert (await second.query("EXECUTE s1 k")).error == "UNKNOWN"
    assert not (await first.query("EXECUTE s1 k eight")).error


async def test_command_line_shows_what_the_store_has(cluster):
    def run(*arguments):
        return CliRunner().invoke(main, ["platform", cluster.store.address, *arguments])

    shown = await asyncio.to_thread(run)
    assert shown.exit_code == 0, shown.output
    for text in ("node-0", "node-1", "books-0", "main-db", "configuration 10"):
        assert text in shown.output
    as_json = await asyncio.to_thread(run, "--json")
    fleet = json.loads(as_json.output)["fleet"]
    assert fleet["terms_by_group"]["books"]["primary"] == "books-0"
    nowhere = await asyncio.to_thread(CliRunner().invoke, main, ["platform", "nowhere"])
    assert nowhere.exit_code == 2


async def test_unknown_database_is_refused(cluster):
    with pytest.raises(ConnectionError, match="NODATABASE"):
        await cluster.connect("nowhere")


async def test_malformed_and_oversized_messages_affect_no_other_client(cluster):
    other = await cluster.connect("main-db")
    client = await cluster.connect("main-db")
    assert (await client.query("DANCE now")).error == "MALFORMED"
    client.writer.write(b"\xff\xfe nonsense\r\n")
    assert (await client.read_answer()).error in ("MALFORMED", "TOOLARGE", "CLOSED")
    client = await cluster.connect("main-db")
    client.writer.write(b"QUERY 1 WRITE k " + b"x" * (1 << 20) + b"\r\n")
    assert (await client.read_answer()).error == "TOOLARGE"
    assert not (await other.query("WRITE k fine")).error


async def test_client_that_disconnects_in_a_transaction_is_rolled_back(cluster):
    client = await cluster.connect("main-db")
    await client.query("BEGIN")
    await client.query("WRITE k ghost")
    client.close()
    other = await cluster.connect("main-db")
    assert (await other.query("READ k")).rows == ("none",)
    await wait_for(lambda: _has_no_transactions(cluster))


async def _has_no_transactions(cluster):
    pools = cluster.nodes[0].access.pools.pools_by_server.values()
    return all(pool.queue.in_use == 0 for pool in pools)


async def test_idle_transaction_releases_its_connection(cluster):
    client = await cluster.connect("main-db")
    await client.query("BEGIN")
    await client.query("WRITE k idle")
    await wait_for(lambda: _has_no_transactions(cluster), 3.0)
    answer = await client.query("COMMIT")
    assert answer.error == "ABORTED" and answer.state == "I"


async def test_lost_response_to_a_write_reports_an_unknown_outcome(cluster):
    client = await cluster.connect("main-db")
    cluster.group.servers[0].faults.lose_responses = 1
    assert (await client.query("WRITE k maybe")).error == "INDOUBT"
    writes = [
        run for run in cluster.group.executed_statements if run.text == "WRITE k maybe"
    ]
    assert len(writes) == 1


async def test_lost_response_to_a_read_is_retried_elsewhere(cluster):
    client = await cluster.connect("main-db")
    await client.query("WRITE k here")
    client = await cluster.connect("old-db")
    for server in cluster.group.servers[1:]:
        server.faults.lose_responses = 1
    assert (await client.query("READ k")).receipt


async def test_read_at_an_unresponsive_server_is_answered_by_another(cluster):
    """One server accepts requests and never answers."""
    writer = await cluster.connect("main-db")
    await writer.query("WRITE k here")
    servers = cluster.group.servers
    await wait_for(lambda: _has_all(servers))
    clients = [await cluster.connect("old-db") for _ in range(6)]
    for client in clients:
        assert not (await client.query("READ k")).error
    servers[1].faults.silent = True
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while loop.time() < started_s + 2.0:
        answers = await asyncio.gather(*(client.query("READ k") for client in clients))
        assert [answer.rows for answer in answers] == [("here",)] * len(clients)


async def _has_all(servers):
    return len({server.applied_count for server in servers}) == 1


async def test_reads_are_not_hedged_beyond_the_budget_when_all_servers_are_slow(
    cluster,
):
    """Hedged reads would add load to a group that is slow as a whole."""
    clients = [await cluster.connect("old-db") for _ in range(9)]
    cluster.group.statement_duration_s = 0.6
    cluster.group.executed_statements.clear()
    for _ in range(4):
        answers = await asyncio.gather(*(client.query("READ k") for client in clients))
        assert not any(answer.error for answer in answers)
    await asyncio.sleep(0.7)
    read_count = 4 * len(clients)
    assert (
        len(cluster.group.executed_statements)
        <= read_count + RETRY_RATIO * read_count + BURST
    )


async def test_busy_server_runs_nothing(cluster):
    client = await cluster.connect("main-db")
    count_before = len(cluster.group.executed_statements)
    cluster.group.servers[0].faults.busy = True
    answer = await client.query("WRITE k busy")
    assert answer.error == "BUSY" and "retry after" in answer.detail
    assert len(cluster.group.executed_statements) == count_before


async def test_rejected_begin_leaves_no_connection_in_unknown_state(cluster):
    client = await cluster.connect("main-db")
    await client.query("SET tz a")
    cluster.group.servers[0].faults.reject_proxy_statements = 1
    await client.query("READ k")
    assert (await client.query("READ k")).receipt
    assert cluster.group.executed_statements[-1].values == (("tz", "a"),)


async def test_commit_runs_with_the_values_set_since_the_latest_statement(cluster):
    client = await cluster.connect("main-db")
    await client.query("SET tz a")
    await client.query("BEGIN")
    assert not (await client.query("WRITE k one")).error
    await client.query("SET tz b")
    assert not (await client.query("COMMIT")).error
    assert cluster.group.executed_commits[-1].values == (("tz", "b"),)


async def test_value_rejected_in_a_transaction_stays_on_no_connection(cluster):
    """Other sessions' statements ran with the former value."""
    primary = cluster.group.servers[0]
    client = await cluster.connect("main-db")
    await client.query("SET tz a")
    await client.query("BEGIN")
    assert not (await client.query("READ k")).error
    answer = None
    for number in range(20):
        await client.query(f"SET tz b{number}")
        # A probe's request may be rejected instead.
        primary.faults.reject_proxy_statements = 1
        answer = await client.query("READ k")
        if answer.error:
            break
    assert answer.error == "ABORTED"
    primary.faults.reject_proxy_statements = 0
    assert (await client.query("ROLLBACK")).state == "I"
    other = await cluster.connect("main-db")
    for _ in range(3):
        assert not (await other.query("READ k")).error
        assert cluster.group.executed_statements[-1].values == ()


async def test_route_changes_take_effect_and_older_versions_are_ignored(cluster):
    await cluster.put_configuration(routes={"new-db": ("primary", None)})

    async def has_new_route():
        try:
            client = await cluster.connect("new-db", 1)
        except ConnectionError:
            return False
        client.close()
        return True

    await wait_for(has_new_route, 3.0)
    await cluster.put_configuration(version=1, routes={})
    await asyncio.sleep(0.3)
    assert await has_new_route()


async def test_compacted_history_is_replaced_by_a_new_list(cluster):
    cluster.store.faults.down = True
    await asyncio.sleep(0.3)
    await cluster.put_configuration(routes={"late-db": ("primary", None)})
    await cluster.store.compact_history()
    cluster.store.faults.down = False

    async def has_late_route():
        try:
            (await cluster.connect("late-db")).close()
        except ConnectionError:
            return False
        return True

    await wait_for(has_late_route, 4.0)


async def test_malformed_server_entries_are_ignored(cluster):
    await cluster.store.put("servers", "odd-1", {"service": 5})
    await cluster.store.put("servers", "odd-2", "bytes")
    valid_entry = cluster.group.servers[0].make_store_entry()
    await cluster.store.put("servers", "odd-3", {**valid_entry, "state": "dancing"})
    await asyncio.sleep(1.2)
    known_ids = set(cluster.nodes[0].board.inventory.servers_by_id)
    assert known_ids == {server.server_id for server in cluster.group.servers}
    assert await cluster.try_write()


async def test_address_taken_over_by_another_server_runs_nothing(cluster):
    """Each session start names the expected server id; another server rejects it."""
    entry = cluster.group.servers[1].make_store_entry()
    await cluster.store.put("servers", "books-old", {**entry, "born": 99})
    await asyncio.sleep(1.2)
    client = await cluster.connect("old-db")
    for _ in range(10):
        assert (await client.query("READ k")).receipt
    assert all(
        run.server_id != "books-old" for run in cluster.group.executed_statements
    )


@pytest.mark.parametrize("node_is_new", [False, True])
async def test_primary_that_restarted_without_data_answers_no_read(
    cluster, node_is_new
):
    """Guards against reads without committed data.

    A primary that had restarted without data ran reads as a replica does, before any
    entry VM knew of its restart (soak seeds 1001, 1015, 1027, 1034).
    """
    writer = await cluster.connect("main-db", 0)
    assert not (await writer.query("WRITE k kept")).error
    await cluster.group.servers[0].restart_empty()
    if node_is_new:
        await cluster.add_node(2)
    answers = []
    for _ in range(60):
        client = await cluster.connect("main-db", 2 if node_is_new else 1)
        answers.append(await client.query("READ k"))
        client.close()
        await asyncio.sleep(0.02)
    assert {answer.rows for answer in answers if not answer.error} <= {("kept",)}


async def test_lost_primary_is_replaced_and_no_commit_is_lost(cluster):
    client = await cluster.connect("main-db", 1)
    acknowledged = []
    for number in range(20):
        answer = await client.query(f"WRITE k{number} v{number}")
        if not answer.error:
            acknowledged.append(number)
    await cluster.group.servers[0].stop()
    await wait_for(lambda: cluster.try_write(1), 12.0)
    assert len(acknowledged) == 20
    reader = await cluster.connect("main-db", 0)
    for number in acknowledged:
        rows = await read_until_answered(reader, f"k{number}", 1.0)
        assert rows == (f"v{number}",)
    fencing_tokens = [fencing_token for *_, fencing_token in cluster.store.promotions]
    assert fencing_tokens == sorted(fencing_tokens) and len(fencing_tokens) >= 1

    async def no_server_is_paused():
        running = [server for server in cluster.group.servers if server.is_running]
        return not any(server.paused_for_term for server in running)

    await wait_for(no_server_is_paused, 4.0)


async def test_server_that_restarted_after_it_was_chosen_is_not_promoted(cluster):
    """Guards against a promotion that rolls the group back to an empty log."""
    await cluster.try_write()
    await wait_for(lambda: _has_all(cluster.group.servers))
    chosen = cluster.group.by_id("books-1")
    log_end = Position(chosen.log[-1].term, chosen.log[-1].number)
    await chosen.restart_empty()
    with pytest.raises(BackendError, match="the log ends"):
        await cluster.nodes[0].orders.promote("books-1", 4, 2, log_end)
    assert not chosen.is_primary


async def test_replica_that_missed_commits_is_not_promoted(cluster):
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-2")).error
    await cluster.group.servers[0].stop()

    async def is_promoted():
        return cluster.group.by_id("books-2").is_primary

    await wait_for(is_promoted, 12.0)
    assert not cluster.group.by_id("books-1").is_primary
    cluster.group.unreachable_replica_ids.clear()
    await wait_for(lambda: cluster.try_write(1), 12.0)
    reader = await cluster.connect("main-db", 1)
    assert (await reader.query("READ k")).rows == ("only-on-2",)


async def test_commit_that_only_a_leaving_replica_has_survives_the_primary(cluster):
    """Guards against the promotion of a replica that lacks acknowledged commits."""
    cluster.group.unreachable_replica_ids.add("books-1")
    staying, leaving = cluster.group.by_id("books-1"), cluster.group.by_id("books-2")
    leaving.draining = True
    await wait_for(lambda: _knows_leaving(cluster, "books-2"))
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-2")).error
    await cluster.group.servers[0].stop()
    await wait_for(lambda: _answers_read(cluster, "only-on-2"), 12.0)
    # The staying replica receives nothing yet, so it must not take over.
    await asyncio.sleep(2.0)
    assert leaving.is_primary and not staying.is_primary
    cluster.group.unreachable_replica_ids.clear()
    await wait_for(lambda: _is_primary(staying), 12.0)
    await leaving.stop()
    await wait_for(lambda: _answers_read(cluster, "only-on-2"), 12.0)


async def _knows_leaving(cluster, server_id):
    return all(server_id in node.board.vms.leaving for node in cluster.nodes)


async def _is_primary(server):
    return server.is_primary


async def _answers_read(cluster, expected):
    """Return whether the item k can be read; an answer must have the expected value."""
    reader = await cluster.connect("main-db", 1)
    answer = await reader.query("READ k")
    reader.close()
    if answer.error:
        return False
    assert answer.rows == (expected,), answer
    return True


async def test_unreachable_replica_does_not_block_promotion_if_all_nodes_know_the_log(
    cluster,
):
    """The live replica has everything that the nodes report as acknowledged."""
    await cluster.group.by_id("books-2").stop()
    await asyncio.sleep(0.5)
    for number in (0, 1):
        client = await cluster.connect("main-db", number)
        assert not (await client.query(f"WRITE k{number} on-1")).error
    await cluster.group.servers[0].stop()

    async def is_promoted():
        return cluster.group.by_id("books-1").is_primary

    await wait_for(is_promoted, 8.0)


async def test_no_promotion_while_a_replica_that_may_be_ahead_is_unreachable(cluster):
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-2")).error
    await cluster.group.by_id("books-2").stop()
    await cluster.group.servers[0].stop()
    await asyncio.sleep(3.0)
    assert not cluster.group.by_id("books-1").is_primary
    cluster.group.unreachable_replica_ids.clear()
    await cluster.group.by_id("books-2").start()
    await wait_for(lambda: cluster.try_write(1), 15.0)
    reader = await cluster.connect("main-db", 1)
    assert (await reader.query("READ k")).rows == ("only-on-2",)


async def _are_gone(cluster, *server_ids):
    known = [node.board.inventory.servers_by_id for node in cluster.nodes]
    return not any(
        server_id in servers for servers in known for server_id in server_ids
    )


async def _crash_primary_and_expect_no_loss(cluster):
    """Crash books-0, the only server with the commit, and let it come back."""
    primary = cluster.group.servers[0]
    await primary.stop()
    await asyncio.sleep(4.0)
    promoted = [server for server in cluster.group.servers[1:] if server.is_primary]
    assert not promoted, promoted[0].log
    await primary.restart()
    cluster.group.unreachable_replica_ids.clear()
    await wait_for(lambda: cluster.try_write(1), 15.0)
    reader = await cluster.connect("main-db", 1)
    assert (await reader.query("READ k")).rows == ("only-on-2",)


async def test_commit_that_only_a_replica_that_left_had_received_is_not_lost(cluster):
    """The log of a replica that had announced that it leaves was forgotten."""
    leaving = cluster.group.by_id("books-2")
    leaving.draining = True
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    await asyncio.sleep(1.5)
    assert not (await client.query("WRITE k only-on-2")).error
    await leaving.stop()
    await wait_for(lambda: _are_gone(cluster, "books-2"))
    await _crash_primary_and_expect_no_loss(cluster)


async def test_commit_of_a_crashed_replica_whose_address_is_used_again_is_not_lost(
    cluster,
):
    """An empty server at its address made the crashed one count as not needed."""
    cluster.group.unreachable_replica_ids |= {"books-1", "books-3"}
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-2")).error
    crashed = cluster.group.by_id("books-2")
    await crashed.stop()
    await wait_for(lambda: _are_gone(cluster, "books-2"))
    successor = LineServer(cluster.group, "books-3", crashed.zone)
    successor.port = crashed.port
    await successor.start()
    cluster.group.servers.append(successor)
    await wait_for(lambda: _are_known(cluster, "books-3"))
    await _crash_primary_and_expect_no_loss(cluster)


@pytest.mark.parametrize("is_noticed", [True, False])
async def test_commit_of_a_replica_that_came_back_empty_is_not_lost(
    cluster, is_noticed
):
    """A replica that answers without its former log counted as one that has it."""
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-2")).error
    cluster.group.unreachable_replica_ids.add("books-2")
    restarted = cluster.group.by_id("books-2")
    await restarted.restart_empty()

    async def is_known():
        known = [node.board.vms.servers_by_id["books-2"] for node in cluster.nodes]
        return all(server.born_ms == restarted.born for server in known)

    if is_noticed:
        await wait_for(is_known)
    await _crash_primary_and_expect_no_loss(cluster)


async def _are_known(cluster, server_id):
    known = [node.board.inventory.servers_by_id for node in cluster.nodes]
    return all(server_id in servers for servers in known)


async def test_commit_of_a_replica_that_left_is_not_lost_by_a_process_started_since(
    cluster,
):
    """The promoting process knew of no server that had gone before its start."""
    leaving = cluster.group.by_id("books-2")
    leaving.draining = True
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    await asyncio.sleep(1.5)
    assert not (await client.query("WRITE k only-on-2")).error
    await leaving.stop()
    await wait_for(lambda: _are_gone(cluster, "books-2"))
    await cluster.nodes.pop().abort()
    restarted = await cluster.add_node(1)

    async def may_promote():
        board = restarted.board
        if not board.is_member():
            return False
        return board.fleet.members_by_id[board.node_id].may_promote

    await wait_for(may_promote, 12.0)
    # A node that is about to stop starts no promotion.
    cluster.nodes[0].board.draining = True
    await _crash_primary_and_expect_no_loss(cluster)


async def test_commit_of_a_replica_that_left_is_not_lost_if_all_processes_restart(
    cluster,
):
    """No process knew of a server that had gone before all of them started."""
    leaving = cluster.group.by_id("books-2")
    leaving.draining = True
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    await asyncio.sleep(1.5)
    assert not (await client.query("WRITE k only-on-2")).error
    await leaving.stop()
    await wait_for(lambda: _are_gone(cluster, "books-2"))
    await asyncio.gather(*(node.stop() for node in cluster.nodes))
    cluster.nodes.clear()
    for number in (0, 1):
        await cluster.add_node(number)

    async def may_promote():
        boards = [node.board for node in cluster.nodes]
        return all(
            board.is_member() and board.fleet.members_by_id[board.node_id].may_promote
            for board in boards
        )

    await wait_for(may_promote, 12.0)
    await _crash_primary_and_expect_no_loss(cluster)


async def test_read_without_a_primary_is_not_older_than_its_limit_after_a_release(
    cluster,
):
    """Positions of the replicas that are left do not bound what a gone one had."""
    await asyncio.sleep(RECORDED_WITHIN_S)
    leaving = cluster.group.by_id("books-2")
    leaving.draining = True
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    await asyncio.sleep(1.5)
    assert not (await client.query("WRITE k only-on-2")).error
    await leaving.stop()
    await wait_for(lambda: _are_gone(cluster, "books-2"))
    await cluster.group.servers[0].stop()
    await asyncio.sleep(1.6)
    deadline_s = asyncio.get_running_loop().time() + 3.0
    while asyncio.get_running_loop().time() < deadline_s:
        reader = await cluster.connect("old-db", 1)
        answer = await reader.query("READ k")
        assert answer.error or answer.rows == ("only-on-2",)
        reader.close()
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("has_traffic", [False, True])
async def test_promotion_after_a_release_does_not_wait_for_the_released_log(
    cluster, has_traffic
):
    """Load pattern: replicas are released all day, and a primary crashes later."""
    client = await cluster.connect("main-db", 1)
    reader = await cluster.connect("old-db", 1)
    released = cluster.group.by_id("books-2")
    released.draining = True
    await asyncio.sleep(1.2)
    await released.stop()
    status_calls = sum(server.status_calls for server in cluster.group.servers)
    await wait_for(lambda: _are_gone(cluster, "books-2"))
    await asyncio.sleep(0.2)

    async def is_forgotten():
        if has_traffic:
            assert not (await client.query("WRITE k v")).error
            assert not (await reader.query("READ k")).error
        boards = [node.board for node in cluster.nodes]
        return not any(board.departed_logs_by_group.get("books") for board in boards)

    await wait_for(is_forgotten, 2.0)
    calls_after = sum(server.status_calls for server in cluster.group.servers)
    assert calls_after - status_calls <= 8
    await cluster.group.servers[0].stop()

    async def is_promoted():
        return cluster.group.by_id("books-1").is_primary

    await wait_for(is_promoted, 5.0)


async def test_commit_of_a_replica_that_started_while_the_store_was_down_is_not_lost(
    cluster,
):
    """A choice began before the replica's entry came, and did not count it."""
    cluster.store.faults.down = True
    cluster.group.unreachable_replica_ids.update(("books-1", "books-2"))
    started = await cluster.group.add_server("books-new", "a")
    make_entry = started.make_store_entry
    started.make_store_entry = lambda: None
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-new")).error
    await asyncio.sleep(2.0)
    await cluster.group.servers[0].stop()
    cluster.store.faults.down = False
    await asyncio.sleep(1.5)
    started.make_store_entry = make_entry

    async def is_promoted():
        return any(
            server.is_primary and server.is_running for server in cluster.group.servers
        )

    await wait_for(is_promoted)
    (primary,) = [
        server
        for server in cluster.group.servers
        if server.is_primary and server.is_running
    ]
    assert [entry.value for entry in primary.log][-1:] == ["only-on-new"]


async def test_commit_that_only_a_resigned_node_has_seen_is_not_lost(cluster):
    """Guards against a bound of acknowledged commits that leaves resigned nodes out."""
    staying = cluster.nodes[1]
    while not staying.board.bounds_by_group:
        assert await cluster.try_write(1)
    await wait_for(lambda: _has_all(cluster.group.servers))
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db", 0)
    assert not (await client.query("WRITE k only-on-2")).error
    client.close()
    resigned = cluster.nodes.pop(0)
    await resigned.stop()
    await cluster.group.by_id("books-2").stop()
    await cluster.group.servers[0].stop()
    await asyncio.sleep(5.0)
    promoted = cluster.group.by_id("books-1")
    assert not promoted.is_primary, promoted.log


async def test_draining_primary_is_replaced_before_it_stops(cluster):
    cluster.group.servers[0].draining = True

    async def is_replaced():
        return not cluster.group.servers[0].is_primary and await cluster.try_write()

    await wait_for(is_replaced, 6.0)
    assert await cluster.try_write()


async def test_writes_continue_while_the_store_is_down(cluster):
    cluster.store.faults.down = True
    for _ in range(16):
        assert await cluster.try_write(0) and await cluster.try_write(1)
        await asyncio.sleep(0.25)


async def test_node_without_permit_refuses_at_once(cluster):
    cluster.store.faults.down = True
    await cluster.nodes[1].abort()
    await asyncio.sleep(3.5)
    client = await cluster.connect("main-db", 0)
    started_s = asyncio.get_running_loop().time()
    answer = await client.query("WRITE k no")
    assert answer.error == "BUSY" and "retry after" in answer.detail
    assert asyncio.get_running_loop().time() - started_s < 0.1


async def is_told_to_leave(client):
    """Return whether the end was announced, and the connection closed after it."""
    answer = await client.read_answer()
    return answer.error == "BUSY" and "this node" in answer.detail and not answer.state


async def test_graceful_stop_finishes_requests_in_flight(cluster):
    cluster.group.statement_duration_s = 0.05
    busy = await cluster.connect("main-db", 0)
    idle = await cluster.connect("main-db", 0)
    await busy.query("BEGIN")
    stopping = asyncio.create_task(cluster.nodes[0].stop())
    await asyncio.sleep(0.1)
    assert not (await busy.query("WRITE k last")).error
    assert not (await busy.query("COMMIT")).error
    assert await is_told_to_leave(idle)
    await stopping

    async def has_left():
        return "node-0" not in cluster.nodes[1].board.fleet.members_by_id

    await wait_for(has_left, 2.0)


async def test_request_that_arrives_as_a_drain_begins_is_answered(cluster):
    """Guards against closing a session without an answer.

    The session counted as idle while its request was still in the buffers.
    """
    clients = [await cluster.connect("main-db", 0) for _ in range(20)]
    for number, client in enumerate(clients):
        assert not (await client.query(f"WRITE k{number} before")).error
    for number, client in enumerate(clients):
        client.send_without_reading(f"WRITE k{number} as-it-stops")
    assert await cluster.nodes[0].listener.drain(2.0, 1.0)
    for client in clients:
        assert not (await client.read_answer()).error
        assert await is_told_to_leave(client)


async def connect_idle_sessions(cluster, count):
    clients = [await cluster.connect("main-db", 0) for _ in range(count)]
    for number, client in enumerate(clients):
        assert not (await client.query(f"WRITE k{number} before")).error
    await asyncio.sleep(CLOSE_IDLE_AFTER_S + 0.1)
    return clients


def find_values(cluster, key):
    return [entry.value for entry in cluster.group.servers[0].log if entry.key == key]


async def read_answers_as_the_session_ends(cluster, clients):
    """Return the answers to requests that were sent as the node ended the sessions.

    A refused request must not have run, and an answered one must have run once.
    """
    answers = [await client.read_answer() for client in clients]
    for number, answer in enumerate(answers):
        expected = ["before"] if answer.error else ["before", "as-it-ends"]
        assert find_values(cluster, f"k{number}") == expected
    return answers


async def test_request_in_transit_to_an_idle_session_is_answered_during_a_drain(
    cluster,
):
    """Guards against closing an idle session while its next request is in transit."""
    clients = await connect_idle_sessions(cluster, 20)
    for number, client in enumerate(clients):
        client.send_without_reading(f"WRITE k{number} as-it-ends")
    draining = asyncio.create_task(cluster.nodes[0].listener.drain(2.0, 1.0))
    answers = await read_answers_as_the_session_ends(cluster, clients)
    assert {(item.error, item.state) for item in answers} <= {("", "I"), ("BUSY", "I")}
    assert await draining


async def test_request_of_which_a_part_has_arrived_is_answered_during_a_drain(cluster):
    """Guards against closing a session in the middle of a request."""
    (client,) = await connect_idle_sessions(cluster, 1)
    client.writer.write(f"QUERY {client.next_id()} WRITE k0 as-it".encode())
    await asyncio.sleep(0.05)
    draining = asyncio.create_task(cluster.nodes[0].listener.drain(2.0, 1.0))
    await asyncio.sleep(CLOSE_IDLE_AFTER_S)
    client.writer.write(b"-ends\r\n")
    (answer,) = await read_answers_as_the_session_ends(cluster, [client])
    assert (answer.error, answer.state) == ("", "I")
    assert await is_told_to_leave(client)
    assert await draining


async def test_request_in_transit_to_a_session_that_is_moved_is_answered(cluster):
    """Guards against closing an idle session while its next request is in transit."""
    clients = await connect_idle_sessions(cluster, 20)
    for number, client in enumerate(clients):
        client.send_without_reading(f"WRITE k{number} as-it-ends")
    listener = cluster.nodes[0].listener
    assert listener.close_idle(asyncio.get_running_loop().time() + 1e9, 20) == 20
    answers = await read_answers_as_the_session_ends(cluster, clients)
    assert {(item.error, item.state) for item in answers} <= {("", "I"), ("BUSY", "I")}


async def test_idle_session_is_closed_by_a_drain(cluster):
    client = await cluster.connect("main-db", 0)
    await asyncio.sleep(CLOSE_IDLE_AFTER_S + 0.1)
    assert await cluster.nodes[0].listener.drain(2.0, 1.0)
    assert await is_told_to_leave(client)


async def test_all_processes_restart_without_local_state(cluster):
    assert await cluster.try_write(0, "before")
    for node in cluster.nodes:
        await node.abort()
    cluster.nodes.clear()
    await cluster.add_node(0)
    await cluster.add_node(1)
    await cluster.wait_until_writable()
    client = await cluster.connect("main-db")
    assert (await client.query("READ before")).rows == ("up",)


async def test_withdrawn_key_stays_rejected_after_a_restart_without_the_store():
    """Guards against a withdrawn key that is accepted again after a process restart."""
    cluster = PlatformCluster(3)
    await cluster.start()
    try:
        withdrawn_node = cluster.nodes.pop(2)
        key = withdrawn_node.board.public_key.encode()
        await withdrawn_node.stop()

        async def is_withdrawn():
            return not any(node._is_known_key(key) for node in cluster.nodes)

        await wait_for(is_withdrawn)
        cluster.store.faults.down = True
        await cluster.nodes.pop(0).abort()
        restarted = await cluster.add_node(0)
        other_key = cluster.nodes[0].board.public_key.encode()
        await asyncio.sleep(1.5)
        # Without the store, the restarted node accepts no peer and joins no fleet.
        assert not restarted._is_known_key(other_key)
        assert await is_withdrawn()
        assert not await cluster.try_write(1)
        cluster.store.faults.down = False
        await cluster.wait_until_writable()
        assert restarted._is_known_key(other_key)
        assert await is_withdrawn()
    finally:
        cluster.store.faults.down = False
        await cluster.stop()


async def test_lost_responses_of_the_store_do_not_prevent_joining():
    cluster = PlatformCluster(3)
    cluster.store.faults.lose_response_probability = 0.5
    try:
        await cluster.start()

        async def have_all_joined():
            return len(cluster.nodes[0].board.fleet.members_by_id) == 3

        await wait_for(have_all_joined)
    finally:
        cluster.store.faults.lose_response_probability = 0.0
        await cluster.stop()


async def test_malformed_startup_is_reported_to_the_client(cluster):
    reader, writer = await asyncio.open_connection("127.0.0.1", cluster.port())
    writer.write(b"HELLO\r\n")
    assert (await LineClient(reader, writer).read_answer()).error == "MALFORMED"


async def test_caller_of_a_joining_node_waits_instead_of_failing(cluster):
    node = await cluster.add_node(2)
    client = await LineClient.connect(node.listener.port, "main-db")
    assert not (await client.query("WRITE k early")).error


async def test_a_restore_in_calm_times_costs_reads_nothing_and_writes_little(cluster):
    """The store comes back from a copy of some seconds ago while callers go on."""
    cluster.store.take_copy()
    await cluster.add_node(2)
    await cluster.wait_until_writable()
    reader = await cluster.connect("old-db", 0)
    loop = asyncio.get_running_loop()
    failed_reads, write_failures_at_s = [], []
    stop = asyncio.Event()

    async def read_on():
        while not stop.is_set():
            answer = await reader.query("READ warm")
            if answer.error:
                failed_reads.append(answer)
            await asyncio.sleep(0.02)

    async def write_on(number):
        while not stop.is_set():
            if not await cluster.try_write(number, f"k{number}"):
                write_failures_at_s.append(loop.time())
            await asyncio.sleep(0.02)

    tasks = [asyncio.create_task(read_on())]
    tasks += [asyncio.create_task(write_on(number)) for number in range(3)]
    await asyncio.sleep(0.5)
    cluster.store.faults.down = True
    await asyncio.sleep(0.5)
    restored_at_s = loop.time()
    await cluster.store.restore()
    cluster.store.faults.down = False

    async def is_settled():
        fleets = [node.board.fleet for node in cluster.nodes]
        return (
            all(fleet.era == 1 for fleet in fleets)
            and len({fleet.version for fleet in fleets}) == 1
        )

    await wait_for(is_settled)
    settled_after_s = loop.time() - restored_at_s
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*tasks)
    assert not failed_reads
    assert settled_after_s < 3.0
    assert all(at_s < restored_at_s + 1.0 for at_s in write_failures_at_s)
    fleet = cluster.nodes[0].board.fleet
    assert set(fleet.members_by_id) == {"node-0", "node-1", "node-2"}
    counts = [node.metrics.counts[("store_restored", "")] for node in cluster.nodes]
    assert sum(counts) >= 1


async def test_a_fleet_that_knew_nothing_of_before_serves_again(cluster):
    """All processes end, and the store comes back while they start again."""
    cluster.store.take_copy()
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k kept")).error
    for node in cluster.nodes:
        await node.abort()
    cluster.nodes.clear()
    await cluster.store.restore()
    for number in range(2):
        await cluster.add_node(number)
    await cluster.wait_until_writable()
    reader = await cluster.connect("main-db", 1)
    assert (await reader.query("READ k")).rows == ("kept",)
    assert all(node.board.fleet.era == 1 for node in cluster.nodes)


async def test_a_promotion_that_the_store_has_lost_is_not_undone(cluster):
    """Only the nodes know the newest primary; its commits are not lost."""
    cluster.store.take_copy()
    await cluster.group.servers[0].stop()

    async def has_new_primary():
        return await cluster.try_write(0) and await cluster.try_write(1)

    await wait_for(has_new_primary, 12.0)
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k kept")).error
    promotions = len(cluster.store.promotions)
    await cluster.store.restore()

    async def is_settled():
        return all(node.board.fleet.era == 1 for node in cluster.nodes)

    await wait_for(is_settled)
    await wait_for(has_new_primary)
    assert (await client.query("READ k")).rows == ("kept",)
    assert len(cluster.store.promotions) == promotions


async def test_leaving_primary_leads_again_if_its_successors_may_lack_commits(cluster):
    """Guards against 18 s without a primary: it was fenced, the replicas were held."""
    cluster.group.unreachable_replica_ids.add("books-1")
    client = await cluster.connect("main-db")
    assert not (await client.query("WRITE k only-on-2")).error
    await cluster.group.by_id("books-2").stop()
    cluster.group.servers[0].draining = True
    await wait_for(lambda: _knows_leaving(cluster, "books-0"))
    await asyncio.sleep(0.5)
    await wait_for(lambda: _answers_read(cluster, "only-on-2"), 5.0)


@pytest.mark.xfail(strict=True, raises=AssertionError, reason="KNOWN-RED 13")
async def test_read_does_not_miss_a_commit_that_an_unregistered_replica_acknowledged(
    cluster,
):
    """While the store is down, nobody knows of the replica that has just started."""
    await asyncio.sleep(RECORDED_WITHIN_S)
    max_age_s = 1.5
    cluster.store.faults.down = True
    cluster.group.unreachable_replica_ids.update(("books-1", "books-2"))
    await cluster.group.add_server("books-new", "a")
    client = await cluster.connect("main-db", 0)
    assert not (await client.query("WRITE k only-on-new")).error
    loop = asyncio.get_running_loop()
    acknowledged_at_s = loop.time()
    await cluster.group.servers[0].stop()
    while (started_s := loop.time()) < acknowledged_at_s + 4.0:
        for number in (0, 1):
            reader = await cluster.connect("old-db", number)
            answer = await reader.query("READ k")
            reader.close()
            if started_s > acknowledged_at_s + max_age_s and not answer.error:
                assert answer.rows == ("only-on-new",)
        await asyncio.sleep(0.05)
