"""Stand-in of the platform's object API, with faults that can be switched on."""

from __future__ import annotations

import asyncio
import collections
from dataclasses import dataclass

import fire
from aiohttp import web

from berylturn.clock import SystemClock

from .serving import run_until_signal, serve_http

CLOCK = SystemClock()


@dataclass
class StoredObject:
    """Store one object; `body` is base64 text, or None once deleted."""

    name: str
    version: int
    body: str | None
    change_id: str

    def to_json(self) -> dict:
        """Return the JSON form."""
        return {
            "name": self.name,
            "version": self.version,
            "body": self.body,
            "change_id": self.change_id,
        }


@dataclass
class PlatformFaults:
    """Faults of the stand-in, which may be changed while it runs.

    Attributes
    ----------
    outage : bool
        Refuse every call.
    delay : float
        Seconds before each response.
    lose_answers : int
        How many of the next writes are carried out but not answered.
    stale : bool
        Serve reads from the state at the moment when this was switched on.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    stale: bool = False


class PlatformStandIn:
    """Store objects in memory and serve them over HTTP."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._stale_objects: dict[str, StoredObject] = {}
        self._revision = 0
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._call_counts: collections.Counter[str] = collections.Counter()
        self._call_times: collections.deque[float] = collections.deque(maxlen=100_000)
        self.faults = PlatformFaults()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._inject_faults])
        app.router.add_get("/objects", self._list)
        app.router.add_get("/objects/{name:.*}", self._get)
        app.router.add_put("/objects/{name:.*}", self._put)
        app.router.add_delete("/objects/{name:.*}", self._delete)
        app.router.add_get("/watch", self._watch)
        app.router.add_post("/_switches", self._set_faults)
        app.router.add_post("/_compact", self._compact)
        app.router.add_get("/_stats", self._stats)
        return app

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path.startswith("/_"):
            return await handler(request)
        self._call_counts[request.method + " " + request.path.split("/")[1]] += 1
        self._call_times.append(CLOCK.monotonic())
        if self.faults.outage:
            raise web.HTTPServiceUnavailable()
        try:
            response = await handler(request)
        except web.HTTPException as error:
            response = error
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable()
        if request.method in ("PUT", "DELETE") and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abort()
        if isinstance(response, web.HTTPException):
            raise response
        return response

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        documents = [
            stored.to_json()
            for stored in self._visible_objects().values()
            if stored.body is not None and stored.name.startswith(prefix)
        ]
        return web.json_response({"revision": self._revision, "objects": documents})

    async def _get(self, request: web.Request) -> web.Response:
        stored = self._visible_objects().get(request.match_info["name"])
        if stored is None or (stored.body is None and "deleted" not in request.query):
            raise web.HTTPNotFound()
        return web.json_response(stored.to_json())

    async def _put(self, request: web.Request) -> web.Response:
        content = await request.json()
        return await self._write(request.match_info["name"], content, content["body"])

    async def _delete(self, request: web.Request) -> web.Response:
        content = await request.json()
        return await self._write(request.match_info["name"], content, None)

    async def _write(self, name: str, content: dict, body: str | None) -> web.Response:
        current = self._objects.get(name)
        current_version = (
            current.version if current is not None and current.body is not None else 0
        )
        if current_version != content["expected"]:
            raise web.HTTPConflict()
        self._revision += 1
        stored = StoredObject(name, self._revision, body, content["change_id"])
        self._objects[name] = stored
        async with self._changed:
            self._changed.notify_all()
        return web.json_response({"version": stored.version})

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        wait = float(request.query["wait"])
        kinds = set(request.query["kinds"].replace("+", " ").split())
        if 0 < since < self._compacted_revision:
            raise web.HTTPGone()
        if wait:
            await self._wait_for_change(since, wait, kinds)
        documents = [
            stored.to_json()
            for stored in self._changed_objects(since, kinds)
            if since or stored.body is not None
        ]
        return web.json_response(
            {"revision": self._revision, "objects": documents, "complete": since == 0}
        )

    async def _wait_for_change(self, since: int, wait: float, kinds: set[str]) -> None:
        def changed() -> bool:
            return self.faults.outage or bool(self._changed_objects(since, kinds))

        try:
            async with self._changed, asyncio.timeout(wait):
                await self._changed.wait_for(changed)
        except TimeoutError:
            return

    def _changed_objects(self, since: int, kinds: set[str]) -> list[StoredObject]:
        return [
            stored
            for stored in self._objects.values()
            if stored.version > since and stored.name.split("/")[0] in kinds
        ]

    def _visible_objects(self) -> dict[str, StoredObject]:
        return self._stale_objects if self.faults.stale else self._objects

    async def _set_faults(self, request: web.Request) -> web.Response:
        values = await request.json()
        if values.get("stale"):
            self._stale_objects = dict(self._objects)
        for name, value in values.items():
            setattr(self.faults, name, value)
        if self.faults.outage:
            async with self._changed:
                self._changed.notify_all()
        return web.json_response({})

    async def _compact(self, _request: web.Request) -> web.Response:
        """Drop all tombstones; watches from earlier revisions are then answered 410."""
        live_objects = {
            name: stored
            for name, stored in self._objects.items()
            if stored.body is not None
        }
        self._objects = live_objects
        self._compacted_revision = self._revision
        return web.json_response({})

    async def _stats(self, _request: web.Request) -> web.Response:
        since = CLOCK.monotonic() - 1.0
        rate = sum(1 for called_at in self._call_times if called_at >= since)
        return web.json_response(
            {"calls": self._call_counts, "rate": rate, "revision": self._revision}
        )


def main(host: str = "127.0.0.1", port: int = 8000) -> None:
    """Serve until SIGTERM."""

    async def start() -> web.AppRunner:
        return await serve_http(PlatformStandIn().build_app(), host, port)

    run_until_signal(start)


if __name__ == "__main__":
    fire.Fire(main)
