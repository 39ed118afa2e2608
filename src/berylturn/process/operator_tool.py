"""Access to the platform and the balancers, and output, for the operators' tool."""

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
PLATFORM_TIMEOUT = timedelta(seconds=15)
IN_FORCE_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.1


class NotInForce(BerylturnError):
    """A change was not in force at every balancer in time."""


class OperatorTool:
    """Connect to the platform and its balancers, and print results."""

    def __init__(self, platform: str, as_json: bool, tls: TlsSection) -> None:
        url = platform or os.environ.get(PLATFORM_VARIABLE, "")
        if not url:
            raise SettingsError(
                f"no platform URL given; use --platform or set {PLATFORM_VARIABLE}"
            )
        self.platform = HttpPlatform(url, PLATFORM_TIMEOUT)
        self._as_json = as_json
        self.tls = tls

    def print_result(self, value: Any, text: str) -> None:
        """Print `value` as JSON if so configured, else `text`."""
        if self._as_json:
            print(msgspec.json.encode(value).decode())
        else:
            print(text)

    async def control_addresses(self) -> dict[str, str]:
        """Return the control address of each balancer in the directory by name."""
        result = await self.platform.list(BALANCER_PREFIX)
        return {
            o.name.removeprefix(BALANCER_PREFIX): json.loads(o.body)["control"]
            for o in result.objects
        }

    async def wait_in_force(self, name: str, version: int) -> None:
        """Wait until every live balancer has `version`, or raise `NotInForce`.

        Balancers that no other balancer lists as alive are ignored, unless no balancer
        answers at all.
        """
        deadline = CLOCK.monotonic() + IN_FORCE_TIMEOUT_SECONDS
        while True:
            lagging = await self._describe_lagging_balancers(name, version)
            if not lagging:
                return
            if CLOCK.monotonic() > deadline:
                raise NotInForce(
                    f"{name} version {version} is accepted; check why it is not "
                    f"in force at {'; '.join(lagging)}"
                )
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _describe_lagging_balancers(self, name: str, version: int) -> list[str]:
        replies = await self._fetch_statuses(
            await self.control_addresses(), name, version
        )
        statuses = [r for r in replies.values() if isinstance(r, StatusReply)]
        alive = {m.name: m.control for status in statuses for m in status.balancers}
        unlisted_balancers = {
            n: target for n, target in alive.items() if n not in replies
        }
        replies |= await self._fetch_statuses(unlisted_balancers, name, version)
        return [
            _describe_lag(node, reply)
            for node, reply in replies.items()
            if (node in alive or not statuses) and _is_behind(reply, version)
        ]

    async def _fetch_statuses(
        self, addresses: dict[str, str], name: str, version: int
    ) -> dict[str, StatusReply | ControlError]:
        calls = [self._fetch_status(n, t, name, version) for n, t in addresses.items()]
        return dict(zip(addresses, await asyncio.gather(*calls), strict=True))

    async def _fetch_status(
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
