"""Route tokens, from which any balancer routes a flow without a lookup."""

from __future__ import annotations

import msgspec

from ..decoding import decode_value
from ..errors import AuthenticationError
from .keys import MAC_BYTES, KeyRing

SIGNATURE_BYTES = MAC_BYTES + 1


class RouteToken(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Name the agent, service and flow that a packet belongs to.

    Attributes
    ----------
    host, port : str, int
        UDP address of the agent.
    incarnation : int
        Incarnation of the agent's flow state.
    data_centre, service : str
        Data centre of the agent, which balancers check against the configuration,
        and service of the flow, which the agent checks.
    flow_id : bytes
        128-bit identifier chosen by the caller.
    """

    host: str
    port: int
    incarnation: int
    data_centre: str
    service: str
    flow_id: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RouteToken)


def issue_token(token: RouteToken, keys: KeyRing) -> bytes:
    """Return the signed wire form of `token`."""
    body = _encoder.encode(token)
    return keys.sign(body) + body


def verify_token(data: bytes, keys: KeyRing) -> RouteToken:
    """Return the token in `data` or raise `AuthenticationError`."""
    body = data[SIGNATURE_BYTES:]
    keys.verify(data[:SIGNATURE_BYTES], body)
    return decode_value(
        _decoder,
        body,
        AuthenticationError,
        "route token is malformed; run the same release on every node",
    )
