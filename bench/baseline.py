"""Daemons with baseline placement policies, for comparison only.

The policy is read from the environment; the product has no such switch.
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

VARIABLE = "BERYLTURN_BASELINE"

Place = Callable[[PlacementTable, bytes, int], Candidate | None]


def list_candidates(table: PlacementTable) -> list[Candidate]:
    """Return all candidates of a service in a fixed order."""
    return [c for choice in table.choices for c in choice.candidates]


def place_random() -> Place:
    """Return a rule that picks any backend server."""
    source = random.Random(1)

    def place(table: PlacementTable, _flow: bytes, _attempt: int) -> Candidate | None:
        found = list_candidates(table)
        return source.choice(found) if found else None

    return place


def place_round_robin() -> Place:
    """Return a rule that takes backend servers in turn."""
    counter = itertools.count()

    def place(table: PlacementTable, _flow: bytes, _attempt: int) -> Candidate | None:
        found = list_candidates(table)
        return found[next(counter) % len(found)] if found else None

    return place


def place_least_local() -> Place:
    """Return a rule that picks the server this balancer has used least."""
    placed: Counter[str] = Counter()

    def place(table: PlacementTable, _flow: bytes, _attempt: int) -> Candidate | None:
        found = list_candidates(table)
        if not found:
            return None
        best = min(found, key=lambda c: placed[c.name])
        placed[best.name] += 1
        return best

    return place


def place_weighted() -> Place:
    """Return the product's rule; with it, only passing on is switched off."""

    def place(table: PlacementTable, flow: bytes, attempt: int) -> Candidate | None:
        ranked = rank_candidates(table, flow) if table.choices else []
        return ranked[attempt % len(ranked)] if ranked else None

    return place


def hash_every_packet() -> None:
    """Route every packet by a hash of its flow over the present servers."""
    routed = router.route_packet

    def route(data, view, keys):
        found = routed(data, view, keys)
        if not isinstance(found, router.Forward):
            return found
        packet = router.decode_from_caller(data)
        token = router.verify_token(packet.token, keys)
        table = view.table(token.service)
        candidates = list_candidates(table) if table else []
        if not candidates or isinstance(packet, Open):
            return found
        best = min(candidates, key=lambda c: score_weighted(token.flow_id, c.name, 1.0))
        return router.Forward(best.address)

    def place(table: PlacementTable, flow: bytes, _attempt: int) -> Candidate | None:
        found = list_candidates(table)
        if not found:
            return None
        return min(found, key=lambda c: score_weighted(flow, c.name, 1.0))

    router.route_packet = route
    router.place_flow = place


def pass_to_better_of_two() -> None:
    """Let agents pass flows on to the better of two random siblings."""
    source = random.Random(1)

    def choose_sibling(self, service, flows, weight, full, visited, data_centres, now):
        fresh = self._fresh_reports(service, data_centres, now)
        names = [name for name in fresh if name not in visited]
        pair = source.sample(names, min(2, len(names)))
        if not pair:
            return None
        best = min(pair, key=lambda n: fresh[n].digest.flows / fresh[n].digest.weight)
        theirs = (fresh[best].digest.flows + 1) / fresh[best].digest.weight
        if not full and theirs >= flows / weight:
            return None
        return self.members[best] if self._budget.spend() else None

    siblings.Siblings.choose_sibling = choose_sibling


def pass_by_running_requests() -> None:
    """Let agents compare requests that run and wait instead of open flows."""
    digest_of = opening.OpeningRules.make_load_digest
    choose = siblings.Siblings.choose_sibling

    def make_load_digest(self):
        digest = digest_of(self)
        load = digest.running + digest.queued
        self.siblings.record_own_digest(load)
        return msgspec.structs.replace(digest, flows=load)

    def choose_by_load(self, service, _flows, *arguments, **options):
        return choose(self, service, self._reported_flows, *arguments, **options)

    opening.OpeningRules.make_load_digest = make_load_digest
    opening.OpeningRules.digest_is_stale = False
    siblings.Siblings.choose_sibling = choose_by_load


PLACEMENTS = {
    "random": place_random,
    "round-robin": place_round_robin,
    "least-local": place_least_local,
    "no-passing": place_weighted,
}


PASSING = {
    "two-choices": pass_to_better_of_two,
    "least-running": pass_by_running_requests,
}


def install(policy: str) -> None:
    """Replace the product's rules by those of a baseline."""
    if policy in PASSING:
        PASSING[policy]()
        return
    siblings.Siblings.choose_sibling = lambda *_args, **_kwargs: None
    if policy == "hash-no-token":
        hash_every_packet()
    else:
        router.place_flow = PLACEMENTS[policy]()


if __name__ == "__main__":
    install(os.environ[VARIABLE])
    daemon.main()
