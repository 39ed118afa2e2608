"""Openings of passthrough flows at an agent: admit, forward, queue or refuse."""

from __future__ import annotations

from ...version.owners import AgentEntry
from ..passthrough_effects import PassthroughEffect, ToBackend, ToPeer
from ..passthrough_state import PassthroughState
from ..peer_frames import SECOND_OFFER, Forward, next_forward
from ..placement.flow_habits import Habit
from ..placement.work_meter import WorkMeter
from ..recovery.offers import Offers
from ..segments import Segment, caller_address
from .cold_start import Prospect, judge_opening
from .opening_plan import SPARE_SHARE, OpeningPlanner
from .opening_queue import ATTEMPT_SECONDS, MAX_QUEUED, TRANSIT_SECONDS
from .opening_refusals import OpeningRefusals
from .queued_opening import make_queued


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
        self._planner = OpeningPlanner(state)
        self._refusals = OpeningRefusals(state)

    @property
    def planner(self) -> OpeningPlanner:
        """Return the rules that choose what to do with an opening."""
        return self._planner

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
        reason = self._planner.find_obstacle(segment, service, now)
        if frame.offer == SECOND_OFFER and (reason or self._state.gate.is_cold(now)):
            return self._refusals.refuse(frame, segment, reason or "cold", now)
        if reason is not None:
            return self._forward_to_sibling(frame, segment, service, reason, now)
        self._refusals.charge(segment, 1.0, now)
        return self._admit(frame, segment, now, now)

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
        if self._planner.is_overloaded(now):
            for opening in self._queue.pop_late(now):
                effects += self._refusals.refuse_queued(opening, "late", now)
        elif self._state.gate.is_cold(now):
            effects += self._end_hopeless(now)
        while self._queue and self._planner.has_capacity_for_queued(now):
            opening = self._queue.peek(now)
            reason = self._state.gate.refusal(opening.service, now)
            if reason is None and self._planner.is_held_back(opening.segment, now):
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

    def _end_hopeless(self, now: float) -> list[PassthroughEffect]:
        """Refuse queued openings that no longer get a place at a cold server."""
        gate, effects = self._state.gate, []
        cold = self._planner.cold_start()
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
        plan = self._planner.plan_elsewhere(frame, segment, service, reason, now)
        if plan.sibling is not None:
            return self._pass_on(frame, segment, service, reason, plan.sibling, now)
        if plan.admits:
            return self._admit(frame, segment, now, now)
        if plan.wait_seconds is None:
            return self._refusals.refuse(frame, segment, plan.refusal or reason, now)
        cause = "busy" if reason == "ejected" else reason
        return self._enqueue(frame, segment, service, cause, plan.wait_seconds, now)

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
        if self._planner.is_overloaded(now):
            refusal = self._planner.overload_refusal(opening, ahead, now)
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

    def _queue_limit(self, reason: str) -> int:
        """Return how many openings can be admitted within their callers' attempts."""
        if reason != "busy":
            return MAX_QUEUED
        return int(
            (ATTEMPT_SECONDS - TRANSIT_SECONDS) / self._meter.seconds_per_request
        )
