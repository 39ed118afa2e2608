"""Counters, gauges and timers, sent by statsd at a fixed period."""

from __future__ import annotations

import asyncio
from collections import Counter

from statsd import StatsClient

FLUSH_SECONDS = 1.0
PREFIX = "berylturn"


class Metrics:
    """Collect values in memory and send them in batches.

    Parameters
    ----------
    address : tuple of str and int or None
        statsd server; None keeps the values in memory only.
    node : str
        Name that follows the prefix.
    """

    def __init__(self, address: tuple[str, int] | None, node: str) -> None:
        self._client = None
        if address is not None:
            self._client = StatsClient(*address, prefix=f"{PREFIX}.{node}")
        self._counters: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timers: list[tuple[str, float]] = []

    @property
    def totals(self) -> dict[str, int]:
        """Return all counters since the start."""
        return dict(self._totals + self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""
        if self._client is not None:
            self._timers.append((name, seconds))

    def flush(self) -> None:
        """Send what has been collected."""
        counters, self._counters = self._counters, Counter()
        self._totals.update(counters)
        timers, self._timers = self._timers, []
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, amount in counters.items():
                pipe.incr(name, amount)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, seconds in timers:
                pipe.timing(name, seconds * 1000)

    async def run(self) -> None:
        """Send at a fixed period until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
