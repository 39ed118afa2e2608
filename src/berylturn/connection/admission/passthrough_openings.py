"""Openings of passthrough flows at an agent: admit, forward, queue or refuse."""

from __future__ import annotations

from ...version.owners import AgentEntry, rank_agents
from ..passthrough_effects import PassthroughEffect, ToBackend, ToPeer, reset_caller
from ..passthrough_state import PassthroughState
from ..peer_frames import SECOND_OFFER, Forward, Owned, Refused, next_forward
from ..placement.load_board import choose_for_opening, choose_soonest
from ..placement.work_meter import WorkMeter
from ..recovery.offers import Offers
from ..segments import Segment
from .opening_queue import (
    ATTEMPT_SECONDS,
    MAX_QUEUED,
    TRANSIT_SECONDS,
    QueuedOpening,
    remaining_attempt_seconds,
)

# Bounds the forwarding, so that an opening which no agent admits is answered before
# the caller retransmits it (after 200 ms).
MAX_OPENING_HOPS = 4
# Requests per slot while openings are queued: one in progress and one waiting.
REQUESTS_PER_SLOT = 2
# Time by which a sibling must be sooner for a busy agent to pass an opening on: the way
# there, and what its report may have missed.
PASS_ON_SECONDS = 0.006
# Margin for requests that take longer than the mean, as a multiple of the service time,
# when an opening is refused because it is not expected to be answered in time.
SPREAD_FACTOR = 2.0
# Time for an answer from the backend server to its caller.
RETURN_SECONDS = 0.01


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

    @property
    def _meter(self) -> WorkMeter:
        return self._state.flows.meter

    def handle_opening(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Handle an opening of a flow that is not in the flow table."""
        if segment.flow in self._queue:
            return []
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        reason = self.find_obstacle(service, now)
        if frame.offer == SECOND_OFFER and (reason or self._state.gate.is_cold(now)):
            return self._refuse(frame, segment, reason or "cold", now)
        if reason is not None:
            return self._forward_to_sibling(frame, segment, service, reason, now)
        return self._admit(frame, segment, now, now)

    def find_obstacle(self, service: str, now: float) -> str | None:
        """Return the reason why an opening is not admitted at once, or None."""
        reason = self._state.gate.refusal(service, now)
        if self._state.stopping and reason is None:
            reason = "stopping"
        if reason is None and self._is_busy(now):
            reason = "busy"
        return reason

    def plan_elsewhere(
        self, frame: Forward, segment: Segment, service: str, reason: str, now: float
    ) -> tuple[AgentEntry | None, float | None]:
        """Return the sibling that gets an opening, or how long it waits here.

        Both are None if it is refused.
        """
        is_cold = reason == "cold"
        if reason == "busy":
            chosen = self._choose_sooner_sibling(frame, segment, service, now)
        else:
            chosen = self._choose_sibling(frame, segment, service, not is_cold, now)
        if chosen is not None:
            return chosen, None
        wait = self._expected_wait(reason, now)
        if wait is not None and wait <= remaining_attempt_seconds(segment):
            return None, wait
        if is_cold:
            chosen = self._choose_sibling(frame, segment, service, True, now)
        return chosen, None

    def is_hopeless(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> bool:
        """Tell whether, under overload, an opening's answer would come too late."""
        if not self._is_overloaded(now):
            return False
        opening = self._make_queued(frame, segment, service, now)
        ahead = self._queue.count_ahead(opening, now)
        margin = SPREAD_FACTOR * self._meter.expected_service_seconds
        admitted_at = now + ahead * self._meter.seconds_per_request
        return admitted_at + margin > opening.useful_until

    def handle_returned(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Forward, queue or refuse an opening that the backend server returned."""
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        if frame.offer == SECOND_OFFER:
            return self._refuse(frame, segment, "backend_refused", now)
        return self._forward_to_sibling(frame, segment, service, "backend_refused", now)

    def admit_queued(self, now: float) -> list[PassthroughEffect]:
        """Admit queued openings while there is capacity, and refuse expired ones."""
        effects: list[PassthroughEffect] = []
        for opening in self._queue.pop_expired(now):
            effects += self._refuse(opening.frame, opening.segment, "waited", now)
        if self._is_overloaded(now):
            for opening in self._queue.pop_late(now):
                effects += self._refuse(opening.frame, opening.segment, "late", now)
        while self._queue and self._has_capacity_for_queued(now):
            opening = self._queue.peek(now)
            reason = self._state.gate.refusal(opening.service, now)
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
            effects += self._refuse(opening.frame, opening.segment, "stopping", now)
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
        return self._meter.has_short_flows and self._queue.is_congested(now)

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
            ToPeer(frame.origin, Owned(segment.flow, self._state.load_report(now))),
        ]

    def _forward_to_sibling(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        reason: str,
        now: float,
    ) -> list[PassthroughEffect]:
        chosen, wait = self.plan_elsewhere(frame, segment, service, reason, now)
        if wait is not None:
            return self._enqueue(frame, segment, service, reason, wait, now)
        if chosen is None:
            return self._refuse(frame, segment, reason, now)
        self._state.board.record_opening(chosen.host)
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
        return choose_for_opening(
            ranked, frame.data_centre, board, visited, now, allow_remote_cold
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
        opening = self._make_queued(frame, segment, service, now)
        ahead = self._queue.count_ahead(opening, now)
        if self.is_hopeless(frame, segment, service, now):
            return self._refuse(frame, segment, "overloaded", now)
        self._state.log_decision(
            "flow_waits",
            segment.flow,
            reason=reason,
            expected=expected,
            ahead=ahead,
        )
        effects: list[PassthroughEffect] = [
            ToPeer(frame.origin, Owned(segment.flow, self._state.load_report(now)))
        ]
        self._queue.add(opening)
        for excess in self._queue.pop_excess(self._queue_limit(reason), now):
            effects += self._refuse(excess.frame, excess.segment, "queue_full", now)
        return effects

    def _queue_limit(self, reason: str) -> int:
        """Return how many openings can be admitted within their callers' attempts."""
        if reason != "busy":
            return MAX_QUEUED
        return int(
            (ATTEMPT_SECONDS - TRANSIT_SECONDS) / self._meter.seconds_per_request
        )

    def _make_queued(
        self, frame: Forward, segment: Segment, service: str, now: float
    ) -> QueuedOpening:
        route = self._state.table.route_of(segment.flow)
        meter = self._meter
        first_sent_at = now - segment.opening_age
        # After the admission, the request arrives, waits for those before it in the
        # server and is processed.
        in_server = (meter.limit - 1) * meter.seconds_per_request
        in_server += meter.expected_service_seconds
        remaining = meter.gap_seconds + in_server + RETURN_SECONDS
        attempt_ends_at = now + remaining_attempt_seconds(segment)
        return QueuedOpening(
            frame,
            segment,
            service,
            now,
            route.priority,
            first_sent_at + route.aim_seconds - remaining,
            min(attempt_ends_at, first_sent_at + route.timeout_seconds - remaining),
        )

    def _refuse(
        self, frame: Forward, segment: Segment, reason: str, now: float
    ) -> list[PassthroughEffect]:
        is_second = frame.offer == SECOND_OFFER
        self._state.log_decision(
            "second_offer_declined" if is_second else "flow_refused",
            segment.flow,
            reason=reason,
            hops=len(frame.visited),
            version=self._state.table.version,
            report_age=now - self._state.gate.reported_at,
        )
        if frame.offer:
            offered_to = frame.visited[0] if frame.visited else self._state.host
            load = self._state.load_report(now)
            refused = Refused(segment.flow, segment.acknowledged, offered_to, load)
            return [ToPeer(frame.origin, refused)]
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]
