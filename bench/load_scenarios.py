"""Scenarios of the load measurements, and probes of the configuration delay."""

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

# Label changes that are timed in one run.
PROBE_COUNT = 10
# Packets that reach an evacuated data centre within this time do not count as late.
EVACUATION_GRACE_SECONDS = 3.0


async def probe_configuration(deployment: Deployment) -> list[float]:
    """Return the seconds until each label change was in force at every balancer."""
    platform = HttpPlatform(deployment.platform_url, timedelta(seconds=5))
    control_addresses = [
        f"{HOST}:{running.ports['control']}"
        for running in deployment.processes.values()
        if "callers" in running.ports
    ]
    delays = []
    for index in range(PROBE_COUNT):
        body = json.dumps({"labels": {"probe": str(index)}}).encode()
        started_at = time.monotonic()
        version = await write_object(platform, "server/probe", body)
        while not await _is_in_force(control_addresses, version):
            await asyncio.sleep(0.005)
        delays.append(time.monotonic() - started_at)
    platform.close()
    return delays


async def _is_in_force(control_addresses: list[str], version: int) -> bool:
    for address in control_addresses:
        try:
            reply = await call_control(address, "Status", StatusRequest("server/probe"))
        except ControlError:
            continue
        if reply.version < version:
            return False
    return True


async def restart_some_backends(deployment: Deployment) -> None:
    """Restart two backend servers in turn, without notice; both start cold."""
    for server in deployment.plan.servers[:2]:
        await deployment.post(server.name, "/_restart")
        await asyncio.sleep(4.0)


async def evacuate_and_restore(deployment: Deployment) -> int:
    """Evacuate and restore a data centre; return the packets that reached it late."""
    statsd = deployment.statsd
    data_centre = deployment.plan.servers[0].data_centre
    server_names = [
        s.name for s in deployment.plan.servers if s.data_centre == data_centre
    ]
    await scenarios.set_label(deployment, f"data-centre/{data_centre}", "state=out")
    await asyncio.sleep(EVACUATION_GRACE_SECONDS)
    packets_before = _count_packets(statsd, server_names)
    await asyncio.sleep(4.0)
    late_packets = _count_packets(statsd, server_names) - packets_before
    await scenarios.set_label(deployment, f"data-centre/{data_centre}", "state=in")
    await asyncio.sleep(5.0)
    return late_packets


def _count_packets(statsd: StatsdStandIn, node_names: list[str]) -> int:
    return sum(
        statsd.counters.get(name, Counter())["packets.from_callers"]
        for name in node_names
    )


async def combine_failures(deployment: Deployment) -> None:
    """Play two failures at once, chosen by the seed, with a slow platform."""
    random_source = random.Random(deployment.plan.seed)
    chosen = random_source.sample(
        [
            scenarios.kill_balancer,
            restart_some_backends,
            scenarios.drain_server,
            scenarios.replace_agents,
        ],
        2,
    )
    await deployment.post("platform", "/_switches", {"delay": 0.5})
    await asyncio.gather(*(play(deployment) for play in chosen))


async def disturb_control(deployment: Deployment) -> None:
    """Disturb all links between daemons, and delay the platform's answers by 1 s."""
    await deployment.post("platform", "/_switches", {"delay": 1.0})
    await scenarios.disturb_all_links(deployment)


async def replace_all_daemons(deployment: Deployment) -> None:
    """Replace every agent and every balancer once."""
    await scenarios.replace_agents(deployment)
    await scenarios.replace_balancers(deployment)


STEADY = "steady"
FAULTS = "faults"
# Each scenario with its load, as a share of the capacity of the backend servers.
SCENARIOS = {
    STEADY: (scenarios.hold_steady, 0.8),
    "drain": (scenarios.drain_server, 0.7),
    "rolling": (replace_all_daemons, 0.7),
    "balancer-kill": (scenarios.kill_balancer, 0.8),
    "agent-kill": (scenarios.kill_agent, 0.6),
    "cold": (restart_some_backends, 0.6),
    "dc-out-and-back": (evacuate_and_restore, 0.5),
    "overload": (scenarios.hold_steady, 1.5),
    "platform-outage": (scenarios.fail_platform, 0.8),
    "long-outage": (partial(scenarios.fail_platform, seconds=60.0), 0.8),
    "silent": (scenarios.silence_connections, 0.6),
    "mixed": (combine_failures, 0.6),
    FAULTS: (disturb_control, 0.6),
}
