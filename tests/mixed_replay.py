"""Replay of long feeds and requests with a flow each on the same servers.

The servers differ in speed and process two requests at a time. Demand swings, and a few
requests take much longer than the rest. Callers that keep a feed send on it whenever a
request is due, and open it again after it has been idle.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field
from unittest.mock import patch

from berylturn.connection import passthrough_router
from berylturn.connection.placement.load_board import LoadBoard
from berylturn.platform import packets
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .overload_replay import ATTEMPT_SECONDS, MAX_RETRIES, Replay
from .passthrough_mesh import (
    ACK,
    FIN,
    HEADER,
    RST,
    SERVICE,
    START,
    SYN,
    backend_packet,
    caller_packet,
    flow_key,
)

FEED_ADDRESS = SERVICE
POST_ADDRESS = SERVICE[:4] + (8443).to_bytes(2, "big")
SLOTS = 2
FEED_SHARE = 0.75
WORK_SECONDS = 0.036
TAIL_SHARE, TAIL_FACTOR = 0.03, 7.0
AIM_SECONDS = 0.3
FEED_IDLE_SECONDS = 4.0
SWING_SECONDS = 8.0


@dataclass
class Pool:
    """A backend server with slots and a queue of requests, by flow."""

    speed: float
    waiting: deque[bytes] = field(default_factory=deque)
    running: int = 0
    busy_seconds: float = 0.0
    arrivals: int = 0


@dataclass
class Call:
    """One request, its work and its outcome."""

    sent_at: float
    work: float
    feed: int | None
    tries: int = 0
    answered_at: float | None = None


class MixedReplay(Replay):
    """Play feeds and single requests against servers of uneven speed.

    Parameters
    ----------
    servers : int
        Number of backend servers.
    seed : int
        Seed of arrivals and work.
    speeds : sequence of float
        Speeds of the servers, in turn.
    feeds : int
        Number of callers that keep a feed.
    feed_share : float
        Share of the requests that are sent on feeds.
    mixed : bool
        Whether the nodes place by `policy = mixed`.
    """

    def __init__(
        self,
        servers: int,
        seed: int,
        speeds: tuple[float, ...] = (0.6, 1.0, 1.6),
        feeds: int = 300,
        feed_share: float = FEED_SHARE,
        mixed: bool = False,
    ) -> None:
        self.mixed_placement = mixed
        super().__init__(servers, seed)
        self.work_random = random.Random(seed + 1)
        self.feed_share = feed_share
        self.feeds = feeds
        self.servers = {
            name: Pool(speeds[number % len(speeds)])
            for number, name in enumerate(self.servers)
        }
        self.capacity = SLOTS * sum(s.speed for s in self.servers.values())
        self.capacity /= WORK_SECONDS
        self.calls: list[Call] = []
        self.open_feeds: dict[int, bytes] = {}
        self.feed_used_at: dict[int, float] = {}
        self.busy_feeds: dict[int, deque[Call]] = {}
        self.calls_of: dict[bytes, Call] = {}
        self.balancer_of: dict[bytes, str] = {}
        share = (ServiceShare("desk", 1.0),)
        routes = {
            FEED_ADDRESS: Route("feed", share, 2, AIM_SECONDS, 1.5),
            POST_ADDRESS: Route("post", share, 1, AIM_SECONDS, 1.5),
        }
        self.change_table(RouteTable(3, routes, {"desk": ServiceLimits()}))
        for name in self.servers:
            self.report(name)

    def report(self, name: str, *args: object, **changes: object) -> bool:
        """Send a backend server's report with the slots of this replay."""
        changes["slots"] = SLOTS
        return super().report(name, *args, **changes)

    def play_wave(self, seconds: float, load: float, swing: float) -> None:
        """Offer a demand that swings around a share of the capacity."""
        most = load * (1 + swing) * self.capacity
        at = 0.0
        while (at := at + self.random.expovariate(most)) < seconds:
            wave = 1 + swing * math.cos(2 * math.pi * at / SWING_SECONDS)
            if self.random.random() < wave / (1 + swing):
                self.after(at, self.start_call)
        self.play([(seconds, 1e-9)])

    def start_call(self) -> None:
        """Let a caller send a request on its feed, or with a flow of its own."""
        work = WORK_SECONDS * self.work_random.uniform(0.5, 1.5)
        if self.work_random.random() < TAIL_SHARE:
            work *= TAIL_FACTOR
        work /= 1 + TAIL_SHARE * (TAIL_FACTOR - 1)
        feed = None
        if self.work_random.random() < self.feed_share:
            feed = self.work_random.randrange(self.feeds)
        call = Call(self.now, work, feed)
        self.calls.append(call)
        if feed is None:
            self.open_for(call)
        elif feed in self.busy_feeds:
            self.busy_feeds[feed].append(call)
        else:
            self.busy_feeds[feed] = deque()
            self.send_on_feed(call)

    def send_on_feed(self, call: Call) -> None:
        """Send a request on the caller's feed, or open one."""
        key = self.open_feeds.get(call.feed)
        idle = self.now - self.feed_used_at.get(call.feed, self.now)
        if key is not None and idle > FEED_IDLE_SECONDS:
            self.send_later(key, caller_packet(key, ACK | FIN, ack=900))
            del self.open_feeds[call.feed]
            key = None
        if key is None:
            self.open_for(call)
            return
        self.calls_of[key] = call
        self.feed_used_at[call.feed] = self.now
        self.send_later(key, caller_packet(key, ACK, ack=501, body=b"GET"))

    def open_for(self, call: Call) -> None:
        """Open a flow for a request."""
        call.tries += 1
        address = POST_ADDRESS if call.feed is None else FEED_ADDRESS
        key = flow_key(next(self.numbers), address)
        self.calls_of[key] = call
        centre = self.random if call.feed is None else random.Random(call.feed)
        self.balancer_of[key] = centre.choice(list(self.routers))
        self.send_later(key, caller_packet(key, SYN))
        self.after(ATTEMPT_SECONDS, lambda: self.give_up(key, call))

    def give_up(self, key: bytes, call: Call) -> None:
        """End an attempt that has got no answer."""
        if self.calls_of.get(key) is call:
            del self.calls_of[key]
            self.end_call(call)

    def end_call(self, call: Call) -> None:
        """Let a feed's caller send its next request."""
        if call.feed is None:
            return
        waiting = self.busy_feeds[call.feed]
        if waiting:
            self.send_on_feed(waiting.popleft())
        else:
            del self.busy_feeds[call.feed]

    def send_later(self, key: bytes, data: bytes) -> None:
        """Send a caller's packet to its balancer."""
        balancer = self.balancer_of[key]
        self.after(0.003, lambda: self.send(balancer, data))

    def on_server(self, name: str, data: bytes) -> None:
        """Handle a packet at a backend server."""
        segment = packets.decode_from_caller(data)
        pool = self.servers[name]
        if segment.opening:
            self.answer(name, backend_packet(segment.flow, SYN | ACK, 500))
        elif segment.size:
            pool.arrivals += 1
            pool.waiting.append(segment.flow)
            self.start_work(name)
        elif segment.closing:
            self.answer(name, backend_packet(segment.flow, ACK | FIN, 900))

    def start_work(self, name: str, key: bytes = b"") -> None:
        """Process requests while slots are free."""
        pool = self.servers[name]
        while pool.waiting and pool.running < SLOTS:
            key = pool.waiting.popleft()
            call = self.calls_of.get(key)
            seconds = (call.work if call is not None else WORK_SECONDS) / pool.speed
            pool.running += 1
            pool.busy_seconds += seconds

            def end(key: bytes = key) -> None:
                pool.running -= 1
                self.finish(name, key, b"200")
                self.start_work(name)

            self.after(seconds, end)

    def finish(self, name: str, key: bytes, body: bytes) -> None:
        """Answer a request; close a flow that has just one."""
        closing = 0 if key[6:] == FEED_ADDRESS else FIN
        self.answer(name, backend_packet(key, ACK | closing, 501, body=body))

    def on_caller(self, data: bytes) -> None:
        """Handle a packet at a caller."""
        key = packets.decode_from_backend(data).flow
        call = self.calls_of.get(key)
        if call is None:
            return
        flags, body = HEADER.unpack_from(data)[4], data[HEADER.size :]
        if flags & RST:
            del self.calls_of[key]
            if call.tries <= MAX_RETRIES:
                self.open_for(call)
            else:
                self.end_call(call)
        elif flags & SYN:
            if call.feed is not None:
                self.open_feeds[call.feed] = key
                self.feed_used_at[call.feed] = self.now
            self.send_later(key, caller_packet(key, ACK, ack=501, body=b"GET"))
        elif body == b"200":
            del self.calls_of[key]
            if call.feed is None:
                self.send_later(key, caller_packet(key, ACK | FIN, ack=505))
            call.answered_at = self.now
            self.end_call(call)

    def measure(self, start: float, end: float) -> dict[str, float]:
        """Return the share late, percentiles in ms, and the busiest against the mean.

        Times count from when a request was due.
        """
        sent = [c for c in self.calls if start <= c.sent_at - START < end]
        seconds = sorted(
            (c.answered_at or math.inf) - c.sent_at if c.answered_at else math.inf
            for c in sent
        )
        busy = [pool.busy_seconds for pool in self.servers.values()]
        return {
            "late": sum(s > AIM_SECONDS for s in seconds) / len(seconds),
            "p50": 1000 * seconds[len(seconds) // 2],
            "p99": 1000 * seconds[int(len(seconds) * 0.99)],
            "busiest": max(busy) * len(busy) / sum(busy),
        }


def choose_least_running(
    ranked: list, data_centre: str, board: LoadBoard, *args: object, **kwargs: object
) -> object:
    """Return the agent whose last report names the fewest requests."""
    now = args[1]
    return min(ranked, key=lambda agent: running_of(board, agent.host, now))


def choose_of_two(
    ranked: list, data_centre: str, board: LoadBoard, *args: object, **kwargs: object
) -> object:
    """Return the less loaded of the first two agents in the flow's order."""
    return choose_least_running(ranked[:2], data_centre, board, *args)


def choose_by_hash(ranked: list, *args: object, **kwargs: object) -> object:
    """Return the first agent in the flow's order."""
    return ranked[0]


def running_of(board: LoadBoard, host: str, now: float) -> int:
    """Return the requests that an agent last reported."""
    report = board.fresh_report(host, now)
    return report.outstanding if report is not None else 0


RULES = {
    "mixed": None,
    "plain": None,
    "least running": choose_least_running,
    "two choices": choose_of_two,
    "weighted hash": choose_by_hash,
}
REPLAY_SECONDS = 2.25 * SWING_SECONDS


def measure_rule(
    rule: str, seed: int, speeds: tuple[float, ...], load: float, feeds: int
) -> dict[str, float]:
    """Return the figures of one rule; the simple ones replace the nodes' choice."""
    replay = MixedReplay(24, seed, speeds, feeds, mixed=rule == "mixed")
    choose = RULES[rule] or passthrough_router.choose_for_opening
    with patch.object(passthrough_router, "choose_for_opening", choose):
        replay.play_wave(REPLAY_SECONDS, load, 0.55)
    return replay.measure(0.0, REPLAY_SECONDS)


def print_table() -> None:
    """Print the figures of all rules side by side."""
    for name, speeds, load, feeds in (
        ("even", (1.0,), 0.5, 600),
        ("uneven", (0.6, 1.0, 1.6), 0.55, 900),
    ):
        for rule in RULES:
            rows = [measure_rule(rule, n, speeds, load, feeds) for n in range(1, 9)]
            figures = {
                key: sum(row[key] for row in rows) / len(rows) for key in rows[0]
            }
            print(
                f"| {name} | {rule} | {100 * figures['late']:.2f} % | "
                f"{figures['p50']:.0f} | {figures['p99']:.0f} | "
                f"{figures['busiest']:.2f} |"
            )


if __name__ == "__main__":
    print_table()
