"""Codec of the users' platform's packet format."""

from __future__ import annotations

import struct

from ..connection.segments import Segment
from ..errors import PacketError

# seq, ack, len, echo, flags, dport, src, dst, sport, checksum
_HEADER = struct.Struct(">IIHIBH4s4sHI")
_TAG = struct.Struct(">I")
_ECHO_OFFSET = 10
_FLAGS_OFFSET = 14
_SYN, _ACK, _FIN, _RST, _BOUNCED = 64, 16, 1, 8, 128
# Age in seconds of an opening by its number of retransmissions: callers retransmit it
# 200 ms and 600 ms after they first sent it.
_OPENING_AGES = (0.0, 0.2, 0.6)
_PORT = struct.Struct(">H")


def decode_from_caller(data: bytes) -> Segment:
    """Decode a caller's packet or raise `PacketError`."""
    seq, ack, size, echo, flags, dport, src, dst, sport, _ = _unpack(data)
    flow = src + _PORT.pack(sport) + dst + _PORT.pack(dport)
    return _make_segment(flow, seq, ack, size, echo, flags, data)


def decode_from_backend(data: bytes) -> Segment:
    """Decode a backend server's packet, or a caller's packet that it returned.

    Raises `PacketError` if the datagram is neither.
    """
    seq, ack, size, echo, flags, dport, src, dst, sport, _ = _unpack(data)
    if flags & _BOUNCED:
        flow = src + _PORT.pack(sport) + dst + _PORT.pack(dport)
    else:
        flow = dst + _PORT.pack(dport) + src + _PORT.pack(sport)
    return _make_segment(flow, seq, ack, size, echo, flags, data)


def build_reset(flow: bytes, sequence: int) -> bytes:
    """Return a reset packet to the caller, with the service's address as its source."""
    sport, dport = _PORT.unpack(flow[10:12])[0], _PORT.unpack(flow[4:6])[0]
    return _HEADER.pack(sequence, 0, 0, 0, _RST, dport, flow[6:10], flow[0:4], sport, 0)


def write_tag(data: bytes, tag: int) -> bytes:
    """Return the packet with `tag` in its echo field and the BOUNCED flag cleared."""
    flags = data[_FLAGS_OFFSET] & ~_BOUNCED
    head = data[:_ECHO_OFFSET] + _TAG.pack(tag)
    return head + bytes((flags,)) + data[_FLAGS_OFFSET + 1 :]


def _unpack(data: bytes) -> tuple:
    if len(data) < _HEADER.size:
        raise PacketError(
            f"packet of {len(data)} bytes is shorter than its header; send all of it"
        )
    fields = _HEADER.unpack_from(data)
    if len(data) != _HEADER.size + fields[2]:
        raise PacketError(
            f"packet states {fields[2]} bytes of content but has another size; "
            "send exactly that many"
        )
    return fields


def _make_segment(
    flow: bytes, seq: int, ack: int, size: int, echo: int, flags: int, data: bytes
) -> Segment:
    opened, acked = flags & _SYN, flags & _ACK
    opening = bool(opened and not acked)
    return Segment(
        flow=flow,
        opening=opening,
        accepting=bool(opened and acked),
        closing=bool(flags & _FIN),
        reset=bool(flags & _RST),
        returned=bool(flags & _BOUNCED),
        sequence=seq,
        acknowledged=ack if acked else 0,
        size=size,
        tag=echo,
        data=data,
        # A SYN has nothing to acknowledge; its `ack` counts its retransmissions.
        opening_age=_OPENING_AGES[min(ack, len(_OPENING_AGES) - 1)] if opening else 0.0,
    )
