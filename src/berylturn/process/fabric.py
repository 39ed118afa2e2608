"""Client of the network fabric: announces and withdraws this entry host."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

Address = tuple[str, int]


class Fabric(Protocol):
    """Operations that a balancer needs from the fabric in front of it."""

    def announce(self) -> None:
        """Ask for callers' packets until the announcement expires."""

    def withdraw(self) -> None:
        """Withdraw the announcement, so that no more packets are sent here."""


class FabricMessage(msgspec.Struct, array_like=True, frozen=True):
    """Announce one entry host, or withdraw it if `up` is False."""

    up: bool
    host: str
    port: int


_encoder = msgspec.msgpack.Encoder()


class UdpFabric:
    """Announce an entry host by UDP datagrams.

    Parameters
    ----------
    transport : asyncio.DatagramTransport
        Socket to send from.
    control : tuple of str and int
        Address to which the fabric expects announcements.
    callers : tuple of str and int
        Address to which the fabric should send callers' packets.
    """

    def __init__(
        self, transport: asyncio.DatagramTransport, control: Address, callers: Address
    ) -> None:
        self._transport = transport
        self._control_address = control
        self._caller_address = callers

    def announce(self) -> None:
        """Ask for callers' packets until the announcement expires."""
        self._send(up=True)

    def withdraw(self) -> None:
        """Withdraw the announcement, so that no more packets are sent here."""
        self._send(up=False)

    def _send(self, up: bool) -> None:
        message = FabricMessage(up, *self._caller_address)
        self._transport.sendto(_encoder.encode(message), self._control_address)


class NoFabric:
    """Do nothing, for a fabric that needs no announcements."""

    def announce(self) -> None:
        """Do nothing."""

    def withdraw(self) -> None:
        """Do nothing."""
