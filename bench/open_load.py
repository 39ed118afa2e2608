"""Open-loop load; latency is counted from the intended start of each request."""

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

CALLER_COUNT = 8
DEADLINE = timedelta(seconds=2)
WORK_MS = 150.0
ANSWER_BYTES = 2000
MAX_LATENCY_US = 60_000_000


@dataclass
class Result:
    """Collect the results of the load of one service.

    Attributes
    ----------
    service : str
        Name of the service.
    tally : Tally
        Outcomes of the requests.
    offered, in_time : int
        Requests that were sent, and those answered before their deadline.
    in_time_on_intact_flows, offered_on_intact_flows : int
        The same for requests whose flow did not end meanwhile.
    latency : HdrHistogram
        Microseconds from the intended start of a request to its answer.
    streams : list of StreamTally
        Results of the streams.
    sessions : list of Session
        Sessions that send the requests.
    """

    service: str
    tally: Tally = field(default_factory=Tally)
    offered: int = 0
    in_time: int = 0
    in_time_on_intact_flows: int = 0
    offered_on_intact_flows: int = 0
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    streams: list[StreamTally] = field(default_factory=list)
    sessions: list[Session] = field(default_factory=list)

    @property
    def broken_flows(self) -> int:
        """Return the number of flows that the system has ended."""
        return sum(sum(session.endings.values()) for session in self.sessions)


class OpenLoad:
    """Send requests at intended times, whether or not earlier ones have ended.

    Parameters
    ----------
    deployment : Deployment
        Deployment that the requests are sent to.
    service : str
        Name of the service.
    rate : float
        Requests per second.
    flows : int
        Number of open flows that the requests are spread over.
    seed : int
        Seed of the arrival times.
    """

    def __init__(
        self, deployment: Deployment, service: str, rate: float, flows: int, seed: int
    ) -> None:
        self.result = Result(service)
        self._deployment = deployment
        self._rate = rate
        self._flow_count = flows
        self._random = random.Random(f"{seed}/{service}")
        self._callers: list[Caller] = []
        self._request_tasks: set[asyncio.Task] = set()
        self._stream_tasks: list[asyncio.Task] = []
        self._send_task: asyncio.Task | None = None
        self._stopping = False

    async def open(self) -> None:
        """Open all flows and streams."""
        result = self.result
        service_address = self._deployment.service_address(result.service)
        for _ in range(CALLER_COUNT):
            caller = Caller(service_address, draw_bytes=self._random.randbytes)
            await caller.__aenter__()
            self._callers.append(caller)
        result.sessions = [
            Session(self._callers[index % CALLER_COUNT], result.service)
            for index in range(self._flow_count)
        ]
        for start in range(0, self._flow_count, 20):
            batch = result.sessions[start : start + 20]
            await asyncio.gather(*(session.ensure_flow() for session in batch))
        for index in range(8):
            tally = StreamTally()
            result.streams.append(tally)
            stream = follow_stream(
                self._callers[index], result.service, f"s{index}", 200.0, tally
            )
            self._stream_tasks.append(asyncio.create_task(stream))

    def start(self) -> None:
        """Start to send requests."""
        self._send_task = asyncio.create_task(self._send_requests())

    async def stop(self) -> None:
        """Stop sending, wait for the last answers and end the streams."""
        self._stopping = True
        await self._send_task
        while self._request_tasks:
            await asyncio.wait(self._request_tasks)
        for task in self._stream_tasks:
            task.cancel()
        await asyncio.gather(*self._stream_tasks, return_exceptions=True)

    async def close(self) -> None:
        """Close all flows and callers."""
        for session in self.result.sessions:
            session.close()
        for caller in self._callers:
            await caller.__aexit__()

    async def _send_requests(self) -> None:
        intended_start = time.monotonic()
        request_count = 0
        while not self._stopping:
            intended_start += self._random.expovariate(self._rate)
            delay_seconds = intended_start - time.monotonic()
            if delay_seconds > 0:
                await asyncio.sleep(delay_seconds)
            session = self._random.choice(self.result.sessions)
            plan = RequestPlan(
                f"{self.result.service}-{request_count}",
                WORK_MS,
                ANSWER_BYTES,
                request_count % 2 == 0,
            )
            request_count += 1
            task = asyncio.create_task(
                self._send_request(session, plan, intended_start)
            )
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    async def _send_request(
        self, session: Session, plan: RequestPlan, intended_start: float
    ) -> None:
        result, tally = self.result, self.result.tally
        result.offered += 1
        tally.requests += 1
        if not plan.repeatable:
            tally.not_repeatable.append(plan.request_id)
        remaining_seconds = DEADLINE.total_seconds() - (
            time.monotonic() - intended_start
        )
        endings_before = sum(session.endings.values())
        try:
            answer = await session.request(
                plan.body(result.service),
                plan.repeatable,
                timedelta(seconds=max(remaining_seconds, 0.01)),
            )
        except NotRun:
            tally.not_run.append(plan.request_id)
        except OutcomeUnknown:
            tally.unknown.append(plan.request_id)
        else:
            in_time = self._count_answer(plan, answer.body, intended_start)
            if sum(session.endings.values()) == endings_before:
                result.in_time_on_intact_flows += in_time
        if sum(session.endings.values()) == endings_before and session.flow is not None:
            has_ended = session.flow.close_reason is not None
            result.offered_on_intact_flows += not has_ended

    def _count_answer(
        self, plan: RequestPlan, body: bytes, intended_start: float
    ) -> bool:
        """Count an answer and return whether it arrived before the deadline."""
        result = self.result
        seconds = time.monotonic() - intended_start
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
    """Return a load of `load_factor` times the capacity of the service's servers."""
    servers = [
        server for server in deployment.plan.servers if server.service == service
    ]
    capacity = sum(server.slots * server.speed for server in servers) * 1000 / WORK_MS
    return OpenLoad(
        deployment, service, load_factor * capacity, 60 * len(servers), seed
    )
