"""Effects that the rules of passthrough flows return: datagrams and frames to send."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .peer_frames import PeerFrame
from .segments import SegmentCodec, caller_host


@dataclass(slots=True)
class ToBackend:
    """Send a datagram to the backend server."""

    data: bytes


@dataclass(slots=True)
class ToCaller:
    """Send a datagram to a caller."""

    host: str
    data: bytes


@dataclass(slots=True)
class ToPeer:
    """Send a frame to another node."""

    host: str
    frame: PeerFrame


PassthroughEffect = ToBackend | ToCaller | ToPeer
# Logs a decision: event name, flow key, and the inputs as keywords.
LogDecision = Callable[..., None]


def reset_caller(codec: SegmentCodec, flow: bytes, acknowledged: int) -> ToCaller:
    """Return a reset for the caller of a flow, at the position that it acknowledged."""
    return ToCaller(caller_host(flow), codec.build_reset(flow, acknowledged))
