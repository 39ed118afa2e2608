"""Packets sent to the backend server that it may return."""

from __future__ import annotations

from ..peer_frames import Forward
from ..segments import Segment

MAX_TAG = (1 << 32) - 1  # Largest value of the 32-bit tag.
# The backend server is on the same host and returns a packet within milliseconds.
OFFER_TIMEOUT_SECONDS = 2.0
# About 100 bytes each; flows that are searched for after all agents have restarted.
MAX_RETURNED = 20_000


class Offers:
    """Keep the frame and segment of each offered packet, by tag.

    A server that has returned a packet of an open flow can hold that flow only after
    another opening, which has to pass this agent. Until then it is offered no other
    packet of it.
    """

    def __init__(self) -> None:
        self._offers: dict[int, tuple[Forward, Segment, float]] = {}
        self._latest_frames: dict[bytes, Forward] = {}
        self._returned: dict[bytes, float] = {}
        self._next_tag = 1  # 0 stands for a packet without a tag.

    def __len__(self) -> int:
        return len(self._offers)

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

    def pop_unanswered(self, offered_before: float) -> list[tuple[Forward, Segment]]:
        """Remove and return packets of open flows that were offered before a time."""
        tags = []
        for tag, (_, segment, offered_at) in self._offers.items():
            if offered_at >= offered_before:
                break
            if not segment.opening:
                tags.append(tag)
        return [offer for tag in tags if (offer := self.pop(tag)) is not None]

    def record_returned(self, flow: bytes, now: float) -> None:
        """Record that the server has returned a packet of an open flow."""
        self._returned.pop(flow, None)
        self._returned[flow] = now
        if len(self._returned) > MAX_RETURNED:
            del self._returned[next(iter(self._returned))]

    def was_returned(self, flow: bytes) -> bool:
        """Tell whether the server has returned a flow since its last opening."""
        return flow in self._returned

    def forget_returned(self, flow: bytes) -> None:
        """Record an opening of a flow, after which the server may hold it."""
        self._returned.pop(flow, None)

    def pop_latest_frame(self, flow: bytes) -> Forward | None:
        """Remove and return the newest frame of a flow that was offered, or None."""
        return self._latest_frames.pop(flow, None)

    def sweep(self, now: float, max_flow_seconds: float) -> None:
        """Remove packets not returned in time, and flows that have ended by now."""
        for tag, (_, _, offered_at) in list(self._offers.items()):
            if now - offered_at <= OFFER_TIMEOUT_SECONDS:
                break
            self.pop(tag)
        for flow, returned_at in list(self._returned.items()):
            if now - returned_at <= max_flow_seconds:
                break
            del self._returned[flow]
