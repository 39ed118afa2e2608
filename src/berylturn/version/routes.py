"""Routes in force: which service new flows to an address belong to."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from hashlib import blake2b

SHARE_HASH_BYTES = 4
SHARE_HASH_RANGE = 1 << (8 * SHARE_HASH_BYTES)
# Services of earlier routes kept per address; open flows may still belong to them.
MAX_FORMER_SERVICES = 4
# A flow's key starts with the caller's packed address and port, then the service's.
SERVICE_ADDRESS_OFFSET = 6


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a route and its weight among new flows."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services behind one address of the platform, and its requests.

    Attributes
    ----------
    priority : int
        Priority of the requests; 0 is the highest.
    aim_seconds : float
        Latency objective of a request.
    timeout_seconds : float
        Time after which an answer has no use.
    repeatable : bool
        Whether a request may be processed more than once (idempotent).
    """

    name: str
    shares: tuple[ServiceShare, ...]
    priority: int = 0
    aim_seconds: float = math.inf
    timeout_seconds: float = math.inf
    repeatable: bool = False


# Its priority is below that of any route in use.
UNKNOWN_ROUTE = Route("", (), priority=100)


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Capacity limits of each backend server of a service.

    Attributes
    ----------
    connections : int
        Flows that may be open concurrently on one backend server.
    cold_seconds : float
        Length of the cold start.
    cold_rate : float
        New flows per second that a server accepts during the cold start.
    """

    connections: int = 2000
    cold_seconds: float = 2.0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class RouteTable:
    """One version of the routes; routes are keyed by packed address and port.

    Attributes
    ----------
    former : dict of bytes to tuple of str
        Services of an address in earlier versions, the latest first.
    """

    version: int = 0
    routes: dict[bytes, Route] = field(default_factory=dict)
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    idle_seconds: float = 15.0
    former: dict[bytes, tuple[str, ...]] = field(default_factory=dict)

    def with_former_services(self, previous: RouteTable) -> RouteTable:
        """Return this table with the services of changed routes of a previous table.

        Open flows may still belong to those services.
        """
        former = dict(previous.former)
        for address, route in previous.routes.items():
            if self.routes.get(address) != route:
                names = [share.service for share in route.shares]
                former_names = dict.fromkeys([*names, *former.get(address, ())])
                former[address] = tuple(former_names)[:MAX_FORMER_SERVICES]
        return replace(self, former=former)

    def route_of(self, flow: bytes) -> Route:
        """Return a flow's route, or one with the lowest priority if it has none."""
        return self.routes.get(service_address(flow), UNKNOWN_ROUTE)

    def possible_services(self, flow: bytes) -> list[str]:
        """Return the services an open flow may belong to, the most likely first."""
        current = self.service_of(flow)
        route = self.routes.get(service_address(flow))
        shares = [share.service for share in route.shares] if route else []
        names = [*([current] if current else []), *shares]
        return list(
            dict.fromkeys([*names, *self.former.get(service_address(flow), ())])
        )

    def service_of(self, flow: bytes) -> str | None:
        """Return the service of a flow, equal on all nodes, or None without a route."""
        route = self.routes.get(service_address(flow))
        if route is None or not route.shares:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        return _choose_service(route.shares, flow)


def service_address(flow: bytes) -> bytes:
    """Return the service's packed address and port from a flow's key."""
    return flow[SERVICE_ADDRESS_OFFSET:]


def _choose_service(shares: tuple[ServiceShare, ...], flow: bytes) -> str:
    total = sum(share.weight for share in shares)
    digest = blake2b(flow, digest_size=SHARE_HASH_BYTES).digest()
    position = int.from_bytes(digest, "big") / SHARE_HASH_RANGE * total
    for share in shares:
        position -= share.weight
        if position < 0:
            return share.service
    return shares[-1].service
