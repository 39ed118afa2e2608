"""Balancer daemon: routes packets on an entry host and keeps no flow state."""

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
from .announce_replies import answer_announce, build_announce_ack
from .balancer_directory import BalancerDirectory, read_balancers
from .control import (
    ControlError,
    PullRequest,
    call_control,
    start_control,
)
from .fabric import Fabric, NoFabric, UdpFabric
from .inspection import Inspection
from .logs import LogWriter, log_event, log_warning
from .membership import Membership, Send
from .metrics import Metrics
from .platform import HttpPlatform
from .settings import BalancerSettings, make_key_ring
from .sockets import open_udp
from .tasks import TaskGroup

Address = tuple[str, int]

TICK_SECONDS = 0.1
# Agents that have not announced for this long are sent no more updates.
AGENT_EXPIRY_SECONDS = 30.0
PULL_INTERVAL_SECONDS = 0.5
# Member digests may differ this long before they cause a pull.
MEMBER_DIGEST_GRACE_SECONDS = 15.0
FIRST_PLATFORM_RETRY_SECONDS = 0.5
MAX_PLATFORM_RETRY_SECONDS = 5.0
# The fabric still delivers packets for a while after the withdrawal.
FORWARD_AFTER_WITHDRAW_SECONDS = 1.5
JOIN_RETRY_SECONDS = 0.5


class Balancer:
    """Run the sockets, the view and the tasks of one balancer.

    Parameters
    ----------
    settings : BalancerSettings
        Validated settings.
    clock : Clock
        Source of time.
    logs : LogWriter
        Writer of the log file.
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
        self._rebound_transports: dict[Address, asyncio.DatagramTransport] = {}
        self._tasks = TaskGroup()
        self._fabric: Fabric = NoFabric()
        self._objects_loaded = asyncio.Event()
        self._last_announces: dict[str, tuple[Announce, Address, float]] = {}
        self._push_pending = False
        self._leaving = False
        self._last_pull_at = -PULL_INTERVAL_SECONDS
        self._member_digests_equal_at = -MEMBER_DIGEST_GRACE_SECONDS
        self._directory = BalancerDirectory(
            self._platform, self._view.store, self._membership, clock
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop without losing packets."""
        self._tasks.stop_on_signals()
        control = await self._open_sockets()
        self._start_tasks()
        await self._tasks.stop_requested.wait()
        await self._leave_cluster()
        await control.stop(None)
        await self._tasks.cancel_all()
        self._platform.close()
        self._logs.flush()

    async def _open_sockets(self) -> grpc.aio.Server:
        listen = self._settings.listen
        self._caller_transport = await open_udp(listen.callers, self._on_caller_packet)
        self._peer_transport = await open_udp(listen.peers, self._on_peer_frame)
        if self._settings.fabric.control is not None:
            self._fabric = UdpFabric(
                self._caller_transport, self._settings.fabric.control, listen.callers
            )
        inspection = Inspection(
            self._settings.node, self._view, self._membership, self._metrics
        )
        handlers = inspection.handlers()
        return await start_control(listen.control, handlers, self._settings.tls)

    def _start_tasks(self) -> None:
        self._tasks.start(self._logs.run, "logs")
        self._tasks.start(self._metrics.run, "metrics")
        self._tasks.start(self._watch_platform, "watch")
        self._tasks.start(self._keep_directory, "directory")
        self._tasks.start(self._join_peers, "join")
        self._tasks.start(self._tick_forever, "tick")
        self._tasks.start(self._announce_to_fabric, "fabric")

    def _on_caller_packet(self, data: bytes, caller: Address) -> None:
        route = route_packet(data, self._view, self._keys)
        if type(route) is Forward:
            self._send_to_agent(route.address, ToAgent(caller, data))
            return
        self._handle_slow_path_route(route, data, caller)

    def _handle_slow_path_route(
        self, route: Placed | Reply | Drop, data: bytes, caller: Address
    ) -> None:
        """Handle a packet that is not simply forwarded to the agent of its flow."""
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
            self._caller_transport.sendto(route.data, caller)
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
        transport = self._rebound_transports.get(address, self._peer_transport)
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
            self._caller_transport.sendto(frame.packet, frame.caller)
            return
        self._handle_slow_path_frame(frame, source)

    def _handle_slow_path_frame(self, frame: object, source: Address) -> None:
        """Handle a frame other than a packet to a caller."""
        now = self._clock.monotonic()
        if isinstance(frame, Announce):
            ack = answer_announce(frame, self._membership, self._view, now)
            self._peer_transport.sendto(sign_frame(ack, self._keys), source)
            acknowledged = msgspec.structs.replace(frame, known_digest=ack.digest)
            self._last_announces[frame.member.name] = (acknowledged, source, now)
            self._apply_member_changes()
        elif isinstance(frame, GossipPing):
            self._send_all(self._membership.on_ping(frame, source, now))
            self._pull_on_digest_mismatch(frame)
        elif isinstance(frame, GossipAck):
            self._send_all(self._membership.on_ack(frame, now))
            self._pull_on_digest_mismatch(frame)
        elif isinstance(frame, Probe):
            self._send_all([Send(source, ProbeAck(frame.sequence))])
        elif isinstance(frame, ProbeAck):
            self._channels.record_reply(source)

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._peer_transport.sendto(
                sign_frame(send.frame, self._keys), send.address
            )

    def _pull_on_digest_mismatch(self, frame: GossipPing | GossipAck) -> None:
        """Pull from the sender if objects differ, or if members have for some time."""
        self._apply_member_changes()
        membership = self._membership
        now = self._clock.monotonic()
        if frame.member_digest == membership.digest():
            self._member_digests_equal_at = now
        same_objects = frame.config_digest == membership.config_digest
        same_members = now - self._member_digests_equal_at < MEMBER_DIGEST_GRACE_SECONDS
        pull_due = now - self._last_pull_at > PULL_INTERVAL_SECONDS
        if pull_due and frame.sender.control and not (same_members and same_objects):
            self._last_pull_at = now
            self._member_digests_equal_at = now
            self._tasks.spawn(self._pull(frame.sender.control))

    def _apply_member_changes(self) -> None:
        for member in self._membership.pop_changes():
            self._push_pending = True
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
            self._apply_member_changes()
            if self._push_pending:
                self._push_pending = False
                self._push_updates(now)
            await self._tick_channels(now)

    def _push_updates(self, now: float) -> None:
        """Send changes to the agents that announce to this balancer."""
        for name, (announce, source, received_at) in list(self._last_announces.items()):
            if now - received_at > AGENT_EXPIRY_SECONDS:
                del self._last_announces[name]
                continue
            ack = build_announce_ack(announce, self._membership, self._view)
            if ack.digest == announce.known_digest:
                continue
            self._peer_transport.sendto(sign_frame(ack, self._keys), source)
            acknowledged = msgspec.structs.replace(announce, known_digest=ack.digest)
            self._last_announces[name] = (acknowledged, source, received_at)

    async def _tick_channels(self, now: float) -> None:
        for address, action in self._channels.tick(now):
            if action is ChannelAction.REBIND:
                await self._rebind(address)
            self._send_to_agent(address, Probe(0))
        unreachable = self._channels.unreachable(now)
        names = {n for n, a in self._view.agents.items() if a.address in unreachable}
        self._view.set_unreachable(names)

    async def _rebind(self, address: Address) -> None:
        """Switch to a new source port for packets to one agent."""
        previous = self._rebound_transports.pop(address, None)
        if previous is not None:
            previous.close()
        host = self._settings.listen.peers[0]
        self._rebound_transports[address] = await open_udp(
            (host, 0), self._on_peer_frame
        )
        self._metrics.count("channels.rebound")
        log_warning("channel_rebound", address=f"{address[0]}:{address[1]}")

    async def _watch_platform(self) -> None:
        revision = 0
        wait = timedelta()
        retry_seconds = FIRST_PLATFORM_RETRY_SECONDS
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
                await asyncio.sleep(retry_seconds * (0.5 + random.random()))
                retry_seconds = min(2 * retry_seconds, MAX_PLATFORM_RETRY_SECONDS)
                continue
            retry_seconds = FIRST_PLATFORM_RETRY_SECONDS
            revision = max(revision, result.revision)
            wait = self._settings.platform.watch
            if result.complete:
                complete = self._view.apply_complete(result.objects, result.revision)
                self._record_config_changes(complete)
            self._apply_objects(result.objects)

    def _apply_objects(self, objects: list[ConfigObject]) -> None:
        self._record_config_changes(self._view.apply(objects))
        self._membership.config_digest = self._view.store.digest()
        now = self._clock.monotonic()
        self._membership.merge(read_balancers(objects), now)
        self._apply_member_changes()
        self._objects_loaded.set()

    def _record_config_changes(self, changes: list[ConfigChange]) -> None:
        for change in changes:
            self._push_pending = True
            self._metrics.count("config.changes")
            log_event(
                "config",
                object=change.name,
                version=change.version,
                problem=change.problem,
            )

    async def _keep_directory(self) -> None:
        await self._objects_loaded.wait()
        await self._directory.run()

    async def _join_peers(self) -> None:
        """Ping the seeds until objects arrive from them or from the platform.

        A balancer can thus start while the platform is down.
        """
        seeds = [a for a in self._settings.peers.seeds if a != self._own_address()]
        ping = GossipPing(0, self._membership.local_member, [], b"", b"")
        while seeds and not self._objects_loaded.is_set():
            self._send_all([Send(address, ping) for address in seeds])
            await asyncio.sleep(JOIN_RETRY_SECONDS)

    def _own_address(self) -> Address:
        return self._membership.local_member.address

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
        self._apply_member_changes()
        if reply.objects or len(self._view.store):
            self._apply_objects(reply.objects)

    async def _announce_to_fabric(self) -> None:
        period = self._settings.fabric.period.total_seconds()
        while True:
            await self._objects_loaded.wait()
            is_out = self._view.is_data_centre_out(self._settings.node.data_centre)
            if is_out or self._leaving:
                self._fabric.withdraw()
            else:
                self._fabric.announce()
            await asyncio.sleep(period)

    async def _leave_cluster(self) -> None:
        """Withdraw, forward packets that still arrive, then announce the departure."""
        log_event("leaving")
        self._leaving = True
        self._fabric.withdraw()
        self._tasks.spawn(self._directory.deregister())
        await asyncio.sleep(FORWARD_AFTER_WITHDRAW_SECONDS)
        self._send_all(self._membership.leave(self._clock.monotonic()))
        self._apply_member_changes()


def _new_membership(settings: BalancerSettings, clock: Clock) -> Membership:
    listen = settings.listen
    local_member = MemberState(
        settings.node.name,
        Role.BALANCER,
        settings.node.data_centre,
        listen.advertise or listen.peers,
        epoch_milliseconds(clock),
        Status.ALIVE,
        f"{listen.control[0]}:{listen.control[1]}",
    )
    return Membership(local_member, clock.monotonic(), seed=local_member.epoch)
