"""Rules of one agent: its flows, requests and limits of its backend server.

The rules do no I/O: they take packets and times and return effects, so that tests,
fuzzers and benchmarks can drive them.

Examples
--------
>>> from ..domain import Limits
>>> from berylturn.connection.keys import Key
>>> from berylturn.connection.packets import encode_packet
>>> rules = AgentRules(
...     Identity("desk-1", "patan-hall", ("127.0.0.1", 7100), incarnation=1),
...     KeyRing(Key(1, bytes(16))),
...     AdmissionGate(Limits(slots=3), now=0.0),
...     RequestQueue(8),
...     View(),
...     flow_idle=30.0,
... )
>>> frame = ToAgent(("127.0.0.1", 5), encode_packet(Open(bytes(16), "booking")))
>>> rules.on_packet(frame, ("127.0.0.1", 7001), now=0.0)
>>> [type(effect).__name__ for effect in rules.outbox.pop_effects()]
['FlowDecision', 'SendToCaller']
"""

from __future__ import annotations

from collections.abc import Callable

from ..domain import CloseReason, RefusalReason
from ..errors import AuthenticationError, PacketError
from ..request.ledger import Answered, DidNotRun
from ..request.queue import RequestQueue
from ..version.view import View
from .effects import ReleaseFlow, StartRequest
from .execution import RequestRules
from .flow import Flow
from .frames import ToAgent
from .gate import AdmissionGate
from .keys import KeyRing
from .opening import Arrival, Identity, OpeningRules
from .outbox import Outbox
from .packets import (
    Cancel,
    Close,
    FlowClosed,
    Missing,
    Open,
    Packet,
    Ping,
    Pong,
    Request,
    decode_from_caller,
)
from .parts import WINDOW_PARTS, Assembly, split_body
from .streams import StreamRules
from .token import verify_token

Address = tuple[str, int]

UNCONFIRMED_IDLE_SECONDS = 5.0
EXPIRY_SCAN_SECONDS = 1.0
MAX_REQUEST_PARTS = 1200
MAX_ASSEMBLIES = 16  # incomplete requests per flow


class AgentRules:
    """Decide what an agent does with packets, answers and the passage of time.

    Parameters
    ----------
    identity : Identity
        Name, address and incarnation.
    keys : KeyRing
        Keys of route tokens.
    gate : AdmissionGate
        Limits of the backend server.
    queue : RequestQueue
        Requests that wait for a slot.
    view : View
        Configuration that this agent holds.
    flow_idle : float
        Seconds without a packet after which a flow is closed.
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
        self._view = view
        self._flow_idle = flow_idle
        self._flows: dict[bytes, Flow] = {}
        self._next_scan = 0.0
        self._applied_revision = -1
        self._closing = False
        self._suspended = False
        self.outbox = Outbox()
        incarnation = identity.incarnation
        self.streams = StreamRules(self._flows, incarnation, self.outbox)
        self.requests = RequestRules(self._flows, incarnation, gate, queue, self.outbox)
        self.opening = OpeningRules(
            identity, keys, gate, view, self._flows, self.requests, self.outbox
        )
        self._handlers: dict[type, Callable[..., None]] = {
            Request: self._on_request,
            Missing: self._on_missing,
            Cancel: self._on_cancel,
            Ping: self._on_ping,
            Close: self._on_close,
        }

    @property
    def identity(self) -> Identity:
        """Return the name, address and incarnation of this agent."""
        return self._identity

    @property
    def flows(self) -> dict[bytes, Flow]:
        """Return the open flows by identifier."""
        return self._flows

    @property
    def gate(self) -> AdmissionGate:
        """Return the admission gate."""
        return self._gate

    def on_packet(self, frame: ToAgent, source: Address, now: float) -> None:
        """Handle a caller's packet that a balancer or a sibling forwarded."""
        self.outbox.count("packets.from_callers")
        if frame.balancer is None:
            self.outbox.record_balancer_packet(source, now)
        try:
            packet = decode_from_caller(frame.packet)
        except PacketError:
            self.outbox.count("packets.malformed")
            return
        balancer = frame.balancer or source
        if type(packet) is Open:
            self.opening.on_open(Arrival(packet, frame, balancer), now)
        else:
            self._on_flow_packet(packet, frame.caller, balancer, now)

    def on_cold_start(self, now: float) -> None:
        """Return to the cold limit, because the server restarted or sheds load."""
        self.outbox.count("gate.cold")
        self._gate.enter_cold_start(now)

    def on_connection_broken(self, now: float, generation: int) -> None:
        """Record that the backend server closed a connection during a request."""
        self._gate.record_failure(now, generation)

    def set_server_up(self, up: bool, now: float) -> None:
        """Set whether the backend server is reachable.

        The flows of an unreachable server are closed, so that their callers open
        flows to another one.
        """
        if up == (not self._gate.server_down):
            return
        self._gate.server_down = not up
        if not up:
            self.outbox.count("gate.server_lost")
            self._close_all_flows(CloseReason.SERVER_LOST, now)

    def tick(self, now: float) -> None:
        """Do periodic work: apply the configuration, expire, send heartbeats."""
        self._apply_configuration(now)
        self.requests.tick(now)
        self.streams.tick(now)
        if now >= self._next_scan:
            self._next_scan = now + EXPIRY_SCAN_SECONDS
            self._expire_flows(now)
            self.requests.evict_kept_answers()
            self.outbox.forget_silent_balancers(now)

    def begin_closing(self, now: float) -> None:
        """Ask callers to open flows elsewhere and answer new requests "not run"."""
        self._closing = True
        for flow in self._flows.values():
            self._send_closed(flow, CloseReason.DRAINED, now)

    def suspend(self) -> None:
        """Start no more work, so that a successor can take over a stable state."""
        self.opening.stopping = True
        self._suspended = True
        self.requests.suspend()
        self.streams.suspend()

    def restore(self, flows: list[Flow], now: float) -> None:
        """Take over the flows of a predecessor and resume their streams."""
        for flow in flows:
            self._flows[flow.flow_id] = flow
            self._gate.add_flow()
            self.requests.restore(flow)
            self.streams.resume(flow, now, self._gate.generation)

    def _on_flow_packet(
        self, packet: Packet, caller: Address, balancer: Address, now: float
    ) -> None:
        try:
            token = verify_token(packet.token, self._keys)
        except AuthenticationError:
            self.outbox.count("packets.forged")
            return
        identity = self._identity
        flow = self._flows.get(token.flow_id)
        is_here = (token.host, token.port) == identity.address
        if not is_here or token.incarnation != identity.incarnation or flow is None:
            self.outbox.count("flows.lost")
            closed = FlowClosed(token.flow_id, token.incarnation, CloseReason.FLOW_LOST)
            self.outbox.reply(caller, balancer, closed)
            return
        if token.service != flow.service:
            self.outbox.count("packets.foreign")
            return
        flow.touch(caller, balancer, now)
        if self._suspended and not self._closing:
            self._reply_while_suspended(packet, flow, now)
            return
        if self._closing:
            self._send_closed(flow, CloseReason.DRAINED, now)
        self._handlers[type(packet)](packet, flow, now)

    def _reply_while_suspended(self, packet: Packet, flow: Flow, now: float) -> None:
        """Answer the caller so that it waits for the successor."""
        if isinstance(packet, Ping):
            self._send_pong(packet, flow, now)
        elif isinstance(packet, Request):
            if flow.has_ledger and not flow.ledger.is_new(packet.number):
                self._resend_outcome(flow, packet.number, now)
            else:
                self.requests.send_running(flow, packet.number, now)

    def _on_request(self, packet: Request, flow: Flow, now: float) -> None:
        self.requests.forget_received(flow, packet.low_water)
        if not flow.ledger.is_new(packet.number):
            self._resend_outcome(flow, packet.number, now)
            return
        body = self._assemble(packet, flow)
        if body is None:
            return
        flow.ledger.register(packet.number)
        request = StartRequest(
            flow.flow_id,
            packet.number,
            flow.service,
            body,
            packet.repeatable,
            packet.stream,
            now + packet.deadline_ms / 1000,
            self._gate.generation,
        )
        if self._closing:
            refusal = DidNotRun(RefusalReason.DRAINING)
            self.requests.record_outcome(flow.flow_id, packet.number, refusal, now)
        elif packet.stream:
            self.streams.start(flow, request)
        else:
            self.requests.start(request, now)

    def _assemble(self, packet: Request, flow: Flow) -> bytes | None:
        if packet.parts == 1:
            return packet.body
        if flow.assemblies is None:
            flow.assemblies = {}
        assembly = flow.assemblies.get(packet.number)
        if assembly is None:
            is_full = len(flow.assemblies) >= MAX_ASSEMBLIES
            if is_full or not 1 <= packet.parts <= MAX_REQUEST_PARTS:
                self.outbox.count("packets.oversized")
                return None
            assembly = flow.assemblies[packet.number] = Assembly(packet.parts)
        assembly.add(packet.part, packet.body)
        if not assembly.complete:
            return None
        del flow.assemblies[packet.number]
        return assembly.body()

    def _resend_outcome(self, flow: Flow, number: int, now: float) -> None:
        if flow.streams and number in flow.streams:
            self.streams.send_state(flow, number, now)
        else:
            self.requests.resend_outcome(flow, number, now)

    def _on_missing(self, packet: Missing, flow: Flow, now: float) -> None:
        parts = packet.parts[:WINDOW_PARTS]
        if flow.streams and packet.number in flow.streams:
            self.streams.resend_items(flow, packet.number, parts, now)
        else:
            self.requests.resend_parts(flow, packet.number, parts, now)

    def _on_cancel(self, packet: Cancel, flow: Flow, now: float) -> None:
        if flow.streams and packet.number in flow.streams:
            self.streams.cancel(flow, packet.number)
        else:
            self.requests.cancel(flow.flow_id, packet.number, now)

    def _on_ping(self, packet: Ping, flow: Flow, now: float) -> None:
        self.requests.forget_received(flow, packet.low_water)
        self._send_pong(packet, flow, now)

    def _send_pong(self, packet: Ping, flow: Flow, now: float) -> None:
        pong = Pong(flow.flow_id, self._identity.incarnation, packet.sequence)
        self.outbox.send(flow, pong, now)

    def _on_close(self, _packet: Close, flow: Flow, now: float) -> None:
        self.outbox.count("flows.closed")
        self._end_flow(flow, CloseReason.CALLER, now)

    def _close_all_flows(self, reason: CloseReason, now: float) -> None:
        for flow in list(self._flows.values()):
            self._end_flow(flow, reason, now)

    def _end_flow(self, flow: Flow, reason: CloseReason, now: float) -> None:
        del self._flows[flow.flow_id]
        self._gate.end_flow()
        self.requests.discard_flow(flow)
        if flow.confirmed or reason is CloseReason.DATA_CENTRE_OUT:
            self._send_closed(flow, reason, now)
        self.outbox.add(ReleaseFlow(flow.flow_id))

    def _send_closed(self, flow: Flow, reason: CloseReason, now: float) -> None:
        closed = FlowClosed(flow.flow_id, self._identity.incarnation, reason)
        self.outbox.send(flow, closed, now)

    def _apply_configuration(self, now: float) -> None:
        if self._view.revision == self._applied_revision:
            return
        self._applied_revision = self._view.revision
        identity = self._identity
        self._gate.set_limits(self._view.limits(identity.name), now)
        labels = self._view.labels(identity.name)
        self._gate.draining = labels.get("state") == "drain"
        is_out = self._view.is_data_centre_out(identity.data_centre)
        if is_out and not self._gate.data_centre_out:
            self._close_all_flows(CloseReason.DATA_CENTRE_OUT, now)
        if self._gate.data_centre_out and not is_out:
            self._gate.enter_cold_start(now)
        self._gate.data_centre_out = is_out

    def _expire_flows(self, now: float) -> None:
        for flow in list(self._flows.values()):
            idle_limit = self._flow_idle if flow.confirmed else UNCONFIRMED_IDLE_SECONDS
            if now - flow.last_seen > idle_limit:
                self.outbox.count("flows.expired")
                self._end_flow(flow, CloseReason.EXPIRED, now)


def split_answer(status: int, body: bytes) -> Answered:
    """Return an answer as an outcome, with its body split into parts."""
    return Answered(status, split_body(body))
