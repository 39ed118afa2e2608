"""Stand-ins of the two ends of a passthrough flow, and of the routers between.

Each host is a loopback address of its own, so that all hosts have the same ports.
"""

from __future__ import annotations

import asyncio
import random
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

HEADER = struct.Struct(">IIHIBH4s4sHI")
FLAGS_AT = 14
SYN, ACK, FIN, RST, BOUNCED = 64, 16, 1, 8, 128
KEYED_SUM = 0x5EA1
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


@dataclass(frozen=True, slots=True)
class Header:
    """The head of a packet."""

    sequence: int
    acknowledged: int
    echo: int
    flags: int
    source: tuple[str, int]
    target: tuple[str, int]


def pack_packet(header: Header, body: bytes = b"") -> bytes:
    """Return a packet."""
    return HEADER.pack(
        header.sequence,
        header.acknowledged,
        len(body),
        header.echo,
        header.flags,
        header.target[1],
        _pack_host(header.source[0]),
        _pack_host(header.target[0]),
        header.source[1],
        KEYED_SUM if not header.flags & RST else 0,
    ) + body  # fmt: skip


def unpack_packet(data: bytes) -> tuple[Header, bytes]:
    """Return the head and the content of a packet."""
    seq, ack, _, echo, flags, dport, src, dst, sport, _ = HEADER.unpack_from(data)
    source, target = (_unpack_host(src), sport), (_unpack_host(dst), dport)
    return Header(seq, ack, echo, flags, source, target), data[HEADER.size :]


class Router:
    """Hand callers' packets to balancers that are ready.

    Parameters
    ----------
    balancers : list of str
        IP addresses.
    ports : Ports
        Ports of all hosts.
    steady : bool
        Whether only the flows of a lost balancer move; else nearly all do.
    """

    def __init__(self, balancers: list[str], ports: Ports, steady: bool) -> None:
        self._balancers = balancers
        self._ports = ports
        self._steady = steady
        self.ready: list[str] = []

    async def probe(self, http: aiohttp.ClientSession) -> None:
        """Ask each balancer once whether it is ready."""
        ready = []
        for host in self._balancers:
            url = f"http://{host}:{self._ports.ready}/-/readiness"
            try:
                async with http.get(url, timeout=aiohttp.ClientTimeout(1)) as answer:
                    if answer.status == 200:
                        ready.append(host)
            except (aiohttp.ClientError, TimeoutError):
                continue
        self.ready = ready

    def choose(self, flow: tuple) -> str:
        """Return the balancer of a flow."""
        hosts = self.ready or self._balancers
        if self._steady:
            return max(hosts, key=lambda host: hash((flow, host)))
        return hosts[hash(flow) % len(hosts)]


@dataclass
class _BackendFlow:
    first_sequence: int
    caller_next: int
    sent: int


@dataclass
class OpaqueBackend:
    """A backend server that answers each request on a flow with ``ok``.

    Attributes
    ----------
    host : str
        IP address of its host.
    opened : list of tuple
        Callers whose flows it took.
    answered : int
        Requests that it ran.
    """

    host: str
    service: str
    data_centre: str
    ports: Ports
    started_ms: int
    state: str = "ready"
    cold_ms: int = 0
    opened: list[tuple[str, int]] = field(default_factory=list)
    answered: int = 0
    _flows: dict[tuple, _BackendFlow] = field(default_factory=dict)
    _sequence: int = 0
    _transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Take packets."""
        loop = asyncio.get_running_loop()
        address = (self.host, self.ports.backend)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._on_packet), local_addr=address
        )

    def stop(self) -> None:
        """Die, with all flows."""
        self._transport.close()
        self._flows.clear()

    def restart(self) -> None:
        """Forget all flows, as a new start under the same name does."""
        self.started_ms += 1
        self._sequence = 0
        self._flows.clear()

    async def beat(self, http: aiohttp.ClientSession) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.ports.backend}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": self._sequence,
            "born": self.started_ms,
        }
        url = f"http://{self.host}:{self.ports.heartbeats}/-/instances/i-{self.host}"
        try:
            timeout = aiohttp.ClientTimeout(1)
            async with http.put(url, json=body, timeout=timeout) as answer:
                return answer.status // 100 == 2
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _on_packet(self, data: bytes) -> None:
        header, body = unpack_packet(data)
        key = (header.source, header.target)
        flow = self._flows.get(key)
        if header.flags & SYN:
            if flow is None:
                flow = _BackendFlow(random.getrandbits(31), header.sequence + 1, 0)
                self._flows[key] = flow
                self.opened.append(header.source)
            self._send(header, flow.first_sequence, SYN | ACK, flow.caller_next)
        elif flow is None:
            flags = bytes([data[FLAGS_AT] | BOUNCED])
            back = data[:FLAGS_AT] + flags + data[FLAGS_AT + 1 :]
            self._transport.sendto(back, (self.host, self.ports.outbound))
        elif body:
            if header.sequence == flow.caller_next:
                flow.caller_next += len(body)
                flow.sent += 2
                self.answered += 1
            at = flow.first_sequence + flow.sent - 1
            self._send(header, at, ACK, flow.caller_next, b"ok")

    def _send(
        self, header: Header, sequence: int, flags: int, ack: int, body: bytes = b""
    ) -> None:
        answer = Header(sequence, ack, 0, flags, header.target, header.source)
        address = (self.host, self.ports.outbound)
        self._transport.sendto(pack_packet(answer, body), address)


class OpaqueCallers:
    """Many callers at one loopback address.

    Parameters
    ----------
    host : str
        IP address of the callers.
    router : Router
        Chooses balancers.
    ports : Ports
        Ports of all hosts.
    """

    def __init__(self, host: str, router: Router, ports: Ports) -> None:
        self._host = host
        self._router = router
        self._ports = ports
        self._next_port = 1024
        self._waiting: dict[tuple, asyncio.Future[Header]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Take packets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._on_packet),
            local_addr=(self._host, self._ports.packets),
        )

    def stop(self) -> None:
        """Leave."""
        self._transport.close()

    async def open(self, service: tuple[str, int]) -> CallerFlow | None:
        """Open a flow; return None when it was refused or not answered."""
        self._next_port += 1
        flow = CallerFlow(self, (self._host, self._next_port), service)
        return flow if await flow.open() else None

    async def exchange(self, key: tuple, data: bytes) -> Header | None:
        """Send a packet, with copies, until something comes back on the flow."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[key] = waiter
        elapsed = 0.0
        for until in RETRANSMIT_SECONDS:
            self.send(key, data)
            done, _ = await asyncio.wait({waiter}, timeout=until - elapsed)
            elapsed = until
            if done:
                return waiter.result()
        return None

    def send(self, key: tuple, data: bytes) -> None:
        """Send a packet through the balancer of its flow."""
        self._transport.sendto(data, (self._router.choose(key), self._ports.packets))

    def _on_packet(self, data: bytes) -> None:
        header, _ = unpack_packet(data)
        waiter = self._waiting.get((header.target, header.source))
        if waiter is not None and not waiter.done():
            waiter.set_result(header)


class CallerFlow:
    """One flow of a caller."""

    def __init__(
        self, callers: OpaqueCallers, source: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._callers = callers
        self._key = (source, target)
        self._sequence = 100
        self._expected = 0
        self.reset = False

    @property
    def source(self) -> tuple[str, int]:
        """Return the caller's address and port."""
        return self._key[0]

    async def open(self) -> bool:
        """Return whether a backend server took the flow."""
        answer = await self._callers.exchange(self._key, self._packet(SYN))
        if answer is None or answer.flags & RST:
            return False
        self._sequence += 1
        self._expected = answer.sequence + 1
        self._callers.send(self._key, self._packet(ACK))
        return True

    async def ask(self) -> bool:
        """Send one request; return whether its own answer came."""
        packet = self._packet(ACK, b"GET /")
        answer = await self._callers.exchange(self._key, packet)
        if answer is None:
            return False
        if answer.flags & RST:
            self.reset = True
            return False
        self._sequence += 5
        self._expected = answer.sequence + 2
        return answer.acknowledged == self._sequence

    def _packet(self, flags: int, body: bytes = b"") -> bytes:
        header = Header(self._sequence, self._expected, 0, flags, *self._key)
        return pack_packet(header, body)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data)


def _pack_host(host: str) -> bytes:
    return bytes(int(part) for part in host.split("."))


def _unpack_host(data: bytes) -> str:
    return ".".join(map(str, data))
