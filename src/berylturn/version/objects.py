"""Store of versioned configuration objects; a merge never restores an older one."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ..domain import ConfigObject

BUCKETS = 64
DIGEST_BYTES = 8


def accept_all(_item: ConfigObject) -> bool:
    """Accept every object as valid."""
    return True


@dataclass
class ObjectStore:
    """Keep, per name, the newest object and the newest valid one.

    Both are those of the highest version, deletions included. Merging is
    commutative, associative and idempotent, so that the order and the number of
    times in which objects arrive do not matter.

    Attributes
    ----------
    is_valid : callable
        Tells whether an object may be in force; depends on the object alone.

    Examples
    --------
    >>> store = ObjectStore()
    >>> store.merge([ConfigObject("a", 2, None)])
    [ConfigObject(name='a', version=2, body=None)]
    >>> store.merge([ConfigObject("a", 1, b"{}")])
    []
    """

    is_valid: Callable[[ConfigObject], bool] = accept_all
    _newest: dict[str, ConfigObject] = field(default_factory=dict)
    _older_valid: dict[str, ConfigObject] = field(default_factory=dict)
    _invalid_since: dict[str, int] = field(default_factory=dict)
    _complete_revision: int = 0
    _listed_names: frozenset[str] = frozenset()
    _bucket_digests: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    def __len__(self) -> int:
        return len(self._newest)

    def __iter__(self) -> Iterator[ConfigObject]:
        return iter(list(self._newest.values()))

    def get(self, name: str) -> ConfigObject | None:
        """Return the newest known object of that name, or None."""
        return self._newest.get(name)

    def version(self, name: str) -> int:
        """Return the newest known version, 0 when there is none."""
        known = self._newest.get(name)
        return known.version if known else 0

    def in_force(self, name: str) -> ConfigObject | None:
        """Return the newest valid object of that name, or None."""
        if name in self._invalid_since:
            return self._older_valid.get(name)
        return self._newest.get(name)

    def retained(self, name: str) -> list[ConfigObject]:
        """Return the newest object of that name and the older valid one, if any.

        Another store needs both to reach the same state.
        """
        objects = (self._newest.get(name), self._older_valid.get(name))
        return [item for item in objects if item is not None]

    def merge(self, objects: Iterable[ConfigObject]) -> list[ConfigObject]:
        """Store newer objects; return the objects that changed the store."""
        incoming = [self._tombstone_if_deleted(item) for item in objects]
        return [item for item in incoming if self._merge_one(item)]

    def merge_complete(
        self, objects: Iterable[ConfigObject], revision: int
    ) -> list[ConfigObject]:
        """Merge the complete list of the platform's objects at a revision.

        An object that is not in the list was deleted, perhaps so long ago that the
        platform no longer keeps the deletion.
        """
        listed = {item.name: item for item in objects}
        if revision >= self._complete_revision:
            self._complete_revision = revision
            self._listed_names = frozenset(listed)
        tombstones = [
            ConfigObject(item.name, revision, None)
            for item in self._newest.values()
            if item.name not in listed
            and item.body is not None
            and item.version <= revision
        ]
        return self.merge([*listed.values(), *tombstones])

    def tombstone(self, name: str) -> list[ConfigObject]:
        """Return a deletion if the platform is known to have no object of that name."""
        if name in self._newest or not self._complete_revision:
            return []
        return [ConfigObject(name, self._complete_revision, None)]

    def digest(self) -> bytes:
        """Return a short digest of all names and versions."""
        digest_hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for value in self._bucket_digests:
            digest_hash.update(value.to_bytes(DIGEST_BYTES, "big"))
        return digest_hash.digest()

    def bucket_digests(self) -> list[int]:
        """Return one 64-bit digest for each bucket of names."""
        return list(self._bucket_digests)

    def in_buckets(self, buckets: set[int]) -> list[ConfigObject]:
        """Return the retained objects whose names fall in `buckets`."""
        names = [name for name in self._newest if bucket_of(name) in buckets]
        return [item for name in names for item in self.retained(name)]

    def _merge_one(self, item: ConfigObject) -> bool:
        known = self._newest.get(item.name)
        if known is not None and known.version >= item.version:
            return self._merge_older(item, known)
        self._toggle_in_digest(item.name)
        valid = self.in_force(item.name)
        self._newest[item.name] = item
        if self.is_valid(item):
            self._older_valid.pop(item.name, None)
            self._invalid_since.pop(item.name, None)
        else:
            self._invalid_since.setdefault(item.name, item.version)
            if valid is not None:
                self._older_valid[item.name] = valid
        self._toggle_in_digest(item.name)
        return True

    def _tombstone_if_deleted(self, item: ConfigObject) -> ConfigObject:
        """Replace a stale copy of an object that the platform deleted by a deletion.

        The last complete list shows all deletions up to its revision.
        """
        if item.version > self._complete_revision or item.name in self._listed_names:
            return item
        return ConfigObject(item.name, self._complete_revision, None)

    def _merge_older(self, item: ConfigObject, newest: ConfigObject) -> bool:
        """Store an older valid object, in force while the newest one is invalid."""
        newest_is_valid = item.name not in self._invalid_since
        if item.version == newest.version or newest_is_valid:
            return False
        valid = self._older_valid.get(item.name)
        if not self.is_valid(item) or (valid and valid.version >= item.version):
            return False
        self._toggle_in_digest(item.name)
        self._older_valid[item.name] = item
        self._toggle_in_digest(item.name)
        return True

    def _toggle_in_digest(self, name: str) -> None:
        """Add the versions of a name to its bucket's digest, or remove them (XOR)."""
        for item in self.retained(name):
            self._bucket_digests[bucket_of(name)] ^= _fingerprint(name, item.version)


def bucket_of(name: str) -> int:
    """Return the bucket of a name, 0 to 63."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _fingerprint(name: str, version: int) -> int:
    data = f"{name}\0{version}".encode()
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big"
    )
