"""Shares of callers: who is ahead of its share waits behind the others."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from berylturn.connection.admission.caller_shares import (
    ACTIVE_SECONDS,
    BURST_OPENINGS,
    MAX_CALLERS,
    MAX_OPENINGS_AHEAD,
    CallerShares,
)
from berylturn.errors import SettingsError
from berylturn.process.settings import PassthroughAgentSettings, read_settings

from .fair_replay import FairReplay

START = 100.0
SECONDS_PER_OPENING = 0.01
SAMPLE = Path(__file__).parent.parent / "samples" / "passthrough-agent.ini"
SPAN = (2.0, 12.0)


def caller(number: int) -> bytes:
    """Return the packed address of a caller."""
    return number.to_bytes(4, "big")


class TestCallerShares(unittest.TestCase):
    """A caller's clock runs ahead by what it gets, and state stays bounded."""

    def setUp(self) -> None:
        self.shares = CallerShares()
        for number in range(10):
            self.shares.record(caller(number), START)
        # Ten callers share a server that takes 100 openings a second.
        self.share_seconds = 10 * SECONDS_PER_OPENING

    def lead(self, number: int, now: float = START) -> float:
        """Return by how much a caller is ahead."""
        return self.shares.lead_seconds(caller(number), SECONDS_PER_OPENING, now)

    def charge(self, number: int, openings: float) -> None:
        """Charge a caller for openings."""
        self.shares.charge(caller(number), openings, SECONDS_PER_OPENING, START)

    @params(
        ("none", 0.0, 0.0),
        ("within a burst", BURST_OPENINGS - 0.5, 0.0),
        ("more than a burst", BURST_OPENINGS + 1, 1.0),
        ("far more", 100.0, MAX_OPENINGS_AHEAD - BURST_OPENINGS),
    )
    def test_lead(self, _: str, openings: float, shares_ahead: float) -> None:
        self.charge(1, openings)
        self.assertAlmostEqual(shares_ahead * self.share_seconds, self.lead(1))
        self.assertEqual(0.0, self.lead(2))
        self.assertEqual(
            int(shares_ahead > 0), self.shares.count_ahead(SECONDS_PER_OPENING, START)
        )

    def test_lead_ends_with_time(self) -> None:
        self.charge(1, 100.0)
        later = START + (MAX_OPENINGS_AHEAD - BURST_OPENINGS) * self.share_seconds
        self.assertAlmostEqual(0.0, self.lead(1, later))

    def test_charge_is_taken_back(self) -> None:
        self.charge(1, 4.0)
        self.charge(1, -4.0)
        self.assertEqual(0.0, self.lead(1))

    def test_idle_callers_are_forgotten(self) -> None:
        self.charge(1, 100.0)
        self.shares.record(caller(99), START + ACTIVE_SECONDS + 0.1)
        self.assertEqual(1, len(self.shares))

    def test_callers_are_bounded(self) -> None:
        for number in range(3 * MAX_CALLERS):
            self.shares.record(caller(number), START)
        self.assertEqual(MAX_CALLERS, len(self.shares))

    def test_unknown_caller_is_not_charged(self) -> None:
        self.charge(99, 4.0)
        self.assertEqual(10, len(self.shares))


class TestFairness(unittest.TestCase):
    """Callers ask for 150 % of the capacity, and one of 200 for 30 times its share.

    Its requests took the places of the others', in proportion to what it asked for.
    """

    @params(1, 2)
    def test_one_caller_asks_for_too_much(self, seed: int) -> None:
        off, fair = FairReplay(seed, fair=False), FairReplay(seed, fair=True)
        for replay in (off, fair):
            replay.play([(SPAN[1], 1.5)])
        self.assertGreater(
            fair.share_of_others(*SPAN), 1.04 * off.share_of_others(*SPAN)
        )
        self.assertLess(
            fair.answered_in_time(0, *SPAN), 0.55 * off.answered_in_time(0, *SPAN)
        )
        self.assertGreater(
            fair.served_per_capacity(*SPAN), off.served_per_capacity(*SPAN) - 0.02
        )
        self.assertLess(fair.longest_starved(*SPAN), off.longest_starved(*SPAN))
        self.assertEqual([], [d for d in off.events("flow_refused") if "lead" in d])
        reasons = {d["reason"] for d in fair.events("flow_refused")}
        self.assertIn("over_share", reasons)


class TestSettings(unittest.TestCase):
    """Shares are off unless the settings tell callers apart."""

    @params(("", "off"), ("\n[fairness]\ncallers = address\n", "address"))
    def test_section(self, section: str, expected: str) -> None:
        settings = self.read(section)
        self.assertEqual(expected, settings.fairness.callers)

    def test_wrong_value_names_the_key(self) -> None:
        with self.assertRaisesRegex(SettingsError, "fairness.callers"):
            self.read("\n[fairness]\ncallers = port\n")

    def read(self, section: str) -> PassthroughAgentSettings:
        """Return the settings of the sample with another section."""
        text = SAMPLE.read_text().partition("[fairness]")[0] + section
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text)
            file.flush()
            return read_settings(file.name, PassthroughAgentSettings)
