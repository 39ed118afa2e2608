"""Tests of the entries of agents in the platform."""

from __future__ import annotations

import asyncio
import unittest

from nose2.tools import params

from berylturn.errors import PlatformUnavailable
from berylturn.process.agent_entries import EntryWriter
from berylturn.process.object_view import ObjectView
from berylturn.version.agent_directory import ENTRY_GRACE_SECONDS, AgentDirectory
from berylturn.version.owners import AgentEntry

START = 100.0
DESK = [AgentEntry(f"a{n}", f"10.0.0.{n}", "dc-a", "desk") for n in range(1, 4)]
REUSED = AgentEntry("b1", DESK[0].host, "dc-a", "room")


class TestLapsedEntries(unittest.TestCase):
    """Keep agents whose entry is missing for a grace period.

    A live agent restores an entry that the platform lost within two seconds. Until then
    it may own a flow that no other agent knows.
    """

    @params(
        ("at once", 0.0, True),
        ("while it may be written again", 2.0, True),
        ("after the grace period", ENTRY_GRACE_SECONDS + 0.1, False),
    )
    def test_kept_for_a_while(self, _: str, delay_seconds: float, kept: bool) -> None:
        directory = AgentDirectory(lambda host: False)
        directory.replace(DESK, START)
        directory_now = directory.replace(DESK[1:], START)
        self.assertIn(DESK[0].host, directory_now.by_host)
        directory_now = directory.expire(START + delay_seconds) or directory_now
        self.assertEqual(kept, DESK[0].host in directory_now.by_host)
        self.assertEqual(kept, DESK[0] in directory_now.by_service["desk"])

    @params(
        ("it reported that its server left", {DESK[0].host}, DESK[1:]),
        ("its address is in use again", set(), [*DESK[1:], REUSED]),
    )
    def test_dropped_immediately(
        self, _: str, departed_hosts: set[str], entries: list
    ) -> None:
        directory = AgentDirectory(departed_hosts.__contains__)
        directory.replace(DESK, START)
        directory_now = directory.replace(entries, START)
        self.assertNotIn(DESK[0], directory_now.by_service["desk"])
        self.assertIsNone(directory.expire(START + ENTRY_GRACE_SECONDS + 1))

    def test_entry_that_is_back_stays(self) -> None:
        directory = AgentDirectory(lambda host: False)
        for entries in (DESK, DESK[1:], DESK):
            directory_now = directory.replace(entries, START)
        self.assertEqual([], directory.lapsed)
        self.assertIsNone(directory.expire(START + ENTRY_GRACE_SECONDS + 1))
        self.assertEqual(3, len(directory_now.by_service["desk"]))


class TestEntryWriter(unittest.TestCase):
    """An agent whose server has left removes its entry with one call."""

    @params(
        ("while it runs", ["write", "stop"], ["removed"]),
        ("only when it stops", ["stop"], ["removed"]),
        ("platform refuses the first", ["refused", "stop"], ["refused", "removed"]),
        (
            "server is back",
            ["write", "back", "stop"],
            ["removed", "written", "removed"],
        ),
    )
    def test_calls(self, _: str, steps: list[str], calls: list[str]) -> None:
        store = RecordingStore()
        view = ObjectView(lambda kind: None)
        writer = EntryWriter(DESK[0].name, view, store)

        async def run() -> None:
            for step in steps:
                writer.set_entry(DESK[0] if step == "back" else None)
                store.refuses = step == "refused"
                if step == "stop" and writer.removed:
                    continue
                try:
                    await writer.write()
                except PlatformUnavailable:
                    self.assertFalse(writer.removed)

        asyncio.run(run())
        self.assertEqual(calls, store.calls)
        self.assertTrue(writer.removed)


class RecordingStore:
    """A platform that records writes or refuses them."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.refuses = False

    async def put_object(self, *_: object) -> None:
        self.calls.append("written")

    async def remove_object(self, *_: object) -> None:
        if self.refuses:
            self.calls.append("refused")
            raise PlatformUnavailable("the platform answers 503; try again later")
        self.calls.append("removed")
