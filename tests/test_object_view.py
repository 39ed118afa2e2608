"""Following the platform while it fails."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter

from nose2.tools import params

from berylturn.clock import SystemClock
from berylturn.errors import PlatformUnavailable
from berylturn.process.object_view import KINDS, Kind, ObjectView, ViewSync
from berylturn.process.tasks import TaskGroup
from berylturn.version.snapshots import ObjectChange, StoredObject

PEER_PORT = 1
DEADLINE_SECONDS = 20.0


class FailingStore:
    """A platform that fails until a test says otherwise.

    Attributes
    ----------
    calls : Counter of Kind
        Calls by kind.
    served : asyncio.Event
        Set once the platform serves.
    """

    def __init__(self) -> None:
        self.calls: Counter[Kind] = Counter()
        self.served = asyncio.Event()
        self.called = asyncio.Condition()

    async def list_objects(self, kind: Kind) -> tuple[int, list[StoredObject]]:
        self.calls[kind] += 1
        async with self.called:
            self.called.notify_all()
        if not self.served.is_set():
            raise PlatformUnavailable("the platform answers 503; try again later")
        return 7, []

    async def watch_objects(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        self.calls[kind] += 1
        await asyncio.Event().wait()
        return revision, []


class TestOutage(unittest.TestCase):
    """Ask a platform that is down with few calls, and be back at once.

    Load pattern: all nodes of a deployment lose the platform together; each call is
    priced and counts toward its rate, refused ones too.
    """

    @params(3, 4)
    def test_one_kind_asks_for_all(self, asked: int) -> None:
        async def play() -> tuple[Counter[Kind], bool]:
            store, tasks = FailingStore(), TaskGroup()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, SystemClock(), PEER_PORT, list)
            sync.start()
            async with asyncio.timeout(DEADLINE_SECONDS), store.called:
                await store.called.wait_for(
                    lambda: max(store.calls.values(), default=0) >= asked
                )
            calls = Counter(store.calls)
            store.served.set()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.connected:
                    await asyncio.sleep(0.01)
            await tasks.cancel_all()
            return calls, view.complete

        calls, complete = asyncio.run(play())
        self.assertTrue(complete)
        # Without one that asks for all, each kind would have asked as often.
        self.assertEqual([1, 1, asked], sorted(calls[kind] for kind in KINDS))


class TestLostEntries(unittest.TestCase):
    """A node that has just read the directory may not see all entries yet."""

    @params(("at once", 0.0, False), ("later", 3.2, True))
    def test_first_directory(self, _: str, after: float, complete: bool) -> None:
        async def play() -> bool:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list)
            self.assertFalse(sync.directory_trust(clock.monotonic()).agreed)
            sync.start()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.connected:
                    await asyncio.sleep(0.01)
            await tasks.cancel_all()
            now = clock.monotonic()
            self.assertTrue(sync.directory_trust(now).names_all(all_restarted=True))
            return sync.directory_trust(now + after).names_all(all_restarted=False)

        self.assertEqual(complete, asyncio.run(play()))


class TestRelay(unittest.TestCase):
    """Leave watching the platform to a peer that follows it.

    Load pattern: each node of a deployment asks for each kind, and each change of the
    directory answers all of them.
    """

    @params(
        ("a peer follows the platform", True, True, {Kind.CONFIGURATION: 1}),
        ("a peer is there, without the platform", True, False, {}),
        ("no peer", False, True, {}),
    )
    def test_watches(
        self, _: str, peer: bool, following: bool, relayed: dict[Kind, int]
    ) -> None:
        async def play() -> tuple[Counter[Kind], bool]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(
                view, store, tasks, clock, PEER_PORT, list, {Kind.CONFIGURATION}
            )
            sync.start()
            until = clock.monotonic() + 2.5
            while clock.monotonic() < until:
                if peer:
                    sync.note_balancer("seed", view.newest, following)
                await asyncio.sleep(0.1)
            await tasks.cancel_all()
            return store.calls, sync.follows

        calls, follows = asyncio.run(play())
        # One list each, and a watch of those that are not left to the peer.
        self.assertEqual({kind: relayed.get(kind, 2) for kind in KINDS}, calls)
        self.assertEqual(not relayed, follows)

    def test_refused_node_asks_its_peer_only(self) -> None:
        async def play() -> Counter[Kind]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS)
            for kind in KINDS:
                view.replace(kind, 7, [])
            sync.note_balancer("seed", view.newest, True)
            sync.start()
            until = clock.monotonic() + 1.0
            while clock.monotonic() < until:
                sync.note_balancer("seed", view.newest, True)
                await asyncio.sleep(0.1)
            self.assertTrue(sync.connected)
            await tasks.cancel_all()
            return store.calls

        self.assertEqual(Counter(), asyncio.run(play()))

    @params(("knows the same", 0, False), ("knows of a change", 9, True))
    def test_peer_whose_change_does_not_arrive(
        self, _: str, newest: int, watches: bool
    ) -> None:
        async def play() -> Counter[Kind]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS)
            sync.start()
            until = clock.monotonic() + 2.0
            while clock.monotonic() < until:
                # Pulls from this peer fail; its datagrams arrive.
                sync.note_balancer("127.0.0.1", [newest] * 3, True)
                await asyncio.sleep(0.1)
            await tasks.cancel_all()
            return store.calls

        calls = asyncio.run(play())
        self.assertEqual({kind: 1 + watches for kind in KINDS}, calls)

    def test_node_asks_anew_when_its_peer_is_lost_after_a_failure(self) -> None:
        async def play() -> bool:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS)
            for kind in KINDS:
                view.replace(kind, 7, [])
            sync.note_balancer("seed", view.newest, True)
            sync.start()
            store.served.set()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.follows:
                    await asyncio.sleep(0.05)
            await tasks.cancel_all()
            return sync.connected

        self.assertTrue(asyncio.run(play()))


class TestShares(unittest.TestCase):
    """Send a peer what it lacks, and nothing that it has."""

    CONFIGURED = StoredObject("main", 5, b"x" * 5_000)

    @params(("knows nothing", None), ("knows the same", 5), ("knows an older one", 4))
    def test_export(self, _: str, revision: int | None) -> None:
        full, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        full.replace(Kind.CONFIGURATION, 9, [self.CONFIGURED])
        if revision is not None:
            held = StoredObject("main", revision, self.CONFIGURED.body)
            peer.replace(Kind.CONFIGURATION, revision, [held])
        shared = full.export(peer.export_path())
        self.assertEqual(revision != 5, len(shared) > 5_000)
        peer.merge(shared)
        snapshot = peer.snapshots[Kind.CONFIGURATION]
        self.assertEqual(full.snapshots[Kind.CONFIGURATION], snapshot)

    @params("/view", "/view?known=", "/view?known=x.y", "/view?known=1.2.3.4.5")
    def test_unreadable_question_gets_all(self, path: str) -> None:
        full, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        full.replace(Kind.CONFIGURATION, 9, [self.CONFIGURED])
        peer.merge(full.export(path))
        self.assertEqual(9, peer.snapshots[Kind.CONFIGURATION].at_revision)
