"""What a balancer and an agent for passthrough flows have in common."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable

import msgspec

from ..clock import Clock
from ..connection.passthrough_effects import PassthroughEffect, ToCaller, ToPeer
from ..connection.peer_frames import (
    PeerFrame,
    ViewInquiry,
    ViewStatus,
    decode_frame,
    encode_frame,
)
from ..connection.segments import SegmentCodec, describe_flow
from ..errors import PacketError, PlatformError
from ..version.owners import AgentEntry
from ..version.routes import RouteTable
from .agent_entries import read_entries
from .http_server import Handler, HttpReply, HttpRequest, serve_http
from .logs import BoundedLog, LogWriter, log_event, log_warning
from .metrics import Metrics
from .object_view import (
    STATE_PATH,
    VIEW_PATH,
    Kind,
    ObjectStore,
    ObjectView,
)
from .settings import PassthroughAgentSettings, PassthroughBalancerSettings
from .settings_file import SettingsFile
from .sockets import Address, open_udp
from .tasks import TaskGroup
from .view_relay import RelayPosition, ViewRelay, choose_relayed_kinds
from .view_sync import ViewSync

METRICS_PATH = "/metrics"
CONFIGURATION_NAME = "main"
SECOND = 1.0

TableDecoder = Callable[[bytes], tuple[RouteTable, list[str]]]


class PassthroughNode:
    """Own the sockets, the view and the logs of one daemon.

    Parameters
    ----------
    settings : PassthroughBalancerSettings or PassthroughAgentSettings
        Validated settings.
    file : SettingsFile
        Where they come from; it is read again when it changes.
    clock : Clock
        Source of time.
    logs : LogWriter
        Writes the lines.
    codec : SegmentCodec
        Translates packets.
    store : ObjectStore
        The platform.
    decode_table : callable
        Reads a configuration.
    started : float
        Seconds on the monotonic clock when the process began.
    early : socket or None
        Socket for callers' packets that was bound at the start of the process.
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
        early: socket.socket | None = None,
    ) -> None:
        self._file = file
        self.settings = settings
        self.clock = clock
        self.codec = codec
        self.store = store
        self.logs = logs
        self.metrics = Metrics(settings.metrics.statsd, settings.node.name)
        self.lines = BoundedLog()
        self.tasks = TaskGroup()
        self.view = ObjectView(self._on_view)
        self.table = RouteTable()
        self.out: frozenset[str] = frozenset()
        self.started = started
        self._early = early
        self._decode_table = decode_table
        self._on_change: Callable[[Kind], None] = lambda kind: None
        self._packets: asyncio.DatagramTransport | None = None
        self._peers: asyncio.DatagramTransport | None = None
        self._relayed = choose_relayed_kinds(settings)
        self.sync = ViewSync(
            self.view,
            store,
            self.tasks,
            clock,
            settings.passthrough.peer_port,
            self._list_peers,
            self._relayed,
        )
        place = RelayPosition(
            self.host, settings.node.data_centre, settings.passthrough.fan_out
        )
        self.relay = ViewRelay(
            self.view, self.sync, self.send, place, self._seeds, clock
        )
        self.known_peers: Callable[[], list[str]] = list
        self.on_settings: Callable[[], None] = lambda: None
        # What the command-line tool shows of this kind of daemon.
        self.describe: Callable[[], dict[str, object]] = dict

    @property
    def host(self) -> str:
        """Return the IP address of this node."""
        return self.settings.passthrough.host

    @property
    def bind_host(self) -> str:
        """Return the IP address that this node's own sockets are bound to."""
        return self.settings.passthrough.bind or self.host

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return self.clock.monotonic()

    def decide(self, event: str, flow: bytes, **fields: object) -> None:
        """Log and count a decision about a flow."""
        self.metrics.count(
            f"{event}.{fields['reason']}" if "reason" in fields else event
        )
        rounded = {
            name: round(value, 4) if type(value) is float else value
            for name, value in fields.items()
        }
        if flow:
            rounded["flow"] = describe_flow(flow)
        self.lines.write(event, **rounded)

    async def open(
        self,
        on_caller: Callable[[bytes, Address], None],
        on_frame: Callable[[str, PeerFrame], None],
        on_change: Callable[[Kind], None],
        heartbeats: Handler,
        readiness: Handler,
    ) -> None:
        """Open the sockets that both kinds of daemon have, and start to follow."""
        section = self.settings.passthrough
        self._on_change = on_change
        self._packets = await open_udp(section.packets, on_caller, self._early)
        self._peers = await open_udp(
            (self.bind_host, section.peer_port), self._make_frame_receiver(on_frame)
        )
        await serve_http(section.ready, readiness)
        await serve_http(section.heartbeats, heartbeats)
        await serve_http((self.bind_host, section.peer_port), self._serve_peer)
        if self.settings.metrics.listen is not None:
            await serve_http(self.settings.metrics.listen, self._serve_metrics)
        self.tasks.start(self.logs.run(), "logs")
        self.tasks.start(self._each_second(), "seconds")
        if self.settings.metrics.statsd is not None:
            self.tasks.start(self.metrics.run(), "metrics")
        self.tasks.stop_on_signals()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.sync.start()
        if self._relayed:
            self.tasks.start(self.relay.run(), "relay")
        log_event(
            "started",
            after_seconds=round(self.now() - self.started, 3),
            host=section.host,
            data_centre=self.settings.node.data_centre,
        )

    def read_agents(self) -> list[AgentEntry]:
        """Return the entries of the directory; some agents pass on what seeds say."""
        entries = read_entries(self.view.snapshots[Kind.AGENTS])
        if self._relayed:
            self.relay.set_agents(entries)
        return entries

    def carry_out(self, effects: list[PassthroughEffect]) -> None:
        """Send what the rules want sent to callers and nodes."""
        for effect in effects:
            if type(effect) is ToPeer:
                self.send(effect.host, effect.frame)
            elif type(effect) is ToCaller:
                port = self.settings.passthrough.packets[1]
                self._packets.sendto(effect.data, (effect.host, port))

    def send(self, host: str, frame: PeerFrame) -> None:
        """Send a frame to another node."""
        self._peers.sendto(
            encode_frame(frame), (host, self.settings.passthrough.peer_port)
        )

    def drop(self, reason: str, error: Exception) -> None:
        """Count and log a datagram that cannot be read."""
        self.metrics.count(f"dropped.{reason}")
        self.lines.write("packet_dropped", reason=reason, error=str(error))

    async def close(self) -> None:
        """Stop all tasks and write the last lines."""
        log_event("stopped")
        await self.tasks.cancel_all()
        self.logs.flush()
        if self.tasks.failure is not None:
            raise self.tasks.failure

    def _make_frame_receiver(
        self, on_frame: Callable[[str, PeerFrame], None]
    ) -> Callable[[bytes, Address], None]:
        def receive(data: bytes, address: Address) -> None:
            try:
                frame = decode_frame(data)
            except PacketError as error:
                self.drop("frame", error)
                return
            if isinstance(frame, ViewInquiry | ViewStatus):
                self.relay.handle_frame(address[0], frame)
            else:
                on_frame(address[0], frame)

        return receive

    def _on_view(self, kind: Kind) -> None:
        if kind is Kind.CONFIGURATION:
            self._take_configuration()
        elif kind is Kind.EVACUATIONS:
            out = frozenset(self.view.snapshots[kind].objects)
            log_event(
                "data_centres_out",
                out=sorted(out),
                revision=self.view.snapshots[kind].newest,
            )
            self.out = out
        self.metrics.gauge(f"objects.{kind}", len(self.view.snapshots[kind].objects))
        self._on_change(kind)
        self.relay.notify_followers()

    def _take_configuration(self) -> None:
        item = self.view.snapshots[Kind.CONFIGURATION].objects.get(CONFIGURATION_NAME)
        if item is None:
            return
        try:
            table, problems = self._decode_table(item.body)
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
            revision=item.revision,
            routes=len(table.routes),
            problems=problems[:5],
        )
        self.table = table.with_former_services(self.table)

    def _list_peers(self) -> list[str]:
        peers = dict.fromkeys([*self._seeds(), *self.known_peers()])
        return [host for host in peers if host != self.host]

    def _seeds(self) -> list[str]:
        seeds = [host for host, _ in self.settings.passthrough.seeds]
        return [host for host in seeds if host != self.host]

    def _serve_peer(self, request: HttpRequest) -> HttpReply:
        if request.path.partition("?")[0] == VIEW_PATH:
            view = self.view.export(request.path)
            return HttpReply(200, view, "application/msgpack")
        if request.path == STATE_PATH:
            return HttpReply(200, msgspec.json.encode(self._describe_all()))
        return HttpReply(404)

    def _describe_all(self) -> dict[str, object]:
        snapshots = self.view.snapshots
        return {
            "node": self.settings.node.name,
            "data_centre": self.settings.node.data_centre,
            "up_seconds": round(self.now() - self.started, 3),
            "configuration": self.table.version,
            "routes": len(self.table.routes),
            "out": sorted(self.out),
            "follows_platform": self.sync.connected,
            "revisions": {kind: held.at_revision for kind, held in snapshots.items()},
            "agents": sorted(snapshots[Kind.AGENTS].objects),
            **self.describe(),
        }

    def _serve_metrics(self, request: HttpRequest) -> HttpReply:
        if request.path != METRICS_PATH:
            return HttpReply(404)
        return HttpReply(200, self.metrics.render().encode(), "text/plain")

    async def _each_second(self) -> None:
        while True:
            await asyncio.sleep(SECOND)
            self.lines.start_second()
            if self._file.has_changed():
                self._reload()

    def _reload(self) -> None:
        self.settings = self._file.reload(self.settings)
        self.on_settings()
