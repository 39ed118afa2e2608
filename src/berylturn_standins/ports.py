"""Ports for the processes of a deployment."""

from __future__ import annotations

import itertools
import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000

# Processes start the search at different ports, so that they rarely race for one.
_candidate_ports = itertools.cycle(
    [
        FIRST_PORT + (os.getpid() * 97 + i) % (LAST_PORT - FIRST_PORT)
        for i in range(LAST_PORT - FIRST_PORT)
    ]
)


def free_port() -> int:
    """Return a port that is free for UDP and TCP at the moment.

    Ports that the system gives to outgoing sockets are left out: such a socket could
    occupy the port before the process that it is meant for.
    """
    while True:
        port = next(_candidate_ports)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
            return port
