"""How much of a server the open feeds will occupy, whatever they send now.

Load pattern: demand swings, and feeds that were placed in a trough stay through the
peak. The requests in progress then say nothing about the peak; the number of open feeds
does, times the mean rate of a feed and the work of a request.
"""

from __future__ import annotations

# Time over which the request rate of a feed is averaged; longer than a swing of demand.
RATE_SECONDS = 30.0
# Rate that is assumed until the feeds have been open for this many seconds in total.
ASSUMED_RATE = 0.3
ASSUMED_FLOW_SECONDS = 30.0


class FlowPledges:
    """Measure the number of open feeds and the rate of their requests."""

    def __init__(self) -> None:
        self._open = 0
        self._changed_at = 0.0
        self._flow_seconds = ASSUMED_FLOW_SECONDS
        self._requests = ASSUMED_FLOW_SECONDS * ASSUMED_RATE

    @property
    def open_feeds(self) -> int:
        """Return the number of open feeds."""
        return self._open

    @property
    def rate(self) -> float:
        """Return the mean requests per second of an open feed."""
        return self._requests / self._flow_seconds

    def change_open(self, change: int, now: float) -> None:
        """Add to the number of open feeds."""
        self._pass_time(now)
        self._open = max(0, self._open + change)

    def record_request(self, now: float) -> None:
        """Record a request on an open feed."""
        self._pass_time(now)
        self._requests += 1

    def _pass_time(self, now: float) -> None:
        seconds = max(0.0, now - self._changed_at)
        self._changed_at = max(now, self._changed_at)
        if not self._open:
            return
        kept = max(0.0, 1 - seconds / RATE_SECONDS)
        self._requests *= kept
        self._flow_seconds = self._flow_seconds * kept + seconds * self._open
