"""Replay of a lasting overload in which one of many callers asks for far too much."""

from __future__ import annotations

from .overload_replay import ATTEMPT_SECONDS, MEAN_WORK_SECONDS, Replay, Request
from .passthrough_mesh import SERVICE, START, SYN, caller_packet

CALLERS = 200
# How many times its share the first caller asks for.
GREED = 30.0
SERVERS = 7


class FairReplay(Replay):
    """Play callers of which the first asks for many times its share.

    Parameters
    ----------
    seed : int
        Seed of arrivals and work.
    fair : bool
        Whether agents tell callers apart.
    """

    def __init__(self, seed: int, fair: bool) -> None:
        self.tells_callers_apart = fair
        self.asked: dict[int, list[Request]] = {n: [] for n in range(CALLERS)}
        self.caller_of: dict[int, int] = {}
        super().__init__(SERVERS, seed)

    def start_request(self) -> None:
        """Let a caller send a request, the first one by its greed more often."""
        load = 1.5 * CALLERS
        caller = 0
        if self.random.random() >= GREED / load:
            caller = self.random.randrange(1, CALLERS)
        work = MEAN_WORK_SECONDS * self.random.uniform(0.4, 1.6)
        request = Request(self.now, 0.1, 1.0, work)
        self.requests.append(request)
        self.asked[caller].append(request)
        self.caller_of[id(request)] = caller
        self.try_request(request)

    def try_request(self, request: Request) -> None:
        """Open a flow for a request, and give up when its attempt ends."""
        request.tries += 1
        caller, number = self.caller_of[id(request)], next(self.numbers)
        address = bytes([100, 64, 0, caller])
        key = address + (1024 + number % 60_000).to_bytes(2, "big") + SERVICE
        self.flows[key] = (request, self.random.choice(list(self.routers)))
        self.to_balancer(key, caller_packet(key, SYN))
        self.after(ATTEMPT_SECONDS, lambda: self.flows.pop(key, None))

    def answered_in_time(self, caller: int, start: float, end: float) -> int:
        """Return how many requests of a caller, sent in a span, met the objective."""
        return sum(
            r.answered_at is not None and r.answered_at - r.sent_at <= r.aim
            for r in self.asked[caller]
            if start <= r.sent_at - START < end
        )

    def share_of_others(self, start: float, end: float) -> float:
        """Return the share of the other callers' requests that met the objective."""
        sent = [
            r
            for caller in range(1, CALLERS)
            for r in self.asked[caller]
            if start <= r.sent_at - START < end
        ]
        met = sum(self.answered_in_time(c, start, end) for c in range(1, CALLERS))
        return met / max(1, len(sent))

    def longest_starved(self, start: float, end: float) -> float:
        """Return the longest time in which a caller that asked got no answer."""
        longest = 0.0
        for requests in self.asked.values():
            since = None
            for request in requests:
                if not start <= request.sent_at - START < end:
                    continue
                if request.answered_at is not None:
                    since = None
                    continue
                since = request.sent_at if since is None else since
                longest = max(longest, request.sent_at - since)
        return longest
