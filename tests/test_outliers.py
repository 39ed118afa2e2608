"""Outliers: servers that fail what they accept get no new flows for a time."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable

from nose2.tools import params

from berylturn.connection.placement.outliers import OutlierRules, Standing
from berylturn.platform import packets

from .overload_replay import Replay
from .passthrough_mesh import ACK, RST, START, SYN, backend_packet

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
