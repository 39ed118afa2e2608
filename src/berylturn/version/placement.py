"""Placement of new flows: data centre by share, backend server by weight."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import zip_longest

HASH_BYTES = 8
HASH_RANGE = float(1 << (8 * HASH_BYTES))


@dataclass(frozen=True)
class Candidate:
    """One backend server that may get new flows; `weight` is its capacity."""

    name: str
    data_centre: str
    address: tuple[str, int]
    weight: float


@dataclass(frozen=True)
class DataCentreChoice:
    """One data centre of a service with its share and its candidates."""

    name: str
    share: float
    candidates: tuple[Candidate, ...]


@dataclass(frozen=True)
class PlacementTable:
    """Data centres and backend servers for the placement of one service's flows."""

    choices: tuple[DataCentreChoice, ...] = field(default_factory=tuple)

    @property
    def size(self) -> int:
        """Return the number of candidates."""
        return sum(len(choice.candidates) for choice in self.choices)


def place_flow(table: PlacementTable, flow_id: bytes, attempt: int) -> Candidate | None:
    """Return the candidate for one attempt, or None if the table is empty.

    Attempt 0 follows the shares exactly. Each later attempt uses the next candidate,
    in another data centre first, so that a dead candidate or data centre costs one
    retransmission.

    Examples
    --------
    >>> place_flow(PlacementTable(), b"x" * 16, 0) is None
    True
    """
    if not table.choices:
        return None
    if attempt == 0:
        return _place_first_attempt(table, flow_id)
    ranked = rank_candidates(table, flow_id)
    return ranked[attempt % len(ranked)]


def rank_candidates(table: PlacementTable, flow_id: bytes) -> list[Candidate]:
    """Return all candidates in the order in which attempts use them."""
    choices = sorted(
        table.choices, key=lambda c: score_weighted(flow_id, "dc:" + c.name, c.share)
    )
    ranked = [
        sorted(c.candidates, key=lambda s: score_weighted(flow_id, s.name, s.weight))
        for c in choices
    ]
    layers = zip_longest(*ranked)
    return [server for layer in layers for server in layer if server is not None]


def score_weighted(flow_id: bytes, name: str, weight: float) -> float:
    """Return the weighted rendezvous score; the lowest wins.

    Weighted rendezvous hashing after Schindelhauer and Schomaker (2005): the
    chance of the lowest score is proportional to the weight.
    """
    digest = blake2b(name.encode(), key=flow_id, digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (HASH_RANGE + 1)
    return -math.log(uniform) / weight


def _place_first_attempt(table: PlacementTable, flow_id: bytes) -> Candidate:
    choices = table.choices
    choice = choices[0]
    if len(choices) > 1:
        choice = min(
            choices, key=lambda c: score_weighted(flow_id, "dc:" + c.name, c.share)
        )
    return min(
        choice.candidates, key=lambda s: score_weighted(flow_id, s.name, s.weight)
    )
