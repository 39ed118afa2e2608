"""Tests of the distribution tree for changes, up to the target size."""

from __future__ import annotations

import unittest
from collections import Counter

from nose2.tools import params

from berylturn.connection.peer_frames import ViewInquiry, ViewStatus, encode_frame
from berylturn.version.owners import AgentEntry
from berylturn.version.relay_tree import choose_relays, rotate_seeds

# Bytes of IP and UDP headers per datagram.
HEADER_BYTES = 28
# Control traffic that a node may cause at the target size.
TARGET_BYTES_PER_SECOND = 3_000
SEEDS = ["s1", "s2", "s3"]
FAN_OUT = 16


def _make_agents(count: int, data_centres: int) -> list[AgentEntry]:
    return [
        AgentEntry(
            f"a{i}",
            f"10.{i % data_centres}.{i >> 8}.{i & 255}",
            f"dc{i % data_centres}",
            "",
        )
        for i in range(count)
    ]


def _first_parent(host: str, data_centre: str, agents: list[AgentEntry]) -> str:
    relays = choose_relays(host, data_centre, agents, len(SEEDS), FAN_OUT)
    return [*relays, *rotate_seeds(host, SEEDS)][0]


class TestTree(unittest.TestCase):
    """No node gets so many followers that its traffic exceeds the target."""

    @params(
        ("small fleet", 48, 16, 4, 1),
        ("one more", 49, 16, 4, 2),
        ("one data centre", 500, 50, 1, 2),
        ("target size", 4_800, 847, 6, 3),
    )
    def test_fleet(
        self, _: str, agents: int, balancers: int, data_centres: int, levels: int
    ) -> None:
        entries = _make_agents(agents, data_centres)
        nodes = [(entry.host, entry.data_centre) for entry in entries]
        nodes += [
            (f"192.0.{i >> 8}.{i}", f"dc{i % data_centres}") for i in range(balancers)
        ]
        parents = {
            host: _first_parent(host, data_centre, entries)
            for host, data_centre in nodes
        }
        inquiry = ViewInquiry([10**6] * 3)
        status = ViewStatus([10**6] * 3, [2**32 - 1] * 3, 500)
        exchange_bytes = (
            len(encode_frame(inquiry)) + len(encode_frame(status)) + 2 * HEADER_BYTES
        )
        _, most_followers = Counter(parents.values()).most_common(1)[0]
        self.assertLessEqual(
            (most_followers + 1) * exchange_bytes, TARGET_BYTES_PER_SECOND
        )
        for host in parents:
            path = [host]
            while path[-1] not in SEEDS:
                path.append(parents[path[-1]])
                self.assertLessEqual(len(path) - 1, levels)

    @params(
        ("in the directory", "10.1.0.1", "dc1"),
        ("a balancer", "192.0.2.1", "dc1"),
        ("a data centre without agents", "192.0.2.1", "elsewhere"),
    )
    def test_relay_is_near(self, _: str, host: str, data_centre: str) -> None:
        entries = _make_agents(600, 2)
        local_hosts = {
            entry.host for entry in entries if entry.data_centre == data_centre
        }
        relays = choose_relays(host, data_centre, entries, len(SEEDS), FAN_OUT)
        self.assertLessEqual(set(relays), local_hosts - {host})

    def test_nodes_are_spread_over_seeds(self) -> None:
        first = Counter(rotate_seeds(f"10.0.0.{i}", SEEDS)[0] for i in range(90))
        self.assertEqual(set(SEEDS), set(first))
        self.assertLessEqual(max(first.values()), 45)
        self.assertEqual([], rotate_seeds("10.0.0.1", []))
