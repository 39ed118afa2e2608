"""Compute the imbalance that random arrivals cause under perfect placement.

Requests arrive at random, and each server gets exactly its share by capacity. The
simulation runs in virtual time and measures imbalance as `bench.measure` does: the
highest over the mean busy share in windows of 1 s. Flows do not move, so no placement
of flows can do better on average. Prints one JSON line for each shape and service.
"""

from __future__ import annotations

import heapq
import json
import random
import statistics

import fire

from .measure import SHAPES, SPEEDS
from .open_load import WORK_MS

LOAD_FACTOR = 0.8
DURATION_SECONDS = 600
WARM_UP_SECONDS = 10


def simulate_busy_shares(
    slots: int, speed: float, random_source: random.Random, seconds: int
) -> list[float]:
    """Return the busy share of the slots of one server in each second."""
    work_seconds = WORK_MS / 1000 / speed
    arrival_rate = LOAD_FACTOR * slots / work_seconds
    free_at = [0.0] * slots
    busy_seconds = [0.0] * seconds
    now = random_source.expovariate(arrival_rate)
    while now < seconds:
        start = max(now, heapq.heappop(free_at))
        heapq.heappush(free_at, start + work_seconds)
        _add_busy_time(busy_seconds, start, start + work_seconds)
        now += random_source.expovariate(arrival_rate)
    return [second / slots for second in busy_seconds]


def compute_floor(servers: int, slots: int, seed: int) -> float:
    """Return the mean over all windows of the highest over the mean busy share."""
    random_source = random.Random(seed)
    server_shares = [
        simulate_busy_shares(slots, SPEEDS[i], random_source, DURATION_SECONDS)
        for i in range(servers)
    ]
    windows = list(zip(*server_shares, strict=True))[WARM_UP_SECONDS:]
    return statistics.fmean(
        max(window) / statistics.fmean(window) for window in windows
    )


def _add_busy_time(busy_seconds: list[float], start: float, end: float) -> None:
    """Add the time from `start` to `end` to each second that it overlaps."""
    while start < end and int(start) < len(busy_seconds):
        segment_end = min(end, float(int(start) + 1))
        busy_seconds[int(start)] += segment_end - start
        start = segment_end


def main(seed: int = 1) -> None:
    """Print the lowest possible imbalance of each shape and service."""
    for name, shape in SHAPES.items():
        for service, servers in shape.services.items():
            floor = compute_floor(servers, shape.slots, seed)
            row = {"shape": name, "service": service, "floor": round(floor, 3)}
            print(json.dumps(row))


if __name__ == "__main__":
    fire.Fire(main)
