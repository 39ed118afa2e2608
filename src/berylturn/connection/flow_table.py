"""Flows that the backend server beside an agent holds, and how busy they keep it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .segments import Segment

SEQUENCE_RANGE = 1 << 32
# The platform's bound for the place of a reset, more than may be under way.
ACCEPTED_WINDOW = 76_800
# A caller's attempt to open ends after 1.4 s.
HALF_OPEN_SECONDS = 1.5
# Late copies of the last packets arrive within the longest retransmission interval.
CLOSED_SECONDS = 3.0
# A flow is kept a little longer than either end may keep it.
IDLE_MARGIN_SECONDS = 5.0
# A caller sends its first request at once after the answer to its opening, 10 ms later
# on the users' sites; the rest is for slowed nodes. One that does not is gone or idle.
FIRST_REQUEST_SECONDS = 0.15
# Weight of the newest report period in the mean of requests under way.
BUSY_SMOOTHING = 0.5


class FlowState(Enum):
    """How far a flow is."""

    HALF_OPEN = 0
    OPEN = 1
    CLOSED = 2


@dataclass(slots=True)
class PassthroughFlow:
    """One flow of the backend server.

    Attributes
    ----------
    first_sequence : int or None
        Position at which the backend server began; tells its answers to an opening
        apart from those of other servers.
    homes : frozenset of str
        IP addresses of the agents that have been told who owns it.
    last_packet : bytes
        Newest packet of the caller, sent again to ask whether the flow still lives.
    """

    state: FlowState
    seen_at: float
    first_sequence: int | None = None
    last_packet: bytes = b""
    homes: frozenset[str] = frozenset()
    caller_closed: bool = False
    backend_closed: bool = False
    busy_since: float | None = None

    def owns(self, segment: Segment) -> bool:
        """Tell whether a caller's packet, not an opening, belongs to this flow.

        Copies of an opening may reach two servers; the caller's position tells which
        of their answers it took.
        """
        if self.state is not FlowState.HALF_OPEN:
            return True
        if self.first_sequence is None:
            return False
        progress = (segment.acknowledged - self.first_sequence) % SEQUENCE_RANGE
        return 0 < progress <= ACCEPTED_WINDOW


class FlowTable:
    """Keep the flows of one backend server.

    Parameters
    ----------
    on_drop : callable
        Called for each flow that is forgotten.
    observe : callable
        Told of each response time in seconds.
    """

    def __init__(
        self, on_drop: Callable[[], None], observe: Callable[[float], None]
    ) -> None:
        self._on_drop = on_drop
        self._observe = observe
        self._flows: dict[bytes, PassthroughFlow] = {}
        self._awaiting_request: dict[bytes, float] = {}
        self._running = 0
        self._busy = 0.0
        self._busy_area = 0.0
        self._busy_at = 0.0
        self._busy_from = 0.0

    @property
    def flows(self) -> dict[bytes, PassthroughFlow]:
        """Return the flows by key."""
        return self._flows

    @property
    def running(self) -> int:
        """Return how many requests are under way."""
        return self._running

    @property
    def busy(self) -> float:
        """Return the requests under way, averaged over about a second."""
        return self._busy

    def get(self, key: bytes) -> PassthroughFlow | None:
        """Return a flow, or None."""
        return self._flows.get(key)

    def admit(self, segment: Segment, now: float) -> None:
        """Add a flow that is being opened, in place of a closed one of that key."""
        if segment.flow in self._flows:
            self.drop(segment.flow)
        self._flows[segment.flow] = PassthroughFlow(
            FlowState.HALF_OPEN, now, last_packet=segment.data
        )
        self._awaiting_request[segment.flow] = now

    def count_awaiting_request(self, now: float) -> int:
        """Return how many new flows are about to bring their first request."""
        while self._awaiting_request:
            key, admitted_at = next(iter(self._awaiting_request.items()))
            if now - admitted_at <= FIRST_REQUEST_SECONDS:
                break
            del self._awaiting_request[key]
        return len(self._awaiting_request)

    def learn(self, segment: Segment, now: float) -> PassthroughFlow:
        """Add a flow that a packet of the backend server shows."""
        flow = PassthroughFlow(FlowState.OPEN, now)
        if segment.accepting:
            flow.state = FlowState.HALF_OPEN
            flow.first_sequence = segment.sequence
        self._flows[segment.flow] = flow
        return flow

    def note_caller(self, segment: Segment, flow: PassthroughFlow, now: float) -> None:
        """Take a packet of the caller into account."""
        flow.seen_at = now
        flow.last_packet = segment.data
        if segment.opening:
            return
        if flow.state is FlowState.HALF_OPEN:
            flow.state = FlowState.OPEN
        if segment.size and flow.busy_since is None:
            flow.busy_since = now
            self._awaiting_request.pop(segment.flow, None)
            self._count_busy(1, now)
        if segment.closing:
            flow.caller_closed = True
        if segment.reset or (flow.caller_closed and flow.backend_closed):
            self._close(segment.flow, flow, now)

    def note_backend(self, segment: Segment, flow: PassthroughFlow, now: float) -> None:
        """Take a packet of the backend server into account."""
        flow.seen_at = now
        if segment.accepting:
            if flow.state is FlowState.HALF_OPEN:
                flow.first_sequence = segment.sequence
            return
        if segment.size:
            if flow.busy_since is not None:
                self._observe(now - flow.busy_since)
            self._end_busy(flow, now)
        if segment.closing:
            flow.backend_closed = True
        if segment.reset or (flow.caller_closed and flow.backend_closed):
            self._close(segment.flow, flow, now)

    def drop(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self._flows.pop(key)
        self._awaiting_request.pop(key, None)
        self._end_busy(flow, self._busy_at)
        self._on_drop()

    def sweep(self, now: float, idle_seconds: float) -> None:
        """Forget flows that are over or that nobody has used."""
        limits = {
            FlowState.HALF_OPEN: HALF_OPEN_SECONDS,
            FlowState.OPEN: idle_seconds + IDLE_MARGIN_SECONDS,
            FlowState.CLOSED: CLOSED_SECONDS,
        }
        for key, flow in list(self._flows.items()):
            if now - flow.seen_at > limits[flow.state]:
                self.drop(key)

    def smooth_load(self, now: float) -> None:
        """Average the requests under way since the last call."""
        self._count_busy(0, now)
        seconds = now - self._busy_from
        if seconds > 0:
            mean = self._busy_area / seconds
            self._busy += BUSY_SMOOTHING * (mean - self._busy)
        self._busy_area = 0.0
        self._busy_from = now

    def _close(self, key: bytes, flow: PassthroughFlow, now: float) -> None:
        self._awaiting_request.pop(key, None)
        self._end_busy(flow, now)
        flow.state = FlowState.CLOSED

    def _end_busy(self, flow: PassthroughFlow, now: float) -> None:
        if flow.busy_since is not None:
            flow.busy_since = None
            self._count_busy(-1, now)

    def _count_busy(self, change: int, now: float) -> None:
        self._busy_area += self._running * (now - self._busy_at)
        self._busy_at = now
        self._running += change
