"""Openings of repeatable requests that a balancer offers to a second agent.

Load pattern: now and then an agent or the way to it stalls for some hundred
milliseconds. An opening that was sent there has reached no server, and its caller sends
a copy only after 200 ms. A second offer after what nearly all agents need for an answer
shortens that wait (hedged requests: Dean and Barroso, The Tail at Scale, 2013).

The caller's acknowledgement binds the flow to one of the servers, so no request is
processed twice. A budget limits the half-open flows that the other server is left with.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from ...version.owners import AgentEntry
from ..passthrough_effects import LogDecision
from ..peer_frames import LoadReport
from ..placement.load_board import FULL_PRESSURE, LoadBoard, choose_for_opening
from ..segments import Segment
from .opening_queue import ATTEMPT_SECONDS

# Openings whose budget may be saved up, so that one stall cannot use up a long rest's.
SAVED_OPENINGS = 500
# Openings of one attempt's length; about 400 bytes each.
MAX_TRACKED = 4_000
# An answer that takes longer than this share of answers is overdue.
OVERDUE_PERCENTILE = 0.95
MAX_ANSWER_TIMES = 256
# Answers after which the percentile is worked out again.
ANSWERS_PER_UPDATE = 32
# Requests per slot, those expected on new flows included, up to which a server has no
# backlog: one in progress and one whose caller has yet to send it.
MAX_OUTSTANDING_PER_SLOT = 2


@dataclass(frozen=True, slots=True)
class SecondOfferLimits:
    """Limits from the settings.

    Attributes
    ----------
    share : float
        Largest share of the repeatable openings that are offered again; 0 for none.
    delay_seconds : float
        Shortest wait for an answer before an opening is offered again.
    """

    share: float
    delay_seconds: float


class OfferBudget:
    """Token bucket that each opening fills by a share of one offer."""

    def __init__(self) -> None:
        self._offers = 0.0

    def add_opening(self, share: float) -> None:
        """Add the share of one opening."""
        self._offers = min(self._offers + share, max(1.0, SAVED_OPENINGS * share))

    def take(self) -> bool:
        """Take one offer; return whether there was one."""
        if self._offers < 1.0:
            return False
        self._offers -= 1.0
        return True


class AnswerTimes:
    """Learn from the newest answers by when an answer is overdue."""

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=MAX_ANSWER_TIMES)
        self._answers = 0
        self.overdue_seconds = 0.0

    def record(self, seconds: float) -> None:
        """Record the time that an agent took to answer an opening."""
        self._seconds.append(seconds)
        self._answers += 1
        if self._answers % ANSWERS_PER_UPDATE == 0:
            ordered = sorted(self._seconds)
            self.overdue_seconds = ordered[int(OVERDUE_PERCENTILE * len(ordered))]


@dataclass(slots=True)
class OfferedOpening:
    """One opening and the agents that it was offered to.

    Attributes
    ----------
    sent_at : float
        Time of the first offer.
    offered : list of str
        IP addresses of the agents that this balancer sent it to.
    second : str
        The one that got the second offer; empty without one.
    owner : str
        The agent that first said that it holds the opening; empty before.
    heard : set of str
        Agents that have said so.
    refused : set of str
        Agents of `offered` whose refusal has come.
    is_open : bool
        Whether the caller has accepted a server's answer.
    """

    segment: Segment
    service: str
    sent_at: float
    offered: list[str] = field(default_factory=list)
    second: str = ""
    owner: str = ""
    heard: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    is_open: bool = False


class SecondOffers:
    """Track the repeatable openings of a balancer, and offer overdue ones again.

    Parameters
    ----------
    limits : SecondOfferLimits
        Limits from the settings.
    log_decision : callable
        Logs a decision: event name, flow key, and the inputs as keywords.
    """

    def __init__(self, limits: SecondOfferLimits, log_decision: LogDecision) -> None:
        self._limits = limits
        self._log_decision = log_decision
        self._budget = OfferBudget()
        self._answer_times = AnswerTimes()
        self._openings: dict[bytes, OfferedOpening] = {}
        self._unanswered: dict[bytes, OfferedOpening] = {}

    @property
    def is_on(self) -> bool:
        """Tell whether the settings allow second offers."""
        return self._limits.share > 0

    @property
    def delay_seconds(self) -> float:
        """Return how long an answer may take before it is overdue."""
        return max(self._limits.delay_seconds, self._answer_times.overdue_seconds)

    def set_limits(self, limits: SecondOfferLimits) -> None:
        """Replace the limits from the settings."""
        self._limits = limits

    def record_opening(
        self, segment: Segment, service: str, host: str, now: float
    ) -> None:
        """Record that an opening, or a copy of one, is sent to an agent."""
        opening = self._openings.get(segment.flow)
        if opening is None or now - opening.sent_at > ATTEMPT_SECONDS:
            self._expire(now)
            self._budget.add_opening(self._limits.share)
            opening = OfferedOpening(segment, service, now)
            self._openings.pop(segment.flow, None)
            self._openings[segment.flow] = opening
            self._unanswered.pop(segment.flow, None)
            self._unanswered[segment.flow] = opening
        opening.refused.discard(host)
        if host not in opening.offered:
            opening.offered.append(host)

    def record_owner(self, flow: bytes, host: str, now: float) -> bool:
        """Record that an agent holds a flow; return whether it is the one to use.

        Of two agents that hold an opening, the first to say so has probably answered
        the caller first. If it has not, the other one says so again when it is found.
        """
        opening = self._openings.get(flow)
        if opening is None:
            return True
        self._unanswered.pop(flow, None)
        is_known = host in opening.heard
        opening.heard.add(host)
        if opening.owner:
            return is_known or not opening.second
        opening.owner = host
        if opening.second:
            result = "won" if host == opening.second else "lost"
            waited = now - opening.sent_at
            self._log_decision(f"second_offer_{result}", flow, to=host, waited=waited)
        elif host in opening.offered:
            self._answer_times.record(now - opening.sent_at)
        return True

    def record_refusal(self, flow: bytes, offered_to: str, sender: str) -> bool:
        """Record an agent's refusal; return whether the caller is to be reset.

        That is so once all agents that were offered the opening have refused it. An
        opening that this balancer knows nothing of may be open at another server.

        Parameters
        ----------
        flow : bytes
            Key of the flow.
        offered_to : str
            Agent that this balancer had sent the opening to.
        sender : str
            Agent that refused it, after others may have passed it on.
        """
        opening = self._openings.get(flow)
        if opening is None or opening.is_open:
            return False
        opening.refused.add(offered_to)
        if opening.owner == sender:
            opening.owner = ""
        if opening.owner or not opening.refused.issuperset(opening.offered):
            return False
        del self._openings[flow]
        self._unanswered.pop(flow, None)
        return True

    def record_open(self, flow: bytes) -> None:
        """Record a packet of a caller that has accepted a server's answer."""
        opening = self._openings.get(flow)
        if opening is not None:
            opening.is_open = True
            self._unanswered.pop(flow, None)

    def seconds_until_due(self, now: float) -> float | None:
        """Return the seconds until an answer is overdue, None if none is awaited."""
        for opening in self._unanswered.values():
            return max(0.0, opening.sent_at + self.delay_seconds - now)
        return None

    def pop_overdue(self, now: float) -> list[OfferedOpening]:
        """Remove and return the openings whose answers are overdue."""
        overdue = []
        for flow, opening in list(self._unanswered.items()):
            if now - opening.sent_at < self.delay_seconds:
                break
            del self._unanswered[flow]
            # After a copy a second agent has the opening already.
            if len(opening.offered) == 1 and not opening.refused:
                overdue.append(opening)
        return overdue

    def choose_second(
        self,
        opening: OfferedOpening,
        ranked: list[AgentEntry],
        board: LoadBoard,
        now: float,
    ) -> AgentEntry | None:
        """Return the agent for a second offer and use the budget, or return None.

        Parameters
        ----------
        opening : OfferedOpening
            The opening.
        ranked : list of AgentEntry
            Agents of its service in the balancer's data centre, in the flow's order;
            none if a data centre is evacuated.
        board : LoadBoard
            Load reports of the agents.
        now : float
            Seconds on the monotonic clock.
        """
        chosen, reason = _choose_at_ease(ranked, opening.offered, board, now)
        if chosen is not None and not self._budget.take():
            reason = "budget"
        flow = opening.segment.flow
        waited = now - opening.sent_at
        if reason:
            self._log_decision(
                "second_offer_withheld", flow, reason=reason, waited=waited
            )
            return None
        self._log_decision(
            "second_offer",
            flow,
            to=chosen.name,
            first=opening.offered[0],
            waited=waited,
        )
        opening.second = chosen.host
        opening.offered.append(chosen.host)
        return chosen

    def _expire(self, now: float) -> None:
        while self._openings:
            flow, oldest = next(iter(self._openings.items()))
            is_kept = now - oldest.sent_at <= ATTEMPT_SECONDS
            if is_kept and len(self._openings) < MAX_TRACKED:
                return
            del self._openings[flow]
            self._unanswered.pop(flow, None)


def _choose_at_ease(
    ranked: Iterable[AgentEntry],
    excluded: Collection[str],
    board: LoadBoard,
    now: float,
) -> tuple[AgentEntry | None, str]:
    """Return an agent that can take extra work, or the reason why there is none.

    A service with a cold or leaving server needs the others for its own work. Under
    overload no server is at ease.
    """
    others = [agent for agent in ranked if agent.host not in excluded]
    reports = {agent.host: board.fresh_report(agent.host, now) for agent in others}
    known = [report for report in reports.values() if report is not None]
    if any(report.cold for report in known):
        return None, "cold"
    if any(report.stopping for report in known):
        return None, "stopping"
    at_ease = [
        agent
        for agent in others
        if (report := reports[agent.host]) is not None
        and board.accepts(agent.host, now)
        and not report.ejected_ms
        and _is_at_ease(agent.host, report, board, now)
    ]
    if not at_ease:
        return None, "load" if others else "no_other_server"
    chosen = choose_for_opening(at_ease, at_ease[0].data_centre, board, (), now)
    return chosen, ""


def _is_at_ease(host: str, report: LoadReport, board: LoadBoard, now: float) -> bool:
    """Tell whether a server has no request waiting for a slot, or slots to spare."""
    if report.short_flows:
        return report.outstanding < MAX_OUTSTANDING_PER_SLOT * report.slots
    return board.pressure(host, now) < FULL_PRESSURE
