"""Fault proxy for UDP and TCP: delay, loss, silence of chosen connections, cuts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
    blocked_hosts: set[str] = field(default_factory=set)
    connections: set[int] = field(default_factory=set)
    silent: set[int] = field(default_factory=set)


class FaultProxy:
    """Relay one UDP port and one TCP port to a target, with faults.

    Parameters
    ----------
    target : tuple of str and int
        Where to relay to.
    faults : LinkFaults
        Faults of the link; they may be changed while it is in use.
    seed : int
        Seed of the random choices.
    local_host_for : callable
        Returns the IP address that stands for a sender's host towards the target.
    """

    def __init__(
        self,
        target: Address,
        faults: LinkFaults,
        seed: int,
        local_host_for: Callable[[str], str] = lambda host: "127.0.0.1",
    ) -> None:
        self._target = target
        self._link = FaultyLink(faults, seed)
        self._local_host_for = local_host_for
        self._switches = ProxySwitches()
        self._writers: dict[int, list[asyncio.StreamWriter]] = {}
        self._udp: dict[Address, tuple[int, asyncio.DatagramTransport]] = {}
        self._server_udp: asyncio.DatagramTransport | None = None
        self._server_tcp: asyncio.Server | None = None
        self._next_id = 0
        self.packets = 0

    @property
    def faults(self) -> LinkFaults:
        """Return the faults of the link, to be changed."""
        return self._link.faults

    async def start(self, listen: Address) -> None:
        """Listen on UDP and TCP."""
        self._server_udp = await open_udp(listen, self._on_datagram)
        self._server_tcp = await asyncio.start_server(self._on_tcp, *listen)

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server_udp is not None:
            self._server_udp.close()
        if self._server_tcp is not None:
            self._server_tcp.close()
        for _, transport in self._udp.values():
            if transport is not None:
                transport.close()
        self.reset_connections()

    def cut(self, cut: bool) -> None:
        """Let nothing through, or everything again."""
        self._switches.cut = cut

    def block_hosts(self, hosts: set[str]) -> None:
        """Drop what comes from some hosts and nothing else."""
        self._switches.blocked_hosts = hosts

    def silence_connections(self) -> int:
        """Let the connections of now go silent for good; return how many have."""
        self._switches.silent |= self._switches.connections
        return len(self._switches.silent)

    def reset_connections(self) -> None:
        """Reset the TCP connections of now."""
        for writers in list(self._writers.values()):
            for writer in writers:
                writer.transport.abort()

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
        if source[1] in self._switches.blocked or self._is_blocked(source):
            return
        asyncio.ensure_future(self._relay_datagram(data, source))

    async def _relay_datagram(self, data: bytes, source: Address) -> None:
        if source not in self._udp:
            number = self._new_id()
            self._udp[source] = (number, None)
            local = (self._local_host_for(source[0]), 0)
            transport = await open_udp(local, self._answerer(number, source))
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
        if self._is_blocked(writer.get_extra_info("peername")):
            writer.transport.abort()
            return
        number = self._new_id()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers[number] = [writer, far_writer]
        try:
            await asyncio.gather(
                self._pump(number, reader, far_writer),
                self._pump(number, far_reader, writer),
            )
        finally:
            del self._writers[number]
            self._switches.connections.discard(number)

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._link.faults.delay)
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

    def _is_blocked(self, source: Address) -> bool:
        return source[0] in self._switches.blocked_hosts

    def _open(self, number: int) -> bool:
        return not self._switches.cut and number not in self._switches.silent

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self._link.faults, name, value)
        return web.json_response({})

    async def _silence(self, _request: web.Request) -> web.Response:
        return web.json_response({"silenced": self.silence_connections()})

    async def _cut(self, request: web.Request) -> web.Response:
        self.cut(bool((await request.json())["cut"]))
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
