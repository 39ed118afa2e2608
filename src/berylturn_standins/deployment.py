"""Start and stop a whole deployment of real processes for demos and tests."""

from __future__ import annotations

import asyncio
import configparser
import json
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from berylturn.clock import SystemClock

from .plan import BalancerPlan, Plan, ServerPlan
from .ports import HOST, free_port
from .sections import Sections, Surroundings, describe_agent, describe_balancer

START_SECONDS = 20.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
CLOCK = SystemClock()


class DeploymentError(Exception):
    """A process did not start, or an awaited state was not reached."""


@dataclass
class Running:
    """One process with the addresses that it serves."""

    process: asyncio.subprocess.Process
    ports: dict[str, int]
    settings: Path | None = None


class Deployment:
    """Own the processes of one deployment; use it as a context manager.

    Parameters
    ----------
    plan : Plan
        What to start.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.processes: dict[str, Running] = {}
        self.service_ports = {name: free_port() for name in plan.services}
        self._folder = tempfile.TemporaryDirectory(prefix="berylturn-")
        self.folder = Path(self._folder.name)
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Deployment:
        """Start everything and wait until flows can be opened."""
        self.http = aiohttp.ClientSession()
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop everything that was started here."""
        names = list(self.processes)
        await asyncio.gather(*(self.kill(name) for name in names))
        await self.http.close()
        self._folder.cleanup()

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform stand-in."""
        return f"http://{HOST}:{self.processes['platform'].ports['http']}"

    def entry(self, service: str) -> tuple[str, int]:
        """Return the address that callers of a service send to."""
        return HOST, self.service_ports[service]

    def log_lines(self, name: str) -> list[dict]:
        """Return the log lines of one daemon."""
        path = self.folder / f"{name}.log"
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def start_balancer(self, plan: BalancerPlan) -> None:
        """Start one balancer."""
        ports = {key: free_port() for key in ("callers", "peers", "control")}
        fabric = self.processes["fabric"].ports["control"]
        sections = describe_balancer(plan, ports, fabric, self._surroundings())
        if plan.proxied:
            name = f"{plan.name}-proxy"
            await self.start_proxy(name, ports["peers"])
            front = self.processes[name].ports["listen"]
            sections["listen"]["advertise"] = f"{HOST}:{front}"
        await self._start_daemon("balancer", plan.name, sections, ports)

    async def start_server(self, plan: ServerPlan) -> None:
        """Start one backend server with its agent."""
        await self.start_backend(plan)
        await self.start_agent(plan)

    async def start_backend(self, plan: ServerPlan) -> None:
        """Start one backend server."""
        port = free_port()
        await self._spawn(
            plan.name,
            {"http": port},
            "-m",
            "berylturn_standins.backend",
            "+".join((plan.service, *plan.other_services)),
            f"--port={port}",
            f"--slots={plan.slots}",
            f"--cold_limit={plan.cold_limit}",
            f"--speed={plan.speed}",
            f"--cold_seconds={plan.cold_seconds}",
            f"--connections={plan.connections}",
        )
        await self.wait_http(f"http://{HOST}:{port}/health")
        if plan.backend_proxied:
            await self.start_proxy(f"{plan.name}-backend-proxy", port)

    async def start_agent(self, plan: ServerPlan, port: int | None = None) -> None:
        """Start the agent of one backend server.

        With `port`, it waits for a predecessor to free that port.
        """
        ports = {"peers": port or free_port()}
        backend = self._front(f"{plan.name}-backend-proxy", plan.name, "http")
        options = {"takeover": "60s" if port else "0s", **self.plan.agent_options}
        around = self._surroundings()
        sections = describe_agent(plan, ports, backend, options, around)
        if plan.proxied:
            name = f"{plan.name}-agent-proxy"
            if name not in self.processes:
                await self.start_proxy(name, ports["peers"])
            front = self.processes[name].ports["listen"]
            sections["listen"]["advertise"] = f"{HOST}:{front}"
        await self._start_daemon("agent", f"{plan.name}-agent", sections, ports)

    async def start_proxy(self, name: str, target: int) -> None:
        """Start a fault proxy in front of a port."""
        ports = {"listen": free_port(), "admin": free_port()}
        await self._spawn(
            name,
            ports,
            "-m",
            "berylturn_standins.proxy",
            f"--listen={HOST}:{ports['listen']}",
            f"--target={HOST}:{target}",
            f"--admin={HOST}:{ports['admin']}",
            f"--seed={self.plan.seed}",
        )
        await self.wait_http(f"http://{HOST}:{ports['admin']}/_stats")

    async def post(self, name: str, path: str, content: dict | None = None) -> dict:
        """Call an administrative endpoint of a stand-in."""
        async with self.http.post(self._admin(name) + path, json=content) as response:
            return await response.json()

    async def get(self, name: str, path: str) -> dict:
        """Read an administrative endpoint of a stand-in."""
        async with self.http.get(self._admin(name) + path) as response:
            return await response.json()

    async def tool(self, *arguments: str) -> tuple[int, str]:
        """Run the command-line tool; return its exit status and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "berylturn.cli",
            *arguments,
            f"--platform={self.platform_url}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].process.send_signal(number)

    async def stop(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Stop one process gracefully; return its exit status."""
        return await stop_process(self.processes.pop(name), seconds)

    async def kill(self, name: str) -> None:
        """End one process at once."""
        running = self.processes.pop(name)
        if running.process.returncode is None:
            running.process.kill()
            await running.process.wait()

    async def apply_labels(self, *servers: ServerPlan) -> None:
        """Label backend servers with what their plans say."""
        calls = [
            self.tool(
                "label",
                "set",
                f"server/{s.name}",
                f"app={s.service}",
                f"slots={s.slots}",
                f"cold-limit={s.cold_limit}",
                f"cold-seconds={s.cold_seconds}",
                f"connections={s.connections}",
                f"speed={s.speed}",
            )
            for s in servers or self.plan.servers
        ]
        check_tool_results(await asyncio.gather(*calls))

    async def apply_selector(
        self, service: str, shares: dict[str, int] | None = None
    ) -> None:
        """Write the selector of a service and wait until it is in force."""
        parser = configparser.ConfigParser()
        parser["selector"] = {
            "service": service,
            "address": f"{HOST}:{self.service_ports[service]}",
            "match": f"app={service}",
        }
        if shares:
            parser["shares"] = {name: str(share) for name, share in shares.items()}
        path = self.folder / f"{service}.ini"
        with path.open("w") as file:
            parser.write(file)
        result = await self.tool("selector", "apply", str(path), "--wait")
        check_tool_results([result])

    async def wait_registered(self, count: int) -> None:
        """Wait until the directory lists that many balancers."""

        async def listed() -> bool:
            url = f"{self.platform_url}/objects?prefix=balancer/"
            async with self.http.get(url) as response:
                return len((await response.json())["objects"]) == count

        await self.wait_until(listed, f"{count} balancers in the directory")

    async def wait_servers(self, service: str, count: int) -> None:
        """Wait until every balancer places flows of a service on `count` servers."""
        controls = [
            running.ports["control"]
            for running in self.processes.values()
            if "callers" in running.ports
        ]

        async def ready() -> bool:
            for port in controls:
                if await self._takers(port, service) != count:
                    return False
            return True

        await self.wait_until(ready, f"{count} servers of {service}")

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        what: str,
        seconds: float = START_SECONDS,
    ) -> None:
        """Wait until a condition holds."""
        deadline = CLOCK.monotonic() + seconds
        while not await condition():
            if CLOCK.monotonic() > deadline:
                raise DeploymentError(f"not reached in {seconds} s: {what}")
            await asyncio.sleep(POLL_SECONDS)

    async def wait_http(self, url: str) -> None:
        """Wait until a stand-in answers."""

        async def answers() -> bool:
            try:
                async with self.http.get(url) as response:
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        await self.wait_until(answers, url)

    async def _start_all(self) -> None:
        await self._start_platform()
        await self._start_fabric()
        for plan in self.plan.balancers:
            await self.start_balancer(plan)
        await asyncio.gather(*(self.start_server(s) for s in self.plan.servers))

    async def _start_platform(self) -> None:
        port = free_port()
        await self._spawn(
            "platform",
            {"http": port},
            "-m",
            "berylturn_standins.platform",
            f"--port={port}",
        )
        await self.wait_http(f"http://{HOST}:{port}/_stats")

    async def _start_fabric(self) -> None:
        ports = {"control": free_port(), "admin": free_port()}
        services = "+".join(f"{HOST}:{p}" for p in self.service_ports.values())
        await self._spawn(
            "fabric",
            ports,
            "-m",
            "berylturn_standins.fabric",
            f"--services={services}",
            f"--control={HOST}:{ports['control']}",
            f"--admin={HOST}:{ports['admin']}",
            f"--loss={self.plan.loss}",
            f"--delay_ms={self.plan.delay_ms}",
            f"--seed={self.plan.seed}",
        )
        await self.wait_http(f"http://{HOST}:{ports['admin']}/_stats")

    async def _start_daemon(
        self, role: str, name: str, sections: Sections, ports: dict[str, int]
    ) -> None:
        if self.plan.statsd_port:
            sections["metrics"] = {"statsd": f"{HOST}:{self.plan.statsd_port}"}
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        path = self.folder / f"{name}.ini"
        with path.open("w") as file:
            parser.write(file)
        await self._spawn(
            name, ports, "-m", self.plan.daemon, role, f"--settings={path}"
        )
        self.processes[name].settings = path

    async def _spawn(self, name: str, ports: dict[str, int], *arguments: str) -> None:
        errors = (self.folder / f"{name}.err").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=errors,
            stderr=errors,
            env={**os.environ, **self.plan.environment},
        )
        errors.close()
        self.processes[name] = Running(process, ports)

    async def _takers(self, port: int, service: str) -> int:
        from berylturn.process.control import (
            ControlError,
            ExplainRequest,
            call_control,
        )

        request = ExplainRequest(service)
        try:
            reply = await call_control(f"{HOST}:{port}", "Explain", request)
        except ControlError:
            return -1
        return sum(server.share > 0 for server in reply.servers)

    def _surroundings(self) -> Surroundings:
        return Surroundings(self.platform_url, self._seeds(), self.folder)

    def _seeds(self) -> str:
        seeds = [
            f"{HOST}:{running.ports['peers']}"
            for running in self.processes.values()
            if "callers" in running.ports
        ]
        return ",".join(seeds[:3])

    def _front(self, proxy: str, name: str, port: str) -> int:
        if proxy in self.processes:
            return self.processes[proxy].ports["listen"]
        return self.processes[name].ports[port]

    def _admin(self, name: str) -> str:
        ports = self.processes[name].ports
        return f"http://{HOST}:{ports.get('admin', ports.get('http'))}"


async def stop_process(running: Running, seconds: float = STOP_SECONDS) -> int:
    """Stop one process gracefully; return its exit status."""
    running.process.terminate()
    async with asyncio.timeout(seconds):
        return await running.process.wait()


def check_tool_results(results: list[tuple[int, str]]) -> None:
    """Raise `DeploymentError` when a call of the tool failed."""
    for status, output in results:
        if status != 0:
            raise DeploymentError(f"the tool failed with {status}: {output}")
