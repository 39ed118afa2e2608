"""Stand-ins of the two ends of a passthrough flow, and of the routers between.

Each host is a loopback address of its own, so that all hosts have the same ports.
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
    BODY_AT,
    BOUNCED,
    FLAGS_AT,
    KEYED_SUM_BYTES,
    RST,
    SUM_AT,
    SYN,
    Header,
    pack_packet,
    unpack_packet,
)

# The platform's callers take a reset this near to their own position.
RESET_WINDOW = 76_800
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
    answers: bytes = b""
    chosen: bool = False

    def is_chosen_by(self, acknowledged: int) -> bool:
        """Tell whether the caller's position shows that it took this server's answer.

        Copies of an opening may reach two servers; the caller goes on with one.
        """
        self.chosen = self.chosen or acknowledged == self.first_sequence + 1
        return self.chosen


@dataclass(frozen=True, slots=True)
class Opening:
    """One flow that a backend server took: when, from whom, and to which address."""

    at: float
    caller: tuple[str, int]
    service: tuple[str, int]


@dataclass
class OpaqueBackend:
    """A backend server that answers each request on a flow with its content.

    Attributes
    ----------
    host : str
        IP address of its host.
    opened : list of Opening
        Flows that it took.
    ran : Counter of bytes
        How often it ran each request.
    forged : int
        Packets that no caller wrote so.
    """

    host: str
    service: str
    data_centre: str
    ports: Ports
    started_ms: int
    state: str = "ready"
    cold_ms: int = 0
    opened: list[Opening] = field(default_factory=list)
    ran: Counter[bytes] = field(default_factory=Counter)
    forged: int = 0
    _flows: dict[tuple, _BackendFlow] = field(default_factory=dict)
    _sequence: int = 0
    _cold_from: float = 0.0
    _transport: asyncio.DatagramTransport | None = None

    @property
    def answered(self) -> int:
        """Return how many requests it ran."""
        return self.ran.total()

    def holds(self, caller: tuple[str, int], service: tuple[str, int]) -> bool:
        """Tell whether a flow is open here."""
        flow = self._flows.get((caller, service))
        return flow is not None and flow.chosen

    async def start(self) -> None:
        """Take packets."""
        loop = asyncio.get_running_loop()
        address = (self.host, self.ports.backend)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._on_packet), local_addr=address
        )

    def stop(self) -> None:
        """Die, with all flows."""
        if self._transport is not None:
            self._transport.abort()
        self._flows.clear()

    def restart(self, clock_ms: int = 1, cold_ms: int = 0) -> None:
        """Begin anew under the same name, without any flow.

        Parameters
        ----------
        clock_ms : int
            How much later it starts by its own clock, which may have been set back.
        cold_ms : int
            How long it stays cold.
        """
        self.started_ms += clock_ms
        self.cold_ms = cold_ms
        self._cold_from = asyncio.get_running_loop().time()
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
            "cold_remaining_ms": self._cold_left(),
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

    def _cold_left(self) -> int:
        since = asyncio.get_running_loop().time() - self._cold_from
        return max(0, self.cold_ms - int(since * 1000))

    def _on_packet(self, data: bytes) -> None:
        header, body = unpack_packet(data)
        key = (header.source, header.target)
        flow = self._flows.get(key)
        if data[SUM_AT:BODY_AT] != KEYED_SUM_BYTES:
            self.forged += 1
        elif header.flags & SYN:
            if flow is None:
                flow = _BackendFlow(random.getrandbits(31), header.sequence + 1)
                self._flows[key] = flow
                now = asyncio.get_running_loop().time()
                self.opened.append(Opening(now, *key))
            self._send(header, flow.first_sequence, SYN | ACK, flow.caller_next)
        elif flow is None or not flow.is_chosen_by(header.acknowledged):
            flags = bytes([data[FLAGS_AT] | BOUNCED])
            back = data[:FLAGS_AT] + flags + data[FLAGS_AT + 1 :]
            self._transport.sendto(back, (self.host, self.ports.outbound))
        elif body:
            if header.sequence == flow.caller_next:
                flow.caller_next += len(body)
                flow.answers += body
                self.ran[body] += 1
            at = flow.first_sequence + 1 + len(flow.answers) - len(body)
            self._send(header, at, ACK, flow.caller_next, flow.answers[-len(body) :])

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
        self._waiting: dict[
            tuple, tuple[asyncio.Future[tuple[Header, bytes]], int | None]
        ] = {}
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
        if self._transport is not None:
            self._transport.close()

    def make_flow(self, service: tuple[str, int]) -> CallerFlow:
        """Return a flow that is not open yet."""
        self._next_port += 1
        return CallerFlow(self, (self._host, self._next_port), service)

    async def open(self, service: tuple[str, int]) -> CallerFlow | None:
        """Open a flow; return None when it was refused or not answered."""
        flow = self.make_flow(service)
        return flow if await flow.open() else None

    async def exchange(
        self, key: tuple, data: bytes, expected: int | None
    ) -> tuple[Header, bytes] | None:
        """Send a packet, with copies, until the next packet of the flow comes back.

        Others than the one at the `expected` sequence number are dropped: copies
        of earlier answers, acceptances by a server that the caller did not choose.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[key] = (waiter, expected)
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
        header, body = unpack_packet(data)
        waiter, expected = self._waiting.get((header.target, header.source), (None, 0))
        if waiter is None or waiter.done():
            return
        if expected in (None, header.sequence) or _is_reset_of(header, expected):
            waiter.set_result((header, body))


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
        self.crossed = False

    @property
    def source(self) -> tuple[str, int]:
        """Return the caller's address and port."""
        return self._key[0]

    @property
    def target(self) -> tuple[str, int]:
        """Return the service's address and port."""
        return self._key[1]

    async def open(self) -> bool:
        """Return whether a backend server took the flow."""
        found = await self._callers.exchange(self._key, self._packet(SYN), None)
        if found is None:
            return False
        answer, _ = found
        if answer.flags & RST:
            self.reset = True
            return False
        self._sequence += 1
        self._expected = answer.sequence + 1
        self._callers.send(self._key, self._packet(ACK))
        return True

    async def send_request(self, content: bytes = b"GET /") -> bool:
        """Send one request; return whether its own answer came."""
        packet = self._packet(ACK, content)
        found = await self._callers.exchange(self._key, packet, self._expected)
        if found is None:
            return False
        answer, body = found
        if answer.flags & RST:
            self.reset = True
            return False
        self._sequence += len(content)
        if answer.acknowledged != self._sequence or body != content:
            self.crossed = True
            return False
        self._expected = answer.sequence + len(body)
        return True

    def _packet(self, flags: int, body: bytes = b"") -> bytes:
        header = Header(self._sequence, self._expected, 0, flags, *self._key)
        return pack_packet(header, body)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data)


def _is_reset_of(header: Header, expected: int) -> bool:
    """Tell whether a packet resets an open flow at its caller's position.

    The reset of a refused opening, which knows no position, does not end a flow that a
    copy of the opening has opened elsewhere.
    """
    return bool(header.flags & RST) and abs(header.sequence - expected) <= RESET_WINDOW
