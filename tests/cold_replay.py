"""Replay of callers that reopen their flows while all servers of a service are cold.

Servers lose power together, report one after another within half a second, and admit
few openings until their cold start ends. Callers send copies of an opening, open again
after a refusal or a lost attempt, and leave at the deadline of their request.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from berylturn.connection.passthrough_effects import ToPeer
from berylturn.connection.peer_frames import Load
from berylturn.platform import packets
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .overload_replay import REPORT_SECONDS, Replay, Request, Server
from .passthrough_mesh import SERVICE, START, SYN, caller_packet, flow_key

ATTEMPT_SECONDS = 1.4
COPY_SECONDS = (0.2, 0.6)
MAX_RETRIES = 2
COLD_SECONDS = 2.0
# Openings per second at a cold server: the slack of the mesh's gate.
COLD_LIMIT = 5
# Window of the platform's limit.
WINDOW_SECONDS = 1.0
FIRST_REPORT_SECONDS = (0.3, 0.8)
MEAN_WORK_SECONDS = 0.033
SERVERS = 12
HEARTBEAT_SECONDS = 1.2


@dataclass
class Outcomes:
    """Outcomes of requests.

    Attributes
    ----------
    in_time, late, lost : int
        Requests answered within their objective, later, and not at all.
    used_up : int
        Lost ones of callers that had no retry left.
    """

    in_time: int = 0
    late: int = 0
    lost: int = 0
    used_up: int = 0


class ColdReplay(Replay):
    """Play callers against servers that have restarted together.

    Parameters
    ----------
    load : float
        New requests per second as a multiple of the cold limit of all servers.
    seed : int
        Seed of arrivals and work.
    aim, deadline : float
        Latency objective of the requests, and the time after which callers leave.
    """

    def __init__(
        self, load: float, seed: int, aim: float = 0.3, deadline: float = 2.0
    ) -> None:
        super().__init__(SERVERS, seed)
        self.aim, self.deadline = aim, deadline
        # First arrival of each flow's opening at a server.
        self.arrived: dict[str, dict[bytes, float]] = {n: {} for n in self.servers}
        self.opened: set[bytes] = set()
        share = (ServiceShare("desk", 1.0),)
        route = Route("r", share, 1, aim, deadline)
        limits = {"desk": ServiceLimits(cold_seconds=COLD_SECONDS)}
        self.change_table(RouteTable(2, {SERVICE: route}, limits))
        for name in self.servers:
            self.servers[name] = Server(1.0)
            self.start_agent(name, reported=False, unix_ms=1)
            self.gates[name].set_limits(limits["desk"], START)
            first = self.random.uniform(*FIRST_REPORT_SECONDS)
            self.after(first, self.make_heartbeat(name))
            self.after(self.random.uniform(0, REPORT_SECONDS), self.make_report(name))
        rate = load * COLD_LIMIT * SERVERS
        # The callers whose flows ended with the power come all at once.
        for _ in range(int(rate / 2)):
            self.after(self.random.uniform(0.0, 0.2), self.start_request)
        at = 0.0
        while (at := at + self.random.expovariate(rate)) < 4.0:
            self.after(at, self.start_request)

    def play_for(self, seconds: float) -> None:
        """Run all that is due within some seconds of the restart."""
        while self.timers and self.timers[0][0] < START + seconds:
            self.now, _, action = heapq.heappop(self.timers)
            action()

    def make_report(self, name: str) -> Callable[[], None]:
        """Return the periodic load report of one agent."""

        def report() -> None:
            rules = self.agents[name]
            rules.smooth_load(self.now)
            self.send_load(name)
            self.after(REPORT_SECONDS, report)

        return report

    def make_heartbeat(self, name: str) -> Callable[[], None]:
        """Return the periodic report of a server that started with its agent."""

        def heartbeat() -> None:
            cold = max(0.0, START + COLD_SECONDS - self.now)
            self.report(name, started_ms=2, slots=1, cold_seconds=cold)
            self._run_effects(name, self.agents[name].admit_queued(self.now))
            self.send_load(name)
            self.after(HEARTBEAT_SECONDS, heartbeat)

        return heartbeat

    def send_load(self, name: str) -> None:
        """Send the load of one agent to all other nodes."""
        frame = Load(self.agents[name].load_report(self.now))
        peers = [*self.routers, *(set(self.servers) - {name})]
        self._run_effects(name, [ToPeer(peer, frame) for peer in sorted(peers)])

    def start_request(self) -> None:
        """Let a new caller send a request."""
        work = MEAN_WORK_SECONDS * self.random.uniform(0.4, 1.6)
        request = Request(self.now, self.aim, self.deadline, work)
        self.requests.append(request)
        self.try_request(request)

    def try_request(self, request: Request) -> None:
        """Open a flow for a request, with copies, and again when its attempt ends."""
        request.tries += 1
        key = flow_key(next(self.numbers))
        balancer = self.random.choice(list(self.routers))
        self.flows[key] = (request, balancer)
        self.to_balancer(key, caller_packet(key, SYN))
        for count, seconds in enumerate(COPY_SECONDS, 1):
            self.after(seconds, lambda n=count: self.send_copy(key, n))
        self.after(ATTEMPT_SECONDS, lambda: self.end_attempt(key))

    def send_copy(self, key: bytes, count: int) -> None:
        """Send an opening again unless it has been answered."""
        if key in self.flows and key not in self.opened:
            self.to_balancer(key, caller_packet(key, SYN, ack=count))

    def end_attempt(self, key: bytes) -> None:
        """Give up an opening that has had no answer."""
        if key in self.flows and key not in self.opened:
            request, _ = self.flows.pop(key)
            if self.may_retry(request):
                self.try_request(request)

    def may_retry(self, request: Request) -> bool:
        """Tell whether a caller opens another flow for its request."""
        in_time = self.now < request.sent_at + request.deadline
        return request.tries <= MAX_RETRIES and in_time

    def on_caller(self, data: bytes) -> None:
        """Handle a packet at a caller."""
        segment = packets.decode_from_backend(data)
        if segment.accepting:
            self.opened.add(segment.flow)
        super().on_caller(data)

    def on_server(self, name: str, data: bytes) -> None:
        """Handle a packet at a backend server, and note when openings arrive."""
        segment = packets.decode_from_caller(data)
        if segment.opening:
            self.arrived[name].setdefault(segment.flow, self.now)
        super().on_server(name, data)

    def count(self, start: float, end: float) -> Outcomes:
        """Count the outcomes of the requests sent in a span."""
        outcomes = Outcomes()
        for request in self.requests:
            if not start <= request.sent_at - START < end:
                continue
            if request.answered_at is None:
                outcomes.lost += 1
                outcomes.used_up += request.tries > MAX_RETRIES
            elif request.answered_at - request.sent_at <= request.aim:
                outcomes.in_time += 1
            else:
                outcomes.late += 1
        return outcomes

    def busiest_second(self, name: str) -> int:
        """Return the most openings that reached a cold server within a second."""
        cold = [at for at in self.arrived[name].values() if at < START + COLD_SECONDS]
        return max(
            (sum(at <= x < at + WINDOW_SECONDS for x in cold) for at in cold), default=0
        )

    @property
    def cold_openings(self) -> int:
        """Return the number of openings that reached cold servers."""
        ends = START + COLD_SECONDS
        return sum(
            at < ends for times in self.arrived.values() for at in times.values()
        )
