"""Channels to other nodes: datagrams to a peer port, from a port that may be replaced.

Load pattern: something between two hosts loses track of one channel and forwards
nothing on it any more, while the peer lives and new channels work. Frames to a peer
that owes an answer are then sent from a new source port.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from .logs import log_warning
from .sockets import Address, open_udp

# Silence of a peer after which its channel is rebound; twice what a report takes.
REBIND_AFTER_SECONDS = 1.2
# Sockets beside the shared one; the oldest is closed for a further one.
MAX_REBOUND = 32


class PeerChannels:
    """Send datagrams to other nodes.

    Parameters
    ----------
    shared : DatagramTransport
        Socket at the peer port, used for all channels that were not rebound.
    bind_host : str
        IP address that further sockets are bound to.
    port : int
        Peer port of all nodes.
    """

    def __init__(
        self, shared: asyncio.DatagramTransport, bind_host: str, port: int
    ) -> None:
        self._shared = shared
        self._bind_host = bind_host
        self._port = port
        self._rebound: dict[str, asyncio.DatagramTransport] = {}
        # Peers whose channels were rebound in their present silence.
        self._silent: set[str] = set()

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram to a node; raise `OSError` or `ValueError` for no address."""
        transport = self._rebound.get(host, self._shared)
        transport.sendto(data, (host, self._port))

    async def rebind(self, silent: Iterable[str]) -> None:
        """Rebind the channels to peers that owe an answer, once for each silence."""
        hosts = set(silent)
        due = sorted(hosts - self._silent)
        self._silent = hosts
        for host in due:
            self._close(host)
            self._rebound[host] = await open_udp((self._bind_host, 0), _ignore)
            log_warning("channel_rebound", address=f"{host}:{self._port}")
            if len(self._rebound) > MAX_REBOUND:
                self._close(next(iter(self._rebound)))

    def _close(self, host: str) -> None:
        transport = self._rebound.pop(host, None)
        if transport is not None:
            transport.close()


def _ignore(data: bytes, source: Address) -> None:
    """Drop a datagram: nodes answer to the peer port."""
