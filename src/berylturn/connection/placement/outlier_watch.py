"""Gather what is known of a server and of its siblings, and let it be judged.

Load pattern: some servers of a service fail what they accept (see `outliers`). Each
agent judges its own server, by its packets and by the siblings' load reports.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...version.owners import AgentEntry
from ..flow_table import FlowTable
from ..passthrough_effects import LogDecision
from ..peer_frames import LoadReport
from .load_board import LoadBoard
from .outcome_counts import Outcome, OutcomeCounts
from .outliers import (
    Change,
    Evidence,
    OutlierJudge,
    OutlierRules,
    SiblingState,
    Standing,
)

# States of the gate in which a server is not judged: it gets no new flows, and its
# flows end for a known reason.
UNJUDGED_STATES = frozenset(
    ("no_report", "other_service", "data_centre_out", "draining", "down", "silent")
)
# What a cold start explains.
EXCUSED_WHILE_COLD = frozenset((Outcome.RETURNED, Outcome.UNANSWERED, Outcome.HASTY))
# Multiple of the mean service time, and of its objective, for which an answer may take;
# and the time for a request without an objective.
PATIENCE_SERVICE_TIMES = 8.0
PATIENCE_AIMS = 2.0
DEFAULT_PATIENCE_SECONDS = 1.0
# Age above which an answer is not reported; it fits into three bytes.
MAX_ANSWER_AGE_SECONDS = 60.0
# Shortest time between two reviews.
REVIEW_SECONDS = 0.03
# A server that is in order answers an opening within milliseconds.
OPENING_PATIENCE_SECONDS = 0.25


class OutlierWatch:
    """Judge the backend server of one agent.

    Parameters
    ----------
    host : str
        IP address of the agent.
    rules : OutlierRules
        Settings of the detection.
    flows : FlowTable
        Flows of the server; it counts their outcomes.
    board : LoadBoard
        Load reports of the siblings.
    log_decision : callable
        Logs a decision: event name, flow key, and the inputs as keywords.
    """

    def __init__(
        self,
        host: str,
        rules: OutlierRules,
        flows: FlowTable,
        board: LoadBoard,
        log_decision: LogDecision,
    ) -> None:
        self._host = host
        self._judge = OutlierJudge(rules)
        self._flows = flows
        self._board = board
        self._log_decision = log_decision
        self._counts = OutcomeCounts()
        self._reviewed_at = float("-inf")
        if rules.enabled:
            flows.outcomes = self._counts
            flows.hasty_answers_complete = not rules.enforced

    @property
    def enabled(self) -> bool:
        """Tell whether the server is judged."""
        return self._judge.rules.enabled

    @property
    def enforced(self) -> bool:
        """Tell whether a server that fails is left out, and not only logged."""
        return self._judge.rules.enforced

    def is_due(self, now: float) -> bool:
        """Tell whether a review before the next periodic one may change the standing.

        There is a shortest time between two, as each looks at all siblings.
        """
        if not self.enabled or now - self._reviewed_at < REVIEW_SECONDS:
            return False
        standing = self._judge.standing
        if standing is Standing.IN_USE:
            return self._counts.failing_since is not None
        return standing is Standing.ON_TRIAL

    @property
    def standing(self) -> Standing:
        """Return the standing of the server."""
        return self._judge.standing

    @property
    def failed_share(self) -> float:
        """Return the share of recent requests that failed, for load reports."""
        return self._counts.failed_share

    def answer_age_ms(self, now: float) -> int | None:
        """Return the milliseconds since the newest answer, for load reports."""
        answered_at = self._counts.answered_at
        if answered_at is None or now - answered_at > MAX_ANSWER_AGE_SECONDS:
            return None
        return int(1000 * max(0.0, now - answered_at))

    def ejected_seconds(self, now: float) -> float:
        """Return for how long the server gets no new flows; 0 if it is in use."""
        return self._judge.ejected_seconds(now)

    def aversion(self, now: float) -> int:
        """Return the recent failures, which count as outstanding requests."""
        return self._counts.aversion(now) if self.enforced else 0

    def holds_back(self, repeatable: bool, now: float) -> bool:
        """Tell whether an opening is to go to a sibling."""
        return self._judge.holds_back(self._counts.answered, repeatable, now)

    def record_opening(self, now: float) -> None:
        """Record that the server was given an opening."""
        self._judge.record_opening(now)

    def record_returned(self, now: float) -> None:
        """Record that the server returned an opening."""
        self._counts.record(Outcome.RETURNED, now)

    def find_unanswered(self, aim_of: Callable[[bytes], float], now: float) -> None:
        """Count the requests and openings that are without an answer for too long.

        Parameters
        ----------
        aim_of : callable
            Returns the latency objective of a flow's requests in seconds.
        now : float
            Seconds on the monotonic clock.
        """
        if not self.enabled:
            return
        by_service = PATIENCE_SERVICE_TIMES * self._flows.meter.expected_service_seconds

        def patience(key: bytes) -> float:
            aim = min(PATIENCE_AIMS * aim_of(key), DEFAULT_PATIENCE_SECONDS)
            return max(aim, by_service)

        self._flows.record_unanswered(patience, OPENING_PATIENCE_SECONDS, now)

    def review(
        self,
        agents: Sequence[AgentEntry],
        gate_state: str | None,
        cold: bool,
        now: float,
    ) -> bool:
        """Judge the server; return whether its standing has changed.

        Parameters
        ----------
        agents : sequence of AgentEntry
            Agents of the service in data centres that are in use.
        gate_state : str or None
            Why the gate refuses openings now, if it does.
        cold : bool
            Whether the server is in cold start.
        now : float
            Seconds on the monotonic clock.
        """
        if not self.enabled:
            return False
        self._reviewed_at = now
        self._counts.excused = EXCUSED_WHILE_COLD if cold else frozenset()
        if cold and self._judge.standing is Standing.IN_USE:
            self._counts.forget_answers()
        evidence = self._gather(agents, cold, now)
        if gate_state in UNJUDGED_STATES:
            change = self._judge.forgive(gate_state, evidence, now)
            self._counts.forget()
        else:
            change = self._judge.review(evidence, now)
        return self._apply(change)

    def forget(self, now: float) -> None:
        """Forget what the server did before it restarted."""
        self._apply(
            self._judge.forgive("backend_restarted", self._gather((), True, now), now)
        )
        self._counts.forget()

    def _apply(self, change: Change | None) -> bool:
        if change is None:
            return False
        self._log_decision(
            change.event,
            b"",
            reason=change.reason,
            enforced=self.enforced,
            ejections=self._judge.ejections,
            **change.inputs,
        )
        if change.event == "server_on_trial":
            self._counts.forget()
            if self.enforced:
                self._flows.meter.forget_service_time()
        return True

    def _gather(self, agents: Sequence[AgentEntry], cold: bool, now: float) -> Evidence:
        board = self._board
        siblings = []
        for agent in agents:
            if agent.host == self._host:
                continue
            report = board.fresh_report(agent.host, now)
            siblings.append(
                SiblingState(
                    agent.host,
                    board.is_ejected(agent.host, now),
                    report is not None,
                    _answered_at(report, board.reported_at(agent.host)),
                    report.failed_percent / 100 if report is not None else 0.0,
                    report.service_ms / 1000 if report is not None else 0.0,
                )
            )
        service = 0.0 if cold else self._flows.meter.service_seconds or 0.0
        return Evidence(self._host, self._counts, service, len(agents), siblings)


def _answered_at(report: LoadReport | None, reported_at: float | None) -> float | None:
    """Return when the server of a report last answered, None if unknown."""
    if report is None or report.answer_age_ms is None:
        return None
    return reported_at - report.answer_age_ms / 1000
