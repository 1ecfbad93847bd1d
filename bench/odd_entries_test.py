"""Odd objects that another writer leaves in the platform's store."""

import asyncio
import base64
import json
import zlib

import msgspec
import pytest
from click.testing import CliRunner

from bench.platform_cluster import PlatformCluster
from bench.soak import Options, Soak
from pollencleat.core.data import Fleet, Member
from pollencleat.membership.fleet import with_member
from pollencleat.platform.store import FLEET_KIND, FLEET_NAME, pack_fleet
from pollencleat.tools.main import main
from standins.object_store import RawJson

DEPTH = 100_000
NESTED = RawJson("[" * DEPTH + "]" * DEPTH)
NESTED_OBJECTS = RawJson('{"a":' * DEPTH + "1" + "}" * DEPTH)
HUGE_FLOAT = RawJson("1e999")

ODD_FIELDS = {
    "nested": [
        {"address": NESTED},
        {"nobody reads this": NESTED},
        {"nobody reads this": NESTED_OBJECTS},
    ],
    "numbers": [
        {"slots": 10**30},
        {"slots": -5},
        {"born": 2**64},
        {"born": 10**30},
        {"sequence": 2**63},
        {"sequence": RawJson("9" * 5_000)},
        {"cold_remaining_ms": HUGE_FLOAT},
        {"cold_remaining_ms": 10**400},
        {"cold_remaining_ms": RawJson("Infinity")},
        {"nobody reads this": RawJson("NaN")},
    ],
    "addresses": [
        {"address": "127.0.0.1:99999999"},
        {"address": "127.0.0.1:65536"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:²"},
        {"address": "127.0.0.1:٣"},
        {"address": "127.0.0.1:" + "9" * 5_000},
        {"address": "a" * 70_000 + ":80"},
        {"address": "a\0b:80"},
        {"address": "a..b:80"},
        {"zone": "z" * 70_000},
        {"zone": RawJson('"\\ud800"')},
        {"service": "books\r\nQUERY 1 WRITE k x"},
    ],
}


async def wait_for(check, limit_s=8.0):
    deadline_s = asyncio.get_running_loop().time() + limit_s
    while not check():
        assert asyncio.get_running_loop().time() < deadline_s, (
            "condition not met before the deadline"
        )
        await asyncio.sleep(0.05)


@pytest.fixture
async def cluster():
    cluster = PlatformCluster(2)
    await cluster.start()
    yield cluster
    await cluster.stop()


async def assert_all_serve(cluster):
    for number in range(len(cluster.nodes)):
        assert await cluster.try_write(number)
        for database in ("old-db", "own-db", "main-db"):
            client = await cluster.connect(database, number)
            for _ in range(6):
                assert not (await client.query("READ warm")).error
            client.close()


def assert_no_unexpected_error(cluster):
    for node in cluster.nodes:
        errors = {
            detail: count
            for (name, detail), count in node.metrics.counts.items()
            if name == "unexpected_error"
        }
        assert errors == {}
        assert not node.tasks[0].done()


async def put_odd_servers(cluster, fields):
    good = cluster.group.servers[1].make_store_entry()
    for number, odd in enumerate(fields):
        name = f"a-odd-{number}"
        await cluster.store.put("servers", name, {**good, **odd})


async def assert_servers_are_followed(cluster):
    """A server that registers and one that leaves are noticed by every node."""
    late = {**cluster.group.servers[2].make_store_entry(), "born": 5}
    await cluster.store.put("servers", "books-late", late)
    views = [node.board for node in cluster.nodes]
    await wait_for(lambda: all("books-late" in b.vms.servers_by_id for b in views))
    await cluster.store.remove("servers", "books-late")
    await wait_for(lambda: not any("books-late" in b.vms.servers_by_id for b in views))
    known = {server.server_id for server in cluster.group.servers}
    assert all(set(board.vms.servers_by_id) == known for board in views)


@pytest.mark.parametrize("kind", sorted(ODD_FIELDS))
async def test_odd_server_entries_are_refused_alone(cluster, kind):
    await put_odd_servers(cluster, ODD_FIELDS[kind])
    await asyncio.sleep(1.5)
    await assert_servers_are_followed(cluster)
    await assert_all_serve(cluster)
    await cluster.add_node(2)
    await cluster.wait_until_writable()
    await cluster.store.compact_history()
    await assert_servers_are_followed(cluster)
    await assert_all_serve(cluster)
    assert_no_unexpected_error(cluster)


async def test_command_line_shows_the_servers_beside_odd_entries(cluster):
    """Lines about refused entries stood in the JSON output."""
    await put_odd_servers(cluster, ODD_FIELDS["nested"])

    def run():
        command = ["platform", cluster.store.address, "--json"]
        return CliRunner().invoke(main, command)

    shown = await asyncio.to_thread(run)
    known = {server.server_id for server in cluster.group.servers}
    assert set(json.loads(shown.stdout)["vms"]["servers_by_id"]) == known
    assert "refused: servers/a-odd-0" in shown.stderr


ODD_CONFIGURATIONS = {
    "nested": RawJson(NESTED.text),
    "version": {"version": 10**30},
    "negative version": {"version": -(2**70)},
    "limit": {"limits": {"transaction_idle_ms": 10**30}},
    "connections": {
        "services": [
            {"name": "books", "connection_limit": 10**30, "sync_replica_count": 1}
        ]
    },
    "staleness": {
        "routes": [
            {
                "host": "main-db",
                "kind": "primary",
                "service": "books",
                "timeout_ms": 10**25,
                "target_latency_ms": HUGE_FLOAT,
            }
        ]
    },
}


async def test_odd_configuration_leaves_the_accepted_one_in_force(cluster):
    good = cluster.store.objects["config"]["main"]["spec"]
    for odd in ODD_CONFIGURATIONS.values():
        if isinstance(odd, dict):
            odd = {**good, "version": cluster.version + 1, **odd}
        await cluster.store.put("config", "main", odd)
        await asyncio.sleep(0.7)
        await assert_all_serve(cluster)
    await cluster.add_node(2)
    await cluster.wait_until_writable()
    await assert_all_serve(cluster)
    await cluster.put_configuration(routes={"late-db": ("primary", None)})
    boards = [node.board for node in cluster.nodes]
    await wait_for(
        lambda: all("late-db" in b.inventory.routes_by_database for b in boards)
    )
    assert_no_unexpected_error(cluster)


def packed(content):
    return {"packed": base64.b64encode(zlib.compress(content)).decode()}


def odd_member(**fields):
    values = {
        "node_id": "odd",
        "incarnation": "0123",
        "failure_domain": "a",
        "address": "tcp://127.0.0.1:9",
        "admin_address": "",
        "seat": 0,
        "may_promote": False,
        "public_key": "x" * 40,
        **fields,
    }
    return Member(**values)


UNREADABLE_FLEETS = {
    "nested": RawJson(NESTED.text),
    "nested inside": packed(b"\x91" * DEPTH + b"\xc0"),
    "nested in an unknown field": packed(b"\x81\xa1x" + b"\x91" * DEPTH + b"\xc0"),
    "large": packed(b"\0" * (200 << 20)),
    "other key": packed(
        msgspec.msgpack.encode(Fleet(members_by_id={"other": odd_member()}))
    ),
    "term without a next": packed(msgspec.msgpack.encode(Fleet(next_term=2**64 - 1))),
}


def newest_fleet(cluster):
    fleets = [node.board.fleet for node in cluster.nodes]
    return max(fleets, key=lambda fleet: fleet.version)


async def put_fleet(cluster, content):
    """Put a content, and return the version that it has there."""
    await cluster.store.put(FLEET_KIND, FLEET_NAME, content)
    return cluster.store.objects[FLEET_KIND][FLEET_NAME]["meta"]["revision"]


async def test_unreadable_fleet_state_ends_no_node(cluster):
    """Nodes go on with the state they know, and follow the next readable one."""
    await asyncio.sleep(0.5)
    boards = [node.board for node in cluster.nodes]
    for content in UNREADABLE_FLEETS.values():
        await put_fleet(cluster, content)
        await asyncio.sleep(2.5)
        await assert_all_serve(cluster)
        version = await put_fleet(cluster, pack_fleet(newest_fleet(cluster)))
        await wait_for(lambda v=version: all(b.fleet.version >= v for b in boards))
    await cluster.add_node(2)
    await cluster.wait_until_writable()
    assert_no_unexpected_error(cluster)


ODD_MEMBERS = [
    {"address": "nonsense"},
    {"address": "tcp://127.0.0.1:٣"},
    {"address": "tcp://127.0.0.1:99999999"},
    {"address": "tcp://a\0b:1"},
    {"address": "tcp://" + "a" * 70_000 + ":1"},
    {"public_key": "short"},
    {"public_key": "é" * 40},
    {"public_key": "~" * 40},
]


async def test_member_with_an_unusable_address_or_key_ends_no_node(cluster):
    """The timers failed while such a member was listed, which ended every node."""
    await asyncio.sleep(0.5)
    fleet = newest_fleet(cluster)
    for number, fields in enumerate(ODD_MEMBERS):
        name = f"odd-{number}"
        member = odd_member(node_id=name, incarnation=name, **fields)
        fleet = with_member(fleet, member, 0)
    await put_fleet(cluster, pack_fleet(fleet))
    boards = [node.board for node in cluster.nodes]
    await wait_for(lambda: all("odd-0" in b.fleet.members_by_id for b in boards))
    await asyncio.sleep(3.0)
    await assert_all_serve(cluster)
    await cluster.add_node(2)
    await cluster.wait_until_writable()
    assert_no_unexpected_error(cluster)


class OddEntriesRun(Soak):
    """Three daemons; every odd server entry and configuration, and a restart."""

    async def _run_scenario(self):
        good = self.group.servers[1].make_store_entry()
        odd_fields = [odd for fields in ODD_FIELDS.values() for odd in fields]
        for number, odd in enumerate(odd_fields):
            await self.store.put("servers", f"a-odd-{number}", {**good, **odd})
        await asyncio.sleep(4.0)
        self.pids = [vm.process.pid for vm in self.vms]
        assert all(vm.process.is_running for vm in self.vms)
        await self._wait_until_all_writable(5.0)
        assert self.vms[0].claim()
        await asyncio.to_thread(self.vms[0].process.terminate)
        await self.vms[0].restart_after(0.0)
        await self._wait_until_all_writable(15.0)
        valid = self.store.objects["config"]["main"]["spec"]
        for odd in ODD_CONFIGURATIONS.values():
            content = {**valid, **odd} if isinstance(odd, dict) else odd
            await self.store.put("config", "main", content)
            await asyncio.sleep(0.5)
        await asyncio.sleep(3.0)
        assert all(vm.process.is_running for vm in self.vms)
        await self.put_configuration()
        await self._wait_until_all_writable(5.0)
        assert [vm.process.pid for vm in self.vms[1:]] == self.pids[1:]


async def test_daemons_serve_beside_odd_entries(tmp_path):
    broken = await OddEntriesRun(3, 0.0, tmp_path, Options(nodes=3)).run()
    assert broken == []
    for path in tmp_path.glob("vm-*.log"):
        text = path.read_text(errors="replace")
        assert "object refused" in text and "unexpected error" not in text
