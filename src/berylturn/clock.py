"""Clock interface, so that tests can control the time."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Provide monotonic time and the time of day."""

    def monotonic(self) -> float:
        """Return seconds that never decrease."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""


class SystemClock:
    """Read the system clock."""

    def monotonic(self) -> float:
        """Return seconds that never decrease."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)


def epoch_milliseconds(clock: Clock) -> int:
    """Return milliseconds since 1970, used to order the restarts of a process."""
    return int(clock.now().timestamp() * 1000)
