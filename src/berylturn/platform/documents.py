"""Decode configurations of operators and heartbeats of backend servers."""

from __future__ import annotations

import math
import socket
import struct
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..connection.recovery.backend_reports import BackendReport
from ..decoding import decode_pruned, decode_value, is_host_port
from ..errors import PlatformError
from ..version.routes import Route, RouteTable, ServiceLimits, ServiceShare

# Largest integer that each JSON reader represents exactly; times of day in
# milliseconds and sequence numbers are far below.
MAX_EXACT_INTEGER = 2**53 - 1
MAX_SLOTS = 10_000
MAX_COLD_MILLISECONDS = 3_600_000
MAX_WEIGHT = 1_000_000
MAX_PRIORITY = 1_000


# Types of routes whose requests may be repeated.
REPEATABLE_TYPES = ("idempotent", "download")


class _WeightedService(msgspec.Struct):
    service: str
    weight: Annotated[float, Meta(ge=0, le=MAX_WEIGHT)] = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    # Despite its name, the port number between slashes.
    path_prefix: str
    type: str = ""
    priority: Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] = 0
    aim_ms: Annotated[float, Meta(gt=0, le=MAX_EXACT_INTEGER)] | None = None
    timeout_ms: Annotated[float, Meta(gt=0, le=MAX_EXACT_INTEGER)] | None = None
    service: str | None = None
    weighted_services: list[_WeightedService] | None = None


class _Service(msgspec.Struct):
    name: str
    max_connections: Annotated[int, Meta(ge=0)] = 2000
    cold_start_s: Annotated[float, Meta(ge=0, le=MAX_COLD_MILLISECONDS / 1000)] = 0.0
    cold_per_s: Annotated[float, Meta(ge=0, le=MAX_WEIGHT)] = 0.0


class _ConfigLimits(msgspec.Struct):
    idle_timeout_ms: Annotated[int, Meta(ge=0, le=MAX_EXACT_INTEGER)] = 15_000


class _Configuration(msgspec.Struct):
    version: int
    routes: list[msgspec.Raw]
    services: list[_Service]
    limits: _ConfigLimits = msgspec.field(default_factory=_ConfigLimits)


class _Heartbeat(msgspec.Struct):
    service: Annotated[str, Meta(min_length=1)]
    address: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_MILLISECONDS)]
    sequence: Annotated[int, Meta(ge=0, le=MAX_EXACT_INTEGER)]
    # Negative on a host whose clock is set to a time before 1970.
    born: Annotated[int, Meta(ge=-MAX_EXACT_INTEGER, le=MAX_EXACT_INTEGER)]

    def __post_init__(self) -> None:
        if not is_host_port(self.address):
            raise ValueError(f"address {self.address!r} is not an IP address and port")


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_route_decoder = msgspec.json.Decoder(_Route)
_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)


def decode_configuration(body: bytes) -> tuple[RouteTable, list[str]]:
    """Return the route table of a configuration and the errors in unusable routes."""
    configuration = decode_pruned(
        _configuration_decoder,
        body,
        PlatformError,
        "configuration is unreadable; correct the object",
    )
    routes: dict[bytes, Route] = {}
    problems: list[str] = []
    for raw_route in configuration.routes:
        try:
            message = "correct the route"
            route = decode_value(_route_decoder, raw_route, PlatformError, message)
            routes[_pack_address(route)] = Route(
                route.name,
                _list_shares(route),
                route.priority,
                _to_seconds(route.aim_ms),
                _to_seconds(route.timeout_ms),
                repeatable=route.type in REPEATABLE_TYPES,
            )
        except (PlatformError, OSError, ValueError, struct.error) as error:
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
    heartbeat = decode_value(
        _heartbeat_decoder,
        body,
        PlatformError,
        "heartbeat is unreadable; correct the backend server",
    )
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
    if port == 0:
        raise ValueError("port 0 cannot receive packets; choose 1 to 65535")
    return socket.inet_aton(route.host) + struct.pack(">H", port)


def _to_seconds(milliseconds: float | None) -> float:
    """Return a duration in seconds; infinity if the route states none."""
    return math.inf if milliseconds is None else milliseconds / 1000


def _list_shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.weighted_services:
        return tuple(
            ServiceShare(weighted.service, weighted.weight)
            for weighted in route.weighted_services
            if weighted.weight > 0
        )
    return (ServiceShare(route.service, 1.0),) if route.service else ()
