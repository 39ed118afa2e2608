"""Measure broken flows, imbalance and service under one scenario.

Starts the deployment of the brief as real processes, offers an open-loop load from
a fixed seed, plays the scenario and prints one JSON line.
"""

from __future__ import annotations

import asyncio
import json
import random
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import fire
import uvloop
from hdrh.histogram import HdrHistogram

from berylturn.caller import Caller, Session
from berylturn.connection.packets import CloseReason
from berylturn.errors import NotRun, OutcomeUnknown
from berylturn.process.control import ControlError, StatusRequest, call_control
from berylturn.process.platform import HttpPlatform, write_object
from berylturn_standins import scenarios
from berylturn_standins.backend import answer_body
from berylturn_standins.deployment import Deployment
from berylturn_standins.load import (
    RequestPlan,
    StreamTally,
    Tally,
    count_doubled,
    count_false_not_run,
    follow_stream,
)
from berylturn_standins.plan import BalancerPlan, Plan, ServerPlan
from berylturn_standins.ports import HOST, free_port
from berylturn_standins.statsd import StatsdStandIn

from .baseline import VARIABLE
from .plot import Timeline, draw_timeline

CALLERS = 8
CALLER_DELAY_MS = 3.0
WARM_UP_SECONDS = 4.0
DEADLINE = timedelta(seconds=2)
WORK_MS = 150.0
ANSWER_BYTES = 2000
COLD_SECONDS = 1.0
SPEEDS = (1.0, 2.0, 4.0, 1.5, 3.0, 1.0, 2.5)
PROBES = 10
MAX_LATENCY_US = 60_000_000
OUT_GRACE_SECONDS = 3.0


@dataclass(frozen=True)
class Shape:
    """One user's deployment: data centres, services with targets, slots."""

    centres: tuple[str, ...]
    services: dict[str, int]
    slots: int


SHAPES = {
    "himshell": Shape(
        ("patan-hall", "thamel-bar", "bhaktapur-court", "kirtipur-lab"),
        {"booking": 7, "media": 4},
        3,
    ),
    "kalnsetas": Shape(
        ("riga-ziepniek", "riga-purv", "riga-kengar", "riga-imanta"),
        {"orders": 7, "catalogue": 4},
        2,
    ),
}


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


def build_plan(
    shape: Shape, policy: str, seed: int, statsd_port: int, proxied: bool = False
) -> Plan:
    """Return the deployment of one user, with or without fault proxies."""
    servers = []
    for service, count in shape.services.items():
        for i in range(count):
            servers.append(
                ServerPlan(
                    f"{service}-{i}",
                    service,
                    shape.centres[i % len(shape.centres)],
                    slots=shape.slots,
                    speed=SPEEDS[i],
                    cold_seconds=COLD_SECONDS,
                    proxied=proxied,
                )
            )
    balancers = [BalancerPlan(f"entry-{c}", c, proxied) for c in shape.centres]
    plan = Plan(list(shape.services), servers, balancers, seed=seed)
    plan.delay_ms = CALLER_DELAY_MS
    plan.statsd_port = statsd_port
    if policy != "product":
        plan.daemon = "bench.baseline"
        plan.environment = {VARIABLE: policy}
    return plan


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
        entry = self._deployment.entry(result.service)
        for _ in range(CALLERS):
            caller = Caller(entry)
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
            self._count_answer(plan, answer.body, intended)
            if sum(session.endings.values()) == endings:
                result.in_time_elsewhere += 1
        if sum(session.endings.values()) == endings and session.flow is not None:
            ended = session.flow.close_reason is not None
            result.offered_elsewhere += not ended

    def _count_answer(self, plan: RequestPlan, body: bytes, intended: float) -> None:
        result = self.result
        seconds = time.monotonic() - intended
        result.tally.answered += 1
        result.tally.answered_ids.append(plan.request_id)
        result.in_time += seconds <= DEADLINE.total_seconds()
        result.latency.record_value(max(1, int(seconds * 1_000_000)))
        if body != answer_body(plan.request_id, plan.size):
            result.tally.wrong += 1


class ImbalanceMeter:
    """Sample how busy each backend server is, in windows of one second."""

    def __init__(self, deployment: Deployment, result: Result) -> None:
        self._deployment = deployment
        self._result = result
        self._servers = [
            s for s in deployment.plan.servers if s.service == result.service
        ]
        self.timeline = Timeline()

    async def run(self) -> None:
        """Sample until cancelled."""
        last = await self._sample()
        while True:
            await asyncio.sleep(1.0)
            now = await self._sample()
            window = {
                s.name: (now[s.name] - last[s.name]) / s.slots for s in self._servers
            }
            self.timeline.busy.append(window)
            self.timeline.refused.append(len(self._result.tally.not_run))
            self.timeline.broken.append(self._result.broken_flows)
            last = now

    def imbalance(self) -> float:
        """Return the mean over windows of highest over mean load."""
        ratios = []
        for window in self.timeline.busy:
            mean = statistics.fmean(window.values())
            if mean > 0.05:
                ratios.append(max(window.values()) / mean)
        return round(statistics.fmean(ratios), 3) if ratios else 0.0

    def imbalance_of_run(self) -> float:
        """Return highest over mean load of the whole run, where chance evens out."""
        loads = [
            statistics.fmean(window[s.name] for window in self.timeline.busy)
            for s in self._servers
        ]
        return round(max(loads) / statistics.fmean(loads), 3)

    async def _sample(self) -> dict[str, float]:
        found = {}
        for server in self._servers:
            busy = await self._deployment.get(server.name, "/_busy")
            found[server.name] = busy["busy_seconds"]
        return found


async def probe_configuration(deployment: Deployment) -> list[float]:
    """Return the seconds that label changes took to be in force everywhere."""
    platform = HttpPlatform(deployment.platform_url, timedelta(seconds=5))
    controls = [
        f"{HOST}:{running.ports['control']}"
        for running in deployment.processes.values()
        if "callers" in running.ports
    ]
    times = []
    for index in range(PROBES):
        body = json.dumps({"labels": {"probe": str(index)}}).encode()
        started = time.monotonic()
        version = await write_object(platform, "server/probe", body)
        while not await _in_force(controls, version):
            await asyncio.sleep(0.005)
        times.append(time.monotonic() - started)
    platform.close()
    return times


async def _in_force(controls: list[str], version: int) -> bool:
    for target in controls:
        try:
            reply = await call_control(target, "Status", StatusRequest("server/probe"))
        except ControlError:
            continue
        if reply.version < version:
            return False
    return True


async def restart_some_backends(deployment: Deployment) -> None:
    """Let two backend servers fall cold, one after the other, unannounced."""
    for server in deployment.plan.servers[:2]:
        await deployment.post(server.name, "/_restart")
        await asyncio.sleep(4.0)


async def take_out_and_back(deployment: Deployment) -> int:
    """Take a data centre out and back; return the late packets to it."""
    statsd = deployment.statsd
    centre = deployment.plan.servers[0].data_centre
    inside = [s.name for s in deployment.plan.servers if s.data_centre == centre]
    await scenarios.set_label(deployment, f"data-centre/{centre}", "state=out")
    await asyncio.sleep(OUT_GRACE_SECONDS)
    before = _packets_to(statsd, inside)
    await asyncio.sleep(4.0)
    late = _packets_to(statsd, inside) - before
    await scenarios.set_label(deployment, f"data-centre/{centre}", "state=in")
    await asyncio.sleep(5.0)
    return late


def _packets_to(statsd: StatsdStandIn, nodes: list[str]) -> int:
    return sum(statsd.counters.get(n, Counter())["packets.from_callers"] for n in nodes)


async def mix_failures(deployment: Deployment) -> None:
    """Act out several failures at once, chosen by the seed."""
    source = random.Random(deployment.plan.seed)
    chosen = source.sample(
        [
            scenarios.kill_balancer,
            restart_some_backends,
            scenarios.drain_server,
            scenarios.replace_agents,
        ],
        2,
    )
    await deployment.post("platform", "/_switches", {"delay": 0.5})
    await asyncio.gather(*(act(deployment) for act in chosen))


async def disturb_control(deployment: Deployment) -> None:
    """Disturb all links between daemons, and slow the platform to 1 s."""
    await deployment.post("platform", "/_switches", {"delay": 1.0})
    await scenarios.disturb_all_links(deployment)


STEADY = "steady"
FAULTS = "faults"
SCENARIOS = {
    STEADY: (scenarios.hold_steady, 0.8),
    "drain": (scenarios.drain_server, 0.7),
    "rolling": (None, 0.7),
    "balancer-kill": (scenarios.kill_balancer, 0.8),
    "agent-kill": (scenarios.kill_agent, 0.6),
    "cold": (restart_some_backends, 0.6),
    "dc-out-and-back": (take_out_and_back, 0.5),
    "overload": (scenarios.hold_steady, 1.5),
    "platform-outage": (scenarios.fail_platform, 0.8),
    "silent": (scenarios.silence_connections, 0.6),
    "mixed": (mix_failures, 0.6),
    FAULTS: (disturb_control, 0.6),
}


async def roll_everything(deployment: Deployment) -> None:
    """Replace every agent and every balancer once."""
    await scenarios.replace_agents(deployment)
    await scenarios.replace_balancers(deployment)


SCENARIOS["rolling"] = (roll_everything, 0.7)


async def measure(
    shape_name: str,
    scenario: str,
    policy: str,
    seed: int,
    seconds: float,
    plot: str = "",
) -> dict:
    """Run one measurement and return its figures."""
    shape = SHAPES[shape_name]
    act, load_factor = SCENARIOS[scenario]
    statsd = StatsdStandIn()
    port = free_port()
    await statsd.start((HOST, port))
    plan = build_plan(shape, policy, seed, port, proxied=scenario == FAULTS)
    async with Deployment(plan) as deployment:
        deployment.statsd = statsd
        await prepare(deployment)
        loads = [
            make_load(deployment, service, load_factor, seed)
            for service in shape.services
        ]
        say("opening flows")
        await asyncio.gather(*(load.open() for load in loads))
        for load in loads:
            load.start()
        await asyncio.sleep(WARM_UP_SECONDS)
        meters = [ImbalanceMeter(deployment, load.result) for load in loads]
        sampling = [asyncio.create_task(meter.run()) for meter in meters]
        say(f"playing {scenario} under {policy}")
        started = time.monotonic()
        late = await act(deployment)
        probed = scenario in (STEADY, FAULTS)
        probes = await probe_configuration(deployment) if probed else []
        await asyncio.sleep(max(0.0, seconds - (time.monotonic() - started)))
        for task in sampling:
            task.cancel()
        say("stopping the load")
        await asyncio.gather(*(load.stop() for load in loads))
        records = await read_records(deployment)
        for load in loads:
            await load.close()
    statsd.close()
    if plot:
        title = f"{shape_name} {scenario} {policy} seed {seed}"
        draw_timeline(meters[0].timeline, title, plot)
    figures = summarise([load.result for load in loads], records)
    figures["imbalance"] = meters[0].imbalance()
    figures["imbalance_of_run"] = meters[0].imbalance_of_run()
    figures["config_in_force_s"] = round(max(probes), 3) if probes else None
    figures["late_packets_to_out_dc"] = late
    figures["passed_on"] = statsd.total("flows.passed_on")
    head = {"shape": shape_name, "scenario": scenario, "policy": policy, "seed": seed}
    return head | figures


async def prepare(deployment: Deployment) -> None:
    """Write labels and selectors and wait until all backend servers are warm."""
    await deployment.apply_labels()
    for service in deployment.plan.services:
        await deployment.apply_selector(service)
        count = sum(s.service == service for s in deployment.plan.servers)
        await deployment.wait_servers(service, count)
    await scenarios.wait_fabric(deployment, len(deployment.plan.balancers))


def make_load(
    deployment: Deployment, service: str, load_factor: float, seed: int
) -> OpenLoad:
    """Return a load that is a share of what the service's servers bear."""
    servers = [s for s in deployment.plan.servers if s.service == service]
    capacity = sum(s.slots * s.speed for s in servers) * 1000 / WORK_MS
    return OpenLoad(
        deployment, service, load_factor * capacity, 60 * len(servers), seed
    )


async def read_records(deployment: Deployment) -> list[dict]:
    """Return the records of all backend servers."""
    return [await deployment.get(s.name, "/_record") for s in deployment.plan.servers]


def summarise(results: list[Result], records: list[dict]) -> dict:
    """Return the figures of one run."""
    executions: Counter[str] = Counter()
    for record in records:
        executions.update(record["executions"])
    latency = HdrHistogram(1, MAX_LATENCY_US, 3)
    endings: Counter[str] = Counter()
    for result in results:
        latency.add(result.latency)
        for session in result.sessions:
            for reason, count in session.endings.items():
                endings[CloseReason(reason).name.lower()] += count
    tallies = [r.tally for r in results]
    elsewhere = sum(r.offered_elsewhere for r in results)
    in_time_elsewhere = sum(r.in_time_elsewhere for r in results)
    return {
        "flows": sum(len(r.sessions) for r in results),
        "broken_flows": sum(endings.values()),
        "endings": endings,
        "offered": sum(r.offered for r in results),
        "answered_in_time": sum(r.in_time for r in results),
        "in_time_elsewhere": round(in_time_elsewhere / max(elsewhere, 1), 5),
        "refused_not_run": sum(len(t.not_run) for t in tallies),
        "unknown": sum(len(t.unknown) for t in tallies),
        "false_not_run": sum(count_false_not_run(executions, t) for t in tallies),
        "lost": sum(t.requests for t in tallies)
        - sum(t.answered + len(t.not_run) + len(t.unknown) for t in tallies),
        "doubled": sum(count_doubled(executions, t) for t in tallies),
        "crossed": sum(r["crossed"] for r in records) + sum(t.wrong for t in tallies),
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "longest_stream_gap_ms": round(
            1000 * max(s.longest_gap for r in results for s in r.streams)
        ),
        "stream_gaps": sum(s.gaps for r in results for s in r.streams),
        "cold_overload": sum(r["cold_overloads"] for r in records),
        "shed": sum(r["shed"] for r in records),
    }


def say(text: str) -> None:
    """Print a line of progress."""
    print(text, file=sys.stderr, flush=True)


def main(
    shape: str = "himshell",
    scenario: str = "steady",
    policy: str = "product",
    seed: int = 1,
    seconds: float = 10.0,
    out: str = "",
    plot: str = "",
) -> None:
    """Measure one scenario and print one JSON line.

    Parameters
    ----------
    shape : str
        himshell or kalnsetas.
    scenario : str
        One of `SCENARIOS`.
    policy : str
        product, or a baseline: random, round-robin, least-local, no-passing,
        hash-no-token, two-choices or least-running.
    seed : int
        Seed of the load and of the fabric.
    seconds : float
        Shortest time that is measured.
    out : str
        File to append the line to.
    plot : str
        File to write a picture over time to, such as run.png.
    """
    figures = uvloop.run(measure(shape, scenario, policy, seed, seconds, plot))
    line = json.dumps(figures)
    print(line)
    if out:
        with Path(out).open("a") as file:
            file.write(line + "\n")


if __name__ == "__main__":
    fire.Fire(main)
