"""Tests of detours through a third data centre around a cut, in virtual time."""

from __future__ import annotations

import unittest

from nose2.tools import params

from berylturn.connection.peer_frames import (
    Detour,
    PathProbe,
    decode_frame,
    encode_frame,
)
from berylturn.connection.recovery.detours import (
    HEARD_SECONDS,
    MAX_RELAYED_BYTES,
    MAX_RELAYS_TRIED,
    RELAY_TIMEOUT_SECONDS,
    RETRY_SECONDS,
    Detours,
)
from berylturn.version.owners import AgentEntry

from .passthrough_mesh import Mesh, flow_key

# Time between two copies of a caller's packet, from its first retransmission on.
COPY_SECONDS = 0.2
AGENTS = {
    "b1": ("dc-b", "desk"),
    "c1": ("dc-c", "room"),
    "c2": ("dc-c", "room"),
}
BALANCERS = {"fa": "dc-a"}


class CutMesh(Mesh):
    """Nodes whose frames take detours, with links that may be cut one way."""

    def __init__(self) -> None:
        self.cut: set[tuple[str, str]] = set()
        self.detours: dict[str, Detours] = {}
        self.relayed_by: list[str] = []
        self.ways: list[tuple[str, str]] = []
        super().__init__(AGENTS, BALANCERS)
        places = {**{name: place for name, (place, _) in AGENTS.items()}, **BALANCERS}
        for name, data_centre in places.items():
            detours = Detours(
                name,
                data_centre,
                lambda event, **inputs: self.ways.append((event, inputs["host"])),
            )
            detours.set_agents({entry.host: entry for entry in self.entries})
            self.detours[name] = detours
            self.boards[name].list_detoured = detours.list_hosts
        self.probe()

    def probe(self) -> None:
        """Let each node probe hosts of other data centres directly."""
        for name, detours in self.detours.items():
            for host in detours.list_probed_hosts(self.now):
                if self.passes(name, host) and self.passes(host, name):
                    detours.record_probe_answer(host, self.now)
                    self.boards[name].record_alive(host, self.now)

    def passes(self, sender: str, receiver: str) -> bool:
        """Tell whether the direct way from one node to another works."""
        is_cut = (sender, receiver) in self.cut
        return not is_cut and super()._reaches(sender, receiver)

    def _reaches(self, sender: str, receiver: str) -> bool:
        is_overdue = self.boards[sender].is_overdue(receiver, self.now)
        relay = self.detours[sender].choose_relay(receiver, is_overdue, self.now)
        if relay is None:
            passed = self.passes(sender, receiver)
            if passed:
                self.detours[receiver].record_direct(sender, self.now)
            return passed
        passed = (
            self.passes(sender, relay)
            and self.passes(relay, receiver)
            and self.detours[relay].may_relay(receiver, 1, self.now)
        )
        if passed:
            self.relayed_by.append(relay)
            self.detours[receiver].record_relayed(sender, relay, self.now)
        is_probed = self.detours[sender].is_probe_due(receiver, self.now)
        if passed and is_probed and self.passes(receiver, relay):
            self.detours[sender].record_relayed(receiver, relay, self.now)
        return passed

    def copies_until_answered(self, flow: bytes) -> int:
        """Send a request and its copies; return how many it takes, at most 6."""
        for copy in range(1, 7):
            if self.send_request("fa", flow, "b1"):
                return copy
            self.advance(COPY_SECONDS)
        return 7


class TestCut(unittest.TestCase):
    """Open flows across a cut go on, while a third data centre reaches both ends."""

    @params(
        ("both ways", {("fa", "b1"), ("b1", "fa")}, set(), 2),
        ("answers only", {("b1", "fa")}, set(), 1),
        ("first relay down", {("fa", "b1"), ("b1", "fa")}, {0}, 5),
    )
    def test_open_flow(
        self, _: str, cut: set[tuple[str, str]], relays_down: set[int], copies: int
    ) -> None:
        mesh = CutMesh()
        flow = flow_key(1)
        self.assertEqual("b1", mesh.open_flow("fa", flow))
        mesh.advance(1.1)
        mesh.probe()
        mesh.cut = cut
        self.assertEqual([], mesh.relayed_by)
        self.assertLessEqual(mesh.copies_until_answered(flow), copies)
        if relays_down:
            mesh.down = {mesh.ways[0] and self._relay_of(mesh)}
        mesh.advance(1.1)
        self.assertLessEqual(mesh.copies_until_answered(flow), copies)
        self.assertIn(("detour_started", "b1"), mesh.ways)
        self.assertFalse(mesh.was_reset(flow))

    def _relay_of(self, mesh: CutMesh) -> str:
        return mesh.relayed_by[-1]

    def test_new_flows_avoid_a_detour(self) -> None:
        mesh = CutMesh()
        flow = flow_key(1)
        mesh.open_flow("fa", flow)
        mesh.advance(1.1)
        mesh.cut = {("fa", "b1"), ("b1", "fa")}
        mesh.copies_until_answered(flow)
        self.assertFalse(mesh.boards["fa"].accepts("b1", mesh.now))

    def test_healed_cut(self) -> None:
        mesh = CutMesh()
        flow = flow_key(1)
        mesh.open_flow("fa", flow)
        mesh.advance(1.1)
        mesh.cut = {("fa", "b1"), ("b1", "fa")}
        mesh.copies_until_answered(flow)
        mesh.cut = set()
        mesh.probe()
        before = len(mesh.relayed_by)
        self.assertEqual(1, mesh.copies_until_answered(flow))
        self.assertEqual(before, len(mesh.relayed_by))
        self.assertEqual(("detour_ended", "b1"), mesh.ways[-1])
        self.assertTrue(mesh.boards["fa"].accepts("b1", mesh.now))

    def test_no_cut_takes_no_detour(self) -> None:
        mesh = CutMesh()
        flow = flow_key(1)
        mesh.open_flow("fa", flow)
        for _ in range(10):
            mesh.advance(0.5)
            self.assertEqual(1, mesh.copies_until_answered(flow))
        self.assertEqual([], mesh.relayed_by)
        self.assertEqual([], mesh.ways)


def make_detours(heard_at: float) -> Detours:
    """Return the detours of a node in dc-a that has heard all agents."""
    detours = Detours("fa", "dc-a", lambda event, **inputs: None)
    places = {"a1": "dc-a", **{name: place for name, (place, _) in AGENTS.items()}}
    entries = [AgentEntry(n, n, place, "desk", 1.0) for n, place in places.items()]
    detours.set_agents({entry.host: entry for entry in entries})
    for host in places:
        detours.record_direct(host, heard_at)
    return detours


class TestChoice(unittest.TestCase):
    """When a frame takes a detour, and by which relay."""

    @params(
        ("answers in time", "b1", False, 100.0, False),
        ("overdue", "b1", True, 100.0, True),
        ("overdue in the own data centre", "a1", True, 100.0, False),
        ("overdue and not an agent", "f9", True, 100.0, False),
        ("no relay heard lately", "b1", True, 100.0 - HEARD_SECONDS - 1, False),
    )
    def test_choice(
        self, _: str, host: str, is_overdue: bool, heard_at: float, detour: bool
    ) -> None:
        relay = make_detours(heard_at).choose_relay(host, is_overdue, 100.0)
        self.assertEqual(detour, relay is not None)
        if detour:
            self.assertIn(relay, ("c1", "c2"))

    def test_dead_host_gets_few_relays(self) -> None:
        detours, now = make_detours(100.0), 100.0
        chosen = []
        while now < 100.0 + RETRY_SECONDS:
            relay = detours.choose_relay("b1", True, now)
            if relay is not None and relay not in chosen:
                chosen.append(relay)
            detours.is_probe_due("b1", now)
            now += RELAY_TIMEOUT_SECONDS / 4
        self.assertEqual(MAX_RELAYS_TRIED, len(chosen))
        self.assertIsNone(detours.choose_relay("b1", True, now))

    def test_relayed_bytes_are_bounded(self) -> None:
        detours = make_detours(100.0)
        frames = [detours.may_relay("b1", MAX_RELAYED_BYTES // 4, 100.0)] * 4
        self.assertEqual([True] * 4, frames)
        allowed = [
            detours.may_relay("b1", MAX_RELAYED_BYTES // 4, 100.5) for _ in range(6)
        ]
        self.assertEqual([True, True, True, False, False, False], allowed)
        self.assertTrue(detours.may_relay("b1", 1, 101.0))
        self.assertFalse(detours.may_relay("f9", 1, 101.0))

    @params(
        (Detour("10.0.0.1", "10.0.0.2", b"\x00" * 1290),),
        (PathProbe(is_answer=True),),
    )
    def test_frames(self, frame: Detour | PathProbe) -> None:
        data = encode_frame(frame)
        self.assertEqual(frame, decode_frame(data))
        self.assertLess(len(data), 1400)
