"""Replay of repeatable requests while agents stall now and then, in virtual time.

Each request opens a flow, and one of twenty takes twenty times as long. Callers send
copies of an opening without an answer, and accept the first server that answers.
"""

from __future__ import annotations

import random

from berylturn.connection.admission.second_offers import SecondOfferLimits
from berylturn.connection.passthrough_effects import ToPeer
from berylturn.platform import packets
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .overload_replay import CALLER_SECONDS, Replay, Request
from .passthrough_mesh import (
    ACK,
    FIN,
    HEADER,
    RST,
    SERVICE,
    SYN,
    backend_packet,
    caller_packet,
    mark_returned,
)

COPY_SECONDS = (0.2, 0.6)
STALL_SECONDS = 0.3
SECONDS_BETWEEN_STALLS = 6.0
CHECK_SECONDS = 0.01
SHORT_WORK_SECONDS = 0.002
TAIL_SHARE = 0.05
TAIL_FACTOR = 20
DELAY_SECONDS = 0.05
MAX_PROGRESS = 1_000


class StallReplay(Replay):
    """Play repeatable requests, with a limit of second offers.

    Parameters
    ----------
    share : float
        Largest share of openings that are offered a second time.
    repeatable : bool
        Whether the route says that its requests may be repeated.
    """

    data_centres = 2

    def __init__(
        self, servers: int, seed: int, share: float, repeatable: bool = True
    ) -> None:
        self.offer_limits = SecondOfferLimits(share, DELAY_SECONDS)
        # Of its own, so that all shares meet the same stalls.
        self.stalls = random.Random(seed)
        self.stalled_until: dict[str, float] = {}
        self.accepted: dict[bytes, int] = {}
        self.handshakes = 0
        self.openings = 0
        super().__init__(servers, seed)
        shares = (ServiceShare("desk", 1.0),)
        route = Route("r", shares, 1, 1.0, 4.0, repeatable)
        self.change_table(RouteTable(3, {SERVICE: route}, {"desk": ServiceLimits()}))

    def play(self, phases: list[tuple[float, float]]) -> None:
        """Offer a load while one agent after the other stalls for a while."""
        self.after(SECONDS_BETWEEN_STALLS, self.stall_one)
        self.after(CHECK_SECONDS, self.check_nodes)
        super().play(phases)

    def stall_one(self) -> None:
        """Stall the agent of a random server."""
        name = self.stalls.choice(list(self.servers))
        self.stalled_until[name] = self.now + STALL_SECONDS
        self.after(SECONDS_BETWEEN_STALLS, self.stall_one)

    def check_nodes(self) -> None:
        """Run the timers of balancers and agents."""
        for name, router in self.routers.items():
            self._run_effects(name, router.offer_overdue(self.now))
        for name, rules in self.agents.items():
            rules.sweep(self.now, 60.0)
            if rules.is_searching:
                self._run_effects(name, rules.continue_searches(self.now))
            self._run_effects(name, rules.pop_queued_frames())
        self.after(CHECK_SECONDS, self.check_nodes)

    def start_request(self) -> None:
        """Let a new caller send a request, of which some take long."""
        is_long = self.random.random() < TAIL_SHARE
        work = SHORT_WORK_SECONDS * (TAIL_FACTOR if is_long else 1)
        request = Request(self.now, 1.0, 4.0, work)
        self.requests.append(request)
        self.try_request(request)

    def try_request(self, request: Request) -> None:
        """Open a flow for a request, with copies while no server has answered."""
        super().try_request(request)
        self.openings += 1
        key = next(reversed(self.flows))
        for number, seconds in enumerate(COPY_SECONDS, 1):
            self.after(seconds, lambda n=number: self.send_copy(key, n))

    def send_copy(self, key: bytes, number: int) -> None:
        """Send a copy of an opening unless a server has answered."""
        if key in self.flows and key not in self.accepted:
            self.to_balancer(key, caller_packet(key, SYN, ack=number))

    def is_stalled(self, name: str) -> bool:
        """Tell whether an agent is stalled now."""
        return self.now < self.stalled_until.get(name, 0.0)

    def _run_effects(self, name: str, effects: list) -> None:
        """Deliver the effects of one node, those of a stalled one later."""
        if effects and self.is_stalled(name):
            self.after(
                self.stalled_until[name] - self.now,
                lambda: self._run_effects(name, effects),
            )
        else:
            super()._run_effects(name, effects)

    def deliver(self, sender: str, effect: ToPeer) -> None:
        """Deliver one frame, to a stalled agent later."""
        if self.is_stalled(effect.host):
            seconds = self.stalled_until[effect.host] - self.now
            self.after(seconds, lambda: self.deliver(sender, effect))
        else:
            self._run_effects(effect.host, self._deliver(sender, effect))

    def answer(self, name: str, data: bytes) -> None:
        """Pass a backend server's packet to its agent, to a stalled one later."""
        if self.is_stalled(name):
            seconds = self.stalled_until[name] - self.now
            self.after(seconds, lambda: self.answer(name, data))
        else:
            super().answer(name, data)

    def on_server(self, name: str, data: bytes) -> None:
        """Handle a packet at a backend server, which returns those of other flows."""
        segment = packets.decode_from_caller(data)
        first = self.backends[name].first_sequence
        if segment.opening:
            self.handshakes += 1
            self.answer(name, backend_packet(segment.flow, SYN | ACK, first))
        elif 0 < segment.acknowledged - first < MAX_PROGRESS:
            super().on_server(name, data)
        else:
            self.answer(name, mark_returned(data))

    def finish(self, name: str, key: bytes, body: bytes) -> None:
        """Answer a request and close its flow."""
        first = self.backends[name].first_sequence
        self.answer(name, backend_packet(key, ACK | FIN, first + 1, body=body))

    def on_caller(self, data: bytes) -> None:
        """Handle a packet at a caller."""
        key = packets.decode_from_backend(data).flow
        sequence, flags = HEADER.unpack_from(data)[0], HEADER.unpack_from(data)[4]
        if key not in self.flows:
            return
        if flags & SYN:
            if key not in self.accepted:
                self.accepted[key] = sequence
                request = caller_packet(key, ACK, ack=sequence + 1, body=b"GET")
                self.to_balancer(key, request)
            return
        if flags & FIN and not flags & RST:
            closing = caller_packet(key, ACK | FIN, ack=self.accepted[key] + 5)
            balancer = self.flows[key][1]
            self.after(CALLER_SECONDS, lambda: self.send(balancer, closing))
            request = self.flows.pop(key)[0]
            request.answered_at = self.now
            return
        super().on_caller(data)

    def latency(self, quantile: float) -> float:
        """Return a quantile of the seconds from a request to its answer."""
        seconds = sorted(
            (r.answered_at or float("inf")) - r.sent_at for r in self.requests
        )
        return seconds[int(quantile * len(seconds))]

    @property
    def offered_per_flow(self) -> float:
        """Return how often an opening was offered by a balancer's second offer."""
        return len(self.events("second_offer")) / self.openings
