"""Small HTTP server for short requests that are answered without waiting.

httptools parses them; aiohttp would add 0.75 s to a daemon's start on 0.236 cores.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ..errors import SettingsError
from .logs import log_warning

MAX_BODY_BYTES = 65_536
BACKLOG = 128
IDLE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Method, path with query, and body of a request."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status, body and content type of a reply."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler = Callable[[HttpRequest], HttpReply]

_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 500: "Error"}


class _Connection(asyncio.Protocol):
    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._reset_parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            log_warning("http_request_unreadable", error=str(error))
            self._close()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            log_warning("http_request_too_large", limit_bytes=MAX_BODY_BYTES)
            self._close()

    def on_message_complete(self) -> None:
        transport, parser = self._transport, self._parser
        if transport is None or transport.is_closing():
            return
        keep_alive = parser.should_keep_alive()
        request = HttpRequest(
            parser.get_method().decode("latin-1"),
            bytes(self._path).decode("latin-1"),
            bytes(self._body),
        )
        try:
            reply = self._handler(request)
        except Exception as error:  # a failed request must not end the daemon
            log_warning("http_request_failed", path=request.path, error=repr(error))
            reply = HttpReply(500)
        transport.write(_encode_reply(reply, keep_alive))
        if keep_alive:
            self._path, self._body = bytearray(), bytearray()
            self._restart_idle_timer()
        else:
            self._close()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._path, self._body = bytearray(), bytearray()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(IDLE_SECONDS, self._close)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()


async def serve_http(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Return a listening server, or raise `SettingsError` if it cannot listen."""
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(
            lambda: _Connection(handler), *address, backlog=BACKLOG
        )
    except OSError as error:
        raise SettingsError(
            f"cannot listen on {address[0]}:{address[1]} ({error.strerror}); "
            "choose a free port on an address of this host"
        ) from error


def _encode_reply(reply: HttpReply, keep_alive: bool) -> bytes:
    reason = _REASONS.get(reply.status, "Status")
    head = (
        f"HTTP/1.1 {reply.status} {reason}\r\n"
        f"Content-Type: {reply.content_type}\r\n"
        f"Content-Length: {len(reply.body)}\r\n"
    )
    if not keep_alive:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + reply.body
