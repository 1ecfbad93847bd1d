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
