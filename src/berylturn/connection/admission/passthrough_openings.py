"""Openings of passthrough flows at an agent: admit, forward, queue or refuse."""

from __future__ import annotations

from dataclasses import dataclass

from ...version.owners import AgentEntry, rank_agents
from ..passthrough_effects import PassthroughEffect, ToBackend, ToPeer
from ..passthrough_state import PassthroughState
from ..peer_frames import SECOND_OFFER, Forward, next_forward
from ..placement.flow_habits import Habit
from ..placement.load_board import choose_for_opening, choose_soonest
from ..placement.work_meter import WorkMeter
from ..recovery.offers import Offers
from ..segments import Segment, caller_address
from .cold_start import (
    ColdStart,
    Prospect,
    judge_opening,
)
from .opening_queue import (
    ATTEMPT_SECONDS,
    MAX_QUEUED,
    TRANSIT_SECONDS,
    QueuedOpening,
    remaining_attempt_seconds,
)
from .opening_refusals import OpeningRefusals
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


class OpeningHandler:
    """Admit, forward, queue or refuse the openings of flows.

    Parameters
    ----------
    state : PassthroughState
        State shared by the rules of the agent.
    offers : Offers
        Packets that the backend server may return.
    """

    def __init__(self, state: PassthroughState, offers: Offers) -> None:
        self._state = state
        self._offers = offers
        self._queue = state.queue
        self._refusals = OpeningRefusals(state)

    @property
    def _meter(self) -> WorkMeter:
        return self._state.flows.meter

    def handle_opening(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Handle an opening of a flow that is not in the flow table."""
        if segment.flow in self._queue:
            return []
        self._state.learn_habit(frame, segment.flow)
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refusals.refuse(frame, segment, "no_route", now)
        if self._state.shares is not None:
            self._state.shares.record(caller_address(segment.flow), now)
        reason = self.find_obstacle(segment, service, now)
        if frame.offer == SECOND_OFFER and (reason or self._state.gate.is_cold(now)):
            return self._refusals.refuse(frame, segment, reason or "cold", now)
        if reason is not None:
            return self._forward_to_sibling(frame, segment, service, reason, now)
        self._refusals.charge(segment, 1.0, now)
        return self._admit(frame, segment, now, now)

    def find_obstacle(self, segment: Segment, service: str, now: float) -> str | None:
        """Return the reason why an opening is not admitted at once, or None."""
        reason = self._state.gate.refusal(service, now)
        if self._state.stopping and reason is None:
            reason = "stopping"
        if reason is None and self._is_held_back(segment, now):
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
        if not self._meter.has_short_flows or self._has_capacity_for_queued(now):
            return OpeningPlan(admits=True)
        return OpeningPlan(wait_seconds=self._expected_wait("busy", now))

    def find_overload(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> str | None:
        """Return why an opening is refused rather than queued, or None."""
        if not self._is_overloaded(now):
            return None
        opening = make_queued(self._state, frame, segment, service, now)
        ahead = self._queue.count_ahead(opening, now)
        return self._overload_refusal(opening, ahead, now)

    def handle_returned(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Forward, queue or refuse an opening that the backend server returned."""
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refusals.refuse(frame, segment, "no_route", now)
        if frame.offer == SECOND_OFFER:
            return self._refusals.refuse(frame, segment, "backend_refused", now)
        return self._forward_to_sibling(frame, segment, service, "backend_refused", now)

    def admit_queued(self, now: float) -> list[PassthroughEffect]:
        """Admit queued openings while there is capacity, and refuse expired ones."""
        effects: list[PassthroughEffect] = []
        for opening in self._queue.pop_expired(now):
            effects += self._refusals.refuse_queued(opening, "waited", now)
        if self._is_overloaded(now):
            for opening in self._queue.pop_late(now):
                effects += self._refusals.refuse_queued(opening, "late", now)
        elif self._state.gate.is_cold(now):
            effects += self._end_hopeless(now)
        while self._queue and self._has_capacity_for_queued(now):
            opening = self._queue.peek(now)
            reason = self._state.gate.refusal(opening.service, now)
            if reason is None and self._is_held_back(opening.segment, now):
                reason = "ejected"
            if reason is None:
                self._queue.remove(opening)
                effects += self._admit(
                    opening.frame, opening.segment, now, opening.arrived_at
                )
            elif self._state.gate.expected_wait(reason, 0, now) is None:
                self._queue.remove(opening)
                effects += self._forward_to_sibling(
                    opening.frame, opening.segment, opening.service, reason, now
                )
            else:
                break
        return effects

    def refuse_queued(self, now: float) -> list[PassthroughEffect]:
        """Refuse all queued openings, so that their callers retry elsewhere."""
        effects: list[PassthroughEffect] = []
        while self._queue:
            opening = self._queue.peek(now)
            self._queue.remove(opening)
            effects += self._refusals.refuse_queued(opening, "stopping", now)
        return effects

    def pass_on_queued(self, now: float) -> list[PassthroughEffect]:
        """Pass all queued openings on to siblings, as the server now fails."""
        queued = []
        while self._queue:
            queued.append(self._queue.peek(now))
            self._queue.remove(queued[-1])
        effects: list[PassthroughEffect] = []
        for opening in queued:
            effects += self._forward_to_sibling(
                opening.frame, opening.segment, opening.service, "ejected", now
            )
        return effects

    def _has_capacity_for_queued(self, now: float) -> bool:
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

    def _is_held_back(self, segment: Segment, now: float) -> bool:
        """Tell whether an opening is to go to a sibling, as this server fails."""
        route = self._state.table.route_of(segment.flow)
        return self._state.outliers.holds_back(route.repeatable, now)

    def _is_busy(self, now: float) -> bool:
        """Tell whether one more request would only wait in the server.

        Long flows are not counted as work while they are idle, so this holds for
        servers whose flows are requests.
        """
        meter = self._meter
        return meter.has_short_flows and (
            bool(self._queue) or self._state.expected_requests(now) >= meter.limit
        )

    def _is_overloaded(self, now: float) -> bool:
        """Tell whether what cannot be answered in time is refused at once.

        In a burst it waits for the time when the server has capacity again. If more
        work arrives than the server can process, there is no such time, and a caller
        that is told late would only try again.
        """
        return (
            self._meter.has_short_flows
            and not self._state.gate.is_cold(now)
            and self._queue.is_congested(now)
        )

    def _end_hopeless(self, now: float) -> list[PassthroughEffect]:
        """Refuse queued openings that no longer get a place at a cold server."""
        gate, effects = self._state.gate, []
        cold = self._cold_start()
        self._queue.backlog_until = cold.backlog_until(len(self._queue))
        is_spare = len(self._queue) <= SPARE_SHARE * gate.cold_opening_limit
        for ahead, opening in enumerate(self._queue.ordered(now)):
            if not opening.has_objective:
                continue
            place_at = gate.next_cold_place(ahead, now)
            # Some of those ahead leave before the end of the cold start.
            prospect = judge_opening(opening, cold, place_at, 0, now, is_spare)
            if prospect in (Prospect.COME_BACK, Prospect.NONE):
                reason = "come_back" if prospect is Prospect.COME_BACK else "late"
                self._queue.remove(opening)
                effects += self._refusals.refuse_queued(opening, reason, now)
        return effects

    def _cold_start(self) -> ColdStart:
        return ColdStart(self._state.gate.cold_until, self._meter.seconds_per_request)

    def _expected_wait(self, reason: str, now: float) -> float | None:
        """Return the seconds until an opening is admitted here, None if never."""
        if reason == "busy":
            return len(self._queue) * self._meter.seconds_per_request
        return self._state.gate.expected_wait(reason, len(self._queue), now)

    def _admit(
        self, frame: Forward, segment: Segment, now: float, arrived_at: float
    ) -> list[PassthroughEffect]:
        self._offers.forget_returned(segment.flow)
        self._state.flows.admit(segment, now)
        self._state.gate.admit(segment.flow, now)
        self._state.outliers.record_opening(now)
        self._state.log_decision(
            "flow_admitted",
            segment.flow,
            origin=frame.origin,
            hops=len(frame.visited),
            version=self._state.table.version,
            flows=self._state.gate.open_flows,
            running=self._state.flows.running,
            cold=self._state.gate.is_cold(now),
            report_age=now - self._state.gate.reported_at,
            waited=now - arrived_at,
        )
        tagged = self._state.codec.write_tag(
            segment.data, self._offers.add(frame, segment, now)
        )
        return [
            ToBackend(tagged),
            ToPeer(frame.origin, self._state.announce(segment.flow, now)),
        ]

    def _forward_to_sibling(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        reason: str,
        now: float,
    ) -> list[PassthroughEffect]:
        plan = self.plan_elsewhere(frame, segment, service, reason, now)
        if plan.sibling is not None:
            return self._pass_on(frame, segment, service, reason, plan.sibling, now)
        if plan.admits:
            return self._admit(frame, segment, now, now)
        if plan.wait_seconds is None:
            return self._refusals.refuse(frame, segment, plan.refusal or reason, now)
        cause = "busy" if reason == "ejected" else reason
        return self._enqueue(frame, segment, service, cause, plan.wait_seconds, now)

    def _plan_while_cold(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> OpeningPlan:
        """Return what to do with an opening that the cold limit does not admit."""
        chosen = self._choose_sibling(frame, segment, service, False, now)
        if chosen is not None:
            return OpeningPlan(sibling=chosen)
        opening = make_queued(self._state, frame, segment, service, now)
        if opening.has_objective:
            ahead = self._queue.count_ahead(opening, now)
            place_at = self._state.gate.next_cold_place(ahead, now)
            places = SPARE_SHARE * self._state.gate.cold_opening_limit
            is_spare = len(self._queue) + 1 <= places
            prospect = judge_opening(
                opening, self._cold_start(), place_at, ahead, now, is_spare
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

    def _pass_on(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        reason: str,
        chosen: AgentEntry,
        now: float,
    ) -> list[PassthroughEffect]:
        is_feed = self._state.learn_habit(frame, segment.flow) is Habit.LONG
        self._state.board.record_opening(chosen.host, is_feed)
        self._state.board.expect_answer(chosen.host, now)
        visited = [*frame.visited, self._state.host]
        self._state.log_decision(
            "flow_passed_on",
            segment.flow,
            to=chosen.name,
            reason=reason,
            hops=len(visited),
            report_age=self._state.board.report_age(chosen.host, now),
        )
        passed = next_forward(frame, visited=visited, service=service)
        return [ToPeer(chosen.host, passed)]

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

    def _enqueue(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        reason: str,
        expected: float,
        now: float,
    ) -> list[PassthroughEffect]:
        opening = make_queued(self._state, frame, segment, service, now)
        ahead = self._queue.count_ahead(opening, now)
        if self._is_overloaded(now):
            refusal = self._overload_refusal(opening, ahead, now)
            if refusal is not None:
                return self._refusals.refuse_unqueued(opening, refusal, now)
        self._state.log_decision(
            "flow_waits",
            segment.flow,
            reason=reason,
            expected=expected,
            ahead=ahead,
        )
        effects: list[PassthroughEffect] = [
            ToPeer(frame.origin, self._state.announce(segment.flow, now))
        ]
        self._queue.add(opening)
        self._refusals.charge(opening.segment, 1.0, now)
        for excess in self._queue.pop_excess(self._queue_limit(reason), now):
            effects += self._refusals.refuse_queued(excess, "queue_full", now)
        return effects

    def _overload_refusal(
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

    def _queue_limit(self, reason: str) -> int:
        """Return how many openings can be admitted within their callers' attempts."""
        if reason != "busy":
            return MAX_QUEUED
        return int(
            (ATTEMPT_SECONDS - TRANSIT_SECONDS) / self._meter.seconds_per_request
        )
