"""Hand-over between an agent and its successor through the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..errors import (
    ObjectNotFound,
    PlatformUnavailable,
    VersionConflict,
)
from .platform import Platform, current_version

HANDOVER_PREFIX = "handover/"
RETRY_SECONDS = 0.5
SLOW_SECONDS = 1.0
OUTAGE_SECONDS = 3.0


async def wait_for_platform(
    platform: Platform,
    name: str,
    clock: Clock,
    deadline: float,
    needed: Callable[[], bool],
) -> bool:
    """Wait until the platform answers, while that is still needed.

    Parameters
    ----------
    deadline : float
        Seconds on the monotonic clock.
    needed : callable
        Tells whether there is still something to hand over.
    """
    while needed() and clock.monotonic() < deadline:
        try:
            await current_version(platform, HANDOVER_PREFIX + name)
            return needed()
        except PlatformUnavailable:
            await asyncio.sleep(RETRY_SECONDS)
    return False


async def write_snapshot(
    platform: Platform, name: str, data: bytes, clock: Clock, deadline: float
) -> bool:
    """Write a snapshot; return whether it certainly took effect in time."""
    while clock.monotonic() < deadline:
        try:
            expected = await current_version(platform, HANDOVER_PREFIX + name)
            await platform.put(HANDOVER_PREFIX + name, data, expected)
            return True
        except (PlatformUnavailable, VersionConflict):
            await asyncio.sleep(RETRY_SECONDS)
    return False


async def claim_snapshot(
    platform: Platform, name: str, clock: Clock, deadline: float
) -> bytes | None:
    """Take the snapshot of a predecessor, once; None when there is none.

    The conditional delete makes the claim: of several claimants one succeeds.
    A platform that is slow is waited for until `deadline`; one that is down only
    for a few seconds, since callers are kept waiting meanwhile.
    """
    give_up = clock.monotonic() + OUTAGE_SECONDS
    while clock.monotonic() < deadline:
        called_at = clock.monotonic()
        try:
            found = await platform.get(HANDOVER_PREFIX + name)
            await platform.delete(HANDOVER_PREFIX + name, found.version)
            return found.body
        except (ObjectNotFound, VersionConflict):
            return None
        except PlatformUnavailable:
            now = clock.monotonic()
            if now - called_at < SLOW_SECONDS and now > give_up:
                return None
            await asyncio.sleep(RETRY_SECONDS)
    return None
