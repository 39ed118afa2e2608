"""Rules of a balancer for passthrough flows, without I/O.

A balancer has only a cache of hints: which agent owns a flow. Without a hint it
forwards a packet to the first agent in the flow's order, which owns the flow or finds
the owner.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..version.agent_directory import Directory
from ..version.owners import AgentEntry, rank_agents
from ..version.routes import RouteTable
from .admission.second_offers import SecondOffers
from .candidates import describe_candidates
from .passthrough_effects import LogDecision, PassthroughEffect, ToPeer, reset_caller
from .peer_frames import (
    FIRST_OFFER,
    SECOND_OFFER,
    SINGLE_OFFER,
    Forward,
    Load,
    Owned,
    Refused,
)
from .placement.flow_habits import Habit, HabitBook
from .placement.load_board import LoadBoard, choose_for_opening
from .segments import Segment, SegmentCodec

# About 100 bytes each; at the target size 12,000 flows enter at one balancer.
MAX_HINTS = 50_000
# Age at which a hint is confirmed with its agent, so that a moved flow or a dead agent
# is noticed.
HINT_REFRESH_SECONDS = 1.0
# A starting balancer has its routes and agents from the platform within this time;
# packets buffered for longer have been retransmitted.
BUFFER_TIMEOUT_SECONDS = 1.0
# Packets, about 1,300 bytes each; the openings of one second in the largest
# current deployment.
MAX_BUFFERED = 2_000
# Only agents that were sent a packet within this time are asked for their load.
RECENT_USE_SECONDS = 10.0


@dataclass(slots=True)
class _Hint:
    host: str
    confirmed_at: float


class PassthroughRouter:
    """Forward callers' packets to agents.

    Parameters
    ----------
    host, data_centre : str
        IP address and data centre of the balancer.
    board : LoadBoard
        Load reports of the agents.
    codec : SegmentCodec
        Decodes and builds packets.
    log_decision : callable
        Logs a decision: event name, flow key, and the inputs as keywords.
    mixed_placement : bool
        Whether long flows and flows of one request on the same servers are told apart.
    second_offers : SecondOffers or None
        Openings that may be offered to a second agent; None if none may.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        board: LoadBoard,
        codec: SegmentCodec,
        log_decision: LogDecision,
        mixed_placement: bool = False,
        second_offers: SecondOffers | None = None,
    ) -> None:
        self._habits = HabitBook() if mixed_placement else None
        self._host = host
        self._data_centre = data_centre
        self._board = board
        self._codec = codec
        self._log_decision = log_decision
        self._second_offers = second_offers
        self._table: RouteTable | None = None
        self._directory: Directory | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._hints: dict[bytes, _Hint] = {}
        self._used_at: dict[str, float] = {}
        self._buffered: dict[bytes, tuple[Segment, float]] = {}

    @property
    def ready(self) -> bool:
        """Tell whether routes and at least one agent are known."""
        return self._has_configuration and bool(self._agents.by_host)

    @property
    def _has_configuration(self) -> bool:
        return self._table is not None and self._directory is not None

    @property
    def _agents(self) -> Directory:
        return self._directory or Directory()

    @property
    def hints(self) -> int:
        """Return the number of flows that have a hint."""
        return len(self._hints)

    def set_table(self, table: RouteTable) -> None:
        """Replace the route table by a newer version."""
        self._table = table
        if self._habits is not None:
            self._habits.keep_only(table)

    def set_directory(self, directory: Directory, evacuated: frozenset[str]) -> None:
        """Set the directory of agents, and the evacuated data centres."""
        self._directory = directory
        self._evacuated = evacuated
        self._board.keep_only(directory.by_host.keys())

    def recently_used_agents(self, now: float) -> list[str]:
        """Return the IP addresses of agents that were sent a packet recently."""
        for host, used_at in list(self._used_at.items()):
            if now - used_at > RECENT_USE_SECONDS or host not in self._agents.by_host:
                del self._used_at[host]
        return list(self._used_at)

    def find_unresponsive_agents(
        self, seconds: float, now: float
    ) -> list[tuple[str, float]]:
        """Return agents without an answer for longer than `seconds`, and for how long.

        The result is empty while more than half of the recently used agents do not
        answer: then this balancer itself is probably partitioned.
        """
        used = self.recently_used_agents(now)
        silent = [host for host in used if self._board.is_suspect(host, now)]
        if 2 * len(silent) > len(used):
            return []
        return [
            (self._agents.by_host[host].name, silent_seconds)
            for host in silent
            if (silent_seconds := self._board.silent_seconds(host, now)) > seconds
        ]

    def on_caller(self, segment: Segment, now: float) -> list[PassthroughEffect]:
        """Handle a packet from a caller."""
        table = self._table
        if table is None or self._directory is None:
            self._buffer(segment, now)
            return []
        if segment.opening:
            return self._on_opening(segment, table, now)
        if self._second_offers is not None:
            self._second_offers.record_open(segment.flow)
        hint = self._hints.get(segment.flow)
        if hint is not None and hint.host in self._agents.by_host:
            wants_owner = now - hint.confirmed_at > HINT_REFRESH_SECONDS
            if wants_owner:
                hint.confirmed_at = now
            return [self._forward(segment, hint.host, table, "", wants_owner, now)]
        service, ranked = self._rank_for(segment.flow, table)
        if not ranked:
            return []
        first = next(
            (a for a in ranked if not self._board.is_suspect(a.host, now)), ranked[0]
        )
        return [self._forward(segment, first.host, table, service, True, now)]

    def release_buffered(self, now: float) -> list[PassthroughEffect]:
        """Forward the packets that arrived before routes and agents were known."""
        if not self._has_configuration or not self._buffered:
            return []
        buffered, self._buffered = self._buffered, {}
        effects: list[PassthroughEffect] = []
        for segment, buffered_at in buffered.values():
            if now - buffered_at <= BUFFER_TIMEOUT_SECONDS:
                effects += self.on_caller(segment, now)
        self._log_decision("packets_released", b"", held=len(buffered))
        return effects

    def offer_overdue(self, now: float) -> list[PassthroughEffect]:
        """Offer the openings whose answers are overdue to second agents."""
        offers, table = self._second_offers, self._table
        if offers is None or table is None:
            return []
        effects: list[PassthroughEffect] = []
        for opening in offers.pop_overdue(now):
            segment, service = opening.segment, opening.service
            near = [
                agent
                for agent in self._agents.by_service.get(service, ())
                if agent.data_centre == self._data_centre and not self._evacuated
            ]
            ranked = rank_agents(segment.flow, self._data_centre, near)
            chosen = offers.choose_second(opening, ranked, self._board, now)
            if chosen is None:
                continue
            self._board.record_opening(chosen.host)
            effects.append(
                self._forward(
                    segment, chosen.host, table, service, True, now, SECOND_OFFER
                )
            )
        return effects

    def on_frame(
        self, host: str, frame: Owned | Load | Refused, now: float
    ) -> list[PassthroughEffect]:
        """Handle a frame from an agent."""
        is_answer = type(frame) is not Load or frame.is_answer
        self._board.record_report(host, frame.load, now, is_answer)
        second_offers = self._second_offers
        if type(frame) is Refused:
            is_refused = second_offers is not None and second_offers.record_refusal(
                frame.flow, frame.offered_to, host
            )
            if not is_refused:
                return []
            return [reset_caller(self._codec, frame.flow, frame.acknowledged)]
        if type(frame) is Owned and self._habits is not None:
            self._habits.adopt(frame.flow, frame.habit)
        if type(frame) is Owned and (
            second_offers is None or second_offers.record_owner(frame.flow, host, now)
        ):
            self._hints.pop(frame.flow, None)
            self._hints[frame.flow] = _Hint(host, now)
            if len(self._hints) > MAX_HINTS:
                del self._hints[next(iter(self._hints))]
        return []

    def _buffer(self, segment: Segment, now: float) -> None:
        """Buffer the newest packet of a flow until it can be forwarded."""
        self._buffered.pop(segment.flow, None)
        self._buffered[segment.flow] = (segment, now)
        if len(self._buffered) > MAX_BUFFERED:
            del self._buffered[next(iter(self._buffered))]

    def _rank_for(self, flow: bytes, table: RouteTable) -> tuple[str, list[AgentEntry]]:
        """Return the most likely service of an open flow, and its agents in order."""
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
            return [self._offer(segment, hint.host, table, service, now)]
        ranked, chosen = self._choose_agent(segment.flow, service, now)
        habit = self._habit_of(segment.flow)
        if chosen is None:
            return self._refuse(segment, "no_backend_server", table, now)
        self._board.record_opening(chosen.host, habit is Habit.LONG)
        self._log_decision(
            "flow_placed",
            segment.flow,
            to=chosen.name,
            service=service,
            place=ranked.index(chosen),
            version=table.version,
            pressure=self._board.pressure(chosen.host, now),
            report_age=self._board.report_age(chosen.host, now),
            **self._describe_choice(chosen.host, habit, now),
        )
        return [self._offer(segment, chosen.host, table, service, now)]

    def _choose_agent(
        self, flow: bytes, service: str, now: float
    ) -> tuple[list[AgentEntry], AgentEntry | None]:
        """Return the agents in a flow's order, and the one for its opening if any."""
        agents = self._agents.by_service.get(service, ())
        ranked = rank_agents(
            flow,
            self._data_centre,
            (agent for agent in agents if agent.data_centre not in self._evacuated),
        )
        local_is_cold = self._is_cold_here(ranked, now)
        chosen = choose_for_opening(
            ranked,
            self._data_centre,
            self._board,
            (),
            now,
            allow_remote_cold=not local_is_cold,
            habit=self._habit_of(flow),
        )
        if chosen is None and ranked:
            # The load reports may be stale; the agent itself decides.
            chosen = ranked[0]
        return ranked, chosen

    def _is_cold_here(self, agents: Iterable[AgentEntry], now: float) -> bool:
        return any(
            agent.data_centre == self._data_centre
            and self._board.is_cold(agent.host, now)
            for agent in agents
        )

    def explain(self, flow: bytes, now: float) -> dict[str, object]:
        """Return where an opening of a flow would go now, and why, without sending it.

        Of an open flow it tells the agent that the balancer takes for its holder.
        """
        table = self._table or RouteTable()
        service = table.service_of(flow)
        hint = self._hints.get(flow)
        answer: dict[str, object] = {
            "route": table.route_of(flow).name,
            "version": table.version,
            "service": service,
            "holder": hint.host if hint is not None else None,
        }
        if service is None:
            return {**answer, "refused": "no_route"}
        ranked, chosen = self._choose_agent(flow, service, now)
        if hint is not None and not self._board.is_suspect(hint.host, now):
            to = hint.host
        else:
            to = chosen.host if chosen is not None else None
        return {
            **answer,
            "to": to,
            "refused": None if to else "no_backend_server",
            "candidates": describe_candidates(
                rank_agents(
                    flow, self._data_centre, self._agents.by_service.get(service, ())
                ),
                self._board,
                self._evacuated,
                now,
                self._data_centre if self._is_cold_here(ranked, now) else None,
            ),
        }

    def _offer(
        self, segment: Segment, host: str, table: RouteTable, service: str, now: float
    ) -> ToPeer:
        """Send an opening to an agent, for now to this one only."""
        offers = self._second_offers
        offer = SINGLE_OFFER
        if (
            offers is not None
            and offers.is_on
            and table.route_of(segment.flow).repeatable
        ):
            offer = FIRST_OFFER
            offers.record_opening(segment, service, host, now)
        return self._forward(segment, host, table, service, True, now, offer)

    def _describe_choice(
        self, host: str, habit: Habit, now: float
    ) -> dict[str, object]:
        """Return what mixed placement has decided by, for the log."""
        report = self._board.fresh_report(host, now)
        if habit is Habit.UNKNOWN or report is None:
            return {}
        return {
            "habit": habit.name.lower(),
            "mixed": report.mixed,
            "service_ms": round(report.service_ms, 1),
            "pledged": round(report.pledged, 3),
        }

    def _habit_of(self, flow: bytes) -> Habit:
        return Habit.UNKNOWN if self._habits is None else self._habits.habit_of(flow)

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
        wants_owner: bool,
        now: float,
        offer: int = SINGLE_OFFER,
    ) -> ToPeer:
        if wants_owner:
            self._board.expect_answer(host, now)
        self._used_at[host] = now
        frame = Forward(
            self._host,
            self._data_centre,
            table.version,
            service,
            [],
            wants_owner,
            segment.data,
            habit=int(self._habit_of(segment.flow)) if segment.opening else 0,
            offer=offer,
        )
        return ToPeer(host, frame)
