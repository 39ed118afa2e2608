"""Control service between daemons and the tool, by gRPC with msgpack bodies.

Generic handlers with msgspec stand in for protobuf, so that a daemon does not
load a second codec.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio
import msgspec

from ..domain import ConfigObject, MemberState
from ..errors import BerylturnError, SettingsError
from .settings import TlsSection

SERVICE = "berylturn.Control"
CALL_SECONDS = 2.0
MAX_MESSAGE_BYTES = 16_000_000


class ControlError(BerylturnError):
    """Raise when a peer's control service does not answer."""


class PullRequest(msgspec.Struct, array_like=True):
    """Ask for the content of the buckets that differ."""

    object_buckets: list[int]
    member_buckets: list[int]


class PullReply(msgspec.Struct, array_like=True):
    """Carry the content of the buckets that differ."""

    objects: list[ConfigObject]
    members: list[MemberState]


class StatusRequest(msgspec.Struct, array_like=True):
    """Ask for a balancer's status; `name` limits it to one object."""

    name: str = ""


class Problem(msgspec.Struct):
    """Tell why one object was refused."""

    name: str
    version: int
    reason: str


class StatusReply(msgspec.Struct):
    """Describe one balancer.

    Attributes
    ----------
    version : int
        Version of the object that was asked for, 0 when unknown.
    """

    node: str
    data_centre: str
    version: int
    problems: list[Problem]
    balancers: list[MemberState]
    agents: list[MemberState]
    services: dict[str, list[str]]
    counters: dict[str, int]
    shared_addresses: dict[str, list[str]] = {}


class ExplainRequest(msgspec.Struct, array_like=True):
    """Ask why work for a service goes where it goes."""

    service: str


class ExplainedServer(msgspec.Struct):
    """Tell how one backend server takes part in a service."""

    name: str
    data_centre: str
    share: float
    verdict: str


class ExplainReply(msgspec.Struct):
    """Answer `ExplainRequest`; `found` is False for an unknown service."""

    service: str
    found: bool
    address: str
    version: int
    servers: list[ExplainedServer]


_METHODS: dict[str, tuple[type, type]] = {
    "Pull": (PullRequest, PullReply),
    "Status": (StatusRequest, StatusReply),
    "Explain": (ExplainRequest, ExplainReply),
}
_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


async def start_control(
    address: tuple[str, int],
    handlers: dict[str, Callable[[Any], Awaitable[Any]]],
    tls: TlsSection,
) -> grpc.aio.Server:
    """Serve `handlers` (by method name) and return the running server."""
    server = grpc.aio.server(options=_OPTIONS)
    methods = {name: _handler(name, handlers[name]) for name in handlers}
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE, methods),)
    )
    target = f"{address[0]}:{address[1]}"
    try:
        _add_port(server, target, tls)
    except RuntimeError as error:
        raise SettingsError(
            f"cannot listen on {target} (TCP); choose a free port"
        ) from error
    await server.start()
    return server


async def call_control(
    target: str, method: str, request: Any, tls: TlsSection | None = None
) -> Any:
    """Call one method of a peer and return its reply.

    Raises
    ------
    ControlError
        The peer does not answer in time.
    """
    _, reply_type = _METHODS[method]
    async with _open_channel(target, tls or TlsSection()) as channel:
        call = channel.unary_unary(
            f"/{SERVICE}/{method}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=msgspec.msgpack.Decoder(reply_type).decode,
        )
        try:
            return await call(request, timeout=CALL_SECONDS)
        except grpc.aio.AioRpcError as error:
            raise ControlError(
                f"{target} does not answer ({error.code().name}); "
                "check that the daemon runs and its certificates"
            ) from error


def _add_port(server: grpc.aio.Server, target: str, tls: TlsSection) -> None:
    if not tls.certificate:
        server.add_insecure_port(target)
        return
    credentials = grpc.ssl_server_credentials(
        [(_read(tls.key), _read(tls.certificate))],
        _read(tls.authority),
        require_client_auth=bool(tls.authority),
    )
    server.add_secure_port(target, credentials)


def _handler(name: str, function: Callable[[Any], Awaitable[Any]]) -> Any:
    request_type, _ = _METHODS[name]

    async def handle(request: Any, _context: Any) -> Any:
        return await function(request)

    return grpc.unary_unary_rpc_method_handler(
        handle,
        request_deserializer=msgspec.msgpack.Decoder(request_type).decode,
        response_serializer=msgspec.msgpack.encode,
    )


def _open_channel(target: str, tls: TlsSection) -> grpc.aio.Channel:
    if not tls.certificate and not tls.authority:
        return grpc.aio.insecure_channel(target, options=_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        _read(tls.authority), _read(tls.key), _read(tls.certificate)
    )
    return grpc.aio.secure_channel(target, credentials, options=_OPTIONS)


def _read(path: str) -> bytes | None:
    if not path:
        return None
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            f"cannot read {path} ({error.strerror}); check the [tls] section"
        ) from error
