"""Property test of second offers: answers, losses, copies and restarts in any order."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from berylturn.connection.admission.second_offers import SecondOfferLimits
from berylturn.connection.passthrough_effects import ToBackend, ToCaller, ToPeer
from berylturn.connection.peer_frames import SECOND_OFFER, Forward, Load
from berylturn.platform import packets

from .passthrough_mesh import (
    ACK,
    HEADER,
    SYN,
    FakeBackend,
    caller_packet,
    flow_key,
    mark_returned,
)
from .test_fuzz import FUZZ
from .test_second_offers import DELAY_SECONDS, OfferMesh

# Most examples contain no second offer.
RACES = settings(FUZZ, max_examples=400)
SHARE = 0.2
SERVERS = ("a1", "a2", "a3")
MAX_PROGRESS = 1_000
POSITIONS = st.integers(min_value=0, max_value=1_000)


class StrictBackend(FakeBackend):
    """A backend server that checks which answer to an opening a caller accepted."""

    def handle_packet(self, data: bytes) -> list[bytes]:
        """Return the packets that it sends in reply to one packet."""
        segment = packets.decode_from_caller(data)
        if segment.opening or segment.flow not in self.flows:
            return super().handle_packet(data)
        if 0 < segment.acknowledged - self.first_sequence < MAX_PROGRESS:
            return super().handle_packet(data)
        return [mark_returned(data)]


class RaceMesh(OfferMesh):
    """Nodes whose frames are delivered one at a time, and callers."""

    offer_limits = SecondOfferLimits(SHARE, DELAY_SECONDS)

    def __init__(self) -> None:
        self.transit: list[tuple[str, ToPeer]] = []
        # Server that a flow is open at, by the answer that its caller accepted.
        self.open_at: dict[bytes, str] = {}
        self.refused: set[bytes] = set()
        self.resets_of_open_flows: list[bytes] = []
        self.second_offers: list[str] = []
        super().__init__({name: ("dc-a", "desk") for name in SERVERS})
        for number, name in enumerate(SERVERS):
            self.backends[name] = StrictBackend(1_000_000 * (number + 1))

    def on_caller(self, data: bytes) -> None:
        """Handle a packet at a caller."""
        segment = packets.decode_from_backend(data)
        flow = segment.flow
        if HEADER.unpack_from(data)[4] & SYN:
            if flow not in self.open_at and flow not in self.refused:
                number = segment.sequence // 1_000_000 - 1
                self.open_at[flow] = SERVERS[number]
                self.ask(flow)
        elif segment.reset:
            if flow in self.open_at:
                self.resets_of_open_flows.append(flow)
            self.refused.add(flow)

    def ask(self, flow: bytes) -> None:
        """Send a request on an open flow."""
        first = self.backends[self.open_at[flow]].first_sequence
        self.send("front-a", caller_packet(flow, ACK, ack=first + 1, body=b"GET"))

    def deliver(self, position: int) -> None:
        """Deliver one of the frames in transit."""
        sender, effect = self.transit.pop(position % len(self.transit))
        self._run_effects(effect.host, self._deliver(sender, effect))

    def _run_effects(self, name: str, effects: list) -> None:
        for effect in effects:
            if type(effect) is ToPeer:
                if type(effect.frame) is Forward and name == "front-a":
                    self.second_offers += (
                        [effect.host] if effect.frame.offer == SECOND_OFFER else []
                    )
                self.transit.append((name, effect))
            elif type(effect) is ToCaller:
                self.on_caller(effect.data)
            elif type(effect) is ToBackend:
                for data in self.backends[name].handle_packet(effect.data):
                    segment = packets.decode_from_backend(data)
                    rules = self.agents[name]
                    self._run_effects(name, rules.on_backend(segment, self.now))
                    self._run_effects(name, rules.pop_queued_frames())


class OfferRaces(RuleBasedStateMachine):
    """Whatever happens to frames and nodes, an open flow stays with its server."""

    seen: Counter[str] = Counter()

    def __init__(self) -> None:
        super().__init__()
        self.mesh = RaceMesh()
        self.opened = 0
        self.draining = dict.fromkeys(SERVERS, False)

    @rule(flows=st.integers(min_value=5, max_value=10))
    def open_flows(self, flows: int) -> None:
        for _ in range(flows):
            self.opened += 1
            opening = caller_packet(flow_key(self.opened), SYN)
            self.mesh.send("front-a", opening)

    @precondition(lambda self: self.opened)
    @rule(position=POSITIONS)
    def send_copy(self, position: int) -> None:
        flow = flow_key(1 + position % self.opened)
        if flow not in self.mesh.open_at and flow not in self.mesh.refused:
            self.mesh.send("front-a", caller_packet(flow, SYN, ack=1))

    @precondition(lambda self: self.mesh.open_at)
    @rule(position=POSITIONS)
    def ask(self, position: int) -> None:
        flows = list(self.mesh.open_at)
        self.mesh.ask(flows[position % len(flows)])

    @precondition(lambda self: self.mesh.transit)
    @rule(position=POSITIONS, frames=st.integers(min_value=1, max_value=20))
    def deliver(self, position: int, frames: int) -> None:
        for _ in range(min(frames, len(self.mesh.transit))):
            self.mesh.deliver(position)

    @precondition(lambda self: self.mesh.transit)
    @rule(position=POSITIONS)
    def lose(self, position: int) -> None:
        self.mesh.transit.pop(position % len(self.mesh.transit))

    @precondition(lambda self: self.mesh.transit)
    @rule(position=POSITIONS)
    def duplicate(self, position: int) -> None:
        transit = self.mesh.transit
        transit.append(transit[position % len(transit)])

    @rule(seconds=st.sampled_from((0.02, DELAY_SECONDS + 0.01, 0.2)))
    def pass_time(self, seconds: float) -> None:
        mesh = self.mesh
        mesh.now += seconds
        mesh._run_effects("front-a", mesh.routers["front-a"].offer_overdue(mesh.now))
        for name, rules in mesh.agents.items():
            mesh.report(name, draining=self.draining[name])
            mesh._run_effects(name, rules.admit_queued(mesh.now))
            mesh._run_effects(name, rules.continue_searches(mesh.now))
            mesh._run_effects(name, rules.pop_queued_frames())

    @rule(name=st.sampled_from(SERVERS))
    def hear_load(self, name: str) -> None:
        load = Load(self.mesh.agents[name].load_report(self.mesh.now))
        self.mesh.routers["front-a"].on_frame(name, load, self.mesh.now)

    @rule(name=st.sampled_from(SERVERS))
    def restart_agent(self, name: str) -> None:
        self.mesh.start_agent(name)

    @rule()
    def restart_balancer(self) -> None:
        self.mesh.start_balancer("front-a", "dc-a")

    @rule(name=st.sampled_from(SERVERS), draining=st.booleans())
    def drain(self, name: str, draining: bool) -> None:
        self.draining[name] = draining
        self.mesh.report(name, draining=draining)

    @rule(name=st.sampled_from(SERVERS), full=st.booleans())
    def fill(self, name: str, full: bool) -> None:
        self.mesh.backends[name].full = full

    @invariant()
    def no_open_flow_is_reset(self) -> None:
        assert not self.mesh.resets_of_open_flows

    @invariant()
    def a_flow_is_served_by_one_server(self) -> None:
        for flow, owner in self.mesh.open_at.items():
            for name, rules in self.mesh.agents.items():
                state = rules.flows.get(flow)
                assert name == owner or state is None or not state.requests

    @invariant()
    def the_limit_is_kept(self) -> None:
        assert len(self.mesh.second_offers) <= SHARE * self.opened

    def teardown(self) -> None:
        self.seen.update(
            f"{event} {fields.get('reason', '')}".strip()
            for event, fields in self.mesh.decisions
        )
        self.seen["second_offers"] += len(self.mesh.second_offers)
        self.seen["refused_frames"] += self.mesh.frame_counts["Refused"]


class TestOfferRaces(unittest.TestCase):
    """Run the state machine, and see that it reached what it is about."""

    def test_races(self) -> None:
        run_state_machine_as_test(OfferRaces, settings=RACES)
        for event in ("second_offer_won", "second_offer_lost", "refused_frames"):
            self.assertGreater(OfferRaces.seen[event], 0, event)
