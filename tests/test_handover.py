"""Claims of a predecessor's snapshot against a platform in awkward states."""

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

FOUND = ConfigObject("handover/desk", 7, b"state")


class SteppingClock:
    """Advance by one step with each reading."""

    def __init__(self, step):
        self._step = step
        self._now = 0.0

    def monotonic(self):
        self._now += self._step
        return self._now


class FakePlatform:
    """Answer `get` and `delete` as told; an error stands for its call."""

    def __init__(self, got, deleted=8):
        self._got = got
        self._deleted = deleted
        self.calls = 0

    async def get(self, _name):
        self.calls += 1
        return self._give(self._got)

    async def delete(self, _name, _version):
        return self._give(self._deleted)

    def _give(self, value):
        if isinstance(value, Exception):
            raise value
        return value


class ScriptedPlatform(HttpPlatform):
    """Answer each call as told; an error stands for its call."""

    def __init__(self, *replies):
        super().__init__("http://127.0.0.1:1", timedelta(seconds=1))
        self._replies = list(replies)

    async def _call(self, method, path, content=None, extra_wait=0.0):
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
    """What is reported of a conditional write over version 7."""

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
    """One successor gets the snapshot, or none does."""

    async def test_claims(self):
        cases = [
            (FakePlatform(FOUND), b"state"),
            (FakePlatform(FOUND, VersionConflict("taken")), None),
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
