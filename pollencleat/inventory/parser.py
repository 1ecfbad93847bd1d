"""Parses and validates the INI text of an inventory.

Section headers have the form ``[kind name]``.  A registry maps each kind to its model,
so that adding a kind takes one decorated class.  All errors are collected; an inventory
with errors is never returned in part.
"""

import re
from collections.abc import Callable
from typing import Annotated

import pydantic

from pollencleat.core.data import (
    BackendServer,
    Customer,
    DatabaseGroup,
    Inventory,
    ReadRule,
    Rules,
)
from pollencleat.core.errors import InventoryError, LocatedError
from pollencleat.inventory.ini import (
    IniFile,
    IniSection,
    parse_ini_text,
    validate_section,
)

_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
MIN_SERVER_CONNECTIONS_PER_SEAT = 2
"""A seat needs one connection to sample the server and one for statements."""

_models_by_kind: dict[str, type[IniSection]] = {}


def section_kind(kind: str) -> Callable[[type[IniSection]], type[IniSection]]:
    """Register the decorated class as the model of a kind of section.

    Args:
        kind: First word of the section header.

    Returns:
        A class decorator.
    """

    def register(model: type[IniSection]) -> type[IniSection]:
        _models_by_kind[kind] = model
        return model

    return register


def _split_names(value: object) -> object:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


Names = Annotated[tuple[str, ...], pydantic.BeforeValidator(_split_names)]

MAX_NUMBER = (1 << 31) - 1
MAX_HOST_CHARACTERS = 253
"""Longest name that DNS allows."""

PositiveInt = Annotated[int, pydantic.Field(ge=1, le=MAX_NUMBER)]


@section_kind("failure-domain")
class FailureDomainSection(IniSection):
    """A failure domain and its region."""

    region: str


@section_kind("customer")
class CustomerSection(IniSection):
    """A client account and its users."""

    users: Names
    queue_limit: PositiveInt = 200


@section_kind("group")
class GroupSection(IniSection):
    """A database group and the client accounts that may use it."""

    database: str
    customers: Names


@section_kind("server")
class ServerSection(IniSection):
    """A backend server."""

    group: str
    address: Annotated[
        str,
        pydantic.Field(pattern=rf"^[^:\s]{{1,{MAX_HOST_CHARACTERS}}}:[0-9]{{1,5}}$"),
    ]
    failure_domain: str
    slots: PositiveInt
    connections: PositiveInt


@section_kind("read")
class ReadSection(IniSection):
    """Age limit and maximum wait of one kind of read."""

    max_age_ms: Annotated[int, pydantic.Field(ge=0, le=MAX_NUMBER)]
    wait_ms: Annotated[int, pydantic.Field(ge=0, le=5_000)] = 60


@section_kind("rules")
class RulesSection(IniSection):
    """Limits that hold for the whole deployment."""

    seats: PositiveInt = 5
    request_retention_s: PositiveInt = 86_400
    drain_limit_s: PositiveInt = 30
    outage_limit_s: PositiveInt = 3_600
    queue_deadline_ms: PositiveInt = 2_000


def parse_inventory(filename: str, text: str) -> Inventory:
    """Parse and validate an inventory.

    Args:
        filename: Name for error messages.
        text: The INI text.

    Returns:
        The inventory, with version 0.

    Raises:
        InventoryError: The text is invalid; holds all errors, sorted by line.
    """
    parsed = parse_ini_text(filename, text)
    errors = list(parsed.errors)
    sections_by_kind = _validate_sections(parsed, errors)
    inventory = _build_inventory(sections_by_kind, text)
    errors.extend(find_cross_section_errors(parsed, inventory))
    if errors:
        errors.sort(key=lambda error: error.line)
        raise InventoryError(errors)
    return inventory


def _validate_sections(
    parsed: IniFile, errors: list[LocatedError]
) -> dict[str, dict[str, IniSection]]:
    sections_by_kind: dict[str, dict[str, IniSection]] = {
        kind: {} for kind in _models_by_kind
    }
    for section in parsed.values_by_section:
        kind, _, name = section.partition(" ")
        model = _models_by_kind.get(kind)
        if model is None:
            known = ", ".join(_models_by_kind)
            errors.append(parsed.make_error(section, "", "unknown section", known))
            continue
        if kind != "rules" and not _NAME_PATTERN.match(name):
            expected = f"[{kind} NAME] with letters, digits, '.', '_' or '-'"
            errors.append(parsed.make_error(section, "", "invalid name", expected))
            continue
        validated, section_errors = validate_section(parsed, section, model)
        errors.extend(section_errors)
        if validated is not None:
            sections_by_kind[kind][name] = validated
    return sections_by_kind


def _build_inventory(
    sections_by_kind: dict[str, dict[str, IniSection]], text: str
) -> Inventory:
    servers_by_id = {
        name: _build_server(name, section)
        for name, section in sections_by_kind["server"].items()
    }
    server_ids_by_group: dict[str, list[str]] = {}
    for server in servers_by_id.values():
        server_ids_by_group.setdefault(server.group_id, []).append(server.server_id)
    rules = sections_by_kind["rules"].get("", RulesSection())
    return Inventory(
        source=text,
        domains_by_id={
            name: section.region
            for name, section in sections_by_kind["failure-domain"].items()
        },
        customers_by_id={
            name: Customer(name, section.users, section.queue_limit)
            for name, section in sections_by_kind["customer"].items()
        },
        groups_by_id={
            name: DatabaseGroup(
                name,
                section.database,
                section.customers,
                tuple(server_ids_by_group.get(name, ())),
            )
            for name, section in sections_by_kind["group"].items()
        },
        servers_by_id=servers_by_id,
        read_rules_by_kind={
            name: ReadRule(name, section.max_age_ms, section.wait_ms)
            for name, section in sections_by_kind["read"].items()
        },
        rules=Rules(**rules.model_dump()),
    )


def _build_server(name: str, section: ServerSection) -> BackendServer:
    host, _, port = section.address.rpartition(":")
    return BackendServer(
        name,
        section.group,
        host,
        int(port),
        section.failure_domain,
        section.slots,
        section.connections,
    )


def find_cross_section_errors(
    parsed: IniFile, inventory: Inventory
) -> list[LocatedError]:
    """Check references between sections, and limits that involve several sections.

    Args:
        parsed: The parsed file, for line numbers.
        inventory: Records of all valid sections.

    Returns:
        All errors.
    """
    errors = []
    errors.extend(_find_server_errors(parsed, inventory))
    errors.extend(_find_group_errors(parsed, inventory))
    errors.extend(_find_user_errors(parsed, inventory))
    return errors


def _find_server_errors(parsed: IniFile, inventory: Inventory) -> list[LocatedError]:
    errors = []
    seats = inventory.rules.seats
    server_id_by_address: dict[tuple[str, int], str] = {}
    for server in inventory.servers_by_id.values():
        section = f"server {server.server_id}"
        if f"group {server.group_id}" not in parsed.values_by_section:
            problem = f"unknown group {server.group_id!r}"
            errors.append(
                parsed.make_error(section, "group", problem, "a [group NAME]")
            )
        domain_section = f"failure-domain {server.failure_domain}"
        if domain_section not in parsed.values_by_section:
            problem = f"unknown failure domain {server.failure_domain!r}"
            expected = "a [failure-domain NAME]"
            errors.append(
                parsed.make_error(section, "failure-domain", problem, expected)
            )
        if not 1 <= server.port <= 65_535:
            problem = f"port {server.port}"
            errors.append(parsed.make_error(section, "address", problem, "1 to 65535"))
        other = server_id_by_address.setdefault(
            (server.host, server.port), server.server_id
        )
        if other != server.server_id:
            problem = f"address already used by server {other!r}"
            errors.append(parsed.make_error(section, "address", problem, "another one"))
        min_connections = seats * MIN_SERVER_CONNECTIONS_PER_SEAT
        if server.connections < min_connections:
            problem = f"{server.connections} connections for {seats} seats"
            expected = f"at least {min_connections}"
            errors.append(parsed.make_error(section, "connections", problem, expected))
    return errors


def _find_group_errors(parsed: IniFile, inventory: Inventory) -> list[LocatedError]:
    errors = []
    group_id_by_database: dict[str, str] = {}
    for group in inventory.groups_by_id.values():
        section = f"group {group.group_id}"
        if not group.server_ids:
            expected = "a [server NAME] with this group"
            errors.append(parsed.make_error(section, "", "no server", expected))
        for customer_id in group.customers:
            if f"customer {customer_id}" in parsed.values_by_section:
                continue
            problem = f"unknown customer {customer_id!r}"
            expected = "a [customer NAME]"
            errors.append(parsed.make_error(section, "customers", problem, expected))
        other = group_id_by_database.setdefault(group.database, group.group_id)
        if other != group.group_id:
            problem = f"database already used by group {other!r}"
            errors.append(
                parsed.make_error(section, "database", problem, "another one")
            )
    return errors


def _find_user_errors(parsed: IniFile, inventory: Inventory) -> list[LocatedError]:
    errors = []
    customer_id_by_user: dict[str, str] = {}
    for customer in inventory.customers_by_id.values():
        for user in customer.users:
            other = customer_id_by_user.setdefault(user, customer.customer_id)
            if other == customer.customer_id:
                continue
            problem = f"user {user!r} already belongs to customer {other!r}"
            section = f"customer {customer.customer_id}"
            errors.append(parsed.make_error(section, "users", problem, "another one"))
    return errors
