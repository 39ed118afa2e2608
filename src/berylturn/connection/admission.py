"""Rules of one agent: flows, requests and limits of its backend server.

Free of I/O: packets and times go in, effects come out, so that other programs
and fuzzers can drive it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import AuthenticationError, PacketError
from ..request.ledger import (
    Answered,
    DidNotRun,
    Outcome,
    Verdict,
)
from ..request.queue import RequestQueue, Waiting
from ..version.view import View
from .effects import (
    CancelRequest,
    Effect,
    FlowDecision,
    ReleaseFlow,
    SendFrame,
    SendToCaller,
    StartRequest,
)
from .flow import Flow, Stream
from .frames import LoadDigest, ToAgent
from .gate import AdmissionGate
from .keys import KeyRing
from .packets import (
    PART_BYTES,
    Accepted,
    AnswerPart,
    Cancel,
    Close,
    CloseReason,
    FlowClosed,
    Missing,
    Open,
    Packet,
    Ping,
    Pong,
    RefusalReason,
    Refused,
    Request,
    RequestNotRun,
    RequestUnknown,
    Running,
    StreamItem,
    StreamState,
    decode_from_caller,
    encode_packet,
)
from .parts import WINDOW_PARTS, Assembly, split_body
from .siblings import MAX_HOPS, Siblings
from .token import RouteToken, issue_token, verify_token

Address = tuple[str, int]

UNCONFIRMED_SECONDS = 5.0
SCAN_SECONDS = 1.0
STREAM_HEARTBEAT_SECONDS = 0.3
STREAM_LINGER_SECONDS = 5.0
BALANCER_SILENT_SECONDS = 1.5
LIVE_SECONDS = 0.25
FORGET_SECONDS = 60.0
MAX_KEPT_ANSWER_BYTES = 16_000_000
MAX_REQUEST_PARTS = 1200
MAX_ASSEMBLIES = 16
MIN_RETRY_MS = 50


@dataclass(frozen=True)
class Identity:
    """Say which agent this is; `address` is where balancers send to."""

    name: str
    data_centre: str
    address: Address
    incarnation: int


@dataclass(slots=True)
class _Work:
    request: StartRequest
    waiting: Waiting | None
    started: bool = False


class AgentRules:
    """Decide what an agent does with packets, answers and the passing of time.

    Parameters
    ----------
    identity : Identity
        Name, address and incarnation.
    keys : KeyRing
        Keys of route tokens.
    gate : AdmissionGate
        Limits of the backend server.
    queue : RequestQueue
        Requests that wait.
    view : View
        Configuration known to this agent.
    flow_idle : float
        Seconds after which a silent flow is closed.
    """

    def __init__(
        self,
        identity: Identity,
        keys: KeyRing,
        gate: AdmissionGate,
        queue: RequestQueue,
        view: View,
        flow_idle: float,
    ) -> None:
        self._identity = identity
        self._keys = keys
        self._gate = gate
        self._queue = queue
        self._view = view
        self._flow_idle = flow_idle
        self._flows: dict[bytes, Flow] = {}
        self._work: dict[tuple[bytes, int], _Work] = {}
        self._effects: list[Effect] = []
        self._balancers_heard: dict[Address, float] = {}
        self._live_balancers: list[Address] = []
        self._live_until = 0.0
        self._turn = 0
        self._kept_bytes = 0
        self._streaming: set[bytes] = set()
        self._next_scan = 0.0
        self._digest_sequence = 0
        self._counters: Counter[str] = Counter()
        self.siblings = Siblings(identity.name)
        self.stopping = False
        self._closing = False
        self._parked = False
        self._handlers: dict[type, Callable[..., None]] = {
            Request: self._on_request,
            Missing: self._on_missing,
            Cancel: self._on_cancel,
            Ping: self._on_ping,
            Close: self._on_close,
        }

    @property
    def identity(self) -> Identity:
        """Return who this agent is."""
        return self._identity

    @property
    def flows(self) -> dict[bytes, Flow]:
        """Return the open flows by identifier."""
        return self._flows

    @property
    def gate(self) -> AdmissionGate:
        """Return the admission gate."""
        return self._gate

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    @property
    def unfinished(self) -> int:
        """Return how many requests (not streams) run or wait."""
        return sum(not work.request.stream for work in self._work.values())

    def take_effects(self) -> list[Effect]:
        """Return and forget the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def take_counters(self) -> Counter[str]:
        """Return and forget the counters since the last call."""
        counters, self._counters = self._counters, Counter()
        return counters

    def on_packet(self, frame: ToAgent, source: Address, now: float) -> None:
        """Take a caller's packet that a balancer or a sibling delivered."""
        balancer = frame.balancer or source
        self._counters["packets.from_callers"] += 1
        if frame.balancer is None:
            self._balancers_heard[source] = now
        try:
            packet = decode_from_caller(frame.packet)
        except PacketError:
            self._counters["packets.malformed"] += 1
            return
        if type(packet) is Open:
            self._on_open(packet, frame, balancer, now)
            return
        self._on_flow_packet(packet, frame.caller, balancer, now)

    def on_finished(
        self, flow_id: bytes, number: int, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Take the outcome of a request that was started."""
        work = self._work.pop((flow_id, number), None)
        if work is None:
            return
        if not work.request.stream:
            proof = seconds if isinstance(outcome, Answered) else None
            if self._gate.finish(now, work.request.era, proof):
                self._counters["gate.slow_cold"] += 1
        self._settle(flow_id, number, outcome, now)
        self._start_waiting(now)

    def on_cold_sign(self, now: float) -> None:
        """Note that the backend server has restarted or sheds load."""
        self._counters["gate.cold"] += 1
        self._gate.fall_cold(now)

    def set_server_up(self, up: bool, now: float) -> None:
        """Note whether the backend server can be reached at all.

        Flows of a lost server end, so that their callers go elsewhere.
        """
        if up == (not self._gate.down):
            return
        self._gate.down = not up
        if not up:
            self._counters["gate.server_lost"] += 1
            self.close_all(CloseReason.SERVER_LOST, now)

    def on_stream_data(
        self, flow_id: bytes, number: int, data: bytes, now: float
    ) -> None:
        """Send data of a stream to the caller, in items of one packet each."""
        flow = self._flows.get(flow_id)
        stream = (flow.streams or {}).get(number) if flow else None
        if flow is None or stream is None or self._parked:
            return
        for start in range(0, len(data), PART_BYTES):
            body = data[start : start + PART_BYTES]
            sequence = stream.add(body)
            self._send_item(flow, number, sequence, body, sequence, now)
        stream.last_sent = now

    def on_stream_end(self, flow_id: bytes, number: int, now: float) -> None:
        """Tell the caller that a stream has ended."""
        self._work.pop((flow_id, number), None)
        flow = self._flows.get(flow_id)
        stream = (flow.streams or {}).get(number) if flow else None
        if flow is None or stream is None or self._parked:
            return
        stream.ended = True
        stream.ended_at = now
        flow.ledger.finish(number, Answered(200, [b""]))
        self._send_stream_state(flow, number, stream, now)

    def tick(self, now: float) -> None:
        """Do what time alone asks for: expiry, heartbeats, changes in force."""
        self._follow_configuration(now)
        self._expire_waiting(now)
        if not self._parked:
            self._start_waiting(now)
        for flow_id in list(self._streaming):
            self._beat_streams(flow_id, now)
        if now >= self._next_scan:
            self._next_scan = now + SCAN_SECONDS
            self._expire_flows(now)
            self._bound_kept_answers()
            self._forget_balancers(now)

    def close_all(self, reason: CloseReason, now: float) -> None:
        """End every flow."""
        for flow in list(self._flows.values()):
            self._end_flow(flow, reason, now)

    def begin_closing(self, now: float) -> None:
        """Ask callers to leave; new requests get a true "not run" from here on."""
        self._closing = True
        for flow in self._flows.values():
            self._send_closed(flow, CloseReason.DRAINED, now)

    def park(self) -> None:
        """Start nothing more, so that the state can be handed to a successor.

        Requests that have not started are withdrawn: their callers send them
        again, and the successor runs them. Callers hear that they are known.
        """
        self.stopping = True
        self._parked = True
        for key, work in list(self._work.items()):
            if not work.started:
                work.waiting.cancelled = True
                self._flows[key[0]].ledger.withdraw(key[1])
                del self._work[key]

    def restore(self, flows: list[Flow], now: float) -> None:
        """Take over the flows of a predecessor and resume their streams."""
        for flow in flows:
            self._flows[flow.flow_id] = flow
            self._gate.add_flow()
            if flow.has_ledger:
                self._kept_bytes += flow.ledger.size
            for number, stream in (flow.streams or {}).items():
                self._resume_stream(flow, number, stream, now)

    def _resume_stream(
        self, flow: Flow, number: int, stream: Stream, now: float
    ) -> None:
        self._streaming.add(flow.flow_id)
        flow.ledger.offer(number)
        request = StartRequest(
            flow.flow_id,
            number,
            flow.service,
            stream.body,
            True,
            True,
            now,
            self._gate.era,
            stream.lines,
        )
        self._work[(flow.flow_id, number)] = _Work(request, None, started=True)
        self._effects.append(request)

    @property
    def digest_is_stale(self) -> bool:
        """Tell whether the load has moved far from what siblings were told."""
        return self.siblings.is_stale(self._gate.flows)

    def load_digest(self) -> LoadDigest:
        """Return this agent's load for its siblings."""
        self._digest_sequence += 1
        self.siblings.on_own_digest(self._gate.flows)
        limits = self._gate.limits
        services = self._view.services_of(self._identity.name)
        return LoadDigest(
            self._identity.name,
            self._digest_sequence,
            services,
            self._gate.running,
            len(self._queue),
            self._gate.flows,
            self._gate.limit,
            self._gate.limit * limits.speed,
            self._gate.accepting and not self.stopping,
        )

    def issue(self, service: str, flow_id: bytes) -> bytes:
        """Return the route token of a flow at this agent."""
        who = self._identity
        return issue_token(
            RouteToken(
                *who.address, who.incarnation, who.data_centre, service, flow_id
            ),
            self._keys,
        )

    def _on_open(
        self, packet: Open, frame: ToAgent, balancer: Address, now: float
    ) -> None:
        flow = self._flows.get(packet.flow_id)
        if flow is not None:
            if flow.service == packet.service:
                flow.caller, flow.balancer = frame.caller, balancer
                self._accept(flow, now)
            return
        if frame.hops == 0:
            self.siblings.on_first_arrival()
        if packet.service not in self._view.services_of(self._identity.name):
            reason = RefusalReason.UNKNOWN_SERVICE
        else:
            reason = self._admit(packet, frame, balancer, now)
        if reason is None:
            return
        if self._pass_on(packet, frame, balancer, full=True, now=now):
            return
        self._refuse(packet, frame, balancer, reason, now)

    def _admit(
        self, packet: Open, frame: ToAgent, balancer: Address, now: float
    ) -> RefusalReason | None:
        """Admit or pass on a new flow; return a reason to refuse it."""
        if self.stopping:
            return RefusalReason.DRAINING
        if self._pass_on(packet, frame, balancer, full=False, now=now):
            return None
        reason = self._gate.admit_flow(now)
        if reason is not None:
            return reason
        token = self.issue(packet.service, packet.flow_id)
        flow = Flow(
            packet.flow_id, packet.service, token, frame.caller, balancer, now, now
        )
        self._flows[packet.flow_id] = flow
        self._counters["flows.admitted"] += 1
        self._note("admitted", packet, hops=frame.hops)
        self._accept(flow, now)
        return None

    def _pass_on(
        self,
        packet: Open,
        frame: ToAgent,
        balancer: Address,
        full: bool,
        now: float,
    ) -> bool:
        if frame.hops >= MAX_HOPS:
            return False
        weight = self._gate.limit * self._gate.limits.speed
        sibling = self.siblings.choose(
            packet.service, self._gate.flows, weight, full, frame.visited, now
        )
        if sibling is None:
            return False
        visited = [*frame.visited, self._identity.name]
        passed = ToAgent(frame.caller, frame.packet, balancer, frame.hops + 1, visited)
        self._effects.append(SendFrame(sibling.address, passed))
        self._counters["flows.passed_on"] += 1
        self._note("passed_on", packet, sibling=sibling.name, hops=frame.hops)
        return True

    def _refuse(
        self,
        packet: Open,
        frame: ToAgent,
        balancer: Address,
        reason: RefusalReason,
        now: float,
    ) -> None:
        self._counters["flows.refused"] += 1
        self._note("refused", packet, reason=reason, hops=frame.hops)
        refused = Refused(
            packet.flow_id, packet.attempt, reason, self._retry_after_ms()
        )
        self._effects.append(
            SendToCaller(frame.caller, balancer, encode_packet(refused))
        )

    def _accept(self, flow: Flow, now: float) -> None:
        accepted = Accepted(flow.flow_id, self._identity.incarnation, flow.token)
        self._send(flow, accepted, now)

    def _on_flow_packet(
        self, packet: Packet, caller: Address, balancer: Address, now: float
    ) -> None:
        try:
            token = verify_token(packet.token, self._keys)
        except AuthenticationError:
            self._counters["packets.forged"] += 1
            return
        who = self._identity
        flow = self._flows.get(token.flow_id)
        is_here = (token.host, token.port) == who.address
        if not is_here or token.incarnation != who.incarnation or flow is None:
            self._counters["flows.lost"] += 1
            closed = FlowClosed(token.flow_id, token.incarnation, CloseReason.FLOW_LOST)
            self._effects.append(SendToCaller(caller, balancer, encode_packet(closed)))
            return
        if token.service != flow.service:
            self._counters["packets.foreign"] += 1
            return
        flow.touch(caller, balancer, now)
        if self._parked:
            self._hold_caller(packet, flow, now)
            return
        if self._closing:
            self._send_closed(flow, CloseReason.DRAINED, now)
        self._handlers[type(packet)](packet, flow, now)

    def _hold_caller(self, packet: Packet, flow: Flow, now: float) -> None:
        """Answer so that the caller waits for the successor."""
        if isinstance(packet, Ping):
            pong = Pong(flow.flow_id, self._identity.incarnation, packet.sequence)
            self._send(flow, pong, now)
        elif isinstance(packet, Request):
            if flow.has_ledger and not flow.ledger.is_new(packet.number):
                self._repeat_outcome(flow, packet.number, now)
                return
            incarnation = self._identity.incarnation
            self._send(flow, Running(flow.flow_id, incarnation, packet.number), now)

    def _on_request(self, packet: Request, flow: Flow, now: float) -> None:
        ledger = flow.ledger
        self._advance(flow, packet.low_water)
        if not ledger.is_new(packet.number):
            self._repeat_outcome(flow, packet.number, now)
            return
        body = self._assemble(packet, flow)
        if body is None:
            return
        ledger.offer(packet.number)
        request = StartRequest(
            flow.flow_id,
            packet.number,
            flow.service,
            body,
            packet.repeatable,
            packet.stream,
            now + packet.deadline_ms / 1000,
            self._gate.era,
        )
        if self._closing:
            refusal = DidNotRun(RefusalReason.DRAINING)
            self._settle(flow.flow_id, packet.number, refusal, now)
        elif packet.stream:
            self._start_stream(flow, request)
        else:
            self._enqueue(flow, request, now)

    def _assemble(self, packet: Request, flow: Flow) -> bytes | None:
        if packet.parts == 1:
            return packet.body
        if flow.assemblies is None:
            flow.assemblies = {}
        assembly = flow.assemblies.get(packet.number)
        if assembly is None:
            full = len(flow.assemblies) >= MAX_ASSEMBLIES
            if full or not 1 <= packet.parts <= MAX_REQUEST_PARTS:
                self._counters["packets.oversized"] += 1
                return None
            assembly = flow.assemblies[packet.number] = Assembly(packet.parts)
        assembly.add(packet.part, packet.body)
        if not assembly.complete:
            return None
        del flow.assemblies[packet.number]
        return assembly.body()

    def _repeat_outcome(self, flow: Flow, number: int, now: float) -> None:
        stream = (flow.streams or {}).get(number)
        if stream is not None:
            self._send_stream_state(flow, number, stream, now)
            return
        if flow.ledger.offer(number) is Verdict.RUNNING:
            incarnation = self._identity.incarnation
            self._send(flow, Running(flow.flow_id, incarnation, number), now)
            return
        self._send_outcome(flow, number, flow.ledger.outcome(number), now)

    def _start_stream(self, flow: Flow, request: StartRequest) -> None:
        if flow.streams is None:
            flow.streams = {}
        flow.streams[request.number] = Stream(request.body)
        self._streaming.add(flow.flow_id)
        key = (request.flow_id, request.number)
        self._work[key] = _Work(request, None, started=True)
        self._effects.append(request)

    def _enqueue(self, flow: Flow, request: StartRequest, now: float) -> None:
        key = (request.flow_id, request.number)
        if not self._queue and self._gate.start():
            self._work[key] = _Work(request, None, started=True)
            self._effects.append(request)
            return
        seconds = self._gate.service_seconds
        if not self._queue.accepts(request.deadline, now, seconds, self._gate.limit):
            self._counters["requests.refused"] += 1
            refusal = DidNotRun(RefusalReason.FULL, self._retry_after_ms())
            self._settle(flow.flow_id, request.number, refusal, now)
            return
        waiting = Waiting(request.flow_id, request.number, request.deadline)
        self._work[key] = _Work(request, waiting)
        self._queue.push(waiting)

    def _start_waiting(self, now: float) -> None:
        while self._queue and self._gate.running < self._gate.limit:
            waiting = self._queue.pop()
            if waiting is None:
                return
            work = self._work[(waiting.flow_id, waiting.number)]
            if waiting.deadline <= now + self._gate.service_seconds:
                self._refuse_waiting(waiting, RefusalReason.DEADLINE, now)
                continue
            self._gate.start()
            work.started = True
            work.request = _with_era(work.request, self._gate.era)
            self._effects.append(work.request)

    def _expire_waiting(self, now: float) -> None:
        for waiting in self._queue.expire(now):
            self._refuse_waiting(waiting, RefusalReason.DEADLINE, now)

    def _refuse_waiting(
        self, waiting: Waiting, reason: RefusalReason, now: float
    ) -> None:
        waiting.cancelled = True
        self._work.pop((waiting.flow_id, waiting.number), None)
        self._counters[f"requests.{reason.name.lower()}"] += 1
        self._settle(waiting.flow_id, waiting.number, DidNotRun(reason), now)

    def _settle(
        self, flow_id: bytes, number: int, outcome: Outcome, now: float
    ) -> None:
        flow = self._flows.get(flow_id)
        if flow is None:
            return
        flow.ledger.finish(number, outcome)
        self._kept_bytes += outcome.size
        self._send_outcome(flow, number, outcome, now)

    def _send_outcome(
        self, flow: Flow, number: int, outcome: Outcome, now: float
    ) -> None:
        if isinstance(outcome, Answered):
            first = range(min(WINDOW_PARTS, len(outcome.parts)))
            self._send_parts(flow, number, outcome, first, now)
            return
        incarnation = self._identity.incarnation
        packet: Packet = RequestUnknown(flow.flow_id, incarnation, number)
        if isinstance(outcome, DidNotRun):
            packet = RequestNotRun(
                flow.flow_id,
                incarnation,
                number,
                outcome.reason,
                outcome.retry_after_ms,
            )
        self._send(flow, packet, now)

    def _send_parts(
        self, flow: Flow, number: int, outcome: Answered, indexes, now: float
    ) -> None:
        total = len(outcome.parts)
        for index in indexes:
            if 0 <= index < total:
                part = AnswerPart(
                    flow.flow_id,
                    self._identity.incarnation,
                    number,
                    outcome.status,
                    index,
                    total,
                    outcome.parts[index],
                )
                self._send(flow, part, now)

    def _on_missing(self, packet: Missing, flow: Flow, now: float) -> None:
        wanted = packet.parts[:WINDOW_PARTS]
        stream = (flow.streams or {}).get(packet.number)
        if stream is not None:
            for sequence in wanted:
                body = stream.item(sequence)
                if body is not None:
                    self._turn += 1
                    turn = sequence + self._turn
                    self._send_item(flow, packet.number, sequence, body, turn, now)
            return
        outcome = flow.ledger.outcome(packet.number)
        if isinstance(outcome, Answered):
            self._send_parts(flow, packet.number, outcome, wanted, now)
        elif packet.number not in flow.ledger.running:
            self._send_outcome(flow, packet.number, outcome, now)

    def _on_cancel(self, packet: Cancel, flow: Flow, now: float) -> None:
        key = (flow.flow_id, packet.number)
        if flow.streams and packet.number in flow.streams:
            del flow.streams[packet.number]
            flow.ledger.finish(packet.number, Answered(200, [b""]))
        work = self._work.get(key)
        if work is None:
            return
        if work.started:
            self._effects.append(CancelRequest(*key))
        elif work.waiting is not None:
            self._refuse_waiting(work.waiting, RefusalReason.CANCELLED, now)

    def _on_ping(self, packet: Ping, flow: Flow, now: float) -> None:
        self._advance(flow, packet.low_water)
        pong = Pong(flow.flow_id, self._identity.incarnation, packet.sequence)
        self._send(flow, pong, now)

    def _on_close(self, _packet: Close, flow: Flow, now: float) -> None:
        self._counters["flows.closed"] += 1
        self._end_flow(flow, CloseReason.CALLER, now)

    def _end_flow(self, flow: Flow, reason: CloseReason, now: float) -> None:
        del self._flows[flow.flow_id]
        self._gate.end_flow()
        if flow.has_ledger:
            self._kept_bytes -= flow.ledger.size
            self._abandon_requests(flow)
        if flow.confirmed or reason is CloseReason.DATA_CENTRE_OUT:
            self._send_closed(flow, reason, now)
        self._effects.append(ReleaseFlow(flow.flow_id))

    def _send_closed(self, flow: Flow, reason: CloseReason, now: float) -> None:
        closed = FlowClosed(flow.flow_id, self._identity.incarnation, reason)
        self._send(flow, closed, now)

    def _abandon_requests(self, flow: Flow) -> None:
        for number in flow.ledger.running:
            key = (flow.flow_id, number)
            work = self._work.get(key)
            if work is None:
                continue
            if work.started:
                self._effects.append(CancelRequest(*key))
            else:
                work.waiting.cancelled = True
                del self._work[key]

    def _advance(self, flow: Flow, low_water: int) -> None:
        if not flow.has_ledger:
            return
        before = flow.ledger.size
        flow.ledger.advance(low_water)
        self._kept_bytes -= before - flow.ledger.size

    def _bound_kept_answers(self) -> None:
        if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES:
            return
        for flow in sorted(self._flows.values(), key=lambda f: f.last_seen):
            if flow.has_ledger:
                self._kept_bytes -= flow.ledger.drop_answers()
            if self._kept_bytes <= MAX_KEPT_ANSWER_BYTES // 2:
                return

    def _follow_configuration(self, now: float) -> None:
        who = self._identity
        self._gate.set_limits(self._view.limits(who.name), now)
        labels = self._view.labels(who.name)
        self._gate.draining = labels.get("state") == "drain"
        out = self._view.data_centre_out(who.data_centre)
        if out and not self._gate.out:
            self.close_all(CloseReason.DATA_CENTRE_OUT, now)
        if self._gate.out and not out:
            self._gate.fall_cold(now)
        self._gate.out = out

    def _expire_flows(self, now: float) -> None:
        for flow in list(self._flows.values()):
            limit = self._flow_idle if flow.confirmed else UNCONFIRMED_SECONDS
            if now - flow.last_seen > limit:
                self._counters["flows.expired"] += 1
                self._end_flow(flow, CloseReason.EXPIRED, now)

    def _forget_balancers(self, now: float) -> None:
        heard = self._balancers_heard
        for address in [a for a, t in heard.items() if now - t > FORGET_SECONDS]:
            del heard[address]

    def _beat_streams(self, flow_id: bytes, now: float) -> None:
        flow = self._flows.get(flow_id)
        if flow is None or not flow.streams:
            self._streaming.discard(flow_id)
            return
        for number, stream in list(flow.streams.items()):
            if stream.ended and now - stream.ended_at > STREAM_LINGER_SECONDS:
                del flow.streams[number]
            elif now - stream.last_sent > STREAM_HEARTBEAT_SECONDS:
                self._send_stream_state(flow, number, stream, now)

    def _send_item(
        self,
        flow: Flow,
        number: int,
        sequence: int,
        body: bytes,
        turn: int,
        now: float,
    ) -> None:
        incarnation = self._identity.incarnation
        item = StreamItem(flow.flow_id, incarnation, number, sequence, body)
        self._send_around(flow, item, turn, now)

    def _send_stream_state(
        self, flow: Flow, number: int, stream: Stream, now: float
    ) -> None:
        stream.last_sent = now
        state = StreamState(
            flow.flow_id,
            self._identity.incarnation,
            number,
            stream.next_sequence,
            stream.ended,
        )
        self._turn += 1
        self._send_around(flow, state, self._turn, now)

    def _send(self, flow: Flow, packet: Packet, now: float) -> None:
        balancer = self._reply_balancer(flow.balancer, now)
        self._effects.append(SendToCaller(flow.caller, balancer, encode_packet(packet)))

    def _send_around(self, flow: Flow, packet: Packet, turn: int, now: float) -> None:
        """Send through the live balancers in turn.

        What goes through one that has just died is missed at the next item, not
        only when the caller's next packet names another balancer. The turn is
        counted for each stream: a common count would send every item of a stream
        through the same balancer when as many streams as balancers are open.
        """
        if now >= self._live_until:
            self._live_until = now + LIVE_SECONDS
            self._live_balancers = [
                address
                for address, heard in self._balancers_heard.items()
                if now - heard <= BALANCER_SILENT_SECONDS
            ]
        balancer = flow.balancer
        if self._live_balancers:
            balancer = self._live_balancers[turn % len(self._live_balancers)]
        self._effects.append(SendToCaller(flow.caller, balancer, encode_packet(packet)))

    def _reply_balancer(self, preferred: Address, now: float) -> Address:
        """Return the balancer of the flow, or a live one when it is silent."""
        heard = self._balancers_heard
        if now - heard.get(preferred, now) <= BALANCER_SILENT_SECONDS:
            return preferred
        latest = max(heard, key=heard.__getitem__)
        if now - heard[latest] <= BALANCER_SILENT_SECONDS:
            return latest
        return preferred

    def _retry_after_ms(self) -> int:
        expected = self._gate.service_seconds * (len(self._queue) + 1)
        return max(MIN_RETRY_MS, int(1000 * expected / max(self._gate.limit, 1)))

    def _note(
        self,
        decision: str,
        packet: Open,
        reason: RefusalReason | None = None,
        sibling: str = "",
        hops: int = 0,
    ) -> None:
        self._effects.append(
            FlowDecision(
                decision, packet.flow_id, packet.service, reason, sibling, hops
            )
        )


def _with_era(request: StartRequest, era: int) -> StartRequest:
    return StartRequest(
        request.flow_id,
        request.number,
        request.service,
        request.body,
        request.repeatable,
        request.stream,
        request.deadline,
        era,
    )


def split_answer(status: int, body: bytes) -> Answered:
    """Return the outcome that holds an answer in parts."""
    return Answered(status, split_body(body))
