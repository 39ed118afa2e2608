"""Outliers: servers that fail what they accept get no new flows for a time."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable

from nose2.tools import params

from berylturn.connection.peer_frames import Forward, LoadReport
from berylturn.connection.placement.outcome_counts import Outcome, OutcomeCounts
from berylturn.connection.placement.outliers import (
    Evidence,
    OutlierJudge,
    OutlierRules,
    SiblingState,
    Standing,
)
from berylturn.platform import packets
from berylturn.platform.start import apply_terms
from berylturn.process.settings import (
    NodeSection,
    OutliersSection,
    PassthroughBalancerSettings,
    PlatformSection,
)

from .overload_replay import Replay
from .passthrough_mesh import (
    ACK,
    FIN,
    RST,
    START,
    SYN,
    Mesh,
    backend_packet,
    caller_packet,
    flow_key,
)
from .test_load_reports import FAR, NEAR, make_daemon

SERVERS = 8
SHARE = 0.3
ALLOWED = 2
# The servers fail in this span of the replay, at half of their full load.
FAILS_FROM, FAILS_UNTIL, ENDS_AT = 2.0, 6.0, 14.0
LOAD = 0.5
EJECT = OutlierRules(enabled=True, enforced=True, largest_share=SHARE)
OBSERVE = OutlierRules(enabled=True, enforced=False, largest_share=SHARE)
OFF = OutlierRules()
# Agents that eject at the same time hear of one another within a few milliseconds.
MAX_EXCESS_SECONDS = 0.02


class FailureReplay(Replay):
    """Replay in which some servers fail what they accept.

    Parameters
    ----------
    kind : str
        How the servers fail.
    failing : int
        Number of servers that fail.
    rules : OutlierRules
        Settings of the agents.
    """

    def __init__(self, kind: str, failing: int, rules: OutlierRules) -> None:
        self.outlier_rules = rules
        self.kind = kind
        self.failed: Counter[str] = Counter()
        self.largest_ejected = 0
        self.excess_seconds = 0.0
        self.checked_at = START
        super().__init__(SERVERS, seed=1)
        self.failing = set(list(self.servers)[:failing])
        self.play([(ENDS_AT, LOAD)])

    def fails(self, name: str) -> bool:
        """Tell whether a server fails now."""
        return name in self.failing and (FAILS_FROM <= self.now - START < FAILS_UNTIL)

    def on_server(self, name: str, data: bytes) -> None:
        """Handle a packet at a backend server, which may fail it."""
        segment = packets.decode_from_caller(data)
        if not self.fails(name) or not (segment.opening or segment.size):
            super().on_server(name, data)
        elif segment.opening and self.kind != "mute":
            self.answer(name, backend_packet(segment.flow, SYN | ACK, 500))
        elif segment.flow in self.flows and not self.fail(name, segment.flow):
            super().on_server(name, data)

    def fail(self, name: str, key: bytes) -> bool:
        """Fail a request or an opening as the kind says; return whether it did."""
        zone_of_caller = self.flows[key][1]
        if (
            self.kind == "slow"
            or (self.kind == "shed" and self.random.random() > 0.5)
            or (self.kind == "one_zone" and zone_of_caller != "f0")
        ):
            return False
        self.failed[name] += 1
        if self.kind in ("reset", "one_zone"):
            self.answer(name, backend_packet(key, RST, 501))
        elif self.kind in ("errors", "busy", "shed"):
            body = b"500" if self.kind == "errors" else b"503"
            self.after(0.0005, lambda: self.finish(name, key, body))
        return True

    def start_work(self, name: str, key: bytes) -> None:
        """Process a request at a backend server, which may be slow."""
        server = self.servers[name]
        speed = server.speed
        if self.kind == "slow" and self.fails(name):
            server.speed /= 6
        super().start_work(name, key)
        server.speed = speed

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later, and note how many servers are left out then."""

        def check_and_act() -> None:
            action()
            ejected = len(self.ejected)
            self.largest_ejected = max(self.largest_ejected, ejected)
            if ejected > ALLOWED:
                self.excess_seconds += self.now - self.checked_at
            self.checked_at = self.now

        super().after(seconds, check_and_act)

    @property
    def ejected(self) -> set[str]:
        """Return the servers that are left out now."""
        return {
            name
            for name, rules in self.agents.items()
            if rules.standing is Standing.EJECTED and self.outlier_rules.enforced
        }

    @property
    def lost(self) -> int:
        """Return the number of requests without an answer in time."""
        return sum(request.answered_at is None for request in self.requests)


def make_mesh(rules: OutlierRules = EJECT) -> Mesh:
    """Return a server with siblings, all of which are judged."""
    mesh = Mesh.__new__(Mesh)
    mesh.outlier_rules = rules
    mesh.__init__({f"a{n}": ("dc-a", "desk") for n in range(4)}, {"f": "dc-a"})
    return mesh


def end_request(mesh: Mesh, number: int, *steps: tuple[str, int, int]) -> int:
    """Open a flow at a0, send a request, and play what either end sends then.

    Returns the percentage of failures that the agent reports. Each step is the sender,
    the flags, and the sequence number after the first.
    """
    rules, flow = mesh.agents["a0"], flow_key(number)
    opening = packets.decode_from_caller(caller_packet(flow, SYN))
    frame = Forward("f", "dc-a", 1, "desk", [], False, opening.data)
    rules.on_forward(frame, opening, mesh.now)
    to_agent = packets.decode_from_backend
    rules.on_backend(to_agent(backend_packet(flow, SYN | ACK, 500)), mesh.now)
    request = caller_packet(flow, ACK, ack=501, body=b"GET")
    rules.on_forward(frame, packets.decode_from_caller(request), mesh.now)
    for sender, flags, sequence in steps:
        if sender == "caller":
            segment = packets.decode_from_caller(caller_packet(flow, flags, ack=501))
            rules.on_forward(frame, segment, mesh.now)
        else:
            body = b"200" if sender == "answer" else b""
            data = backend_packet(flow, flags, 501 + sequence, body=body)
            rules.on_backend(to_agent(data), mesh.now)
    return rules.load_report(mesh.now).failed_percent


class TestOutcomes(unittest.TestCase):
    """What counts as a failure of the server, and what does not."""

    @params(
        ("reset", True, ("server", RST, 0)),
        ("end without an answer", True, ("server", ACK | FIN, 0)),
        ("reset within the answer", True, ("answer", ACK, 0), ("server", RST, 3)),
        ("reset after the end", False, ("server", FIN, 3), ("server", RST, 4)),
        ("answer", False, ("answer", ACK, 0)),
        ("end after the answer", False, ("answer", ACK, 0), ("server", FIN, 3)),
        ("end overtakes the answer", False, ("server", FIN, 3), ("answer", ACK, 0)),
        ("the caller leaves first", False, ("caller", FIN, 0), ("server", FIN, 0)),
        ("the caller resets", False, ("caller", RST, 0), ("server", RST, 0)),
    )
    def test_ending(self, _: str, fails: bool, *steps: tuple[str, int, int]) -> None:
        self.assertEqual(fails, end_request(make_mesh(), 1, *steps) > 0)

    @params(("off", OFF), ("eject", EJECT))
    def test_reset_is_no_completion(self, _: str, rules: OutlierRules) -> None:
        mesh = make_mesh(rules)
        for number in range(20):
            end_request(mesh, number, ("server", RST, 0))
        report = mesh.agents["a0"].load_report(mesh.now)
        self.assertEqual(0.0, report.service_ms)
        self.assertEqual(rules.enforced, report.outstanding > 0)

    @params(
        ("in use", {}, 100),
        ("draining", {"draining": True}, 0),
        ("restarted", {"started_ms": 9}, 0),
    )
    def test_state_explains(self, _: str, changes: dict, percent: int) -> None:
        mesh = make_mesh()
        rules = mesh.agents["a0"]
        for number in range(40):
            end_request(mesh, number, ("server", RST, 0))
        if mesh.report("a0", **changes):
            rules.forget_outcomes(mesh.now)
        rules.judge_server(mesh.now)
        self.assertEqual(percent, rules.load_report(mesh.now).failed_percent)

    @params(("in use", 0.0, True), ("cold", 2.0, False))
    def test_no_answer(self, _: str, cold_seconds: float, fails: bool) -> None:
        mesh = make_mesh()
        rules = mesh.agents["a0"]
        mesh.report("a0", cold_seconds=cold_seconds)
        rules.judge_server(mesh.now)
        end_request(mesh, 1)
        mesh.now += 1.1
        rules.judge_server(mesh.now)
        self.assertEqual(fails, rules.load_report(mesh.now).failed_percent > 0)


class TestVerdict(unittest.TestCase):
    """When a server that fails is left out, by what is known of its siblings."""

    SOUND = SiblingState("b", False, True, 9.0, 0.0, 0.03)
    IDLE = SiblingState("c", False, True, None, 0.0, 0.0)
    FAILING = SiblingState("d", False, True, 9.0, 0.9, 0.03)
    EJECTED = SiblingState("e", True, True, 9.0, 0.9, 0.03)
    UNHEARD = SiblingState("f", False, False, None, 0.0, 0.0)

    @params(
        ("siblings answer", 8, [SOUND] * 7, True),
        ("siblings are idle", 8, [IDLE] * 7, False),
        ("most fail", 8, [SOUND] * 3 + [FAILING] * 4, False),
        ("some fail", 8, [SOUND] * 4 + [FAILING] * 3, True),
        ("share is used up", 8, [SOUND] * 5 + [EJECTED] * 2, False),
        ("no room in a small service", 3, [SOUND] * 2, False),
        ("cut off", 8, [UNHEARD] * 7, False),
    )
    def test_failures(
        self, _: str, servers: int, siblings: list[SiblingState], ejected: bool
    ) -> None:
        counts = OutcomeCounts()
        for _number in range(5):
            counts.record(Outcome.RESET, 8.0)
        judge = OutlierJudge(EJECT)
        judge.review(Evidence("a", counts, 0.03, servers, siblings), 8.3)
        self.assertEqual(ejected, judge.standing is Standing.EJECTED)

    @params(("as fast", 0.03, False), ("slower", 0.1, False), ("slow", 0.2, True))
    def test_slow(self, _: str, service_seconds: float, ejected: bool) -> None:
        counts = OutcomeCounts()
        for _number in range(40):
            counts.record(Outcome.ANSWERED, 8.0)
        judge = OutlierJudge(EJECT)
        evidence = Evidence("a", counts, service_seconds, 8, [self.SOUND] * 7)
        judge.review(evidence, 8.3)
        self.assertEqual(ejected, judge.standing is Standing.EJECTED)

    @params(
        ("nothing yet", [], Standing.ON_TRIAL),
        ("a failure", [Outcome.RESET], Standing.EJECTED),
        ("a hint", [Outcome.HASTY], Standing.ON_TRIAL),
        ("two hints", [Outcome.HASTY] * 2, Standing.EJECTED),
        ("two answers", [Outcome.ANSWERED] * 2, Standing.ON_TRIAL),
        ("three answers", [Outcome.ANSWERED] * 3, Standing.IN_USE),
    )
    def test_trial(self, _: str, outcomes: list[Outcome], standing: Standing) -> None:
        counts, judge = OutcomeCounts(), OutlierJudge(EJECT)
        evidence = Evidence("a", counts, 0.03, 8, [self.SOUND] * 7)
        for _number in range(5):
            counts.record(Outcome.RESET, 8.0)
        judge.review(evidence, 8.3)
        judge.review(evidence, 11.0)
        counts.forget()
        for outcome in outcomes:
            counts.record(outcome, 11.1)
        judge.review(evidence, 11.2)
        self.assertIs(standing, judge.standing)

    def test_time_grows(self) -> None:
        judge, now, seconds = OutlierJudge(EJECT), 8.0, []
        for _number in range(6):
            counts = OutcomeCounts()
            for _failure in range(5):
                counts.record(Outcome.RESET, now)
            sibling = SiblingState("b", False, True, now + 0.2, 0.0, 0.03)
            evidence = Evidence("a", counts, 0.03, 8, [sibling] * 7)
            judge.review(evidence, now + 0.3)
            seconds.append(round(judge.ejected_seconds(now + 0.3)))
            now += 0.3 + seconds[-1]
            judge.review(evidence, now)
            self.assertIs(Standing.ON_TRIAL, judge.standing)
            self.assertTrue(judge.holds_back(0, False, now))
            self.assertFalse(judge.holds_back(0, True, now))
            judge.record_opening(now)
            self.assertTrue(judge.holds_back(0, True, now))
        self.assertEqual([2, 4, 8, 16, 32, 32], seconds)


class TestReceivers(unittest.TestCase):
    """All peers hear at once that a server is left out, or no longer."""

    @params((False, True, NEAR | FAR), (True, False, NEAR | FAR), (True, True, set()))
    def test_change(self, before: bool, after: bool, receivers: set[str]) -> None:
        daemon, sent = make_daemon(LoadReport(True, 0.0, 0, 1, 0, []))
        daemon._sent_ejected = before
        daemon._agent.is_ejected = after
        daemon._send_load_if_judged()
        self.assertEqual(receivers, sent)
        sent.clear()
        daemon._send_load_if_judged()
        self.assertEqual(set(), sent)


class TestTerms(unittest.TestCase):
    """The platform's terms switch the detection on; other settings are kept."""

    @params(
        ([], "off", "off"),
        (["base", "drain"], "off", "off"),
        (["base", "health"], "off", "eject"),
        (["health"], "observe", "observe"),
    )
    def test_mode(self, terms: list[str], mode: str, expected: str) -> None:
        settings = PassthroughBalancerSettings(
            node=NodeSection(name="n", data_centre="d"),
            passthrough=None,
            platform=PlatformSection(url="u", terms=terms),
            outliers=OutliersSection(mode=mode),
        )
        self.assertEqual(expected, apply_terms(settings).outliers.mode)


class TestKinds(unittest.TestCase):
    """Two of eight servers fail for 4 s, in each way in which a server may fail.

    Those that fail at once attracted most of the requests.
    """

    # Kind, requests that the failing servers fail with `off` at least, and with `eject`
    # at most; those that are lost to their callers then.
    @params(
        ("reset", 100, 20, 0),
        ("errors", 400, 25, 25),
        ("busy", 800, 25, 0),
        ("shed", 100, 35, 0),
        ("hang", 2, 4, 4),
        ("mute", 50, 25, 25),
        ("one_zone", 50, 15, 0),
    )
    def test_failures(self, kind: str, before: int, failed: int, lost: int) -> None:
        self.assertGreaterEqual(
            sum(FailureReplay(kind, 2, OFF).failed.values()), before
        )
        replay = FailureReplay(kind, 2, EJECT)
        self.assertLessEqual(sum(replay.failed.values()), failed)
        self.assertLessEqual(replay.lost, lost)
        self.assert_recovered(replay)

    def test_slow(self) -> None:
        replay = FailureReplay("slow", 2, EJECT)
        self.assertEqual(0, replay.lost)
        self.assert_recovered(replay)

    @params(*(("reset", n) for n in (3, 4)), ("shed", 4))
    def test_share(self, kind: str, failing: int) -> None:
        replay = FailureReplay(kind, failing, EJECT)
        self.assert_recovered(replay)

    @params(*((kind, n) for kind in ("reset", "busy") for n in (6, 8)))
    def test_most_fail(self, kind: str, failing: int) -> None:
        replay = FailureReplay(kind, failing, EJECT)
        self.assertEqual([], replay.events("server_ejected"))

    @params("reset", "shed")
    def test_observe(self, kind: str) -> None:
        off, observe = FailureReplay(kind, 2, OFF), FailureReplay(kind, 2, OBSERVE)
        self.assertEqual(off.failed, observe.failed)
        self.assertEqual(0, observe.largest_ejected)
        self.assertTrue(observe.events("server_ejected"))

    def assert_recovered(self, replay: FailureReplay) -> None:
        """Check that not too many servers were left out, and that all are in use."""
        self.assertLessEqual(replay.excess_seconds, MAX_EXCESS_SECONDS)
        standings = {rules.standing for rules in replay.agents.values()}
        self.assertEqual({Standing.IN_USE}, standings)
        self.assertGreater(replay.share_in_aim(ENDS_AT - 2.0, ENDS_AT), 0.95)
