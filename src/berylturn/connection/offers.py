"""Packets sent to the backend server that it may return."""

from __future__ import annotations

from .peer_frames import Forward
from .segments import Segment

MAX_TAG = (1 << 32) - 1  # Largest value of the 32-bit tag.
# The backend server is on the same host and returns a packet within milliseconds.
OFFER_TIMEOUT_SECONDS = 2.0


class Offers:
    """Keep the frame and segment of each offered packet, by tag."""

    def __init__(self) -> None:
        self._offers: dict[int, tuple[Forward, Segment, float]] = {}
        self._latest_frames: dict[bytes, Forward] = {}
        self._next_tag = 1  # 0 stands for a packet without a tag.

    def add(self, frame: Forward, segment: Segment, now: float) -> int:
        """Add a packet and return the tag to write into it."""
        tag = self._next_tag
        self._next_tag = tag % MAX_TAG + 1
        self._offers[tag] = (frame, segment, now)
        if not segment.opening:
            self._latest_frames[segment.flow] = frame
        return tag

    def pop(self, tag: int) -> tuple[Forward, Segment] | None:
        """Remove and return the frame and segment of a returned packet, or None."""
        offer = self._offers.pop(tag, None) if tag else None
        if offer is None:
            return None
        frame, segment, _ = offer
        if self._latest_frames.get(segment.flow) is frame:
            del self._latest_frames[segment.flow]
        return frame, segment

    def pop_latest_frame(self, flow: bytes) -> Forward | None:
        """Remove and return the newest frame of a flow that was offered, or None."""
        return self._latest_frames.pop(flow, None)

    def sweep(self, now: float) -> None:
        """Remove packets that the backend server did not return in time."""
        for tag, (_, _, offered_at) in list(self._offers.items()):
            if now - offered_at <= OFFER_TIMEOUT_SECONDS:
                break
            self.pop(tag)
