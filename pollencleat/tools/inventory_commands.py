"""Commands that check, compare and apply inventories."""

import sys
from collections.abc import Callable
from pathlib import Path

import click

from pollencleat.core.errors import InventoryError
from pollencleat.inventory.parser import parse_inventory
from pollencleat.tools.cli import EXIT_INVALID, cli, file_argument, json_option, show
from pollencleat.tools.client import HTTP_CONFLICT, AdminClient, ApiError, add_query
from pollencleat.tools.tables import render_audit


@cli.group()
def inventory() -> None:
    """Check, compare and apply inventories."""


def read_valid_text(path: Path) -> str:
    """Read and validate an inventory file.

    Args:
        path: The file.

    Returns:
        The text of the file.

    Raises:
        InventoryError: The file is invalid; holds all errors.
    """
    text = path.read_text()
    parse_inventory(str(path), text)
    return text


@inventory.command("check")
@file_argument
@json_option
def inventory_check(path: Path, as_json: bool) -> None:
    """Check an inventory file and print all its errors."""
    try:
        checked = parse_inventory(str(path), path.read_text())
    except InventoryError as error:
        errors = [str(item) for item in error.errors]
        show({"errors": errors}, as_json, lambda: "\n".join(errors))
        sys.exit(EXIT_INVALID)
    counts = f"{len(checked.groups_by_id)} groups, {len(checked.servers_by_id)} servers"
    show({"errors": []}, as_json, lambda: f"{path}: valid; {counts}")


@inventory.command("show")
@click.option("--version", type=int, help="Number of a former version.")
@json_option
@click.pass_obj
def inventory_show(
    make_client: Callable[[], AdminClient], version: int | None, as_json: bool
) -> None:
    """Print the inventory in force, or a former version."""
    path = "/v1/inventory"
    if version is not None:
        path += f"/versions/{version}"
    answer = make_client().call("GET", path)
    show(answer, as_json, lambda: f"# version {answer['version']}\n{answer['text']}")


@inventory.command("diff")
@file_argument
@json_option
@click.pass_obj
def inventory_diff(
    make_client: Callable[[], AdminClient], path: Path, as_json: bool
) -> None:
    """Compare an inventory file with the inventory in force."""
    text = read_valid_text(path)
    answer = make_client().call("POST", "/v1/inventory/diff", {"text": text})
    lines = answer["lines"]
    show(answer, as_json, lambda: "\n".join(lines) or "no difference")


@inventory.command("apply")
@file_argument
@click.option(
    "--expected-version",
    type=int,
    required=True,
    help="The version that your change is based on; 0 for the first.",
)
@click.option("--cause", default="", help="Reason for the audit trail.")
@click.option(
    "--change-id", default="", help="Idempotency key, to send a change again safely."
)
@json_option
@click.pass_obj
def inventory_apply(
    make_client: Callable[[], AdminClient],
    path: Path,
    expected_version: int,
    cause: str,
    change_id: str,
    as_json: bool,
) -> None:
    """Apply an inventory file, unless the version in force is not the expected one."""
    client = make_client()
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
        if error.status == HTTP_CONFLICT:
            diff_result = client.call("POST", "/v1/inventory/diff", {"text": text})
            click.echo("\n".join(diff_result["lines"]), err=True)
        raise
    show(answer, as_json, lambda: _format_accepted_change(answer))


def _format_accepted_change(answer: dict) -> str:
    return f"version {answer['version']} accepted, change {answer['change_id']}"


@inventory.command("rollback")
@click.argument("to_version", type=int)
@click.option("--expected-version", type=int, required=True)
@click.option("--cause", default="")
@json_option
@click.pass_obj
def inventory_rollback(
    make_client: Callable[[], AdminClient],
    to_version: int,
    expected_version: int,
    cause: str,
    as_json: bool,
) -> None:
    """Apply a former version again, as a new version."""
    body = {
        "to_version": to_version,
        "expected_version": expected_version,
        "cause": cause,
    }
    answer = make_client().call("POST", "/v1/inventory/rollback", body)
    show(answer, as_json, lambda: _format_accepted_change(answer))


@inventory.command("history")
@json_option
@click.pass_obj
def inventory_history(make_client: Callable[[], AdminClient], as_json: bool) -> None:
    """List accepted inventory changes, oldest first."""
    entries = make_client().call("GET", add_query("/v1/audit", subject="inventory"))
    show(entries, as_json, lambda: render_audit(entries))
