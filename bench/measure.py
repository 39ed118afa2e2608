"""Measure broken flows, imbalance and service under one scenario.

Starts a deployment as real processes, offers an open-loop load from a fixed seed,
plays the scenario and prints one JSON line.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import fire
import uvloop
from hdrh.histogram import HdrHistogram

from berylturn.domain import CloseReason
from berylturn_standins import scenarios
from berylturn_standins.deployment import Deployment
from berylturn_standins.load import (
    count_doubled,
    count_false_not_run,
)
from berylturn_standins.plan import BalancerPlan, Plan, ServerPlan
from berylturn_standins.ports import HOST, free_port
from berylturn_standins.statsd import StatsdStandIn

from .baseline import POLICY_VARIABLE
from .load_scenarios import FAULTS, SCENARIOS, STEADY, probe_configuration
from .meter import ImbalanceMeter
from .open_load import MAX_LATENCY_US, Result, make_load
from .plot import draw_timeline

CALLER_DELAY_MS = 3.0
WARM_UP_SECONDS = 4.0
COLD_SECONDS = 1.0
# Speeds of the servers of one service, relative to the slowest.
SPEEDS = (1.0, 2.0, 4.0, 1.5, 3.0, 1.0, 2.5)


@dataclass(frozen=True)
class Shape:
    """Data centres, servers per service, and slots per server of a deployment."""

    data_centres: tuple[str, ...]
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


def build_plan(
    shape: Shape, policy: str, seed: int, statsd_port: int, proxied: bool = False
) -> Plan:
    """Return the plan of a deployment, with or without fault proxies."""
    servers = []
    for service, count in shape.services.items():
        for index in range(count):
            servers.append(
                ServerPlan(
                    f"{service}-{index}",
                    service,
                    shape.data_centres[index % len(shape.data_centres)],
                    slots=shape.slots,
                    speed=SPEEDS[index],
                    cold_seconds=COLD_SECONDS,
                    proxied=proxied,
                )
            )
    balancers = [
        BalancerPlan(f"entry-{data_centre}", data_centre, proxied)
        for data_centre in shape.data_centres
    ]
    plan = Plan(list(shape.services), servers, balancers, seed=seed)
    plan.delay_ms = CALLER_DELAY_MS
    plan.statsd_port = statsd_port
    if policy != "product":
        plan.daemon = "bench.baseline"
        plan.environment = {POLICY_VARIABLE: policy}
    return plan


async def measure(
    shape_name: str,
    scenario: str,
    policy: str,
    seed: int,
    seconds: float,
    plot: str = "",
) -> dict:
    """Run one measurement and return its results."""
    shape = SHAPES[shape_name]
    play, load_factor = SCENARIOS[scenario]
    statsd = StatsdStandIn()
    statsd_port = free_port()
    await statsd.start((HOST, statsd_port))
    plan = build_plan(shape, policy, seed, statsd_port, proxied=scenario == FAULTS)
    async with Deployment(plan) as deployment:
        deployment.statsd = statsd
        await prepare_deployment(deployment)
        loads = [
            make_load(deployment, service, load_factor, seed)
            for service in shape.services
        ]
        print_progress("opening flows")
        await asyncio.gather(*(load.open() for load in loads))
        for load in loads:
            load.start()
        await asyncio.sleep(WARM_UP_SECONDS)
        meters = [ImbalanceMeter(deployment, load.result) for load in loads]
        meter_tasks = [asyncio.create_task(meter.run()) for meter in meters]
        print_progress(f"playing {scenario} under {policy}")
        started_at = time.monotonic()
        late_packets = await play(deployment)
        probe = scenario in (STEADY, FAULTS)
        config_delays = await probe_configuration(deployment) if probe else []
        await asyncio.sleep(max(0.0, seconds - (time.monotonic() - started_at)))
        for task in meter_tasks:
            task.cancel()
        print_progress("stopping the load")
        await asyncio.gather(*(load.stop() for load in loads))
        backend_records = await read_records(deployment)
        for load in loads:
            await load.close()
    statsd.close()
    if plot:
        title = f"{shape_name} {scenario} {policy} seed {seed}"
        draw_timeline(meters[0].timeline, title, plot)
    figures = summarise_results([load.result for load in loads], backend_records)
    figures["imbalance"] = meters[0].mean_imbalance()
    figures["imbalance_of_run"] = meters[0].imbalance_of_run()
    figures["config_in_force_s"] = (
        round(max(config_delays), 3) if config_delays else None
    )
    figures["late_packets_to_out_dc"] = late_packets
    figures["passed_on"] = statsd.total("flows.passed_on")
    run_keys = {
        "shape": shape_name,
        "scenario": scenario,
        "policy": policy,
        "seed": seed,
    }
    return run_keys | figures


async def prepare_deployment(deployment: Deployment) -> None:
    """Write labels and selectors, and wait until all backend servers are in service."""
    await deployment.apply_labels()
    for service in deployment.plan.services:
        await deployment.apply_selector(service)
        server_count = sum(
            server.service == service for server in deployment.plan.servers
        )
        await deployment.wait_servers(service, server_count)
    await scenarios.wait_fabric(deployment, len(deployment.plan.balancers))


async def read_records(deployment: Deployment) -> list[dict]:
    """Return what each backend server recorded about its requests."""
    return [
        await deployment.get(server.name, "/_record")
        for server in deployment.plan.servers
    ]


def summarise_results(results: list[Result], records: list[dict]) -> dict:
    """Return the results of one run."""
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
    offered_on_intact_flows = sum(r.offered_on_intact_flows for r in results)
    in_time_on_intact_flows = sum(r.in_time_on_intact_flows for r in results)
    return {
        "flows": sum(len(r.sessions) for r in results),
        "broken_flows": sum(endings.values()),
        "endings": endings,
        "offered": sum(r.offered for r in results),
        "answered_in_time": sum(r.in_time for r in results),
        "in_time_elsewhere": round(
            in_time_on_intact_flows / max(offered_on_intact_flows, 1), 5
        ),
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


def print_progress(text: str) -> None:
    """Print a line of progress to stderr."""
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
        Seed of the load, the scenario and the fabric.
    seconds : float
        Minimum duration of the measurement.
    out : str
        File that the line is appended to.
    plot : str
        File for a plot over time, such as run.png.
    """
    figures = uvloop.run(measure(shape, scenario, policy, seed, seconds, plot))
    line = json.dumps(figures)
    print(line)
    if out:
        with Path(out).open("a") as file:
            file.write(line + "\n")


if __name__ == "__main__":
    fire.Fire(main)
