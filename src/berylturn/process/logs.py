"""JSON-line logs: records are encoded at once and written in batches."""

from __future__ import annotations

import asyncio
import os
import stat
import sys
from collections import Counter
from typing import Any, BinaryIO

import msgspec
from loguru import logger

FLUSH_SECONDS = 0.1
MAX_BUFFERED_LINES = 20_000
# Bytes that a slow reader of standard output may leave waiting.
MAX_WAITING_BYTES = 4_000_000
# Lines of one event in a second; each costs 15 to 40 µs on a whole core.
LINES_PER_SECOND = 25

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
        self._waiting = b""
        self._dropped = 0
        # A pipe whose reader has stopped must not stop the daemon.
        self._pipe = path == "-" and stat.S_ISFIFO(os.fstat(1).st_mode)
        if self._pipe:
            os.set_blocking(1, False)
        self._node = node
        logger.remove()
        logger.add(self._take, level=level, format=_no_format, catch=False)

    def flush(self) -> None:
        """Write all buffered lines."""
        lines, self._lines = self._lines, []
        if self._dropped:
            lines.append(_encoder.encode({"event": "dropped", "lines": self._dropped}))
            self._dropped = 0
        data = self._waiting + b"".join(line + b"\n" for line in lines)
        if not data:
            return
        if self._pipe:
            self._waiting = _write_some(data)
        else:
            self._stream.write(data)
            self._stream.flush()

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def _take(self, message: Any) -> None:
        full = len(self._waiting) >= MAX_WAITING_BYTES
        if full or len(self._lines) >= MAX_BUFFERED_LINES:
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


class BoundedLog:
    """Write at most some lines a second of each event, and count the rest."""

    def __init__(self) -> None:
        self._written: Counter[str] = Counter()
        self._omitted: Counter[str] = Counter()

    def write(self, event: str, **fields: object) -> None:
        """Write one line, or count it when the event has had its share."""
        if self._written[event] >= LINES_PER_SECOND:
            self._omitted[event] += 1
            return
        self._written[event] += 1
        log_event(event, **fields)

    def start_second(self) -> None:
        """Begin a new second and say how many lines were left out."""
        self._written.clear()
        if self._omitted:
            omitted, self._omitted = self._omitted, Counter()
            log_event("lines_omitted", counts=dict(omitted))


def _write_some(data: bytes) -> bytes:
    """Write what the pipe takes now and return the rest."""
    try:
        return data[os.write(1, data) :]
    except BlockingIOError:
        return data


def _no_format(_record: Any) -> str:
    return ""
