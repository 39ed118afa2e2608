"""Run one stand-in as a process until SIGTERM."""

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
    """Run the coroutine function `start`, then wait for a signal."""

    async def main() -> None:
        kept = await start()
        await wait_for_signal()
        del kept

    uvloop.run(main())


def split_address(text: str) -> tuple[str, int]:
    """Read ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    return host, int(port)
