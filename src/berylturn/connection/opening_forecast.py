"""Forecast what an agent would do with an opening, without admitting it."""

from __future__ import annotations

from ..version.owners import rank_agents
from .admission.opening_plan import OpeningPlanner
from .candidates import describe_candidates
from .passthrough_state import PassthroughState
from .peer_frames import Forward
from .recovery.flow_locations import FlowLocations
from .segments import Segment


def explain_at_agent(
    state: PassthroughState,
    planner: OpeningPlanner,
    locations: FlowLocations,
    data_centre: str,
    flow: bytes,
    now: float,
) -> dict[str, object]:
    """Return what the agent would do with an opening now, and who holds the flow.

    Parameters
    ----------
    state : PassthroughState
        State of the agent.
    planner : OpeningPlanner
        The rules that decide.
    locations : FlowLocations
        Flows of other agents that are registered with this one.
    data_centre : str
        Data centre where the flow is assumed to enter.
    flow : bytes
        Key of the flow.
    now : float
        Seconds on the monotonic clock.
    """
    table = state.table
    service = table.service_of(flow)
    known = state.flows.get(flow)
    answer: dict[str, object] = {
        "route": table.route_of(flow).name,
        "version": table.version,
        "service": service,
        "holder": state.host if known is not None else locations.owner_of(flow),
        "state": known.state.name.lower() if known is not None else None,
    }
    if service is None:
        return {**answer, "refused": "no_route"}
    agents = state.agents.get(service, ())
    answer["candidates"] = describe_candidates(
        rank_agents(flow, data_centre, agents), state.board, state.evacuated, now
    )
    return {**answer, **_forecast(state, planner, service, data_centre, flow, now)}


def _forecast(
    state: PassthroughState,
    planner: OpeningPlanner,
    service: str,
    data_centre: str,
    flow: bytes,
    now: float,
) -> dict[str, object]:
    outcome = dict.fromkeys(("obstacle", "to", "waits", "refused"))
    if flow in state.queue:
        return {**outcome, "obstacle": "queued", "to": state.host}
    segment = _make_opening(flow)
    obstacle = planner.find_obstacle(segment, service, now)
    if obstacle is None:
        return {**outcome, "to": state.host}
    outcome["obstacle"] = obstacle
    frame = Forward(
        state.host, data_centre, state.table.version, service, [], False, b""
    )
    plan = planner.plan_elsewhere(frame, segment, service, obstacle, now)
    if plan.sibling is not None:
        return {**outcome, "to": plan.sibling.host}
    if plan.admits:
        return {**outcome, "to": state.host}
    if plan.wait_seconds is None:
        return {**outcome, "refused": plan.refusal}
    overload = planner.find_overload(frame, segment, service, now)
    if overload is not None:
        return {**outcome, "refused": overload}
    return {**outcome, "to": state.host, "waits": round(plan.wait_seconds, 4)}


def _make_opening(flow: bytes) -> Segment:
    """Return the first copy of an opening, which is not to be sent."""
    return Segment(
        flow=flow,
        opening=True,
        accepting=False,
        closing=False,
        reset=False,
        returned=False,
        sequence=0,
        acknowledged=0,
        size=0,
        tag=0,
        data=b"",
    )
