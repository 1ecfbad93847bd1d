"""Accepting a new inventory, once, with its audit entry.

The audit entry is part of the inventory object, so that an entry exists exactly if its
change was accepted.  Before an inventory is replaced, it is copied to the history.
"""

import asyncio
import secrets
import time
from dataclasses import dataclass

from pollencleat.core.data import AuditEntry, Inventory
from pollencleat.core.errors import (
    PollencleatError,
    StoreConflictError,
    StoreUnavailableError,
)
from pollencleat.inventory.parser import parse_inventory
from pollencleat.store.client import StoreClient, StoredObject
from pollencleat.store.objects import (
    HISTORY_KEPT,
    HISTORY_PREFIX,
    INVENTORY_NAME,
    InventoryDocument,
    decode_inventory,
)

SETTLE_TRIES = 5
SETTLE_PAUSE_S = 0.3


class ChangeUnsettledError(PollencleatError):
    """The platform cannot be asked whether the change was accepted."""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An inventory that is in force from now on."""

    version: int
    change_id: str


async def apply_inventory(
    client: StoreClient,
    text: str,
    expected_version: int,
    author: str,
    cause: str,
    change_id: str = "",
) -> AcceptedChange:
    """Replace the inventory if its version is the one that the operator saw.

    Args:
        client: The platform.
        text: The new INI text, checked as a whole first.
        expected_version: Version that the operator saw; 0 for the first.
        author: Who asks.
        cause: Why.
        change_id: Identity of this change; a new one if empty.

    Returns:
        The new version.

    Raises:
        InventoryError: The text is invalid; nothing was changed.
        StoreConflictError: Somebody else changed the inventory.
        ChangeUnsettledError: The platform stopped answering after the update was sent.
        StoreUnavailableError: The platform does not answer; nothing was changed.
    """
    parse_inventory("inventory", text)
    change_id = change_id or secrets.token_hex(8)
    current = await client.read_object(INVENTORY_NAME)
    if _change_id_of(current) == change_id:
        return AcceptedChange(current.version, change_id)
    if current.version != expected_version:
        raise StoreConflictError(
            f"the inventory is version {current.version}, not {expected_version}"
        )
    await archive_inventory(client, current)
    entry = AuditEntry(
        change_id,
        int(time.time()),
        author,
        "inventory",
        f"version {current.version}",
        f"version {current.version + 1}",
        cause,
    )
    value = InventoryDocument(source=text, audit=entry).model_dump_json()
    try:
        version = await client.update_object(INVENTORY_NAME, current.version, value)
    except StoreUnavailableError:
        version = await _settle(client, current.version, change_id)
    return AcceptedChange(version, change_id)


async def _settle(client: StoreClient, expected_version: int, change_id: str) -> int:
    for _ in range(SETTLE_TRIES):
        await asyncio.sleep(SETTLE_PAUSE_S)
        try:
            stored = await client.read_object(INVENTORY_NAME)
        except StoreUnavailableError:
            continue
        if _change_id_of(stored) == change_id:
            return stored.version
        if await _is_archived(client, change_id, expected_version + 1, stored.version):
            return expected_version + 1
        if stored.version > expected_version:
            raise StoreConflictError(f"the inventory is version {stored.version}")
    raise ChangeUnsettledError(
        f"change {change_id}: the platform does not tell whether it was accepted; "
        "apply again with this change id"
    )


async def _is_archived(
    client: StoreClient, change_id: str, version: int, newest: int
) -> bool:
    if newest <= version:
        return False
    stored = await client.read_object(history_name(version))
    return _change_id_of(stored) == change_id


def _change_id_of(stored: StoredObject) -> str:
    if not stored.version:
        return ""
    return InventoryDocument.model_validate_json(stored.value).audit.change_id


def history_name(version: int) -> str:
    """Return the object name of a former inventory.

    Args:
        version: Its version.

    Returns:
        A name that sorts by version.
    """
    return f"{HISTORY_PREFIX}{version:010d}"


async def archive_inventory(client: StoreClient, current: StoredObject) -> None:
    """Copy an inventory to the history unless it is there.

    Args:
        client: The platform.
        current: The inventory object in force.
    """
    if not current.version:
        return
    if not await _create_if_missing(client, current):
        return
    names = await client.list_objects(HISTORY_PREFIX)
    for name in names[:-HISTORY_KEPT]:
        await client.delete_object(name)


async def _create_if_missing(client: StoreClient, current: StoredObject) -> bool:
    """Return whether the copy was made now; a lost reply is safely asked again."""
    name = history_name(current.version)
    for _ in range(SETTLE_TRIES - 1):
        try:
            await client.update_object(name, 0, current.value)
            return True
        except StoreConflictError:
            return False
        except StoreUnavailableError:
            await asyncio.sleep(SETTLE_PAUSE_S)
    await client.update_object(name, 0, current.value)
    return True


async def read_history(client: StoreClient) -> list[AuditEntry]:
    """Return the audit entries of all kept inventories.

    Args:
        client: The platform.

    Returns:
        Entries, oldest first.
    """
    entries = []
    for name in await client.list_objects(HISTORY_PREFIX):
        stored = await client.read_object(name)
        entries.append(_audit_of(stored))
    current = await client.read_object(INVENTORY_NAME)
    if current.version:
        entries.append(_audit_of(current))
    return entries


def _audit_of(stored: StoredObject) -> AuditEntry:
    return InventoryDocument.model_validate_json(stored.value).audit


async def read_former_inventory(client: StoreClient, version: int) -> Inventory | None:
    """Return an inventory of the history, or the one in force.

    Args:
        client: The platform.
        version: Its version.

    Returns:
        The inventory, or None if it is not kept.
    """
    current = await client.read_object(INVENTORY_NAME)
    if current.version == version:
        return decode_inventory(current)
    stored = await client.read_object(history_name(version))
    if not stored.version:
        return None
    return decode_inventory(stored)
