"""Short queue in front of a backend server, earliest deadline first."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass

WAIT_MARGIN = 1.1  # factor on the expected service time


@dataclass(eq=False)
class QueuedRequest:
    """One request that waits for a slot.

    Attributes
    ----------
    flow_id, number : bytes, int
        Flow and number of the request.
    deadline : float
        Seconds on the monotonic clock.
    """

    flow_id: bytes
    number: int
    deadline: float
    cancelled: bool = False


class RequestQueue:
    """Queue requests by deadline, the earliest first.

    Parameters
    ----------
    max_length : int
        Requests that may be queued at once.

    Examples
    --------
    >>> queue = RequestQueue(max_length=8)
    >>> queue.push(QueuedRequest(b"reel", 0, deadline=10.0))
    >>> queue.push(QueuedRequest(b"score", 0, deadline=0.5))
    >>> queue.pop().flow_id
    b'score'
    """

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._waiting: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def max_length(self) -> int:
        """Return how many requests may be queued at once."""
        return self._max_length

    def accepts(
        self, deadline: float, now: float, service_seconds: float, limit: int
    ) -> bool:
        """Tell whether every queued request and a new one can meet their deadlines.

        Parameters
        ----------
        deadline, now : float
            Seconds on the monotonic clock; the deadline is that of the new request.
        service_seconds : float
            Expected seconds that one request runs.
        limit : int
            Requests that may run at once.
        """
        if len(self._waiting) >= self._max_length:
            return False
        ahead = [w.deadline for w in self._waiting if w.deadline <= deadline]
        behind = [w.deadline for w in self._waiting if w.deadline > deadline]
        seconds_each = WAIT_MARGIN * service_seconds
        return all(
            now + seconds_each * (position / max(limit, 1) + 1) <= due_at
            for position, due_at in enumerate([deadline, *behind], start=len(ahead))
        )

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request after those whose deadline is not later."""
        insort(self._waiting, waiting, key=lambda w: w.deadline)

    def pop(self) -> QueuedRequest | None:
        """Return the next request, or None when the queue is empty."""
        while self._waiting:
            waiting = self._waiting.pop(0)
            if not waiting.cancelled:
                return waiting
        return None

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._waiting and self._waiting[0].deadline <= now:
            waiting = self._waiting.pop(0)
            if not waiting.cancelled:
                expired.append(waiting)
        return expired
