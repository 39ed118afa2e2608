"""Answers to openings that are not let in, and what they cost their callers."""

from __future__ import annotations

from ..passthrough_effects import PassthroughEffect, ToPeer, reset_caller
from ..passthrough_state import PassthroughState
from ..peer_frames import SECOND_OFFER, Forward, Refused
from ..segments import Segment, caller_address
from .caller_shares import REFUSAL_COST
from .opening_queue import QueuedOpening


class OpeningRefusals:
    """Refuse openings, and keep account of the callers if they are told apart.

    Parameters
    ----------
    state : PassthroughState
        State shared by the rules of the agent.
    """

    def __init__(self, state: PassthroughState) -> None:
        self._state = state

    def refuse(
        self, frame: Forward, segment: Segment, reason: str, now: float
    ) -> list[PassthroughEffect]:
        """Reset the caller of an opening, or leave that to its balancer; log why."""
        shares, share = self._state.shares, {}
        if shares is not None:
            share["lead"] = shares.lead_seconds(
                caller_address(segment.flow),
                self._state.flows.meter.seconds_per_request,
                now,
            )
        is_second = frame.offer == SECOND_OFFER
        self._state.log_decision(
            "second_offer_declined" if is_second else "flow_refused",
            segment.flow,
            reason=reason,
            hops=len(frame.visited),
            version=self._state.table.version,
            report_age=now - self._state.gate.reported_at,
            **share,
        )
        if frame.offer:
            offered_to = frame.visited[0] if frame.visited else self._state.host
            load = self._state.load_report(now)
            refused = Refused(segment.flow, segment.acknowledged, offered_to, load)
            return [ToPeer(frame.origin, refused)]
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]

    def refuse_unqueued(
        self, opening: QueuedOpening, reason: str, now: float
    ) -> list[PassthroughEffect]:
        """Refuse an opening in overload, before it has been queued."""
        self.charge(opening.segment, REFUSAL_COST, now)
        return self.refuse(opening.frame, opening.segment, reason, now)

    def refuse_queued(
        self, opening: QueuedOpening, reason: str, now: float
    ) -> list[PassthroughEffect]:
        """Refuse an opening that has been removed from the queue."""
        cost = 0.0 if reason == "come_back" else REFUSAL_COST
        self.charge(opening.segment, cost - 1.0, now)
        return self.refuse(opening.frame, opening.segment, reason, now)

    def charge(self, segment: Segment, openings: float, now: float) -> None:
        """Charge the caller of an opening, if callers are told apart."""
        if self._state.shares is not None:
            self._state.shares.charge(
                caller_address(segment.flow),
                openings,
                self._state.flows.meter.seconds_per_request,
                now,
            )
