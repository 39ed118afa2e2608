"""Bind a daemon's socket before its other modules are imported.

On a host with an eighth of a core the imports take over a second. Packets that arrive
during the imports wait in the socket's buffer instead of being lost.
"""

from __future__ import annotations

import configparser
import socket

# Size of the send and of the receive buffer.
BUFFER_BYTES = 4_000_000


def bind_early(path: str, section: str, key: str) -> socket.socket | None:
    """Return a UDP socket bound to an address in a settings file, or None.

    Errors are not reported here: the daemon reads the same settings again with all
    checks when it opens its sockets.

    Parameters
    ----------
    path : str
        Path of the settings file.
    section, key : str
        Section and key of the address, which is written IP:PORT.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read(path, encoding="utf-8")
        host, _, port = parser.get(section, key).rpartition(":")
        return bind_udp((host, int(port)))
    except (OSError, ValueError, configparser.Error):
        return None


def bind_udp(address: tuple[str, int]) -> socket.socket:
    """Return a bound UDP socket with large buffers, or raise `OSError`."""
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
