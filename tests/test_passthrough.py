"""Tables for flows without a token: rules of balancers and agents, in virtual time."""

from __future__ import annotations

import unittest

from nose2.tools import params

from .passthrough_mesh import Mesh, flow_key, make_table

SEVEN = {
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
    """Keep open flows whatever the balancers know."""

    @params("front-a", "front-b", "fresh-a", "fresh-c")
    def test_any_balancer_finds_an_open_flow(self, balancer: str) -> None:
        mesh = Mesh(SEVEN, BALANCERS)
        mesh.start_balancer("fresh-a", "dc-a")
        mesh.start_balancer("fresh-c", "dc-c")
        for number in range(20):
            flow = flow_key(number)
            owner = mesh.open_flow("front-a", flow)
            self.assertTrue(mesh.ask(balancer, flow, owner), owner)

    @params(
        ("agent of the owner", ("owner",)),
        ("all agents", ("a1", "a2", "b1", "b2", "c1", "r1", "r2")),
    )
    def test_flow_outlives_restarted_agents(self, _: str, names: tuple) -> None:
        mesh = Mesh(SEVEN, BALANCERS)
        flows = {}
        for number in range(20):
            flows[flow_key(number)] = mesh.open_flow("front-a", flow_key(number))
        for name in SEVEN if len(names) > 1 else [flows[flow_key(0)]]:
            mesh.start_agent(name, reported=False)
        mesh.start_balancer("front-a", "dc-a")
        for flow, owner in flows.items():
            self.assertTrue(mesh.ask("front-a", flow, owner), owner)

    @params(
        ("moved to another service", {"room": 1.0}),
        ("shared with another service", {"room": 99.0, "desk": 1.0}),
    )
    def test_open_flow_stays_when_its_route_moves(self, _: str, shares: dict) -> None:
        mesh = Mesh(SEVEN, BALANCERS)
        flows = {}
        for number in range(20):
            flows[flow_key(number)] = mesh.open_flow("front-a", flow_key(number))
        mesh.change_table(make_table(2, **shares))
        for balancer in ("front-b", "fresh"):
            mesh.start_balancer("fresh", "dc-c")
            for flow, owner in flows.items():
                self.assertTrue(mesh.ask(balancer, flow, owner), (balancer, owner))
