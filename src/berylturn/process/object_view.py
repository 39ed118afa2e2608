"""Copies of the platform's objects, and their exchange between peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Protocol

import msgspec

from ..decoding import decode_value
from ..errors import PlatformError
from ..version.snapshots import KindSnapshot, ObjectChange, StoredObject

VIEW_PATH = "/view"
STATE_PATH = "/state"


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
            Path that the peer requested, with the digests of its copies.
        """
        known = zip(self.snapshots.items(), _parse_known_digests(path), strict=True)
        shared = {
            kind: _share_kind(snapshot, digest)
            for (kind, snapshot), digest in known
            if snapshot.known
        }
        return _share_encoder.encode(shared)

    def export_path(self) -> str:
        """Return the path that requests differing snapshots from a peer."""
        return f"{VIEW_PATH}?known={'.'.join(map(str, self.digests))}"

    def merge(self, data: bytes) -> None:
        """Merge the snapshots that a peer exported or raise `PlatformError`."""
        exported = decode_value(
            _share_decoder,
            data,
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
            self.replace(kind, shared.at_revision, objects, shared.newest)

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


def _parse_known_digests(path: str) -> list[int]:
    """Return the digests in a peer's request; 0 for missing or invalid ones."""
    digest_texts = path.partition("?known=")[2].split(".")
    digests = [int(text) if text.isdecimal() else 0 for text in digest_texts]
    return (digests + [0] * len(KINDS))[: len(KINDS)]


def _share_kind(snapshot: KindSnapshot, known: int) -> _SharedKind:
    objects = None
    if known != snapshot.digest:
        items = snapshot.objects.values()
        objects = [(item.name, item.revision, item.body) for item in items]
    return _SharedKind(snapshot.at_revision, snapshot.newest, snapshot.digest, objects)
