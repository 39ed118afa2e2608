"""Gossip membership of balancers and agents, without I/O.

After SWIM (Das, Gupta, Motivala, 2002): random probes, indirect probes, suspicion that
the suspect can refute with a higher epoch, and updates piggybacked on probes. Agents
are not probed: the balancers to which they announce themselves detect their failure.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from msgspec.structs import replace

from ..connection.frames import Frame, GossipAck, GossipPing
from ..domain import MemberState, Role, Status
from ..version.objects import BUCKETS, DIGEST_BYTES, bucket_of

PROBE_SECONDS = 1.0
DEAD_PROBE_SECONDS = 5.0
ACK_SECONDS = 0.4
INDIRECT_PROBES = 2
SUSPECT_SECONDS = 4.0
MISSED_ANNOUNCES = 3
TOMBSTONE_SECONDS = 86_400.0
MAX_UPDATES = 6
RETRANSMIT_FACTOR = 3


@dataclass(frozen=True)
class Send:
    """One frame that the owner of the socket is to send."""

    address: tuple[str, int]
    frame: Frame


@dataclass
class _PendingProbe:
    target: str
    sent_at: float
    indirect: bool = False
    requester: tuple[str, int] | None = None
    requester_sequence: int = 0


class Membership:
    """Merge reported states of members and probe balancers.

    Parameters
    ----------
    local_member : MemberState
        State of this node.
    now : float
        Seconds on the monotonic clock.
    seed : int
        Seed of the random choice of probe targets.
    """

    def __init__(self, local_member: MemberState, now: float, seed: int) -> None:
        self._local_member = local_member
        self._members: dict[str, MemberState] = {local_member.name: local_member}
        self._changed_at: dict[str, float] = {local_member.name: now}
        self._transmits_left: dict[str, int] = {}
        self._last_announce: dict[str, tuple[float, float]] = {}
        self._pending_probes: dict[int, _PendingProbe] = {}
        self._sequence = 0
        self._next_probe = now
        self._next_dead_probe = now + DEAD_PROBE_SECONDS
        self._probe_order: list[str] = []
        self._random = random.Random(seed)
        self._changes: list[MemberState] = []
        self._suspects: set[str] = set()
        self._tombstones: set[str] = set()
        self._alive_balancers: dict[str, list[MemberState]] | None = None
        self._bucket_digests = [0] * BUCKETS
        self._toggle_in_digest(local_member)
        self.config_digest = b""

    @property
    def local_member(self) -> MemberState:
        """Return this node's own state."""
        return self._local_member

    @property
    def members(self) -> dict[str, MemberState]:
        """Return all known members by name, tombstones included."""
        return self._members

    def live(self, role: Role) -> list[MemberState]:
        """Return the members of one role that are neither dead nor left."""
        return [
            m
            for m in self._members.values()
            if m.role == role and m.status not in (Status.DEAD, Status.LEFT)
        ]

    def alive_balancers(self) -> dict[str, list[MemberState]]:
        """Return the balancers with status ALIVE by data centre, sorted by name."""
        if self._alive_balancers is None:
            balancers: dict[str, list[MemberState]] = {}
            for member in sorted(self.live(Role.BALANCER), key=lambda m: m.name):
                if member.status == Status.ALIVE:
                    balancers.setdefault(member.data_centre, []).append(member)
            self._alive_balancers = balancers
        return self._alive_balancers

    @property
    def has_updates(self) -> bool:
        """Tell whether there are updates to send to other members."""
        return bool(self._transmits_left)

    def pop_changes(self) -> list[MemberState]:
        """Return and clear the states that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def set_status(self, status: Status, now: float) -> None:
        """Change this node's own status and increase its epoch."""
        self._set_own_state(status, self._local_member.epoch + 1, now)

    def merge(self, states: Iterable[MemberState], now: float) -> None:
        """Store newer states; refute a wrong state of this node."""
        for state in states:
            if state.name == self._local_member.name:
                self._refute(state, now)
            elif _is_newer(state, self._members.get(state.name)):
                self._store_state(state, now)

    def on_announce(self, state: MemberState, period: float, now: float) -> MemberState:
        """Record an agent's announcement; return the agent's newest known state."""
        self._last_announce[state.name] = (now, period)
        self.merge([state], now)
        return self._members[state.name]

    def digest(self) -> bytes:
        """Return a short digest of all members."""
        digest_hash = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for value in self._bucket_digests:
            digest_hash.update(value.to_bytes(DIGEST_BYTES))
        return digest_hash.digest()

    def bucket_digests(self) -> list[int]:
        """Return one 64-bit digest for each bucket of names."""
        return list(self._bucket_digests)

    def bucket_members(self, buckets: set[int]) -> list[MemberState]:
        """Return the members whose names fall in `buckets`."""
        return [m for m in self._members.values() if bucket_of(m.name) in buckets]

    def tick(self, now: float) -> list[Send]:
        """Return the frames that are due now."""
        sends = self._check_probes(now)
        self._check_agents(now)
        self._check_suspects(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_SECONDS
            self._drop_tombstones(now)
            sends += self._probe_next(now)
        if now >= self._next_dead_probe:
            self._next_dead_probe = now + DEAD_PROBE_SECONDS
            sends += self._probe_dead()
        return sends

    def on_ping(
        self, ping: GossipPing, source: tuple[str, int], now: float
    ) -> list[Send]:
        """Acknowledge a probe, or relay one that is for another member."""
        self.merge([ping.sender, *ping.updates], now)
        if ping.target and ping.target != self._local_member.name:
            return self._relay_probe(ping, source, now)
        ack = self._ack(ping.sequence)
        recorded = self._members[ping.sender.name]
        if recorded.status >= Status.SUSPECT:
            ack = _with_update(ack, recorded)
        return [Send(source, ack)]

    def on_ack(self, ack: GossipAck, now: float) -> list[Send]:
        """Handle a probe's acknowledgement; forward that of a relayed probe."""
        self.merge([ack.sender, *ack.updates], now)
        pending = self._pending_probes.pop(ack.sequence, None)
        if pending is None or pending.requester is None:
            return []
        return [
            Send(pending.requester, self._ack(pending.requester_sequence, ack.sender))
        ]

    def leave(self, now: float) -> list[Send]:
        """Set status LEFT; return pings that tell some balancers of it."""
        self.set_status(Status.LEFT, now)
        targets = self._live_balancers()
        self._random.shuffle(targets)
        return [Send(m.address, self._ping()) for m in targets[:3]]

    def _set_own_state(self, status: Status, epoch: int, now: float) -> None:
        self._local_member = replace(self._local_member, epoch=epoch, status=status)
        self._store_state(self._local_member, now)

    def _refute(self, state: MemberState, now: float) -> None:
        stale = (state.epoch, state.status) <= (
            self._local_member.epoch,
            self._local_member.status,
        )
        if not stale:
            self._set_own_state(Status(self._local_member.status), state.epoch + 1, now)

    def _store_state(self, state: MemberState, now: float) -> None:
        known = self._members.get(state.name)
        if known is not None:
            self._toggle_in_digest(known)
        self._toggle_in_digest(state)
        self._members[state.name] = state
        if state.role == Role.BALANCER:
            self._alive_balancers = None
        self._index_status(state)
        self._changed_at[state.name] = now
        transmits = RETRANSMIT_FACTOR * math.ceil(
            math.log10(len(self._members) + 1) + 1
        )
        self._transmits_left[state.name] = transmits
        self._changes.append(state)

    def _mark_suspect(self, name: str, now: float) -> None:
        state = self._members.get(name)
        if state is not None and state.status < Status.SUSPECT:
            self._store_state(_with_status(state, Status.SUSPECT), now)

    def _check_agents(self, now: float) -> None:
        for name, (announced_at, period) in list(self._last_announce.items()):
            if now - announced_at > MISSED_ANNOUNCES * period:
                del self._last_announce[name]
                self._mark_suspect(name, now)

    def _toggle_in_digest(self, state: MemberState) -> None:
        self._bucket_digests[bucket_of(state.name)] ^= _fingerprint(state)

    def _index_status(self, state: MemberState) -> None:
        self._suspects.discard(state.name)
        self._tombstones.discard(state.name)
        if state.status == Status.SUSPECT:
            self._suspects.add(state.name)
        elif state.status >= Status.DEAD:
            self._tombstones.add(state.name)

    def _check_suspects(self, now: float) -> None:
        for name in list(self._suspects):
            if now - self._changed_at[name] > SUSPECT_SECONDS:
                self._store_state(_with_status(self._members[name], Status.DEAD), now)

    def _drop_tombstones(self, now: float) -> None:
        for name in list(self._tombstones):
            if now - self._changed_at[name] > TOMBSTONE_SECONDS:
                self._tombstones.discard(name)
                self._toggle_in_digest(self._members.pop(name))
                del self._changed_at[name]
                self._transmits_left.pop(name, None)

    def _check_probes(self, now: float) -> list[Send]:
        sends = []
        for sequence, pending in list(self._pending_probes.items()):
            age = now - pending.sent_at
            if pending.requester is not None:
                if age > PROBE_SECONDS:
                    del self._pending_probes[sequence]
            elif age > 2 * ACK_SECONDS:
                del self._pending_probes[sequence]
                self._mark_suspect(pending.target, now)
            elif age > ACK_SECONDS and not pending.indirect:
                pending.indirect = True
                sends += self._probe_indirectly(sequence, pending.target)
        return sends

    def _probe_next(self, now: float) -> list[Send]:
        target = self._next_target()
        if target is None:
            return []
        self._sequence += 1
        self._pending_probes[self._sequence] = _PendingProbe(target.name, now)
        return [Send(target.address, self._ping())]

    def _probe_dead(self) -> list[Send]:
        """Ping one dead balancer, in case only the network failed.

        The ping carries the recorded state of the target, so that it can refute it.
        """
        dead = [
            m
            for m in map(self._members.__getitem__, sorted(self._tombstones))
            if m.role == Role.BALANCER and m.status == Status.DEAD
        ]
        if not dead:
            return []
        target = self._random.choice(dead)
        ping = self._ping(sequence=0)
        return [Send(target.address, _with_update(ping, target))]

    def _next_target(self) -> MemberState | None:
        while True:
            if not self._probe_order:
                self._probe_order = [m.name for m in self._live_balancers()]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.status < Status.DEAD:
                return member

    def _probe_indirectly(self, sequence: int, target: str) -> list[Send]:
        proxies = [m for m in self._live_balancers() if m.name != target]
        self._random.shuffle(proxies)
        ping = self._ping(sequence, target)
        return [Send(m.address, ping) for m in proxies[:INDIRECT_PROBES]]

    def _relay_probe(
        self, ping: GossipPing, source: tuple[str, int], now: float
    ) -> list[Send]:
        target = self._members.get(ping.target)
        if target is None:
            return []
        self._sequence += 1
        self._pending_probes[self._sequence] = _PendingProbe(
            ping.target, now, requester=source, requester_sequence=ping.sequence
        )
        return [Send(target.address, self._ping())]

    def _live_balancers(self) -> list[MemberState]:
        groups = self.alive_balancers().values()
        suspects = map(self._members.__getitem__, sorted(self._suspects))
        balancers = [m for group in groups for m in group]
        balancers += [m for m in suspects if m.role == Role.BALANCER]
        return [m for m in balancers if m.name != self._local_member.name]

    def _ping(self, sequence: int | None = None, target: str = "") -> GossipPing:
        return GossipPing(
            self._sequence if sequence is None else sequence,
            self._local_member,
            self._pop_updates(),
            self.config_digest,
            self.digest(),
            target,
        )

    def _ack(self, sequence: int, sender: MemberState | None = None) -> GossipAck:
        return GossipAck(
            sequence,
            sender or self._local_member,
            self._pop_updates(),
            self.config_digest,
            self.digest(),
        )

    def _pop_updates(self) -> list[MemberState]:
        names = sorted(
            self._transmits_left, key=self._transmits_left.__getitem__, reverse=True
        )
        chosen = names[:MAX_UPDATES]
        for name in chosen:
            self._transmits_left[name] -= 1
            if self._transmits_left[name] <= 0:
                del self._transmits_left[name]
        return [self._members[name] for name in chosen]


def _with_update(
    frame: GossipPing | GossipAck, state: MemberState
) -> GossipPing | GossipAck:
    return replace(frame, updates=[state, *frame.updates])


def _fingerprint(state: MemberState) -> int:
    data = f"{state.name}\0{state.epoch}\0{state.status}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest())


def _is_newer(state: MemberState, known: MemberState | None) -> bool:
    if known is None:
        return True
    return (state.epoch, state.status) > (known.epoch, known.status)


def _with_status(state: MemberState, status: Status) -> MemberState:
    return replace(state, status=status)
