"""Packets of the users' platform, as its callers and servers write them."""

from __future__ import annotations

import struct
from dataclasses import dataclass

# Fields in order: sequence, acknowledged, content length, echo, flags, target port,
# source host, target host, source port, keyed checksum.
HEADER = struct.Struct(">IIHIBH4s4sHI")
FLAGS_OFFSET = 14
SYN, ACK, FIN, RST, BOUNCED = 64, 16, 1, 8, 128
# Fixed value in place of a checksum computed with a key; resets carry 0.
KEYED_CHECKSUM = 0x5EA1
KEYED_CHECKSUM_BYTES = KEYED_CHECKSUM.to_bytes(4, "big")
CHECKSUM_OFFSET, BODY_OFFSET = 27, 31


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a packet; `source` and `target` are host and port."""

    sequence: int
    acknowledged: int
    echo: int
    flags: int
    source: tuple[str, int]
    target: tuple[str, int]


def pack_packet(header: Header, body: bytes = b"") -> bytes:
    """Return the bytes of a packet."""
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
        KEYED_CHECKSUM if not header.flags & RST else 0,
    ) + body  # fmt: skip


def unpack_packet(data: bytes) -> tuple[Header, bytes]:
    """Return the header and the content of a packet."""
    seq, ack, _, echo, flags, dport, src, dst, sport, _ = HEADER.unpack_from(data)
    source, target = (_unpack_host(src), sport), (_unpack_host(dst), dport)
    return Header(seq, ack, echo, flags, source, target), data[HEADER.size :]


def _pack_host(host: str) -> bytes:
    return bytes(int(part) for part in host.split("."))


def _unpack_host(data: bytes) -> str:
    return ".".join(map(str, data))
