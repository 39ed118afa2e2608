"""Search for the owner of a flow that an agent does not know."""

from __future__ import annotations

from ..version.owners import rank_agents
from .agent_state import AgentState
from .flow_locations import FlowLocations
from .offers import Offers
from .passthrough_effects import PassthroughEffect, ToBackend, ToPeer, reset_caller
from .peer_frames import Forward, forward_on
from .segments import Segment


class FlowSearch:
    """Hand a packet to its flow's owner, to the backend server, or to the next agent.

    Parameters
    ----------
    state : AgentState
        What the agent knows.
    offers : Offers
        Packets that the backend server may hand back.
    locations : FlowLocations
        Owners that have told this agent of their flows.
    """

    def __init__(
        self, state: AgentState, offers: Offers, locations: FlowLocations
    ) -> None:
        self._state = state
        self._offers = offers
        self._locations = locations

    def look_for(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Say where a packet of an unknown flow goes."""
        owner = self._locations.owner_of(segment.flow)
        if owner is not None and owner not in frame.visited:
            visited = [*frame.visited, self._state.host]
            self._state.board.ask(owner, now)
            return [ToPeer(owner, forward_on(frame, visited=visited))]
        if self._state.host in frame.visited:
            return []
        if self._state.gate.has_left or self._state.gate.saw_start:
            return self.ask_next(frame, segment, now)
        tag = self._offers.add(frame, segment, now)
        return [ToBackend(self._state.codec.write_tag(segment.data, tag))]

    def ask_next(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Hand a packet to the agent that is next in its flow's order."""
        visited = [*frame.visited, self._state.host]
        # A node that has just started does not know which services an address led
        # to before, so the agents of the other services come last.
        services = self._state.table.possible_services(segment.flow)
        left = [
            agent
            for service in dict.fromkeys([*services, *sorted(self._state.agents)])
            for agent in rank_agents(
                segment.flow, frame.data_centre, self._state.agents.get(service, ())
            )
            if agent.host not in visited
        ]
        left.sort(key=lambda agent: self._state.board.is_suspect(agent.host, now))
        if not left:
            return self._give_up(segment, len(visited), now)
        self._state.board.ask(left[0].host, now)
        return [ToPeer(left[0].host, forward_on(frame, visited=visited))]

    def _give_up(
        self, segment: Segment, hops: int, now: float
    ) -> list[PassthroughEffect]:
        """End a flow that no backend server holds, when its caller wants something.

        Every agent in the directory has offered the packet to its server and got it
        back; a silent one would have ended the search without an answer. An agent that
        has just started, or that may have missed a change, cannot tell.
        """
        certain = self._state.knows_all_agents(now)
        wanted = segment.size > 0 and not segment.closing and not segment.reset
        ends = certain and wanted
        self._state.decide(
            "flow_not_found", segment.flow, hops=hops, ended=ends, certain=certain
        )
        if not ends:
            return []
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]
