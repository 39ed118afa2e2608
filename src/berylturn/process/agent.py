"""Agent daemon: admits flows and requests to the backend server beside it."""

from __future__ import annotations

import asyncio

from ..clock import Clock, epoch_milliseconds
from ..connection.agent_rules import AgentRules
from ..connection.effects import (
    CancelRequest,
    Effect,
    FlowDecision,
    ReleaseFlow,
    SendFrame,
    SendToCaller,
    StartRequest,
)
from ..connection.frames import (
    Announce,
    AnnounceAck,
    Frame,
    LoadDigest,
    Probe,
    ProbeAck,
    ToAgent,
    ToCaller,
    sign_frame,
    verify_frame,
)
from ..connection.gate import AdmissionGate
from ..connection.interim_replies import build_interim_reply
from ..connection.opening import Identity
from ..connection.snapshot import read_snapshot, restore_flows, take_snapshot
from ..domain import Limits, MemberState, Role, Status
from ..errors import (
    AuthenticationError,
    PacketError,
)
from ..request.queue import RequestQueue
from ..version.view import View
from .announce_targets import AnnounceTargets
from .backend import HttpBackend
from .handover import claim_snapshot, wait_for_platform, write_snapshot
from .logs import LogWriter, log_event, log_warning
from .metrics import Metrics
from .platform import HttpPlatform
from .runner import BackendRunner
from .settings import AgentSettings, make_key_ring
from .sockets import open_udp, open_udp_when_free
from .tasks import TaskGroup

Address = tuple[str, int]

TICK_SECONDS = 0.05
IDLE_SCAN_INTERVAL_SECONDS = 5.0
# Requests that callers sent before the close reached them are answered meanwhile.
CLOSE_GRACE_SECONDS = 1.5
# Longest wait at start for the snapshot of a predecessor.
CLAIM_TIMEOUT_SECONDS = 30.0


class Agent:
    """Run the sockets and the tasks of one agent.

    Parameters
    ----------
    settings : AgentSettings
        Validated settings.
    clock : Clock
        Source of time.
    logs : LogWriter
        Writer of the log file.
    """

    def __init__(self, settings: AgentSettings, clock: Clock, logs: LogWriter) -> None:
        self._settings = settings
        self._clock = clock
        self._logs = logs
        self._keys = make_key_ring(settings.keys)
        self._view = View()
        self._metrics = Metrics(settings.metrics.statsd, settings.node.name)
        self._announce_targets = AnnounceTargets(
            settings.peers.seeds, settings.agent.announce.total_seconds()
        )
        self._tasks = TaskGroup()
        self._epoch = epoch_milliseconds(clock)
        self._status = Status.ALIVE
        self._backend = HttpBackend(
            settings.backend.url,
            settings.backend.connect_timeout,
            settings.backend.idle,
            self._on_backend_restart,
            clock,
        )
        self._platform = HttpPlatform(settings.platform.url, settings.platform.timeout)
        self._rules = self._new_rules(incarnation=self._epoch)
        self._takeover_pending = True
        self._runner = self._new_runner()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop without aborting a request."""
        self._tasks.stop_on_signals()
        await self._open_sockets()
        await self._take_over_flows()
        self._start_tasks()
        await self._tasks.stop_requested.wait()
        await self._stop_serving()
        self._peer_transport.close()
        await self._tasks.cancel_all()
        await self._backend.close()
        self._platform.close()
        self._logs.flush()

    def _new_rules(self, incarnation: int) -> AgentRules:
        settings = self._settings
        identity = Identity(
            settings.node.name,
            settings.node.data_centre,
            settings.listen.advertise or settings.listen.peers,
            incarnation,
        )
        return AgentRules(
            identity,
            self._keys,
            AdmissionGate(Limits(), self._clock.monotonic()),
            RequestQueue(settings.agent.queue),
            self._view,
            settings.agent.flow_idle.total_seconds(),
        )

    def _new_runner(self) -> BackendRunner:
        return BackendRunner(
            self._backend,
            self._rules,
            self._tasks,
            self._clock,
            self._metrics,
            self._apply_effects,
            self._on_cold_start,
        )

    async def _open_sockets(self) -> None:
        listen = self._settings.listen.peers
        takeover_wait = self._settings.agent.takeover.total_seconds()
        self._peer_transport = await open_udp_when_free(
            listen, self._on_datagram, takeover_wait
        )
        self._announce_transport = await open_udp((listen[0], 0), self._on_datagram)

    async def _take_over_flows(self) -> None:
        """Restore the flows of a predecessor if it left a snapshot."""
        deadline = self._clock.monotonic() + CLAIM_TIMEOUT_SECONDS
        name = self._settings.node.name
        data = await claim_snapshot(self._platform, name, self._clock, deadline)
        if data is not None:
            snapshot = read_snapshot(data)
            self._rules = self._new_rules(snapshot.incarnation)
            self._runner = self._new_runner()
            restore_flows(self._rules, snapshot, self._clock.monotonic())
            log_event("took_over", flows=len(snapshot.flows))
        self._takeover_pending = False
        self._apply_effects()

    def _send_interim_reply(self, frame: ToAgent, source: Address) -> None:
        """Tell callers to wait while it is not known whether flows are taken over."""
        identity = self._rules.identity
        packet = build_interim_reply(frame.packet, self._keys, identity.address)
        if packet is not None:
            self._send_frame(source, ToCaller(frame.caller, packet))

    def _start_tasks(self) -> None:
        self._tasks.start(self._logs.run, "logs")
        self._tasks.start(self._metrics.run, "metrics")
        self._tasks.start(self._tick_forever, "tick")
        self._tasks.start(self._send_digests, "digests")
        self._tasks.start(self._backend.watch_restarts, "sentinel")
        self._tasks.start(self._close_idle_connections, "idle")

    def _on_datagram(self, data: bytes, source: Address) -> None:
        try:
            frame = verify_frame(data, self._keys)
        except (AuthenticationError, PacketError):
            self._metrics.count("drops.unauthenticated")
            return
        now = self._clock.monotonic()
        if type(frame) is ToAgent:
            if self._takeover_pending:
                self._send_interim_reply(frame, source)
                return
            self._rules.on_packet(frame, source, now)
            self._apply_effects()
        elif isinstance(frame, LoadDigest):
            self._rules.opening.siblings.on_digest(frame, now)
        elif isinstance(frame, AnnounceAck):
            self._on_announce_ack(frame)
        elif isinstance(frame, Probe):
            self._send_frame(source, ProbeAck(frame.sequence))

    def _on_announce_ack(self, ack: AnnounceAck) -> None:
        if not self._announce_targets.on_ack(ack.sequence, ack.digest):
            return
        if ack.balancers:
            self._announce_targets.set_balancers(ack.balancers)
        if ack.balancers or ack.siblings or ack.objects:
            self._rules.opening.siblings.set_members(ack.siblings)
            self._apply_configuration(ack)
        if ack.status >= Status.SUSPECT and ack.epoch >= self._epoch:
            self._epoch = ack.epoch + 1
            self._announce_targets.announce_now(self._clock.monotonic())
            log_warning("suspicion_refuted", epoch=self._epoch)

    def _apply_configuration(self, ack: AnnounceAck) -> None:
        for change in self._view.apply(ack.objects):
            log_event(
                "config",
                object=change.name,
                version=change.version,
                problem=change.problem,
            )
        self._tick()

    def _apply_effects(self) -> None:
        for effect in self._rules.outbox.pop_effects():
            self._apply_effect(effect)

    def _apply_effect(self, effect: Effect) -> None:
        if isinstance(effect, SendToCaller):
            frame = ToCaller(effect.caller, effect.packet)
            self._send_frame(effect.balancer, frame)
        elif isinstance(effect, SendFrame):
            self._send_frame(effect.address, effect.frame)
        elif isinstance(effect, StartRequest):
            self._runner.start(effect)
        elif isinstance(effect, CancelRequest):
            self._tasks.spawn(self._runner.cancel(effect))
        elif isinstance(effect, ReleaseFlow):
            self._tasks.spawn(self._backend.release(effect.flow_id))
        else:
            self._log_decision(effect)

    def _send_frame(self, address: Address, frame: Frame) -> None:
        self._peer_transport.sendto(sign_frame(frame, self._keys), address)

    def _log_decision(self, decision: FlowDecision) -> None:
        log_event(
            decision.decision,
            flow=decision.flow_id.hex(),
            service=decision.service,
            server=self._settings.node.name,
            data_centre=self._settings.node.data_centre,
            reason=decision.reason.name.lower() if decision.reason else "",
            sibling=decision.sibling,
            hops=decision.hops,
        )

    def _on_backend_restart(self) -> None:
        self._on_cold_start("restarted")

    def _on_cold_start(self, reason: str) -> None:
        self._rules.on_cold_start(self._clock.monotonic())
        log_warning("cold", server=self._settings.node.name, reason=reason)

    async def _tick_forever(self) -> None:
        while True:
            self._tick()
            await self._announce()
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        is_down = self._backend.is_unreachable or self._rules.gate.is_server_lost(now)
        self._rules.set_server_up(not is_down, now)
        self._rules.tick(now)
        self._apply_effects()
        gate = self._rules.gate
        for name, amount in self._rules.outbox.pop_counters().items():
            self._metrics.count(name, amount)
        self._metrics.gauge("flows", gate.flows)
        self._metrics.gauge("running", gate.running)
        self._metrics.gauge("queued", self._rules.requests.queued)
        self._metrics.gauge("limit", gate.limit)
        serving = gate.accepting and not self._rules.opening.stopping
        self._set_status(Status.ALIVE if serving else Status.DRAINING)

    def _set_status(self, status: Status) -> None:
        if status == self._status:
            return
        self._status = status
        self._epoch += 1
        self._announce_targets.announce_now(self._clock.monotonic())
        log_event("status", status=status.name.lower(), epoch=self._epoch)

    async def _announce(self) -> None:
        now = self._clock.monotonic()
        selectors = sorted(self._view.services)
        for address, sequence, known_digest in self._announce_targets.start_due(now):
            frame = Announce(
                self._own_state(),
                known_digest,
                sequence,
                self._announce_period_ms(),
                selectors,
            )
            self._announce_transport.sendto(sign_frame(frame, self._keys), address)
        if self._announce_targets.pop_unreachable():
            await self._rebind_announcer()

    async def _rebind_announcer(self) -> None:
        """Switch to a new source port after no balancer answered on the old one."""
        self._announce_transport.close()
        host = self._settings.listen.peers[0]
        self._announce_transport = await open_udp((host, 0), self._on_datagram)
        self._metrics.count("channels.rebound")
        log_warning("announcer_rebound")

    def _own_state(self) -> MemberState:
        identity = self._rules.identity
        return MemberState(
            identity.name,
            Role.AGENT,
            identity.data_centre,
            identity.address,
            self._epoch,
            self._status,
        )

    def _announce_period_ms(self) -> int:
        return int(self._announce_targets.period * 1000)

    async def _send_digests(self) -> None:
        period = self._settings.agent.digest.total_seconds()
        sent_at = 0.0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.monotonic()
            if now - sent_at >= period or self._rules.opening.digest_is_stale:
                sent_at = now
                self._send_digest()

    def _send_digest(self) -> None:
        data = sign_frame(self._rules.opening.make_load_digest(), self._keys)
        for member in self._rules.opening.siblings.members.values():
            self._peer_transport.sendto(data, member.address)

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SCAN_INTERVAL_SECONDS)
            await self._backend.close_idle()

    async def _stop_serving(self) -> None:
        """Hand flows over to a successor; drain if configured or if that fails."""
        log_event("stopping", flows=len(self._rules.flows))
        self._rules.opening.stopping = True
        limit = self._settings.agent.drain_limit.total_seconds()
        deadline = self._clock.monotonic() + limit
        handing_over = self._settings.agent.stop == "hand-over"
        if handing_over and await self._hand_over_flows(deadline):
            return
        await self._drain(deadline)

    async def _hand_over_flows(self, deadline: float) -> bool:
        """Write a snapshot of all flows; return whether it was written."""
        name = self._settings.node.name
        if not await wait_for_platform(
            self._platform, name, self._clock, deadline, lambda: bool(self._rules.flows)
        ):
            return False
        self._rules.suspend()
        while self._rules.requests.unfinished and self._clock.monotonic() < deadline:
            await asyncio.sleep(TICK_SECONDS)
        data = take_snapshot(self._rules, self._clock.monotonic())
        written = await write_snapshot(
            self._platform, name, data, self._clock, deadline
        )
        log_event(
            "handed_over", flows=len(self._rules.flows), size=len(data), done=written
        )
        return written

    async def _drain(self, deadline: float) -> None:
        """Wait for requests and flows to end, then announce that the agent left."""
        while self._rules.flows and self._clock.monotonic() < deadline:
            await asyncio.sleep(TICK_SECONDS)
        await self._close_flows()
        self._set_status(Status.LEFT)
        await self._announce()

    async def _close_flows(self) -> None:
        """Ask the remaining callers to leave, and answer their last requests."""
        if not self._rules.flows:
            return
        self._rules.begin_closing(self._clock.monotonic())
        self._apply_effects()
        await asyncio.sleep(CLOSE_GRACE_SECONDS)
        while self._rules.requests.unfinished:
            await asyncio.sleep(TICK_SECONDS)
