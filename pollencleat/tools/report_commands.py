"""Commands for audit, forecast, connection counts, status and read routing."""

import sys
from collections.abc import Callable
from pathlib import Path

import click

from pollencleat.inventory.forecast import find_excesses, make_forecast
from pollencleat.inventory.parser import parse_inventory
from pollencleat.tools.cli import EXIT_NOT_AS_DECLARED, cli, json_option, show
from pollencleat.tools.client import AdminClient, ApiUnreachableError, add_query
from pollencleat.tools.forecast_formats import forecast_renderers
from pollencleat.tools.tables import render_audit, render_table


@cli.command()
@click.option("--author", default="")
@click.option("--subject", default="")
@click.option("--change-id", default="")
@json_option
@click.pass_obj
def audit(
    make_client: Callable[[], AdminClient],
    author: str,
    subject: str,
    change_id: str,
    as_json: bool,
) -> None:
    """List accepted changes and promotions, oldest first."""
    path = add_query("/v1/audit", author=author, subject=subject, change_id=change_id)
    entries = make_client().call("GET", path)
    show(entries, as_json, lambda: render_audit(entries))


@cli.command()
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
def forecast(
    make_client: Callable[[], AdminClient], path: Path | None, form: str
) -> None:
    """Forecast next month's resources of a file or of the inventory in force."""
    if path is None:
        text = make_client().call("GET", "/v1/inventory")["text"]
        name = "inventory"
    else:
        text = path.read_text()
        name = str(path)
    result = make_forecast(parse_inventory(name, text))
    click.echo(forecast_renderers[form](result))


@cli.command()
@json_option
@click.pass_obj
def bill(make_client: Callable[[], AdminClient], as_json: bool) -> None:
    """Compare the open connections of all nodes with the declared ones."""
    client = make_client()
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
        sys.exit(EXIT_NOT_AS_DECLARED)


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


@cli.command()
@json_option
@click.pass_obj
def status(make_client: Callable[[], AdminClient], as_json: bool) -> None:
    """Show groups, primaries, terms, ages, permits and versions of all nodes."""
    client = make_client()
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


@cli.command()
@click.argument("group")
@click.option("--max-age-ms", type=int, default=10_000, show_default=True)
@click.option(
    "--floor", type=int, default=0, help="Log position that the read must include."
)
@json_option
@click.pass_obj
def explain(
    make_client: Callable[[], AdminClient],
    group: str,
    max_age_ms: int,
    floor: int,
    as_json: bool,
) -> None:
    """Explain which servers of a group may answer a read now."""
    path = add_query("/v1/explain", group=group, max_age_ms=max_age_ms, floor=floor)
    rows = make_client().call("GET", path)
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
