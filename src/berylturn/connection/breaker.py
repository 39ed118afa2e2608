"""Circuit breaker: pauses work for a server that ends requests without an answer."""

from __future__ import annotations

FIRST_PAUSE_SECONDS = 0.05
LOST_PAUSE_SECONDS = 0.8
MAX_PAUSE_SECONDS = 10.0


class Breaker:
    """Double the pause with each break in a row; an answer ends it.

    Libraries of this kind read the system's clock; this one takes the time as an
    argument, like the other rules.

    Examples
    --------
    >>> breaker = Breaker()
    >>> breaker.on_broken(now=1.0)
    >>> breaker.holds(now=1.01), breaker.holds(now=1.06)
    (True, False)
    """

    def __init__(self) -> None:
        self._pause = 0.0
        self._hold_until = 0.0

    def on_answer(self) -> None:
        """Note that the server has answered a request."""
        self._pause = 0.0
        self._hold_until = 0.0

    def on_broken(self, now: float) -> None:
        """Note that a connection ended while the server had a request.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        doubled = max(FIRST_PAUSE_SECONDS, 2 * self._pause)
        self._pause = min(doubled, MAX_PAUSE_SECONDS)
        self._hold_until = now + self._pause

    def holds(self, now: float) -> bool:
        """Tell whether nothing may start now."""
        return now < self._hold_until

    def is_lost(self, now: float) -> bool:
        """Tell whether the pause is so long that flows are better off elsewhere."""
        return self.holds(now) and self._pause >= LOST_PAUSE_SECONDS
