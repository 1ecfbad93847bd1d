"""The objects that this project stores on the platform, and their encoding."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pydantic

from pollencleat.core.blackboard import Blackboard
from pollencleat.core.data import (
    AuditEntry,
    Fleet,
    Inventory,
    VmList,
    find_fleet_problem,
)
from pollencleat.core.errors import (
    InventoryError,
    StoreError,
    StoreUnavailableError,
)
from pollencleat.core.ports import PlatformState
from pollencleat.core.refusals import RefusedObjects
from pollencleat.inventory.parser import parse_inventory
from pollencleat.store.client import StoreClient, StoredObject

T = TypeVar("T", Inventory, VmList)

FLEET_NAME = "fleet"
INVENTORY_NAME = "inventory"
HISTORY_PREFIX = "inventory-history/"
MAX_FORMER_INVENTORIES = 1000
"""Former inventories that are kept for listing and rollback."""

_fleet_adapter = pydantic.TypeAdapter(Fleet)


class InventoryDocument(pydantic.BaseModel):
    """The value of the inventory object."""

    source: str
    audit: AuditEntry


def encode_fleet(fleet: Fleet) -> str:
    """Encode the value of the fleet object.

    Args:
        fleet: The fleet state; its version is not part of the value.

    Returns:
        JSON.
    """
    return _fleet_adapter.dump_json(dataclasses.replace(fleet, version=0)).decode()


def decode_fleet(stored: StoredObject) -> Fleet:
    """Decode the fleet state.

    Args:
        stored: The fleet object.

    Returns:
        The state with the object's version; empty if the object does not exist.

    Raises:
        StoreError: The value is malformed.
    """
    if not stored.version:
        return Fleet()
    try:
        fleet = _fleet_adapter.validate_json(stored.value)
    except pydantic.ValidationError as error:
        raise StoreError(f"malformed fleet state: {error}") from error
    problem = find_fleet_problem(fleet)
    if problem:
        raise StoreError(f"malformed fleet state: {problem}")
    return dataclasses.replace(fleet, version=stored.version)


def decode_inventory(stored: StoredObject) -> Inventory:
    """Decode an inventory.

    Args:
        stored: The inventory object.

    Returns:
        The inventory with the object's version; empty if the object does not exist.

    Raises:
        StoreError: The value is malformed.
        InventoryError: The source does not parse.
    """
    if not stored.version:
        return Inventory()
    try:
        document = InventoryDocument.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        raise StoreError(f"malformed inventory: {error}") from error
    inventory = parse_inventory("inventory", document.source)
    return dataclasses.replace(inventory, version=stored.version, audit=document.audit)


async def read_vm_list(client: StoreClient, known: VmList) -> VmList:
    """Read the VM list.

    Args:
        client: The platform.
        known: The newest known list.

    Returns:
        The newest list.
    """
    answer = await client.read_vms(known.version)
    if answer is None:
        return known
    return VmList(answer.version, answer.live, answer.leaving)


async def read_fleet(client: StoreClient, known: Fleet) -> Fleet:
    """Read the fleet state.

    Args:
        client: The platform.
        known: The newest known state.

    Returns:
        The newest state.
    """
    stored = await client.read_object(FLEET_NAME, known.version)
    return known if stored is None else decode_fleet(stored)


async def read_inventory(client: StoreClient, known: Inventory) -> Inventory:
    """Read the inventory.

    Args:
        client: The platform.
        known: The newest known inventory.

    Returns:
        The newest inventory.
    """
    stored = await client.read_object(INVENTORY_NAME, known.version)
    return known if stored is None else decode_inventory(stored)


class ObjectStore:
    """Implements the platform store port over this project's own object API."""

    def __init__(self, client: StoreClient) -> None:
        """Use a client."""
        self._client = client
        self._refused = RefusedObjects()

    async def read_state(self, board: Blackboard) -> PlatformState:
        """Read fleet state, inventory and VM list.

        Args:
            board: The node's state; objects of a known version are not fetched again.

        Returns:
            The newest state.

        Raises:
            StoreUnavailableError: No answer.
            StoreError: The fleet state is malformed; a malformed inventory or VM list
                leaves the known one in force.
        """
        fleet, inventory, vms = await asyncio.gather(
            read_fleet(self._client, board.fleet),
            self._read_or_keep(read_inventory, board.declared_inventory),
            self._read_or_keep(read_vm_list, board.vms),
        )
        return PlatformState(fleet, inventory, vms)

    async def _read_or_keep(
        self, read: Callable[[StoreClient, T], Awaitable[T]], known: T
    ) -> T:
        """Read an object; if it is malformed, log that once and keep the known one."""
        kind = type(known).__name__
        try:
            newest = await read(self._client, known)
        except StoreUnavailableError:
            raise
        except (StoreError, InventoryError) as error:
            self._refused.refuse(kind, "", str(error))
            return known
        self._refused.accept(kind, "")
        return newest

    async def update_fleet(self, expected_version: int, fleet: Fleet) -> int:
        """Replace the fleet state if its version is the expected one.

        Args:
            expected_version: 0 to create it.
            fleet: The new state.

        Returns:
            The new version.

        Raises:
            StoreConflictError: Another node changed it.
            StoreUnavailableError: No answer; the change may have taken effect.
        """
        return await self._client.update_object(
            FLEET_NAME, expected_version, encode_fleet(fleet)
        )
