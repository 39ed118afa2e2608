"""The caller library against packets in awkward orders."""

from __future__ import annotations

import unittest

from berylturn.caller import CallerFlow
from berylturn.connection.packets import (
    Accepted,
    Close,
    Packet,
    RefusalReason,
    Refused,
)
from berylturn.process.clock import SystemClock


class FakeCaller:
    """Collect what a flow sends."""

    clock = SystemClock()

    def __init__(self) -> None:
        self.sent: list[Packet] = []

    def send(self, packet: Packet) -> None:
        """Keep a packet."""
        self.sent.append(packet)


class Opening(unittest.IsolatedAsyncioTestCase):
    """Answers to `Open` that come late, twice or from two agents."""

    async def test_acceptance_between_attempts_opens_the_flow(self):
        caller = FakeCaller()
        flow = CallerFlow(caller, "booking")
        self.assertIsNone(await flow.wait_opened(0.001))
        flow.on_packet(Accepted(flow.flow_id, 1, b"first"))
        flow.on_packet(Accepted(flow.flow_id, 2, b"second"))
        opened = await flow.wait_opened(0.001)
        self.assertEqual(opened.token, b"first")
        self.assertEqual(caller.sent, [Close(b"second")])

    async def test_refusal_after_acceptance_is_ignored(self):
        flow = CallerFlow(FakeCaller(), "booking")
        flow.on_packet(Accepted(flow.flow_id, 1, b"first"))
        flow.on_packet(Refused(flow.flow_id, 1, RefusalReason.FULL))
        self.assertTrue(flow.usable)
