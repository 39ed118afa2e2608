"""Bodies that the operator and the backend servers write."""

from __future__ import annotations

import socket
import struct
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..connection.opening_gate import BackendReport
from ..errors import PlatformError
from ..version.routes import Route, RouteTable, ServiceLimits, ServiceShare


class _Weighted(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    # Not a path on these deployments, but a port between slashes.
    path_prefix: str
    priority: int = 0
    service: str | None = None
    weighted_services: list[_Weighted] | None = None


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 2000
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _ConfigLimits(msgspec.Struct):
    idle_timeout_ms: int = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _ConfigLimits = msgspec.field(default_factory=_ConfigLimits)


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: float
    sequence: int
    born: int


_configuration = msgspec.json.Decoder(_Configuration)
_route = msgspec.json.Decoder(_Route)
_heartbeat = msgspec.json.Decoder(_Heartbeat)


def decode_configuration(body: bytes) -> tuple[RouteTable, list[str]]:
    """Return the routes in a configuration and what is unusable in it."""
    try:
        found = _configuration.decode(body)
    except msgspec.DecodeError as error:
        raise PlatformError(f"configuration is unreadable: {error}") from error
    routes: dict[bytes, Route] = {}
    problems: list[str] = []
    for raw in found.routes:
        try:
            route = _route.decode(raw)
            routes[_pack_address(route)] = Route(
                route.name, _shares(route), route.priority
            )
        except (msgspec.DecodeError, OSError, ValueError, struct.error) as error:
            problems.append(f"route {bytes(raw)[:80]!r}: {error}")
    services = {
        item.name: ServiceLimits(
            item.max_connections, item.cold_start_s, item.cold_per_s
        )
        for item in found.services
    }
    idle = found.limits.idle_timeout_ms / 1000
    return RouteTable(found.version, routes, services, idle), problems


def decode_heartbeat(identifier: str, body: bytes) -> BackendReport:
    """Return a heartbeat or raise `PlatformError` when it names no backend server."""
    try:
        beat = _heartbeat.decode(body)
    except msgspec.DecodeError as error:
        raise PlatformError(f"heartbeat is unreadable: {error}") from error
    return BackendReport(
        identifier=identifier,
        started_ms=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        data_centre=beat.zone,
        address=beat.address,
        slots=beat.slots,
        draining=beat.state == "draining",
        cold_seconds=beat.cold_remaining_ms / 1000,
    )


def _pack_address(route: _Route) -> bytes:
    port = int(route.path_prefix.strip("/"))
    return socket.inet_aton(route.host) + struct.pack(">H", port)


def _shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.weighted_services:
        return tuple(
            ServiceShare(item.service, item.weight)
            for item in route.weighted_services
            if item.weight > 0
        )
    return (ServiceShare(route.service, 1.0),) if route.service else ()
