"""Replay of requests that each open a flow, in virtual time, on the nodes' own rules.

The servers process a few requests at a time, queue some more and reject the rest, and
differ in speed. Callers send an opening, then the request, and open again after a
failure. Frames and packets take time, so balancers and agents decide by old reports.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from berylturn.connection.passthrough_effects import ToBackend, ToCaller, ToPeer
from berylturn.connection.peer_frames import Forward, Load, Owned
from berylturn.platform import packets
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .passthrough_mesh import (
    ACK,
    FIN,
    HEADER,
    RST,
    SERVICE,
    START,
    SYN,
    Mesh,
    backend_packet,
    caller_packet,
    flow_key,
)

CALLER_SECONDS = 0.003
NODE_SECONDS = 0.0015
REPORT_SECONDS = 0.5
SIBLING_REPORT_SECONDS = 0.1
QUEUE_CHECK_SECONDS = 0.03
SERVER_QUEUE = 8
MAX_RETRIES = 2
ATTEMPT_SECONDS = 1.4
MEAN_WORK_SECONDS = 0.016
SPEEDS = (0.7, 0.7, 1.7)


@dataclass
class Server:
    """A backend server with one slot, a short queue, and a speed."""

    speed: float
    waiting: deque[bytes] = field(default_factory=deque)
    running: bytes | None = None
    busy_seconds: float = 0.0
    rejected: int = 0
    arrivals: int = 0


@dataclass
class Request:
    """One request of a caller, and its outcome."""

    sent_at: float
    aim: float
    deadline: float
    work: float
    tries: int = 0
    answered_at: float | None = None


class Replay(Mesh):
    """Play an open-loop load against a number of servers.

    Parameters
    ----------
    servers : int
        Number of backend servers, in turn of the speeds in `SPEEDS`.
    seed : int
        Seed of arrivals and work.
    """

    data_centres = 4

    def __init__(self, servers: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.numbers = itertools.count()
        self.requests: list[Request] = []
        self.flows: dict[bytes, tuple[Request, str]] = {}
        self.running_timers: set[str] = set()
        centres = ["dc-a", "dc-b", "dc-c", "dc-d"][: self.data_centres]
        agents = {f"a{n}": (centres[n % len(centres)], "desk") for n in range(servers)}
        balancers = {f"f{n}": centre for n, centre in enumerate(centres)}
        self.servers = {
            name: Server(SPEEDS[n % len(SPEEDS)]) for n, name in enumerate(agents)
        }
        super().__init__(agents, balancers)
        share = (ServiceShare("desk", 1.0),)
        route = Route("r", share, 1, 0.1, 1.0)
        self.change_table(RouteTable(2, {SERVICE: route}, {"desk": ServiceLimits()}))
        for name in agents:
            self.report(name, slots=1)
        self.capacity = sum(s.speed for s in self.servers.values()) / MEAN_WORK_SECONDS

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        due = self.now + seconds
        heapq.heappush(self.timers, (due, next(self.order), action))

    def play(self, phases: list[tuple[float, float]]) -> None:
        """Offer a load in phases of seconds and multiples of the servers' capacity."""
        for name in self.servers:
            self.after(self.random.uniform(0, REPORT_SECONDS), self.make_report(name))
        starts_at = 0.0
        for seconds, load in phases:
            at = starts_at
            starts_at += seconds
            while (
                at := at + self.random.expovariate(load * self.capacity)
            ) < starts_at:
                self.after(at, self.start_request)
        end = START + starts_at
        while self.timers and self.timers[0][0] < end + 2.0:
            self.now, _, action = heapq.heappop(self.timers)
            action()

    def make_report(self, name: str) -> Callable[[], None]:
        """Return the periodic report of one agent."""

        def report() -> None:
            rules = self.agents[name]
            self.report(name, slots=1)
            rules.smooth_load(self.now)
            self._run_effects(name, rules.judge_server(self.now))
            frame = Load(rules.load_report(self.now))
            peers = [*self.routers, *(p for p in self.servers if p != name)]
            self._run_effects(name, [ToPeer(peer, frame) for peer in peers])
            self.after(REPORT_SECONDS, report)

        return report

    def start_request(self) -> None:
        """Let a new caller send a request."""
        work = MEAN_WORK_SECONDS * self.random.uniform(0.4, 1.6)
        request = Request(self.now, 0.1, 1.0, work)
        self.requests.append(request)
        self.try_request(request)

    def try_request(self, request: Request) -> None:
        """Open a flow for a request, and give up when its attempt ends."""
        request.tries += 1
        balancer = self.random.choice(list(self.routers))
        key = flow_key(next(self.numbers))
        self.flows[key] = (request, balancer)
        self.to_balancer(key, caller_packet(key, SYN))
        self.after(ATTEMPT_SECONDS, lambda: self.flows.pop(key, None))

    def to_balancer(self, key: bytes, data: bytes) -> None:
        """Send a caller's packet to its balancer."""
        balancer = self.flows[key][1]
        self.after(CALLER_SECONDS, lambda: self.send(balancer, data))

    def _run_effects(self, name: str, effects: list) -> None:
        """Deliver the effects of one node after their delays."""
        for effect in effects:
            if type(effect) is ToCaller:
                self.after(CALLER_SECONDS, lambda e=effect: self.on_caller(e.data))
            elif type(effect) is ToBackend:
                self.on_server(name, effect.data)
            elif type(effect) is ToPeer:
                self.after(NODE_SECONDS, lambda e=effect, n=name: self.deliver(n, e))
        if name in self.servers and self.agents[name].queued:
            self.check_later("queue", name, QUEUE_CHECK_SECONDS)
        if name in self.servers and self.agents[name].has_short_flows:
            self.check_later("load", name, SIBLING_REPORT_SECONDS)

    def check_later(self, kind: str, name: str, seconds: float) -> None:
        """Start one of an agent's timers unless it runs."""
        if kind + name in self.running_timers:
            return
        self.running_timers.add(kind + name)

        def check() -> None:
            self.running_timers.remove(kind + name)
            rules = self.agents[name]
            if kind == "queue":
                self._run_effects(name, rules.admit_queued(self.now))
                return
            frame = Load(rules.load_report(self.now))
            for peer in (p for p in self.servers if p != name):
                self.after(NODE_SECONDS, lambda p=peer: self.hear(p, name, frame))

        self.after(seconds, check)

    def hear(self, receiver: str, sender: str, frame: Load) -> None:
        """Deliver a load report between siblings."""
        self.boards[receiver].record_report(sender, frame.load, self.now)
        if frame.load.ejected_ms:
            rules = self.agents[receiver]
            self._run_effects(receiver, rules.on_ejected_sibling(self.now))

    def deliver(self, sender: str, effect: ToPeer) -> None:
        """Deliver one frame between nodes."""
        frame, host = effect.frame, effect.host
        if host in self.routers:
            if isinstance(frame, Owned | Load):
                self.routers[host].on_frame(sender, frame, self.now)
        elif type(frame) is Load:
            self.hear(host, sender, frame)
        elif type(frame) is Forward:
            segment = packets.decode_from_caller(frame.data)
            rules = self.agents[host]
            self._run_effects(host, rules.on_forward(frame, segment, self.now))

    def on_server(self, name: str, data: bytes) -> None:
        """Handle a packet at a backend server."""
        segment = packets.decode_from_caller(data)
        server = self.servers[name]
        if segment.opening:
            self.answer(name, backend_packet(segment.flow, SYN | ACK, 500))
        elif segment.size and segment.flow in self.flows:
            server.arrivals += 1
            if server.running is None:
                self.start_work(name, segment.flow)
            elif len(server.waiting) < SERVER_QUEUE:
                server.waiting.append(segment.flow)
            else:
                server.rejected += 1
                self.finish(name, segment.flow, b"503")

    def start_work(self, name: str, key: bytes) -> None:
        """Process a request at a backend server."""
        server = self.servers[name]
        request, _ = self.flows.get(key, (Request(0, 0, 0, MEAN_WORK_SECONDS), ""))
        seconds = request.work / server.speed
        server.running = key
        server.busy_seconds += seconds

        def end() -> None:
            self.finish(name, key, b"200" + bytes(600))
            server.running = None
            if server.waiting:
                self.start_work(name, server.waiting.popleft())

        self.after(seconds, end)

    def finish(self, name: str, key: bytes, body: bytes) -> None:
        """Answer a request and close its flow."""
        self.answer(name, backend_packet(key, ACK | FIN, 501, body=body))

    def answer(self, name: str, data: bytes) -> None:
        """Pass a backend server's packet to its agent."""
        segment = packets.decode_from_backend(data)
        rules = self.agents[name]
        self._run_effects(name, rules.on_backend(segment, self.now))

    def on_caller(self, data: bytes) -> None:
        """Handle a packet at a caller."""
        key = packets.decode_from_backend(data).flow
        if key not in self.flows:
            return
        request = self.flows[key][0]
        flags, body = HEADER.unpack_from(data)[4], data[HEADER.size :]
        if flags & RST or body == b"503":
            del self.flows[key]
            late = self.now > request.sent_at + request.deadline
            if request.tries <= MAX_RETRIES and not late:
                self.try_request(request)
        elif self.now > request.sent_at + request.deadline:
            del self.flows[key]
        elif flags & SYN:
            self.to_balancer(key, caller_packet(key, ACK, ack=501, body=b"GET"))
        elif body.startswith(b"200"):
            self.to_balancer(key, caller_packet(key, ACK | FIN, ack=505))
            del self.flows[key]
            request.answered_at = self.now

    def share_in_aim(self, start: float, end: float) -> float:
        """Return the share of the requests sent in a span that met their objective."""
        sent = [r for r in self.requests if start <= r.sent_at - START < end]
        met = [
            r
            for r in sent
            if r.answered_at is not None and r.answered_at - r.sent_at <= r.aim
        ]
        return len(met) / max(1, len(sent))

    def served_per_capacity(self, start: float, end: float) -> float:
        """Return the answers in a span as a multiple of the servers' capacity."""
        answered = [
            r
            for r in self.requests
            if r.answered_at is not None
            and start <= r.answered_at - START < end
            and r.answered_at - r.sent_at <= r.deadline
        ]
        return len(answered) / (end - start) / self.capacity

    @property
    def rejected_share(self) -> float:
        """Return the share of arrivals that the servers rejected."""
        arrivals = sum(server.arrivals for server in self.servers.values())
        return sum(s.rejected for s in self.servers.values()) / max(1, arrivals)
