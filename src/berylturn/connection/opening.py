"""Opening of flows with a route token at one agent: admit, pass on or refuse."""

from __future__ import annotations

from dataclasses import dataclass

from ..domain import RefusalReason
from ..version.view import View
from .effects import FlowDecision, SendFrame
from .execution import RequestRules
from .flow import Flow
from .frames import LoadDigest, ToAgent
from .gate import AdmissionGate
from .keys import KeyRing
from .outbox import Outbox
from .packets import Accepted, Open, Refused
from .siblings import MAX_HOPS, Siblings
from .token import RouteToken, issue_token

Address = tuple[str, int]


@dataclass(frozen=True)
class Identity:
    """Identify an agent; balancers send to its `address`."""

    name: str
    data_centre: str
    address: Address
    incarnation: int


@dataclass(frozen=True)
class Arrival:
    """One received `Open`, its frame, and the balancer to answer through."""

    packet: Open
    frame: ToAgent
    balancer: Address


class OpeningRules:
    """Decide whether a new flow stays at this agent, given its siblings' loads.

    Parameters
    ----------
    identity : Identity
        Name, address and incarnation of the agent.
    keys : KeyRing
        Keys of route tokens.
    gate : AdmissionGate
        Limits of the backend server.
    view : View
        Configuration that this agent holds.
    flows : dict of bytes to Flow
        Open flows, shared with the agent's other rules.
    requests : RequestRules
        Rules of requests; they estimate how long a refused caller should wait.
    outbox : Outbox
        Collects the effects.
    """

    def __init__(
        self,
        identity: Identity,
        keys: KeyRing,
        gate: AdmissionGate,
        view: View,
        flows: dict[bytes, Flow],
        requests: RequestRules,
        outbox: Outbox,
    ) -> None:
        self._identity = identity
        self._keys = keys
        self._gate = gate
        self._view = view
        self._flows = flows
        self._requests = requests
        self._outbox = outbox
        self._siblings = Siblings(identity.name)
        self._digest_sequence = 0
        self.stopping = False

    @property
    def siblings(self) -> Siblings:
        """Return the siblings and their load."""
        return self._siblings

    @property
    def digest_is_stale(self) -> bool:
        """Tell whether the load differs much from the last report to siblings."""
        return self._siblings.is_stale(self._gate.flows)

    def issue_route_token(self, service: str, flow_id: bytes) -> bytes:
        """Return a signed route token of a flow at this agent."""
        identity = self._identity
        token = RouteToken(
            *identity.address,
            identity.incarnation,
            identity.data_centre,
            service,
            flow_id,
        )
        return issue_token(token, self._keys)

    def on_open(self, arrival: Arrival, now: float) -> None:
        """Admit, pass on or refuse a new flow; accept an open one again."""
        packet, frame = arrival.packet, arrival.frame
        flow = self._flows.get(packet.flow_id)
        if flow is not None:
            if flow.service == packet.service:
                flow.caller, flow.balancer = frame.caller, arrival.balancer
                self._accept(flow, now)
            return
        if frame.hops == 0:
            self._siblings.earn_pass_budget()
        reason = self._admit(arrival, now)
        if reason is not None and not self._pass_on(
            arrival, would_refuse=True, now=now
        ):
            self._refuse(arrival, reason)

    def _admit(self, arrival: Arrival, now: float) -> RefusalReason | None:
        """Admit or pass on a new flow, or return the reason to refuse it."""
        packet, frame = arrival.packet, arrival.frame
        if packet.service not in self._view.services_of(self._identity.name):
            return RefusalReason.UNKNOWN_SERVICE
        if self.stopping:
            return RefusalReason.DRAINING
        if self._pass_on(arrival, would_refuse=False, now=now):
            return None
        reason = self._gate.admit_flow(now)
        if reason is not None:
            return reason
        flow = Flow(
            packet.flow_id,
            packet.service,
            self.issue_route_token(packet.service, packet.flow_id),
            frame.caller,
            arrival.balancer,
            opened_at=now,
            last_seen=now,
        )
        self._flows[packet.flow_id] = flow
        self._outbox.count("flows.admitted")
        self._record_decision("admitted", arrival)
        self._accept(flow, now)
        return None

    def _pass_on(self, arrival: Arrival, would_refuse: bool, now: float) -> bool:
        frame = arrival.frame
        if frame.hops >= MAX_HOPS:
            return False
        sibling = self._siblings.choose_sibling(
            arrival.packet.service,
            self._gate.flows,
            self._gate.capacity,
            would_refuse,
            frame.visited,
            self._allowed_data_centres(arrival.packet.service, would_refuse),
            now,
        )
        if sibling is None:
            return False
        visited = [*frame.visited, self._identity.name]
        forwarded = ToAgent(
            frame.caller, frame.packet, arrival.balancer, frame.hops + 1, visited
        )
        self._outbox.add(SendFrame(sibling.address, forwarded))
        self._outbox.count("flows.passed_on")
        self._record_decision("passed_on", arrival, sibling=sibling.name)
        return True

    def _allowed_data_centres(
        self, service: str, would_refuse: bool
    ) -> set[str] | None:
        """Return the data centres that a flow may be passed on to; None means any.

        Operators set the shares of the data centres, so only a flow that would be
        refused here leaves its data centre, and only to one that has a share.
        """
        entry = self._view.services.get(service)
        if entry is None or not entry.selector.shares:
            return None
        if not would_refuse:
            return {self._identity.data_centre}
        return {name for name, share in entry.selector.shares.items() if share > 0}

    def _refuse(self, arrival: Arrival, reason: RefusalReason) -> None:
        self._outbox.count("flows.refused")
        self._record_decision("refused", arrival, reason=reason)
        packet = arrival.packet
        refused = Refused(
            packet.flow_id, packet.attempt, reason, self._requests.retry_after_ms
        )
        self._outbox.reply(arrival.frame.caller, arrival.balancer, refused)

    def _accept(self, flow: Flow, now: float) -> None:
        accepted = Accepted(flow.flow_id, self._identity.incarnation, flow.token)
        self._outbox.send(flow, accepted, now)

    def make_load_digest(self) -> LoadDigest:
        """Return the next load report to the siblings."""
        self._digest_sequence += 1
        gate = self._gate
        self._siblings.record_own_digest(gate.flows)
        return LoadDigest(
            self._identity.name,
            self._digest_sequence,
            self._view.services_of(self._identity.name),
            gate.running,
            self._requests.queued,
            gate.flows,
            gate.limit,
            gate.capacity,
            gate.accepting and not self.stopping,
        )

    def _record_decision(
        self,
        decision: str,
        arrival: Arrival,
        reason: RefusalReason | None = None,
        sibling: str = "",
    ) -> None:
        packet = arrival.packet
        effect = FlowDecision(
            decision,
            packet.flow_id,
            packet.service,
            reason,
            sibling,
            arrival.frame.hops,
        )
        self._outbox.add(effect)
