"""Admission control for new passthrough flows at the agent of one backend server.

Load pattern: many callers open flows at a server that has just started. Every opening
passes the one agent beside the server, so a sliding window there bounds the sum over
all balancers. Open flows are counted by the `AdmissionGate` that flows with a token
use as well.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ...domain import Limits
from ...version.routes import ServiceLimits
from ..gate import AdmissionGate
from ..recovery.backend_reports import BackendReport, BackendReports, ProcessStart

# Window of the platform's cold limit (1 s) plus the variation in delivery time.
COLD_WINDOW_SECONDS = 1.05
# Report intervals without a report after which the server counts as silent: it
# reports about once per interval, and two reports may be lost.
REPORT_TIMEOUT_INTERVALS = 2.5
# Report intervals, from the start of this process, within which the first report is
# due: one interval plus delivery delay.
FIRST_REPORT_INTERVALS = 1.3
# After a refused connection, reports of the same start count as stale for this long.
STALE_REFUSED_SECONDS = 2.5
# A running backend server answers an opening within milliseconds.
UNANSWERED_SECONDS = 0.25
# Two lost flows within this time indicate a restart: a server that drops single flows
# rarely drops two so close together.
LOST_FLOWS_WINDOW_SECONDS = 0.5
# Openings per second. `AdmissionGate` needs a rate; this gate limits openings itself.
UNLIMITED_FLOW_RATE = 10_000.0


@dataclass(frozen=True, slots=True)
class GateBounds:
    """Limits from the settings.

    Attributes
    ----------
    cold_factor, cold_slack : float
        Openings per second at a cold server: `cold_rate * cold_factor + cold_slack`.
    report_seconds : float
        Interval between two reports of the backend server, in seconds.
    """

    cold_factor: float
    cold_slack: float
    report_seconds: float


class OpeningGate:
    """Decide which new flows the backend server admits.

    Parameters
    ----------
    bounds : GateBounds
        Limits from the settings.
    process : ProcessStart
        Start of this process. The gate is closed until the first report. The previous
        process may have used up the cold limit of the last second, unless the server
        started after this process.
    """

    def __init__(self, bounds: GateBounds, process: ProcessStart) -> None:
        now = process.at
        self._bounds = bounds
        self._started = now
        self._reports = BackendReports(process)
        self._limits = ServiceLimits()
        self._admission_gate = AdmissionGate(Limits(flow_rate=UNLIMITED_FLOW_RATE), now)
        self._service_known = False
        self._deregistered = False
        self._evacuated = False
        self._cold_until = now
        self._return_cold_until = now
        self._recent_openings: deque[float] = deque()
        self._unanswered: dict[bytes, float] = {}
        self._lost_flow_at = float("-inf")
        self._connection_refused_at = float("-inf")

    @property
    def report(self) -> BackendReport | None:
        """Return the newest report, or None without a believed one.

        There is none after a deregistration either.
        """
        is_believed = self._reports.confirmed or self._service_known
        return self._reports.newest if is_believed and not self._deregistered else None

    @property
    def has_left(self) -> bool:
        """Tell whether the backend server has deregistered after draining.

        A deregistration of a server that does not drain may be a late one, sent before
        a restart under the same identifier.
        """
        newest = self._reports.newest
        return self._deregistered and newest is not None and newest.draining

    @property
    def saw_start(self) -> bool:
        """Tell whether the backend server started during this process.

        If so, this process has seen every flow of the server.
        """
        return self._reports.saw_start

    @property
    def started_together(self) -> bool | None:
        """Tell whether the backend server started about when this process did.

        If so, both have probably lost power, or only these two were restarted. None
        without a report, as when the server does not come back at all.
        """
        return None if self.report is None else self._reports.started_together

    @property
    def open_flows(self) -> int:
        """Return the number of open flows."""
        return self._admission_gate.flows

    @property
    def reported_at(self) -> float:
        """Return when the newest report arrived, on the monotonic clock."""
        return self._reports.arrived_at

    def record_report(
        self, report: BackendReport, now: float, service_known: bool = True
    ) -> bool:
        """Store a report if it is the newest; return whether the server restarted.

        Parameters
        ----------
        report : BackendReport
            The report.
        now : float
            Seconds on the monotonic clock.
        service_known : bool
            Whether the settings name the service of the report. If not, the gate stays
            closed until the report is confirmed.
        """
        current = self._reports.newest
        self._service_known = service_known
        if not self._reports.record(
            report, self._limits.cold_seconds, self._bounds.report_seconds, now
        ):
            if report.started_ms != current.started_ms:
                self._assume_cold(report.cold_seconds, now)
            return False
        restarted = current is not None and report.started_ms != current.started_ms
        self._deregistered = False
        self._unanswered.clear()
        self._assume_cold(report.cold_seconds, now)
        if not self._reports.confirmed:
            self._assume_cold(self._limits.cold_seconds, now)
        elif report.cold_seconds <= 0 and not restarted:
            self._cold_until = min(self._cold_until, max(now, self._return_cold_until))
        self._admission_gate.draining = report.draining
        if self._admission_gate.server_down and not self._is_stale(
            report, current, now
        ):
            self._admission_gate.server_down = False
        return restarted

    def deregister(self, identifier: str) -> bool:
        """Deregister the backend server; return whether the identifier is its own."""
        newest = self._reports.newest
        if newest is None or newest.identifier != identifier:
            return False
        self._deregistered = True
        return True

    def is_current(self, report: BackendReport) -> bool:
        """Tell whether a report is of the newest start; it need not be believed yet."""
        current = None if self._deregistered else self._reports.newest
        return current is not None and current.started_ms == report.started_ms

    def on_flow_lost(self, now: float) -> None:
        """Record that the server returned a packet of a flow that it had held.

        It may have dropped a single flow. Several lost flows within a short time
        indicate a restart, so the server counts as cold until its next report.
        """
        recent = now - self._lost_flow_at <= LOST_FLOWS_WINDOW_SECONDS
        self._lost_flow_at = now
        if recent:
            self._assume_cold(self._limits.cold_seconds, now)

    def on_connection_refused(self, now: float) -> None:
        """Record that the server's port is closed: this server process has ended."""
        if not self._admission_gate.server_down:
            self._connection_refused_at = now
        self._admission_gate.server_down = True

    def set_bounds(self, bounds: GateBounds) -> None:
        """Replace the limits from the settings."""
        self._bounds = bounds

    def set_limits(self, limits: ServiceLimits, now: float) -> None:
        """Replace the limits of the service."""
        self._limits = limits
        connections = Limits(
            connections=limits.connections, flow_rate=UNLIMITED_FLOW_RATE
        )
        self._admission_gate.set_limits(connections, now)

    def set_evacuated(self, evacuated: bool, now: float) -> None:
        """Set whether the data centre is evacuated; afterwards the server is cold."""
        if self._evacuated and not evacuated:
            self._return_cold_until = now + self._limits.cold_seconds
            self._cold_until = max(self._cold_until, self._return_cold_until)
        self._evacuated = evacuated

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is in cold start."""
        return now < self._cold_until

    @property
    def cold_until(self) -> float:
        """Return when the cold start ends, or has ended."""
        return self._cold_until

    def next_cold_place(self, ahead: int, now: float) -> float:
        """Return when the cold limit admits one more opening.

        Parameters
        ----------
        ahead : int
            Number of queued openings that are admitted before it.
        now : float
            Seconds on the monotonic clock.
        """
        limit = self.cold_opening_limit
        if limit < 1:
            return self._cold_until
        opens_at = now
        if not self._reports.saw_start:
            opens_at = max(now, self._started + COLD_WINDOW_SECONDS)
        self._expire_openings(now)
        recent = self._recent_openings
        later = ahead - (limit - len(recent))
        if later < 0:
            return min(opens_at, self._cold_until)
        rounds, place = divmod(later, limit)
        freed_at = recent[place] if place < len(recent) else opens_at
        freed_at += (rounds + 1) * COLD_WINDOW_SECONDS
        return min(max(opens_at, freed_at), self._cold_until)

    def refusal(self, service: str, now: float) -> str | None:
        """Return the reason why an opening is refused now, or None if admitted."""
        report = self.report
        if report is None:
            return "no_report"
        if report.service != service:
            return "other_service"
        if self._evacuated:
            return "data_centre_out"
        if self._admission_gate.draining:
            return "draining"
        if self._admission_gate.server_down:
            return "down"
        if (
            now - self._reports.arrived_at
            > REPORT_TIMEOUT_INTERVALS * self._bounds.report_seconds
        ):
            return "silent"
        if self._is_unresponsive(now):
            return "unanswered"
        if self._admission_gate.flows >= self._limits.connections:
            return "full"
        if self.is_cold(now) and not self._has_cold_capacity(now):
            return "cold"
        return None

    def expected_wait(self, reason: str, ahead: int, now: float) -> float | None:
        """Return the seconds until a refused opening is admitted, or None if unknown.

        Parameters
        ----------
        reason : str
            Result of `refusal`.
        ahead : int
            Number of openings in the queue before this one.
        now : float
            Seconds on the monotonic clock.
        """
        if reason == "no_report" and not self._deregistered:
            seconds_until_due = (
                self._started
                + FIRST_REPORT_INTERVALS * self._bounds.report_seconds
                - now
            )
            # The report may arrive at any time until then, on average halfway.
            return seconds_until_due / 2 if seconds_until_due > 0 else None
        if reason == "cold":
            cold_seconds_left = self._cold_until - now
            allowed = self.cold_opening_limit
            if allowed < 1:
                return cold_seconds_left
            return min(cold_seconds_left, (ahead + 1) / allowed * COLD_WINDOW_SECONDS)
        return None

    def admit(self, flow: bytes, now: float) -> None:
        """Count an opening that `refusal` admits."""
        self._admission_gate.add_flow()
        self._record_opening(now)
        self._unanswered.setdefault(flow, now)

    def on_answer(self) -> None:
        """Record a packet of the backend server, which shows that it responds."""
        if self._unanswered:
            self._unanswered.clear()

    def add_existing_flow(self) -> None:
        """Count a flow that was opened before this process started."""
        self._admission_gate.add_flow()

    def end_flow(self) -> None:
        """Remove an ended flow from the count."""
        self._admission_gate.end_flow()

    def _assume_cold(self, seconds: float, now: float) -> None:
        """Treat the server as cold for some seconds, or until it reports otherwise."""
        self._cold_until = max(self._cold_until, now + seconds)

    def _is_stale(
        self, report: BackendReport, current: BackendReport | None, now: float
    ) -> bool:
        """Tell whether a report was sent before the server closed its port."""
        return (
            current is not None
            and report.started_ms == current.started_ms
            and now - self._connection_refused_at <= STALE_REFUSED_SECONDS
        )

    def _is_unresponsive(self, now: float) -> bool:
        if not self._unanswered:
            return False
        oldest = next(iter(self._unanswered.values()))
        return now - oldest > UNANSWERED_SECONDS

    def _has_cold_capacity(self, now: float) -> bool:
        if not self._reports.saw_start and now - self._started < COLD_WINDOW_SECONDS:
            return False
        self._expire_openings(now)
        return len(self._recent_openings) < self.cold_opening_limit

    @property
    def cold_opening_limit(self) -> int:
        """Return how many openings a second a cold server admits."""
        bounds = self._bounds
        return int(self._limits.cold_rate * bounds.cold_factor + bounds.cold_slack)

    def _record_opening(self, now: float) -> None:
        self._expire_openings(now)
        self._recent_openings.append(now)

    def _expire_openings(self, now: float) -> None:
        openings = self._recent_openings
        while openings and now - openings[0] > COLD_WINDOW_SECONDS:
            openings.popleft()
