"""One HTTP connection that is opened when needed and notices silence."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

import httptools

from ..errors import PlatformUnavailable

CONNECT_SECONDS = 1.0
# A connection that something in between has forgotten is noticed within 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 2500


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status and body of an answer."""

    status: int
    body: bytes


class _Reader(asyncio.Protocol):
    """Hand each answer to the request that waits for it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.waiter: asyncio.Future[HttpAnswer] | None = None
        self._begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._fail(f"connection lost: {exc or 'closed by the other end'}")

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"unreadable answer: {error}")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        answer = HttpAnswer(self._parser.get_status_code(), bytes(self._body))
        keep = self._parser.should_keep_alive()
        waiter, self.waiter = self.waiter, None
        if not keep and self.transport is not None:
            self.transport.close()
            self.transport = None
        else:
            self._begin()
        if waiter is not None and not waiter.done():
            waiter.set_result(answer)

    def _begin(self) -> None:
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
        Where to connect to.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._reader: _Reader | None = None

    async def request(
        self, method: str, path: str, body: bytes = b"", *, seconds: float
    ) -> HttpAnswer:
        """Return the answer, or raise `PlatformUnavailable` when none comes.

        Parameters
        ----------
        method, path : str
            What to ask for.
        body : bytes
            JSON text, or nothing.
        seconds : float
            Longest wait for the answer.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(method, path, body)
        except TimeoutError:
            raise PlatformUnavailable(
                f"no answer from {self._address[0]}:{self._address[1]} "
                f"within {seconds:g} s"
            ) from None
        except OSError as error:
            raise PlatformUnavailable(
                f"cannot reach {self._address[0]}:{self._address[1]}: {error}"
            ) from error
        finally:
            self._discard_if_busy()

    def close(self) -> None:
        """Close the connection."""
        if self._reader is not None and self._reader.transport is not None:
            self._reader.transport.abort()
        self._reader = None

    async def _exchange(self, method: str, path: str, body: bytes) -> HttpAnswer:
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

    async def _connect(self) -> _Reader:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_SECONDS):
            transport, reader = await loop.create_connection(_Reader, *self._address)
        _watch_silence(transport.get_extra_info("socket"))
        return reader

    def _discard_if_busy(self) -> None:
        reader = self._reader
        if reader is not None and reader.waiter is not None:
            reader.waiter = None
            self.close()


def _watch_silence(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
