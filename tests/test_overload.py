"""Overload: what a server cannot process in time waits, moves on or is refused."""

from __future__ import annotations

import unittest

from nose2.tools import params

from berylturn.platform import packets
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .overload_replay import Replay
from .passthrough_mesh import (
    ACK,
    FIN,
    SERVICE,
    Mesh,
    backend_packet,
    caller_packet,
    flow_key,
)

# The letters' and issues' targets: rejected arrivals under 5 %, answers at 90 % of what
# the servers can process throughout, and whole again within 2 s.
MAX_REJECTED_SHARE = 0.05
MIN_GOODPUT = 0.9
RECOVERY_SECONDS = 2.0


class TestLostRequests(unittest.TestCase):
    """A request without an answer must not hold its slot for longer than its caller.

    Load pattern: servers fail without an answer, and their callers leave at their
    deadline without a packet.
    """

    @params(("caller still waits", 0.9, False), ("caller has left", 1.1, True))
    def test_room_after_lost_requests(self, _: str, after: float, free: bool) -> None:
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"front-a": "dc-a"})
        share = (ServiceShare("desk", 1.0),)
        route = Route("r", share, 1, 0.1, timeout_seconds=1.0)
        mesh.change_table(RouteTable(2, {SERVICE: route}, {"desk": ServiceLimits()}))
        mesh.report("a1", slots=1)
        for number in range(8):
            serve_short_flow(mesh, flow_key(number))
        mesh.backends["a1"].mute = True
        limit = mesh.agents["a1"].load_report(mesh.now).slots * 2
        for number in range(100, 100 + limit):
            flow = flow_key(number)
            mesh.open_flow("front-a", flow)
            mesh.send_request("front-a", flow, "a1")
        mesh.now += after
        mesh.report("a1", slots=1)
        mesh.agents["a1"].sweep(mesh.now, 60.0)
        self.assertEqual(free, bool(mesh.open_flow("front-a", flow_key(200))))


def serve_short_flow(mesh: Mesh, flow: bytes) -> None:
    """Open a flow, send one request and close the flow at both ends."""
    mesh.open_flow("front-a", flow)
    mesh.now += 0.01
    mesh.send_request("front-a", flow, "a1")
    mesh.now += 0.02
    ack = mesh.backends["a1"].first_sequence + 1
    mesh.send("front-a", caller_packet(flow, ACK | FIN, ack=ack))
    closing = packets.decode_from_backend(backend_packet(flow, ACK | FIN, ack))
    mesh.agents["a1"].on_backend(closing, mesh.now)


class TestOverload(unittest.TestCase):
    """Each request opens a flow, and servers of unlike speed are nearly or over full.

    Agents admitted whatever arrived, so the servers' queues grew until they rejected
    half of the requests, and callers' retries kept it so.
    """

    @params(1, 2, 3)
    def test_nearly_full(self, seed: int) -> None:
        replay = Replay(7, seed)
        replay.play([(8.0, 0.9)])
        self.assertLess(replay.rejected_share, MAX_REJECTED_SHARE)
        self.assertGreater(replay.share_in_aim(2.0, 8.0), MIN_GOODPUT)

    @params(1, 2, 3)
    def test_storm_ends_with_its_cause(self, seed: int) -> None:
        replay = Replay(7, seed)
        replay.play([(2.0, 0.8), (10.0, 1.5), (6.0, 0.8)])
        self.assertLess(replay.rejected_share, MAX_REJECTED_SHARE)
        self.assertGreater(replay.served_per_capacity(3.0, 12.0), MIN_GOODPUT)
        whole_from = 12.0 + RECOVERY_SECONDS
        self.assertGreater(replay.share_in_aim(whole_from, 18.0), MIN_GOODPUT)
