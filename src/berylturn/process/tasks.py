"""Start and stop the tasks of a daemon together, and restart failed ones."""

from __future__ import annotations

import asyncio
import signal
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from .logs import log_warning

Work = Callable[[], Coroutine[Any, Any, Any]]

# Pause before a task that failed is started again.
RESTART_SECONDS = 0.5
MAX_ERROR_CHARACTERS = 300


class TaskGroup:
    """Own the tasks of a process; a long-running task that fails is started again.

    Attributes
    ----------
    stop_requested : asyncio.Event
        Set when the process is to stop.
    failures : int
        Number of unexpected errors in long-running tasks so far.
    """

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[Any]] = []
        self._short_lived: set[asyncio.Task[Any]] = set()
        self.stop_requested = asyncio.Event()
        self.failures = 0

    def start(self, work: Work, name: str) -> None:
        """Start a task that runs until the process stops.

        Parameters
        ----------
        work : callable
            Returns the coroutine of the task; called again after an unexpected error.
        name : str
            Name of the task in the logs.
        """
        self._tasks.append(asyncio.create_task(self._run(work, name), name=name))

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

    async def _run(self, work: Work, name: str) -> None:
        while True:
            try:
                return await work()
            except Exception as error:  # one task must not end the daemon
                self.failures += 1
                log_warning(
                    "task_failed",
                    task=name,
                    error=repr(error)[:MAX_ERROR_CHARACTERS],
                    place=describe_place(error),
                )
            await asyncio.sleep(RESTART_SECONDS)


def describe_place(error: BaseException) -> str:
    """Return the file and line that raised an error."""
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "unknown"


def log_callback_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Log an unexpected error in a callback of the event loop, such as a receiver."""
    error = context.get("exception")
    log_warning(
        "callback_failed",
        message=str(context.get("message")),
        error=repr(error)[:MAX_ERROR_CHARACTERS],
        place=describe_place(error) if error is not None else "unknown",
    )
