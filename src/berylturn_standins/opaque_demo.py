"""Send requests on passthrough flows for a minute; one balancer stops halfway."""

from __future__ import annotations

import asyncio
import sys

import fire

from berylturn.clock import SystemClock

from .opaque import CallerFlow
from .opaque_deployment import SERVICE_ADDRESS, OpaqueDeployment

# Data centre by name of the balancer.
BALANCERS = {"front-a": "patan-hall", "front-b": "thamel-bar"}
# Data centre and service by name of the agent.
AGENTS = {
    "side-a1": ("patan-hall", "desk"),
    "side-a2": ("patan-hall", "desk"),
    "side-b1": ("thamel-bar", "desk"),
}
FLOWS = 20
PAUSE_SECONDS = 0.2
# New flows are opened this often, because daemons may forget a flow after a minute.
FLOW_SECONDS = 15.0
CLOCK = SystemClock()


async def run_demo(seconds: float) -> int:
    """Run the demo; return how many flows and requests were not answered."""
    requests = missed = 0
    async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
        flows: list[CallerFlow] = []
        opened = 0
        renew_at = CLOCK.monotonic()
        deadline = CLOCK.monotonic() + seconds
        stop_at = CLOCK.monotonic() + seconds / 2
        stopped = False
        while CLOCK.monotonic() < deadline:
            if CLOCK.monotonic() >= renew_at:
                flows = await open_flows(deployment)
                opened += len(flows)
                missed += FLOWS - len(flows)
                renew_at += FLOW_SECONDS
            replies = await asyncio.gather(*(flow.send_request() for flow in flows))
            requests += len(replies)
            missed += replies.count(False)
            if sys.stdout.isatty():
                print(f"\r{requests} requests on {opened} flows", end="", flush=True)
            if not stopped and CLOCK.monotonic() > stop_at:
                await deployment.stop("front-a")
                await deployment.wait_until(lambda: len(deployment.router.ready) == 1)
                stopped = True
            await asyncio.sleep(PAUSE_SECONDS)
        served = {name: b.answered for name, b in deployment.backends.items()}
    print(f"\n{requests} requests on {opened} flows")
    print(f"answered by {served}; one balancer stopped on the way; {missed} missed")
    return missed


async def open_flows(deployment: OpaqueDeployment) -> list[CallerFlow]:
    """Open `FLOWS` flows and return those that were accepted."""
    opened = [await deployment.callers.open(SERVICE_ADDRESS) for _ in range(FLOWS)]
    return [flow for flow in opened if flow is not None]


def main(seconds: float = 60.0) -> None:
    """Run the demo; exit with 1 if a flow was not opened or a request not answered."""
    sys.exit(1 if asyncio.run(run_demo(seconds)) else 0)


if __name__ == "__main__":
    fire.Fire(main)
