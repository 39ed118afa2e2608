"""Distribution tree for changes of the platform's objects.

Load pattern: every node of a large fleet polls one of a few seeds each second, and a
change is sent to all of them at once. Agents relay the status of seeds, so that each
node serves only a few others. Every node computes its position from the directory
alone; while two directories differ, a node may serve a few more nodes, or none.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable

from .owners import AgentEntry


def choose_relays(
    host: str, data_centre: str, agents: Iterable[AgentEntry], seeds: int, fan_out: int
) -> list[str]:
    """Return the IP addresses of the agents that a node polls before the seeds.

    The agents of a data centre form a tree, ordered by a checksum. The roots poll the
    seeds, as all nodes of a small fleet do.

    Parameters
    ----------
    host : str
        IP address of the node; a node outside the directory is placed as a leaf.
    data_centre : str
        Data centre of the node.
    agents : iterable of AgentEntry
        Entries of the directory.
    seeds : int
        Number of seeds.
    fan_out : int
        Number of nodes that poll one node.
    """
    agents = list(agents)
    if len(agents) <= seeds * fan_out:
        return []
    data_centres = {agent.data_centre for agent in agents}
    roots = max(1, seeds * fan_out // len(data_centres))
    ordered_hosts = sorted(
        (agent.host for agent in agents if agent.data_centre == data_centre),
        key=_checksum,
    )
    position = (
        ordered_hosts.index(host)
        if host in ordered_hosts
        else _checksum(host) % (len(ordered_hosts) + 1)
    )
    if position < roots:
        return []
    parent_position = (position - roots) // fan_out
    return [ordered_hosts[parent_position]]


def rotate_seeds(host: str, seeds: list[str]) -> list[str]:
    """Return the seeds, rotated so that the nodes are spread over them."""
    start = _checksum(host) % len(seeds) if seeds else 0
    return seeds[start:] + seeds[:start]


def _checksum(host: str) -> int:
    return zlib.crc32(host.encode())
