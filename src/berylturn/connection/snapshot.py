"""Snapshot of an agent's flows, stored as one object for its successor."""

from __future__ import annotations

import msgspec

from ..decoding import decode_value
from ..domain import RefusalReason
from ..errors import PacketError
from ..request.ledger import Answered, DidNotRun, MayHaveRun, Outcome
from .agent_rules import AgentRules
from .flow import Flow, Stream

MAX_ANSWER_BYTES = 400_000
MAX_SNAPSHOT_BYTES = 750_000
MAX_SAVED_STREAM_ITEMS = 32


class SavedOutcome(msgspec.Struct, array_like=True):
    """One kept outcome; `kind` is 0 for answered, 1 for not run, 2 for unknown."""

    number: int
    kind: int
    status: int = 0
    parts: list[bytes] = []


class SavedStream(msgspec.Struct, array_like=True):
    """One open stream."""

    number: int
    body: bytes
    next_sequence: int
    lines: int
    recent: list[bytes]


class SavedFlow(msgspec.Struct, array_like=True):
    """One flow with the state of its ledger."""

    flow_id: bytes
    service: str
    caller: tuple[str, int]
    balancer: tuple[str, int]
    confirmed: bool
    floor: int
    outcomes: list[SavedOutcome]
    streams: list[SavedStream]


class Snapshot(msgspec.Struct, array_like=True):
    """State from which a successor continues under the same incarnation.

    Attributes
    ----------
    limit : float
        Limit on concurrent requests that the gate had reached.
    cold_seconds_left : float
        Seconds until the limit may rise.
    """

    incarnation: int
    limit: float
    cold_seconds_left: float
    flows: list[SavedFlow]


def take_snapshot(rules: AgentRules, now: float) -> bytes:
    """Return the encoded state of a suspended agent.

    Kept answers are included up to `MAX_ANSWER_BYTES`, those of the most recently
    active flows first. The others become unknown outcomes, so that their requests
    never run again.
    """
    budget = MAX_ANSWER_BYTES
    flows = []
    for flow in sorted(rules.flows.values(), key=lambda f: -f.last_seen):
        saved = _save_flow(flow, budget)
        flows.append(saved)
        budget -= sum(len(p) for o in saved.outcomes for p in o.parts)
    gate = rules.gate
    snapshot = Snapshot(
        rules.identity.incarnation,
        float(gate.limit),
        gate.cold_seconds_left(now),
        flows,
    )
    data = msgspec.msgpack.encode(snapshot)
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise PacketError(
            f"snapshot of {len(data)} bytes is too large; lower the connections label"
        )
    return data


_decoder = msgspec.msgpack.Decoder(Snapshot)


def read_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in `data`; raise `PacketError` if it is malformed."""
    return decode_value(
        _decoder,
        data,
        PacketError,
        "snapshot is malformed; run the same release before and after a restart",
    )


def restore_flows(rules: AgentRules, snapshot: Snapshot, now: float) -> None:
    """Load the state of a predecessor into the rules of a new agent."""
    flows = [_load_flow(rules, saved, now) for saved in snapshot.flows]
    rules.gate.restore(snapshot.limit, snapshot.cold_seconds_left, now)
    rules.restore(flows, now)


def _save_flow(flow: Flow, budget: int) -> SavedFlow:
    outcomes: list[SavedOutcome] = []
    floor = 0
    if flow.has_ledger:
        floor = flow.ledger.floor
        unknown = [n for n in flow.ledger.running if n not in (flow.streams or {})]
        outcomes = [SavedOutcome(number, 2) for number in unknown]
        for number, outcome in flow.ledger.finished.items():
            saved = _save_outcome(number, outcome, budget)
            budget -= sum(map(len, saved.parts))
            outcomes.append(saved)
    streams = [_save_stream(n, s) for n, s in (flow.streams or {}).items()]
    return SavedFlow(
        flow.flow_id,
        flow.service,
        flow.caller,
        flow.balancer,
        flow.confirmed,
        floor,
        outcomes,
        streams,
    )


def _save_outcome(number: int, outcome: Outcome, budget: int) -> SavedOutcome:
    if isinstance(outcome, Answered) and outcome.size <= budget:
        return SavedOutcome(number, 0, outcome.status, outcome.parts)
    if isinstance(outcome, DidNotRun):
        return SavedOutcome(number, 1, int(outcome.reason))
    return SavedOutcome(number, 2)


def _save_stream(number: int, stream: Stream) -> SavedStream:
    recent = list(stream.recent)[-MAX_SAVED_STREAM_ITEMS:]
    return SavedStream(number, stream.body, stream.next_sequence, stream.lines, recent)


def _load_flow(rules: AgentRules, saved: SavedFlow, now: float) -> Flow:
    flow = Flow(
        saved.flow_id,
        saved.service,
        rules.opening.issue_route_token(saved.service, saved.flow_id),
        saved.caller,
        saved.balancer,
        now,
        now,
        saved.confirmed,
    )
    if saved.floor or saved.outcomes or saved.streams:
        outcomes = {o.number: _load_outcome(o) for o in saved.outcomes}
        flow.ledger.restore(saved.floor, outcomes)
    if saved.streams:
        flow.streams = {s.number: _load_stream(s) for s in saved.streams}
    return flow


def _load_outcome(saved: SavedOutcome) -> Outcome:
    if saved.kind == 0:
        return Answered(saved.status, saved.parts)
    if saved.kind == 1:
        return DidNotRun(RefusalReason(saved.status))
    return MayHaveRun()


def _load_stream(saved: SavedStream) -> Stream:
    stream = Stream(saved.body, saved.next_sequence, saved.lines)
    stream.recent.extend(saved.recent)
    return stream
