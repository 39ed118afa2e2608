"""Search for the owner of a flow that is not in an agent's table."""

from __future__ import annotations

from ...version.owners import rank_agents
from ..flow_table import FlowState
from ..passthrough_effects import PassthroughEffect, ToBackend, ToPeer
from ..passthrough_state import PassthroughState
from ..peer_frames import Findings, Forward, Inquiry, next_forward
from ..placement.load_board import ANSWER_TIMEOUT_SECONDS
from ..segments import Segment
from .flow_end import FlowEnd
from .flow_inquiry import LOGGED_HOSTS, REPEAT_SECONDS, Inquiries, PendingInquiry
from .flow_locations import FlowLocations
from .offers import Offers
from .server_signs import ANSWER_SECONDS

# An agent that is restarted answers again within this time. One that is silent for
# longer is asked only when the caller sends again.
RESTART_SECONDS = 3.0
# Age of an agent's inquiry up to which it is told that this one ends.
INQUIRER_SECONDS = 5.0


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
        self._end = FlowEnd(state)
        # When each agent last asked for owners, the newest one last.
        self._inquirers: dict[str, float] = {}

    @property
    def is_searching(self) -> bool:
        """Tell whether an owner is being searched for."""
        awaits_server = self._state.signs.is_awaited and len(self._offers) > 0
        return len(self._inquiries) > 0 or awaits_server

    @property
    def count(self) -> int:
        """Return the number of pending searches."""
        return len(self._inquiries)

    def has_lost_power(self, host: str, now: float) -> bool:
        """Tell whether an agent's server, also the own one, certainly lost power.

        Parameters
        ----------
        host : str
            IP address of the agent.
        now : float
            Seconds on the monotonic clock.
        """
        return self._end.has_lost_power(host, now)

    def forget_absent_agents(self) -> None:
        """Stop to wait for agents that are no longer in use, and forget their words."""
        data_centres = self._state.data_centres()
        self._end.keep_only(data_centres)
        for host in self._inquirers.keys() - data_centres.keys():
            del self._inquirers[host]
        for inquiry in self._inquiries.pending():
            if inquiry.offered_to not in data_centres:
                inquiry.offered_to = ""

    def handle_unknown(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Handle a packet of a flow that is not in the flow table."""
        if not frame.inquirer:
            owner = self._locations.owner_of(segment.flow)
            if owner is not None and owner not in frame.visited:
                if not self._state.board.is_suspect(owner, now):
                    return self._forward_to_owner(frame, owner, now)
                return self._search(frame, segment, owner, now)
            if self._state.host in frame.visited:
                return []
        if self._cannot_be_held(segment.flow):
            return self.on_not_held(frame, segment, now)
        if self._state.server_missing(now):
            # The packet shows whether the server is back, but nothing waits for that.
            effects = self._on_unanswered(frame, segment, now)
            return [ToBackend(segment.data), *effects]
        return self._offer_own_server(frame, segment, now)

    def on_not_held(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Continue the search when the own backend server does not hold the flow."""
        if frame.inquirer:
            findings = self.prepare_findings(now)
            findings.absent.append(segment.flow)
            return [ToPeer(frame.inquirer, findings)]
        return self._search(frame, segment, "", now)

    def answer_offers(self, now: float) -> list[PassthroughEffect]:
        """Continue the searches whose packets the server got before it had started.

        Nobody returns these packets. A server that is known to have started since
        holds no other flows than those in the table.
        """
        if not self._has_complete_table():
            return []
        effects: list[PassthroughEffect] = []
        for frame, segment in self._offers.pop_unanswered(now):
            if self._state.flows.get(segment.flow) is None:
                effects += self.on_not_held(frame, segment, now)
        return effects

    def _on_unanswered(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Continue the search when no server answers beside this agent."""
        if frame.inquirer:
            findings = self.prepare_findings(now)
            findings.unsure.append(segment.flow)
            return [ToPeer(frame.inquirer, findings)]
        return self._search(frame, segment, "", now)

    def prepare_findings(self, now: float) -> Findings:
        """Return an answer without flows, with what is known of the own server."""
        return Findings(
            [],
            [],
            [],
            self._state.gate.started_together,
            self._state.server_missing(now),
            max(0.0, now - self._state.process.at),
            self._state.signs.has_reported,
            self._state.signs.started_later,
        )

    def continue_searches(self, now: float) -> list[PassthroughEffect]:
        """Ask silent agents again, and go on without those that do not answer."""
        for inquiry in self._inquiries.pop_expired(
            now, lambda flow: self._state.table.route_of(flow).timeout_seconds
        ):
            self._state.log_decision(
                "flow_search_expired",
                inquiry.segment.flow,
                seconds=now - inquiry.started_at,
                named=inquiry.named,
                offered_to=inquiry.offered_to,
                silent=self._find_silent(inquiry)[:LOGGED_HOSTS],
            )
        waiting = self._inquiries.describe_waiting(self._find_silent, now)
        if waiting is not None:
            self._state.log_decision("searches_wait", b"", **waiting)
        effects: list[PassthroughEffect] = []
        if self._state.server_missing(now):
            for frame, segment in self._offers.pop_unanswered(now - ANSWER_SECONDS):
                effects += self._on_unanswered(frame, segment, now)
        is_current = self._state.directory_trust(now).is_current
        for inquiry in self._inquiries.pending():
            is_due = now - inquiry.asked_at >= REPEAT_SECONDS
            if is_due:
                away = [
                    host
                    for host in self._find_silent(inquiry)
                    if self._state.board.silent_seconds(host, now) < RESTART_SECONDS
                ]
                self._ask(inquiry, away, now)
            if is_due or inquiry.unsure or (is_current and inquiry.is_answered):
                effects += self._offer_next(inquiry, now)
        return effects

    def on_inquiry(
        self, host: str, flows: list[bytes], now: float
    ) -> list[PassthroughEffect]:
        """Answer another agent from the flow table and the registered locations."""
        self._inquirers.pop(host, None)
        self._inquirers[host] = now
        findings = self.prepare_findings(now)
        for key in flows:
            flow = self._state.flows.get(key)
            owner = self._locations.owner_of(key)
            if flow is not None and flow.state is not FlowState.HALF_OPEN:
                findings.held.append((key, self._state.host))
            elif owner is not None and owner != host:
                findings.held.append((key, owner))
            elif flow is None and self._cannot_be_held(key):
                findings.absent.append(key)
            else:
                findings.unsure.append(key)
        return [ToPeer(host, findings)]

    def tell_of_stop(self, now: float) -> list[PassthroughEffect]:
        """Tell the agents that lately searched that this one ends."""
        findings = self.prepare_findings(now)
        findings.stopping = True
        return [
            ToPeer(host, findings)
            for host, asked_at in self._inquirers.items()
            if now - asked_at <= INQUIRER_SECONDS
        ]

    def on_findings(
        self, host: str, findings: Findings, now: float
    ) -> list[PassthroughEffect]:
        """Handle another agent's answer to an inquiry or an offer."""
        self._state.board.record_report(host, None, now)
        self._end.record_findings(host, findings, now)
        effects: list[PassthroughEffect] = []
        if findings.stopping:
            effects += self._let_go(host, now)
        for key, owner in findings.held:
            effects += self._on_owner_named(host, key, owner, now)
        for keys, absent in ((findings.absent, True), (findings.unsure, False)):
            for key in keys:
                inquiry = self._inquiries.record_answer(host, key, absent, findings)
                if inquiry is not None:
                    effects += self._offer_next(inquiry, now)
        return effects

    def _let_go(self, host: str, now: float) -> list[PassthroughEffect]:
        """Go on with all searches without an agent that has departed."""
        if not self._end.has_departed(host, now):
            return []
        effects: list[PassthroughEffect] = []
        for inquiry in self._inquiries.pending():
            inquiry.answered.add(host)
            inquiry.unsure.discard(host)
            inquiry.missing.add(host)
            if inquiry.offered_to == host:
                inquiry.offered_to = ""
            effects += self._offer_next(inquiry, now)
        return effects

    def pop_inquiries(self) -> list[PassthroughEffect]:
        """Remove and return the queued inquiries."""
        return [
            ToPeer(host, Inquiry(keys)) for host, keys in self._inquiries.pop_unsent()
        ]

    def _cannot_be_held(self, flow: bytes) -> bool:
        """Tell whether the own server certainly does not hold an unknown flow."""
        return self._has_complete_table() or self._offers.was_returned(flow)

    def _has_complete_table(self) -> bool:
        """Tell whether the own server certainly holds no flow that is not known."""
        gate = self._state.gate
        return gate.has_left or gate.saw_start or self._state.signs.has_ended

    def _offer_own_server(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        tag = self._offers.add(frame, segment, now)
        self._state.signs.record_offer(now)
        return [ToBackend(self._state.codec.write_tag(segment.data, tag))]

    def _forward_to_owner(
        self, frame: Forward, owner: str, now: float
    ) -> list[PassthroughEffect]:
        visited = [*frame.visited, self._state.host]
        self._state.board.expect_answer(owner, now)
        return [ToPeer(owner, next_forward(frame, visited=visited))]

    def _search(
        self, frame: Forward, segment: Segment, named: str, now: float
    ) -> list[PassthroughEffect]:
        """Search for the owner of a flow, or go on with a newer packet of it."""
        inquiry = self._inquiries.update_packet(frame, segment, now)
        if inquiry is None:
            inquiry = self._inquiries.start(frame, segment, named, now)
            self._ask(inquiry, self._find_silent(inquiry), now)
        elif now - inquiry.asked_at >= REPEAT_SECONDS:
            self._ask(inquiry, self._find_silent(inquiry), now)
        return self._offer_next(inquiry, now)

    def _ask(self, inquiry: PendingInquiry, hosts: list[str], now: float) -> None:
        self._inquiries.ask(inquiry, hosts, now)
        for host in hosts:
            self._state.board.expect_answer(host, now)

    def _find_silent(self, inquiry: PendingInquiry) -> list[str]:
        """Return the IP addresses of the agents that have not answered yet."""
        return [
            agent.host
            for agents in self._state.agents.values()
            for agent in agents
            if agent.host != self._state.host and agent.host not in inquiry.answered
        ]

    def _on_owner_named(
        self, host: str, flow: bytes, owner: str, now: float
    ) -> list[PassthroughEffect]:
        """Handle the answer that an agent owns a flow, by itself or by another.

        An owner that another agent names may have restarted meanwhile or be away, so
        only its own answer ends the search.
        """
        inquiry = self._inquiries.get(flow)
        if inquiry is None:
            return []
        is_own = owner == self._state.host
        if not is_own and (owner == host or owner not in self._find_silent(inquiry)):
            was_offered = inquiry.offered_to == owner
            self._inquiries.discard(flow)
            if was_offered:
                return []
            return self._forward_to_owner(inquiry.frame, owner, now)
        if not is_own:
            inquiry.named = owner
        inquiry.answered.add(host)
        inquiry.unsure.add(host)
        return self._offer_next(inquiry, now)

    def _offer_next(
        self, inquiry: PendingInquiry, now: float
    ) -> list[PassthroughEffect]:
        """Offer the packet to the next unsure agent, the most likely owner first."""
        silent = [
            host
            for host in self._find_silent(inquiry)
            if not (
                self._state.board.is_suspect(host, now)
                and self._end.has_departed(host, now)
            )
        ]
        if inquiry.offered_to or self._must_wait(inquiry, silent, now):
            return []
        unsure_hosts = self._rank_unsure(inquiry)
        if unsure_hosts:
            chosen = unsure_hosts[0]
            inquiry.unsure.discard(chosen)
            inquiry.offered_to = chosen
            self._state.board.expect_answer(chosen, now)
            visited = [self._state.host]
            offer = next_forward(
                inquiry.frame, visited=visited, inquirer=self._state.host
            )
            return [ToPeer(chosen, offer)]
        if silent:
            return []
        trust = self._state.directory_trust(now)
        inquiry.is_answered = not trust.is_current
        if inquiry.is_answered:
            # A node that has just started has its copy confirmed within moments.
            return []
        self._inquiries.discard(inquiry.segment.flow)
        flow = inquiry.segment.flow
        missing = self._state.server_missing(now)
        if not missing and not self._cannot_be_held(flow):
            # Another agent had been named, so the own server was not offered it first.
            return self._offer_own_server(inquiry.frame, inquiry.segment, now)
        return self._end.end_not_found(inquiry, missing, now)

    def _must_wait(
        self, inquiry: PendingInquiry, silent: list[str], now: float
    ) -> bool:
        """Tell whether answers that are due may still name the owner.

        Each server that is offered the packet in vain costs its caller time.
        """
        board = self._state.board
        if self._state.directory_trust(now).known_seconds <= 0:
            return True
        if inquiry.named in silent:
            return board.silent_seconds(inquiry.named, now) < RESTART_SECONDS
        is_new = now - inquiry.started_at < ANSWER_TIMEOUT_SECONDS
        return is_new and any(not board.is_suspect(host, now) for host in silent)

    def _rank_unsure(self, inquiry: PendingInquiry) -> list[str]:
        """Return the agents to offer the packet to, the most likely owner first."""
        flow = inquiry.segment.flow
        # A node that has just started does not know to which services an address was
        # routed before, so it also tries the agents of all other services, last.
        services = self._state.table.possible_services(flow)
        ranked = [
            agent.host
            for service in dict.fromkeys([*services, *sorted(self._state.agents)])
            for agent in rank_agents(
                flow, inquiry.frame.data_centre, self._state.agents.get(service, ())
            )
            if agent.host in inquiry.unsure
        ]
        return sorted(ranked, key=lambda host: host != inquiry.named)
