"""Stand-ins of the two ends of a passthrough flow, and of the routers between.

Each host has a loopback address of its own, so that all hosts use the same ports.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

from .opaque_packets import (
    ACK,
    BODY_OFFSET,
    BOUNCED,
    CHECKSUM_OFFSET,
    FLAGS_OFFSET,
    KEYED_CHECKSUM_BYTES,
    RST,
    SYN,
    Header,
    pack_packet,
    unpack_packet,
)

# The platform's callers accept a reset whose sequence number differs by at most this
# from the next one that they expect.
RESET_WINDOW = 76_800
# Seconds after the first transmission at which a caller sends a packet again; at the
# last of them it gives up instead.
RETRANSMIT_SECONDS = (0.2, 0.6, 1.4)


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports that are the same on all hosts."""

    packets: int = 18172
    outbound: int = 18162
    ready: int = 18167
    heartbeats: int = 18166
    peers: int = 17720
    backend: int = 18165
    metrics: int = 19464


class Router:
    """Route callers' packets to balancers that are ready.

    Parameters
    ----------
    balancers : list of str
        IP addresses.
    ports : Ports
        Ports of all hosts.
    consistent_hashing : bool
        Whether only the flows of a lost balancer move; otherwise nearly all flows move
        when the set of ready balancers changes.
    """

    def __init__(
        self, balancers: list[str], ports: Ports, consistent_hashing: bool
    ) -> None:
        self._balancers = balancers
        self._ports = ports
        self._consistent_hashing = consistent_hashing
        self.ready: list[str] = []

    async def probe(self, http: aiohttp.ClientSession) -> None:
        """Request the readiness of each balancer once."""
        ready = []
        for host in self._balancers:
            url = f"http://{host}:{self._ports.ready}/-/readiness"
            try:
                async with http.get(url, timeout=aiohttp.ClientTimeout(1)) as response:
                    if response.status == 200:
                        ready.append(host)
            except (aiohttp.ClientError, TimeoutError):
                continue
        self.ready = ready

    def choose(self, flow: tuple) -> str:
        """Return the host of the balancer for a flow; any balancer if none is ready."""
        hosts = self.ready or self._balancers
        if self._consistent_hashing:
            return max(hosts, key=lambda host: hash((flow, host)))
        return hosts[hash(flow) % len(hosts)]


@dataclass
class _BackendFlow:
    first_sequence: int
    caller_next: int
    replies: bytes = b""
    chosen: bool = False

    def is_chosen_by(self, acknowledged: int) -> bool:
        """Tell whether the caller has ever acknowledged this server's first packet.

        Copies of an opening packet may reach two servers; the caller uses only one.
        """
        self.chosen = self.chosen or acknowledged == self.first_sequence + 1
        return self.chosen


@dataclass(frozen=True, slots=True)
class Opening:
    """The opening of a flow at a backend server: time, caller and service address."""

    time: float
    caller: tuple[str, int]
    service: tuple[str, int]


@dataclass
class OpaqueBackend:
    """A backend server that answers each request on a flow with the request's content.

    Attributes
    ----------
    host : str
        IP address of its host.
    opened : list of Opening
        Flows that were opened at it.
    run_counts : Counter of bytes
        How often it ran each request.
    forged : int
        Packets without the checksum that every caller writes.
    fails : bool
        Whether it resets each flow on which a request arrives, and runs none.
    """

    host: str
    service: str
    data_centre: str
    ports: Ports
    started_ms: int
    state: str = "ready"
    cold_ms: int = 0
    opened: list[Opening] = field(default_factory=list)
    run_counts: Counter[bytes] = field(default_factory=Counter)
    forged: int = 0
    fails: bool = False
    _flows: dict[tuple, _BackendFlow] = field(default_factory=dict)
    _sequence: int = 0
    _cold_since: float = 0.0
    _transport: asyncio.DatagramTransport | None = None

    @property
    def answered(self) -> int:
        """Return how many requests it ran."""
        return self.run_counts.total()

    def has_flow(self, caller: tuple[str, int], service: tuple[str, int]) -> bool:
        """Tell whether a flow is open at this server and the caller chose it."""
        flow = self._flows.get((caller, service))
        return flow is not None and flow.chosen

    async def start(self) -> None:
        """Receive packets."""
        loop = asyncio.get_running_loop()
        address = (self.host, self.ports.backend)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._on_packet), local_addr=address
        )

    def stop(self) -> None:
        """Stop at once and lose all flows."""
        if self._transport is not None:
            self._transport.abort()
        self._flows.clear()

    def restart(self, clock_ms: int = 1, cold_ms: int = 0) -> None:
        """Restart under the same name and lose all flows.

        Parameters
        ----------
        clock_ms : int
            How much later the new start is by the server's own clock; negative if the
            clock was set back.
        cold_ms : int
            How long the cold start lasts.
        """
        self.started_ms += clock_ms
        self.cold_ms = cold_ms
        self._cold_since = asyncio.get_running_loop().time()
        self._sequence = 0
        self._flows.clear()

    async def send_heartbeat(self, http: aiohttp.ClientSession) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.ports.backend}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold_remaining_ms": self._remaining_cold_ms(),
            "sequence": self._sequence,
            "born": self.started_ms,
        }
        url = f"http://{self.host}:{self.ports.heartbeats}/-/instances/i-{self.host}"
        try:
            timeout = aiohttp.ClientTimeout(1)
            async with http.put(url, json=body, timeout=timeout) as response:
                return response.status // 100 == 2
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _remaining_cold_ms(self) -> int:
        elapsed = asyncio.get_running_loop().time() - self._cold_since
        return max(0, self.cold_ms - int(elapsed * 1000))

    def _on_packet(self, data: bytes) -> None:
        header, body = unpack_packet(data)
        key = (header.source, header.target)
        flow = self._flows.get(key)
        if data[CHECKSUM_OFFSET:BODY_OFFSET] != KEYED_CHECKSUM_BYTES:
            self.forged += 1
        elif header.flags & SYN:
            if flow is None:
                flow = _BackendFlow(random.getrandbits(31), header.sequence + 1)
                self._flows[key] = flow
                now = asyncio.get_running_loop().time()
                self.opened.append(Opening(now, *key))
            self._send(header, flow.first_sequence, SYN | ACK, flow.caller_next)
        elif flow is None or not flow.is_chosen_by(header.acknowledged):
            flags = bytes([data[FLAGS_OFFSET] | BOUNCED])
            bounced = data[:FLAGS_OFFSET] + flags + data[FLAGS_OFFSET + 1 :]
            self._transport.sendto(bounced, (self.host, self.ports.outbound))
        elif body and self.fails:
            del self._flows[key]
            self._send(header, header.acknowledged, RST, flow.caller_next)
        elif body:
            if header.sequence == flow.caller_next:
                flow.caller_next += len(body)
                flow.replies += body
                self.run_counts[body] += 1
            sequence = flow.first_sequence + 1 + len(flow.replies) - len(body)
            self._send(
                header, sequence, ACK, flow.caller_next, flow.replies[-len(body) :]
            )

    def _send(
        self,
        received: Header,
        sequence: int,
        flags: int,
        acknowledged: int,
        body: bytes = b"",
    ) -> None:
        reply = Header(
            sequence, acknowledged, 0, flags, received.target, received.source
        )
        address = (self.host, self.ports.outbound)
        self._transport.sendto(pack_packet(reply, body), address)


class OpaqueCallers:
    """Many callers at one loopback address.

    Parameters
    ----------
    host : str
        IP address of the callers.
    router : Router
        Chooses the balancer of each flow.
    ports : Ports
        Ports of all hosts.
    """

    def __init__(self, host: str, router: Router, ports: Ports) -> None:
        self._host = host
        self._router = router
        self._ports = ports
        self._next_port = 1024
        # The future of the next packet and its sequence number (None: any), by flow.
        self._pending: dict[
            tuple, tuple[asyncio.Future[tuple[Header, bytes]], int | None]
        ] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Receive packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._on_packet),
            local_addr=(self._host, self._ports.packets),
        )

    def stop(self) -> None:
        """Stop receiving packets."""
        if self._transport is not None:
            self._transport.close()

    def make_flow(self, service: tuple[str, int]) -> CallerFlow:
        """Return a flow that is not open yet."""
        self._next_port += 1
        return CallerFlow(self, (self._host, self._next_port), service)

    async def open(self, service: tuple[str, int]) -> CallerFlow | None:
        """Open a flow; return None if it was refused or not answered."""
        flow = self.make_flow(service)
        return flow if await flow.open() else None

    async def exchange(
        self, key: tuple, data: bytes, expected_sequence: int | None
    ) -> tuple[Header, bytes] | None:
        """Send a packet and copies of it until the next packet of the flow arrives.

        Return None if no packet arrives in time.

        Packets other than resets are dropped if their sequence number is not
        `expected_sequence`: they are copies of earlier replies, or acceptances by a
        server that the caller did not choose.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending[key] = (future, expected_sequence)
        elapsed = 0.0
        for resend_at in RETRANSMIT_SECONDS:
            self.send(key, data)
            done, _ = await asyncio.wait({future}, timeout=resend_at - elapsed)
            elapsed = resend_at
            if done:
                return future.result()
        return None

    def send(self, key: tuple, data: bytes) -> None:
        """Send a packet through the balancer of its flow."""
        self._transport.sendto(data, (self._router.choose(key), self._ports.packets))

    def _on_packet(self, data: bytes) -> None:
        header, body = unpack_packet(data)
        future, expected = self._pending.get((header.target, header.source), (None, 0))
        if future is None or future.done():
            return
        if expected in (None, header.sequence) or _is_reset_in_window(header, expected):
            future.set_result((header, body))


class CallerFlow:
    """One flow of a caller.

    Attributes
    ----------
    reset : bool
        Whether the flow was refused or reset.
    got_wrong_reply : bool
        Whether a reply arrived that does not belong to the request.
    """

    def __init__(
        self, callers: OpaqueCallers, source: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._callers = callers
        self._key = (source, target)
        self._sequence = 100
        self._expected_sequence = 0
        self.reset = False
        self.got_wrong_reply = False

    @property
    def source(self) -> tuple[str, int]:
        """Return the caller's address and port."""
        return self._key[0]

    @property
    def target(self) -> tuple[str, int]:
        """Return the service's address and port."""
        return self._key[1]

    async def open(self) -> bool:
        """Open the flow; return whether a backend server accepted it."""
        received = await self._callers.exchange(self._key, self._pack(SYN), None)
        if received is None:
            return False
        reply, _ = received
        if reply.flags & RST:
            self.reset = True
            return False
        self._sequence += 1
        self._expected_sequence = reply.sequence + 1
        self._callers.send(self._key, self._pack(ACK))
        return True

    async def send_request(self, content: bytes = b"GET /") -> bool:
        """Send one request; return whether the reply to it arrived."""
        packet = self._pack(ACK, content)
        received = await self._callers.exchange(
            self._key, packet, self._expected_sequence
        )
        if received is None:
            return False
        reply, body = received
        if reply.flags & RST:
            self.reset = True
            return False
        self._sequence += len(content)
        if reply.acknowledged != self._sequence or body != content:
            self.got_wrong_reply = True
            return False
        self._expected_sequence = reply.sequence + len(body)
        return True

    def _pack(self, flags: int, body: bytes = b"") -> bytes:
        header = Header(self._sequence, self._expected_sequence, 0, flags, *self._key)
        return pack_packet(header, body)


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_packet: Callable[[bytes], None]) -> None:
        self._on_packet = on_packet

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_packet(data)


def _is_reset_in_window(header: Header, expected_sequence: int) -> bool:
    """Tell whether a packet resets an open flow within the caller's window.

    The reset of a refused opening has no sequence number of the flow. It must not end a
    flow that a copy of the opening packet has opened at another server.
    """
    return (
        bool(header.flags & RST)
        and abs(header.sequence - expected_sequence) <= RESET_WINDOW
    )
