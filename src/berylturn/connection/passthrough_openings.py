"""Openings of passthrough flows at an agent: admit, forward, queue or refuse."""

from __future__ import annotations

from ..version.owners import AgentEntry, rank_agents
from .load_board import choose_for_opening
from .offers import Offers
from .opening_queue import QueuedOpening, remaining_attempt_seconds
from .passthrough_effects import PassthroughEffect, ToBackend, ToPeer, reset_caller
from .passthrough_state import PassthroughState
from .peer_frames import Forward, Owned, next_forward
from .segments import Segment

# Bounds the forwarding, so that an opening which no agent admits is answered before
# the caller retransmits it (after 200 ms).
MAX_OPENING_HOPS = 4
# Requests per slot while openings are queued: one in progress and one waiting.
REQUESTS_PER_SLOT = 2


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

    def handle_opening(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Handle an opening of a flow that is not in the flow table."""
        if segment.flow in self._queue:
            return []
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        reason = self._state.gate.refusal(service, now)
        if self._state.stopping and reason is None:
            reason = "stopping"
        if reason is not None:
            return self._forward_to_sibling(frame, segment, service, reason, now)
        return self._admit(frame, segment, now, now)

    def handle_returned(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Forward, queue or refuse an opening that the backend server returned."""
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        return self._forward_to_sibling(frame, segment, service, "backend_refused", now)

    def admit_queued(self, now: float) -> list[PassthroughEffect]:
        """Admit queued openings while there is capacity, and refuse expired ones."""
        effects: list[PassthroughEffect] = []
        for opening in self._queue.pop_expired(now):
            effects += self._refuse(opening.frame, opening.segment, "waited", now)
        while self._queue and self._has_capacity_for_queued(now):
            service = self._queue.next_service
            reason = self._state.gate.refusal(service, now)
            if reason is None:
                opening = self._queue.pop()
                effects += self._admit(
                    opening.frame, opening.segment, now, opening.arrived_at
                )
            elif self._state.gate.expected_wait(reason, 0, now) is None:
                opening = self._queue.pop()
                effects += self._forward_to_sibling(
                    opening.frame, opening.segment, service, reason, now
                )
            else:
                break
        return effects

    def refuse_queued(self, now: float) -> list[PassthroughEffect]:
        """Refuse all queued openings, so that their callers retry elsewhere."""
        effects: list[PassthroughEffect] = []
        while self._queue:
            opening = self._queue.pop()
            effects += self._refuse(opening.frame, opening.segment, "stopping", now)
        return effects

    def _has_capacity_for_queued(self, now: float) -> bool:
        """Tell whether the server has capacity for the first request of one more flow.

        The callers of queued openings send their requests at once. If all of them were
        admitted together, the server would shed requests.
        """
        report = self._state.gate.report
        flows = self._state.flows
        expected_requests = flows.running + flows.count_awaiting_request(now)
        return (
            report is not None and expected_requests < REQUESTS_PER_SLOT * report.slots
        )

    def _admit(
        self, frame: Forward, segment: Segment, now: float, arrived_at: float
    ) -> list[PassthroughEffect]:
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
        is_cold = reason == "cold"
        chosen = self._choose_sibling(frame, segment, service, not is_cold, now)
        if chosen is None:
            wait = self._state.gate.expected_wait(reason, len(self._queue), now)
            if wait is not None and wait <= remaining_attempt_seconds(segment):
                return self._enqueue(frame, segment, service, reason, wait, now)
            if is_cold:
                chosen = self._choose_sibling(frame, segment, service, True, now)
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
        agents = self._state.agents.get(service, ())
        ranked = rank_agents(
            segment.flow,
            frame.data_centre,
            (a for a in agents if a.data_centre not in self._state.evacuated),
        )
        board = self._state.board
        return choose_for_opening(
            ranked, frame.data_centre, board, visited, now, allow_remote_cold
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
        if self._queue.is_full:
            return self._refuse(frame, segment, reason, now)
        self._state.log_decision(
            "flow_waits",
            segment.flow,
            reason=reason,
            expected=expected,
            ahead=len(self._queue),
        )
        opening = QueuedOpening(frame, segment, service, now)
        self._queue.add(opening, self._state.table.priority_of(segment.flow))
        return []

    def _refuse(
        self, frame: Forward, segment: Segment, reason: str, now: float
    ) -> list[PassthroughEffect]:
        self._state.log_decision(
            "flow_refused",
            segment.flow,
            reason=reason,
            hops=len(frame.visited),
            version=self._state.table.version,
            report_age=now - self._state.gate.reported_at,
        )
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]
