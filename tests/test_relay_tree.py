"""Whom nodes ask for changes, up to the target size."""

from __future__ import annotations

import unittest
from collections import Counter

from nose2.tools import params

from berylturn.connection.peer_frames import ViewInquiry, ViewStatus, encode_frame
from berylturn.version.owners import AgentEntry
from berylturn.version.relay_tree import choose_relays, rotate_seeds

# Bytes of the headers of a datagram.
HEADERS = 28
# What a node may spend on control at the target size.
TARGET_BYTES_PER_SECOND = 3_000
SEEDS = ["s1", "s2", "s3"]
FAN_OUT = 16


def _make_agents(count: int, centres: int) -> list[AgentEntry]:
    return [
        AgentEntry(
            f"a{i}", f"10.{i % centres}.{i >> 8}.{i & 255}", f"dc{i % centres}", ""
        )
        for i in range(count)
    ]


def _first_parent(host: str, centre: str, agents: list[AgentEntry]) -> str:
    relays = choose_relays(host, centre, agents, len(SEEDS), FAN_OUT)
    return [*relays, *rotate_seeds(host, SEEDS)][0]


class TestTree(unittest.TestCase):
    """Nobody is asked by so many that answers cost more than the target allows."""

    @params(
        ("small fleet", 48, 16, 4, 1),
        ("one more", 49, 16, 4, 2),
        ("one data centre", 500, 50, 1, 2),
        ("target size", 4_800, 847, 6, 3),
    )
    def test_fleet(
        self, _: str, agents: int, balancers: int, centres: int, levels: int
    ) -> None:
        entries = _make_agents(agents, centres)
        nodes = [(entry.host, entry.data_centre) for entry in entries]
        nodes += [(f"192.0.{i >> 8}.{i}", f"dc{i % centres}") for i in range(balancers)]
        parents = {host: _first_parent(host, centre, entries) for host, centre in nodes}
        question = ViewInquiry([10**6] * 3)
        answer = ViewStatus([10**6] * 3, [2**32 - 1] * 3, 500)
        cost = len(encode_frame(question)) + len(encode_frame(answer)) + 2 * HEADERS
        _, most = Counter(parents.values()).most_common(1)[0]
        self.assertLessEqual((most + 1) * cost, TARGET_BYTES_PER_SECOND)
        for host in parents:
            path = [host]
            while path[-1] not in SEEDS:
                path.append(parents[path[-1]])
                self.assertLessEqual(len(path) - 1, levels)

    @params(
        ("in the directory", "10.1.0.1", "dc1"),
        ("a balancer", "192.0.2.1", "dc1"),
        ("where there is no agent", "192.0.2.1", "elsewhere"),
    )
    def test_relay_is_near(self, _: str, host: str, centre: str) -> None:
        entries = _make_agents(600, 2)
        near = {entry.host for entry in entries if entry.data_centre == centre}
        relays = choose_relays(host, centre, entries, len(SEEDS), FAN_OUT)
        self.assertLessEqual(set(relays), near - {host})

    def test_nodes_are_spread_over_seeds(self) -> None:
        first = Counter(rotate_seeds(f"10.0.0.{i}", SEEDS)[0] for i in range(90))
        self.assertEqual(set(SEEDS), set(first))
        self.assertLessEqual(max(first.values()), 45)
        self.assertEqual([], rotate_seeds("10.0.0.1", []))
