"""Authenticated frames between the system's own processes, over UDP."""

from __future__ import annotations

import msgspec

from ..domain import ConfigObject, MemberState
from ..errors import PacketError
from .keys import KeyRing
from .token import SIGNATURE_BYTES


class Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base of all frames."""


class ToAgent(Frame, tag=1):
    """Carry a caller's packet to an agent.

    Attributes
    ----------
    caller : tuple of str and int
        Address that answers go to.
    balancer : tuple of str and int or None
        Set by an agent that passes an `Open` on; None from a balancer itself.
    hops : int
        How often agents have passed the packet on.
    """

    caller: tuple[str, int]
    packet: bytes
    balancer: tuple[str, int] | None = None
    hops: int = 0
    visited: list[str] = []


class ToCaller(Frame, tag=2):
    """Carry packets to a caller through a balancer."""

    caller: tuple[str, int]
    packet: bytes


class Probe(Frame, tag=3):
    """Ask the peer to show that this channel still works."""

    sequence: int


class ProbeAck(Frame, tag=4):
    """Answer a `Probe`."""

    sequence: int


class Announce(Frame, tag=5):
    """Announce an agent to a balancer.

    Attributes
    ----------
    known_digest : bytes
        Digest of the last full acknowledgement.
    period_ms : int
        Time until the next announcement to the same balancer.
    selectors : list of str
        Services whose selector the agent holds, to be told of changes.
    """

    member: MemberState
    known_digest: bytes
    sequence: int
    period_ms: int
    selectors: list[str]


class AnnounceAck(Frame, tag=6):
    """Answer an announcement; lists are empty when `known_digest` was current."""

    sequence: int
    status: int
    epoch: int
    digest: bytes
    balancers: list[MemberState]
    siblings: list[MemberState]
    objects: list[ConfigObject]


class LoadDigest(Frame, tag=7):
    """Tell siblings how loaded an agent is; loads are per unit of weight."""

    name: str
    sequence: int
    services: list[str]
    running: int
    queued: int
    flows: int
    limit: int
    weight: float
    accepting: bool


class GossipPing(Frame, tag=8):
    """Probe a balancer and carry changes of membership."""

    sequence: int
    sender: MemberState
    updates: list[MemberState]
    config_digest: bytes
    member_digest: bytes
    target: str = ""


class GossipAck(Frame, tag=9):
    """Answer a `GossipPing` and carry changes of membership."""

    sequence: int
    sender: MemberState
    updates: list[MemberState]
    config_digest: bytes
    member_digest: bytes


AnyFrame = (
    ToAgent
    | ToCaller
    | Probe
    | ProbeAck
    | Announce
    | AnnounceAck
    | LoadDigest
    | GossipPing
    | GossipAck
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyFrame)


def sign_frame(frame: Frame, keys: KeyRing) -> bytes:
    """Return the signed datagram of `frame`."""
    body = _encoder.encode(frame)
    return keys.sign(body) + body


def verify_frame(data: bytes, keys: KeyRing) -> AnyFrame:
    """Return the frame in `data`.

    Raises
    ------
    AuthenticationError
        The sender does not hold a key of this system.
    PacketError
        The content is not a frame of this release.
    """
    body = data[SIGNATURE_BYTES:]
    keys.verify(data[:SIGNATURE_BYTES], body)
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError as error:
        raise PacketError("frame is malformed; run one release") from error
