"""Fault proxy for UDP and TCP: delay, loss, silenced connections and cuts."""

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
class ProxyState:
    """What the proxy blocks.

    Attributes
    ----------
    cut : bool
        Whether nothing is forwarded.
    blocked_ports : set of int
        Source ports whose datagrams are dropped.
    blocked_hosts : set of str
        Source hosts whose datagrams are dropped and whose connections are reset.
    connections : set of int
        Ids of the present TCP connections and UDP associations.
    silenced : set of int
        Ids of connections on which nothing is forwarded any more; new ones work.
    """

    cut: bool = False
    blocked_ports: set[int] = field(default_factory=set)
    blocked_hosts: set[str] = field(default_factory=set)
    connections: set[int] = field(default_factory=set)
    silenced: set[int] = field(default_factory=set)


class FaultProxy:
    """Relay one UDP port and one TCP port to a target, with faults.

    Parameters
    ----------
    target : tuple of str and int
        Address to relay to.
    faults : LinkFaults
        Faults of the link; they may be changed while it is in use.
    seed : int
        Seed of the random choices.
    local_host_for : callable
        Returns the IP address from which to send to the target for a sender's host.
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
        self._state = ProxyState()
        self._writers: dict[int, list[asyncio.StreamWriter]] = {}
        # Id and socket towards the target, by source; None while the socket opens.
        self._associations: dict[Address, tuple[int, asyncio.DatagramTransport]] = {}
        self._server_udp: asyncio.DatagramTransport | None = None
        self._server_tcp: asyncio.Server | None = None
        self._last_id = 0
        self.packets = 0

    @property
    def faults(self) -> LinkFaults:
        """Return the faults of the link, to be changed."""
        return self._link.faults

    async def start(self, listen: Address) -> None:
        """Listen on UDP and TCP."""
        self._server_udp = await open_udp(listen, self._on_datagram)
        self._server_tcp = await asyncio.start_server(self._on_connection, *listen)

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server_udp is not None:
            self._server_udp.close()
        if self._server_tcp is not None:
            self._server_tcp.close()
        for _, transport in self._associations.values():
            if transport is not None:
                transport.close()
        self.reset_connections()

    def set_cut(self, cut: bool) -> None:
        """Stop or resume forwarding."""
        self._state.cut = cut

    def block_hosts(self, hosts: set[str]) -> None:
        """Drop what comes from these hosts, and from these only."""
        self._state.blocked_hosts = hosts

    def silence_connections(self) -> int:
        """Silence the present connections; return how many are silenced in total."""
        self._state.silenced |= self._state.connections
        return len(self._state.silenced)

    def reset_connections(self) -> None:
        """Reset the present TCP connections."""
        for writers in list(self._writers.values()):
            for writer in writers:
                writer.transport.abort()

    def build_app(self) -> web.Application:
        """Return the HTTP application that sets faults and reports counts."""
        app = web.Application()
        app.router.add_post("/_faults", self._handle_faults)
        app.router.add_post("/_silence", self._handle_silence)
        app.router.add_post("/_cut", self._handle_cut)
        app.router.add_post("/_block", self._handle_block)
        app.router.add_get("/_stats", self._handle_stats)
        return app

    def _on_datagram(self, data: bytes, source: Address) -> None:
        self.packets += 1
        if source[1] in self._state.blocked_ports or self._is_host_blocked(source):
            return
        asyncio.ensure_future(self._relay_datagram(data, source))

    async def _relay_datagram(self, data: bytes, source: Address) -> None:
        if source not in self._associations:
            connection_id = self._next_id()
            self._associations[source] = (connection_id, None)
            local = (self._local_host_for(source[0]), 0)
            transport = await open_udp(
                local, self._make_reply_handler(connection_id, source)
            )
            self._associations[source] = (connection_id, transport)
        connection_id, transport = self._associations[source]
        if transport is not None and self._is_forwarding(connection_id):
            self._link.transmit(transport.sendto, data, self._target)

    def _make_reply_handler(self, connection_id: int, source: Address):
        def receive(data: bytes, _peer: Address) -> None:
            if self._is_forwarding(connection_id):
                self._link.transmit(self._server_udp.sendto, data, source)

        return receive

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_host_blocked(writer.get_extra_info("peername")):
            writer.transport.abort()
            return
        connection_id = self._next_id()
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers[connection_id] = [writer, target_writer]
        try:
            await asyncio.gather(
                self._relay_stream(connection_id, reader, target_writer),
                self._relay_stream(connection_id, target_reader, writer),
            )
        finally:
            del self._writers[connection_id]
            self._state.connections.discard(connection_id)

    async def _relay_stream(
        self,
        connection_id: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self._link.faults.delay)
                if self._is_forwarding(connection_id):
                    writer.write(data)
            if self._is_forwarding(connection_id):
                writer.close()
        except OSError:
            if self._is_forwarding(connection_id):
                writer.transport.abort()

    def _next_id(self) -> int:
        self._last_id += 1
        self._state.connections.add(self._last_id)
        return self._last_id

    def _is_host_blocked(self, source: Address) -> bool:
        return source[0] in self._state.blocked_hosts

    def _is_forwarding(self, connection_id: int) -> bool:
        return not self._state.cut and connection_id not in self._state.silenced

    async def _handle_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self._link.faults, name, value)
        return web.json_response({})

    async def _handle_silence(self, _request: web.Request) -> web.Response:
        return web.json_response({"silenced": self.silence_connections()})

    async def _handle_cut(self, request: web.Request) -> web.Response:
        self.set_cut(bool((await request.json())["cut"]))
        return web.json_response({})

    async def _handle_block(self, request: web.Request) -> web.Response:
        """Drop datagrams from some source ports, such as another data centre's."""
        self._state.blocked_ports = set((await request.json())["ports"])
        return web.json_response({})

    async def _handle_stats(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "packets": self.packets,
                "connections": len(self._state.connections),
                "silent": len(self._state.silenced),
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
