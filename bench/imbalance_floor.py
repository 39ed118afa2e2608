"""Compute the imbalance that chance alone leaves when placement is perfect.

Every server gets exactly its share by capacity of requests that arrive at random,
in virtual time and with the meter of `make measure`: windows of 1 s, highest over
mean busy share. Flows stay where they are, so no placement of flows can do better
on average. Prints one JSON line for each shape and service.
"""

from __future__ import annotations

import heapq
import json
import random
import statistics

import fire

from .measure import SHAPES, SPEEDS
from .open_load import WORK_MS

LOAD = 0.8
SECONDS = 600
WARM_UP_SECONDS = 10


def busy_shares(
    slots: int, speed: float, source: random.Random, seconds: int
) -> list[float]:
    """Return the busy share of the slots of one server in each second."""
    work = WORK_MS / 1000 / speed
    rate = LOAD * slots / work
    free_at = [0.0] * slots
    busy = [0.0] * seconds
    now = source.expovariate(rate)
    while now < seconds:
        start = max(now, heapq.heappop(free_at))
        heapq.heappush(free_at, start + work)
        _spread(busy, start, start + work)
        now += source.expovariate(rate)
    return [seconds_busy / slots for seconds_busy in busy]


def compute_floor(servers: int, slots: int, seed: int) -> float:
    """Return the mean over windows of highest over mean busy share."""
    source = random.Random(seed)
    columns = [busy_shares(slots, SPEEDS[i], source, SECONDS) for i in range(servers)]
    windows = list(zip(*columns, strict=True))[WARM_UP_SECONDS:]
    return statistics.fmean(max(w) / statistics.fmean(w) for w in windows)


def _spread(busy: list[float], start: float, end: float) -> None:
    """Add the time from `start` to `end` to the seconds that it touches."""
    while start < end and int(start) < len(busy):
        until = min(end, float(int(start) + 1))
        busy[int(start)] += until - start
        start = until


def main(seed: int = 1) -> None:
    """Print the floor of each shape and service."""
    for name, shape in SHAPES.items():
        for service, servers in shape.services.items():
            floor = compute_floor(servers, shape.slots, seed)
            line = {"shape": name, "service": service, "floor": round(floor, 3)}
            print(json.dumps(line))


if __name__ == "__main__":
    fire.Fire(main)
