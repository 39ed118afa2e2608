"""HTTP/1.1 client of the backend server, with one connection for each flow."""

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

REPROBE_IDLE_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.4
STREAM_READ_TIMEOUT_SECONDS = 2.0
RECONNECT_SECONDS = 0.2
UNREACHABLE_AFTER_SECONDS = 1.0
# Seconds, except that TCP_USER_TIMEOUT is in milliseconds.
SOCKET_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
    socket.TCP_USER_TIMEOUT: 3000,
}
HEADER_FLOW = "Berylturn-Flow"
HEADER_REQUEST_NUMBER = "Berylturn-Request"
HEADER_SERVICE = "Berylturn-Service"
HEADER_DEADLINE_MS = "Berylturn-Deadline-Ms"
HEADER_NOT_RUN = "Berylturn-Not-Run"
HEADER_RESUME_AT = "Berylturn-Resume-At"


@dataclass(frozen=True)
class Call:
    """Describe one request to the backend server.

    Attributes
    ----------
    timeout_seconds : float
        Time until its deadline.
    resume_at : int
        Number of lines of a stream that the caller already has.
    """

    flow_id: bytes
    number: int
    service: str
    body: bytes
    timeout_seconds: float
    resume_at: int = 0

    def headers(self) -> dict[str, str]:
        """Return the headers that identify the request."""
        return {
            HEADER_FLOW: self.flow_id.hex(),
            HEADER_REQUEST_NUMBER: str(self.number),
            HEADER_SERVICE: self.service,
            HEADER_DEADLINE_MS: str(max(0, int(self.timeout_seconds * 1000))),
        }


@dataclass(frozen=True)
class Reply:
    """Hold an answer of the backend server."""

    status: int
    body: bytes


class Backend(Protocol):
    """Operations that an agent needs from a backend server."""

    async def prepare(self, flow_id: bytes) -> None:
        """Ensure that the flow has a connection that the server has accepted.

        Raises
        ------
        ConnectError
            The server accepts no connection.
        """

    async def run(self, call: Call) -> Reply:
        """Run one request on the prepared connection.

        Raises
        ------
        ConnectError
            Nothing was sent to the server.
        ShedError
            The server reports that it did not run the request.
        ConnectionBroken
            The connection failed after the request was sent, so it may have run.
        """

    def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Yield the lines of a stream."""

    async def cancel(self, flow_id: bytes, number: int) -> None:
        """Tell the server to cancel a request."""

    async def release(self, flow_id: bytes) -> None:
        """Close the connection of a flow."""


@dataclass
class _FlowConnection:
    session: aiohttp.ClientSession
    last_used_at: float
    active_requests: int = 0
    verified: bool = False


class _Sentinel(asyncio.Protocol):
    """Report the end of an unused connection within the callback that signals it."""

    def __init__(self, on_connection_end: Callable[[], None]) -> None:
        self._on_connection_end = on_connection_end
        self.ended = asyncio.Event()

    def eof_received(self) -> None:
        """Report that the server closed the connection."""
        self._report_end()

    def connection_lost(self, _error: Exception | None) -> None:
        """Report that the connection ended, with or without an error."""
        self._report_end()

    def _report_end(self) -> None:
        if not self.ended.is_set():
            self.ended.set()
            self._on_connection_end()


class HttpBackend:
    """Connect to the backend server beside the agent by HTTP/1.1.

    Parameters
    ----------
    url : str
        ``http://IP:PORT``.
    connect_timeout, idle : timedelta
        Longest wait for a connection; time until an unused one is closed.
    on_restart : callable
        Called when the sentinel connection ends or cannot be opened.
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
        self._connect_timeout_seconds = connect_timeout.total_seconds()
        self._idle_seconds = idle.total_seconds()
        self._on_restart = on_restart
        self._clock = clock
        self._connections: dict[bytes, _FlowConnection] = {}
        self._unreachable_since: float | None = None

    @property
    def is_unreachable(self) -> bool:
        """Tell whether the sentinel connection has failed for a while."""
        if self._unreachable_since is None:
            return False
        return (
            self._clock.monotonic() - self._unreachable_since
            > UNREACHABLE_AFTER_SECONDS
        )

    async def prepare(self, flow_id: bytes) -> None:
        """Ensure that the flow has a connection that the server has accepted.

        An answer on a connection proves that the server process that runs now has
        accepted it. By then, the closed connections to an earlier process have been
        reported.
        """
        connection = self._connections.get(flow_id)
        if connection is not None and self._can_skip_probe(connection):
            return
        if connection is not None and not await self._answers_probe(connection.session):
            await self.release(flow_id)
            connection = None
        if connection is None:
            connection = _FlowConnection(self._new_session(), self._clock.monotonic())
            self._connections[flow_id] = connection
            await self._verify(connection)
        connection.verified = True
        connection.last_used_at = self._clock.monotonic()
        # Let the event loop report connections that ended at the same moment.
        await asyncio.sleep(0)

    async def run(self, call: Call) -> Reply:
        """Run one request on the prepared connection of its flow."""
        connection = self._connections.get(call.flow_id)
        if connection is None:
            raise ConnectError(
                "the flow has ended and its connection is closed; open another flow"
            )
        connection.active_requests += 1
        try:
            return await self._post(connection.session, call)
        finally:
            connection.active_requests -= 1
            connection.last_used_at = self._clock.monotonic()

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Yield data, and resume on a new connection when one fails or goes silent."""
        lines_sent = call.resume_at
        while True:
            session = self._new_session()
            try:
                async for data in self._stream_once(session, call, lines_sent):
                    if data.strip():
                        lines_sent += data.count(b"\n")
                        yield data
                return
            except (TimeoutError, aiohttp.ClientError, OSError):
                await asyncio.sleep(RECONNECT_SECONDS)
            finally:
                await session.close()

    async def cancel(self, flow_id: bytes, number: int) -> None:
        """Tell the server to cancel a request; ignore a failure to reach it."""
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
        """Close the connections that have been idle for too long."""
        now = self._clock.monotonic()
        for flow_id, connection in list(self._connections.items()):
            if (
                not connection.active_requests
                and now - connection.last_used_at > self._idle_seconds
            ):
                await self.release(flow_id)

    async def close(self) -> None:
        """Close all connections."""
        for flow_id in list(self._connections):
            await self.release(flow_id)

    async def watch_restarts(self) -> None:
        """Keep an unused connection open, whose end shows that the server restarted.

        The server's health and load endpoints report a restart late; the end of a
        connection is reported at once.
        """
        server_url = urlsplit(self._url)
        loop = asyncio.get_running_loop()
        while True:
            try:
                _, sentinel = await loop.create_connection(
                    lambda: _Sentinel(self._on_restart),
                    server_url.hostname,
                    server_url.port,
                )
            except OSError:
                if self._unreachable_since is None:
                    self._unreachable_since = self._clock.monotonic()
                    self._on_restart()
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            self._unreachable_since = None
            await sentinel.ended.wait()

    def _new_session(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_timeout_seconds
        )
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=self._idle_seconds, socket_factory=open_socket
        )
        return aiohttp.ClientSession(connector=connector, timeout=timeout)

    def _can_skip_probe(self, connection: _FlowConnection) -> bool:
        """Tell whether the connection is unused and answered a short time ago."""
        idle = self._clock.monotonic() - connection.last_used_at
        is_unused_and_verified = connection.verified and not connection.active_requests
        return is_unused_and_verified and idle < REPROBE_IDLE_SECONDS

    async def _answers_probe(self, session: aiohttp.ClientSession) -> bool:
        try:
            await self._probe(session)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return False
        return True

    async def _verify(self, connection: _FlowConnection) -> None:
        """Probe a new connection; accept it if only the health endpoint hangs."""
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
            total=PROBE_TIMEOUT_SECONDS, sock_connect=self._connect_timeout_seconds
        )
        async with session.get(self._url + "/health", timeout=timeout) as response:
            await response.read()

    def _connect_error(self) -> ConnectError:
        return ConnectError(
            f"cannot connect to {self._url}; check that the backend server runs"
        )

    async def _post(self, session: aiohttp.ClientSession, call: Call) -> Reply:
        timeout = aiohttp.ClientTimeout(
            total=max(call.timeout_seconds, 0.001),
            sock_connect=self._connect_timeout_seconds,
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
                f"connection to {self._url} failed during a request, which may have "
                f"run; check the backend server: {error!r}"
            ) from error
        if HEADER_NOT_RUN in response.headers:
            raise ShedError(
                f"{self._url} shed the request; lower the slots label of the server"
            )
        return Reply(response.status, body)

    async def _stream_once(
        self, session: aiohttp.ClientSession, call: Call, lines_sent: int
    ) -> AsyncIterator[bytes]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._connect_timeout_seconds,
            sock_read=STREAM_READ_TIMEOUT_SECONDS,
        )
        headers = {**call.headers(), HEADER_RESUME_AT: str(lines_sent)}
        async with session.post(
            self._url + "/stream", data=call.body, headers=headers, timeout=timeout
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                yield line


def open_socket(info: tuple) -> socket.socket:
    """Return a socket that fails within 3 s when its peer cannot be reached.

    The kernel of the peer answers TCP keepalives, so that a slow server is not taken
    for one that is gone.

    Parameters
    ----------
    info : tuple
        Family, type, protocol, name and address, as of `socket.getaddrinfo`.
    """
    family, kind, protocol, *_ = info
    tcp_socket = socket.socket(family, kind, protocol)
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in SOCKET_OPTIONS.items():
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return tcp_socket
