"""Snapshots of the platform's objects, one per kind, that never go back."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Distinguishes a kind without objects from a kind not yet read, whose digest is 0.
_DIGEST_START = 1
# Removals that a snapshot records for peers; about 100 bytes each.
MAX_REMOVALS = 1_000


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


@dataclass(frozen=True, slots=True)
class SnapshotDelta:
    """Changes that bring a complete snapshot of one revision to a later one.

    Attributes
    ----------
    at_revision, newest, digest : int
        Of the later snapshot, as in `KindSnapshot`.
    objects : tuple of StoredObject
        Objects that were written since.
    removed : dict of str to int
        Names that were removed since, with the revision by which they were.
    """

    at_revision: int
    newest: int
    digest: int
    objects: tuple[StoredObject, ...]
    removed: dict[str, int]


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
    removals_known_from : int
        Revision from which on each removal is recorded.
    """

    at_revision: int = 0
    newest: int = 0
    objects: dict[str, StoredObject] = field(default_factory=dict)
    removals_known_from: int = field(default=0, compare=False)
    _removals: dict[str, int] = field(default_factory=dict, repr=False, compare=False)
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
        # An object may have been added and removed since the previous snapshot.
        self.removals_known_from = at_revision
        self._removals.clear()
        return changed

    def changes_since(self, revision: int) -> SnapshotDelta | None:
        """Return the changes since a revision, or None if they are not all known."""
        if not self.known or not self.removals_known_from <= revision:
            return None
        return SnapshotDelta(
            self.at_revision,
            self.newest,
            self.digest,
            tuple(i for i in self.objects.values() if i.revision > revision),
            {name: at for name, at in self._removals.items() if at > revision},
        )

    def apply_delta(self, delta: SnapshotDelta) -> tuple[bool, bool]:
        """Apply the changes since a revision that this snapshot has reached.

        Returns
        -------
        changed, complete : bool
            Whether the content changed, and whether it equals that of the sender. If
            not, this snapshot has lacked a change before.
        """
        if delta.at_revision <= self.at_revision:
            return False, True
        changed = False
        for item in delta.objects:
            current = self.objects.get(item.name)
            if current is None or current.revision < item.revision:
                self._put(item)
                changed = True
        for name, removed_at in delta.removed.items():
            current = self.objects.get(name)
            if current is not None and current.revision <= removed_at:
                self._remove(name, removed_at)
                changed = True
        if changed:
            self._digest = None
        if self.digest != delta.digest:
            return changed, False
        self.newest = max(self.newest, delta.newest)
        self.at_revision = delta.at_revision
        return changed, True

    def _put(self, item: StoredObject) -> None:
        self.objects[item.name] = item
        self._removals.pop(item.name, None)

    def _remove(self, name: str, removed_at: int) -> bool:
        self._removals.pop(name, None)
        self._removals[name] = removed_at
        if len(self._removals) > MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self.removals_known_from = self._removals.pop(oldest)
        return self.objects.pop(name, None) is not None

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
            return self._remove(item.name, at_revision)
        self.newest = max(self.newest, item.revision)
        self._put(item)
        return current != item
