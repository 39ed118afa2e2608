"""Play the faults of one seed on real daemons, and check what is promised.

The callers and the backend servers are the oracle; nothing is asked of the daemons but
that they go on running.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter
from pathlib import Path

from berylturn.clock import SystemClock

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
CALLERS = 24
REQUESTS_ON_A_FLOW = 12
PAUSE_SECONDS = 0.05
# Bounds of the users' platform on the deployments of the milestone.
STABLE_SECONDS = 4.0
CONFIGURATION_SECONDS = 3.0
EVACUATION_SECONDS = 5.0
DRAIN_SECONDS = 3.0
RECOVERY_SECONDS = 12.0
ENTRIES_BACK_SECONDS = 2.0
COLD_FACTOR, COLD_SLACK = 1.5, 5
COLD_SECONDS = 2.0
# A quarter of what was served before, as the rule on recovery says.
RECOVERED_SHARE = 0.25
SETTLE_SECONDS = 0.5
# A daemon that was sent SIGTERM ends within its grace of 6 s.
GRACE_SECONDS = 6.5
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
    """Play the faults of one seed on one deployment and gather what is broken.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    seconds : float
        Length of the load.
    network : int
        Number of the loopback network to use.
    fan_out : int
        How many daemons ask one for changes.
    """

    def __init__(
        self, seed: int, seconds: float, network: int = 0, fan_out: int = 16
    ) -> None:
        self.acts = plan_faults(seed, seconds)
        self.seconds = seconds
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self.deployment = OpaqueDeployment(
            BALANCERS, AGENTS, bool(seed % 2), network, proxied=True, fan_out=fan_out
        )
        self._started = 0.0
        self._disturbed_until = 0.0
        self._version = 1
        self._shares: list[tuple[float, dict[str, float]]] = [(0.0, {"desk": 1.0})]
        self._out: dict[str, float] = {}
        self._draining: dict[str, float] = {}
        self._cold: dict[str, tuple[float, float]] = {}
        self._sent: dict[tuple[str, int], float] = {}
        self._busy: set[str] = set()
        self._restarting: set[str] = set()
        self._starts = Counter(dict.fromkeys(self.deployment.hosts, 1))
        self._numbers = itertools.count(1)

    @property
    def now(self) -> float:
        """Return the seconds since the load began."""
        return CLOCK.monotonic() - self._started

    async def run(self) -> list[str]:
        """Return what was broken, nothing if all promises held."""
        async with self.deployment:
            self._started = CLOCK.monotonic()
            load = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
            acts = [asyncio.create_task(self._play(act)) for act in self.acts]
            await asyncio.gather(*acts)
            await asyncio.sleep(max(0.0, self.seconds - self.now))
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            await self._check_recovery()
            self._check_servers()
            self._check_logs()
        return self.broken

    def keep_logs(self, folder: Path) -> None:
        """Write the acts and what the daemons logged into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        lines = [str(act) for act in self.acts] + self.broken
        (folder / "soak.txt").write_text("\n".join(lines) + "\n")
        for name, text in self.deployment.kept_logs.items():
            (folder / f"{name}.log").write_text(text)

    # Load.

    async def _call(self) -> None:
        while True:
            flow = await self._open()
            for _ in range(REQUESTS_ON_A_FLOW):
                if flow is None or not await self._ask(flow):
                    break
                await asyncio.sleep(PAUSE_SECONDS)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _open(self) -> CallerFlow | None:
        flow = self.deployment.callers.make_flow(SERVICE_ADDRESS)
        self._sent[flow.source] = CLOCK.monotonic()
        opened = await flow.open()
        self.counts["opened" if opened else "not_opened"] += 1
        return flow if opened else None

    async def _ask(self, flow: CallerFlow) -> bool:
        content = f"request {next(self._numbers)}".encode()
        answered = await flow.send_request(content)
        self.counts["answered" if answered else "unanswered"] += 1
        if flow.crossed:
            self._break(f"flow {flow.source}: answer of another request")
        holder = self._holder_of(flow)
        if flow.reset and holder is not None and self._shares[-1][1]:
            self._break(f"flow {flow.source}: reset though {holder} holds it")
        return answered

    def _holder_of(self, flow: CallerFlow) -> str | None:
        servers = self.deployment.backends.items()
        return next((n for n, s in servers if s.holds(flow.source, flow.target)), None)

    # Faults.

    async def _play(self, act: ScheduledFault) -> None:
        await asyncio.sleep(act.starts_at)
        self.counts[act.fault] += 1
        end = self.now + act.seconds
        if act.fault in UNPLANNED:
            self._disturbed_until = max(self._disturbed_until, end)
        await self._play_now(act)
        if act.fault in UNPLANNED:
            self._disturbed_until = max(self._disturbed_until, self.now)

    async def _play_now(self, act: ScheduledFault) -> None:
        fault = act.fault
        if fault in (Fault.TERM, Fault.KILL, Fault.PAUSE, Fault.HANGUP):
            await self._signal(_pick(list(self.deployment.hosts), act.pick), act)
        elif fault is Fault.HERD_KILL:
            names = list(self.deployment.hosts)[:: 1 if act.share < 0.5 else 2]
            await asyncio.gather(*(self._signal(name, act) for name in names))
        elif fault in PLATFORM_MODES:
            await self._trouble_platform(PLATFORM_MODES[fault], act)
        elif fault in (Fault.SERVER_RESTART, Fault.SERVER_CLOCK_BACK):
            await self._restart_server(_pick(list(AGENTS), act.pick), fault)
        elif fault is Fault.SERVER_DRAIN:
            await self._drain_server(_pick(list(AGENTS), act.pick), act)
        elif fault is Fault.CONFIGURE:
            await self._configure(act)
        elif fault is Fault.EVACUATE:
            await self._evacuate(_pick(["dc-a", "dc-b"], act.pick), act)
        else:
            await self._trouble_links(act)

    async def _signal(self, name: str, act: ScheduledFault) -> None:
        if name in self._busy:
            return
        self._busy.add(name)
        deployment = self.deployment
        if act.fault is Fault.HANGUP:
            # Before its first instruction no program can handle a signal.
            if self._has_started(name):
                deployment.processes[name].send_signal(signal.SIGHUP)
        elif act.fault is Fault.PAUSE:
            process = deployment.processes[name]
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(act.seconds)
            process.send_signal(signal.SIGCONT)
        else:
            term = act.fault is Fault.TERM
            number = signal.SIGTERM if term else signal.SIGKILL
            sent_at = self.now
            # A daemon that has not opened its sockets yet has nothing to finish.
            graceful = term and self._has_started(name)
            status = await deployment.stop(name, number)
            if status != (0 if graceful else -number) and not (term and status == 0):
                self._break(f"{name}: ended with {status} after {number.name}")
            if self.now - sent_at > GRACE_SECONDS:
                self._break(f"{name}: took {self.now - sent_at:.1f} s to stop")
            self._disturbed_until = max(self._disturbed_until, self.now)
            await asyncio.sleep(RESTART_SECONDS)
            await deployment.start(name)
            self._starts[name] += 1
        self._busy.discard(name)

    def _has_started(self, name: str) -> bool:
        lines = self.deployment.read_log(name).count('"event":"started"')
        return lines == self._starts[name]

    async def _trouble_platform(self, mode: str, act: ScheduledFault) -> None:
        trouble = self.deployment.platform.faults
        if trouble.mode:
            return
        trouble.mode = mode
        await asyncio.sleep(act.seconds)
        trouble.mode = ""

    async def _trouble_links(self, act: ScheduledFault) -> None:
        name = _pick(list(self.deployment.hosts), act.pick)
        store = self.deployment.platform_proxies[name]
        peers = self.deployment.peer_proxies[name]
        if act.fault is Fault.CONNECTIONS_SILENT:
            store.silence_connections()
            peers.silence_connections()
        elif act.fault is Fault.CONNECTIONS_RESET:
            store.reset_connections()
            peers.reset_connections()
        elif act.fault is Fault.LOST_ANSWERS:
            self.deployment.platform.faults.lost_answers += 2
        elif act.fault is Fault.HISTORY_GONE:
            await self.deployment.platform.forget_history()
        elif act.fault is Fault.ENTRY_LAPSES:
            entry = _pick(list(AGENTS), act.pick)
            if entry in self.deployment.platform.names("berylturn-agents"):
                await self.deployment.platform.remove("berylturn-agents", entry)
        elif act.fault in (Fault.PLATFORM_CUT, Fault.PEERS_CUT):
            proxy = store if act.fault is Fault.PLATFORM_CUT else peers
            proxy.cut(True)
            await asyncio.sleep(act.seconds)
            proxy.cut(False)
        elif act.fault is Fault.PEERS_ONE_WAY:
            hosts = list(self.deployment.hosts.values())
            peers.block_hosts(set(hosts[: 1 + int(act.share * len(hosts))]))
            await asyncio.sleep(act.seconds)
            peers.block_hosts(set())
        elif act.fault is Fault.PLATFORM_SLOW:
            store.faults.delay = PLATFORM_DELAY_SECONDS
            await asyncio.sleep(act.seconds)
            store.faults.delay = 0.0
        else:
            lossy = act.fault is Fault.PEERS_LOSSY
            peers.faults.drop = PEER_LOSS if lossy else 0.0
            peers.faults.delay = 0.0 if lossy else PEER_DELAY_SECONDS
            await asyncio.sleep(act.seconds)
            peers.faults.drop = peers.faults.delay = 0.0

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
        self._cold[name] = (now, now + COLD_SECONDS)

    async def _drain_server(self, name: str, act: ScheduledFault) -> None:
        server = self.deployment.backends[name]
        if server.state == "draining" or name in self._restarting:
            return
        server.state = "draining"
        if await server.send_heartbeat(self.deployment.http):
            self._draining[name] = CLOCK.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + act.seconds)
        self._judge_drained(name, server)
        server.state = "ready"
        server.restart(1)

    def _judge_drained(self, name: str, server: OpaqueBackend) -> None:
        since = self._draining.pop(name, None)
        if since is None:
            return
        late = [o for o in server.opened if o.at > since + DRAIN_SECONDS]
        if late:
            self._break(f"{name}: {len(late)} openings after it was draining")

    async def _configure(self, act: ScheduledFault) -> None:
        choices = [{"desk": 1.0}, {"room": 1.0}, {"desk": 3.0, "room": 1.0}]
        shares = _pick(choices, act.share)
        self._version += 1
        self._shares.append((CLOCK.monotonic(), shares))
        await self.deployment.configure(self._version, **shares)

    async def _evacuate(self, centre: str, act: ScheduledFault) -> None:
        if self._out:
            return
        await self.deployment.platform.put("evacuations", centre, {})
        self._out[centre] = CLOCK.monotonic()
        await asyncio.sleep(EVACUATION_SECONDS + act.seconds)
        calm_from = self._started + self._disturbed_until + STABLE_SECONDS
        since = max(self._out.pop(centre) + EVACUATION_SECONDS, calm_from)
        for name, (where, _) in AGENTS.items():
            opened = self.deployment.backends[name].opened
            if where == centre and any(o.at > since for o in opened):
                self._break(f"{name}: opening though {centre} is out")
        await self.deployment.platform.remove("evacuations", centre)

    # Promises.

    def _break(self, text: str) -> None:
        self.broken.append(f"{self.now:.2f} s: {text}")

    async def _check_recovery(self) -> None:
        entries_due = CLOCK.monotonic() + ENTRIES_BACK_SECONDS + STABLE_SECONDS
        await asyncio.sleep(SETTLE_SECONDS)
        deadline = CLOCK.monotonic() + RECOVERY_SECONDS
        flows: list[CallerFlow | None] = []
        while CLOCK.monotonic() < deadline:
            flows = await asyncio.gather(*(self._open() for _ in range(CALLERS)))
            if all(flows):
                break
        served = [flow for flow in flows if flow is not None and await self._ask(flow)]
        if len(served) < RECOVERED_SHARE * CALLERS:
            self._break(f"recovery: {len(served)} of {CALLERS} callers served")
        await asyncio.sleep(max(0.0, entries_due - CLOCK.monotonic()))
        entries = self.deployment.platform.names("berylturn-agents")
        if entries != set(AGENTS):
            self._break(f"entries in the platform: {sorted(entries)}")

    def _check_servers(self) -> None:
        runs: Counter[bytes] = Counter()
        for name, server in self.deployment.backends.items():
            runs += server.ran
            if server.forged:
                self._break(f"{name}: {server.forged} packets that nobody sent")
            for opening in server.opened:
                self._judge_opening(name, opening)
            self._judge_cold(name, server)
        for content, times in runs.items():
            if times > 1:
                self._break(f"{content.decode()} ran {times} times")

    def _judge_opening(self, name: str, opening: Opening) -> None:
        service = AGENTS[name][1]
        sent = self._sent.get(opening.caller)
        if sent is None:
            self._break(f"{name}: opening that no caller sent")
            return
        allowed = any(service in shares for _, shares in self._shares)
        last_at, last = [item for item in self._shares if item[0] <= sent][-1]
        calm = sent > self._started + self._disturbed_until + STABLE_SECONDS
        in_force = sent > last_at + CONFIGURATION_SECONDS and calm
        if not allowed or (in_force and service not in last):
            self._break(f"{name}: opening for another service, {last} in force")

    def _judge_cold(self, name: str, server: OpaqueBackend) -> None:
        if name not in self._cold:
            return
        begin, end = self._cold[name]
        times = [o.at for o in server.opened if begin <= o.at < end]
        most = COLD_PER_SECOND * COLD_FACTOR + COLD_SLACK
        for at in times:
            count = sum(at <= other < at + 1.0 for other in times)
            if count > most:
                self._break(f"{name}: {count} openings in a second of cold start")
                return

    def _check_logs(self) -> None:
        for name, process in self.deployment.processes.items():
            if process.returncode is not None:
                self._break(f"{name}: ended by itself with {process.returncode}")
            if "task_failed" in self.deployment.read_log(name):
                self._break(f"{name}: a task failed")


def _pick(items: list, position: float):
    return items[int(position * len(items))]
