"""Client of the platform's object API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import quote

import msgspec

from ..decoding import Decoder, decode_pruned, decode_value
from ..errors import (
    ObjectNotFound,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
    WatchExpired,
)
from ..process.http_client import HttpConnection, HttpResponse
from ..process.logs import log_warning
from ..process.object_view import Kind
from ..version.snapshots import ObjectChange, StoredObject

Value = TypeVar("Value")

# Characters of an unreadable object that are logged; its name comes first.
LOGGED_BYTES = 120
# The platform replies within milliseconds, or within seconds while it is impaired.
CALL_SECONDS = 3.0
# A check that takes longer proves nothing; a slow platform replies within 0.4 s.
CHECK_SECONDS = 0.6
# Two seconds less than the shortest history of the platform's sites: after a longer
# watch without a change, its revision may be gone, so that the next call is a list.
# Keep-alive probes detect a dead connection earlier.
WATCH_MILLISECONDS = 18_000
WATCH_SECONDS = WATCH_MILLISECONDS / 1000 + 2.0

_KINDS = {
    Kind.CONFIGURATION: "config",
    Kind.EVACUATIONS: "evacuations",
    Kind.AGENTS: "berylturn-agents",
}


class _Meta(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


# Items stay encoded at first, so that one that cannot be read does not hide the others.
class _Listing(msgspec.Struct):
    items: list[msgspec.Raw]
    at_revision: int
    more: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    at_revision: int


class _NamedMeta(msgspec.Struct):
    name: str = ""


class _NamedObject(msgspec.Struct):
    meta: _NamedMeta = msgspec.field(default_factory=_NamedMeta)


_listing_decoder = msgspec.json.Decoder(_Listing)
_events_decoder = msgspec.json.Decoder(_Events)
_object_decoder = msgspec.json.Decoder(_Object)
_event_decoder = msgspec.json.Decoder(_Event)
_named_decoder = msgspec.json.Decoder(_NamedObject)
_encode = msgspec.json.encode


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list.

    Attributes
    ----------
    at_revision : int
        Revision of the platform when it listed the page.
    objects : list of StoredObject
        Readable objects.
    last : str
        Name after which the next page starts; empty if this is the last page.
    """

    at_revision: int
    objects: list[StoredObject]
    last: str


class ObjectClient:
    """Call the object API.

    Each kind has a connection for its lists and watches; writes and checks have one
    each.

    Parameters
    ----------
    address : tuple of str and int
        Address of the object API.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._watch_connections = {kind: HttpConnection(address) for kind in Kind}
        self._write_connection = HttpConnection(address)
        self._check_connection = HttpConnection(address)

    async def list_objects(self, kind: Kind) -> tuple[int, list[StoredObject]]:
        """Return all objects of a kind and the revision at which they are complete."""
        objects: list[StoredObject] = []
        revision: int | None = None
        query = ""
        while True:
            response = await self._read(kind, query, CALL_SECONDS)
            page = decode_listing(response.body)
            objects += page.objects
            # Pages can have different revisions. The lowest is returned, so that a
            # watch from it repeats the changes made between two pages.
            page_revision = page.at_revision
            revision = (
                page_revision if revision is None else min(revision, page_revision)
            )
            if not page.last:
                return revision, objects
            query = f"?after={quote(page.last, safe='')}"

    async def watch_objects(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        """Wait for changes after a revision; raise `WatchExpired` if it is too old."""
        query = f"?watch={revision}&wait_ms={WATCH_MILLISECONDS}"
        response = await self._read(kind, query, WATCH_SECONDS)
        return decode_events(response.body)

    async def read_revision(self) -> int:
        """Return the platform's revision, by a call on a new connection."""
        self._check_connection.close()
        # Each list states the revision; this one is the shortest.
        response = await self._check(f"/-/objects/{_KINDS[Kind.EVACUATIONS]}")
        return decode_listing(response.body).at_revision

    async def read_changes(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        """Return the changes since a revision at once.

        Raises `WatchExpired` if the revision is too old.
        """
        path = f"/-/objects/{_KINDS[kind]}?watch={revision}&wait_ms=0"
        return decode_events((await self._check(path)).body)

    def end_watch(self, kind: Kind) -> None:
        """Close the connection of a watch, so that the watch fails."""
        self._watch_connections[kind].close()

    async def put_object(
        self, kind: Kind, name: str, body: bytes, exists: bool
    ) -> None:
        """Create or replace an object; `exists` decides which is tried first."""
        document = {"meta": {"name": name, "finalizers": []}, "spec": msgspec.Raw(body)}
        data = _encode(document)
        path = f"/-/objects/{_KINDS[kind]}"
        calls = [("PUT", f"{path}/{quote(name, safe='')}"), ("POST", path)]
        (method, first_path), (other_method, other_path) = (
            calls if exists else calls[::-1]
        )
        try:
            await self._write(method, first_path, data)
        except (ObjectNotFound, VersionConflict):
            await self._write(other_method, other_path, data)

    async def remove_object(self, kind: Kind, name: str, revision: int | None) -> None:
        """Remove an object; with a revision, only if the object still has it."""
        path = f"/-/objects/{_KINDS[kind]}/{quote(name, safe='')}"
        if revision is not None:
            path += f"?revision={revision}"
        await self._write("DELETE", path, b"")

    async def _read(self, kind: Kind, query: str, seconds: float) -> HttpResponse:
        path = f"/-/objects/{_KINDS[kind]}{query}"
        response = await self._watch_connections[kind].request(
            "GET", path, seconds=seconds
        )
        _raise_for_status(response)
        return response

    async def _check(self, path: str) -> HttpResponse:
        response = await self._check_connection.request(
            "GET", path, seconds=CHECK_SECONDS
        )
        _raise_for_status(response)
        return response

    async def _write(self, method: str, path: str, body: bytes) -> None:
        # Writes are rare, and a connection may have gone silent since the last one.
        self._write_connection.close()
        _raise_for_status(
            await self._write_connection.request(
                method, path, body, seconds=CALL_SECONDS
            )
        )


def _raise_for_status(response: HttpResponse) -> None:
    status = response.status
    if 200 <= status < 300:
        return
    if status == 410:
        raise WatchExpired(
            "the platform no longer keeps changes since this revision; list again"
        )
    if status == 409:
        raise VersionConflict("the object has changed since it was read; read it again")
    if status == 404:
        raise ObjectNotFound(
            "the platform has no object of this name; check whether it was removed"
        )
    if status in (429, 503):
        raise PlatformUnavailable(
            f"the platform replied with {status}; try again later"
        )
    raise PlatformError(
        f"the platform replied with {status}; see its log: {response.body[:200]!r}"
    )


def decode_listing(body: bytes) -> ListPage:
    """Return one page of a list without its unreadable objects.

    Raises `PlatformError` if the page itself is unreadable.
    """
    page = _decode_reply(_listing_decoder, body)
    objects = [
        _to_stored_object(item) for item in _decode_items(_object_decoder, page.items)
    ]
    last = ""
    if page.more and page.items:
        last = _decode_reply(_named_decoder, page.items[-1]).meta.name
    return ListPage(page.at_revision, objects, last)


def decode_events(body: bytes) -> tuple[int, list[ObjectChange]]:
    """Return the revision and the readable changes of a watch.

    Raises `PlatformError` if the reply itself is unreadable.
    """
    batch = _decode_reply(_events_decoder, body)
    return batch.at_revision, [
        ObjectChange(_to_stored_object(event.object), event.removed)
        for event in _decode_items(_event_decoder, batch.events)
    ]


def _decode_reply(decoder: Decoder[Value], body: bytes) -> Value:
    return decode_pruned(
        decoder,
        body,
        PlatformError,
        "the platform's reply is unreadable; check its version",
    )


def _decode_items(decoder: Decoder[Value], items: list[msgspec.Raw]) -> list[Value]:
    """Return the readable items; log the others."""
    readable = []
    for item in items:
        try:
            readable.append(
                decode_value(decoder, item, PlatformError, "correct the object")
            )
        except PlatformError as error:
            log_warning(
                "object_unreadable",
                start=bytes(item)[:LOGGED_BYTES].decode(errors="replace"),
                error=str(error),
            )
    return readable


def _to_stored_object(item: _Object) -> StoredObject:
    return StoredObject(item.meta.name, item.meta.revision, bytes(item.spec))
