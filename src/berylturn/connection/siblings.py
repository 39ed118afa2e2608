"""Load reports of sibling agents, and the choice of one to pass a flow on to."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..domain import MemberState
from ..request.retry import RetryBudget
from .frames import LoadDigest

REPORT_FRESH_SECONDS = 1.5
MAX_HOPS = 2
STALE_FLOWS = 3
STALE_SHARE = 0.05  # of the flows last reported
MIN_EXCESS = 1.0  # flows
MIN_EXCESS_SHARE = 0.05  # of this agent's share of all flows
PASS_SHARE = 0.5  # flows that may be passed on per new flow
PASS_RESERVE = 32.0  # flows that may be passed on at once


@dataclass
class _SiblingReport:
    digest: LoadDigest
    received_at: float
    passed: int = 0

    @property
    def flows(self) -> int:
        """Return the reported flows plus those passed on since the report."""
        return self.digest.flows + self.passed


class Siblings:
    """Track the agents of the same services and their load.

    Examples
    --------
    >>> siblings = Siblings()
    >>> siblings.choose_sibling("booking", 9, 3.0, False, [], None, now=0.0)
    """

    def __init__(self, seed: str = "") -> None:
        self._random = random.Random(seed)
        self._members: dict[str, MemberState] = {}
        self._reports: dict[str, _SiblingReport] = {}
        self._budget = RetryBudget(PASS_SHARE, PASS_RESERVE)
        self._reported_flows = 0
        self._passed = 0

    @property
    def members(self) -> dict[str, MemberState]:
        """Return the siblings by name."""
        return self._members

    def set_members(self, members: Iterable[MemberState]) -> None:
        """Replace the list of siblings."""
        self._members = {m.name: m for m in members}
        self._reports = {n: r for n, r in self._reports.items() if n in self._members}

    def on_digest(self, digest: LoadDigest, now: float) -> None:
        """Keep a sibling's digest unless a newer one is known."""
        report = self._reports.get(digest.name)
        if report is not None and report.digest.sequence >= digest.sequence:
            return
        self._reports[digest.name] = _SiblingReport(digest, now)

    def record_own_digest(self, flows: int) -> None:
        """Record the flows that this agent has just reported to its siblings.

        The excess is computed from reports of about the same age on all sides,
        because flows that arrived here since then arrived at the siblings too.
        """
        self._reported_flows = flows
        self._passed = 0

    def is_stale(self, flows: int) -> bool:
        """Tell whether `flows` differs much from the last report to the siblings."""
        change = abs(flows - self._reported_flows)
        return change > max(STALE_FLOWS, STALE_SHARE * self._reported_flows)

    def earn_pass_budget(self) -> None:
        """Add a share of one flow to the budget for passing flows on."""
        self._budget.record_first_attempt()

    def choose_sibling(
        self,
        service: str,
        flows: int,
        weight: float,
        would_refuse: bool,
        visited: list[str],
        data_centres: set[str] | None,
        now: float,
    ) -> MemberState | None:
        """Return the sibling to pass a new flow on to, or None to keep it.

        Parameters
        ----------
        service : str
            Service of the flow.
        flows, weight : int, float
            Open flows and present capacity of this agent.
        would_refuse : bool
            Whether this agent would refuse the flow.
        visited : list of str
            Agents that have already passed the flow on.
        data_centres : set of str or None
            Data centres that the flow may go to; None means any.
        now : float
            Seconds on the monotonic clock.
        """
        fresh = self._fresh_reports(service, data_centres, now)
        own_flows = min(flows, self._reported_flows)
        total = own_flows + sum(r.digest.flows for r in fresh.values())
        capacity = weight + sum(r.digest.weight for r in fresh.values())
        flows_per_weight = total / capacity
        excess = own_flows - self._passed - flows_per_weight * weight
        if not would_refuse and excess <= max(
            MIN_EXCESS, MIN_EXCESS_SHARE * flows_per_weight * weight
        ):
            return None
        deficits = {
            name: flows_per_weight * report.digest.weight - report.flows
            for name, report in fresh.items()
            if name not in visited
        }
        return self._pick_sibling(deficits)

    def _pick_sibling(self, deficits: dict[str, float]) -> MemberState | None:
        """Pick a sibling at random, weighted by its deficit.

        Always picking the least loaded one would send all flows of one reporting
        period to the same sibling.
        """
        below_share = {name: gap for name, gap in deficits.items() if gap > 0}
        if not below_share or not self._budget.spend():
            return None
        names = list(below_share)
        chosen = self._random.choices(names, [below_share[name] for name in names])[0]
        self._reports[chosen].passed += 1
        self._passed += 1
        return self._members[chosen]

    def _fresh_reports(
        self, service: str, data_centres: set[str] | None, now: float
    ) -> dict[str, _SiblingReport]:
        members = self._members
        return {
            name: report
            for name, report in self._reports.items()
            if name in members
            and (data_centres is None or members[name].data_centre in data_centres)
            and now - report.received_at <= REPORT_FRESH_SECONDS
            and report.digest.accepting
            and report.digest.weight > 0
            and service in report.digest.services
        }
