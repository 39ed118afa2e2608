"""Adapter of the fabric: announces this entry host and withdraws it."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

Address = tuple[str, int]


class Fabric(Protocol):
    """What a balancer needs from the fabric in front of it."""

    def announce(self) -> None:
        """Ask for packets, until the announcement ages out."""

    def withdraw(self) -> None:
        """Ask for no more packets."""


class FabricMessage(msgspec.Struct, array_like=True, frozen=True):
    """Announcement of one entry host; `up` is False for a withdrawal."""

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
        Address of the fabric that takes announcements.
    callers : tuple of str and int
        Address that the fabric should send packets to.
    """

    def __init__(
        self, transport: asyncio.DatagramTransport, control: Address, callers: Address
    ) -> None:
        self._transport = transport
        self._control = control
        self._callers = callers

    def announce(self) -> None:
        """Ask for packets, until the announcement ages out."""
        self._send(up=True)

    def withdraw(self) -> None:
        """Ask for no more packets."""
        self._send(up=False)

    def _send(self, up: bool) -> None:
        message = FabricMessage(up, *self._callers)
        self._transport.sendto(_encoder.encode(message), self._control)


class NoFabric:
    """Stand for a fabric that needs no announcements."""

    def announce(self) -> None:
        """Do nothing."""

    def withdraw(self) -> None:
        """Do nothing."""
