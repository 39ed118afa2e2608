"""Interim replies of an agent before it knows whether it takes over flows."""

from __future__ import annotations

from ..errors import AuthenticationError, PacketError
from .keys import KeyRing
from .packets import Open, Ping, Pong, Request, Running, decode_from_caller
from .packets import encode_packet as encode
from .token import verify_token


def build_interim_reply(
    data: bytes, keys: KeyRing, address: tuple[str, int]
) -> bytes | None:
    """Return a reply that makes the caller keep waiting, or None.

    Neither reply is a commitment: the caller treats its request as received and
    continues to retransmit it.
    """
    try:
        packet = decode_from_caller(data)
        if isinstance(packet, Open):
            return None
        token = verify_token(packet.token, keys)
    except (PacketError, AuthenticationError):
        return None
    if (token.host, token.port) != address:
        return None
    if isinstance(packet, Ping):
        return encode(Pong(token.flow_id, token.incarnation, packet.sequence))
    if isinstance(packet, Request):
        return encode(Running(token.flow_id, token.incarnation, packet.number))
    return None
