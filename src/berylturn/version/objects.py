"""Versioned configuration objects; merging never goes back."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..connection.frames import ConfigObject

BUCKETS = 64
DIGEST_BYTES = 8


@dataclass
class ObjectStore:
    """Keep, per name, the object of the highest version, deletions included.

    Merging is commutative, associative and idempotent, so that the order and
    the number of times in which objects arrive do not matter.

    Examples
    --------
    >>> store = ObjectStore()
    >>> store.merge([ConfigObject("a", 2, None)])
    [ConfigObject(name='a', version=2, body=None)]
    >>> store.merge([ConfigObject("a", 1, b"{}")])
    []
    """

    _objects: dict[str, ConfigObject] = field(default_factory=dict)
    _sums: list[int] = field(default_factory=lambda: [0] * BUCKETS)

    def __len__(self) -> int:
        return len(self._objects)

    def __iter__(self) -> Iterator[ConfigObject]:
        return iter(list(self._objects.values()))

    def get(self, name: str) -> ConfigObject | None:
        """Return the newest known object of that name, or None."""
        return self._objects.get(name)

    def version(self, name: str) -> int:
        """Return the newest known version, 0 when there is none."""
        known = self._objects.get(name)
        return known.version if known else 0

    def merge(self, objects: Iterable[ConfigObject]) -> list[ConfigObject]:
        """Keep what is newer; return the objects that changed the store."""
        changed = []
        for item in objects:
            known = self._objects.get(item.name)
            if known is not None and known.version >= item.version:
                continue
            bucket = bucket_of(item.name)
            if known is not None:
                self._sums[bucket] ^= _fingerprint(known.name, known.version)
            self._sums[bucket] ^= _fingerprint(item.name, item.version)
            self._objects[item.name] = item
            changed.append(item)
        return changed

    def digest(self) -> bytes:
        """Return a short digest of all names and versions."""
        total = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for value in self._sums:
            total.update(value.to_bytes(DIGEST_BYTES, "big"))
        return total.digest()

    def bucket_digests(self) -> list[int]:
        """Return one 64-bit digest for each bucket of names."""
        return list(self._sums)

    def in_buckets(self, buckets: set[int]) -> list[ConfigObject]:
        """Return the objects whose names fall in `buckets`."""
        return [o for o in self._objects.values() if bucket_of(o.name) in buckets]


def bucket_of(name: str) -> int:
    """Return the bucket of a name, 0 to 63."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def _fingerprint(name: str, version: int) -> int:
    data = f"{name}\0{version}".encode()
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest(), "big"
    )
