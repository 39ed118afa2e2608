"""Stand-in of a statsd server: adds up counters by node."""

from __future__ import annotations

import asyncio
from collections import Counter

from berylturn.process.sockets import open_udp

PREFIX = "berylturn."


class StatsdStandIn:
    """Collect counters that daemons send, as totals by node and name."""

    def __init__(self) -> None:
        self.counters: dict[str, Counter[str]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Start to listen."""
        self._transport = await open_udp(address, self._on_datagram)

    def close(self) -> None:
        """Stop listening."""
        self._transport.close()

    def total(self, name: str) -> int:
        """Return the sum of one counter over all nodes."""
        return sum(counters[name] for counters in self.counters.values())

    def _on_datagram(self, data: bytes, _source: tuple[str, int]) -> None:
        for line in data.decode().splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            if kind == "c" and name.startswith(PREFIX):
                node, _, metric = name.removeprefix(PREFIX).partition(".")
                counters = self.counters.setdefault(node, Counter())
                counters[metric] += int(value)
