"""Openings at an agent: admitted, passed on, made to wait, or refused."""

from __future__ import annotations

from ..version.owners import AgentEntry, rank_agents
from .agent_state import AgentState
from .load_board import choose_for_opening
from .offers import Offers
from .passthrough_effects import PassthroughEffect, ToBackend, ToPeer, reset_caller
from .peer_frames import Forward, Owned, forward_on
from .segments import Segment
from .waiting import WaitingOpening, attempt_left

# An opening that no agent admits is answered before its first copy (200 ms).
MAX_OPENING_HOPS = 4
# Requests at one slot while openings wait: one at work, one queued.
REQUESTS_PER_SLOT = 2


class Openings:
    """Decide on the first packets of flows.

    Parameters
    ----------
    state : AgentState
        What the agent knows.
    offers : Offers
        Packets that the backend server may hand back.
    """

    def __init__(self, state: AgentState, offers: Offers) -> None:
        self._state = state
        self._offers = offers
        self._waiting = state.waiting

    def take(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Decide on an opening of a flow that the backend server does not hold."""
        if segment.flow in self._waiting:
            return []
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        reason = self._state.gate.refusal(service, now)
        if self._state.leaving and reason is None:
            reason = "stopping"
        if reason is not None:
            return self._pass_on(frame, segment, service, reason, now)
        return self._admit(frame, segment, now, now)

    def take_back(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Decide again on an opening that the backend server handed back."""
        service = self._state.service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        return self._pass_on(frame, segment, service, "backend_refused", now)

    def release(self, now: float) -> list[PassthroughEffect]:
        """Admit openings that have waited for room, and refuse those for too long."""
        effects: list[PassthroughEffect] = []
        for opening in self._waiting.take_expired(now):
            effects += self._refuse(opening.frame, opening.segment, "waited", now)
        while self._waiting and self._has_room_for_waiting(now):
            service = self._waiting.next_service
            reason = self._state.gate.refusal(service, now)
            if reason is None:
                opening = self._waiting.take()
                effects += self._admit(
                    opening.frame, opening.segment, now, opening.since
                )
            elif self._state.gate.expected_wait(reason, 0, now) is None:
                opening = self._waiting.take()
                effects += self._pass_on(
                    opening.frame, opening.segment, service, reason, now
                )
            else:
                break
        return effects

    def refuse_waiting(self, now: float) -> list[PassthroughEffect]:
        """Refuse all openings that wait, so that their callers try elsewhere."""
        effects: list[PassthroughEffect] = []
        while self._waiting:
            opening = self._waiting.take()
            effects += self._refuse(opening.frame, opening.segment, "stopping", now)
        return effects

    def _has_room_for_waiting(self, now: float) -> bool:
        """Tell whether the server can take the first request of one more flow.

        Flows that have waited bring their requests at once; all of them together
        would make a server shed them.
        """
        report = self._state.gate.report
        flows = self._state.flows
        due = flows.running + flows.expected(now)
        return report is not None and due < REQUESTS_PER_SLOT * report.slots

    def _admit(
        self, frame: Forward, segment: Segment, now: float, since: float
    ) -> list[PassthroughEffect]:
        self._state.flows.admit(segment, now)
        self._state.gate.admit(segment.flow, now)
        self._state.decide(
            "flow_admitted",
            segment.flow,
            origin=frame.origin,
            hops=len(frame.visited),
            version=self._state.table.version,
            flows=self._state.gate.open_flows,
            running=self._state.flows.running,
            cold=self._state.gate.is_cold(now),
            report_age=now - self._state.gate.reported_at,
            waited=now - since,
        )
        tagged = self._state.codec.write_tag(
            segment.data, self._offers.add(frame, segment, now)
        )
        return [
            ToBackend(tagged),
            ToPeer(frame.origin, Owned(segment.flow, self._state.load_report(now))),
        ]

    def _pass_on(
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
            wait = self._state.gate.expected_wait(reason, len(self._waiting), now)
            if wait is not None and wait <= attempt_left(segment):
                return self._wait(frame, segment, service, reason, wait, now)
            if is_cold:
                chosen = self._choose_sibling(frame, segment, service, True, now)
        if chosen is None:
            return self._refuse(frame, segment, reason, now)
        self._state.board.record_opening(chosen.host)
        self._state.board.expect_answer(chosen.host, now)
        visited = [*frame.visited, self._state.host]
        self._state.decide(
            "flow_passed_on",
            segment.flow,
            to=chosen.name,
            reason=reason,
            hops=len(visited),
            report_age=self._state.board.report_age(chosen.host, now),
        )
        passed = forward_on(frame, visited=visited, service=service)
        return [ToPeer(chosen.host, passed)]

    def _choose_sibling(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        allow_remote_cold: bool,
        now: float,
    ) -> AgentEntry | None:
        """Return the agent that may admit an opening which this one does not."""
        visited = [*frame.visited, self._state.host]
        if len(visited) >= MAX_OPENING_HOPS:
            return None
        agents = self._state.agents.get(service, ())
        ranked = rank_agents(
            segment.flow,
            frame.data_centre,
            (a for a in agents if a.data_centre not in self._state.out),
        )
        board = self._state.board
        return choose_for_opening(
            ranked, frame.data_centre, board, visited, now, allow_remote_cold
        )

    def _wait(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        reason: str,
        expected: float,
        now: float,
    ) -> list[PassthroughEffect]:
        if self._waiting.full:
            return self._refuse(frame, segment, reason, now)
        self._state.decide(
            "flow_waits",
            segment.flow,
            reason=reason,
            expected=expected,
            ahead=len(self._waiting),
        )
        opening = WaitingOpening(frame, segment, service, now)
        self._waiting.add(opening, self._state.table.priority_of(segment.flow))
        return []

    def _refuse(
        self, frame: Forward, segment: Segment, reason: str, now: float
    ) -> list[PassthroughEffect]:
        self._state.decide(
            "flow_refused",
            segment.flow,
            reason=reason,
            hops=len(frame.visited),
            version=self._state.table.version,
            report_age=now - self._state.gate.reported_at,
        )
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]
