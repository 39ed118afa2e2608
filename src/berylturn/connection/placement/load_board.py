"""Load reports of agents at a node, and the choice of an agent for an opening.

Load pattern: flows last for many requests and servers differ in speed, so a server can
become full while its share by hash stays the same. An opening goes to the first agent
in its flow's order that has capacity, those in the local data centre first.

Load pattern: all servers of all data centres restart together. The capacity of cold
servers in another data centre is needed there, so an opening waits in its own data
centre. Otherwise its packets would cross between data centres for as long as the flow
lasts.

Load pattern: each request opens a flow and servers differ in speed. An average of the
last second says nothing about a request of 15 ms, so an opening goes to the server that
is estimated to complete it first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from ...version.owners import AgentEntry
from ..peer_frames import LoadReport
from .flow_habits import Habit
from .mixed_choice import REMOTE_SECONDS, choose_mixed, is_mixed
from .work_meter import DEFAULT_SERVICE_SECONDS

# Reports arrive twice a second; a report expires when four successors are missing.
REPORT_TTL_SECONDS = 2.0
# An answer between nodes takes milliseconds; the rest allows for slow nodes.
ANSWER_TIMEOUT_SECONDS = 0.15
# Questions without an answer, and the time for that, from which frames to a host count
# as lost although its reports arrive: a link may be cut one way.
MIN_UNANSWERED = 3
UNANSWERED_SECONDS = 0.5
# Share of busy slots from which a server is chosen only if all others are as busy.
FULL_PRESSURE = 0.6
# Estimated share of a slot that a new flow uses, until the next report includes it.
BUSY_PER_OPENING = 0.15


@dataclass(slots=True)
class _Peer:
    report: LoadReport | None = None
    reported_at: float = 0.0
    openings_since_report: int = 0
    feeds_since_report: int = 0
    awaiting_answer_since: float | None = None
    # Questions that got no answer; a report sent by itself is none.
    unanswered: int = 0
    unanswered_since: float = 0.0
    ejected_until: float = 0.0


class LoadBoard:
    """Store the newest load report of each agent, by IP address."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        # Returns the hosts that only a detour reaches; they get no new flows.
        self.list_detoured: Callable[[], Collection[str]] = tuple

    def record_report(
        self, host: str, report: LoadReport | None, now: float, is_answer: bool = True
    ) -> None:
        """Record that an agent is alive, and its load report if there is one.

        Parameters
        ----------
        host : str
            IP address of the agent.
        report : LoadReport or None
            Its load report.
        now : float
            Seconds on the monotonic clock.
        is_answer : bool
            Whether it answers a frame, so that frames to the agent arrive.
        """
        peer = self._peers.setdefault(host, _Peer())
        peer.awaiting_answer_since = None
        if is_answer:
            peer.unanswered = 0
        if report is not None:
            peer.report = report
            peer.reported_at = now
            peer.openings_since_report = peer.feeds_since_report = 0
            peer.ejected_until = now + report.ejected_ms / 1000

    def record_alive(self, host: str, now: float) -> None:
        """Record that an agent has answered, without a load report."""
        self.record_report(host, None, now)

    def expect_answer(self, host: str, now: float) -> None:
        """Record that an agent was sent a frame that it answers at once."""
        peer = self._peers.setdefault(host, _Peer())
        if peer.awaiting_answer_since is None:
            peer.awaiting_answer_since = now
        if not peer.unanswered:
            peer.unanswered_since = now
        peer.unanswered += 1

    def record_opening(self, host: str, is_feed: bool = False) -> None:
        """Record that an opening was sent to an agent."""
        peer = self._peers.setdefault(host, _Peer())
        peer.openings_since_report += 1
        peer.feeds_since_report += is_feed

    def pending_openings(self, host: str) -> int:
        """Return the openings sent to an agent since its last report."""
        peer = self._peers.get(host)
        return peer.openings_since_report if peer is not None else 0

    def pending_feeds(self, host: str) -> int:
        """Return the openings of long flows sent to an agent since its last report."""
        peer = self._peers.get(host)
        return peer.feeds_since_report if peer is not None else 0

    def keep_only(self, hosts: Collection[str]) -> None:
        """Remove agents that are no longer in the directory."""
        for host in self._peers.keys() - set(hosts):
            del self._peers[host]

    def is_suspect(self, host: str, now: float) -> bool:
        """Tell whether the answer of an agent is overdue."""
        peer = self._peers.get(host)
        return (
            peer is not None
            and peer.awaiting_answer_since is not None
            and now - peer.awaiting_answer_since > ANSWER_TIMEOUT_SECONDS
        )

    def silent_seconds(self, host: str, now: float) -> float:
        """Return how long an answer of an agent has been awaited; 0 if none is."""
        peer = self._peers.get(host)
        if peer is None or peer.awaiting_answer_since is None:
            return 0.0
        return now - peer.awaiting_answer_since

    def is_overdue(self, host: str, now: float) -> bool:
        """Tell whether frames to an agent seem not to arrive, or not its answers."""
        return self.is_suspect(host, now) or self._is_unanswered(
            host, UNANSWERED_SECONDS, now
        )

    def list_silent(self, seconds: float, now: float) -> list[str]:
        """Return the hosts that have answered nothing for some time.

        Parameters
        ----------
        seconds : float
            How long answers have been awaited.
        now : float
            Seconds on the monotonic clock.
        """
        return [h for h in self._peers if self._is_unanswered(h, seconds, now)]

    def _is_unanswered(self, host: str, seconds: float, now: float) -> bool:
        peer = self._peers.get(host)
        return (
            peer is not None
            and peer.unanswered >= MIN_UNANSWERED
            and now - peer.unanswered_since > seconds
        )

    def fresh_report(self, host: str, now: float) -> LoadReport | None:
        """Return an agent's report, or None if there is none or it has expired."""
        peer = self._peers.get(host)
        if peer is None or now - peer.reported_at > REPORT_TTL_SECONDS:
            return None
        return peer.report

    def report_age(self, host: str, now: float) -> float | None:
        """Return the age of an agent's report in seconds, or None without one."""
        peer = self._peers.get(host)
        if peer is None or peer.report is None:
            return None
        return now - peer.reported_at

    def describe(self, now: float) -> dict[str, dict[str, object]]:
        """Return the load of each agent by IP address, for the state page."""
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
        """Tell whether an agent may admit an opening, by its last report if any."""
        if self.is_suspect(host, now) or host in self.list_detoured():
            return False
        report = self.fresh_report(host, now)
        return report is None or (report.accepting and not report.stopping)

    def reported_at(self, host: str) -> float | None:
        """Return when an agent's newest report arrived, or None without one."""
        peer = self._peers.get(host)
        return None if peer is None or peer.report is None else peer.reported_at

    def is_ejected(self, host: str, now: float) -> bool:
        """Tell whether a server is left out because it fails what it accepts.

        The report states for how long, so this outlasts the report.
        """
        peer = self._peers.get(host)
        return peer is not None and now < peer.ejected_until

    def leave_out_ejected(
        self, agents: Iterable[AgentEntry], now: float
    ) -> list[AgentEntry]:
        """Return the agents whose servers are not left out, or all if none is left."""
        agents = list(agents)
        in_use = [agent for agent in agents if not self.is_ejected(agent.host, now)]
        return in_use or agents

    def is_cold(self, host: str, now: float) -> bool:
        """Tell whether an agent's server is in cold start by its last report."""
        report = self.fresh_report(host, now)
        return report is not None and report.cold

    def has_left(self, host: str) -> bool:
        """Tell whether an agent's last report says that its server deregistered."""
        peer = self._peers.get(host)
        return peer is not None and peer.report is not None and peer.report.backend_left

    def pressure(self, host: str, now: float) -> float:
        """Return the estimated share of busy slots of a server; 0 if unknown."""
        peer = self._peers.get(host)
        if peer is None:
            return 0.0
        report = self.fresh_report(host, now)
        busy, slots = (report.busy, report.slots) if report is not None else (0.0, 1)
        return (busy + peer.openings_since_report * BUSY_PER_OPENING) / max(1, slots)

    def has_short_flows(self, host: str, now: float) -> bool:
        """Tell whether most flows of an agent's server have a single request."""
        report = self.fresh_report(host, now)
        return report is not None and report.short_flows

    def has_mixed_flows(self, now: float) -> bool:
        """Tell whether an agent reports long flows beside flows of one request."""
        return any(
            report is not None and report.mixed
            for report in (self.fresh_report(host, now) for host in self._peers)
        )

    def completion_seconds(self, host: str, now: float) -> float:
        """Return the estimated seconds until a new request would be processed.

        The server is assumed to have worked off its backlog since the report, and to
        have got the openings that this node has sent it meanwhile. A server of which
        nothing is known counts as idle: it has lately started and gets the next
        openings, which show its speed.
        """
        peer = self._peers.get(host, _Peer())
        report = self.fresh_report(host, now)
        service = DEFAULT_SERVICE_SECONDS
        slots, backlog = 1, 0.0
        if report is not None:
            service = report.service_ms / 1000 or DEFAULT_SERVICE_SECONDS
            slots = report.slots
            worked_off = now - peer.reported_at
            backlog = max(0.0, report.outstanding * service / slots - worked_off)
        return backlog + peer.openings_since_report * service / slots + service


def choose_for_opening(
    ranked: Iterable[AgentEntry],
    data_centre: str,
    board: LoadBoard,
    excluded: Collection[str],
    now: float,
    allow_remote_cold: bool = True,
    habit: Habit = Habit.UNKNOWN,
) -> AgentEntry | None:
    """Return the agent that an opening is sent to, or None if none accepts it.

    Parameters
    ----------
    ranked : iterable of AgentEntry
        Agents in the order of the flow.
    data_centre : str
        Data centre where the flow entered.
    board : LoadBoard
        Load reports of the agents.
    excluded : collection of str
        IP addresses of agents that are not to be chosen, as they refused it before.
    now : float
        Seconds on the monotonic clock.
    allow_remote_cold : bool
        Whether a server in cold start in another data centre may be chosen.
    habit : Habit
        Whether the flow will have one request or many; unknown for plain placement.
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
    candidates = board.leave_out_ejected(candidates, now)
    if habit is not Habit.UNKNOWN and is_mixed(candidates, board, now):
        return choose_mixed(candidates, habit, data_centre, board, now)
    if any(board.has_short_flows(agent.host, now) for agent in candidates):
        return choose_soonest(candidates, data_centre, board, now) or candidates[0]
    pressures = {agent.host: board.pressure(agent.host, now) for agent in candidates}
    for agent in candidates:
        if agent.data_centre == data_centre and pressures[agent.host] < FULL_PRESSURE:
            return agent
    for agent in candidates:
        if pressures[agent.host] < FULL_PRESSURE:
            return agent
    return min(candidates, key=lambda agent: pressures[agent.host])


def choose_soonest(
    candidates: Iterable[AgentEntry],
    data_centre: str,
    board: LoadBoard,
    now: float,
    before: float = math.inf,
) -> AgentEntry | None:
    """Return the agent whose server is estimated to complete a request first.

    Parameters
    ----------
    candidates : iterable of AgentEntry
        Agents in the order of the flow.
    data_centre : str
        Data centre where the flow entered.
    board : LoadBoard
        Load reports of the agents.
    now : float
        Seconds on the monotonic clock.
    before : float
        Seconds within which it must complete the request; else None is returned.
    """
    best, best_seconds = None, before
    for agent in board.leave_out_ejected(candidates, now):
        seconds = board.completion_seconds(agent.host, now)
        if agent.data_centre != data_centre:
            seconds += REMOTE_SECONDS
        if seconds < best_seconds:
            best, best_seconds = agent, seconds
    return best
