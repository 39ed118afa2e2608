"""Stand-in of the users' platform: objects with revisions, watches and outages."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

PAGE_ITEMS = 3
HISTORY = 200
RATE_SECONDS = 1.0


@dataclass
class PlatformFaults:
    """What goes wrong at the stand-in.

    Attributes
    ----------
    mode : str
        ``""``, ``busy`` (503), ``many`` (429), ``reset`` or ``silent``.
    hosts : set of str
        Own IP addresses at which it answers so; all when empty.
    lost_answers : int
        Writes to carry out without an answer.
    """

    mode: str = ""
    hosts: set[str] = field(default_factory=set)
    lost_answers: int = 0


class ObjectStandIn:
    """Hold objects by kind and name in memory.

    Parameters
    ----------
    addresses : list of tuple of str and int
        Where to listen; one a caller lets `PlatformFaults` concern some callers alone.
    """

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self._addresses = addresses
        self.faults = PlatformFaults()
        self.calls = 0
        # Watches that wait for a change.
        self.open_watches = 0
        # Calls that met `trouble`.
        self.failed_calls = 0
        # Calls a second beyond which it answers 429, and how many it has answered so.
        self.max_calls_per_second: int | None = None
        self.rate_limited_calls = 0
        self._recent: deque[float] = deque()
        self._revision = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_route("*", "/-/objects/{kind}", self._serve)
        app.router.add_route("*", "/-/objects/{kind}/{name}", self._serve)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        for address in self._addresses:
            await web.TCPSite(self._runner, *address).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def names(self, kind: str) -> set[str]:
        """Return the names of the objects of a kind."""
        return set(self._objects.get(kind, {}))

    def body_of(self, kind: str, name: str) -> Any:
        """Return the body of an object, or None."""
        item = self._objects.get(kind, {}).get(name)
        return None if item is None else item["spec"]

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object as the operator does."""
        self._revision += 1
        held = self._objects.setdefault(kind, {}).get(name)
        created = held["meta"]["created_revision"] if held else self._revision
        meta = {"name": name, "revision": self._revision, "created_revision": created}
        item = {"meta": meta, "spec": spec, "status": None}
        self._objects[kind][name] = item
        await self._publish(kind, item, removed=False)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects[kind].pop(name)
        self._revision += 1
        await self._publish(kind, item, removed=True)

    async def forget_history(self) -> None:
        """Drop the history; watches from before are answered 410."""
        self._events.clear()
        self._forgotten = self._revision
        async with self._changed:
            self._changed.notify_all()

    async def _publish(self, kind: str, item: dict, removed: bool) -> None:
        self._events.append((self._revision, kind, item, removed))
        if len(self._events) > HISTORY:
            self._forgotten = self._events.pop(0)[0]
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self._is_over_limit():
            self.rate_limited_calls += 1
            return web.Response(status=429)
        trouble = self.faults
        called = request.transport.get_extra_info("sockname")[0]
        if trouble.mode and (not trouble.hosts or called in trouble.hosts):
            self.failed_calls += 1
            return await self._fail(request, trouble.mode)
        kind, name = request.match_info["kind"], request.match_info.get("name")
        if request.method == "GET":
            if "watch" in request.query:
                return await self._watch(request, kind)
            return self._list(request, kind)
        answer = await self._write(request, kind, name)
        if trouble.lost_answers:
            trouble.lost_answers -= 1
            return await self._fail(request, "reset")
        return answer

    def _is_over_limit(self) -> bool:
        now = asyncio.get_running_loop().time()
        self._recent.append(now)
        while now - self._recent[0] > RATE_SECONDS:
            self._recent.popleft()
        return (
            self.max_calls_per_second is not None
            and len(self._recent) > self.max_calls_per_second
        )

    async def _fail(self, request: web.Request, mode: str) -> web.Response:
        if mode == "silent":
            await asyncio.sleep(60)
        if mode in ("silent", "reset"):
            request.transport.abort()
        return web.Response(status=429 if mode == "many" else 503)

    def _list(self, request: web.Request, kind: str) -> web.Response:
        after = request.query.get("after", "")
        items = sorted(self._objects.get(kind, {}).items())
        left = [item for name, item in items if name > after]
        body = {
            "items": left[:PAGE_ITEMS],
            "more": len(left) > PAGE_ITEMS,
            "at_revision": self._revision,
        }
        return _json(body)

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1000

        def is_due() -> bool:
            return since < self._forgotten or bool(self._news(kind, since))

        self.open_watches += 1
        try:
            async with self._changed:
                await asyncio.wait_for(self._changed.wait_for(is_due), seconds)
        except TimeoutError:
            pass
        finally:
            self.open_watches -= 1
        if since < self._forgotten:
            return web.Response(status=410)
        events = self._news(kind, since)
        return _json({"events": events, "at_revision": self._revision})

    def _news(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "removed": removed}
            for revision, of_kind, item, removed in self._events
            if revision > since and of_kind == kind
        ]

    async def _write(
        self, request: web.Request, kind: str, name: str | None
    ) -> web.Response:
        objects = self._objects.setdefault(kind, {})
        data = await request.json() if request.can_read_body else {}
        name = name or data["meta"]["name"]
        wanted = request.query.get("revision") or data.get("meta", {}).get("revision")
        held = objects.get(name)
        if held is None and request.method != "POST":
            return web.Response(status=404)
        if held is not None and request.method == "POST":
            return _json(held, 409)
        if held is not None and wanted and int(wanted) != held["meta"]["revision"]:
            return _json(held, 409)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return _json(held)
        if held is None or held["spec"] != data["spec"]:
            await self.put(kind, name, data["spec"])
        return _json(objects[name])


def _json(body: Any, status: int = 200) -> web.Response:
    dumps: Callable[[Any], str] = json.dumps
    return web.json_response(body, status=status, dumps=dumps)
