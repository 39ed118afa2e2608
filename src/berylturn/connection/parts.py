"""Split bodies into parts and reassemble them."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import PacketError
from .packets import MAX_PARTS, PART_BYTES

WINDOW_PARTS = 32  # parts sent or requested at once


def split_body(body: bytes) -> list[bytes]:
    """Return the parts of `body`, at least one, in order."""
    if len(body) <= PART_BYTES:
        return [body]
    return [body[i : i + PART_BYTES] for i in range(0, len(body), PART_BYTES)]


@dataclass
class Assembly:
    """Reassemble a body from numbered parts in any order, ignoring duplicates.

    Examples
    --------
    >>> assembly = Assembly(total=2)
    >>> assembly.add(1, b"b"), assembly.add(0, b"a"), assembly.add(0, b"a")
    (True, True, False)
    >>> assembly.body()
    b'ab'
    """

    total: int
    _parts: dict[int, bytes] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if not 1 <= self.total <= MAX_PARTS:
            raise PacketError(
                f"{self.total} is not a valid number of parts; send 1 to {MAX_PARTS}"
            )

    @property
    def complete(self) -> bool:
        """Tell whether every part has arrived."""
        return len(self._parts) == self.total

    def add(self, index: int, body: bytes) -> bool:
        """Keep one part; return whether it was new."""
        if not 0 <= index < self.total or index in self._parts:
            return False
        self._parts[index] = body
        return True

    def missing_parts(self, limit: int = WINDOW_PARTS) -> list[int]:
        """Return the first missing part numbers, at most `limit`."""
        missing = []
        for index in range(self.total):
            if index not in self._parts:
                missing.append(index)
                if len(missing) == limit:
                    break
        return missing

    def body(self) -> bytes:
        """Return the whole body; requires `complete`."""
        return b"".join(self._parts[index] for index in range(self.total))
