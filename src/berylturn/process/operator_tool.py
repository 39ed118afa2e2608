"""What every command of the operators' tool needs: platform, balancers, output."""

from __future__ import annotations

import asyncio
import json
import os
from datetime import timedelta
from typing import Any

import msgspec

from ..clock import SystemClock
from ..errors import BerylturnError, SelectorError, SettingsError
from ..version.selectors import BALANCER_PREFIX
from .control import ControlError, StatusReply, StatusRequest, call_control
from .platform import HttpPlatform
from .settings import TlsSection

CLOCK = SystemClock()
PLATFORM_VARIABLE = "BERYLTURN_PLATFORM"
TIMEOUT = timedelta(seconds=15)
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.1


class NotInForce(BerylturnError):
    """Raise when a change did not reach every balancer in time."""


class OperatorTool:
    """Connect to the platform and print results."""

    def __init__(self, platform: str, json: bool, tls: TlsSection) -> None:
        url = platform or os.environ.get(PLATFORM_VARIABLE, "")
        if not url:
            raise SettingsError(
                f"no platform given; use --platform or set {PLATFORM_VARIABLE}"
            )
        self.platform = HttpPlatform(url, TIMEOUT)
        self._json = json
        self.tls = tls

    def show(self, value: Any, text: str) -> None:
        """Print `value` as JSON, or `text`."""
        if self._json:
            print(msgspec.json.encode(value).decode())
        else:
            print(text)

    async def balancers(self) -> dict[str, str]:
        """Return the control addresses of the balancers in the directory."""
        result = await self.platform.list(BALANCER_PREFIX)
        return {
            o.name.removeprefix(BALANCER_PREFIX): json.loads(o.body)["control"]
            for o in result.objects
        }

    async def wait_in_force(self, name: str, version: int) -> None:
        """Return when every live balancer has `version`, or raise `NotInForce`.

        A balancer that does not answer and that no other holds alive is left out.
        """
        deadline = CLOCK.monotonic() + WAIT_SECONDS
        while True:
            behind = await self._behind(name, version)
            if not behind:
                return
            if CLOCK.monotonic() > deadline:
                raise NotInForce(
                    f"{name} version {version} is accepted but not in force at "
                    f"{'; '.join(behind)}"
                )
            await asyncio.sleep(POLL_SECONDS)

    async def _behind(self, name: str, version: int) -> list[str]:
        replies = await self._check_all(await self.balancers(), name, version)
        answers = [r for r in replies.values() if isinstance(r, StatusReply)]
        alive = {m.name: m.control for answer in answers for m in answer.balancers}
        unlisted = {n: target for n, target in alive.items() if n not in replies}
        replies |= await self._check_all(unlisted, name, version)
        return [
            _describe_lag(node, reply)
            for node, reply in replies.items()
            if (node in alive or not answers) and _is_behind(reply, version)
        ]

    async def _check_all(
        self, balancers: dict[str, str], name: str, version: int
    ) -> dict[str, StatusReply | ControlError]:
        calls = [self._check(n, t, name, version) for n, t in balancers.items()]
        return dict(zip(balancers, await asyncio.gather(*calls), strict=True))

    async def _check(
        self, node: str, target: str, name: str, version: int
    ) -> StatusReply | ControlError:
        try:
            reply: StatusReply = await call_control(
                target, "Status", StatusRequest(name), self.tls
            )
        except ControlError as error:
            return error
        for problem in reply.problems:
            if problem.name == name and problem.version >= version:
                raise SelectorError(f"{node} refused {name}: {problem.reason}")
        return reply


def _is_behind(reply: StatusReply | ControlError, version: int) -> bool:
    return isinstance(reply, ControlError) or reply.version < version


def _describe_lag(node: str, reply: StatusReply | ControlError) -> str:
    if isinstance(reply, ControlError):
        return f"{node} ({reply})"
    return f"{node} (has version {reply.version})"
