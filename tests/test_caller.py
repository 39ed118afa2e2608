"""The caller library with packets that are late, repeated or out of order."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from datetime import timedelta

from berylturn.caller import Caller, CallerFlow, Session
from berylturn.clock import SystemClock
from berylturn.connection.packets import (
    Accepted,
    AnswerPart,
    Cancel,
    Close,
    Packet,
    Refused,
    Request,
    decode_from_caller,
    encode_packet,
)
from berylturn.domain import RefusalReason
from berylturn.errors import FlowRefused, NotRun, OutcomeUnknown
from berylturn.process.sockets import open_udp
from berylturn.request.retry import RetryBudget

MINUTE = timedelta(minutes=1)


class FakeCaller:
    """Record the packets that a flow sends."""

    clock = SystemClock()

    def __init__(self) -> None:
        self.sent: list[Packet] = []
        self.counters: Counter[str] = Counter()

    def new_flow_id(self) -> bytes:
        """Return the same identifier for every flow."""
        return bytes(16)

    def send(self, packet: Packet) -> None:
        """Record a packet."""
        self.sent.append(packet)

    def send_bytes(self, data: bytes) -> None:
        """Decode and record an encoded packet."""
        self.sent.append(decode_from_caller(data))


class FakeFlow:
    """Raise the given errors, one for each request."""

    usable = True
    close_reason = None

    def __init__(self, errors):
        self.errors = list(errors)

    async def request(self, *_arguments):
        raise self.errors.pop(0)


class Retrying(unittest.IsolatedAsyncioTestCase):
    """The error that a session raises after several attempts."""

    async def check(self, errors, repeatable, expected):
        session = Session(FakeCaller(), "booking", RetryBudget(0.0, len(errors) - 1.0))
        session._flow = FakeFlow(errors)  # noqa: SLF001
        with self.assertRaises(expected):
            await session.request(b"", repeatable)

    async def test_attempt_that_may_have_run_makes_the_outcome_unknown(self):
        cases = [
            ([NotRun("full")], True, NotRun),
            ([OutcomeUnknown("lost")], False, OutcomeUnknown),
            ([OutcomeUnknown("lost"), NotRun("full")], True, OutcomeUnknown),
            ([NotRun("full"), OutcomeUnknown("lost")], False, OutcomeUnknown),
        ]
        for errors, repeatable, expected in cases:
            await self.check(errors, repeatable, expected)


class LowWaterMark(unittest.IsolatedAsyncioTestCase):
    """The number below which a flow lets its agent discard answers."""

    async def test_advances_past_an_open_stream(self):
        caller = FakeCaller()
        flow = CallerFlow(caller, "booking")
        flow.on_packet(Accepted(flow.flow_id, 1, b"token"))
        stream_task = asyncio.create_task(anext(flow.stream(b"board")))
        for number in range(1, 4):
            request_task = asyncio.create_task(flow.request(b"score"))
            await asyncio.sleep(0)
            part = AnswerPart(flow.flow_id, 1, number, 200, 0, 1, b"")
            flow.on_packet(part)
            await request_task
        requests = [p for p in caller.sent if isinstance(p, Request) and not p.stream]
        self.assertEqual([p.low_water for p in requests], [1, 2, 3])
        stream_task.cancel()
        await asyncio.gather(stream_task, return_exceptions=True)


class Cancelling(unittest.IsolatedAsyncioTestCase):
    """Requests whose callers stopped waiting."""

    async def test_cancelled_task_cancels_its_request(self):
        caller = FakeCaller()
        flow = CallerFlow(caller, "booking")
        flow.on_packet(Accepted(flow.flow_id, 1, b"token"))
        request_task = asyncio.create_task(flow.request(b"score"))
        await asyncio.sleep(0)
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)
        self.assertEqual(caller.sent[-1], Cancel(b"token", 0))


class ManualClock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def monotonic(self) -> float:
        """Return the seconds set by the test."""
        return self.seconds


class StarvedCaller(unittest.IsolatedAsyncioTestCase):
    """A caller that gets little CPU time.

    It must not lose answers, send more copies or take its own delay for a lost agent.
    """

    async def asyncSetUp(self):
        self.received = []
        self.entry = await open_udp(
            ("127.0.0.1", 0), lambda data, source: self.received.append((data, source))
        )

    async def asyncTearDown(self):
        self.entry.close()

    async def test_answer_to_the_previous_port_is_accepted(self):
        async with Caller(self.entry.get_extra_info("sockname")) as caller:
            open_task = asyncio.create_task(caller.open("booking"))
            while not self.received:
                await asyncio.sleep(0.001)
            data, source = self.received[0]
            caller.rebind()
            await asyncio.sleep(0.01)
            flow_id = decode_from_caller(data).flow_id
            self.entry.sendto(encode_packet(Accepted(flow_id, 1, b"token")), source)
            flow = await asyncio.wait_for(open_task, 1.0)
            self.assertTrue(flow.usable)

    async def test_unanswered_openings_back_off(self):
        async with Caller(self.entry.get_extra_info("sockname")) as caller:
            with self.assertRaises(FlowRefused):
                await caller.open("booking", timedelta(seconds=1.2))
        # The first retry is early, in case the first server chosen is dead. Without
        # backoff, 0.15 s apart, there would be eight.
        self.assertLessEqual(len(self.received), 4)
        self.assertGreaterEqual(len(self.received), 3)

    async def test_time_without_cpu_does_not_count_as_agent_silence(self):
        caller = FakeCaller()
        caller.clock = ManualClock()
        caller.forget = caller.rebind = lambda *_: None
        flow = CallerFlow(caller, "booking")
        flow.on_packet(Accepted(flow.flow_id, 1, b"token"))
        request_task = asyncio.create_task(flow.request(b"score", deadline=MINUTE))
        await asyncio.sleep(0.05)
        # The process does not run for 30 s, while the answer waits in the socket.
        caller.clock.seconds += 30.0
        await asyncio.sleep(0.15)
        flow.on_packet(AnswerPart(flow.flow_id, 1, 0, 200, 0, 1, b"done"))
        answer = await asyncio.wait_for(request_task, 1.0)
        self.assertEqual(answer.body, b"done")


class Opening(unittest.IsolatedAsyncioTestCase):
    """Answers to `Open` that arrive late, twice or from two agents."""

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
