"""Open flows, send requests, receive streams, and check every answer."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta

from berylturn.caller import Caller, Session
from berylturn.clock import SystemClock
from berylturn.errors import NotRun, OutcomeUnknown

from .backend import answer_body

CLOCK = SystemClock()


@dataclass
class Tally:
    """Collect the outcomes of requests.

    Attributes
    ----------
    wrong : int
        Requests that got a wrong answer; they count as answered, too.
    not_run, unknown : list of str
        Requests that the caller library reported as not run, or as of unknown outcome.
    not_repeatable, answered_ids : list of str
        Requests that may run only once, and requests that were answered.
    """

    requests: int = 0
    answered: int = 0
    wrong: int = 0
    not_run: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)
    not_repeatable: list[str] = field(default_factory=list)
    answered_ids: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)

    @property
    def lost(self) -> int:
        """Return how many requests were neither answered nor reported as not run."""
        return self.requests - self.answered - len(self.not_run)


@dataclass(frozen=True)
class RequestPlan:
    """One request to send."""

    request_id: str
    work_ms: float
    size: int
    repeatable: bool

    def body(self, service: str) -> bytes:
        """Return the body that the backend stand-in reads."""
        return json.dumps(
            {
                "id": self.request_id,
                "service": service,
                "work_ms": self.work_ms,
                "size": self.size,
            }
        ).encode()


async def send_request(
    session: Session,
    service: str,
    plan: RequestPlan,
    tally: Tally,
    deadline: timedelta = timedelta(seconds=10),
) -> None:
    """Send one request and record its outcome."""
    tally.requests += 1
    if not plan.repeatable:
        tally.not_repeatable.append(plan.request_id)
    started = CLOCK.monotonic()
    try:
        answer = await session.request(plan.body(service), plan.repeatable, deadline)
    except NotRun as error:
        tally.not_run.append(plan.request_id)
        tally.problems.append(f"{plan.request_id}: {error}")
        return
    except OutcomeUnknown as error:
        tally.unknown.append(plan.request_id)
        tally.problems.append(f"{plan.request_id}: {error}")
        return
    tally.latencies.append(CLOCK.monotonic() - started)
    tally.answered += 1
    tally.answered_ids.append(plan.request_id)
    if answer.body != answer_body(plan.request_id, plan.size):
        tally.wrong += 1


def plan_requests(
    prefix: str, count: int, work_ms: float, max_size: int, seed: int
) -> list[RequestPlan]:
    """Return `count` requests with answers of random size, half of them repeatable."""
    rng = random.Random(f"{seed}/{prefix}")
    return [
        RequestPlan(f"{prefix}-{i}", work_ms, rng.randint(1, max_size), i % 2 == 0)
        for i in range(count)
    ]


async def run_session(
    caller: Caller,
    service: str,
    plans: list[RequestPlan],
    tally: Tally,
    pause: float = 0.0,
) -> Session:
    """Send requests one after another on one session, and return the open session."""
    session = Session(caller, service)
    for plan in plans:
        await send_request(session, service, plan, tally)
        if pause:
            await asyncio.sleep(pause)
    return session


@dataclass
class StreamTally:
    """Collect what one stream delivered.

    Attributes
    ----------
    gaps : int
        Items with an unexpected index.
    longest_gap : float
        Longest time between two items in seconds.
    reopened : int
        How often the stream began again at index 0.
    """

    items: int = 0
    gaps: int = 0
    longest_gap: float = 0.0
    reopened: int = 0


async def follow_stream(
    caller: Caller, service: str, name: str, interval_ms: float, tally: StreamTally
) -> None:
    """Receive one stream until cancelled, and check the order and spacing of items."""
    session = Session(caller, service)
    body = json.dumps(
        {
            "id": name,
            "service": service,
            "interval_ms": interval_ms,
            "count": 1_000_000,
        }
    ).encode()
    expected_index = 0
    last_item_at = None
    try:
        async for data in session.stream(body):
            now = CLOCK.monotonic()
            if last_item_at is not None:
                tally.longest_gap = max(tally.longest_gap, now - last_item_at)
            last_item_at = now
            index = json.loads(data)["index"]
            if index == 0 and expected_index:
                tally.reopened += 1
            elif index != expected_index:
                tally.gaps += 1
            expected_index = index + 1
            tally.items += 1
    finally:
        session.close()


def count_doubled(executions: Counter[str], tally: Tally) -> int:
    """Return how many requests that may not be repeated ran more than once."""
    return sum(executions[i] > 1 for i in tally.not_repeatable)


def count_false_not_run(executions: Counter[str], tally: Tally) -> int:
    """Return how many requests reported as not run did run."""
    return sum(executions[i] > 0 for i in tally.not_run)
