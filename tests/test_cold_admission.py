"""Openings at cold servers: who waits, comes back or is refused."""

from __future__ import annotations

import unittest

from nose2.tools import params

from berylturn.connection.admission.cold_start import (
    FRESH_ATTEMPT_SECONDS,
    ColdStart,
    Prospect,
    judge_opening,
)
from berylturn.connection.admission.opening_gate import GateBounds, OpeningGate
from berylturn.connection.admission.opening_queue import OpeningQueue, QueuedOpening
from berylturn.connection.peer_frames import Forward
from berylturn.connection.recovery.backend_reports import BackendReport, ProcessStart
from berylturn.platform import packets
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .cold_replay import COLD_LIMIT, SERVERS, ColdReplay
from .passthrough_mesh import SERVICE, SYN, Mesh, caller_packet, flow_key

REPLAY_SECONDS = 8.0
SENT_SECONDS = 4.0
NOW = 100.0
# Openings a second at a cold server of the mesh: its rate times the factor, and slack.
MESH_COLD_LIMIT = 8


def make_opening(
    number: int, useful: float, expires: float, ends: float, arrived: float = 0.0
) -> QueuedOpening:
    """Return a queued opening with its times in seconds from now."""
    segment = packets.decode_from_caller(caller_packet(flow_key(number), SYN))
    frame = Forward("f", "dc-a", 1, "desk", [], True, segment.data)
    times = [NOW + seconds for seconds in (useful, expires, ends)]
    return QueuedOpening(frame, segment, "desk", NOW + arrived, 1, *times)


class TestColdAdmission(unittest.TestCase):
    """All servers restart together, and callers open 2 to 4 times what cold ones take.

    Callers were refused again and again within milliseconds, so a fifth to a third of
    them had used up their retries before the servers were warm.
    """

    @params(
        (2.0, 1.5, 0.59, 0.18),
        (2.0, 2.5, 0.59, 0.15),
        (3.0, 1.5, 0.53, 0.26),
        (3.0, 2.5, 0.53, 0.24),
        (4.0, 1.5, 0.51, 0.36),
        (4.0, 2.5, 0.49, 0.33),
    )
    def test_callers_keep_their_retries(
        self, load: float, deadline: float, least_in_time: float, most_lost: float
    ) -> None:
        replay = ColdReplay(load, 1, deadline=deadline)
        replay.play_for(REPLAY_SECONDS)
        outcomes = replay.count(0.0, SENT_SECONDS)
        sent = outcomes.in_time + outcomes.late + outcomes.lost
        self.assertGreater(outcomes.in_time / sent, least_in_time)
        self.assertLess(outcomes.lost / sent, most_lost)

    @params(2.0, 3.0, 4.0)
    def test_limit_is_kept_and_used(self, load: float) -> None:
        replay = ColdReplay(load, 2)
        replay.play_for(REPLAY_SECONDS)
        busiest = max(replay.busiest_second(name) for name in replay.servers)
        self.assertLessEqual(busiest, COLD_LIMIT)
        # The first reports come after 0.3 to 0.8 s, so two windows of 1.05 s begin.
        self.assertEqual(2 * COLD_LIMIT * SERVERS, replay.cold_openings)


class TestProspects(unittest.TestCase):
    """What can still get a place waits; what can only come back is told when."""

    @params(
        ("in time under the limit", 0.3, 1.3, 2.0, 1.5, 0.2, 0, Prospect.PLACE),
        ("limit admits it too late", 0.3, 1.3, 2.0, 1.5, 0.5, 0, Prospect.NEXT_ATTEMPT),
        ("after the end", 0.3, 1.3, 2.0, 1.2, 1.0, 0, Prospect.PLACE),
        ("many before it then", 0.3, 1.3, 2.0, 1.2, 1.0, 5, Prospect.COME_BACK),
        ("late already", -0.2, 0.7, 2.0, 0.6, 0.1, 0, Prospect.PLACE),
        ("next attempt outlasts it", 0.3, 0.7, 2.0, 1.2, 1.0, 0, Prospect.COME_BACK),
        ("it does not yet", 0.3, 0.7, 2.0, 1.4, 1.0, 0, Prospect.NEXT_ATTEMPT),
        ("request ends before", 0.3, 0.7, 1.0, 1.2, 1.0, 0, Prospect.NONE),
    )
    def test_prospect(
        self,
        _: str,
        useful: float,
        expires: float,
        ends: float,
        cold: float,
        place: float,
        ahead: int,
        expected: Prospect,
    ) -> None:
        opening = make_opening(1, useful, expires, ends)
        prospect = judge_opening(
            opening, ColdStart(NOW + cold, 0.03), NOW + place, ahead, NOW
        )
        self.assertIs(expected, prospect)

    @params((0, 1.0), (10, 1.3), (1_000, 1.0 + FRESH_ATTEMPT_SECONDS))
    def test_backlog_is_bounded_by_one_attempt(self, queued: int, until: float) -> None:
        self.assertAlmostEqual(until, ColdStart(1.0, 0.03).backlog_until(queued))

    @params(("backlog", 1.0, [2, 1, 3]), ("lasting overload", -1.0, [2, 3, 1]))
    def test_late_ones_go_by_the_cause(
        self, _: str, backlog: float, order: list[int]
    ) -> None:
        queue = OpeningQueue()
        queue.add(make_opening(1, -0.5, 0.3, 2.0, arrived=-1.0))
        queue.add(make_opening(2, 0.2, 1.3, 2.0))
        queue.add(make_opening(3, -0.1, 0.8, 2.0, arrived=-0.5))
        queue.backlog_until = NOW + backlog
        flows = [opening.segment.flow for opening in queue.ordered(NOW)]
        self.assertEqual([flow_key(number) for number in order], flows)
        self.assertEqual(backlog < 0, queue.is_congested(NOW))


class TestFewCallers(unittest.TestCase):
    """A cold server serves all callers, if late, where few of them are too many."""

    @params(1, 3, 4)
    def test_those_beyond_the_limit_wait(self, beyond: int) -> None:
        # They were refused at once, as a late place might be taken by later callers.
        mesh = Mesh({"a1": ("dc-a", "desk")}, {"f1": "dc-a"})
        share = (ServiceShare("desk", 1.0),)
        limits = {"desk": ServiceLimits(cold_rate=2.0)}
        mesh.change_table(
            RouteTable(2, {SERVICE: Route("r", share, 1, 0.2, 1.8)}, limits)
        )
        mesh.report("a1", started_ms=6_000, cold_seconds=2.0)
        for number in range(MESH_COLD_LIMIT + beyond):
            mesh.send("f1", caller_packet(flow_key(number), SYN))
        self.assertEqual([], mesh.events("flow_refused"))
        for _ in range(12):
            mesh.advance(0.1)
            mesh.admit_queued("a1")
        self.assertEqual([], mesh.events("flow_refused"))
        admitted = len(mesh.events("flow_admitted"))
        self.assertEqual(MESH_COLD_LIMIT + beyond, admitted)


class TestNextPlace(unittest.TestCase):
    """The agent tells when the limit's window has a place, exactly."""

    @params(
        ("window is free", 0, 0, 0.0),
        ("last place", 0, 4, 0.0),
        ("next window", 0, 5, 1.05),
        ("window is used up", 5, 0, 0.95),
        ("window after that", 5, 5, 2.0),
        ("end of the cold start", 5, 50, 2.9),
    )
    def test_place(self, _: str, used: int, ahead: int, after: float) -> None:
        gate = OpeningGate(GateBounds(1.5, 5.0, 1.2), ProcessStart(NOW - 10.0, 0))
        gate.set_limits(ServiceLimits(cold_seconds=3.0), NOW)
        report = BackendReport("i", 9_900, 1, "desk", "dc-a", "a", 1, False, 3.0)
        gate.record_report(report, NOW - 0.1)
        for number in range(used):
            self.assertIsNone(gate.refusal("desk", NOW - 0.1))
            gate.admit(flow_key(number), NOW - 0.1)
        gate.on_answer()
        self.assertAlmostEqual(NOW + after, gate.next_cold_place(ahead, NOW))
