"""Copies of the platform's objects, and the parts of them that peers share."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Protocol

import msgspec

from ..version.snapshots import KindSnapshot, ObjectChange, StoredObject

VIEW_PATH = "/view"
STATE_PATH = "/state"


class Kind(StrEnum):
    """Kinds of objects that nodes hold copies of, in the order of their revisions."""

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    AGENTS = "agents"


KINDS = tuple(Kind)


class ObjectStore(Protocol):
    """The platform's object API, in the product's words."""

    async def list_objects(self, kind: Kind) -> tuple[int, list[StoredObject]]:
        """Return all objects of a kind and the revision they are complete at."""

    async def watch_objects(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        """Wait for changes after a revision; raise `WatchExpired` if too old."""

    async def put_object(
        self, kind: Kind, name: str, body: bytes, exists: bool
    ) -> None:
        """Create or replace an object; `exists` says which to try first."""

    async def remove_object(self, kind: Kind, name: str, revision: int | None) -> None:
        """Remove an object, if given only at that revision of it."""


class _SharedKind(msgspec.Struct, array_like=True):
    at_revision: int
    newest: int
    digest: int
    # None where the asker has them already.
    objects: list[tuple[str, int, bytes]] | None


_share_encoder = msgspec.msgpack.Encoder()
_share_decoder = msgspec.msgpack.Decoder(dict[Kind, _SharedKind])


class ObjectView:
    """Hold one snapshot a kind; each moves forward only.

    Parameters
    ----------
    on_change : callable
        Called with the kind after its objects changed or became known.
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
        """Return a checksum of what is known of each kind; 0 where nothing is."""
        return [self.snapshots[kind].digest for kind in KINDS]

    def replace(
        self,
        kind: Kind,
        at_revision: int,
        objects: Iterable[StoredObject],
        newest: int = 0,
    ) -> None:
        """Take a complete snapshot of a kind."""
        if self.snapshots[kind].replace(at_revision, objects, newest):
            self._on_change(kind)

    def apply(self, kind: Kind, at_revision: int, changes: list[ObjectChange]) -> None:
        """Apply what a watch reported."""
        if self.snapshots[kind].apply(at_revision, changes):
            self._on_change(kind)

    def export(self, path: str) -> bytes:
        """Return what is known, for a peer.

        Parameters
        ----------
        path : str
            What the peer asked for, with the digests of what it knows.
        """
        known = zip(self.snapshots.items(), _parse_known(path), strict=True)
        shared = {
            kind: _share(held, digest) for (kind, held), digest in known if held.known
        }
        return _share_encoder.encode(shared)

    def export_path(self) -> str:
        """Return the path that asks a peer for what is missing here."""
        return f"{VIEW_PATH}?known={'.'.join(map(str, self.digests))}"

    def merge(self, data: bytes) -> None:
        """Take what a peer exported; raises `msgspec.DecodeError`."""
        for kind, shared in _share_decoder.decode(data).items():
            if shared.objects is None:
                self.snapshots[kind].confirm(
                    shared.at_revision, shared.newest, shared.digest
                )
                continue
            objects = [StoredObject(*item) for item in shared.objects]
            self.replace(kind, shared.at_revision, objects, shared.newest)

    def lacks(self, newest: list[int]) -> bool:
        """Tell whether a peer knows of a change that is missing here."""
        held = [self.snapshots[kind].at_revision for kind in KINDS]
        return any(a > b for a, b in zip(newest, held, strict=False))

    def misses(self, newest: list[int], digests: list[int]) -> bool:
        """Tell whether a peer may hold what is missing here, a removal for instance."""
        return self.lacks(newest) or (newest == self.newest and digests != self.digests)

    def matches(self, newest: list[int], digests: list[int]) -> bool:
        """Tell whether a peer that knows no later change holds the same objects."""
        return not self.lacks(newest) and digests == self.digests


def _parse_known(path: str) -> list[int]:
    """Return the digests in a peer's question; 0 for what it leaves out."""
    words = path.partition("?known=")[2].split(".")
    found = [int(word) if word.isdecimal() else 0 for word in words]
    return (found + [0] * len(KINDS))[: len(KINDS)]


def _share(held: KindSnapshot, known: int) -> _SharedKind:
    objects = None
    if known != held.digest:
        items = held.objects.values()
        objects = [(item.name, item.revision, item.body) for item in items]
    return _SharedKind(held.at_revision, held.newest, held.digest, objects)
