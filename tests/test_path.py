"""The whole path as real processes."""

from __future__ import annotations

import unittest

from berylturn_standins.demo import run_demo


class WholePath(unittest.IsolatedAsyncioTestCase):
    """The demo, without and with faults on the fabric."""

    async def check_demo(self, loss):
        figures = await run_demo(loss)
        self.assertEqual(figures["answered"], figures["requests"])
        bad = [figures[key] for key in ("wrong", "lost", "doubled", "stream_gaps")]
        self.assertEqual(bad, [0, 0, 0, 0])
        self.assertGreater(figures["stream_items"], 0)

    async def test_clean_fabric(self):
        await self.check_demo(0.0)

    async def test_faulty_fabric(self):
        await self.check_demo(5.0)
