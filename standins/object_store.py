"""A stand-in for the users' platform: its object store and its promotion call.

Follows their protocol page: one revision for all changes, conditional changes, lists in
pages, watches, history that may be forgotten, and calls that fail before or after their
effect.  Faults are switched on by attributes.
"""

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from standins.line_server import ServerGroup

PAGE_ITEMS = 500
"""Items in a page of a list."""

MAX_WAIT_S = 30.0
"""Longest wait of a watch."""


@dataclass
class StoreFaults:
    """What the store does wrong at the moment.

    Attributes:
        down: Every call is refused with 503.
        silent: Calls are not answered.
        lose_answers: Share of changes that take effect and are not answered.
        rejected_hosts: Addresses that get 503.
        delay_s: Added to every answer.
    """

    down: bool = False
    silent: bool = False
    lose_answers: float = 0.0
    rejected_hosts: set[str] = field(default_factory=set)
    delay_s: float = 0.0


class ObjectStoreStandIn:
    """Objects by kind and name, with one revision counter."""

    def __init__(self, seed: int = 1, page_items: int = PAGE_ITEMS) -> None:
        """Start empty; faults are drawn from a seed."""
        self.revision = 1
        self.oldest_revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.faults = StoreFaults()
        self.calls = 0
        self.groups: dict[str, ServerGroup] = {}
        self.promotions: list[tuple[str, str, str, int]] = []
        self._page_items = page_items
        self._random = random.Random(seed)
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._registrations: list[asyncio.Task] = []
        self.address = ""

    async def start(self) -> None:
        """Listen on loopback."""
        app = web.Application(middlewares=[self._apply_faults])
        app.router.add_get("/api/objects/{kind}", self._list)
        app.router.add_post("/api/objects/{kind}", self._create)
        app.router.add_get("/api/objects/{kind}/{name}", self._read)
        app.router.add_put("/api/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/api/objects/{kind}/{name}", self._delete)
        app.router.add_post("/promotion", self._promote)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        for task in self._registrations:
            task.cancel()
        await self._runner.cleanup()

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        self.calls += 1
        faults = self.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if faults.silent:
            await asyncio.sleep(MAX_WAIT_S)
        if faults.down or request.remote in faults.rejected_hosts:
            return web.Response(status=503)
        response = await handler(request)
        is_change = request.method != "GET"
        if is_change and self._random.random() < faults.lose_answers:
            request.transport.abort()
        return response

    # Changes made directly by a test, in the place of operators and servers.

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object.

        Args:
            kind: Its kind.
            name: Its name.
            spec: Its content.

        Returns:
            The store's revision.
        """
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": known["meta"]["created"] if known else self.revision,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        await self._record(kind, {"object": item, "deleted": False})
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object.

        Args:
            kind: Its kind.
            name: Its name.
        """
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        item = {**item, "meta": {**item["meta"], "revision": self.revision}}
        await self._record(kind, {"object": item, "deleted": True})

    async def forget_history(self) -> None:
        """Drop all history; watches from before get 410."""
        self.events.clear()
        self.revision += 1
        self.oldest_revision = self.revision
        async with self._changed:
            self._changed.notify_all()

    async def _record(self, kind: str, event: dict) -> None:
        self.events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    # The protocol.

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        page = names[: self._page_items]
        return web.json_response(
            {
                "items": [self.objects[kind][name] for name in page],
                "has_more": len(names) > len(page),
                "current_rev": self.revision,
            }
        )

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        wait_s = min(int(request.query.get("wait_ms", "0")) / 1000, MAX_WAIT_S)
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if since < self.oldest_revision - 1:
                return web.Response(status=410)
            found = [
                event
                for revision, changed_kind, event in self.events
                if revision > since and changed_kind == kind
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if found or left_s <= 0:
                return web.json_response(
                    {"events": found, "current_rev": self.revision}
                )
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue

    async def _read(self, request: web.Request) -> web.Response:
        item = self._find(request)
        if item is None:
            return web.Response(status=404)
        return web.json_response(item)

    def _find(self, request: web.Request) -> dict | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects.get(kind, {}).get(name)

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["meta"]["name"]
        if name in self.objects.get(kind, {}):
            return web.json_response(self.objects[kind][name], status=409)
        await self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        item = self._find(request)
        if item is None:
            return web.Response(status=404)
        body = await request.json()
        expected = body["meta"].get("revision")
        if expected is not None and expected != item["meta"]["revision"]:
            return web.json_response(item, status=409)
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self.put(kind, name, body["spec"])
        return web.json_response(self.objects[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        if self._find(request) is None:
            return web.Response(status=404)
        await self.remove(request.match_info["kind"], request.match_info["name"])
        return web.Response(status=200)

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        holder = request.headers["Duty-Holder"]
        fence = int(request.headers["Fencing-Token"])
        self.promotions.append((body["service"], body["id"], holder, fence))
        group = self.groups.get(body["service"])
        if group is None or not group.begin_promotion(body["id"]):
            return web.Response(status=409)
        return web.Response(status=200)

    def register(self, group: ServerGroup, interval_s: float = 0.3) -> None:
        """Have a group's servers write their entries from now on.

        Args:
            group: The group, known to the promotion call from now on.
            interval_s: Seconds between two entries of a server.
        """
        self.groups[group.name] = group

        async def write_entries() -> None:
            while True:
                for server in group.servers:
                    entry = server.make_entry()
                    if entry is None:
                        await self.remove("servers", server.server_id)
                    else:
                        await self.put("servers", server.server_id, entry)
                await asyncio.sleep(interval_s)

        self._registrations.append(asyncio.create_task(write_entries()))
