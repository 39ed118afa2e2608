"""Load that runs beside a scenario, and the verdict over its records."""

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
        Start of the names of requests, which tells loads apart.
    sessions, streams : int
        Sessions that send requests, and streams that are followed.
    pause : float
        Mean seconds between two requests of a session.
    work_ms : float
        Work of a request on a backend server of speed 1.
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
class Verdict:
    """What a scenario did to the load."""

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
        """Return the flows that the system ended."""
        return sum(self.endings.values())

    @property
    def violations(self) -> dict[str, int]:
        """Return what must never happen, by name, where it happened."""
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
    """Offer load until stopped; use it as a context manager.

    Parameters
    ----------
    deployment : Deployment
        Where to send it.
    shape : LoadShape
        What to send.
    """

    def __init__(self, deployment: Deployment, shape: LoadShape) -> None:
        self._deployment = deployment
        self._shape = shape
        self._callers: list[Caller] = []
        self._sessions: list[Session] = []
        self._stopping = asyncio.Event()
        self._workers: list[asyncio.Task] = []
        self._followers: list[asyncio.Task] = []
        self.streams: list[StreamTally] = []
        self.tally = Tally()

    @property
    def sessions(self) -> list[Session]:
        """Return the sessions that send requests."""
        return self._sessions

    async def __aenter__(self) -> BackgroundLoad:
        """Open all flows."""
        shape = self._shape
        for _ in range(CALLERS):
            caller = Caller(self._deployment.entry(shape.service))
            await caller.__aenter__()
            self._callers.append(caller)
        self._sessions = [
            Session(self._callers[i % CALLERS], shape.service)
            for i in range(shape.sessions)
        ]
        await asyncio.gather(*(s.ensure_flow() for s in self._sessions))
        self._workers = [
            asyncio.create_task(self._work(i, s)) for i, s in enumerate(self._sessions)
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
            self._followers.append(asyncio.create_task(follow))
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Let the last requests end, then close everything."""
        self._stopping.set()
        await asyncio.gather(*self._workers, return_exceptions=True)
        for follower in self._followers:
            follower.cancel()
        await asyncio.gather(*self._followers, return_exceptions=True)
        for session in self._sessions:
            session.close()
        for caller in self._callers:
            await caller.__aexit__()

    async def _work(self, index: int, session: Session) -> None:
        shape = self._shape
        source = random.Random(f"{shape.seed}/{index}")
        count = 0
        while not self._stopping.is_set():
            plan = RequestPlan(
                f"{shape.prefix}{index}-{count}",
                shape.work_ms,
                source.randint(1, shape.max_size),
                count % 2 == 0,
            )
            count += 1
            await send_request(session, shape.service, plan, self.tally, shape.deadline)
            pause = source.expovariate(1 / shape.pause)
            try:
                await asyncio.wait_for(self._stopping.wait(), pause)
            except TimeoutError:
                continue

    def flow_ids(self) -> dict[int, bytes]:
        """Return the present flow of each session by index."""
        return {
            index: session.flow.flow_id
            for index, session in enumerate(self._sessions)
            if session.flow is not None
        }


async def judge(
    deployment: Deployment, load: BackgroundLoad, gone: dict[str, dict] | None = None
) -> Verdict:
    """Compare what callers saw with what the backend servers did.

    Parameters
    ----------
    gone : dict of str to dict or None
        Records of backend servers that do not run any more.
    """
    records = dict(gone or {})
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
    return Verdict(
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
