"""Registration of balancers in the platform's directory."""

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

CHECK_PERIOD_SECONDS = 2.0
CLEANUP_PERIOD_SECONDS = 15.0


class BalancerDirectory:
    """Keep this balancer registered; one of the live ones removes dead entries.

    Parameters
    ----------
    platform : Platform
        Stores the directory.
    store : ObjectStore
        Objects received through the watch.
    membership : Membership
        Tells which balancers are live or dead.
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
        self._deregistered = False

    async def run(self) -> None:
        """Register, renew a deleted registration, and remove dead entries."""
        cleaned_up_at = self._clock.monotonic()
        while True:
            await self._ensure_registered()
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            now = self._clock.monotonic()
            if now - cleaned_up_at >= CLEANUP_PERIOD_SECONDS:
                cleaned_up_at = now
                await self._delete_dead_entries()

    async def deregister(self) -> None:
        """Delete this balancer's entry and stop registering."""
        self._deregistered = True
        if self._version:
            await self._delete(self._name, self._version)

    @property
    def _name(self) -> str:
        return BALANCER_PREFIX + self._membership.local_member.name

    async def _ensure_registered(self) -> None:
        entry = self._store.get(self._name)
        listed = entry is not None and entry.body is not None
        if self._deregistered or (listed and entry.version >= max(self._version, 1)):
            return
        body = _encode_entry(self._membership.local_member)
        try:
            self._version = await write_object(self._platform, self._name, body)
        except PlatformError as error:
            log_warning("registration_failed", error=str(error))

    async def _delete_dead_entries(self) -> None:
        """Delete the entries of dead balancers.

        Only the live balancer whose name sorts first does so.
        """
        live = self._membership.live(Role.BALANCER)
        if min(m.name for m in live) != self._membership.local_member.name:
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


def read_balancers(objects: list[ConfigObject]) -> list[MemberState]:
    """Return the balancers among some objects; skip entries that cannot be decoded."""
    entries = [o for o in objects if o.name.startswith(BALANCER_PREFIX) and o.body]
    members = [_decode_entry(item) for item in entries]
    return [member for member in members if member is not None]


def _encode_entry(member: MemberState) -> bytes:
    return json.dumps(
        {
            "data_centre": member.data_centre,
            "peers": list(member.address),
            "control": member.control,
            "epoch": member.epoch,
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
