"""Signs of life that the backend server beside an agent has given.

Load pattern: everything loses power while a server is leaving. Its agent starts again
and the server does not, so packets that are offered to it are never answered, and each
search for the owner of a dead flow would wait there until its caller gives up.

A living server on the same host returns or answers a packet within milliseconds, and it
reports. One that has done neither since this process started is missing. That is less
than a proof, since a server may hang; who is told so needs another one, such as a loss
of power. A closed port is a proof: the server process has ended, and the next one
starts without flows, in sight of this agent.
"""

from __future__ import annotations

from .backend_reports import POWER_RETURN_SECONDS, BackendReport, ProcessStart

# Time within which a living server answers an offered packet, on a busy host.
ANSWER_SECONDS = 0.25


class ServerSigns:
    """Keep whether the own backend server has shown itself to this process.

    Parameters
    ----------
    process : ProcessStart
        Start of this process.
    """

    def __init__(self, process: ProcessStart) -> None:
        self._process = process
        self._started_later = False
        self._seen = False
        self._has_reported = False
        self._has_ended = False
        self._offered_at: float | None = None

    @property
    def has_ended(self) -> bool:
        """Tell whether the server's port was closed and nothing came since."""
        return self._has_ended

    @property
    def has_reported(self) -> bool:
        """Tell whether the server has reported to this process, believed or not."""
        return self._has_reported

    @property
    def started_later(self) -> bool:
        """Tell whether all reported starts were long after that of this process.

        A start that follows the one of the agent by more than a few seconds is another
        event, such as a crash, and proves no loss of power.
        """
        return self._started_later

    @property
    def is_awaited(self) -> bool:
        """Tell whether a packet was offered and the server has not shown itself yet."""
        return not self._seen and self._offered_at is not None

    def record_report(self, report: BackendReport) -> None:
        """Record a report of the server, also one that may be a late one."""
        latest_ms = self._process.unix_ms + 1000 * POWER_RETURN_SECONDS
        is_later = report.started_ms > latest_ms
        self._started_later = is_later and (
            self._started_later or not self._has_reported
        )
        self._has_reported = True
        self.record_sign()

    def record_sign(self) -> None:
        """Record a packet of the server."""
        self._seen = True
        self._has_ended = False

    def record_refusal(self) -> None:
        """Record that the server's port is closed."""
        self._has_ended = True

    def record_offer(self, now: float) -> None:
        """Record that the server was sent a packet that it answers or returns."""
        if self._offered_at is None:
            self._offered_at = now

    def is_missing(self, now: float) -> bool:
        """Tell whether the server has left offers unanswered and never shown itself."""
        return self.is_awaited and now - self._offered_at > ANSWER_SECONDS
