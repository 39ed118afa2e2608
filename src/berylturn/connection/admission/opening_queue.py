"""Bounded queue of openings that wait for capacity.

Load pattern: all backend servers of a service restart at once and many callers reopen
their flows. The limit of a cold server is used up at once, but its cold start ends
before the attempts of the callers do. A queued opening is therefore served, where a
refused one would use up its retries within milliseconds.

Load pattern: each request opens a flow, and for a while more of them arrive than the
servers can process. What waits at the agent can still be ordered and refused, unlike
what waits in the server.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from ..peer_frames import Forward
from ..segments import Segment

# Duration of a caller's attempt to open a flow, from its first packet.
ATTEMPT_SECONDS = 1.4
# Time from the caller to the agent and back, through a slow balancer.
TRANSIT_SECONDS = 0.1
# About what a server that admits 100 openings per second takes during one attempt.
MAX_QUEUED = 150

# A queue that has not been empty for longer is due to more work than the server can
# process, and not to a burst (CoDel: Nichols and Jacobson, 2012).
BURST_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class QueuedOpening:
    """One queued opening with the frame that carried it.

    Attributes
    ----------
    priority : int
        Priority of its route; 0 is the highest.
    useful_until : float
        Time until which its admission leads to an answer within the latency objective;
        infinity if the route states none.
    expires_at : float
        Time from which an admission has no use for the caller.
    request_ends_at : float
        Time from which an admission in a later attempt has no use for it either.
    lead_seconds : float
        By how much its caller is ahead of its share.
    """

    frame: Forward
    segment: Segment
    service: str
    arrived_at: float
    priority: int = 0
    useful_until: float = math.inf
    expires_at: float = math.inf
    request_ends_at: float = math.inf
    lead_seconds: float = 0.0

    @property
    def has_objective(self) -> bool:
        """Tell whether the route states a latency objective."""
        return math.isfinite(self.useful_until)


class OpeningQueue:
    """Queue openings by what their callers gain.

    Openings that can still be answered within their latency objective come first, by
    priority and then by how soon they must be admitted. Of the others, and of those
    without an objective, the newest of a priority comes first: the callers of the
    oldest are about to give up (adaptive LIFO: Maurer, Fail at Scale, 2015). A backlog
    whose cause has an end is worked off: there, the attempt that ends first comes
    first. An opening of a caller that is ahead of its share queues as if it had come
    later by that.

    Attributes
    ----------
    backlog_until : float
        Time until which what waits is due to a cold start, and not to overload.
    """

    def __init__(self) -> None:
        self._openings: dict[bytes, QueuedOpening] = {}
        self._waiting_since: float | None = None
        self.backlog_until = -math.inf

    def __len__(self) -> int:
        return len(self._openings)

    def __contains__(self, flow: bytes) -> bool:
        return flow in self._openings

    def is_congested(self, now: float) -> bool:
        """Tell whether openings have waited for so long that it is no mere burst."""
        return (
            self._waiting_since is not None
            and now >= self.backlog_until
            and now - self._waiting_since > BURST_SECONDS
        )

    def count_ahead(self, opening: QueuedOpening, now: float) -> int:
        """Return how many queued openings would be admitted before another one."""
        rank = self._rank(opening, now)
        return sum(self._rank(item, now) < rank for item in self._openings.values())

    def add(self, opening: QueuedOpening) -> None:
        """Add an opening."""
        if self._waiting_since is None:
            self._waiting_since = opening.arrived_at
        self._openings[opening.segment.flow] = opening

    def ordered(self, now: float) -> list[QueuedOpening]:
        """Return the queued openings in the order of their admission."""
        return sorted(self._openings.values(), key=lambda item: self._rank(item, now))

    def peek(self, now: float) -> QueuedOpening:
        """Return the next opening to be admitted."""
        return min(self._openings.values(), key=lambda item: self._rank(item, now))

    def remove(self, opening: QueuedOpening) -> None:
        """Remove an opening."""
        del self._openings[opening.segment.flow]
        if not self._openings:
            self._waiting_since = None

    def pop_late(self, now: float) -> list[QueuedOpening]:
        """Remove and return the openings that can no longer be answered in time."""
        late = [item for item in self._openings.values() if now > item.useful_until]
        for opening in late:
            self.remove(opening)
        return late

    def pop_excess(self, limit: int, now: float) -> list[QueuedOpening]:
        """Remove and return the last ones in order beyond a number of openings."""
        excess = len(self._openings) - min(limit, MAX_QUEUED)
        if excess <= 0:
            return []
        ordered = self.ordered(now)
        for opening in ordered[-excess:]:
            self.remove(opening)
        return ordered[-excess:]

    def pop_expired(self, now: float) -> list[QueuedOpening]:
        """Remove and return the openings whose admission has no more use."""
        expired = [item for item in self._openings.values() if now > item.expires_at]
        for opening in expired:
            self.remove(opening)
        return expired

    def _rank(self, opening: QueuedOpening, now: float) -> tuple[bool, int, float]:
        in_time = opening.has_objective and now <= opening.useful_until
        if in_time:
            order = opening.useful_until
        elif now < self.backlog_until:
            order = opening.expires_at
        else:
            order = -opening.arrived_at
        return not in_time, opening.priority, order + opening.lead_seconds


def remaining_attempt_seconds(segment: Segment) -> float:
    """Return the seconds until an answer is too late for the caller of an opening."""
    return ATTEMPT_SECONDS - TRANSIT_SECONDS - segment.opening_age
