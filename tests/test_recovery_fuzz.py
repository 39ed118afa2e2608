"""Restarts, power losses, cuts and late reports in any order, from fixed seeds.

Whatever happens, no caller is sent a reset for a flow that a living server holds. A
server lives until it crashes or its data centre loses power, though it may hang and its
reports may be late or missing.
"""

from __future__ import annotations

import itertools
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from berylturn.platform import packets

from .passthrough_mesh import RST, Mesh, flow_key

FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
AGENTS = {f"{dc}{n}": (f"dc-{dc}", "desk") for dc in "abc" for n in range(3)}
BALANCERS = {"front-a": "dc-a", "front-b": "dc-b", "front-c": "dc-c"}
COLD_SECONDS = 2.0
agents = st.sampled_from(sorted(AGENTS))
balancers = st.sampled_from(sorted(BALANCERS))


class RecoveryMachine(RuleBasedStateMachine):
    """Agents that lose their memory beside servers that live, restart or stay away."""

    @initialize()
    def start(self) -> None:
        self.mesh = Mesh(AGENTS, BALANCERS)
        self.checked = 0
        self.flows: dict[bytes, str] = {}
        self.started_at = dict.fromkeys(AGENTS, self.mesh.now - 100.0)
        # Newest reports of servers that have ended, which may yet arrive.
        self.late: list[tuple[str, float]] = []
        self.held_up: set[str] = set()
        self.ended: set[str] = set()
        self.numbers = itertools.count()
        self.balancers = itertools.cycle(BALANCERS)
        self.mesh.known_seconds = 60.0
        for name in AGENTS:
            self.mesh.start_agent(name, reported=False, unix_ms=self.unix_ms())
        self.mesh.advance(5.0)
        self.deliver_reports()
        self.open_flows("front-a", 3)
        self.open_flows("front-b", 3)

    def unix_ms(self) -> int:
        """Return the time of day of all hosts."""
        return int(1000 * self.mesh.now)

    def end_server(self, name: str) -> None:
        """Let a server lose all its flows and answer nothing."""
        self.ended.add(name)
        self.late.append((name, self.started_at[name]))
        self.mesh.backends[name].flows.clear()
        self.mesh.backends[name].dead = True

    def start_server(self, name: str) -> None:
        """Start a server anew if it has ended."""
        self.ended.discard(name)
        self.mesh.backends[name].dead = False
        self.started_at[name] = self.mesh.now

    def start_agent(self, name: str) -> None:
        """Start an agent anew; it knows the directory from the first moment."""
        self.mesh.down.discard(name)
        self.mesh.start_agent(name, reported=False, unix_ms=self.unix_ms())

    def report(self, name: str, started_at: float | None = None) -> None:
        """Report a start of a server, the present one by default."""
        started_at = self.started_at[name] if started_at is None else started_at
        left = COLD_SECONDS - (self.mesh.now - started_at)
        if name not in self.mesh.down:
            self.mesh.report(
                name,
                started_ms=int(1000 * started_at),
                cold_seconds=max(0.0, left),
                address="own",
            )

    @rule(balancer=balancers, count=st.integers(1, 3))
    def open_flows(self, balancer: str, count: int) -> None:
        for _ in range(count):
            flow = flow_key(next(self.numbers))
            self.flows[flow] = self.mesh.open_flow(balancer, flow)

    @rule()
    def forget_dead_flows(self) -> None:
        """Keep the number of flows small."""
        held = set().union(*(b.flows for b in self.mesh.backends.values()))
        self.flows = {flow: n for flow, n in self.flows.items() if flow in held}

    @rule(name=agents)
    def crash_server(self, name: str) -> None:
        self.end_server(name)

    @rule(name=agents, goes_on=st.booleans())
    def hang_server(self, name: str, goes_on: bool) -> None:
        """Let a living server answer and report nothing, or go on."""
        if self.lives(name):
            self.mesh.backends[name].dead = not goes_on

    def lives(self, name: str) -> bool:
        """Tell whether a server has not ended since its last start."""
        return name not in self.ended

    @rule(name=agents)
    def replace_server(self, name: str) -> None:
        self.end_server(name)
        self.start_server(name)

    @rule(name=agents, hangs=st.booleans())
    def restart_agent(self, name: str, hangs: bool) -> None:
        self.hang_server(name, not hangs)
        self.start_agent(name)

    @rule(name=agents)
    def deliver_late_deregistration(self, name: str) -> None:
        self.mesh.gates[name].deregister(f"i-{name}")

    @rule(spared=st.sets(agents, max_size=3), hanging=st.sets(agents, max_size=3))
    def kill_agents(self, spared: set[str], hanging: set[str]) -> None:
        """Restart many agents at one moment, beside servers that live on."""
        for name in hanging:
            self.hang_server(name, goes_on=False)
        for name in sorted(AGENTS.keys() - spared):
            self.start_agent(name)

    @rule(name=agents)
    def stop_agent(self, name: str) -> None:
        """Stop an agent for good or until a later restart, as at SIGTERM."""
        if name in self.mesh.down:
            return
        self.mesh.stop_agent(name)
        self.mesh.down.add(name)
        if self.mesh.agents[name].has_lost_server(self.mesh.now):
            self.remove_entry(name)

    def remove_entry(self, name: str) -> None:
        """Take a stopped agent out of the directory; it is told to all others."""
        entry = next(e for e in self.mesh.entries if e.name == name)
        self.mesh.entries.remove(entry)
        for rules in self.mesh.agents.values():
            rules.set_agents(self.mesh.directory().by_service, frozenset())
        self.mesh.entries.append(entry)

    @rule(
        data_centres=st.sets(st.sampled_from("abc"), min_size=1),
        back=st.sets(agents),
        held_up=st.sets(agents, max_size=2),
    )
    def lose_power(self, data_centres: set, back: set[str], held_up: set) -> None:
        """Restart data centres as a whole; some servers report late or stay away."""
        self.held_up = held_up
        lost = [name for name in AGENTS if name[0] in data_centres]
        for name in lost:
            self.end_server(name)
            self.start_agent(name)
        self.mesh.advance(0.1)
        for name in lost:
            if name in back:
                self.start_server(name)
        self.deliver_reports()
        for balancer, (data_centre) in BALANCERS.items():
            if data_centre[-1] in data_centres:
                self.mesh.start_balancer(balancer, data_centre)

    @rule(names=st.sets(agents, max_size=3))
    def hold_up_reports(self, names: set[str]) -> None:
        """Let the reports of some servers, and only theirs, be missing from now on."""
        self.held_up = names

    @rule(data=st.data())
    def deliver_late_report(self, data: st.DataObject) -> None:
        if self.late:
            self.report(*data.draw(st.sampled_from(self.late[-5:])))

    @rule(
        ends=st.sets(agents, min_size=2, max_size=2),
        is_cut=st.booleans(),
    )
    def change_link(self, ends: set[str], is_cut: bool) -> None:
        link = frozenset(ends)
        (self.mesh.partitions.add if is_cut else self.mesh.partitions.discard)(link)

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        while seconds > 0:
            self.mesh.advance(min(seconds, 1.0))
            self.deliver_reports()
            seconds -= 1.0

    def deliver_reports(self) -> None:
        """Let all servers report that live and are not held up."""
        for name, backend in self.mesh.backends.items():
            if not backend.dead and name not in self.held_up:
                self.report(name)

    @invariant()
    def no_open_flow_is_reset(self) -> None:
        """Send on all flows through a balancer without hints; check the resets."""
        if not hasattr(self, "mesh"):
            return
        balancer = next(self.balancers)
        self.mesh.start_balancer(balancer, BALANCERS[balancer])
        for flow, owner in self.flows.items():
            self.mesh.send_request(balancer, flow, owner or "a0")
            self.mesh.advance(0.05)
        for _, data in self.mesh.to_caller[self.checked :]:
            if data[14] & RST:
                flow = packets.decode_from_backend(data).flow
                holders = [n for n, b in self.mesh.backends.items() if flow in b.flows]
                assert not holders, (holders, self.mesh.decisions[-5:])
        self.checked = len(self.mesh.to_caller)


TestRecoveryMachine = RecoveryMachine.TestCase
TestRecoveryMachine.settings = FUZZ
TestRecoveryMachine.__test__ = True
assert issubclass(TestRecoveryMachine, unittest.TestCase)
