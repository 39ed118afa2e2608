"""The balancer daemon: stateless per flow, on an entry host."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from datetime import timedelta

import grpc.aio
import msgspec

from ..clock import Clock, epoch_milliseconds
from ..connection.channel import ChannelAction, ChannelMonitor
from ..connection.frames import (
    Announce,
    GossipAck,
    GossipPing,
    Probe,
    ProbeAck,
    ToAgent,
    ToCaller,
    sign_frame,
    verify_frame,
)
from ..connection.router import Drop, Forward, Placed, Reply, route_packet
from ..domain import ConfigObject, MemberState, Role, Status
from ..errors import AuthenticationError, PacketError, PlatformError, WatchExpired
from ..version.selectors import CONFIG_KINDS
from ..version.view import ConfigChange, View
from .control import (
    ControlError,
    PullRequest,
    call_control,
    start_control,
)
from .directory import Directory, read_directory
from .fabric import Fabric, NoFabric, UdpFabric
from .inspection import Inspection
from .logs import LogWriter, log_event, log_warning
from .membership import Membership, Send
from .metrics import Metrics
from .neighbours import answer_announce, describe_neighbours
from .platform import HttpPlatform
from .settings import BalancerSettings, make_key_ring
from .sockets import open_udp
from .tasks import TaskGroup

Address = tuple[str, int]

TICK_SECONDS = 0.1
FORGET_AGENT_SECONDS = 30.0
PULL_EVERY_SECONDS = 0.5
MEMBERS_AGREE_SECONDS = 15.0
PLATFORM_RETRY_SECONDS = 0.5
MAX_PLATFORM_RETRY_SECONDS = 5.0
FORWARD_AFTER_WITHDRAW_SECONDS = 1.5
JOIN_SECONDS = 0.5


class Balancer:
    """Own the sockets, the view and the tasks of one balancer.

    Parameters
    ----------
    settings : BalancerSettings
        Validated settings.
    clock : Clock
        Source of time.
    logs : LogWriter
        Writer of the log lines.
    """

    def __init__(
        self, settings: BalancerSettings, clock: Clock, logs: LogWriter
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._logs = logs
        self._keys = make_key_ring(settings.keys)
        self._view = View()
        self._membership = _new_membership(settings, clock)
        self._metrics = Metrics(settings.metrics.statsd, settings.node.name)
        self._platform = HttpPlatform(settings.platform.url, settings.platform.timeout)
        self._channels = ChannelMonitor()
        self._rebound: dict[Address, asyncio.DatagramTransport] = {}
        self._tasks = TaskGroup()
        self._fabric: Fabric = NoFabric()
        self._ready = asyncio.Event()
        self._announced: dict[str, tuple[Announce, Address, float]] = {}
        self._news = False
        self._withdrawn = False
        self._pulled_at = -PULL_EVERY_SECONDS
        self._members_agreed_at = -MEMBERS_AGREE_SECONDS
        self._directory = Directory(
            self._platform, self._view.store, self._membership, clock
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave without losing packets."""
        self._tasks.stop_on_signals()
        control = await self._open_sockets()
        self._start_tasks()
        await self._tasks.stop.wait()
        await self._leave()
        await control.stop(None)
        await self._tasks.cancel_all()
        self._platform.close()
        self._logs.flush()
        if self._tasks.failure is not None:
            raise self._tasks.failure

    async def _open_sockets(self) -> grpc.aio.Server:
        listen = self._settings.listen
        self._callers = await open_udp(listen.callers, self._on_caller_packet)
        self._peers = await open_udp(listen.peers, self._on_peer_frame)
        if self._settings.fabric.control is not None:
            self._fabric = UdpFabric(
                self._callers, self._settings.fabric.control, listen.callers
            )
        inspection = Inspection(
            self._settings.node, self._view, self._membership, self._metrics
        )
        handlers = inspection.handlers()
        return await start_control(listen.control, handlers, self._settings.tls)

    def _start_tasks(self) -> None:
        self._tasks.start(self._logs.run(), "logs")
        self._tasks.start(self._metrics.run(), "metrics")
        self._tasks.start(self._watch_platform(), "watch")
        self._tasks.start(self._keep_directory(), "directory")
        self._tasks.start(self._join_peers(), "join")
        self._tasks.start(self._tick_forever(), "tick")
        self._tasks.start(self._announce_to_fabric(), "fabric")

    def _on_caller_packet(self, data: bytes, caller: Address) -> None:
        route = route_packet(data, self._view, self._keys)
        if type(route) is Forward:
            self._send_to_agent(route.address, ToAgent(caller, data))
            return
        self._on_rare_route(route, data, caller)

    def _on_rare_route(
        self, route: Placed | Reply | Drop, data: bytes, caller: Address
    ) -> None:
        if isinstance(route, Placed):
            self._send_to_agent(route.address, ToAgent(caller, data))
            self._metrics.count("flows.placed")
            log_event(
                "placed",
                flow=route.packet.flow_id.hex(),
                service=route.packet.service,
                attempt=route.packet.attempt,
                server=route.candidate.name,
                data_centre=route.candidate.data_centre,
                candidates=route.candidates,
            )
        elif isinstance(route, Reply):
            self._callers.sendto(route.data, caller)
            self._metrics.count(f"replies.{route.reason}")
            log_event(
                "refused",
                flow=route.flow_id.hex(),
                service=route.service,
                reason=route.reason,
            )
        else:
            self._metrics.count(f"drops.{route.reason}")

    def _send_to_agent(self, address: Address, frame: ToAgent | Probe) -> None:
        transport = self._rebound.get(address, self._peers)
        transport.sendto(sign_frame(frame, self._keys), address)
        self._channels.record_sent(address, self._clock.monotonic())

    def _on_peer_frame(self, data: bytes, source: Address) -> None:
        try:
            frame = verify_frame(data, self._keys)
        except (AuthenticationError, PacketError):
            self._metrics.count("drops.unauthenticated")
            return
        if type(frame) is ToCaller:
            self._channels.record_reply(source)
            self._callers.sendto(frame.packet, frame.caller)
            return
        self._on_rare_frame(frame, source)

    def _on_rare_frame(self, frame: object, source: Address) -> None:
        now = self._clock.monotonic()
        if isinstance(frame, Announce):
            ack = answer_announce(frame, self._membership, self._view, now)
            self._peers.sendto(sign_frame(ack, self._keys), source)
            told = msgspec.structs.replace(frame, known_digest=ack.digest)
            self._announced[frame.member.name] = (told, source, now)
            self._follow_members()
        elif isinstance(frame, GossipPing):
            self._send_all(self._membership.on_ping(frame, source, now))
            self._after_gossip(frame)
        elif isinstance(frame, GossipAck):
            self._send_all(self._membership.on_ack(frame, now))
            self._after_gossip(frame)
        elif isinstance(frame, Probe):
            self._send_all([Send(source, ProbeAck(frame.sequence))])
        elif isinstance(frame, ProbeAck):
            self._channels.record_reply(source)

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._peers.sendto(sign_frame(send.frame, self._keys), send.address)

    def _after_gossip(self, frame: GossipPing | GossipAck) -> None:
        self._follow_members()
        membership = self._membership
        now = self._clock.monotonic()
        if frame.member_digest == membership.digest():
            self._members_agreed_at = now
        same_objects = frame.config_digest == membership.config_digest
        same_members = now - self._members_agreed_at < MEMBERS_AGREE_SECONDS
        due = now - self._pulled_at > PULL_EVERY_SECONDS
        if due and frame.sender.control and not (same_members and same_objects):
            self._pulled_at = now
            self._members_agreed_at = now
            self._tasks.spawn(self._pull(frame.sender.control))

    def _follow_members(self) -> None:
        for member in self._membership.take_changes():
            self._news = True
            if member.role == Role.AGENT:
                self._view.set_agent(member)
            log_event(
                "member",
                member=member.name,
                role=Role(member.role).name.lower(),
                status=Status(member.status).name.lower(),
                epoch=member.epoch,
                data_centre=member.data_centre,
            )

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self._clock.monotonic()
            self._send_all(self._membership.tick(now))
            self._follow_members()
            if self._news:
                self._news = False
                self._push_news(now)
            await self._tick_channels(now)

    def _push_news(self, now: float) -> None:
        """Tell the agents that announce here what has changed for them."""
        for name, (announce, source, heard) in list(self._announced.items()):
            if now - heard > FORGET_AGENT_SECONDS:
                del self._announced[name]
                continue
            ack = describe_neighbours(announce, self._membership, self._view)
            if ack.digest == announce.known_digest:
                continue
            self._peers.sendto(sign_frame(ack, self._keys), source)
            told = msgspec.structs.replace(announce, known_digest=ack.digest)
            self._announced[name] = (told, source, heard)

    async def _tick_channels(self, now: float) -> None:
        for address, action in self._channels.tick(now):
            if action is ChannelAction.REBIND:
                await self._rebind(address)
            self._send_to_agent(address, Probe(0))
        silent = self._channels.unreachable(now)
        names = {n for n, a in self._view.agents.items() if a.address in silent}
        self._view.set_unreachable(names)

    async def _rebind(self, address: Address) -> None:
        """Use a new source port towards one agent."""
        old = self._rebound.pop(address, None)
        if old is not None:
            old.close()
        host = self._settings.listen.peers[0]
        self._rebound[address] = await open_udp((host, 0), self._on_peer_frame)
        self._metrics.count("channels.rebound")
        log_warning("channel_rebound", address=f"{address[0]}:{address[1]}")

    async def _watch_platform(self) -> None:
        revision = 0
        wait = timedelta()
        pause = PLATFORM_RETRY_SECONDS
        while True:
            try:
                result = await self._platform.watch(revision, wait, CONFIG_KINDS)
            except WatchExpired as error:
                log_warning("watch_expired", revision=revision, error=str(error))
                revision = 0
                wait = timedelta()
                continue
            except PlatformError as error:
                self._metrics.count("platform.errors")
                log_warning("platform_unavailable", error=str(error))
                await asyncio.sleep(pause * (0.5 + random.random()))
                pause = min(2 * pause, MAX_PLATFORM_RETRY_SECONDS)
                continue
            pause = PLATFORM_RETRY_SECONDS
            revision = max(revision, result.revision)
            wait = self._settings.platform.watch
            if result.complete:
                complete = self._view.apply_complete(result.objects, result.revision)
                self._note_changes(complete)
            self._take_objects(result.objects)

    def _take_objects(self, objects: list[ConfigObject]) -> None:
        self._note_changes(self._view.apply(objects))
        self._membership.config_digest = self._view.store.digest()
        now = self._clock.monotonic()
        self._membership.merge(read_directory(objects), now)
        self._follow_members()
        self._ready.set()

    def _note_changes(self, changes: list[ConfigChange]) -> None:
        for change in changes:
            self._news = True
            self._metrics.count("config.changes")
            log_event(
                "config",
                object=change.name,
                version=change.version,
                problem=change.problem,
            )

    async def _keep_directory(self) -> None:
        await self._ready.wait()
        await self._directory.run()

    async def _join_peers(self) -> None:
        """Learn members and configuration from seeds, platform up or not."""
        seeds = [a for a in self._settings.peers.seeds if a != self._me_address()]
        ping = GossipPing(0, self._membership.me, [], b"", b"")
        while seeds and not self._ready.is_set():
            self._send_all([Send(address, ping) for address in seeds])
            await asyncio.sleep(JOIN_SECONDS)

    def _me_address(self) -> Address:
        return self._membership.me.address

    async def _pull(self, target: str) -> None:
        request = PullRequest(
            self._view.store.bucket_digests(), self._membership.bucket_digests()
        )
        try:
            reply = await call_control(target, "Pull", request, self._settings.tls)
        except ControlError as error:
            log_warning("pull_failed", error=str(error))
            return
        self._metrics.count("gossip.pulls")
        self._membership.merge(reply.members, self._clock.monotonic())
        self._follow_members()
        if reply.objects or len(self._view.store):
            self._take_objects(reply.objects)

    async def _announce_to_fabric(self) -> None:
        period = self._settings.fabric.period.total_seconds()
        while True:
            await self._ready.wait()
            out = self._view.data_centre_out(self._settings.node.data_centre)
            if out or self._withdrawn:
                self._fabric.withdraw()
            else:
                self._fabric.announce()
            await asyncio.sleep(period)

    async def _leave(self) -> None:
        """Withdraw, forward what still arrives, then say goodbye."""
        log_event("leaving")
        self._withdrawn = True
        self._fabric.withdraw()
        self._tasks.spawn(self._directory.withdraw())
        await asyncio.sleep(FORWARD_AFTER_WITHDRAW_SECONDS)
        self._send_all(self._membership.leave(self._clock.monotonic()))
        self._follow_members()


def _new_membership(settings: BalancerSettings, clock: Clock) -> Membership:
    listen = settings.listen
    me = MemberState(
        settings.node.name,
        Role.BALANCER,
        settings.node.data_centre,
        listen.advertise or listen.peers,
        epoch_milliseconds(clock),
        Status.ALIVE,
        f"{listen.control[0]}:{listen.control[1]}",
    )
    return Membership(me, clock.monotonic(), seed=me.epoch)
