"""Plans of deployments for demos, tests and measurements."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class ServerPlan:
    """Describe one backend server and its agent.

    Attributes
    ----------
    service : str
        Service that its label names at the start.
    other_services : tuple of str
        Further services that it can serve once its label names them.
    proxied, backend_proxied : bool
        Whether a fault proxy relays to the agent, and to the backend server.
    """

    name: str
    service: str
    data_centre: str
    slots: int = 3
    cold_limit: int = 1
    speed: float = 1.0
    cold_seconds: float = 0.5
    connections: int = 2000
    proxied: bool = False
    backend_proxied: bool = False
    other_services: tuple[str, ...] = ()


@dataclass(frozen=True)
class BalancerPlan:
    """Describe one balancer."""

    name: str
    data_centre: str
    proxied: bool = False


@dataclass
class Plan:
    """Describe a deployment; each of `services` has an address at the fabric."""

    services: list[str]
    servers: list[ServerPlan]
    balancers: list[BalancerPlan]
    loss: float = 0.0
    delay_ms: float = 0.0
    seed: int = 1
    agent_options: dict[str, str] = field(default_factory=dict)
    statsd_port: int = 0
    daemon: str = "berylturn.daemon"
    environment: dict[str, str] = field(default_factory=dict)
