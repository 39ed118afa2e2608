"""Client of the platform's object API over HTTP and JSON.

It runs the standard library's client in threads instead of using aiohttp, which
would take 12 MB more memory in a balancer (docs/CAPACITY.md).
"""

from __future__ import annotations

import asyncio
import base64
import http.client
import json
import secrets
import socket
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol
from urllib.parse import quote, urlsplit

from ..domain import ConfigObject
from ..errors import (
    ChangeUnknown,
    ObjectNotFound,
    PlatformError,
    PlatformUnavailable,
    VersionConflict,
    WatchExpired,
)

MAX_WRITE_ATTEMPTS = 4
FIRST_RETRY_SECONDS = 0.2


@dataclass(frozen=True)
class WatchResult:
    """Hold the changes since a revision, including deletions.

    Attributes
    ----------
    complete : bool
        Whether `objects` is a snapshot of all objects, not a list of changes.
    """

    revision: int
    objects: list[ConfigObject]
    complete: bool = False


class Platform(Protocol):
    """Operations that berylturn needs from the platform."""

    async def get(self, name: str) -> ConfigObject:
        """Return one object or raise `ObjectNotFound`."""

    async def list(self, prefix: str = "") -> WatchResult:
        """Return all objects whose name starts with `prefix`."""

    async def put(self, name: str, body: bytes, expected: int) -> int:
        """Write if the version is `expected` (0: absent); return the new version."""

    async def delete(self, name: str, expected: int) -> int:
        """Delete if the version is `expected`; return the tombstone's version."""

    async def watch(
        self, since: int, wait: timedelta, kinds: tuple[str, ...]
    ) -> WatchResult:
        """Wait for changes of some kinds of objects after revision `since`.

        A watch from revision 0 returns a snapshot of all objects at once.

        Raises
        ------
        WatchExpired
            The platform no longer has the changes since that revision; watch again
            from revision 0.
        """


class HttpPlatform:
    """Call the object API, with one connection for each call.

    Parameters
    ----------
    url : str
        ``http://IP:PORT``.
    timeout : timedelta
        Longest wait for an answer.
    """

    def __init__(self, url: str, timeout: timedelta) -> None:
        platform_url = urlsplit(url)
        self._host = platform_url.hostname or ""
        self._port = platform_url.port or 80
        self._timeout_seconds = timeout.total_seconds()
        self._executor = ThreadPoolExecutor(
            max_workers=3, thread_name_prefix="platform"
        )
        self._open_connections: set[http.client.HTTPConnection] = set()

    def close(self) -> None:
        """Abort calls in progress, so that their threads end too."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        for connection in list(self._open_connections):
            if connection.sock is not None:
                connection.sock.shutdown(socket.SHUT_RDWR)

    async def get(self, name: str) -> ConfigObject:
        """Return one object or raise `ObjectNotFound`."""
        reply = await self._call("GET", _url_path(name))
        return _parse_object(reply)

    async def list(self, prefix: str = "") -> WatchResult:
        """Return all objects whose name starts with `prefix`."""
        reply = await self._call("GET", f"/objects?prefix={quote(prefix, safe='')}")
        return _parse_watch_result(reply)

    async def put(self, name: str, body: bytes, expected: int) -> int:
        """Write conditionally; read the object back if the answer is lost."""
        content = {"body": base64.b64encode(body).decode(), "expected": expected}
        return await self._write("PUT", name, content)

    async def delete(self, name: str, expected: int) -> int:
        """Delete conditionally; read the object back if the answer is lost."""
        return await self._write("DELETE", name, {"expected": expected})

    async def watch(
        self, since: int, wait: timedelta, kinds: tuple[str, ...]
    ) -> WatchResult:
        """Wait for changes of some kinds of objects after revision `since`."""
        seconds = wait.total_seconds()
        path = f"/watch?since={since}&wait={seconds}&kinds={'+'.join(kinds)}"
        reply = await self._call("GET", path, extra_wait_seconds=seconds)
        return _parse_watch_result(reply)

    async def _write(self, method: str, name: str, content: dict[str, Any]) -> int:
        change_id = secrets.token_hex(8)
        content = {**content, "change_id": change_id}
        answer_lost = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            try:
                return (await self._call(method, _url_path(name), content))["version"]
            except (PlatformUnavailable, VersionConflict) as error:
                answer_lost = answer_lost or isinstance(error, PlatformUnavailable)
                version = await self._resolve_outcome(name, content, error, answer_lost)
            if version:
                return version
            await asyncio.sleep(FIRST_RETRY_SECONDS * 2**attempt)
        raise PlatformUnavailable(
            f"the platform did not confirm the change of {name}; its outcome is "
            "unknown: read the object before you try again"
        )

    async def _resolve_outcome(
        self,
        name: str,
        content: dict[str, Any],
        error: PlatformError,
        answer_lost: bool,
    ) -> int:
        """Return the version if the change took effect, 0 while that is unknown.

        `answer_lost` tells that an attempt to write the change was not answered.

        While the object has the expected version, a change that was sent may still
        take effect, so that it counts neither as a success nor as a conflict.
        """
        try:
            reply = await self._call("GET", f"{_url_path(name)}?deleted=1")
        except ObjectNotFound:
            reply = {"change_id": "", "version": 0, "body": None}
        except PlatformUnavailable:
            return 0
        if reply["change_id"] == content["change_id"]:
            return reply["version"]
        live_version = 0 if reply["body"] is None else reply["version"]
        version_changed = live_version != content["expected"]
        if version_changed and answer_lost:
            raise ChangeUnknown(
                f"{name} has version {live_version} now, from another change; this "
                "change may have been in force before: read it, then try again if "
                "needed"
            )
        if version_changed or isinstance(error, VersionConflict):
            raise VersionConflict(
                f"{name} has version {live_version} now; read it and try again"
            )
        return 0

    async def _call(
        self,
        method: str,
        path: str,
        content: dict[str, Any] | None = None,
        extra_wait_seconds: float = 0.0,
    ) -> dict[str, Any]:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor,
            self._call_blocking,
            method,
            path,
            content,
            extra_wait_seconds,
        )

    def _call_blocking(
        self, method: str, path: str, content: Any, extra_wait_seconds: float
    ) -> dict[str, Any]:
        timeout = self._timeout_seconds + extra_wait_seconds
        connection = http.client.HTTPConnection(self._host, self._port, timeout=timeout)
        self._open_connections.add(connection)
        try:
            body = None if content is None else json.dumps(content)
            connection.request(method, path, body=body)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise PlatformUnavailable(
                f"the platform at {self._host}:{self._port} does not answer "
                f"({error!r}); check its address, then try again"
            ) from error
        finally:
            self._open_connections.discard(connection)
            connection.close()
        return _check_reply(response.status, data, path)


async def write_object(
    platform: Platform, name: str, body: bytes, expected: int | None = None
) -> int:
    """Write an object over version `expected`, by default the current version."""
    if expected is None:
        expected = await current_version(platform, name)
    return await platform.put(name, body, expected)


async def current_version(platform: Platform, name: str) -> int:
    """Return the version of an object, 0 when it does not exist."""
    try:
        return (await platform.get(name)).version
    except ObjectNotFound:
        return 0


def _check_reply(status: int, data: bytes, path: str) -> dict[str, Any]:
    if status == 404:
        raise ObjectNotFound(f"{path} does not exist; list the objects to see names")
    if status == 409:
        raise VersionConflict(
            f"{path} was changed in the meantime; read it and try again"
        )
    if status == 410:
        raise WatchExpired(
            f"{path}: the platform no longer has these changes; watch again from 0"
        )
    if status != 200:
        raise PlatformUnavailable(
            f"the platform answered with status {status}; try again later"
        )
    try:
        return json.loads(data)
    except ValueError as error:
        raise PlatformUnavailable(
            "the platform sent no JSON; check the platform URL"
        ) from error


def _url_path(name: str) -> str:
    return "/objects/" + quote(name, safe="")


def _parse_object(item: dict[str, Any]) -> ConfigObject:
    body = item["body"]
    return ConfigObject(
        item["name"], item["version"], None if body is None else base64.b64decode(body)
    )


def _parse_watch_result(reply: dict[str, Any]) -> WatchResult:
    objects: Iterable[dict[str, Any]] = reply["objects"]
    parsed = [_parse_object(item) for item in objects]
    return WatchResult(reply["revision"], parsed, reply.get("complete", False))
