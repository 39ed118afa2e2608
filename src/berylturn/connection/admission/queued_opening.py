"""Describe an opening for the queue: until when its caller has a use for it."""

from __future__ import annotations

from ..passthrough_state import PassthroughState
from ..peer_frames import Forward
from ..segments import Segment, caller_address
from .opening_queue import QueuedOpening, remaining_attempt_seconds

# Time for an answer from the backend server to its caller.
RETURN_SECONDS = 0.01


def make_queued(
    state: PassthroughState, frame: Forward, segment: Segment, service: str, now: float
) -> QueuedOpening:
    """Return the entry of an opening for the queue of an agent.

    Parameters
    ----------
    state : PassthroughState
        State of the agent.
    frame : Forward
        Frame that carried the opening.
    segment : Segment
        The opening.
    service : str
        Service of its flow.
    now : float
        Seconds on the monotonic clock.
    """
    route = state.table.route_of(segment.flow)
    meter = state.flows.meter
    first_sent_at = now - segment.opening_age
    # After the admission, the request arrives, waits for those before it in the
    # server and is processed.
    in_server = (meter.limit - 1) * meter.seconds_per_request
    in_server += meter.expected_service_seconds
    remaining = meter.gap_seconds + in_server + RETURN_SECONDS
    attempt_ends_at = now + remaining_attempt_seconds(segment)
    request_ends_at = first_sent_at + route.timeout_seconds - remaining
    lead = 0.0
    if state.shares is not None:
        lead = state.shares.lead_seconds(
            caller_address(segment.flow), meter.seconds_per_request, now
        )
    return QueuedOpening(
        frame,
        segment,
        service,
        now,
        route.priority,
        first_sent_at + route.aim_seconds - remaining,
        min(attempt_ends_at, request_ends_at),
        request_ends_at,
        lead,
    )
