"""Calls that arrive at a node: heartbeats, readiness, metrics."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote

from ..connection.opening_gate import BackendReport
from ..errors import PlatformError
from ..process.http_server import Handler, HttpReply, HttpRequest
from ..process.logs import log_warning
from .documents import decode_heartbeat

_INSTANCES = "/-/instances/"
_READINESS = "/-/readiness"
_UNAVAILABLE = HttpReply(503)


def make_readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler of the routers' probes."""

    def handle(request: HttpRequest) -> HttpReply:
        if request.path.partition("?")[0] != _READINESS:
            return HttpReply(404)
        return HttpReply(200) if is_ready() else _UNAVAILABLE

    return handle


def make_heartbeat_handler(
    on_report: Callable[[BackendReport], bool], on_leave: Callable[[str], bool]
) -> Handler:
    """Return a handler of heartbeats; the callables tell whether to acknowledge."""

    def handle(request: HttpRequest) -> HttpReply:
        path = request.path.partition("?")[0]
        if not path.startswith(_INSTANCES):
            return HttpReply(404)
        identifier = unquote(path[len(_INSTANCES) :])
        if request.method == "DELETE":
            return HttpReply(200) if on_leave(identifier) else _UNAVAILABLE
        try:
            report = decode_heartbeat(identifier, request.body)
        except PlatformError as error:
            log_warning("heartbeat_unreadable", id=identifier, error=str(error))
            return HttpReply(400)
        return HttpReply(200, b"{}") if on_report(report) else _UNAVAILABLE

    return handle


def refuse_heartbeats(request: HttpRequest) -> HttpReply:
    """Answer a backend server that called a node which is not beside it."""
    return _UNAVAILABLE
