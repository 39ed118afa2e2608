"""Circuit breaker: pauses work for a server that ends requests without an answer."""

from __future__ import annotations

FIRST_PAUSE_SECONDS = 0.05
SERVER_LOST_PAUSE_SECONDS = 0.8
MAX_PAUSE_SECONDS = 10.0


class CircuitBreaker:
    """Double the pause with each break in a row; an answer ends it.

    Libraries of this kind read the system's clock; this one takes the time as an
    argument, like the other rules.

    Examples
    --------
    >>> breaker = CircuitBreaker()
    >>> breaker.record_failure(now=1.0)
    >>> breaker.is_open(now=1.01), breaker.is_open(now=1.06)
    (True, False)
    """

    def __init__(self) -> None:
        self._pause = 0.0
        self._open_until = 0.0

    def record_success(self) -> None:
        """Note that the server has answered a request."""
        self._pause = 0.0
        self._open_until = 0.0

    def record_failure(self, now: float) -> None:
        """Note that a connection ended while the server had a request.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        doubled = max(FIRST_PAUSE_SECONDS, 2 * self._pause)
        self._pause = min(doubled, MAX_PAUSE_SECONDS)
        self._open_until = now + self._pause

    def is_open(self, now: float) -> bool:
        """Tell whether nothing may start now."""
        return now < self._open_until

    def is_server_lost(self, now: float) -> bool:
        """Tell whether the pause is so long that flows are better off elsewhere."""
        return self.is_open(now) and self._pause >= SERVER_LOST_PAUSE_SECONDS
