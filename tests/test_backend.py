"""The client of the backend server against a stand-in that restarts or fails."""

from __future__ import annotations

import asyncio
import itertools
import json
import socket
import unittest
from datetime import timedelta
from unittest import mock

from nose2.tools import params

from berylturn.clock import SystemClock
from berylturn.connection.agent_rules import AgentRules
from berylturn.connection.effects import (
    CancelRequest,
    ReleaseFlow,
    SendToCaller,
    StartRequest,
)
from berylturn.connection.frames import ToAgent
from berylturn.connection.gate import AdmissionGate
from berylturn.connection.keys import Key, KeyRing
from berylturn.connection.opening import Identity
from berylturn.connection.packets import (
    Accepted,
    AnswerPart,
    Cancel,
    Close,
    Open,
    Request,
    RequestNotRun,
    RequestUnknown,
    decode_to_caller,
    encode_packet,
)
from berylturn.domain import Limits
from berylturn.process.backend import SOCKET_OPTIONS, Call, HttpBackend, open_socket
from berylturn.process.metrics import Metrics
from berylturn.process.runner import BackendRunner
from berylturn.process.tasks import TaskGroup
from berylturn.request.queue import RequestQueue
from berylturn_standins.backend import BackendOptions, BackendStandIn
from berylturn_standins.ports import HOST, free_port

from .test_rules import make_desk_view

CLOCK = SystemClock()
CALLER = (HOST, 1)
BALANCER = (HOST, 2)
BACKEND_OPTIONS = BackendOptions(
    ("booking",), slots=3, cold_limit=1, connections=99, speed=1.0, cold_seconds=0.1
)


TICK_SECONDS = 0.02


class AgentHarness:
    """Run an agent's rules and runner and a stand-in server in one event loop."""

    def __init__(self) -> None:
        self.server = BackendStandIn(BACKEND_OPTIONS)
        self.outcomes: asyncio.Queue = asyncio.Queue()
        self.tokens: dict[bytes, bytes] = {}
        self.tasks = TaskGroup()

    async def __aenter__(self):
        port = free_port()
        self.listener = await self.server.start(HOST, port)
        one_second = timedelta(seconds=1)
        self.backend = HttpBackend(
            f"http://{HOST}:{port}", one_second, one_second, self.on_restart, CLOCK
        )
        gate = AdmissionGate(
            Limits(slots=3, cold_limit=1, cold_seconds=0.1), CLOCK.monotonic()
        )
        gate.restore(3.0, 0.0, CLOCK.monotonic())
        self.rules = AgentRules(
            Identity("desk", "patan-hall", (HOST, 3), 1),
            KeyRing(Key(1, bytes(16))),
            gate,
            RequestQueue(8),
            make_desk_view(BACKEND_OPTIONS.cold_seconds, BACKEND_OPTIONS.slots),
            flow_idle=60.0,
        )
        self.runner = BackendRunner(
            self.backend,
            self.rules,
            self.tasks,
            CLOCK,
            Metrics(None, "desk"),
            self.apply,
            lambda _reason: self.on_restart(),
        )
        self.tasks.start(self.backend.watch_restarts, "sentinel")
        self.tasks.start(self.tick_forever, "tick")
        while self.server.cold:
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_error):
        await self.tasks.cancel_all()
        await self.backend.close()
        await self.listener.cleanup()

    def on_restart(self):
        self.rules.on_cold_start(CLOCK.monotonic())

    async def tick_forever(self):
        while True:
            now = CLOCK.monotonic()
            self.rules.set_server_up(not self.rules.gate.is_server_lost(now), now)
            self.rules.tick(now)
            self.apply()
            await asyncio.sleep(TICK_SECONDS)

    def apply(self):
        for effect in self.rules.outbox.pop_effects():
            if isinstance(effect, StartRequest):
                self.runner.start(effect)
            elif isinstance(effect, CancelRequest):
                self.tasks.spawn(self.runner.cancel(effect))
            elif isinstance(effect, ReleaseFlow):
                self.tasks.spawn(self.backend.release(effect.flow_id))
            elif isinstance(effect, SendToCaller):
                self.record_packet(decode_to_caller(effect.packet))

    def record_packet(self, packet):
        if isinstance(packet, Accepted):
            self.tokens[packet.flow_id] = packet.token
        elif isinstance(packet, AnswerPart | RequestNotRun | RequestUnknown):
            self.outcomes.put_nowait(type(packet))

    def deliver(self, packet):
        frame = ToAgent(CALLER, encode_packet(packet))
        self.rules.on_packet(frame, BALANCER, CLOCK.monotonic())
        self.apply()

    def send(self, flow, number=0, deadline_ms=5000, work_ms=30):
        if flow not in self.tokens:
            self.deliver(Open(flow, "booking"))
        name = f"{flow.hex()}-{number}"
        body = {"id": name, "service": "booking", "work_ms": work_ms, "size": 9}
        data = json.dumps(body).encode()
        token = self.tokens[flow]
        self.deliver(Request(token, number, 0, False, False, deadline_ms, 0, 1, data))

    async def run_bypassing_gate(self, flow):
        body = {"id": "x", "service": "booking", "work_ms": 30, "size": 9}
        data = json.dumps(body).encode()
        await self.backend.prepare(flow)
        return await self.backend.run(Call(flow, 0, "booking", data, 5.0))

    async def collect_outcomes(self, count):
        return [await self.outcomes.get() for _ in range(count)]


def flow(index):
    return bytes([index]) * 16


class AbandonedRequests(unittest.TestCase):
    """Cancelled requests and closed flows whose request still connects or runs.

    The end of their connections must not be taken for a restart of the server.
    """

    @params(*itertools.product((Cancel, Close), range(0, 24, 2)))
    def test_do_not_count_as_a_cold_start(self, kind, loop_iterations):
        asyncio.run(self.check_abandoned(kind, loop_iterations))

    async def check_abandoned(self, kind, loop_iterations):
        async with AgentHarness() as harness:
            harness.send(flow(0), work_ms=200)
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
            token = harness.tokens[flow(0)]
            harness.deliver(Cancel(token, 0) if kind is Cancel else Close(token))
            while harness.rules.gate.running:
                await asyncio.sleep(0.01)
            self.assertEqual(harness.rules.gate.generation, 0)
            harness.send(flow(1))
            while AnswerPart not in await harness.collect_outcomes(1):
                continue


class SocketOptions(unittest.TestCase):
    """Connections to the backend server."""

    def test_keepalive_options_are_set(self):
        opened = []

        def record(info):
            opened.append(open_socket(info))
            return opened[-1]

        with mock.patch("berylturn.process.backend.open_socket", record):
            asyncio.run(self.check_options(opened))

    async def check_options(self, opened):
        async with AgentHarness() as harness:
            await harness.run_bypassing_gate(flow(0))
            for option, value in SOCKET_OPTIONS.items():
                actual = opened[0].getsockopt(socket.IPPROTO_TCP, option)
                self.assertEqual(actual, value)


class BrokenServer(unittest.TestCase):
    """A server that accepts connections and fails every request after an overload."""

    def test_serves_again_after_a_cold_overload(self):
        asyncio.run(self.check_recovery())

    async def check_recovery(self):
        async with AgentHarness() as harness:
            harness.server.restart()
            overload = (harness.run_bypassing_gate(flow(i)) for i in (8, 9))
            await asyncio.gather(*overload, return_exceptions=True)
            self.assertEqual(harness.server.cold_overloads, 1)
            number = 0
            outcomes = []
            while AnswerPart not in outcomes:
                number += 1
                harness.send(flow(0), number)
                outcomes += await harness.collect_outcomes(1)
            self.assertLess(number, 8)


class RestartRaces(unittest.TestCase):
    """A restart at any moment between the start and the end of a request.

    The cold server must not get more requests than it can take, and none twice.
    """

    @params(*range(0, 24))
    def test_restart_after_some_loop_iterations(self, loop_iterations):
        asyncio.run(self.check_restart(loop_iterations))

    async def check_restart(self, loop_iterations):
        async with AgentHarness() as harness:
            for index in range(3):
                harness.send(flow(index))
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
            harness.server.restart()
            await harness.collect_outcomes(3)
            self.assertEqual(harness.server.cold_overloads, 0)
            execution_counts = harness.server.executions.values()
            self.assertLessEqual(max(execution_counts, default=0), 1)
