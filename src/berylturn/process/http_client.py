"""HTTP client connection that is opened when needed and detects a dead peer."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import httptools

from ..errors import PlatformUnavailable
from .logs import log_warning

CONNECT_SECONDS = 1.0
# A connection whose state a middlebox has dropped is detected within 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 2500


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status and body of a response."""

    status: int
    body: bytes


class _ResponseReader(asyncio.Protocol):
    """Parse responses and pass each to the request that waits for it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[HttpResponse] | None = None
        self._reset_parser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(f"connection lost; try again: {exc or 'closed by the other end'}")

    def data_received(self, data: bytes) -> None:
        if self.waiter is None:
            # A second copy of a response would be taken for that of the next request.
            log_warning("http_response_unexpected", bytes=len(data))
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"response is not valid HTTP; check the address: {error}")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        response = HttpResponse(self._parser.get_status_code(), bytes(self._body))
        keep_alive = self._parser.should_keep_alive()
        waiter, self.waiter = self.waiter, None
        if waiter is None or not keep_alive:
            self._close()
        else:
            self._reset_parser()
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()

    def _fail(self, message: str) -> None:
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(PlatformUnavailable(message))


class HttpConnection:
    """Send one request at a time to one address.

    Parameters
    ----------
    address : tuple of str and int
        Address of the server.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: _ResponseReader | None = None

    async def request(
        self, method: str, path: str, body: bytes = b"", *, seconds: float
    ) -> HttpResponse:
        """Return the response, or raise `PlatformUnavailable` if there is none.

        Parameters
        ----------
        method, path : str
            HTTP method, and path with query.
        body : bytes
            JSON text; empty for none.
        seconds : float
            Timeout of the request.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(method, path, body)
        except TimeoutError:
            raise PlatformUnavailable(
                f"no response from {self._address[0]}:{self._address[1]} "
                f"within {seconds:g} s; check that it runs"
            ) from None
        except OSError as error:
            raise PlatformUnavailable(
                f"cannot reach {self._address[0]}:{self._address[1]}; "
                f"check that it runs: {error}"
            ) from error
        finally:
            self._discard_if_unanswered()

    def close(self) -> None:
        """Close the connection without sending what is still buffered."""
        if self._reader is not None and self._reader.transport is not None:
            self._reader.transport.abort()
        self._reader = None

    async def _exchange(self, method: str, path: str, body: bytes) -> HttpResponse:
        if self._reader is None or self._reader.transport is None:
            self._reader = await self._connect()
        reader = self._reader
        reader.waiter = asyncio.get_running_loop().create_future()
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address[0]}\r\n"
        if body:
            head += "Content-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        reader.transport.write(head.encode() + body)
        return await reader.waiter

    async def _connect(self) -> _ResponseReader:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_SECONDS):
            transport, reader = await loop.create_connection(
                _ResponseReader, *self._address
            )
        _enable_keepalive(transport.get_extra_info("socket"))
        return reader

    def _discard_if_unanswered(self) -> None:
        reader = self._reader
        if reader is not None and reader.waiter is not None:
            reader.waiter = None
            self.close()


def _enable_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
