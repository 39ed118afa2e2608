"""Adapter of the backend server: HTTP/1.1, one connection for each flow."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol
from urllib.parse import urlsplit

import aiohttp

from ..clock import Clock
from ..errors import ConnectError, ConnectionBroken, ShedError

PROBE_IDLE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.4
STREAM_SILENT_SECONDS = 2.0
SENTINEL_RETRY_SECONDS = 0.2
LOST_SECONDS = 1.0
SOCKET_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
    socket.TCP_USER_TIMEOUT: 3000,
}
HEADER_FLOW = "Berylturn-Flow"
HEADER_NUMBER = "Berylturn-Request"
HEADER_SERVICE = "Berylturn-Service"
HEADER_DEADLINE = "Berylturn-Deadline-Ms"
HEADER_NOT_RUN = "Berylturn-Not-Run"
HEADER_RESUME = "Berylturn-Resume-At"


@dataclass(frozen=True)
class Call:
    """Describe one request to the backend server.

    Attributes
    ----------
    seconds : float
        Time until its deadline.
    resume_at : int
        Lines of a stream that were taken already.
    """

    flow_id: bytes
    number: int
    service: str
    body: bytes
    seconds: float
    resume_at: int = 0

    def headers(self) -> dict[str, str]:
        """Return the headers that identify the request."""
        return {
            HEADER_FLOW: self.flow_id.hex(),
            HEADER_NUMBER: str(self.number),
            HEADER_SERVICE: self.service,
            HEADER_DEADLINE: str(max(0, int(self.seconds * 1000))),
        }


@dataclass(frozen=True)
class Reply:
    """Answer of the backend server."""

    status: int
    body: bytes


class Backend(Protocol):
    """What an agent needs from a backend server."""

    async def prepare(self, flow_id: bytes) -> None:
        """Make sure that the flow has a connection that the server has accepted.

        Raises
        ------
        ConnectError
            No connection can be had.
        """

    async def run(self, call: Call) -> Reply:
        """Run one request on the prepared connection.

        Raises
        ------
        ConnectError
            Nothing was written.
        ShedError
            The server states that it did not run the request.
        ConnectionBroken
            The request may have run.
        """

    def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Yield the data of a stream."""

    async def cancel(self, flow_id: bytes, number: int) -> None:
        """Withdraw a request."""

    async def release(self, flow_id: bytes) -> None:
        """Close the connection of a flow."""


@dataclass
class _FlowConnection:
    session: aiohttp.ClientSession
    used_at: float
    active: int = 0
    proved: bool = False


class _Sentinel(asyncio.Protocol):
    """Report the end of an unused connection in the very callback that tells it."""

    def __init__(self, on_end: Callable[[], None]) -> None:
        self._on_end = on_end
        self.ended = asyncio.Event()

    def eof_received(self) -> None:
        """Take the server's close."""
        self._end()

    def connection_lost(self, _error: Exception | None) -> None:
        """Take the end of the connection, however it came."""
        self._end()

    def _end(self) -> None:
        if not self.ended.is_set():
            self.ended.set()
            self._on_end()


class HttpBackend:
    """Talk HTTP/1.1 to the backend server beside the agent.

    Parameters
    ----------
    url : str
        ``http://IP:PORT``.
    connect_timeout, idle : timedelta
        Longest wait for a connection; how long an unused one is kept.
    on_restart : callable
        Called when the server closes its sentinel connection.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        url: str,
        connect_timeout: timedelta,
        idle: timedelta,
        on_restart: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._url = url.rstrip("/")
        self._connect_timeout = connect_timeout.total_seconds()
        self._idle = idle.total_seconds()
        self._on_restart = on_restart
        self._clock = clock
        self._connections: dict[bytes, _FlowConnection] = {}
        self._down_since: float | None = None

    @property
    def lost(self) -> bool:
        """Tell whether the server has accepted no connection for a while."""
        if self._down_since is None:
            return False
        return self._clock.monotonic() - self._down_since > LOST_SECONDS

    async def prepare(self, flow_id: bytes) -> None:
        """Make sure that the flow has a connection that the server has accepted.

        An answer on a connection proves that the server that runs now took it up;
        the ends of connections to an earlier run have arrived by then.
        """
        connection = self._connections.get(flow_id)
        if connection is not None and self._is_proved(connection):
            return
        if connection is not None and not await self._answers(connection.session):
            await self.release(flow_id)
            connection = None
        if connection is None:
            connection = _FlowConnection(self._new_session(), self._clock.monotonic())
            self._connections[flow_id] = connection
            await self._prove(connection)
        connection.proved = True
        connection.used_at = self._clock.monotonic()
        # Lets the event loop report connections that ended in the same instant.
        await asyncio.sleep(0)

    async def run(self, call: Call) -> Reply:
        """Run one request on the prepared connection of its flow."""
        connection = self._connections.get(call.flow_id)
        if connection is None:
            raise ConnectError("the flow has ended; open another")
        connection.active += 1
        try:
            return await self._post(connection.session, call)
        finally:
            connection.active -= 1
            connection.used_at = self._clock.monotonic()

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Yield data; a connection that goes silent is replaced, resuming."""
        sent = call.resume_at
        while True:
            session = self._new_session()
            try:
                async for data in self._stream_once(session, call, sent):
                    if data.strip():
                        sent += data.count(b"\n")
                        yield data
                return
            except (TimeoutError, aiohttp.ClientError, OSError):
                await asyncio.sleep(SENTINEL_RETRY_SECONDS)
            finally:
                await session.close()

    async def cancel(self, flow_id: bytes, number: int) -> None:
        """Withdraw a request; a failure to do so is ignored."""
        path = f"{self._url}/cancel/{flow_id.hex()}/{number}"
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with (
                self._new_session() as session,
                session.post(path, timeout=timeout),
            ):
                pass
        except (TimeoutError, aiohttp.ClientError, OSError):
            return

    async def release(self, flow_id: bytes) -> None:
        """Close the connection of a flow."""
        connection = self._connections.pop(flow_id, None)
        if connection is not None:
            await connection.session.close()

    async def close_idle(self) -> None:
        """Close the connections that have not been used for a while."""
        now = self._clock.monotonic()
        for flow_id, connection in list(self._connections.items()):
            if not connection.active and now - connection.used_at > self._idle:
                await self.release(flow_id)

    async def close(self) -> None:
        """Close all connections."""
        for flow_id in list(self._connections):
            await self.release(flow_id)

    async def watch_restarts(self) -> None:
        """Hold an unused connection; its end shows that the server restarted.

        The server's health and load endpoints lag, the end of a connection
        does not.
        """
        parts = urlsplit(self._url)
        loop = asyncio.get_running_loop()
        while True:
            try:
                _, sentinel = await loop.create_connection(
                    lambda: _Sentinel(self._on_restart), parts.hostname, parts.port
                )
            except OSError:
                if self._down_since is None:
                    self._down_since = self._clock.monotonic()
                    self._on_restart()
                await asyncio.sleep(SENTINEL_RETRY_SECONDS)
                continue
            self._down_since = None
            await sentinel.ended.wait()

    def _new_session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self._connect_timeout)
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=self._idle, socket_factory=open_socket
        )
        return aiohttp.ClientSession(connector=connector, timeout=timeout)

    def _is_proved(self, connection: _FlowConnection) -> bool:
        """Tell whether the next request goes to a connection that answered lately."""
        idle = self._clock.monotonic() - connection.used_at
        free = connection.proved and not connection.active
        return free and idle < PROBE_IDLE_SECONDS

    async def _answers(self, session: aiohttp.ClientSession) -> bool:
        try:
            await self._probe(session)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False
        return True

    async def _prove(self, connection: _FlowConnection) -> None:
        """Probe a new connection; a health endpoint that hangs proves nothing."""
        try:
            await self._probe(connection.session)
        except aiohttp.ConnectionTimeoutError as error:
            raise self._connect_error() from error
        except TimeoutError:
            return
        except (aiohttp.ClientError, OSError) as error:
            raise self._connect_error() from error

    async def _probe(self, session: aiohttp.ClientSession) -> None:
        timeout = aiohttp.ClientTimeout(
            total=PROBE_TIMEOUT_SECONDS, sock_connect=self._connect_timeout
        )
        async with session.get(self._url + "/health", timeout=timeout) as response:
            await response.read()

    def _connect_error(self) -> ConnectError:
        return ConnectError(f"no connection to {self._url}; check that it runs")

    async def _post(self, session: aiohttp.ClientSession, call: Call) -> Reply:
        timeout = aiohttp.ClientTimeout(
            total=max(call.seconds, 0.001), sock_connect=self._connect_timeout
        )
        try:
            async with session.post(
                self._url + "/request",
                data=call.body,
                headers=call.headers(),
                timeout=timeout,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise self._connect_error() from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise ConnectionBroken(
                f"connection to {self._url} failed during a request: {error!r}"
            ) from error
        if HEADER_NOT_RUN in response.headers:
            raise ShedError(f"{self._url} shed the request; lower its slots label")
        return Reply(response.status, body)

    async def _stream_once(
        self, session: aiohttp.ClientSession, call: Call, sent: int
    ) -> AsyncIterator[bytes]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._connect_timeout,
            sock_read=STREAM_SILENT_SECONDS,
        )
        headers = {**call.headers(), HEADER_RESUME: str(sent)}
        async with session.post(
            self._url + "/stream", data=call.body, headers=headers, timeout=timeout
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                yield line


def open_socket(info: tuple) -> socket.socket:
    """Return a socket that fails within 3 s when the network loses its peer.

    TCP keepalives are answered by the peer's kernel, so that a server that is slow
    is not taken for one that is gone (seconds, but milliseconds for the user
    timeout).

    Parameters
    ----------
    info : tuple
        Family, type, protocol, name and address, as of `socket.getaddrinfo`.
    """
    family, kind, protocol, *_ = info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in SOCKET_OPTIONS.items():
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened
