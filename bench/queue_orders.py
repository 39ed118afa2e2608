"""Compare orders of an agent's queue under mixed deadlines.

Drives the product's gate and queue, and variants of the queue, in virtual time
with the same requests. Prints one JSON line for each load and order.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import fire

from berylturn.connection.gate import AdmissionGate
from berylturn.domain import Limits
from berylturn.request.queue import WAIT_MARGIN, QueuedRequest, RequestQueue

SLOTS = 3
QUEUE_LENGTH = 64
MEAN_WORK_SECONDS = 0.15
DEADLINES = {"score": 0.5, "page": 2.0, "reel": 10.0}
SHARES = (0.4, 0.4, 0.2)
LOADS = (0.8, 1.0, 1.5)
REQUESTS = 20_000


@dataclass(frozen=True)
class Job:
    """One request: its kind, arrival, work and deadline in seconds."""

    kind: str
    arrival: float
    work: float
    deadline: float


class ArrivalQueue(RequestQueue):
    """Serve first come, first served, as an earlier version did."""

    def accepts(
        self, deadline: float, now: float, service_seconds: float, limit: int
    ) -> bool:
        """Tell whether a request can finish behind all that wait."""
        if len(self) >= self.max_length:
            return False
        ahead = len(self) / limit
        return now + WAIT_MARGIN * (ahead + 1) * service_seconds <= deadline

    def push(self, waiting: QueuedRequest) -> None:
        """Add a request at the end."""
        self._waiting.append(waiting)


class GreedyDeadlineQueue(RequestQueue):
    """Serve the earliest deadline first, without regard to those behind."""

    def accepts(
        self, deadline: float, now: float, service_seconds: float, limit: int
    ) -> bool:
        """Tell whether a request can finish behind those that are more urgent."""
        if len(self) >= self.max_length:
            return False
        ahead = sum(w.deadline <= deadline for w in self._waiting) / limit
        return now + WAIT_MARGIN * (ahead + 1) * service_seconds <= deadline


class KindFirstQueue(GreedyDeadlineQueue):
    """Serve kinds by urgency, each first come, first served (gi-FIFO).

    Boloor, Chirkova, Salo and Viniotis: the class of the highest penalty first,
    in it the longest waiting request that still meets its time. Those that do
    not are refused here, so that rule is the same for every order.
    """

    def pop(self) -> QueuedRequest | None:
        """Return the oldest request of the most urgent kind."""
        kinds = list(DEADLINES)
        if not self._waiting:
            return None
        first = min(self._waiting, key=lambda w: kinds.index(_kind_of(w)))
        self._waiting.remove(first)
        return first


ORDERS: dict[str, Callable[[int], RequestQueue]] = {
    "product": RequestQueue,
    "first come": ArrivalQueue,
    "deadline": GreedyDeadlineQueue,
    "gi-fifo": KindFirstQueue,
}


def make_jobs(load: float, seed: int) -> list[Job]:
    """Return requests that arrive at random, at a share of what the slots bear."""
    source = random.Random(seed)
    now = 0.0
    jobs = []
    for _ in range(REQUESTS):
        now += source.expovariate(load * SLOTS / MEAN_WORK_SECONDS)
        kind = source.choices(list(DEADLINES), SHARES)[0]
        work = source.expovariate(1 / MEAN_WORK_SECONDS)
        jobs.append(Job(kind, now, work, now + DEADLINES[kind]))
    return jobs


class Server:
    """Run requests through the gate and one queue in virtual time."""

    def __init__(self, queue: RequestQueue) -> None:
        self._queue = queue
        limits = Limits(slots=SLOTS, cold_limit=SLOTS, cold_seconds=0.0)
        self._gate = AdmissionGate(limits, 0.0)
        self._ends: list[tuple[float, int]] = []
        self._jobs: list[Job] = []
        self.ends: Counter[str] = Counter()

    def play(self, jobs: list[Job]) -> None:
        """Run all requests to their end."""
        self._jobs = jobs
        for index, job in enumerate(jobs):
            self._run_until(job.arrival)
            self._arrive(index, job)
        self._run_until(float("inf"))

    def _run_until(self, time: float) -> None:
        while self._ends and self._ends[0][0] <= time:
            now, index = heapq.heappop(self._ends)
            job = self._jobs[index]
            self._gate.finish(now, self._gate.generation, job.work)
            in_time = now <= job.deadline
            self.ends[f"{job.kind} {'answered' if in_time else 'late'}"] += 1
            self._start_waiting(now)

    def _arrive(self, index: int, job: Job) -> None:
        now = job.arrival
        if not self._queue and self._gate.start(now):
            self._start(index, now)
            return
        seconds = self._gate.service_seconds
        if not self._queue.accepts(job.deadline, now, seconds, self._gate.limit):
            self.ends[f"{job.kind} refused"] += 1
            return
        key = f"{job.kind}/{index}".encode()
        self._queue.push(QueuedRequest(key, index, job.deadline))

    def _start_waiting(self, now: float) -> None:
        while self._queue and self._gate.may_start(now):
            waiting = self._queue.pop()
            if waiting.deadline <= now + self._gate.service_seconds:
                self.ends[f"{_kind_of(waiting)} expired"] += 1
                continue
            self._gate.start(now)
            self._start(waiting.number, now)

    def _start(self, index: int, now: float) -> None:
        heapq.heappush(self._ends, (now + self._jobs[index].work, index))


def compare_orders(load: float, seed: int) -> list[dict]:
    """Return one line of figures for each order."""
    jobs = make_jobs(load, seed)
    offered = Counter(job.kind for job in jobs)
    lines = []
    for name, make_queue in ORDERS.items():
        server = Server(make_queue(QUEUE_LENGTH))
        server.play(jobs)
        ends = server.ends
        shares = {k: round(ends[f"{k} answered"] / offered[k], 4) for k in DEADLINES}
        total = sum(ends[f"{k} answered"] for k in DEADLINES) / len(jobs)
        kept_waiting = sum(n for end, n in ends.items() if end.endswith("expired"))
        late = sum(n for end, n in ends.items() if end.endswith("late"))
        lines.append(
            {
                "load": load,
                "order": name,
                "answered_in_time": round(total, 4),
                **shares,
                "expired": kept_waiting,
                "late": late,
            }
        )
    return lines


def _kind_of(waiting: QueuedRequest) -> str:
    return waiting.flow_id.partition(b"/")[0].decode()


def main(seed: int = 1) -> None:
    """Print the comparison for all loads."""
    for load in LOADS:
        for line in compare_orders(load, seed):
            print(json.dumps(line))


if __name__ == "__main__":
    fire.Fire(main)
