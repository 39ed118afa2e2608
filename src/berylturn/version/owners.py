"""Order in which the agents of a service are asked for a passthrough flow.

Every node computes the same order from the flow's key and the directory alone, so a
flow is found again after all soft state is lost. Bounded loads (Mirrokni, Thorup and
Zadimoghaddam, 2018) move an opening to the next place when a server has no room.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .placement import score_weighted


@dataclass(frozen=True, slots=True)
class AgentEntry:
    """One agent in the directory, with the backend server beside it.

    Attributes
    ----------
    name : str
        Name of the node.
    host : str
        IP address that other nodes reach it at.
    data_centre, service : str
        Where it is, and what its backend server belongs to.
    weight : float
        Capacity relative to other backend servers.
    """

    name: str
    host: str
    data_centre: str
    service: str
    weight: float = 1.0


def rank_agents(
    flow: bytes, data_centre: str, agents: Iterable[AgentEntry]
) -> list[AgentEntry]:
    """Return agents in the order of a flow that entered in a data centre."""
    return sorted(
        agents,
        key=lambda agent: (
            agent.data_centre != data_centre,
            score_weighted(flow, agent.name, agent.weight),
            agent.name,
        ),
    )


def find_homes(flow: bytes, agents: Iterable[AgentEntry]) -> frozenset[str]:
    """Return the IP addresses of the agents that are first in each data centre.

    A balancer of any data centre asks the one in its own first.
    """
    first: dict[str, tuple[float, str, str]] = {}
    for agent in agents:
        score = score_weighted(flow, agent.name, agent.weight)
        place = (score, agent.name, agent.host)
        if agent.data_centre not in first or place < first[agent.data_centre]:
            first[agent.data_centre] = place
    return frozenset(host for _, _, host in first.values())
