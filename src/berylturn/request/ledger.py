"""Record of the requests of one flow, so that each runs at most once."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..domain import RefusalReason

MAX_ENTRIES = 256  # kept outcomes per flow


class Disposition(Enum):
    """What to do with a request that has arrived."""

    RUN = "run"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Answered:
    """Outcome of a request that ran; `parts` make up the answer."""

    status: int
    parts: list[bytes]

    @property
    def size(self) -> int:
        """Return the bytes of the kept answer."""
        return sum(map(len, self.parts))


@dataclass(frozen=True)
class DidNotRun:
    """Outcome of a request that certainly did not run."""

    reason: RefusalReason
    retry_after_ms: int = 0
    size: int = 0


@dataclass(frozen=True)
class MayHaveRun:
    """Outcome of a request that may have run, or whose answer was dropped."""

    size: int = 0


Outcome = Answered | DidNotRun | MayHaveRun


@dataclass
class Ledger:
    """Track the state and outcome of each request number of one flow.

    Numbers below `floor` without a kept outcome never run; a duplicate of one gets
    an unknown outcome.

    Examples
    --------
    >>> ledger = Ledger()
    >>> ledger.register(0), ledger.register(0)
    (<Disposition.RUN: 'run'>, <Disposition.RUNNING: 'running'>)
    >>> ledger.finish(0, Answered(200, [b"ok"]))
    >>> ledger.register(0)
    <Disposition.FINISHED: 'finished'>
    """

    _floor: int = 0
    _running: set[int] = field(default_factory=set)
    _finished: dict[int, Outcome] = field(default_factory=dict)

    @property
    def floor(self) -> int:
        """Return the number below which no new request runs."""
        return self._floor

    @property
    def running(self) -> frozenset[int]:
        """Return the registered numbers that have not finished."""
        return frozenset(self._running)

    @property
    def finished(self) -> dict[int, Outcome]:
        """Return a copy of the kept outcomes by number."""
        return dict(self._finished)

    @property
    def size(self) -> int:
        """Return the bytes of the kept answers."""
        return sum(outcome.size for outcome in self._finished.values())

    def is_new(self, number: int) -> bool:
        """Tell whether `number` would run if it were registered."""
        is_recorded = number in self._running or number in self._finished
        return not is_recorded and number >= self._floor

    def register(self, number: int) -> Disposition:
        """Return what to do with `number`; after `RUN` it counts as running."""
        if number in self._running:
            return Disposition.RUNNING
        if number in self._finished:
            return Disposition.FINISHED
        if number < self._floor:
            return Disposition.UNKNOWN
        self._running.add(number)
        return Disposition.RUN

    def resume(self, number: int) -> None:
        """Register a number that a predecessor was running, even below the floor."""
        self._running.add(number)

    def outcome(self, number: int) -> Outcome:
        """Return the kept outcome, or an unknown one if there is none."""
        return self._finished.get(number, MayHaveRun())

    def finish(self, number: int, outcome: Outcome) -> None:
        """Keep the outcome of a running number; a second one is ignored."""
        if number not in self._running:
            return
        self._running.discard(number)
        self._finished[number] = outcome
        if len(self._finished) > MAX_ENTRIES:
            self._forget_oldest()

    def unregister(self, number: int) -> None:
        """Unregister a number that has certainly not started."""
        self._running.discard(number)

    def forget_received(self, low_water: int) -> None:
        """Drop outcomes below `low_water`, which the caller has received."""
        if low_water <= self._floor:
            return
        self._floor = low_water
        for number in [n for n in self._finished if n < low_water]:
            del self._finished[number]

    def drop_answers(self) -> int:
        """Replace kept answers by unknown outcomes; return the bytes freed."""
        freed = self.size
        for number, outcome in self._finished.items():
            if isinstance(outcome, Answered):
                self._finished[number] = MayHaveRun()
        return freed

    def restore(self, floor: int, finished: dict[int, Outcome]) -> None:
        """Load the floor and the outcomes of a predecessor."""
        self._floor = floor
        self._finished = dict(finished)

    def _forget_oldest(self) -> None:
        oldest = min(self._finished)
        del self._finished[oldest]
        self._floor = max(self._floor, oldest + 1)
