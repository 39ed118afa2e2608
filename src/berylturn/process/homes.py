"""The balancers that an agent announces itself to, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..domain import MemberState

Address = tuple[str, int]

HOMES = 2
MAX_MISSES = 2


@dataclass
class _Home:
    address: Address
    next_due: float
    waiting: set[int] = field(default_factory=set)
    acknowledged: int = 0
    misses: int = 0
    known: bytes = b""


class Homes:
    """Choose a few balancers, and replace those that do not answer.

    Parameters
    ----------
    seeds : list of tuple of str and int
        Balancers known from the settings.
    period : float
        Seconds between announcements to one balancer.
    """

    def __init__(self, seeds: list[Address], period: float) -> None:
        self._seeds = list(seeds)
        self._known: list[Address] = []
        self._period = period
        self._homes: list[_Home] = []
        self._sequence = 0
        self._cursor = 0
        self._failures = 0

    @property
    def period(self) -> float:
        """Return the seconds between announcements to one balancer."""
        return self._period

    @property
    def addresses(self) -> list[Address]:
        """Return the present choice."""
        return [home.address for home in self._homes]

    def set_balancers(self, balancers: list[MemberState]) -> None:
        """Take the list of live balancers, the preferred first."""
        self._known = [m.address for m in balancers]

    def force(self, now: float) -> None:
        """Make an announcement to every home due at once."""
        for home in self._homes:
            home.next_due = now

    def due(self, now: float) -> list[tuple[Address, int, bytes]]:
        """Return (address, sequence, known digest) of announcements due now."""
        self._choose(now)
        messages = []
        for home in self._homes:
            if now < home.next_due:
                continue
            if home.waiting:
                home.misses += 1
            self._sequence += 1
            home.waiting.add(self._sequence)
            home.next_due = now + (self._period if not home.misses else 0.3)
            messages.append((home.address, self._sequence, home.known))
        return messages

    def on_ack(self, sequence: int, digest: bytes) -> bool:
        """Note an acknowledgement; return False when it is not expected.

        A balancer repeats its last one when there is news for the agent.
        """
        for home in self._homes:
            if sequence in home.waiting or sequence == home.acknowledged:
                home.waiting.clear()
                home.acknowledged = sequence
                home.misses = 0
                home.known = digest
                self._failures = 0
                return True
        return False

    def take_silence(self) -> bool:
        """Return True once when several homes in a row did not answer."""
        silent = self._failures >= HOMES
        if silent:
            self._failures = 0
        return silent

    def _choose(self, now: float) -> None:
        kept = [home for home in self._homes if home.misses < MAX_MISSES]
        self._failures += len(self._homes) - len(kept)
        failed = {h.address for h in self._homes} - {h.address for h in kept}
        pool = list(dict.fromkeys([*self._known, *self._seeds]))
        wanted = min(HOMES, len(pool))
        for _ in range(len(pool)):
            if len(kept) >= wanted:
                break
            address = pool[self._cursor % len(pool)]
            self._cursor += 1
            taken = {home.address for home in kept}
            if address not in taken and (address not in failed or len(pool) <= HOMES):
                kept.append(_Home(address, now))
        self._homes = kept
