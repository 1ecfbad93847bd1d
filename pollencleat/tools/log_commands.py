"""Commands that evaluate the daemons' log files."""

from typing import TextIO

import click

from pollencleat.reports.losses import count_failures, format_failures
from pollencleat.tools.cli import cli


@cli.command("losses")
@click.argument("log_file", type=click.File("r"))
@click.option(
    "--causes", default=20, show_default=True, help="Number of causes to list."
)
def print_losses(log_file: TextIO, causes: int) -> None:
    """Count failed statements in a log file, by cause and over time."""
    click.echo(format_failures(count_failures(log_file), causes))
