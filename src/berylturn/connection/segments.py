"""Packets of passthrough flows: opaque connections without a route token."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Protocol


@dataclass(slots=True)
class Segment:
    """One packet of a passthrough flow, decoded once by the wire adapter.

    Attributes
    ----------
    flow : bytes
        Key of the flow: address and port of the caller, then of the service; the same
        in both directions.
    opening : bool
        Whether it opens a flow.
    accepting : bool
        Whether it is the backend server's answer to an opening.
    closing, reset : bool
        Whether the sender ends the flow gracefully, or aborts it.
    returned : bool
        Whether it is a caller's packet that the backend server returned unprocessed.
    sequence, acknowledged : int
        Sequence number of the sender, and the acknowledged one of the other end; both
        have 32 bits.
    size : int
        Length of the payload in bytes.
    tag : int
        Number that a node wrote into the packet for its own use; 0 if none.
    data : bytes
        Encoded datagram.
    opening_age : float
        Seconds since the caller sent the first copy of this opening.
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
        """Return a datagram that resets a flow at its caller."""

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return the datagram with a tag and without the flag of a returned packet."""


def describe_flow(flow: bytes) -> str:
    """Return the key of a flow as ``IP:PORT>IP:PORT`` for logs."""
    caller = ".".join(map(str, flow[:4]))
    service = ".".join(map(str, flow[6:10]))
    ports = int.from_bytes(flow[4:6], "big"), int.from_bytes(flow[10:12], "big")
    return f"{caller}:{ports[0]}>{service}:{ports[1]}"


def caller_address(flow: bytes) -> bytes:
    """Return the caller's packed IP address from the key of a flow."""
    return flow[:4]


def caller_host(flow: bytes) -> str:
    """Return the caller's IP address from the key of a flow."""
    return ".".join(map(str, flow[:4]))


def make_flow_key(caller: tuple[str, int], service: tuple[str, int]) -> bytes:
    """Return the key of a flow; raise `ValueError` for what is no IPv4 address."""
    return b"".join(
        IPv4Address(host).packed + port.to_bytes(2, "big")
        for host, port in (caller, service)
    )
