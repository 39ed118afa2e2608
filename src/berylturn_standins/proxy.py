"""Fault proxy for UDP and TCP: delay, loss, silence of chosen connections, cuts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import fire
from aiohttp import web

from berylturn.process.sockets import open_udp

from .faults import FaultyLink, LinkFaults
from .serving import run_until_signal, serve_http, split_address

Address = tuple[str, int]

CHUNK_BYTES = 65_536


@dataclass
class ProxySwitches:
    """State of the proxy; silenced connections stay so, new ones work."""

    cut: bool = False
    blocked: set[int] = field(default_factory=set)
    connections: set[int] = field(default_factory=set)
    silent: set[int] = field(default_factory=set)


class FaultProxy:
    """Relay one UDP port and one TCP port to a target, with faults."""

    def __init__(self, target: Address, faults: LinkFaults, seed: int) -> None:
        self._target = target
        self._link = FaultyLink(faults, seed)
        self._switches = ProxySwitches()
        self._udp: dict[Address, tuple[int, asyncio.DatagramTransport]] = {}
        self._next_id = 0
        self.packets = 0

    async def start(self, listen: Address) -> None:
        """Listen on UDP and TCP."""
        self._server_udp = await open_udp(listen, self._on_datagram)
        self._server_tcp = await asyncio.start_server(self._on_tcp, *listen)

    def build_app(self) -> web.Application:
        """Return the HTTP application that changes faults."""
        app = web.Application()
        app.router.add_post("/_faults", self._set_faults)
        app.router.add_post("/_silence", self._silence)
        app.router.add_post("/_cut", self._cut)
        app.router.add_post("/_block", self._block)
        app.router.add_get("/_stats", self._stats)
        return app

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self.packets += 1
        if source[1] in self._switches.blocked:
            return
        asyncio.ensure_future(self._relay_datagram(data, source))

    async def _relay_datagram(self, data: bytes, source: Address) -> None:
        if source not in self._udp:
            number = self._new_id()
            self._udp[source] = (number, None)
            transport = await open_udp(("127.0.0.1", 0), self._answerer(number, source))
            self._udp[source] = (number, transport)
        number, transport = self._udp[source]
        if transport is not None and self._open(number):
            self._link.pass_on(transport.sendto, data, self._target)

    def _answerer(self, number: int, source: Address):
        def receive(data: bytes, _peer: Address) -> None:
            if self._open(number):
                self._link.pass_on(self._server_udp.sendto, data, source)

        return receive

    async def _on_tcp(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._new_id()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(number, reader, far_writer),
            self._pump(number, far_reader, writer),
        )
        self._switches.connections.discard(number)

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._open(number):
                    writer.write(data)
            if self._open(number):
                writer.close()
        except OSError:
            if self._open(number):
                writer.transport.abort()

    def _new_id(self) -> int:
        self._next_id += 1
        self._switches.connections.add(self._next_id)
        return self._next_id

    def _open(self, number: int) -> bool:
        return not self._switches.cut and number not in self._switches.silent

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self._link.faults, name, value)
        return web.json_response({})

    async def _silence(self, _request: web.Request) -> web.Response:
        self._switches.silent |= self._switches.connections
        return web.json_response({"silenced": len(self._switches.silent)})

    async def _cut(self, request: web.Request) -> web.Response:
        self._switches.cut = bool((await request.json())["cut"])
        return web.json_response({})

    async def _block(self, request: web.Request) -> web.Response:
        """Drop what comes from some source ports, such as another data centre's."""
        self._switches.blocked = set((await request.json())["ports"])
        return web.json_response({})

    async def _stats(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "packets": self.packets,
                "connections": len(self._switches.connections),
                "silent": len(self._switches.silent),
            }
        )


def main(listen: str, target: str, admin: str, seed: int = 1) -> None:
    """Relay until SIGTERM."""

    async def start() -> FaultProxy:
        proxy = FaultProxy(split_address(target), LinkFaults(), seed)
        await proxy.start(split_address(listen))
        await serve_http(proxy.build_app(), *split_address(admin))
        return proxy

    run_until_signal(start)


if __name__ == "__main__":
    fire.Fire(main)
