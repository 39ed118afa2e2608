"""What an agent concludes from the reports of the backend server beside it.

Load pattern: agents are restarted in turn while their servers go on, a data centre is
evacuated and its servers become cold without a restart, and a report that was held up
arrives after its sender has crashed and another server has its address.

Whose report it is: the address must be that of the own server, and so must the service
where the settings name it. Between the starts at one address, the later one is the
server that runs now; reports of an earlier one count only after the later one has been
silent, as a clock may have been set back. A deregistration states no start, so it ends
a server only if that had reported that it was draining.

Whether this process saw the start: an agent that did knows each flow of the server, and
it resets what is not in its table. So every statement about the start must agree:

- The time of the start that the server reports is not before the start of this process.
  Both read the clock of one host.
- The rest of its cold time allows it. A cold server alone proves no start: servers of
  an evacuated data centre become cold long after theirs.
- A first report that is not cold proves nothing, since the clock may have been set back
  between the two starts.

A start that was seen in error is never taken back and costs flows; one that was missed
costs only offers to the own server.

What is believed until a second report has come: a first report of a start before this
process may be a late one. Reports are numbered from the start at a known interval, so
one whose number is as high as the age of its start makes expect is a recent one. Else a
second one has to come at least half an interval later: reports that were held up come
alone or in a burst. Until then the server counts as cold, and where the settings name
no service, as not having reported at all. Draining is believed at once, as it only
closes the gate.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time from the start of this process to its first instruction: 33 ms on 0.645 of a
# core. The previous agent process had ended by then, so a server that started later
# has only flows that this process admitted.
INTERPRETER_START_SECONDS = 0.04
# Hosts and servers that lost power together start within 1.5 s of one another.
POWER_RETURN_SECONDS = 2.0
# Reports with the known start time must have been missing for this long before reports
# with an earlier start time are accepted: a server whose clock was set back restarts
# with an earlier one.
STALE_REPORT_SECONDS = 2.5
# Report intervals between the first report of a start and one that confirms it.
CONFIRMING_INTERVALS = 0.5
# Report intervals by which the number of a recent report may be behind the age of its
# start, as intervals and the clock vary.
RECENT_INTERVALS = 0.5


@dataclass(frozen=True, slots=True)
class BackendReport:
    """State of a backend server as reported in one heartbeat.

    Attributes
    ----------
    identifier : str
        Name that the server chose for itself; it may be the same after a restart.
    started_ms : int
        Unix time of its start in milliseconds; orders reports, together with
        `sequence`.
    sequence : int
        Number of the report since that start; increases with each report.
    service, data_centre, address : str
        Service that it belongs to, its data centre, and its address.
    slots : int
        Number of requests that it processes concurrently.
    draining : bool
        Whether it is draining.
    cold_seconds : float
        Remaining seconds of its cold start.
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
class OwnServer:
    """The backend server beside this agent, by the settings.

    Attributes
    ----------
    address : str
        Where it receives packets, as ``IP:PORT``.
    service : str or None
        Service that it belongs to; None if the settings do not name it.
    """

    address: str
    service: str | None

    def is_sender_of(self, report: BackendReport) -> bool:
        """Tell whether a report may be of this server."""
        return report.address == self.address and self.service in (None, report.service)


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """Start of this process.

    Attributes
    ----------
    at : float
        Seconds on the monotonic clock.
    unix_ms : int
        Unix time in milliseconds.
    """

    at: float
    unix_ms: int


class BackendReports:
    """Keep the newest report of the backend server, and what the reports prove.

    Parameters
    ----------
    process : ProcessStart
        Start of this process.
    """

    def __init__(self, process: ProcessStart) -> None:
        self._process = process
        self._newest: BackendReport | None = None
        self._arrived_at = process.at
        self._conflicting: BackendReport | None = None
        # Arrival of the first report of the newest start.
        self._first_arrived_at = process.at
        self._confirmed = False
        self._saw_start = False
        self._started_together = False

    @property
    def newest(self) -> BackendReport | None:
        """Return the newest report, or None without one."""
        return self._newest

    @property
    def arrived_at(self) -> float:
        """Return when the newest report arrived, on the monotonic clock."""
        return self._arrived_at

    @property
    def confirmed(self) -> bool:
        """Tell whether the newest report is certainly of the server that runs now."""
        return self._confirmed

    @property
    def saw_start(self) -> bool:
        """Tell whether the backend server started during this process."""
        return self._saw_start

    @property
    def started_together(self) -> bool:
        """Tell whether the backend server started about when this process did."""
        return self._started_together

    def record(
        self,
        report: BackendReport,
        cold_start_seconds: float,
        report_seconds: float,
        now: float,
    ) -> bool:
        """Store a report if it is the newest; return whether it was stored.

        Parameters
        ----------
        report : BackendReport
            The report.
        cold_start_seconds : float
            Length of the service's cold start.
        report_seconds : float
            Interval between two reports.
        now : float
            Seconds on the monotonic clock.
        """
        previous = self._newest
        if previous is not None and not self._is_newer(report, previous, now):
            return False
        self._newest = report
        self._arrived_at = now
        self._conflicting = None
        restarted = previous is not None and report.started_ms != previous.started_ms
        if previous is None or restarted:
            self._first_arrived_at = now
            self._confirmed = self._began_later_by_clock(
                report, INTERPRETER_START_SECONDS
            ) or self._is_recent(report, report_seconds, now)
        elif now - self._first_arrived_at >= CONFIRMING_INTERVALS * report_seconds:
            self._confirmed = True
        if restarted or report.cold_seconds > 0:
            seconds_since_start = cold_start_seconds - report.cold_seconds
            earliest = now - seconds_since_start
            self._saw_start |= self._began_after(
                report, earliest, INTERPRETER_START_SECONDS
            )
            self._started_together |= self._began_after(
                report, earliest, POWER_RETURN_SECONDS
            )
        return True

    def _began_after(
        self, report: BackendReport, started_at: float, margin: float
    ) -> bool:
        """Tell whether a server started after this process, or shortly before it.

        Parameters
        ----------
        report : BackendReport
            Report of the server.
        started_at : float
            Start by its cold time, in seconds on the monotonic clock.
        margin : float
            Seconds by which it may have started before this process.
        """
        by_clock = self._began_later_by_clock(report, margin)
        return by_clock and started_at + margin > self._process.at

    def _began_later_by_clock(self, report: BackendReport, margin: float) -> bool:
        return report.started_ms + 1000 * margin >= self._process.unix_ms

    def _is_recent(
        self, report: BackendReport, report_seconds: float, now: float
    ) -> bool:
        """Tell whether the number of a report fits the present age of its start."""
        unix_ms = self._process.unix_ms + 1000 * (now - self._process.at)
        age = (unix_ms - report.started_ms) / 1000
        return report.sequence >= age / report_seconds - RECENT_INTERVALS

    def _is_newer(
        self, report: BackendReport, newest: BackendReport, now: float
    ) -> bool:
        if report.started_ms == newest.started_ms:
            return report.sequence > newest.sequence
        if report.started_ms > newest.started_ms:
            return True
        previous, self._conflicting = self._conflicting, report
        return (
            previous is not None
            and previous.started_ms == report.started_ms
            and report.sequence > previous.sequence
            and now - self._arrived_at > STALE_REPORT_SECONDS
        )
