"""Bounded priority queue of openings that wait for capacity.

Load pattern: all backend servers of a service restart at once and many callers reopen
their flows. The limit of a cold server is used up at once, but its cold start ends
before the attempts of the callers do. A queued opening is therefore served, where a
refused one would use up its retries within milliseconds.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .peer_frames import Forward
from .segments import Segment

# Duration of a caller's attempt to open a flow, from its first packet.
ATTEMPT_SECONDS = 1.4
# Time from the caller to the agent and back, through a slow balancer.
TRANSIT_SECONDS = 0.1
# About what a server that admits 100 openings per second takes during one attempt.
MAX_QUEUED = 150


@dataclass(frozen=True, slots=True)
class QueuedOpening:
    """One queued opening with the frame that carried it."""

    frame: Forward
    segment: Segment
    service: str
    arrived_at: float

    @property
    def expires_at(self) -> float:
        """Return the time at which the caller's attempt ends."""
        return self.arrived_at + remaining_attempt_seconds(self.segment)


class OpeningQueue:
    """Queue openings by priority, the newest first within a priority.

    Under load the newest can still be served in time, while the callers of the oldest
    are about to give up (adaptive LIFO: Maurer, Fail at Scale, 2015).
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, QueuedOpening]] = []
        self._flows: set[bytes] = set()
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._heap)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    @property
    def next_service(self) -> str:
        """Return the service of the next opening."""
        return self._heap[0][2].service

    @property
    def is_full(self) -> bool:
        """Tell whether the queue has reached its maximum length."""
        return len(self._heap) >= MAX_QUEUED

    def add(self, opening: QueuedOpening, priority: int) -> None:
        """Add an opening; a lower priority number is served first."""
        self._arrivals += 1
        heapq.heappush(self._heap, (priority, -self._arrivals, opening))
        self._flows.add(opening.segment.flow)

    def pop(self) -> QueuedOpening:
        """Remove and return the next opening."""
        opening = heapq.heappop(self._heap)[2]
        self._flows.discard(opening.segment.flow)
        return opening

    def pop_expired(self, now: float) -> list[QueuedOpening]:
        """Remove and return the openings whose callers' attempts have ended."""
        expired = [entry for entry in self._heap if now > entry[2].expires_at]
        if expired:
            self._heap = [entry for entry in self._heap if entry not in expired]
            heapq.heapify(self._heap)
            self._flows -= {entry[2].segment.flow for entry in expired}
        return [entry[2] for entry in expired]


def remaining_attempt_seconds(segment: Segment) -> float:
    """Return the seconds until an answer is too late for the caller of an opening."""
    return ATTEMPT_SECONDS - TRANSIT_SECONDS - segment.opening_age
