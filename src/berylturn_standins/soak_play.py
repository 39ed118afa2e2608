"""Cause the faults of one seed around real daemons, and check the guarantees.

The callers and the backend servers are the oracle. Daemons are checked only to keep
running, to stop in time after SIGTERM and to log no failed task, and agents to have
their entries in the platform at the end.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter
from pathlib import Path

from berylturn.clock import SystemClock

from .odd_entries import ODD_PREFIX, read_odd_entries
from .opaque import CallerFlow, OpaqueBackend, Opening
from .opaque_deployment import COLD_PER_SECOND, SERVICE_ADDRESS, OpaqueDeployment
from .soak_plan import UNPLANNED, Fault, ScheduledFault, plan_faults

BALANCERS = {"front-a": "dc-a", "front-b": "dc-b", "front-c": "dc-b"}
AGENTS = {
    "side-a1": ("dc-a", "desk"),
    "side-a2": ("dc-a", "desk"),
    "side-b1": ("dc-b", "desk"),
    "side-b2": ("dc-b", "room"),
}
# With a third data centre, which reaches the two others while these are cut off.
FURTHER_AGENTS = {**AGENTS, "side-c1": ("dc-c", "desk")}
FURTHER_SETTINGS = """
[outliers]
mode = eject
[placement]
policy = mixed
[fairness]
callers = address
[second_offers]
share = 0.05
[detours]
mode = on
"""
CALLERS = 24
REQUESTS_PER_FLOW = 12
PAUSE_SECONDS = 0.05
# Limits that the users' platform sets for such a deployment.
STABLE_SECONDS = 4.0
CONFIGURATION_SECONDS = 3.0
EVACUATION_SECONDS = 5.0
DRAIN_SECONDS = 3.0
RECOVERY_SECONDS = 12.0
ENTRIES_BACK_SECONDS = 2.0
COLD_FACTOR, COLD_SLACK = 1.5, 5
COLD_SECONDS = 2.0
# The users' rule on recovery asks for a quarter of what was served before.
RECOVERED_SHARE = 0.25
SETTLE_SECONDS = 0.5
# A daemon ends within its grace of 6 s after SIGTERM; with a margin of 0.5 s.
STOP_LIMIT_SECONDS = 6.5
RESTART_SECONDS = 0.3
CLOCK_BACK_MS = 5_000
PLATFORM_MODES = {
    Fault.PLATFORM_BUSY: "busy",
    Fault.PLATFORM_MANY: "many",
    Fault.PLATFORM_RESET: "reset",
    Fault.PLATFORM_SILENT: "silent",
}
PEER_LOSS, PEER_DELAY_SECONDS, PLATFORM_DELAY_SECONDS = 0.3, 0.2, 0.4
CLOCK = SystemClock()


class Soak:
    """Cause the faults of one seed in one deployment and collect the violations.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    seconds : float
        Duration of the load.
    network : int
        Number of the block of loopback addresses to use.
    fan_out : int
        How many daemons ask the same daemon for changes.
    further : bool
        Whether to switch on all parts that settings can, and to cause the faults that
        they answer.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        network: int = 0,
        fan_out: int = 16,
        further: bool = False,
    ) -> None:
        self.schedule = plan_faults(seed, seconds, further)
        self.agents = FURTHER_AGENTS if further else AGENTS
        self.seconds = seconds
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.deployment = OpaqueDeployment(
            BALANCERS,
            self.agents,
            bool(seed % 2),
            network,
            proxied=True,
            fan_out=fan_out,
            settings=FURTHER_SETTINGS if further else "",
        )
        self._started = 0.0
        self._disturbed_until = 0.0
        self._version = 1
        # Times of the configurations, and the shares of the services in each.
        self._configurations: list[tuple[float, dict[str, float]]] = [
            (0.0, {"desk": 1.0})
        ]
        # When a data centre was evacuated, and when a server's heartbeat announced
        # that it drains.
        self._evacuated_at: dict[str, float] = {}
        self._draining_since: dict[str, float] = {}
        # Start and end of the last cold start of a server.
        self._cold_periods: dict[str, tuple[float, float]] = {}
        # Time of the first opening packet of a flow, by the caller's address and port.
        self._sent_at: dict[tuple[str, int], float] = {}
        # Daemons and servers that a fault affects already; further ones skip them.
        self._signalled: set[str] = set()
        self._restarting: set[str] = set()
        self._start_counts = Counter(dict.fromkeys(self.deployment.hosts, 1))
        self._request_numbers = itertools.count(1)

    @property
    def now(self) -> float:
        """Return the seconds since the load began."""
        return CLOCK.monotonic() - self._started

    async def run(self) -> list[str]:
        """Return the violations; the list is empty if all guarantees held."""
        async with self.deployment:
            self._started = CLOCK.monotonic()
            load = [asyncio.create_task(self._run_caller()) for _ in range(CALLERS)]
            faults = [
                asyncio.create_task(self._cause_when_due(scheduled))
                for scheduled in self.schedule
            ]
            await asyncio.gather(*faults)
            await asyncio.sleep(max(0.0, self.seconds - self.now))
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            await self._check_recovery()
            self._check_servers()
            self._check_logs()
        return self.violations

    def write_logs(self, folder: Path) -> None:
        """Write the faults, the violations and the daemons' logs into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        lines = [str(scheduled) for scheduled in self.schedule] + self.violations
        (folder / "soak.txt").write_text("\n".join(lines) + "\n")
        for name, text in self.deployment.final_logs.items():
            (folder / f"{name}.log").write_text(text)

    # Load.

    async def _run_caller(self) -> None:
        while True:
            flow = await self._open()
            for _ in range(REQUESTS_PER_FLOW):
                if flow is None or not await self._send_request(flow):
                    break
                await asyncio.sleep(PAUSE_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _open(self) -> CallerFlow | None:
        flow = self.deployment.callers.make_flow(SERVICE_ADDRESS)
        self._sent_at[flow.source] = CLOCK.monotonic()
        opened = await flow.open()
        self.counts["opened" if opened else "not_opened"] += 1
        return flow if opened else None

    async def _send_request(self, flow: CallerFlow) -> bool:
        content = f"request {next(self._request_numbers)}".encode()
        answered = await flow.send_request(content)
        self.counts["answered" if answered else "unanswered"] += 1
        if flow.got_wrong_reply:
            self._record_violation(f"flow {flow.source}: reply to another request")
        server = self._find_server(flow)
        if flow.reset and server is not None and self._configurations[-1][1]:
            self._record_violation(
                f"flow {flow.source}: reset although {server} still has it"
            )
        return answered

    def _find_server(self, flow: CallerFlow) -> str | None:
        servers = self.deployment.backends.items()
        return next(
            (n for n, s in servers if s.has_flow(flow.source, flow.target)), None
        )

    # Faults.

    async def _cause_when_due(self, scheduled: ScheduledFault) -> None:
        await asyncio.sleep(scheduled.starts_at)
        self.counts[scheduled.fault] += 1
        end = self.now + scheduled.seconds
        if scheduled.fault in UNPLANNED:
            self._disturbed_until = max(self._disturbed_until, end)
        await self._cause(scheduled)
        if scheduled.fault in UNPLANNED:
            self._disturbed_until = max(self._disturbed_until, self.now)

    async def _cause(self, scheduled: ScheduledFault) -> None:
        fault = scheduled.fault
        if fault in (Fault.TERM, Fault.KILL, Fault.PAUSE, Fault.HANGUP):
            await self._signal_daemon(
                _pick(list(self.deployment.hosts), scheduled.pick), scheduled
            )
        elif fault is Fault.HERD_KILL:
            names = list(self.deployment.hosts)[:: 1 if scheduled.share < 0.5 else 2]
            await asyncio.gather(
                *(self._signal_daemon(name, scheduled) for name in names)
            )
        elif fault is Fault.POWER_LOSS:
            daemons = [self._signal_daemon(n, scheduled) for n in self.deployment.hosts]
            servers = [
                self._restart_server(name, Fault.SERVER_RESTART) for name in self.agents
            ]
            await asyncio.gather(*daemons, *servers)
        elif fault is Fault.SERVER_FAILS:
            server = self.deployment.backends[_pick(list(self.agents), scheduled.pick)]
            server.fails = True
            await asyncio.sleep(scheduled.seconds)
            server.fails = False
        elif fault is Fault.CENTRES_CUT:
            await self._cut_data_centres("dc-a", "dc-b", scheduled.seconds)
        elif fault in PLATFORM_MODES:
            await self._fail_platform_calls(PLATFORM_MODES[fault], scheduled)
        elif fault in (Fault.SERVER_RESTART, Fault.SERVER_CLOCK_BACK):
            await self._restart_server(_pick(list(self.agents), scheduled.pick), fault)
        elif fault is Fault.SERVER_DRAIN:
            await self._drain_server(
                _pick(list(self.agents), scheduled.pick), scheduled
            )
        elif fault is Fault.CONFIGURE:
            await self._configure(scheduled)
        elif fault is Fault.ODD_ENTRIES:
            for entry, spec in read_odd_entries().items():
                await self.deployment.platform.put("berylturn-agents", entry, spec)
        elif fault is Fault.EVACUATE:
            await self._evacuate(_pick(["dc-a", "dc-b"], scheduled.pick), scheduled)
        else:
            await self._disturb_links(scheduled)

    async def _signal_daemon(self, name: str, scheduled: ScheduledFault) -> None:
        if name in self._signalled:
            return
        self._signalled.add(name)
        deployment = self.deployment
        if scheduled.fault is Fault.HANGUP:
            # A program cannot handle a signal before its first instruction.
            if self._has_started(name):
                deployment.processes[name].send_signal(signal.SIGHUP)
        elif scheduled.fault is Fault.PAUSE:
            process = deployment.processes[name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(scheduled.seconds)
            process.send_signal(signal.SIGCONT)
        else:
            term = scheduled.fault is Fault.TERM
            number = signal.SIGTERM if term else signal.SIGKILL
            sent_at = self.now
            # A daemon that has not opened its sockets yet has nothing to finish, and
            # may end by the signal itself.
            graceful = term and self._has_started(name)
            status = await deployment.stop(name, number)
            if status != (0 if graceful else -number) and not (term and status == 0):
                self._record_violation(
                    f"{name}: ended with {status} after {number.name}"
                )
            if self.now - sent_at > STOP_LIMIT_SECONDS:
                self._record_violation(
                    f"{name}: took {self.now - sent_at:.1f} s to stop"
                )
            self._disturbed_until = max(self._disturbed_until, self.now)
            await asyncio.sleep(RESTART_SECONDS)
            await deployment.start(name)
            self._start_counts[name] += 1
        self._signalled.discard(name)

    def _has_started(self, name: str) -> bool:
        logged = self.deployment.read_log(name).count('"event":"started"')
        return logged == self._start_counts[name]

    async def _fail_platform_calls(self, mode: str, scheduled: ScheduledFault) -> None:
        faults = self.deployment.platform.faults
        if faults.mode:
            return
        faults.mode = mode
        await asyncio.sleep(scheduled.seconds)
        faults.mode = ""

    async def _disturb_links(self, scheduled: ScheduledFault) -> None:
        name = _pick(list(self.deployment.hosts), scheduled.pick)
        platform_proxy = self.deployment.platform_proxies[name]
        peer_proxy = self.deployment.peer_proxies[name]
        if scheduled.fault is Fault.CONNECTIONS_SILENT:
            platform_proxy.silence_connections()
            peer_proxy.silence_connections()
        elif scheduled.fault is Fault.CONNECTIONS_RESET:
            platform_proxy.reset_connections()
            peer_proxy.reset_connections()
        elif scheduled.fault is Fault.LOST_ANSWERS:
            self.deployment.platform.faults.lost_answers += 2
        elif scheduled.fault is Fault.HISTORY_GONE:
            await self.deployment.platform.forget_history()
        elif scheduled.fault is Fault.ENTRY_LAPSES:
            entry = _pick(list(self.agents), scheduled.pick)
            if entry in self.deployment.platform.names("berylturn-agents"):
                await self.deployment.platform.remove("berylturn-agents", entry)
        elif scheduled.fault in (Fault.PLATFORM_CUT, Fault.PEERS_CUT):
            proxy = (
                platform_proxy if scheduled.fault is Fault.PLATFORM_CUT else peer_proxy
            )
            proxy.set_cut(True)
            await asyncio.sleep(scheduled.seconds)
            proxy.set_cut(False)
        elif scheduled.fault is Fault.PEERS_ONE_WAY:
            hosts = list(self.deployment.hosts.values())
            peer_proxy.block_hosts(set(hosts[: 1 + int(scheduled.share * len(hosts))]))
            await asyncio.sleep(scheduled.seconds)
            peer_proxy.block_hosts(set())
        elif scheduled.fault is Fault.PLATFORM_SLOW:
            platform_proxy.faults.delay = PLATFORM_DELAY_SECONDS
            await asyncio.sleep(scheduled.seconds)
            platform_proxy.faults.delay = 0.0
        else:
            lossy = scheduled.fault is Fault.PEERS_LOSSY
            peer_proxy.faults.drop = PEER_LOSS if lossy else 0.0
            peer_proxy.faults.delay = 0.0 if lossy else PEER_DELAY_SECONDS
            await asyncio.sleep(scheduled.seconds)
            peer_proxy.faults.drop = peer_proxy.faults.delay = 0.0

    async def _cut_data_centres(self, one: str, other: str, seconds: float) -> None:
        """Let no frame pass between two data centres."""
        deployment = self.deployment
        places = {n: centre for n, (centre, _) in self.agents.items()} | BALANCERS
        hosts = {
            centre: {deployment.hosts[n] for n, c in places.items() if c == centre}
            for centre in (one, other)
        }
        for name, centre in places.items():
            blocked = {one: hosts[other], other: hosts[one]}.get(centre, set())
            deployment.peer_proxies[name].block_hosts(blocked)
        await asyncio.sleep(seconds)
        for proxy in deployment.peer_proxies.values():
            proxy.block_hosts(set())

    async def _restart_server(self, name: str, fault: Fault) -> None:
        server = self.deployment.backends[name]
        if server.state == "draining" or name in self._restarting:
            return
        self._restarting.add(name)
        server.stop()
        await asyncio.sleep(RESTART_SECONDS)
        await server.start()
        self._restarting.discard(name)
        clock = -CLOCK_BACK_MS if fault is Fault.SERVER_CLOCK_BACK else 1
        server.restart(clock, int(COLD_SECONDS * 1000))
        now = CLOCK.monotonic()
        self._cold_periods[name] = (now, now + COLD_SECONDS)

    async def _drain_server(self, name: str, scheduled: ScheduledFault) -> None:
        server = self.deployment.backends[name]
        if server.state == "draining" or name in self._restarting:
            return
        server.state = "draining"
        if await server.send_heartbeat(self.deployment.http):
            self._draining_since[name] = CLOCK.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + scheduled.seconds)
        self._check_drained(name, server)
        server.state = "ready"
        server.restart(1)

    def _check_drained(self, name: str, server: OpaqueBackend) -> None:
        since = self._draining_since.pop(name, None)
        if since is None:
            return
        late = [o for o in server.opened if o.time > since + DRAIN_SECONDS]
        if late:
            self._record_violation(
                f"{name}: {len(late)} flows opened after it began to drain"
            )

    async def _configure(self, scheduled: ScheduledFault) -> None:
        choices = [{"desk": 1.0}, {"room": 1.0}, {"desk": 3.0, "room": 1.0}]
        shares = _pick(choices, scheduled.share)
        self._version += 1
        self._configurations.append((CLOCK.monotonic(), shares))
        await self.deployment.configure(self._version, **shares)

    async def _evacuate(self, data_centre: str, scheduled: ScheduledFault) -> None:
        if self._evacuated_at:
            return
        await self.deployment.platform.put("evacuations", data_centre, {})
        self._evacuated_at[data_centre] = CLOCK.monotonic()
        await asyncio.sleep(EVACUATION_SECONDS + scheduled.seconds)
        stable_from = self._started + self._disturbed_until + STABLE_SECONDS
        since = max(
            self._evacuated_at.pop(data_centre) + EVACUATION_SECONDS, stable_from
        )
        for name, (agent_data_centre, _) in self.agents.items():
            opened = self.deployment.backends[name].opened
            if agent_data_centre == data_centre and any(o.time > since for o in opened):
                self._record_violation(
                    f"{name}: flow opened although {data_centre} is evacuated"
                )
        await self.deployment.platform.remove("evacuations", data_centre)

    # Guarantees.

    def _record_violation(self, text: str) -> None:
        self.violations.append(f"{self.now:.2f} s: {text}")

    async def _check_recovery(self) -> None:
        entries_due = CLOCK.monotonic() + ENTRIES_BACK_SECONDS + STABLE_SECONDS
        await asyncio.sleep(SETTLE_SECONDS)
        deadline = CLOCK.monotonic() + RECOVERY_SECONDS
        flows: list[CallerFlow | None] = []
        while CLOCK.monotonic() < deadline:
            flows = await asyncio.gather(*(self._open() for _ in range(CALLERS)))
            if all(flows):
                break
        served = [
            flow
            for flow in flows
            if flow is not None and await self._send_request(flow)
        ]
        if len(served) < RECOVERED_SHARE * CALLERS:
            self._record_violation(
                f"recovery: {len(served)} of {CALLERS} callers served"
            )
        await asyncio.sleep(max(0.0, entries_due - CLOCK.monotonic()))
        entries = self.deployment.platform.names("berylturn-agents")
        if {name for name in entries if not name.startswith(ODD_PREFIX)} != set(
            self.agents
        ):
            self._record_violation(f"agent entries in the platform: {sorted(entries)}")

    def _check_servers(self) -> None:
        run_counts: Counter[bytes] = Counter()
        for name, server in self.deployment.backends.items():
            run_counts += server.run_counts
            if server.forged:
                self._record_violation(f"{name}: {server.forged} forged packets")
            for opening in server.opened:
                self._check_opening(name, opening)
            self._check_cold_start(name, server)
        for content, count in run_counts.items():
            if count > 1:
                self._record_violation(f"{content.decode()} ran {count} times")

    def _check_opening(self, name: str, opening: Opening) -> None:
        service = self.agents[name][1]
        sent_at = self._sent_at.get(opening.caller)
        if sent_at is None:
            self._record_violation(f"{name}: flow opened that no caller asked for")
            return
        allowed = any(service in shares for _, shares in self._configurations)
        written_at, shares = [
            configuration
            for configuration in self._configurations
            if configuration[0] <= sent_at
        ][-1]
        stable = sent_at > self._started + self._disturbed_until + STABLE_SECONDS
        in_force = sent_at > written_at + CONFIGURATION_SECONDS and stable
        if not allowed or (in_force and service not in shares):
            self._record_violation(
                f"{name}: flow opened for another service, {shares} in force"
            )

    def _check_cold_start(self, name: str, server: OpaqueBackend) -> None:
        if name not in self._cold_periods:
            return
        start, end = self._cold_periods[name]
        times = [o.time for o in server.opened if start <= o.time < end]
        limit = COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK
        for time in times:
            count = sum(time <= other < time + 1.0 for other in times)
            if count > limit:
                self._record_violation(
                    f"{name}: {count} flows opened in a second of cold start"
                )
                return

    def _check_logs(self) -> None:
        for name, process in self.deployment.processes.items():
            if process.returncode is not None:
                self._record_violation(
                    f"{name}: ended by itself with {process.returncode}"
                )
            if "task_failed" in self.deployment.read_log(name):
                self._record_violation(f"{name}: a task failed")


def _pick(items: list, position: float):
    """Return the item at a relative position, from 0 to below 1."""
    return items[int(position * len(items))]
