"""Openings at cold servers: who waits, comes back or is refused."""

from __future__ import annotations

import unittest

from nose2.tools import params

from .cold_replay import COLD_LIMIT, SERVERS, ColdReplay

REPLAY_SECONDS = 8.0
SENT_SECONDS = 4.0


class TestColdAdmission(unittest.TestCase):
    """All servers restart together, and callers open 2 to 4 times what cold ones take.

    Callers were refused again and again within milliseconds, so a fifth to a third of
    them had used up their retries before the servers were warm.
    """

    @params(
        (2.0, 1.5, 0.59, 0.18),
        (2.0, 2.5, 0.59, 0.15),
        (3.0, 1.5, 0.53, 0.26),
        (3.0, 2.5, 0.53, 0.24),
        (4.0, 1.5, 0.51, 0.36),
        (4.0, 2.5, 0.49, 0.33),
    )
    def test_callers_keep_their_retries(
        self, load: float, deadline: float, least_in_time: float, most_lost: float
    ) -> None:
        replay = ColdReplay(load, 1, deadline=deadline)
        replay.play_for(REPLAY_SECONDS)
        outcomes = replay.count(0.0, SENT_SECONDS)
        sent = outcomes.in_time + outcomes.late + outcomes.lost
        self.assertGreater(outcomes.in_time / sent, least_in_time)
        self.assertLess(outcomes.lost / sent, most_lost)

    @params(2.0, 3.0, 4.0)
    def test_limit_is_kept_and_used(self, load: float) -> None:
        replay = ColdReplay(load, 2)
        replay.play_for(REPLAY_SECONDS)
        busiest = max(replay.busiest_second(name) for name in replay.servers)
        self.assertLessEqual(busiest, COLD_LIMIT)
        # The first reports come after 0.3 to 0.8 s, so two windows of 1.05 s begin.
        self.assertEqual(2 * COLD_LIMIT * SERVERS, replay.cold_openings)
