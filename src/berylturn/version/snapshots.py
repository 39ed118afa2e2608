"""Snapshots of the platform's objects, one per kind, that never go back."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Distinguishes a kind without objects from a kind not yet read, whose digest is 0.
_DIGEST_START = 1


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform and the revision of its last change."""

    name: str
    revision: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One change that a watch returned."""

    object: StoredObject
    removed: bool


@dataclass(slots=True)
class KindSnapshot:
    """All objects of one kind as of a revision of the platform.

    A snapshot is complete, so the later of two is correct for additions, changes and
    removals alike, whether it came from the platform or from a peer.

    Attributes
    ----------
    at_revision : int
        Revision as of which the objects are complete; 0 if none has been read.
    newest : int
        Highest revision at which this kind is known to have changed.
    """

    at_revision: int = 0
    newest: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    _digest: int | None = field(default=0, repr=False, compare=False)

    @property
    def digest(self) -> int:
        """Return a checksum of the names and revisions of all objects.

        Only the checksum shows a removal in a snapshot that was read after it: the
        revisions of the remaining objects may all be older.
        """
        if self._digest is None:
            current = sorted(
                (item.name, item.revision) for item in self.objects.values()
            )
            self._digest = zlib.crc32(repr(current).encode(), _DIGEST_START)
        return self._digest

    @property
    def known(self) -> bool:
        """Tell whether a complete snapshot has been read."""
        return self.at_revision > 0

    def replace(
        self, at_revision: int, objects: Iterable[StoredObject], newest: int = 0
    ) -> bool:
        """Replace all objects if newer; return whether the content changed."""
        if at_revision <= self.at_revision:
            return False
        self._digest = None
        listed = {item.name: item for item in objects}
        changed = listed != self.objects or not self.known
        removed = self.objects.keys() - listed.keys()
        revisions = [item.revision for item in listed.values()]
        if removed and newest <= self.newest:
            newest = at_revision
        self.newest = max([self.newest, newest, *revisions])
        self.objects = listed
        self.at_revision = at_revision
        return changed

    def confirm(self, at_revision: int, newest: int, digest: int) -> None:
        """Advance the revision if a later snapshot has the same digest."""
        if self.known and digest == self.digest:
            self.at_revision = max(self.at_revision, at_revision)
            self.newest = max(self.newest, newest)

    def apply(self, at_revision: int, changes: Sequence[ObjectChange]) -> bool:
        """Apply the changes up to `at_revision`; return whether the content changed."""
        changed = False
        if at_revision <= self.at_revision:
            return False
        if changes:
            self._digest = None
        for change in changes:
            changed = self._apply_one(change, at_revision) or changed
        self.at_revision = at_revision
        return changed

    def _apply_one(self, change: ObjectChange, at_revision: int) -> bool:
        item = change.object
        current = self.objects.get(item.name)
        if current is not None and current.revision > item.revision:
            return False
        if change.removed:
            self.newest = max(self.newest, at_revision)
            return self.objects.pop(item.name, None) is not None
        self.newest = max(self.newest, item.revision)
        self.objects[item.name] = item
        return current != item
