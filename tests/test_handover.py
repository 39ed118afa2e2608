"""Tests of claiming a predecessor's snapshot while the platform misbehaves."""

from __future__ import annotations

import asyncio
import unittest
from datetime import timedelta

from nose2.tools import params

from berylturn.domain import ConfigObject
from berylturn.errors import (
    ChangeUnknown,
    ObjectNotFound,
    PlatformUnavailable,
    VersionConflict,
)
from berylturn.process.handover import claim_snapshot
from berylturn.process.platform import HttpPlatform

SNAPSHOT = ConfigObject("handover/desk", 7, b"state")


class SteppingClock:
    """Advance by one step with each reading."""

    def __init__(self, step):
        self._step = step
        self._now = 0.0

    def monotonic(self):
        self._now += self._step
        return self._now


class FakePlatform:
    """Return prepared results of `get` and `delete`; raise one that is an error."""

    def __init__(self, get_result, delete_result=8):
        self._get_result = get_result
        self._delete_result = delete_result
        self.calls = 0

    async def get(self, _name):
        self.calls += 1
        return self._return_or_raise(self._get_result)

    async def delete(self, _name, _version):
        return self._return_or_raise(self._delete_result)

    def _return_or_raise(self, value):
        if isinstance(value, Exception):
            raise value
        return value


class ScriptedPlatform(HttpPlatform):
    """Return one prepared reply per call; raise a reply that is an error."""

    def __init__(self, *replies):
        super().__init__("http://127.0.0.1:1", timedelta(seconds=1))
        self._replies = list(replies)

    async def _call(self, method, path, content=None, extra_wait_seconds=0.0):
        reply = self._replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        if content is not None and reply == "took effect":
            self._replies.insert(0, stored(9, content["change_id"]))
            raise PlatformUnavailable("the answer was lost")
        return reply


def stored(version, change_id="theirs"):
    return {"name": "a", "version": version, "body": "", "change_id": change_id}


LOST = PlatformUnavailable("no answer")
CONFLICT = VersionConflict("another version")


class Writes(unittest.TestCase):
    """A conditional write on version 7 reports its outcome correctly."""

    @params(
        ([{"version": 8}], 8),
        (["took effect"], 9),
        ([LOST, stored(7), {"version": 8}], 8),
        ([LOST, stored(8)], ChangeUnknown),
        ([LOST, stored(7), CONFLICT, stored(8)], ChangeUnknown),
        ([CONFLICT, stored(8)], VersionConflict),
    )
    def test_reports(self, replies, expected):
        platform = ScriptedPlatform(*replies)
        if isinstance(expected, int):
            self.assertEqual(asyncio.run(platform.put("a", b"", 7)), expected)
            return
        with self.assertRaises(VersionConflict) as caught:
            asyncio.run(platform.put("a", b"", 7))
        self.assertIs(type(caught.exception), expected)


class Claims(unittest.IsolatedAsyncioTestCase):
    """At most one successor gets the snapshot."""

    async def test_claims(self):
        cases = [
            (FakePlatform(SNAPSHOT), b"state"),
            (FakePlatform(SNAPSHOT, VersionConflict("taken")), None),
            (FakePlatform(ObjectNotFound("none")), None),
        ]
        for platform, expected in cases:
            claimed = await claim_snapshot(platform, "desk", SteppingClock(0.0), 30.0)
            self.assertEqual(claimed, expected)

    async def test_a_platform_that_is_down_is_not_waited_for_long(self):
        platform = FakePlatform(PlatformUnavailable("down"))
        clock = SteppingClock(0.9)
        self.assertIsNone(await claim_snapshot(platform, "desk", clock, 1000.0))
        self.assertLess(platform.calls, 5)

    async def test_a_slow_platform_is_waited_for_until_the_deadline(self):
        platform = FakePlatform(PlatformUnavailable("slow"))
        clock = SteppingClock(2.0)
        self.assertIsNone(await claim_snapshot(platform, "desk", clock, 16.0))
        self.assertLess(clock.monotonic(), 30.0)
        self.assertGreaterEqual(clock.monotonic(), 18.0)
