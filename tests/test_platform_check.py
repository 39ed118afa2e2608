"""Tests of the check that a node's copy has what the platform has."""

from __future__ import annotations

import asyncio
import unittest

from nose2.tools import params

from berylturn.errors import PlatformUnavailable, WatchExpired
from berylturn.process.object_view import KINDS, Kind, ObjectView
from berylturn.process.platform_check import PlatformCheck
from berylturn.version.snapshots import ObjectChange, StoredObject

from .test_view_sync import FakeClock

READ_REVISION = 7
CHANGED_REVISION = 9
CHANGE = ObjectChange(StoredObject("main", CHANGED_REVISION, b"{}"), removed=False)


class FakeStore:
    """A platform whose watches deliver nothing, with one change of a configuration."""

    def __init__(self, revision: int, error: type[Exception] | None) -> None:
        self.revision = revision
        self.error = error
        self.reads: list[Kind] = []
        self.ended: list[Kind] = []

    async def read_revision(self) -> int:
        if self.error is PlatformUnavailable:
            raise PlatformUnavailable("the platform answers 503; try again later")
        return self.revision

    async def read_changes(
        self, kind: Kind, revision: int
    ) -> tuple[int, list[ObjectChange]]:
        self.reads.append(kind)
        if self.error is WatchExpired:
            raise WatchExpired("the platform no longer keeps these; list again")
        is_new = kind is Kind.CONFIGURATION and revision < CHANGED_REVISION
        return self.revision, [CHANGE] if is_new else []

    def end_watch(self, kind: Kind) -> None:
        self.ended.append(kind)


class TestSilentWatch(unittest.TestCase):
    """A change must become known though the connection of its watch delivers nothing.

    Something between the node and the platform keeps such a connection alive, and a
    node that others rely on confirmed its old copy for as long as the watch waited.
    """

    @params(
        ("nothing has changed", READ_REVISION, None, False, [], [], True),
        ("the watch stays silent", CHANGED_REVISION, None, False, KINDS, [0], True),
        ("the watch delivers it", CHANGED_REVISION, None, True, KINDS, [], True),
        ("no answer", CHANGED_REVISION, PlatformUnavailable, False, [], [], False),
        (
            "history gone",
            CHANGED_REVISION,
            WatchExpired,
            False,
            KINDS[:1],
            [0, 0],
            False,
        ),
    )
    def test_check(
        self,
        _: str,
        revision: int,
        error: type[Exception] | None,
        delivered: bool,
        reads: list[Kind],
        ended: list[int],
        proved: bool,
    ) -> None:
        clock, store = FakeClock(), FakeStore(revision, error)
        view = ObjectView(lambda kind: None)
        proofs: list[float] = []
        check = PlatformCheck(
            view, store, clock, lambda: True, lambda: proofs.append(check.proved_at)
        )
        for kind in KINDS:
            view.replace(kind, READ_REVISION, [])
            check.on_answer(kind)
            check.on_watch_started(kind)
        clock.now += 5.0
        asyncio.run(check.check())
        self.assertEqual(list(reads), store.reads)
        self.assertEqual([clock.now] * proved, proofs)
        self.assertEqual(clock.now - 5.0 * (not proved), check.proved_at)
        has_change = "main" in view.snapshots[Kind.CONFIGURATION].objects
        self.assertEqual(proved and revision == CHANGED_REVISION, has_change)
        clock.now += 1.0
        if delivered:
            check.on_answer(Kind.CONFIGURATION)
            check.on_watch_started(Kind.CONFIGURATION)
        asyncio.run(check.check())
        self.assertEqual([KINDS[n] for n in ended], store.ended)

    @params(("the watch stays silent", False, [KINDS[0]]), ("it delivers", True, []))
    def test_change_that_a_peer_had_first(
        self, _: str, delivered: bool, ended: list[Kind]
    ) -> None:
        # A node that copied the change from a peer left its silent watch open, which
        # delivered no later change either until its own timeout.
        clock, store = FakeClock(), FakeStore(CHANGED_REVISION, None)
        view = ObjectView(lambda kind: None)
        check = PlatformCheck(view, store, clock, lambda: True, lambda: None)
        for kind in KINDS:
            view.replace(kind, READ_REVISION, [])
            check.on_watch_started(kind)
        for kind in KINDS:
            objects = [CHANGE.object] if kind is Kind.CONFIGURATION else []
            view.replace(kind, CHANGED_REVISION, objects)
        asyncio.run(check.check())
        clock.now += 1.0
        if delivered:
            check.on_answer(Kind.CONFIGURATION)
            check.on_watch_started(Kind.CONFIGURATION)
        asyncio.run(check.check())
        self.assertEqual(ended, store.ended)
