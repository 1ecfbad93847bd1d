"""Commands that read the platform's object store directly, without any node."""

import asyncio

import click
import msgspec

from pollencleat.core.ports import PlatformState
from pollencleat.core.refusals import RefusedObjects
from pollencleat.core.versions import format_version
from pollencleat.platform.objects import ObjectClient
from pollencleat.platform.settings import parse_endpoint
from pollencleat.platform.store import read_platform_state
from pollencleat.tools.cli import cli, json_option, show
from pollencleat.tools.tables import render_table


@cli.command("platform")
@click.argument("store")
@json_option
def show_platform(store: str, as_json: bool) -> None:
    """Show members, primaries, servers and routes stored in STORE (HOST:PORT)."""
    try:
        address = parse_endpoint(store)
    except ValueError as error:
        raise click.UsageError(str(error)) from error

    async def read() -> PlatformState:
        client = ObjectClient(address, RefusedObjects(report=_report_refused))
        try:
            return await read_platform_state(client)
        finally:
            await client.close()

    state = asyncio.run(read())
    show(msgspec.to_builtins(state), as_json, lambda: render_state(state))


def _report_refused(kind: str, name: str, reason: str) -> None:
    click.echo(f"refused: {kind}/{name}: {reason}", err=True)


def render_state(state: PlatformState) -> str:
    """Format the contents of the store as tables.

    Args:
        state: The contents of the store.

    Returns:
        Lines of text.
    """
    inventory, fleet, vms = state.inventory, state.fleet, state.vms
    members = render_table(
        ("MEMBER", "DOMAIN", "INCARNATION", "SEAT", "MAY PROMOTE"),
        [
            (
                member.node_id,
                member.failure_domain,
                member.incarnation,
                member.seat,
                member.may_promote,
            )
            for member in fleet.members_by_id.values()
        ],
    )
    groups = render_table(
        ("GROUP", "TERM", "SERVERS' TERM", "PRIMARY", "BEING REPLACED BY"),
        [
            (
                term.group_id,
                term.term,
                term.log_term,
                term.primary or None,
                term.promotion.node_id if term.promotion else None,
            )
            for term in fleet.terms_by_group.values()
        ],
    )
    servers = render_table(
        ("SERVER", "GROUP", "DOMAIN", "ADDRESS", "LEAVING"),
        [
            (
                server.server_id,
                server.group_id,
                server.failure_domain,
                f"{server.host}:{server.port}",
                server.server_id in vms.leaving,
            )
            for server in vms.servers_by_id.values()
        ],
    )
    routes = render_table(
        ("DATABASE", "GROUP", "FRESHNESS", "MAX AGE MS", "LIMIT MS"),
        [
            (
                database,
                route.group_id,
                route.freshness.value,
                route.max_age_ms,
                route.statement_limit_ms,
            )
            for database, route in inventory.routes_by_database.items()
        ],
    )
    fleet_version = format_version(fleet.version)
    head = f"fleet version {fleet_version}, configuration {inventory.version}"
    return "\n\n".join((head, members, groups, servers, routes))
