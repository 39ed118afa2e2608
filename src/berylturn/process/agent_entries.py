"""Directory of agents for passthrough flows, kept as objects of the platform."""

from __future__ import annotations

import asyncio
import random

import msgspec

from ..errors import PlatformError, VersionConflict
from ..version.owners import AgentEntry
from ..version.snapshots import KindSnapshot
from .logs import log_event, log_warning
from .object_view import Kind, ObjectStore, ObjectView

# An entry that a returned platform has lost is back within two seconds.
CHECK_SECONDS = 0.5
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.0

_decoder = msgspec.json.Decoder(AgentEntry)


def read_entries(snapshot: KindSnapshot) -> list[AgentEntry]:
    """Return the entries in a snapshot; unreadable ones name nobody."""
    entries = []
    for item in snapshot.objects.values():
        try:
            entry = _decoder.decode(item.body)
        except msgspec.DecodeError as error:
            log_warning("entry_unreadable", name=item.name, error=str(error))
            continue
        if entry.name == item.name:
            entries.append(entry)
    return entries


class EntryKeeper:
    """Keep one agent's own entry in the platform as it should be.

    Parameters
    ----------
    name : str
        Name of the entry.
    view : ObjectView
        Copy of the directory.
    store : ObjectStore
        The platform.
    """

    def __init__(self, name: str, view: ObjectView, store: ObjectStore) -> None:
        self._name = name
        self._view = view
        self._store = store
        self._wanted: AgentEntry | None = None
        self._settled = False
        self._removed = False
        self._changed = asyncio.Event()

    @property
    def removed(self) -> bool:
        """Tell whether the entry was taken away by this agent, as it should be."""
        return self._removed and self._wanted is None

    def want(self, entry: AgentEntry | None) -> None:
        """Say what the entry should be; None stands for no entry."""
        if entry != self._wanted or not self._settled:
            self._wanted = entry
            self._settled = True
            self._changed.set()

    async def run(self) -> None:
        """Write until cancelled whenever the platform holds something else."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            try:
                await asyncio.wait_for(self._changed.wait(), CHECK_SECONDS)
            except TimeoutError:
                pass
            self._changed.clear()
            if not self._differs():
                continue
            try:
                await self.write()
                pause = FIRST_PAUSE_SECONDS
                # The watch shows the new entry a moment later.
                await asyncio.sleep(CHECK_SECONDS)
            except PlatformError as error:
                log_warning("entry_not_written", error=str(error), pause=pause)
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(2 * pause, LONGEST_PAUSE_SECONDS)
                self._changed.set()

    async def write(self) -> None:
        """Write the entry once, or remove it."""
        wanted = self._wanted
        if wanted is None:
            await self._store.remove_object(Kind.AGENTS, self._name, None)
            self._removed = True
        else:
            body = msgspec.json.encode(wanted)
            exists = self._name in self._view.snapshots[Kind.AGENTS].objects
            self._removed = False
            await self._store.put_object(Kind.AGENTS, self._name, body, exists)
        log_event("entry_written", entry=wanted and msgspec.to_builtins(wanted))

    def _differs(self) -> bool:
        snapshot = self._view.snapshots[Kind.AGENTS]
        if not self._settled or not snapshot.known:
            return False
        held = snapshot.objects.get(self._name)
        if self._wanted is None or held is None:
            return (held is None) != (self._wanted is None)
        return held.body != msgspec.json.encode(self._wanted) and (
            _decode_quietly(held.body) != self._wanted
        )


async def remove_dead_entry(
    store: ObjectStore, view: ObjectView, name: str, silent_seconds: float
) -> None:
    """Remove the entry of an agent that is silent, unless it has been written anew."""
    held = view.snapshots[Kind.AGENTS].objects.get(name)
    if held is None:
        return
    try:
        await store.remove_object(Kind.AGENTS, name, held.revision)
    except VersionConflict:
        log_event("entry_renewed", name=name, revision=held.revision)
    except PlatformError as error:
        log_warning("entry_not_removed", name=name, error=str(error))
    else:
        log_event("entry_removed", name=name, silent_seconds=round(silent_seconds, 3))


def _decode_quietly(body: bytes) -> AgentEntry | None:
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None
