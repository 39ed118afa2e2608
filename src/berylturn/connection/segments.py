"""Packets of passthrough flows: opaque connections that carry no route token."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True)
class Segment:
    """One packet of a passthrough flow, decoded once by the wire adapter.

    Attributes
    ----------
    flow : bytes
        Caller's address and port, then the service's; the same in both directions.
    opening : bool
        Whether it asks for a new flow.
    accepting : bool
        Whether it is the backend server's answer to an opening.
    closing, reset : bool
        Whether the sender ends the flow in order, or at once.
    returned : bool
        Whether the backend server handed a caller's packet back untouched.
    sequence, acknowledged : int
        Position of the sender, and what it has from the other end; 32 bits.
    size : int
        Bytes of content.
    tag : int
        Value that a node wrote into the packet for its own use; 0 when none did.
    data : bytes
        The datagram itself.
    opening_age : float
        Seconds since the caller sent this opening for the first time.
    """

    flow: bytes
    opening: bool
    accepting: bool
    closing: bool
    reset: bool
    returned: bool
    sequence: int
    acknowledged: int
    size: int
    tag: int
    data: bytes
    opening_age: float = 0.0


class SegmentCodec(Protocol):
    """Translate between datagrams and segments."""

    def decode_from_caller(self, data: bytes) -> Segment:
        """Return a caller's packet or raise `PacketError`."""

    def decode_from_backend(self, data: bytes) -> Segment:
        """Return a backend server's packet or raise `PacketError`."""

    def build_reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a datagram that ends a flow at its caller."""

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return the datagram with a tag, and without the mark of a return."""


def describe_flow(flow: bytes) -> str:
    """Return a flow's key as ``IP:PORT>IP:PORT`` for logs."""
    caller = ".".join(map(str, flow[:4]))
    service = ".".join(map(str, flow[6:10]))
    ports = int.from_bytes(flow[4:6], "big"), int.from_bytes(flow[10:12], "big")
    return f"{caller}:{ports[0]}>{service}:{ports[1]}"


def caller_host(flow: bytes) -> str:
    """Return the caller's IP address."""
    return ".".join(map(str, flow[:4]))
