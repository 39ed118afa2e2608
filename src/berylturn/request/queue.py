"""Short queue in front of a backend server, bounded by deadlines."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WAIT_MARGIN = 1.1


@dataclass(eq=False)
class Waiting:
    """Describe one request that waits to run.

    Attributes
    ----------
    flow_id, number : bytes, int
        Key of the request.
    deadline : float
        Seconds on the monotonic clock.
    """

    flow_id: bytes
    number: int
    deadline: float
    cancelled: bool = False


class RequestQueue:
    """Hold requests in order of arrival.

    Parameters
    ----------
    max_length : int
        Requests that may wait at once.
    """

    def __init__(self, max_length: int) -> None:
        self._max_length = max_length
        self._waiting: deque[Waiting] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def max_length(self) -> int:
        """Return how many requests may wait at once."""
        return self._max_length

    def accepts(
        self, deadline: float, now: float, service_seconds: float, limit: int
    ) -> bool:
        """Tell whether a request can be expected to finish by its deadline.

        Parameters
        ----------
        deadline, now : float
            Seconds on the monotonic clock.
        service_seconds : float
            Expected seconds that one request runs.
        limit : int
            Requests that run at once.
        """
        if len(self._waiting) >= self._max_length:
            return False
        ahead = len(self._waiting) / max(limit, 1)
        return now + WAIT_MARGIN * (ahead + 1) * service_seconds <= deadline

    def push(self, waiting: Waiting) -> None:
        """Add a request at the end."""
        self._waiting.append(waiting)

    def push_front(self, waiting: Waiting) -> None:
        """Put back a request that was taken out, whatever the length."""
        self._waiting.appendleft(waiting)

    def pop(self) -> Waiting | None:
        """Return the next request, or None when the queue is empty."""
        while self._waiting:
            waiting = self._waiting.popleft()
            if not waiting.cancelled:
                return waiting
        return None

    def expire(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        expired = [w for w in self._waiting if w.deadline <= now and not w.cancelled]
        if expired:
            self._waiting = deque(w for w in self._waiting if w.deadline > now)
        return expired
