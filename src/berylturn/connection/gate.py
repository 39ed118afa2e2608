"""Admission control: the only check of limits for flows with a route token."""

from __future__ import annotations

from ..domain import Limits, RefusalReason
from .breaker import CircuitBreaker

RATE_BURST_SECONDS = 0.5
SERVICE_SMOOTHING = 0.1  # weight of one answer in the moving average
COLD_SUCCESSES_PER_SLOT = 3
SLOW_FACTOR = 3.0  # times the baseline
SLOW_STREAK = 6  # slow answers in a row
BASELINE_SAMPLES = 30  # answers


class AdmissionGate:
    """Limit open flows, new flows a second and concurrent requests.

    A server in cold start gets only its cold limit. When the cold time is over, the
    limit rises by one slot after `COLD_SUCCESSES_PER_SLOT` answers per slot; a run of
    slow answers sends it back to cold start.

    Parameters
    ----------
    limits : Limits
        Limits from the labels of the backend server.
    now : float
        Seconds on the monotonic clock; a new gate is in cold start.

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
        self._rate_refilled_at = now
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
        """Return how many requests may run at once at present."""
        return int(self._limit)

    @property
    def capacity(self) -> float:
        """Return the present capacity relative to other backend servers."""
        return self.limit * self._limits.speed

    @property
    def warm(self) -> bool:
        """Tell whether the limit has risen to all slots."""
        return self.limit >= self._limits.slots

    @property
    def running(self) -> int:
        """Return how many requests are running."""
        return self._running

    @property
    def flows(self) -> int:
        """Return how many flows are open."""
        return self._flows

    @property
    def generation(self) -> int:
        """Return the number of cold starts since this gate was created."""
        return self._generation

    @property
    def service_seconds(self) -> float:
        """Return the exponential moving average of a request's seconds."""
        return self._service_seconds

    @property
    def accepting(self) -> bool:
        """Tell whether new flows may be admitted at all."""
        return not (self.draining or self.data_centre_out or self.server_down)

    def set_limits(self, limits: Limits, now: float) -> None:
        """Apply new limits; running requests are not affected."""
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
        """Count a new flow and return None, or return why it is refused."""
        if not self.accepting:
            return RefusalReason.DRAINING
        if self._flows >= self._limits.connections:
            return RefusalReason.FULL
        if not self._take_rate_token(now):
            return RefusalReason.RATE
        self._flows += 1
        return None

    def add_flow(self) -> None:
        """Count a flow that a predecessor of this agent admitted."""
        self._flows += 1

    def end_flow(self) -> None:
        """Subtract a flow that has ended."""
        self._flows -= 1

    def may_start(self, now: float) -> bool:
        """Tell whether one more request may start."""
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
            Value of `generation` when the request started; an answer from before
            the last cold start says nothing about the server that runs now.
        seconds : float or None
            How long it ran; None unless the server answered it.

        Returns
        -------
        went_cold : bool
            Whether a run of slow answers sent the server back to cold start.
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
        """Record that the server closed a connection instead of answering.

        Requests from before a restart say nothing about the server that runs now.
        """
        if generation == self._generation:
            self._breaker.record_failure(now)

    def is_server_lost(self, now: float) -> bool:
        """Tell whether the server has failed several requests in a row."""
        return self._breaker.is_server_lost(now)

    def enter_cold_start(self, now: float) -> None:
        """Return to the cold limit and start the cold time again."""
        self._limit = float(min(self._limits.cold_limit, self._limits.slots))
        self._cold_since = now
        self._cold_until = now + self._limits.cold_seconds
        self._successes = 0
        self._had_success = False
        self._slow_streak = 0
        self._generation += 1

    def restore(self, limit: float, cold_seconds_left: float, now: float) -> None:
        """Take over the limit of a predecessor in front of the same server."""
        self._limit = limit
        self._cold_since = None
        self._cold_until = now + cold_seconds_left

    def cold_seconds_left(self, now: float) -> float:
        """Return the seconds until the limit may rise."""
        return max(0.0, self._cold_until - now)

    def _take_rate_token(self, now: float) -> bool:
        rate = self._limits.flow_rate
        refill = (now - self._rate_refilled_at) * rate
        self._rate_refilled_at = now
        self._rate_tokens = min(self._rate_tokens + refill, rate * RATE_BURST_SECONDS)
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
