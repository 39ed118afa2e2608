"""Frames to and from other nodes: encoding, channels, and detours around a cut."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..clock import Clock
from ..connection.peer_frames import (
    Detour,
    PathProbe,
    PeerFrame,
    decode_frame,
    encode_frame,
)
from ..connection.placement.load_board import LoadBoard
from ..connection.recovery.detours import Detours
from ..errors import PacketError
from ..version.owners import AgentEntry
from .frame_counts import FrameCounts
from .metrics import Metrics
from .peer_channels import REBIND_AFTER_SECONDS, PeerChannels
from .sockets import Address, open_udp

# Called with the IP address of the sender, and the frame.
FrameReceiver = Callable[[str, PeerFrame], None]


class PeerLink:
    """Send frames to other nodes, and receive theirs.

    Parameters
    ----------
    host : str
        IP address of this node.
    clock : Clock
        Source of time.
    frames : FrameCounts
        Counts what is sent.
    metrics : Metrics
        Counters and gauges of the node.
    record_drop : callable
        Counts and logs a datagram that is dropped, with the reason and the error.
    detours : Detours or None
        Ways around a cut; None if frames take the direct way only.
    """

    def __init__(
        self,
        host: str,
        clock: Clock,
        frames: FrameCounts,
        metrics: Metrics,
        record_drop: Callable[[str, Exception], None],
        detours: Detours | None,
    ) -> None:
        self._host = host
        self._clock = clock
        self._frames = frames
        self._metrics = metrics
        self._record_drop = record_drop
        self._detours = detours
        self._board = LoadBoard()
        self._channels: PeerChannels | None = None
        self._on_frame: FrameReceiver = lambda host, frame: None

    async def open(self, bind_host: str, port: int, on_frame: FrameReceiver) -> None:
        """Open the socket at the peer port."""
        self._on_frame = on_frame
        transport = await open_udp((bind_host, port), self._receive)
        self._channels = PeerChannels(transport, bind_host, port)

    def follow_board(self, board: LoadBoard) -> None:
        """Take from a node's load board which hosts owe an answer, and tell it of ways.

        Parameters
        ----------
        board : LoadBoard
            Load reports of the node, and the answers that it awaits.
        """
        self._board = board
        if self._detours is not None:
            board.list_detoured = self._detours.list_hosts

    def set_agents(self, agents: Iterable[AgentEntry]) -> None:
        """Set the agents in the directory, which are the relays."""
        if self._detours is not None:
            self._detours.set_agents({agent.host: agent for agent in agents})

    def send(self, host: str, frame: PeerFrame) -> None:
        """Send a frame to another node, directly or by a detour."""
        if self._detours is not None:
            now = self._clock.monotonic()
            is_overdue = self._board.is_overdue(host, now)
            relay = self._detours.choose_relay(host, is_overdue, now)
            if relay is not None:
                if self._detours.is_probe_due(host, now):
                    self._send_by_relay(relay, host, PathProbe(is_answer=False))
                self._send_by_relay(relay, host, frame)
                return
        self._send_directly(host, frame)

    async def tick(self) -> None:
        """Probe ways to other hosts, and rebind channels that forward nothing."""
        now = self._clock.monotonic()
        if self._detours is not None:
            for host in self._detours.list_probed_hosts(now):
                self._send_directly(host, PathProbe(is_answer=False))
            self._metrics.gauge("detours", len(self._detours.list_hosts()))
        silent = self._board.list_silent(REBIND_AFTER_SECONDS, now)
        await self._channels.rebind(silent)

    def _send_by_relay(self, relay: str, host: str, frame: PeerFrame) -> None:
        self._send_directly(relay, Detour(self._host, host, encode_frame(frame)))

    def _send_directly(self, host: str, frame: PeerFrame) -> None:
        data = encode_frame(frame)
        self._frames.record(type(frame).__name__, host, len(data))
        try:
            self._channels.send(host, data)
        except (OSError, ValueError) as error:
            self._record_drop("peer_address", error)

    def _receive(self, data: bytes, address: Address) -> None:
        host = address[0]
        try:
            frame = decode_frame(data)
        except PacketError as error:
            self._record_drop("frame", error)
            return
        if isinstance(frame, Detour):
            self._handle_detour(host, frame)
        elif isinstance(frame, PathProbe):
            self._handle_probe(host, frame)
        else:
            if self._detours is not None:
                self._detours.record_direct(host, self._clock.monotonic())
            self._on_frame(host, frame)

    def _handle_detour(self, relay: str, detour: Detour) -> None:
        """Handle a frame that came by a relay, or relay it."""
        if self._detours is None:
            return
        if detour.target != self._host:
            self._relay(detour)
            return
        try:
            frame = decode_frame(detour.data)
        except PacketError as error:
            self._record_drop("detour", error)
            return
        if isinstance(frame, Detour):
            self._metrics.count("dropped.detour")
            return
        self._detours.record_relayed(detour.origin, relay, self._clock.monotonic())
        if not isinstance(frame, PathProbe):
            self._on_frame(detour.origin, frame)
        elif not frame.is_answer:
            self._send_by_relay(relay, detour.origin, PathProbe(is_answer=True))

    def _relay(self, detour: Detour) -> None:
        now = self._clock.monotonic()
        allowed = self._detours.may_relay(detour.target, len(detour.data), now)
        if detour.relayed or not allowed:
            self._metrics.count("dropped.detour")
            return
        onward = Detour(detour.origin, detour.target, detour.data, relayed=True)
        self._send_directly(detour.target, onward)

    def _handle_probe(self, host: str, probe: PathProbe) -> None:
        if self._detours is None:
            return
        if not probe.is_answer:
            self._send_directly(host, PathProbe(is_answer=True))
            return
        now = self._clock.monotonic()
        self._detours.record_probe_answer(host, now)
        self._board.record_alive(host, now)
