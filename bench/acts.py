"""Scenarios of measurements, and probes of configuration."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from datetime import timedelta
from functools import partial

from berylturn.process.control import ControlError, StatusRequest, call_control
from berylturn.process.platform import HttpPlatform, write_object
from berylturn_standins import scenarios
from berylturn_standins.deployment import Deployment
from berylturn_standins.ports import HOST
from berylturn_standins.statsd import StatsdStandIn

PROBES = 10
OUT_GRACE_SECONDS = 3.0


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


async def roll_everything(deployment: Deployment) -> None:
    """Replace every agent and every balancer once."""
    await scenarios.replace_agents(deployment)
    await scenarios.replace_balancers(deployment)


STEADY = "steady"
FAULTS = "faults"
SCENARIOS = {
    STEADY: (scenarios.hold_steady, 0.8),
    "drain": (scenarios.drain_server, 0.7),
    "rolling": (roll_everything, 0.7),
    "balancer-kill": (scenarios.kill_balancer, 0.8),
    "agent-kill": (scenarios.kill_agent, 0.6),
    "cold": (restart_some_backends, 0.6),
    "dc-out-and-back": (take_out_and_back, 0.5),
    "overload": (scenarios.hold_steady, 1.5),
    "platform-outage": (scenarios.fail_platform, 0.8),
    "long-outage": (partial(scenarios.fail_platform, seconds=60.0), 0.8),
    "silent": (scenarios.silence_connections, 0.6),
    "mixed": (mix_failures, 0.6),
    FAULTS: (disturb_control, 0.6),
}
