"""Start balancers and agents for passthrough flows, and the stand-ins around them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp

from .faults import LinkFaults
from .objects import ObjectStandIn
from .opaque import OpaqueBackend, OpaqueCallers, Ports, Router
from .proxy import FaultProxy

REPOSITORY = Path(__file__).parent.parent.parent
PLATFORM_PORT = 18169
SERVICE_ADDRESS = ("198.18.0.1", 443)
# Flows a second that a backend server in cold start can take.
COLD_PER_SECOND = 4.0
# Period of heartbeats and of the routers' probes.
HEARTBEAT_SECONDS = 0.3
# Daemons flush their logs every 0.1 s.
LOG_FLUSH_SECONDS = 0.3
POLL_SECONDS = 0.02
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0


class OpaqueDeployment:
    """Run the daemons and stand-ins of one deployment, as a context manager.

    Parameters
    ----------
    balancers : dict of str to str
        Data centre by name.
    agents : dict of str to tuple of str and str
        Data centre and service by name.
    consistent_hashing : bool
        Whether the routers move only the flows of a lost balancer.
    network : int
        Number of the block of loopback addresses, 0 to 23. Deployments with different
        numbers can run at the same time.
    proxied : bool
        Whether fault proxies relay between daemons, and from daemons to the platform.
    fan_out : int
        How many daemons ask the same daemon for changes.
    settings : str
        Further lines of the settings of all daemons.
    """

    def __init__(
        self,
        balancers: dict[str, str],
        agents: dict[str, tuple[str, str]],
        consistent_hashing: bool = False,
        network: int = 0,
        proxied: bool = False,
        fan_out: int = 16,
        settings: str = "",
    ) -> None:
        self.settings = settings
        base_octet = 10 * network + 6
        self.ports = Ports()
        names = [*balancers, *agents]
        # Each daemon calls the platform at an address of its own.
        self.platform_hosts = {
            name: f"127.{base_octet + 3}.0.{n}" for n, name in enumerate(names, 1)
        }
        self.platform = ObjectStandIn(
            [(host, PLATFORM_PORT) for host in self.platform_hosts.values()]
        )
        self.hosts = {
            name: f"127.{base_octet + 2}.0.{n}" for n, name in enumerate(names, 1)
        }
        # The hosts that daemons advertise: their own, or that of the proxy before them.
        self.advertised_hosts = {
            name: f"127.{base_octet}.0.{n}" if proxied else self.hosts[name]
            for n, name in enumerate(names, 1)
        }
        self.peer_proxies: dict[str, FaultProxy] = {}
        self.platform_proxies: dict[str, FaultProxy] = {}
        self.fan_out = fan_out
        self.balancers = balancers
        self.agents = agents
        self.router = Router(
            [self.hosts[name] for name in balancers], self.ports, consistent_hashing
        )
        self.callers = OpaqueCallers(
            f"127.{base_octet + 1}.0.1", self.router, self.ports
        )
        self.backends = {
            name: OpaqueBackend(self.hosts[name], service, data_centre, self.ports, 1)
            for name, (data_centre, service) in agents.items()
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.http: aiohttp.ClientSession | None = None
        # The daemons' logs by name, once the deployment has ended.
        self.final_logs: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="berylturn-")
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> OpaqueDeployment:
        self.http = aiohttp.ClientSession()
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        for name in list(self.processes):
            await self.stop(name, signal.SIGKILL)
        for proxy in [*self.peer_proxies.values(), *self.platform_proxies.values()]:
            await proxy.stop()
        for backend in self.backends.values():
            backend.stop()
        self.callers.stop()
        await self.http.close()
        await self.platform.stop()
        self.final_logs = {name: self.read_log(name) for name in self.hosts}
        self._folder.cleanup()

    async def configure(self, version: int, **shares: float) -> None:
        """Write a configuration with one route, or none if no shares are given."""
        services = sorted({service for _, service in self.agents.values()})
        route = {
            "name": "r1",
            "host": SERVICE_ADDRESS[0],
            "path_prefix": f"/{SERVICE_ADDRESS[1]}/",
            "type": "idempotent",
            "timeout_ms": 2000,
            "aim_ms": 200,
            "priority": 1,
            "weighted_services": [
                {"service": name, "weight": weight} for name, weight in shares.items()
            ],
        }
        limits = {
            "max_connections": 2000,
            "cold_start_s": 2.0,
            "cold_per_s": COLD_PER_SECOND,
        }
        spec = {
            "version": version,
            "routes": [route] if shares else [],
            "services": [{"name": name, **limits} for name in services],
            "limits": {"idle_timeout_ms": 15000},
        }
        await self.platform.put("config", "main", spec)

    async def start(self, name: str) -> None:
        """Start one daemon."""
        role = "balancer" if name in self.balancers else "agent"
        path = self.settings_path(name)
        path.write_text(self._format_settings(name, role))
        log = open(Path(self._folder.name) / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(REPOSITORY / "deploy" / "start.py"),
                role,
                env={**os.environ, "BERYLTURN_SETTINGS": str(path)},
                stdout=log,
                stderr=log,
            )

    async def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a daemon a signal to end it, and return its exit status."""
        process = self.processes.pop(name)
        if process.returncode is None:
            process.send_signal(signal_number)
        return await asyncio.wait_for(process.wait(), STOP_TIMEOUT_SECONDS)

    def settings_path(self, name: str) -> Path:
        """Return the path of a daemon's settings file."""
        return Path(self._folder.name) / f"{name}.ini"

    def read_log(self, name: str) -> str:
        """Return what a daemon has logged so far."""
        path = Path(self._folder.name) / f"{name}.log"
        return path.read_text() if path.exists() else ""

    def format_failure_lines(self) -> str:
        """Return the latest log lines about failures of all daemons, newest last."""
        failure_words = ("refused", "not_found", "lost", "waits", "failed", "dropped")
        time.sleep(LOG_FLUSH_SECONDS)
        lines = [
            line
            for name in self.processes
            for line in self.read_log(name).splitlines()
            if any(word in line for word in failure_words)
        ]
        return "\n".join(sorted(lines)[-40:])

    async def wait_until(
        self, condition: Callable[[], bool], seconds: float = START_TIMEOUT_SECONDS
    ) -> None:
        """Wait for a condition, or raise `TimeoutError` with the ends of the logs."""
        try:
            async with asyncio.timeout(seconds):
                while not condition():
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            log_ends = [
                f"{n}: {self.read_log(n)[-800:]}" for n in sorted(self.processes)
            ]
            raise TimeoutError("\n".join(log_ends)) from None

    async def read_metrics(self, name: str) -> str:
        """Return the metrics page of a daemon, or nothing if it does not listen yet."""
        url = f"http://{self.hosts[name]}:{self.ports.metrics}/metrics"
        try:
            async with self.http.get(url) as response:
                return await response.text()
        except aiohttp.ClientConnectionError:
            return ""

    async def inspect(self, name: str) -> dict:
        """Return the JSON that ``berylturn inspect`` prints for a daemon."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "berylturn.cli",
            "inspect",
            f"{self.hosts[name]}:{self.ports.peers}",
            "--json",
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await asyncio.wait_for(process.communicate(), START_TIMEOUT_SECONDS)
        return json.loads(output)

    async def wait_for_entry_count(self, name: str, count: int) -> None:
        """Wait until a daemon's copy of the agent directory has `count` entries."""
        expected = f"berylturn_objects_agents {count}\n"
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while expected not in await self.read_metrics(name):
                await asyncio.sleep(POLL_SECONDS)

    async def _start_all(self) -> None:
        await self.platform.start()
        await self.configure(1, desk=1.0)
        await self.callers.start()
        for backend in self.backends.values():
            await backend.start()
        if self.advertised_hosts != self.hosts:
            await self._start_proxies()
        for name in [*self.balancers, *self.agents]:
            await self.start(name)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._probe_balancers()),
        ]
        await self.wait_until(lambda: len(self.router.ready) == len(self.balancers))
        await self.wait_until(
            lambda: self.platform.names("berylturn-agents") == set(self.agents)
        )
        for name in [*self.balancers, *self.agents]:
            await self.wait_for_entry_count(name, len(self.agents))

    async def _start_proxies(self) -> None:
        advertised = {
            host: self.advertised_hosts[name] for name, host in self.hosts.items()
        }
        for seed, (name, advertised_host) in enumerate(self.advertised_hosts.items()):
            peer_address = (self.hosts[name], self.ports.peers)
            self.peer_proxies[name] = FaultProxy(
                peer_address, LinkFaults(), seed, advertised.__getitem__
            )
            await self.peer_proxies[name].start((advertised_host, self.ports.peers))
            self.platform_proxies[name] = FaultProxy(
                (self.platform_hosts[name], PLATFORM_PORT), LinkFaults(), seed
            )
            await self.platform_proxies[name].start((advertised_host, PLATFORM_PORT))

    async def _send_heartbeats(self) -> None:
        while True:
            heartbeats = [
                backend.send_heartbeat(self.http) for backend in self.backends.values()
            ]
            await asyncio.gather(*heartbeats)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _probe_balancers(self) -> None:
        while True:
            await self.router.probe(self.http)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _format_settings(self, name: str, role: str) -> str:
        host, ports = self.hosts[name], self.ports
        advertised_host = self.advertised_hosts[name]
        proxied = advertised_host != host
        platform_host = advertised_host if proxied else self.platform_hosts[name]
        data_centre = (
            self.balancers[name] if role == "balancer" else self.agents[name][0]
        )
        seeds = ",".join(
            f"{self.advertised_hosts[seed]}:{ports.heartbeats}"
            for seed in self.balancers
        )
        lines = [
            "[node]",
            f"name = {name}",
            f"data_centre = {data_centre}",
            "[passthrough]",
            f"host = {advertised_host}",
            f"bind = {host}",
            f"packets = {host}:{ports.packets}",
            f"ready = {host}:{ports.ready}",
            f"heartbeats = {host}:{ports.heartbeats}",
            f"peer_port = {ports.peers}",
            f"seeds = {seeds}",
            f"fan_out = {self.fan_out}",
            "grace = 6s",
            "[platform]",
            f"url = http://{platform_host}:{PLATFORM_PORT}",
            "[metrics]",
            f"listen = {host}:{ports.metrics}",
        ]
        if role == "agent":
            lines += [
                "[opaque_backend]",
                f"address = {host}:{ports.backend}",
                f"outbound = {host}:{ports.outbound}",
                f"heartbeat = {int(HEARTBEAT_SECONDS * 1000)}ms",
                "cold_factor = 1.5",
                "cold_slack = 5",
                f"service = {self.agents[name][1]}",
            ]
        return "\n".join(lines) + "\n" + self.settings
