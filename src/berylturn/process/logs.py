"""JSON-line logs: records are encoded at once and written in batches."""

from __future__ import annotations

import asyncio
import sys
from typing import Any, BinaryIO

import msgspec
from loguru import logger

FLUSH_SECONDS = 0.1
MAX_BUFFERED_LINES = 20_000

_encoder = msgspec.json.Encoder(enc_hook=str)


class LogWriter:
    """Buffer encoded lines; a task of its own writes them.

    Parameters
    ----------
    path : str
        File to append to, or ``-`` for standard output.
    level : str
        Lowest level that is written.
    node : str
        Name written on each line.
    """

    def __init__(self, path: str, level: str, node: str) -> None:
        self._stream: BinaryIO = (
            sys.stdout.buffer if path == "-" else open(path, "ab")  # noqa: SIM115
        )
        self._lines: list[bytes] = []
        self._dropped = 0
        self._node = node
        logger.remove()
        logger.add(self._take, level=level, format=_no_format, catch=False)

    def flush(self) -> None:
        """Write all buffered lines."""
        lines, self._lines = self._lines, []
        if self._dropped:
            lines.append(_encoder.encode({"event": "dropped", "lines": self._dropped}))
            self._dropped = 0
        if lines:
            self._stream.write(b"\n".join(lines) + b"\n")
            self._stream.flush()

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def _take(self, message: Any) -> None:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "node": self._node,
            "event": record["message"],
            **record["extra"],
        }
        self._lines.append(_encoder.encode(line))


def log_event(event: str, **fields: object) -> None:
    """Write one line at level INFO."""
    logger.bind(**fields).info(event)


def log_warning(event: str, **fields: object) -> None:
    """Write one line at level WARNING."""
    logger.bind(**fields).warning(event)


def _no_format(_record: Any) -> str:
    return ""
