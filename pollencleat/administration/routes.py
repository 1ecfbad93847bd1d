"""The operations of the administration API.

The list of operations holds the method, path, role, summary and handler of each one;
the HTTP routes and the OpenAPI document are both generated from it.
"""

import dataclasses
import difflib
import math
import re
from collections.abc import Awaitable, Callable
from typing import Any

import pydantic
from aiohttp import web

from pollencleat.administration.models import ApplyBody, CheckBody, RollbackBody
from pollencleat.administration.node import AdministeredNode
from pollencleat.core.errors import InventoryError
from pollencleat.inventory.forecast import make_forecast
from pollencleat.inventory.parser import parse_inventory
from pollencleat.reports.status import explain_route, make_node_report
from pollencleat.routing.reads import ReadRequest
from pollencleat.store.changes import (
    apply_inventory,
    read_former_inventory,
    read_history,
)
from pollencleat.store.objects import INVENTORY_NAME, decode_inventory

MAX_NUMBER_DIGITS = 18
"""Most digits of a number in a request; every such number fits into 64 bits."""

_NUMBER = re.compile(rf"[0-9]{{1,{MAX_NUMBER_DIGITS}}}")

Handler = Callable[[AdministeredNode, web.Request, str], Awaitable[web.Response]]


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of the API.

    Attributes:
        role: Role that a token must have; empty if no token is needed.
        body: Model of the request body, or None.
    """

    method: str
    path: str
    role: str
    summary: str
    handler: Handler
    body: type[pydantic.BaseModel] | None = None


operations: list[Operation] = []


def operation(
    method: str,
    path: str,
    role: str,
    summary: str,
    body: type[pydantic.BaseModel] | None = None,
) -> Callable[[Handler], Handler]:
    """Register the decorated handler as an operation.

    Args:
        method: HTTP method.
        path: Path with ``{name}`` parameters.
        role: Role that a token must have; empty if no token is needed.
        summary: One line for the OpenAPI document.
        body: Model of the request body, or None.

    Returns:
        A decorator.
    """

    def register(handler: Handler) -> Handler:
        operations.append(Operation(method, path, role, summary, handler, body))
        return handler

    return register


def make_json_response(value: Any) -> web.Response:
    """Return a response with a value encoded as JSON.

    Args:
        value: A dataclass or a plain value.

    Returns:
        The response.
    """
    body = pydantic.TypeAdapter(Any).dump_json(value)
    return web.Response(body=body, content_type="application/json")


@operation("GET", "/health", "", "Liveness of the process")
async def _health(node: AdministeredNode, request: web.Request, author: str):
    return make_json_response(
        {"node": node.board.node_id, "draining": node.board.draining}
    )


@operation("GET", "/metrics", "read", "Metrics in the Prometheus text format")
async def _metrics(node: AdministeredNode, request: web.Request, author: str):
    return web.Response(body=node.metrics.render(), content_type="text/plain")


@operation("GET", "/v1/status", "read", "The node's view of members and groups")
async def _status(node: AdministeredNode, request: web.Request, author: str):
    return make_json_response(make_node_report(node.board, node.timers.clock()))


@operation("GET", "/v1/connections", "read", "Open connections to backend servers")
async def _connections(node: AdministeredNode, request: web.Request, author: str):
    return make_json_response(
        {
            "node_id": node.board.node_id,
            "open_by_server": node.gateway.open_connections(),
        }
    )


@operation("GET", "/v1/explain", "read", "Which servers may answer a read, and why")
async def _explain(node: AdministeredNode, request: web.Request, author: str):
    group_id = request.query.get("group", "")
    if group_id not in node.board.inventory.groups_by_id:
        raise web.HTTPNotFound(text=f"unknown group {group_id!r}")
    try:
        max_age_s = float(request.query.get("max_age_ms", "10000")) / 1000
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"max_age_ms is not a number: {error}") from error
    if not math.isfinite(max_age_s):
        raise web.HTTPBadRequest(text="max_age_ms is not finite")
    floor = _parse_number(request.query.get("floor", "0"), "floor")
    read = ReadRequest(group_id, floor, max_age_s)
    return make_json_response(explain_route(node.board, read, node.timers.clock()))


@operation("GET", "/v1/inventory", "read", "The inventory in force on the platform")
async def _inventory(node: AdministeredNode, request: web.Request, author: str):
    stored = await node.store.read_object(INVENTORY_NAME)
    return _make_inventory_response(decode_inventory(stored))


def _parse_number(text: str, name: str) -> int:
    if not _NUMBER.fullmatch(text):
        raise web.HTTPBadRequest(
            text=f"{name} must be a number of at most {MAX_NUMBER_DIGITS} digits"
        )
    return int(text)


def _make_inventory_response(inventory) -> web.Response:
    return make_json_response({"version": inventory.version, "text": inventory.source})


@operation("GET", "/v1/inventory/versions/{version}", "read", "A former inventory")
async def _inventory_version(node: AdministeredNode, request: web.Request, author: str):
    version = _parse_number(request.match_info["version"], "the inventory version")
    inventory = await read_former_inventory(node.store, version)
    if inventory is None:
        raise web.HTTPNotFound(text=f"inventory version {version} is not stored")
    return _make_inventory_response(inventory)


@operation("POST", "/v1/inventory/check", "read", "Check an inventory", CheckBody)
async def _check(node: AdministeredNode, request: web.Request, author: str):
    body = CheckBody.model_validate_json(await request.read())
    try:
        inventory = parse_inventory(body.filename, body.text)
    except InventoryError as error:
        return make_json_response({"errors": [str(item) for item in error.errors]})
    return make_json_response({"errors": [], "forecast": make_forecast(inventory)})


@operation(
    "POST",
    "/v1/inventory/diff",
    "read",
    "Compare with the inventory in force",
    CheckBody,
)
async def _diff(node: AdministeredNode, request: web.Request, author: str):
    body = CheckBody.model_validate_json(await request.read())
    stored = await node.store.read_object(INVENTORY_NAME)
    current = decode_inventory(stored)
    return make_json_response(
        {
            "version": current.version,
            "lines": diff_texts(current.source, body.text, current.version),
        }
    )


def diff_texts(old: str, new: str, version: int) -> list[str]:
    """Return a unified diff of two inventory texts.

    Args:
        old: Text in force.
        new: Proposed text.
        version: Version in force.

    Returns:
        Lines without newline characters.
    """
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), f"version {version}", "new", lineterm=""
    )
    return list(lines)


@operation("PUT", "/v1/inventory", "apply", "Apply an inventory", ApplyBody)
async def _apply(node: AdministeredNode, request: web.Request, author: str):
    body = ApplyBody.model_validate_json(await request.read())
    accepted = await apply_inventory(
        node.store,
        body.text,
        body.expected_version,
        author,
        body.cause,
        body.change_id,
    )
    return make_json_response(accepted)


@operation(
    "POST",
    "/v1/inventory/rollback",
    "apply",
    "Apply a former version again",
    RollbackBody,
)
async def _rollback(node: AdministeredNode, request: web.Request, author: str):
    body = RollbackBody.model_validate_json(await request.read())
    former = await read_former_inventory(node.store, body.to_version)
    if former is None:
        raise web.HTTPNotFound(
            text=f"inventory version {body.to_version} is not stored"
        )
    cause = body.cause or f"rollback to version {body.to_version}"
    accepted = await apply_inventory(
        node.store, former.source, body.expected_version, author, cause
    )
    return make_json_response(accepted)


@operation("GET", "/v1/audit", "audit", "Accepted changes and promotions")
async def _audit(node: AdministeredNode, request: web.Request, author: str):
    entries = [*await read_history(node.store), *node.board.fleet.audit]
    entries.sort(key=lambda entry: entry.at_s)
    for name in ("author", "subject", "change_id"):
        filter_text = request.query.get(name)
        if filter_text:
            entries = [
                entry for entry in entries if filter_text in getattr(entry, name)
            ]
    return make_json_response(entries)


@operation("GET", "/v1/forecast", "read", "Next month's resources")
async def _forecast(node: AdministeredNode, request: web.Request, author: str):
    return make_json_response(make_forecast(node.board.inventory))


@operation("GET", "/v1/openapi.json", "", "This document")
async def _openapi(node: AdministeredNode, request: web.Request, author: str):
    return make_json_response(make_openapi_document())


def make_openapi_document() -> dict:
    """Return the OpenAPI 3.1 document of all operations.

    Returns:
        The document as JSON-compatible values.
    """
    paths: dict[str, dict] = {}
    schemas: dict[str, dict] = {}
    for item in operations:
        operation_object: dict = {
            "summary": item.summary,
            "responses": {"200": {"description": "Success"}},
        }
        if item.role:
            operation_object["security"] = [{"token": [item.role]}]
        if item.body is not None:
            name = item.body.__name__
            schemas[name] = item.body.model_json_schema()
            content = {"schema": {"$ref": f"#/components/schemas/{name}"}}
            operation_object["requestBody"] = {"content": {"application/json": content}}
        paths.setdefault(item.path, {})[item.method.lower()] = operation_object
    return {
        "openapi": "3.1.0",
        "info": {"title": "pollencleat administration", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }
