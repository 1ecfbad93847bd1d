"""A randomized soak test of the real daemon, with faults injected from outside.

Each entry VM is a separate daemon process.  The platform's store and the servers are
stand-ins in this process.  Each server and each entry VM's connection to the store has
a link that can fail.  Faults are drawn from a seed and overlap, while callers keep
using their connections.  After the last fault, bench/soak_checks.py compares the
histories of callers and servers.

The daemon keeps no files and makes no decision by the time of day, so there are no
disk or clock faults.  A stopped process simulates a suspended machine.  The links
between entry VMs have no faults.

Run by hand: ``python -m bench.soak --seeds 50 --jobs 2``.
"""

import asyncio
import json
import os
import random
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import click

from bench.platform_cluster import ZONES, LineAnswer, LineClient, put_configuration
from bench.processes import Process
from bench.soak_checks import Attempt, find_broken_promises
from standins.faulty_link import FaultyLink, LinkFault
from standins.line_server import LineServer, ServerGroup
from standins.object_store import ObjectStoreStandIn

NODES = 3
CONNECTIONS = 30
"""Connection limit of a server.  In runs with more nodes and a lower limit, only the
gateways hold server connections, and other nodes lease them."""

CALLERS = 9
CALLER_LIMIT_S = 3.0
"""Timeout of a caller's request; the routes' own timeout is 1 s."""

START_LIMIT_S = 20.0
RECOVERY_LIMIT_S = 20.0
"""Time after the last fault within which every entry VM must accept writes again: 12 s
by the users' requirements, plus the start of a process on a busy machine."""

MAX_AGE_S_BY_DATABASE = {"main-db": 0.0, "old-db": 1.5, "own-db": 2.5}
"""Maximum staleness in seconds of the routes in bench/platform_cluster.py."""

FAULT_INTERVAL_S = (0.1, 1.2)
"""Range of the seconds between the starts of two faults."""

RESTART_DELAY_S = 0.2
"""Delay before a process that ended is restarted."""

COPY_INTERVAL_S = 0.25
"""Seconds between two copies of the store."""

COPY_AGE_S = (0.3, 5.0)
"""Range of the least age in seconds of the copy that the store comes back from."""

RESTORE_INTERVAL_S = (0.5, 5.0)
"""Range of the seconds between two restores."""

FAULT_DURATION_S = (0.2, 4.0)
SERVER_FAULT_PAUSE_S = 1.0
"""Pause between two server faults; only one server may be lost at a time."""

Fault = Callable[["Soak"], Awaitable[None]]
_faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under the name of its function.

    Args:
        function: Injects the fault and returns when the fault is over.

    Returns:
        The function.
    """
    _faults[function.__name__] = function
    return function


class EntryVm:
    """One daemon process and its link to the platform."""

    def __init__(self, number: int, store: ObjectStoreStandIn, folder: Path) -> None:
        """Create the link to the platform; start() starts the process."""
        host, _, port = store.address.rpartition(":")
        self.link = FaultyLink(host, int(port))
        self.number = number
        self.callers_port = 0
        self._folder = folder
        self.process: Process | None = None
        self.is_claimed = False

    async def start(self) -> None:
        """Start the link, write the settings file and start the process."""
        await self.link.start()
        ip = f"127.0.{os.getpid() % 200 + 1}.{self.number + 1}"
        ports = [_find_free_port(ip) for _ in range(4)]
        self.host, self.callers_port = ip, ports[0]
        first_internal_port = ports[2]
        settings = {
            "node_name": f"vm-{self.number}",
            "ip": ip,
            "zone": ZONES[self.number % len(ZONES)],
            "listen_addresses": {
                "frontend_address": f"{ip}:{ports[0]}",
                "ready": f"{ip}:{ports[1]}",
            },
            "internal_port_range": [first_internal_port, first_internal_port + 15],
            "bounds": {"grace_period_s": 6},
            "platform": {"address": self.link.address},
            "cloud_api": {"address": self.link.address},
        }
        path = self._folder / f"vm-{self.number}.json"
        path.write_text(json.dumps(settings))
        self.process = Process(
            f"vm-{self.number}",
            ["pollencleat.daemon", "--on-platform"],
            self._folder,
            {"POLLENCLEAT_BOOT": str(path)},
        )

    async def restart_after(self, delay_s: float) -> None:
        """Restart the process after a delay in seconds, and release its claim."""
        await asyncio.sleep(delay_s)
        if not self.process.is_running:
            self.process.start()
        self.is_claimed = False

    def claim(self) -> bool:
        """Claim the process for a fault that ends it; False if already claimed."""
        if self.is_claimed:
            return False
        self.is_claimed = True
        return True

    def stop(self) -> None:
        """Kill the process."""
        if self.process is not None:
            self.process.kill()


def _find_free_port(ip: str) -> int:
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Soak:
    """One soak run, with its stand-ins, entry VMs and recorded history."""

    def __init__(
        self,
        seed: int,
        fault_s: float,
        folder: Path,
        nodes: int = NODES,
        connections: int = CONNECTIONS,
        restores: bool = False,
    ) -> None:
        """Prepare a run; the seed determines all random choices."""
        self.nodes = nodes
        self.restores = restores
        self.seed = seed
        self.random = random.Random(seed)
        self.fault_s = fault_s
        self.folder = folder
        self.store = ObjectStoreStandIn(seed)
        self.group = ServerGroup("books", ZONES, connection_limit=connections)
        self.vms: list[EntryVm] = []
        self.server_links: dict[str, FaultyLink] = {}
        self.attempts: list[Attempt] = []
        self.history: list[str] = []
        self.version = 7
        self._server_lock = asyncio.Lock()
        self._started_s = time.monotonic()
        self._is_over = False

    async def run(self) -> list[str]:
        """Run the soak and return every violation of a guarantee.

        Returns:
            A line for each; empty if there was none.
        """
        try:
            await self._start()
            callers = [
                asyncio.create_task(
                    self._run_caller(random.Random(self.seed * 100 + number))
                )
                for number in range(CALLERS)
            ]
            supervisor = asyncio.create_task(self._supervise())
            await self._run_scenario()
            broken = await self._check_recovery()
            supervisor.cancel()
            self._is_over = True
            await asyncio.gather(*callers)
            await asyncio.sleep(0.1)
            primary = self._find_primary()
            return broken + find_broken_promises(
                self.attempts, self.group.executed_statements, primary.log
            )
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self.store.start()
        await self.group.start()
        for server in self.group.servers:
            link = FaultyLink("127.0.0.1", server.port)
            await link.start()
            self.server_links[server.server_id] = link
            server.public_port = link.port
        self.store.register_group(self.group)
        await self.put_configuration()
        for number in range(self.nodes):
            vm = EntryVm(number, self.store, self.folder)
            self.vms.append(vm)
            await vm.start()
        await self._wait_until_all_writable(START_LIMIT_S)

    async def put_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += self.random.randint(1, 4)
        await put_configuration(self.store, self.group, self.version)

    async def _stop(self) -> None:
        self._is_over = True
        for vm in self.vms:
            vm.stop()
            await vm.link.stop()
        for link in self.server_links.values():
            await link.stop()
        await self.group.stop()
        await self.store.stop()

    def _find_primary(self) -> LineServer:
        """Return the primary of the highest term."""
        leading = [server for server in self.group.servers if server.is_primary]
        return max(leading or self.group.servers, key=lambda server: server.term)

    async def _restore_store(self, ends_s: float) -> None:
        """Have the store come back from older copies until the faults end.

        The choices are drawn apart from those of the other faults, so that a seed means
        the same with and without restores.
        """
        generator = random.Random(self.seed + 1)
        self.store.start_copying(COPY_INTERVAL_S)
        while True:
            await asyncio.sleep(generator.uniform(*RESTORE_INTERVAL_S))
            if time.monotonic() > ends_s:
                return
            age_s = generator.uniform(*COPY_AGE_S)
            self._record_event(f"the store goes back {age_s:.1f} s")
            self.store.faults.down = True
            await asyncio.sleep(generator.uniform(0.0, 1.5))
            await self.store.restore(age_s)
            self.store.faults.down = False
            await asyncio.sleep(generator.uniform(0.0, 1.0))
            await put_configuration(self.store, self.group, self.version)

    async def _run_scenario(self) -> None:
        running = []
        ends_s = time.monotonic() + self.fault_s
        if self.restores:
            running.append(asyncio.create_task(self._restore_store(ends_s)))
        while time.monotonic() < ends_s:
            name = self.random.choice(sorted(_faults))
            running.append(asyncio.create_task(self._run_fault(name)))
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_S))
        await asyncio.gather(*running)

    async def _supervise(self) -> None:
        """Restart processes that ended without a fault, as the platform does.

        A signal that arrives before a process has installed its handlers ends it.
        """
        while True:
            for vm in self.vms:
                if vm.process.is_running or not vm.claim():
                    continue
                self._record_event(f"vm-{vm.number} ended by itself and is restarted")
                await vm.restart_after(RESTART_DELAY_S)
            await asyncio.sleep(RESTART_DELAY_S)

    async def _run_fault(self, name: str) -> None:
        self._record_event(f"{name} begins")
        await _faults[name](self)
        self._record_event(f"{name} is over")

    def _record_event(self, text: str) -> None:
        self.history.append(f"{time.monotonic() - self._started_s:8.3f} {text}")

    def draw_duration_s(self) -> float:
        """Draw the duration of a fault in seconds."""
        return self.random.uniform(*FAULT_DURATION_S)

    def draw_vm(self) -> EntryVm:
        """Draw an entry VM."""
        return self.random.choice(self.vms)

    async def inject_server_fault(
        self, apply_fault: Callable[[LineServer], Awaitable[None]]
    ) -> None:
        """Inject a fault into a random server, with at most one server fault at a time.

        Args:
            apply_fault: Injects the fault and returns when the fault is over.
        """
        async with self._server_lock:
            server = self.random.choice(self.group.servers)
            self._record_event(
                f"server fault at {server.server_id}, primary: {server.is_primary}"
            )
            await apply_fault(server)
            await asyncio.sleep(SERVER_FAULT_PAUSE_S)

    async def _check_recovery(self) -> list[str]:
        self._record_event("healed")
        try:
            await self._wait_until_all_writable(RECOVERY_LIMIT_S)
        except TimeoutError as error:
            return [f"RECOVER: {error}"]
        self._record_event("recovered")
        return []

    async def _wait_until_all_writable(self, limit_s: float) -> None:
        deadline_s = time.monotonic() + limit_s
        for vm in self.vms:
            while not await self._can_write(vm):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"vm-{vm.number} does not accept writes")
                await asyncio.sleep(0.1)

    async def _can_write(self, vm: EntryVm) -> bool:
        generator = random.Random(self.random.random())
        attempt = Attempt("main-db", 0.0, time.monotonic())
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                client = await LineClient.connect(
                    vm.callers_port, "main-db", host=vm.host
                )
                answer = await self._send(client, attempt, _write(generator))
                client.close()
        except (OSError, TimeoutError):
            answer = None
        self._finish_attempt(attempt, answer)
        return attempt.is_acknowledged

    async def _run_caller(self, generator: random.Random) -> None:
        while not self._is_over:
            vm = generator.choice(self.vms)
            database = generator.choice(sorted(MAX_AGE_S_BY_DATABASE))
            try:
                async with asyncio.timeout(CALLER_LIMIT_S):
                    client = await LineClient.connect(
                        vm.callers_port, database, host=vm.host
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(generator.uniform(0.05, 0.3))
                continue
            await self._run_session(generator, client, database)
            client.close()

    async def _run_session(
        self, generator: random.Random, client: LineClient, database: str
    ) -> None:
        """Send requests until the session ends or its state becomes unknown."""
        own_writes: tuple[str, ...] = ()
        values: dict[str, str] = {}
        for _ in range(generator.randint(1, 60)):
            if self._is_over:
                return
            attempt = Attempt(
                database,
                MAX_AGE_S_BY_DATABASE[database],
                time.monotonic(),
                own_writes=own_writes if database == "own-db" else (),
            )
            try:
                if generator.random() < 0.2:
                    name = generator.choice(("tz", "lang"))
                    value = f"v{generator.randint(0, 9)}"
                    answer = await self._await_answer(
                        client.query(f"SET {name} {value}")
                    )
                    if answer.error:
                        return
                    values[name] = value
                    continue
                attempt.values = tuple(sorted(values.items()))
                answer = await self._run_operation(generator, client, attempt)
            except (OSError, TimeoutError):
                self._finish_attempt(attempt, None)
                return
            self._finish_attempt(attempt, answer)
            if answer.state != "I":
                return
            if attempt.is_acknowledged:
                own_writes = (*own_writes, *attempt.writes)
            await asyncio.sleep(generator.uniform(0.0, 0.1))

    async def _run_operation(
        self, generator: random.Random, client: LineClient, attempt: Attempt
    ) -> LineAnswer:
        if generator.random() < 0.75:
            statement = _write if generator.random() < 0.3 else _read
            return await self._send(client, attempt, statement(generator))
        is_read_only = generator.random() < 0.3
        answer = await self._await_answer(
            client.query("BEGIN READ" if is_read_only else "BEGIN")
        )
        for _ in range(generator.randint(1, 4)):
            if answer.error:
                break
            is_write = not is_read_only and generator.random() < 0.5
            statement = _write if is_write else _read
            answer = await self._send(client, attempt, statement(generator))
            await asyncio.sleep(generator.uniform(0.0, 0.05))
        if answer.error:
            if answer.state == "E":
                ending = await self._await_answer(client.query("ROLLBACK"))
                return LineAnswer((), "", answer.error, "", ending.state)
            return answer
        if generator.random() < 0.2:
            answer = await self._await_answer(client.query("ROLLBACK"))
            attempt.writes.clear()
            return answer
        return await self._await_answer(client.query("COMMIT"))

    async def _send(
        self, client: LineClient, attempt: Attempt, text: str
    ) -> LineAnswer:
        request_id = client.next_id()
        attempt.texts_by_request[request_id] = text
        if text.startswith("WRITE"):
            attempt.writes.append(request_id)
        self._record_attempt(attempt)
        answer = await self._await_answer(client.send(request_id, text))
        if text.startswith("READ") and not answer.error:
            attempt.answers[request_id] = (answer.receipt, answer.rows)
        return answer

    def _record_attempt(self, attempt: Attempt) -> None:
        if not self.attempts or self.attempts[-1] is not attempt:
            self.attempts.append(attempt)

    async def _await_answer(self, answer: Awaitable[LineAnswer]) -> LineAnswer:
        async with asyncio.timeout(CALLER_LIMIT_S):
            return await answer

    def _finish_attempt(self, attempt: Attempt, answer: LineAnswer | None) -> None:
        if answer is None:
            attempt.outcome = "NO ANSWER"
            return
        attempt.outcome = answer.error
        attempt.ended_s = time.monotonic()


def _read(generator: random.Random) -> str:
    return f"READ k{generator.randint(0, 5)}"


def _write(generator: random.Random) -> str:
    return f"WRITE k{generator.randint(0, 5)} {generator.getrandbits(40):x}"


@fault
async def kill_vm(soak: Soak) -> None:
    """Kill a process and restart it after a delay."""
    vm = soak.draw_vm()
    delay_s = soak.random.uniform(0.2, 1.5)
    if vm.claim():
        vm.process.kill()
        await vm.restart_after(delay_s)


@fault
async def kill_all_vms(soak: Soak) -> None:
    """Kill all processes at once and restart each after a delay."""
    claimed_vms = [vm for vm in soak.vms if vm.claim()]
    for vm in claimed_vms:
        vm.process.kill()
    await asyncio.gather(
        *(vm.restart_after(soak.random.uniform(0.2, 1.0)) for vm in claimed_vms)
    )


@fault
async def stop_vm(soak: Soak) -> None:
    """Stop a process gracefully and restart it."""
    vm = soak.draw_vm()
    if vm.claim():
        await asyncio.to_thread(vm.process.terminate, 8.0)
        await vm.restart_after(RESTART_DELAY_S)


@fault
async def suspend_vm(soak: Soak) -> None:
    """Suspend a process with SIGSTOP for the duration of the fault."""
    vm = soak.draw_vm()
    vm.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.draw_duration_s())
    vm.process.send_signal(signal.SIGCONT)


@fault
async def reload_vm(soak: Soak) -> None:
    """Make a process reload its settings file."""
    soak.draw_vm().process.send_signal(signal.SIGHUP)


@fault
async def harm_store_link(soak: Soak) -> None:
    """Inject a fault into one entry VM's link to the platform."""
    await inject_link_fault(soak, soak.draw_vm().link)


async def inject_link_fault(soak: Soak, link: FaultyLink) -> None:
    """Inject a random fault into a link for a random duration."""
    link.set_fault(soak.random.choice([kind for kind in LinkFault if kind != "none"]))
    await asyncio.sleep(soak.draw_duration_s())
    link.set_fault(LinkFault.NONE)


@fault
async def store_down(soak: Soak) -> None:
    """Make the store refuse all calls."""
    soak.store.faults.down = True
    await asyncio.sleep(soak.draw_duration_s())
    soak.store.faults.down = False


@fault
async def store_loses_answers(soak: Soak) -> None:
    """Make the store lose the responses of some changes that it has applied."""
    soak.store.faults.lose_response_probability = 0.4
    await asyncio.sleep(soak.draw_duration_s())
    soak.store.faults.lose_response_probability = 0.0


@fault
async def store_is_slow(soak: Soak) -> None:
    """Delay all responses of the store."""
    soak.store.faults.delay_s = 0.2
    await asyncio.sleep(soak.draw_duration_s())
    soak.store.faults.delay_s = 0.0


@fault
async def store_forgets(soak: Soak) -> None:
    """Discard the change history of the store."""
    await soak.store.compact_history()


@fault
async def change_configuration(soak: Soak) -> None:
    """Write new versions of the configuration in quick succession."""
    for _ in range(soak.random.randint(1, 4)):
        await soak.put_configuration()
        await asyncio.sleep(0.05)


@fault
async def harm_server_link(soak: Soak) -> None:
    """Inject a fault into the link to one server."""
    await soak.inject_server_fault(
        lambda server: inject_link_fault(soak, soak.server_links[server.server_id])
    )


@fault
async def crash_server(soak: Soak) -> None:
    """Crash a server and restart it with its log."""

    async def apply_fault(server: LineServer) -> None:
        await server.stop()
        await asyncio.sleep(soak.draw_duration_s())
        await server.restart()

    await soak.inject_server_fault(apply_fault)


@fault
async def empty_server(soak: Soak) -> None:
    """Crash a server and restart it without data under the same id."""

    async def apply_fault(server: LineServer) -> None:
        await server.stop()
        await asyncio.sleep(soak.draw_duration_s())
        await server.restart_empty()
        soak.group.catch_up(server)

    await soak.inject_server_fault(apply_fault)


@fault
async def silence_server(soak: Soak) -> None:
    """Make a server stop responding for the duration of the fault."""

    async def apply_fault(server: LineServer) -> None:
        server.faults.silent = True
        await asyncio.sleep(soak.draw_duration_s())
        server.faults.silent = False

    await soak.inject_server_fault(apply_fault)


@fault
async def lose_server_answers(soak: Soak) -> None:
    """Make a server execute a few statements without sending the response."""
    soak.random.choice(soak.group.servers).faults.lose_responses += 3


@fault
async def refuse_own_statements(soak: Soak) -> None:
    """Make a server reject some of the proxy's own statements."""
    soak.random.choice(soak.group.servers).faults.reject_proxy_statements += 2


@fault
async def starve_replica(soak: Soak) -> None:
    """Interrupt replication to a server for the duration of the fault."""

    async def apply_fault(server: LineServer) -> None:
        soak.group.unreachable_replica_ids.add(server.server_id)
        await asyncio.sleep(soak.draw_duration_s())
        soak.group.unreachable_replica_ids.discard(server.server_id)
        soak.group.catch_up(server)

    await soak.inject_server_fault(apply_fault)


async def run_seed(
    seed: int,
    fault_s: float,
    keep: Path | None = None,
    nodes: int = NODES,
    connections: int = CONNECTIONS,
    restores: bool = False,
) -> list[str]:
    """Run one seed, and keep the logs if a guarantee was violated.

    Args:
        seed: Determines all random choices; timing still differs between runs.
        fault_s: Duration of the fault injection in seconds.
        keep: Folder for the logs of failed runs, or None.
        nodes: Number of entry VMs.
        connections: Connection limit of each server.
        restores: Whether the store comes back from older copies meanwhile.

    Returns:
        A line for every violation of a guarantee.
    """
    with tempfile.TemporaryDirectory(prefix="pollencleat-soak-") as folder:
        soak = Soak(seed, fault_s, Path(folder), nodes, connections, restores)
        broken = await soak.run()
        if broken and keep is not None:
            target = keep / f"seed-{seed}"
            target.mkdir(parents=True, exist_ok=True)
            (target / "history").write_text("\n".join([*soak.history, *broken, ""]))
            for path in Path(folder).iterdir():
                (target / path.name).write_bytes(path.read_bytes())
        return broken


@click.command()
@click.option("--seed", default=None, type=int, help="One seed.")
@click.option("--seeds", default=1, type=int, help="Number of seeds.")
@click.option("--seconds", default=12.0, help="Seconds of faults in each run.")
@click.option("--jobs", default=1, help="Runs at the same time.")
@click.option("--keep", default=None, type=Path, help="Folder for logs of failures.")
@click.option("--nodes", default=NODES, help="Entry VMs.")
@click.option("--connections", default=CONNECTIONS, help="Connections of a server.")
@click.option("--restores", is_flag=True, help="The store goes back to older copies.")
def main(
    seed: int | None,
    seeds: int,
    seconds: float,
    jobs: int,
    keep: Path | None,
    nodes: int,
    connections: int,
    restores: bool,
) -> None:
    """Run the soak; exits with 1 if a guarantee was violated."""
    first_seed = seed if seed is not None else random.SystemRandom().randrange(1 << 30)

    async def run_one(number: int) -> list[str]:
        return await run_seed(number, seconds, keep, nodes, connections, restores)

    asyncio.run(_run_seeds(range(first_seed, first_seed + seeds), jobs, run_one))


async def _run_seeds(
    seeds: range, jobs: int, run_one_seed: Callable[[int], Awaitable[list[str]]]
) -> None:
    semaphore = asyncio.Semaphore(jobs)
    failed = []

    async def run_one(seed: int) -> None:
        async with semaphore:
            broken = await run_one_seed(seed)
        click.echo(f"seed {seed}: {'; '.join(broken[:5]) or 'all promises held'}")
        if broken:
            failed.append(seed)

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    click.echo(f"{len(seeds)} seeds, {len(failed)} with a broken promise: {failed}")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
