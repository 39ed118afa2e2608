"""Packets of the users' platform, as its callers and servers write them."""

from __future__ import annotations

import struct
from dataclasses import dataclass

HEADER = struct.Struct(">IIHIBH4s4sHI")
FLAGS_AT = 14
SYN, ACK, FIN, RST, BOUNCED = 64, 16, 1, 8, 128
KEYED_SUM = 0x5EA1
KEYED_SUM_BYTES = KEYED_SUM.to_bytes(4, "big")
SUM_AT, BODY_AT = 27, 31


@dataclass(frozen=True, slots=True)
class Header:
    """The head of a packet."""

    sequence: int
    acknowledged: int
    echo: int
    flags: int
    source: tuple[str, int]
    target: tuple[str, int]


def pack_packet(header: Header, body: bytes = b"") -> bytes:
    """Return a packet."""
    return HEADER.pack(
        header.sequence,
        header.acknowledged,
        len(body),
        header.echo,
        header.flags,
        header.target[1],
        _pack_host(header.source[0]),
        _pack_host(header.target[0]),
        header.source[1],
        KEYED_SUM if not header.flags & RST else 0,
    ) + body  # fmt: skip


def unpack_packet(data: bytes) -> tuple[Header, bytes]:
    """Return the head and the content of a packet."""
    seq, ack, _, echo, flags, dport, src, dst, sport, _ = HEADER.unpack_from(data)
    source, target = (_unpack_host(src), sport), (_unpack_host(dst), dport)
    return Header(seq, ack, echo, flags, source, target), data[HEADER.size :]


def _pack_host(host: str) -> bytes:
    return bytes(int(part) for part in host.split("."))


def _unpack_host(data: bytes) -> str:
    return ".".join(map(str, data))
