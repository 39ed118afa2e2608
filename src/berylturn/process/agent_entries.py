"""Directory of agents for passthrough flows, stored as objects of the platform."""

from __future__ import annotations

import asyncio
import random
from typing import Annotated

import msgspec
from msgspec import Meta

from ..decoding import decode_value, is_host_address
from ..errors import PlatformError, VersionConflict
from ..version.owners import AgentEntry
from ..version.snapshots import KindSnapshot, StoredObject
from .logs import log_event, log_warning
from .object_view import Kind, ObjectStore, ObjectView

# An entry that the platform lost in an outage is written again within two seconds.
CHECK_PERIOD_SECONDS = 0.5
INITIAL_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 1.0

# Bounds of the weight of an entry; agents write the number of slots.
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1_000_000.0


class _StoredEntry(msgspec.Struct):
    name: str
    host: str
    data_centre: str
    service: str
    weight: Annotated[float, Meta(ge=MIN_WEIGHT, le=MAX_WEIGHT)] = 1.0

    def __post_init__(self) -> None:
        if not is_host_address(self.host):
            raise ValueError(f"host {self.host!r} is not the IP address of a host")


_decoder = msgspec.json.Decoder(_StoredEntry)


class EntryReader:
    """Read the directory's entries; each version of an entry is decoded only once."""

    def __init__(self) -> None:
        self._read: dict[str, tuple[StoredObject, AgentEntry | None]] = {}

    def read(self, snapshot: KindSnapshot) -> list[AgentEntry]:
        """Return the usable entries of a snapshot; log each new unusable one."""
        read = {}
        for name, item in snapshot.objects.items():
            known = self._read.get(name)
            if known is not None and known[0] == item:
                read[name] = known
            else:
                read[name] = (item, _read_entry(item))
        self._read = read
        return [entry for _, entry in read.values() if entry is not None]


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

    @property
    def is_listed(self) -> bool:
        """Tell whether the copy of the directory holds the entry."""
        return self._name in self._view.snapshots[Kind.AGENTS].objects

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


def _read_entry(item: StoredObject) -> AgentEntry | None:
    try:
        entry = _decode_entry(item.body)
        if entry.name != item.name:
            raise PlatformError(f"entry names {entry.name!r}; use the object's name")
    except PlatformError as error:
        log_warning("entry_unreadable", name=item.name, error=str(error))
        return None
    return entry


def _decode_entry(body: bytes) -> AgentEntry:
    stored = decode_value(
        _decoder, body, PlatformError, "entry of an agent is unusable; remove it"
    )
    return AgentEntry(
        stored.name, stored.host, stored.data_centre, stored.service, stored.weight
    )


def _try_decode(body: bytes) -> AgentEntry | None:
    """Return an entry, or None if it is unusable and so differs from any other."""
    try:
        return _decode_entry(body)
    except PlatformError:
        return None
