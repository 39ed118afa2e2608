"""The platform's directory of live balancers."""

from __future__ import annotations

import asyncio
import json

from ..clock import Clock
from ..domain import ConfigObject, MemberState, Role, Status
from ..errors import PlatformError
from ..version.objects import ObjectStore
from ..version.selectors import BALANCER_PREFIX
from .logs import log_warning
from .membership import Membership
from .platform import Platform, write_object

CHECK_SECONDS = 2.0
CLEAN_SECONDS = 15.0


class Directory:
    """Keep this balancer listed, and one of the live ones keeps the list clean.

    Parameters
    ----------
    platform : Platform
        Where the directory is.
    store : ObjectStore
        Objects known through the watch.
    membership : Membership
        Who lives.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        platform: Platform,
        store: ObjectStore,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._store = store
        self._membership = membership
        self._clock = clock
        self._version = 0
        self._withdrawn = False

    async def run(self) -> None:
        """Register, register again when the entry was deleted, and clean."""
        cleaned_at = self._clock.monotonic()
        while True:
            await self._ensure_registered()
            await asyncio.sleep(CHECK_SECONDS)
            now = self._clock.monotonic()
            if now - cleaned_at >= CLEAN_SECONDS:
                cleaned_at = now
                await self._clean()

    async def withdraw(self) -> None:
        """Delete this balancer's entry for good."""
        self._withdrawn = True
        if self._version:
            await self._delete(self._name, self._version)

    @property
    def _name(self) -> str:
        return BALANCER_PREFIX + self._membership.me.name

    async def _ensure_registered(self) -> None:
        known = self._store.get(self._name)
        listed = known is not None and known.body is not None
        if self._withdrawn or (listed and known.version >= max(self._version, 1)):
            return
        body = _encode_entry(self._membership.me)
        try:
            self._version = await write_object(self._platform, self._name, body)
        except PlatformError as error:
            log_warning("registration_failed", error=str(error))

    async def _clean(self) -> None:
        """Delete the entries of dead balancers, at one of the live ones."""
        live = self._membership.live(Role.BALANCER)
        if min(m.name for m in live) != self._membership.me.name:
            return
        for item in self._store:
            if item.name.startswith(BALANCER_PREFIX) and self._is_dead(item):
                await self._delete(item.name, item.version)

    def _is_dead(self, item: ConfigObject) -> bool:
        name = item.name.removeprefix(BALANCER_PREFIX)
        member = self._membership.members.get(name)
        listed = item.body is not None
        return listed and member is not None and member.status == Status.DEAD

    async def _delete(self, name: str, version: int) -> None:
        try:
            await self._platform.delete(name, version)
        except PlatformError as error:
            log_warning("directory_not_cleaned", entry=name, error=str(error))


def read_directory(objects: list[ConfigObject]) -> list[MemberState]:
    """Return the balancers among some objects; unreadable entries are left out."""
    found = [o for o in objects if o.name.startswith(BALANCER_PREFIX) and o.body]
    members = [_decode_entry(item) for item in found]
    return [member for member in members if member is not None]


def _encode_entry(me: MemberState) -> bytes:
    return json.dumps(
        {
            "data_centre": me.data_centre,
            "peers": list(me.address),
            "control": me.control,
            "epoch": me.epoch,
        }
    ).encode()


def _decode_entry(item: ConfigObject) -> MemberState | None:
    try:
        body = json.loads(item.body or b"")
        return MemberState(
            item.name.removeprefix(BALANCER_PREFIX),
            Role.BALANCER,
            body["data_centre"],
            (body["peers"][0], body["peers"][1]),
            body["epoch"],
            Status.ALIVE,
            body["control"],
        )
    except (ValueError, KeyError, IndexError, TypeError):
        return None
