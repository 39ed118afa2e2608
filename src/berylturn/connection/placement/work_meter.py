"""Measure the work of one backend server from the packets of its flows.

Load pattern: each request opens a flow of its own, and more of them arrive than the
server can process at once. The server's queue then grows until requests are late or
rejected, although a sibling may be idle. The agent sees each request begin and end, so
it knows how many the server needs to stay busy, and keeps the others.
"""

from __future__ import annotations

import math

# Requests per slot while the server's service time is unknown: one in progress and one
# waiting.
REQUESTS_PER_SLOT = 2
# Service time of a request that is assumed until it has been measured.
DEFAULT_SERVICE_SECONDS = 0.03
# Completed requests of which the mean service time is taken.
SAMPLE_REQUESTS = 8
# Weight of the newest sample in a moving average.
SMOOTHING = 0.3
# Ended flows after which their kind is known.
MIN_ENDED_FLOWS = 6
# Weight of the newest ended flow, and the share of flows with a single request from
# which the server's flows count as short.
FLOW_SMOOTHING = 0.1
SHORT_FLOW_SHARE = 0.6
# Samples over which the steady mean of the service time is taken, and the factor by
# which the newer mean must differ to replace it at once.
STEADY_SAMPLES = 40
STEADY_CHANGE_FACTOR = 2.0
# Bounds of the limit per slot, against a mean that a stalled server has distorted.
MAX_REQUESTS_PER_SLOT = 4
MAX_SERVICE_SECONDS = 5.0


class WorkMeter:
    """Measure service time, time to the first request, and requests per flow.

    The mean service time is the time for which slots were busy, divided by the number
    of requests completed meanwhile, so requests that wait in the server do not distort
    it.
    """

    def __init__(self) -> None:
        self._slots = 1
        self._running = 0
        self._changed_at = 0.0
        self._busy_slot_seconds = 0.0
        self._completed = 0
        self._service_seconds: float | None = None
        self._steady_seconds: float | None = None
        self._samples = 0
        self._gap_seconds = 0.0
        self._ended_flows = 0
        self._single_share = 0.0

    @property
    def service_seconds(self) -> float | None:
        """Return the mean seconds that a request occupies a slot, None if unknown."""
        return self._service_seconds

    @property
    def steady_seconds(self) -> float | None:
        """Return the mean service time over many requests, None if unknown."""
        return self._steady_seconds

    @property
    def expected_service_seconds(self) -> float:
        """Return the mean service time, or an assumption until it is known."""
        return self._service_seconds or DEFAULT_SERVICE_SECONDS

    @property
    def seconds_per_request(self) -> float:
        """Return the mean seconds between two completions of a busy server."""
        return self.expected_service_seconds / self._slots

    @property
    def gap_seconds(self) -> float:
        """Return the mean seconds from an admission to the first request."""
        return self._gap_seconds

    @property
    def has_short_flows(self) -> bool:
        """Tell whether most flows of the server end after a single request."""
        return (
            self._ended_flows >= MIN_ENDED_FLOWS
            and self._single_share >= SHORT_FLOW_SHARE
        )

    @property
    def limit(self) -> int:
        """Return how many requests keep all slots busy (Little's law).

        A flow that is admitted when a request ends brings its own request only after
        `gap_seconds`, so as many more are admitted as end within that time.
        """
        service = self._service_seconds
        if service is None or service <= 0:
            return REQUESTS_PER_SLOT * self._slots
        per_slot = min(MAX_REQUESTS_PER_SLOT, 1 + self._gap_seconds / service)
        return math.ceil(self._slots * per_slot)

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the server processes concurrently."""
        self._slots = max(1, slots)

    def change_running(self, running: int, now: float) -> None:
        """Set the number of requests in progress from now on."""
        busy_slots = min(self._running, self._slots)
        self._busy_slot_seconds += busy_slots * max(0.0, now - self._changed_at)
        self._changed_at = now
        self._running = running

    def forget_service_time(self) -> None:
        """Measure the service time anew, as the server may have changed."""
        self._completed, self._busy_slot_seconds = 0, 0.0
        self._service_seconds = None

    def record_completion(self) -> None:
        """Record the answer to a request."""
        self._completed += 1
        if self._completed < SAMPLE_REQUESTS:
            return
        sample = min(MAX_SERVICE_SECONDS, self._busy_slot_seconds / self._completed)
        self._completed, self._busy_slot_seconds = 0, 0.0
        self._service_seconds = _smooth(self._service_seconds, sample)
        self._record_steady(sample, self._service_seconds)

    def record_first_request(self, gap_seconds: float) -> None:
        """Record the time from a flow's admission to its first request."""
        self._gap_seconds = _smooth(self._gap_seconds or None, gap_seconds)

    def record_ended_flow(self, requests: int) -> None:
        """Record a flow that both ends have closed, with its number of requests."""
        single = 1.0 if requests <= 1 else 0.0
        weight = max(FLOW_SMOOTHING, 1 / (self._ended_flows + 1))
        self._single_share += weight * (single - self._single_share)
        self._ended_flows += 1

    def _record_steady(self, sample: float, recent: float) -> None:
        mean, self._samples = self._steady_seconds, self._samples + 1
        if mean is None or not STEADY_CHANGE_FACTOR > recent / (mean or 1) > (
            1 / STEADY_CHANGE_FACTOR
        ):
            self._steady_seconds, self._samples = recent, 1
            return
        weight = max(1 / STEADY_SAMPLES, 1 / self._samples)
        self._steady_seconds = mean + weight * (sample - mean)


def _smooth(mean: float | None, sample: float) -> float:
    return sample if mean is None else mean + SMOOTHING * (sample - mean)
