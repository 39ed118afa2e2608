"""Sockets that are bound before a daemon's other modules are imported.

On a host with an eighth of a core the imports take over a second. Packets that arrive
meanwhile wait in the socket's buffer instead of being lost.
"""

from __future__ import annotations

import configparser
import socket

BUFFER_BYTES = 4_000_000


def bind_early(path: str, section: str, key: str) -> socket.socket | None:
    """Return a UDP socket on the address in a settings file, or None.

    Nothing is reported here: whoever opens the socket later reads the same settings
    with all checks.

    Parameters
    ----------
    path : str
        Settings file.
    section, key : str
        Where the address stands, as IP:PORT.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
        host, _, port = parser.get(section, key).rpartition(":")
        return bind_udp((host, int(port)))
    except (OSError, ValueError, configparser.Error):
        return None


def bind_udp(address: tuple[str, int]) -> socket.socket:
    """Return a bound UDP socket with large buffers; raises `OSError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    sock.setblocking(False)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
