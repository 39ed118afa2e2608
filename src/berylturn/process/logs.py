"""JSON-line logs: records are encoded at once and written in batches.

msgspec encodes them instead of loguru, which adds 35 ms to a start (0.15 s on 0.236
cores, where a killed daemon carries no packet until it has started) and 20 µs a line.
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
# Bytes that a slow reader of standard output may leave waiting.
MAX_WAITING_BYTES = 4_000_000
# Lines of one event in a second; each costs 15 to 40 µs on a whole core.
LINES_PER_SECOND = 25

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

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
    clock : Clock
        Source of the time of each line.
    """

    def __init__(self, path: str, level: str, node: str, clock: Clock) -> None:
        self._clock = clock
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
        self._lowest = LEVELS.index(level)
        _use_writer(self)

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

    def add(self, level: str, event: str, fields: dict[str, object]) -> None:
        """Buffer one line, or count it when too much is waiting."""
        if LEVELS.index(level) < self._lowest:
            return
        full = len(self._waiting) >= MAX_WAITING_BYTES
        if full or len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
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


def _use_writer(writer: LogWriter) -> None:
    """Let the newest writer of the process take all lines."""
    _writers[:] = [writer]


def _log(level: str, event: str, fields: dict[str, object]) -> None:
    if _writers:
        _writers[0].add(level, event, fields)
    else:
        line = _encoder.encode({"level": level, "event": event, **fields})
        print(line.decode(), file=sys.stderr)


class RateLimitedLog:
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
