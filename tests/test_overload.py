"""Overload: what a server cannot process in time waits, moves on or is refused."""

from __future__ import annotations

import unittest

from nose2.tools import params

from .overload_replay import Replay

# The letters' and issues' targets: rejected arrivals under 5 %, answers at 90 % of what
# the servers can process throughout, and whole again within 2 s.
MAX_REJECTED_SHARE = 0.05
MIN_GOODPUT = 0.9
RECOVERY_SECONDS = 2.0


class TestOverload(unittest.TestCase):
    """Each request opens a flow, and servers of unlike speed are nearly or over full.

    Agents admitted whatever arrived, so the servers' queues grew until they rejected
    half of the requests, and callers' retries kept it so.
    """

    @params(1, 2, 3)
    def test_nearly_full(self, seed: int) -> None:
        replay = Replay(7, seed)
        replay.play([(8.0, 0.9)])
        self.assertLess(replay.rejected_share, MAX_REJECTED_SHARE)
        self.assertGreater(replay.share_in_aim(2.0, 8.0), MIN_GOODPUT)

    @params(1, 2, 3)
    def test_storm_ends_with_its_cause(self, seed: int) -> None:
        replay = Replay(7, seed)
        replay.play([(2.0, 0.8), (10.0, 1.5), (6.0, 0.8)])
        self.assertLess(replay.rejected_share, MAX_REJECTED_SHARE)
        self.assertGreater(replay.served_per_capacity(3.0, 12.0), MIN_GOODPUT)
        whole_from = 12.0 + RECOVERY_SECONDS
        self.assertGreater(replay.share_in_aim(whole_from, 18.0), MIN_GOODPUT)
