"""Signed frames among balancers and agents, one datagram each."""

from __future__ import annotations

import msgspec

from ..decoding import decode_value
from ..domain import ConfigObject, MemberState
from ..errors import PacketError
from .keys import KeyRing
from .token import SIGNATURE_BYTES


class Frame(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Base class of all frames."""


class ToAgent(Frame, tag=1):
    """Carry a caller's packet to an agent.

    Attributes
    ----------
    caller : tuple of str and int
        Address to send answers to.
    balancer : tuple of str and int or None
        Balancer that received the `Open`, when an agent passed it on; None when a
        balancer sends the frame itself.
    hops : int
        How often agents have passed the packet on.
    visited : list of str
        Agents that have passed the packet on.
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
    """Check that the channel to the peer still works."""

    sequence: int


class ProbeAck(Frame, tag=4):
    """Answer a `Probe`."""

    sequence: int


class Announce(Frame, tag=5):
    """Register an agent at a balancer, repeated as a heartbeat.

    Attributes
    ----------
    known_digest : bytes
        Digest of the balancers, siblings and objects last received.
    period_ms : int
        Time until the next announcement to the same balancer.
    selectors : list of str
        Services whose selector the agent holds and wants changes of.
    """

    member: MemberState
    known_digest: bytes
    sequence: int
    period_ms: int
    selectors: list[str]


class AnnounceAck(Frame, tag=6):
    """Acknowledge `Announce`; lists are empty when `known_digest` is current."""

    sequence: int
    status: int
    epoch: int
    digest: bytes
    balancers: list[MemberState]
    siblings: list[MemberState]
    objects: list[ConfigObject]


class LoadDigest(Frame, tag=7):
    """Report an agent's load to its siblings, which compare it per unit of weight."""

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
    """Return the frame in `data` after checking its signature.

    Raises
    ------
    AuthenticationError
        The signature does not match a key of this system.
    PacketError
        The body does not decode as a frame.
    """
    body = data[SIGNATURE_BYTES:]
    keys.verify(data[:SIGNATURE_BYTES], body)
    return decode_value(
        _decoder,
        body,
        PacketError,
        "frame is malformed; run the same release on every node",
    )
