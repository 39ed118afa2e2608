"""UDP sockets on the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..errors import SettingsError
from .early_socket import bind_udp

Address = tuple[str, int]
Receiver = Callable[[bytes, Address], None]

PORT_POLL_SECONDS = 0.02


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receiver: Receiver) -> None:
        self.datagram_received = receiver

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of single datagrams, since lost ones are retransmitted."""


async def open_udp_when_free(
    address: Address, receiver: Receiver, seconds: float
) -> asyncio.DatagramTransport:
    """Return a bound socket, after waiting for another process to free the port.

    Parameters
    ----------
    address : tuple of str and int
        Where to listen.
    receiver : callable
        Called with each datagram and its sender.
    seconds : float
        Longest wait for the port.
    """
    attempts = max(1, int(seconds / PORT_POLL_SECONDS))
    for _ in range(attempts - 1):
        try:
            return await open_udp(address, receiver)
        except SettingsError:
            await asyncio.sleep(PORT_POLL_SECONDS)
    return await open_udp(address, receiver)


async def open_udp(
    address: Address, receiver: Receiver, bound_socket: socket.socket | None = None
) -> asyncio.DatagramTransport:
    """Return a bound socket that passes each datagram to `receiver`.

    Parameters
    ----------
    address : tuple of str and int
        Where to listen.
    receiver : callable
        Called with each datagram and its sender.
    bound_socket : socket or None
        Socket that was bound earlier; it is used if it is bound to this address.
    """
    if bound_socket is not None and bound_socket.getsockname() == address:
        sock = bound_socket
    else:
        try:
            sock = bind_udp(address)
        except OSError as error:
            raise SettingsError(
                f"cannot listen on {address[0]}:{address[1]} ({error.strerror}); "
                "choose a free port on an address of this host"
            ) from error
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Protocol(receiver), sock=sock
    )
    return transport
