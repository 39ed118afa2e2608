"""Tables for agents whose entries vanish from the platform."""

from __future__ import annotations

import unittest

from nose2.tools import params

from berylturn.version.agent_directory import LAPSE_SECONDS, AgentDirectory
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
        ("given up", LAPSE_SECONDS + 0.1, False),
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
        self.assertIsNone(directory.expire(START + LAPSE_SECONDS + 1))

    def test_entry_that_is_back_stays(self) -> None:
        directory = AgentDirectory(lambda host: False)
        for entries in (DESK, DESK[1:], DESK):
            held = directory.replace(entries, START)
        self.assertEqual([], directory.lapsed)
        self.assertIsNone(directory.expire(START + LAPSE_SECONDS + 1))
        self.assertEqual(3, len(held.by_service["desk"]))
