"""Entry point of the command line.

Exit codes: 0 success; 1 something is not as declared; 2 wrong usage or an invalid
file; 3 refused by the API; 4 conflict with another operator; 5 no answer.
"""

import csv
import io
import json
import sys
from collections.abc import Callable
from pathlib import Path

import click
import zmq
from mysql_mimic.auth import NativePasswordAuthPlugin

from pollencleat.core.errors import InventoryError, PollencleatError, SettingsError
from pollencleat.daemon.settings import load_settings
from pollencleat.inventory.forecast import Forecast, find_excesses, make_forecast
from pollencleat.inventory.parser import parse_inventory
from pollencleat.tools.client import (
    CONFLICT,
    UNPROCESSABLE,
    AdminClient,
    ApiError,
    ApiUnreachableError,
    query,
    read_token,
)
from pollencleat.tools.tables import render_table

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
def main(ctx: click.Context, url: str, token_file: str, ca_file: str) -> None:
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


# Inventory.


@main.group()
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
    show(entries, as_json, lambda: _render_audit(entries))


# Reports.


def _render_audit(entries: list[dict]) -> str:
    headers = ("AT", "AUTHOR", "SUBJECT", "BEFORE", "AFTER", "CAUSE", "CHANGE")
    rows = [
        (
            entry["at_s"],
            entry["author"],
            entry["subject"],
            entry["before"],
            entry["after"],
            entry["cause"],
            entry["change_id"],
        )
        for entry in entries
    ]
    return render_table(headers, rows)


@main.command()
@click.option("--author", default="")
@click.option("--subject", default="")
@click.option("--change-id", default="")
@json_option
@click.pass_obj
def audit(
    connect: Callable[[], AdminClient],
    author: str,
    subject: str,
    change_id: str,
    as_json: bool,
) -> None:
    """List accepted changes and promotions, oldest first."""
    path = query("/v1/audit", author=author, subject=subject, change_id=change_id)
    entries = connect().call("GET", path)
    show(entries, as_json, lambda: _render_audit(entries))


@main.command()
@click.argument(
    "path", required=False, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    "--format",
    "form",
    type=click.Choice(["table", "csv", "json"]),
    default="table",
    show_default=True,
)
@click.pass_obj
def forecast(connect: Callable[[], AdminClient], path: Path | None, form: str) -> None:
    """Derive next month's resources from a file, or from what is in force."""
    if path is None:
        text = connect().call("GET", "/v1/inventory")["text"]
        name = "inventory"
    else:
        text = path.read_text()
        name = str(path)
    result = make_forecast(parse_inventory(name, text))
    click.echo(_forecast_renderers[form](result))


def _forecast_rows(result: Forecast) -> list[tuple]:
    return [
        (
            line.group_id,
            " ".join(line.customers),
            line.servers,
            line.slots,
            line.connections,
        )
        for line in result.lines
    ]


_FORECAST_HEADERS = ("GROUP", "CUSTOMERS", "SERVERS", "SLOTS", "CONNECTIONS")


def _render_forecast_table(result: Forecast) -> str:
    table = render_table(_FORECAST_HEADERS, _forecast_rows(result))
    return (
        f"{table}\n\nentry VMs {result.entry_vms}, servers {result.servers}, "
        f"connections {result.connections}, platform reads a month "
        f"{result.platform_reads}"
    )


def _render_forecast_csv(result: Forecast) -> str:
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow([header.lower() for header in _FORECAST_HEADERS])
    writer.writerows(_forecast_rows(result))
    return output.getvalue().rstrip("\n")


def _render_forecast_json(result: Forecast) -> str:
    return json.dumps(
        {
            "groups": [
                dict(
                    zip(
                        [header.lower() for header in _FORECAST_HEADERS],
                        row,
                        strict=True,
                    )
                )
                for row in _forecast_rows(result)
            ],
            "entry_vms": result.entry_vms,
            "servers": result.servers,
            "connections": result.connections,
            "platform_reads_a_month": result.platform_reads,
        },
        indent=2,
    )


_forecast_renderers: dict[str, Callable[[Forecast], str]] = {
    "table": _render_forecast_table,
    "csv": _render_forecast_csv,
    "json": _render_forecast_json,
}


@main.command()
@json_option
@click.pass_obj
def bill(connect: Callable[[], AdminClient], as_json: bool) -> None:
    """Compare what is open on all nodes with what is declared."""
    client = connect()
    text = client.call("GET", "/v1/inventory")["text"]
    declared = parse_inventory("inventory", text)
    open_by_node, unreachable = _collect_connections(client)
    excesses = find_excesses(declared, open_by_node)
    rows = []
    for server_id, server in declared.servers_by_id.items():
        counts = [counts.get(server_id, 0) for counts in open_by_node.values()]
        rows.append((server_id, server.group_id, sum(counts), server.connections))
    answer = {
        "servers": [
            dict(zip(("server", "group", "open", "declared"), row, strict=True))
            for row in rows
        ],
        "excesses": [
            {
                "server": item.server_id,
                "open": item.open_connections,
                "declared": item.declared_connections,
            }
            for item in excesses
        ],
        "unreachable_nodes": unreachable,
    }
    show(answer, as_json, lambda: _render_bill(rows, answer))
    if excesses:
        sys.exit(NOT_AS_DECLARED)


def _collect_connections(
    client: AdminClient,
) -> tuple[dict[str, dict[str, int]], list[str]]:
    open_by_node = {}
    unreachable = []
    for member in client.call("GET", "/v1/status")["members"]:
        node = AdminClient(member["admin_address"], client.token, client.ca_file)
        try:
            answer = node.call("GET", "/v1/connections")
        except ApiUnreachableError:
            unreachable.append(member["node_id"])
            continue
        open_by_node[answer["node_id"]] = answer["open_by_server"]
    return open_by_node, unreachable


def _render_bill(rows: list[tuple], answer: dict) -> str:
    text = render_table(("SERVER", "GROUP", "OPEN", "DECLARED"), rows)
    for item in answer["excesses"]:
        text += f"\nEXCESS {item['server']}: {item['open']} of {item['declared']}"
    for node_id in answer["unreachable_nodes"]:
        text += f"\nno answer from {node_id}: its connections are not counted"
    return text


@main.command()
@json_option
@click.pass_obj
def status(connect: Callable[[], AdminClient], as_json: bool) -> None:
    """Show groups, primaries, terms, ages, permits and versions on all nodes."""
    client = connect()
    answer = client.call("GET", "/v1/status")
    nodes = [answer]
    for member in answer["members"]:
        if member["node_id"] == answer["node_id"]:
            continue
        node = AdminClient(member["admin_address"], client.token, client.ca_file)
        try:
            nodes.append(node.call("GET", "/v1/status"))
        except ApiUnreachableError:
            nodes.append({"node_id": member["node_id"], "unreachable": True})
    show(nodes, as_json, lambda: _render_status(nodes))


def _render_status(nodes: list[dict]) -> str:
    node_rows = []
    for node in nodes:
        if node.get("unreachable"):
            node_rows.append((node["node_id"], *([None] * 6)))
            continue
        seats = {item["node_id"]: item["seat"] for item in node["members"]}
        relay = node["relays_by_domain"].get(node["failure_domain"])
        node_rows.append(
            (
                node["node_id"],
                node["failure_domain"],
                node["permit_basis"],
                node["inventory_version"],
                node["fleet_version"],
                seats.get(node["node_id"]),
                "yes" if relay == node["node_id"] else "no",
            )
        )
    headers = ("NODE", "DOMAIN", "PERMIT", "INVENTORY", "FLEET", "SEAT", "RELAY")
    text = render_table(headers, node_rows)
    group_rows = []
    for group in nodes[0]["groups"]:
        for server in group["servers"]:
            group_rows.append(
                (
                    group["group_id"],
                    group["term"],
                    server["server_id"],
                    server["role"],
                    server["position"],
                    server["age_ms"],
                    "yes" if server["leaving"] else "no",
                )
            )
    headers = ("GROUP", "TERM", "SERVER", "ROLE", "POSITION", "AGE MS", "LEAVING")
    return f"{text}\n\n{render_table(headers, group_rows)}"


@main.command()
@click.argument("group")
@click.option("--max-age-ms", type=int, default=10_000, show_default=True)
@click.option("--floor", type=int, default=0, help="Position that must be included.")
@json_option
@click.pass_obj
def explain(
    connect: Callable[[], AdminClient],
    group: str,
    max_age_ms: int,
    floor: int,
    as_json: bool,
) -> None:
    """Explain which servers of a group may answer a read now."""
    path = query("/v1/explain", group=group, max_age_ms=max_age_ms, floor=floor)
    rows = connect().call("GET", path)
    show(
        rows,
        as_json,
        lambda: render_table(
            ("SERVER", "MAY ANSWER", "REASON"),
            [
                (row["server_id"], "yes" if row["qualifies"] else "no", row["reason"])
                for row in rows
            ],
        ),
    )


# Setting up.


@main.command("make-keys")
def make_keys() -> None:
    """Print a key pair for messages between entry VMs, to be kept in a file."""
    public, secret = zmq.curve_keypair()
    click.echo(f"[curve]\npublic = {public.decode()}\nsecret = {secret.decode()}")


@main.command("hash-password")
def hash_password() -> None:
    """Ask for a password and print the hash for the callers' file."""
    password = click.prompt("password", hide_input=True, err=True)
    click.echo("*" + NativePasswordAuthPlugin.create_auth_string(password))


@main.command("check-settings")
@file_argument
def check_settings(path: Path) -> None:
    """Check a daemon's settings and the files that they name."""
    settings = load_settings(path)
    click.echo(f"{path}: valid; node {settings.node_id}")


@main.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(ctx: click.Context, shell: str) -> None:
    """Print a shell's completion script."""
    from click.shell_completion import get_completion_class

    source_class = get_completion_class(shell)
    source = source_class(main, {}, "pollencleat", "_POLLENCLEAT_COMPLETE")
    click.echo(source.source())


if __name__ == "__main__":
    main()
