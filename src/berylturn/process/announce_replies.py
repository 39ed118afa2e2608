"""Replies to announcements of agents: balancers, siblings and configuration."""

from __future__ import annotations

import hashlib

import msgspec

from ..connection.frames import Announce, AnnounceAck
from ..domain import ConfigObject, MemberState
from ..version.view import View
from .membership import Membership

MAX_BALANCERS = 8
MAX_SIBLINGS = 8
DIGEST_BYTES = 8


def answer_announce(
    announce: Announce, membership: Membership, view: View, now: float
) -> AnnounceAck:
    """Record an agent's announcement and return the acknowledgement."""
    membership.on_announce(announce.member, announce.period_ms / 1000, now)
    return build_announce_ack(announce, membership, view)


def build_announce_ack(
    announce: Announce, membership: Membership, view: View
) -> AnnounceAck:
    """Return the acknowledgement, without content that the agent already has."""
    agent = announce.member
    known = membership.members.get(agent.name, agent)
    balancers = choose_balancers(membership, agent)
    siblings = choose_siblings(view, agent.name)
    objects = view.objects_for_agent(agent.name, agent.data_centre, announce.selectors)
    digest = digest_reply(balancers, siblings, objects)
    if digest == announce.known_digest:
        balancers, siblings, objects = [], [], []
    return AnnounceAck(
        announce.sequence,
        known.status,
        known.epoch,
        digest,
        balancers,
        siblings,
        objects,
    )


def choose_balancers(membership: Membership, agent: MemberState) -> list[MemberState]:
    """Return up to `MAX_BALANCERS`, those of the agent's data centre first."""
    groups = membership.alive_balancers()
    own_centre = groups.get(agent.data_centre, [])
    chosen = _take_from_ring(own_centre, agent.name, MAX_BALANCERS)
    for centre in sorted(groups):
        if len(chosen) >= MAX_BALANCERS:
            break
        if centre != agent.data_centre:
            missing = MAX_BALANCERS - len(chosen)
            chosen += _take_from_ring(groups[centre], agent.name, missing)
    return chosen


def choose_siblings(view: View, server: str) -> list[MemberState]:
    """Return up to `MAX_SIBLINGS` agents of the same services.

    They are the nearest to `server` in the ring of names.
    """
    names = set()
    for service in view.services_of(server):
        names |= view.services[service].servers
    names.discard(server)
    ordered = sorted(name for name in names if name in view.agents)
    start = sum(name < server for name in ordered)
    ring = ordered[start:] + ordered[:start]
    half = MAX_SIBLINGS // 2
    chosen = ring if len(ring) <= MAX_SIBLINGS else ring[:half] + ring[-half:]
    return [view.agents[name] for name in chosen]


def digest_reply(
    balancers: list[MemberState],
    siblings: list[MemberState],
    objects: list[ConfigObject],
) -> bytes:
    """Return a short digest of the content of an acknowledgement."""
    versions = [(item.name, item.version) for item in objects]
    content = msgspec.msgpack.encode((balancers, siblings, versions))
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def _take_from_ring(
    members: list[MemberState], agent: str, count: int
) -> list[MemberState]:
    """Return up to `count` members, starting at a hash of the agent's name."""
    if not members:
        return []
    digest = hashlib.blake2b(agent.encode(), digest_size=DIGEST_BYTES).digest()
    start = int.from_bytes(digest) % len(members)
    return (members[start:] + members[:start])[:count]
