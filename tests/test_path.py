"""Callers, fabric, balancers, agents and servers as real processes."""

from __future__ import annotations

import asyncio
import unittest

from berylturn_standins.demo import run_demo


class WholePath(unittest.TestCase):
    """The demo, with and without lost, doubled and reordered packets on the fabric.

    An `IsolatedAsyncioTestCase` would enable the event loop's debug mode, in which the
    callers of 100 flows take several times the CPU time.
    """

    def check_demo(self, loss):
        figures = asyncio.run(run_demo(loss))
        self.assertEqual(figures["answered"], figures["requests"])
        fault_counts = [
            figures[key] for key in ("wrong", "lost", "doubled", "stream_gaps")
        ]
        self.assertEqual(fault_counts, [0, 0, 0, 0])
        self.assertGreater(figures["stream_items"], 0)

    def test_clean_fabric(self):
        self.check_demo(0.0)

    def test_faulty_fabric(self):
        self.check_demo(5.0)
