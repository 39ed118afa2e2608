"""Whom a node asks for changes of the platform's objects.

Load pattern: every node of a large fleet asks one of a few seeds each second, and a
change is sent to all of them at once. Agents pass on what seeds say, so that each node
hears of few others. Every node computes its place from the directory alone; where two
directories differ for a moment, a node may be asked by a few more or by none.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from .owners import AgentEntry


def choose_relays(
    host: str, data_centre: str, agents: Iterable[AgentEntry], seeds: int, fan_out: int
) -> list[str]:
    """Return the IP addresses of the agents that a node asks before it asks a seed.

    The agents of a data centre form a tree in the order of a checksum. Those at its top
    ask the seeds, as all nodes of a small fleet do.

    Parameters
    ----------
    host : str
        IP address of the node; one that is not in the directory asks like a leaf.
    data_centre : str
        Where it is.
    agents : iterable of AgentEntry
        The directory.
    seeds : int
        How many seeds there are.
    fan_out : int
        How many nodes ask one node.
    """
    agents = list(agents)
    if len(agents) <= seeds * fan_out:
        return []
    centres = {agent.data_centre for agent in agents}
    roots = max(1, seeds * fan_out // len(centres))
    order = sorted(
        (agent.host for agent in agents if agent.data_centre == data_centre),
        key=_checksum,
    )
    place = order.index(host) if host in order else _checksum(host) % (len(order) + 1)
    if place < roots:
        return []
    first = (place - roots) // fan_out
    return [order[first]]


def rotate_seeds(host: str, seeds: list[str]) -> list[str]:
    """Return seeds in an order that spreads the nodes over them."""
    start = _checksum(host) % len(seeds) if seeds else 0
    return seeds[start:] + seeds[:start]


def _checksum(host: str) -> int:
    return zlib.crc32(host.encode())
