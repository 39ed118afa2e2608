"""Compare service orders of an agent's request queue under mixed deadlines.

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
# Deadline of each kind of request in seconds, the most urgent kind first.
DEADLINES = {"score": 0.5, "page": 2.0, "reel": 10.0}
# Share of each kind in all requests.
KIND_SHARES = (0.4, 0.4, 0.2)
LOAD_FACTORS = (0.8, 1.0, 1.5)
REQUEST_COUNT = 20_000


@dataclass(frozen=True)
class Job:
    """One simulated request.

    Attributes
    ----------
    kind : str
        Key of `DEADLINES`.
    arrival, deadline : float
        Times of arrival and deadline in seconds of virtual time.
    work_seconds : float
        Time that the request takes in its slot.
    """

    kind: str
    arrival: float
    work_seconds: float
    deadline: float


class ArrivalQueue(RequestQueue):
    """Serve requests first come, first served, as an earlier version did."""

    def accepts(
        self, deadline: float, now: float, service_seconds: float, limit: int
    ) -> bool:
        """Tell whether a new request can finish in time after all queued ones."""
        if len(self) >= self.max_length:
            return False
        rounds_ahead = len(self) / limit
        return now + WAIT_MARGIN * (rounds_ahead + 1) * service_seconds <= deadline

    def push(self, waiting: QueuedRequest) -> None:
        """Append a request."""
        self._waiting.append(waiting)


class GreedyDeadlineQueue(RequestQueue):
    """Serve the earliest deadline first.

    Unlike the product's queue, admission ignores queued requests that a new one delays.
    """

    def accepts(
        self, deadline: float, now: float, service_seconds: float, limit: int
    ) -> bool:
        """Tell whether a new request can finish after those with earlier deadlines."""
        if len(self) >= self.max_length:
            return False
        rounds_ahead = (
            sum(queued.deadline <= deadline for queued in self._waiting) / limit
        )
        return now + WAIT_MARGIN * (rounds_ahead + 1) * service_seconds <= deadline


class KindFirstQueue(GreedyDeadlineQueue):
    """Serve kinds by urgency, and each kind first come, first served (gi-FIFO).

    The order of Boloor, Chirkova, Salo and Viniotis: the class with the highest penalty
    first, and in it the oldest request that can still meet its deadline. The simulation
    drops requests that cannot, so that this rule is the same for every order.
    """

    def pop(self) -> QueuedRequest | None:
        """Remove and return the oldest request of the most urgent kind."""
        kinds = list(DEADLINES)
        if not self._waiting:
            return None
        first = min(
            self._waiting, key=lambda queued: kinds.index(_request_kind(queued))
        )
        self._waiting.remove(first)
        return first


ORDERS: dict[str, Callable[[int], RequestQueue]] = {
    "product": RequestQueue,
    "first come": ArrivalQueue,
    "deadline": GreedyDeadlineQueue,
    "gi-fifo": KindFirstQueue,
}


def make_jobs(load: float, seed: int) -> list[Job]:
    """Return random arrivals at `load` times the capacity of the slots."""
    random_source = random.Random(seed)
    now = 0.0
    jobs = []
    for _ in range(REQUEST_COUNT):
        now += random_source.expovariate(load * SLOTS / MEAN_WORK_SECONDS)
        kind = random_source.choices(list(DEADLINES), KIND_SHARES)[0]
        work_seconds = random_source.expovariate(1 / MEAN_WORK_SECONDS)
        jobs.append(Job(kind, now, work_seconds, now + DEADLINES[kind]))
    return jobs


class Server:
    """Simulate a server: run requests through the gate and one queue."""

    def __init__(self, queue: RequestQueue) -> None:
        self._queue = queue
        limits = Limits(slots=SLOTS, cold_limit=SLOTS, cold_seconds=0.0)
        self._gate = AdmissionGate(limits, 0.0)
        self._finish_times: list[tuple[float, int]] = []
        self._jobs: list[Job] = []
        self.outcomes: Counter[str] = Counter()

    def run(self, jobs: list[Job]) -> None:
        """Run all requests until none is left."""
        self._jobs = jobs
        for index, job in enumerate(jobs):
            self._finish_until(job.arrival)
            self._arrive(index, job)
        self._finish_until(float("inf"))

    def _finish_until(self, time: float) -> None:
        while self._finish_times and self._finish_times[0][0] <= time:
            now, index = heapq.heappop(self._finish_times)
            job = self._jobs[index]
            self._gate.finish(now, self._gate.generation, job.work_seconds)
            in_time = now <= job.deadline
            self.outcomes[f"{job.kind} {'answered' if in_time else 'late'}"] += 1
            self._start_queued(now)

    def _arrive(self, index: int, job: Job) -> None:
        now = job.arrival
        if not self._queue and self._gate.start(now):
            self._start(index, now)
            return
        service_seconds = self._gate.service_seconds
        if not self._queue.accepts(
            job.deadline, now, service_seconds, self._gate.limit
        ):
            self.outcomes[f"{job.kind} refused"] += 1
            return
        key = f"{job.kind}/{index}".encode()
        self._queue.push(QueuedRequest(key, index, job.deadline))

    def _start_queued(self, now: float) -> None:
        while self._queue and self._gate.may_start(now):
            queued = self._queue.pop()
            if queued.deadline <= now + self._gate.service_seconds:
                self.outcomes[f"{_request_kind(queued)} expired"] += 1
                continue
            self._gate.start(now)
            self._start(queued.number, now)

    def _start(self, index: int, now: float) -> None:
        heapq.heappush(
            self._finish_times, (now + self._jobs[index].work_seconds, index)
        )


def compare_orders(load: float, seed: int) -> list[dict]:
    """Return the results of each order."""
    jobs = make_jobs(load, seed)
    offered = Counter(job.kind for job in jobs)
    rows = []
    for name, make_queue in ORDERS.items():
        server = Server(make_queue(QUEUE_LENGTH))
        server.run(jobs)
        outcomes = server.outcomes
        answered_shares = {
            kind: round(outcomes[f"{kind} answered"] / offered[kind], 4)
            for kind in DEADLINES
        }
        in_time = sum(outcomes[f"{kind} answered"] for kind in DEADLINES) / len(jobs)
        expired = sum(
            count for outcome, count in outcomes.items() if outcome.endswith("expired")
        )
        late = sum(
            count for outcome, count in outcomes.items() if outcome.endswith("late")
        )
        rows.append(
            {
                "load": load,
                "order": name,
                "answered_in_time": round(in_time, 4),
                **answered_shares,
                "expired": expired,
                "late": late,
            }
        )
    return rows


def _request_kind(queued: QueuedRequest) -> str:
    return queued.flow_id.partition(b"/")[0].decode()


def main(seed: int = 1) -> None:
    """Print the results of all loads and orders."""
    for load in LOAD_FACTORS:
        for row in compare_orders(load, seed):
            print(json.dumps(row))


if __name__ == "__main__":
    fire.Fire(main)
