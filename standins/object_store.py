"""Stand-in for the users' platform: its object store and its promotion call.

Implements the platform's protocol: a store-wide revision, conditional updates, paged
lists, watches and history compaction.  Faults are set by attributes; a call may fail
before or after it has taken effect.
"""

import asyncio
import copy
import json
import random
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from standins.line_server import ServerGroup

PAGE_SIZE = 500
"""Default number of objects per list page."""

RAW_MARK = "raw JSON "
"""Stands for raw JSON text while an answer is encoded."""

ERA_HEADER = "Store-Era"

MAX_COPIES = 64
"""Newest copies that are kept."""

MAX_WAIT_S = 30.0
"""Longest wait of a watch, and how long calls hang in the ``silent`` fault."""


@dataclass(frozen=True)
class RawJson:
    """JSON text that answers contain as it is, such as a number no float can hold."""

    text: str


@dataclass
class StoreFaults:
    """Active faults of the store.

    Attributes:
        down: Whether every call is rejected with 503.
        silent: Whether every call hangs for 30 s before it is handled.
        lose_response_probability: Fraction of changes that take effect but whose
            connection is aborted before the response.
        rejected_hosts: Client addresses whose calls are rejected with 503.
        delay_s: Seconds added to every call.
    """

    down: bool = False
    silent: bool = False
    lose_response_probability: float = 0.0
    rejected_hosts: set[str] = field(default_factory=set)
    delay_s: float = 0.0


@dataclass(frozen=True)
class StoreCopy:
    """The contents of the store at one moment, in seconds of the event loop."""

    taken_at_s: float
    revision: int
    objects: dict[str, dict[str, dict]]
    events: list[tuple[int, str, dict]]
    oldest_revision: int


class ObjectStoreStandIn:
    """HTTP object store with one revision counter for all objects.

    Attributes:
        revision: Revision of the latest change.
        oldest_revision: Watches from more than one revision before this get 410.
        objects: Objects by kind and name.
        events: Revision, kind and event of each change in the history.
        calls: Number of calls received.
        groups: Server groups by name that the promotion call accepts.
        promotions: Service, server id, holder and fencing token of each promotion call.
        address: Listening address as host:port.
        era: Number of restores, in the header of all answers; None sends no header.
    """

    def __init__(self, seed: int = 1, page_size: int = PAGE_SIZE) -> None:
        """Create an empty store; the seed drives random faults."""
        self.revision = 1
        self.oldest_revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.faults = StoreFaults()
        self.calls = 0
        self.groups: dict[str, ServerGroup] = {}
        self.promotions: list[tuple[str, str, str, int]] = []
        self._page_size = page_size
        self._random = random.Random(seed)
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._registration_tasks: list[asyncio.Task] = []
        self.address = ""
        self.era: int | None = 0
        self._copies: list[StoreCopy] = []

    async def start(self) -> None:
        """Listen on a free loopback port."""
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
        """Stop listening and stop registering servers."""
        for task in self._registration_tasks:
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
            return self._with_era(web.Response(status=503))
        response = self._with_era(await handler(request))
        is_change = request.method != "GET"
        if is_change and self._random.random() < faults.lose_response_probability:
            request.transport.abort()
        return response

    def _with_era(self, response: web.StreamResponse) -> web.StreamResponse:
        if self.era is not None:
            response.headers[ERA_HEADER] = str(self.era)
        return response

    # Copies and restores.

    def take_copy(self) -> None:
        """Keep a copy of the contents as they are now."""
        self._copies.append(
            StoreCopy(
                asyncio.get_running_loop().time(),
                self.revision,
                copy.deepcopy(self.objects),
                list(self.events),
                self.oldest_revision,
            )
        )

    def start_copying(self, interval_s: float) -> None:
        """Take a copy every so many seconds until the store stops."""

        async def take_copies() -> None:
            while True:
                self.take_copy()
                del self._copies[:-MAX_COPIES]
                await asyncio.sleep(interval_s)

        self._registration_tasks.append(asyncio.create_task(take_copies()))

    async def restore(self, age_s: float = 0.0) -> None:
        """Come back from the newest copy that is at least so old.

        What was written since is lost, its revisions are handed out again, and the era
        rises by one.

        Args:
            age_s: Least age of the copy in seconds; the oldest one if none is as old.
        """
        now_s = asyncio.get_running_loop().time()
        usable = [item for item in self._copies if now_s - item.taken_at_s >= age_s]
        chosen = usable[-1] if usable else self._copies[0]
        self.revision = chosen.revision
        self.objects = copy.deepcopy(chosen.objects)
        self.events = list(chosen.events)
        self.oldest_revision = chosen.oldest_revision
        self.era = (self.era or 0) + 1
        async with self._changed:
            self._changed.notify_all()

    # Direct changes by tests, which act as operators and backend servers.

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Create or replace an object; an equal spec changes nothing.

        Args:
            kind: Object kind.
            name: Object name.
            spec: Object content.

        Returns:
            The store's revision after the change.
        """
        existing = self.objects.setdefault(kind, {}).get(name)
        if existing is not None and existing["spec"] == spec:
            return self.revision
        self.revision += 1
        item = {
            "meta": {
                "name": name,
                "revision": self.revision,
                "created": existing["meta"]["created"] if existing else self.revision,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind][name] = item
        await self._record_event(kind, {"object": item, "deleted": False})
        return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists.

        Args:
            kind: Object kind.
            name: Object name.
        """
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        item = {**item, "meta": {**item["meta"], "revision": self.revision}}
        await self._record_event(kind, {"object": item, "deleted": True})

    async def compact_history(self) -> None:
        """Discard all events, so that watches from older revisions get 410."""
        self.events.clear()
        self.revision += 1
        self.oldest_revision = self.revision
        async with self._changed:
            self._changed.notify_all()

    async def _record_event(self, kind: str, event: dict) -> None:
        self.events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    # HTTP request handlers.

    def _respond(self, content: Any, status: int = 200) -> web.Response:
        raw_texts: list[str] = []

        def replace_raw(value: Any) -> str:
            if not isinstance(value, RawJson):
                raise TypeError(f"not JSON: {type(value).__name__}")
            raw_texts.append(value.text)
            return f"{RAW_MARK}{len(raw_texts) - 1}"

        text = json.dumps(content, default=replace_raw)
        for index, raw_text in enumerate(raw_texts):
            text = text.replace(f'"{RAW_MARK}{index}"', raw_text, 1)
        return web.json_response(text=text, status=status)

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(name for name in self.objects.get(kind, {}) if name > after)
        page = names[: self._page_size]
        return self._respond(
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
            if since < self.oldest_revision - 1 or since > self.revision:
                return web.Response(status=410)
            matching_events = [
                event
                for revision, changed_kind, event in self.events
                if revision > since and changed_kind == kind
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if matching_events or remaining_s <= 0:
                return self._respond(
                    {"events": matching_events, "current_rev": self.revision}
                )
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), remaining_s)
                except TimeoutError:
                    continue

    async def _read(self, request: web.Request) -> web.Response:
        item = self._find_object(request)
        if item is None:
            return web.Response(status=404)
        return self._respond(item)

    def _find_object(self, request: web.Request) -> dict | None:
        kind, name = request.match_info["kind"], request.match_info["name"]
        return self.objects.get(kind, {}).get(name)

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["meta"]["name"]
        if name in self.objects.get(kind, {}):
            return self._respond(self.objects[kind][name], status=409)
        await self.put(kind, name, body["spec"])
        return self._respond(self.objects[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        item = self._find_object(request)
        if item is None:
            return web.Response(status=404)
        body = await request.json()
        expected = body["meta"].get("revision")
        if expected is not None and expected != item["meta"]["revision"]:
            return self._respond(item, status=409)
        kind, name = request.match_info["kind"], request.match_info["name"]
        await self.put(kind, name, body["spec"])
        return self._respond(self.objects[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        if self._find_object(request) is None:
            return web.Response(status=404)
        await self.remove(request.match_info["kind"], request.match_info["name"])
        return web.Response(status=200)

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        holder = request.headers["Duty-Holder"]
        fencing_token = int(request.headers["Fencing-Token"])
        self.promotions.append((body["service"], body["id"], holder, fencing_token))
        group = self.groups.get(body["service"])
        if group is None or not group.begin_promotion(body["id"]):
            return web.Response(status=409)
        return web.Response(status=200)

    def register_group(self, group: ServerGroup, interval_s: float = 0.3) -> None:
        """Write the group's server entries periodically and accept its promotions.

        Args:
            group: The group.
            interval_s: Seconds between two updates of a server's entry.
        """
        self.groups[group.name] = group

        async def write_entries() -> None:
            while True:
                for server_id in group.left_server_ids:
                    await self.remove("servers", server_id)
                for server in list(group.servers):
                    entry = server.make_store_entry()
                    if entry is None:
                        await self.remove("servers", server.server_id)
                    else:
                        await self.put("servers", server.server_id, entry)
                await asyncio.sleep(interval_s)

        self._registration_tasks.append(asyncio.create_task(write_entries()))
