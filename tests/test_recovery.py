"""Test how flows are found or ended after hosts have lost power, in virtual time."""

from __future__ import annotations

import unittest

from nose2.tools import params

from .passthrough_mesh import ACK, FIN, RST, SYN, Mesh, caller_packet, flow_key

AGENTS = {
    **{f"a{n}": ("dc-a", "desk") for n in range(3)},
    **{f"b{n}": ("dc-b", "desk") for n in range(3)},
    **{f"c{n}": ("dc-c", "desk") for n in range(2)},
}
BALANCERS = {"front-a": "dc-a", "front-b": "dc-b"}
# Time after a packet within which its caller is told that the flow is lost: much less
# than the 1.5 s for which callers wait for an answer.
TOLD_SECONDS = 0.5


def lose_power(mesh: Mesh, names: set[str], gone: set[str], **report: object) -> None:
    """Restart agents with their servers, apart from those servers that are gone."""
    mesh.known_seconds = 0.1
    for name in names:
        mesh.backends[name].flows.clear()
        mesh.backends[name].dead = name in gone
        mesh.start_agent(name, reported=False)
    for name in names - gone:
        mesh.report(name, **{"started_ms": 2, "cold_seconds": 1.9, **report})


class TestServersThatStayAway(unittest.TestCase):
    """A server that does not come back must not keep callers of dead flows waiting.

    Load pattern: everything loses power while servers leave, and every caller then
    sends on a flow that is dead.
    """

    @params(
        ("one", {"b1"}),
        ("first in the order of some flows", {"a0"}),
        ("one of two in its data centre", {"c0"}),
        ("several", {"a1", "b1", "c0"}),
    )
    def test_power_loss(self, _: str, gone: set[str]) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flows = [flow_key(number) for number in range(30)]
        owners = {flow: mesh.open_flow("front-a", flow) for flow in flows}
        lose_power(mesh, set(AGENTS), gone)
        mesh.start_balancer("front-a", "dc-a")
        for flow in flows:
            mesh.send_request("front-a", flow, owners[flow])
        mesh.advance(2 * TOLD_SECONDS)
        self.assertEqual([], [f for f in flows if not mesh.was_reset(f)])
        # From then on a caller is told at its first packet.
        later = [flow_key(number) for number in range(30, 60)]
        for flow in later:
            mesh.send_request("front-a", flow, "a2")
        self.assertEqual([], [f for f in later if not mesh.was_reset(f)])
        ended = len(mesh.events("flow_not_found"))
        mesh.advance(1.0)
        self.assertEqual(ended, len(mesh.events("flow_not_found")))

    @params(
        ("of one data centre", {"a0", "a1", "a2"}, "a1", True),
        ("of hosts that are restarted one by one", {"a1"}, "a1", False),
    )
    def test_some_hosts_restart(
        self, _: str, names: set[str], gone: str, ended: bool
    ) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        lose_power(mesh, names, {gone})
        mesh.known_seconds = 60.0
        # No agent has this flow in its table.
        flow = flow_key(1)
        mesh.send_request("front-a", flow, "a0")
        mesh.advance(2 * TOLD_SECONDS)
        self.assertEqual(ended, mesh.was_reset(flow))

    def test_agent_restarted_later_beside_a_server_that_hangs(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        lose_power(mesh, set(AGENTS), set())
        mesh.now += 10.0
        mesh.known_seconds = 10.0
        for name in AGENTS:
            mesh.report(name, started_ms=2)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.backends[owner].dead = True
        mesh.start_agent(owner, reported=False)
        mesh.start_balancer("front-a", "dc-a")
        mesh.send_request("front-a", flow, owner)
        mesh.advance(2.0)
        self.assertFalse(mesh.was_reset(flow))

    def test_search_ends_when_the_owner_gets_the_packet(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        for name in AGENTS:
            mesh.report_load("front-a", name, 0.0 if name == "b1" else 9.0)
        flow = flow_key(1)
        mesh.send("front-a", caller_packet(flow, SYN))
        self.assertIn(flow, mesh.backends["b1"].flows)
        self.assertTrue(mesh.send_request("front-b", flow, "b1"))
        mesh.advance(2.5)
        self.assertEqual([], mesh.events("flow_search_expired"))

    def test_no_server_of_a_data_centre_is_heard(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        self.assertEqual("a", owner[0])
        near = {name for name in AGENTS if name[0] == "a"}
        lose_power(mesh, set(AGENTS) - near, set())
        for name in near:
            # These servers live on, but hang.
            mesh.backends[name].dead = True
            mesh.start_agent(name, reported=False)
        mesh.send_request("front-a", flow, owner)
        mesh.advance(1.0)
        mesh.send_request("front-b", flow, owner)
        mesh.advance(1.0)
        self.assertFalse(mesh.was_reset(flow))

    def test_servers_that_crash_after_a_restart_of_all_agents(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.backends[owner].dead = True
        for name in AGENTS:
            mesh.start_agent(name, reported=False)
        mesh.now += 4.0
        for name in set(AGENTS) - {owner}:
            mesh.report(name, started_ms=4000, cold_seconds=2.0)
        mesh.send_request("front-a", flow, owner)
        mesh.advance(1.0)
        self.assertFalse(mesh.was_reset(flow))

    @params(("leads the search", "a0"), ("is asked by another agent", "b1"))
    def test_packet_offered_before_the_server_has_started(
        self, _: str, late: str
    ) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        lose_power(mesh, set(AGENTS), {late})
        flows = [flow_key(number) for number in range(10)]
        for flow in flows:
            mesh.send_request("front-a", flow, "a0")
        mesh.now += 0.1
        mesh.backends[late].dead = False
        mesh.report(late, started_ms=3, cold_seconds=1.9)
        mesh.advance(0.1)
        self.assertEqual([], [f for f in flows if not mesh.was_reset(f)])

    @params(
        ("request", ACK, b"GET", True),
        ("request that is the last", ACK | FIN, b"GET", True),
        ("end of the flow", ACK | FIN, b"", True),
        ("acknowledgement", ACK, b"", False),
        ("reset", RST, b"", False),
    )
    def test_packets_of_a_dead_flow(
        self, _: str, flags: int, body: bytes, ended: bool
    ) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        lose_power(mesh, set(AGENTS), set())
        flow = flow_key(1)
        mesh.send("front-a", caller_packet(flow, flags, body=body))
        self.assertEqual(ended, mesh.was_reset(flow))

    def test_log_of_the_agents_that_a_search_waits_for(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        lose_power(mesh, set(AGENTS), set())
        mesh.down = {"b1"}
        mesh.send_request("front-a", flow_key(1), "a0")
        mesh.advance(1.0)
        self.assertEqual({"b1": 1}, mesh.events("searches_wait")[0]["agents"])

    def test_server_that_has_not_reported_yet_answers(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        lose_power(mesh, set(AGENTS) - {owner}, set())
        mesh.start_agent(owner, reported=False)
        mesh.start_balancer("front-a", "dc-a")
        self.assertTrue(mesh.send_request("front-a", flow, owner))
        mesh.advance(1.0)
        self.assertFalse(mesh.was_reset(flow))
        self.assertFalse(mesh.agents[owner].has_lost_server(mesh.now))

    @params(("closed port", True, True), ("no answer", False, False))
    def test_crashed_server_and_restarted_agents(
        self, _: str, refused: bool, ended: bool
    ) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.backends[owner].dead = True
        for name in AGENTS:
            mesh.start_agent(name, reported=name != owner)
        if refused:
            mesh.agents[owner].on_backend_down("backend_refused")
        mesh.start_balancer("front-a", "dc-a")
        mesh.send_request("front-a", flow, owner)
        mesh.advance(1.0)
        self.assertEqual(ended, mesh.was_reset(flow))

    @params(("gone", True, True), ("alive", False, False))
    def test_agent_that_is_stopped(self, _: str, gone: bool, removed: bool) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        mesh.backends[owner].dead = gone
        mesh.start_agent(owner, reported=False)
        mesh.start_balancer("front-a", "dc-a")
        mesh.send_request("front-a", flow, owner)
        mesh.advance(0.5)
        self.assertEqual(removed, mesh.agents[owner].has_lost_server(mesh.now))

    def test_directory_that_is_confirmed_a_moment_later(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        lose_power(mesh, set(AGENTS), set())
        mesh.uncertain.update(AGENTS)
        mesh.start_balancer("front-a", "dc-a")
        mesh.send_request("front-a", flow, owner)
        mesh.advance(0.2)
        self.assertFalse(mesh.was_reset(flow))
        mesh.uncertain.clear()
        mesh.advance(0.1)
        self.assertTrue(mesh.was_reset(flow))

    @params(
        ("all lost power, no report yet", True, False, True),
        ("all lost power, server has reported", True, True, False),
        ("rolling restart", False, False, False),
        ("late deregistration after the first report", True, None, False),
    )
    def test_agent_that_is_stopped_beside_a_living_server(
        self, _: str, power_lost: bool, reported: bool | None, dispensable: bool
    ) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        flow = flow_key(1)
        owner = mesh.open_flow("front-a", flow)
        if power_lost:
            lose_power(mesh, set(AGENTS) - {owner}, set())
        mesh.start_agent(owner, reported=False)
        if reported is not False:
            mesh.report(owner)
        if reported is None:
            mesh.gates[owner].deregister(f"i-{owner}")
        # Searches tell the agents of these data centres of all others.
        for number in range(10, 40):
            packet = caller_packet(flow_key(number), ACK, body=b"GET")
            mesh.send("front-a", packet)
            mesh.send("front-b", packet)
        mesh.advance(0.1)
        rules = mesh.agents[owner]
        self.assertEqual(dispensable, rules.has_lost_server(mesh.now))
        for name, other in mesh.agents.items():
            if name != owner and name[0] != "c":
                said = other.has_lost_power(owner, mesh.now)
                self.assertEqual(dispensable, said, name)

    @params(("lost power", True), ("alive, in a rolling restart", False))
    def test_word_of_an_agent_that_is_stopped(self, _: str, lost: bool) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        if lost:
            lose_power(mesh, set(AGENTS), {"c0"})
        flow = flow_key(1)
        mesh.backends["c0"].dead = True
        mesh.start_agent("c0", reported=False)
        mesh.send_request("front-a", flow, "a0")
        mesh.advance(0.5)
        before = len(mesh.events("flow_not_found"))
        mesh.stop_agent("c0")
        mesh.down = {"c0"}
        for _try in range(2):
            mesh.send_request("front-a", flow, "a0")
            mesh.advance(0.4)
        decisions = mesh.events("flow_not_found")[before:]
        self.assertEqual(2 * lost, sum(fields["ended"] for fields in decisions))

    def test_search_goes_on_without_an_agent_that_leaves(self) -> None:
        mesh = Mesh(AGENTS, BALANCERS)
        owners = {flow_key(n): "" for n in range(20)}
        for flow in owners:
            owners[flow] = mesh.open_flow("front-a", flow)
        lose_power(mesh, set(AGENTS), {"a1"})
        mesh.start_balancer("front-a", "dc-a")
        for flow, owner in owners.items():
            mesh.send_request("front-a", flow, owner)
        mesh.down = {"a1"}
        mesh.advance(0.2)
        mesh.entries = [entry for entry in mesh.entries if entry.name != "a1"]
        for rules in mesh.agents.values():
            rules.set_agents(mesh.directory().by_service, frozenset())
        mesh.advance(0.5)
        # Packets that the leaving agent was to search for itself are lost.
        for flow, owner in owners.items():
            mesh.configure_balancer("front-a")
            mesh.send_request("front-a", flow, owner)
        self.assertEqual([], [f for f in owners if not mesh.was_reset(f)])
