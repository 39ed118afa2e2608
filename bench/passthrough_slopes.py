"""Measure the cost of one packet, one flow and one load report of passthrough flows."""

from __future__ import annotations

import itertools
import time
import tracemalloc
from collections.abc import Callable, Iterable

import fire
from tests.passthrough_mesh import (
    ACK,
    SYN,
    Mesh,
    backend_packet,
    caller_packet,
    flow_key,
)

from berylturn.connection.flow_table import FlowTable
from berylturn.connection.passthrough_router import PassthroughRouter
from berylturn.connection.peer_frames import (
    Forward,
    Load,
    LoadReport,
    Owned,
    decode_frame,
    encode_frame,
)
from berylturn.connection.placement.load_board import LoadBoard
from berylturn.connection.recovery.flow_locations import FlowLocations
from berylturn.platform import packets

FLOW_COUNT = 2000
CALL_COUNT = 20_000
AGENTS = {f"a{n}": ("dc-a" if n < 2 else "dc-b", "desk") for n in range(4)}
REPORT = LoadReport(True, 1.2345, 3, 3, 2000, [12345, 12345, 12345])


def time_calls(call: Callable[[bytes], object], inputs: Iterable[bytes]) -> float:
    """Return the mean microseconds of one call, cycling through the inputs."""
    arguments = list(itertools.islice(itertools.cycle(inputs), CALL_COUNT))
    started_at = time.perf_counter()
    for argument in arguments:
        call(argument)
    return (time.perf_counter() - started_at) / len(arguments) * 1e6


def measure_entry_bytes(build: Callable[[], object]) -> float:
    """Return the mean bytes of one of the `FLOW_COUNT` entries that `build` makes."""
    tracemalloc.start()
    entries = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del entries
    return size / FLOW_COUNT


def make_packet_handler(
    mesh: Mesh, router: PassthroughRouter
) -> Callable[[bytes], None]:
    """Return a function that routes a caller's packet and encodes its frames."""

    def handle(data: bytes) -> None:
        segment = packets.decode_from_caller(data)
        for effect in router.on_caller(segment, mesh.now):
            encode_frame(effect.frame)

    return handle


def main() -> None:
    """Print the table of costs."""
    mesh = Mesh(AGENTS, {"front": "dc-a"})
    keys = [flow_key(number) for number in range(FLOW_COUNT)]
    for key in keys:
        mesh.open_flow("front", key)
    router_without_hints = PassthroughRouter(
        "fresh", "dc-a", LoadBoard(), packets, lambda *_, **__: None
    )
    router_without_hints.set_table(mesh.table)
    router_without_hints.set_directory(mesh.directory(), frozenset())
    caller_packets = [caller_packet(key, ACK, ack=5, body=b"x" * 200) for key in keys]
    agent = mesh.agents["a0"]
    owned_keys = [key for key in keys if key in agent.flows]
    ack = mesh.backends["a0"].first_sequence + 1
    frames = [
        encode_frame(
            Forward(
                "front", "dc-a", 1, "desk", [], False, caller_packet(key, ACK, 1, ack)
            )
        )
        for key in owned_keys
    ]
    backend_packets = [
        backend_packet(key, ACK, ack, body=b"x" * 1200) for key in owned_keys
    ]
    openings = [
        caller_packet(flow_key(FLOW_COUNT + number), SYN)
        for number in range(CALL_COUNT)
    ]

    def handle_frame(data: bytes) -> None:
        frame = decode_frame(data)
        agent.on_forward(frame, packets.decode_from_caller(frame.data), mesh.now)

    def handle_answer(data: bytes) -> None:
        agent.on_backend(packets.decode_from_backend(data), mesh.now)

    forward_with_hints = make_packet_handler(mesh, mesh.routers["front"])
    rows = {
        "balancer, packet with a hint, µs": time_calls(
            forward_with_hints, caller_packets
        ),
        "balancer, packet without, µs": time_calls(
            make_packet_handler(mesh, router_without_hints), caller_packets
        ),
        "balancer, opening, µs": time_calls(forward_with_hints, openings),
        "agent, caller's packet, µs": time_calls(handle_frame, frames),
        "agent, answer packet, µs": time_calls(handle_answer, backend_packets),
        "load report, B": len(encode_frame(Load(REPORT))),
        "frame around a packet, B": len(frames[0])
        - len(caller_packet(owned_keys[0], ACK)),
        "flow at its agent, B": measure_entry_bytes(lambda: _fill_table(keys)),
        "location at an agent, B": measure_entry_bytes(lambda: _fill_locations(keys)),
        "hint at a balancer, B": measure_entry_bytes(lambda: _fill_hints(keys)),
    }
    for name, value in rows.items():
        print(f"{name:36} {value:8.1f}")


def _fill_table(keys: list[bytes]) -> FlowTable:
    table = FlowTable(lambda: None, lambda seconds: None)
    for key in keys:
        table.admit(packets.decode_from_caller(caller_packet(key, SYN)), 1.0)
    return table


def _fill_locations(keys: list[bytes]) -> FlowLocations:
    locations = FlowLocations("a")
    locations.record_owner("b", [bytes(bytearray(key)) for key in keys], 1.0)
    return locations


def _fill_hints(keys: list[bytes]) -> PassthroughRouter:
    router = PassthroughRouter("f", "dc-a", LoadBoard(), packets, lambda *_, **__: None)
    for key in keys:
        router.on_frame("a", Owned(bytes(bytearray(key)), REPORT), 1.0)
    return router


if __name__ == "__main__":
    fire.Fire(main)
