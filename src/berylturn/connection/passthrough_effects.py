"""What the rules of passthrough flows want sent."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .peer_frames import PeerFrame


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
# Told of each decision: event name, flow key, and the inputs by name.
Decide = Callable[..., None]
