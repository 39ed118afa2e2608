"""Circuit breaker for a server that closes connections without an answer."""

from __future__ import annotations

FIRST_PAUSE_SECONDS = 0.05
SERVER_LOST_PAUSE_SECONDS = 0.8
MAX_PAUSE_SECONDS = 10.0


class CircuitBreaker:
    """Open for a pause that doubles with each failure in a row.

    An answer closes it. Existing libraries read the system's clock; this class
    takes the time as an argument, as the other rules do.

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
        """Close the circuit because the server has answered a request."""
        self._pause = 0.0
        self._open_until = 0.0

    def record_failure(self, now: float) -> None:
        """Open the circuit because a connection ended during a request.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        doubled = max(FIRST_PAUSE_SECONDS, 2 * self._pause)
        self._pause = min(doubled, MAX_PAUSE_SECONDS)
        self._open_until = now + self._pause

    def is_open(self, now: float) -> bool:
        """Tell whether no request may start now."""
        return now < self._open_until

    def is_server_lost(self, now: float) -> bool:
        """Tell whether the pause is so long that flows should move elsewhere."""
        return self.is_open(now) and self._pause >= SERVER_LOST_PAUSE_SECONDS
