"""Packets given to the backend server that it may hand back."""

from __future__ import annotations

from .peer_frames import Forward
from .segments import Segment

MAX_TAG = (1 << 32) - 1
# The backend server is on the same host and hands a packet back within milliseconds.
OFFER_SECONDS = 2.0


class Offers:
    """Remember by tag what brought each offered packet."""

    def __init__(self) -> None:
        self._offers: dict[int, tuple[Forward, Segment, float]] = {}
        self._asking: dict[bytes, Forward] = {}
        self._next_tag = 1

    def add(self, frame: Forward, segment: Segment, now: float) -> int:
        """Remember a packet and return the tag to write into it."""
        tag = self._next_tag
        self._next_tag = tag % MAX_TAG + 1
        self._offers[tag] = (frame, segment, now)
        if not segment.opening:
            self._asking[segment.flow] = frame
        return tag

    def take(self, tag: int) -> tuple[Forward, Segment] | None:
        """Return what brought a packet that was handed back, once."""
        offer = self._offers.pop(tag, None) if tag else None
        if offer is None:
            return None
        frame, segment, _ = offer
        if self._asking.get(segment.flow) is frame:
            del self._asking[segment.flow]
        return frame, segment

    def take_asking(self, flow: bytes) -> Forward | None:
        """Return the frame that asked last for a flow that has shown up."""
        return self._asking.pop(flow, None)

    def sweep(self, now: float) -> None:
        """Forget packets that were not handed back."""
        for tag, (_, _, at) in list(self._offers.items()):
            if now - at <= OFFER_SECONDS:
                break
            self.take(tag)
