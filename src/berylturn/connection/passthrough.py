"""An agent's rules for passthrough flows, free of I/O.

The backend server's own packets say which flows it holds. A packet of a flow that is
not in the table is offered to the backend server, which hands it back if it does not
hold the flow; then the next agent in the flow's order gets it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..version.owners import AgentEntry, rank_agents
from ..version.routes import RouteTable
from .flow_locations import FlowLocations
from .flow_table import FlowState, FlowTable, PassthroughFlow
from .load_board import LoadBoard, choose_for_opening
from .opening_gate import OpeningGate
from .passthrough_effects import (
    Decide,
    PassthroughEffect,
    ToBackend,
    ToCaller,
    ToPeer,
)
from .peer_frames import Forward, Load, LoadReport, Owned, Registered
from .segments import Segment, SegmentCodec, caller_host
from .waiting import LONGEST_WAIT_SECONDS, WaitingOpening, WaitingOpenings

MAX_TAG = (1 << 32) - 1
# An opening that no agent admits is answered before its first copy (200 ms).
MAX_OPENING_HOPS = 4
# The backend server is on the same host and hands a packet back within milliseconds.
OFFER_SECONDS = 2.0
# New flows without an answer at one slot while others wait: one at work, one queued.
UNSERVED_PER_SLOT = 2


class PassthroughAgent:
    """Own the flows of one backend server.

    Parameters
    ----------
    host : str
        IP address of the agent.
    gate : OpeningGate
        Says which openings are admitted.
    board : LoadBoard
        Load of the siblings.
    codec : SegmentCodec
        Builds packets.
    decide : callable
        Told of each decision: event name, flow key and the inputs.
    observe : callable
        Told of each response time in seconds.
    """

    def __init__(
        self,
        host: str,
        gate: OpeningGate,
        board: LoadBoard,
        codec: SegmentCodec,
        decide: Decide,
        observe: Callable[[float], None],
    ) -> None:
        self._host = host
        self._gate = gate
        self._board = board
        self._codec = codec
        self._decide = decide
        self._table = RouteTable()
        self._agents: dict[str, list[AgentEntry]] = {}
        self._out: frozenset[str] = frozenset()
        self._flows = FlowTable(gate.end_flow, observe)
        self._locations = FlowLocations(host)
        self._offers: dict[int, tuple[Forward, Segment, float]] = {}
        self._asking: dict[bytes, Forward] = {}
        self._waiting = WaitingOpenings()
        self._next_tag = 1
        self.newest: list[int] = []
        self.leaving = False

    @property
    def flows(self) -> dict[bytes, PassthroughFlow]:
        """Return the flows that are known."""
        return self._flows.flows

    @property
    def running(self) -> int:
        """Return how many requests are under way."""
        return self._flows.running

    @property
    def waiting(self) -> int:
        """Return how many openings wait for room."""
        return len(self._waiting)

    @property
    def registered(self) -> int:
        """Return how many flows of siblings are registered here."""
        return len(self._locations)

    def set_table(self, table: RouteTable) -> None:
        """Put a newer version of the routes in force."""
        self._table = table
        self._register_all()

    def set_agents(
        self, agents: dict[str, list[AgentEntry]], out: frozenset[str]
    ) -> None:
        """Take the agents by service, and the data centres that are out."""
        self._agents = agents
        self._out = out
        self._register_all()

    def load_report(self, now: float) -> LoadReport:
        """Return what siblings and balancers are told."""
        report = self._gate.report
        service = report.service if report is not None else ""
        return LoadReport(
            accepting=self._gate.refusal(service, now) is None,
            busy=self._flows.busy,
            running=self._flows.running,
            slots=report.slots if report is not None else 1,
            flows=self._gate.open_flows,
            newest=self.newest,
            leaving=self.leaving,
        )

    def smooth_load(self, now: float) -> None:
        """Average the requests under way since the last call."""
        self._flows.smooth_load(now)

    def on_forward(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        """Take a caller's packet that a balancer or a sibling sent on."""
        effects = self._take_forward(frame, segment, now)
        # Silence would make the sender take this agent for dead.
        if frame.visited:
            effects.append(ToPeer(frame.visited[-1], Load(self.load_report(now))))
        elif frame.report and not _answers(effects):
            effects.append(ToPeer(frame.origin, Load(self.load_report(now))))
        return effects

    def release(self, now: float) -> list[PassthroughEffect]:
        """Admit openings that have waited for room, and refuse those for too long."""
        effects: list[PassthroughEffect] = []
        for opening in self._waiting.take_expired(now):
            effects += self._refuse(opening.frame, opening.segment, "waited", now)
        while self._waiting and self._has_room_for_waiting():
            service = self._waiting.next_service
            if self._gate.refusal(service, now) is not None:
                break
            opening = self._waiting.take()
            effects += self._admit(opening.frame, opening.segment, now, opening.since)
        return effects

    def refuse_waiting(self, now: float) -> list[PassthroughEffect]:
        """Refuse all openings that wait, so that their callers try elsewhere."""
        effects: list[PassthroughEffect] = []
        while self._waiting:
            opening = self._waiting.take()
            effects += self._refuse(opening.frame, opening.segment, "stopping", now)
        return effects

    def _has_room_for_waiting(self) -> bool:
        """Tell whether the server can take the first request of one more flow.

        Flows that have waited bring their requests at once; all of them together
        would make a server shed them.
        """
        report = self._gate.report
        return (
            report is not None
            and self._flows.unserved < UNSERVED_PER_SLOT * report.slots
        )

    def _take_forward(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        if segment.opening:
            return self._on_opening(frame, segment, now)
        flow = self._flows.get(segment.flow)
        if flow is not None and flow.owns(segment):
            return self._deliver(frame, segment, flow, now)
        if flow is not None:
            self._flows.drop(segment.flow)
        return self._look_for(frame, segment, now)

    def on_backend(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        """Take a packet of the backend server, or one that it handed back."""
        if segment.returned:
            return self._on_returned(segment, now)
        self._gate.on_answer()
        flow = self._flows.get(segment.flow)
        effects: list[PassthroughEffect] = []
        if flow is None:
            if not segment.reset:
                effects = self._learn(segment, now)
        else:
            self._flows.note_backend(segment, flow, now)
        effects.append(ToCaller(caller_host(segment.flow), segment.data))
        return effects

    def on_registered(self, host: str, flows: Iterable[bytes], now: float) -> None:
        """Note which agent owns flows that this one is first in the order of."""
        self._locations.take(host, flows, now)

    def on_restarted(self) -> list[PassthroughEffect]:
        """Ask the new backend server about each flow of the old one."""
        return [
            ToBackend(flow.last_packet)
            for flow in self._flows.flows.values()
            if flow.last_packet and flow.state is FlowState.OPEN
        ]

    def on_backend_dead(self, reason: str) -> list[PassthroughEffect]:
        """End all flows of a backend server that certainly does not run."""
        effects: list[PassthroughEffect] = []
        for key in list(self._flows.flows):
            effects += self._end_lost(key, reason)
        return effects

    def sweep(self, now: float, max_flow_seconds: float) -> None:
        """Forget flows that are over, and offers that got no answer."""
        self._flows.sweep(now, self._table.idle_seconds)
        self._locations.sweep(now, max_flow_seconds)
        for tag, (frame, segment, at) in list(self._offers.items()):
            if now - at <= OFFER_SECONDS:
                break
            del self._offers[tag]
            if self._asking.get(segment.flow) is frame:
                del self._asking[segment.flow]

    def take_news(self) -> list[PassthroughEffect]:
        """Return the registrations that have gathered."""
        news = self._locations.take_news()
        return [ToPeer(host, Registered(flows)) for host, flows in news.items()]

    def _on_opening(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        flow = self._flows.get(segment.flow)
        if flow is not None and flow.state is not FlowState.CLOSED:
            return self._deliver(frame, segment, flow, now)
        if segment.flow in self._waiting:
            return []
        service = self._service_of(frame, segment)
        if service is None:
            return self._refuse(frame, segment, "no_route", now)
        reason = self._gate.refusal(service, now)
        if self.leaving and reason is None:
            reason = "stopping"
        if reason is not None:
            return self._pass_on(frame, segment, service, reason, now)
        return self._admit(frame, segment, now, now)

    def _admit(
        self, frame: Forward, segment: Segment, now: float, since: float
    ) -> list[PassthroughEffect]:
        self._flows.admit(segment, now)
        self._gate.admit(segment.flow, now)
        self._decide(
            "flow_admitted",
            segment.flow,
            origin=frame.origin,
            hops=len(frame.visited),
            version=self._table.version,
            flows=self._gate.open_flows,
            running=self._flows.running,
            cold=self._gate.is_cold(now),
            report_age=now - self._gate.reported_at,
            waited=now - since,
        )
        tagged = self._codec.write_tag(segment.data, self._offer(frame, segment, now))
        return [
            ToBackend(tagged),
            ToPeer(frame.origin, Owned(segment.flow, self.load_report(now))),
        ]

    def _service_of(self, frame: Forward, segment: Segment) -> str | None:
        if frame.version > self._table.version:
            return frame.service or None
        return self._table.service_of(segment.flow)

    def _pass_on(
        self,
        frame: Forward,
        segment: Segment,
        service: str,
        reason: str,
        now: float,
    ) -> list[PassthroughEffect]:
        visited = [*frame.visited, self._host]
        ranked = rank_agents(
            segment.flow,
            frame.data_centre,
            (
                a
                for a in self._agents.get(service, ())
                if a.data_centre not in self._out
            ),
        )
        chosen = None
        if len(visited) < MAX_OPENING_HOPS:
            chosen = choose_for_opening(
                ranked, frame.data_centre, self._board, visited, now
            )
        if chosen is None:
            return self._wait_or_refuse(frame, segment, service, reason, now)
        self._board.place(chosen.host)
        self._board.ask(chosen.host, now)
        self._decide(
            "flow_passed_on",
            segment.flow,
            to=chosen.name,
            reason=reason,
            hops=len(visited),
            report_age=self._board.age_of(chosen.host, now),
        )
        passed = replace_frame(frame, visited=visited, service=service)
        return [ToPeer(chosen.host, passed)]

    def _wait_or_refuse(
        self, frame: Forward, segment: Segment, service: str, reason: str, now: float
    ) -> list[PassthroughEffect]:
        wait = self._gate.expected_wait(reason, len(self._waiting), now)
        if wait is None or wait > LONGEST_WAIT_SECONDS or self._waiting.full:
            return self._refuse(frame, segment, reason, now)
        self._decide(
            "flow_waits",
            segment.flow,
            reason=reason,
            expected=wait,
            ahead=len(self._waiting),
        )
        opening = WaitingOpening(frame, segment, service, now)
        self._waiting.add(opening, self._table.priority_of(segment.flow))
        return []

    def _refuse(
        self, frame: Forward, segment: Segment, reason: str, now: float
    ) -> list[PassthroughEffect]:
        self._decide(
            "flow_refused",
            segment.flow,
            reason=reason,
            hops=len(frame.visited),
            version=self._table.version,
            report_age=now - self._gate.reported_at,
        )
        reset = self._codec.build_reset(segment.flow, segment.acknowledged)
        return [ToCaller(caller_host(segment.flow), reset)]

    def _deliver(
        self, frame: Forward, segment: Segment, flow: PassthroughFlow, now: float
    ) -> list[PassthroughEffect]:
        self._flows.note_caller(segment, flow, now)
        if not segment.opening and (not flow.homes or frame.visited):
            self._register(segment.flow, flow, again=bool(frame.visited))
        effects: list[PassthroughEffect] = [ToBackend(segment.data)]
        if frame.report:
            owned = Owned(segment.flow, self.load_report(now))
            effects.append(ToPeer(frame.origin, owned))
        return effects

    def _learn(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        flow = self._flows.learn(segment, now)
        self._gate.add_found()
        frame = self._asking.pop(segment.flow, None)
        self._decide(
            "flow_found",
            segment.flow,
            origin=frame.origin if frame is not None else None,
            hops=len(frame.visited) if frame is not None else 0,
        )
        if flow.state is FlowState.OPEN:
            self._register(segment.flow, flow)
        if frame is None:
            return []
        return [ToPeer(frame.origin, Owned(segment.flow, self.load_report(now)))]

    def _look_for(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        owner = self._locations.owner_of(segment.flow)
        if owner is not None and owner not in frame.visited:
            visited = [*frame.visited, self._host]
            self._board.ask(owner, now)
            return [ToPeer(owner, replace_frame(frame, visited=visited))]
        if self._host in frame.visited:
            return []
        if self._gate.has_left or self._gate.saw_start:
            return self._ask_next(frame, segment, now)
        self._asking[segment.flow] = frame
        tag = self._offer(frame, segment, now)
        return [ToBackend(self._codec.write_tag(segment.data, tag))]

    def _give_up(self, segment: Segment, hops: int) -> list[PassthroughEffect]:
        """End a flow that no backend server holds, when its caller wants something.

        Every agent in the directory has offered the packet to its server and got it
        back; a silent one would have ended the search without an answer.
        """
        ends = segment.size > 0 and not segment.closing and not segment.reset
        self._decide("flow_not_found", segment.flow, hops=hops, ended=ends)
        if not ends:
            return []
        reset = self._codec.build_reset(segment.flow, segment.acknowledged)
        return [ToCaller(caller_host(segment.flow), reset)]

    def _ask_next(
        self, frame: Forward, segment: Segment, now: float
    ) -> list[PassthroughEffect]:
        visited = [*frame.visited, self._host]
        # A node that has just started does not know which services an address led
        # to before, so the agents of the other services come last.
        services = self._table.possible_services(segment.flow)
        left = [
            agent
            for service in dict.fromkeys([*services, *sorted(self._agents)])
            for agent in rank_agents(
                segment.flow, frame.data_centre, self._agents.get(service, ())
            )
            if agent.host not in visited
        ]
        left.sort(key=lambda agent: self._board.is_suspect(agent.host, now))
        if not left:
            return self._give_up(segment, len(visited))
        self._board.ask(left[0].host, now)
        return [ToPeer(left[0].host, replace_frame(frame, visited=visited))]

    def _offer(self, frame: Forward, segment: Segment, now: float) -> int:
        tag = self._next_tag
        self._next_tag = tag % MAX_TAG + 1
        self._offers[tag] = (frame, segment, now)
        return tag

    def _on_returned(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        offer = self._offers.pop(segment.tag, None) if segment.tag else None
        flow = self._flows.get(segment.flow)
        if offer is None:
            return self._on_flow_lost(segment, flow)
        frame, original, _ = offer
        if self._asking.get(segment.flow) is frame:
            del self._asking[segment.flow]
        if not segment.opening:
            if flow is not None and flow.owns(original):
                return []
            return self._ask_next(frame, original, now)
        if flow is not None and flow.state is FlowState.HALF_OPEN:
            self._flows.drop(segment.flow)
        service = self._service_of(frame, original)
        if service is None:
            return self._refuse(frame, original, "no_route", now)
        return self._pass_on(frame, original, service, "backend_refused", now)

    def _on_flow_lost(
        self, segment: Segment, flow: PassthroughFlow | None
    ) -> list[PassthroughEffect]:
        if flow is None or flow.state is not FlowState.OPEN or segment.opening:
            return []
        if flow.caller_closed or flow.backend_closed:
            self._flows.drop(segment.flow)
            return []
        return self._end_lost(segment.flow, "backend_restarted")

    def _end_lost(self, key: bytes, reason: str) -> list[PassthroughEffect]:
        flow = self._flows.flows[key]
        self._flows.drop(key)
        if flow.state is FlowState.CLOSED or not flow.last_packet:
            return []
        newest = self._codec.decode_from_caller(flow.last_packet)
        self._decide("flow_lost", key, reason=reason, busy=flow.busy_since is not None)
        reset = self._codec.build_reset(key, newest.acknowledged)
        return [ToCaller(caller_host(key), reset)]

    def _register_all(self) -> None:
        for key, flow in self._flows.flows.items():
            if flow.state is FlowState.OPEN:
                self._register(key, flow)

    def _register(self, key: bytes, flow: PassthroughFlow, again: bool = False) -> None:
        service = self._table.service_of(key)
        if service is not None:
            agents = self._agents.get(service, ())
            self._locations.register(key, flow, agents, again)


def replace_frame(frame: Forward, visited: list[str], service: str = "") -> Forward:
    """Return the frame for the next agent, which answers the balancer itself."""
    return Forward(
        frame.origin,
        frame.data_centre,
        frame.version,
        service or frame.service,
        visited,
        True,
        frame.data,
    )


def _answers(effects: list[PassthroughEffect]) -> bool:
    return any(type(e) is ToPeer and type(e.frame) is Owned for e in effects)
