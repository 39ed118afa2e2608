"""Run one stand-in as a process until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal

import uvloop
from aiohttp import web


async def serve_http(app: web.Application, host: str, port: int) -> web.AppRunner:
    """Start an HTTP server and return its runner."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner


async def wait_for_signal() -> None:
    """Return when SIGTERM or SIGINT arrives."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def run_until_signal(start) -> None:
    """Run the coroutine function `start`, then wait for SIGTERM or SIGINT."""

    async def main() -> None:
        # Keeps the stand-in referenced until the signal.
        standin = await start()
        await wait_for_signal()
        del standin

    uvloop.run(main())


def split_address(text: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
