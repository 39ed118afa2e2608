"""Load that runs during a scenario, and the evaluation of its result."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from berylturn.caller import Caller, Session
from berylturn.domain import CloseReason

from .deployment import Deployment
from .load import (
    RequestPlan,
    StreamTally,
    Tally,
    count_doubled,
    count_false_not_run,
    follow_stream,
    send_request,
)

CALLERS = 4


@dataclass(frozen=True)
class LoadShape:
    """Describe a closed-loop load on one service.

    Attributes
    ----------
    prefix : str
        Prefix of request identifiers, which distinguishes loads.
    sessions, streams : int
        Number of sessions that send requests, and of streams that are received.
    pause : float
        Mean seconds between an answer and the next request of a session.
    work_ms : float
        Milliseconds that a request takes on a backend server of speed 1.
    """

    service: str
    prefix: str = "s"
    sessions: int = 40
    streams: int = 4
    pause: float = 0.15
    work_ms: float = 10.0
    max_size: int = 4000
    deadline: timedelta = timedelta(seconds=5)
    seed: int = 5


@dataclass
class ScenarioResult:
    """Count what happened to the load during a scenario.

    Attributes
    ----------
    doubled : int
        Requests that may not be repeated but were executed more than once.
    false_not_run : int
        Requests that were reported as not run but were executed.
    crossed : int
        Requests that reached a backend server of another service.
    endings : Counter of str to int
        Flows that the system closed, by reason.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong: int = 0
    doubled: int = 0
    false_not_run: int = 0
    crossed: int = 0
    cold_overloads: int = 0
    shed: int = 0
    endings: Counter[str] = field(default_factory=Counter)
    stream_items: int = 0
    stream_gaps: int = 0
    streams_reopened: int = 0
    longest_gap: float = 0.0
    retries: int = 0
    problems: list[str] = field(default_factory=list)

    @property
    def broken_flows(self) -> int:
        """Return how many flows the system closed."""
        return sum(self.endings.values())

    @property
    def violations(self) -> dict[str, int]:
        """Return the counters that must be zero and are not, by name."""
        names = (
            "wrong",
            "doubled",
            "false_not_run",
            "crossed",
            "cold_overloads",
            "stream_gaps",
        )
        return {n: getattr(self, n) for n in names if getattr(self, n)}


class BackgroundLoad:
    """Send requests until stopped, as a context manager.

    Parameters
    ----------
    deployment : Deployment
        Deployment that receives the load.
    shape : LoadShape
        Load to send.
    """

    def __init__(self, deployment: Deployment, shape: LoadShape) -> None:
        self._deployment = deployment
        self._shape = shape
        self._callers: list[Caller] = []
        self._sessions: list[Session] = []
        self._stopping = asyncio.Event()
        self._session_tasks: list[asyncio.Task] = []
        self._stream_tasks: list[asyncio.Task] = []
        self.streams: list[StreamTally] = []
        self.tally = Tally()

    @property
    def sessions(self) -> list[Session]:
        """Return the sessions that send requests."""
        return self._sessions

    async def __aenter__(self) -> BackgroundLoad:
        """Open all flows and start to send."""
        shape = self._shape
        for _ in range(CALLERS):
            caller = Caller(self._deployment.service_address(shape.service))
            await caller.__aenter__()
            self._callers.append(caller)
        self._sessions = [
            Session(self._callers[i % CALLERS], shape.service)
            for i in range(shape.sessions)
        ]
        await asyncio.gather(*(s.ensure_flow() for s in self._sessions))
        self._session_tasks = [
            asyncio.create_task(self._run_session(i, s))
            for i, s in enumerate(self._sessions)
        ]
        for index in range(shape.streams):
            tally = StreamTally()
            self.streams.append(tally)
            follow = follow_stream(
                self._callers[index % CALLERS],
                shape.service,
                f"stream-{index}",
                100.0,
                tally,
            )
            self._stream_tasks.append(asyncio.create_task(follow))
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Wait for the last requests, then close all sessions and callers."""
        self._stopping.set()
        await asyncio.gather(*self._session_tasks, return_exceptions=True)
        for task in self._stream_tasks:
            task.cancel()
        await asyncio.gather(*self._stream_tasks, return_exceptions=True)
        for session in self._sessions:
            session.close()
        for caller in self._callers:
            await caller.__aexit__()

    async def _run_session(self, index: int, session: Session) -> None:
        shape = self._shape
        rng = random.Random(f"{shape.seed}/{index}")
        sent_count = 0
        while not self._stopping.is_set():
            plan = RequestPlan(
                f"{shape.prefix}{index}-{sent_count}",
                shape.work_ms,
                rng.randint(1, shape.max_size),
                sent_count % 2 == 0,
            )
            sent_count += 1
            await send_request(session, shape.service, plan, self.tally, shape.deadline)
            pause = rng.expovariate(1 / shape.pause)
            try:
                await asyncio.wait_for(self._stopping.wait(), pause)
            except TimeoutError:
                continue

    def flow_ids(self) -> dict[int, bytes]:
        """Return the current flow identifier of each session, by its index."""
        return {
            index: session.flow.flow_id
            for index, session in enumerate(self._sessions)
            if session.flow is not None
        }


async def evaluate_load(
    deployment: Deployment,
    load: BackgroundLoad,
    ended_records: dict[str, dict] | None = None,
) -> ScenarioResult:
    """Compare what callers observed with what the backend servers executed.

    Parameters
    ----------
    ended_records : dict of str to dict or None
        Records of backend servers that no longer run, by name.
    """
    records = dict(ended_records or {})
    for server in deployment.plan.servers:
        if server.name in deployment.processes:
            records[server.name] = await deployment.get(server.name, "/_record")
    executions: Counter[str] = Counter()
    for record in records.values():
        executions.update(record["executions"])
    tally = load.tally
    endings: Counter[str] = Counter()
    for session in load.sessions:
        for reason, count in session.endings.items():
            endings[CloseReason(reason).name.lower()] += count
    return ScenarioResult(
        tally.requests,
        tally.answered,
        len(tally.not_run),
        len(tally.unknown),
        tally.wrong,
        count_doubled(executions, tally),
        count_false_not_run(executions, tally),
        sum(r["crossed"] for r in records.values()),
        sum(r["cold_overloads"] for r in records.values()),
        sum(r["shed"] for r in records.values()),
        endings,
        sum(s.items for s in load.streams),
        sum(s.gaps for s in load.streams),
        sum(s.reopened for s in load.streams),
        max((s.longest_gap for s in load.streams), default=0.0),
        sum(session.retries for session in load.sessions),
        tally.problems,
    )
