"""Selection of the balancers that an agent announces itself to, without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..domain import MemberState

Address = tuple[str, int]

TARGET_COUNT = 2
MAX_MISSES = 2


@dataclass
class _Target:
    address: Address
    next_due: float
    unacknowledged: set[int] = field(default_factory=set)
    acknowledged: int = 0
    misses: int = 0
    known_digest: bytes = b""


class AnnounceTargets:
    """Choose a few balancers and replace those that do not answer.

    Parameters
    ----------
    seeds : list of tuple of str and int
        Addresses of balancers from the settings.
    period : float
        Seconds between announcements to one balancer.
    """

    def __init__(self, seeds: list[Address], period: float) -> None:
        self._seeds = list(seeds)
        self._balancers: list[Address] = []
        self._period = period
        self._targets: list[_Target] = []
        self._sequence = 0
        self._next_candidate = 0
        self._failed_in_row = 0

    @property
    def period(self) -> float:
        """Return the seconds between announcements to one balancer."""
        return self._period

    @property
    def addresses(self) -> list[Address]:
        """Return the addresses of the current targets."""
        return [target.address for target in self._targets]

    def set_balancers(self, balancers: list[MemberState]) -> None:
        """Replace the list of live balancers, the preferred first."""
        self._balancers = [m.address for m in balancers]

    def announce_now(self, now: float) -> None:
        """Make an announcement to each target due immediately."""
        for target in self._targets:
            target.next_due = now

    def start_due(self, now: float) -> list[tuple[Address, int, bytes]]:
        """Start the announcements due now; return (address, sequence, known digest)."""
        self._replace_failed(now)
        messages = []
        for target in self._targets:
            if now < target.next_due:
                continue
            if target.unacknowledged:
                target.misses += 1
            self._sequence += 1
            target.unacknowledged.add(self._sequence)
            target.next_due = now + (self._period if not target.misses else 0.3)
            messages.append((target.address, self._sequence, target.known_digest))
        return messages

    def on_ack(self, sequence: int, digest: bytes) -> bool:
        """Record an acknowledgement; return False if it is not expected.

        A balancer repeats its last acknowledgement when it has changes for the agent.
        """
        for target in self._targets:
            if sequence in target.unacknowledged or sequence == target.acknowledged:
                target.unacknowledged.clear()
                target.acknowledged = sequence
                target.misses = 0
                target.known_digest = digest
                self._failed_in_row = 0
                return True
        return False

    def pop_unreachable(self) -> bool:
        """Return True once after `TARGET_COUNT` targets in a row did not answer."""
        unreachable = self._failed_in_row >= TARGET_COUNT
        if unreachable:
            self._failed_in_row = 0
        return unreachable

    def _replace_failed(self, now: float) -> None:
        responsive = [target for target in self._targets if target.misses < MAX_MISSES]
        self._failed_in_row += len(self._targets) - len(responsive)
        failed = {target.address for target in self._targets} - {
            target.address for target in responsive
        }
        candidates = list(dict.fromkeys([*self._balancers, *self._seeds]))
        wanted_count = min(TARGET_COUNT, len(candidates))
        for _ in range(len(candidates)):
            if len(responsive) >= wanted_count:
                break
            address = candidates[self._next_candidate % len(candidates)]
            self._next_candidate += 1
            chosen = {target.address for target in responsive}
            if address not in chosen and (
                address not in failed or len(candidates) <= TARGET_COUNT
            ):
                responsive.append(_Target(address, now))
        self._targets = responsive
