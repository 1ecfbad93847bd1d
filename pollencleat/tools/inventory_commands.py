"""Commands that check, compare and apply what is declared."""

import sys
from collections.abc import Callable
from pathlib import Path

import click

from pollencleat.core.errors import InventoryError
from pollencleat.inventory.parser import parse_inventory
from pollencleat.tools.cli import INVALID, cli, file_argument, json_option, show
from pollencleat.tools.client import CONFLICT, AdminClient, ApiError, query
from pollencleat.tools.tables import render_audit


@cli.group()
def inventory() -> None:
    """Check, compare and apply what is declared."""


def read_valid_text(path: Path) -> str:
    """Read an inventory file and check it whole.

    Args:
        path: The file.

    Returns:
        Its text.

    Raises:
        InventoryError: With all errors.
    """
    text = path.read_text()
    parse_inventory(str(path), text)
    return text


@inventory.command("check")
@file_argument
@json_option
def inventory_check(path: Path, as_json: bool) -> None:
    """Check a file; prints all errors at once."""
    try:
        checked = parse_inventory(str(path), path.read_text())
    except InventoryError as error:
        errors = [str(item) for item in error.errors]
        show({"errors": errors}, as_json, lambda: "\n".join(errors))
        sys.exit(INVALID)
    counts = f"{len(checked.groups_by_id)} groups, {len(checked.servers_by_id)} servers"
    show({"errors": []}, as_json, lambda: f"{path}: valid; {counts}")


@inventory.command("show")
@click.option("--version", type=int, help="A former version.")
@json_option
@click.pass_obj
def inventory_show(
    connect: Callable[[], AdminClient], version: int | None, as_json: bool
) -> None:
    """Print the inventory in force, or a former one."""
    path = "/v1/inventory"
    if version is not None:
        path += f"/versions/{version}"
    answer = connect().call("GET", path)
    show(answer, as_json, lambda: f"# version {answer['version']}\n{answer['text']}")


@inventory.command("diff")
@file_argument
@json_option
@click.pass_obj
def inventory_diff(
    connect: Callable[[], AdminClient], path: Path, as_json: bool
) -> None:
    """Compare a file with what is in force."""
    text = read_valid_text(path)
    answer = connect().call("POST", "/v1/inventory/diff", {"text": text})
    lines = answer["lines"]
    show(answer, as_json, lambda: "\n".join(lines) or "no difference")


@inventory.command("apply")
@file_argument
@click.option(
    "--expected-version",
    type=int,
    required=True,
    help="The version that you saw; 0 for the first inventory.",
)
@click.option("--cause", default="", help="Why, for the audit trail.")
@click.option("--change-id", default="", help="Repeat a change safely.")
@json_option
@click.pass_obj
def inventory_apply(
    connect: Callable[[], AdminClient],
    path: Path,
    expected_version: int,
    cause: str,
    change_id: str,
    as_json: bool,
) -> None:
    """Put a file in force, unless somebody else changed the inventory meanwhile."""
    client = connect()
    text = read_valid_text(path)
    body = {
        "text": text,
        "expected_version": expected_version,
        "cause": cause,
        "change_id": change_id,
    }
    try:
        answer = client.call("PUT", "/v1/inventory", body)
    except ApiError as error:
        if error.status == CONFLICT:
            difference = client.call("POST", "/v1/inventory/diff", {"text": text})
            click.echo("\n".join(difference["lines"]), err=True)
        raise
    show(answer, as_json, lambda: _describe_change(answer))


def _describe_change(answer: dict) -> str:
    return f"version {answer['version']} accepted, change {answer['change_id']}"


@inventory.command("rollback")
@click.argument("to_version", type=int)
@click.option("--expected-version", type=int, required=True)
@click.option("--cause", default="")
@json_option
@click.pass_obj
def inventory_rollback(
    connect: Callable[[], AdminClient],
    to_version: int,
    expected_version: int,
    cause: str,
    as_json: bool,
) -> None:
    """Put a former version in force again, as a new version."""
    body = {
        "to_version": to_version,
        "expected_version": expected_version,
        "cause": cause,
    }
    answer = connect().call("POST", "/v1/inventory/rollback", body)
    show(answer, as_json, lambda: _describe_change(answer))


@inventory.command("history")
@json_option
@click.pass_obj
def inventory_history(connect: Callable[[], AdminClient], as_json: bool) -> None:
    """List accepted inventories."""
    entries = connect().call("GET", query("/v1/audit", subject="inventory"))
    show(entries, as_json, lambda: render_audit(entries))
