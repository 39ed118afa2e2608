"""A balancer's rules for passthrough flows, free of I/O.

A balancer keeps hints only: which agent owns a flow it has seen. Without a hint a
packet goes to the first agent in the flow's order, which has it or knows who does.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..version.agent_directory import Directory
from ..version.owners import AgentEntry, rank_agents
from ..version.routes import RouteTable
from .load_board import LoadBoard, choose_for_opening
from .passthrough_effects import LogDecision, PassthroughEffect, ToPeer, reset_caller
from .peer_frames import Forward, Load, Owned
from .segments import Segment, SegmentCodec

# About 100 bytes each; at the target size a balancer sees 12,000 flows of its own.
MAX_HINTS = 50_000
# A hint is asked again after this, so that a moved or dead agent is noticed.
HINT_REFRESH_SECONDS = 1.0
# What a starting balancer reads from the platform comes within this; packets that have
# waited for longer have been sent again.
HELD_SECONDS = 1.0
# About 1,300 bytes each; a crowd of a second at the largest deployment of today.
MAX_HELD = 2_000
# Agents that got a packet lately are asked for their load; the rest are not.
INTEREST_SECONDS = 10.0


@dataclass(slots=True)
class _Hint:
    host: str
    confirmed_at: float


class PassthroughRouter:
    """Send callers' packets on to agents.

    Parameters
    ----------
    host, data_centre : str
        IP address and data centre of the balancer.
    board : LoadBoard
        Load of the agents.
    codec : SegmentCodec
        Builds packets.
    log_decision : callable
        Told of each decision: event name, flow key and the inputs.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        board: LoadBoard,
        codec: SegmentCodec,
        log_decision: LogDecision,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._board = board
        self._codec = codec
        self._log_decision = log_decision
        self._table: RouteTable | None = None
        self._directory: Directory | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._hints: dict[bytes, _Hint] = {}
        self._used: dict[str, float] = {}
        self._held: dict[bytes, tuple[Segment, float]] = {}

    @property
    def ready(self) -> bool:
        """Tell whether routes and agents are known."""
        return self._informed and bool(self._agents.by_host)

    @property
    def _informed(self) -> bool:
        return self._table is not None and self._directory is not None

    @property
    def _agents(self) -> Directory:
        return self._directory or Directory()

    @property
    def hints(self) -> int:
        """Return how many flows have a hint."""
        return len(self._hints)

    def set_table(self, table: RouteTable) -> None:
        """Put a newer version of the routes in force."""
        self._table = table

    def set_directory(self, directory: Directory, evacuated: frozenset[str]) -> None:
        """Take the agents, and the data centres that are out."""
        self._directory = directory
        self._evacuated = evacuated
        self._board.keep_only(directory.by_host.keys())

    def interesting(self, now: float) -> list[str]:
        """Return the agents whose load matters to this balancer."""
        for host, at in list(self._used.items()):
            if now - at > INTEREST_SECONDS or host not in self._agents.by_host:
                del self._used[host]
        return list(self._used)

    def dead_agents(self, seconds: float, now: float) -> list[tuple[str, float]]:
        """Return names of agents that have owed an answer for so long, and how long.

        Nobody is called dead while most agents are silent: then it is this balancer
        that is cut off.
        """
        used = self.interesting(now)
        silent = [host for host in used if self._board.is_suspect(host, now)]
        if 2 * len(silent) > len(used):
            return []
        return [
            (self._agents.by_host[host].name, away)
            for host in silent
            if (away := self._board.silent_seconds(host, now)) > seconds
        ]

    def on_caller(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        """Take a packet from a caller."""
        table = self._table
        if table is None or self._directory is None:
            self._hold(segment, now)
            return []
        if segment.opening:
            return self._on_opening(segment, table, now)
        hint = self._hints.get(segment.flow)
        if hint is not None and hint.host in self._agents.by_host:
            ask = now - hint.confirmed_at > HINT_REFRESH_SECONDS
            if ask:
                hint.confirmed_at = now
            return [self._forward(segment, hint.host, table, "", ask, now)]
        service, ranked = self._rank_for(segment.flow, table)
        if not ranked:
            return []
        first = next(
            (a for a in ranked if not self._board.is_suspect(a.host, now)), ranked[0]
        )
        return [self._forward(segment, first.host, table, service, True, now)]

    def release_buffered(self, now: float) -> list[PassthroughEffect]:
        """Take the packets that came before routes and agents were known."""
        if not self._informed or not self._held:
            return []
        held, self._held = self._held, {}
        effects: list[PassthroughEffect] = []
        for segment, at in held.values():
            if now - at <= HELD_SECONDS:
                effects += self.on_caller(segment, now)
        self._log_decision("packets_released", b"", held=len(held))
        return effects

    def on_frame(self, host: str, frame: Owned | Load, now: float) -> None:
        """Take what an agent says."""
        self._board.record_report(host, frame.load, now)
        if type(frame) is Owned:
            self._hints.pop(frame.flow, None)
            self._hints[frame.flow] = _Hint(host, now)
            if len(self._hints) > MAX_HINTS:
                del self._hints[next(iter(self._hints))]

    def _hold(self, segment: Segment, now: float) -> None:
        """Keep the newest packet of a flow until it can be sent on."""
        self._held.pop(segment.flow, None)
        self._held[segment.flow] = (segment, now)
        if len(self._held) > MAX_HELD:
            del self._held[next(iter(self._held))]

    def _rank_for(self, flow: bytes, table: RouteTable) -> tuple[str, list[AgentEntry]]:
        """Return the likeliest service of an open flow that has agents, and those."""
        for service in table.possible_services(flow):
            agents = self._agents.by_service.get(service)
            if agents:
                return service, rank_agents(flow, self._data_centre, agents)
        return "", []

    def _on_opening(
        self, segment: Segment, table: RouteTable, now: float
    ) -> list[PassthroughEffect]:
        service = table.service_of(segment.flow)
        if service is None:
            return self._refuse(segment, "no_route", table, now)
        hint = self._hints.get(segment.flow)
        if hint is not None and not self._board.is_suspect(hint.host, now):
            return [self._forward(segment, hint.host, table, service, True, now)]
        agents = self._agents.by_service.get(service, ())
        ranked = rank_agents(
            segment.flow,
            self._data_centre,
            (agent for agent in agents if agent.data_centre not in self._evacuated),
        )
        home_is_cold = any(
            agent.data_centre == self._data_centre
            and self._board.is_cold(agent.host, now)
            for agent in ranked
        )
        chosen = choose_for_opening(
            ranked,
            self._data_centre,
            self._board,
            (),
            now,
            allow_remote_cold=not home_is_cold,
        )
        if chosen is None and ranked:
            # What is known may be old; the agents themselves decide.
            chosen = ranked[0]
        if chosen is None:
            return self._refuse(segment, "no_backend_server", table, now)
        self._board.record_opening(chosen.host)
        self._log_decision(
            "flow_placed",
            segment.flow,
            to=chosen.name,
            service=service,
            place=ranked.index(chosen),
            version=table.version,
            pressure=self._board.pressure(chosen.host, now),
            report_age=self._board.report_age(chosen.host, now),
        )
        return [self._forward(segment, chosen.host, table, service, True, now)]

    def _refuse(
        self, segment: Segment, reason: str, table: RouteTable, now: float
    ) -> list[PassthroughEffect]:
        self._log_decision(
            "flow_refused", segment.flow, reason=reason, version=table.version
        )
        return [reset_caller(self._codec, segment.flow, segment.acknowledged)]

    def _forward(
        self,
        segment: Segment,
        host: str,
        table: RouteTable,
        service: str,
        ask: bool,
        now: float,
    ) -> ToPeer:
        if ask:
            self._board.expect_answer(host, now)
        self._used[host] = now
        frame = Forward(
            self._host, self._data_centre, table.version, service, [], ask, segment.data
        )
        return ToPeer(host, frame)
