"""Order in which the agents of a service are asked for a passthrough flow.

Every node computes the same order from the flow's key and the directory alone, so a
flow is found again even after all soft state is lost. Bounded loads (Mirrokni, Thorup
and Zadimoghaddam, 2018) move a new flow to the next agent when a server is full.
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
        IP address at which other nodes reach it.
    data_centre, service : str
        Data centre of the agent, and service of its backend server.
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
    """Return the agents in the order for a flow that entered in a data centre."""
    return sorted(
        agents,
        key=lambda agent: (
            agent.data_centre != data_centre,
            score_weighted(flow, agent.name, agent.weight),
            agent.name,
        ),
    )


def find_primary_hosts(flow: bytes, agents: Iterable[AgentEntry]) -> frozenset[str]:
    """Return the IP addresses of the agents that rank first in each data centre.

    A balancer first asks the one in its own data centre.
    """
    best: dict[str, tuple[float, str, str]] = {}
    for agent in agents:
        score = score_weighted(flow, agent.name, agent.weight)
        ranked = (score, agent.name, agent.host)
        if agent.data_centre not in best or ranked < best[agent.data_centre]:
            best[agent.data_centre] = ranked
    return frozenset(host for _, _, host in best.values())
