"""Stand-in for the platform's object API with fault injection at run time.

Run by hand: ``python -m standins.platform --port 9000``.  Faults are set by
``POST /control`` with a JSON object of FaultBody's fields.
"""

import asyncio
import contextlib
from collections import Counter
from dataclasses import dataclass, field

import click
import pydantic
from aiohttp import web

MAX_WATCH_S = 30.0
UNANSWERED_CALL_HANG_S = 30.0


class FaultBody(pydantic.BaseModel):
    """Changes to faults and to the VM list; omitted fields keep their values.

    Attributes:
        outage: Whether all calls hang for 30 s and then fail with 503.
        cut_tokens: Bearer tokens whose calls fail as in an outage.
        delay_s: Seconds added to every call.
        lose_replies: Number of updates that take effect but whose response is delayed
            by 30 s.
        calls_per_s: Calls beyond this rate are rejected with 429; 0 for no limit.
        live: Ids of the running VMs.
        leaving: Ids of the VMs that are to be removed.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    outage: bool | None = None
    cut_tokens: list[str] | None = None
    delay_s: float | None = None
    lose_replies: int | None = None
    calls_per_s: int | None = None
    live: list[str] | None = None
    leaving: list[str] | None = None


@dataclass
class PlatformState:
    """Objects, the VM list, faults and counters.

    Attributes:
        values: Version and value of each object by name.
        vms_version: Version of the VM list, compared with If-None-Match.
        calls: Calls by HTTP method.
        window_second: Second of the event loop's clock that window_calls counts.
        changed: Set on any update, then replaced by a new event.
    """

    values: dict[str, tuple[int, str]] = field(default_factory=dict)
    revision: int = 0
    live: list[str] = field(default_factory=list)
    leaving: list[str] = field(default_factory=list)
    vms_version: int = 1
    outage: bool = False
    cut_tokens: list[str] = field(default_factory=list)
    delay_s: float = 0.0
    lose_replies: int = 0
    calls_per_s: int = 0
    calls: Counter = field(default_factory=Counter)
    watches_waiting: int = 0
    window_second: int = 0
    window_calls: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)


STATE = web.AppKey("state", PlatformState)


def make_app() -> web.Application:
    """Create the HTTP application.

    Returns:
        An application with an empty state, found under STATE.
    """
    app = web.Application(middlewares=[_apply_faults], client_max_size=4 * 1024 * 1024)
    app[STATE] = PlatformState()
    app.router.add_get("/objects", _list_objects)
    app.router.add_get("/objects/{name:.+}", _read_object)
    app.router.add_put("/objects/{name:.+}", _update_object)
    app.router.add_delete("/objects/{name:.+}", _delete_object)
    app.router.add_get("/watch/{name:.+}", _watch_object)
    app.router.add_get("/vms", _read_vms)
    app.router.add_post("/control", _control)
    app.router.add_get("/counters", _counters)
    return app


@web.middleware
async def _apply_faults(request: web.Request, handler) -> web.StreamResponse:
    state = request.app[STATE]
    if request.path in ("/control", "/counters"):
        return await handler(request)
    state.calls[request.method] += 1
    token = request.headers.get("Authorization", "").removeprefix("Bearer ")
    if state.outage or token in state.cut_tokens:
        await asyncio.sleep(UNANSWERED_CALL_HANG_S)
        raise web.HTTPServiceUnavailable
    if _exceeds_rate_limit(state):
        raise web.HTTPTooManyRequests
    if state.delay_s:
        await asyncio.sleep(state.delay_s)
    if state.outage or token in state.cut_tokens:
        raise web.HTTPServiceUnavailable
    return await handler(request)


def _exceeds_rate_limit(state: PlatformState) -> bool:
    if not state.calls_per_s:
        return False
    second = int(asyncio.get_running_loop().time())
    if second != state.window_second:
        state.window_second = second
        state.window_calls = 0
    state.window_calls += 1
    return state.window_calls > state.calls_per_s


async def _list_objects(request: web.Request) -> web.Response:
    prefix = request.query.get("prefix", "")
    values = request.app[STATE].values
    return web.json_response(
        {"names": [name for name in values if name.startswith(prefix)]}
    )


async def _read_object(request: web.Request) -> web.Response:
    entry = request.app[STATE].values.get(request.match_info["name"])
    if entry is None:
        return web.json_response({}, status=404)
    version, value = entry
    if request.headers.get("If-None-Match") == str(version):
        return web.Response(status=304)
    return web.json_response({"version": version, "value": value})


async def _update_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    name = request.match_info["name"]
    body = await request.json()
    version = state.values.get(name, (0, ""))[0]
    if body["expected"] != version:
        return web.json_response({"version": version}, status=409)
    state.revision += 1
    state.values[name] = (version + 1, body["value"])
    _notify_watches(state)
    if state.lose_replies > 0:
        state.lose_replies -= 1
        await asyncio.sleep(UNANSWERED_CALL_HANG_S)
    return web.json_response({"version": version + 1})


async def _delete_object(request: web.Request) -> web.Response:
    request.app[STATE].values.pop(request.match_info["name"], None)
    return web.json_response({})


async def _watch_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    after = int(request.query.get("after", "0"))
    name = request.match_info["name"]
    state.watches_waiting += 1
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_WATCH_S):
                while state.values.get(name, (0, ""))[0] <= after:
                    await state.changed.wait()
    finally:
        state.watches_waiting -= 1
    return await _read_object(request)


def _notify_watches(state: PlatformState) -> None:
    state.changed.set()
    state.changed = asyncio.Event()


async def _read_vms(request: web.Request) -> web.Response:
    state = request.app[STATE]
    if request.headers.get("If-None-Match") == str(state.vms_version):
        return web.Response(status=304)
    return web.json_response(
        {"version": state.vms_version, "live": state.live, "leaving": state.leaving}
    )


async def _control(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = FaultBody.model_validate_json(await request.read())
    changes = body.model_dump(exclude_none=True)
    for name, value in changes.items():
        setattr(state, name, value)
    if "live" in changes or "leaving" in changes:
        state.vms_version += 1
    return web.json_response({})


async def _counters(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return web.json_response(
        {"calls": dict(state.calls), "watches_waiting": state.watches_waiting}
    )


@click.command()
@click.option("--host", default="127.0.0.1")
@click.option("--port", default=0, type=int)
def main(host: str, port: int) -> None:
    """Print the port and serve until interrupted."""
    asyncio.run(serve(host, port))


async def serve(host: str, port: int) -> None:
    """Print the port and serve until cancelled.

    Args:
        host: Address to listen on.
        port: Port to listen on, or 0 for a free one.
    """
    runner = web.AppRunner(make_app(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    click.echo(f"port {runner.addresses[0][1]}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
