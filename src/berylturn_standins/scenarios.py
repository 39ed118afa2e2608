"""Scenarios of planned changes and failures on a deployment of real processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from .background import BackgroundLoad, LoadShape
from .deployment import Deployment, stop_process
from .plan import BalancerPlan, ServerPlan

# Unit of the waits between the steps of scenarios.
SETTLE_SECONDS = 1.0

Scenario = Callable[[Deployment], Awaitable[None]]


async def hold_steady(_deployment: Deployment) -> None:
    """Change nothing for a while."""
    await asyncio.sleep(2 * SETTLE_SECONDS)


async def kill_balancer(deployment: Deployment) -> None:
    """Kill one balancer."""
    await deployment.kill(deployment.plan.balancers[0].name)
    await asyncio.sleep(3 * SETTLE_SECONDS)


async def replace_balancers(deployment: Deployment) -> None:
    """Replace every balancer, one after another."""
    for plan in deployment.plan.balancers:
        new = BalancerPlan(f"{plan.name}-new", plan.data_centre)
        await deployment.start_balancer(new)
        await wait_fabric(deployment, len(deployment.plan.balancers) + 1)
        await deployment.stop(plan.name)
        await wait_fabric(deployment, len(deployment.plan.balancers))


async def replace_agents(deployment: Deployment, rounds: int = 1) -> None:
    """Replace every agent in place, one after another."""
    for _ in range(rounds):
        for plan in deployment.plan.servers:
            await replace_agent(deployment, plan)
            await asyncio.sleep(SETTLE_SECONDS / 2)


async def replace_agent(deployment: Deployment, plan: ServerPlan) -> None:
    """Start the successor of an agent at the same address, then stop the agent."""
    name = f"{plan.name}-agent"
    old = deployment.processes.pop(name)
    await deployment.start_agent(plan, old.ports["peers"])
    await asyncio.sleep(SETTLE_SECONDS)
    await stop_process(old, seconds=90.0)


async def replace_agent_in_outage(deployment: Deployment) -> None:
    """Replace an agent in place during an outage of the platform."""
    plan = deployment.plan.servers[0]
    await deployment.post("platform", "/_switches", {"outage": True})
    replacement = asyncio.create_task(replace_agent(deployment, plan))
    await asyncio.sleep(4 * SETTLE_SECONDS)
    await deployment.post("platform", "/_switches", {"outage": False})
    await replacement
    await asyncio.sleep(SETTLE_SECONDS)


async def replace_agent_twice(deployment: Deployment) -> None:
    """Replace the same agent in place twice in a row."""
    plan = deployment.plan.servers[0]
    for _ in range(2):
        await replace_agent(deployment, plan)
        await asyncio.sleep(SETTLE_SECONDS)


async def join_cold_server(deployment: Deployment) -> None:
    """Start one more backend server, and open flows during its cold start."""
    first = deployment.plan.servers[0]
    added = replace(first, name=f"{first.name}-late", cold_seconds=3.0)
    deployment.plan.servers.append(added)
    await deployment.apply_labels(added)
    await deployment.start_server(added)
    await deployment.wait_servers(first.service, len(deployment.plan.servers))
    shape = LoadShape(first.service, "late", pause=0.02, work_ms=30.0, streams=0)
    async with BackgroundLoad(deployment, shape):
        await asyncio.sleep(2 * SETTLE_SECONDS)


async def kill_agent(deployment: Deployment, index: int = 0) -> None:
    """Kill one agent, and start another at its address after a while."""
    plan = deployment.plan.servers[index]
    name = f"{plan.name}-agent"
    port = deployment.processes[name].ports["peers"]
    await deployment.kill(name)
    await asyncio.sleep(3 * SETTLE_SECONDS)
    await deployment.start_agent(plan, port)
    await asyncio.sleep(SETTLE_SECONDS)


async def pause_agent(deployment: Deployment) -> None:
    """Suspend one agent for longer than every timeout, then resume it."""
    await pause_process(deployment, f"{deployment.plan.servers[0].name}-agent")


async def pause_balancer(deployment: Deployment) -> None:
    """Suspend one balancer for longer than every timeout, then resume it."""
    await pause_process(deployment, deployment.plan.balancers[0].name)


async def pause_process(deployment: Deployment, name: str) -> None:
    """Suspend a process for longer than every timeout, then resume it."""
    await deployment.signal(name, signal.SIGSTOP)
    await asyncio.sleep(8 * SETTLE_SECONDS)
    await deployment.signal(name, signal.SIGCONT)
    await asyncio.sleep(2 * SETTLE_SECONDS)


async def drain_server(deployment: Deployment) -> None:
    """Drain one backend server by setting its label."""
    server = deployment.plan.servers[0].name
    await set_label(deployment, f"server/{server}", "state=drain")
    await asyncio.sleep(3 * SETTLE_SECONDS)


async def restart_backend(deployment: Deployment, index: int = 0) -> None:
    """Restart one backend server without notice, so that it is in cold start."""
    await deployment.post(deployment.plan.servers[index].name, "/_restart")
    await asyncio.sleep(3 * SETTLE_SECONDS)


async def change_shares(deployment: Deployment) -> None:
    """Give one data centre all shares, then apply the selector without shares."""
    service = deployment.plan.services[0]
    data_centres = sorted({s.data_centre for s in deployment.plan.servers})
    single_centre_shares = {name: 0 for name in data_centres} | {data_centres[0]: 100}
    await deployment.apply_selector(service, single_centre_shares)
    await asyncio.sleep(SETTLE_SECONDS)
    await deployment.apply_selector(service)
    await asyncio.sleep(SETTLE_SECONDS)


async def move_server(deployment: Deployment, service: str) -> None:
    """Label a backend server for another service while one balancer is suspended."""
    server = deployment.plan.servers[0].name
    balancer = deployment.plan.balancers[0].name
    await deployment.signal(balancer, signal.SIGSTOP)
    status, output = await deployment.run_tool(
        "label", "set", f"server/{server}", f"app={service}"
    )
    if status != 0:
        raise AssertionError(output)
    await asyncio.sleep(SETTLE_SECONDS)
    await deployment.signal(balancer, signal.SIGCONT)
    await deployment.wait_servers(service, 1)


async def disturb_all_links(deployment: Deployment) -> None:
    """Make every proxied link lose, duplicate and reorder datagrams."""
    proxies = [name for name in deployment.processes if name.endswith("-proxy")]
    faults = {"drop": 0.05, "duplicate": 0.05, "reorder": 0.05}
    for name in proxies:
        await deployment.post(name, "/_faults", faults)
    await asyncio.sleep(5 * SETTLE_SECONDS)


async def take_data_centre_out(deployment: Deployment) -> None:
    """Take one data centre out of service and bring it back."""
    data_centre = deployment.plan.servers[0].data_centre
    await set_label(deployment, f"data-centre/{data_centre}", "state=out")
    await asyncio.sleep(4 * SETTLE_SECONDS)
    await set_label(deployment, f"data-centre/{data_centre}", "state=in")
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def fail_platform(
    deployment: Deployment, seconds: float = 2 * SETTLE_SECONDS
) -> None:
    """Kill a balancer and start another during an outage of the platform."""
    await deployment.post("platform", "/_switches", {"outage": True})
    await deployment.kill(deployment.plan.balancers[0].name)
    data_centre = deployment.plan.balancers[0].data_centre
    await deployment.start_balancer(BalancerPlan("entry-late", data_centre))
    await wait_fabric(deployment, len(deployment.plan.balancers))
    await asyncio.sleep(seconds)
    await deployment.post("platform", "/_switches", {"outage": False})
    await asyncio.sleep(SETTLE_SECONDS)


async def silence_connections(deployment: Deployment) -> None:
    """Stop all traffic of open connections through the proxies, then the fabric."""
    for name in list(deployment.processes):
        if name.endswith("-proxy"):
            await deployment.post(name, "/_silence")
    await asyncio.sleep(4 * SETTLE_SECONDS)
    await deployment.post("fabric", "/_silence")
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def restart_data_centre(deployment: Deployment) -> None:
    """Restart all backend servers of one data centre at the same time."""
    data_centre = deployment.plan.servers[0].data_centre
    names = [s.name for s in deployment.plan.servers if s.data_centre == data_centre]
    await asyncio.gather(*(deployment.post(name, "/_restart") for name in names))
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def kill_backend(deployment: Deployment) -> None:
    """Kill the backend server with the most flows, but not its agent."""
    flows = {}
    for server in deployment.plan.servers:
        flows[server.name] = (await deployment.get(server.name, "/_record"))["flows"]
    await deployment.kill(max(flows, key=flows.__getitem__))
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def break_backend(deployment: Deployment) -> None:
    """Make one backend server end every request unanswered, then let it recover."""
    name = deployment.plan.servers[0].name
    await deployment.post(name, "/_break", {"broken": True})
    await asyncio.sleep(5 * SETTLE_SECONDS)
    await deployment.post(name, "/_break", {"broken": False})
    await deployment.wait_servers(
        deployment.plan.services[0], len(deployment.plan.servers)
    )


async def drain_while_balancers_change(deployment: Deployment) -> None:
    """Drain one backend server while a balancer is killed and another starts."""
    await asyncio.gather(
        drain_server(deployment), replace_killed_balancer(deployment, 0)
    )


async def replace_killed_balancer(deployment: Deployment, index: int) -> None:
    """Kill one balancer while another starts."""
    old = deployment.plan.balancers[index]
    new = BalancerPlan(f"{old.name}-new", old.data_centre)
    await asyncio.gather(deployment.kill(old.name), deployment.start_balancer(new))


async def fail_together(deployment: Deployment) -> None:
    """Twice kill a balancer and an agent and restart a server, all at once.

    The platform is down during the first round.
    """
    for index, outage in enumerate((True, False)):
        await deployment.post("platform", "/_switches", {"outage": outage})
        await asyncio.gather(
            replace_killed_balancer(deployment, index),
            kill_agent(deployment, index),
            restart_backend(deployment, index + 2),
        )
    service = deployment.plan.services[0]
    await deployment.wait_servers(service, len(deployment.plan.servers))


async def cut_data_centres(deployment: Deployment) -> None:
    """Block the traffic between the first two data centres for a while."""
    first, second = sorted({s.data_centre for s in deployment.plan.servers})[:2]
    await block_between(deployment, first, second, blocked=True)
    await asyncio.sleep(7 * SETTLE_SECONDS)
    await block_between(deployment, first, second, blocked=False)
    await asyncio.sleep(SETTLE_SECONDS)


async def block_between(
    deployment: Deployment, first: str, second: str, blocked: bool
) -> None:
    """Block or unblock the traffic between the daemons of two data centres."""
    for data_centre, other_data_centre in ((first, second), (second, first)):
        ports = (
            [p for _, p in proxies_and_ports(deployment, other_data_centre)]
            if blocked
            else []
        )
        for proxy, _ in proxies_and_ports(deployment, data_centre):
            await deployment.post(proxy, "/_block", {"ports": ports})


def proxies_and_ports(
    deployment: Deployment, data_centre: str
) -> list[tuple[str, int]]:
    """Return the proxy name and the port of each daemon of a data centre."""
    daemons = [
        b.name for b in deployment.plan.balancers if b.data_centre == data_centre
    ]
    servers = [s.name for s in deployment.plan.servers if s.data_centre == data_centre]
    daemons += [f"{name}-agent" for name in servers]
    return [
        (f"{name}-proxy", deployment.processes[name].ports["peers"]) for name in daemons
    ]


async def set_label(deployment: Deployment, target: str, label: str) -> None:
    """Set one label and wait until it is in force at every balancer."""
    status, output = await deployment.run_tool("label", "set", target, label, "--wait")
    if status != 0:
        raise AssertionError(output)


async def wait_fabric(deployment: Deployment, balancers: int) -> None:
    """Wait until the fabric distributes packets over `balancers` balancers."""

    async def is_reached() -> bool:
        stats = await deployment.get("fabric", "/_stats")
        return stats["balancers"] == balancers

    await deployment.wait_until(is_reached, f"{balancers} balancers in the fabric")
