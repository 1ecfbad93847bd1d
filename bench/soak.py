"""A randomized soak test of the real daemon, with faults injected from outside.

Each entry VM is a separate daemon process.  The platform's store and the servers are
stand-ins in this process.  Each server and each entry VM's connection to the store has
a link that can fail.  Faults are drawn from a seed and overlap, while callers keep
using their connections.  After the last fault, bench/soak_checks.py compares the
histories of callers and servers.  The faults are in bench/soak_faults.py.  With
departures, servers also leave for good and replicas receive nothing for a while.  A
planned run has only planned work: no request may then end without an answer.  With
stutter, servers also send answers again, refuse statements and split their answers, and
callers use any text and every kind of statement (bench/soak_sessions.py).

The daemon keeps no files and makes no decision by the time of day, so there are no
disk or clock faults.  A stopped process simulates a suspended machine.  The links
between entry VMs have no faults.

Run by hand: ``python -m bench.soak --seeds 50 --jobs 2``.
"""

import asyncio
import json
import os
import random
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import click

from bench.platform_cluster import ZONES, LineAnswer, LineClient, put_configuration
from bench.processes import Process
from bench.soak_checks import (
    EMPTY_CONTEXT,
    Attempt,
    Context,
    Observations,
    PlainAnswer,
    Unanswered,
    find_broken_promises,
    find_unanswered_requests,
)
from bench.soak_faults import (
    DEPARTURE_FAULTS,
    DEPARTURE_INTERVAL_S,
    FAULT_DURATION_S,
    FAULT_INTERVAL_S,
    FAULTS,
    PLANNED_FAULTS,
    REFUSAL_FAULTS,
    RESTART_DELAY_S,
    SERVER_FAULT_PAUSE_S,
    STUTTER_FAULTS,
    STUTTER_INTERVAL_S,
    Fault,
)
from bench.soak_sessions import SoakSession
from standins.faulty_link import FaultyLink
from standins.line_server import LineServer, ServerGroup
from standins.object_store import ObjectStoreStandIn

NODES = 3
CONNECTIONS = 30
"""Connection limit of a server.  In runs with more nodes and a lower limit, only the
gateways hold server connections, and other nodes lease them."""

CALLERS = 9
STUTTER_CALLERS = 18
CALLER_LIMIT_S = 3.0
"""Timeout of a caller's request; the routes' own timeout is 1 s."""

START_LIMIT_S = 20.0
RECOVERY_LIMIT_S = 20.0
"""Time after the last fault within which every entry VM must accept writes again: 12 s
by the users' requirements, plus the start of a process on a busy machine."""

MAX_AGE_S_BY_DATABASE = {"main-db": 0.0, "old-db": 1.5, "own-db": 2.5}
"""Maximum staleness in seconds of the routes in bench/platform_cluster.py."""

COPY_INTERVAL_S = 0.25
"""Seconds between two copies of the store."""

COPY_AGE_S = (0.3, 5.0)
"""Range of the least age in seconds of the copy that the store comes back from."""

RESTORE_INTERVAL_S = (0.5, 5.0)
"""Range of the seconds between two restores."""

ADDRESS_FREE_AFTER_S = 2.0
"""Seconds after which the address of a server that has left may be used again."""

ADDRESS_REUSE_PROBABILITY = 0.5

CALLER_PAUSE_S = 0.1
"""Longest pause in seconds of a session between two operations."""

STATEMENT_PAUSE_S = 0.05
"""Longest pause in seconds between two statements of a transaction."""

PLANNED_CALLER_PAUSES_S = (0.02, 0.1, 0.6)
PLANNED_STATEMENT_PAUSES_S = (0.02, 0.4)
PLANNED_STATEMENT_DURATIONS_S = (0.001, 0.02, 0.15)
"""Values in seconds that a session or the group of a planned run draws from."""

SETTLE_LIMIT_S = 12.0
"""Seconds that a restarted process has until it accepts writes in a planned run."""

STATEMENTS_WITH_RECEIPT = ("READ", "WRITE", "EXECUTE", "COMMIT")
"""First words of statements whose success carries a receipt."""

GRACE_S = 6
"""Grace period in seconds of a process that is stopped."""


DAEMON_MODULE = "pollencleat.daemon"


@dataclass(frozen=True)
class Options:
    """What a run is made of.

    Attributes:
        nodes: Number of entry VMs.
        connections: Connection limit of each server.
        restores: Whether the store comes back from older copies meanwhile.
        departures: Whether servers leave and replicas receive nothing meanwhile.
        planned: Whether there is only planned work in place of the faults.
        calm: Whether there are no other faults beside restores, departures and stutter.
        stutter: Whether servers send answers again and refuse statements meanwhile.
    """

    nodes: int = NODES
    connections: int = CONNECTIONS
    restores: bool = False
    departures: bool = False
    planned: bool = False
    calm: bool = False
    stutter: bool = False


DEFAULT_OPTIONS = Options()


class EntryVm:
    """One daemon process and its link to the platform."""

    def __init__(
        self,
        number: int,
        store: ObjectStoreStandIn,
        folder: Path,
        module: str = DAEMON_MODULE,
    ) -> None:
        """Create the link to the platform; start() runs the module of the daemon."""
        host, _, port = store.address.rpartition(":")
        self.link = FaultyLink(host, int(port))
        self.number = number
        self.callers_port = 0
        self._folder = folder
        self._module = module
        self._settings_path = folder / f"vm-{number}.json"
        self.process: Process | None = None
        self.is_claimed = False

    async def start(self) -> None:
        """Start the link, write the settings file and start the process."""
        await self.link.start()
        ip = f"127.0.{os.getpid() % 200 + 1}.{self.number + 1}"
        ports = [_find_free_port(ip) for _ in range(4)]
        self.host, self.callers_port = ip, ports[0]
        first_internal_port = ports[2]
        self._settings = {
            "node_name": f"vm-{self.number}",
            "ip": ip,
            "zone": ZONES[self.number % len(ZONES)],
            "listen_addresses": {
                "frontend_address": f"{ip}:{ports[0]}",
                "ready": f"{ip}:{ports[1]}",
            },
            "internal_port_range": [first_internal_port, first_internal_port + 15],
            "bounds": {"grace_period_s": GRACE_S},
            "platform": {"address": self.link.address},
            "cloud_api": {"address": self.link.address},
        }
        self.write_settings()
        self.process = Process(
            f"vm-{self.number}",
            [self._module, "--on-platform"],
            self._folder,
            {"POLLENCLEAT_BOOT": str(self._settings_path)},
        )

    def write_settings(self, grace_s: int = GRACE_S) -> None:
        """Write the settings file, with a grace period in seconds."""
        self._settings["bounds"]["grace_period_s"] = grace_s
        self._settings_path.write_text(json.dumps(self._settings))

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
    """One soak run, with its stand-ins, entry VMs and recorded history.

    Attributes:
        daemon_module: Module that the entry VMs run.
        lines: Requests and answers of servers and callers, in runs with stutter.
        unknown_names: Statements answered with UNKNOWN although their name was valid.
    """

    daemon_module = DAEMON_MODULE

    def __init__(
        self,
        seed: int,
        fault_s: float,
        folder: Path,
        options: Options = DEFAULT_OPTIONS,
    ) -> None:
        """Prepare a run; the seed determines all random choices."""
        self.options = options
        self.seed = seed
        self.random = random.Random(seed)
        self.departures_random = random.Random(seed + 2)
        self.stutter_random = random.Random(seed + 3)
        self.fault_s = fault_s
        self.folder = folder
        self.store = ObjectStoreStandIn(seed)
        self.group = ServerGroup("books", ZONES, connection_limit=options.connections)
        self.group.record_event = self.record_event
        if options.stutter:
            self.group.random = random.Random(seed + 4)
            self.group.record_line = self._record_line
        self.vms: list[EntryVm] = []
        self.server_links: dict[str, FaultyLink] = {}
        self.attempts: list[Attempt] = []
        self.unanswered: list[Unanswered] = []
        self.plain_answers: list[PlainAnswer] = []
        self.stray_answers: list[bytes] = []
        self.unknown_names: list[str] = []
        self.unclean_stops: list[str] = []
        self.history: list[str] = []
        self.lines: list[str] = []
        self.version = 7
        self.server_lock = asyncio.Lock()
        self.release_lock = asyncio.Lock()
        self.starve_lock = asyncio.Lock()
        self._free_addresses: list[tuple[float, LineServer]] = []
        self._added_servers = 0
        self._started_s = time.monotonic()
        self.is_over = False

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
                for number in range(
                    STUTTER_CALLERS if self.options.stutter else CALLERS
                )
            ]
            supervisor = asyncio.create_task(self._supervise())
            await self._run_scenario()
            broken = await self._check_recovery()
            supervisor.cancel()
            self.is_over = True
            await asyncio.gather(*callers)
            await asyncio.sleep(0.1)
            broken += find_broken_promises(
                self.attempts,
                self.group.executed_statements,
                self.find_primary().log,
                Observations(
                    tuple(self.group.executed_commits),
                    tuple(self.group.malformed_lines),
                    tuple(self.plain_answers),
                    tuple(self.stray_answers),
                    tuple(self.unknown_names),
                ),
            )
            if self.options.planned:
                broken += self.unclean_stops
                broken += find_unanswered_requests(
                    self.unanswered, self.group.received_request_ids
                )
            return broken
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self.store.start()
        await self.group.start()
        for server in self.group.servers:
            await self._start_server_link(server)
        if self.options.planned:
            self.group.statement_duration_s = self.random.choice(
                PLANNED_STATEMENT_DURATIONS_S
            )
        if self.options.stutter:
            for server in self.group.servers:
                server.faults.fails_transactions = self.stutter_random.random() < 0.5
        self.store.register_group(self.group)
        await self.put_configuration()
        for number in range(self.options.nodes):
            vm = EntryVm(number, self.store, self.folder, self.daemon_module)
            self.vms.append(vm)
            await vm.start()
        await self._wait_until_all_writable(START_LIMIT_S)

    async def _start_server_link(self, server: LineServer) -> None:
        link = FaultyLink("127.0.0.1", server.port)
        await link.start()
        self.server_links[server.server_id] = link
        server.public_port = link.port

    async def add_server(self, zone: str) -> LineServer:
        """Start a further server, at times at the address of one that has left."""
        self._added_servers += 1
        server_id = f"{self.group.name}-new-{self._added_servers}"
        reuse = self.departures_random.random() < ADDRESS_REUSE_PROBABILITY
        now_s = time.monotonic()
        if reuse and self._free_addresses and self._free_addresses[0][0] < now_s:
            _, former = self._free_addresses.pop(0)
            self.server_links[server_id] = self.server_links[former.server_id]
            server = await self.group.add_server(
                server_id, zone, former.port, former.public_port
            )
        else:
            server = await self.group.add_server(server_id, zone)
            await self._start_server_link(server)
        self.record_event(f"{server_id} has started at port {server.public_port}")
        return server

    async def remove_server(self, server: LineServer) -> None:
        """End a server for good; its address is free a while later."""
        self.record_event(f"{server.server_id} ends, log at {server.received()}")
        await self.group.remove_server(server)
        self._free_addresses.append((time.monotonic() + ADDRESS_FREE_AFTER_S, server))

    async def put_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += self.random.randint(1, 4)
        await put_configuration(self.store, self.group, self.version)

    async def _stop(self) -> None:
        self.is_over = True
        for vm in self.vms:
            vm.stop()
            await vm.link.stop()
        for link in self.server_links.values():
            await link.stop()
        await self.group.stop()
        await self.store.stop()

    def find_primary(self) -> LineServer:
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
            self.record_event(f"the store goes back {age_s:.1f} s")
            self.store.faults.down = True
            await asyncio.sleep(generator.uniform(0.0, 1.5))
            await self.store.restore(age_s)
            self.store.faults.down = False
            await asyncio.sleep(generator.uniform(0.0, 1.0))
            await put_configuration(self.store, self.group, self.version)

    async def _run_scenario(self) -> None:
        ends_s = time.monotonic() + self.fault_s
        series = []
        if self.options.restores:
            series.append(self._restore_store(ends_s))
        if self.options.departures:
            series.append(
                self._run_faults(
                    DEPARTURE_FAULTS,
                    self.departures_random,
                    DEPARTURE_INTERVAL_S,
                    ends_s,
                )
            )
        if self.options.stutter:
            series += [
                self._run_faults(faults, generator, STUTTER_INTERVAL_S, ends_s)
                for faults, generator in (
                    (STUTTER_FAULTS, self.stutter_random),
                    (REFUSAL_FAULTS, random.Random(self.seed + 5)),
                )
            ]
        if not self.options.calm:
            faults = PLANNED_FAULTS if self.options.planned else FAULTS
            series.append(
                self._run_faults(faults, self.random, FAULT_INTERVAL_S, ends_s)
            )
        await asyncio.gather(*series)

    async def _run_faults(
        self,
        faults: dict[str, Fault],
        generator: random.Random,
        interval_s: tuple[float, float],
        ends_s: float,
    ) -> None:
        """Start faults until a time, and wait until all are over."""
        running = []
        while time.monotonic() < ends_s:
            name = generator.choice(sorted(faults))
            running.append(asyncio.create_task(self._run_fault(name, faults[name])))
            await asyncio.sleep(generator.uniform(*interval_s))
        await asyncio.gather(*running)

    async def _supervise(self) -> None:
        """Restart processes that ended without a fault, as the platform does.

        A signal that arrives before a process has installed its handlers ends it.
        """
        while True:
            for vm in self.vms:
                if vm.process.is_running or not vm.claim():
                    continue
                self.record_event(f"vm-{vm.number} ended by itself and is restarted")
                await vm.restart_after(RESTART_DELAY_S)
            await asyncio.sleep(RESTART_DELAY_S)

    async def _run_fault(self, name: str, fault: Fault) -> None:
        self.record_event(f"{name} begins")
        await fault(self)
        self.record_event(f"{name} is over")

    def record_event(self, text: str) -> None:
        """Add a line to the history, which is kept with the logs of a failed run."""
        self.history.append(f"{time.monotonic() - self._started_s:8.3f} {text}")

    def describe_activity(self) -> str:
        """Return how much was asked, answered and answered a second time."""
        acknowledged = sum(attempt.is_acknowledged for attempt in self.attempts)
        answers = sum(
            len(attempt.answers) + len(attempt.write_answers)
            for attempt in self.attempts
        )
        return (
            f"{acknowledged} of {len(self.attempts)} attempts acknowledged, {answers} "
            f"successes with a receipt, {len(self.plain_answers)} without, "
            f"{self.group.second_answers} second answers"
        )

    def _record_line(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self._started_s:8.3f} {text}")

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
        async with self.server_lock:
            server = self.random.choice(self.group.servers)
            self.record_event(
                f"server fault at {server.server_id}, primary: {server.is_primary}"
            )
            await apply_fault(server)
            await asyncio.sleep(SERVER_FAULT_PAUSE_S)

    async def _check_recovery(self) -> list[str]:
        self.record_event("healed")
        try:
            await self._wait_until_all_writable(RECOVERY_LIMIT_S)
        except TimeoutError as error:
            return [f"RECOVER: {error}"]
        self.record_event("recovered")
        return []

    async def _wait_until_all_writable(self, limit_s: float) -> None:
        deadline_s = time.monotonic() + limit_s
        for vm in self.vms:
            while not await self._can_write(vm):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"vm-{vm.number} does not accept writes")
                await asyncio.sleep(0.1)

    async def wait_until_settled(self, vm: EntryVm) -> None:
        """Wait until a process that was restarted accepts writes, or for a while."""
        deadline_s = time.monotonic() + SETTLE_LIMIT_S
        while time.monotonic() < deadline_s and not await self._can_write(vm):
            await asyncio.sleep(RESTART_DELAY_S)

    async def _can_write(self, vm: EntryVm) -> bool:
        generator = random.Random(self.random.random())
        attempt = Attempt("main-db", 0.0, time.monotonic())
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                client = await LineClient.connect(
                    vm.callers_port, "main-db", host=vm.host
                )
                answer = await self.send(client, attempt, _write(generator))
                client.close()
        except (OSError, TimeoutError):
            answer = None
        self.finish_attempt(attempt, answer)
        return attempt.is_acknowledged

    async def _run_caller(self, generator: random.Random) -> None:
        while not self.is_over:
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
            if self.options.stutter:
                client.segments = generator
                max_age_s = MAX_AGE_S_BY_DATABASE[database]
                session = SoakSession(self, generator, client, database, max_age_s)
                await session.run()
            else:
                await self._run_session(generator, client, database)
            client.close()

    async def _run_session(
        self, generator: random.Random, client: LineClient, database: str
    ) -> None:
        """Send requests until the session ends or its state becomes unknown."""
        own_writes: tuple[str, ...] = ()
        values: dict[str, str] = {}
        pause_s = CALLER_PAUSE_S
        if self.options.planned:
            pause_s = generator.choice(PLANNED_CALLER_PAUSES_S)
        for _ in range(generator.randint(1, 60)):
            if self.is_over:
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
                    answer = await self.ask(client, f"SET {name} {value}")
                    if answer.error:
                        return
                    values[name] = value
                    continue
                context = Context(tuple(sorted(values.items())))
                answer = await self._run_operation(generator, client, attempt, context)
            except (OSError, TimeoutError):
                self.finish_attempt(attempt, None)
                return
            self.finish_attempt(attempt, answer)
            if answer.state != "I":
                return
            if attempt.is_acknowledged:
                own_writes = (*own_writes, *attempt.writes)
            await asyncio.sleep(generator.uniform(0.0, pause_s))

    async def _run_operation(
        self,
        generator: random.Random,
        client: LineClient,
        attempt: Attempt,
        context: Context,
    ) -> LineAnswer:
        if generator.random() < 0.75:
            statement = _write if generator.random() < 0.3 else _read
            return await self.send(client, attempt, statement(generator), context)
        attempt.is_transaction = True
        is_read_only = generator.random() < 0.3
        pause_s = STATEMENT_PAUSE_S
        if self.options.planned:
            pause_s = generator.choice(PLANNED_STATEMENT_PAUSES_S)
        answer = await self.ask(client, "BEGIN READ" if is_read_only else "BEGIN")
        for _ in range(generator.randint(1, 4)):
            if answer.error:
                break
            is_write = not is_read_only and generator.random() < 0.5
            statement = _write if is_write else _read
            answer = await self.send(client, attempt, statement(generator), context)
            await asyncio.sleep(generator.uniform(0.0, pause_s))
        if answer.error:
            if answer.state == "E":
                ending = await self.ask(client, "ROLLBACK")
                return LineAnswer((), "", answer.error, "", ending.state)
            return answer
        if generator.random() < 0.2:
            return await self.roll_back(client, attempt)
        return await self.send(client, attempt, "COMMIT", context)

    async def roll_back(self, client: LineClient, attempt: Attempt) -> LineAnswer:
        """Roll a transaction back; nothing of it may be kept after a success."""
        answer = await self.ask(client, "ROLLBACK")
        if not answer.error:
            attempt.rolled_back_writes = tuple(attempt.writes)
        attempt.writes.clear()
        return answer

    async def send(
        self,
        client: LineClient,
        attempt: Attempt,
        text: str,
        context: Context = EMPTY_CONTEXT,
        access: str = "",
    ) -> LineAnswer:
        """Send a read, write or commit of an attempt.

        Args:
            client: The connection.
            attempt: What the statement belongs to; it records statement and answer.
            text: The statement.
            context: What the session has set up.
            access: READ or WRITE, or empty for the first word of the text.

        Returns:
            The answer.

        Raises:
            OSError: The connection broke.
            TimeoutError: No complete answer came within the caller's limit.
        """
        request_id = client.next_id()
        access = access or text.partition(" ")[0]
        if not attempt.texts_by_request:
            self.attempts.append(attempt)
        attempt.texts_by_request[request_id] = text
        attempt.contexts_by_request[request_id] = context
        if access == "WRITE":
            attempt.writes.append(request_id)
        answer = await self.ask(client, text, request_id)
        if not answer.error:
            answers = attempt.answers if access == "READ" else attempt.write_answers
            answers[request_id] = (answer.receipt, answer.rows)
        return answer

    async def ask(
        self, client: LineClient, text: str, request_id: str = ""
    ) -> LineAnswer:
        """Send a statement, and record it if no complete answer comes.

        Raises:
            OSError: The connection broke.
            TimeoutError: No complete answer came within the caller's limit.
        """
        request_id = request_id or client.next_id()
        self._record_stray_answers(client)
        sent_s = time.monotonic()
        answer = None
        if self.options.stutter:
            self._record_line(f"{client.name} sends {request_id} {text!r}")
        try:
            async with asyncio.timeout(CALLER_LIMIT_S):
                answer = await client.send(request_id, text)
            return answer
        finally:
            if self.options.stutter:
                self._record_line(f"{client.name} gets {answer}")
            # An answer without its last line has no state.
            if answer is None or not answer.state:
                waited_s = time.monotonic() - sent_s
                self.unanswered.append(Unanswered(request_id, text, waited_s))
                self.record_event(
                    f"no answer to {request_id} {text!r} after {waited_s:.3f} s"
                )
            elif not answer.error and not text.startswith(STATEMENTS_WITH_RECEIPT):
                self.plain_answers.append(
                    PlainAnswer(request_id, text, answer.receipt, answer.rows)
                )

    def _record_stray_answers(self, client: LineClient) -> None:
        """Record what answers no request; an error alone announces the end."""
        for line in client.peek_unread().split(b"\r\n"):
            if line and not line.startswith(b"ERROR "):
                self.stray_answers.append(line)

    def finish_attempt(self, attempt: Attempt, answer: LineAnswer | None) -> None:
        """Record the outcome of an attempt, which None leaves unknown."""
        if answer is None:
            attempt.outcome = "NO ANSWER"
            return
        attempt.outcome = answer.error
        attempt.ended_s = time.monotonic()


def _read(generator: random.Random) -> str:
    return f"READ k{generator.randint(0, 5)}"


def _write(generator: random.Random) -> str:
    return f"WRITE k{generator.randint(0, 5)} {generator.getrandbits(40):x}"


async def run_seed(
    seed: int,
    fault_s: float,
    keep: Path | None = None,
    options: Options = DEFAULT_OPTIONS,
) -> list[str]:
    """Run one seed, and keep the logs if a guarantee was violated.

    Args:
        seed: Determines all random choices; timing still differs between runs.
        fault_s: Duration of the fault injection in seconds.
        keep: Folder for the logs of failed runs, or None.
        options: What the run is made of.

    Returns:
        A line for every violation of a guarantee.
    """
    with tempfile.TemporaryDirectory(prefix="pollencleat-soak-") as folder:
        soak = Soak(seed, fault_s, Path(folder), options)
        try:
            broken = await soak.run()
        except TimeoutError as error:
            broken = [f"START: {error}"]
        if options.stutter:
            click.echo(f"seed {seed}: {soak.describe_activity()}")
        if broken and keep is not None:
            target = keep / f"seed-{seed}"
            target.mkdir(parents=True, exist_ok=True)
            (target / "history").write_text("\n".join([*soak.history, *broken, ""]))
            if soak.lines:
                (target / "lines").write_text("\n".join([*soak.lines, ""]))
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
@click.option("--departures", is_flag=True, help="Servers leave, replicas starve.")
@click.option("--planned", is_flag=True, help="Planned work only, all answered.")
@click.option("--calm", is_flag=True, help="No faults but those asked for.")
@click.option("--stutter", is_flag=True, help="Servers answer twice and refuse.")
def main(
    seed: int | None,
    seeds: int,
    seconds: float,
    jobs: int,
    keep: Path | None,
    **options: int | bool,
) -> None:
    """Run the soak; exits with 1 if a guarantee was violated."""
    first_seed = seed if seed is not None else random.SystemRandom().randrange(1 << 30)

    async def run_one(number: int) -> list[str]:
        return await run_seed(number, seconds, keep, Options(**options))

    asyncio.run(_run_seeds(range(first_seed, first_seed + seeds), jobs, run_one))


async def _run_seeds(
    seeds: range, jobs: int, run_one_seed: Callable[[int], Awaitable[list[str]]]
) -> None:
    semaphore = asyncio.Semaphore(jobs)
    failed = []

    async def run_one(seed: int) -> None:
        async with semaphore:
            broken = await run_one_seed(seed)
        kinds = Counter(line.partition(":")[0] for line in broken)
        counts = ", ".join(f"{kind} {count}" for kind, count in sorted(kinds.items()))
        text = "; ".join([counts, *broken[:5]]) if broken else "all promises held"
        click.echo(f"seed {seed}: {text}")
        if broken:
            failed.append(seed)

    await asyncio.gather(*(run_one(seed) for seed in seeds))
    click.echo(f"{len(seeds)} seeds, {len(failed)} with a broken promise: {failed}")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
