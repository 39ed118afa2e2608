"""Daemon beside a backend server that carries flows without a token."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..connection.load_board import LoadBoard
from ..connection.opening_gate import BackendReport, GateBounds, OpeningGate
from ..connection.passthrough import PassthroughAgent
from ..connection.passthrough_effects import PassthroughEffect, ToBackend
from ..connection.peer_frames import (
    Findings,
    Forward,
    Inquiry,
    Load,
    LoadReport,
    Owned,
    PeerFrame,
    Probe,
    Registered,
)
from ..errors import PacketError, PlatformError
from ..version.agent_directory import AgentDirectory, Directory
from ..version.owners import AgentEntry
from ..version.routes import ServiceLimits
from .agent_entries import EntryKeeper
from .http_server import Handler
from .logs import log_event, log_warning
from .object_view import Kind
from .passthrough_node import PassthroughNode
from .sockets import Address, open_udp

REPORT_SECONDS = 0.5
# Peers in other data centres hear every so many reports; bytes between are dear.
FAR_PERIOD = 2
# Registrations gather for a moment, so that a crowd of new flows is one frame.
NEWS_SECONDS = 0.02
SWEEP_SECONDS = 1.0
# Openings that wait are looked at this often.
RELEASE_SECONDS = 0.03
# Balancers that hear of this agent's load, of those that sent it something lately.
MAX_BALANCERS = 64
BALANCER_SECONDS = 10.0
# Siblings that hear of this agent's load where a service is large.
MAX_SIBLINGS = 16
# The last frames leave before the process does.
STOP_SECONDS = 0.05


class PassthroughAgentDaemon:
    """Wire the rules of an agent to its sockets.

    Parameters
    ----------
    node : PassthroughNode
        Sockets, view and logs.
    """

    def __init__(self, node: PassthroughNode) -> None:
        self._node = node
        self._gate = OpeningGate(_read_bounds(node), node.started)
        self._board = LoadBoard()
        self._rules = PassthroughAgent(
            node.host,
            self._gate,
            self._board,
            node.codec,
            node.decide,
            lambda seconds: node.metrics.time("response", seconds),
            node.sync.directory_trust,
        )
        self._directory = AgentDirectory(self._board.has_left)
        self._keeper = EntryKeeper(node.settings.node.name, node.view, node.store)
        self._backend: asyncio.DatagramTransport | None = None
        self._balancers: dict[str, _Balancer] = {}
        self._siblings: list[AgentEntry] = []
        self._told_accepting: bool | None = None
        self._news_due = False
        self._release_timer: asyncio.TimerHandle | None = None

    async def run(self, heartbeats: Handler, readiness: Handler) -> None:
        """Serve until SIGTERM."""
        node = self._node
        section = node.settings.opaque_backend
        await open_udp(section.outbound, self._on_backend)
        loop = asyncio.get_running_loop()
        self._backend, _ = await loop.create_datagram_endpoint(
            lambda: _BackendSocket(self._on_refused),
            local_addr=(node.bind_host, 0),
            remote_addr=section.address,
        )
        node.known_peers = lambda: [*self._balancers, *(s.host for s in self._siblings)]
        node.describe = self._describe
        node.on_settings = lambda: self._gate.set_bounds(_read_bounds(node))
        await node.open(
            self._on_packet, self._on_frame, self._on_change, heartbeats, readiness
        )
        node.tasks.start(self._keeper.run(), "entry")
        node.tasks.start(self._report(), "report")
        node.tasks.start(self._sweep(), "sweep")
        await node.tasks.stop.wait()
        await self._stop()

    def on_report(self, report: BackendReport) -> bool:
        """Take a heartbeat; return whether to acknowledge it."""
        node = self._node
        host, port = node.settings.opaque_backend.address
        if report.address != f"{host}:{port}":
            log_warning("heartbeat_of_other", id=report.identifier, at=report.address)
            return False
        before = self._gate.report
        self._set_limits(report.service)
        restarted = self._gate.record_report(report, node.now())
        held = self._gate.report
        if held is not None and (before is None or _differ(before, held)):
            self._on_state(held, restarted)
        if restarted:
            self._carry_out(self._rules.on_backend_restarted())
        self._carry_out(self._rules.release_waiting(node.now()))
        self._tell_if_changed()
        if not self._gate.is_current(report):
            log_warning(
                "heartbeat_doubted",
                id=report.identifier,
                started_ms=report.started_ms,
                sequence=report.sequence,
                known_start_ms=held.started_ms if held is not None else None,
            )
            return False
        return True

    def on_leave(self, identifier: str) -> bool:
        """Take the last call of a backend server; return whether to acknowledge it."""
        known = self._gate.deregister(identifier)
        log_event("backend_left", id=identifier, known=known)
        if known:
            self._keeper.want(None)
            self._tell_if_changed()
        return True

    def _on_state(self, report: BackendReport, restarted: bool) -> None:
        node = self._node
        log_event(
            "backend_state",
            id=report.identifier,
            service=report.service,
            draining=report.draining,
            cold_seconds=report.cold_seconds,
            started_ms=report.started_ms,
            sequence=report.sequence,
            restarted=restarted,
        )
        entry = AgentEntry(
            node.settings.node.name,
            node.host,
            node.settings.node.data_centre,
            report.service,
            float(report.slots),
        )
        self._keeper.want(entry)
        self._read_directory()

    def _describe(self) -> dict[str, object]:
        now = self._node.now()
        report = self._gate.report
        service = report.service if report is not None else ""
        return {
            "role": "agent",
            "backend": report,
            "report_age": round(now - self._gate.reported_at, 3),
            "refuses": self._gate.refusal(service, now),
            "cold": self._gate.is_cold(now),
            "flows": len(self._rules.flows),
            "running": self._rules.running,
            "waiting": self._rules.waiting,
            "registered": self._rules.registered,
            "load": self._board.describe(now),
        }

    def _on_packet(self, data: bytes, address: Address) -> None:
        # Callers' packets come through balancers; nothing is expected here.
        self._node.metrics.count("dropped.unexpected")

    def _on_backend(self, data: bytes, address: Address) -> None:
        try:
            segment = self._node.codec.decode_from_backend(data)
        except PacketError as error:
            self._node.drop("backend", error)
            return
        self._carry_out(self._rules.on_backend(segment, self._node.now()))

    def _on_refused(self, error: Exception) -> None:
        log_warning("backend_refused", error=str(error))
        self._gate.on_connection_refused(self._node.now())
        self._carry_out(self._rules.on_backend_down("backend_refused"))
        self._tell_if_changed()

    def _on_frame(self, host: str, frame: PeerFrame) -> None:
        now = self._node.now()
        if type(frame) is Forward:
            self._on_forward(frame, now)
        elif type(frame) is Registered:
            self._rules.on_registered(host, frame.flows, now)
        elif type(frame) is Load:
            self._board.record_report(host, frame.load, now)
            self._node.sync.note_peer(host, frame.load.newest)
        elif type(frame) is Probe:
            self._note_balancer(host, frame.data_centre, now)
            if frame.wants_load:
                self._node.send(host, Load(self._rules.load_report(now)))
            self._node.sync.note_balancer(host, frame)
        elif type(frame) is Owned:
            self._board.record_report(host, frame.load, now)
        elif type(frame) is Inquiry:
            self._carry_out(self._rules.on_inquiry(host, frame.flows))
        elif type(frame) is Findings:
            self._carry_out(self._rules.on_findings(host, frame, now))

    def _on_forward(self, frame: Forward, now: float) -> None:
        try:
            segment = self._node.codec.decode_from_caller(frame.data)
        except PacketError as error:
            self._node.drop("forwarded", error)
            return
        self._note_balancer(frame.origin, frame.data_centre, now)
        if frame.version > self._node.table.version:
            self._node.sync.pull_from(frame.origin)
        self._carry_out(self._rules.on_forward(frame, segment, now))

    def _note_balancer(self, host: str, data_centre: str, now: float) -> None:
        self._balancers.pop(host, None)
        self._balancers[host] = _Balancer(data_centre, now)
        if len(self._balancers) > MAX_BALANCERS:
            del self._balancers[next(iter(self._balancers))]

    def _carry_out(self, effects: list[PassthroughEffect]) -> None:
        for effect in effects:
            if type(effect) is ToBackend:
                self._backend.sendto(effect.data)
        self._node.carry_out(effects)
        if self._rules.waiting and self._release_timer is None:
            loop = asyncio.get_running_loop()
            self._release_timer = loop.call_later(RELEASE_SECONDS, self._release)
        if not self._news_due:
            self._news_due = True
            asyncio.get_running_loop().call_later(NEWS_SECONDS, self._send_news)

    def _release(self) -> None:
        self._release_timer = None
        self._carry_out(self._rules.release_waiting(self._node.now()))
        self._tell_if_changed()

    def _send_news(self) -> None:
        self._news_due = False
        self._node.carry_out(self._rules.pop_queued_frames())

    def _on_change(self, kind: Kind) -> None:
        node = self._node
        self._rules.set_newest(node.view.newest)
        if kind is Kind.CONFIGURATION:
            self._rules.set_table(node.table)
            report = self._gate.report
            if report is not None:
                self._set_limits(report.service)
        else:
            own = node.settings.node.data_centre
            self._gate.set_evacuated(own in node.out, node.now())
            self._read_directory()
            self._tell_if_changed()

    def _set_limits(self, service: str) -> None:
        limits = self._node.table.services.get(service, ServiceLimits())
        self._gate.set_limits(limits, self._node.now())

    def _read_directory(self) -> None:
        entries = self._node.read_agents()
        self._set_directory(self._directory.replace(entries, self._node.now()))

    def _set_directory(self, directory: Directory) -> None:
        node = self._node
        report = self._gate.report
        if self._directory.lapsed:
            log_event("entries_lapsed", names=self._directory.lapsed)
        self._board.keep_only(directory.by_host.keys())
        self._rules.set_agents(directory.by_service, node.out)
        service = report.service if report is not None else ""
        siblings = [
            entry
            for entry in directory.by_service.get(service, ())
            if entry.host != node.host
        ]
        self._siblings = _next_in_ring(siblings, node.settings.node.name)

    def _tell_if_changed(self) -> None:
        load = self._rules.load_report(self._node.now())
        if load.accepting != self._told_accepting:
            self._tell(load, far=True)

    def _tell(self, load: LoadReport, far: bool) -> None:
        self._told_accepting = load.accepting
        own = self._node.settings.node.data_centre
        peers = [(sibling.host, sibling.data_centre) for sibling in self._siblings]
        peers += [(host, known.data_centre) for host, known in self._balancers.items()]
        frame = Load(load)
        for host, data_centre in peers:
            if far or data_centre == own:
                self._node.send(host, frame)

    async def _report(self) -> None:
        node = self._node
        for turn in itertools.count():
            await asyncio.sleep(REPORT_SECONDS)
            now = node.now()
            self._rules.smooth_load(now)
            directory = self._directory.expire(now)
            if directory is not None:
                self._set_directory(directory)
            for host, known in list(self._balancers.items()):
                if now - known.heard_at > BALANCER_SECONDS:
                    del self._balancers[host]
            self._tell(self._rules.load_report(now), far=turn % FAR_PERIOD == 0)
            node.metrics.gauge("flows", len(self._rules.flows))
            node.metrics.gauge("registered", self._rules.registered)
            node.metrics.gauge("running", self._rules.running)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            longest = self._node.settings.opaque_backend.longest_flow
            self._rules.sweep(self._node.now(), longest.total_seconds())

    async def _stop(self) -> None:
        node = self._node
        self._carry_out(self._rules.stop(node.now()))
        self._tell(self._rules.load_report(node.now()), far=True)
        log_event(
            "stopping", flows=len(self._rules.flows), backend_left=self._gate.has_left
        )
        if self._gate.has_left and not self._keeper.removed:
            try:
                await self._keeper.write()
            except PlatformError as error:
                log_warning("entry_not_removed", error=str(error))
        await asyncio.sleep(STOP_SECONDS)
        await node.close()


@dataclass(frozen=True, slots=True)
class _Balancer:
    data_centre: str
    heard_at: float


class _BackendSocket(asyncio.DatagramProtocol):
    def __init__(self, on_refused: Callable[[Exception], None]) -> None:
        self._on_refused = on_refused

    def error_received(self, exc: Exception) -> None:
        if isinstance(exc, ConnectionRefusedError):
            self._on_refused(exc)


def _read_bounds(node: PassthroughNode) -> GateBounds:
    section = node.settings.opaque_backend
    return GateBounds(
        section.cold_factor, section.cold_slack, section.heartbeat.total_seconds()
    )


def _differ(before: BackendReport, after: BackendReport) -> bool:
    return (
        before.started_ms != after.started_ms
        or before.draining != after.draining
        or before.service != after.service
        or before.slots != after.slots
    )


def _next_in_ring(agents: list[AgentEntry], name: str) -> list[AgentEntry]:
    """Return some agents that follow a name, so that each is told by as many."""
    ordered = sorted(agents, key=lambda agent: (agent.name <= name, agent.name))
    return ordered[:MAX_SIBLINGS]
