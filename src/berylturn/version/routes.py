"""Routes in force: which service new flows to an address belong to."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from hashlib import blake2b

SHARE_HASH_BYTES = 4
SHARE_HASH_RANGE = 1 << (8 * SHARE_HASH_BYTES)
# Services that one address led to before; open flows may still belong to them.
MAX_FORMER = 4
LAST_PRIORITY = 100
# A flow's key has the caller's address and port before the service's.
SERVICE_ADDRESS_OFFSET = 6


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service of a route and the weight of new flows that it gets."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """What one address of the platform leads to; priority 0 is the most urgent."""

    name: str
    shares: tuple[ServiceShare, ...]
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What the backend servers of a service bear.

    Attributes
    ----------
    connections : int
        Flows that one backend server may hold.
    cold_seconds : float
        Length of a cold start.
    cold_rate : float
        Openings a second that a server in cold start bears.
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
        Services that an address led to in earlier versions, the latest first.
    """

    version: int = 0
    routes: dict[bytes, Route] = field(default_factory=dict)
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    idle_seconds: float = 15.0
    former: dict[bytes, tuple[str, ...]] = field(default_factory=dict)

    def after(self, previous: RouteTable) -> RouteTable:
        """Return this table with what the previous one says of open flows."""
        former = dict(previous.former)
        for address, route in previous.routes.items():
            if self.routes.get(address) != route:
                names = [share.service for share in route.shares]
                kept = dict.fromkeys([*names, *former.get(address, ())])
                former[address] = tuple(kept)[:MAX_FORMER]
        return replace(self, former=former)

    def priority_of(self, flow: bytes) -> int:
        """Return the priority of a flow's route; unknown ones go last."""
        route = self.routes.get(service_address(flow))
        return LAST_PRIORITY if route is None else route.priority

    def possible_services(self, flow: bytes) -> list[str]:
        """Return the services that an open flow may belong to, the likeliest first."""
        current = self.service_of(flow)
        route = self.routes.get(service_address(flow))
        shares = [share.service for share in route.shares] if route else []
        names = [*([current] if current else []), *shares]
        return list(
            dict.fromkeys([*names, *self.former.get(service_address(flow), ())])
        )

    def service_of(self, flow: bytes) -> str | None:
        """Return the service of a flow, the same one on each node, or None."""
        route = self.routes.get(service_address(flow))
        if route is None or not route.shares:
            return None
        if len(route.shares) == 1:
            return route.shares[0].service
        return _pick_share(route.shares, flow)


def service_address(flow: bytes) -> bytes:
    """Return the part of a flow's key that names the service's address."""
    return flow[SERVICE_ADDRESS_OFFSET:]


def _pick_share(shares: tuple[ServiceShare, ...], flow: bytes) -> str:
    total = sum(share.weight for share in shares)
    digest = blake2b(flow, digest_size=SHARE_HASH_BYTES).digest()
    position = int.from_bytes(digest, "big") / SHARE_HASH_RANGE * total
    for share in shares:
        position -= share.weight
        if position < 0:
            return share.service
    return shares[-1].service
