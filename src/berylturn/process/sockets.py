"""UDP sockets on the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..errors import SettingsError

Address = tuple[str, int]
Receiver = Callable[[bytes, Address], None]

BUFFER_BYTES = 4_000_000
PORT_POLL_SECONDS = 0.02


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receiver: Receiver) -> None:
        self.datagram_received = receiver

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams; retransmission covers them."""


async def open_udp_when_free(
    address: Address, receiver: Receiver, seconds: float
) -> asyncio.DatagramTransport:
    """Return a bound socket, waiting for another process to free the port."""
    attempts = max(1, int(seconds / PORT_POLL_SECONDS))
    for _ in range(attempts - 1):
        try:
            return await open_udp(address, receiver)
        except SettingsError:
            await asyncio.sleep(PORT_POLL_SECONDS)
    return await open_udp(address, receiver)


async def open_udp(address: Address, receiver: Receiver) -> asyncio.DatagramTransport:
    """Return a bound socket that hands each datagram to `receiver`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise SettingsError(
            f"cannot listen on {address[0]}:{address[1]} ({error.strerror}); "
            "choose a free port"
        ) from error
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Protocol(receiver), sock=sock
    )
    return transport
