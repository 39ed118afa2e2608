"""Load digests of sibling agents, and the choice to pass a flow on."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..request.retry import RetryBudget
from .frames import LoadDigest, MemberState

FRESH_SECONDS = 1.5
MAX_HOPS = 2
CLEARLY_LESS = 0.8
PASS_SHARE = 0.5
PASS_RESERVE = 32.0


@dataclass
class _Known:
    digest: LoadDigest
    heard_at: float
    passed: int = 0


class Siblings:
    """Know the agents of the same services and how loaded they are.

    Examples
    --------
    >>> siblings = Siblings()
    >>> siblings.choose("booking", flows=9, weight=3.0, full=False, visited=[], now=0.0)
    """

    def __init__(self) -> None:
        self._members: dict[str, MemberState] = {}
        self._known: dict[str, _Known] = {}
        self._budget = RetryBudget(PASS_SHARE, PASS_RESERVE)

    @property
    def members(self) -> dict[str, MemberState]:
        """Return the siblings by name."""
        return self._members

    def set_members(self, members: Iterable[MemberState]) -> None:
        """Replace the list of siblings."""
        self._members = {m.name: m for m in members}
        self._known = {n: k for n, k in self._known.items() if n in self._members}

    def on_digest(self, digest: LoadDigest, now: float) -> None:
        """Keep the newest digest of a sibling."""
        known = self._known.get(digest.name)
        if known is not None and known.digest.sequence >= digest.sequence:
            return
        self._known[digest.name] = _Known(digest, now)

    def on_first_arrival(self) -> None:
        """Earn a share of the budget for passing flows on."""
        self._budget.on_first_attempt()

    def choose(
        self,
        service: str,
        flows: int,
        weight: float,
        full: bool,
        visited: list[str],
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
        now : float
            Seconds on the monotonic clock.
        """
        here = (flows + 1) / weight
        best, best_load = None, here if full else CLEARLY_LESS * here
        if full:
            best_load = float("inf")
        for name, known in self._known.items():
            load = self._load(name, known, service, visited, now)
            if load is not None and load < best_load:
                best, best_load = name, load
        if best is None or not self._budget.spend():
            return None
        self._known[best].passed += 1
        return self._members[best]

    def _load(
        self, name: str, known: _Known, service: str, visited: list[str], now: float
    ) -> float | None:
        digest = known.digest
        if name in visited or name not in self._members:
            return None
        if now - known.heard_at > FRESH_SECONDS or not digest.accepting:
            return None
        if service not in digest.services or digest.weight <= 0:
            return None
        return (digest.flows + known.passed + 1) / digest.weight
