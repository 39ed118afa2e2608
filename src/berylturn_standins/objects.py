"""Stand-in of the users' platform: objects with revisions, watches and outages."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
from aiohttp import web

# Small, so that short lists have several pages.
PAGE_SIZE = 3
# Changes that are kept; a watch from before them is answered 410.
HISTORY_LENGTH = 200
RATE_WINDOW_SECONDS = 1.0


@dataclass
class PlatformFaults:
    """Faults of the stand-in, which may be changed while it runs.

    Attributes
    ----------
    mode : str
        How calls fail: ``busy`` (status 503), ``many`` (429), ``reset`` or ``silent``
        (no answer for a minute, then reset). Calls succeed when it is ``""``.
    hosts : set of str
        IP addresses of the stand-in at which `mode` applies; all when empty.
    lost_answers : int
        How many of the next writes are carried out but not answered.
    """

    mode: str = ""
    hosts: set[str] = field(default_factory=set)
    lost_answers: int = 0


class ObjectStandIn:
    """Hold objects by kind and name in memory.

    Parameters
    ----------
    addresses : list of tuple of str and int
        Where to listen. With one address for each caller, faults can be limited to
        some callers.
    """

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        self._addresses = addresses
        self.faults = PlatformFaults()
        # Calls by what they do ("watch" if they wait, "read" if they ask for changes at
        # once, "list KIND" or "write"), and by the address that was called.
        self.calls: Counter[str] = Counter()
        self.calls_by_host: Counter[str] = Counter()
        # Watches that wait for a change.
        self.open_watches = 0
        # Calls that failed because of `faults.mode`.
        self.failed_calls = 0
        self.rate_limited_calls = 0
        self._max_calls_per_second: int | None = None
        self._call_times: deque[float] = deque()
        self._revision = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        # Revision, kind, object, and whether it was removed; oldest first.
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        # Revision of the newest event that was dropped from the history.
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    def limit_calls(self, calls_per_second: int) -> None:
        """Answer 429 to calls above a rate from now on; count `rate_limited_calls`."""
        self._call_times.clear()
        self._max_calls_per_second = calls_per_second

    async def start(self) -> None:
        """Listen on all addresses."""
        app = web.Application()
        app.router.add_route("*", "/-/objects/{kind}", self._handle)
        app.router.add_route("*", "/-/objects/{kind}/{name}", self._handle)
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

    def get_spec(self, kind: str, name: str) -> Any:
        """Return the ``spec`` of an object, or None if there is no such object."""
        item = self._objects.get(kind, {}).get(name)
        return None if item is None else item["spec"]

    async def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object as the operator does."""
        self._revision += 1
        stored = self._objects.setdefault(kind, {}).get(name)
        created = stored["meta"]["created_revision"] if stored else self._revision
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
        """Drop all events; watches from an earlier revision are answered 410."""
        self._events.clear()
        self._compacted_revision = self._revision
        async with self._changed:
            self._changed.notify_all()

    async def _publish(self, kind: str, item: dict, removed: bool) -> None:
        self._events.append((self._revision, kind, item, removed))
        if len(self._events) > HISTORY_LENGTH:
            self._compacted_revision = self._events.pop(0)[0]
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: web.Request) -> web.Response:
        local_host = request.transport.get_extra_info("sockname")[0]
        self.calls[_classify_call(request)] += 1
        self.calls_by_host[local_host] += 1
        if self._is_over_rate_limit():
            self.rate_limited_calls += 1
            return web.Response(status=429)
        faults = self.faults
        if faults.mode and (not faults.hosts or local_host in faults.hosts):
            self.failed_calls += 1
            return await self._fail(request, faults.mode)
        kind, name = request.match_info["kind"], request.match_info.get("name")
        if request.method == "GET":
            if "watch" in request.query:
                return await self._watch(request, kind)
            return self._list(request, kind)
        response = await self._write(request, kind, name)
        if faults.lost_answers:
            faults.lost_answers -= 1
            return await self._fail(request, "reset")
        return response

    def _is_over_rate_limit(self) -> bool:
        now = asyncio.get_running_loop().time()
        self._call_times.append(now)
        while now - self._call_times[0] > RATE_WINDOW_SECONDS:
            self._call_times.popleft()
        return (
            self._max_calls_per_second is not None
            and len(self._call_times) > self._max_calls_per_second
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
        remaining = [item for name, item in items if name > after]
        body = {
            "items": remaining[:PAGE_SIZE],
            "more": len(remaining) > PAGE_SIZE,
            "at_revision": self._revision,
        }
        return _json_response(body)

    async def _watch(self, request: web.Request, kind: str) -> web.Response:
        since = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1000

        def is_due() -> bool:
            return since < self._compacted_revision or bool(
                self._events_since(kind, since)
            )

        self.open_watches += 1
        try:
            async with self._changed:
                await asyncio.wait_for(self._changed.wait_for(is_due), seconds)
        except TimeoutError:
            pass
        finally:
            self.open_watches -= 1
        if since < self._compacted_revision:
            return web.Response(status=410)
        events = self._events_since(kind, since)
        return _json_response({"events": events, "at_revision": self._revision})

    def _events_since(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"object": item, "removed": removed}
            for revision, event_kind, item, removed in self._events
            if revision > since and event_kind == kind
        ]

    async def _write(
        self, request: web.Request, kind: str, name: str | None
    ) -> web.Response:
        objects = self._objects.setdefault(kind, {})
        data = await request.json() if request.can_read_body else {}
        name = name or data["meta"]["name"]
        expected = request.query.get("revision") or data.get("meta", {}).get("revision")
        stored = objects.get(name)
        if stored is None and request.method != "POST":
            return web.Response(status=404)
        if stored is not None and request.method == "POST":
            return _json_response(stored, 409)
        if (
            stored is not None
            and expected
            and int(expected) != stored["meta"]["revision"]
        ):
            return _json_response(stored, 409)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return _json_response(stored)
        if stored is None or stored["spec"] != data["spec"]:
            await self.put(kind, name, data["spec"])
        return _json_response(objects[name])


def _classify_call(request: web.Request) -> str:
    if request.method != "GET":
        return "write"
    if "watch" not in request.query:
        return f"list {request.match_info['kind']}"
    return "watch" if int(request.query.get("wait_ms", "0")) else "read"


def _json_response(body: Any, status: int = 200) -> web.Response:
    # msgspec also writes a `msgspec.Raw`, such as a text that is nested too deeply.
    data = msgspec.json.encode(body)
    return web.Response(body=data, status=status, content_type="application/json")
