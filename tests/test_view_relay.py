"""Tables for following the platform through a seed."""

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
from berylturn.process.view_relay import RelayPlace, ViewRelay, choose_relayed

NEWEST = [3, 2, 1]
DIGESTS = [7, 8, 9]
# Asks "s1" first.
PLACE = RelayPlace("n0", "dc-a", fan_out=16)


class FakeClock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class FakeSync:
    """Notes what a relay tells about peers."""

    def __init__(self, follows: bool) -> None:
        self.follows = follows
        self.age: int | None = 0 if follows else None
        self.newest = NEWEST
        self.digests = DIGESTS
        self.confirmed: list[tuple[str, int | None]] = []
        self.peers: list[str] = []

    def note_balancer(self, host: str, claim: ViewStatus) -> None:
        self.confirmed.append((host, claim.confirmed_age_ms))

    def word_age_ms(self, now: float) -> int | None:
        return self.age

    def note_peer(self, host: str, newest: list[int]) -> None:
        self.peers.append(host)


class TestSeed(unittest.TestCase):
    """A seed answers each question, and tells of changes without being asked."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.sent: list[tuple[str, PeerFrame]] = []
        self.sync = FakeSync(follows=True)
        self.relay = self._make_relay()

    def _make_relay(self) -> ViewRelay:
        return ViewRelay(
            self.sync, self.sync, self._send, PLACE, lambda: [], self.clock
        )

    def _send(self, host: str, frame: PeerFrame) -> None:
        self.sent.append((host, frame))

    @params((True,), (False,))
    def test_answer(self, follows: bool) -> None:
        self.sync = FakeSync(follows)
        self.relay = self._make_relay()
        self.relay.take("asker", ViewInquiry([9, 9, 9]))
        self.assertEqual(
            [("asker", ViewStatus(NEWEST, DIGESTS, 0 if follows else None))],
            self.sent,
        )
        # The asker may know more.
        self.assertEqual(["asker"], self.sync.peers)

    @params(("asked lately", 2.0, 1), ("has stopped asking", 3.5, 0))
    def test_change(self, _: str, after: float, told: int) -> None:
        self.relay.take("asker", ViewInquiry(NEWEST))
        self.sent.clear()
        self.clock.now += after
        self.relay.announce()
        self.assertEqual(told, len(self.sent))


class TestRelayedWords(unittest.TestCase):
    """A node passes on its parent's words, and never its own hope."""

    def setUp(self) -> None:
        self.clock = FakeClock()
        self.sent: list[str] = []
        self.sync = FakeSync(follows=False)
        self.relay = ViewRelay(
            self.sync, self.sync, self._send, PLACE, lambda: ["s1"], self.clock
        )
        self.relay.take("below", ViewInquiry(NEWEST))
        self.sent.clear()

    def _send(self, host: str, frame: PeerFrame) -> None:
        self.sent.append(host)

    @params(
        ("at once", [(0.0, 0)], 1),
        ("each second", [(0.0, 0), (1.0, 0)], 2),
        ("not twice", [(0.0, 0), (0.1, 100)], 1),
        ("not what comes back through a circle", [(0.0, 300), (0.6, 900)], 1),
        ("not without word", [(0.0, None)], 0),
    )
    def test_words(
        self, _: str, words: list[tuple[float, int | None]], told: int
    ) -> None:
        start = self.clock.now
        for after, age in words:
            self.clock.now = start + after
            self.sync.age = age
            self.relay.take("above", ViewStatus(NEWEST, DIGESTS, age))
        self.assertEqual(["below"] * told, self.sent)

    def test_known_follower_waits_for_the_next_word(self) -> None:
        self.relay.take("below", ViewInquiry(NEWEST))
        self.assertEqual([], self.sent)
        self.relay.take("new", ViewInquiry(NEWEST))
        self.assertEqual(["new"], self.sent)


class TestFollower(unittest.TestCase):
    """A follower stays with a seed that answers, and leaves one that does not."""

    @params(
        ("answers", lambda host: True, {"s1"}),
        ("first is silent", lambda host: None if host == "s1" else True, {"s1", "s2"}),
        ("first has lost the platform", lambda host: host != "s1", {"s1", "s2"}),
        ("all are silent", lambda host: None, {"s1", "s2", "s3"}),
    )
    def test_asks(
        self, _: str, answer: Callable[[str], bool | None], asked: set[str]
    ) -> None:
        clock, sync = FakeClock(), FakeSync(follows=False)
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
                relay.take(host, ViewStatus(NEWEST, DIGESTS, age))

        seeds = ["s1", "s2", "s3"]
        relay = ViewRelay(sync, sync, send, PLACE, lambda: seeds, clock)
        patched = unittest.mock.patch.object(view_relay.asyncio, "sleep", sleep)
        with patched, self.assertRaises(asyncio.CancelledError):
            asyncio.run(relay.run())
        self.assertEqual(asked, set(sent))
        if len(asked) < 3:
            # Two questions go to a seed that is given up; then one is enough.
            self.assertEqual(1, len(set(sent[3:])))


class TestReturn(unittest.TestCase):
    """A node goes back to its first parent, so that seeds stay with few followers."""

    @params(("it is back", True, "s1"), ("it is not", False, "s2"))
    def test_first_parent(self, _: str, back: bool, last: str) -> None:
        clock, sync = FakeClock(), FakeSync(follows=False)
        sent: list[str] = []

        async def sleep(seconds: float) -> None:
            clock.now += seconds
            if clock.now > 140:
                raise asyncio.CancelledError

        def send(host: str, frame: PeerFrame) -> None:
            sent.append(host)
            if host == "s2" or (back and clock.now > 110):
                relay.take(host, ViewStatus(NEWEST, DIGESTS, 0))

        relay = ViewRelay(sync, sync, send, PLACE, lambda: ["s1", "s2"], clock)
        patched = unittest.mock.patch.object(view_relay.asyncio, "sleep", sleep)
        with patched, self.assertRaises(asyncio.CancelledError):
            asyncio.run(relay.run())
        self.assertEqual([last] * 3, sent[-3:])
        self.assertLess(len(sent), 45)


class TestChoice(unittest.TestCase):
    """Somebody watches each kind whatever the seeds are."""

    @params(
        ("agent", "agent", ["s1", "s2"], frozenset(KINDS)),
        ("agent without seeds", "agent", [], frozenset()),
        ("balancer", "balancer", ["s1", "s2"], frozenset({Kind.AGENTS})),
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
        self.assertEqual(relayed, choose_relayed(settings))
