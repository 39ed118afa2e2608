"""Outliers: servers that fail what they accept get no new flows for a time."""

from __future__ import annotations

import unittest
from collections import Counter

from nose2.tools import params

from berylturn.connection.placement.outliers import OutlierRules, Standing
from berylturn.platform import packets

from .overload_replay import Replay
from .passthrough_mesh import ACK, RST, START, SYN, backend_packet

SERVERS = 8
SHARE = 0.3
ALLOWED = 2
# The servers fail in this span of the replay; the load is half of what they can process.
FAILS_FROM, FAILS_UNTIL, ENDS_AT = 2.0, 6.0, 14.0
LOAD = 0.5
EJECT = OutlierRules(enabled=True, enforced=True, largest_share=SHARE)
OBSERVE = OutlierRules(enabled=True, enforced=False, largest_share=SHARE)
OFF = OutlierRules()


class FailureReplay(Replay):
    """Replay in which some servers fail what they accept.

    Parameters
    ----------
    kind : str
        How the servers fail.
    failing : int
        Number of servers that fail.
    rules : OutlierRules
        Settings of the agents.
    """

    def __init__(self, kind: str, failing: int, rules: OutlierRules) -> None:
        self.outlier_rules = rules
        self.kind = kind
        self.failed: Counter[str] = Counter()
        self.largest_ejected = 0
        super().__init__(SERVERS, seed=1)
        self.failing = set(list(self.servers)[:failing])
        self.play([(ENDS_AT, LOAD)])

    def fails(self, name: str) -> bool:
        """Tell whether a server fails now."""
        return name in self.failing and (
            FAILS_FROM <= self.now - START < FAILS_UNTIL
        )

    def on_server(self, name: str, data: bytes) -> None:
        """Handle a packet at a backend server, which may fail it."""
        segment = packets.decode_from_caller(data)
        if not self.fails(name) or not (segment.opening or segment.size):
            super().on_server(name, data)
        elif segment.opening and self.kind != "mute":
            self.answer(name, backend_packet(segment.flow, SYN | ACK, 500))
        elif segment.flow in self.flows and not self.fail(name, segment.flow):
            super().on_server(name, data)

    def fail(self, name: str, key: bytes) -> bool:
        """Fail a request or an opening as the kind says; return whether it did."""
        zone_of_caller = self.flows[key][1]
        if (
            self.kind == "slow"
            or (self.kind == "shed" and self.random.random() > 0.5)
            or (self.kind == "one_zone" and zone_of_caller != "f0")
        ):
            return False
        self.failed[name] += 1
        if self.kind in ("reset", "one_zone"):
            self.answer(name, backend_packet(key, RST, 501))
        elif self.kind in ("errors", "busy", "shed"):
            body = b"500" if self.kind == "errors" else b"503"
            self.after(0.0005, lambda: self.finish(name, key, body))
        return True

    def start_work(self, name: str, key: bytes) -> None:
        """Process a request at a backend server, which may be slow."""
        server = self.servers[name]
        speed = server.speed
        if self.kind == "slow" and self.fails(name):
            server.speed /= 6
        super().start_work(name, key)
        server.speed = speed

    def deliver(self, sender: str, effect: object) -> None:
        """Deliver one frame between nodes, and note how many servers are left out."""
        super().deliver(sender, effect)
        self.largest_ejected = max(self.largest_ejected, len(self.ejected))

    @property
    def ejected(self) -> set[str]:
        """Return the servers that are left out now."""
        return {
            name
            for name, rules in self.agents.items()
            if rules.load_report(self.now).ejected_ms
        }

    @property
    def lost(self) -> int:
        """Return the number of requests without an answer in time."""
        return sum(request.answered_at is None for request in self.requests)


class TestKinds(unittest.TestCase):
    def test_print(self) -> None:
        for kind in ("reset", "errors", "busy", "shed", "hang", "mute", "slow", "one_zone"):
            for rules in (OFF, EJECT):
                r = FailureReplay(kind, 2, rules)
                print(kind, rules.enforced, sum(r.failed.values()), r.lost, len(r.requests), r.largest_ejected, r.ejected,
                    {n: a.standing.value for n, a in r.agents.items() if a.standing is not Standing.IN_USE},
                    Counter((e, f["reason"]) for e, f in r.decisions if e.startswith("server_")),
                    r.share_in_aim(2,6), r.share_in_aim(12, 14), max(s.arrivals for s in r.servers.values()) / (sum(s.arrivals for s in r.servers.values())/8), flush=True)
        for n in (4, 5, 6, 8):
            r = FailureReplay("reset", n, EJECT)
            print(n, sum(r.failed.values()), r.lost, r.largest_ejected,
                    Counter((e, f["reason"]) for e, f in r.decisions if e.startswith("server_")), flush=True)
