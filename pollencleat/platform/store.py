"""The platform store port: the fleet object, and watches of inventory and servers."""

import asyncio
import dataclasses
import zlib
from collections.abc import Callable

import msgspec
import structlog

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.compression import decompress
from pollencleat.core.data import (
    BackendServer,
    Fleet,
    Inventory,
    VmList,
    find_fleet_problem,
)
from pollencleat.core.errors import StoreError
from pollencleat.core.faults import ErrorRecorder
from pollencleat.core.ports import PlatformState
from pollencleat.core.refusals import RefusedObjects
from pollencleat.core.versions import era_of, make_version, revision_of
from pollencleat.membership.directory import ServerDirectory
from pollencleat.platform.objects import (
    HistoryGoneError,
    Json,
    ObjectChanges,
    ObjectClient,
    ObjectList,
    StoredObject,
)
from pollencleat.platform.records import decode_inventory, decode_server

FLEET_KIND = "pollencleat"
FLEET_NAME = "fleet"
MAX_FLEET_BYTES = 4 * 1024 * 1024
"""Largest fleet state, uncompressed."""

INVENTORY_KIND = "config"
INVENTORY_NAME = "main"
SERVERS_KIND = "servers"

WATCH_WAIT_S = 3.0
"""How long a watch waits for changes, and thus how late an unresponsive connection is
detected: within the 4 s for which the users' specification counts a machine as
disturbed by it."""

SERVERS_WATCH_INTERVAL_S = 1.0
"""Seconds between two watches of servers, whose entries change constantly."""

RETRY_DELAY_S = 0.2
"""Seconds before a failed call is retried."""

log = structlog.get_logger()


class FleetObjectStore:
    """Keeps the fleet state in one object of the store."""

    def __init__(self, client: ObjectClient) -> None:
        """Use a client."""
        self._client = client

    async def read_state(self, board: Blackboard) -> PlatformState:
        """Read the fleet state; watches keep the rest up to date."""
        stored = await self._client.read_object(FLEET_KIND, FLEET_NAME)
        era = self._client.era
        fleet = board.fleet
        if stored is None:
            fleet = _missing_fleet(board.fleet, era)
        elif stored.meta.revision != board.fleet.version:
            fleet = unpack_fleet(stored.spec, stored.meta.revision)
        return PlatformState(fleet, board.declared_inventory, board.vms, era)

    async def update_fleet(self, expected_version: int, fleet: Fleet) -> int:
        """Replace the fleet state if its version is the expected one."""
        content = pack_fleet(fleet)
        if not revision_of(expected_version):
            return await self._client.create_object(
                FLEET_KIND, FLEET_NAME, fleet.era, content
            )
        return await self._client.replace_object(
            FLEET_KIND, FLEET_NAME, expected_version, content
        )


def _missing_fleet(known: Fleet, era: int) -> Fleet:
    """Return the state of a store without a fleet object.

    If one is known, the store came back from a copy of before its creation.
    """
    if not known.version or era == era_of(known.version):
        return Fleet()
    return Fleet(make_version(era, 0), era=era_of(known.version))


class _PackedFleet(msgspec.Struct, frozen=True):
    """The fleet state, compressed: relays read it often and across failure domains."""

    packed: bytes


def pack_fleet(fleet: Fleet) -> Json:
    """Return a fleet state as the content of its object.

    Args:
        fleet: The state; its version is the object's.

    Returns:
        The content.
    """
    content = msgspec.msgpack.encode(dataclasses.replace(fleet, version=0))
    return msgspec.to_builtins(_PackedFleet(zlib.compress(content)))


def unpack_fleet(spec: Json, version: int) -> Fleet:
    """Return the fleet state of an object's content.

    Args:
        spec: The content.
        version: The object's version.

    Returns:
        The state.

    Raises:
        StoreError: The content is malformed.
    """
    try:
        packed = msgspec.convert(spec, _PackedFleet).packed
        content = decompress(packed, MAX_FLEET_BYTES)
        fleet = msgspec.msgpack.decode(content, type=Fleet)
    except (ValueError, RecursionError) as error:
        raise StoreError(f"malformed fleet state: {error}") from error
    problem = find_fleet_problem(fleet)
    if problem:
        raise StoreError(f"malformed fleet state: {problem}")
    return dataclasses.replace(fleet, version=version)


async def read_platform_state(client: ObjectClient) -> PlatformState:
    """Read fleet state, inventory and registered servers from the store.

    Args:
        client: The store.

    Returns:
        Fleet, inventory and registered servers; malformed entries are left out.

    Raises:
        StoreError: No answer, or a malformed fleet state or inventory.
    """
    stored = await client.read_object(FLEET_KIND, FLEET_NAME)
    fleet = Fleet()
    if stored is not None:
        fleet = unpack_fleet(stored.spec, stored.meta.revision)
    declared = await client.read_object(INVENTORY_KIND, INVENTORY_NAME)
    inventory = Inventory()
    if declared is not None:
        inventory = decode_inventory(declared.spec)
    listed = await client.list_objects(SERVERS_KIND)
    entries = _decode_servers(listed, client.refused)
    leaving = tuple(sorted(name for name in entries if entries[name][1]))
    servers_by_id = {name: server for name, (server, _) in entries.items()}
    vms = VmList(listed.version, None, leaving, servers_by_id)
    return PlatformState(fleet, inventory, vms)


def _decode_servers(
    listed: ObjectList, refused: RefusedObjects
) -> dict[str, tuple[BackendServer, bool]]:
    """Return server and leaving flag by server id, without malformed entries."""
    entries = {}
    for name, stored in listed.objects_by_name.items():
        entry = _decode_server(stored, refused)
        if entry is not None:
            entries[name] = entry
    return entries


def _decode_server(
    stored: StoredObject, refused: RefusedObjects
) -> tuple[BackendServer, bool] | None:
    name = stored.meta.name
    try:
        entry = decode_server(stored)
    except StoreError as error:
        refused.refuse(SERVERS_KIND, name, str(error))
        return None
    refused.accept(SERVERS_KIND, name)
    return entry


class StoreWatcher:
    """Tracks the objects of one kind: lists them, then watches for changes."""

    def __init__(
        self,
        client: ObjectClient,
        kind: str,
        on_list: Callable[[ObjectList], None],
        on_changes: Callable[[ObjectChanges], None],
        on_availability: Callable[[bool], None],
        interval_s: float = 0.0,
        faults: ErrorRecorder | None = None,
    ) -> None:
        """Watch one kind of objects.

        Args:
            client: The store.
            kind: The kind.
            on_list: Called with each complete list.
            on_changes: Called with the changes after the list.
            on_availability: Called with whether the last call succeeded.
            interval_s: Pause between two watches.
            faults: Records unexpected errors.
        """
        self._faults = faults or ErrorRecorder()
        self._client = client
        self._kind = kind
        self._on_list = on_list
        self._on_changes = on_changes
        self._on_availability = on_availability
        self._interval_s = interval_s
        self._version: int | None = None
        self._is_available = True

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            try:
                await self._step()
                self._report_availability(True, "")
            except HistoryGoneError as error:
                log.info("watch restarted", kind=self._kind, reason=str(error))
                self._version = None
            except StoreError as error:
                self._report_availability(False, str(error))
                await asyncio.sleep(RETRY_DELAY_S)
            except Exception as error:
                # Changes may have been applied partially; a complete list repairs that.
                self._faults.record(f"watch of {self._kind}", error)
                self._version = None
                await asyncio.sleep(RETRY_DELAY_S)

    async def _step(self) -> None:
        if self._version is None:
            listed = await self._client.list_objects(self._kind)
            self._on_list(listed)
            self._version = listed.version
            return
        changes = await self._client.watch(self._kind, self._version, WATCH_WAIT_S)
        if changes.events:
            self._on_changes(changes)
        self._version = max(self._version, changes.version)
        if self._interval_s:
            await asyncio.sleep(self._interval_s)

    def _report_availability(self, is_available: bool, reason: str) -> None:
        self._on_availability(is_available)
        if is_available == self._is_available:
            return
        self._is_available = is_available
        event = "dependency regained" if is_available else "dependency lost"
        log.info(event, dependency=f"store watch of {self._kind}", reason=reason)


def make_inventory_watcher(
    client: ObjectClient, board: Blackboard, faults: ErrorRecorder | None = None
) -> StoreWatcher:
    """Return a watcher that keeps the inventory up to date.

    Args:
        client: The store.
        board: Receives the inventory.
        faults: Records unexpected errors.

    Returns:
        A watcher.
    """

    def adopt(name: str, spec: object) -> None:
        if name != INVENTORY_NAME:
            return
        try:
            inventory = decode_inventory(spec)
        except StoreError as error:
            client.refused.refuse(INVENTORY_KIND, name, str(error))
            return
        client.refused.accept(INVENTORY_KIND, name)
        if board.adopt_inventory(inventory):
            log.info("inventory adopted", version=inventory.version, source="store")

    def on_list(listed: ObjectList) -> None:
        for name, stored in listed.objects_by_name.items():
            adopt(name, stored.spec)

    def on_changes(changes: ObjectChanges) -> None:
        for event in changes.events:
            if not event.deleted:
                adopt(event.object.meta.name, event.object.spec)

    return StoreWatcher(
        client,
        INVENTORY_KIND,
        on_list,
        on_changes,
        lambda is_available: None,
        faults=faults,
    )


def make_servers_watcher(
    client: ObjectClient,
    directory: ServerDirectory,
    faults: ErrorRecorder | None = None,
) -> StoreWatcher:
    """Return a watcher that keeps the directory of servers up to date.

    Args:
        client: The store.
        directory: Receives the entries and decides which servers are used.
        faults: Records unexpected errors.

    Returns:
        A watcher.
    """

    def on_list(listed: ObjectList) -> None:
        entries = _decode_servers(listed, client.refused)
        directory.replace_all(entries, listed.version)

    def on_changes(changes: ObjectChanges) -> None:
        for event in changes.events:
            name = event.object.meta.name
            if event.deleted:
                client.refused.accept(SERVERS_KIND, name)
                directory.remove(name, event.object.meta.revision)
                continue
            entry = _decode_server(event.object, client.refused)
            if entry is not None:
                directory.update(*entry, event.object.meta.revision)
        directory.publish(changes.version)

    return StoreWatcher(
        client,
        SERVERS_KIND,
        on_list,
        on_changes,
        directory.record_call_result,
        SERVERS_WATCH_INTERVAL_S,
        faults,
    )
