"""Start and stop the tasks of a daemon together, and notice failed ones."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

from .logs import log_warning


class TaskGroup:
    """Own the tasks of a process; a long-running task that fails stops the process."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[Any]] = []
        self._short_lived: set[asyncio.Task[Any]] = set()
        self.stop_requested = asyncio.Event()
        self.failure: BaseException | None = None

    def start(self, coroutine: Coroutine[Any, Any, Any], name: str) -> None:
        """Start a task that runs until the process stops."""
        task = asyncio.create_task(coroutine, name=name)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that ends by itself; its failure does not stop the process."""
        task = asyncio.create_task(coroutine)
        self._short_lived.add(task)
        task.add_done_callback(self._short_lived.discard)
        return task

    def stop_on_signals(self) -> None:
        """Set `stop_requested` on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = [*self._tasks, *self._short_lived]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self.failure = task.exception()
        log_warning("task_failed", task=task.get_name(), error=repr(self.failure))
        self.stop_requested.set()
