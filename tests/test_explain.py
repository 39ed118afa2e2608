"""`berylturn explain --node`: the forecast is what the nodes then do."""

from __future__ import annotations

import asyncio
import json
import random
import unittest

from nose2.tools import params

from berylturn.cli import choose_exit_status
from berylturn.connection.peer_frames import Forward
from berylturn.errors import BerylturnError
from berylturn.platform import packets
from berylturn.process.forecast import (
    fetch_forecast,
    serve_forecast,
)
from berylturn.process.http_server import HttpRequest

from .overload_replay import Replay
from .passthrough_mesh import SERVICE, START, SYN, Mesh, caller_packet, flow_key
from .test_second_offers import OfferMesh

AGENTS = {f"a{n}": (f"dc-{'ab'[n % 2]}", "desk") for n in range(6)}
OTHER_SERVICE = bytes([198, 18, 0, 9]) + (443).to_bytes(2, "big")


def state_of(mesh: Mesh) -> str:
    """Return what a forecast must not change."""
    return repr(
        (
            [b.describe(mesh.now) for b in mesh.boards.values()],
            [r._board.describe(mesh.now) for r in mesh.routers.values()],
            [r._hints for r in mesh.routers.values()],
            [(a.flows, a.queued, a.registered) for a in mesh.agents.values()],
            len(mesh.decisions),
            mesh.frame_counts,
        )
    )


class TestBalancer(unittest.TestCase):
    """The balancer's forecast names the agent that the opening is then sent to."""

    @params(*range(20))
    def test_same_as_the_decision(self, seed: int) -> None:
        chance = random.Random(seed)
        mesh = OfferMesh(AGENTS)
        for name in AGENTS:
            if chance.random() < 0.8:
                mesh.hear_load(
                    name,
                    busy=chance.uniform(0, 3),
                    accepting=chance.random() < 0.7,
                    cold=chance.random() < 0.3,
                    short_flows=seed % 2 == 0,
                    outstanding=chance.randrange(6),
                    service_ms=chance.uniform(1, 50),
                )
        router = mesh.routers["front-a"]
        for number in range(20):
            flow = flow_key(number)
            before = state_of(mesh)
            forecast = router.explain(flow, mesh.now)
            self.assertEqual(before, state_of(mesh))
            segment = packets.decode_from_caller(caller_packet(flow, SYN))
            (sent,) = router.on_caller(segment, mesh.now)
            self.assertEqual(sent.host, forecast["to"])
            open_to = [c["host"] for c in forecast["candidates"] if not c["excluded"]]
            if open_to:
                self.assertIn(sent.host, open_to)
            mesh.now += 0.01

    def test_open_flow(self) -> None:
        mesh = OfferMesh(AGENTS)
        owner = mesh.open_flow("front-a", flow_key(1))
        forecast = mesh.routers["front-a"].explain(flow_key(1), mesh.now)
        self.assertEqual(owner, forecast["holder"])
        at_owner = mesh.agents[owner].explain(flow_key(1), "dc-a", mesh.now)
        self.assertEqual((owner, "open"), (at_owner["holder"], at_owner["state"]))

    def test_no_agent(self) -> None:
        mesh = OfferMesh({"a1": ("dc-a", "room")})
        forecast = mesh.routers["front-a"].explain(flow_key(1), mesh.now)
        self.assertEqual("no_backend_server", forecast["refused"])


class TestAgent(unittest.TestCase):
    """The agent's forecast is what it then does with the opening."""

    @params(*((seed, load) for seed in (1, 2) for load in (0.7, 1.0, 1.6)))
    def test_same_as_the_decision(self, seed: int, load: float) -> None:
        replay = Replay(7, seed)
        outcomes: list[tuple] = []
        seen: set[str] = set()

        def check() -> None:
            name = replay.random.choice(list(replay.servers))
            flow = flow_key(40_000 + len(outcomes))
            rules = replay.agents[name]
            before = state_of(replay)
            forecast = rules.explain(flow, "dc-a", replay.now)
            self.assertEqual(before, state_of(replay))
            decided = len(replay.decisions)
            segment = packets.decode_from_caller(caller_packet(flow, SYN))
            frame = Forward("f0", "dc-a", 2, "desk", [], True, segment.data)
            replay._run_effects(name, rules.on_forward(frame, segment, replay.now))
            event, fields = next(
                (event, fields)
                for event, fields in replay.decisions[decided:]
                if fields["flow"] == flow
            )
            seen.add(event)
            outcomes.append((foreseen(forecast, name), happened(event, fields)))
            replay.after(0.02, check)

        replay.after(0.5, check)
        replay.play([(3.0, load)])
        self.assertEqual([], [pair for pair in outcomes if pair[0] != pair[1]])
        self.assertGreater(len(seen), 1)

    @params(("draining", "draining"), ("no_route", None))
    def test_refused(self, reason: str, obstacle: str | None) -> None:
        mesh = OfferMesh({"a1": ("dc-a", "desk")})
        mesh.report("a1", draining=True)
        service = OTHER_SERVICE if reason == "no_route" else SERVICE
        flow = flow_key(1, service)
        forecast = mesh.agents["a1"].explain(flow, "dc-a", mesh.now)
        self.assertEqual(reason, forecast["refused"])
        self.assertEqual(obstacle, forecast.get("obstacle"))


def foreseen(forecast: dict, name: str) -> tuple:
    """Return a forecast as event and detail."""
    if forecast["refused"]:
        return "flow_refused", forecast["refused"]
    if forecast["waits"] is not None:
        return "flow_waits", forecast["waits"]
    if forecast["to"] == name:
        return "flow_admitted", None
    return "flow_passed_on", forecast["to"]


def happened(event: str, fields: dict) -> tuple:
    """Return a decision as event and detail."""
    if event == "flow_waits":
        return event, round(fields["expected"], 4)
    if event == "flow_admitted":
        return event, None
    return event, fields["to" if event == "flow_passed_on" else "reason"]


class TestCommand(unittest.IsolatedAsyncioTestCase):
    """The command's answers and its errors."""

    async def asyncSetUp(self) -> None:
        self.mesh = OfferMesh({"a1": ("dc-a", "desk")})
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.node = f"127.0.0.1:{port}"

    async def asyncTearDown(self) -> None:
        self.server.close()
        await self.server.wait_closed()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request as a node's peer port does."""
        path = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
        router = self.mesh.routers["front-a"]

        def explain(flow: bytes) -> dict[str, object]:
            return {"flow": "F", **router.explain(flow, START)}

        reply = serve_forecast(HttpRequest("GET", path, b""), explain)
        head = f"HTTP/1.1 {reply.status} X\r\nContent-Length: {len(reply.body)}\r\n\r\n"
        writer.write(head.encode() + reply.body)
        await writer.drain()
        writer.close()

    async def test_answer(self) -> None:
        caller = "100.64.0.9:1025"
        text = await fetch_forecast(self.node, "198.18.0.1:443", caller, True)
        self.assertEqual("a1", json.loads(text)["to"])
        text = await fetch_forecast(self.node, "198.18.0.1:443", caller, False)
        self.assertIn("an opening would go to a1", text)

    @params(
        ("unknown address", "", "198.18.0.9:443", "100.64.0.9:1025", "no route"),
        ("unreachable node", "127.0.0.1:1", "198.18.0.1:443", "1.2.3.4:5", "reach"),
        ("node is none", "here", "198.18.0.1:443", "1.2.3.4:5", "--node"),
        ("no address", "", "", "1.2.3.4:5", "--address"),
        ("no caller", "", "198.18.0.1:443", "", "--from"),
        ("name for an address", "", "desk.example:443", "1.2.3.4:5", "status 400"),
        ("port out of range", "", "198.18.0.1:70000", "1.2.3.4:5", ""),
    )
    def test_errors(
        self, _: str, node: str, address: str, caller: str, message: str
    ) -> None:
        async def ask() -> None:
            await self.asyncSetUp()
            try:
                await fetch_forecast(node or self.node, address, caller, False)
            finally:
                await self.asyncTearDown()

        with self.assertRaises(BerylturnError) as raised:
            asyncio.run(ask())
        self.assertIn(message, str(raised.exception))
        self.assertEqual(1, choose_exit_status(raised.exception))
