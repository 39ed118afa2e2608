"""Streams of an agent's flows: items, heartbeats, retransmission, resumption."""

from __future__ import annotations

from ..request.ledger import Answered
from .effects import CancelRequest, StartRequest
from .flow import Flow, Stream
from .outbox import Outbox
from .packets import PART_BYTES, StreamItem, StreamState

HEARTBEAT_SECONDS = 0.3
ENDED_KEPT_SECONDS = 5.0
ENDED_OUTCOME = Answered(200, [b""])


class StreamRules:
    """Decide what happens to the streams of one agent.

    Parameters
    ----------
    flows : dict of bytes to Flow
        Open flows, shared with the agent's other rules.
    incarnation : int
        Incarnation of the flows.
    outbox : Outbox
        Collects the effects.
    """

    def __init__(
        self, flows: dict[bytes, Flow], incarnation: int, outbox: Outbox
    ) -> None:
        self._flows = flows
        self._incarnation = incarnation
        self._outbox = outbox
        self._streaming: set[bytes] = set()
        self._suspended = False

    def suspend(self) -> None:
        """Ignore further data, so that a successor can resume each stream."""
        self._suspended = True

    def start(self, flow: Flow, request: StartRequest) -> None:
        """Open a stream on the backend server."""
        if flow.streams is None:
            flow.streams = {}
        flow.streams[request.number] = Stream(request.body)
        self._streaming.add(flow.flow_id)
        self._outbox.add(request)

    def resume(self, flow: Flow, now: float, generation: int) -> None:
        """Reopen the streams of a predecessor's flow where they stopped."""
        for number, stream in (flow.streams or {}).items():
            self._streaming.add(flow.flow_id)
            flow.ledger.resume(number)
            request = StartRequest(
                flow.flow_id,
                number,
                flow.service,
                stream.body,
                repeatable=True,
                stream=True,
                deadline=now,
                generation=generation,
                resume_at=stream.lines,
            )
            self._outbox.add(request)

    def on_data(self, flow_id: bytes, number: int, data: bytes, now: float) -> None:
        """Send data to the caller in items of one packet each."""
        flow, stream = self._find_stream(flow_id, number)
        if stream is None or self._suspended:
            return
        for start in range(0, len(data), PART_BYTES):
            body = data[start : start + PART_BYTES]
            sequence = stream.add(body)
            self._send_item(flow, number, sequence, body, now, rotation=sequence)
        stream.last_sent = now

    def on_end(self, flow_id: bytes, number: int, now: float) -> None:
        """Tell the caller that a stream has ended."""
        flow, stream = self._find_stream(flow_id, number)
        if stream is None or self._suspended:
            return
        stream.ended = True
        stream.ended_at = now
        flow.ledger.finish(number, ENDED_OUTCOME)
        self.send_state(flow, number, now)

    def resend_items(
        self, flow: Flow, number: int, sequences: list[int], now: float
    ) -> None:
        """Send items again that are still kept."""
        for sequence in sequences:
            body = flow.streams[number].kept_item(sequence)
            if body is not None:
                self._send_item(flow, number, sequence, body, now)

    def cancel(self, flow: Flow, number: int) -> None:
        """End a stream that its caller cancelled."""
        del flow.streams[number]
        flow.ledger.finish(number, ENDED_OUTCOME)
        self._outbox.add(CancelRequest(flow.flow_id, number))

    def send_state(self, flow: Flow, number: int, now: float) -> None:
        """Send a heartbeat, from which the caller detects missing items."""
        stream = flow.streams[number]
        stream.last_sent = now
        state = StreamState(
            flow.flow_id,
            self._incarnation,
            number,
            stream.next_sequence,
            stream.ended,
        )
        self._outbox.send_round_robin(flow, state, now)

    def tick(self, now: float) -> None:
        """Send the heartbeats that are due."""
        for flow_id in list(self._streaming):
            flow = self._flows.get(flow_id)
            if flow is None or not flow.streams:
                self._streaming.discard(flow_id)
                continue
            self._send_due_heartbeats(flow, now)

    def _send_due_heartbeats(self, flow: Flow, now: float) -> None:
        for number, stream in list(flow.streams.items()):
            if stream.ended and now - stream.ended_at > ENDED_KEPT_SECONDS:
                del flow.streams[number]
            elif now - stream.last_sent > HEARTBEAT_SECONDS:
                self.send_state(flow, number, now)

    def _find_stream(
        self, flow_id: bytes, number: int
    ) -> tuple[Flow | None, Stream | None]:
        flow = self._flows.get(flow_id)
        if flow is None or not flow.streams:
            return None, None
        return flow, flow.streams.get(number)

    def _send_item(
        self,
        flow: Flow,
        number: int,
        sequence: int,
        body: bytes,
        now: float,
        rotation: int | None = None,
    ) -> None:
        item = StreamItem(flow.flow_id, self._incarnation, number, sequence, body)
        self._outbox.send_round_robin(flow, item, now, rotation)
