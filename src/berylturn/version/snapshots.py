"""Copies of the platform's objects, one a kind, that only move forward."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Tells a kind that holds no objects from one that is not known, whose digest is 0.
_DIGEST_START = 1


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the platform with the revision of its last change."""

    name: str
    revision: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One change that a watch reports."""

    object: StoredObject
    removed: bool


@dataclass(slots=True)
class KindSnapshot:
    """All objects of one kind as of a revision of the platform.

    A snapshot is complete, so the later of two is right about additions, changes
    and removals alike, whether it came from the platform or from a peer.

    Attributes
    ----------
    at_revision : int
        Revision as of which the objects are complete; 0 when nothing is known.
    newest : int
        Highest revision at which this kind is known to have changed.
    """

    at_revision: int = 0
    newest: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    _digest: int | None = field(default=0, repr=False, compare=False)

    @property
    def digest(self) -> int:
        """Return a checksum of which objects there are at which revisions.

        A snapshot read after a removal shows it by nothing else: the revisions of the
        objects that are left may all be older.
        """
        if self._digest is None:
            held = sorted((item.name, item.revision) for item in self.objects.values())
            self._digest = zlib.crc32(repr(held).encode(), _DIGEST_START)
        return self._digest

    @property
    def known(self) -> bool:
        """Tell whether any complete snapshot has been read."""
        return self.at_revision > 0

    def replace(
        self, at_revision: int, objects: Iterable[StoredObject], newest: int = 0
    ) -> bool:
        """Take a complete snapshot; return whether it changed the content."""
        if at_revision <= self.at_revision:
            return False
        self._digest = None
        fresh = {item.name: item for item in objects}
        changed = fresh != self.objects or not self.known
        removed = self.objects.keys() - fresh.keys()
        revisions = [item.revision for item in fresh.values()]
        if removed and newest <= self.newest:
            newest = at_revision
        self.newest = max([self.newest, newest, *revisions])
        self.objects = fresh
        self.at_revision = at_revision
        return changed

    def confirm(self, at_revision: int, newest: int, digest: int) -> None:
        """Take that a later snapshot with the same digest has the same objects."""
        if self.known and digest == self.digest:
            self.at_revision = max(self.at_revision, at_revision)
            self.newest = max(self.newest, newest)

    def apply(self, at_revision: int, changes: Sequence[ObjectChange]) -> bool:
        """Apply what a watch from `at_revision` or before reported."""
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
        held = self.objects.get(item.name)
        if held is not None and held.revision > item.revision:
            return False
        if change.removed:
            self.newest = max(self.newest, at_revision)
            return self.objects.pop(item.name, None) is not None
        self.newest = max(self.newest, item.revision)
        self.objects[item.name] = item
        return held != item
