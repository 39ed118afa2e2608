"""Stand-in of the network fabric: sends each packet to a random live balancer."""

from __future__ import annotations

import asyncio
import random

import fire
import msgspec
from aiohttp import web

from berylturn.clock import SystemClock
from berylturn.process.fabric import FabricMessage
from berylturn.process.sockets import open_udp

from .faults import FaultyLink, LinkFaults
from .serving import run_until_signal, serve_http, split_address

CLOCK = SystemClock()

Address = tuple[str, int]

# A balancer gets no more packets when its last announcement is older than this.
ANNOUNCEMENT_TTL_SECONDS = 1.0


class FabricStandIn:
    """Relay datagrams between callers and balancers, with faults.

    Each caller has a socket of its own towards the balancers, so that any balancer can
    reply to it.
    """

    def __init__(self, faults: LinkFaults, seed: int) -> None:
        self._link = FaultyLink(faults, seed)
        self._random = random.Random(seed)
        # Time of the last announcement by balancer.
        self._announced_at: dict[Address, float] = {}
        # Sockets towards the balancers, by caller and index of the service.
        self._callers: dict[tuple[Address, int], asyncio.DatagramTransport] = {}
        # Packets that wait until the caller's socket is open.
        self._queued: dict[tuple[Address, int], list[bytes]] = {}
        self._decoder = msgspec.msgpack.Decoder(FabricMessage)
        self._silenced: set[tuple[Address, int]] = set()
        self.packets = 0
        self.undelivered = 0

    async def start(self, services: list[Address], control: Address) -> None:
        """Listen on the services' addresses and on the control address."""
        self._control = await open_udp(control, self._on_announcement)
        for index, address in enumerate(services):
            await self._open_service(index, address)

    def build_app(self) -> web.Application:
        """Return the HTTP application that sets faults and reports counts."""
        app = web.Application()
        app.router.add_post("/_faults", self._set_faults)
        app.router.add_post("/_silence", self._silence_callers)
        app.router.add_get("/_stats", self._report_stats)
        return app

    async def _open_service(self, index: int, address: Address) -> None:
        def receive(data: bytes, caller: Address) -> None:
            self._link.transmit(self._relay_from_caller, index, data, caller)

        transport = await open_udp(address, receive)
        self._services = {**getattr(self, "_services", {}), index: transport}

    def _on_announcement(self, data: bytes, _source: Address) -> None:
        message = self._decoder.decode(data)
        address = (message.host, message.port)
        if message.up:
            self._announced_at[address] = CLOCK.monotonic()
        else:
            self._announced_at.pop(address, None)

    def _relay_from_caller(self, index: int, data: bytes, caller: Address) -> None:
        key = (caller, index)
        if key in self._silenced:
            return
        transport = self._callers.get(key)
        if transport is not None:
            self._send_to_random_balancer(transport, data)
        elif key in self._queued:
            self._queued[key].append(data)
        else:
            self._queued[key] = [data]
            asyncio.ensure_future(self._open_caller(key))

    async def _open_caller(self, key: tuple[Address, int]) -> None:
        caller, index = key

        def receive(data: bytes, _balancer: Address) -> None:
            if key not in self._silenced:
                self._link.transmit(self._services[index].sendto, data, caller)

        transport = await open_udp(("127.0.0.1", 0), receive)
        self._callers[key] = transport
        for data in self._queued.pop(key):
            self._send_to_random_balancer(transport, data)

    def _send_to_random_balancer(
        self, transport: asyncio.DatagramTransport, data: bytes
    ) -> None:
        oldest = CLOCK.monotonic() - ANNOUNCEMENT_TTL_SECONDS
        live = [a for a, time in self._announced_at.items() if time >= oldest]
        self.packets += 1
        if not live:
            self.undelivered += 1
            return
        transport.sendto(data, self._random.choice(live))

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self._link.faults, name, value)
        return web.json_response({})

    async def _silence_callers(self, _request: web.Request) -> web.Response:
        """Drop all further packets from and to the present callers' source ports."""
        self._silenced = set(self._callers)
        return web.json_response({"silenced": len(self._silenced)})

    async def _report_stats(self, _request: web.Request) -> web.Response:
        oldest = CLOCK.monotonic() - ANNOUNCEMENT_TTL_SECONDS
        live = sum(time >= oldest for time in self._announced_at.values())
        return web.json_response(
            {
                "balancers": live,
                "packets": self.packets,
                "undelivered": self.undelivered,
            }
        )


def main(
    services: str,
    control: str,
    admin: str,
    loss: float = 0.0,
    delay_ms: float = 0.0,
    seed: int = 1,
) -> None:
    """Relay until SIGTERM; `loss` is percent dropped, doubled and reordered."""
    share = loss / 100
    faults = LinkFaults(delay_ms / 1000, share, share, share)

    async def start() -> FabricStandIn:
        fabric = FabricStandIn(faults, seed)
        addresses = [split_address(part) for part in services.split("+")]
        await fabric.start(addresses, split_address(control))
        await serve_http(fabric.build_app(), *split_address(admin))
        return fabric

    run_until_signal(start)


if __name__ == "__main__":
    fire.Fire(main)
