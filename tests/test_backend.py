"""The adapter of the backend server against a stand-in that restarts or fails."""

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
from berylturn.connection.admission import AgentRules
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
from berylturn_standins.backend import BackendStandIn, Shape
from berylturn_standins.ports import HOST, free_port

from .test_rules import make_desk_view

CLOCK = SystemClock()
CALLER = (HOST, 1)
BALANCER = (HOST, 2)
SHAPE = Shape(
    ("booking",), slots=3, cold_limit=1, connections=99, speed=1.0, cold_seconds=0.1
)


TICK_SECONDS = 0.02


class Beside:
    """One agent's rules and runner beside a stand-in, in one event loop."""

    def __init__(self) -> None:
        self.server = BackendStandIn(SHAPE)
        self.outcomes: asyncio.Queue = asyncio.Queue()
        self.tokens: dict[bytes, bytes] = {}
        self.tasks = TaskGroup()

    async def __aenter__(self):
        port = free_port()
        self.listener = await self.server.start(HOST, port)
        second = timedelta(seconds=1)
        self.backend = HttpBackend(
            f"http://{HOST}:{port}", second, second, self.on_restart, CLOCK
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
            make_desk_view(SHAPE.cold_seconds, SHAPE.slots),
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
        self.tasks.start(self.backend.watch_restarts(), "sentinel")
        self.tasks.start(self.tick_forever(), "tick")
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
                self.take(decode_to_caller(effect.packet))

    def take(self, packet):
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

    async def run_past_the_gate(self, flow):
        body = {"id": "x", "service": "booking", "work_ms": 30, "size": 9}
        data = json.dumps(body).encode()
        await self.backend.prepare(flow)
        return await self.backend.run(Call(flow, 0, "booking", data, 5.0))

    async def collect(self, count):
        return [await self.outcomes.get() for _ in range(count)]


def flow(index):
    return bytes([index]) * 16


class Leaving(unittest.TestCase):
    """Callers that leave while their request connects or runs."""

    @params(*itertools.product((Cancel, Close), range(0, 24, 2)))
    def test_is_no_sign_of_a_cold_start(self, kind, turns):
        asyncio.run(self.check_leaving(kind, turns))

    async def check_leaving(self, kind, turns):
        async with Beside() as beside:
            beside.send(flow(0), work_ms=200)
            for _ in range(turns):
                await asyncio.sleep(0)
            token = beside.tokens[flow(0)]
            beside.deliver(Cancel(token, 0) if kind is Cancel else Close(token))
            while beside.rules.gate.running:
                await asyncio.sleep(0.01)
            self.assertEqual(beside.rules.gate.generation, 0)
            beside.send(flow(1))
            while AnswerPart not in await beside.collect(1):
                continue


class Sockets(unittest.TestCase):
    """Connections to the backend server."""

    def test_the_kernel_looks_for_a_peer_that_is_gone(self):
        opened = []

        def record(info):
            opened.append(open_socket(info))
            return opened[-1]

        with mock.patch("berylturn.process.backend.open_socket", record):
            asyncio.run(self.check_options(opened))

    async def check_options(self, opened):
        async with Beside() as beside:
            await beside.run_past_the_gate(flow(0))
            for option, value in SOCKET_OPTIONS.items():
                found = opened[0].getsockopt(socket.IPPROTO_TCP, option)
                self.assertEqual(found, value)


class BrokenServer(unittest.TestCase):
    """A server that takes connections and ends every request."""

    def test_comes_back_after_it_fell_over(self):
        asyncio.run(self.check_recovery())

    async def check_recovery(self):
        async with Beside() as beside:
            beside.server.restart()
            both = (beside.run_past_the_gate(flow(i)) for i in (8, 9))
            await asyncio.gather(*both, return_exceptions=True)
            self.assertEqual(beside.server.cold_overloads, 1)
            number = 0
            found = []
            while AnswerPart not in found:
                number += 1
                beside.send(flow(0), number)
                found += await beside.collect(1)
            self.assertLess(number, 8)


class ColdRaces(unittest.TestCase):
    """A restart at any instant between the start and the end of a request."""

    @params(*range(0, 24))
    def test_restart_after_some_turns_of_the_event_loop(self, turns):
        asyncio.run(self.check_restart(turns))

    async def check_restart(self, turns):
        async with Beside() as beside:
            for index in range(3):
                beside.send(flow(index))
            for _ in range(turns):
                await asyncio.sleep(0)
            beside.server.restart()
            await beside.collect(3)
            self.assertEqual(beside.server.cold_overloads, 0)
            ran = beside.server.executions.values()
            self.assertLessEqual(max(ran, default=0), 1)
