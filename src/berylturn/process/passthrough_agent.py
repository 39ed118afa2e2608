"""Agent daemon for passthrough flows; it runs beside one backend server."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import epoch_milliseconds
from ..connection.admission.caller_shares import CallerShares
from ..connection.admission.opening_gate import GateBounds, OpeningGate
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
from ..connection.placement.load_board import LoadBoard
from ..connection.placement.outliers import OutlierRules, Standing
from ..connection.recovery.backend_reports import BackendReport, OwnServer, ProcessStart
from ..errors import PacketError, PlatformError
from ..version.agent_directory import AgentDirectory, Directory
from ..version.owners import AgentEntry
from ..version.routes import ServiceLimits
from .agent_entries import EntryWriter
from .http_server import Handler
from .logs import log_event, log_warning
from .object_view import Kind
from .passthrough_node import PassthroughNode
from .sockets import Address, open_udp

REPORT_SECONDS = 0.5
# Siblings in other data centres get every second report, since traffic between data
# centres is expensive. Balancers there get changes of state; of servers that they use,
# answers and probes tell them the load.
REMOTE_REPORT_INTERVAL = 2
# Registrations and inquiries are batched, so that a burst of new flows takes one frame.
BATCH_SECONDS = 0.02
SWEEP_SECONDS = 1.0
# Minimum interval of the load reports to siblings while each opening is a request.
SIBLING_REPORT_SECONDS = 0.1
# Interval between checks of the queued openings.
QUEUE_CHECK_SECONDS = 0.03
# Interval between checks of the searches for owners of flows.
SEARCH_CHECK_SECONDS = 0.05
# Maximum number of balancers that get load reports: those whose frames are newest.
MAX_BALANCERS = 64
# A balancer that sends nothing for this long gets no more load reports.
BALANCER_TIMEOUT_SECONDS = 10.0
# Maximum number of agents of the same service that get load reports, and of those in
# other data centres; they bound the traffic of a large service.
MAX_SIBLINGS = 16
MAX_REMOTE_SIBLINGS = 4
# Delay before the process ends, so that the last frames are sent.
STOP_DELAY_SECONDS = 0.05


class PassthroughAgentDaemon:
    """Connect the passthrough logic of an agent to its sockets and timers.

    Parameters
    ----------
    node : PassthroughNode
        Sockets, copy of the platform's objects, and logs.
    """

    def __init__(self, node: PassthroughNode) -> None:
        self._node = node
        process = _find_process_start(node)
        self._gate = OpeningGate(_build_gate_bounds(node), process)
        self._board = LoadBoard()
        tells_callers_apart = node.settings.fairness.callers == "address"
        self._shares = CallerShares() if tells_callers_apart else None
        self._agent = PassthroughAgent(
            node.host,
            self._gate,
            self._board,
            node.codec,
            node.log_decision,
            lambda seconds: node.metrics.time("response", seconds),
            node.sync.directory_trust,
            process,
            _build_outlier_rules(node),
            self._shares,
            node.settings.placement.policy == "mixed",
        )
        self._sent_ejected = False
        self._directory = AgentDirectory(
            lambda host: (
                self._board.has_left(host)
                or self._agent.has_lost_power(host, node.now())
            )
        )
        self._entry_writer = EntryWriter(node.settings.node.name, node.view, node.store)
        self._backend_transport: asyncio.DatagramTransport | None = None
        self._balancers: dict[str, _Balancer] = {}
        self._siblings: list[AgentEntry] = []
        self._last_sent_state: tuple[bool, bool] | None = None
        self._batch_scheduled = False
        self._sibling_report_scheduled = False
        self._queue_timer: asyncio.TimerHandle | None = None
        self._search_timer: asyncio.TimerHandle | None = None

    async def run(self, heartbeats: Handler, readiness: Handler) -> None:
        """Serve until SIGTERM."""
        node = self._node
        backend_settings = node.settings.opaque_backend
        # What the backend server sends is passed on to callers at once.
        await node.open_caller_socket(self._on_unexpected_packet)
        await open_udp(backend_settings.outbound, self._on_backend_packet)
        loop = asyncio.get_running_loop()
        self._backend_transport, _ = await loop.create_datagram_endpoint(
            lambda: _BackendProtocol(self._on_backend_refused),
            local_addr=(node.bind_host, 0),
            remote_addr=backend_settings.address,
        )
        node.list_known_peers = lambda: [
            *self._balancers,
            *(sibling.host for sibling in self._siblings),
        ]
        node.describe = self._describe_state
        node.link.follow_board(self._board)
        node.explain = lambda flow: self._agent.explain(
            flow, node.settings.node.data_centre, node.now()
        )
        node.on_settings_reloaded = lambda: self._gate.set_bounds(
            _build_gate_bounds(node)
        )
        await node.open(
            self._on_frame,
            self._on_objects_changed,
            heartbeats,
            readiness,
        )
        node.tasks.start(self._entry_writer.run, "entry")
        node.tasks.start(self._run_reports, "report")
        node.tasks.start(self._run_sweeps, "sweep")
        await node.tasks.stop_requested.wait()
        await self._stop()

    def on_heartbeat(self, report: BackendReport) -> bool:
        """Handle a heartbeat; return whether to acknowledge it."""
        node = self._node
        own = self._own_server
        if not own.is_sender_of(report):
            log_warning(
                "heartbeat_of_other",
                id=report.identifier,
                at=report.address,
                service=report.service,
                own_service=own.service,
            )
            return False
        before = self._gate.report
        self._set_limits(report.service)
        restarted = self._gate.record_report(
            report, node.now(), service_known=own.service is not None
        )
        current = self._gate.report
        if current is not None and (
            before is None or _has_state_changed(before, current)
        ):
            self._apply_backend_state(current, restarted)
        self._send_effects(self._agent.on_backend_report(report, node.now()))
        if restarted:
            self._agent.forget_outcomes(node.now())
            self._send_effects(self._agent.on_backend_restarted())
        self._send_effects(self._agent.admit_queued(node.now()))
        self._send_load_if_changed()
        if not self._gate.is_current(report):
            log_warning(
                "heartbeat_doubted",
                id=report.identifier,
                started_ms=report.started_ms,
                sequence=report.sequence,
                known_start_ms=current.started_ms if current is not None else None,
            )
            return False
        return True

    def on_deregistration(self, identifier: str) -> bool:
        """Handle a deregistration; return whether to acknowledge it."""
        is_current = self._gate.deregister(identifier)
        has_left = self._gate.has_left
        log_event("backend_left", id=identifier, known=is_current, left=has_left)
        if is_current and has_left:
            self._entry_writer.set_entry(None)
        if is_current:
            self._send_load_if_changed()
        return True

    @property
    def _own_server(self) -> OwnServer:
        section = self._node.settings.opaque_backend
        host, port = section.address
        return OwnServer(f"{host}:{port}", section.service or None)

    def _apply_backend_state(self, report: BackendReport, restarted: bool) -> None:
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
            saw_start=self._gate.saw_start,
        )
        entry = AgentEntry(
            node.settings.node.name,
            node.host,
            node.settings.node.data_centre,
            report.service,
            float(report.slots),
        )
        self._agent.set_slots(report.slots)
        self._entry_writer.set_entry(entry)
        self._refresh_directory()

    def _describe_state(self) -> dict[str, object]:
        now = self._node.now()
        report = self._gate.report
        service = report.service if report is not None else ""
        return {
            "role": "agent",
            "backend": report,
            "report_age": round(now - self._gate.reported_at, 3),
            "refuses": self._gate.refusal(service, now),
            "cold": self._gate.is_cold(now),
            "flows": len(self._agent.flows),
            "running": self._agent.running,
            "waiting": self._agent.queued,
            "standing": self._agent.standing.value,
            "failed_share": round(self._agent.failed_share, 3),
            "registered": self._agent.registered,
            "load": self._board.describe(now),
        }

    def _on_unexpected_packet(self, data: bytes, address: Address) -> None:
        # Callers' packets come through balancers, so none is expected on this socket.
        self._node.metrics.count("dropped.unexpected")

    def _on_backend_packet(self, data: bytes, address: Address) -> None:
        try:
            segment = self._node.codec.decode_from_backend(data)
        except PacketError as error:
            self._node.record_drop("backend", error)
            return
        self._send_effects(self._agent.on_backend(segment, self._node.now()))
        self._send_load_if_judged()

    def _on_backend_refused(self, error: Exception) -> None:
        log_warning("backend_refused", error=str(error))
        self._gate.on_connection_refused(self._node.now())
        self._send_effects(self._agent.on_backend_down("backend_refused"))
        self._send_load_if_changed()

    def _on_frame(self, host: str, frame: PeerFrame) -> None:
        now = self._node.now()
        if type(frame) is Forward:
            self._on_forward(frame, now)
        elif type(frame) is Registered:
            self._agent.on_registered(host, frame.flows, now)
        elif type(frame) is Load:
            self._board.record_report(host, frame.load, now, frame.is_answer)
            if frame.load.ejected_ms:
                self._send_effects(self._agent.on_ejected_sibling(now))
                self._send_load_if_judged()
            self._node.sync.handle_peer_revisions(host, frame.load.newest)
        elif type(frame) is Probe:
            self._record_balancer(host, frame.data_centre, now)
            if frame.wants_load:
                self._node.send(host, Load(self._agent.load_report(now)))
            self._node.sync.handle_peer_status(host, frame)
        elif type(frame) is Owned:
            self._board.record_report(host, frame.load, now)
        elif type(frame) is Inquiry:
            self._send_effects(self._agent.on_inquiry(host, frame.flows, now))
        elif type(frame) is Findings:
            self._send_effects(self._agent.on_findings(host, frame, now))

    def _on_forward(self, frame: Forward, now: float) -> None:
        try:
            segment = self._node.codec.decode_from_caller(frame.data)
        except PacketError as error:
            self._node.record_drop("forwarded", error)
            return
        self._record_balancer(frame.origin, frame.data_centre, now)
        if frame.version > self._node.table.version:
            self._node.sync.pull_from(frame.origin)
        self._send_effects(self._agent.on_forward(frame, segment, now))

    def _record_balancer(self, host: str, data_centre: str, now: float) -> None:
        self._balancers.pop(host, None)
        self._balancers[host] = _Balancer(data_centre, now)
        self._node.frames.set_data_centre(host, data_centre)
        if len(self._balancers) > MAX_BALANCERS:
            del self._balancers[next(iter(self._balancers))]

    def _send_effects(self, effects: list[PassthroughEffect]) -> None:
        for effect in effects:
            if type(effect) is ToBackend:
                self._backend_transport.sendto(effect.data)
        self._node.send_effects(effects)
        if self._agent.queued and self._queue_timer is None:
            loop = asyncio.get_running_loop()
            self._queue_timer = loop.call_later(QUEUE_CHECK_SECONDS, self._admit_queued)
        if self._agent.is_searching and self._search_timer is None:
            loop = asyncio.get_running_loop()
            self._search_timer = loop.call_later(
                SEARCH_CHECK_SECONDS, self._continue_searches
            )
        if self._agent.has_short_flows and not self._sibling_report_scheduled:
            self._sibling_report_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(SIBLING_REPORT_SECONDS, self._report_to_siblings)
        if not self._batch_scheduled:
            self._batch_scheduled = True
            asyncio.get_running_loop().call_later(BATCH_SECONDS, self._send_batch)

    def _admit_queued(self) -> None:
        self._queue_timer = None
        self._send_effects(self._agent.admit_queued(self._node.now()))
        self._send_load_if_changed()

    def _continue_searches(self) -> None:
        self._search_timer = None
        self._send_effects(self._agent.continue_searches(self._node.now()))

    def _report_to_siblings(self) -> None:
        """Send siblings the load while each opening is a request.

        They pass on what they cannot process, and a request lasts only milliseconds.
        """
        self._sibling_report_scheduled = False
        frame = Load(self._agent.load_report(self._node.now()), is_answer=False)
        for sibling in self._siblings:
            self._node.send(sibling.host, frame)

    def _send_batch(self) -> None:
        self._batch_scheduled = False
        self._node.send_effects(self._agent.pop_queued_frames())

    def _on_objects_changed(self, kind: Kind) -> None:
        node = self._node
        self._agent.set_newest(node.view.newest)
        if kind is Kind.CONFIGURATION:
            self._agent.set_table(node.table)
            report = self._gate.report
            if report is not None:
                self._set_limits(report.service)
        else:
            own_data_centre = node.settings.node.data_centre
            self._gate.set_evacuated(own_data_centre in node.evacuated, node.now())
            self._refresh_directory()
            self._send_load_if_changed()

    def _set_limits(self, service: str) -> None:
        limits = self._node.table.services.get(service, ServiceLimits())
        self._gate.set_limits(limits, self._node.now())

    def _refresh_directory(self) -> None:
        entries = self._node.read_agent_entries()
        self._apply_directory(self._directory.replace(entries, self._node.now()))

    def _apply_directory(self, directory: Directory) -> None:
        node = self._node
        report = self._gate.report
        if self._directory.lapsed:
            log_event("entries_lapsed", names=self._directory.lapsed)
        self._board.keep_only(directory.by_host.keys())
        self._agent.set_agents(directory.by_service, node.evacuated)
        service = report.service if report is not None else ""
        siblings = [
            entry
            for entry in directory.by_service.get(service, ())
            if entry.host != node.host
        ]
        self._siblings = select_siblings(
            siblings, node.settings.node.name, node.settings.node.data_centre
        )

    def _send_load_if_changed(self) -> None:
        load = self._agent.load_report(self._node.now())
        if (load.accepting, load.cold) != self._last_sent_state:
            self._send_load(load, remote_siblings=True, remote_balancers=True)

    def _send_load_if_judged(self) -> None:
        """Tell all peers when the server is left out, or no longer."""
        if self._agent.is_ejected == self._sent_ejected:
            return
        self._sent_ejected = self._agent.is_ejected
        load = self._agent.load_report(self._node.now())
        self._send_load(load, remote_siblings=True, remote_balancers=True)

    def _send_periodic_load(self, report_number: int) -> None:
        """Send peers near by the load, and all peers a state that time has changed."""
        load = self._agent.load_report(self._node.now())
        changed = (load.accepting, load.cold) != self._last_sent_state
        self._send_load(
            load,
            remote_siblings=changed or report_number % REMOTE_REPORT_INTERVAL == 0,
            remote_balancers=changed,
        )

    def _send_load(
        self, load: LoadReport, remote_siblings: bool, remote_balancers: bool
    ) -> None:
        """Send a load report to peers near by, and to those elsewhere if wanted."""
        self._last_sent_state = (load.accepting, load.cold)
        own_data_centre = self._node.settings.node.data_centre
        frame = Load(load, is_answer=False)
        for sibling in self._siblings:
            if remote_siblings or sibling.data_centre == own_data_centre:
                self._node.send(sibling.host, frame)
        for host, balancer in self._balancers.items():
            if remote_balancers or balancer.data_centre == own_data_centre:
                self._node.send(host, frame)

    async def _run_reports(self) -> None:
        node = self._node
        for report_number in itertools.count():
            await asyncio.sleep(REPORT_SECONDS)
            now = node.now()
            self._agent.smooth_load(now)
            self._send_effects(self._agent.judge_server(now))
            self._send_load_if_judged()
            directory = self._directory.expire(now)
            if directory is not None:
                self._apply_directory(directory)
            for host, balancer in list(self._balancers.items()):
                if now - balancer.last_frame_at > BALANCER_TIMEOUT_SECONDS:
                    del self._balancers[host]
            self._send_periodic_load(report_number)
            node.metrics.gauge("flows", len(self._agent.flows))
            node.metrics.gauge("registered", self._agent.registered)
            node.metrics.gauge("running", self._agent.running)
            node.metrics.gauge("searches", self._agent.searches)
            is_in_use = self._agent.standing is Standing.IN_USE
            node.metrics.gauge("left_out", 0 if is_in_use else 1)
            node.metrics.gauge("failed_share", self._agent.failed_share)
            if self._shares is not None:
                node.metrics.gauge("callers", len(self._shares))
                node.metrics.gauge("callers_ahead", self._agent.callers_ahead(now))
            if self._agent.open_feeds is not None:
                load = self._agent.load_report(now)
                node.metrics.gauge("feeds", self._agent.open_feeds)
                node.metrics.gauge("pledged_slots", load.pledged)
                node.metrics.gauge("mixed_flows", float(load.mixed))

    async def _run_sweeps(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            max_flow_duration = self._node.settings.opaque_backend.longest_flow
            self._agent.sweep(self._node.now(), max_flow_duration.total_seconds())
            self._node.send_effects(self._agent.pop_remote_registrations())

    async def _stop(self) -> None:
        node = self._node
        self._send_effects(self._agent.stop(node.now()))
        self._send_load(
            self._agent.load_report(node.now()),
            remote_siblings=True,
            remote_balancers=True,
        )
        server_lost = self._agent.has_lost_server(node.now())
        log_event(
            "stopping",
            flows=len(self._agent.flows),
            backend_left=self._gate.has_left,
            server_lost=server_lost,
        )
        must_remove = self._gate.has_left and not self._entry_writer.removed
        if server_lost and self._entry_writer.is_listed:
            # If the server lives, the next process beside it writes the entry again.
            self._entry_writer.set_entry(None)
            must_remove = True
        if must_remove:
            try:
                await self._entry_writer.write()
            except PlatformError as error:
                log_warning("entry_not_removed", error=str(error))
        await asyncio.sleep(STOP_DELAY_SECONDS)
        await node.close()


@dataclass(frozen=True, slots=True)
class _Balancer:
    data_centre: str
    last_frame_at: float


class _BackendProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_refused: Callable[[Exception], None]) -> None:
        self._on_backend_refused = on_refused

    def error_received(self, exc: Exception) -> None:
        if isinstance(exc, ConnectionRefusedError):
            self._on_backend_refused(exc)


def _build_gate_bounds(node: PassthroughNode) -> GateBounds:
    section = node.settings.opaque_backend
    return GateBounds(
        section.cold_factor, section.cold_slack, section.heartbeat.total_seconds()
    )


def _build_outlier_rules(node: PassthroughNode) -> OutlierRules:
    section = node.settings.outliers
    return OutlierRules(
        section.mode != "off", section.mode == "eject", section.largest_share
    )


def _find_process_start(node: PassthroughNode) -> ProcessStart:
    """Return the start of this process on both clocks."""
    age_ms = int(1000 * (node.now() - node.started))
    return ProcessStart(node.started, epoch_milliseconds(node.clock) - age_ms)


def _has_state_changed(before: BackendReport, after: BackendReport) -> bool:
    return (
        before.started_ms != after.started_ms
        or before.draining != after.draining
        or before.service != after.service
        or before.slots != after.slots
        or (before.cold_seconds > 0) != (after.cold_seconds > 0)
    )


def select_siblings(
    agents: list[AgentEntry], name: str, data_centre: str
) -> list[AgentEntry]:
    """Return up to `MAX_SIBLINGS` agents that follow a name in the ring of names.

    Each agent of a service then gets load reports from equally many others. Those in
    other data centres are at most `MAX_REMOTE_SIBLINGS`.

    Parameters
    ----------
    agents : list of AgentEntry
        Other agents of the service.
    name, data_centre : str
        Name and data centre of the own agent.
    """
    ordered = sorted(agents, key=lambda agent: (agent.name <= name, agent.name))
    near = [agent for agent in ordered if agent.data_centre == data_centre]
    far = [agent for agent in ordered if agent.data_centre != data_centre]
    far = far[:MAX_REMOTE_SIBLINGS]
    return [*near[: MAX_SIBLINGS - len(far)], *far]
