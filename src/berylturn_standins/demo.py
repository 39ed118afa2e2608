"""Demo of a whole deployment of real processes under a small load."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter

import fire

from berylturn.caller import Caller
from berylturn.clock import SystemClock

from .deployment import Deployment
from .load import (
    StreamTally,
    Tally,
    count_doubled,
    follow_stream,
    plan_requests,
    run_session,
)
from .plan import BalancerPlan, Plan, ServerPlan

CLOCK = SystemClock()

SERVICE = "booking"
FLOWS = 100
REQUESTS_PER_FLOW = 10
WORK_MS = 5.0
MAX_ANSWER_BYTES = 20_000
SEED = 7


def build_plan(loss: float) -> Plan:
    """Return the demo's deployment: 2 balancers, 4 servers, 2 data centres."""
    servers = [
        ServerPlan(f"desk-{i}", SERVICE, data_centre, slots=3)
        for i, data_centre in enumerate(
            ["patan-hall", "patan-hall", "thamel-bar", "thamel-bar"], start=1
        )
    ]
    balancers = [
        BalancerPlan("entry-1", "patan-hall"),
        BalancerPlan("entry-2", "thamel-bar"),
    ]
    return Plan([SERVICE], servers, balancers, loss=loss, seed=SEED)


async def run_demo(loss: float) -> dict:
    """Run the demo and return its result."""
    started = CLOCK.monotonic()
    async with Deployment(build_plan(loss)) as deployment:
        print_progress("processes are up; applying labels and a selector")
        await deployment.apply_labels()
        await deployment.apply_selector(SERVICE, {"patan-hall": 50, "thamel-bar": 50})
        await deployment.wait_servers(SERVICE, 4)
        print_progress("the selector is in force; offering load")
        tally, stream = await offer_load(deployment)
        executions: Counter[str] = Counter()
        for server in deployment.plan.servers:
            record = await deployment.get(server.name, "/_record")
            executions.update(record["executions"])
        for problem in tally.problems:
            print_progress(problem)
        print_progress("stopping")
    return {
        "flows": FLOWS,
        "requests": tally.requests,
        "answered": tally.answered,
        "wrong": tally.wrong,
        "lost": tally.lost,
        "doubled": count_doubled(executions, tally),
        "stream_items": stream.items,
        "stream_gaps": stream.gaps,
        "seconds": round(CLOCK.monotonic() - started, 1),
    }


async def offer_load(deployment: Deployment) -> tuple[Tally, StreamTally]:
    """Run all flows concurrently, together with one stream."""
    tally, stream = Tally(), StreamTally()
    async with Caller(deployment.service_address(SERVICE)) as caller:
        follower = asyncio.create_task(
            follow_stream(caller, SERVICE, "standings", 100.0, stream)
        )
        progress = asyncio.create_task(report_progress(tally))
        runs = [
            run_session(
                caller,
                SERVICE,
                plan_requests(
                    f"flow-{i}", REQUESTS_PER_FLOW, WORK_MS, MAX_ANSWER_BYTES, SEED
                ),
                tally,
            )
            for i in range(FLOWS)
        ]
        sessions = await asyncio.gather(*runs)
        for session in sessions:
            session.close()
        follower.cancel()
        progress.cancel()
        await asyncio.gather(follower, progress, return_exceptions=True)
    return tally, stream


async def report_progress(tally: Tally) -> None:
    """Print how many requests have been answered, twice a second."""
    total = FLOWS * REQUESTS_PER_FLOW
    while True:
        await asyncio.sleep(0.5)
        print_progress(
            f"{tally.answered}/{total} answered, {len(tally.not_run)} not run"
        )


def print_progress(text: str) -> None:
    """Print a line of progress to stderr."""
    print(text, file=sys.stderr, flush=True)


def main(loss: float = 0.0) -> None:
    """Run the demo; exit with 1 unless each request was answered correctly and once."""
    result = asyncio.run(run_demo(loss))
    print(json.dumps(result))
    failures = result["wrong"] + result["lost"] + result["doubled"]
    if failures or result["answered"] != result["requests"]:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main)
