"""What a node knows of the load of agents, and where an opening goes.

Load pattern: flows last for many requests and servers differ in speed, so a server
fills up while its hash share stays the same. An opening takes the first place in its
flow's order that has room, the own data centre first.

Load pattern: all servers of all data centres restart together. What the cold ones of
another data centre bear is wanted there, so an opening waits in its own; the flow would
keep sending between the two for as long as it lasts.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..version.owners import AgentEntry
from .peer_frames import LoadReport

# Reports come twice a second; four may be lost before a report says nothing.
REPORT_TTL_SECONDS = 2.0
# An answer between nodes takes milliseconds; a slowed one may take longer.
ANSWER_TIMEOUT_SECONDS = 0.15
# Share of its slots at which a server counts as full for a first choice.
FULL_PRESSURE = 0.6
# Part of a slot that a flow keeps busy, until the next report shows it.
BUSY_PER_OPENING = 0.15


@dataclass(slots=True)
class _Peer:
    report: LoadReport | None = None
    reported_at: float = 0.0
    openings_since_report: int = 0
    awaiting_answer_since: float | None = None


class LoadBoard:
    """Keep the newest load report of each agent, by IP address."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}

    def record_report(self, host: str, report: LoadReport | None, now: float) -> None:
        """Note that an agent is there, and its load if it came along."""
        peer = self._peers.setdefault(host, _Peer())
        peer.awaiting_answer_since = None
        if report is not None:
            peer.report = report
            peer.reported_at = now
            peer.openings_since_report = 0

    def expect_answer(self, host: str, now: float) -> None:
        """Note that an agent was sent something that it answers at once."""
        peer = self._peers.setdefault(host, _Peer())
        if peer.awaiting_answer_since is None:
            peer.awaiting_answer_since = now

    def record_opening(self, host: str) -> None:
        """Note an opening that went to an agent."""
        self._peers.setdefault(host, _Peer()).openings_since_report += 1

    def keep_only(self, hosts: Collection[str]) -> None:
        """Forget agents that have left the directory."""
        for host in self._peers.keys() - set(hosts):
            del self._peers[host]

    def is_suspect(self, host: str, now: float) -> bool:
        """Tell whether an agent has owed an answer for too long."""
        peer = self._peers.get(host)
        return (
            peer is not None
            and peer.awaiting_answer_since is not None
            and now - peer.awaiting_answer_since > ANSWER_TIMEOUT_SECONDS
        )

    def silent_seconds(self, host: str, now: float) -> float:
        """Return for how long an agent has owed an answer."""
        peer = self._peers.get(host)
        if peer is None or peer.awaiting_answer_since is None:
            return 0.0
        return now - peer.awaiting_answer_since

    def fresh_report(self, host: str, now: float) -> LoadReport | None:
        """Return an agent's report while it is fresh."""
        peer = self._peers.get(host)
        if peer is None or now - peer.reported_at > REPORT_TTL_SECONDS:
            return None
        return peer.report

    def report_age(self, host: str, now: float) -> float | None:
        """Return the seconds since an agent's report, or None without one."""
        peer = self._peers.get(host)
        if peer is None or peer.report is None:
            return None
        return now - peer.reported_at

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return what is known of each agent, by IP address."""
        return {
            host: {
                "accepts": self.accepts(host, now),
                "pressure": round(self.pressure(host, now), 3),
                "report_age": self.report_age(host, now),
                "suspect": self.is_suspect(host, now),
            }
            for host in self._peers
        }

    def accepts(self, host: str, now: float) -> bool:
        """Tell whether an agent may admit an opening, as far as is known."""
        if self.is_suspect(host, now):
            return False
        report = self.fresh_report(host, now)
        return report is None or (report.accepting and not report.stopping)

    def is_cold(self, host: str, now: float) -> bool:
        """Tell whether an agent's server is in cold start, as far as is known."""
        report = self.fresh_report(host, now)
        return report is not None and report.cold

    def has_left(self, host: str) -> bool:
        """Tell whether an agent's last word was that its server is gone."""
        peer = self._peers.get(host)
        return peer is not None and peer.report is not None and peer.report.backend_left

    def pressure(self, host: str, now: float) -> float:
        """Return the share of its slots that a server has busy; 0 if unknown."""
        peer = self._peers.get(host)
        if peer is None:
            return 0.0
        report = self.fresh_report(host, now)
        busy, slots = (report.busy, report.slots) if report is not None else (0.0, 1)
        return (busy + peer.openings_since_report * BUSY_PER_OPENING) / max(1, slots)


def choose_for_opening(
    ranked: Iterable[AgentEntry],
    data_centre: str,
    board: LoadBoard,
    excluded: Collection[str],
    now: float,
    allow_remote_cold: bool = True,
) -> AgentEntry | None:
    """Return the agent that an opening goes to, or None when nobody takes it.

    Parameters
    ----------
    ranked : iterable of AgentEntry
        Agents in the order of the flow.
    data_centre : str
        Data centre where the flow entered.
    board : LoadBoard
        Load of the agents.
    excluded : collection of str
        IP addresses of agents that refused it, or that must not get it.
    now : float
        Seconds on the monotonic clock.
    allow_remote_cold : bool
        Whether servers in cold start of other data centres may get it.
    """
    candidates = [
        agent
        for agent in ranked
        if agent.host not in excluded
        and board.accepts(agent.host, now)
        and (
            allow_remote_cold
            or agent.data_centre == data_centre
            or not board.is_cold(agent.host, now)
        )
    ]
    if not candidates:
        return None
    pressures = {agent.host: board.pressure(agent.host, now) for agent in candidates}
    for agent in candidates:
        if agent.data_centre == data_centre and pressures[agent.host] < FULL_PRESSURE:
            return agent
    for agent in candidates:
        if pressures[agent.host] < FULL_PRESSURE:
            return agent
    return min(candidates, key=lambda agent: pressures[agent.host])
