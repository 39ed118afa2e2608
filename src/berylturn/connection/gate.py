"""Admission gate: the one place that enforces what a backend server bears."""

from __future__ import annotations

from ..domain import Limits, RefusalReason
from .breaker import CircuitBreaker

RATE_BURST_SECONDS = 0.5
SERVICE_SMOOTHING = 0.1
COLD_SUCCESSES_PER_SLOT = 3
SLOW_FACTOR = 3.0
SLOW_STREAK = 6
BASELINE_SAMPLES = 30


class AdmissionGate:
    """Count what runs and say what may start.

    Parameters
    ----------
    limits : Limits
        What the backend server bears.
    now : float
        Seconds on the monotonic clock; a new gate is cold.

    Examples
    --------
    >>> gate = AdmissionGate(Limits(slots=3, cold_limit=1), now=0.0)
    >>> gate.start(now=0.0), gate.start(now=0.0)
    (True, False)
    """

    def __init__(self, limits: Limits, now: float) -> None:
        self._limits = limits
        self._limit = float(limits.cold_limit)
        self._cold_since: float | None = now
        self._cold_until = now + limits.cold_seconds
        self._successes = 0
        self._generation = 0
        self._had_success = False
        self._running = 0
        self._flows = 0
        self._rate_tokens = limits.flow_rate * RATE_BURST_SECONDS
        self._rate_time = now
        self._service_seconds = 0.0
        self._baseline = 0.0
        self._baseline_count = 0
        self._slow_streak = 0
        self._breaker = CircuitBreaker()
        self.draining = False
        self.server_down = False
        self.data_centre_out = False

    @property
    def limits(self) -> Limits:
        """Return the limits in force."""
        return self._limits

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""
        return int(self._limit)

    @property
    def capacity(self) -> float:
        """Return what the server bears now, relative to other servers."""
        return self.limit * self._limits.speed

    @property
    def warm(self) -> bool:
        """Tell whether the limit has risen to all slots."""
        return self.limit >= self._limits.slots

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return self._running

    @property
    def flows(self) -> int:
        """Return how many flows are open."""
        return self._flows

    @property
    def generation(self) -> int:
        """Return a number that changes with each cold start."""
        return self._generation

    @property
    def service_seconds(self) -> float:
        """Return the smoothed seconds that one request runs."""
        return self._service_seconds

    @property
    def accepting(self) -> bool:
        """Tell whether new flows are welcome at all."""
        return not (self.draining or self.data_centre_out or self.server_down)

    def set_limits(self, limits: Limits, now: float) -> None:
        """Put new limits in force; running requests are not touched."""
        if limits == self._limits:
            return
        was_warm = self.warm and self._had_success
        if self._cold_since is not None:
            self._cold_until = self._cold_since + limits.cold_seconds
        self._limits = limits
        if was_warm:
            self._limit = float(limits.slots)
        elif now < self._cold_until:
            self._limit = float(min(limits.cold_limit, limits.slots))
        else:
            self._limit = float(min(max(self.limit, limits.cold_limit), limits.slots))
        self._rate_tokens = min(
            self._rate_tokens, limits.flow_rate * RATE_BURST_SECONDS
        )

    def admit_flow(self, now: float) -> RefusalReason | None:
        """Count a new flow, or say why it is refused."""
        if not self.accepting:
            return RefusalReason.DRAINING
        if self._flows >= self._limits.connections:
            return RefusalReason.FULL
        if not self._take_rate_token(now):
            return RefusalReason.RATE
        self._flows += 1
        return None

    def add_flow(self) -> None:
        """Count a flow that a predecessor admitted."""
        self._flows += 1

    def end_flow(self) -> None:
        """Count a flow as ended."""
        self._flows -= 1

    def may_start(self, now: float) -> bool:
        """Tell whether one more request may run."""
        return self._running < self.limit and not self._breaker.is_open(now)

    def start(self, now: float) -> bool:
        """Count one request as running; return False when none may start."""
        if not self.may_start(now):
            return False
        self._running += 1
        return True

    def finish(self, now: float, generation: int, seconds: float | None) -> bool:
        """Count one request as finished.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        generation : int
            Value of `generation` when the request started.
        seconds : float or None
            How long it ran; None when it gave no proof of health.

        Returns
        -------
        went_cold : bool
            Whether its slowness shows that the server fell back into cold start.
        """
        self._running -= 1
        if seconds is None or generation != self._generation:
            return False
        if self._is_slow(seconds):
            self.enter_cold_start(now)
            return True
        self._breaker.record_success()
        self._service_seconds += SERVICE_SMOOTHING * (seconds - self._service_seconds)
        self._raise_limit(now)
        return False

    def record_failure(self, now: float, generation: int) -> None:
        """Note that the server ended a connection instead of answering.

        Requests from before a restart say nothing about the server that runs now.
        """
        if generation == self._generation:
            self._breaker.record_failure(now)

    def is_server_lost(self, now: float) -> bool:
        """Tell whether the server has answered nothing for several requests."""
        return self._breaker.is_server_lost(now)

    def enter_cold_start(self, now: float) -> None:
        """Go back to the cold limit."""
        self._limit = float(min(self._limits.cold_limit, self._limits.slots))
        self._cold_since = now
        self._cold_until = now + self._limits.cold_seconds
        self._successes = 0
        self._had_success = False
        self._slow_streak = 0
        self._generation += 1

    def restore(self, limit: float, cold_seconds_left: float, now: float) -> None:
        """Take over the limit of a predecessor of the same backend server."""
        self._limit = limit
        self._cold_since = None
        self._cold_until = now + cold_seconds_left

    def cold_seconds_left(self, now: float) -> float:
        """Return the seconds before the limit may rise."""
        return max(0.0, self._cold_until - now)

    def _take_rate_token(self, now: float) -> bool:
        rate = self._limits.flow_rate
        earned = (now - self._rate_time) * rate
        self._rate_time = now
        self._rate_tokens = min(self._rate_tokens + earned, rate * RATE_BURST_SECONDS)
        if self._rate_tokens < 1.0:
            return False
        self._rate_tokens -= 1.0
        return True

    def _raise_limit(self, now: float) -> None:
        if now < self._cold_until:
            return
        self._had_success = True
        if self.warm:
            return
        self._successes += 1
        if self._successes >= COLD_SUCCESSES_PER_SLOT * self.limit:
            self._successes = 0
            self._limit = min(self._limit + 1.0, float(self._limits.slots))

    def _is_slow(self, seconds: float) -> bool:
        if not self.warm:
            return False
        if self._baseline_count < BASELINE_SAMPLES:
            self._baseline_count += 1
            self._baseline += (seconds - self._baseline) / self._baseline_count
            return False
        if seconds <= SLOW_FACTOR * self._baseline:
            self._slow_streak = 0
            self._baseline += SERVICE_SMOOTHING / 10 * (seconds - self._baseline)
            return False
        self._slow_streak += 1
        return self._slow_streak >= SLOW_STREAK
