"""Rules of an agent for passthrough flows, without I/O.

Packets from the backend server show which flows it holds. A packet of a flow that is
not in the table is offered to the backend server, which returns it if it does not hold
the flow; then the agent searches for the owner at the other agents.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..version.agent_directory import DirectoryTrust
from ..version.owners import AgentEntry
from ..version.routes import RouteTable
from .admission.caller_shares import CallerShares
from .admission.opening_gate import OpeningGate
from .admission.passthrough_openings import OpeningHandler
from .flow_table import FlowState, FlowTable, PassthroughFlow
from .opening_forecast import explain_at_agent
from .passthrough_effects import (
    LogDecision,
    PassthroughEffect,
    ToBackend,
    ToCaller,
    ToPeer,
    reset_caller,
)
from .passthrough_state import PassthroughState
from .peer_frames import Findings, Forward, Load, LoadReport, Owned, Registered
from .placement.flow_watch import FlowWatch
from .placement.load_board import LoadBoard
from .placement.outlier_watch import OutlierWatch
from .placement.outliers import UNJUDGED, OutlierRules, Standing
from .placement.server_review import ServerReview
from .recovery.backend_reports import BackendReport, ProcessStart
from .recovery.flow_locations import FlowLocations
from .recovery.flow_search import FlowSearch
from .recovery.offers import Offers
from .segments import Segment, SegmentCodec, caller_host

# Registrations in one frame, 14 bytes each; a datagram has at most 1,200 bytes.
MAX_REGISTRATIONS = 80


class PassthroughAgent:
    """Apply the rules for the passthrough flows of one backend server.

    Parameters
    ----------
    host : str
        IP address of the agent.
    gate : OpeningGate
        Admission control for openings.
    board : LoadBoard
        Load reports of the siblings.
    codec : SegmentCodec
        Decodes and builds packets.
    log_decision : callable
        Logs a decision: event name, flow key, and the inputs as keywords.
    observe : callable
        Called with each response time in seconds.
    directory_trust : callable
        Returns how complete the directory of agents is at a time on the monotonic
        clock.
    process : ProcessStart
        Start of this process.
    outlier_rules : OutlierRules
        Whether and how the backend server is judged by what it does with its flows.
    shares : CallerShares or None
        Shares of callers while openings wait; None if callers are not told apart.
    mixed_placement : bool
        Whether long flows and flows of one request on the same servers are told apart.
    """

    def __init__(
        self,
        host: str,
        gate: OpeningGate,
        board: LoadBoard,
        codec: SegmentCodec,
        log_decision: LogDecision,
        observe: Callable[[float], None],
        directory_trust: Callable[[float], DirectoryTrust],
        process: ProcessStart,
        outlier_rules: OutlierRules = UNJUDGED,
        shares: CallerShares | None = None,
        mixed_placement: bool = False,
    ) -> None:
        watch = FlowWatch() if mixed_placement else None
        flows = FlowTable(gate.end_flow, observe, watch)
        outliers = OutlierWatch(host, outlier_rules, flows, board, log_decision)
        self._state = PassthroughState(
            host,
            gate,
            board,
            flows,
            codec,
            log_decision,
            directory_trust,
            process,
            outliers,
            watch=watch,
            shares=shares,
        )
        self._locations = FlowLocations(host)
        self._offers = Offers()
        self._openings = OpeningHandler(self._state, self._offers)
        self._review = ServerReview(self._state, self._openings.pass_on_queued)
        self._search = FlowSearch(self._state, self._offers, self._locations)

    @property
    def flows(self) -> dict[bytes, PassthroughFlow]:
        """Return the known flows by key."""
        return self._state.flows.flows

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return self._state.flows.running

    @property
    def has_short_flows(self) -> bool:
        """Tell whether most flows of the backend server have a single request."""
        return self._state.flows.meter.has_short_flows

    @property
    def open_feeds(self) -> int | None:
        """Return the number of open feeds, or None for plain placement."""
        watch = self._state.watch
        return watch.pledges.open_feeds if watch is not None else None

    @property
    def queued(self) -> int:
        """Return the number of queued openings."""
        return len(self._state.queue)

    @property
    def standing(self) -> Standing:
        """Return the standing of the backend server in placement."""
        return self._state.outliers.standing

    @property
    def is_ejected(self) -> bool:
        """Tell whether the backend server gets no new flows because it fails them."""
        outliers = self._state.outliers
        return outliers.enforced and outliers.standing is Standing.EJECTED

    @property
    def failed_share(self) -> float:
        """Return the share of the recent requests that the backend server failed."""
        return self._state.outliers.failed_share

    @property
    def registered(self) -> int:
        """Return the number of flows of other agents that are registered here."""
        return len(self._locations)

    def callers_ahead(self, now: float) -> int:
        """Return the number of callers that are ahead of their share."""
        shares = self._state.shares
        if shares is None:
            return 0
        return shares.count_ahead(self._state.flows.meter.seconds_per_request, now)

    def set_newest(self, newest: list[int]) -> None:
        """Set the newest revision of each kind of object, for load reports."""
        self._state.newest = newest

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the backend server processes concurrently."""
        self._state.flows.meter.set_slots(slots)

    def stop(self, now: float) -> list[PassthroughEffect]:
        """Stop admitting openings and refuse the queued ones.

        Agents that search for flows are told if none can be held here.
        """
        self._state.stopping = True
        effects = self._openings.refuse_queued(now)
        if self.has_lost_server(now):
            effects += self._search.tell_of_stop(now)
        return effects

    def admit_queued(self, now: float) -> list[PassthroughEffect]:
        """Admit queued openings while there is capacity, and refuse expired ones."""
        return self._openings.admit_queued(now)

    def explain(self, flow: bytes, data_centre: str, now: float) -> dict[str, object]:
        """Return what the agent would do with an opening now, without doing it."""
        return explain_at_agent(
            self._state, self._openings.planner, self._locations, data_centre, flow, now
        )

    def load_report(self, now: float) -> LoadReport:
        """Return the load report for siblings and balancers."""
        return self._state.load_report(now)

    def set_table(self, table: RouteTable) -> None:
        """Replace the route table by a newer version."""
        self._state.table = table
        if self._state.watch is not None:
            self._state.watch.habits.keep_only(table)
        self._register_all()

    def set_agents(
        self, agents: dict[str, list[AgentEntry]], evacuated: frozenset[str]
    ) -> None:
        """Set the agents by service, and the evacuated data centres."""
        self._state.agents = agents
        self._state.evacuated = evacuated
        self._search.forget_absent_agents()
        self._register_all()

    def smooth_load(self, now: float) -> None:
        """Add the mean of running requests since the last call to the average."""
        self._state.flows.smooth_load(now)

    def on_forward(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Handle a caller's packet that a balancer or a sibling forwarded."""
        effects = self._handle_forward(frame, segment, now)
        # Without an answer the sender would treat this agent as down.
        if frame.visited:
            effects.append(
                ToPeer(frame.visited[-1], Load(self._state.load_report(now)))
            )
        elif frame.wants_owner and not _announces_owner(effects):
            effects.append(ToPeer(frame.origin, Load(self._state.load_report(now))))
        return effects

    def on_backend(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        """Handle a packet from the backend server, or one that it returned."""
        self._state.signs.record_sign()
        if segment.returned:
            return self._on_returned(segment, now)
        self._state.gate.on_answer()
        flow = self._state.flows.get(segment.flow)
        effects: list[PassthroughEffect] = []
        if flow is None:
            if not segment.reset:
                effects = self._add_discovered(segment, now)
        else:
            self._state.flows.record_backend_packet(segment, flow, now)
        effects.append(ToCaller(caller_host(segment.flow), segment.data))
        effects += self._review.on_backend_packet(now)
        if self._state.queue and (segment.size or segment.closing):
            effects += self._openings.admit_queued(now)
        return effects

    def on_registered(self, host: str, flows: Iterable[bytes], now: float) -> None:
        """Record the owner of flows that have this agent first in their order."""
        self._locations.record_owner(host, flows, now)

    def on_backend_report(
        self, report: BackendReport, now: float
    ) -> list[PassthroughEffect]:
        """Record that the backend server has reported, after the gate has."""
        self._state.signs.record_report(report)
        return self._search.answer_offers(now)

    def has_lost_server(self, now: float) -> bool:
        """Tell whether the backend server beside this agent holds no open flow."""
        return (
            self._state.signs.has_ended
            or self._state.server_missing(now)
            or self.has_lost_power(self._state.host, now)
        )

    def has_lost_power(self, host: str, now: float) -> bool:
        """Tell whether an agent's server lost power and has not reported since.

        Parameters
        ----------
        host : str
            IP address of the agent.
        now : float
            Seconds on the monotonic clock.
        """
        return self._search.has_lost_power(host, now)

    def forget_outcomes(self, now: float) -> None:
        """Forget what the backend server did before it restarted."""
        self._state.outliers.forget(now)

    def on_backend_restarted(self) -> list[PassthroughEffect]:
        """Resend the newest packet of each open flow, to find the lost flows."""
        return [
            ToBackend(flow.last_packet)
            for flow in self._state.flows.flows.values()
            if flow.last_packet and flow.state is FlowState.OPEN
        ]

    def on_backend_down(self, reason: str) -> list[PassthroughEffect]:
        """Reset all flows of a backend server that is certainly down."""
        self._state.signs.record_refusal()
        effects: list[PassthroughEffect] = []
        for key in list(self._state.flows.flows):
            effects += self._reset_lost_flow(key, reason)
        return effects

    def sweep(self, now: float, max_flow_seconds: float) -> None:
        """Remove expired flows, requests, locations and offers."""
        self._state.flows.end_abandoned_requests(
            now, lambda key: self._state.table.route_of(key).timeout_seconds
        )
        self._state.flows.sweep(now, self._state.table.idle_seconds)
        self._locations.sweep(now, max_flow_seconds)
        self._offers.sweep(now, max_flow_seconds)

    def on_inquiry(
        self, host: str, flows: list[bytes], now: float
    ) -> list[PassthroughEffect]:
        """Answer an agent that searches for the owners of flows."""
        return self._search.on_inquiry(host, flows, now)

    def on_findings(
        self, host: str, findings: Findings, now: float
    ) -> list[PassthroughEffect]:
        """Handle the answer of an agent to an inquiry."""
        return self._search.on_findings(host, findings, now)

    @property
    def is_searching(self) -> bool:
        """Tell whether owners of flows are being searched for."""
        return self._search.is_searching

    @property
    def searches(self) -> int:
        """Return the number of flows whose owners are being searched for."""
        return self._search.count

    def continue_searches(self, now: float) -> list[PassthroughEffect]:
        """Ask silent agents again, and go on without those that do not answer."""
        return self._search.continue_searches(now)

    def pop_queued_frames(self) -> list[PassthroughEffect]:
        """Remove and return the queued inquiries, and registrations near by."""
        registrations = self._locations.pop_registrations()
        return _batch_registrations(registrations) + self._search.pop_inquiries()

    def pop_remote_registrations(self) -> list[PassthroughEffect]:
        """Remove and return the queued registrations for other data centres."""
        registrations = self._locations.pop_remote_registrations(self._is_open)
        return _batch_registrations(registrations)

    def on_ejected_sibling(self, now: float) -> list[PassthroughEffect]:
        """Check at once whether too many servers are left out, this one included."""
        return self._review.on_ejected_sibling(now)

    def judge_server(self, now: float) -> list[PassthroughEffect]:
        """Judge the backend server by what it has done with its flows so far."""
        return self._review.judge(now)

    def _is_open(self, key: bytes) -> bool:
        flow = self._state.flows.get(key)
        return flow is not None and flow.state is FlowState.OPEN

    def _handle_forward(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        flow = self._state.flows.get(segment.flow)
        if segment.opening:
            if flow is not None and flow.state is not FlowState.CLOSED:
                return self._deliver(frame, segment, flow, now)
            return self._openings.handle_opening(frame, segment, now)
        if flow is not None and flow.owns(segment):
            return self._deliver(frame, segment, flow, now)
        if flow is not None:
            self._state.flows.drop(segment.flow)
        return self._search.handle_unknown(frame, segment, now)

    def _deliver(
        self, frame: Forward, segment: Segment, flow: PassthroughFlow, now: float
    ) -> list[PassthroughEffect]:
        self._state.flows.record_caller_packet(segment, flow, now)
        if not segment.opening and (not flow.registered_with or frame.visited):
            self._register(segment.flow, flow, force=bool(frame.visited))
        if segment.opening:
            self._state.log_decision(
                "opening_repeated", segment.flow, hops=len(frame.visited)
            )
        effects: list[PassthroughEffect] = [ToBackend(segment.data)]
        if frame.wants_owner:
            owned = self._state.announce(segment.flow, now)
            effects.append(ToPeer(frame.origin, owned))
        if frame.inquirer:
            effects.append(self._tell_held(frame.inquirer, segment.flow, now))
        return effects

    def _tell_held(self, inquirer: str, flow: bytes, now: float) -> ToPeer:
        findings = self._search.prepare_findings(now)
        findings.held.append((flow, self._state.host))
        return ToPeer(inquirer, findings)

    def _add_discovered(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        flow = self._state.flows.add_discovered(segment, now)
        self._state.gate.add_existing_flow()
        frame = self._offers.pop_latest_frame(segment.flow)
        self._state.log_decision(
            "flow_found",
            segment.flow,
            origin=frame.origin if frame is not None else None,
            hops=len(frame.visited) if frame is not None else 0,
        )
        if flow.state is FlowState.OPEN:
            self._register(segment.flow, flow)
        if frame is None:
            return []
        owned = self._state.announce(segment.flow, now)
        effects: list[PassthroughEffect] = [ToPeer(frame.origin, owned)]
        if frame.inquirer:
            effects.append(self._tell_held(frame.inquirer, segment.flow, now))
        return effects

    def _on_returned(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        offer = self._offers.pop(segment.tag)
        flow = self._state.flows.get(segment.flow)
        if offer is None:
            return self._on_flow_lost(segment, flow, now)
        frame, original = offer
        if not segment.opening:
            if flow is not None and flow.owns(original):
                return []
            self._offers.record_returned(segment.flow, now)
            return self._search.on_not_held(frame, original, now)
        if flow is not None and flow.state is FlowState.HALF_OPEN:
            self._state.flows.drop(segment.flow)
        self._state.outliers.record_returned(now)
        return self._openings.handle_returned(frame, original, now)

    def _on_flow_lost(
        self, segment: Segment, flow: PassthroughFlow | None, now: float
    ) -> list[PassthroughEffect]:
        if flow is None or flow.state is not FlowState.OPEN or segment.opening:
            return []
        if flow.caller_closed or flow.backend_closed:
            self._state.flows.drop(segment.flow)
            return []
        self._state.gate.on_flow_lost(now)
        return self._reset_lost_flow(segment.flow, "backend_restarted")

    def _reset_lost_flow(self, key: bytes, reason: str) -> list[PassthroughEffect]:
        flow = self._state.flows.flows[key]
        self._state.flows.drop(key)
        if flow.state is FlowState.CLOSED or not flow.last_packet:
            return []
        newest = self._state.codec.decode_from_caller(flow.last_packet)
        self._state.log_decision(
            "flow_lost", key, reason=reason, busy=flow.busy_since is not None
        )
        return [reset_caller(self._state.codec, key, newest.acknowledged)]

    def _register_all(self) -> None:
        for key, flow in self._state.flows.flows.items():
            if flow.state is FlowState.OPEN:
                self._register(key, flow)

    def _register(self, key: bytes, flow: PassthroughFlow, force: bool = False) -> None:
        service = self._state.table.service_of(key)
        if service is not None:
            agents = self._state.agents.get(service, ())
            self._locations.register(key, flow, agents, force)


def _batch_registrations(
    registrations: dict[str, list[bytes]],
) -> list[PassthroughEffect]:
    """Return the frames of registrations, by the IP address of the receiver."""
    return [
        ToPeer(host, Registered(keys[start : start + MAX_REGISTRATIONS]))
        for host, keys in registrations.items()
        for start in range(0, len(keys), MAX_REGISTRATIONS)
    ]


def _announces_owner(effects: list[PassthroughEffect]) -> bool:
    return any(type(e) is ToPeer and type(e.frame) is Owned for e in effects)
