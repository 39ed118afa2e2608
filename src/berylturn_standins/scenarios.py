"""Scenarios: planned changes and failures acted out on a deployment."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from .background import BackgroundLoad, LoadShape
from .deployment import Deployment, stop_process
from .plan import BalancerPlan, ServerPlan

SETTLE_SECONDS = 1.0

Scenario = Callable[[Deployment], Awaitable[None]]


async def hold_steady(_deployment: Deployment) -> None:
    """Change nothing."""
    await asyncio.sleep(2 * SETTLE_SECONDS)


async def kill_balancer(deployment: Deployment) -> None:
    """End one balancer at once."""
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
    """Replace an agent in place while the platform is down for a while."""
    plan = deployment.plan.servers[0]
    await deployment.post("platform", "/_switches", {"outage": True})
    replacing = asyncio.create_task(replace_agent(deployment, plan))
    await asyncio.sleep(4 * SETTLE_SECONDS)
    await deployment.post("platform", "/_switches", {"outage": False})
    await replacing
    await asyncio.sleep(SETTLE_SECONDS)


async def replace_agent_twice(deployment: Deployment) -> None:
    """Replace the same agent in place twice in a row."""
    plan = deployment.plan.servers[0]
    for _ in range(2):
        await replace_agent(deployment, plan)
        await asyncio.sleep(SETTLE_SECONDS)


async def join_cold_server(deployment: Deployment) -> None:
    """Start one more backend server, which is cold, and send new flows."""
    first = deployment.plan.servers[0]
    joining = replace(first, name=f"{first.name}-late", cold_seconds=3.0)
    deployment.plan.servers.append(joining)
    await deployment.apply_labels(joining)
    await deployment.start_server(joining)
    await deployment.wait_servers(first.service, len(deployment.plan.servers))
    shape = LoadShape(first.service, "late", pause=0.02, work_ms=30.0, streams=0)
    async with BackgroundLoad(deployment, shape):
        await asyncio.sleep(2 * SETTLE_SECONDS)


async def kill_agent(deployment: Deployment, index: int = 0) -> None:
    """End one agent at once and start another a while later."""
    plan = deployment.plan.servers[index]
    name = f"{plan.name}-agent"
    port = deployment.processes[name].ports["peers"]
    await deployment.kill(name)
    await asyncio.sleep(3 * SETTLE_SECONDS)
    await deployment.start_agent(plan, port)
    await asyncio.sleep(SETTLE_SECONDS)


async def pause_agent(deployment: Deployment) -> None:
    """Freeze one agent for longer than every time-out, then resume it."""
    await pause_process(deployment, f"{deployment.plan.servers[0].name}-agent")


async def pause_balancer(deployment: Deployment) -> None:
    """Freeze one balancer for longer than every time-out, then resume it."""
    await pause_process(deployment, deployment.plan.balancers[0].name)


async def pause_process(deployment: Deployment, name: str) -> None:
    """Freeze a process for longer than every time-out, then resume it."""
    await deployment.signal(name, signal.SIGSTOP)
    await asyncio.sleep(8 * SETTLE_SECONDS)
    await deployment.signal(name, signal.SIGCONT)
    await asyncio.sleep(2 * SETTLE_SECONDS)


async def drain_server(deployment: Deployment) -> None:
    """Drain one backend server by its label."""
    server = deployment.plan.servers[0].name
    await set_label(deployment, f"server/{server}", "state=drain")
    await asyncio.sleep(3 * SETTLE_SECONDS)


async def restart_backend(deployment: Deployment, index: int = 0) -> None:
    """Let one backend server fall back into cold start, unannounced."""
    await deployment.post(deployment.plan.servers[index].name, "/_restart")
    await asyncio.sleep(3 * SETTLE_SECONDS)


async def change_shares(deployment: Deployment) -> None:
    """Move all shares to one data centre, then back to both."""
    service = deployment.plan.services[0]
    centres = sorted({s.data_centre for s in deployment.plan.servers})
    one = {name: 0 for name in centres} | {centres[0]: 100}
    await deployment.apply_selector(service, one)
    await asyncio.sleep(SETTLE_SECONDS)
    await deployment.apply_selector(service)
    await asyncio.sleep(SETTLE_SECONDS)


async def move_server(deployment: Deployment, service: str) -> None:
    """Label a backend server for another service; one balancer learns it late."""
    server = deployment.plan.servers[0].name
    late = deployment.plan.balancers[0].name
    await deployment.signal(late, signal.SIGSTOP)
    status, output = await deployment.tool(
        "label", "set", f"server/{server}", f"app={service}"
    )
    if status != 0:
        raise AssertionError(output)
    await asyncio.sleep(SETTLE_SECONDS)
    await deployment.signal(late, signal.SIGCONT)
    await deployment.wait_servers(service, 1)


async def disturb_all_links(deployment: Deployment) -> None:
    """Lose, duplicate and reorder datagrams on every link for a while."""
    proxies = [name for name in deployment.processes if name.endswith("-proxy")]
    faults = {"drop": 0.05, "duplicate": 0.05, "reorder": 0.05}
    for name in proxies:
        await deployment.post(name, "/_faults", faults)
    await asyncio.sleep(5 * SETTLE_SECONDS)


async def take_data_centre_out(deployment: Deployment) -> None:
    """Take one data centre out and bring it back."""
    centre = deployment.plan.servers[0].data_centre
    await set_label(deployment, f"data-centre/{centre}", "state=out")
    await asyncio.sleep(4 * SETTLE_SECONDS)
    await set_label(deployment, f"data-centre/{centre}", "state=in")
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def fail_platform(
    deployment: Deployment, seconds: float = 2 * SETTLE_SECONDS
) -> None:
    """Let the platform be down while a balancer dies and another joins."""
    await deployment.post("platform", "/_switches", {"outage": True})
    await deployment.kill(deployment.plan.balancers[0].name)
    centre = deployment.plan.balancers[0].data_centre
    await deployment.start_balancer(BalancerPlan("entry-late", centre))
    await wait_fabric(deployment, len(deployment.plan.balancers))
    await asyncio.sleep(seconds)
    await deployment.post("platform", "/_switches", {"outage": False})
    await asyncio.sleep(SETTLE_SECONDS)


async def silence_connections(deployment: Deployment) -> None:
    """Make all open connections through proxies and the fabric go silent."""
    for name in list(deployment.processes):
        if name.endswith("-proxy"):
            await deployment.post(name, "/_silence")
    await asyncio.sleep(4 * SETTLE_SECONDS)
    await deployment.post("fabric", "/_silence")
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def restart_data_centre(deployment: Deployment) -> None:
    """Let all backend servers of one data centre start cold at once."""
    centre = deployment.plan.servers[0].data_centre
    names = [s.name for s in deployment.plan.servers if s.data_centre == centre]
    await asyncio.gather(*(deployment.post(name, "/_restart") for name in names))
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def kill_backend(deployment: Deployment) -> None:
    """End the backend server with the most flows for good; its agent lives on."""
    flows = {}
    for server in deployment.plan.servers:
        flows[server.name] = (await deployment.get(server.name, "/_record"))["flows"]
    await deployment.kill(max(flows, key=flows.__getitem__))
    await asyncio.sleep(4 * SETTLE_SECONDS)


async def break_backend(deployment: Deployment) -> None:
    """Let one backend server take connections, end every request, then recover."""
    name = deployment.plan.servers[0].name
    await deployment.post(name, "/_break", {"broken": True})
    await asyncio.sleep(5 * SETTLE_SECONDS)
    await deployment.post(name, "/_break", {"broken": False})
    await deployment.wait_servers(
        deployment.plan.services[0], len(deployment.plan.servers)
    )


async def drain_while_balancers_change(deployment: Deployment) -> None:
    """Drain one backend server while a balancer dies and another joins."""
    await asyncio.gather(
        drain_server(deployment), replace_killed_balancer(deployment, 0)
    )


async def replace_killed_balancer(deployment: Deployment, index: int) -> None:
    """End one balancer at once while another starts."""
    dying = deployment.plan.balancers[index]
    new = BalancerPlan(f"{dying.name}-new", dying.data_centre)
    await asyncio.gather(deployment.kill(dying.name), deployment.start_balancer(new))


async def fail_together(deployment: Deployment) -> None:
    """Lose a balancer, an agent and a server's warmth at once, and then again.

    The platform is down during the first round.
    """
    for turn, outage in enumerate((True, False)):
        await deployment.post("platform", "/_switches", {"outage": outage})
        await asyncio.gather(
            replace_killed_balancer(deployment, turn),
            kill_agent(deployment, turn),
            restart_backend(deployment, turn + 2),
        )
    service = deployment.plan.services[0]
    await deployment.wait_servers(service, len(deployment.plan.servers))


async def cut_data_centres(deployment: Deployment) -> None:
    """Cut the first two data centres off from each other for a while."""
    first, second = sorted({s.data_centre for s in deployment.plan.servers})[:2]
    await block_between(deployment, first, second, cut=True)
    await asyncio.sleep(7 * SETTLE_SECONDS)
    await block_between(deployment, first, second, cut=False)
    await asyncio.sleep(SETTLE_SECONDS)


async def block_between(
    deployment: Deployment, first: str, second: str, cut: bool
) -> None:
    """Block or open the proxies between the daemons of two data centres."""
    for here, there in ((first, second), (second, first)):
        ports = [p for _, p in peer_ports(deployment, there)] if cut else []
        for proxy, _ in peer_ports(deployment, here):
            await deployment.post(proxy, "/_block", {"ports": ports})


def peer_ports(deployment: Deployment, centre: str) -> list[tuple[str, int]]:
    """Return the proxy and the own port of each daemon of a data centre."""
    daemons = [b.name for b in deployment.plan.balancers if b.data_centre == centre]
    servers = [s.name for s in deployment.plan.servers if s.data_centre == centre]
    daemons += [f"{name}-agent" for name in servers]
    return [
        (f"{name}-proxy", deployment.processes[name].ports["peers"]) for name in daemons
    ]


async def set_label(deployment: Deployment, target: str, label: str) -> None:
    """Set one label and wait until it is in force at every balancer."""
    status, output = await deployment.tool("label", "set", target, label, "--wait")
    if status != 0:
        raise AssertionError(output)


async def wait_fabric(deployment: Deployment, balancers: int) -> None:
    """Wait until the fabric sprays over that many balancers."""

    async def reached() -> bool:
        stats = await deployment.get("fabric", "/_stats")
        return stats["balancers"] == balancers

    await deployment.wait_until(reached, f"{balancers} balancers in the fabric")
