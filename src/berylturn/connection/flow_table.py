"""Table of an agent's passthrough flows and of the requests in progress on them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from .placement.flow_watch import FlowWatch
from .placement.outcome_counts import Outcome, OutcomeCounts
from .placement.work_meter import WorkMeter
from .segments import Segment

SEQUENCE_RANGE = 1 << 32
# Bytes by which the acknowledgement of a caller may exceed the initial sequence number
# of the server: the window in which the platform accepts a reset. Fewer bytes are in
# transit at a time.
MAX_PROGRESS_BYTES = 76_800
# A caller's attempt to open a flow ends after 1.4 s.
HALF_OPEN_TIMEOUT_SECONDS = 1.5
# Retransmissions of the last packets arrive within the longest retransmission interval.
CLOSED_TIMEOUT_SECONDS = 3.0
# Time for which an idle flow is kept longer than either end keeps it.
IDLE_MARGIN_SECONDS = 5.0
# A caller sends its first request at once after the answer to its opening, 10 ms later
# on the users' sites; the rest allows for slow nodes. After this the caller has gone or
# is idle.
FIRST_REQUEST_TIMEOUT_SECONDS = 0.15
# The same as a multiple of the mean time to the first request, once it is known.
GAP_TIMEOUT_FACTOR = 4.0
# Time since the last packet of a flow up to which a reset breaks off what is going on.
ABORT_SECONDS = 1.0
# Weight of the newest report period in the moving average of running requests.
BUSY_SMOOTHING = 0.5


class FlowState(Enum):
    """State of a flow."""

    HALF_OPEN = 0
    OPEN = 1
    CLOSED = 2


@dataclass(slots=True)
class PassthroughFlow:
    """One flow of the backend server.

    Attributes
    ----------
    first_sequence : int or None
        Initial sequence number of the backend server; distinguishes its answer to an
        opening from those of other servers.
    registered_with : frozenset of str
        IP addresses of the agents that this agent has registered the flow with.
    last_packet : bytes
        Newest packet of the caller. Sent again after a restart of the backend server
        to find out whether it still holds the flow.
    admitted_at : float or None
        Time of admission; None if it was opened before this process started.
    requests : int
        Number of requests so far.
    next_sequence : int or None
        Sequence number after the newest data of the backend server; None if unknown.
    overdue : bool
        Whether the request in progress, or the opening, has counted as unanswered.
    is_feed : bool
        Whether it counts as a flow of many requests.
    """

    state: FlowState
    last_active_at: float
    first_sequence: int | None = None
    last_packet: bytes = b""
    registered_with: frozenset[str] = frozenset()
    caller_closed: bool = False
    backend_closed: bool = False
    busy_since: float | None = None
    admitted_at: float | None = None
    requests: int = 0
    next_sequence: int | None = None
    overdue: bool = False
    is_feed: bool = False

    def owns(self, segment: Segment) -> bool:
        """Tell whether a caller's packet, not an opening, belongs to this flow.

        Copies of an opening may reach two servers. The acknowledgement of the caller
        shows which of their answers it accepted.
        """
        if self.state is not FlowState.HALF_OPEN:
            return True
        if self.first_sequence is None:
            return False
        progress = (segment.acknowledged - self.first_sequence) % SEQUENCE_RANGE
        return 0 < progress <= MAX_PROGRESS_BYTES

    def record_data(self, segment: Segment) -> None:
        """Record up to where data of the backend server has arrived."""
        end = (segment.sequence + segment.size) % SEQUENCE_RANGE
        if self.next_sequence is None or _is_ahead(end, self.next_sequence):
            self.next_sequence = end

    def expects_data(self, segment: Segment) -> bool:
        """Tell whether data that the backend server sent before a packet is missing.

        Packets may overtake one another.
        """
        return self.next_sequence is None or _is_ahead(
            segment.sequence, self.next_sequence
        )


class FlowTable:
    """Store the flows of one backend server.

    Parameters
    ----------
    on_drop : callable
        Called for each flow that is removed.
    observe : callable
        Called with each response time in seconds.
    watch : FlowWatch, optional
        Learns the habits of the flows; only for mixed placement.

    Attributes
    ----------
    meter : WorkMeter
        Measures the server's work.
    outcomes : OutcomeCounts or None
        Counts how requests end; None if nobody judges the server by it.
    hasty_answers_complete : bool
        Whether answers that may be rejections count for the speed of the server.
    """

    def __init__(
        self,
        on_drop: Callable[[], None],
        observe: Callable[[float], None],
        watch: FlowWatch | None = None,
    ) -> None:
        self._watch = watch
        self._on_drop = on_drop
        self._observe = observe
        self.meter = WorkMeter()
        self.outcomes: OutcomeCounts | None = None
        self.hasty_answers_complete = True
        self._flows: dict[bytes, PassthroughFlow] = {}
        self._awaiting_request: dict[bytes, float] = {}
        self._running = 0
        self._busy = 0.0
        self._request_seconds = 0.0
        self._running_changed_at = 0.0
        self._period_started_at = 0.0

    @property
    def flows(self) -> dict[bytes, PassthroughFlow]:
        """Return the flows by key."""
        return self._flows

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return self._running

    @property
    def busy(self) -> float:
        """Return the number of requests in progress, averaged over about a second."""
        return self._busy

    def get(self, key: bytes) -> PassthroughFlow | None:
        """Return a flow, or None."""
        return self._flows.get(key)

    def admit(self, segment: Segment, now: float) -> None:
        """Add a flow that is being opened, and drop a closed one with the same key."""
        if segment.flow in self._flows:
            self.drop(segment.flow)
        self._flows[segment.flow] = flow = PassthroughFlow(
            FlowState.HALF_OPEN, now, last_packet=segment.data, admitted_at=now
        )
        if self._watch is not None:
            self._watch.on_admitted(segment.flow, flow, now)
        self._awaiting_request[segment.flow] = now

    def count_awaiting_request(self, now: float) -> int:
        """Return the number of new flows whose first request is expected soon."""
        timeout = FIRST_REQUEST_TIMEOUT_SECONDS
        if self.meter.gap_seconds:
            timeout = min(timeout, GAP_TIMEOUT_FACTOR * self.meter.gap_seconds)
        while self._awaiting_request:
            key, admitted_at = next(iter(self._awaiting_request.items()))
            if now - admitted_at <= timeout:
                break
            del self._awaiting_request[key]
        return len(self._awaiting_request)

    def add_discovered(self, segment: Segment, now: float) -> PassthroughFlow:
        """Add a flow that a packet of the backend server belongs to."""
        flow = PassthroughFlow(FlowState.OPEN, now)
        if segment.accepting:
            flow.state = FlowState.HALF_OPEN
            flow.first_sequence = segment.sequence
        self._flows[segment.flow] = flow
        return flow

    def record_caller_packet(
        self, segment: Segment, flow: PassthroughFlow, now: float
    ) -> None:
        """Update a flow with a packet of its caller."""
        flow.last_active_at = now
        flow.last_packet = segment.data
        if segment.opening:
            return
        if flow.state is FlowState.HALF_OPEN:
            flow.state = FlowState.OPEN
        if segment.size and flow.busy_since is None:
            flow.busy_since = now
            flow.requests += 1
            if flow.requests == 1 and flow.admitted_at is not None:
                self.meter.record_first_request(now - flow.admitted_at)
            if self._watch is not None:
                self._watch.on_request(segment.flow, flow, now)
            self._awaiting_request.pop(segment.flow, None)
            self._change_running(1, now)
        if segment.closing:
            flow.caller_closed = True
        if segment.reset or (flow.caller_closed and flow.backend_closed):
            self._close(segment.flow, flow, now)

    def record_backend_packet(
        self, segment: Segment, flow: PassthroughFlow, now: float
    ) -> None:
        """Update a flow with a packet of the backend server."""
        idle_seconds = now - flow.last_active_at
        flow.last_active_at = now
        if segment.accepting:
            if flow.state is FlowState.HALF_OPEN:
                flow.first_sequence = segment.sequence
                flow.next_sequence = (segment.sequence + 1) % SEQUENCE_RANGE
            return
        if segment.size:
            flow.record_data(segment)
            if flow.busy_since is not None:
                self._record_answer(segment, flow, now)
        elif segment.closing or segment.reset:
            self._record_ending(segment, flow, idle_seconds, now)
        if segment.closing:
            flow.backend_closed = True
        if segment.reset or (flow.caller_closed and flow.backend_closed):
            self._close(segment.flow, flow, now)

    def drop(self, key: bytes) -> None:
        """Remove a flow."""
        flow = self._flows.pop(key)
        self._awaiting_request.pop(key, None)
        self._end_request(flow, self._running_changed_at)
        if self._watch is not None:
            self._watch.on_gone(flow, self._running_changed_at)
        self._on_drop()

    def sweep(self, now: float, idle_seconds: float) -> None:
        """Remove flows that are closed or idle for too long."""
        limits = {
            FlowState.HALF_OPEN: HALF_OPEN_TIMEOUT_SECONDS,
            FlowState.OPEN: idle_seconds + IDLE_MARGIN_SECONDS,
            FlowState.CLOSED: CLOSED_TIMEOUT_SECONDS,
        }
        for key, flow in list(self._flows.items()):
            if now - flow.last_active_at > limits[flow.state]:
                self.drop(key)

    def end_abandoned_requests(
        self, now: float, timeout_of: Callable[[bytes], float]
    ) -> None:
        """End requests whose callers have given up; these may not tell.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        timeout_of : callable
            Returns the seconds after which a flow's caller gives up a request.
        """
        for key, flow in self._flows.items():
            if flow.busy_since is not None and now - flow.busy_since > timeout_of(key):
                self._record_overdue(flow, now)
                self._end_request(flow, now)

    def record_unanswered(
        self,
        patience_of: Callable[[bytes], float],
        opening_patience: float,
        now: float,
    ) -> None:
        """Count the requests and openings without an answer for too long, once each.

        Parameters
        ----------
        patience_of : callable
            Returns the seconds within which a flow's request is to be answered.
        opening_patience : float
            Seconds within which an opening is to be answered.
        now : float
            Seconds on the monotonic clock.
        """
        for key, flow in self._flows.items():
            if flow.busy_since is not None:
                late = now - flow.busy_since > patience_of(key)
            else:
                late = (
                    flow.state is FlowState.HALF_OPEN
                    and flow.first_sequence is None
                    and flow.admitted_at is not None
                    and now - flow.admitted_at > opening_patience
                )
            if late:
                self._record_overdue(flow, now)

    def smooth_load(self, now: float) -> None:
        """Add the mean of running requests since the last call to the average."""
        self._change_running(0, now)
        seconds = now - self._period_started_at
        if seconds > 0:
            mean = self._request_seconds / seconds
            self._busy += BUSY_SMOOTHING * (mean - self._busy)
        self._request_seconds = 0.0
        self._period_started_at = now

    def _close(self, key: bytes, flow: PassthroughFlow, now: float) -> None:
        self._awaiting_request.pop(key, None)
        self._end_request(flow, now)
        if flow.admitted_at is not None and flow.state is not FlowState.CLOSED:
            self.meter.record_ended_flow(flow.requests)
        if self._watch is not None and flow.state is not FlowState.CLOSED:
            self._watch.on_closed(key, flow, now)
        flow.state = FlowState.CLOSED

    def _record_answer(
        self, segment: Segment, flow: PassthroughFlow, now: float
    ) -> None:
        seconds = now - flow.busy_since
        self._observe(seconds)
        outcome = Outcome.ANSWERED
        if self.outcomes is not None and not flow.overdue:
            outcome = self.outcomes.record_answer(seconds, segment.size, now)
        self._end_request(flow, now)
        if outcome is Outcome.ANSWERED or self.hasty_answers_complete:
            self.meter.record_completion()

    def _record_ending(
        self, segment: Segment, flow: PassthroughFlow, idle_seconds: float, now: float
    ) -> None:
        """Count a flow that the server ends before an answer, or within one.

        A reset within an answer shows only by the time since the last packet.
        """
        is_ended = flow.caller_closed or flow.backend_closed
        if self.outcomes is None or is_ended or flow.overdue:
            return
        if flow.state is FlowState.CLOSED:
            return
        if segment.reset:
            if flow.busy_since is not None or idle_seconds < ABORT_SECONDS:
                self.outcomes.record(Outcome.RESET, now)
        elif flow.busy_since is not None and not flow.expects_data(segment):
            self.outcomes.record(Outcome.CLOSED, now)

    def _record_overdue(self, flow: PassthroughFlow, now: float) -> None:
        if self.outcomes is not None and not flow.overdue and not flow.caller_closed:
            flow.overdue = True
            self.outcomes.record(Outcome.UNANSWERED, now)

    def _end_request(self, flow: PassthroughFlow, now: float) -> None:
        if flow.busy_since is not None:
            flow.busy_since = None
            flow.overdue = False
            self._change_running(-1, now)

    def _change_running(self, change: int, now: float) -> None:
        self._request_seconds += self._running * (now - self._running_changed_at)
        self._running_changed_at = now
        self._running += change
        self.meter.change_running(self._running, now)


def _is_ahead(sequence: int, other: int) -> bool:
    """Tell whether a sequence number follows another within the bytes in transit."""
    return 0 < (sequence - other) % SEQUENCE_RANGE <= MAX_PROGRESS_BYTES
