"""Stateful fuzzing of the rules against simple models, from fixed seeds."""

from __future__ import annotations

import json
import unittest
from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from berylturn.connection.agent_rules import AgentRules, split_answer
from berylturn.connection.effects import CancelRequest, SendToCaller, StartRequest
from berylturn.connection.flow import Flow, Stream
from berylturn.connection.frames import GossipAck, GossipPing, ToAgent
from berylturn.connection.gate import AdmissionGate
from berylturn.connection.keys import KeyRing, parse_key
from berylturn.connection.opening import Identity
from berylturn.connection.packets import (
    Accepted,
    AnswerPart,
    Cancel,
    FlowClosed,
    Open,
    Ping,
    Request,
    RequestNotRun,
    RequestUnknown,
    decode_to_caller,
    encode_packet,
)
from berylturn.connection.snapshot import (
    read_snapshot,
    restore_flows,
    take_snapshot,
)
from berylturn.domain import ConfigObject, Limits, MemberState, Role, Status
from berylturn.process.membership import Membership
from berylturn.request.ledger import MayHaveRun
from berylturn.request.queue import RequestQueue
from berylturn.version.view import View

from .test_rules import make_desk_view

FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)
KEYS = KeyRing(parse_key("1:" + "aa" * 16))
CALLER = ("127.0.0.1", 1)
BALANCER = ("127.0.0.1", 2)
FLOWS = [bytes([i]) * 16 for i in range(3)]
SLOTS = 3
COLD_SECONDS = 2.0


def make_rules(incarnation: int, now: float) -> AgentRules:
    """Return the rules of an agent with `SLOTS` slots and a cold limit of 1."""
    rules = AgentRules(
        Identity("desk", "patan-hall", ("127.0.0.1", 3), incarnation),
        KEYS,
        AdmissionGate(Limits(), now),
        RequestQueue(3),
        make_desk_view(COLD_SECONDS, SLOTS),
        flow_idle=1000.0,
    )
    rules.tick(now)
    return rules


class AgentMachine(RuleBasedStateMachine):
    """Requests, duplicates, cancellations, cold starts and hand-overs of an agent.

    The model counts starts by flow and number. No request starts twice, none starts
    that was reported as not run, and a reported answer stays the same.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.rules = make_rules(7, self.now)
        self.tokens: dict[bytes, bytes] = {}
        self.started: Counter = Counter()
        self.connecting: dict[tuple[bytes, int], StartRequest] = {}
        self.running: dict[tuple[bytes, int], StartRequest] = {}
        self.cold_until = 0.0
        self.written_during_cold_start: set[tuple[bytes, int]] = set()
        self.not_run: set[tuple[bytes, int]] = set()
        self.answered: dict[tuple[bytes, int], bytes] = {}
        self.unknown: set[tuple[bytes, int]] = set()
        self.next_number: Counter = Counter()

    def deliver(self, packet):
        """Deliver one packet to the agent and process its effects."""
        frame = ToAgent(CALLER, encode_packet(packet))
        self.rules.on_packet(frame, BALANCER, self.now)
        self.process_effects()

    def process_effects(self):
        for effect in self.rules.outbox.pop_effects():
            if isinstance(effect, StartRequest):
                key = (effect.flow_id, effect.number)
                assert key not in self.connecting
                self.connecting[key] = effect
            elif isinstance(effect, SendToCaller):
                self.on_answer(decode_to_caller(effect.packet))

    def on_answer(self, packet):
        if isinstance(packet, Accepted):
            self.tokens[packet.flow_id] = packet.token
            return
        if isinstance(packet, FlowClosed):
            return
        key = (packet.flow_id, getattr(packet, "number", -1))
        if isinstance(packet, RequestNotRun):
            self.not_run.add(key)
        elif isinstance(packet, RequestUnknown):
            self.unknown.add(key)
        elif isinstance(packet, AnswerPart):
            assert self.answered.setdefault(key, packet.body) == packet.body

    @initialize(warm=st.booleans())
    def open_flows(self, warm):
        if warm:
            self.rules.gate.restore(float(SLOTS), 0.0, self.now)
        for flow in FLOWS:
            self.deliver(Open(flow, "booking"))

    @rule(
        flows=st.lists(st.sampled_from(FLOWS), min_size=1, max_size=3),
        deadline=st.integers(1, 3000),
    )
    def send_new(self, flows, deadline):
        for flow in flows:
            number = self.next_number[flow]
            self.next_number[flow] += 1
            self.send(flow, number, deadline, 0)

    @rule(flow=st.sampled_from(FLOWS), back=st.integers(0, 5), low=st.integers(0, 3))
    def send_again(self, flow, back, low):
        number = max(0, self.next_number[flow] - 1 - back)
        if number < self.next_number[flow]:
            self.send(flow, number, 1000, max(0, number - low))

    def send(self, flow, number, deadline, low_water):
        if flow not in self.tokens:
            return
        body = f"{flow.hex()}/{number}".encode()
        self.deliver(
            Request(
                self.tokens[flow], number, low_water, False, False, deadline, 0, 1, body
            )
        )

    @precondition(lambda self: self.connecting)
    @rule(count=st.integers(1, 3))
    def connect(self, count):
        for key in sorted(self.connecting)[:count]:
            self.connect_one(key)

    def connect_one(self, key):
        request = self.connecting.pop(key)
        if self.rules.requests.confirm_start(*key, self.now):
            self.started[key] += 1
            self.running[key] = request
            if self.now < self.cold_until:
                self.written_during_cold_start.add(key)
        self.process_effects()

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def server_ends_a_request(self, data):
        key = data.draw(st.sampled_from(sorted(self.running)))
        request = self.running.pop(key)
        self.rules.on_connection_broken(self.now, request.generation)
        self.backend_goes_cold()
        self.rules.requests.on_finished(*key, MayHaveRun(), 0.1, self.now)
        self.process_effects()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), seconds=st.floats(0.001, 0.5), known=st.booleans())
    def finish(self, data, seconds, known):
        key = data.draw(st.sampled_from(sorted(self.running)))
        request = self.running.pop(key)
        outcome = split_answer(200, request.body) if known else MayHaveRun()
        self.rules.requests.on_finished(*key, outcome, seconds, self.now)
        self.process_effects()

    @rule(flow=st.sampled_from(FLOWS), number=st.integers(0, 10))
    def cancel(self, flow, number):
        if flow in self.tokens:
            self.deliver(Cancel(self.tokens[flow], number))

    @rule(flow=st.sampled_from(FLOWS))
    def ping(self, flow):
        if flow in self.tokens:
            self.deliver(Ping(self.tokens[flow], 0, 1))

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self.rules.tick(self.now)
        self.process_effects()

    @rule()
    def backend_goes_cold(self):
        self.rules.on_cold_start(self.now)
        self.cold_until = self.now + COLD_SECONDS
        self.written_during_cold_start.clear()

    @precondition(lambda self: not self.running and not self.connecting)
    @rule()
    def hand_over(self):
        self.rules.suspend()
        data = take_snapshot(self.rules, self.now)
        self.process_effects()
        snapshot = read_snapshot(data)
        self.rules = make_rules(snapshot.incarnation, self.now)
        restore_flows(self.rules, snapshot, self.now)
        self.process_effects()

    @invariant()
    def runs_at_most_once(self):
        assert all(count == 1 for count in self.started.values())

    @invariant()
    def not_run_is_true(self):
        assert not self.not_run & set(self.started)

    @invariant()
    def answers_belong_to_their_request(self):
        for (flow, number), body in self.answered.items():
            assert body == f"{flow.hex()}/{number}".encode()

    @invariant()
    def a_cold_server_gets_one_request_at_a_time(self):
        assert len(self.written_during_cold_start & set(self.running)) <= 1

    @invariant()
    def limit_is_kept(self):
        gate = self.rules.gate
        assert 0 <= gate.running <= SLOTS
        if gate.cold_seconds_left(self.now) > 0 and not gate.warm:
            assert gate.limit == 1


def body_of(kind, number):
    """Return one of several bodies for a kind of object; every third is invalid."""
    if number % 3 == 0:
        return b"{"
    if kind == "selector":
        port, app = 9 + number % 2, f"a{number % 4}"
        fields = {"address": f"127.0.0.1:{port}", "match": f"app={app}"}
        return json.dumps({"service": "s", **fields}).encode()
    if kind == "server":
        return json.dumps({"labels": {"app": f"a{number % 4}"}}).encode()
    return json.dumps({"labels": {"state": ("in", "out")[number % 2]}}).encode()


class CancelledBeforeConnect(unittest.TestCase):
    """A request cancelled before it has a connection must not run afterwards."""

    def test_never_starts_and_is_reported_as_not_run(self):
        machine = AgentMachine()
        machine.open_flows(warm=True)
        machine.send_new(FLOWS[:1], 2000)
        machine.cancel(FLOWS[0], 0)
        machine.backend_goes_cold()
        machine.connect(1)
        self.assertEqual((machine.not_run, machine.started), ({(FLOWS[0], 0)}, {}))


class ResumedStream(unittest.TestCase):
    """A resumed stream below the low-water mark must end with its flow."""

    def test_ends_with_its_flow(self):
        rules = make_rules(7, 100.0)
        flow = Flow(FLOWS[0], "booking", b"", CALLER, BALANCER, 100.0, 100.0)
        flow.ledger.restore(5, {})
        flow.streams = {0: Stream(b"board")}
        rules.restore([flow], 100.0)
        rules.outbox.pop_effects()
        rules.set_server_up(False, 101.0)
        self.assertIn(CancelRequest(FLOWS[0], 0), rules.outbox.pop_effects())


class FailedHandOver(unittest.TestCase):
    """An agent that was suspended but could not hand over must refuse truthfully."""

    def test_queued_requests_are_reported_as_not_run(self):
        machine = AgentMachine()
        machine.open_flows(warm=False)
        machine.send_new(FLOWS, 2000)
        machine.connect(3)
        machine.rules.suspend()
        machine.rules.begin_closing(machine.now)
        for flow in FLOWS:
            machine.send(flow, 0, 2000, 0)
        queued = {(flow, 0) for flow in FLOWS} - set(machine.running)
        self.assertEqual(len(queued), 2)
        self.assertEqual(machine.not_run, queued)


class ConfigurationMachine(RuleBasedStateMachine):
    """Views under stale peers and invalid, repeated and reordered objects.

    No view returns to an older version, and in the end each holds the newest valid
    object of each name.
    """

    NAMES = ["server/a", "server/b", "selector/s", "data-centre/x"]

    def __init__(self):
        super().__init__()
        self.views = [View() for _ in range(3)]
        self.history: list[ConfigObject] = []
        self.valid: dict[str, ConfigObject] = {}
        self.seen: list[Counter] = [Counter() for _ in self.views]
        self.gone: list[Counter] = [Counter() for _ in self.views]

    @rule(name=st.sampled_from(NAMES), number=st.integers(0, 11), gone=st.booleans())
    def write(self, name, number, gone):
        body = None if gone else body_of(name.split("/")[0], number)
        item = ConfigObject(name, len(self.history) + 1, body)
        self.history.append(item)
        if body != b"{":
            self.valid[name] = item

    @precondition(lambda self: self.history)
    @rule(data=st.data(), node=st.integers(0, 2))
    def deliver_any(self, data, node):
        objects = data.draw(st.lists(st.sampled_from(self.history), max_size=6))
        self.views[node].apply(objects)

    @rule(source=st.integers(0, 2), sink=st.integers(0, 2))
    def pull(self, source, sink):
        theirs, ours = self.views[source].store, self.views[sink].store
        pairs = zip(theirs.bucket_digests(), ours.bucket_digests(), strict=True)
        differing = {i for i, (a, b) in enumerate(pairs) if a != b}
        self.views[sink].apply(theirs.in_buckets(differing))

    @rule(node=st.integers(0, 2))
    def list_platform(self, node):
        """Apply a complete listing, from which deletions are inferred."""
        newest = {item.name: item for item in self.history}
        live = [item for item in newest.values() if item.body is not None]
        revision = len(self.history)
        self.views[node].apply_complete(live, revision)
        for name in self.NAMES:
            if name not in newest or newest[name].body is None:
                self.gone[node][name] = revision

    @rule(node=st.integers(0, 2))
    def restart(self, node):
        self.views[node] = View()
        self.seen[node] = Counter()
        self.gone[node] = Counter()

    @invariant()
    def placement_follows_selectors(self):
        for view in self.views:
            for name in "ab":
                view.set_agent(
                    MemberState(name, Role.AGENT, "x", ("h", 1), 1, Status.ALIVE)
                )
            table = view.table("s")
            for choice in table.choices if table else ():
                names = {c.name for c in choice.candidates}
                assert names <= view.services["s"].servers
                assert not view.is_data_centre_out("x")

    @invariant()
    def versions_never_go_back(self):
        for view, seen, gone in zip(self.views, self.seen, self.gone, strict=True):
            for name in self.NAMES:
                item = view.store.in_force(name)
                if item is None:
                    continue
                assert item.version >= seen[name]
                assert item.body is None or item.version > gone[name]
                seen[name] = item.version

    @invariant()
    def equal_digests_mean_equal_configuration(self):
        first, second = self.views[0], self.views[1]
        if first.store.digest() == second.store.digest():
            assert self.in_force(first) == self.in_force(second)

    def in_force(self, view):
        services = {n: (s.version, s.servers) for n, s in view.services.items()}
        labels = {name: view.labels(name) for name in "ab"}
        return services, labels, view.is_data_centre_out("x")

    def teardown(self):
        self.views[0].apply(reversed(self.history))
        for sink in (1, 2):
            self.pull(0, sink)
        fresh = View()
        fresh.apply(self.valid.values())
        for view in self.views:
            assert self.in_force(view) == self.in_force(fresh)


class GossipMachine(RuleBasedStateMachine):
    """Balancers that lose frames or are partitioned converge once reconnected."""

    COUNT = 4

    def __init__(self):
        super().__init__()
        self.now = 0.0
        states = [
            MemberState(f"n{i}", Role.BALANCER, "dc", ("h", i), 1, Status.ALIVE)
            for i in range(self.COUNT)
        ]
        self.nodes = [Membership(s, 0.0, seed=i) for i, s in enumerate(states)]
        for node in self.nodes:
            node.merge(states, 0.0)
        self.cut: set[int] = set()
        self.epochs = [Counter() for _ in self.nodes]

    def run_for(self, seconds, loss_period):
        end = self.now + seconds
        count = 0
        while self.now < end:
            self.now += 0.1
            in_flight = []
            for index, node in enumerate(self.nodes):
                in_flight += [(index, send) for send in node.tick(self.now)]
            while in_flight:
                source, send = in_flight.pop(0)
                target = send.address[1]
                count += 1
                lost = loss_period and count % loss_period == 0
                if lost or source in self.cut or target in self.cut:
                    continue
                replies = self.receive(target, send.frame, ("h", source))
                in_flight += [(target, reply) for reply in replies]

    def receive(self, target, frame, source):
        node = self.nodes[target]
        if isinstance(frame, GossipPing):
            return node.on_ping(frame, source, self.now)
        assert isinstance(frame, GossipAck)
        return node.on_ack(frame, self.now)

    @rule(seconds=st.floats(0.1, 12.0), loss_period=st.sampled_from([0, 3, 7]))
    def pass_time(self, seconds, loss_period):
        self.run_for(seconds, loss_period)

    @rule(node=st.integers(0, 3))
    def cut_off(self, node):
        self.cut.add(node)

    @rule(node=st.integers(0, 3))
    def reconnect(self, node):
        self.cut.discard(node)

    @rule(node=st.integers(0, 3))
    def replay_old_state(self, node):
        old = MemberState("n0", Role.BALANCER, "dc", ("h", 0), 1, Status.ALIVE)
        self.nodes[node].merge([old], self.now)

    @invariant()
    def states_never_go_back(self):
        for node, seen in zip(self.nodes, self.epochs, strict=True):
            for name, member in node.members.items():
                rank = (member.epoch, member.status)
                assert rank >= (seen[name] or rank)
                seen[name] = rank

    def teardown(self):
        self.cut.clear()
        self.run_for(60.0, 0)
        for node in self.nodes:
            alive = {m.name for m in node.live(Role.BALANCER)}
            assert alive == {f"n{i}" for i in range(self.COUNT)}, alive


for machine in (AgentMachine, ConfigurationMachine, GossipMachine):
    machine.TestCase.settings = FUZZ

AgentFuzz = AgentMachine.TestCase
ConfigurationFuzz = ConfigurationMachine.TestCase
GossipFuzz = GossipMachine.TestCase
