"""Balancers and agents for passthrough flows in one process, in virtual time.

The backend servers here handle packets as those of the platform do: they answer
openings, return packets of flows that they do not hold, and lose all flows when they
restart.
"""

from __future__ import annotations

import itertools
import struct
from collections import Counter
from dataclasses import dataclass, field

from berylturn.connection.admission.caller_shares import CallerShares
from berylturn.connection.admission.opening_gate import GateBounds, OpeningGate
from berylturn.connection.admission.second_offers import (
    SecondOfferLimits,
    SecondOffers,
)
from berylturn.connection.passthrough import PassthroughAgent
from berylturn.connection.passthrough_effects import ToBackend, ToCaller, ToPeer
from berylturn.connection.passthrough_router import PassthroughRouter
from berylturn.connection.peer_frames import (
    Findings,
    Forward,
    Inquiry,
    Load,
    LoadReport,
    Owned,
    Refused,
    Registered,
)
from berylturn.connection.placement.load_board import LoadBoard
from berylturn.connection.placement.outliers import OutlierRules
from berylturn.connection.recovery.backend_reports import BackendReport, ProcessStart
from berylturn.platform import packets
from berylturn.version.agent_directory import Directory, DirectoryTrust
from berylturn.version.owners import AgentEntry
from berylturn.version.routes import Route, RouteTable, ServiceLimits, ServiceShare

SYN, ACK, FIN, RST, BOUNCED = 64, 16, 1, 8, 128
HEADER = struct.Struct(">IIHIBH4s4sHI")
SERVICE = bytes([198, 18, 0, 1]) + (443).to_bytes(2, "big")
START = 1000.0
WARM_AT = START - 100.0
CHECK_SECONDS = 0.05


def caller_packet(
    flow: bytes, flags: int, seq: int = 1, ack: int = 0, body: bytes = b""
) -> bytes:
    """Return a packet from a caller."""
    return HEADER.pack(
        seq, ack, len(body), 0, flags, int.from_bytes(flow[10:], "big"),
        flow[:4], flow[6:10], int.from_bytes(flow[4:6], "big"), 7,
    ) + body  # fmt: skip


def backend_packet(
    flow: bytes, flags: int, seq: int = 1, ack: int = 0, body: bytes = b""
) -> bytes:
    """Return a packet from a backend server."""
    return HEADER.pack(
        seq, ack, len(body), 0, flags, int.from_bytes(flow[4:6], "big"),
        flow[6:10], flow[:4], int.from_bytes(flow[10:], "big"), 7,
    ) + body  # fmt: skip


def flow_key(number: int, service: bytes = SERVICE) -> bytes:
    """Return the key of one of many flows."""
    return bytes([100, 64, 0, 9]) + (1024 + number).to_bytes(2, "big") + service


def make_table(version: int, **services: float) -> RouteTable:
    """Return a table with one route that is split between services by weight."""
    shares = tuple(ServiceShare(name, weight) for name, weight in services.items())
    limits = {name: ServiceLimits(cold_rate=2.0) for name in ("desk", "room")}
    return RouteTable(version, {SERVICE: Route("r", shares)}, limits)


@dataclass
class FakeBackend:
    """A backend server that holds flows, or does not answer."""

    first_sequence: int
    flows: set[bytes] = field(default_factory=set)
    dead: bool = False
    full: bool = False
    mute: bool = False
    received_flows: list[bytes] = field(default_factory=list)
    openings: int = 0

    def handle_packet(self, data: bytes) -> list[bytes]:
        """Return the packets that it sends in reply to one packet."""
        segment = packets.decode_from_caller(data)
        if self.dead:
            return []
        self.received_flows.append(segment.flow)
        if segment.opening:
            if self.full:
                return [mark_returned(data)]
            self.openings += 1
            self.flows.add(segment.flow)
            return [backend_packet(segment.flow, SYN | ACK, self.first_sequence)]
        if segment.flow not in self.flows:
            return [mark_returned(data)]
        if segment.size and not self.mute:
            return [
                backend_packet(segment.flow, ACK, self.first_sequence + 1, body=b"ok")
            ]
        return []


def mark_returned(data: bytes) -> bytes:
    """Return a caller's packet with the flag that a backend server returned it."""
    return data[:14] + bytes([data[14] | BOUNCED]) + data[15:]


class Mesh:
    """Deliver frames between the rules of the nodes until none is in transit.

    Parameters
    ----------
    agents : dict of str to tuple of str and str
        Data centre and service of each agent, by name.
    balancers : dict of str to str
        Data centre of each balancer, by name.
    """

    outlier_rules = OutlierRules()
    # Whether agents keep shares of callers.
    tells_callers_apart = False
    # Whether the nodes place by `policy = mixed`.
    mixed_placement = False
    # Second offers are off, as they are without their setting.
    offer_limits = SecondOfferLimits(0.0, 0.05)

    def __init__(
        self, agents: dict[str, tuple[str, str]], balancers: dict[str, str]
    ) -> None:
        self.now = START
        self.decisions: list[tuple[str, dict]] = []
        self.to_caller: list[tuple[bytes, bytes]] = []
        self.entries = [
            AgentEntry(name, name, data_centre, service, 3.0)
            for name, (data_centre, service) in agents.items()
        ]
        self.backends = {
            name: FakeBackend(1_000_000 * (number + 1))
            for number, name in enumerate(agents)
        }
        self.down: set[str] = set()
        self.frame_counts: Counter[str] = Counter()
        # Agents whose directory may be incomplete.
        self.uncertain: set[str] = set()
        # Seconds for which all agents have known the directory.
        self.known_seconds = 60.0
        self.partitions: set[frozenset[str]] = set()
        self.boards: dict[str, LoadBoard] = {}
        self.gates: dict[str, OpeningGate] = {}
        self.agents: dict[str, PassthroughAgent] = {}
        self.routers: dict[str, PassthroughRouter] = {}
        self.table = make_table(1, desk=1.0)
        self._sequences = itertools.count(1)
        for name in agents:
            self.start_agent(name)
        for name, data_centre in balancers.items():
            self.start_balancer(name, data_centre)

    def start_agent(self, name: str, reported: bool = True, unix_ms: int = 0) -> None:
        """Start an agent without earlier state, at a time of day."""
        process = ProcessStart(WARM_AT if reported else self.now, unix_ms)
        gate = OpeningGate(GateBounds(1.5, 5.0, 1.2), process)
        board = self.boards[name] = LoadBoard()
        self.gates[name] = gate
        rules = PassthroughAgent(
            name,
            gate,
            board,
            packets,
            self._log_decision,
            lambda seconds: None,
            lambda now: DirectoryTrust(name not in self.uncertain, self.known_seconds),
            process,
            self.outlier_rules,
            CallerShares() if self.tells_callers_apart else None,
            self.mixed_placement,
        )
        self.agents[name] = rules
        rules.set_table(self.table)
        rules.set_agents(self.directory().by_service, frozenset())
        gate.set_limits(ServiceLimits(cold_rate=2.0), self.now)
        if reported:
            self.report(name)

    def start_balancer(
        self, name: str, data_centre: str, configured: bool = True
    ) -> None:
        """Start a balancer without hints."""
        board = self.boards[name] = LoadBoard()
        self.routers[name] = PassthroughRouter(
            name,
            data_centre,
            board,
            packets,
            self._log_decision,
            self.mixed_placement,
            SecondOffers(self.offer_limits, self._log_decision),
        )
        if configured:
            self.configure_balancer(name)

    def configure_balancer(self, name: str) -> None:
        """Give a balancer the routes and agents."""
        router = self.routers[name]
        router.set_table(self.table)
        router.set_directory(self.directory(), frozenset())
        self._run_effects(name, router.release_buffered(self.now))

    def directory(self) -> Directory:
        """Return the directory that all nodes have."""
        directory = Directory()
        for entry in self.entries:
            directory.add(entry)
        return directory

    def report(
        self,
        name: str,
        started_ms: int = 1,
        service_known: bool = True,
        **changes: object,
    ) -> bool:
        """Send a backend server's report to its agent; return whether it restarted."""
        entry = next(entry for entry in self.entries if entry.name == name)
        values = {
            "identifier": f"i-{name}",
            "started_ms": started_ms,
            "sequence": next(self._sequences),
            "service": entry.service,
            "data_centre": entry.data_centre,
            "address": name,
            "slots": 3,
            "draining": False,
            "cold_seconds": 0.0,
        }
        values.update(changes)
        self.agents[name].set_slots(values["slots"])
        report = BackendReport(**values)
        restarted = self.gates[name].record_report(report, self.now, service_known)
        self._run_effects(name, self.agents[name].on_backend_report(report, self.now))
        if restarted:
            self._run_effects(name, self.agents[name].on_backend_restarted())
        return restarted

    def admit_queued(self, name: str) -> None:
        """Let an agent admit or refuse queued openings."""
        self._run_effects(name, self.agents[name].admit_queued(self.now))

    def stop_agent(self, name: str) -> None:
        """Stop an agent as at SIGTERM."""
        self._run_effects(name, self.agents[name].stop(self.now))

    def advance(self, seconds: float) -> None:
        """Let time pass, with the periodic checks of all agents that run."""
        end = self.now + seconds
        while self.now < end - CHECK_SECONDS / 2:
            self.now += CHECK_SECONDS
            for name, rules in self.agents.items():
                if name not in self.down:
                    effects = rules.continue_searches(self.now)
                    self._run_effects(name, [*effects, *rules.pop_queued_frames()])

    def register_remotely(self) -> None:
        """Send all queued registrations to agents in other data centres."""
        for name, rules in self.agents.items():
            self._run_effects(name, rules.pop_remote_registrations())

    def report_load(self, balancer: str, name: str, busy: float) -> None:
        """Send a balancer the load of an agent's server."""
        load = LoadReport(True, busy, 0, 3, 0, [])
        self.routers[balancer].on_frame(name, Load(load), self.now)

    def change_table(self, table: RouteTable) -> None:
        """Give all nodes a new route table."""
        self.table = table = table.with_former_services(self.table)
        for router in self.routers.values():
            router.set_table(table)
        for name, rules in self.agents.items():
            rules.set_table(table)
            self._run_effects(name, rules.pop_queued_frames())

    def send(self, balancer: str, data: bytes) -> None:
        """Send a caller's packet to a balancer and run all effects that follow."""
        segment = packets.decode_from_caller(data)
        self._run_effects(balancer, self.routers[balancer].on_caller(segment, self.now))

    def open_flow(self, balancer: str, flow: bytes) -> str:
        """Open a flow; return the name of its backend server, or an empty name."""
        answers_before = len(self.to_caller)
        self.send(balancer, caller_packet(flow, SYN))
        for _, data in self.to_caller[answers_before:]:
            answer = HEADER.unpack_from(data)
            if answer[4] & SYN:
                owner = answer[0] // 1_000_000
                self.send(balancer, caller_packet(flow, ACK, ack=answer[0] + 1))
                return list(self.backends)[owner - 1]
        return ""

    def send_request(self, balancer: str, flow: bytes, owner: str) -> bool:
        """Send a request on a flow; return whether it was answered."""
        ack = self.backends[owner].first_sequence + 1
        answers_before = len(self.to_caller)
        self.send(balancer, caller_packet(flow, ACK, ack=ack, body=b"GET"))
        return any(data.endswith(b"ok") for _, data in self.to_caller[answers_before:])

    def send_requests(self, owner: str) -> None:
        """Send a request on each flow that a backend server holds."""
        for flow in list(self.backends[owner].flows):
            self.send_request(next(iter(self.routers)), flow, owner)

    def was_reset(self, flow: bytes) -> bool:
        """Tell whether one of the nodes has reset a flow at its caller."""
        return any(
            data[14] & RST and packets.decode_from_backend(data).flow == flow
            for _, data in self.to_caller
        )

    def events(self, name: str) -> list[dict]:
        """Return the fields of all decisions of one kind."""
        return [fields for event, fields in self.decisions if event == name]

    def _log_decision(self, event: str, flow: bytes, **fields: object) -> None:
        self.decisions.append((event, {"flow": flow, **fields}))

    def _run_effects(self, name: str, effects: list) -> None:
        queue = [(name, effect) for effect in effects]
        while queue:
            sender, effect = queue.pop(0)
            if type(effect) is ToCaller:
                self.to_caller.append((sender.encode(), effect.data))
            elif type(effect) is ToBackend:
                for data in self.backends[sender].handle_packet(effect.data):
                    segment = packets.decode_from_backend(data)
                    follow_ups = self.agents[sender].on_backend(segment, self.now)
                    queue += [(sender, item) for item in follow_ups]
                    queue += [
                        (sender, x) for x in self.agents[sender].pop_queued_frames()
                    ]
            elif type(effect) is ToPeer and self._reaches(sender, effect.host):
                follow_ups = self._deliver(sender, effect)
                queue += [(effect.host, item) for item in follow_ups]

    def _reaches(self, sender: str, receiver: str) -> bool:
        return receiver not in self.down and (
            frozenset((sender, receiver)) not in self.partitions
        )

    def _deliver(self, sender: str, effect: ToPeer) -> list:
        frame = effect.frame
        self.frame_counts[type(frame).__name__] += 1
        if effect.host in self.routers:
            if isinstance(frame, Owned | Load | Refused):
                return self.routers[effect.host].on_frame(sender, frame, self.now)
            return []
        rules = self.agents[effect.host]
        if type(frame) is Load:
            self.boards[effect.host].record_report(sender, frame.load, self.now)
        elif type(frame) is Registered:
            rules.on_registered(sender, frame.flows, self.now)
        elif type(frame) is Inquiry:
            return rules.on_inquiry(sender, frame.flows, self.now)
        elif type(frame) is Findings:
            return rules.on_findings(sender, frame, self.now)
        elif type(frame) is Forward:
            segment = packets.decode_from_caller(frame.data)
            follow_ups = rules.on_forward(frame, segment, self.now)
            return [*follow_ups, *rules.pop_queued_frames()]
        return []
