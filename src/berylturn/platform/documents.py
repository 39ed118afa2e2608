"""Decode configurations of operators and heartbeats of backend servers."""

from __future__ import annotations

import socket
import struct
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..connection.opening_gate import BackendReport
from ..errors import PlatformError
from ..version.routes import Route, RouteTable, ServiceLimits, ServiceShare


class _WeightedService(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    # Despite its name, the port number between slashes.
    path_prefix: str
    priority: int = 0
    service: str | None = None
    weighted_services: list[_WeightedService] | None = None


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


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_route_decoder = msgspec.json.Decoder(_Route)
_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)


def decode_configuration(body: bytes) -> tuple[RouteTable, list[str]]:
    """Return the route table of a configuration and the errors in unusable routes."""
    try:
        configuration = _configuration_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f"configuration is unreadable; correct the object: {error}"
        ) from error
    routes: dict[bytes, Route] = {}
    problems: list[str] = []
    for raw_route in configuration.routes:
        try:
            route = _route_decoder.decode(raw_route)
            routes[_pack_address(route)] = Route(
                route.name, _list_shares(route), route.priority
            )
        except (msgspec.DecodeError, OSError, ValueError, struct.error) as error:
            problems.append(f"route {bytes(raw_route)[:80]!r}: {error}")
    services = {
        service.name: ServiceLimits(
            service.max_connections, service.cold_start_s, service.cold_per_s
        )
        for service in configuration.services
    }
    idle_seconds = configuration.limits.idle_timeout_ms / 1000
    return RouteTable(configuration.version, routes, services, idle_seconds), problems


def decode_heartbeat(identifier: str, body: bytes) -> BackendReport:
    """Return the report in a heartbeat or raise `PlatformError`."""
    try:
        heartbeat = _heartbeat_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f"heartbeat is unreadable; correct the backend server: {error}"
        ) from error
    return BackendReport(
        identifier=identifier,
        started_ms=heartbeat.born,
        sequence=heartbeat.sequence,
        service=heartbeat.service,
        data_centre=heartbeat.zone,
        address=heartbeat.address,
        slots=heartbeat.slots,
        draining=heartbeat.state == "draining",
        cold_seconds=heartbeat.cold_remaining_ms / 1000,
    )


def _pack_address(route: _Route) -> bytes:
    port = int(route.path_prefix.strip("/"))
    return socket.inet_aton(route.host) + struct.pack(">H", port)


def _list_shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.weighted_services:
        return tuple(
            ServiceShare(weighted.service, weighted.weight)
            for weighted in route.weighted_services
            if weighted.weight > 0
        )
    return (ServiceShare(route.service, 1.0),) if route.service else ()
