"""A fleet that runs two builds of the daemon at once, under load.

All entry VMs start with the other build, so that the platform's store holds what that
build wrote.  Half of them are then replaced by this build, one after the other, as an
upgrade does.  Heartbeats, promotions, leased connections and graceful stops must
work between both builds; at the end this build runs alone on the other's data.

Run by hand: ``python -m bench.mixed --other ../old``.
"""

import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click

from bench.platform_cluster import LineClient
from bench.processes import Process
from bench.soak import CALLER_LIMIT_S, MAX_AGE_S_BY_DATABASE, EntryVm, Options, Soak
from bench.soak_checks import Attempt
from pollencleat.reports.losses import parse_log_line

THIS_BUILD = Path(__file__).parent.parent.resolve()
NODES = 12
CONNECTIONS = 24
"""Connections of each server; few enough for 12 nodes to lease from gateways."""

SETTLE_S = 2.0
"""Pause before the store's outage, for all nodes to learn of the newest member."""

OUTAGE_S = 3.0
"""Length of the store's outage; a write permit from the store ends after 1.6 s."""

PROMOTIONS = 2
"""Primaries that are crashed in each run."""

STEP_LIMIT_S = 20.0
STOP_LIMIT_S = 12.0
PROBES = 8
"""Reads, and as many transactions, that are sent to each entry VM."""


class MixedFleet(Soak):
    """One run: an upgrade of half of the entry VMs, and then of the others.

    Attributes:
        findings: A line for every check that failed.
        hops: Statements on leased connections, by kind, build of the entry VM that
            holds the lease and build of the gateway.
        promotions: Replicas promoted, by build of the promoting entry VM.
    """

    # Builds of before pollencleat/daemon/__main__.py have no other.
    daemon_module = "pollencleat.daemon.main"

    def __init__(self, seed: int, folder: Path, other: Path, first_half: int) -> None:
        """Prepare a run; `first_half` (0 or 1) selects the half upgraded first."""
        super().__init__(seed, 0.0, folder, Options(NODES, CONNECTIONS))
        self.findings: list[str] = []
        self.hops: Counter[tuple[str, str, str]] = Counter()
        self.promotions: Counter[str] = Counter()
        self._other = other
        self._first_half = first_half
        self._log_start_by_vm: dict[str, int] = {}
        self._kind_by_request: dict[str, str] = {}

    async def _run_scenario(self) -> None:
        halves: tuple[list[EntryVm], list[EntryVm]] = ([], [])
        for vm in self.vms:
            halves[(vm.number // 3 + self._first_half) % 2].append(vm)
        await self._upgrade(halves[0])
        await self._check_outage()
        await self._check_promotions()
        for vm in self.vms:
            await self._probe(vm)
        self._collect_hops()
        await self._check_stop(halves[0][0])
        await self._check_stop(halves[1][0])
        await asyncio.to_thread(self._compare_loss_reports)
        await self._upgrade(halves[1])

    async def _upgrade(self, vms: list[EntryVm]) -> None:
        for vm in vms:
            if not await self._stop_gracefully(vm):
                continue
            log_path = self.folder / f"vm-{vm.number}.log"
            self._log_start_by_vm[f"vm-{vm.number}"] = log_path.stat().st_size
            vm.process = Process(
                f"vm-{vm.number}",
                [self.daemon_module, "--on-platform"],
                self.folder,
                {
                    **environment_of(THIS_BUILD),
                    "POLLENCLEAT_BOOT": str(self.folder / f"vm-{vm.number}.json"),
                },
            )
            vm.is_claimed = False
            self.record_event(f"vm-{vm.number} runs this build")
        await self._wait_for_writes("after the upgrade")

    async def _stop_gracefully(self, vm: EntryVm) -> bool:
        if not vm.claim():
            self.findings.append(f"STOP: vm-{vm.number} had ended by itself")
            return False
        code = await asyncio.to_thread(vm.process.terminate, STOP_LIMIT_S)
        if code:
            self.findings.append(f"STOP: vm-{vm.number} exited with {code}")
        return True

    async def _check_stop(self, vm: EntryVm) -> None:
        if await self._stop_gracefully(vm):
            await vm.restart_after(0.0)
            await self._wait_for_writes(f"after the stop of vm-{vm.number}")

    async def _wait_for_writes(self, when: str) -> None:
        try:
            await self._wait_until_all_writable(STEP_LIMIT_S)
        except TimeoutError as error:
            self.findings.append(f"WRITES: {error} {when}")

    async def _check_outage(self) -> None:
        """Check that heartbeat promises of both builds permit writes in an outage."""
        await asyncio.sleep(SETTLE_S)
        self.store.faults.down = True
        await asyncio.sleep(OUTAGE_S)
        for vm in self.vms:
            if not await self._can_write(vm):
                self.findings.append(f"HEARTBEATS: no write at vm-{vm.number}")
        self.store.faults.down = False
        await self._wait_for_writes("after the store's outage")

    async def _check_promotions(self) -> None:
        """Crash primaries, and count the promotions by each build."""
        for _ in range(PROMOTIONS):
            primary = self.find_primary()
            await primary.stop()
            await self._wait_for_writes(f"after the crash of {primary.server_id}")
            await primary.restart()
            await asyncio.sleep(1.0)
        for name, build, event in self._read_logs():
            if event.get("event") != "order answered":
                continue
            if event.get("order") == "PromoteServer":
                self.promotions[build] += 1
                self.record_event(f"{name} ({build} build) promoted a replica")

    def _read_logs(self) -> list[tuple[str, str, dict]]:
        """Return node, build and fields of what each node's current build logged."""
        events = []
        for vm in self.vms:
            name = f"vm-{vm.number}"
            data = (self.folder / f"{name}.log").read_bytes()
            build = "this" if name in self._log_start_by_vm else "other"
            start = self._log_start_by_vm.get(name, 0)
            for line in data[start:].decode(errors="replace").splitlines():
                event = parse_log_line(line)
                if event is not None:
                    events.append((name, build, event))
        return events

    async def _probe(self, vm: EntryVm) -> None:
        """Send reads and transactions that _collect_hops then looks up in the logs."""
        for number in range(PROBES):
            try:
                async with asyncio.timeout(CALLER_LIMIT_S):
                    client = await LineClient.connect(
                        vm.callers_port, "old-db", host=vm.host
                    )
                    await self._probe_once(client, number)
                client.close()
            except (OSError, TimeoutError) as error:
                self.findings.append(f"PROBE: vm-{vm.number}: {error!r}")

    async def _probe_once(self, client: LineClient, number: int) -> None:
        attempt = Attempt("old-db", MAX_AGE_S_BY_DATABASE["old-db"], time.monotonic())
        read = await self.send(client, attempt, f"READ k{number % 6}")
        self._kind_by_request[next(iter(attempt.texts_by_request))] = "read"
        self.finish_attempt(attempt, read)
        begin = await self.ask(client, "BEGIN READ")
        transaction = Attempt(
            "old-db",
            MAX_AGE_S_BY_DATABASE["old-db"],
            time.monotonic(),
            is_transaction=True,
        )
        commit = await self.send(client, transaction, "COMMIT")
        self._kind_by_request[next(iter(transaction.texts_by_request))] = "transaction"
        self.finish_attempt(transaction, commit)
        for answer in (read, begin, commit):
            if answer.error:
                self.record_event(f"probe: {answer.error} {answer.detail}")

    def _collect_hops(self) -> None:
        build_by_vm = {
            f"vm-{vm.number}": "this"
            if f"vm-{vm.number}" in self._log_start_by_vm
            else "other"
            for vm in self.vms
        }
        for _, build, event in self._read_logs():
            kind = self._kind_by_request.get(str(event.get("request")))
            gateway = str(event.get("gateway") or "")
            if kind and gateway in build_by_vm and event.get("outcome") == "ok":
                self.hops[kind, build, build_by_vm[gateway]] += 1

    def _compare_loss_reports(self) -> None:
        """Check that both builds report the same losses from each log."""
        path = self.folder / "read-by-both.log"
        for vm in self.vms:
            path.write_bytes((self.folder / f"vm-{vm.number}.log").read_bytes())
            reports = [
                run_command(build, "losses", str(path))
                for build in (THIS_BUILD, self._other)
            ]
            if reports[0] != reports[1]:
                self.findings.append(f"LOG: losses of vm-{vm.number} differ")


def environment_of(build: Path) -> dict[str, str]:
    """Return the environment variables that make Python import a build's modules."""
    return {"PYTHONPATH": str(build), "PYTHONSAFEPATH": "1"}


def run_command(build: Path, *arguments: str) -> str:
    """Return what a build's command line prints."""
    return subprocess.run(
        [sys.executable, "-m", "pollencleat.tools.main", *arguments],
        env={**os.environ, **environment_of(build)},
        capture_output=True,
        check=True,
        text=True,
    ).stdout


async def run_mixed(
    seed: int, other: Path, first_half: int, keep: Path | None
) -> tuple[list[str], MixedFleet]:
    """Run one upgrade.

    Args:
        seed: Seed of the callers' choices.
        other: Checkout of the other build.
        first_half: Half of the entry VMs that is upgraded first, 0 or 1.
        keep: Folder for the logs of a failed run, or None.

    Returns:
        A line for every check that failed, and the fleet with its counts.
    """
    with tempfile.TemporaryDirectory(prefix="pollencleat-mixed-") as name:
        fleet = MixedFleet(seed, Path(name), other, first_half)
        try:
            failed = [*await fleet.run(), *fleet.findings]
        except TimeoutError as error:
            failed = [f"START: {error}", *fleet.findings]
        if failed and keep is not None:
            keep.mkdir(parents=True, exist_ok=True)
            (keep / "history").write_text("\n".join([*fleet.history, *failed, ""]))
            for path in Path(name).iterdir():
                (keep / path.name).write_bytes(path.read_bytes())
        acknowledged = sum(attempt.is_acknowledged for attempt in fleet.attempts)
        click.echo(f"{acknowledged} of {len(fleet.attempts)} attempts acknowledged")
        return failed, fleet


@click.command()
@click.option("--other", required=True, type=Path, help="Checkout of another build.")
@click.option("--seed", default=None, type=int, help="Seed of the callers' choices.")
@click.option("--keep", default=None, type=Path, help="Folder for logs of failures.")
def main(other: Path, seed: int | None, keep: Path | None) -> None:
    """Run this build and another one in one fleet; exits with 1 on a failure."""
    first_seed = seed if seed is not None else random.SystemRandom().randrange(1 << 30)
    os.environ.update(environment_of(other.resolve()))
    started_s = time.monotonic()
    failed: list[str] = []
    hops: Counter[tuple[str, str, str]] = Counter()
    promotions: Counter[str] = Counter()
    for first_half in (0, 1):
        folder = keep / f"half-{first_half}" if keep is not None else None
        lines, fleet = asyncio.run(
            run_mixed(first_seed + first_half, other.resolve(), first_half, folder)
        )
        failed += lines
        hops += fleet.hops
        promotions += fleet.promotions
    for kind in ("read", "transaction"):
        for borrower, gateway in (("this", "other"), ("other", "this")):
            count = hops[kind, borrower, gateway]
            click.echo(f"{kind}: {borrower} build borrowed from {gateway}: {count}")
            if not count:
                failed.append(f"HOP: no {kind} by {borrower} build at {gateway} build")
    for build in ("this", "other"):
        click.echo(f"replicas promoted by {build} build: {promotions[build]}")
        if not promotions[build]:
            failed.append(f"PROMOTION: none by {build} build")
    for line in failed:
        click.echo(line)
    click.echo(
        f"seed {first_seed}, {time.monotonic() - started_s:.0f} s, "
        f"{len(failed)} checks failed"
    )
    if failed:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
