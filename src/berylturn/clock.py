"""Clock as an interface, so that rules can be driven by tests."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Tell the time."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""


class SystemClock:
    """Read the clock of the machine."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)


def epoch_milliseconds(clock: Clock) -> int:
    """Return milliseconds since 1970, used to order restarts of a process."""
    return int(clock.now().timestamp() * 1000)
