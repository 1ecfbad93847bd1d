import asyncio
import contextlib
import socket

from standins.line_server import LogEntry, ServerGroup


async def test_a_former_primary_receives_nothing_before_it_steps_down():
    """Regression (soak with restores, seed 6116): told to follow, a former primary got
    the new term's log and number while it still led, and its copy then replaced the log
    of the primary: three acknowledged writes were lost in the stand-in."""
    group = ServerGroup("books", ("a", "b", "c"))
    former, primary, replica = group.servers
    await group.start()
    try:
        for server in (primary, replica):
            server.term = former.term + 1
        primary.is_primary = True
        primary.log = [LogEntry(primary.term, 1, "k", "v", "r1")]
        former._execute_control_command(IdleSession(), ["RESUME"])
        assert former.log == [] and former.term < primary.term
        former._execute_control_command(IdleSession(), ["STEPDOWN", str(primary.term)])
        assert former.log == primary.log and not former.is_primary
        replica._execute_control_command(IdleSession(), ["RESUME"])
        assert len(primary.log) == len(replica.log) == 1
    finally:
        await group.stop()


async def test_a_connection_that_a_stop_overtakes_is_not_served():
    """Guards against a server that goes on after its crash (known red 13)."""
    group = ServerGroup("books", ("a",), sync_replica_count=0)
    (server,) = group.servers
    await group.start()
    for iterations in range(6):
        # The handler of an accepted connection starts some iterations later.
        with socket.create_connection(("127.0.0.1", server.port)) as client:
            for _ in range(iterations):
                await asyncio.sleep(0)
            await server.stop()
            with contextlib.suppress(ConnectionError):
                client.sendall(b"STARTUP books x\r\nQUERY r WRITE k v\r\n")
            await asyncio.sleep(0.02)
        await server.restart()
    await group.stop()
    assert server.log == []


async def test_a_server_that_has_left_does_not_come_back_or_lead():
    group = ServerGroup("books", ("a", "b", "c"))
    primary, replica, leaving = group.servers
    await group.start()
    try:
        added = await group.add_server("books-new", "c")
        entry = LogEntry(primary.term, 1, "k", "v", "r1")
        primary.log = [entry]
        group.replicate(primary)
        assert added.log == leaving.log == [entry]
        assert await group.wait_for_replicas(primary, entry)
        await group.remove_server(leaving)
        await leaving.restart()
        assert not leaving.is_running and leaving.log == []
        assert not group.begin_promotion(leaving.server_id)
        assert [server.server_id for server in group.servers] == [
            primary.server_id,
            replica.server_id,
            "books-new",
        ]
    finally:
        await group.stop()


class IdleSession:
    """A session outside a transaction."""

    in_transaction = False


async def test_a_primary_that_is_down_sends_its_log_to_nobody():
    """Guards against a lost commit that the stand-in hides."""
    group = ServerGroup("books", ("a", "b", "c"))
    primary, starved, _ = group.servers
    await group.start()
    try:
        group.unreachable_replica_ids.add(starved.server_id)
        primary.log = [LogEntry(primary.term, 1, "k", "v", "r1")]
        await primary.stop()
        group.unreachable_replica_ids.clear()
        group.catch_up(starved)
        assert starved.log == []
        await primary.restart()
        group.catch_up(starved)
        assert starved.log == primary.log
    finally:
        await group.stop()


async def test_an_unreachable_replica_gets_no_entries_from_a_promoted_one():
    """Guards against a lost commit that the stand-in hides."""
    group = ServerGroup("books", ("a", "b", "c"), promotion_delay_s=0.0)
    former, chosen, starved = group.servers
    await group.start()
    try:
        group.unreachable_replica_ids.add(starved.server_id)
        kept, dropped, missed = (
            LogEntry(former.term, number, "k", "v", f"r{number}")
            for number in (1, 2, 3)
        )
        starved.log = [kept, dropped]
        chosen.log = [kept, missed]
        former.is_primary = False
        assert group.begin_promotion(chosen.server_id)
        while not chosen.is_primary:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.001)
        assert starved.log == [kept]
        assert former.log == [kept, missed]
    finally:
        await group.stop()


async def ask(reader, writer, text):
    """Send a statement and return the lines of its answer."""
    writer.write(f"QUERY r {text}\r\n".encode())
    lines = []
    while not lines or not lines[-1].startswith(b"READY"):
        lines.append(await reader.readuntil(b"\r\n"))
    return lines


async def test_second_answers_and_segments_leave_each_answer_whole():
    group = ServerGroup("books", ("a",), sync_replica_count=0)
    (server,) = group.servers
    server.faults.repeat_probability = 1.0
    server.faults.repeat_delay_s = (0.0, 0.02)
    server.faults.split_probability = 1.0
    await group.start()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"STARTUP books x\r\n")
        for _ in range(20):
            writer.write(b"QUERY r READ k\r\n")
        await asyncio.sleep(2.0)
        await group.stop()
        data = await reader.read()
        starts = data.count(b"READY I 3.0\r\n") - data.count(b"DATAROW")
        assert starts == 2
        answers = data.split(b"READY I 3.0\r\n")
        assert answers.pop() == b""
        reads = sorted(answer for answer in answers if answer)
        assert len(reads) == 40 and len(set(reads)) == 20
        for answer in reads:
            row, complete, rest = answer.split(b"\r\n")
            assert row == b"DATAROW none" and not rest
            assert complete.startswith(b"COMPLETE books-0.")
    finally:
        await group.stop()


async def test_connections_transactions_and_wrong_statements_are_recorded():
    group = ServerGroup("books", ("a",), sync_replica_count=0)
    (server,) = group.servers
    server.faults.fails_transactions = True
    await group.start()
    try:
        for _ in range(2):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"STARTUP books x\r\n")
            await reader.readuntil(b"\r\n")
            await ask(reader, writer, "READ k")
            for end in ("COMMIT", "ROLLBACK"):
                await ask(reader, writer, "BEGIN")
                await ask(reader, writer, "READ k")
                await ask(reader, writer, end)
        runs = group.executed_statements
        assert [run.connection for run in runs] == [1] * 3 + [2] * 3
        assert [run.transaction for run in runs] == [0, 1, 2, 0, 3, 4]
        commits = group.executed_commits
        assert [run.transaction for run in commits] == [1, 3]
        assert group.malformed_lines == []
        await ask(reader, writer, "BEGIN")
        answer = await ask(reader, writer, "EXECUTE unknown k")
        assert answer == [b"ERROR UNKNOWN books-0\r\n", b"READY E 3.0\r\n"]
        assert (await ask(reader, writer, "READ k"))[
            0
        ] == b"ERROR MALFORMED books-0\r\n"
        assert (await ask(reader, writer, "ROLLBACK"))[-1] == b"READY I 3.0\r\n"
        assert group.malformed_lines == []
        for text in ("COMMIT", "READ", "PREPARE s", "k y"):
            await ask(reader, writer, text)
        assert len(group.malformed_lines) == 4
        await ask(reader, writer, "BEGIN")
        await ask(reader, writer, "BEGIN")
        assert len(group.malformed_lines) == 5
    finally:
        await group.stop()
