"""Second offers: overdue openings of repeatable requests go to a second agent."""

from __future__ import annotations

import unittest
from functools import cache

from nose2.tools import params

from berylturn.connection.admission.second_offers import (
    AnswerTimes,
    OfferBudget,
    SecondOfferLimits,
)
from berylturn.connection.passthrough_effects import ToPeer
from berylturn.connection.peer_frames import (
    FIRST_OFFER,
    SECOND_OFFER,
    SINGLE_OFFER,
    Forward,
    Load,
    LoadReport,
    Refused,
    decode_frame,
    encode_frame,
)
from berylturn.errors import PacketError
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

from .passthrough_mesh import ACK, SERVICE, SYN, Mesh, caller_packet, flow_key
from .stall_replay import StallReplay

SHARE = 0.02
DELAY_SECONDS = 0.05
# Openings that fill the budget by one offer at `SHARE`.
OPENINGS_PER_OFFER = 50
REPLAY_SEEDS = (1, 2, 3)
REPLAY_LOAD = 0.3


class OfferMesh(Mesh):
    """Balancers and agents of a service whose requests may be repeated."""

    offer_limits = SecondOfferLimits(SHARE, DELAY_SECONDS)

    def __init__(
        self, agents: dict[str, tuple[str, str]], repeatable: bool = True
    ) -> None:
        super().__init__(agents, {"front-a": "dc-a"})
        shares = (ServiceShare("desk", 1.0),)
        route = Route("r", shares, repeatable=repeatable)
        limits = {"desk": ServiceLimits(cold_rate=2.0), "room": ServiceLimits()}
        self.change_table(RouteTable(2, {SERVICE: route}, limits))

    def hear_load(self, name: str, **changes: object) -> None:
        """Let the balancer hear the load of an agent."""
        values = {
            "accepting": True, "busy": 0.0, "running": 0, "slots": 3, "flows": 0,
            "newest": [],
        }  # fmt: skip
        load = LoadReport(**{**values, **changes})
        self.routers["front-a"].on_frame(name, Load(load), self.now)

    def fill_budget(self, offers: int = 1) -> None:
        """Open and answer the flows that allow a number of second offers."""
        for number in range(OPENINGS_PER_OFFER * offers):
            self.open_flow("front-a", flow_key(30_000 + number))

    def open_late(self, flow: bytes) -> list[Forward]:
        """Open a flow at an agent that is away; return the second offers."""
        router = self.routers["front-a"]
        first = self.placed_at(flow)
        self.down.add(first)
        self.send("front-a", caller_packet(flow, SYN))
        self.now += DELAY_SECONDS + 0.001
        effects = router.offer_overdue(self.now)
        self._run_effects("front-a", effects)
        return [e.frame for e in effects if type(e) is ToPeer]

    def placed_at(self, flow: bytes) -> str:
        """Return the agent that an opening of a flow would go to."""
        probe = OfferMesh({e.name: (e.data_centre, e.service) for e in self.entries})
        return probe.open_flow("front-a", flow)


AGENTS = {"a1": ("dc-a", "desk"), "a2": ("dc-a", "desk")}


class TestOverdueOpening(unittest.TestCase):
    """An agent is away and has not answered an opening."""

    def test_second_agent_admits(self) -> None:
        mesh, flow = OfferMesh(AGENTS), flow_key(1)
        mesh.fill_budget()
        first = mesh.placed_at(flow)
        second = next(name for name in AGENTS if name != first)
        mesh.hear_load(second)
        offers = mesh.open_late(flow)
        self.assertEqual([SECOND_OFFER], [frame.offer for frame in offers])
        self.assertIn(flow, mesh.backends[second].flows)
        self.assertEqual([second], [e["to"] for e in mesh.events("second_offer_won")])
        self.assertTrue(mesh.send_request("front-a", flow, second))

    @params((True, FIRST_OFFER, 1), (False, SINGLE_OFFER, 0))
    def test_only_repeatable_requests(
        self, repeatable: bool, kind: int, offers: int
    ) -> None:
        mesh, flow = OfferMesh(AGENTS, repeatable), flow_key(1)
        mesh.fill_budget()
        for name in AGENTS:
            mesh.hear_load(name)
        segment = caller_packet(flow, SYN)
        sent: list[Forward] = []
        router = mesh.routers["front-a"]
        forward = router._forward
        router._forward = lambda *args: sent.append(forward(*args)) or sent[-1]
        mesh.down.update(AGENTS)
        mesh.send("front-a", segment)
        self.assertEqual([kind], [effect.frame.offer for effect in sent])
        mesh.now += DELAY_SECONDS + 0.001
        self.assertEqual(offers, len(router.offer_overdue(mesh.now)))

    def test_off_without_a_share(self) -> None:
        mesh = OfferMesh(AGENTS)
        mesh.offer_limits = SecondOfferLimits(0.0, DELAY_SECONDS)
        mesh.start_balancer("front-a", "dc-a")
        mesh.fill_budget(2)
        self.assertEqual([], mesh.open_late(flow_key(1)))
        self.assertEqual(0, mesh.frame_counts["Refused"])

    @params(
        ("other data centre", {}, ("dc-b", "desk"), "no_other_server"),
        ("other service", {}, ("dc-a", "room"), "no_other_server"),
        ("no report", None, ("dc-a", "desk"), "load"),
        ("cold", {"cold": True}, ("dc-a", "desk"), "cold"),
        ("its agent stops", {"stopping": True}, ("dc-a", "desk"), "stopping"),
        ("draining", {"accepting": False}, ("dc-a", "desk"), "load"),
        ("ejected", {"ejected_ms": 500}, ("dc-a", "desk"), "load"),
        ("busy", {"busy": 2.0}, ("dc-a", "desk"), "load"),
        ("backlog", {"short_flows": True, "outstanding": 60}, ("dc-a", "desk"), "load"),
    )
    def test_withheld(
        self, _: str, report: dict | None, place: tuple[str, str], reason: str
    ) -> None:
        mesh = OfferMesh({"a1": ("dc-a", "desk")})
        mesh.fill_budget()
        entry = mesh.entries[0]
        mesh.entries.append(
            type(entry)("b1", "b1", *place, 0.000001)  # Ranks after the first.
        )
        mesh.configure_balancer("front-a")
        if report is not None:
            mesh.hear_load("b1", **report)
        mesh.down.update(("a1", "b1"))
        mesh.send("front-a", caller_packet(flow_key(1), SYN))
        mesh.now += DELAY_SECONDS + 0.001
        self.assertEqual([], mesh.routers["front-a"].offer_overdue(mesh.now))
        reasons = [event["reason"] for event in mesh.events("second_offer_withheld")]
        self.assertEqual([reason], reasons)

    def test_withheld_during_an_evacuation(self) -> None:
        mesh, flow = OfferMesh(AGENTS), flow_key(1)
        mesh.fill_budget()
        for name in AGENTS:
            mesh.hear_load(name)
        router = mesh.routers["front-a"]
        router.set_directory(mesh.directory(), frozenset({"dc-c"}))
        self.assertEqual([], mesh.open_late(flow))

    def test_withheld_beyond_the_budget(self) -> None:
        mesh = OfferMesh(AGENTS)
        for name in AGENTS:
            mesh.hear_load(name)
        self.assertEqual([], mesh.open_late(flow_key(1)))
        reasons = [event["reason"] for event in mesh.events("second_offer_withheld")]
        self.assertEqual(["budget"], reasons)


class TestRefusals(unittest.TestCase):
    """Two agents have an opening, so that the refusal of one says nothing."""

    def setUp(self) -> None:
        self.mesh, self.flow = OfferMesh(AGENTS), flow_key(1)
        self.mesh.fill_budget()
        self.first = self.mesh.placed_at(self.flow)
        self.second = next(name for name in AGENTS if name != self.first)
        self.mesh.hear_load(self.second)

    def refuse(self, host: str) -> list:
        """Let the balancer hear that an agent refuses the opening."""
        load = self.mesh.agents[host].load_report(self.mesh.now)
        frame = Refused(self.flow, 0, host, load)
        return self.mesh.routers["front-a"].on_frame(host, frame, self.mesh.now)

    def test_first_refuses_late(self) -> None:
        self.mesh.open_late(self.flow)
        self.assertEqual([], self.refuse(self.first))
        self.assertFalse(self.mesh.was_reset(self.flow))

    def test_both_refuse(self) -> None:
        self.mesh.backends[self.second].full = True
        self.mesh.open_late(self.flow)
        self.assertFalse(self.mesh.was_reset(self.flow))
        self.assertEqual(1, len(self.refuse(self.first)))
        self.assertEqual([], self.refuse(self.first), "a duplicated refusal")

    def test_refused_before_a_second_offer(self) -> None:
        self.mesh.report(self.first, draining=True)
        self.mesh.report(self.second, draining=True)
        self.mesh.send("front-a", caller_packet(self.flow, SYN))
        self.assertTrue(self.mesh.was_reset(self.flow))

    def test_refusal_after_the_balancer_restarted(self) -> None:
        self.mesh.open_late(self.flow)
        self.mesh.start_balancer("front-a", "dc-a")
        self.assertEqual([], self.refuse(self.first))

    def test_caller_has_accepted_an_answer(self) -> None:
        self.mesh.down.update(AGENTS)
        self.mesh.send("front-a", caller_packet(self.flow, SYN))
        self.mesh.send("front-a", caller_packet(self.flow, ACK, ack=500))
        self.assertEqual([], self.refuse(self.first))

    @params(
        b"\x96\x0b\xc4\x0cabcdefghijkl\x00\xa2a1\x90",
        encode_frame(Forward("o", "d", 1, "s", [], True, b"x", offer=2))[:-1] + b"\x03",
    )
    def test_malformed_frames(self, data: bytes) -> None:
        with self.assertRaises(PacketError):
            decode_frame(data)


class TestLimits(unittest.TestCase):
    """The budget and the time after which an answer is overdue."""

    @params((0.0, 0), (0.01, 10), (0.02, 20), (0.05, 50))
    def test_budget(self, share: float, offers: int) -> None:
        budget = OfferBudget()
        taken = 0
        for _ in range(1000):
            budget.add_opening(share)
            taken += budget.take()
        self.assertAlmostEqual(offers, taken, delta=1)
        self.assertLessEqual(taken, offers)

    def test_saved_budget_is_bounded(self) -> None:
        budget = OfferBudget()
        for _ in range(100_000):
            budget.add_opening(SHARE)
        self.assertEqual(10, sum(budget.take() for _ in range(100)))

    def test_overdue_follows_the_answers(self) -> None:
        times = AnswerTimes()
        for number in range(256):
            times.record(0.2 if number % 10 == 0 else 0.002)
        self.assertEqual(0.2, times.overdue_seconds)
        for _ in range(256):
            times.record(0.002)
        self.assertEqual(0.002, times.overdue_seconds)


@cache
def replay_stalls(share: float) -> tuple[float, float, float, float]:
    """Return offers per flow, and the median, 99th and 99.9th percentile."""
    seconds: list[float] = []
    offers = openings = 0
    for seed in REPLAY_SEEDS:
        replay = StallReplay(8, seed, share)
        replay.play([(20.0, REPLAY_LOAD)])
        seconds += [
            request.answered_at - request.sent_at for request in replay.requests
        ]
        offers += len(replay.events("second_offer"))
        openings += replay.openings
    seconds.sort()
    middle, late, latest = (
        seconds[int(quantile * len(seconds))] for quantile in (0.5, 0.99, 0.999)
    )
    return offers / openings, middle, late, latest


class TestReplay(unittest.TestCase):
    """One of twenty requests takes long, and agents stall for 300 ms now and then."""

    @params(0.01, 0.02, 0.05)
    def test_slowest_answers(self, share: float) -> None:
        offers, middle, late, latest = replay_stalls(share)
        offers_without, middle_without, late_without, latest_without = replay_stalls(0)
        self.assertEqual(0, offers_without)
        self.assertLessEqual(offers, share)
        self.assertLess(latest, latest_without)
        self.assertLessEqual(late, 1.05 * late_without)
        self.assertLessEqual(middle, 1.05 * middle_without)

    def test_requests_that_must_not_be_repeated(self) -> None:
        replay = StallReplay(8, 1, 0.05, repeatable=False)
        replay.play([(15.0, REPLAY_LOAD)])
        self.assertEqual([], replay.events("second_offer"))
