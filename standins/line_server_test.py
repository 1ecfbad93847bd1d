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


class IdleSession:
    """A session outside a transaction."""

    in_transaction = False
