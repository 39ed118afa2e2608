"""Open-loop load: requests have an intended start, and lateness counts from it."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from berylturn.caller import Caller, Session
from berylturn.errors import NotRun, OutcomeUnknown
from berylturn_standins.backend import answer_body
from berylturn_standins.deployment import Deployment
from berylturn_standins.load import RequestPlan, StreamTally, Tally, follow_stream

CALLERS = 8
DEADLINE = timedelta(seconds=2)
WORK_MS = 150.0
ANSWER_BYTES = 2000
MAX_LATENCY_US = 60_000_000


@dataclass
class Result:
    """Collect what the load of one service saw."""

    service: str
    tally: Tally = field(default_factory=Tally)
    offered: int = 0
    in_time: int = 0
    in_time_elsewhere: int = 0
    offered_elsewhere: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    streams: list[StreamTally] = field(default_factory=list)
    sessions: list[Session] = field(default_factory=list)

    @property
    def broken_flows(self) -> int:
        """Return the flows that the system has ended."""
        return sum(sum(s.endings.values()) for s in self.sessions)


class OpenLoad:
    """Send requests at intended times, whatever becomes of earlier ones.

    Parameters
    ----------
    deployment : Deployment
        Where to send them.
    service : str
        Name of the service.
    rate : float
        Requests a second.
    flows : int
        Open flows that the requests are spread over.
    seed : int
        Seed of the arrival times.
    """

    def __init__(
        self, deployment: Deployment, service: str, rate: float, flows: int, seed: int
    ) -> None:
        self.result = Result(service)
        self._deployment = deployment
        self._rate = rate
        self._flows = flows
        self._random = random.Random(f"{seed}/{service}")
        self._callers: list[Caller] = []
        self._tasks: set[asyncio.Task] = set()
        self._followers: list[asyncio.Task] = []
        self._runner: asyncio.Task | None = None
        self._stopping = False

    async def open(self) -> None:
        """Open all flows and the streams."""
        result = self.result
        entry = self._deployment.service_address(result.service)
        for _ in range(CALLERS):
            caller = Caller(entry, draw_bytes=self._random.randbytes)
            await caller.__aenter__()
            self._callers.append(caller)
        result.sessions = [
            Session(self._callers[i % CALLERS], result.service)
            for i in range(self._flows)
        ]
        for start in range(0, self._flows, 20):
            batch = result.sessions[start : start + 20]
            await asyncio.gather(*(s.ensure_flow() for s in batch))
        for i in range(8):
            tally = StreamTally()
            result.streams.append(tally)
            follow = follow_stream(
                self._callers[i], result.service, f"s{i}", 200.0, tally
            )
            self._followers.append(asyncio.create_task(follow))

    def start(self) -> None:
        """Begin to send requests."""
        self._runner = asyncio.create_task(self._send_all())

    async def stop(self) -> None:
        """Wait for the last answers and close everything."""
        self._stopping = True
        await self._runner
        while self._tasks:
            await asyncio.wait(self._tasks)
        for follower in self._followers:
            follower.cancel()
        await asyncio.gather(*self._followers, return_exceptions=True)

    async def close(self) -> None:
        """Close all flows."""
        for session in self.result.sessions:
            session.close()
        for caller in self._callers:
            await caller.__aexit__()

    async def _send_all(self) -> None:
        intended = time.monotonic()
        count = 0
        while not self._stopping:
            intended += self._random.expovariate(self._rate)
            pause = intended - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            session = self._random.choice(self.result.sessions)
            plan = RequestPlan(
                f"{self.result.service}-{count}", WORK_MS, ANSWER_BYTES, count % 2 == 0
            )
            count += 1
            task = asyncio.create_task(self._send(session, plan, intended))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, session: Session, plan: RequestPlan, intended: float) -> None:
        result, tally = self.result, self.result.tally
        result.offered += 1
        tally.requests += 1
        if not plan.repeatable:
            tally.not_repeatable.append(plan.request_id)
        left = DEADLINE.total_seconds() - (time.monotonic() - intended)
        endings = sum(session.endings.values())
        try:
            answer = await session.request(
                plan.body(result.service),
                plan.repeatable,
                timedelta(seconds=max(left, 0.01)),
            )
        except NotRun:
            tally.not_run.append(plan.request_id)
        except OutcomeUnknown:
            tally.unknown.append(plan.request_id)
        else:
            in_time = self._count_answer(plan, answer.body, intended)
            if sum(session.endings.values()) == endings:
                result.in_time_elsewhere += in_time
        if sum(session.endings.values()) == endings and session.flow is not None:
            ended = session.flow.close_reason is not None
            result.offered_elsewhere += not ended

    def _count_answer(self, plan: RequestPlan, body: bytes, intended: float) -> bool:
        """Count an answer and return whether it came in time."""
        result = self.result
        seconds = time.monotonic() - intended
        in_time = seconds <= DEADLINE.total_seconds()
        result.tally.answered += 1
        result.tally.answered_ids.append(plan.request_id)
        result.in_time += in_time
        result.latency.record_value(max(1, int(seconds * 1_000_000)))
        if body != answer_body(plan.request_id, plan.size):
            result.tally.wrong += 1
        return in_time


def make_load(
    deployment: Deployment, service: str, load_factor: float, seed: int
) -> OpenLoad:
    """Return a load that is a share of what the service's servers bear."""
    servers = [s for s in deployment.plan.servers if s.service == service]
    capacity = sum(s.slots * s.speed for s in servers) * 1000 / WORK_MS
    return OpenLoad(
        deployment, service, load_factor * capacity, 60 * len(servers), seed
    )
