"""Directory of agents for passthrough flows, stored as objects of the platform."""

from __future__ import annotations

import asyncio
import random

import msgspec

from ..errors import PlatformError, VersionConflict
from ..version.owners import AgentEntry
from ..version.snapshots import KindSnapshot
from .logs import log_event, log_warning
from .object_view import Kind, ObjectStore, ObjectView

# An entry that the platform lost in an outage is written again within two seconds.
CHECK_PERIOD_SECONDS = 0.5
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0

_decoder = msgspec.json.Decoder(AgentEntry)


def read_entries(snapshot: KindSnapshot) -> list[AgentEntry]:
    """Return the entries in a snapshot; log and skip those that cannot be decoded."""
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


class EntryWriter:
    """Reconcile one agent's own entry in the platform with its desired state.

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
        self._desired: AgentEntry | None = None
        self._desired_is_set = False
        self._removed = False
        self._changed = asyncio.Event()

    @property
    def removed(self) -> bool:
        """Tell whether no entry is desired and this agent has removed it."""
        return self._removed and self._desired is None

    def set_entry(self, entry: AgentEntry | None) -> None:
        """Set the desired entry; None means that there should be no entry."""
        if entry != self._desired or not self._desired_is_set:
            self._desired = entry
            self._desired_is_set = True
            self._changed.set()

    async def run(self) -> None:
        """Write the entry, until cancelled, whenever the platform's one differs."""
        delay_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            try:
                await asyncio.wait_for(self._changed.wait(), CHECK_PERIOD_SECONDS)
            except TimeoutError:
                pass
            self._changed.clear()
            if not self._is_out_of_date():
                continue
            try:
                await self.write()
                delay_seconds = INITIAL_BACKOFF_SECONDS
                # The watch returns the new entry only after a delay.
                await asyncio.sleep(CHECK_PERIOD_SECONDS)
            except PlatformError as error:
                log_warning("entry_not_written", error=str(error), pause=delay_seconds)
                await asyncio.sleep(delay_seconds * random.uniform(0.5, 1.0))
                delay_seconds = min(2 * delay_seconds, MAX_BACKOFF_SECONDS)
                self._changed.set()

    async def write(self) -> None:
        """Write or remove the entry once."""
        desired = self._desired
        if desired is None:
            await self._store.remove_object(Kind.AGENTS, self._name, None)
            self._removed = True
        else:
            body = msgspec.json.encode(desired)
            exists = self._name in self._view.snapshots[Kind.AGENTS].objects
            self._removed = False
            await self._store.put_object(Kind.AGENTS, self._name, body, exists)
        log_event("entry_written", entry=desired and msgspec.to_builtins(desired))

    def _is_out_of_date(self) -> bool:
        snapshot = self._view.snapshots[Kind.AGENTS]
        if not self._desired_is_set or not snapshot.known:
            return False
        stored = snapshot.objects.get(self._name)
        if self._desired is None or stored is None:
            return (stored is None) != (self._desired is None)
        return stored.body != msgspec.json.encode(self._desired) and (
            _try_decode(stored.body) != self._desired
        )


async def remove_stale_entry(
    store: ObjectStore, view: ObjectView, name: str, silent_seconds: float
) -> None:
    """Remove the entry of an unresponsive agent, unless it changed meanwhile."""
    stored = view.snapshots[Kind.AGENTS].objects.get(name)
    if stored is None:
        return
    try:
        await store.remove_object(Kind.AGENTS, name, stored.revision)
    except VersionConflict:
        log_event("entry_renewed", name=name, revision=stored.revision)
    except PlatformError as error:
        log_warning("entry_not_removed", name=name, error=str(error))
    else:
        log_event("entry_removed", name=name, silent_seconds=round(silent_seconds, 3))


def _try_decode(body: bytes) -> AgentEntry | None:
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None
