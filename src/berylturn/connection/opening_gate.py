"""Gate for new passthrough flows, beside one backend server.

Load pattern: a server that has just started gets the openings of a whole crowd at
once. Every opening passes the one agent beside the server, so a sliding window there
bounds the sum over all balancers. The flows themselves are counted by the gate that
the other kind of flow uses.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..domain import Limits
from ..version.routes import ServiceLimits
from .gate import AdmissionGate

# A second, as the platform's cold limit counts, and the spread of delivery.
COLD_WINDOW_SECONDS = 1.05
# A backend server reports about once in its heartbeat interval; two may be lost.
REPORTS_MISSED = 2.5
# The first report after a start comes within one interval and some delay.
REPORT_DUE = 1.3
# From the start of a process to its first instruction: 33 ms on 0.645 of a core.
# A predecessor was gone by then, so a server that started later has only this process's
# flows.
INTERPRETER_START_SECONDS = 0.04
# Hosts and servers that lost power together come back within 1.5 s of one another.
TOGETHER_SECONDS = 2.0
# Silence of the newer incarnation after which an older start time is believed: a
# server whose clock was set back starts with one. Reports of a start whose port was
# closed are late ones for as long.
SUPERSEDED_SECONDS = 2.5
# A backend server that runs answers an opening within milliseconds.
UNANSWERED_SECONDS = 0.25
# Flows that a server forgets one by one are rarely this close together.
LOST_FLOWS_SECONDS = 0.5
FLOW_RATE = 10_000.0


@dataclass(frozen=True, slots=True)
class BackendReport:
    """What a backend server says of itself in one heartbeat.

    Attributes
    ----------
    identifier : str
        Name that it gave itself; a restart may keep it.
    started_ms : int
        Unix milliseconds of its start; with `sequence` it orders reports.
    sequence : int
        Rises with each report of one start.
    service, data_centre, address : str
        What it serves and where.
    slots : int
        Requests that it works on at once.
    draining : bool
        Whether it leaves.
    cold_seconds : float
        How much longer it stays slow after its start.
    """

    identifier: str
    started_ms: int
    sequence: int
    service: str
    data_centre: str
    address: str
    slots: int
    draining: bool
    cold_seconds: float


@dataclass(frozen=True, slots=True)
class GateBounds:
    """Bounds from the settings.

    Attributes
    ----------
    cold_factor, cold_slack : float
        Openings a second at a cold server: rate times factor, plus slack.
    report_seconds : float
        Time between two reports of the backend server.
    """

    cold_factor: float
    cold_slack: float
    report_seconds: float


class OpeningGate:
    """Say which new flows the backend server gets.

    Parameters
    ----------
    bounds : GateBounds
        Bounds from the settings.
    now : float
        Seconds on the monotonic clock when the process began. The gate is closed
        until the first report, and a predecessor may have used up the cold limit of
        the last second, unless the server's start is younger than that of the process.
    """

    def __init__(self, bounds: GateBounds, now: float) -> None:
        self._bounds = bounds
        self._started = now
        self._saw_start = False
        self._started_together = False
        self._limits = ServiceLimits()
        self._flows = AdmissionGate(Limits(flow_rate=FLOW_RATE), now)
        self._report: BackendReport | None = None
        self._reported_at = now
        self._doubtful: BackendReport | None = None
        self._gone = False
        self._evacuated = False
        self._cold_until = now
        self._warm_floor = now
        self._cold_openings: deque[float] = deque()
        self._unanswered: dict[bytes, float] = {}
        self._lost_flow_at = float("-inf")
        self._refused_at = float("-inf")

    @property
    def report(self) -> BackendReport | None:
        """Return the newest report of the backend server that runs now."""
        return None if self._gone else self._report

    @property
    def has_left(self) -> bool:
        """Tell whether the backend server has said that it is gone."""
        return self._gone

    @property
    def saw_start(self) -> bool:
        """Tell whether the backend server started during this process.

        If so, this process has seen every flow that the server holds.
        """
        return self._saw_start

    @property
    def started_together(self) -> bool | None:
        """Tell whether the backend server started about when this process did.

        If so, both have lost power, unless only they were restarted. None if the server
        has not reported, as one that is gone for good.
        """
        return None if self.report is None else self._started_together

    @property
    def open_flows(self) -> int:
        """Return how many flows are counted."""
        return self._flows.flows

    @property
    def reported_at(self) -> float:
        """Return when the newest report came."""
        return self._reported_at

    def take_report(self, report: BackendReport, now: float) -> bool:
        """Take a report if it is the newest; return whether the server restarted."""
        held = self._report
        if held is not None and not self._is_newer(report, held, now):
            if report.started_ms != held.started_ms:
                self._spare(report.cold_seconds, now)
            return False
        restarted = held is not None and report.started_ms != held.started_ms
        self._report = report
        self._reported_at = now
        self._gone = False
        self._doubtful = None
        self._unanswered.clear()
        self._spare(report.cold_seconds, now)
        if restarted or report.cold_seconds > 0:
            self._note_start(restarted, report.cold_seconds, now)
        if report.cold_seconds <= 0 and not restarted:
            self._cold_until = min(self._cold_until, max(now, self._warm_floor))
        self._flows.draining = report.draining
        if self._flows.server_down and not self._is_late(report, held, now):
            self._flows.server_down = False
        return restarted

    def leave(self, identifier: str) -> bool:
        """Note that the backend server has left; return whether it was this one."""
        if self._report is None or self._report.identifier != identifier:
            return False
        self._gone = True
        return True

    def in_force(self, report: BackendReport) -> bool:
        """Tell whether the gate follows the start of the server that reports."""
        held = self.report
        return held is not None and held.started_ms == report.started_ms

    def on_flow_lost(self, now: float) -> None:
        """Note that the server handed back a packet of a flow that it held.

        It may have forgotten one flow; several at once show a restart, which its next
        report confirms or denies.
        """
        recent = now - self._lost_flow_at <= LOST_FLOWS_SECONDS
        self._lost_flow_at = now
        if recent:
            self._spare(self._limits.cold_seconds, now)

    def on_refused(self, now: float) -> None:
        """Note that the server's port is closed, so that this start of it is over."""
        if not self._flows.server_down:
            self._refused_at = now
        self._flows.server_down = True

    def set_bounds(self, bounds: GateBounds) -> None:
        """Put other bounds from the settings in force."""
        self._bounds = bounds

    def set_limits(self, limits: ServiceLimits, now: float) -> None:
        """Put new limits of the service in force."""
        self._limits = limits
        connections = Limits(connections=limits.connections, flow_rate=FLOW_RATE)
        self._flows.set_limits(connections, now)

    def set_evacuated(self, evacuated: bool, now: float) -> None:
        """Take the server out, or back in; it is cold when it comes back."""
        if self._evacuated and not evacuated:
            self._warm_floor = now + self._limits.cold_seconds
            self._cold_until = max(self._cold_until, self._warm_floor)
        self._evacuated = evacuated

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is in cold start."""
        return now < self._cold_until

    def refusal(self, service: str, now: float) -> str | None:
        """Return why an opening is not admitted now, or None."""
        report = self.report
        if report is None:
            return "no_report"
        if report.service != service:
            return "other_service"
        if self._evacuated:
            return "data_centre_out"
        if self._flows.draining:
            return "draining"
        if self._flows.server_down:
            return "down"
        if now - self._reported_at > REPORTS_MISSED * self._bounds.report_seconds:
            return "silent"
        if self._is_stuck(now):
            return "unanswered"
        if self._flows.flows >= self._limits.connections:
            return "full"
        if self.is_cold(now) and not self._has_cold_room(now):
            return "cold"
        return None

    def expected_wait(self, reason: str, ahead: int, now: float) -> float | None:
        """Return the seconds until a refused opening has room, None if unknown.

        Parameters
        ----------
        reason : str
            What `refusal` returned.
        ahead : int
            Openings that wait already.
        now : float
            Seconds on the monotonic clock.
        """
        if reason == "no_report" and not self._gone:
            due = self._started + REPORT_DUE * self._bounds.report_seconds - now
            # It may come at any moment until it is due.
            return due / 2 if due > 0 else None
        if reason == "cold":
            left = self._cold_until - now
            allowed = self._cold_allowed()
            if allowed < 1:
                return left
            return min(left, (ahead + 1) / allowed * COLD_WINDOW_SECONDS)
        return None

    def admit(self, flow: bytes, now: float) -> None:
        """Count an opening that `refusal` lets pass."""
        self._flows.add_flow()
        self._note_opening(now)
        self._unanswered.setdefault(flow, now)

    def on_answer(self) -> None:
        """Note a packet of the backend server, which takes openings."""
        if self._unanswered:
            self._unanswered.clear()

    def add_found(self) -> None:
        """Count a flow that was opened before this process began."""
        self._flows.add_flow()

    def end_flow(self) -> None:
        """Count a flow as ended."""
        self._flows.end_flow()

    def _note_start(self, restarted: bool, cold_seconds: float, now: float) -> None:
        server_began = now - (self._limits.cold_seconds - cold_seconds)
        before = self._started - server_began
        self._saw_start |= restarted or before < INTERPRETER_START_SECONDS
        self._started_together |= restarted or before < TOGETHER_SECONDS

    def _spare(self, seconds: float, now: float) -> None:
        """Treat the server as cold until its next report says that it is not."""
        self._cold_until = max(self._cold_until, now + seconds)

    def _is_newer(self, report: BackendReport, held: BackendReport, now: float) -> bool:
        if report.started_ms == held.started_ms:
            return report.sequence > held.sequence
        if report.started_ms > held.started_ms:
            return True
        doubtful, self._doubtful = self._doubtful, report
        return (
            doubtful is not None
            and doubtful.started_ms == report.started_ms
            and report.sequence > doubtful.sequence
            and now - self._reported_at > SUPERSEDED_SECONDS
        )

    def _is_late(
        self, report: BackendReport, held: BackendReport | None, now: float
    ) -> bool:
        """Tell whether a server sent a report before its port was closed."""
        return (
            held is not None
            and report.started_ms == held.started_ms
            and now - self._refused_at <= SUPERSEDED_SECONDS
        )

    def _is_stuck(self, now: float) -> bool:
        if not self._unanswered:
            return False
        oldest = next(iter(self._unanswered.values()))
        return now - oldest > UNANSWERED_SECONDS

    def _has_cold_room(self, now: float) -> bool:
        if not self._saw_start and now - self._started < COLD_WINDOW_SECONDS:
            return False
        self._forget_old_openings(now)
        return len(self._cold_openings) < self._cold_allowed()

    def _cold_allowed(self) -> int:
        bounds = self._bounds
        return int(self._limits.cold_rate * bounds.cold_factor + bounds.cold_slack)

    def _note_opening(self, now: float) -> None:
        self._forget_old_openings(now)
        self._cold_openings.append(now)

    def _forget_old_openings(self, now: float) -> None:
        openings = self._cold_openings
        while openings and now - openings[0] > COLD_WINDOW_SECONDS:
            openings.popleft()
