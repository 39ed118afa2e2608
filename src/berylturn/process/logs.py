"""Logs in JSON lines, which are encoded at once and written in batches.

msgspec encodes them instead of loguru, which adds 20 µs to each line and 35 ms to a
daemon's start. On 0.236 cores that is 0.15 s, and a daemon that was killed carries no
packet until it has started again.
"""

from __future__ import annotations

import asyncio
import os
import stat
import sys
from collections import Counter
from typing import BinaryIO

import msgspec

from ..clock import Clock

FLUSH_SECONDS = 0.1
MAX_BUFFERED_LINES = 20_000
# Bytes held back for a slow reader of standard output; beyond it, lines are dropped.
MAX_UNWRITTEN_BYTES = 4_000_000
# Limit for each event name; a line costs 15 to 40 µs on a whole core.
LINES_PER_SECOND = 25

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

_encoder = msgspec.json.Encoder(enc_hook=str)


class LogWriter:
    """Buffer encoded lines, which a background task writes.

    Parameters
    ----------
    path : str
        File to append to, or ``-`` for standard output.
    level : str
        Least severe level that is written.
    node : str
        Name of the node, written on each line.
    clock : Clock
        Source of the timestamps.
    """

    def __init__(self, path: str, level: str, node: str, clock: Clock) -> None:
        self._clock = clock
        self._stream: BinaryIO = (
            sys.stdout.buffer if path == "-" else open(path, "ab")  # noqa: SIM115
        )
        self._lines: list[bytes] = []
        self._unwritten = b""
        self._dropped_count = 0
        # A pipe is written without blocking: a reader that stops reading must not stop
        # the daemon.
        self._is_pipe = path == "-" and stat.S_ISFIFO(os.fstat(1).st_mode)
        if self._is_pipe:
            os.set_blocking(1, False)
        self._node = node
        self._min_level = LEVELS.index(level)
        _set_writer(self)

    def flush(self) -> None:
        """Write all buffered lines."""
        lines, self._lines = self._lines, []
        if self._dropped_count:
            lines.append(
                _encoder.encode({"event": "dropped", "lines": self._dropped_count})
            )
            self._dropped_count = 0
        data = self._unwritten + b"".join(line + b"\n" for line in lines)
        if not data:
            return
        if self._is_pipe:
            self._unwritten = _write_available(data)
        else:
            self._stream.write(data)
            self._stream.flush()

    async def run(self) -> None:
        """Write lines until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def add(self, level: str, event: str, fields: dict[str, object]) -> None:
        """Buffer one line, or count it as dropped when the buffer is full."""
        if LEVELS.index(level) < self._min_level:
            return
        is_full = len(self._unwritten) >= MAX_UNWRITTEN_BYTES
        if is_full or len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped_count += 1
            return
        line = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            "level": level,
            "node": self._node,
            "event": event,
            **fields,
        }
        self._lines.append(_encoder.encode(line))


_writers: list[LogWriter] = []


def log_event(event: str, **fields: object) -> None:
    """Write one line at level INFO."""
    _log("INFO", event, fields)


def log_warning(event: str, **fields: object) -> None:
    """Write one line at level WARNING."""
    _log("WARNING", event, fields)


def _set_writer(writer: LogWriter) -> None:
    """Send all lines of the process to this writer; it replaces the previous one."""
    _writers[:] = [writer]


def _log(level: str, event: str, fields: dict[str, object]) -> None:
    if _writers:
        _writers[0].add(level, event, fields)
    else:
        line = _encoder.encode({"level": level, "event": event, **fields})
        print(line.decode(), file=sys.stderr)


class RateLimitedLog:
    """Limit the lines a second of each event name, and count those left out."""

    def __init__(self) -> None:
        self._written: Counter[str] = Counter()
        self._omitted: Counter[str] = Counter()

    def write(self, event: str, **fields: object) -> None:
        """Write one line, or count it when the event has reached its limit."""
        if self._written[event] >= LINES_PER_SECOND:
            self._omitted[event] += 1
            return
        self._written[event] += 1
        log_event(event, **fields)

    def start_second(self) -> None:
        """Start a new second and log how many lines were left out in the last one."""
        self._written.clear()
        if self._omitted:
            omitted, self._omitted = self._omitted, Counter()
            log_event("lines_omitted", counts=dict(omitted))


def _write_available(data: bytes) -> bytes:
    """Write as much as the pipe accepts without blocking and return the rest."""
    try:
        return data[os.write(1, data) :]
    except BlockingIOError:
        return data
