"""Copies of the platform's objects, and their exchange between peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Protocol

import msgspec

from ..decoding import compress, decode_value, decompress
from ..errors import PlatformError
from ..version.snapshots import (
    KindSnapshot,
    ObjectChange,
    SnapshotDelta,
    StoredObject,
)

VIEW_PATH = "/view"
STATE_PATH = "/state"
EXPLAIN_PATH = "/explain"
# Encoded copies that are kept for peers with the same earlier copy.
MAX_EXPORTS = 32
# Digits of the largest revision or digest that a peer may send, 2**64.
MAX_DIGITS = 20


class Kind(StrEnum):
    """Kinds of objects that nodes copy.

    Lists of revisions and of digests have one item for each kind, in this order.
    """

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    AGENTS = "agents"


KINDS = tuple(Kind)


class ObjectStore(Protocol):
    """Interface to the platform's object API."""

    async def list_objects(self, kind: Kind) -> tuple[int, list[StoredObject]]:
        """Return all objects of a kind and the revision of the list."""

    async def watch_objects(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        """Wait for changes after a revision; raise `WatchExpired` if it is too old."""

    async def read_revision(self) -> int:
        """Return the platform's revision, by a call on a new connection."""

    async def read_changes(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        """Return the changes since a revision at once, like `watch_objects`.

        The call uses the connection that `read_revision` has opened.
        """

    def end_watch(self, kind: Kind) -> None:
        """Close the connection of a watch, so that the watch fails."""

    async def put_object(
        self, kind: Kind, name: str, body: bytes, exists: bool
    ) -> None:
        """Create or replace an object; `exists` tells which to try first."""

    async def remove_object(self, kind: Kind, name: str, revision: int | None) -> None:
        """Remove an object; if `revision` is given, only at that revision."""


class _SharedKind(msgspec.Struct, array_like=True):
    at_revision: int
    newest: int
    digest: int
    # None if the requesting peer already has them.
    objects: list[tuple[str, int, bytes]] | None
    # Names and revisions of removals if `objects` are only the changed ones; else None.
    removed: dict[str, int] | None = None


_share_encoder = msgspec.msgpack.Encoder()
_share_decoder = msgspec.msgpack.Decoder(dict[Kind, _SharedKind])


class ObjectView:
    """Hold one snapshot per kind; snapshots never go back.

    Parameters
    ----------
    on_change : callable
        Called with the kind after its objects changed or were first read.
    """

    def __init__(self, on_change: Callable[[Kind], None]) -> None:
        self._on_change = on_change
        self.snapshots = {kind: KindSnapshot() for kind in KINDS}
        # Kinds of which a copy of the changes alone did not match the peer's.
        self._needs_full_copy: set[Kind] = set()
        # Encoded copies by the path of the request, for the state they were made from.
        self._exports: dict[str, bytes] = {}
        self._exported_state: list[int] = []

    @property
    def complete(self) -> bool:
        """Tell whether each kind has been read at least once."""
        return all(snapshot.known for snapshot in self.snapshots.values())

    @property
    def newest(self) -> list[int]:
        """Return the newest known revision of each kind."""
        return [self.snapshots[kind].newest for kind in KINDS]

    @property
    def digests(self) -> list[int]:
        """Return a checksum of the objects of each kind; 0 for a kind not yet read."""
        return [self.snapshots[kind].digest for kind in KINDS]

    def replace(
        self,
        kind: Kind,
        at_revision: int,
        objects: Iterable[StoredObject],
        newest: int = 0,
    ) -> None:
        """Replace the snapshot of a kind by a newer complete one."""
        if self.snapshots[kind].replace(at_revision, objects, newest):
            self._on_change(kind)

    def apply(self, kind: Kind, at_revision: int, changes: list[ObjectChange]) -> None:
        """Apply the changes that a watch returned."""
        if self.snapshots[kind].apply(at_revision, changes):
            self._on_change(kind)

    def export(self, path: str) -> bytes:
        """Return the encoded snapshots, without objects that the peer already has.

        Parameters
        ----------
        path : str
            Path that the peer requested, with the digests and revisions of its copies.
        """
        state = [*self.digests, *(s.at_revision for s in self.snapshots.values())]
        if state != self._exported_state:
            self._exported_state = state
            self._exports.clear()
        if path not in self._exports:
            if len(self._exports) >= MAX_EXPORTS:
                self._exports.clear()
            # Nodes that have the same copy send the same path after a change.
            self._exports[path] = compress(self._export(path))
        return self._exports[path]

    def _export(self, path: str) -> bytes:
        digests, revisions = _parse_numbers(path, "known"), _parse_numbers(path, "at")
        known = zip(self.snapshots.items(), digests, revisions, strict=True)
        shared = {
            kind: _share_kind(snapshot, digest, revision)
            for (kind, snapshot), digest, revision in known
            if snapshot.known
        }
        return _share_encoder.encode(shared)

    def export_path(self) -> str:
        """Return the path that requests differing snapshots from a peer."""
        revisions = [
            0 if kind in self._needs_full_copy else self.snapshots[kind].at_revision
            for kind in KINDS
        ]
        known, at = ".".join(map(str, self.digests)), ".".join(map(str, revisions))
        return f"{VIEW_PATH}?known={known}&at={at}"

    def merge(self, data: bytes) -> None:
        """Merge the snapshots that a peer exported or raise `PlatformError`."""
        exported = decode_value(
            _share_decoder,
            decompress(data),
            PlatformError,
            "copy of a peer is unreadable; run the same release on every node",
        )
        for kind, shared in exported.items():
            if shared.objects is None:
                self.snapshots[kind].confirm(
                    shared.at_revision, shared.newest, shared.digest
                )
                continue
            objects = [StoredObject(*item) for item in shared.objects]
            if shared.removed is None:
                self._needs_full_copy.discard(kind)
                self.replace(kind, shared.at_revision, objects, shared.newest)
            else:
                self._apply_delta(kind, shared, objects)

    def _apply_delta(
        self, kind: Kind, shared: _SharedKind, objects: list[StoredObject]
    ) -> None:
        delta = SnapshotDelta(
            shared.at_revision,
            shared.newest,
            shared.digest,
            tuple(objects),
            shared.removed or {},
        )
        changed, complete = self.snapshots[kind].apply_delta(delta)
        if not complete:
            self._needs_full_copy.add(kind)
        if changed:
            self._on_change(kind)

    def is_behind(self, newest: list[int]) -> bool:
        """Tell whether a peer knows a later change than this copy has.

        A list whose pages are of several revisions may hold objects that are newer
        than the revision as of which it is complete.
        """
        snapshots = (self.snapshots[kind] for kind in KINDS)
        revisions = [max(item.at_revision, item.newest) for item in snapshots]
        return any(a > b for a, b in zip(newest, revisions, strict=False))

    def needs_pull(self, newest: list[int], digests: list[int]) -> bool:
        """Tell whether a peer may have changes missing here, such as a removal."""
        return self.is_behind(newest) or (
            newest == self.newest and digests != self.digests
        )

    def matches(self, newest: list[int], digests: list[int]) -> bool:
        """Tell whether a peer has the same objects and knows no later change."""
        return not self.is_behind(newest) and digests == self.digests


def _parse_numbers(path: str, name: str) -> list[int]:
    """Return the numbers of a parameter of a peer's request, one for each kind.

    They are 0 where they are missing or invalid.
    """
    parameters = path.partition("?")[2].split("&")
    text = next((p for p in parameters if p.startswith(f"{name}=")), "")
    numbers = [
        int(part) if part.isdecimal() and len(part) <= MAX_DIGITS else 0
        for part in text.removeprefix(f"{name}=").split(".")
    ]
    return (numbers + [0] * len(KINDS))[: len(KINDS)]


def _share_kind(snapshot: KindSnapshot, known: int, revision: int) -> _SharedKind:
    """Return what a peer lacks: nothing, the changes since a revision, or all."""
    state = (snapshot.at_revision, snapshot.newest, snapshot.digest)
    if known == snapshot.digest:
        return _SharedKind(*state, None)
    delta = snapshot.changes_since(revision) if revision else None
    items = snapshot.objects.values() if delta is None else delta.objects
    objects = [(item.name, item.revision, item.body) for item in items]
    return _SharedKind(*state, objects, None if delta is None else delta.removed)
