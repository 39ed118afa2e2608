"""Client of the platform's object API."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from ..errors import (
    ObjectNotFound,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
    WatchExpired,
)
from ..process.http_client import HttpAnswer, HttpConnection
from ..process.object_view import Kind
from ..version.snapshots import ObjectChange, StoredObject

# The platform answers in milliseconds; a disturbed one takes seconds.
CALL_SECONDS = 3.0
# A second less than the longest watch, 30 s; keep-alive probes notice silence before.
WATCH_MILLISECONDS = 29_000
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


class _Listing(msgspec.Struct):
    items: list[_Object]
    at_revision: int
    more: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at_revision: int


_listing = msgspec.json.Decoder(_Listing)
_events = msgspec.json.Decoder(_Events)
_encode = msgspec.json.encode


class ObjectClient:
    """Speak the object API; one connection waits for each kind.

    Parameters
    ----------
    address : tuple of str and int
        Where the platform serves its objects.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._watches = {kind: HttpConnection(address) for kind in Kind}
        self._writes = HttpConnection(address)

    async def list_objects(self, kind: Kind) -> tuple[int, list[StoredObject]]:
        """Return all objects of a kind and the revision they are complete at."""
        objects: list[StoredObject] = []
        revision: int | None = None
        query = ""
        while True:
            answer = await self._read(kind, query, CALL_SECONDS)
            page = _decode(_listing, answer)
            objects += map(_stored, page.items)
            # Pages may be of different revisions; a watch repeats what is between.
            at = page.at_revision
            revision = at if revision is None else min(revision, at)
            if not page.more or not page.items:
                return revision, objects
            query = f"?after={quote(page.items[-1].meta.name, safe='')}"

    async def watch_objects(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        """Wait for changes after a revision; raise `WatchExpired` if too old."""
        query = f"?watch={revision}&wait_ms={WATCH_MILLISECONDS}"
        answer = await self._read(kind, query, WATCH_SECONDS)
        found = _decode(_events, answer)
        return found.at_revision, [
            ObjectChange(_stored(event.object), event.removed) for event in found.events
        ]

    async def put_object(
        self, kind: Kind, name: str, body: bytes, exists: bool
    ) -> None:
        """Create or replace an object; `exists` says which to try first."""
        item = {"meta": {"name": name, "finalizers": []}, "spec": msgspec.Raw(body)}
        data = _encode(item)
        path = f"/-/objects/{_KINDS[kind]}"
        calls = [("PUT", f"{path}/{quote(name, safe='')}"), ("POST", path)]
        (first, first_path), (other, other_path) = calls if exists else calls[::-1]
        try:
            await self._write(first, first_path, data)
        except (ObjectNotFound, VersionConflict):
            await self._write(other, other_path, data)

    async def remove_object(self, kind: Kind, name: str, revision: int | None) -> None:
        """Remove an object, if given only at that revision of it."""
        path = f"/-/objects/{_KINDS[kind]}/{quote(name, safe='')}"
        if revision is not None:
            path += f"?revision={revision}"
        await self._write("DELETE", path, b"")

    async def _read(self, kind: Kind, query: str, seconds: float) -> HttpAnswer:
        path = f"/-/objects/{_KINDS[kind]}{query}"
        answer = await self._watches[kind].request("GET", path, seconds=seconds)
        _raise_for(answer)
        return answer

    async def _write(self, method: str, path: str, body: bytes) -> None:
        _raise_for(await self._writes.request(method, path, body, seconds=CALL_SECONDS))


def _raise_for(answer: HttpAnswer) -> None:
    status = answer.status
    if 200 <= status < 300:
        return
    if status == 410:
        raise WatchExpired("the platform has dropped this history; list again")
    if status == 409:
        raise VersionConflict("the object has changed; read it again")
    if status == 404:
        raise ObjectNotFound("the platform holds no such object; create it")
    if status in (429, 503):
        raise PlatformUnavailable(f"the platform answers {status}; try again later")
    raise PlatformError(f"the platform answers {status}: {answer.body[:200]!r}")


def _decode(decoder: msgspec.json.Decoder, answer: HttpAnswer):
    try:
        return decoder.decode(answer.body)
    except msgspec.DecodeError as error:
        raise PlatformError(f"the platform's answer is unreadable: {error}") from error


def _stored(item: _Object) -> StoredObject:
    return StoredObject(item.meta.name, item.meta.revision, bytes(item.spec))
