"""Tests of following the platform while it fails."""

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
    """A platform that fails until `served` is set.

    Attributes
    ----------
    calls : Counter of Kind
        Number of calls by kind.
    served : asyncio.Event
        Set by a test when the platform recovers.
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

    async def read_revision(self) -> int:
        if not self.served.is_set():
            raise PlatformUnavailable("the platform answers 503; try again later")
        return 7

    def end_watch(self, kind: Kind) -> None:
        pass


class FakeClock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class TestOutage(unittest.TestCase):
    """Make few calls to a platform that is down; reconnect as soon as it recovers.

    Load pattern: all nodes of a deployment lose the platform together. Each call,
    refused ones too, is billed and counts toward the platform's rate limit.
    """

    @params(3, 4)
    def test_one_kind_retries_for_all(self, expected_calls: int) -> None:
        async def run() -> tuple[Counter[Kind], bool]:
            store, tasks = FailingStore(), TaskGroup()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, SystemClock(), PEER_PORT, list)
            sync.start()
            async with asyncio.timeout(DEADLINE_SECONDS), store.called:
                await store.called.wait_for(
                    lambda: max(store.calls.values(), default=0) >= expected_calls
                )
            calls = Counter(store.calls)
            store.served.set()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.connected:
                    await asyncio.sleep(0.01)
            await tasks.cancel_all()
            return calls, view.complete

        calls, complete = asyncio.run(run())
        self.assertTrue(complete)
        # If each kind retried by itself, all would have made as many calls.
        self.assertEqual([1, 1, expected_calls], sorted(calls[kind] for kind in KINDS))


class TestLostEntries(unittest.TestCase):
    """A directory that was just read is not complete for the first seconds.

    The platform may have lost entries that their agents have not yet written again.
    """

    @params(("at once", 0.0, False), ("later", 3.2, True))
    def test_first_directory(
        self, _: str, delay_seconds: float, complete: bool
    ) -> None:
        async def run() -> bool:
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
            return sync.directory_trust(now + delay_seconds).is_complete(
                all_restarted=False
            )

        self.assertEqual(complete, asyncio.run(run()))


class TestConfirmationAge(unittest.TestCase):
    """A node confirms its copy to others by answers, not by a watch that is open."""

    def test_age_counts_from_the_last_answer(self) -> None:
        async def run() -> list[int | None]:
            store, tasks, clock = FailingStore(), TaskGroup(), FakeClock()
            store.served.set()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list)
            sync.start()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.watches_directly:
                    await asyncio.sleep(0.01)
            ages = [sync.confirmation_age_ms(clock.now)]
            # The watches wait, and nothing else is heard of the platform.
            ages.append(sync.confirmation_age_ms(clock.now + 5.0))
            await tasks.cancel_all()
            return ages

        self.assertEqual([0, 5000], asyncio.run(run()))


class TestRelay(unittest.TestCase):
    """Do not watch kinds that a peer with a watch confirms.

    Load pattern: each node of a deployment watches each kind, and each change of the
    directory ends all of these watches.
    """

    @params(
        ("a peer follows the platform", True, True, {Kind.CONFIGURATION: 1}),
        ("a peer is there, without the platform", True, False, {}),
        ("no peer", False, True, {}),
    )
    def test_watches(
        self, _: str, peer: bool, following: bool, relayed: dict[Kind, int]
    ) -> None:
        async def run() -> tuple[Counter[Kind], bool]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(
                view, store, tasks, clock, PEER_PORT, list, {Kind.CONFIGURATION}
            )
            sync.start()
            deadline = clock.monotonic() + 2.5
            while clock.monotonic() < deadline:
                if peer:
                    sync.handle_peer_status("seed", _status_of(view, following))
                await asyncio.sleep(0.1)
            await tasks.cancel_all()
            return store.calls, sync.watches_directly

        calls, watches_directly = asyncio.run(run())
        # One list call per kind, and one watch per kind that is not relayed.
        self.assertEqual({kind: relayed.get(kind, 2) for kind in KINDS}, calls)
        self.assertEqual(not relayed, watches_directly)

    def test_node_without_platform_uses_its_peer_only(self) -> None:
        async def run() -> Counter[Kind]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS)
            for kind in KINDS:
                view.replace(kind, 7, [])
            sync.handle_peer_status("seed", _status_of(view, True))
            sync.start()
            deadline = clock.monotonic() + 1.0
            while clock.monotonic() < deadline:
                sync.handle_peer_status("seed", _status_of(view, True))
                await asyncio.sleep(0.1)
            self.assertTrue(sync.connected)
            await tasks.cancel_all()
            return store.calls

        self.assertEqual(Counter(), asyncio.run(run()))

    @params(("knows the same", 0, False), ("knows of a change", 9, True))
    def test_peer_whose_change_does_not_arrive(
        self, _: str, newest: int, watches: bool
    ) -> None:
        async def run() -> Counter[Kind]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS)
            sync.start()
            deadline = clock.monotonic() + 2.0
            while clock.monotonic() < deadline:
                # Pulls from this peer fail, but its datagrams arrive.
                status = ViewStatus([newest] * 3, view.digests, 0)
                sync.handle_peer_status("127.0.0.1", status)
                await asyncio.sleep(0.1)
            await tasks.cancel_all()
            return store.calls

        calls = asyncio.run(run())
        self.assertEqual({kind: 1 + watches for kind in KINDS}, calls)

    def test_node_lists_again_when_its_peer_is_lost_after_a_failure(self) -> None:
        async def run() -> bool:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            view = ObjectView(lambda kind: None)
            sync = ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS)
            for kind in KINDS:
                view.replace(kind, 7, [])
            sync.handle_peer_status("seed", _status_of(view, True))
            sync.start()
            store.served.set()
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.watches_directly:
                    await asyncio.sleep(0.05)
            await tasks.cancel_all()
            return sync.connected

        self.assertTrue(asyncio.run(run()))

    @params(
        ("an object is added", 9, [StoredObject("a", 9, b"")]),
        ("an object is lost, which no revision shows", 7, []),
    )
    def test_peer_status_counts_once_its_change_has_arrived(
        self, _: str, newest: int, objects: list[StoredObject]
    ) -> None:
        async def run() -> bool:
            store, tasks = FailingStore(), TaskGroup()
            view, seed = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
            port = await _serve_view(seed)
            sync = ViewSync(view, store, tasks, FakeClock(), port, list, KINDS)
            for kind in KINDS:
                view.replace(kind, 7, [StoredObject("lost", 7, b"")])
                seed.replace(kind, 10, objects, newest)
            sync.start()
            sync.handle_peer_status("127.0.0.1", _status_of(seed, True))
            async with asyncio.timeout(DEADLINE_SECONDS):
                while not sync.connected:
                    await asyncio.sleep(0.01)
            await tasks.cancel_all()
            return view.digests == seed.digests

        self.assertTrue(asyncio.run(run()))

    @params(("they poll each other", False), ("a seed keeps confirming", True))
    def test_cycle_of_peers(self, _: str, confirms: bool) -> None:
        clock = FakeClock()
        syncs = []
        for _ in range(2):
            view = ObjectView(lambda kind: None)
            for kind in KINDS:
                view.replace(kind, 7, [])
            store, tasks = FailingStore(), TaskGroup()
            syncs.append(ViewSync(view, store, tasks, clock, PEER_PORT, list, KINDS))
        first, second = syncs
        first.handle_peer_status("seed", _status_of(view, True))
        for _ in range(8):
            for sync, other in ((first, second), (second, first)):
                age = other.confirmation_age_ms(clock.now)
                sync.handle_peer_status(
                    "other", ViewStatus(view.newest, view.digests, age)
                )
            self.assertTrue(first.connected or clock.now > 102)
            clock.now += 0.5
            if confirms:
                first.handle_peer_status("seed", _status_of(view, True))
        self.assertEqual([confirms] * 2, [sync.connected for sync in syncs])

    @params(
        ("the peer follows the platform", True, True, 0),
        ("the peer has lost the platform", True, False, 1),
        ("no peer", False, False, 1),
    )
    def test_start(self, _: str, peer: bool, following: bool, lists: int) -> None:
        async def run() -> tuple[Counter[Kind], bool]:
            store, tasks, clock = FailingStore(), TaskGroup(), SystemClock()
            store.served.set()
            view, seed = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
            for kind in KINDS:
                seed.replace(kind, 7, [])
            port = await _serve_view(seed)
            peers = ["127.0.0.1"] if peer else []
            sync = ViewSync(view, store, tasks, clock, port, lambda: peers, KINDS)
            sync.start()
            deadline = clock.monotonic() + 1.0
            while clock.monotonic() < deadline:
                if peer:
                    sync.handle_peer_status("127.0.0.1", _status_of(seed, following))
                await asyncio.sleep(0.05)
            await tasks.cancel_all()
            return store.calls, view.complete

        calls, complete = asyncio.run(run())
        self.assertEqual(Counter({kind: lists for kind in KINDS}), calls)
        self.assertTrue(complete)


def _status_of(view: ObjectView, following: bool) -> ViewStatus:
    return ViewStatus(view.newest, view.digests, 0 if following else None)


async def _serve_view(view: ObjectView) -> int:
    def answer(request: HttpRequest) -> HttpReply:
        return HttpReply(200, view.export(request.path), "application/msgpack")

    server = await serve_http(("127.0.0.1", 0), answer)
    return server.sockets[0].getsockname()[1]
