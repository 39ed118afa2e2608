"""Tests of following the platform through seeds and relays."""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from collections.abc import Callable

from nose2.tools import params

from berylturn.connection.peer_frames import PeerFrame, ViewInquiry, ViewStatus
from berylturn.process import view_relay
from berylturn.process.object_view import KINDS, Kind
from berylturn.process.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
)
from berylturn.process.view_relay import RelayPosition, ViewRelay, choose_relayed_kinds

NEWEST = [3, 2, 1]
DIGESTS = [7, 8, 9]
# Polls "s1" first.
POSITION = RelayPosition("n0", "dc-a", fan_out=16)


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class FakeSync:
    """Record the calls of a relay."""

    def __init__(self, watches_directly: bool) -> None:
        self.watches_directly = watches_directly
        self.age: int | None = 0 if watches_directly else None
        self.newest = NEWEST
        self.digests = DIGESTS
        self.confirmed: list[tuple[str, int | None]] = []
        self.peers: list[str] = []

    def handle_peer_status(self, host: str, status: ViewStatus) -> None:
        self.confirmed.append((host, status.confirmation_age_ms))

    def confirmation_age_ms(self, now: float) -> int | None:
        return self.age

    def handle_peer_revisions(self, host: str, newest: list[int]) -> None:
        self.peers.append(host)


class TestSeed(unittest.TestCase):
    """A seed answers each inquiry and sends changes to recent followers."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.sent: list[tuple[str, PeerFrame]] = []
        self.sync = FakeSync(watches_directly=True)
        self.relay = self._make_relay()

    def _make_relay(self) -> ViewRelay:
        return ViewRelay(
            self.sync, self.sync, self._send, POSITION, lambda: [], self.clock
        )

    def _send(self, host: str, frame: PeerFrame) -> None:
        self.sent.append((host, frame))

    @params((True,), (False,))
    def test_answer(self, watches_directly: bool) -> None:
        self.sync = FakeSync(watches_directly)
        self.relay = self._make_relay()
        self.relay.handle_frame("follower", ViewInquiry([9, 9, 9]))
        self.assertEqual(
            [
                (
                    "follower",
                    ViewStatus(NEWEST, DIGESTS, 0 if watches_directly else None),
                )
            ],
            self.sent,
        )
        # The follower may have newer objects.
        self.assertEqual(["follower"], self.sync.peers)

    @params(("polled lately", 2.0, 1), ("has stopped polling", 3.5, 0))
    def test_change(self, _: str, delay_seconds: float, sent_count: int) -> None:
        self.relay.handle_frame("follower", ViewInquiry(NEWEST))
        self.sent.clear()
        self.clock.now += delay_seconds
        self.relay.notify_followers()
        self.assertEqual(sent_count, len(self.sent))


class TestForwarding(unittest.TestCase):
    """A node forwards the confirmations of its parent and makes none of its own.

    Otherwise nodes that poll each other in a cycle would keep a stale copy confirmed.
    """

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.sent: list[str] = []
        self.sync = FakeSync(watches_directly=False)
        self.relay = ViewRelay(
            self.sync, self.sync, self._send, POSITION, lambda: ["s1"], self.clock
        )
        self.relay.handle_frame("follower", ViewInquiry(NEWEST))
        self.sent.clear()

    def _send(self, host: str, frame: PeerFrame) -> None:
        self.sent.append(host)

    @params(
        ("at once", [(0.0, 0)], 1),
        ("each second", [(0.0, 0), (1.0, 0)], 2),
        ("not twice", [(0.0, 0), (0.1, 100)], 1),
        ("not what returns through a cycle", [(0.0, 300), (0.6, 900)], 1),
        ("not without a confirmation", [(0.0, None)], 0),
    )
    def test_confirmations(
        self, _: str, confirmations: list[tuple[float, int | None]], sent_count: int
    ) -> None:
        start = self.clock.now
        for after, age in confirmations:
            self.clock.now = start + after
            self.sync.age = age
            self.relay.handle_frame("parent", ViewStatus(NEWEST, DIGESTS, age))
        self.assertEqual(["follower"] * sent_count, self.sent)

    def test_known_follower_waits_for_the_next_status(self) -> None:
        self.relay.handle_frame("follower", ViewInquiry(NEWEST))
        self.assertEqual([], self.sent)
        self.relay.handle_frame("new", ViewInquiry(NEWEST))
        self.assertEqual(["new"], self.sent)


class TestFollower(unittest.TestCase):
    """A follower keeps a seed that answers and leaves one that does not.

    A seed that has lost the platform counts as one that does not answer.
    """

    @params(
        ("answers", lambda host: True, {"s1"}),
        ("first is silent", lambda host: None if host == "s1" else True, {"s1", "s2"}),
        ("first has lost the platform", lambda host: host != "s1", {"s1", "s2"}),
        ("all are silent", lambda host: None, {"s1", "s2", "s3"}),
    )
    def test_polled_seeds(
        self, _: str, answer: Callable[[str], bool | None], polled: set[str]
    ) -> None:
        clock, sync = FakeClock(), FakeSync(watches_directly=False)
        sent: list[str] = []

        async def sleep(seconds: float) -> None:
            clock.now += seconds
            if len(sent) >= 8:
                raise asyncio.CancelledError

        def send(host: str, frame: PeerFrame) -> None:
            sent.append(host)
            following = answer(host)
            if following is not None:
                age = 0 if following else None
                relay.handle_frame(host, ViewStatus(NEWEST, DIGESTS, age))

        seeds = ["s1", "s2", "s3"]
        relay = ViewRelay(sync, sync, send, POSITION, lambda: seeds, clock)
        patched = unittest.mock.patch.object(view_relay.asyncio, "sleep", sleep)
        with patched, self.assertRaises(asyncio.CancelledError):
            asyncio.run(relay.run())
        self.assertEqual(polled, set(sent))
        if len(polled) < 3:
            # A failed seed gets up to two inquiries; then only one seed is polled.
            self.assertEqual(1, len(set(sent[3:])))


class TestPreferredParent(unittest.TestCase):
    """A node returns to its preferred parent after an outage of that parent.

    Otherwise the followers of a seed that failed would all stay with other seeds.
    """

    @params(("it recovers", True, "s1"), ("it does not", False, "s2"))
    def test_return(self, _: str, recovers: bool, last: str) -> None:
        clock, sync = FakeClock(), FakeSync(watches_directly=False)
        sent: list[str] = []

        async def sleep(seconds: float) -> None:
            clock.now += seconds
            if clock.now > 140:
                raise asyncio.CancelledError

        def send(host: str, frame: PeerFrame) -> None:
            sent.append(host)
            if host == "s2" or (recovers and clock.now > 110):
                relay.handle_frame(host, ViewStatus(NEWEST, DIGESTS, 0))

        relay = ViewRelay(sync, sync, send, POSITION, lambda: ["s1", "s2"], clock)
        patched = unittest.mock.patch.object(view_relay.asyncio, "sleep", sleep)
        with patched, self.assertRaises(asyncio.CancelledError):
            asyncio.run(relay.run())
        self.assertEqual([last] * 3, sent[-3:])
        self.assertLess(len(sent), 45)


class TestChoice(unittest.TestCase):
    """Each kind is watched by some node, whatever seeds are configured."""

    @params(
        ("agent", "agent", ["s1", "s2"], frozenset(KINDS)),
        ("agent without seeds", "agent", [], frozenset()),
        ("balancer", "balancer", ["s1", "s2"], frozenset(KINDS)),
        ("balancer that is a seed", "balancer", ["own", "s2"], frozenset()),
        ("only seed", "balancer", ["own"], frozenset()),
    )
    def test_kinds(
        self, _: str, role: str, seeds: list[str], relayed: frozenset[Kind]
    ) -> None:
        section = unittest.mock.Mock(host="own", seeds=[(host, 1) for host in seeds])
        models = {
            "agent": PassthroughAgentSettings,
            "balancer": PassthroughBalancerSettings,
        }
        settings = unittest.mock.Mock(models[role], passthrough=section)
        self.assertEqual(relayed, choose_relayed_kinds(settings))
