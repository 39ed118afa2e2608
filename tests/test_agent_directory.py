"""Tables for the entries of agents in the platform."""

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
    """An entry that the platform lost is back within two seconds, or its agent is gone.

    Until then a flow that nobody else knows may be the agent's own.
    """

    @params(
        ("at once", 0.0, True),
        ("while it may be written again", 2.0, True),
        ("given up", ENTRY_GRACE_SECONDS + 0.1, False),
    )
    def test_kept_for_a_while(self, _: str, after: float, kept: bool) -> None:
        directory = AgentDirectory(lambda host: False)
        directory.replace(DESK, START)
        held = directory.replace(DESK[1:], START)
        self.assertIn(DESK[0].host, held.by_host)
        held = directory.expire(START + after) or held
        self.assertEqual(kept, DESK[0].host in held.by_host)
        self.assertEqual(kept, DESK[0] in held.by_service["desk"])

    @params(
        ("it said that its server is gone", {DESK[0].host}, DESK[1:]),
        ("its address is in use again", set(), [*DESK[1:], REUSED]),
    )
    def test_gone_at_once(self, _: str, left: set[str], entries: list) -> None:
        directory = AgentDirectory(left.__contains__)
        directory.replace(DESK, START)
        held = directory.replace(entries, START)
        self.assertNotIn(DESK[0], held.by_service["desk"])
        self.assertIsNone(directory.expire(START + ENTRY_GRACE_SECONDS + 1))

    def test_entry_that_is_back_stays(self) -> None:
        directory = AgentDirectory(lambda host: False)
        for entries in (DESK, DESK[1:], DESK):
            held = directory.replace(entries, START)
        self.assertEqual([], directory.lapsed)
        self.assertIsNone(directory.expire(START + ENTRY_GRACE_SECONDS + 1))
        self.assertEqual(3, len(held.by_service["desk"]))


class TestEntryKeeper(unittest.TestCase):
    """An agent whose server has left takes its entry away, with one call."""

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
        store = NotingStore()
        view = ObjectView(lambda kind: None)
        keeper = EntryWriter(DESK[0].name, view, store)

        async def play() -> None:
            for step in steps:
                keeper.set_entry(DESK[0] if step == "back" else None)
                store.refuses = step == "refused"
                if step == "stop" and keeper.removed:
                    continue
                try:
                    await keeper.write()
                except PlatformUnavailable:
                    self.assertFalse(keeper.removed)

        asyncio.run(play())
        self.assertEqual(calls, store.calls)
        self.assertTrue(keeper.removed)


class NotingStore:
    """A platform that notes writes, or refuses them."""

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
