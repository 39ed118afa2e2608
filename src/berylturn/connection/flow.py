"""State of the flows that an agent owns."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..request.ledger import Ledger
from .parts import Assembly

Address = tuple[str, int]

KEPT_STREAM_ITEMS = 256


@dataclass(slots=True)
class Stream:
    """Hold the position of one stream and the items that can be resent.

    Attributes
    ----------
    body : bytes
        Body of the subscription.
    lines : int
        Complete lines received from the backend server; a successor resumes
        after them.
    """

    body: bytes = b""
    next_sequence: int = 0
    lines: int = 0
    ended: bool = False
    last_sent: float = 0.0
    ended_at: float = 0.0
    recent: deque[bytes] = field(
        default_factory=lambda: deque(maxlen=KEPT_STREAM_ITEMS)
    )

    def add(self, body: bytes) -> int:
        """Keep one item for resending; return its sequence number."""
        sequence = self.next_sequence
        self.recent.append(body)
        self.next_sequence += 1
        self.lines += body.count(b"\n")
        return sequence

    def kept_item(self, sequence: int) -> bytes | None:
        """Return a kept item, or None when it was dropped or not yet sent."""
        index = sequence - (self.next_sequence - len(self.recent))
        if 0 <= index < len(self.recent):
            return self.recent[index]
        return None


@dataclass(slots=True)
class Flow:
    """Hold the state of one flow at its agent.

    Attributes
    ----------
    caller, balancer : tuple of str and int
        Source of the last packet, and the balancer that forwarded it.
    confirmed : bool
        Whether the caller has used the route token.
    opened_at, last_seen : float
        Seconds on the monotonic clock.
    """

    flow_id: bytes
    service: str
    token: bytes
    caller: Address
    balancer: Address
    opened_at: float
    last_seen: float
    confirmed: bool = False
    _ledger: Ledger | None = None
    assemblies: dict[int, Assembly] | None = None
    streams: dict[int, Stream] | None = None

    @property
    def ledger(self) -> Ledger:
        """Return the record of requests, created on first use."""
        if self._ledger is None:
            self._ledger = Ledger()
        return self._ledger

    @property
    def has_ledger(self) -> bool:
        """Tell whether the flow has had a request."""
        return self._ledger is not None

    @property
    def busy(self) -> bool:
        """Tell whether a request (not a stream) runs or waits."""
        if self._ledger is None:
            return False
        streams = self.streams or {}
        return any(number not in streams for number in self._ledger.running)

    def touch(self, caller: Address, balancer: Address, now: float) -> None:
        """Record the source and the time of the last packet."""
        self.caller = caller
        self.balancer = balancer
        self.last_seen = now
        self.confirmed = True
