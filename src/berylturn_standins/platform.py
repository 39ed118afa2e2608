"""Stand-in of the platform's object API, with switches for its failures."""

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
    """One object; `body` is base64 text, None once deleted."""

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
class Switches:
    """Failures to act out.

    Attributes
    ----------
    outage : bool
        Refuse every call.
    delay : float
        Seconds before each answer.
    lose_answers : int
        How many of the next writes take effect but lose their answer.
    stale : bool
        Answer reads from the state at the moment this was switched on.
    """

    outage: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    stale: bool = False


class PlatformStandIn:
    """Hold objects in memory and serve them over HTTP."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._stale: dict[str, StoredObject] = {}
        self._revision = 0
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self._calls: collections.Counter[str] = collections.Counter()
        self._recent: collections.deque[float] = collections.deque(maxlen=100_000)
        self.switches = Switches()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(middlewares=[self._fail])
        app.router.add_get("/objects", self._list)
        app.router.add_get("/objects/{name:.*}", self._get)
        app.router.add_put("/objects/{name:.*}", self._put)
        app.router.add_delete("/objects/{name:.*}", self._delete)
        app.router.add_get("/watch", self._watch)
        app.router.add_post("/_switches", self._switch)
        app.router.add_post("/_compact", self._compact)
        app.router.add_get("/_stats", self._stats)
        return app

    @web.middleware
    async def _fail(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path.startswith("/_"):
            return await handler(request)
        self._calls[request.method + " " + request.path.split("/")[1]] += 1
        self._recent.append(CLOCK.monotonic())
        if self.switches.outage:
            raise web.HTTPServiceUnavailable()
        try:
            response = await handler(request)
        except web.HTTPException as error:
            response = error
        if self.switches.delay:
            await asyncio.sleep(self.switches.delay)
        if self.switches.outage:
            raise web.HTTPServiceUnavailable()
        if request.method in ("PUT", "DELETE") and self.switches.lose_answers:
            self.switches.lose_answers -= 1
            request.transport.abort()
        if isinstance(response, web.HTTPException):
            raise response
        return response

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        found = [
            item.to_json()
            for item in self._readable().values()
            if item.body is not None and item.name.startswith(prefix)
        ]
        return web.json_response({"revision": self._revision, "objects": found})

    async def _get(self, request: web.Request) -> web.Response:
        item = self._readable().get(request.match_info["name"])
        if item is None or (item.body is None and "deleted" not in request.query):
            raise web.HTTPNotFound()
        return web.json_response(item.to_json())

    async def _put(self, request: web.Request) -> web.Response:
        content = await request.json()
        return await self._write(request.match_info["name"], content, content["body"])

    async def _delete(self, request: web.Request) -> web.Response:
        content = await request.json()
        return await self._write(request.match_info["name"], content, None)

    async def _write(self, name: str, content: dict, body: str | None) -> web.Response:
        known = self._objects.get(name)
        live = known.version if known is not None and known.body is not None else 0
        if live != content["expected"]:
            raise web.HTTPConflict()
        self._revision += 1
        item = StoredObject(name, self._revision, body, content["change_id"])
        self._objects[name] = item
        async with self._changed:
            self._changed.notify_all()
        return web.json_response({"version": item.version})

    async def _watch(self, request: web.Request) -> web.Response:
        since = int(request.query["since"])
        wait = float(request.query["wait"])
        kinds = set(request.query["kinds"].replace("+", " ").split())
        if 0 < since < self._forgotten:
            raise web.HTTPGone()
        if wait:
            await self._wait_for_change(since, wait, kinds)
        found = [
            o.to_json()
            for o in self._changes(since, kinds)
            if since or o.body is not None
        ]
        return web.json_response(
            {"revision": self._revision, "objects": found, "complete": since == 0}
        )

    async def _wait_for_change(self, since: int, wait: float, kinds: set[str]) -> None:
        def changed() -> bool:
            return self.switches.outage or bool(self._changes(since, kinds))

        try:
            async with self._changed, asyncio.timeout(wait):
                await self._changed.wait_for(changed)
        except TimeoutError:
            return

    def _changes(self, since: int, kinds: set[str]) -> list[StoredObject]:
        return [
            item
            for item in self._objects.values()
            if item.version > since and item.name.split("/")[0] in kinds
        ]

    def _readable(self) -> dict[str, StoredObject]:
        return self._stale if self.switches.stale else self._objects

    async def _switch(self, request: web.Request) -> web.Response:
        values = await request.json()
        if values.get("stale"):
            self._stale = dict(self._objects)
        for name, value in values.items():
            setattr(self.switches, name, value)
        if self.switches.outage:
            async with self._changed:
                self._changed.notify_all()
        return web.json_response({})

    async def _compact(self, _request: web.Request) -> web.Response:
        """Forget all deletions so far, and with them the way to earlier revisions."""
        live = {n: o for n, o in self._objects.items() if o.body is not None}
        self._objects = live
        self._forgotten = self._revision
        return web.json_response({})

    async def _stats(self, _request: web.Request) -> web.Response:
        since = CLOCK.monotonic() - 1.0
        rate = sum(1 for moment in self._recent if moment >= since)
        return web.json_response(
            {"calls": self._calls, "rate": rate, "revision": self._revision}
        )


def main(host: str = "127.0.0.1", port: int = 8000) -> None:
    """Serve until SIGTERM."""

    async def start() -> web.AppRunner:
        return await serve_http(PlatformStandIn().build_app(), host, port)

    run_until_signal(start)


if __name__ == "__main__":
    fire.Fire(main)
