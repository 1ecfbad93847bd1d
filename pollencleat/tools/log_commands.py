"""Commands that read the daemons' log lines."""

from typing import TextIO

import click

from pollencleat.reports.losses import collect_losses, format_losses
from pollencleat.tools.cli import cli


@cli.command("losses")
@click.argument("log_file", type=click.File("r"))
@click.option("--causes", default=20, show_default=True, help="Causes to list.")
def print_losses(log_file: TextIO, causes: int) -> None:
    """Count failed statements in a log file, by cause and over time."""
    click.echo(format_losses(collect_losses(log_file), causes))
