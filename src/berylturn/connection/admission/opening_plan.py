"""What an agent does with an opening: the choice, without its effects.

The handler of openings acts on it, and operators are shown it (`opening_forecast`).
"""

from __future__ import annotations

from dataclasses import dataclass

from ...version.owners import AgentEntry, rank_agents
from ..passthrough_state import PassthroughState
from ..peer_frames import Forward
from ..placement.load_board import choose_for_opening, choose_soonest
from ..placement.work_meter import WorkMeter
from ..segments import Segment
from .cold_start import ColdStart, Prospect, judge_opening
from .opening_queue import QueuedOpening, remaining_attempt_seconds
from .queued_opening import make_queued

# Bounds the forwarding, so that an opening which no agent admits is answered before
# the caller retransmits it (after 200 ms).
MAX_OPENING_HOPS = 4
# Requests per slot while openings are queued: one in progress and one waiting.
REQUESTS_PER_SLOT = 2
# Time by which a sibling must be sooner for a busy agent to pass an opening on: the way
# there, and what its report may have missed.
PASS_ON_SECONDS = 0.006
# Share of a cold server's next openings that late callers may wait for; the rest is for
# those who come until then.
SPARE_SHARE = 0.5
# Margin for requests that take longer than the mean, as a multiple of the service time,
# when an opening is refused because it is not expected to be answered in time.
SPREAD_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class OpeningPlan:
    """What to do with an opening that is not admitted at once.

    Attributes
    ----------
    sibling : AgentEntry or None
        Agent that it is passed on to.
    wait_seconds : float or None
        How long it is expected to wait here.
    admits : bool
        Whether it is admitted in spite of the obstacle.
    refusal : str or None
        Why it is refused.
    """

    sibling: AgentEntry | None = None
    wait_seconds: float | None = None
    admits: bool = False
    refusal: str | None = None


class OpeningPlanner:
    """Choose between admission, a sibling, the queue and a refusal.

    Parameters
    ----------
    state : PassthroughState
        State shared by the rules of the agent.
    """

    def __init__(self, state: PassthroughState) -> None:
        self._state = state

    @property
    def _meter(self) -> WorkMeter:
        return self._state.flows.meter

    def find_obstacle(self, segment: Segment, service: str, now: float) -> str | None:
        """Return the reason why an opening is not admitted at once, or None."""
        reason = self._state.gate.refusal(service, now)
        if self._state.stopping and reason is None:
            reason = "stopping"
        if reason is None and self.is_held_back(segment, now):
            reason = "ejected"
        if reason is None and self._is_busy(now):
            reason = "busy"
        return reason

    def plan_elsewhere(
        self, frame: Forward, segment: Segment, service: str, reason: str, now: float
    ) -> OpeningPlan:
        """Return what to do with an opening that is not admitted at once.

        Parameters
        ----------
        frame, segment : Forward, Segment
            The opening.
        service : str
            Its service.
        reason : str
            What `find_obstacle` returned.
        now : float
            Seconds on the monotonic clock.
        """
        if reason == "cold":
            return self._plan_while_cold(frame, segment, service, now)
        if reason == "busy":
            chosen = self._choose_sooner_sibling(frame, segment, service, now)
        else:
            chosen = self._choose_sibling(frame, segment, service, True, now)
        if chosen is not None:
            return OpeningPlan(sibling=chosen)
        wait = self._expected_wait(reason, now)
        if wait is not None and wait <= remaining_attempt_seconds(segment):
            return OpeningPlan(wait_seconds=wait)
        if reason != "ejected":
            return OpeningPlan(refusal=reason)
        # No sibling takes it though this server fails.
        if not self._meter.has_short_flows or self.has_capacity_for_queued(now):
            return OpeningPlan(admits=True)
        return OpeningPlan(wait_seconds=self._expected_wait("busy", now))

    def find_overload(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> str | None:
        """Return why an opening is refused rather than queued, or None."""
        if not self.is_overloaded(now):
            return None
        opening = make_queued(self._state, frame, segment, service, now)
        ahead = self._state.queue.count_ahead(opening, now)
        return self.overload_refusal(opening, ahead, now)

    def overload_refusal(
        self, opening: QueuedOpening, ahead: int, now: float
    ) -> str | None:
        """Return why an opening is not queued while more come than can be served.

        A caller that is ahead of its share would take the place of one that comes
        next, or wait until it is late.
        """
        if opening.lead_seconds > 0:
            return "over_share"
        margin = SPREAD_FACTOR * self._meter.expected_service_seconds
        admitted_at = now + ahead * self._meter.seconds_per_request
        return "overloaded" if admitted_at + margin > opening.useful_until else None

    def has_capacity_for_queued(self, now: float) -> bool:
        """Tell whether the server has capacity for the first request of one more flow.

        The callers of queued openings send their requests at once. If all of them were
        admitted together, the server would shed requests.
        """
        report = self._state.gate.report
        if report is None:
            return False
        meter = self._meter
        limit = (
            meter.limit if meter.has_short_flows else REQUESTS_PER_SLOT * report.slots
        )
        return self._state.expected_requests(now) < limit

    def is_held_back(self, segment: Segment, now: float) -> bool:
        """Tell whether an opening is to go to a sibling, as this server fails."""
        route = self._state.table.route_of(segment.flow)
        return self._state.outliers.holds_back(route.repeatable, now)

    def is_overloaded(self, now: float) -> bool:
        """Tell whether what cannot be answered in time is refused at once.

        In a burst it waits for the time when the server has capacity again. If more
        work arrives than the server can process, there is no such time, and a caller
        that is told late would only try again.
        """
        return (
            self._meter.has_short_flows
            and not self._state.gate.is_cold(now)
            and self._state.queue.is_congested(now)
        )

    def cold_start(self) -> ColdStart:
        """Return the end of the cold start, and the pace of the server after it."""
        return ColdStart(self._state.gate.cold_until, self._meter.seconds_per_request)

    def _is_busy(self, now: float) -> bool:
        """Tell whether one more request would only wait in the server.

        Long flows are not counted as work while they are idle, so this holds for
        servers whose flows are requests.
        """
        meter = self._meter
        return meter.has_short_flows and (
            bool(self._state.queue) or self._state.expected_requests(now) >= meter.limit
        )

    def _expected_wait(self, reason: str, now: float) -> float | None:
        """Return the seconds until an opening is admitted here, None if never."""
        if reason == "busy":
            return len(self._state.queue) * self._meter.seconds_per_request
        return self._state.gate.expected_wait(reason, len(self._state.queue), now)

    def _plan_while_cold(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> OpeningPlan:
        """Return what to do with an opening that the cold limit does not admit."""
        chosen = self._choose_sibling(frame, segment, service, False, now)
        if chosen is not None:
            return OpeningPlan(sibling=chosen)
        opening = make_queued(self._state, frame, segment, service, now)
        if opening.has_objective:
            ahead = self._state.queue.count_ahead(opening, now)
            place_at = self._state.gate.next_cold_place(ahead, now)
            places = SPARE_SHARE * self._state.gate.cold_opening_limit
            is_spare = len(self._state.queue) + 1 <= places
            prospect = judge_opening(
                opening, self.cold_start(), place_at, ahead, now, is_spare
            )
        else:
            place_at = now + self._expected_wait("cold", now)
            fits = place_at <= opening.expires_at
            prospect = Prospect.PLACE if fits else Prospect.NONE
        if prospect is not Prospect.PLACE:
            chosen = self._choose_sibling(frame, segment, service, True, now)
            if chosen is not None:
                return OpeningPlan(sibling=chosen)
        if prospect in (Prospect.PLACE, Prospect.NEXT_ATTEMPT):
            return OpeningPlan(wait_seconds=place_at - now)
        is_early = prospect is Prospect.COME_BACK
        return OpeningPlan(refusal="come_back" if is_early else "cold")

    def _choose_sibling(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        allow_remote_cold: bool,
        now: float,
    ) -> AgentEntry | None:
        """Return a sibling that may admit an opening, or None."""
        visited = [*frame.visited, self._state.host]
        if len(visited) >= MAX_OPENING_HOPS:
            return None
        ranked = self._rank_agents(frame, segment, service)
        board = self._state.board
        habit = self._state.learn_habit(frame, segment.flow)
        return choose_for_opening(
            ranked, frame.data_centre, board, visited, now, allow_remote_cold, habit
        )

    def _choose_sooner_sibling(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> AgentEntry | None:
        """Return a sibling that would complete an opening's request sooner, or None."""
        visited = [*frame.visited, self._state.host]
        if len(visited) >= MAX_OPENING_HOPS:
            return None
        board = self._state.board
        candidates = [
            agent
            for agent in self._rank_agents(frame, segment, service)
            if agent.host not in visited
            and board.accepts(agent.host, now)
            and not board.is_cold(agent.host, now)
        ]
        backlog = self._state.outstanding(now) * self._meter.seconds_per_request
        own_seconds = backlog + self._meter.expected_service_seconds
        return choose_soonest(
            candidates, frame.data_centre, board, now, own_seconds - PASS_ON_SECONDS
        )

    def _rank_agents(
        self, frame: Forward, segment: Segment, service: str
    ) -> list[AgentEntry]:
        agents = self._state.agents.get(service, ())
        return rank_agents(
            segment.flow,
            frame.data_centre,
            (a for a in agents if a.data_centre not in self._state.evacuated),
        )
