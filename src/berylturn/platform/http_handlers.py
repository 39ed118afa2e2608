"""Handlers of the HTTP requests that a node receives: heartbeats and readiness."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote

from ..connection.recovery.backend_reports import BackendReport
from ..errors import PlatformError
from ..process.http_server import Handler, HttpReply, HttpRequest
from ..process.logs import log_warning
from .documents import decode_heartbeat

_INSTANCES_PREFIX = "/-/instances/"
_READINESS_PATH = "/-/readiness"
_UNAVAILABLE = HttpReply(503)


def make_readiness_handler(is_ready: Callable[[], bool]) -> Handler:
    """Return a handler of the routers' readiness probes."""

    def handle(request: HttpRequest) -> HttpReply:
        if request.path.partition("?")[0] != _READINESS_PATH:
            return HttpReply(404)
        return HttpReply(200) if is_ready() else _UNAVAILABLE

    return handle


def make_heartbeat_handler(
    on_heartbeat: Callable[[BackendReport], bool],
    on_deregistration: Callable[[str], bool],
) -> Handler:
    """Return a handler of a backend server's heartbeats and deregistration.

    Parameters
    ----------
    on_heartbeat : callable
        Called with each report; returns whether to acknowledge it.
    on_deregistration : callable
        Called with the identifier of a server that deregisters; returns whether to
        acknowledge it.
    """

    def handle(request: HttpRequest) -> HttpReply:
        path = request.path.partition("?")[0]
        if not path.startswith(_INSTANCES_PREFIX):
            return HttpReply(404)
        identifier = unquote(path[len(_INSTANCES_PREFIX) :])
        if request.method == "DELETE":
            return HttpReply(200) if on_deregistration(identifier) else _UNAVAILABLE
        try:
            report = decode_heartbeat(identifier, request.body)
        except PlatformError as error:
            log_warning("heartbeat_unreadable", id=identifier, error=str(error))
            return HttpReply(400)
        return HttpReply(200, b"{}") if on_heartbeat(report) else _UNAVAILABLE

    return handle


def refuse_heartbeats(request: HttpRequest) -> HttpReply:
    """Reply 503: this node is not the agent of any backend server."""
    return _UNAVAILABLE
