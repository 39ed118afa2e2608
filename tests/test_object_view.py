"""Tests of copies of the platform's objects and their exchange between peers."""

from __future__ import annotations

import random
import unittest

from nose2.tools import params

from berylturn.decoding import decompress
from berylturn.process.object_view import Kind, ObjectView
from berylturn.version.snapshots import ObjectChange, StoredObject


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
        self.assertEqual(revision != 5, len(decompress(shared)) > 5_000)
        self.assertLess(len(shared), 500)
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


class TestChangesAlone(unittest.TestCase):
    """A peer that has an earlier copy gets what has changed since, not all objects.

    Load pattern: one of 136 entries changes, and 190 nodes copied the whole directory.
    """

    def make_pair(self, peer_revision: int) -> tuple[ObjectView, ObjectView]:
        """Return a view that has followed 136 objects, and a peer's earlier copy."""
        objects = [StoredObject(f"side-{n}", n + 1, b"x" * 120) for n in range(136)]
        full, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        full.replace(Kind.AGENTS, 200, objects)
        peer.replace(Kind.AGENTS, peer_revision, objects)
        return full, peer

    @params(
        ("written", [ObjectChange(StoredObject("side-7", 201, b"y"), False)]),
        ("added", [ObjectChange(StoredObject("new", 201, b"y"), False)]),
        ("removed", [ObjectChange(StoredObject("side-7", 8, b""), True)]),
        (
            "removed and added again",
            [
                ObjectChange(StoredObject("side-7", 8, b""), True),
                ObjectChange(StoredObject("side-7", 202, b"z"), False),
            ],
        ),
    )
    def test_one_change(self, _: str, changes: list[ObjectChange]) -> None:
        full, peer = self.make_pair(200)
        full.apply(Kind.AGENTS, 203, changes)
        shared = full.export(peer.export_path())
        self.assertLess(len(shared), 400)
        peer.merge(shared)
        self.assertEqual(full.snapshots[Kind.AGENTS], peer.snapshots[Kind.AGENTS])
        # The peer passes the change on in the same way.
        _, other = self.make_pair(200)
        other.merge(full.export(other.export_path()))
        self.assertTrue(other.matches(peer.newest, peer.digests))

    def test_copy_from_before_the_record_of_removals(self) -> None:
        full, peer = self.make_pair(150)
        peer.apply(
            Kind.AGENTS, 160, [ObjectChange(StoredObject("gone", 160, b""), False)]
        )
        # The other node read its list after "gone" had been added and removed.
        peer.merge(full.export(peer.export_path()))
        self.assertEqual(full.digests, peer.digests)
        self.assertNotIn("gone", peer.snapshots[Kind.AGENTS].objects)

    def test_copy_that_had_missed_a_change_is_replaced(self) -> None:
        full, peer = self.make_pair(200)
        del peer.snapshots[Kind.AGENTS].objects["side-3"]
        full.apply(
            Kind.AGENTS, 201, [ObjectChange(StoredObject("new", 201, b"y"), False)]
        )
        peer.snapshots[Kind.AGENTS]._digest = None
        peer.merge(full.export(peer.export_path()))
        self.assertNotIn("side-3", peer.snapshots[Kind.AGENTS].objects)
        peer.merge(full.export(peer.export_path()))
        self.assertEqual(full.snapshots[Kind.AGENTS], peer.snapshots[Kind.AGENTS])

    @params(*range(20))
    def test_any_order_of_copies(self, seed: int) -> None:
        generator = random.Random(seed)
        truth: dict[int, dict[str, StoredObject]] = {1: {}}
        events: list[tuple[int, ObjectChange]] = []
        views = [ObjectView(lambda kind: None) for _ in range(4)]
        for revision in range(2, 120):
            objects = dict(truth[revision - 1])
            name = generator.choice("abcdef")
            removed = name in objects and generator.random() < 0.4
            item = StoredObject(name, revision, b"")
            if removed:
                item = objects.pop(name)
            else:
                objects[name] = item
            truth[revision] = objects
            events.append((revision, ObjectChange(item, removed)))
            action = generator.random()
            view = generator.choice(views)
            snapshot = view.snapshots[Kind.AGENTS]
            if action < 0.1:
                views[views.index(view)] = ObjectView(lambda kind: None)
            elif action < 0.25:
                view.replace(Kind.AGENTS, revision, objects.values())
            elif action < 0.45 and snapshot.known:
                since = [change for at, change in events if at > snapshot.at_revision]
                view.apply(Kind.AGENTS, revision, since)
            else:
                source = generator.choice(views)
                view.merge(source.export(view.export_path()))
            for checked in views:
                held = checked.snapshots[Kind.AGENTS]
                if held.known:
                    self.assertEqual(truth[held.at_revision], held.objects)
