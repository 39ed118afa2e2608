"""Gossip membership of balancers and agents, free of I/O.

After SWIM (Das, Gupta, Motivala, 2002): random probes, indirect probes,
suspicion that the suspect can refute with a higher epoch, and updates that
ride on probes. Agents are watched by the balancers that they announce to.
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
    """Ask the owner of the socket to send one frame."""

    address: tuple[str, int]
    frame: Frame


@dataclass
class _Pending:
    target: str
    sent_at: float
    indirect: bool = False
    origin: tuple[str, int] | None = None
    origin_sequence: int = 0


class Membership:
    """Merge what is heard about members and probe some of them.

    Parameters
    ----------
    me : MemberState
        This node.
    now : float
        Seconds on the monotonic clock.
    seed : int
        Seed of the choice of probe targets.
    """

    def __init__(self, me: MemberState, now: float, seed: int) -> None:
        self._me = me
        self._members: dict[str, MemberState] = {me.name: me}
        self._changed_at: dict[str, float] = {me.name: now}
        self._transmits: dict[str, int] = {}
        self._heard: dict[str, tuple[float, float]] = {}
        self._pending: dict[int, _Pending] = {}
        self._sequence = 0
        self._next_probe = now
        self._next_dead_probe = now + DEAD_PROBE_SECONDS
        self._queue: list[str] = []
        self._random = random.Random(seed)
        self._changes: list[MemberState] = []
        self._suspects: set[str] = set()
        self._tombstones: set[str] = set()
        self._alive_balancers: dict[str, list[MemberState]] | None = None
        self._sums = [0] * BUCKETS
        self._toggle(me)
        self.config_digest = b""

    @property
    def me(self) -> MemberState:
        """Return this node's own state."""
        return self._me

    @property
    def members(self) -> dict[str, MemberState]:
        """Return all known members by name, tombstones included."""
        return self._members

    def live(self, role: Role) -> list[MemberState]:
        """Return the members of one role that are not dead or gone."""
        return [
            m
            for m in self._members.values()
            if m.role == role and m.status not in (Status.DEAD, Status.LEFT)
        ]

    def alive_balancers(self) -> dict[str, list[MemberState]]:
        """Return the balancers that are well, by data centre, in order of name."""
        if self._alive_balancers is None:
            found: dict[str, list[MemberState]] = {}
            for member in sorted(self.live(Role.BALANCER), key=lambda m: m.name):
                if member.status == Status.ALIVE:
                    found.setdefault(member.data_centre, []).append(member)
            self._alive_balancers = found
        return self._alive_balancers

    @property
    def has_updates(self) -> bool:
        """Tell whether changes wait to be passed on."""
        return bool(self._transmits)

    def take_changes(self) -> list[MemberState]:
        """Return and forget the members that changed since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def set_status(self, status: Status, now: float) -> None:
        """Change this node's own status under a new epoch."""
        self._set_me(status, self._me.epoch + 1, now)

    def merge(self, states: Iterable[MemberState], now: float) -> None:
        """Keep what is newer; refute what is said wrongly of this node."""
        for state in states:
            if state.name == self._me.name:
                self._refute(state, now)
            elif _is_newer(state, self._members.get(state.name)):
                self._keep(state, now)

    def on_announce(self, state: MemberState, period: float, now: float) -> MemberState:
        """Note that an agent announced itself; return what is known of it."""
        self._heard[state.name] = (now, period)
        self.merge([state], now)
        return self._members[state.name]

    def digest(self) -> bytes:
        """Return a short digest of all members."""
        total = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for value in self._sums:
            total.update(value.to_bytes(DIGEST_BYTES))
        return total.digest()

    def bucket_digests(self) -> list[int]:
        """Return one 64-bit digest for each bucket of names."""
        return list(self._sums)

    def bucket_members(self, buckets: set[int]) -> list[MemberState]:
        """Return the members whose names fall in `buckets`."""
        return [m for m in self._members.values() if bucket_of(m.name) in buckets]

    def tick(self, now: float) -> list[Send]:
        """Return the frames that are due now."""
        sends = self._check_pending(now)
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
        """Answer a probe, or pass it on when it is for another member."""
        self.merge([ping.sender, *ping.updates], now)
        if ping.target and ping.target != self._me.name:
            return self._relay_probe(ping, source, now)
        ack = self._ack(ping.sequence)
        believed = self._members[ping.sender.name]
        if believed.status >= Status.SUSPECT:
            ack = _with_update(ack, believed)
        return [Send(source, ack)]

    def on_ack(self, ack: GossipAck, now: float) -> list[Send]:
        """Take the answer to a probe."""
        self.merge([ack.sender, *ack.updates], now)
        pending = self._pending.pop(ack.sequence, None)
        if pending is None or pending.origin is None:
            return []
        return [Send(pending.origin, self._ack(pending.origin_sequence, ack.sender))]

    def leave(self, now: float) -> list[Send]:
        """Tell some members that this node leaves on purpose."""
        self.set_status(Status.LEFT, now)
        targets = self._live_balancers()
        self._random.shuffle(targets)
        return [Send(m.address, self._ping()) for m in targets[:3]]

    def _set_me(self, status: Status, epoch: int, now: float) -> None:
        self._me = replace(self._me, epoch=epoch, status=status)
        self._keep(self._me, now)

    def _refute(self, state: MemberState, now: float) -> None:
        stale = (state.epoch, state.status) <= (self._me.epoch, self._me.status)
        if not stale:
            self._set_me(Status(self._me.status), state.epoch + 1, now)

    def _keep(self, state: MemberState, now: float) -> None:
        known = self._members.get(state.name)
        if known is not None:
            self._toggle(known)
        self._toggle(state)
        self._members[state.name] = state
        if state.role == Role.BALANCER:
            self._alive_balancers = None
        self._file(state)
        self._changed_at[state.name] = now
        count = RETRANSMIT_FACTOR * math.ceil(math.log10(len(self._members) + 1) + 1)
        self._transmits[state.name] = count
        self._changes.append(state)

    def _suspect(self, name: str, now: float) -> None:
        state = self._members.get(name)
        if state is not None and state.status < Status.SUSPECT:
            self._keep(_with_status(state, Status.SUSPECT), now)

    def _check_agents(self, now: float) -> None:
        for name, (heard_at, period) in list(self._heard.items()):
            if now - heard_at > MISSED_ANNOUNCES * period:
                del self._heard[name]
                self._suspect(name, now)

    def _toggle(self, state: MemberState) -> None:
        self._sums[bucket_of(state.name)] ^= _fingerprint(state)

    def _file(self, state: MemberState) -> None:
        self._suspects.discard(state.name)
        self._tombstones.discard(state.name)
        if state.status == Status.SUSPECT:
            self._suspects.add(state.name)
        elif state.status >= Status.DEAD:
            self._tombstones.add(state.name)

    def _check_suspects(self, now: float) -> None:
        for name in list(self._suspects):
            if now - self._changed_at[name] > SUSPECT_SECONDS:
                self._keep(_with_status(self._members[name], Status.DEAD), now)

    def _drop_tombstones(self, now: float) -> None:
        for name in list(self._tombstones):
            if now - self._changed_at[name] > TOMBSTONE_SECONDS:
                self._tombstones.discard(name)
                self._toggle(self._members.pop(name))
                del self._changed_at[name]
                self._transmits.pop(name, None)

    def _check_pending(self, now: float) -> list[Send]:
        sends = []
        for sequence, pending in list(self._pending.items()):
            age = now - pending.sent_at
            if pending.origin is not None:
                if age > PROBE_SECONDS:
                    del self._pending[sequence]
            elif age > 2 * ACK_SECONDS:
                del self._pending[sequence]
                self._suspect(pending.target, now)
            elif age > ACK_SECONDS and not pending.indirect:
                pending.indirect = True
                sends += self._probe_indirectly(sequence, pending.target)
        return sends

    def _probe_next(self, now: float) -> list[Send]:
        target = self._next_target()
        if target is None:
            return []
        self._sequence += 1
        self._pending[self._sequence] = _Pending(target.name, now)
        return [Send(target.address, self._ping())]

    def _probe_dead(self) -> list[Send]:
        """Ping one dead balancer, in case only the network was cut.

        The ping carries what is believed of it, so that it can refute that.
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
            if not self._queue:
                self._queue = [m.name for m in self._live_balancers()]
                self._random.shuffle(self._queue)
                if not self._queue:
                    return None
            member = self._members.get(self._queue.pop())
            if member is not None and member.status < Status.DEAD:
                return member

    def _probe_indirectly(self, sequence: int, target: str) -> list[Send]:
        helpers = [m for m in self._live_balancers() if m.name != target]
        self._random.shuffle(helpers)
        ping = self._ping(sequence, target)
        return [Send(m.address, ping) for m in helpers[:INDIRECT_PROBES]]

    def _relay_probe(
        self, ping: GossipPing, source: tuple[str, int], now: float
    ) -> list[Send]:
        target = self._members.get(ping.target)
        if target is None:
            return []
        self._sequence += 1
        self._pending[self._sequence] = _Pending(
            ping.target, now, origin=source, origin_sequence=ping.sequence
        )
        return [Send(target.address, self._ping())]

    def _live_balancers(self) -> list[MemberState]:
        groups = self.alive_balancers().values()
        suspects = map(self._members.__getitem__, sorted(self._suspects))
        found = [m for group in groups for m in group]
        found += [m for m in suspects if m.role == Role.BALANCER]
        return [m for m in found if m.name != self._me.name]

    def _ping(self, sequence: int | None = None, target: str = "") -> GossipPing:
        return GossipPing(
            self._sequence if sequence is None else sequence,
            self._me,
            self._take_updates(),
            self.config_digest,
            self.digest(),
            target,
        )

    def _ack(self, sequence: int, sender: MemberState | None = None) -> GossipAck:
        return GossipAck(
            sequence,
            sender or self._me,
            self._take_updates(),
            self.config_digest,
            self.digest(),
        )

    def _take_updates(self) -> list[MemberState]:
        names = sorted(self._transmits, key=self._transmits.__getitem__, reverse=True)
        chosen = names[:MAX_UPDATES]
        for name in chosen:
            self._transmits[name] -= 1
            if self._transmits[name] <= 0:
                del self._transmits[name]
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
