"""Search for the owner of a flow that an agent does not know."""

from __future__ import annotations

from ..version.owners import rank_agents
from .agent_state import AgentState
from .flow_inquiry import Inquiries, PendingInquiry, join_starts
from .flow_locations import FlowLocations
from .flow_table import FlowState
from .offers import Offers
from .passthrough_effects import PassthroughEffect, ToBackend, ToPeer, reset_caller
from .peer_frames import Findings, Forward, Inquiry, forward_on
from .segments import Segment


class FlowSearch:
    """Hand a packet to its flow's owner, after asking all agents who that is.

    The agent that a balancer asks first leads the search: it asks all others for the
    flow by its key. Those that cannot tell from their tables, because they have started
    after their server, are offered the packet one after the other.

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
        self._inquiries = Inquiries()

    def look_for(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Say where a packet of an unknown flow goes."""
        if not frame.inquirer:
            owner = self._locations.owner_of(segment.flow)
            if owner is not None and owner not in frame.visited:
                return self._send_on(frame, owner, now)
            if self._state.host in frame.visited:
                return []
        if self._holds_no_unknown_flow():
            return self.on_not_held(frame, segment, now)
        tag = self._offers.add(frame, segment, now)
        return [ToBackend(self._state.codec.write_tag(segment.data, tag))]

    def on_not_held(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Go on after the own backend server was found not to hold a flow."""
        if frame.inquirer:
            together = self._state.gate.started_together
            return [ToPeer(frame.inquirer, Findings([], [segment.flow], [], together))]
        inquiry = self._inquiries.renew(frame, segment, now)
        if inquiry is not None:
            return self._offer_next(inquiry, now)
        hosts = [
            agent.host
            for agents in self._state.agents.values()
            for agent in agents
            if agent.host != self._state.host
        ]
        if not hosts:
            return self._give_up(segment, 0, None, now)
        self._inquiries.begin(frame, segment, hosts, now)
        for host in hosts:
            self._state.board.expect_answer(host, now)
        return []

    def on_inquiry(self, host: str, flows: list[bytes]) -> list[PassthroughEffect]:
        """Answer another agent from the tables."""
        findings = Findings([], [], [], self._state.gate.started_together)
        for key in flows:
            flow = self._state.flows.get(key)
            owner = self._locations.owner_of(key)
            if flow is not None and flow.state is not FlowState.HALF_OPEN:
                findings.held.append((key, self._state.host))
            elif owner is not None and owner != host:
                findings.held.append((key, owner))
            elif flow is None and self._holds_no_unknown_flow():
                findings.absent.append(key)
            else:
                findings.unsure.append(key)
        return [ToPeer(host, findings)]

    def on_findings(
        self, host: str, findings: Findings, now: float
    ) -> list[PassthroughEffect]:
        """Take what another agent knows of the flows that were asked for."""
        self._state.board.record_report(host, None, now)
        effects: list[PassthroughEffect] = []
        for key, owner in findings.held:
            inquiry = self._inquiries.get(key)
            if inquiry is not None and owner != self._state.host:
                self._inquiries.end(key)
                effects += self._send_on(inquiry.frame, owner, now)
        for keys, absent in ((findings.absent, True), (findings.unsure, False)):
            for key in keys:
                inquiry = self._inquiries.note(
                    host, key, absent, findings.started_together
                )
                if inquiry is not None:
                    effects += self._offer_next(inquiry, now)
        return effects

    def take_inquiries(self) -> list[PassthroughEffect]:
        """Return the questions that have gathered."""
        return [
            ToPeer(host, Inquiry(keys)) for host, keys in self._inquiries.take_unsent()
        ]

    def sweep(self, now: float) -> None:
        """Forget questions that were not answered."""
        self._inquiries.sweep(now)

    def _holds_no_unknown_flow(self) -> bool:
        """Tell whether the own backend server holds only flows in the table."""
        return self._state.gate.has_left or self._state.gate.saw_start

    def _send_on(
        self, frame: Forward, owner: str, now: float
    ) -> list[PassthroughEffect]:
        visited = [*frame.visited, self._state.host]
        self._state.board.expect_answer(owner, now)
        return [ToPeer(owner, forward_on(frame, visited=visited))]

    def _offer_next(
        self, inquiry: PendingInquiry, now: float
    ) -> list[PassthroughEffect]:
        """Offer the packet to the next agent that is unsure, the likeliest first."""
        segment, frame = inquiry.segment, inquiry.frame
        # A node that has just started does not know which services an address led
        # to before, so the agents of the other services come last.
        services = self._state.table.possible_services(segment.flow)
        left = [
            agent.host
            for service in dict.fromkeys([*services, *sorted(self._state.agents)])
            for agent in rank_agents(
                segment.flow, frame.data_centre, self._state.agents.get(service, ())
            )
            if agent.host in inquiry.unsure
        ]
        if left:
            inquiry.unsure.discard(left[0])
            inquiry.offered = left[0]
            self._state.board.expect_answer(left[0], now)
            visited = [self._state.host]
            offer = forward_on(frame, visited=visited, inquirer=self._state.host)
            return [ToPeer(left[0], offer)]
        if inquiry.waiting or inquiry.silent:
            return []
        self._inquiries.end(segment.flow)
        hops = sum(map(len, self._state.agents.values()))
        return self._give_up(segment, hops, inquiry.all_restarted, now)

    def _give_up(
        self, segment: Segment, hops: int, others_restarted: bool | None, now: float
    ) -> list[PassthroughEffect]:
        """End a flow that no backend server holds, when its caller wants something.

        Every agent in the directory has answered that its server does not hold it; a
        silent one would have left the search without an end. An agent that
        has just started, or that may have missed a change, cannot tell.
        """
        own = self._state.gate.started_together
        all_restarted = join_starts(others_restarted, own) is True
        certain = self._state.directory_trust(now).names_all(all_restarted)
        wanted = segment.size > 0 and not segment.closing and not segment.reset
        ends = certain and wanted
        self._state.log_decision(
            "flow_not_found",
            segment.flow,
            hops=hops,
            ended=ends,
            certain=certain,
            all_restarted=all_restarted,
        )
        if not ends:
            return []
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]
