"""Processor time that a process on the users' platform needs before it can start.

The libraries that it imports decide that time, which is paid at every start: after a
power loss it delays the first answer of the whole fleet.
"""

import resource
import statistics
import subprocess
import sys

import click

BARE = "pass"
DAEMON = "import pollencleat.daemon.main, pollencleat.daemon.entry_vm"


def measure_start_s(code: str) -> float:
    """Return the processor seconds of an interpreter that runs some code."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", code], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime - before.ru_utime + after.ru_stime - before.ru_stime


@click.command()
@click.option("--runs", default=10, help="Starts of each kind.")
def main(runs: int) -> None:
    """Print processor seconds of a bare interpreter and of the daemon's imports."""
    measure_start_s(DAEMON)
    for name, code in (("bare interpreter", BARE), ("daemon", DAEMON)):
        samples = [measure_start_s(code) for _ in range(runs)]
        click.echo(
            f"{name}: min {min(samples):.3f} s, median "
            f"{statistics.median(samples):.3f} s, max {max(samples):.3f} s"
        )


if __name__ == "__main__":
    main()
