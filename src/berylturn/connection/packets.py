"""Packets to and from callers, one datagram each (see docs/CALLERS.md)."""

from __future__ import annotations

import msgspec

from ..decoding import decode_value
from ..domain import CloseReason, RefusalReason
from ..errors import PacketError

MAX_DATAGRAM_BYTES = 1200
PART_BYTES = 900
FLOW_ID_BYTES = 16
MAX_PARTS = 65_536


class Packet(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base class of all packets."""


class Open(Packet, tag=1):
    """Request a new flow; `attempt` counts retransmissions from 0."""

    flow_id: bytes
    service: str
    attempt: int = 0


class Accepted(Packet, tag=2):
    """Confirm a flow and carry its route token."""

    flow_id: bytes
    incarnation: int
    token: bytes


class Refused(Packet, tag=3):
    """Refuse a flow; `retry_after_ms` is the advised pause."""

    flow_id: bytes
    attempt: int
    reason: RefusalReason
    retry_after_ms: int = 0


class Request(Packet, tag=4):
    """Carry one part of a request body; `deadline_ms` counts from its arrival.

    Outcomes of numbers below `low_water` have been received and may be dropped.
    """

    token: bytes
    number: int
    low_water: int
    repeatable: bool
    stream: bool
    deadline_ms: int
    part: int
    parts: int
    body: bytes


class Running(Packet, tag=5):
    """Acknowledge a request that has no answer yet."""

    flow_id: bytes
    incarnation: int
    number: int


class AnswerPart(Packet, tag=6):
    """Carry one part of an answer."""

    flow_id: bytes
    incarnation: int
    number: int
    status: int
    part: int
    parts: int
    body: bytes


class RequestNotRun(Packet, tag=7):
    """Report that a request certainly did not run; final for its number."""

    flow_id: bytes
    incarnation: int
    number: int
    reason: RefusalReason
    retry_after_ms: int = 0


class RequestUnknown(Packet, tag=8):
    """Report that a request may have run; final for its number."""

    flow_id: bytes
    incarnation: int
    number: int


class Missing(Packet, tag=9):
    """Request retransmission of parts of an answer or items of a stream."""

    token: bytes
    number: int
    parts: list[int]


class Cancel(Packet, tag=10):
    """Cancel a request or end a stream."""

    token: bytes
    number: int


class Ping(Packet, tag=11):
    """Keep a flow alive; `low_water` is the lowest request still awaited."""

    token: bytes
    low_water: int
    sequence: int


class Pong(Packet, tag=12):
    """Answer a `Ping`."""

    flow_id: bytes
    incarnation: int
    sequence: int


class Close(Packet, tag=13):
    """End a flow from the caller's side."""

    token: bytes


class FlowClosed(Packet, tag=14):
    """End a flow from the system's side."""

    flow_id: bytes
    incarnation: int
    reason: CloseReason


class StreamItem(Packet, tag=15):
    """Carry one item of a stream; sequence numbers start at 0."""

    flow_id: bytes
    incarnation: int
    number: int
    sequence: int
    body: bytes


class StreamState(Packet, tag=16):
    """Heartbeat of a stream: items sent so far, and whether it has ended."""

    flow_id: bytes
    incarnation: int
    number: int
    items: int
    ended: bool


FromCaller = Open | Request | Missing | Cancel | Ping | Close
ToCallerPacket = (
    Accepted
    | Refused
    | Running
    | AnswerPart
    | RequestNotRun
    | RequestUnknown
    | Pong
    | FlowClosed
    | StreamItem
    | StreamState
)

_encoder = msgspec.msgpack.Encoder()
_from_caller = msgspec.msgpack.Decoder(FromCaller)
_to_caller = msgspec.msgpack.Decoder(ToCallerPacket)


def encode_packet(packet: Packet) -> bytes:
    """Return the datagram of `packet`; raise `PacketError` if it is too large."""
    data = _encoder.encode(packet)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise PacketError(
            f"packet has {len(data)} bytes; split bodies at {PART_BYTES} bytes"
        )
    return data


def decode_from_caller(data: bytes) -> FromCaller:
    """Return the caller's packet in `data`; raise `PacketError` if it is invalid."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise PacketError(f"datagram has {len(data)} bytes; send at most 1200")
    packet = decode_value(
        _from_caller,
        data,
        PacketError,
        "datagram is malformed; encode it as in docs/CALLERS.md",
    )
    if type(packet) is Open and len(packet.flow_id) != FLOW_ID_BYTES:
        raise PacketError("flow identifier is not 16 bytes long; use 128 random bits")
    return packet


def decode_to_caller(data: bytes) -> ToCallerPacket:
    """Return the packet for a caller in `data`; raise `PacketError` if invalid."""
    return decode_value(
        _to_caller,
        data,
        PacketError,
        "datagram is malformed; run the same release at both ends",
    )
