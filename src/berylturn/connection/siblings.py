"""Load digests of sibling agents, and the choice to pass a flow on."""

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
STALE_SHARE = 0.05
MIN_EXCESS = 1.0
MIN_EXCESS_SHARE = 0.05
PASS_SHARE = 0.5
PASS_RESERVE = 32.0


@dataclass
class _SiblingReport:
    digest: LoadDigest
    received_at: float
    passed: int = 0

    @property
    def flows(self) -> int:
        """Return the flows of the digest and those passed on since."""
        return self.digest.flows + self.passed


class Siblings:
    """Know the agents of the same services and how loaded they are.

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
        """Keep the newest digest of a sibling."""
        report = self._reports.get(digest.name)
        if report is not None and report.digest.sequence >= digest.sequence:
            return
        self._reports[digest.name] = _SiblingReport(digest, now)

    def record_own_digest(self, flows: int) -> None:
        """Note the flows that this agent has just told its siblings.

        Excess is judged on reports of the same age on all sides: flows that
        arrived since then arrived at the siblings too.
        """
        self._reported_flows = flows
        self._passed = 0

    def is_stale(self, flows: int) -> bool:
        """Tell whether `flows` is far from what siblings were last told."""
        change = abs(flows - self._reported_flows)
        return change > max(STALE_FLOWS, STALE_SHARE * self._reported_flows)

    def earn_pass_budget(self) -> None:
        """Earn a share of the budget for passing flows on."""
        self._budget.record_first_attempt()

    def choose_sibling(
        self,
        service: str,
        flows: int,
        weight: float,
        full: bool,
        visited: list[str],
        data_centres: set[str] | None,
        now: float,
    ) -> MemberState | None:
        """Return the sibling that should take a new flow instead, if any.

        Parameters
        ----------
        service : str
            Service of the flow.
        flows, weight : int, float
            Open flows and present capacity of this agent.
        full : bool
            Whether this agent would refuse the flow.
        visited : list of str
            Agents that have already had the flow.
        data_centres : set of str or None
            Where the flow may go; None means anywhere.
        now : float
            Seconds on the monotonic clock.
        """
        fresh = self._fresh_reports(service, data_centres, now)
        mine = min(flows, self._reported_flows)
        total = mine + sum(r.digest.flows for r in fresh.values())
        capacity = weight + sum(r.digest.weight for r in fresh.values())
        fair = total / capacity
        excess = mine - self._passed - fair * weight
        if not full and excess <= max(MIN_EXCESS, MIN_EXCESS_SHARE * fair * weight):
            return None
        deficits = {
            name: fair * report.digest.weight - report.flows
            for name, report in fresh.items()
            if name not in visited
        }
        return self._pick_sibling(deficits)

    def _pick_sibling(self, deficits: dict[str, float]) -> MemberState | None:
        """Pick a sibling with a chance in proportion to what it lacks.

        Always picking the least loaded would send all flows of one digest period
        to the same sibling.
        """
        lacking = {name: gap for name, gap in deficits.items() if gap > 0}
        if not lacking or not self._budget.spend():
            return None
        names = list(lacking)
        chosen = self._random.choices(names, [lacking[name] for name in names])[0]
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
