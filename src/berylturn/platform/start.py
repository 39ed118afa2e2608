"""Start a daemon on the users' platform."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from typing import Any

import msgspec
import uvloop

from ..clock import SystemClock
from ..errors import BerylturnError, SettingsError
from ..process.logs import LogWriter
from ..process.passthrough_node import PassthroughNode
from ..process.settings import (
    PassthroughAgentSettings,
    PassthroughBalancerSettings,
    parse_address,
)
from ..process.settings_file import SettingsFile
from . import packets
from .documents import decode_configuration
from .http_handlers import (
    make_heartbeat_handler,
    make_readiness_handler,
    refuse_heartbeats,
)
from .objects import ObjectClient

SETTINGS_VARIABLE = "BERYLTURN_SETTINGS"
# Term by which servers that fail although they report to be well are left out.
HEALTH_TERM = "health"


async def run_balancer(
    path: str, started: float, early_socket: socket.socket | None
) -> None:
    """Run a balancer until SIGTERM."""
    from ..process.passthrough_balancer import PassthroughBalancer

    node = _make_node(path, PassthroughBalancerSettings, started, early_socket)
    daemon = PassthroughBalancer(node)
    await daemon.run(refuse_heartbeats, make_readiness_handler(daemon.is_ready))


async def run_agent(
    path: str, started: float, early_socket: socket.socket | None
) -> None:
    """Run an agent until SIGTERM."""
    from ..process.passthrough_agent import PassthroughAgentDaemon

    node = _make_node(path, PassthroughAgentSettings, started, early_socket)
    daemon = PassthroughAgentDaemon(node)
    heartbeats = make_heartbeat_handler(daemon.on_heartbeat, daemon.on_deregistration)
    await daemon.run(heartbeats, make_readiness_handler(lambda: True))


ROLES: dict[str, Callable] = {"balancer": run_balancer, "agent": run_agent}


def main(
    arguments: list[str], started: float, early_socket: socket.socket | None = None
) -> None:
    """Run the role named on the command line.

    The environment variable BERYLTURN_SETTINGS gives the path of the settings file.

    Parameters
    ----------
    arguments : list of str
        Name of one role.
    started : float
        Seconds on the monotonic clock when the process began.
    early_socket : socket or None
        Socket for callers' packets, bound before this module was imported.
    """
    try:
        if len(arguments) != 1 or arguments[0] not in ROLES:
            raise SettingsError(f"name one role as the argument: {' or '.join(ROLES)}")
        path = os.environ.get(SETTINGS_VARIABLE)
        if not path:
            raise SettingsError(
                f"set the variable {SETTINGS_VARIABLE} to the settings file's path"
            )
        uvloop.run(ROLES[arguments[0]](path, started, early_socket))
    except BerylturnError as error:
        print(f"berylturn: {error}", file=sys.stderr)
        sys.exit(1)
    except asyncio.CancelledError:
        sys.exit(1)


def apply_terms(settings: Any) -> Any:
    """Return the settings with what the platform's terms switch on.

    A mode that the file states other than ``off`` is kept.
    """
    outliers = settings.outliers
    if HEALTH_TERM in settings.platform.terms and outliers.mode == "off":
        outliers = msgspec.structs.replace(outliers, mode="eject")
    return msgspec.structs.replace(settings, outliers=outliers)


def _make_node(
    path: str, model: type, started: float, early_socket: socket.socket | None
) -> PassthroughNode:
    file = SettingsFile(path, model, apply_terms)
    settings = file.read()
    clock = SystemClock()
    logs = LogWriter(settings.logs.file, settings.logs.level, settings.node.name, clock)
    store = ObjectClient(parse_address(settings.platform.url.removeprefix("http://")))
    return PassthroughNode(
        settings,
        file,
        clock,
        logs,
        packets,
        store,
        decode_configuration,
        started,
        early_socket,
    )
