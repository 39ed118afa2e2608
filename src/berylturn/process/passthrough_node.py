"""Shared part of the balancer and agent daemons for passthrough flows."""

from __future__ import annotations

import asyncio
import itertools
import signal
import socket
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..connection.passthrough_effects import PassthroughEffect, ToCaller, ToPeer
from ..connection.peer_frames import PeerFrame, ViewInquiry, ViewStatus
from ..connection.recovery.detours import Detours
from ..connection.segments import SegmentCodec, describe_flow
from ..errors import PlatformError
from ..version.owners import AgentEntry
from ..version.routes import RouteTable
from .agent_entries import EntryReader
from .forecast import serve_forecast
from .frame_counts import FrameCounts
from .http_server import Handler, HttpReply, HttpRequest, serve_http
from .logs import LogWriter, RateLimitedLog, log_event, log_warning
from .metrics import Metrics
from .object_view import (
    EXPLAIN_PATH,
    STATE_PATH,
    VIEW_PATH,
    Kind,
    ObjectStore,
    ObjectView,
)
from .peer_link import PeerLink
from .settings import PassthroughAgentSettings, PassthroughBalancerSettings
from .settings_file import SettingsFile
from .sockets import Address, open_udp
from .tasks import TaskGroup, log_callback_error
from .view_relay import RelayPosition, ViewRelay, choose_relayed_kinds
from .view_sync import ViewSync

METRICS_PATH = "/metrics"
CONFIGURATION_NAME = "main"
TICK_SECONDS = 1.0
# Ticks between two log lines on the frames that were sent.
FRAME_LOG_TICKS = 10

TableDecoder = Callable[[bytes], tuple[RouteTable, list[str]]]


class PassthroughNode:
    """Own the sockets, the copy of the platform's objects and the logs of a daemon.

    Parameters
    ----------
    settings : PassthroughBalancerSettings or PassthroughAgentSettings
        Validated settings.
    file : SettingsFile
        File that the settings come from; it is reloaded when it changes.
    clock : Clock
        Source of time.
    logs : LogWriter
        Writer of all log lines.
    codec : SegmentCodec
        Codec of the platform's packet format.
    store : ObjectStore
        Client of the platform's object API.
    decode_table : callable
        Decodes a configuration into a route table and a list of its problems.
    started : float
        Seconds on the monotonic clock when the process began.
    early_socket : socket or None
        Socket for callers' packets, bound before the daemon's modules were imported.
    """

    def __init__(
        self,
        settings: PassthroughBalancerSettings | PassthroughAgentSettings,
        file: SettingsFile,
        clock: Clock,
        logs: LogWriter,
        codec: SegmentCodec,
        store: ObjectStore,
        decode_table: TableDecoder,
        started: float,
        early_socket: socket.socket | None = None,
    ) -> None:
        self._file = file
        self.settings = settings
        self.clock = clock
        self.codec = codec
        self.store = store
        self.logs = logs
        self.metrics = Metrics(settings.metrics.statsd, settings.node.name)
        self.frames = FrameCounts(self.metrics, settings.node.data_centre)
        self.link = self._make_link()
        self.event_log = RateLimitedLog()
        self.tasks = TaskGroup()
        self.view = ObjectView(self._on_view_change)
        self.table = RouteTable()
        self.evacuated: frozenset[str] = frozenset()
        self.started = started
        self._early_socket = early_socket
        self._decode_table = decode_table
        self._on_objects_changed: Callable[[Kind], None] = lambda kind: None
        self._on_frame: Callable[[str, PeerFrame], None] = lambda host, frame: None
        self._caller_transport: asyncio.DatagramTransport | None = None
        self._entry_reader = EntryReader()
        self._relayed_kinds = choose_relayed_kinds(settings)
        self.sync = ViewSync(
            self.view,
            store,
            self.tasks,
            clock,
            settings.passthrough.peer_port,
            self._list_peers,
            self._relayed_kinds,
        )
        position = RelayPosition(
            self.host, settings.node.data_centre, settings.passthrough.fan_out
        )
        self.relay = ViewRelay(
            self.view, self.sync, self.send, position, self._list_seeds, clock
        )
        self.sync.on_proved = self.relay.notify_followers
        self.list_known_peers: Callable[[], list[str]] = list
        self.on_settings_reloaded: Callable[[], None] = lambda: None
        # Returns the keys of the state page that only this kind of daemon has.
        self.describe: Callable[[], dict[str, object]] = dict
        # Returns where an opening of a flow would go, by the flow's key.
        self.explain: Callable[[bytes], dict[str, object]] = lambda flow: {}

    @property
    def host(self) -> str:
        """Return the IP address of this node."""
        return self.settings.passthrough.host

    @property
    def bind_host(self) -> str:
        """Return the IP address that the sockets for other daemons are bound to."""
        return self.settings.passthrough.bind or self.host

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self.clock.monotonic()

    def log_decision(self, event: str, flow: bytes, **fields: object) -> None:
        """Log and count a decision; an empty `flow` stands for no flow."""
        self.metrics.count(
            f"{event}.{fields['reason']}" if "reason" in fields else event
        )
        rounded = {
            name: round(value, 4) if type(value) is float else value
            for name, value in fields.items()
        }
        if flow:
            rounded["flow"] = describe_flow(flow)
        self.event_log.write(event, **rounded)

    async def open_caller_socket(
        self, on_caller: Callable[[bytes, Address], None]
    ) -> None:
        """Open the socket for packets from and to callers, before all others."""
        asyncio.get_running_loop().set_exception_handler(log_callback_error)
        self._caller_transport = await open_udp(
            self.settings.passthrough.packets, on_caller, self._early_socket
        )

    async def open(
        self,
        on_frame: Callable[[str, PeerFrame], None],
        on_objects_changed: Callable[[Kind], None],
        heartbeats: Handler,
        readiness: Handler,
    ) -> None:
        """Open the other sockets, start the tasks and start to watch the platform."""
        addresses = self.settings.passthrough
        self._on_objects_changed = on_objects_changed
        self._on_frame = on_frame
        await self.link.open(self.bind_host, addresses.peer_port, self._receive_frame)
        await serve_http(addresses.ready, readiness)
        await serve_http(addresses.heartbeats, heartbeats)
        await serve_http((self.bind_host, addresses.peer_port), self._serve_peer)
        if self.settings.metrics.listen is not None:
            await serve_http(self.settings.metrics.listen, self._serve_metrics)
        self.tasks.start(self.logs.run, "logs")
        self.tasks.start(self._run_ticks, "seconds")
        if self.settings.metrics.statsd is not None:
            self.tasks.start(self.metrics.run, "metrics")
        self.tasks.stop_on_signals()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.sync.start()
        if self._relayed_kinds:
            self.tasks.start(self.relay.run, "relay")
        log_event(
            "started",
            after_seconds=round(self.now() - self.started, 3),
            host=addresses.host,
            data_centre=self.settings.node.data_centre,
        )

    def read_agent_entries(self) -> list[AgentEntry]:
        """Return the directory's entries and pass them to the relay if there is one."""
        entries = self._entry_reader.read(self.view.snapshots[Kind.AGENTS])
        for entry in entries:
            self.frames.set_data_centre(entry.host, entry.data_centre)
        if self._relayed_kinds:
            self.relay.set_agents(entries)
        self.link.set_agents(entries)
        return entries

    def send_effects(self, effects: list[PassthroughEffect]) -> None:
        """Send the datagrams among some effects that go to callers and other nodes."""
        for effect in effects:
            if type(effect) is ToPeer:
                self.send(effect.host, effect.frame)
            elif type(effect) is ToCaller:
                port = self.settings.passthrough.packets[1]
                self._caller_transport.sendto(effect.data, (effect.host, port))

    def send(self, host: str, frame: PeerFrame) -> None:
        """Send a frame to another node, directly or by a detour."""
        self.link.send(host, frame)

    def record_drop(self, reason: str, error: Exception) -> None:
        """Count and log a datagram that was dropped because it cannot be decoded."""
        self.metrics.count(f"dropped.{reason}")
        self.event_log.write("packet_dropped", reason=reason, error=str(error))

    async def close(self) -> None:
        """Cancel all tasks, write the buffered lines and raise a task's failure."""
        log_event("stopped")
        await self.tasks.cancel_all()
        self.logs.flush()

    def _make_link(self) -> PeerLink:
        detours = None
        if self.settings.detours.mode == "on":
            detours = Detours(
                self.host,
                self.settings.node.data_centre,
                lambda event, **inputs: self.log_decision(event, b"", **inputs),
            )
        return PeerLink(
            self.host, self.clock, self.frames, self.metrics, self.record_drop, detours
        )

    def _receive_frame(self, host: str, frame: PeerFrame) -> None:
        if isinstance(frame, ViewInquiry | ViewStatus):
            self.relay.handle_frame(host, frame)
        else:
            self._on_frame(host, frame)

    def _on_view_change(self, kind: Kind) -> None:
        if kind is Kind.CONFIGURATION:
            self._apply_configuration()
        elif kind is Kind.EVACUATIONS:
            evacuated = frozenset(self.view.snapshots[kind].objects)
            log_event(
                "data_centres_out",
                out=sorted(evacuated),
                revision=self.view.snapshots[kind].newest,
            )
            self.evacuated = evacuated
        self.metrics.gauge(f"objects.{kind}", len(self.view.snapshots[kind].objects))
        self._on_objects_changed(kind)
        self.relay.notify_followers()

    def _apply_configuration(self) -> None:
        stored = self.view.snapshots[Kind.CONFIGURATION].objects.get(CONFIGURATION_NAME)
        if stored is None:
            return
        try:
            table, problems = self._decode_table(stored.body)
        except PlatformError as error:
            log_warning(
                "configuration_refused", error=str(error), kept=self.table.version
            )
            return
        if table.version <= self.table.version:
            return
        log_event(
            "configuration_in_force",
            version=table.version,
            before=self.table.version,
            revision=stored.revision,
            routes=len(table.routes),
            problems=problems[:5],
        )
        self.table = table.with_former_services(self.table)

    def _list_peers(self) -> list[str]:
        peers = dict.fromkeys([*self._list_seeds(), *self.list_known_peers()])
        return [host for host in peers if host != self.host]

    def _list_seeds(self) -> list[str]:
        seeds = [host for host, _ in self.settings.passthrough.seeds]
        return [host for host in seeds if host != self.host]

    def _serve_peer(self, request: HttpRequest) -> HttpReply:
        if request.path.partition("?")[0] == VIEW_PATH:
            view = self.view.export(request.path)
            return HttpReply(200, view, "application/msgpack")
        if request.path == STATE_PATH:
            return HttpReply(200, msgspec.json.encode(self._describe_state()))
        if request.path.partition("?")[0] == EXPLAIN_PATH:
            return serve_forecast(request, self._explain)
        return HttpReply(404)

    def _explain(self, flow: bytes) -> dict[str, object]:
        return {
            "node": self.settings.node.name,
            "data_centre": self.settings.node.data_centre,
            "flow": describe_flow(flow),
            "out": sorted(self.evacuated),
            **self.explain(flow),
        }

    def _describe_state(self) -> dict[str, object]:
        snapshots = self.view.snapshots
        return {
            "node": self.settings.node.name,
            "data_centre": self.settings.node.data_centre,
            "up_seconds": round(self.now() - self.started, 3),
            "configuration": self.table.version,
            "routes": len(self.table.routes),
            "out": sorted(self.evacuated),
            "follows_platform": self.sync.connected,
            "revisions": {
                kind: snapshot.at_revision for kind, snapshot in snapshots.items()
            },
            "agents": sorted(snapshots[Kind.AGENTS].objects),
            **self.describe(),
        }

    def _serve_metrics(self, request: HttpRequest) -> HttpReply:
        if request.path != METRICS_PATH:
            return HttpReply(404)
        return HttpReply(200, self.metrics.render().encode(), "text/plain")

    async def _run_ticks(self) -> None:
        for tick in itertools.count(1):
            await asyncio.sleep(TICK_SECONDS)
            if tick % FRAME_LOG_TICKS == 0:
                log_event("frames_sent", counts=self.frames.pop_recent())
            self.event_log.start_second()
            await self.link.tick()
            self.metrics.gauge("task_failures", self.tasks.failures)
            if self._file.has_changed():
                self._reload()

    def _reload(self) -> None:
        self.settings = self._file.reload(self.settings)
        self.on_settings_reloaded()
