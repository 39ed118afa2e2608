"""Tests of copies of the platform's objects and their exchange between peers."""

from __future__ import annotations

import unittest

from nose2.tools import params

from berylturn.process.object_view import Kind, ObjectView
from berylturn.version.snapshots import StoredObject


class TestShares(unittest.TestCase):
    """Send a peer the objects that it does not have, and no others."""

    CONFIGURED = StoredObject("main", 5, b"x" * 5_000)

    @params(("knows nothing", None), ("knows the same", 5), ("knows an older one", 4))
    def test_export(self, _: str, revision: int | None) -> None:
        full, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        full.replace(Kind.CONFIGURATION, 9, [self.CONFIGURED])
        if revision is not None:
            copy = StoredObject("main", revision, self.CONFIGURED.body)
            peer.replace(Kind.CONFIGURATION, revision, [copy])
        shared = full.export(peer.export_path())
        self.assertEqual(revision != 5, len(shared) > 5_000)
        peer.merge(shared)
        snapshot = peer.snapshots[Kind.CONFIGURATION]
        self.assertEqual(full.snapshots[Kind.CONFIGURATION], snapshot)

    @params("/view", "/view?known=", "/view?known=x.y", "/view?known=1.2.3.4.5")
    def test_unreadable_request_gets_all_objects(self, path: str) -> None:
        full, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        full.replace(Kind.CONFIGURATION, 9, [self.CONFIGURED])
        peer.merge(full.export(path))
        self.assertEqual(9, peer.snapshots[Kind.CONFIGURATION].at_revision)

    @params(
        ("the last one added", [CONFIGURED], 5),
        ("one of many", [CONFIGURED, StoredObject("other", 8, b"")], 8),
    )
    def test_removal_seen_by_nobody_else(
        self, _: str, remaining: list[StoredObject], newest: int
    ) -> None:
        fresh, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        peer.replace(Kind.AGENTS, 8, [*remaining, StoredObject("gone", 3, b"")])
        # Read after the removal, so no revision shows it.
        fresh.replace(Kind.AGENTS, 12, remaining)
        self.assertEqual(newest, fresh.snapshots[Kind.AGENTS].newest)
        self.assertFalse(peer.matches(fresh.newest, fresh.digests))
        peer.merge(fresh.export(peer.export_path()))
        self.assertEqual(
            fresh.snapshots[Kind.AGENTS].objects, peer.snapshots[Kind.AGENTS].objects
        )
        self.assertTrue(peer.matches(fresh.newest, fresh.digests))
        # The node that read the platform does not pull in return.
        self.assertFalse(fresh.needs_pull(peer.newest, peer.digests))

    def test_copy_of_a_list_that_changed_between_its_pages(self) -> None:
        listed, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        # The first page is of revision 10; the second has an object written at 12.
        objects = [StoredObject("a", 3, b""), StoredObject("b", 12, b"")]
        listed.replace(Kind.AGENTS, 10, objects)
        peer.merge(listed.export(peer.export_path()))
        self.assertEqual(listed.digests, peer.digests)
        # Otherwise each frame of the other node makes the peer pull the copy again.
        self.assertFalse(peer.is_behind(listed.newest))
