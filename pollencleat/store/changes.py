"""Replaces the inventory, at most once per change id, and keeps its history.

The audit entry is part of the inventory object, so an entry exists if and only if its
change was accepted.  An inventory is copied to the history before it is replaced.
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
    HISTORY_PREFIX,
    INVENTORY_NAME,
    MAX_FORMER_INVENTORIES,
    InventoryDocument,
    decode_inventory,
)

MAX_ATTEMPTS = 5
ATTEMPT_INTERVAL_S = 0.3


class ChangeUnsettledError(PollencleatError):
    """The platform is unavailable, so whether it accepted the change is unknown."""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """Version and change id of an accepted inventory."""

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
        text: The new INI text; validated before anything is changed.
        expected_version: Version that the operator saw; 0 if there is none yet.
        author: Author in the audit entry.
        cause: Reason in the audit entry.
        change_id: Id that makes a repeated call idempotent; generated if empty.

    Returns:
        The new version and the change id.

    Raises:
        InventoryError: The text is invalid; nothing was changed.
        StoreConflictError: The inventory has another version than expected.
        ChangeUnsettledError: The platform stopped answering after the update was sent;
            the change may have been accepted.
        StoreUnavailableError: The platform does not answer; nothing was changed.
    """
    parse_inventory("inventory", text)
    change_id = change_id or secrets.token_hex(8)
    current = await client.read_object(INVENTORY_NAME)
    if _change_id_of(current) == change_id:
        return AcceptedChange(current.version, change_id)
    if current.version != expected_version:
        raise StoreConflictError(
            f"the inventory is at version {current.version}, not {expected_version}"
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
        version = await _find_accepted_version(client, current.version, change_id)
    return AcceptedChange(version, change_id)


async def _find_accepted_version(
    client: StoreClient, expected_version: int, change_id: str
) -> int:
    for _ in range(MAX_ATTEMPTS):
        await asyncio.sleep(ATTEMPT_INTERVAL_S)
        try:
            stored = await client.read_object(INVENTORY_NAME)
        except StoreUnavailableError:
            continue
        if _change_id_of(stored) == change_id:
            return stored.version
        if await _is_archived(client, change_id, expected_version + 1, stored.version):
            return expected_version + 1
        if stored.version > expected_version:
            raise StoreConflictError(
                f"change not accepted: the inventory is at version {stored.version}"
            )
    raise ChangeUnsettledError(
        f"change {change_id}: the platform did not confirm whether it was accepted; "
        "apply again with the same change id"
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
        version: Version of the inventory.

    Returns:
        The name; names sort by version.
    """
    return f"{HISTORY_PREFIX}{version:010d}"


async def archive_inventory(client: StoreClient, current: StoredObject) -> None:
    """Copy the current inventory to the history unless it is already there.

    Deletes the oldest former inventories beyond MAX_FORMER_INVENTORIES.

    Args:
        client: The platform.
        current: The current inventory object.
    """
    if not current.version:
        return
    if not await _create_if_missing(client, current):
        return
    names = await client.list_objects(HISTORY_PREFIX)
    for name in names[:-MAX_FORMER_INVENTORIES]:
        await client.delete_object(name)


async def _create_if_missing(client: StoreClient, current: StoredObject) -> bool:
    """Create the history copy; retrying is safe, because it is created only once.

    Returns:
        False if the copy existed already.
    """
    name = history_name(current.version)
    for _ in range(MAX_ATTEMPTS - 1):
        try:
            await client.update_object(name, 0, current.value)
            return True
        except StoreConflictError:
            return False
        except StoreUnavailableError:
            await asyncio.sleep(ATTEMPT_INTERVAL_S)
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
    """Return the current or a former inventory by version.

    Args:
        client: The platform.
        version: Version of the inventory.

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
