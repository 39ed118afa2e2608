"""Measure the cost of each mechanism at several sizes and fit a line to it.

Some processor times are also given as a ratio to the echo of one datagram over
loopback in the same run, because machines differ.
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
from berylturn.connection.agent_rules import AgentRules
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
CALLER_ADDRESS = ("127.0.0.1", 40_000)
CALLS_PER_SAMPLE = 20_000
# IPv4 and UDP headers.
IP_UDP_BYTES = 28
SERVERS_PER_SERVICE = 4
TARGET_AGENTS = 4800
TARGET_BALANCERS = 850
TARGET_SERVICES = 1300
IDLE_SECONDS = 10.0
CONNECTED_FLOWS = 1000


@dataclass(frozen=True)
class Slope:
    """Line fitted to measured points."""

    base: float
    per_unit: float


def fit_slope(sizes: list[int], values: list[float]) -> Slope:
    """Return the least-squares line of `values` over `sizes`."""
    line = statistics.linear_regression(sizes, values)
    return Slope(round(line.intercept, 2), round(line.slope, 4))


def time_call(call: Callable[[], object], calls: int = CALLS_PER_SAMPLE) -> float:
    """Return the median over five samples of the processor microseconds of one call."""
    samples = []
    for _ in range(5):
        started_at = time.process_time()
        for _ in range(calls):
            call()
        samples.append((time.process_time() - started_at) / calls * 1e6)
    return round(statistics.median(samples), 2)


def measure_bytes(build: Callable[[], object]) -> int:
    """Return the bytes that Python allocates for the result of `build`."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size


async def measure_echo_us() -> float:
    """Return the processor microseconds of one datagram echo on uvloop."""

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
    datagrams = 0
    processor_seconds = 0.0
    with socket.socket(type=socket.SOCK_DGRAM) as client:
        client.setblocking(False)
        for _ in range(200):
            for _ in range(50):
                client.sendto(bytes(200), address)
            datagrams += 50
            started_at = time.process_time()
            await asyncio.sleep(0.002)
            processor_seconds += time.process_time() - started_at
            while True:
                try:
                    client.recv(2048)
                except BlockingIOError:
                    break
    transport.close()
    return round(processor_seconds / datagrams * 1e6, 2)


def build_view(agent_count: int) -> View:
    """Return a view with that many agents, `SERVERS_PER_SERVICE` in each service."""
    view = View()
    objects = []
    for index in range(agent_count):
        service = f"service-{index // SERVERS_PER_SERVICE}"
        labels = {"labels": {"app": service, "slots": "3", "speed": "1.5"}}
        objects.append(
            ConfigObject(f"server/s{index}", index + 1, json.dumps(labels).encode())
        )
    for index in range(agent_count // SERVERS_PER_SERVICE):
        body = {
            "service": f"service-{index}",
            "address": f"10.0.{index // 250}.{index % 250}:9000",
            "match": f"app=service-{index}",
            "shares": {"dc-0": 50, "dc-1": 50},
        }
        objects.append(
            ConfigObject(
                f"selector/service-{index}",
                agent_count + index + 1,
                json.dumps(body).encode(),
            )
        )
    view.apply(objects)
    for index in range(agent_count):
        view.set_agent(make_agent(index))
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


def build_membership(agent_count: int, balancer_count: int) -> Membership:
    """Return a membership of that size that has no more updates to send."""
    membership = Membership(make_balancer(0), 0.0, seed=1)
    membership.merge([make_balancer(index) for index in range(balancer_count)], 0.0)
    membership.merge([make_agent(index) for index in range(agent_count)], 0.0)
    membership.pop_changes()
    while membership.has_updates:
        membership.on_ping(
            GossipPing(0, make_balancer(1), [], b"", b""), CALLER_ADDRESS, 0.0
        )
    return membership


def measure_routing_us() -> float:
    """Return the cost of routing one packet by its token and signing the frame."""
    view = build_view(400)
    token = issue_token(
        RouteToken("10.1.0.1", 7000, 5, "dc-0", "service-0", bytes(16)), KEYS
    )
    data = encode_packet(Ping(token, 3, 4))

    def route() -> bytes:
        route_packet(data, view, KEYS)
        return sign_frame(ToAgent(CALLER_ADDRESS, data), KEYS)

    return time_call(route)


def measure_placement_us(with_log: bool) -> float:
    """Return the cost of placing one flow, with or without writing its log line."""
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
            return sign_frame(ToAgent(CALLER_ADDRESS, data), KEYS)

        return time_call(place, 5000)


def measure_verification_us() -> float:
    """Return the cost of verifying one frame from an agent."""
    data = sign_frame(ToCaller(CALLER_ADDRESS, bytes(200)), KEYS)
    return time_call(lambda: verify_frame(data, KEYS))


def make_agent_rules() -> AgentRules:
    """Return the rules of an agent of the first service."""
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


def fit_flow_bytes() -> Slope:
    """Return the memory of an agent by its number of idle, confirmed flows."""
    sizes = [500, 1000, 2000, 4000]

    def build(count: int) -> AgentRules:
        rules = make_agent_rules()
        for _ in range(count):
            packet = Open(os.urandom(16), "service-0")
            deliver_packet(rules, encode_packet(packet))
            for effect in rules.outbox.pop_effects():
                confirm_flow(rules, effect)
        assert len(rules.flows) == count
        return rules

    return fit_slope(
        sizes, [measure_bytes(lambda size=size: build(size)) for size in sizes]
    )


def deliver_packet(rules: AgentRules, packet: bytes) -> None:
    """Pass a packet to the rules as the socket does.

    The source address is a new object each time, as from a socket, so that its memory
    counts.
    """
    signed = sign_frame(ToAgent(("10.9.0.1", 40_000), packet), KEYS)
    source = (".".join(("10", "2", "0", "1")), int("7000"))
    rules.on_packet(verify_frame(signed, KEYS), source, 1.0)


def confirm_flow(rules: AgentRules, effect: object) -> None:
    """Send a ping with the token of an `Accepted`; ignore other effects."""
    from berylturn.connection.packets import decode_to_caller

    if not isinstance(effect, SendToCaller):
        return
    packet = decode_to_caller(effect.packet)
    if isinstance(packet, Accepted):
        deliver_packet(rules, encode_packet(Ping(packet.token, 0, 1)))
        rules.outbox.pop_effects()


def fit_view_bytes() -> Slope:
    """Return the memory of a view by its number of agents."""
    sizes = [400, 1200, 2400, 4800]
    values = [measure_bytes(lambda size=size: build_view(size)) for size in sizes]
    return fit_slope(sizes, values)


def fit_member_bytes() -> Slope:
    """Return the memory of a membership by its number of members."""
    sizes = [500, 1000, 2000, 4000]
    values = [
        measure_bytes(lambda size=size: build_membership(size, 10)) for size in sizes
    ]
    return fit_slope(sizes, values)


def measure_config_change_us() -> dict[int, float]:
    """Return the cost of applying one changed selector, by number of agents."""
    costs = {}
    for agent_count in (400, 1200, 4800):
        view = build_view(agent_count)
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

        costs[agent_count] = time_call(change, 200)
    return costs


def measure_gossip() -> dict[str, float]:
    """Return processor time and size of gossip at the target size."""
    membership = build_membership(TARGET_AGENTS, TARGET_BALANCERS)
    sender = make_balancer(1)
    ping = GossipPing(1, sender, [], membership.config_digest, membership.digest(), "")
    ack = membership.on_ping(ping, sender.address, 1.0)[0].frame
    return {
        "ping_us": time_call(
            lambda: membership.on_ping(ping, sender.address, 1.0), 2000
        ),
        "ping_bytes": len(sign_frame(ping, KEYS)) + IP_UDP_BYTES,
        "ack_bytes": len(sign_frame(ack, KEYS)) + IP_UDP_BYTES,
        "update_bytes": len(
            sign_frame(GossipPing(1, sender, [make_agent(1)], b"", b"", ""), KEYS)
        )
        - len(sign_frame(GossipPing(1, sender, [], b"", b"", ""), KEYS)),
    }


def measure_announcement() -> dict[str, float]:
    """Return processor time and size of announcements, with and without changes."""
    membership = build_membership(TARGET_AGENTS, TARGET_BALANCERS)
    view = build_view(TARGET_AGENTS)
    first_announce = Announce(make_agent(3), b"", 1, 4000, ["service-0"])
    full_ack = answer_announce(first_announce, membership, view, 1.0)
    repeated_announce = Announce(make_agent(3), full_ack.digest, 2, 4000, ["service-0"])
    short_ack = answer_announce(repeated_announce, membership, view, 1.0)
    return {
        "announce_us": time_call(
            lambda: answer_announce(repeated_announce, membership, view, 1.0), 200
        ),
        "announce_bytes": len(sign_frame(repeated_announce, KEYS)) + IP_UDP_BYTES,
        "ack_bytes": len(sign_frame(short_ack, KEYS)) + IP_UDP_BYTES,
        "full_ack_bytes": len(sign_frame(full_ack, KEYS)) + IP_UDP_BYTES,
    }


def measure_digest() -> dict[str, float]:
    """Return processor time and size of one load digest."""
    rules = make_agent_rules()
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


async def measure_idle_daemons() -> dict[str, object]:
    """Return memory, processor use and platform calls of idle daemons."""
    figures: dict[str, object] = {}
    platform_calls = {}
    for balancer_count in (2, 6):
        servers = [
            ServerPlan(f"s{index}", "idle", f"dc-{index % 2}") for index in range(2)
        ]
        balancers = [
            BalancerPlan(f"b{index}", f"dc-{index % 2}")
            for index in range(balancer_count)
        ]
        async with Deployment(Plan(["idle"], servers, balancers)) as deployment:
            await deployment.apply_labels()
            await deployment.apply_selector("idle")
            await deployment.wait_servers("idle", 2)
            await scenarios.wait_fabric(deployment, balancer_count)
            calls_before = await count_platform_calls(deployment)
            figures["balancer"] = await sample_process(deployment, "b0")
            figures["agent"] = await sample_process(deployment, "s0-agent")
            platform_calls[balancer_count] = (
                await count_platform_calls(deployment) - calls_before
            )
    figures["platform_calls_in_20_s"] = platform_calls
    figures["agent_bytes_per_connected_flow"] = await measure_connected_flow_bytes()
    return figures


async def measure_connected_flow_bytes() -> int:
    """Return the resident bytes that an agent needs per flow with a connection."""
    server = ServerPlan("s0", "idle", "dc-0", slots=20, cold_limit=20)
    plan = Plan(["idle"], [server], [BalancerPlan("b0", "dc-0")])
    async with Deployment(plan) as deployment:
        await deployment.apply_labels()
        await deployment.apply_selector("idle")
        await deployment.wait_servers("idle", 1)
        process = psutil.Process(deployment.processes["s0-agent"].process.pid)
        tally = Tally()
        async with Caller(deployment.service_address("idle")) as caller:
            plans = [
                RequestPlan(f"r{index}", 1.0, 10, True)
                for index in range(CONNECTED_FLOWS)
            ]
            await run_session(caller, "idle", plans[:1], tally)
            bytes_before = process.memory_info().rss
            for index in range(0, CONNECTED_FLOWS, 50):
                batch = plans[index : index + 50]
                await asyncio.gather(
                    *(
                        run_session(caller, "idle", [request_plan], tally)
                        for request_plan in batch
                    )
                )
            bytes_after = process.memory_info().rss
    assert tally.answered == tally.requests
    return round((bytes_after - bytes_before) / CONNECTED_FLOWS)


async def count_platform_calls(deployment: Deployment) -> int:
    """Return the number of calls that the platform has received."""
    stats = await deployment.get("platform", "/_stats")
    return sum(stats["calls"].values())


async def sample_process(deployment: Deployment, name: str) -> dict[str, float]:
    """Return the resident megabytes and the processor use in percent of a daemon."""
    process = psutil.Process(deployment.processes[name].process.pid)
    before = process.cpu_times()
    await asyncio.sleep(IDLE_SECONDS)
    after = process.cpu_times()
    processor_seconds = after.user + after.system - before.user - before.system
    return {
        "rss_mb": round(process.memory_info().rss / 1e6, 1),
        "cpu_percent": round(100 * processor_seconds / IDLE_SECONDS, 2),
    }


async def measure_slopes() -> dict[str, object]:
    """Run all measurements and return their results."""
    echo_us = await measure_echo_us()
    routed_us = measure_routing_us()
    placed_with_log_us = measure_placement_us(with_log=True)
    figures: dict[str, object] = {
        "echo_us": echo_us,
        "routed_us": routed_us,
        "returned_us": measure_verification_us(),
        "placed_us": measure_placement_us(with_log=False),
        "placed_with_log_us": placed_with_log_us,
        "routed_over_echo": round(routed_us / echo_us, 2),
        "placed_over_echo": round(placed_with_log_us / echo_us, 2),
        "routed_per_core_s": round(1e6 / (routed_us + echo_us)),
        "placed_per_core_s": round(1e6 / (placed_with_log_us + echo_us)),
        "flow_bytes": fit_flow_bytes().__dict__,
        "view_bytes_per_agent": fit_view_bytes().__dict__,
        "member_bytes": fit_member_bytes().__dict__,
        "config_change_us": measure_config_change_us(),
        "gossip": measure_gossip(),
        "announce": measure_announcement(),
        "digest": measure_digest(),
    }
    figures["processes"] = await measure_idle_daemons()
    return figures


if __name__ == "__main__":
    print(json.dumps(uvloop.run(measure_slopes()), indent=1))
