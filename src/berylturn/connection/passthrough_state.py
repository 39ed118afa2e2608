"""State shared by the rules of one agent for passthrough flows."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..version.agent_directory import DirectoryTrust
from ..version.owners import AgentEntry
from ..version.routes import RouteTable
from .admission.caller_shares import CallerShares
from .admission.opening_gate import OpeningGate
from .admission.opening_queue import OpeningQueue
from .flow_table import FlowTable
from .passthrough_effects import LogDecision
from .peer_frames import MAX_FEED_LOAD, Forward, LoadReport, Owned
from .placement.flow_habits import Habit
from .placement.flow_watch import FlowWatch
from .placement.load_board import LoadBoard
from .placement.outlier_watch import OutlierWatch
from .placement.work_meter import DEFAULT_SERVICE_SECONDS
from .recovery.backend_reports import ProcessStart
from .recovery.server_signs import ServerSigns
from .segments import Segment, SegmentCodec


@dataclass
class PassthroughState:
    """State shared by the rules of one agent for passthrough flows.

    Attributes
    ----------
    host : str
        IP address of the agent.
    gate : OpeningGate
        Admission control for openings.
    board : LoadBoard
        Load reports of the siblings.
    flows : FlowTable
        Known flows of the backend server.
    codec : SegmentCodec
        Decodes and builds packets.
    log_decision : callable
        Logs a decision: event name, flow key, and the inputs as keywords.
    directory_trust : callable
        Returns how complete `agents` is at a time on the monotonic clock.
    process : ProcessStart
        Start of this process.
    outliers : OutlierWatch
        Judges the backend server by what it does with its flows.
    table : RouteTable
        Routes in force.
    agents : dict of str to list of AgentEntry
        Agents by service.
    evacuated : frozenset of str
        Evacuated data centres.
    newest : list of int
        Newest known revision of each kind of object.
    stopping : bool
        Whether the agent is shutting down.
    watch : FlowWatch or None
        What the flows show of their habits; None for plain placement.
    queue : OpeningQueue
        Openings that wait for capacity at the backend server.
    signs : ServerSigns
        Signs of life of the backend server.
    shares : CallerShares or None
        Shares of callers while openings wait; None if callers are not told apart.
    """

    host: str
    gate: OpeningGate
    board: LoadBoard
    flows: FlowTable
    codec: SegmentCodec
    log_decision: LogDecision
    directory_trust: Callable[[float], DirectoryTrust]
    process: ProcessStart
    outliers: OutlierWatch
    table: RouteTable = field(default_factory=RouteTable)
    agents: dict[str, list[AgentEntry]] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    newest: list[int] = field(default_factory=list)
    stopping: bool = False
    watch: FlowWatch | None = None
    queue: OpeningQueue = field(default_factory=OpeningQueue)
    shares: CallerShares | None = None
    signs: ServerSigns = field(init=False)

    def __post_init__(self) -> None:
        self.signs = ServerSigns(self.process)

    def server_missing(self, now: float) -> bool:
        """Tell whether the backend server has shown no sign of life to this process."""
        return self.signs.is_missing(now)

    def data_centres(self) -> dict[str, str]:
        """Return the data centre of each agent in use, by IP address."""
        return {
            agent.host: agent.data_centre
            for agents in self.agents.values()
            for agent in agents
        }

    def service_of(self, frame: Forward, segment: Segment) -> str | None:
        """Return a flow's service by the newer of the sender's and the own routes."""
        if frame.version > self.table.version:
            return frame.service or None
        return self.table.service_of(segment.flow)

    def outstanding(self, now: float) -> int:
        """Return the number of requests in progress, expected or queued here."""
        return self.expected_requests(now) + len(self.queue)

    def expected_requests(self, now: float) -> int:
        """Return the number of requests in progress, and expected on new flows."""
        return self.flows.running + self.flows.count_awaiting_request(now)

    def is_mixed(self, now: float) -> bool:
        """Tell whether this server or a sibling gets feeds beside single requests."""
        if self.watch is None:
            return False
        return self.watch.mix.is_mixed or self.board.has_mixed_flows(now)

    def learn_habit(self, frame: Forward, flow: bytes) -> Habit:
        """Return a flow's habit, with what the sender of its opening knows."""
        if self.watch is None:
            return Habit.UNKNOWN
        self.watch.habits.adopt(flow, frame.habit)
        return self.watch.habits.habit_of(flow)

    def announce(self, flow: bytes, now: float) -> Owned:
        """Return the frame that tells a balancer who owns a flow."""
        habit = Habit.UNKNOWN
        if self.watch is not None:
            habit = self.watch.habits.habit_of(flow)
        return Owned(flow, self.load_report(now), int(habit))

    def load_report(self, now: float) -> LoadReport:
        """Return the load report for siblings and balancers."""
        report = self.gate.report
        service = report.service if report is not None else ""
        meter, pledged, feed_load, mixed = self.flows.meter, 0.0, 0, False
        service_seconds = meter.service_seconds or 0.0
        if self.watch is not None:
            mixed, pledges = self.watch.mix.is_mixed, self.watch.pledges
            if self.is_mixed(now):
                service_seconds = meter.steady_seconds or 0.0
            work = meter.steady_seconds or DEFAULT_SERVICE_SECONDS
            pledged = pledges.open_feeds * pledges.rate * work
            feed_load = min(MAX_FEED_LOAD, int(1e6 * pledges.rate * work))
        return LoadReport(
            accepting=self.gate.refusal(service, now) is None,
            busy=self.flows.busy,
            running=self.flows.running,
            slots=report.slots if report is not None else 1,
            flows=self.gate.open_flows,
            newest=self.newest,
            stopping=self.stopping,
            cold=self.gate.is_cold(now),
            backend_left=self.gate.has_left,
            outstanding=self.outstanding(now) + self.outliers.aversion(now),
            ejected_ms=int(1000 * self.outliers.ejected_seconds(now)),
            failed_percent=round(100 * self.outliers.failed_share),
            answer_age_ms=self.outliers.answer_age_ms(now),
            service_ms=1000 * service_seconds,
            short_flows=meter.has_short_flows,
            pledged=pledged,
            feed_load=feed_load,
            mixed=mixed,
        )
