"""Measure the cost of each mechanism at several sizes and fit its slope.

Processor time is also given as a ratio to one datagram echoed over loopback in the
same run, since machines differ.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import socket
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import psutil
import uvloop

from berylturn.caller import Caller
from berylturn.clock import SystemClock
from berylturn.connection.admission import AgentRules
from berylturn.connection.effects import SendToCaller
from berylturn.connection.frames import (
    Announce,
    GossipPing,
    ToAgent,
    ToCaller,
    sign_frame,
    verify_frame,
)
from berylturn.connection.gate import AdmissionGate
from berylturn.connection.keys import KeyRing, parse_key
from berylturn.connection.opening import Identity
from berylturn.connection.packets import Accepted, Open, Ping, encode_packet
from berylturn.connection.router import route_packet
from berylturn.connection.token import RouteToken, issue_token
from berylturn.domain import ConfigObject, Limits, MemberState, Role, Status
from berylturn.process.announce_replies import answer_announce
from berylturn.process.logs import LogWriter, log_event
from berylturn.process.membership import Membership
from berylturn.request.queue import RequestQueue
from berylturn.version.view import View
from berylturn_standins import scenarios
from berylturn_standins.deployment import Deployment
from berylturn_standins.load import RequestPlan, Tally, run_session
from berylturn_standins.plan import BalancerPlan, Plan, ServerPlan

KEYS = KeyRing(parse_key("1:" + "aa" * 16))
CALLER = ("127.0.0.1", 40_000)
ROUNDS = 20_000
IP_UDP_BYTES = 28
SERVERS_PER_SERVICE = 4
TARGET_AGENTS = 4800
TARGET_BALANCERS = 850
TARGET_SERVICES = 1300
IDLE_SECONDS = 10.0
CONNECTED = 1000


@dataclass(frozen=True)
class Slope:
    """Straight line through measured points."""

    base: float
    per_unit: float


def fit_slope(sizes: list[int], values: list[float]) -> Slope:
    """Return the least-squares line of `values` over `sizes`."""
    line = statistics.linear_regression(sizes, values)
    return Slope(round(line.intercept, 2), round(line.slope, 4))


def time_call(call: Callable[[], object], rounds: int = ROUNDS) -> float:
    """Return the median processor microseconds of one call over five runs."""
    samples = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(rounds):
            call()
        samples.append((time.process_time() - started) / rounds * 1e6)
    return round(statistics.median(samples), 2)


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that Python allocates for what `build` returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


async def echo_microseconds() -> float:
    """Return the processor microseconds of one bare datagram echo on uvloop."""

    class Echo(asyncio.DatagramProtocol):
        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, addr):
            self.transport.sendto(data, addr)

    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        Echo, local_addr=("127.0.0.1", 0)
    )
    address = transport.get_extra_info("sockname")
    total = 0
    spent = 0.0
    with socket.socket(type=socket.SOCK_DGRAM) as client:
        client.setblocking(False)
        for _ in range(200):
            for _ in range(50):
                client.sendto(bytes(200), address)
            total += 50
            started = time.process_time()
            await asyncio.sleep(0.002)
            spent += time.process_time() - started
            while True:
                try:
                    client.recv(2048)
                except BlockingIOError:
                    break
    transport.close()
    return round(spent / total * 1e6, 2)


def build_view(agents: int) -> View:
    """Return a view of that many agents, four to a service."""
    view = View()
    objects = []
    for i in range(agents):
        service = f"service-{i // SERVERS_PER_SERVICE}"
        labels = {"labels": {"app": service, "slots": "3", "speed": "1.5"}}
        objects.append(ConfigObject(f"server/s{i}", i + 1, json.dumps(labels).encode()))
    for i in range(agents // SERVERS_PER_SERVICE):
        body = {
            "service": f"service-{i}",
            "address": f"10.0.{i // 250}.{i % 250}:9000",
            "match": f"app=service-{i}",
            "shares": {"dc-0": 50, "dc-1": 50},
        }
        objects.append(
            ConfigObject(
                f"selector/service-{i}", agents + i + 1, json.dumps(body).encode()
            )
        )
    view.apply(objects)
    for i in range(agents):
        view.set_agent(make_agent(i))
    return view


def make_agent(index: int) -> MemberState:
    """Return the state of one agent."""
    return MemberState(
        f"s{index}",
        Role.AGENT,
        f"dc-{index % 2}",
        (f"10.1.{index // 250}.{index % 250}", 7000),
        1_700_000_000_000,
        Status.ALIVE,
    )


def make_balancer(index: int) -> MemberState:
    """Return the state of one balancer."""
    address = f"10.2.{index // 250}.{index % 250}"
    return MemberState(
        f"b{index}",
        Role.BALANCER,
        f"dc-{index % 6}",
        (address, 7000),
        1_700_000_000_000,
        Status.ALIVE,
        f"{address}:7002",
    )


def build_membership(agents: int, balancers: int) -> Membership:
    """Return a settled membership of that size."""
    membership = Membership(make_balancer(0), 0.0, seed=1)
    membership.merge([make_balancer(i) for i in range(balancers)], 0.0)
    membership.merge([make_agent(i) for i in range(agents)], 0.0)
    membership.pop_changes()
    while membership.has_updates:
        membership.on_ping(GossipPing(0, make_balancer(1), [], b"", b""), CALLER, 0.0)
    return membership


def routed_packet() -> float:
    """Return the cost of routing one packet by its token, sealed for the agent."""
    view = build_view(400)
    token = issue_token(
        RouteToken("10.1.0.1", 7000, 5, "dc-0", "service-0", bytes(16)), KEYS
    )
    data = encode_packet(Ping(token, 3, 4))

    def route() -> bytes:
        route_packet(data, view, KEYS)
        return sign_frame(ToAgent(CALLER, data), KEYS)

    return time_call(route)


def placed_open(with_log: bool) -> float:
    """Return the cost of placing one flow, with or without its log line."""
    view = build_view(400)
    with tempfile.NamedTemporaryFile() as file:
        writer = LogWriter(file.name, "INFO", "bench", SystemClock())

        def place() -> bytes:
            flow = os.urandom(16)
            data = encode_packet(Open(flow, "service-1"))
            placed = route_packet(data, view, KEYS)
            if with_log:
                log_event(
                    "placed",
                    flow=flow.hex(),
                    service="service-1",
                    attempt=0,
                    server=placed.candidate.name,
                    data_centre=placed.candidate.data_centre,
                    candidates=placed.candidates,
                )
                if len(writer._lines) > 1000:  # noqa: SLF001
                    writer.flush()
            return sign_frame(ToAgent(CALLER, data), KEYS)

        return time_call(place, 5000)


def returned_packet() -> float:
    """Return the cost of opening one frame from an agent."""
    data = sign_frame(ToCaller(CALLER, bytes(200)), KEYS)
    return time_call(lambda: verify_frame(data, KEYS))


def make_rules() -> AgentRules:
    """Return the rules of one agent of the first service."""
    view = build_view(4)
    rules = AgentRules(
        Identity("s0", "dc-0", ("10.1.0.1", 7000), 5),
        KEYS,
        AdmissionGate(Limits(connections=100_000, flow_rate=1e9), 0.0),
        RequestQueue(32),
        view,
        30.0,
    )
    rules.gate.set_limits(Limits(connections=100_000, flow_rate=1e9), 0.0)
    return rules


def flow_bytes() -> Slope:
    """Return the memory of an agent over its idle, confirmed flows."""
    sizes = [500, 1000, 2000, 4000]

    def build(count: int) -> AgentRules:
        rules = make_rules()
        for _ in range(count):
            packet = Open(os.urandom(16), "service-0")
            deliver(rules, encode_packet(packet))
            for effect in rules.outbox.pop_effects():
                confirm(rules, effect)
        assert len(rules.flows) == count
        return rules

    return fit_slope(sizes, [measure_bytes(lambda n=n: build(n)) for n in sizes])


def deliver(rules: AgentRules, packet: bytes) -> None:
    """Hand over a packet as it comes from the socket, with fresh addresses."""
    sealed = sign_frame(ToAgent(("10.9.0.1", 40_000), packet), KEYS)
    source = (".".join(("10", "2", "0", "1")), int("7000"))
    rules.on_packet(verify_frame(sealed, KEYS), source, 1.0)


def confirm(rules: AgentRules, effect: object) -> None:
    """Send a ping with the token that an `Accepted` carries."""
    from berylturn.connection.packets import decode_to_caller

    if not isinstance(effect, SendToCaller):
        return
    packet = decode_to_caller(effect.packet)
    if isinstance(packet, Accepted):
        deliver(rules, encode_packet(Ping(packet.token, 0, 1)))
        rules.outbox.pop_effects()


def view_bytes() -> Slope:
    """Return the memory of a view over its agents, a service to four of them."""
    sizes = [400, 1200, 2400, 4800]
    values = [measure_bytes(lambda n=n: build_view(n)) for n in sizes]
    return fit_slope(sizes, values)


def member_bytes() -> Slope:
    """Return the memory of a membership over its members."""
    sizes = [500, 1000, 2000, 4000]
    values = [measure_bytes(lambda n=n: build_membership(n, 10)) for n in sizes]
    return fit_slope(sizes, values)


def merged_change() -> dict[int, float]:
    """Return the cost of one changed selector in force, by number of agents."""
    found = {}
    for agents in (400, 1200, 4800):
        view = build_view(agents)
        body = json.dumps(
            {
                "service": "service-0",
                "address": "10.0.0.0:9000",
                "match": "app=service-0",
            }
        ).encode()
        versions = iter(range(1_000_000, 2_000_000))

        def change(view: View = view, versions=versions, body: bytes = body) -> None:
            view.apply([ConfigObject("selector/service-0", next(versions), body)])
            view.table("service-0")

        found[agents] = time_call(change, 200)
    return found


def gossip_costs() -> dict[str, float]:
    """Return cost and size of gossip at the target size."""
    membership = build_membership(TARGET_AGENTS, TARGET_BALANCERS)
    sender = make_balancer(1)
    ping = GossipPing(1, sender, [], membership.config_digest, membership.digest(), "")
    answer = membership.on_ping(ping, sender.address, 1.0)[0].frame
    return {
        "ping_us": time_call(
            lambda: membership.on_ping(ping, sender.address, 1.0), 2000
        ),
        "ping_bytes": len(sign_frame(ping, KEYS)) + IP_UDP_BYTES,
        "ack_bytes": len(sign_frame(answer, KEYS)) + IP_UDP_BYTES,
        "update_bytes": len(
            sign_frame(GossipPing(1, sender, [make_agent(1)], b"", b"", ""), KEYS)
        )
        - len(sign_frame(GossipPing(1, sender, [], b"", b"", ""), KEYS)),
    }


def announce_costs() -> dict[str, float]:
    """Return cost and size of an announcement that brings nothing new."""
    membership = build_membership(TARGET_AGENTS, TARGET_BALANCERS)
    view = build_view(TARGET_AGENTS)
    first = Announce(make_agent(3), b"", 1, 4000, ["service-0"])
    full = answer_announce(first, membership, view, 1.0)
    again = Announce(make_agent(3), full.digest, 2, 4000, ["service-0"])
    short = answer_announce(again, membership, view, 1.0)
    return {
        "announce_us": time_call(
            lambda: answer_announce(again, membership, view, 1.0), 200
        ),
        "announce_bytes": len(sign_frame(again, KEYS)) + IP_UDP_BYTES,
        "ack_bytes": len(sign_frame(short, KEYS)) + IP_UDP_BYTES,
        "full_ack_bytes": len(sign_frame(full, KEYS)) + IP_UDP_BYTES,
    }


def digest_costs() -> dict[str, float]:
    """Return cost and size of one load digest."""
    rules = make_rules()
    data = sign_frame(rules.opening.make_load_digest(), KEYS)
    return {
        "send_us": time_call(
            lambda: sign_frame(rules.opening.make_load_digest(), KEYS), 5000
        ),
        "receive_us": time_call(
            lambda: rules.opening.siblings.on_digest(verify_frame(data, KEYS), 1.0),
            5000,
        ),
        "bytes": len(data) + IP_UDP_BYTES,
    }


async def idle_processes() -> dict[str, object]:
    """Return memory, processor share and platform calls of idle daemons."""
    figures: dict[str, object] = {}
    calls = {}
    for count in (2, 6):
        servers = [ServerPlan(f"s{i}", "idle", f"dc-{i % 2}") for i in range(2)]
        balancers = [BalancerPlan(f"b{i}", f"dc-{i % 2}") for i in range(count)]
        async with Deployment(Plan(["idle"], servers, balancers)) as deployment:
            await deployment.apply_labels()
            await deployment.apply_selector("idle")
            await deployment.wait_servers("idle", 2)
            await scenarios.wait_fabric(deployment, count)
            before = await total_calls(deployment)
            figures["balancer"] = await sample_process(deployment, "b0")
            figures["agent"] = await sample_process(deployment, "s0-agent")
            calls[count] = await total_calls(deployment) - before
    figures["platform_calls_in_20_s"] = calls
    figures["agent_bytes_per_connected_flow"] = await connected_flow_bytes()
    return figures


async def connected_flow_bytes() -> int:
    """Return the resident bytes of an agent for a flow with a live connection."""
    server = ServerPlan("s0", "idle", "dc-0", slots=20, cold_limit=20)
    plan = Plan(["idle"], [server], [BalancerPlan("b0", "dc-0")])
    async with Deployment(plan) as deployment:
        await deployment.apply_labels()
        await deployment.apply_selector("idle")
        await deployment.wait_servers("idle", 1)
        process = psutil.Process(deployment.processes["s0-agent"].process.pid)
        tally = Tally()
        async with Caller(deployment.service_address("idle")) as caller:
            plans = [RequestPlan(f"r{i}", 1.0, 10, True) for i in range(CONNECTED)]
            await run_session(caller, "idle", plans[:1], tally)
            before = process.memory_info().rss
            for i in range(0, CONNECTED, 50):
                batch = plans[i : i + 50]
                await asyncio.gather(
                    *(run_session(caller, "idle", [p], tally) for p in batch)
                )
            after = process.memory_info().rss
    assert tally.answered == tally.requests
    return round((after - before) / CONNECTED)


async def total_calls(deployment: Deployment) -> int:
    """Return the calls that the platform has taken so far."""
    stats = await deployment.get("platform", "/_stats")
    return sum(stats["calls"].values())


async def sample_process(deployment: Deployment, name: str) -> dict[str, float]:
    """Return the resident megabytes and processor percent of one daemon."""
    process = psutil.Process(deployment.processes[name].process.pid)
    before = process.cpu_times()
    await asyncio.sleep(IDLE_SECONDS)
    after = process.cpu_times()
    spent = after.user + after.system - before.user - before.system
    return {
        "rss_mb": round(process.memory_info().rss / 1e6, 1),
        "cpu_percent": round(100 * spent / IDLE_SECONDS, 2),
    }


async def measure_slopes() -> dict[str, object]:
    """Run all measurements."""
    echo = await echo_microseconds()
    routed = routed_packet()
    placed = placed_open(with_log=True)
    figures: dict[str, object] = {
        "echo_us": echo,
        "routed_us": routed,
        "returned_us": returned_packet(),
        "placed_us": placed_open(with_log=False),
        "placed_with_log_us": placed,
        "routed_over_echo": round(routed / echo, 2),
        "placed_over_echo": round(placed / echo, 2),
        "routed_per_core_s": round(1e6 / (routed + echo)),
        "placed_per_core_s": round(1e6 / (placed + echo)),
        "flow_bytes": flow_bytes().__dict__,
        "view_bytes_per_agent": view_bytes().__dict__,
        "member_bytes": member_bytes().__dict__,
        "config_change_us": merged_change(),
        "gossip": gossip_costs(),
        "announce": announce_costs(),
        "digest": digest_costs(),
    }
    figures["processes"] = await idle_processes()
    return figures


if __name__ == "__main__":
    print(json.dumps(uvloop.run(measure_slopes()), indent=1))
