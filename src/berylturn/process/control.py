"""Control service for other balancers and the tool, by gRPC with msgpack bodies.

Generic handlers encode with msgspec instead of protobuf, so that a daemon does not
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

SERVICE_NAME = "berylturn.Control"
CALL_TIMEOUT_SECONDS = 2.0
MAX_MESSAGE_BYTES = 16_000_000


class ControlError(BerylturnError):
    """The control service of a balancer did not answer."""


class PullRequest(msgspec.Struct, array_like=True):
    """Ask for the objects and members in buckets with other digests.

    Attributes
    ----------
    object_buckets, member_buckets : list of int
        The requester's digest of each bucket.
    """

    object_buckets: list[int]
    member_buckets: list[int]


class PullReply(msgspec.Struct, array_like=True):
    """Carry the objects and members in the buckets whose digests differ."""

    objects: list[ConfigObject]
    members: list[MemberState]


class StatusRequest(msgspec.Struct, array_like=True):
    """Ask for a balancer's status and its version of the object `name`."""

    name: str = ""


class Problem(msgspec.Struct):
    """Describe why one object was refused."""

    name: str
    version: int
    reason: str


class StatusReply(msgspec.Struct):
    """Describe one balancer.

    Attributes
    ----------
    version : int
        Version of the requested object, 0 when the balancer does not have it.
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
    """Ask how flows of a service are distributed over backend servers."""

    service: str


class ExplainedServer(msgspec.Struct):
    """Describe the share of one backend server in a service, and why it is so."""

    name: str
    data_centre: str
    share: float
    verdict: str


class ExplainReply(msgspec.Struct):
    """Answer an `ExplainRequest`; `found` is False for an unknown service."""

    service: str
    found: bool
    address: str
    version: int
    servers: list[ExplainedServer]


_MESSAGE_TYPES: dict[str, tuple[type, type]] = {
    "Pull": (PullRequest, PullReply),
    "Status": (StatusRequest, StatusReply),
    "Explain": (ExplainRequest, ExplainReply),
}
_CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
]


async def start_control(
    address: tuple[str, int],
    handlers: dict[str, Callable[[Any], Awaitable[Any]]],
    tls: TlsSection,
) -> grpc.aio.Server:
    """Start a server with `handlers` by method name, and return it."""
    server = grpc.aio.server(options=_CHANNEL_OPTIONS)
    methods = {name: _make_handler(name, handlers[name]) for name in handlers}
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE_NAME, methods),)
    )
    target = f"{address[0]}:{address[1]}"
    try:
        _add_listener(server, target, tls)
    except RuntimeError as error:
        raise SettingsError(
            f"cannot listen on {target} (TCP); choose a free port in [listen] control"
        ) from error
    await server.start()
    return server


async def call_control(
    target: str, method: str, request: Any, tls: TlsSection | None = None
) -> Any:
    """Call one method of a balancer and return its reply.

    Raises
    ------
    ControlError
        The balancer does not answer in time.
    """
    _, reply_type = _MESSAGE_TYPES[method]
    async with _open_channel(target, tls or TlsSection()) as channel:
        call = channel.unary_unary(
            f"/{SERVICE_NAME}/{method}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=msgspec.msgpack.Decoder(reply_type).decode,
        )
        try:
            return await call(request, timeout=CALL_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError as error:
            raise ControlError(
                f"{target} does not answer ({error.code().name}); "
                "check that the daemon runs and that the certificates match"
            ) from error


def _add_listener(server: grpc.aio.Server, target: str, tls: TlsSection) -> None:
    if not tls.certificate:
        server.add_insecure_port(target)
        return
    credentials = grpc.ssl_server_credentials(
        [(_read_file(tls.key), _read_file(tls.certificate))],
        _read_file(tls.authority),
        require_client_auth=bool(tls.authority),
    )
    server.add_secure_port(target, credentials)


def _make_handler(name: str, handler: Callable[[Any], Awaitable[Any]]) -> Any:
    request_type, _ = _MESSAGE_TYPES[name]

    async def handle_call(request: Any, _context: Any) -> Any:
        return await handler(request)

    return grpc.unary_unary_rpc_method_handler(
        handle_call,
        request_deserializer=msgspec.msgpack.Decoder(request_type).decode,
        response_serializer=msgspec.msgpack.encode,
    )


def _open_channel(target: str, tls: TlsSection) -> grpc.aio.Channel:
    if not tls.certificate and not tls.authority:
        return grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        _read_file(tls.authority), _read_file(tls.key), _read_file(tls.certificate)
    )
    return grpc.aio.secure_channel(target, credentials, options=_CHANNEL_OPTIONS)


def _read_file(path: str) -> bytes | None:
    if not path:
        return None
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            f"cannot read {path} ({error.strerror}); check the [tls] section"
        ) from error
