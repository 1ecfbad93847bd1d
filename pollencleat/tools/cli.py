"""The root command: options, exit codes and output that all commands share."""

import json
import sys
from collections.abc import Callable
from pathlib import Path

import click

from pollencleat.core.errors import PollencleatError, SettingsError
from pollencleat.tools.client import (
    CONFLICT,
    UNPROCESSABLE,
    AdminClient,
    ApiError,
    ApiUnreachableError,
    read_token,
)

NOT_AS_DECLARED = 1
INVALID = 2
REFUSED = 3
CONFLICTED = 4
UNANSWERED = 5

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
file_argument = click.argument(
    "path", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


class ExitCodeGroup(click.Group):
    """Turns typed errors into messages and documented exit codes."""

    def invoke(self, ctx: click.Context) -> object:
        """Run a command.

        Args:
            ctx: Its context.

        Returns:
            The command's result.
        """
        try:
            return super().invoke(ctx)
        except ApiError as error:
            for line in error.body.get("errors", []):
                click.echo(line, err=True)
            click.echo(f"{error.body.get('error', 'refused')}: {error}", err=True)
            codes = {CONFLICT: CONFLICTED, UNPROCESSABLE: INVALID}
            sys.exit(codes.get(error.status, REFUSED))
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(INVALID)
        except ApiUnreachableError as error:
            click.echo(f"no answer: {error}", err=True)
            sys.exit(UNANSWERED)
        except PollencleatError as error:
            click.echo(f"{type(error).__name__}: {error}", err=True)
            sys.exit(REFUSED)


@click.group(cls=ExitCodeGroup)
@click.option(
    "--url",
    envvar="POLLENCLEAT_URL",
    default="http://127.0.0.1:8380",
    show_default=True,
    help="Administration API of any node.",
)
@click.option("--token-file", default="", help="File that holds your token.")
@click.option("--ca-file", default="", help="Certificate authority for https.")
@click.pass_context
def cli(ctx: click.Context, url: str, token_file: str, ca_file: str) -> None:
    """Declare and inspect a pollencleat deployment."""
    ctx.obj = lambda: AdminClient(url, read_token(token_file), ca_file)


def show(value: object, as_json: bool, render: Callable[[], str]) -> None:
    """Print a value as JSON or for people.

    Args:
        value: What the API returned.
        as_json: Print JSON.
        render: Makes the text for people.
    """
    click.echo(json.dumps(value, indent=2) if as_json else render())
