"""Search for the owner of a flow that is not in an agent's table."""

from __future__ import annotations

from ..version.owners import rank_agents
from .flow_inquiry import Inquiries, PendingInquiry, combine_started_together
from .flow_locations import FlowLocations
from .flow_table import FlowState
from .offers import Offers
from .passthrough_effects import PassthroughEffect, ToBackend, ToPeer, reset_caller
from .passthrough_state import PassthroughState
from .peer_frames import Findings, Forward, Inquiry, next_forward
from .segments import Segment


class FlowSearch:
    """Find the owner of a flow by asking all agents, and forward the packet to it.

    The agent that receives the packet from a balancer leads the search: it sends the
    key of the flow to all others. Agents whose tables are incomplete, because they
    started after their server, are offered the packet one after the other.

    Parameters
    ----------
    state : PassthroughState
        State shared by the rules of the agent.
    offers : Offers
        Packets that the backend server may return.
    locations : FlowLocations
        Flows that other agents have registered with this one.
    """

    def __init__(
        self, state: PassthroughState, offers: Offers, locations: FlowLocations
    ) -> None:
        self._state = state
        self._offers = offers
        self._locations = locations
        self._inquiries = Inquiries()

    def handle_unknown(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Handle a packet of a flow that is not in the flow table."""
        if not frame.inquirer:
            owner = self._locations.owner_of(segment.flow)
            if owner is not None and owner not in frame.visited:
                return self._forward_to_owner(frame, owner, now)
            if self._state.host in frame.visited:
                return []
        if self._has_complete_table():
            return self.on_not_held(frame, segment, now)
        tag = self._offers.add(frame, segment, now)
        return [ToBackend(self._state.codec.write_tag(segment.data, tag))]

    def on_not_held(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Continue the search when the own backend server does not hold the flow."""
        if frame.inquirer:
            started_together = self._state.gate.started_together
            return [
                ToPeer(
                    frame.inquirer, Findings([], [segment.flow], [], started_together)
                )
            ]
        inquiry = self._inquiries.update_packet(frame, segment, now)
        if inquiry is not None:
            return self._offer_next(inquiry, now)
        hosts = [
            agent.host
            for agents in self._state.agents.values()
            for agent in agents
            if agent.host != self._state.host
        ]
        if not hosts:
            return self._end_not_found(segment, 0, None, now)
        self._inquiries.start(frame, segment, hosts, now)
        for host in hosts:
            self._state.board.expect_answer(host, now)
        return []

    def on_inquiry(self, host: str, flows: list[bytes]) -> list[PassthroughEffect]:
        """Answer another agent from the flow table and the registered locations."""
        findings = Findings([], [], [], self._state.gate.started_together)
        for key in flows:
            flow = self._state.flows.get(key)
            owner = self._locations.owner_of(key)
            if flow is not None and flow.state is not FlowState.HALF_OPEN:
                findings.held.append((key, self._state.host))
            elif owner is not None and owner != host:
                findings.held.append((key, owner))
            elif flow is None and self._has_complete_table():
                findings.absent.append(key)
            else:
                findings.unsure.append(key)
        return [ToPeer(host, findings)]

    def on_findings(
        self, host: str, findings: Findings, now: float
    ) -> list[PassthroughEffect]:
        """Handle another agent's answer to an inquiry or an offer."""
        self._state.board.record_report(host, None, now)
        effects: list[PassthroughEffect] = []
        for key, owner in findings.held:
            inquiry = self._inquiries.get(key)
            if inquiry is not None and owner != self._state.host:
                self._inquiries.discard(key)
                effects += self._forward_to_owner(inquiry.frame, owner, now)
        for keys, absent in ((findings.absent, True), (findings.unsure, False)):
            for key in keys:
                inquiry = self._inquiries.record_answer(
                    host, key, absent, findings.started_together
                )
                if inquiry is not None:
                    effects += self._offer_next(inquiry, now)
        return effects

    def pop_inquiries(self) -> list[PassthroughEffect]:
        """Remove and return the queued inquiries."""
        return [
            ToPeer(host, Inquiry(keys)) for host, keys in self._inquiries.pop_unsent()
        ]

    def sweep(self, now: float) -> None:
        """Remove inquiries that were not answered in time."""
        self._inquiries.sweep(now)

    def _has_complete_table(self) -> bool:
        """Tell whether every flow of the own backend server is in the table."""
        return self._state.gate.has_left or self._state.gate.saw_start

    def _forward_to_owner(
        self, frame: Forward, owner: str, now: float
    ) -> list[PassthroughEffect]:
        visited = [*frame.visited, self._state.host]
        self._state.board.expect_answer(owner, now)
        return [ToPeer(owner, next_forward(frame, visited=visited))]

    def _offer_next(
        self, inquiry: PendingInquiry, now: float
    ) -> list[PassthroughEffect]:
        """Offer the packet to the next unsure agent, the most likely owner first."""
        segment, frame = inquiry.segment, inquiry.frame
        # A node that has just started does not know to which services an address was
        # routed before, so it also tries the agents of all other services, last.
        services = self._state.table.possible_services(segment.flow)
        unsure_hosts = [
            agent.host
            for service in dict.fromkeys([*services, *sorted(self._state.agents)])
            for agent in rank_agents(
                segment.flow, frame.data_centre, self._state.agents.get(service, ())
            )
            if agent.host in inquiry.unsure
        ]
        if unsure_hosts:
            inquiry.unsure.discard(unsure_hosts[0])
            inquiry.offered_to = unsure_hosts[0]
            self._state.board.expect_answer(unsure_hosts[0], now)
            visited = [self._state.host]
            offer = next_forward(frame, visited=visited, inquirer=self._state.host)
            return [ToPeer(unsure_hosts[0], offer)]
        if inquiry.unanswered_hosts or inquiry.unanswered_offers:
            return []
        self._inquiries.discard(segment.flow)
        hops = sum(map(len, self._state.agents.values()))
        return self._end_not_found(segment, hops, inquiry.all_restarted, now)

    def _end_not_found(
        self, segment: Segment, hops: int, others_restarted: bool | None, now: float
    ) -> list[PassthroughEffect]:
        """Reset a flow that no backend server holds, if its caller expects an answer.

        Every agent in the directory has answered that its server does not hold the
        flow: while one answer is missing, the search does not complete. An agent that
        has just started, or that may have missed a change of the directory, cannot be
        certain and resets nothing.
        """
        own_restarted = self._state.gate.started_together
        all_restarted = (
            combine_started_together(others_restarted, own_restarted) is True
        )
        certain = self._state.directory_trust(now).is_complete(all_restarted)
        expects_answer = segment.size > 0 and not segment.closing and not segment.reset
        resets = certain and expects_answer
        self._state.log_decision(
            "flow_not_found",
            segment.flow,
            hops=hops,
            ended=resets,
            certain=certain,
            all_restarted=all_restarted,
        )
        if not resets:
            return []
        return [reset_caller(self._state.codec, segment.flow, segment.acknowledged)]
