"""Calls to the platform's store over HTTP.

A call without an answer may have taken effect, or may take effect later.  Callers find
out by reading, and never resend a change without its expected revision.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote, urlencode

import msgspec
import structlog

from pollencleat.core.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from pollencleat.core.nesting import find_nested, split_nested
from pollencleat.core.refusals import RefusedObjects
from pollencleat.core.versions import (
    MAX_ERA,
    MAX_REVISION,
    era_of,
    format_version,
    make_version,
    revision_of,
)
from pollencleat.platform.settings import Endpoint
from pollencleat.platform.wire import is_decimal_number
from pollencleat.web.client import HttpClient, HttpError

CALL_TIMEOUT_S = 1.0
"""Timeout of a call; a healthy store answers within milliseconds."""

WATCH_MARGIN_S = 0.7
"""How long after the requested wait the answer to a watch may arrive."""

OBJECTS_PATH = "/api/objects"

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
ENTRIES_DEPTH = 2
"""Arrays and objects around the entries of a list or watch answer."""

ERA_HEADER = "store-era"
"""Header of all answers; rises by one when the store comes back from an older copy."""

OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
GONE = 410

log = structlog.get_logger()

Json = dict | list | str | int | float | bool | None
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
Refuse = Callable[[str, str], None]


class HistoryGoneError(StoreError):
    """The store has discarded the changes since the requested revision."""


class ObjectMeta(msgspec.Struct, frozen=True):
    """An object's name, and the version of its last change.

    On the wire the field holds the revision alone; the era is in a header.
    """

    name: str
    revision: Revision


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the store.

    Attributes:
        spec: The desired state or declaration of the object's writer.
        status: The reported state.
    """

    meta: ObjectMeta
    spec: Json = None
    status: Json = None


class ObjectEvent(msgspec.Struct, frozen=True):
    """One change of an object."""

    object: StoredObject
    deleted: bool = False


class _ListPage(msgspec.Struct):
    items: list[msgspec.Raw]
    current_rev: Revision
    has_more: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[msgspec.Raw]
    current_rev: Revision


class _Name(msgspec.Struct, frozen=True):
    name: str


class _EventOutline(msgspec.Struct, frozen=True):
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class ObjectList:
    """All objects of a kind at a version of the store."""

    objects_by_name: dict[str, StoredObject]
    version: int


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Changes of a kind up to a version of the store."""

    events: tuple[ObjectEvent, ...]
    version: int


class ObjectClient:
    """HTTP client of the platform's store.

    Attributes:
        calls: Number of calls so far.
        era: Highest era of the store in an answer so far.
        refused: Objects that cannot be used.
    """

    def __init__(
        self, address: Endpoint, refused: RefusedObjects | None = None
    ) -> None:
        """Use the store at an address; refused objects are logged by default."""
        self.refused = refused or RefusedObjects()
        self._address = address
        self._http = HttpClient(address.host, address.port)
        self._watch_clients_by_kind: dict[str, HttpClient] = {}
        self.calls = 0
        self.era = 0

    async def close(self) -> None:
        """Close all connections."""
        for client in (self._http, *self._watch_clients_by_kind.values()):
            client.close()

    async def read_object(self, kind: str, name: str) -> StoredObject | None:
        """Read an object; reads are linearizable.

        Args:
            kind: Its kind.
            name: Its name.

        Returns:
            The object, or None if it does not exist.

        Raises:
            StoreUnavailableError: No answer.
        """
        status, body = await self._call("GET", f"/{kind}/{name}")
        if status == NOT_FOUND:
            return None
        return _with_era(_decode(body, StoredObject), self.era)

    async def list_objects(self, kind: str) -> ObjectList:
        """Read all objects of a kind, page by page.

        Args:
            kind: The kind.

        Returns:
            The objects with the revision of the first page; later pages may contain
            newer changes, which the next watch reports again.

        Raises:
            StoreUnavailableError: No answer.
            StoreError: A page cannot be read, or the one after it cannot be asked for.
        """
        objects_by_name: dict[str, StoredObject] = {}
        version = None
        after = ""
        while True:
            params = {"after": after} if after else {}
            _, body = await self._call("GET", f"/{kind}", params=params)
            page = _decode_entries(body, _ListPage)
            page_version = make_version(self.era, page.current_rev)
            version = page_version if version is None else version
            if era_of(version) != self.era:
                raise StoreUnavailableError(f"{kind}: restored between two pages")
            for item in _decode_readable(page.items, StoredObject, self._refuse(kind)):
                objects_by_name[item.meta.name] = _with_era(item, self.era)
            if not page.has_more:
                return ObjectList(objects_by_name, version)
            last = _find_last_name(page.items)
            if last in ("", after):
                raise StoreError(f"{kind}: no name to continue from after {after!r}")
            after = last

    async def watch(self, kind: str, version: int, wait_s: float) -> ObjectChanges:
        """Wait for changes of a kind.

        Args:
            kind: The kind.
            version: Changes after this version are returned.
            wait_s: How long to wait for a change, in seconds.

        Returns:
            The changes; empty if there were none in time.

        Raises:
            HistoryGoneError: The store has discarded the changes since the version, or
                has come back from an older copy.
            StoreUnavailableError: No answer.
        """
        params = {
            "watch": str(revision_of(version)),
            "wait_ms": str(int(wait_s * 1000)),
        }
        # The second answer to an earlier watch of the kind holds nothing wrong: changes
        # that are known, up to a version that is.  Therefore connections are kept.
        client = self._watch_clients_by_kind.setdefault(
            kind, HttpClient(self._address.host, self._address.port)
        )
        status, body = await self._call(
            "GET", f"/{kind}", wait_s + WATCH_MARGIN_S, params=params, client=client
        )
        if era_of(version) != self.era:
            # A revision that was handed out again hides the changes before it.
            raise HistoryGoneError(f"{kind}: the store was restored")
        if status == GONE:
            raise HistoryGoneError(
                f"{kind}: changes since {format_version(version)} were discarded"
            )
        answer = _decode_entries(body, _WatchAnswer)
        events = [
            ObjectEvent(_with_era(event.object, self.era), event.deleted)
            for event in _decode_readable(
                answer.events, ObjectEvent, self._refuse(kind)
            )
        ]
        return ObjectChanges(tuple(events), make_version(self.era, answer.current_rev))

    async def create_object(self, kind: str, name: str, era: int, spec: Json) -> int:
        """Create an object.

        Args:
            kind: Its kind.
            name: Its name.
            era: Era of the store in which it did not exist.
            spec: Its content.

        Returns:
            Its version.

        Raises:
            StoreConflictError: The object exists.
            StoreUnavailableError: No answer; the object may have been created.
        """
        body = {"meta": {"name": name}, "spec": spec}
        return await self._change("POST", f"/{kind}", body, era)

    async def replace_object(
        self, kind: str, name: str, version: int, spec: Json
    ) -> int:
        """Replace an object's content if its version is the expected one.

        Args:
            kind: Its kind.
            name: Its name.
            version: The expected version.
            spec: The new content.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The object was changed.
            StoreUnavailableError: No answer; the change may have taken effect.
        """
        body = {
            "meta": {"name": name, "revision": revision_of(version)},
            "spec": spec,
        }
        return await self._change("PUT", f"/{kind}/{name}", body, era_of(version))

    def _refuse(self, kind: str) -> Refuse:
        return lambda name, reason: self.refused.refuse(kind, name, reason)

    async def _change(self, method: str, path: str, body: Json, era: int) -> int:
        """Send a change that is meant for an era of the store."""
        if era != self.era:
            raise StoreConflictError(f"{method} {path}: the store was restored")
        status, answer = await self._call(method, path, body=body)
        if status in (CONFLICT, NOT_FOUND):
            raise StoreConflictError(f"{method} {path}: status {status}")
        if era != self.era:
            raise StoreUnavailableError(
                f"{method} {path}: carried out after the store was restored"
            )
        return make_version(era, _decode(answer, StoredObject).meta.revision)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float = CALL_TIMEOUT_S,
        params: dict[str, str] | None = None,
        body: Json = None,
        client: HttpClient | None = None,
    ) -> tuple[int, bytes]:
        """Call the store on a connection of its own, or on one of a client."""
        self.calls += 1
        url = OBJECTS_PATH + quote(path)
        if params:
            url += "?" + urlencode(params)
        content = b"" if body is None else msgspec.json.encode(body)
        try:
            response = await (client or self._http).request(
                method, url, timeout_s, content, is_isolated=client is None
            )
        except HttpError as error:
            raise StoreUnavailableError(f"{method} {path}: {error}") from error
        if response.status not in (OK, CREATED, NOT_FOUND, CONFLICT, GONE):
            raise StoreUnavailableError(f"{method} {path}: status {response.status}")
        self._check_era(f"{method} {path}", response.headers)
        return response.status, response.body

    def _check_era(self, call: str, headers: Mapping[str, str]) -> None:
        """Adopt a higher era; refuse an answer that was given before a restore."""
        text = headers.get(ERA_HEADER, "0")
        if not is_decimal_number(text):
            raise StoreError(f"{call}: malformed era {text[:20]!r}")
        era = int(text)
        if era > MAX_ERA:
            raise StoreError(f"{call}: era {era} is out of range")
        if era < self.era:
            raise StoreUnavailableError(f"{call}: answered before the restore")
        if era > self.era:
            log.info("store era", era=era, before=self.era)
        self.era = era


def _decode(body: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise StoreError(f"malformed answer of the store: {error}") from error


def _decode_entries(body: bytes, kind: type[_ListPage | _WatchAnswer]) -> object:
    """Decode an answer except for its entries, which may each be malformed."""
    try:
        return _decode(body, kind)
    except StoreError:
        outline, parts = split_nested(body, ENTRIES_DEPTH)
    answer = _decode(outline, kind)
    entries = answer.items if kind is _ListPage else answer.events
    entries[:] = [
        msgspec.Raw(parts[msgspec.json.decode(entry)[0]])
        if bytes(entry).startswith(b"[")
        else entry
        for entry in entries
    ]
    return answer


def _with_era(stored: StoredObject, era: int) -> StoredObject:
    """Return an object whose meta holds its version instead of its revision."""
    version = make_version(era, stored.meta.revision)
    return StoredObject(
        ObjectMeta(stored.meta.name, version), stored.spec, stored.status
    )


def _decode_readable(
    items: list[msgspec.Raw],
    kind: type,
    refuse: Refuse = lambda name, reason: None,
) -> list:
    """Return the items that can be decoded; other writers may store malformed ones."""
    readable = []
    for item in items:
        try:
            readable.append(msgspec.json.decode(item, type=kind))
        except DECODE_ERRORS as error:
            removal = _decode_removal(bytes(item)) if kind is ObjectEvent else None
            if removal is None:
                refuse(_find_name(bytes(item)), str(error))
            else:
                readable.append(removal)
    return readable


def _decode_removal(event: bytes) -> ObjectEvent | None:
    """Return the removal of an object whose content cannot be decoded."""
    outline, _ = split_nested(event, 1)
    meta = find_nested(find_nested(event, b"object"), b"meta")
    try:
        if not msgspec.json.decode(outline, type=_EventOutline).deleted:
            return None
        return ObjectEvent(
            StoredObject(msgspec.json.decode(meta, type=ObjectMeta)), True
        )
    except DECODE_ERRORS:
        return None


def _find_name(entry: bytes) -> str:
    """Return the name of a malformed object or event; empty if it has none."""
    stored = find_nested(entry, b"object") or entry
    try:
        return msgspec.json.decode(find_nested(stored, b"meta"), type=_Name).name
    except DECODE_ERRORS:
        return ""


def _find_last_name(items: list[msgspec.Raw]) -> str:
    """Return the last name on a page; empty if no entry has one."""
    for item in reversed(items):
        name = _find_name(bytes(item))
        if name:
            return name
    return ""
