"""Root command; options, exit codes and output that all commands share."""

import json
import sys
from collections.abc import Callable
from pathlib import Path

import click

from pollencleat.core.errors import PollencleatError, SettingsError
from pollencleat.tools.client import (
    HTTP_CONFLICT,
    HTTP_UNPROCESSABLE,
    AdminClient,
    ApiError,
    ApiUnreachableError,
    read_token,
)

EXIT_NOT_AS_DECLARED = 1
EXIT_INVALID = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_NO_ANSWER = 5

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
file_argument = click.argument(
    "path", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


class ExitCodeGroup(click.Group):
    """Maps exceptions to error messages and documented exit codes."""

    def invoke(self, ctx: click.Context) -> object:
        """Run a command; on an error, print it and exit with its code.

        Args:
            ctx: The command's context.

        Returns:
            The command's result.
        """
        try:
            return super().invoke(ctx)
        except ApiError as error:
            for line in error.body.get("errors", []):
                click.echo(line, err=True)
            click.echo(f"{error.body.get('error', 'refused')}: {error}", err=True)
            exit_code_by_status = {
                HTTP_CONFLICT: EXIT_CONFLICT,
                HTTP_UNPROCESSABLE: EXIT_INVALID,
            }
            sys.exit(exit_code_by_status.get(error.status, EXIT_REFUSED))
        except SettingsError as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_INVALID)
        except ApiUnreachableError as error:
            click.echo(f"no answer: {error}", err=True)
            sys.exit(EXIT_NO_ANSWER)
        except PollencleatError as error:
            click.echo(f"{type(error).__name__}: {error}", err=True)
            sys.exit(EXIT_REFUSED)


@click.group(cls=ExitCodeGroup)
@click.option(
    "--url",
    envvar="POLLENCLEAT_URL",
    default="http://127.0.0.1:8380",
    show_default=True,
    help="Administration API of any node.",
)
@click.option("--token-file", default="", help="File that contains your token.")
@click.option("--ca-file", default="", help="CA certificates that verify an https URL.")
@click.pass_context
def cli(ctx: click.Context, url: str, token_file: str, ca_file: str) -> None:
    """Declare and inspect a pollencleat deployment."""
    ctx.obj = lambda: AdminClient(url, read_token(token_file), ca_file)


def show(value: object, as_json: bool, render: Callable[[], str]) -> None:
    """Print a result as JSON or as text.

    Args:
        value: The result; must be JSON-serializable.
        as_json: Print JSON instead of text.
        render: Returns the text; called only if needed.
    """
    click.echo(json.dumps(value, indent=2) if as_json else render())
