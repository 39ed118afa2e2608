"""Start and stop a deployment of real processes for demos and tests."""

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
from .sections import Sections, SharedSettings, describe_agent, describe_balancer

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_SECONDS = 0.05
CLOCK = SystemClock()


class DeploymentError(Exception):
    """A process did not start, or an awaited state was not reached."""


@dataclass
class RunningProcess:
    """One process with the ports that it serves."""

    process: asyncio.subprocess.Process
    ports: dict[str, int]
    settings: Path | None = None


class Deployment:
    """Run the processes of one deployment, as a context manager.

    Parameters
    ----------
    plan : Plan
        Deployment to start.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.processes: dict[str, RunningProcess] = {}
        self.service_ports = {name: free_port() for name in plan.services}
        self._folder = tempfile.TemporaryDirectory(prefix="berylturn-")
        self.folder = Path(self._folder.name)
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Deployment:
        """Start the platform, the fabric, the balancers and the servers."""
        self.http = aiohttp.ClientSession()
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Kill all processes and remove the folder with their files."""
        names = list(self.processes)
        await asyncio.gather(*(self.kill(name) for name in names))
        await self.http.close()
        self._folder.cleanup()

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform stand-in."""
        return f"http://{HOST}:{self.processes['platform'].ports['http']}"

    def service_address(self, service: str) -> tuple[str, int]:
        """Return the address to which callers of a service send."""
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
        fabric_port = self.processes["fabric"].ports["control"]
        sections = describe_balancer(plan, ports, fabric_port, self._shared_settings())
        if plan.proxied:
            name = f"{plan.name}-proxy"
            await self.start_proxy(name, ports["peers"])
            proxy_port = self.processes[name].ports["listen"]
            sections["listen"]["advertise"] = f"{HOST}:{proxy_port}"
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

        With `port`, it waits until a predecessor, if any, has freed that port.
        """
        ports = {"peers": port or free_port()}
        backend_port = self._reachable_port(
            f"{plan.name}-backend-proxy", plan.name, "http"
        )
        options = {"takeover": "60s" if port else "0s", **self.plan.agent_options}
        shared = self._shared_settings()
        sections = describe_agent(plan, ports, backend_port, options, shared)
        if plan.proxied:
            name = f"{plan.name}-agent-proxy"
            if name not in self.processes:
                await self.start_proxy(name, ports["peers"])
            proxy_port = self.processes[name].ports["listen"]
            sections["listen"]["advertise"] = f"{HOST}:{proxy_port}"
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
        """Send JSON to the admin page of a stand-in and return the response."""
        async with self.http.post(
            self._admin_url(name) + path, json=content
        ) as response:
            return await response.json()

    async def get(self, name: str, path: str) -> dict:
        """Read an admin page of a stand-in."""
        async with self.http.get(self._admin_url(name) + path) as response:
            return await response.json()

    async def run_tool(self, *arguments: str) -> tuple[int, str]:
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

    async def stop(self, name: str, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """End one process with SIGTERM and return its exit status."""
        return await stop_process(self.processes.pop(name), seconds)

    async def kill(self, name: str) -> None:
        """Kill one process."""
        running = self.processes.pop(name)
        if running.process.returncode is None:
            running.process.kill()
            await running.process.wait()

    async def apply_labels(self, *servers: ServerPlan) -> None:
        """Set the labels of backend servers as planned, of all servers by default."""
        calls = [
            self.run_tool(
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
        """Apply the selector of a service and wait until it is in force."""
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
        result = await self.run_tool("selector", "apply", str(path), "--wait")
        check_tool_results([result])

    async def wait_registered(self, count: int) -> None:
        """Wait until the directory lists `count` balancers."""

        async def is_registered() -> bool:
            url = f"{self.platform_url}/objects?prefix=balancer/"
            async with self.http.get(url) as response:
                return len((await response.json())["objects"]) == count

        await self.wait_until(is_registered, f"{count} balancers in the directory")

    async def wait_servers(self, service: str, count: int) -> None:
        """Wait until every balancer places flows of a service on `count` servers."""
        control_ports = [
            running.ports["control"]
            for running in self.processes.values()
            if "callers" in running.ports
        ]

        async def ready() -> bool:
            for port in control_ports:
                if await self._count_usable_servers(port, service) != count:
                    return False
            return True

        await self.wait_until(ready, f"{count} servers of {service}")

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        description: str,
        seconds: float = START_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until a condition holds, or raise `DeploymentError`."""
        deadline = CLOCK.monotonic() + seconds
        while not await condition():
            if CLOCK.monotonic() > deadline:
                raise DeploymentError(f"not reached within {seconds} s: {description}")
            await asyncio.sleep(POLL_SECONDS)

    async def wait_http(self, url: str) -> None:
        """Wait until a stand-in answers a GET request with status 200."""

        async def is_up() -> bool:
            try:
                async with self.http.get(url) as response:
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        await self.wait_until(is_up, url)

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
        output_file = (self.folder / f"{name}.err").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=output_file,
            stderr=output_file,
            env={**os.environ, **self.plan.environment},
        )
        output_file.close()
        self.processes[name] = RunningProcess(process, ports)

    async def _count_usable_servers(self, port: int, service: str) -> int:
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

    def _shared_settings(self) -> SharedSettings:
        return SharedSettings(self.platform_url, self._seeds(), self.folder)

    def _seeds(self) -> str:
        seeds = [
            f"{HOST}:{running.ports['peers']}"
            for running in self.processes.values()
            if "callers" in running.ports
        ]
        return ",".join(seeds[:3])

    def _reachable_port(self, proxy: str, name: str, port: str) -> int:
        if proxy in self.processes:
            return self.processes[proxy].ports["listen"]
        return self.processes[name].ports[port]

    def _admin_url(self, name: str) -> str:
        ports = self.processes[name].ports
        return f"http://{HOST}:{ports.get('admin', ports.get('http'))}"


async def stop_process(
    running: RunningProcess, seconds: float = STOP_TIMEOUT_SECONDS
) -> int:
    """End a process with SIGTERM and return its exit status."""
    running.process.terminate()
    async with asyncio.timeout(seconds):
        return await running.process.wait()


def check_tool_results(results: list[tuple[int, str]]) -> None:
    """Raise `DeploymentError` if a run of the command-line tool failed."""
    for status, output in results:
        if status != 0:
            raise DeploymentError(
                f"the berylturn command exited with {status}: {output}"
            )
