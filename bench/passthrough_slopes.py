"""Measure what one packet, flow and report of passthrough flows cost."""

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

from berylturn.connection.flow_locations import FlowLocations
from berylturn.connection.flow_table import FlowTable
from berylturn.connection.load_board import LoadBoard
from berylturn.connection.passthrough_router import PassthroughRouter
from berylturn.connection.peer_frames import (
    Forward,
    Load,
    LoadReport,
    Owned,
    decode_frame,
    encode_frame,
)
from berylturn.platform import packets

FLOWS = 2000
TURNS = 20_000
AGENTS = {f"a{n}": ("dc-a" if n < 2 else "dc-b", "desk") for n in range(4)}
REPORT = LoadReport(True, 1.2345, 3, 3, 2000, [12345, 12345, 12345])


def time_each(work: Callable[[bytes], object], items: Iterable[bytes]) -> float:
    """Return the mean microseconds of one call."""
    turns = list(itertools.islice(itertools.cycle(items), TURNS))
    begun = time.perf_counter()
    for item in turns:
        work(item)
    return (time.perf_counter() - begun) / len(turns) * 1e6


def weigh_each(fill: Callable[[], object]) -> float:
    """Return the mean bytes that one of many entries takes."""
    tracemalloc.start()
    kept = fill()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / FLOWS


def make_balancer(mesh: Mesh, router: PassthroughRouter) -> Callable[[bytes], None]:
    """Return a function that takes a caller's packet and encodes the frame."""

    def take(data: bytes) -> None:
        segment = packets.decode_from_caller(data)
        for effect in router.on_caller(segment, mesh.now):
            encode_frame(effect.frame)

    return take


def main() -> None:
    """Print the table."""
    mesh = Mesh(AGENTS, {"front": "dc-a"})
    keys = [flow_key(number) for number in range(FLOWS)]
    for key in keys:
        mesh.open_flow("front", key)
    fresh = PassthroughRouter(
        "fresh", "dc-a", LoadBoard(), packets, lambda *_, **__: None
    )
    fresh.set_table(mesh.table)
    fresh.set_directory(mesh.directory(), frozenset())
    requests = [caller_packet(key, ACK, ack=5, body=b"x" * 200) for key in keys]
    agent = mesh.agents["a0"]
    own = [key for key in keys if key in agent.flows]
    ack = mesh.backends["a0"].first_sequence + 1
    frames = [
        encode_frame(
            Forward(
                "front", "dc-a", 1, "desk", [], False, caller_packet(k, ACK, 1, ack)
            )
        )
        for k in own
    ]
    answers = [backend_packet(key, ACK, ack, body=b"x" * 1200) for key in own]
    openings = [caller_packet(flow_key(FLOWS + n), SYN) for n in range(TURNS)]

    def take_frame(data: bytes) -> None:
        frame = decode_frame(data)
        agent.on_forward(frame, packets.decode_from_caller(frame.data), mesh.now)

    def take_answer(data: bytes) -> None:
        agent.on_backend(packets.decode_from_backend(data), mesh.now)

    hinted = make_balancer(mesh, mesh.routers["front"])
    rows = {
        "balancer, packet with a hint, µs": time_each(hinted, requests),
        "balancer, packet without, µs": time_each(make_balancer(mesh, fresh), requests),
        "balancer, opening, µs": time_each(hinted, openings),
        "agent, caller's packet, µs": time_each(take_frame, frames),
        "agent, answer packet, µs": time_each(take_answer, answers),
        "load report, B": len(encode_frame(Load(REPORT))),
        "frame around a packet, B": len(frames[0]) - len(caller_packet(own[0], ACK)),
        "flow at its agent, B": weigh_each(lambda: _fill_table(keys)),
        "location at an agent, B": weigh_each(lambda: _fill_locations(keys)),
        "hint at a balancer, B": weigh_each(lambda: _fill_hints(keys)),
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
