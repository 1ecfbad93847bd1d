"""Worth of single mechanisms: scratch copies with one switched off, played in turn.

The program that plays a day is given on the command line; it is run in a copy of this
repository and prints the day's worth.  Example:

    python -m bench.ablation --folder ../scratch --day trouble-3 -- PROGRAM run SITE

The copies are removed afterwards, except for what the program keeps in journal/.
"""

import re
import shutil
import subprocess
from dataclasses import dataclass
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
IGNORED = shutil.ignore_patterns(".git", ".venv", "target", "__pycache__", "journal")


@dataclass(frozen=True)
class Mechanism:
    """A mechanism, and the change of one file that switches it off."""

    name: str
    path: str
    before: str
    after: str


MECHANISMS = (
    Mechanism("none", "pollencleat/__init__.py", "", ""),
    Mechanism(
        "short work first",
        "pollencleat/limits/queue.py",
        "return kind.priority, round(math.log2(max(known_s, 1e-6)))",
        "return kind.priority, 0",
    ),
    Mechanism(
        "bound from replica positions",
        "pollencleat/routing/replica_positions.py",
        "    wanted_at_s = board.bound_wanted_at_s.get(group_id)",
        "    wanted_at_s = None",
    ),
    Mechanism(
        "half of the share at rest",
        "pollencleat/limits/growth.py",
        "return (share + 1) // 2",
        "return share",
    ),
    Mechanism(
        "evidence kept through an outage",
        "pollencleat/promotion/detection.py",
        "if not hears_other_domain(self.board, now_s):",
        "if True:",
    ),
    Mechanism(
        "unready before the permit ends",
        "pollencleat/daemon/readiness.py",
        "PERMIT_MARGIN_S = 0.5",
        "PERMIT_MARGIN_S = 0.0",
    ),
    Mechanism(
        "moving of idle sessions",
        "pollencleat/daemon/entry_vm.py",
        "MAX_SESSIONS_MOVED_PER_TICK = 4",
        "MAX_SESSIONS_MOVED_PER_TICK = 0",
    ),
    Mechanism(
        "hedged reads",
        "pollencleat/limits/hedging.py",
        "return max(0.0, min(objective_s, FIRST_SERVER_TIME_SHARE * left_s))",
        "return left_s",
    ),
    Mechanism(
        "warm connections of a new term",
        "pollencleat/backend/pools.py",
        "WARM_CONNECTIONS = 3",
        "WARM_CONNECTIONS = 0",
    ),
    Mechanism(
        "withdrawal of attempts",
        "pollencleat/promotion/attempt.py",
        "    return is_first and attempt.phase is Phase.STOPPING",
        "    return False",
    ),
    Mechanism(
        "limit of running statements at gateways",
        "pollencleat/backend/pools.py",
        "pool.queue.running_limit = running_limit(self.board, server_id)",
        "pool.queue.running_limit = None",
    ),
)


def make_copy(mechanism: Mechanism, folder: Path) -> Path:
    """Return a committed copy of the repository without a mechanism.

    Raises:
        click.ClickException: The file no longer has the text that is replaced.
    """
    target = folder / re.sub(r"\W+", "-", mechanism.name)
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(ROOT, target, ignore=IGNORED)
    path = target / mechanism.path
    text = path.read_text()
    if mechanism.before not in text:
        raise click.ClickException(f"{mechanism.name}: {mechanism.path} has changed")
    path.write_text(text.replace(mechanism.before, mechanism.after, 1))
    for command in (
        ("init", "-q"),
        ("add", "-A"),
        ("-c", "user.name=a", "-c", "user.email=a", "commit", "-qm", "copy"),
    ):
        subprocess.run(["git", *command], cwd=target, check=True)
    return target


def play(copy: Path, command: list[str], day: str, options: list[str]) -> float | None:
    """Play a day in a copy; None if the output shows no worth."""
    run = subprocess.run(
        [*command, day, *options], cwd=copy, capture_output=True, text=True
    )
    found = re.search(r"^worth (\d\.\d+)", run.stdout, re.MULTILINE)
    return float(found.group(1)) if found else None


@click.command()
@click.option("--folder", type=Path, required=True, help="Where copies are made.")
@click.option("--day", "days", multiple=True, required=True)
@click.option("--seed", "seeds", multiple=True, help="Seeds besides the day's own.")
@click.option("--only", multiple=True, help="Names of mechanisms; all if none.")
@click.argument("command", nargs=-1, required=True)
def main(
    folder: Path,
    days: tuple[str, ...],
    seeds: tuple[str, ...],
    only: tuple[str, ...],
    command: tuple[str, ...],
) -> None:
    """Print the worth of each day without each mechanism."""
    folder.mkdir(parents=True, exist_ok=True)
    program = str(Path(command[0]).resolve())
    arguments = [
        str(Path(word).resolve()) if Path(word).exists() else word
        for word in command[1:]
    ]
    for mechanism in MECHANISMS:
        if only and mechanism.name not in only:
            continue
        copy = make_copy(mechanism, folder)
        for day in days:
            for seed in ("", *seeds):
                options = ["--no-cpu", "--why", f"ablation: without {mechanism.name}"]
                if seed:
                    options += ["--seed", seed]
                worth = play(copy, [program, *arguments], day, options)
                shown = "no result" if worth is None else f"{worth:.3f}"
                click.echo(f"{mechanism.name:42} {day:10} {seed or '-':>6} {shown}")
        shutil.copytree(copy / "journal", ROOT / "journal", dirs_exist_ok=True)
        shutil.rmtree(copy)


if __name__ == "__main__":
    main()
