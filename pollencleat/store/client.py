"""Calls to the platform over HTTP.

The platform guarantees linearizable reads; the safety of write permits depends on that.
An update whose answer is lost raises StoreUnavailableError and may have taken effect;
callers find out by reading, and never resend the update without reading first.
"""

from dataclasses import dataclass
from typing import Annotated

import aiohttp
import pydantic

from pollencleat.core.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)

CALL_TIMEOUT_S = 2.0
MAX_OBJECT_BYTES = 1_000_000
"""Largest value that the platform stores."""

MAX_VERSION = (1 << 63) - 1
"""Largest version that fits into a message to a peer."""

NOT_MODIFIED = 304
NOT_FOUND = 404
CONFLICT = 409


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's value with its version; version 0 if it does not exist."""

    name: str
    version: int
    value: str


Version = Annotated[int, pydantic.Field(ge=0, le=MAX_VERSION)]


class _ObjectAnswer(pydantic.BaseModel):
    version: Version
    value: str


class _VersionAnswer(pydantic.BaseModel):
    version: Version


class _ListAnswer(pydantic.BaseModel):
    names: list[str]


class VmListAnswer(pydantic.BaseModel):
    """The platform's list of virtual machines."""

    version: Version
    live: tuple[str, ...]
    leaving: tuple[str, ...]


class StoreClient:
    """HTTP client of the object API.

    Attributes:
        calls: Number of calls so far.
    """

    def __init__(self, url: str, token: str = "") -> None:
        """Use the API at a URL, with a bearer token if given."""
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def read_object(
        self, name: str, known_version: int = 0
    ) -> StoredObject | None:
        """Read an object unless the caller has its newest version.

        Args:
            name: Object name.
            known_version: The version that the caller has, or 0.

        Returns:
            The object, or None if the known version is the newest.

        Raises:
            StoreUnavailableError: No answer.
        """
        headers = {"If-None-Match": str(known_version)} if known_version else {}
        status, body = await self._call("GET", f"/objects/{name}", headers=headers)
        if status == NOT_MODIFIED:
            return None
        if status == NOT_FOUND:
            return StoredObject(name, 0, "")
        answer = _validate(_ObjectAnswer, body)
        return StoredObject(name, answer.version, answer.value)

    async def update_object(self, name: str, expected_version: int, value: str) -> int:
        """Replace an object if its version is the expected one.

        Args:
            name: Object name.
            expected_version: 0 to create it.
            value: The new value.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The object has another version.
            StoreUnavailableError: No answer; the change may have taken effect.
            StoreError: The value exceeds MAX_OBJECT_BYTES.
        """
        if len(value.encode()) > MAX_OBJECT_BYTES:
            raise StoreError(f"value of object {name} exceeds {MAX_OBJECT_BYTES} bytes")
        body = {"expected": expected_version, "value": value}
        status, answer = await self._call("PUT", f"/objects/{name}", json=body)
        if status == CONFLICT:
            raise StoreConflictError(
                f"object {name} is not at version {expected_version}"
            )
        return _validate(_VersionAnswer, answer).version

    async def list_objects(self, prefix: str) -> list[str]:
        """List object names.

        Args:
            prefix: Prefix of the names.

        Returns:
            Sorted names.

        Raises:
            StoreUnavailableError: No answer.
        """
        _, body = await self._call("GET", "/objects", params={"prefix": prefix})
        return sorted(_validate(_ListAnswer, body).names)

    async def delete_object(self, name: str) -> None:
        """Delete an object if it exists.

        Args:
            name: Object name.

        Raises:
            StoreUnavailableError: No answer.
        """
        await self._call("DELETE", f"/objects/{name}")

    async def read_vms(self, known_version: int = 0) -> VmListAnswer | None:
        """Read the list of virtual machines.

        Args:
            known_version: The version that the caller has, or 0.

        Returns:
            The list, or None if the known version is the newest.

        Raises:
            StoreUnavailableError: No answer.
        """
        headers = {"If-None-Match": str(known_version)} if known_version else {}
        status, body = await self._call("GET", "/vms", headers=headers)
        if status == NOT_MODIFIED:
            return None
        return _validate(VmListAnswer, body)

    async def _call(
        self, method: str, path: str, headers: dict | None = None, **options: object
    ) -> tuple[int, bytes]:
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
            # An answer names no request: on a connection that is kept, a second answer
            # to an earlier call would be taken for the answer to the next one.
            self._session = aiohttp.ClientSession(
                timeout=timeout, connector=aiohttp.TCPConnector(force_close=True)
            )
        self.calls += 1
        merged = {**self._headers, **(headers or {})}
        try:
            async with self._session.request(
                method, self._url + path, headers=merged, **options
            ) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailableError(f"{method} {path}: {error}") from error
        expected = (200, NOT_MODIFIED, NOT_FOUND, CONFLICT)
        if status not in expected:
            raise StoreUnavailableError(f"{method} {path}: status {status}")
        return status, body


def _validate(model: type[pydantic.BaseModel], body: bytes) -> pydantic.BaseModel:
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise StoreError(f"malformed answer of the platform: {error}") from error
