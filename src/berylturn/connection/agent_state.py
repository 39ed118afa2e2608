"""State that the rules of one agent share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..version.agent_directory import DirectoryTrust
from ..version.owners import AgentEntry
from ..version.routes import RouteTable
from .flow_table import FlowTable
from .load_board import LoadBoard
from .opening_gate import OpeningGate
from .passthrough_effects import Decide
from .peer_frames import Forward, LoadReport
from .segments import Segment, SegmentCodec
from .waiting import WaitingOpenings


@dataclass
class AgentState:
    """What an agent for passthrough flows knows.

    Attributes
    ----------
    host : str
        IP address of the agent.
    gate : OpeningGate
        Says which openings are admitted.
    board : LoadBoard
        Load of the siblings.
    flows : FlowTable
        Flows of the backend server.
    codec : SegmentCodec
        Builds packets.
    decide : callable
        Told of each decision: event name, flow key and the inputs.
    directory_trust : callable
        Tells how far `agents` can be relied on at a time.
    table : RouteTable
        Routes in force.
    agents : dict of str to list of AgentEntry
        Agents by service.
    out : frozenset of str
        Data centres that are out.
    newest : list of int
        Newest known revision of each kind of object.
    leaving : bool
        Whether the agent is about to stop.
    waiting : WaitingOpenings
        Openings that wait for room at the backend server.
    """

    host: str
    gate: OpeningGate
    board: LoadBoard
    flows: FlowTable
    codec: SegmentCodec
    decide: Decide
    directory_trust: Callable[[float], DirectoryTrust]
    table: RouteTable = field(default_factory=RouteTable)
    agents: dict[str, list[AgentEntry]] = field(default_factory=dict)
    out: frozenset[str] = frozenset()
    newest: list[int] = field(default_factory=list)
    leaving: bool = False
    waiting: WaitingOpenings = field(default_factory=WaitingOpenings)

    def service_of(self, frame: Forward, segment: Segment) -> str | None:
        """Return the service of a flow by the newer of two tables."""
        if frame.version > self.table.version:
            return frame.service or None
        return self.table.service_of(segment.flow)

    def load_report(self, now: float) -> LoadReport:
        """Return what siblings and balancers are told."""
        report = self.gate.report
        service = report.service if report is not None else ""
        return LoadReport(
            accepting=self.gate.refusal(service, now) is None,
            busy=self.flows.busy,
            running=self.flows.running,
            slots=report.slots if report is not None else 1,
            flows=self.gate.open_flows,
            newest=self.newest,
            leaving=self.leaving,
            cold=self.gate.is_cold(now),
            backend_left=self.gate.has_left,
        )
