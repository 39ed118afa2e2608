"""Hand-over of flows from an agent to its successor through the platform."""

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
SLOW_CALL_SECONDS = 1.0
MAX_OUTAGE_SECONDS = 3.0


async def wait_for_platform(
    platform: Platform,
    name: str,
    clock: Clock,
    deadline: float,
    is_needed: Callable[[], bool],
) -> bool:
    """Wait until the platform answers, the deadline passes or it is not needed.

    Parameters
    ----------
    deadline : float
        Seconds on the monotonic clock.
    is_needed : callable
        Tells whether there is still anything to hand over.
    """
    while is_needed() and clock.monotonic() < deadline:
        try:
            await current_version(platform, HANDOVER_PREFIX + name)
            return is_needed()
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
    """Return the snapshot of a predecessor and delete it, or None if there is none.

    The conditional delete is the claim: only one of several claimants succeeds. A slow
    platform is retried until `deadline`, a platform that is down only for a few
    seconds, because callers wait meanwhile.
    """
    outage_deadline = clock.monotonic() + MAX_OUTAGE_SECONDS
    while clock.monotonic() < deadline:
        called_at = clock.monotonic()
        try:
            snapshot = await platform.get(HANDOVER_PREFIX + name)
            await platform.delete(HANDOVER_PREFIX + name, snapshot.version)
            return snapshot.body
        except (ObjectNotFound, VersionConflict):
            return None
        except PlatformUnavailable:
            now = clock.monotonic()
            if now - called_at < SLOW_CALL_SECONDS and now > outage_deadline:
                return None
            await asyncio.sleep(RETRY_SECONDS)
    return None
