"""Counters, gauges and timers, sent to statsd at a fixed interval."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from statsd import StatsClient

FLUSH_SECONDS = 1.0
PREFIX = "berylturn"
# Upper bounds in seconds: from the time a packet travels within a data centre to a
# request's deadline.
HISTOGRAM_BOUNDS = (
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
)  # fmt: skip


class Histogram:
    """Count durations in buckets, as the Prometheus text format lists them."""

    def __init__(self) -> None:
        self._counts = [0] * (len(HISTOGRAM_BOUNDS) + 1)
        self._sum = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self._counts[bisect_left(HISTOGRAM_BOUNDS, seconds)] += 1
        self._sum += seconds

    def render(self, name: str) -> list[str]:
        """Return the histogram's lines in the text format."""
        lines = [f"# TYPE {name} histogram"]
        total = 0
        for bound, count in zip((*HISTOGRAM_BOUNDS, "+Inf"), self._counts, strict=True):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        return [*lines, f"{name}_sum {self._sum:.6f}", f"{name}_count {total}"]


class Metrics:
    """Collect values in memory and send them in batches.

    Parameters
    ----------
    address : tuple of str and int or None
        Address of the statsd server; None keeps the values in memory only.
    node : str
        Name of the node, put after the prefix.
    """

    def __init__(self, address: tuple[str, int] | None, node: str) -> None:
        self._client: StatsClient | None = None
        if address is not None:
            from statsd import StatsClient  # loaded only if it is used

            self._client = StatsClient(*address, prefix=f"{PREFIX}.{node}")
        self._counters: Counter[str] = Counter()
        self._totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timers: list[tuple[str, float]] = []
        self._histograms: dict[str, Histogram] = {}

    @property
    def totals(self) -> dict[str, int]:
        """Return all counters with their values since the start of the process."""
        return dict(self._totals + self._counters)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""
        if name not in self._histograms:
            self._histograms[name] = Histogram()
        self._histograms[name].add(seconds)
        if self._client is not None:
            self._timers.append((name, seconds))

    def render(self) -> str:
        """Return all values in the text format that metric collectors read.

        No client library is used: loading one blocks a daemon on a tenth of a core for
        most of a second.
        """
        lines: list[str] = []
        for name, value in sorted(self.totals.items()):
            metric = _format_name(name) + "_total"
            lines += [f"# TYPE {metric} counter", f"{metric} {value}"]
        for name, gauge in sorted(self._gauges.items()):
            metric = _format_name(name)
            lines += [f"# TYPE {metric} gauge", f"{metric} {gauge:g}"]
        for name, histogram in sorted(self._histograms.items()):
            lines += histogram.render(_format_name(name) + "_seconds")
        return "\n".join(lines) + "\n"

    def flush(self) -> None:
        """Send statsd the values collected since the last call."""
        counters, self._counters = self._counters, Counter()
        self._totals.update(counters)
        timers, self._timers = self._timers, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, amount in counters.items():
                pipeline.incr(name, amount)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
            for name, seconds in timers:
                pipeline.timing(name, seconds * 1000)

    async def run(self) -> None:
        """Send the values at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()


def _format_name(name: str) -> str:
    return PREFIX + "_" + name.replace(".", "_").replace("-", "_")
