"""Requests of one agent: queueing, execution, kept answers and retransmission."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from ..domain import RefusalReason
from ..request.ledger import Answered, DidNotRun, Disposition, MayHaveRun, Outcome
from ..request.queue import QueuedRequest, RequestQueue
from .effects import CancelRequest, StartRequest
from .flow import Flow
from .gate import AdmissionGate
from .outbox import Outbox
from .packets import AnswerPart, RequestNotRun, RequestUnknown, Running
from .parts import WINDOW_PARTS

Key = tuple[bytes, int]

MAX_KEPT_ANSWER_BYTES = 16_000_000  # of all flows together
MIN_RETRY_MS = 50


@dataclass(slots=True)
class _PendingRequest:
    request: StartRequest
    queued: QueuedRequest | None
    cancelled: bool = False


class RequestRules:
    """Decide what happens to the requests (not the streams) of one agent.

    Parameters
    ----------
    flows : dict of bytes to Flow
        Open flows, shared with the agent's other rules.
    incarnation : int
        Incarnation of the flows.
    gate : AdmissionGate
        Limits of the backend server.
    queue : RequestQueue
        Requests that wait for a slot.
    outbox : Outbox
        Collects the effects.
    """

    def __init__(
        self,
        flows: dict[bytes, Flow],
        incarnation: int,
        gate: AdmissionGate,
        queue: RequestQueue,
        outbox: Outbox,
    ) -> None:
        self._flows = flows
        self._incarnation = incarnation
        self._gate = gate
        self._queue = queue
        self._outbox = outbox
        self._pending: dict[Key, _PendingRequest] = {}
        self._kept_bytes = 0
        self._suspended = False

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    @property
    def unfinished(self) -> int:
        """Return how many requests are running or queued."""
        return len(self._pending)

    @property
    def retry_after_ms(self) -> int:
        """Return the advised milliseconds before a refused caller tries again."""
        expected = self._gate.service_seconds * (len(self._queue) + 1)
        return max(MIN_RETRY_MS, int(1000 * expected / max(self._gate.limit, 1)))

    def start(self, request: StartRequest, now: float) -> None:
        """Start a request, queue it, or refuse it when the queue cannot take it."""
        key = (request.flow_id, request.number)
        if not self._queue and self._gate.start(now):
            self._pending[key] = _PendingRequest(request, None)
            self._outbox.add(request)
            return
        seconds = self._gate.service_seconds
        if not self._queue.accepts(request.deadline, now, seconds, self._gate.limit):
            self._outbox.count("requests.refused")
            self.record_outcome(
                *key, DidNotRun(RefusalReason.FULL, self.retry_after_ms), now
            )
            return
        queued = QueuedRequest(request.flow_id, request.number, request.deadline)
        self._pending[key] = _PendingRequest(request, queued)
        self._queue.push(queued)

    def confirm_start(self, flow_id: bytes, number: int, now: float) -> bool:
        """Tell whether a started request may still be written to the server.

        The server may have gone back to cold start between the start of the request
        and the moment that a connection is ready; then the request is queued again,
        ordered by its deadline.
        """
        key = (flow_id, number)
        pending = self._pending[key]
        is_late = pending.request.deadline <= now
        if is_late or pending.cancelled:
            reason = RefusalReason.DEADLINE if is_late else RefusalReason.CANCELLED
            self.on_finished(*key, DidNotRun(reason), 0.0, now)
            return False
        if (
            pending.request.generation == self._gate.generation
            and flow_id in self._flows
        ):
            return True
        self._gate.finish(now, pending.request.generation, None)
        self._requeue(key, pending)
        self._start_queued(now)
        return False

    def on_finished(
        self, flow_id: bytes, number: int, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Record the outcome of a started request and start queued ones."""
        pending = self._pending.pop((flow_id, number), None)
        if pending is None:
            return
        answer_seconds = seconds if isinstance(outcome, Answered) else None
        if self._gate.finish(now, pending.request.generation, answer_seconds):
            self._outbox.count("gate.slow_cold")
        self.record_outcome(flow_id, number, outcome, now)
        self._start_queued(now)

    def record_outcome(
        self, flow_id: bytes, number: int, outcome: Outcome, now: float
    ) -> None:
        """Keep the final outcome of a request and send it to the caller."""
        flow = self._flows.get(flow_id)
        if flow is None:
            return
        flow.ledger.finish(number, outcome)
        self._kept_bytes += outcome.size
        self._send_outcome(flow, number, outcome, now)

    def resend_outcome(self, flow: Flow, number: int, now: float) -> None:
        """Answer a duplicate of a request with its state or outcome."""
        if flow.ledger.register(number) is Disposition.RUNNING:
            self.send_running(flow, number, now)
            return
        self._send_outcome(flow, number, flow.ledger.outcome(number), now)

    def send_running(self, flow: Flow, number: int, now: float) -> None:
        """Tell the caller that a request has arrived and has no answer yet."""
        self._outbox.send(flow, Running(flow.flow_id, self._incarnation, number), now)

    def resend_parts(
        self, flow: Flow, number: int, parts: list[int], now: float
    ) -> None:
        """Send parts of a kept answer again."""
        outcome = flow.ledger.outcome(number)
        if isinstance(outcome, Answered):
            self._send_parts(flow, number, outcome, parts, now)
        elif number not in flow.ledger.running:
            self._send_outcome(flow, number, outcome, now)

    def cancel(self, flow_id: bytes, number: int, now: float) -> None:
        """Refuse a queued request, or cancel a running one on the backend server."""
        pending = self._pending.get((flow_id, number))
        if pending is None:
            return
        if pending.queued is None:
            pending.cancelled = True
            self._outbox.add(CancelRequest(flow_id, number))
        else:
            self._refuse_queued(pending.queued, RefusalReason.CANCELLED, now)

    def discard_flow(self, flow: Flow) -> None:
        """Cancel the requests of a flow that ends and drop its kept answers."""
        if not flow.has_ledger:
            return
        self._kept_bytes -= flow.ledger.size
        for number in flow.ledger.running:
            key = (flow.flow_id, number)
            pending = self._pending.get(key)
            if pending is None or pending.queued is None:
                self._outbox.add(CancelRequest(*key))
            else:
                pending.queued.cancelled = True
                del self._pending[key]

    def forget_received(self, flow: Flow, low_water: int) -> None:
        """Drop the outcomes below `low_water`, which the caller has received."""
        if not flow.has_ledger:
            return
        kept_before = flow.ledger.size
        flow.ledger.forget_received(low_water)
        self._kept_bytes -= kept_before - flow.ledger.size

    def restore(self, flow: Flow) -> None:
        """Count the kept answers of a predecessor's flow."""
        if flow.has_ledger:
            self._kept_bytes += flow.ledger.size

    def suspend(self) -> None:
        """Start no more requests and forget the queued ones.

        Callers retransmit the forgotten requests, and the successor runs them.
        """
        self._suspended = True
        for key, pending in list(self._pending.items()):
            if pending.queued is not None:
                pending.queued.cancelled = True
                self._flows[key[0]].ledger.unregister(key[1])
                del self._pending[key]

    def tick(self, now: float) -> None:
        """Refuse queued requests past their deadline and start those that may run."""
        for queued in self._queue.expire(now):
            self._refuse_queued(queued, RefusalReason.DEADLINE, now)
        self._start_queued(now)

    def evict_kept_answers(self) -> None:
        """Drop kept answers above the byte limit, down to half of it.

        The flows that have been silent longest lose theirs first.
        """
        if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES:
            return
        for flow in sorted(self._flows.values(), key=lambda f: f.last_seen):
            if flow.has_ledger:
                self._kept_bytes -= flow.ledger.drop_answers()
            if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES // 2:
                return

    def _start_queued(self, now: float) -> None:
        if self._suspended:
            return
        while self._queue and self._gate.may_start(now):
            queued = self._queue.pop()
            if queued is None:
                return
            if queued.deadline <= now + self._gate.service_seconds:
                self._refuse_queued(queued, RefusalReason.DEADLINE, now)
                continue
            self._gate.start(now)
            pending = self._pending[(queued.flow_id, queued.number)]
            pending.queued = None
            pending.request = replace(pending.request, generation=self._gate.generation)
            self._outbox.add(pending.request)

    def _requeue(self, key: Key, pending: _PendingRequest) -> None:
        flow = self._flows.get(key[0])
        if flow is None or self._suspended:
            del self._pending[key]
            if flow is not None:
                flow.ledger.unregister(key[1])
            return
        pending.queued = QueuedRequest(*key, pending.request.deadline)
        self._queue.push(pending.queued)

    def _refuse_queued(
        self, queued: QueuedRequest, reason: RefusalReason, now: float
    ) -> None:
        queued.cancelled = True
        key = (queued.flow_id, queued.number)
        self._pending.pop(key, None)
        self._outbox.count(f"requests.{reason.name.lower()}")
        self.record_outcome(*key, DidNotRun(reason), now)

    def _send_outcome(
        self, flow: Flow, number: int, outcome: Outcome, now: float
    ) -> None:
        header = (flow.flow_id, self._incarnation, number)
        if isinstance(outcome, Answered):
            first_window = range(min(WINDOW_PARTS, len(outcome.parts)))
            self._send_parts(flow, number, outcome, first_window, now)
        elif isinstance(outcome, DidNotRun):
            refusal = RequestNotRun(*header, outcome.reason, outcome.retry_after_ms)
            self._outbox.send(flow, refusal, now)
        else:
            assert isinstance(outcome, MayHaveRun)
            self._outbox.send(flow, RequestUnknown(*header), now)

    def _send_parts(
        self,
        flow: Flow,
        number: int,
        answer: Answered,
        indexes: Iterable[int],
        now: float,
    ) -> None:
        total = len(answer.parts)
        for index in indexes:
            if not 0 <= index < total:
                continue
            part = AnswerPart(
                flow.flow_id,
                self._incarnation,
                number,
                answer.status,
                index,
                total,
                answer.parts[index],
            )
            self._outbox.send(flow, part, now)
