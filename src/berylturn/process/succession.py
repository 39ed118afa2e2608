"""Hand-over between an agent and its successor through the platform."""

from __future__ import annotations

import asyncio

from ..errors import (
    ObjectNotFound,
    PlatformUnavailable,
    VersionConflict,
)
from .clock import Clock
from .platform import Platform, current_version

HANDOVER_PREFIX = "handover/"
RETRY_SECONDS = 0.5


async def platform_answers(platform: Platform, name: str) -> bool:
    """Tell whether the platform answers now."""
    try:
        await current_version(platform, HANDOVER_PREFIX + name)
    except PlatformUnavailable:
        return False
    return True


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
    """
    while clock.monotonic() < deadline:
        try:
            found = await platform.get(HANDOVER_PREFIX + name)
            await platform.delete(HANDOVER_PREFIX + name, found.version)
            return found.body
        except (ObjectNotFound, VersionConflict):
            return None
        except PlatformUnavailable:
            await asyncio.sleep(RETRY_SECONDS)
    return None
