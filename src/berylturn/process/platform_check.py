"""Check that a node's copy has what the platform has, beside its watches.

Load pattern: connections go silent for good while something between the node and the
platform keeps them alive. Keep-alive probes are answered, so a watch looks like one
without a change until its own timeout, and a node that others rely on would confirm
to all of them that an old copy is current.

Each check asks for the platform's revision on a new connection. A kind that is behind
it is read from there, so a change is known within a period whatever a watch delivers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..errors import PlatformError, WatchExpired
from .logs import log_event, log_warning
from .object_view import KINDS, Kind, ObjectStore, ObjectView

# A third of the shortest time within which a change must be in force everywhere, 3 s:
# the rest is for one check that fails, and for the way to the other nodes.
CHECK_PERIOD_SECONDS = 1.0


class PlatformCheck:
    """Prove that a copy is current, and end watches that deliver nothing.

    Parameters
    ----------
    view : ObjectView
        Copy of the platform's objects.
    store : ObjectStore
        The platform.
    clock : Clock
        Source of time.
    is_watching : callable
        Tells whether this node itself watches all kinds.
    on_proved : callable
        Called after each check that has found the copy current or has made it so.
    """

    def __init__(
        self,
        view: ObjectView,
        store: ObjectStore,
        clock: Clock,
        is_watching: Callable[[], bool],
        on_proved: Callable[[], None],
    ) -> None:
        self._view = view
        self._store = store
        self._clock = clock
        self._is_watching = is_watching
        self._on_proved = on_proved
        self._proved_at = dict.fromkeys(KINDS, float("-inf"))
        # Watch of each kind that waits for an answer.
        self._waiting: dict[Kind, _WaitingWatch] = {}
        # Watches that had not delivered what the previous check found.
        self._overdue: dict[Kind, _WaitingWatch] = {}
        self._failing = False

    @property
    def proved_at(self) -> float:
        """Return the monotonic time as of which all kinds are known to be current."""
        return min(self._proved_at.values())

    def on_watch_started(self, kind: Kind) -> None:
        """Record that a watch waits for an answer."""
        self._waiting[kind] = _WaitingWatch(
            self._clock.monotonic(), self._view.snapshots[kind].at_revision
        )

    def on_answer(self, kind: Kind) -> None:
        """Record a list or the answer to a watch of one kind."""
        self._waiting.pop(kind, None)
        self._proved_at[kind] = self._clock.monotonic()

    def on_watch_failed(self, kind: Kind) -> None:
        """Record that a watch has ended without an answer."""
        self._waiting.pop(kind, None)

    async def run(self) -> None:
        """Check once a period, for as long as this node itself watches all kinds."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            if self._is_watching():
                await self.check()

    async def check(self) -> None:
        """Compare the copy with the platform's revision, and read what it lacks."""
        asked_at = self._clock.monotonic()
        try:
            revision = await self._store.read_revision()
            for kind in KINDS:
                self._end_overdue_watch(kind)
                if self._view.snapshots[kind].at_revision < revision:
                    await self._read_changes(kind)
                self._find_overdue_watch(kind)
                self._proved_at[kind] = max(self._proved_at[kind], asked_at)
        except PlatformError as error:
            if not self._failing:
                log_warning("platform_check_failed", error=str(error))
            self._failing = True
            return
        if self._failing:
            log_event("platform_check_regained", revision=revision)
        self._failing = False
        self._on_proved()

    async def _read_changes(self, kind: Kind) -> None:
        from_revision = self._view.snapshots[kind].at_revision
        try:
            revision, changes = await self._store.read_changes(kind, from_revision)
        except WatchExpired:
            # The watch has missed this too; after its end the kind is listed again.
            self._store.end_watch(kind)
            raise
        self._view.apply(kind, revision, changes)

    def _find_overdue_watch(self, kind: Kind) -> None:
        """Note a watch that has not delivered a change which this copy has.

        The change may have been read by a check, or copied from a peer before it.
        """
        waiting = self._waiting.get(kind)
        if (
            waiting is not None
            and waiting.from_revision < self._view.snapshots[kind].newest
        ):
            self._overdue[kind] = waiting

    def _end_overdue_watch(self, kind: Kind) -> None:
        """End a watch that has not delivered what the previous check found."""
        overdue = self._overdue.pop(kind, None)
        if overdue is not None and self._waiting.get(kind) is overdue:
            waited = self._clock.monotonic() - overdue.started_at
            log_warning("watch_silent", kind=kind, waited_seconds=round(waited, 3))
            self._store.end_watch(kind)


@dataclass(frozen=True, slots=True)
class _WaitingWatch:
    """A watch that waits for changes after a revision."""

    started_at: float
    from_revision: int
