"""Commands for setting up an entry VM."""

from pathlib import Path

import click
import zmq
from mysql_mimic.auth import NativePasswordAuthPlugin

from pollencleat.daemon.settings import load_settings
from pollencleat.tools.cli import cli, file_argument


@cli.command("make-keys")
def make_keys() -> None:
    """Print a CURVE key pair, as a key file, for messages between entry VMs."""
    public, secret = zmq.curve_keypair()
    click.echo(f"[curve]\npublic = {public.decode()}\nsecret = {secret.decode()}")


@cli.command("hash-password")
def hash_password() -> None:
    """Prompt for a password and print its hash for the callers file."""
    password = click.prompt("password", hide_input=True, err=True)
    click.echo("*" + NativePasswordAuthPlugin.create_auth_string(password))


@cli.command("check-settings")
@file_argument
def check_settings(path: Path) -> None:
    """Check a daemon's settings file and the files that it names."""
    settings = load_settings(path)
    click.echo(f"{path}: valid; node {settings.node_id}")


@cli.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print the completion script for a shell."""
    from click.shell_completion import get_completion_class

    source_class = get_completion_class(shell)
    source = source_class(cli, {}, "pollencleat", "_POLLENCLEAT_COMPLETE")
    click.echo(source.source())
