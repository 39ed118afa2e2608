"""Openings that wait a moment for room, the most urgent first.

Load pattern: all backend servers of a service restart at once and a crowd opens its
flows again. What a cold server bears is used up at once, but its cold start ends before
the caller's attempt does, so an opening that waits is served where a refused one has
its retries used up within milliseconds.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from .peer_frames import Forward
from .segments import Segment

# A caller's attempt ends this long after its first packet.
ATTEMPT_SECONDS = 1.4
# The way to the agent and the answer's way back, on a slowed balancer.
TRANSIT_SECONDS = 0.1
# Openings in one attempt's time at a server that admits a hundred a second.
MAX_WAITING = 150


@dataclass(frozen=True, slots=True)
class WaitingOpening:
    """One opening with the frame that brought it."""

    frame: Forward
    segment: Segment
    service: str
    since: float

    @property
    def until(self) -> float:
        """Return when the caller's attempt is over."""
        return self.since + attempt_left(self.segment)


class WaitingOpenings:
    """Queue of openings by priority, then the newest first.

    Under load the newest can still be served in time, while the oldest are late and
    their callers about to leave (adaptive LIFO: Maurer, Fail at Scale, 2015).
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, WaitingOpening]] = []
        self._flows: set[bytes] = set()
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._heap)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._flows

    @property
    def next_service(self) -> str:
        """Return the service of the opening that is next."""
        return self._heap[0][2].service

    @property
    def full(self) -> bool:
        """Tell whether no more may wait."""
        return len(self._heap) >= MAX_WAITING

    def add(self, opening: WaitingOpening, priority: int) -> None:
        """Let an opening wait; a lower priority number goes first."""
        self._arrivals += 1
        heapq.heappush(self._heap, (priority, -self._arrivals, opening))
        self._flows.add(opening.segment.flow)

    def take(self) -> WaitingOpening:
        """Remove and return the opening that is next."""
        opening = heapq.heappop(self._heap)[2]
        self._flows.discard(opening.segment.flow)
        return opening

    def take_expired(self, now: float) -> list[WaitingOpening]:
        """Remove and return the openings that have waited too long."""
        expired = [item for item in self._heap if now > item[2].until]
        if expired:
            self._heap = [item for item in self._heap if item not in expired]
            heapq.heapify(self._heap)
            self._flows -= {item[2].segment.flow for item in expired}
        return [item[2] for item in expired]


def attempt_left(segment: Segment) -> float:
    """Return the seconds for which the caller of an opening still waits."""
    return ATTEMPT_SECONDS - TRANSIT_SECONDS - segment.opening_age
