"""Planned stops of the real daemon under load: every request gets a true answer.

Each entry VM is a daemon process; the store and the servers are stand-ins in this
process.  Callers keep their sessions open until the entry VM ends them, and follow the
protocol to the letter: an error while no request is outstanding makes them leave, a
request that crosses it is answered by it.  Stops, reloads, configurations, slow servers
and short suspensions are drawn from a seed and overlap.

Run by hand: ``python -m bench.stops --seeds 20``.
"""

import asyncio
import json
import random
import signal
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click

from bench.platform_cluster import ZONES, LineClient, put_configuration
from bench.soak import EntryVm
from standins.line_server import ServerGroup
from standins.object_store import ObjectStoreStandIn

NODES = 3
CALLERS = 60
CONNECTIONS = 30
GRACE_S = 6.0
SLOW_STATEMENT_S = 0.12
START_LIMIT_S = 20.0
ANSWER_LIMIT_S = 4.0
"""Seconds after which a request counts as unanswered; the routes' time limit is 1 s."""

ROUNDS = 3
"""Rounds of stops in the short version for the tests."""

DRAIN_BEGINS_S = 2.2
"""Seconds from SIGTERM to the moment at which the daemon ends idle sessions."""

WITHOUT_EFFECT = frozenset({"BUSY", "ABORTED", "LAGGING", "READONLY", "TOOMANY"})
"""Errors that promise that nothing of the operation is kept."""


class SessionEndedError(Exception):
    """The session ended; no request of it is outstanding."""


class CutError(Exception):
    """The connection ended, or was silent, while a request was outstanding."""


@dataclass
class Write:
    """An operation that writes, with the outcome that its caller was told."""

    key: str
    outcome: str = "not finished"


@dataclass
class History:
    """What all callers saw.

    Attributes:
        answers: Answers by error code; empty for a success.
        ends: Ends of sessions, and of attempts to start one, by kind.
        broken: Broken promises.
    """

    answers: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    writes: list[Write] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


class Caller:
    """A caller with one session at a time."""

    def __init__(self, run: "StopRun", number: int) -> None:
        """Create a caller; its choices are drawn from the run's seed."""
        self._run = run
        self._history = run.history
        self.name = f"caller-{number}"
        self.random = random.Random(run.seed * 1000 + number)
        self._keys = 0
        self._requests = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Use sessions until the run is over."""
        while not self._run.is_over:
            vm = self.random.choice(self._run.vms)
            try:
                await self._start(vm)
                while not self._run.is_over:
                    await self._use_session()
            except SessionEndedError as error:
                self._history.ends[str(error)] += 1
            except OSError as error:
                self._history.ends[f"start: {type(error).__name__}"] += 1
                await asyncio.sleep(0.02)
            except CutError as error:
                self._history.broken.append(f"{self._run.now()} {vm.number} {error}")
            finally:
                if self._writer is not None:
                    self._writer.close()

    async def _start(self, vm: EntryVm) -> None:
        self._writer = None
        self._reader, self._writer = await asyncio.open_connection(
            vm.host, vm.callers_port, limit=2 << 20
        )
        database = self.random.choice(("main-db", "old-db", "own-db"))
        self._writer.write(f"STARTUP {database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self._reader.readline(), ANSWER_LIMIT_S)
        if not line.startswith(b"READY"):
            word = line.decode().split(" ")[:2]
            raise SessionEndedError("start: " + (" ".join(word).strip() or "closed"))

    async def _use_session(self) -> None:
        await self._pause(self.random.choice((0.0, 0.05, 0.2, 0.5, 1.0)))
        kind = self.random.random()
        if kind < 0.4:
            await self._request("READ k")
            return
        self._keys += 1
        write = Write(f"{self.name}-{self._keys}")
        self._history.writes.append(write)
        if kind < 0.75:
            write.outcome = await self._request(f"WRITE {write.key} once")
            return
        await self._run_transaction(write)

    async def _run_transaction(self, write: Write) -> None:
        statements = ["BEGIN", f"WRITE {write.key} once"]
        statements += ["READ k"] * self.random.randrange(0, 8)
        is_last_rollback = self.random.random() < 0.2
        statements.append("ROLLBACK" if is_last_rollback else "COMMIT")
        write.outcome = "ABORTED"
        for text in statements:
            if text == "COMMIT":
                write.outcome = "not finished"
            error = await self._request(text)
            if text == "COMMIT":
                write.outcome = error
            if error:
                # The state may be E or I; a caller ends a session outside I.
                raise SessionEndedError("left after an error in a transaction")
            if text != statements[-1]:
                await self._pause(self.random.choice((0.0, 0.1, 0.4)))

    async def _pause(self, seconds: float) -> None:
        """Wait; leave if the entry VM ends the session meanwhile."""
        try:
            async with asyncio.timeout(seconds):
                line = await self._reader.readline()
        except TimeoutError:
            return
        except ConnectionError as error:
            raise SessionEndedError("reset while idle") from error
        word = line.decode().split(" ")[0].strip()
        if word not in ("ERROR", ""):
            self._history.broken.append(f"{line!r} while no request was outstanding")
        raise SessionEndedError("told to leave" if word else "closed while idle")

    async def _request(self, text: str) -> str:
        """Send a request and return the error code of its answer, or empty."""
        self._requests += 1
        request_id = f"{self.name}.{self._requests}"
        error = ""
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while True:
                    line = (await self._reader.readline()).decode()
                    word, _, rest = line.partition(" ")
                    if word == "READY":
                        self._history.answers[error] += 1
                        return error
                    if word == "ERROR":
                        error = rest.split(" ")[0].strip()
                    if not word:
                        raise CutError(f"{request_id} {text}: closed {error}")
        except ConnectionError as lost:
            raise CutError(f"{request_id} {text}: {type(lost).__name__}") from lost
        except TimeoutError as timeout:
            raise CutError(f"{request_id} {text}: no answer") from timeout


class StopRun:
    """One run: entry VMs, callers and a plan of stops drawn from a seed."""

    def __init__(self, seed: int, rounds: int, folder: Path) -> None:
        """Prepare a run."""
        self.seed = seed
        self.rounds = rounds
        self.random = random.Random(seed)
        self.folder = folder
        self.store = ObjectStoreStandIn(seed)
        self.group = ServerGroup("books", ZONES, connection_limit=CONNECTIONS)
        self.vms: list[EntryVm] = []
        self.history = History()
        self.events: list[str] = []
        self.is_over = False
        self._version = 7
        self._started_s = time.monotonic()

    def now(self) -> str:
        """Return the seconds since the start, as text."""
        return f"{time.monotonic() - self._started_s:.3f}"

    async def run(self) -> list[str]:
        """Run and return every broken promise."""
        try:
            await self.start()
            callers = [Caller(self, number) for number in range(CALLERS)]
            tasks = [asyncio.create_task(caller.run()) for caller in callers]
            for _ in range(self.rounds):
                await self._run_round()
            self.is_over = True
            await asyncio.gather(*tasks)
            await asyncio.sleep(0.2)
            self._check_writes()
            self._check_logs()
            return self.history.broken
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Kill the processes and stop the stand-ins."""
        self.is_over = True
        for vm in self.vms:
            vm.stop()
            await vm.link.stop()
        await self.group.stop()
        await self.store.stop()

    async def start(self) -> None:
        """Start the stand-ins and the processes, and wait until they serve."""
        await self.store.start()
        await self.group.start()
        self.store.register_group(self.group)
        await self._configure()
        for number in range(NODES):
            vm = EntryVm(number, self.store, self.folder)
            self.vms.append(vm)
            await vm.start()
        for vm in self.vms:
            await self._wait_until_serving(vm)

    async def _configure(self) -> None:
        self._version += self.random.randint(1, 4)
        await put_configuration(self.store, self.group, self._version)

    async def _wait_until_serving(self, vm: EntryVm) -> None:
        deadline_s = time.monotonic() + START_LIMIT_S
        while f'"ready": true, "node": "vm-{vm.number}"' not in self._read_log(vm):
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"vm-{vm.number} is not ready")
            await asyncio.sleep(0.05)
        while await self._write_once(vm):
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"vm-{vm.number} does not accept writes")
            await asyncio.sleep(0.05)

    async def _write_once(self, vm: EntryVm) -> str:
        """Return the error of a write, or empty."""
        try:
            client = await LineClient.connect(vm.callers_port, "main-db", host=vm.host)
        except OSError as error:
            # It has not begun to listen yet, or refused the session.
            return str(error)
        answer = await client.query("WRITE warm up")
        client.close()
        return answer.error

    def _read_log(self, vm: EntryVm) -> str:
        """Return what the latest process of an entry VM has logged."""
        return vm.process.log_path.read_text().rpartition('"event": "started"')[2]

    async def _run_round(self) -> None:
        """Stop one or two entry VMs while other planned work goes on."""
        stopped = self.random.sample(self.vms, self.random.choice((1, 1, 2)))
        is_slow = self.random.random() < 0.5
        self.group.statement_duration_s = SLOW_STATEMENT_S if is_slow else 0.005
        work = [self._stop(vm, self.random.uniform(0.0, 1.5)) for vm in stopped]
        work.append(self._reload_and_configure())
        await asyncio.gather(*work)
        self.group.statement_duration_s = 0.005
        for vm in stopped:
            await self._wait_until_serving(vm)

    async def _stop(self, vm: EntryVm, delay_s: float) -> None:
        generator = random.Random(self.random.random())
        await asyncio.sleep(delay_s)
        self.events.append(f"{self.now()} vm-{vm.number} is stopped")
        vm.process.send_signal(signal.SIGTERM)
        disturbing = asyncio.create_task(self._disturb(vm, generator))
        deadline_s = time.monotonic() + GRACE_S
        while vm.process.is_running:
            if time.monotonic() > deadline_s:
                self.history.broken.append(f"{self.now()} vm-{vm.number} has not ended")
                vm.process.kill()
            await asyncio.sleep(0.01)
        self.events.append(f"{self.now()} vm-{vm.number} has ended")
        await disturbing
        await asyncio.sleep(0.2)
        vm.process.start()
        await self._wait_for_own_code(vm)
        await asyncio.sleep(generator.uniform(0.0, 0.4))
        vm.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        if not vm.process.is_running:
            self.history.broken.append(f"{self.now()} vm-{vm.number} died of SIGHUP")
            vm.process.start()

    async def _wait_for_own_code(self, vm: EntryVm) -> None:
        """Wait until the interpreter runs the daemon's code, which it has to load.

        Until then every signal has its default action.
        """
        deadline_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < deadline_s:
            status = Path(f"/proc/{vm.process.pid}/status").read_text()
            masks = [
                int(line.split()[1], 16)
                for line in status.splitlines()
                if line.startswith(("SigIgn", "SigCgt"))
            ]
            if any(mask & 1 << (signal.SIGHUP - 1) for mask in masks):
                return
            await asyncio.sleep(0.002)

    async def _disturb(self, vm: EntryVm, generator: random.Random) -> None:
        """Send more signals to a stopping process, and suspend it for a moment."""
        suspended_at_s = DRAIN_BEGINS_S + generator.uniform(-0.4, 0.4)
        signalled_at_s = generator.uniform(0.0, 2.0)
        await asyncio.sleep(min(signalled_at_s, suspended_at_s))
        vm.process.send_signal(generator.choice((signal.SIGTERM, signal.SIGHUP)))
        await asyncio.sleep(max(0.0, suspended_at_s - signalled_at_s))
        vm.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(generator.uniform(0.1, 0.5))
        vm.process.send_signal(signal.SIGCONT)

    async def _reload_and_configure(self) -> None:
        """Write new configurations and reload processes that have started."""
        for _ in range(4):
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            if self.random.random() < 0.5:
                await self._configure()
                continue
            vm = self.random.choice(self.vms)
            vm.process.send_signal(signal.SIGHUP)

    def _check_writes(self) -> None:
        primary = max(
            (server for server in self.group.servers if server.is_primary),
            key=lambda server: server.term,
        )
        counts = Counter(entry.key for entry in primary.log)
        for write in self.history.writes:
            count = counts[write.key]
            if count > 1:
                self.history.broken.append(f"{write.key} is kept {count} times")
            if write.outcome == "" and count != 1:
                self.history.broken.append(f"{write.key} was answered, but is not kept")
            if write.outcome in WITHOUT_EFFECT and count:
                self.history.broken.append(f"{write.key}: {write.outcome}, but is kept")

    def _check_logs(self) -> None:
        for vm in self.vms:
            for line in vm.process.log_path.read_text().splitlines():
                if '"unexpected error"' in line or "Traceback" in line:
                    self.history.broken.append(f"vm-{vm.number}: {line[:200]}")
                if '"event": "stopped"' not in line:
                    continue
                self.events.append(f"vm-{vm.number}: {line}")
                if json.loads(line).get("interrupted"):
                    self.history.broken.append(f"vm-{vm.number}: {line}")


async def run_seed(
    seed: int, rounds: int, folder: Path, keep: Path | None = None
) -> StopRun:
    """Run one seed.

    Args:
        seed: Determines all choices.
        rounds: Rounds of stops.
        folder: Folder for the logs.
        keep: Folder to which logs of a run with a broken promise are copied.

    Returns:
        The run; its history lists the broken promises.
    """
    run = StopRun(seed, rounds, folder)
    await run.run()
    if run.history.broken and keep is not None:
        target = keep / f"seed-{seed}"
        target.mkdir(parents=True, exist_ok=True)
        lines = [*run.events, *run.history.broken, ""]
        (target / "history").write_text("\n".join(lines))
        for path in folder.iterdir():
            (target / path.name).write_bytes(path.read_bytes())
    return run


@click.command()
@click.option("--seed", default=1, type=int, help="First seed.")
@click.option("--seeds", default=1, type=int, help="Number of seeds.")
@click.option("--rounds", default=6, type=int, help="Rounds of stops in each run.")
@click.option("--keep", default=None, type=Path, help="Folder for logs of failures.")
def main(seed: int, seeds: int, rounds: int, keep: Path | None) -> None:
    """Run seeds one after the other; exits with 1 if a promise was broken."""
    failed = []
    for number in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory() as folder:
            run = asyncio.run(run_seed(number, rounds, Path(folder), keep))
        history = run.history
        click.echo(f"seed {number}: {len(history.broken)} broken promises")
        for line in history.broken[:10]:
            click.echo(f"  {line[:300]}")
        click.echo(f"  answers {dict(history.answers)}")
        click.echo(f"  ends of sessions {dict(history.ends)}")
        if history.broken:
            failed.append(number)
    click.echo(f"{seeds} seeds, {len(failed)} with a broken promise: {failed}")
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
