"""Following the platform while it fails."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter

from nose2.tools import params

from berylturn.clock import SystemClock
from berylturn.connection.peer_frames import ViewStatus
from berylturn.errors import PlatformUnavailable
from berylturn.process.http_server import HttpReply, HttpRequest, serve_http
from berylturn.process.object_view import KINDS, Kind, ObjectView
from berylturn.process.tasks import TaskGroup
from berylturn.process.view_sync import ViewSync
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


class FakeClock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


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
            self.assertFalse(sync.directory_trust(clock.monotonic()).is_current)
            sync.start()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.connected:
                    await asyncio.sleep(0.01)
            await tasks.cancel_all()
            now = clock.monotonic()
            self.assertTrue(sync.directory_trust(now).is_complete(all_restarted=True))
            return sync.directory_trust(now + after).is_complete(all_restarted=False)

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
                    sync.handle_balancer_status("seed", _claim_of(view, following))
                await asyncio.sleep(0.1)
            await tasks.cancel_all()
            return store.calls, sync.watches_directly

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
            sync.handle_balancer_status("seed", _claim_of(view, True))
            sync.start()
            until = clock.monotonic() + 1.0
            while clock.monotonic() < until:
                sync.handle_balancer_status("seed", _claim_of(view, True))
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
                claim = ViewStatus([newest] * 3, view.digests, 0)
                sync.handle_balancer_status("127.0.0.1", claim)
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
            sync.handle_balancer_status("seed", _claim_of(view, True))
            sync.start()
            store.served.set()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.watches_directly:
                    await asyncio.sleep(0.05)
            await tasks.cancel_all()
            return sync.connected

        self.assertTrue(asyncio.run(play()))

    @params(
        ("an object is added", 9, [StoredObject("a", 9, b"")]),
        ("an object is lost, which no revision shows", 7, []),
    )
    def test_word_of_a_peer_holds_once_its_change_is_here(
        self, _: str, newest: int, objects: list[StoredObject]
    ) -> None:
        async def play() -> bool:
            store, tasks = FailingStore(), TaskGroup()
            view, seed = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
            port = await _serve_view(seed)
            sync = ViewSync(view, store, tasks, FakeClock(), port, list, KINDS)
            for kind in KINDS:
                view.replace(kind, 7, [StoredObject("lost", 7, b"")])
                seed.replace(kind, 10, objects, newest)
            sync.start()
            sync.handle_balancer_status("127.0.0.1", _claim_of(seed, True))
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.connected:
                    await asyncio.sleep(0.01)
            await tasks.cancel_all()
            return view.digests == seed.digests

        self.assertTrue(asyncio.run(play()))

    @params(("they ask each other", False), ("a seed goes on speaking", True))
    def test_circle(self, _: str, speaks: bool) -> None:
        clock = FakeClock()
        syncs = []
        for _ in range(2):
            view = ObjectView(lambda kind: None)
            for kind in KINDS:
                view.replace(kind, 7, [])
            store, tasks = FailingStore(), TaskGroup()
            syncs.append(ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS))
        first, second = syncs
        first.handle_balancer_status("seed", _claim_of(view, True))
        for _ in range(8):
            for sync, other in ((first, second), (second, first)):
                age = other.confirmation_age_ms(clock.now)
                sync.handle_balancer_status(
                    "other", ViewStatus(view.newest, view.digests, age)
                )
            self.assertTrue(first.connected or clock.now > 102)
            clock.now += 0.5
            if speaks:
                first.handle_balancer_status("seed", _claim_of(view, True))
        self.assertEqual([speaks] * 2, [sync.connected for sync in syncs])

    @params(
        ("the peer follows the platform", True, True, 0),
        ("the peer has lost the platform", True, False, 1),
        ("no peer", False, False, 1),
    )
    def test_start(self, _: str, peer: bool, following: bool, lists: int) -> None:
        async def play() -> tuple[Counter[Kind], bool]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view, seed = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
            for kind in KINDS:
                seed.replace(kind, 7, [])
            port = await _serve_view(seed)
            peers = ["127.0.0.1"] if peer else []
            sync = ViewSync(view, store, tasks, clock, port, lambda: peers, KINDS)
            sync.start()
            until = clock.monotonic() + 1.0
            while clock.monotonic() < until:
                if peer:
                    sync.handle_balancer_status("127.0.0.1", _claim_of(seed, following))
                await asyncio.sleep(0.05)
            await tasks.cancel_all()
            return store.calls, view.complete

        calls, complete = asyncio.run(play())
        self.assertEqual(Counter({kind: lists for kind in KINDS}), calls)
        self.assertTrue(complete)


def _claim_of(view: ObjectView, following: bool) -> ViewStatus:
    return ViewStatus(view.newest, view.digests, 0 if following else None)


async def _serve_view(view: ObjectView) -> int:
    def answer(request: HttpRequest) -> HttpReply:
        return HttpReply(200, view.export(request.path), "application/msgpack")

    server = await serve_http(("127.0.0.1", 0), answer)
    return server.sockets[0].getsockname()[1]
