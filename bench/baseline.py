"""Daemons with baseline placement policies, for comparison only.

The environment variable BERYLTURN_BASELINE selects the policy; the daemons have no such
setting.
"""

from __future__ import annotations

import itertools
import os
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from berylturn import daemon
from berylturn.connection import opening, router, siblings
from berylturn.connection.packets import Open
from berylturn.version.placement import (
    Candidate,
    PlacementTable,
    rank_candidates,
    score_weighted,
)

POLICY_VARIABLE = "BERYLTURN_BASELINE"

PlacementRule = Callable[[PlacementTable, bytes, int], Candidate | None]


def list_candidates(table: PlacementTable) -> list[Candidate]:
    """Return all candidates of a service in a fixed order."""
    return [candidate for choice in table.choices for candidate in choice.candidates]


def make_random_rule() -> PlacementRule:
    """Return a rule that chooses a random backend server."""
    random_source = random.Random(1)

    def place(table: PlacementTable, _flow: bytes, _attempt: int) -> Candidate | None:
        candidates = list_candidates(table)
        return random_source.choice(candidates) if candidates else None

    return place


def make_round_robin_rule() -> PlacementRule:
    """Return a rule that chooses the backend servers in turn."""
    counter = itertools.count()

    def place(table: PlacementTable, _flow: bytes, _attempt: int) -> Candidate | None:
        candidates = list_candidates(table)
        return candidates[next(counter) % len(candidates)] if candidates else None

    return place


def make_least_used_rule() -> PlacementRule:
    """Return a rule that chooses the server that this balancer chose least often."""
    placed_flows: Counter[str] = Counter()

    def place(table: PlacementTable, _flow: bytes, _attempt: int) -> Candidate | None:
        candidates = list_candidates(table)
        if not candidates:
            return None
        least_used = min(candidates, key=lambda c: placed_flows[c.name])
        placed_flows[least_used.name] += 1
        return least_used

    return place


def make_weighted_rule() -> PlacementRule:
    """Return the product's rule; agents just pass no flows on to others."""

    def place(table: PlacementTable, flow: bytes, attempt: int) -> Candidate | None:
        ranked = rank_candidates(table, flow) if table.choices else []
        return ranked[attempt % len(ranked)] if ranked else None

    return place


def install_packet_hashing() -> None:
    """Route each packet by a hash of its flow over the current candidates."""
    original_route_packet = router.route_packet

    def route_by_hash(data, view, keys):
        original_route = original_route_packet(data, view, keys)
        if not isinstance(original_route, router.Forward):
            return original_route
        packet = router.decode_from_caller(data)
        token = router.verify_token(packet.token, keys)
        table = view.table(token.service)
        candidates = list_candidates(table) if table else []
        if not candidates or isinstance(packet, Open):
            return original_route
        best = min(candidates, key=lambda c: score_weighted(token.flow_id, c.name, 1.0))
        return router.Forward(best.address)

    def place_by_hash(
        table: PlacementTable, flow: bytes, _attempt: int
    ) -> Candidate | None:
        candidates = list_candidates(table)
        if not candidates:
            return None
        return min(candidates, key=lambda c: score_weighted(flow, c.name, 1.0))

    router.route_packet = route_by_hash
    router.place_flow = place_by_hash


def install_two_choices() -> None:
    """Let agents pass flows on to the less loaded of two random siblings."""
    random_source = random.Random(1)

    def choose_sibling(
        self, service, flows, weight, would_refuse, visited, data_centres, now
    ):
        fresh = self._fresh_reports(service, data_centres, now)
        names = [name for name in fresh if name not in visited]
        pair = random_source.sample(names, min(2, len(names)))
        if not pair:
            return None
        best = min(
            pair, key=lambda name: fresh[name].digest.flows / fresh[name].digest.weight
        )
        sibling_load = (fresh[best].digest.flows + 1) / fresh[best].digest.weight
        if not would_refuse and sibling_load >= flows / weight:
            return None
        return self.members[best] if self._budget.spend() else None

    siblings.Siblings.choose_sibling = choose_sibling


def install_least_running() -> None:
    """Let agents compare running and queued requests instead of open flows."""
    make_original_digest = opening.OpeningRules.make_load_digest
    choose_original_sibling = siblings.Siblings.choose_sibling

    def make_load_digest(self):
        digest = make_original_digest(self)
        load = digest.running + digest.queued
        self.siblings.record_own_digest(load)
        return msgspec.structs.replace(digest, flows=load)

    def choose_by_load(self, service, _flows, *arguments, **options):
        return choose_original_sibling(
            self, service, self._reported_flows, *arguments, **options
        )

    opening.OpeningRules.make_load_digest = make_load_digest
    opening.OpeningRules.digest_is_stale = False
    siblings.Siblings.choose_sibling = choose_by_load


PLACEMENT_RULES = {
    "random": make_random_rule,
    "round-robin": make_round_robin_rule,
    "least-local": make_least_used_rule,
    "no-passing": make_weighted_rule,
}


SIBLING_RULES = {
    "two-choices": install_two_choices,
    "least-running": install_least_running,
}


def install_policy(policy: str) -> None:
    """Replace the product's rules by those of a baseline policy."""
    if policy in SIBLING_RULES:
        SIBLING_RULES[policy]()
        return
    siblings.Siblings.choose_sibling = lambda *_args, **_kwargs: None
    if policy == "hash-no-token":
        install_packet_hashing()
    else:
        router.place_flow = PLACEMENT_RULES[policy]()


if __name__ == "__main__":
    install_policy(os.environ[POLICY_VARIABLE])
    daemon.main()
