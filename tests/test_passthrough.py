"""Test the rules of balancers and agents for passthrough flows, in virtual time."""

from __future__ import annotations

import unittest

from nose2.tools import params

from berylturn.connection.peer_frames import Load, LoadReport
from berylturn.connection.recovery.backend_reports import BackendReport, OwnServer
from berylturn.connection.segments import describe_flow
from berylturn.errors import PacketError
from berylturn.platform import packets
from berylturn.process.passthrough_agent import select_siblings
from berylturn.version.owners import AgentEntry
from berylturn.version.snapshots import KindSnapshot, ObjectChange, StoredObject

from .passthrough_mesh import ACK, RST, SYN, Mesh, caller_packet, flow_key, make_table

SEVEN_AGENTS = {
    "a1": ("dc-a", "desk"),
    "a2": ("dc-a", "desk"),
    "b1": ("dc-b", "desk"),
    "b2": ("dc-b", "desk"),
    "c1": ("dc-c", "desk"),
    "r1": ("dc-a", "room"),
    "r2": ("dc-b", "room"),
}
BALANCERS = {"front-a": "dc-a", "front-b": "dc-b"}


class TestFindingFlows(unittest.TestCase):
    """Open flows must reach their owner without hints or registrations."""

    @params("front-a", "front-b", "fresh-a", "fresh-c")
    def test_any_balancer_finds_an_open_flow(self, balancer: str) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        mesh.start_balancer("fresh-a", "dc-a")
        mesh.start_balancer("fresh-c", "dc-c")
        for number in range(20):
            flow = flow_key(number)
            owner = mesh.open_flow("front-a", flow)
            self.assertTrue(mesh.send_request(balancer, flow, owner), owner)

    @params(
        ("agent of the owner", ("owner",)),
        ("all agents", ("a1", "a2", "b1", "b2", "c1", "r1", "r2")),
    )
    def test_flow_outlives_restarted_agents(self, _: str, names: tuple) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flows = {}
        for number in range(20):
            flows[flow_key(number)] = mesh.open_flow("front-a", flow_key(number))
        for name in SEVEN_AGENTS if len(names) > 1 else [flows[flow_key(0)]]:
            mesh.start_agent(name, reported=False)
        mesh.start_balancer("front-a", "dc-a")
        for flow, owner in flows.items():
            self.assertTrue(mesh.send_request("front-a", flow, owner), owner)

    @params(
        ("moved to another service", {"room": 1.0}),
        ("shared with another service", {"room": 99.0, "desk": 1.0}),
    )
    def test_open_flow_stays_when_its_route_moves(self, _: str, shares: dict) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flows = {}
        for number in range(20):
            flows[flow_key(number)] = mesh.open_flow("front-a", flow_key(number))
        mesh.change_table(make_table(2, **shares))
        for balancer in ("front-b", "fresh"):
            mesh.start_balancer("fresh", "dc-c")
            for flow, owner in flows.items():
                self.assertTrue(
                    mesh.send_request(balancer, flow, owner), (balancer, owner)
                )

    def test_route_moved_to_a_service_without_agents(self) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.change_table(make_table(2, empty=1.0))
        self.assertTrue(mesh.send_request("front-b", flow, owner))

    @params(("owner is registered", False), ("registration is lost", True))
    def test_flow_is_found_despite_a_partition(
        self, _: str, registration_lost: bool
    ) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        owners = {}
        for number in range(20):
            flow = flow_key(number)
            owners[flow] = mesh.open_flow("front-b", flow)
        if registration_lost:
            mesh.start_agent("a1")
            mesh.start_agent("a2")
        mesh.partitions = {frozenset((a, "c1")) for a in ("a1", "a2")}
        for flow, owner in owners.items():
            answers = []
            # The caller retransmits its packet after 0.2 s and 0.6 s.
            for _try in range(3):
                answers.append(mesh.send_request("front-a", flow, owner))
                mesh.now += 0.2
            self.assertTrue(answers[-1], (owner, answers))
            if not registration_lost:
                self.assertTrue(answers[0], owner)

    @params(("known route", {}), ("route moved before", {"room": 1.0}))
    def test_flow_of_moved_route_outlives_killed_agents(
        self, _: str, shares: dict
    ) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(3)
        owner = mesh.open_flow("front-a", flow)
        if shares:
            mesh.change_table(make_table(2, **shares))
        mesh.table = make_table(3, **(shares or {"desk": 1.0}))
        for name in SEVEN_AGENTS:
            mesh.start_agent(name)
        mesh.start_balancer("front-a", "dc-a")
        self.assertTrue(mesh.send_request("front-a", flow, owner), owner)


class TestDeadFlows(unittest.TestCase):
    """Flows must be reset at once when they are certainly lost, and only then."""

    @params(
        ("all servers restarted", set(), True),
        ("one of them does not answer", {"b2"}, False),
    )
    def test_power_loss(self, _: str, dead: set[str], ended: bool) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        for name, backend in mesh.backends.items():
            backend.flows.clear()
            backend.dead = name in dead
            mesh.start_agent(name)
        mesh.start_balancer("front-a", "dc-a")
        self.assertFalse(mesh.send_request("front-a", flow, owner))
        self.assertEqual(ended, mesh.was_reset(flow))

    @params(("directory not read", True), ("entry of the owner not seen", False))
    def test_agent_with_incomplete_directory_resets_nothing(
        self, _: str, empty: bool
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk"), "b1": ("dc-b", "desk")}, BALANCERS)
        flows = [flow_key(number) for number in range(20)]
        flows = [flow for flow in flows if mesh.open_flow("front-b", flow) == "b1"]
        mesh.start_agent("a1", reported=False)
        mesh.uncertain.add("a1")
        known = [] if empty else mesh.entries[:1]
        mesh.agents["a1"].set_agents({"desk": known}, frozenset())
        for flow in flows:
            self.assertFalse(mesh.send_request("front-a", flow, "b1"))
            self.assertFalse(mesh.was_reset(flow))

    @params(
        ("a moment ago", 0.1, 0.0, False),
        ("while an entry may come back", 2.0, 0.0, False),
        ("long enough", 3.1, 0.0, True),
        ("all lost power", 0.1, 2.0, True),
        ("all lost power, servers were back first", 0.1, 0.6, True),
        ("servers had started long before", 0.1, -3.0, False),
    )
    def test_agents_that_have_just_read_the_directory(
        self, _: str, known_seconds: float, cold_seconds: float, ended: bool
    ) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.known_seconds = known_seconds
        for name, backend in mesh.backends.items():
            backend.flows.clear()
            mesh.start_agent(name, reported=False)
            mesh.report(name, started_ms=2, cold_seconds=cold_seconds)
        mesh.start_balancer("front-a", "dc-a")
        self.assertFalse(mesh.send_request("front-a", flow, owner))
        self.assertEqual(ended, mesh.was_reset(flow))

    @params(
        ("one server is gone for good", {"b2"}, True),
        ("no server has reported", set(SEVEN_AGENTS), False),
    )
    def test_power_loss_after_which_servers_stay_down(
        self, _: str, gone: set[str], ended: bool
    ) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.known_seconds = 0.1
        for name, backend in mesh.backends.items():
            backend.flows.clear()
            mesh.start_agent(name, reported=False)
            if name not in gone:
                mesh.report(name, started_ms=2, cold_seconds=1.9)
        mesh.start_balancer("front-a", "dc-a")
        mesh.send_request("front-a", flow, owner)
        self.assertEqual(ended, mesh.was_reset(flow))

    @params(("new start", 2, True), ("same start", 1, False))
    def test_restart_seen_by_its_agent(
        self, _: str, started_ms: int, ended: bool
    ) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        if ended:
            mesh.backends[owner].flows.clear()
        mesh.report(owner, started_ms=started_ms)
        self.assertEqual(ended, mesh.was_reset(flow))


class TestRollingRestart(unittest.TestCase):
    """Packets of an open flow must reach its server, not the others again and again.

    Load pattern: agents are restarted one after the other, so that one is always away,
    and callers send on flows of an agent that is away.
    """

    AGENTS = {f"{dc}1": (f"dc-{dc}", "desk") for dc in "abc"}
    # Seconds after the first packet at which the caller sends copies.
    COPIES = (0.0, 0.2, 0.6, 1.4)
    # Times at which agents stop and start again, after the first packet.
    RESTARTS = {"b1": (-1.1, -0.4), "a1": (-0.1, 0.7), "c1": (1.0, 1.7)}

    @params(
        ("known to another agent", True, RESTARTS),
        ("known to none", False, RESTARTS),
        ("owner back after all copies", False, {**RESTARTS, "a1": (-0.1, 1.5)}),
        ("all restarted before", False, dict.fromkeys(["b1", "a1", "c1"], (-1, -0.5))),
    )
    def test_flow_of_an_agent_that_is_away(
        self, _: str, registered: bool, restarts: dict[str, tuple[float, float]]
    ) -> None:
        mesh = Mesh(self.AGENTS, BALANCERS)
        flow = flow_key(1)
        self.assertEqual("a1", mesh.open_flow("front-a", flow))
        if registered:
            mesh.register_remotely()
        mesh.now += 10.0
        sent_at = mesh.now
        changes = [(at, name, False) for name, (at, _end) in restarts.items()]
        changes += [(at, name, True) for name, (_start, at) in restarts.items()]
        changes += [(at, "", True) for at in self.COPIES]
        received_before = {n: len(b.received_flows) for n, b in mesh.backends.items()}
        answered_at = []
        answers_before = len(mesh.to_caller)
        for at, name, starts in [*sorted(changes), (2.0, "end", False)]:
            mesh.advance(max(0.0, sent_at + at - mesh.now))
            if len(mesh.to_caller) > answers_before:
                answered_at.append(mesh.now - sent_at)
                break
            if not name:
                mesh.send_request("front-b", flow, "a1")
            elif name in mesh.agents:
                mesh.down.discard(name) if starts else mesh.down.add(name)
                if starts:
                    mesh.start_agent(name)
        self.assertTrue(answered_at)
        self.assertFalse(mesh.was_reset(flow))
        others = [
            len(mesh.backends[name].received_flows) - received_before[name]
            for name in ("b1", "c1")
        ]
        self.assertLessEqual(max(others), 1)


class TestStaleRegistration(unittest.TestCase):
    """A flow must not be reset because a registration names an agent without it.

    Load pattern: an agent is restarted, and the owner that another agent named to it
    is overdue, so the search begins with that one.
    """

    @params(("flow of the own server", "a1"), ("flow of another server", "c1"))
    def test_owner_is_found(self, _: str, owner: str) -> None:
        mesh = Mesh({f"{dc}1": (f"dc-{dc}", "desk") for dc in "abc"}, BALANCERS)
        flow = flow_key(1)
        self.assertEqual("a1", mesh.open_flow("front-a", flow))
        if owner != "a1":
            # The caller's flow is at another server, which only that one knows.
            mesh.backends["a1"].flows.clear()
            mesh.backends[owner].flows.add(flow)
        for name in mesh.agents:
            mesh.start_agent(name)
        mesh.start_balancer("front-a", "dc-a")
        mesh.agents["a1"].on_registered("b1", [flow], mesh.now)
        mesh.agents["c1"].on_registered("a1", [flow], mesh.now)
        mesh.boards["a1"].expect_answer("b1", mesh.now - 1.0)
        answered = mesh.send_request("front-a", flow, owner)
        mesh.advance(0.5)
        answered = answered or any(data.endswith(b"ok") for _, data in mesh.to_caller)
        self.assertTrue(answered)
        self.assertFalse(mesh.was_reset(flow))


class TestSeenStart(unittest.TestCase):
    """Flows must not be reset because an agent took its server for a younger one.

    Load pattern: agents are restarted in turn while their servers serve open flows.
    """

    AGENT_STARTED_MS = 5_000

    @params(
        # Servers of an evacuated data centre become cold without a restart.
        ("turns cold long after its start", [(1, 0.0), (1, 1.9)], False),
        ("first report seen is cold", [(1, 1.9)], False),
        # A late report of the crashed predecessor comes before the first of the server.
        ("late report of its predecessor", [(1, 0.0), (2, 0.0)], False),
        ("late report, then a cold one", [(1, 0.0), (2, 1.9)], False),
        # Without a configuration the gate takes the cold start for 2 s long.
        ("colder than the default", [(1, 5.5)], False),
        ("restarted after the agent", [(1, 0.0), (6_000, 1.9)], True),
        ("started after the agent", [(6_000, 1.9)], True),
    )
    def test_open_flows_after_a_restart_of_the_agent(
        self, _: str, reports: list[tuple[int, float]], is_new: bool
    ) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.now += 10.0
        for name in SEVEN_AGENTS:
            mesh.start_agent(name, reported=False, unix_ms=self.AGENT_STARTED_MS)
        mesh.start_balancer("front-a", "dc-a")
        mesh.now += 4.0
        if is_new:
            mesh.backends[owner].flows.clear()
        for name in SEVEN_AGENTS:
            for started_ms, cold_seconds in reports:
                mesh.report(name, started_ms, cold_seconds=cold_seconds)
                mesh.now += 0.05
        answered = mesh.send_request("front-a", flow, owner)
        self.assertEqual((not is_new, is_new), (answered, mesh.was_reset(flow)))


class TestLateReports(unittest.TestCase):
    """A late report must not open the gate for what the server beside does not bear.

    Load pattern: a report that a partition held up reaches an agent that has just
    started, before the first one of the server that has the address now.
    """

    AGENT_STARTED_MS = 5_000

    @params(
        ("one report", False, [(0.1, 1, {})], "no_report", True),
        (
            "a burst of late reports",
            False,
            [(0.1, 1, {}), (0.1, 1, {})],
            "no_report",
            True,
        ),
        ("two at an interval", False, [(0.1, 1, {}), (1.2, 1, {})], None, False),
        ("started after the agent", False, [(0.1, 6_000, {})], None, False),
        # The start is 7.1 s ago, and the interval is 1.2 s.
        ("number fits its age", False, [(0.1, 1, {"sequence": 6})], None, False),
        ("number is too low", False, [(0.1, 1, {"sequence": 5})], "no_report", True),
        ("service named", True, [(0.1, 1, {})], None, True),
        ("service named, two", True, [(0.1, 1, {}), (1.2, 1, {})], None, False),
        (
            "warm, then the cold successor",
            True,
            [(0.1, 1, {}), (0.2, 2, {"cold_seconds": 1.9}), (0.1, 2, {})],
            None,
            True,
        ),
        (
            "ready, then draining",
            True,
            [(0.1, 1, {}), (0.1, 1, {"draining": True})],
            "draining",
            True,
        ),
    )
    def test_first_reports(
        self,
        _: str,
        service_known: bool,
        reports: list[tuple[float, int, dict]],
        refusal: str | None,
        cold: bool,
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        mesh.start_agent("a1", reported=False, unix_ms=self.AGENT_STARTED_MS)
        mesh.now += 2.0
        for after, started_ms, changes in reports:
            mesh.now += after
            mesh.report("a1", started_ms, service_known, **changes)
        gate = mesh.gates["a1"]
        self.assertEqual(
            (refusal, cold), (gate.refusal("desk", mesh.now), gate.is_cold(mesh.now))
        )

    @params(
        ("own", "a1:1", "desk", True),
        ("service not named", "a1:1", None, True),
        ("of another service", "a1:1", "room", False),
        ("at another address", "a1:2", "desk", False),
    )
    def test_sender(
        self, _: str, address: str, service: str | None, accepted: bool
    ) -> None:
        report = BackendReport("i", 1, 1, "desk", "dc-a", "a1:1", 3, False, 0.0)
        self.assertEqual(accepted, OwnServer(address, service).is_sender_of(report))

    @params(("it was draining", True), ("late, sent before its restart", False))
    def test_deregistration(self, _: str, draining: bool) -> None:
        mesh = Mesh(SEVEN_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        for name in SEVEN_AGENTS:
            mesh.start_agent(name)
        mesh.start_balancer("front-a", "dc-a")
        mesh.report(owner, draining=draining)
        gate = mesh.gates[owner]
        self.assertTrue(gate.deregister(f"i-{owner}"))
        self.assertEqual("no_report", gate.refusal("desk", mesh.now))
        self.assertEqual(draining, gate.has_left)
        answered = mesh.send_request("front-a", flow, owner)
        self.assertEqual(not draining, answered)
        self.assertEqual(draining, mesh.was_reset(flow))
        mesh.report(owner)
        self.assertIsNone(gate.refusal("desk", mesh.now))


class TestStartingBalancer(unittest.TestCase):
    """Packets must be served that arrive before a balancer has routes and agents."""

    @params(("in time", 0.4, True), ("too late", 1.1, False))
    def test_packets_are_buffered(self, _: str, after: float, served: bool) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, BALANCERS)
        mesh.start_balancer("front-a", "dc-a", configured=False)
        flow, opened = flow_key(1), flow_key(2)
        owner = mesh.open_flow("front-b", opened)
        self.assertEqual("", mesh.open_flow("front-a", flow))
        self.assertFalse(mesh.send_request("front-a", opened, owner))
        mesh.now += after
        answers_before = len(mesh.to_caller)
        mesh.configure_balancer("front-a")
        self.assertEqual(2 * served, len(mesh.to_caller) - answers_before)
        self.assertFalse(mesh.was_reset(flow))

    def test_opening_is_refused_when_there_is_no_agent(self) -> None:
        mesh = Mesh({}, BALANCERS)
        self.assertEqual("", mesh.open_flow("front-a", flow_key(1)))
        self.assertTrue(mesh.was_reset(flow_key(1)))


class TestSearch(unittest.TestCase):
    """A search at many agents must find a flow, or that it is lost.

    Load pattern: all nodes have restarted and all callers send on their old flows.
    """

    FORTY_AGENTS = {f"m{n}": (f"dc-{'abcd'[n % 4]}", "desk") for n in range(40)}

    def test_search_for_dead_flow_sends_keys_not_packets(self) -> None:
        mesh = Mesh(self.FORTY_AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        for name in self.FORTY_AGENTS:
            mesh.start_agent(name, reported=False)
            mesh.backends[name].flows.clear()
        mesh.now += 2.0
        for name in self.FORTY_AGENTS:
            mesh.report(name, started_ms=2, cold_seconds=1.0)
        mesh.frame_counts.clear()
        mesh.send_request("front-a", flow, owner)
        self.assertTrue(mesh.was_reset(flow))
        # Only the balancer's; forwarding the packet would send it to all 40 agents.
        self.assertEqual(1, mesh.frame_counts["Forward"])

    @params(("found at the next copy", 2), ("not ended while one is silent", 40))
    def test_restarted_agents_of_which_one_is_silent(self, _: str, lost: int) -> None:
        for number in range(20):
            mesh = Mesh(self.FORTY_AGENTS, BALANCERS)
            flow = flow_key(number)
            # The owner may be at any position in the flow's order of agents.
            for name in self.FORTY_AGENTS:
                mesh.report_load("front-a", name, 0.0 if name == f"m{number}" else 9.0)
            owner = mesh.open_flow("front-a", flow)
            self.assertEqual(f"m{number}", owner)
            for name in self.FORTY_AGENTS:
                mesh.start_agent(name, reported=False)
            rest = [name for name in self.FORTY_AGENTS if name != owner]
            mesh.down = {rest[number]} if lost == 2 else {owner}
            answered = False
            for _ in range(3):
                answered = answered or mesh.send_request("front-b", flow, owner)
                mesh.now += 0.2
            self.assertEqual(lost == 2, answered)
            self.assertFalse(mesh.was_reset(flow))


class TestColdStart(unittest.TestCase):
    """The openings at a server that has just started must stay within its limit.

    Load pattern: all servers restart and all callers open their flows at once.
    """

    @params(
        ("server younger than the agent", 0.3, 1.8, 8),
        ("server older than the agent", 0.3, 1.2, 0),
        ("both started by the power's return", 0.3, 1.665, 8),
        ("server older than the interpreter", 0.3, 1.655, 0),
        ("agent older than a second", 1.2, 1.0, 8),
    )
    def test_openings_in_cold_start_are_limited(
        self, _: str, age: float, cold: float, admitted: int
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.now += age
        mesh.report("a1", cold_seconds=cold)
        for number in range(50):
            mesh.open_flow("front-a", flow_key(number))
            mesh.now += 0.01
        # A cold rate of 2 per second times the factor 1.5, plus a slack of 5.
        self.assertEqual(admitted, mesh.backends["a1"].openings)


class TestColdStartInDoubt(unittest.TestCase):
    """A server that may have restarted must be treated as cold."""

    def _open_many(self, mesh: Mesh, first: int = 100) -> int:
        before = mesh.backends["a1"].openings
        for number in range(40):
            mesh.open_flow("front-a", flow_key(first + number))
        return mesh.backends["a1"].openings - before

    @params(
        ("report of an earlier start", True, 0.0, 8),
        ("then the known start reports that it is warm", True, 0.3, 40),
        ("no such report", False, 0.0, 40),
    )
    def test_report_of_an_earlier_start(
        self, _: str, conflicting: bool, warm_report_after: float, admitted: int
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, BALANCERS)
        mesh.now += 10.0
        mesh.report("a1", 9)
        if conflicting:
            mesh.report("a1", 4, cold_seconds=1.5)
        if warm_report_after:
            mesh.now += warm_report_after
            mesh.report("a1", 9)
        self.assertEqual(admitted, self._open_many(mesh))

    def test_server_returns_packets_of_flows_that_it_held(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, BALANCERS)
        flows = [flow_key(number) for number in range(4)]
        for flow in flows:
            mesh.open_flow("front-a", flow)
        mesh.now += 10.0
        mesh.report("a1")
        mesh.backends["a1"].flows.clear()
        for flow in flows:
            self.assertFalse(mesh.send_request("front-a", flow, "a1"))
        self.assertEqual(8, self._open_many(mesh))
        mesh.now += 0.3
        mesh.report("a1")
        self.assertEqual(40, self._open_many(mesh, first=200))


class TestQueuedOpenings(unittest.TestCase):
    """Openings must be queued if they can be served before their callers give up.

    Load pattern: all servers of a service restart, and every caller reopens its flow.
    """

    @params(("cold ends soon", 0.8, 60, 60), ("cold ends late", 1.9, 60, 16))
    def test_crowd_after_power_loss(
        self, _: str, cold: float, crowd: int, served: int
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.now += 2.5
        mesh.report("a1", cold_seconds=cold)
        for number in range(crowd):
            mesh.open_flow("front-a", flow_key(number))
        first = mesh.backends["a1"].openings
        self.assertEqual(8, first)
        # The callers' attempts last for 1.4 s.
        for _step in range(14):
            mesh.now += 0.1
            for _turn in range(crowd):
                mesh.admit_queued("a1")
                mesh.send_requests("a1")
        self.assertEqual(served, mesh.backends["a1"].openings)
        resets = sum(mesh.was_reset(flow_key(number)) for number in range(crowd))
        self.assertEqual(crowd - served, resets)

    def test_queued_openings_do_not_flood_the_server(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.now += 2.5
        mesh.report("a1", cold_seconds=0.5)
        for number in range(60):
            mesh.open_flow("front-a", flow_key(number))
        mesh.now += 0.6
        mesh.admit_queued("a1")
        # The eight flows admitted in cold start have sent no request, so they do not
        # count; six requests may be expected at 3 slots.
        self.assertEqual(14, mesh.backends["a1"].openings)
        mesh.now += 0.1
        mesh.admit_queued("a1")
        self.assertEqual(14, mesh.backends["a1"].openings)
        mesh.send_requests("a1")
        mesh.admit_queued("a1")
        self.assertEqual(20, mesh.backends["a1"].openings)

    @params(("callers answer", False), ("callers have gone", True))
    def test_queue_moves_on(self, _: str, callers_gone: bool) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.now += 2.5
        mesh.report("a1", cold_seconds=0.2)
        for number in range(40):
            mesh.send("front-a", caller_packet(flow_key(number), SYN))
        mesh.now += 0.25
        for _step in range(10):
            mesh.admit_queued("a1")
            if not callers_gone:
                mesh.send_requests("a1")
            mesh.now += 0.1
        # Eight in cold start; then six at a time, whenever the time for the first
        # requests of the previous six has passed.
        self.assertEqual(
            8 + 5 * 6 if callers_gone else 40, mesh.backends["a1"].openings
        )

    def test_newest_are_served_first(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.now += 2.5
        mesh.report("a1", cold_seconds=0.5)
        for number in range(30):
            mesh.open_flow("front-a", flow_key(number))
            mesh.now += 0.01
        mesh.now += 0.3
        mesh.open_flow("front-a", flow_key(99))
        mesh.admit_queued("a1")
        newest = {flow_key(number) for number in (*range(8), *range(25, 30), 99)}
        self.assertEqual(newest, mesh.backends["a1"].flows)

    @params(
        ("first packet", 0, 1.25, False),
        ("first packet", 0, 1.35, True),
        ("copy after 0.2 s", 1, 1.05, False),
        ("copy after 0.2 s", 1, 1.15, True),
        ("copy after 0.6 s", 2, 0.65, False),
        ("copy after 0.6 s", 2, 0.75, True),
    )
    def test_opening_is_queued_no_longer_than_its_caller_waits(
        self, _: str, copies: int, after: float, refused: bool
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.now += 2.5
        mesh.report("a1", cold_seconds=1.3)
        for number in range(9):
            mesh.open_flow("front-a", flow_key(number))
        waiting = flow_key(9)
        mesh.send("front-a", caller_packet(waiting, SYN, ack=copies))
        # The cold limit is free again after 1.05 s; eight other openings use it.
        mesh.now += after
        for _turn in range(9):
            mesh.admit_queued("a1")
        self.assertEqual(refused, mesh.was_reset(waiting))

    def test_first_report_after_a_kill_admits_queued_openings(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.open_flow("front-a", flow_key(1))
        self.assertEqual(0, mesh.backends["a1"].openings)
        mesh.now += 0.9
        mesh.report("a1")
        mesh.admit_queued("a1")
        self.assertEqual(1, mesh.backends["a1"].openings)

    @params(
        ("draining", {"draining": True}),
        ("serves another service", {"service": "room"}),
    )
    def test_queued_opening_is_refused_when_not_admissible(
        self, _: str, change: dict
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.open_flow("front-a", flow_key(1))
        mesh.now += 0.1
        mesh.report("a1", **change)
        mesh.admit_queued("a1")
        self.assertTrue(mesh.was_reset(flow_key(1)))
        self.assertEqual(0, mesh.backends["a1"].openings)

    def test_stopping_agent_refuses_queued_openings(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        mesh.start_agent("a1", reported=False)
        mesh.open_flow("front-a", flow_key(1))
        self.assertFalse(mesh.was_reset(flow_key(1)))
        mesh.stop_agent("a1")
        self.assertTrue(mesh.was_reset(flow_key(1)))


class TestGate(unittest.TestCase):
    """The gate must close by the reports of a backend server, or without them."""

    @params(
        ("ready", {}, None),
        ("draining", {"draining": True}, "draining"),
        ("of another service", {"service": "room"}, "other_service"),
        ("older report", {"sequence": 0, "draining": True}, None),
        ("earlier start", {"started_ms": 0, "draining": True}, None),
    )
    def test_report(self, _: str, changes: dict, refusal: str | None) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        mesh.report("a1", **changes)
        self.assertEqual(refusal, mesh.gates["a1"].refusal("desk", mesh.now))

    def test_refused_port_and_next_report(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        gate = mesh.gates["a1"]
        gate.on_connection_refused(mesh.now)
        self.assertEqual("down", gate.refusal("desk", mesh.now))
        mesh.report("a1", started_ms=2)
        self.assertIsNone(gate.refusal("desk", mesh.now))

    @params(
        ("sent before its end", 0.3, "down"),
        ("goes on, so it runs after all", 2.6, None),
    )
    def test_refused_port_and_report_of_the_same_start(
        self, _: str, after: float, refusal: str | None
    ) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        gate = mesh.gates["a1"]
        gate.on_connection_refused(mesh.now)
        gate.on_answer()
        mesh.now += after
        mesh.report("a1")
        self.assertEqual(refusal, gate.refusal("desk", mesh.now))

    def test_clock_set_back_before_a_restart(self) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        gate = mesh.gates["a1"]
        mesh.report("a1", started_ms=5000)
        mesh.now += 2.0
        mesh.report("a1", started_ms=3000, draining=True)
        self.assertIsNone(gate.refusal("desk", mesh.now))
        mesh.now += 1.2
        mesh.report("a1", started_ms=3000, draining=True)
        self.assertEqual("draining", gate.refusal("desk", mesh.now))

    @params((False, 0.0, None), (True, 0.0, "data_centre_out"))
    def test_evacuation(self, out: bool, after: float, refusal: str | None) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        gate = mesh.gates["a1"]
        gate.set_evacuated(out, mesh.now)
        self.assertEqual(refusal, gate.refusal("desk", mesh.now + after))
        gate.set_evacuated(False, mesh.now)
        self.assertEqual(out, gate.is_cold(mesh.now + 1.9))

    @params(("silent", 3.1, "silent"), ("late", 2.9, None))
    def test_missing_reports(self, _: str, after: float, refusal: str | None) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {})
        self.assertEqual(refusal, mesh.gates["a1"].refusal("desk", mesh.now + after))


class TestPassingOn(unittest.TestCase):
    """Openings must be forwarded only to agents that may admit them."""

    @params((frozenset(), "b1"), (frozenset({"dc-b"}), ""))
    def test_data_centre_out(self, out: frozenset[str], owner: str) -> None:
        agents = {"a1": ("dc-a", "desk"), "b1": ("dc-b", "desk")}
        mesh = Mesh(agents, {"front-a": "dc-a"})
        mesh.report("a1", draining=True)
        mesh.agents["a1"].set_agents(mesh.directory().by_service, out)
        self.assertEqual(owner, mesh.open_flow("front-a", flow_key(1)))


class TestDeadAgents(unittest.TestCase):
    """Agents must not count as dead when the balancer itself is partitioned."""

    @params(("one host lost", {"a1"}, ["a1"]), ("balancer cut off", {"a1", "a2"}, []))
    def test_removal(self, _: str, lost: set[str], dead: list[str]) -> None:
        agents = {"a1": ("dc-a", "desk"), "a2": ("dc-a", "desk")}
        mesh = Mesh(agents, {"front-a": "dc-a"})
        mesh.down = lost
        router = mesh.routers["front-a"]
        for number in range(20):
            mesh.open_flow("front-a", flow_key(number))
        mesh.now += 9.0
        for number in range(20, 30):
            mesh.open_flow("front-a", flow_key(number))
        removable = router.find_unresponsive_agents(8.0, mesh.now)
        self.assertEqual(dead, [name for name, _ in removable])


class TestPlacement(unittest.TestCase):
    """Openings must go by load where the shares by hash would fill a slow server."""

    @params(("no load known", {}, {"a1", "a2"}), ("one full", {"a1": 3.0}, {"a2"}))
    def test_bounded_load(self, _: str, busy: dict, owners: set[str]) -> None:
        agents = {
            "a1": ("dc-a", "desk"),
            "a2": ("dc-a", "desk"),
            "b1": ("dc-b", "desk"),
        }
        mesh = Mesh(agents, {"front-a": "dc-a"})
        for name, value in busy.items():
            mesh.report_load("front-a", name, value)
        placed = {mesh.open_flow("front-a", flow_key(n)) for n in range(6)}
        self.assertEqual(owners, placed)

    def test_all_local_servers_are_full(self) -> None:
        agents = {"a1": ("dc-a", "desk"), "b1": ("dc-b", "desk")}
        mesh = Mesh(agents, {"front-a": "dc-a"})
        mesh.report_load("front-a", "a1", 3.0)
        self.assertEqual("b1", mesh.open_flow("front-a", flow_key(1)))

    @params(
        ("far one is cold too", True, 0, ""),
        ("far one is warm", False, 0, "b1"),
        ("far one is cold, no room to wait", True, 20, "b1"),
    )
    def test_local_server_is_cold(
        self, _: str, remote_is_cold: bool, crowd: int, owner: str
    ) -> None:
        agents = {"a1": ("dc-a", "desk"), "b1": ("dc-b", "desk")}
        mesh = Mesh(agents, {"front-a": "dc-a"})
        mesh.report("a1", cold_seconds=1.9)
        load = LoadReport(True, 0.0, 0, 3, 0, [], cold=remote_is_cold)
        mesh.boards["a1"].record_report("b1", load, mesh.now)
        mesh.routers["front-a"].on_frame("b1", Load(load), mesh.now)
        for number in range(100, 108 + crowd):
            mesh.open_flow("front-a", flow_key(number))
        self.assertEqual(owner, mesh.open_flow("front-a", flow_key(1)))


class TestControlTraffic(unittest.TestCase):
    """Control frames must not grow with the number of hosts far away.

    Load pattern: 136 agents told each of 59 balancers their load, and each of five
    other data centres each flow that opened.
    """

    def test_registrations_elsewhere_are_batched(self) -> None:
        centres = ["dc-a", "dc-b", "dc-c"]
        agents = {f"{dc}{n}": (dc, "desk") for dc in centres for n in range(3)}
        mesh = Mesh(agents, {"front-a": "dc-a"})
        owners = [mesh.open_flow("front-a", flow_key(n)) for n in range(60)]
        near = mesh.frame_counts["Registered"]
        ended = flow_key(0)
        mesh.send(
            "front-a",
            caller_packet(ended, RST, ack=mesh.backends[owners[0]].first_sequence + 1),
        )
        sent = {
            name: rules.pop_remote_registrations()
            for name, rules in mesh.agents.items()
        }
        frames = [effect for effects in sent.values() for effect in effects]
        keys = [key for effect in frames for key in effect.frame.flows]
        # Each open flow is registered in two other data centres, by a few frames.
        self.assertEqual(2 * 59, len(keys))
        self.assertNotIn(ended, keys)
        self.assertLessEqual(len(frames), 3 * 6)
        self.assertLessEqual(near, 60)
        for name in mesh.agents:
            self.assertEqual([], mesh.agents[name].pop_remote_registrations())

    @params(("small service", 7, 6, 6), ("large service", 136, 16, 4))
    def test_siblings(self, _: str, agents: int, chosen: int, far: int) -> None:
        entries = [
            AgentEntry(f"side-{n}", f"10.0.0.{n}", f"dc-{n % 6}", "desk")
            for n in range(1, agents)
        ]
        siblings = select_siblings(entries, "side-0", "dc-0")
        elsewhere = [entry for entry in siblings if entry.data_centre != "dc-0"]
        self.assertLessEqual(len(siblings), chosen)
        self.assertLessEqual(len(elsewhere), far)
        near = [entry for entry in entries if entry.data_centre == "dc-0"]
        self.assertEqual(
            min(len(near), chosen - len(elsewhere)), len(siblings) - len(elsewhere)
        )


class TestSnapshots(unittest.TestCase):
    """Snapshots must not go back when answers arrive out of order."""

    @params(
        ("later snapshot", [(5, ["x"]), (7, ["y"])], {"y"}),
        ("stale snapshot", [(7, ["y"]), (5, ["x"])], {"y"}),
        ("removed", [(5, ["x", "y"]), (9, [])], set()),
    )
    def test_order(self, _: str, answers: list, names: set[str]) -> None:
        snapshot = KindSnapshot()
        for revision, objects in answers:
            snapshot.replace(
                revision, [StoredObject(name, revision, b"{}") for name in objects]
            )
        self.assertEqual(names, set(snapshot.objects))

    def test_change_older_than_the_snapshot_of_a_peer(self) -> None:
        snapshot = KindSnapshot()
        snapshot.replace(9, [])
        item = StoredObject("x", 4, b"{}")
        self.assertFalse(snapshot.apply(8, [ObjectChange(item, removed=False)]))
        self.assertEqual({}, snapshot.objects)


class TestPackets(unittest.TestCase):
    """Malformed datagrams must be refused."""

    @params(b"", b"x" * 30, caller_packet(flow_key(1), ACK, body=b"abc")[:-1])
    def test_malformed(self, data: bytes) -> None:
        with self.assertRaises(PacketError):
            packets.decode_from_caller(data)

    def test_published_example(self) -> None:
        syn = bytes.fromhex(
            "11223344000000000000000000004001bb64400007c61200019c41a1b2c3d5"
        )
        segment = packets.decode_from_caller(syn)
        self.assertTrue(segment.opening)
        self.assertEqual("100.64.0.7:40001>198.18.0.1:443", describe_flow(segment.flow))
        reset = "0000000000000000000000000000089c41c61200016440000701bb00000000"
        self.assertEqual(reset, packets.build_reset(segment.flow, 0).hex())
        tagged = packets.write_tag(syn, 77)
        self.assertEqual(77, packets.decode_from_caller(tagged).tag)
