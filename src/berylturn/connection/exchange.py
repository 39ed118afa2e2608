"""One request at the caller's end: its packets, answer parts and outcome."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from ..errors import NotRun, OutcomeUnknown
from .packets import AnswerPart, RequestNotRun, RequestUnknown
from .parts import WINDOW_PARTS, Assembly


@dataclass(frozen=True)
class Answer:
    """Complete answer to one request."""

    status: int
    body: bytes


class Exchange:
    """Collect the answer to one request.

    Parameters
    ----------
    packets : list of bytes
        Encoded parts of the request.
    """

    def __init__(self, packets: list[bytes]) -> None:
        self._packets = packets
        self._done: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._assembly: Assembly | None = None
        self._status = 0
        self._requested_until = WINDOW_PARTS

    @property
    def packets(self) -> list[bytes]:
        """Return the encoded parts of the request."""
        return self._packets

    @property
    def done(self) -> asyncio.Future[Answer]:
        """Return the future of the outcome."""
        return self._done

    @property
    def has_answer_part(self) -> bool:
        """Tell whether any part of the answer has arrived."""
        return self._assembly is not None

    def receive_part(self, packet: AnswerPart) -> bool:
        """Keep one part; return whether to request the next window."""
        if self._assembly is None:
            self._assembly = Assembly(packet.parts)
            self._status = packet.status
        if not self._assembly.add(packet.part, packet.body):
            return False
        if self._assembly.complete:
            self._done.set_result(Answer(self._status, self._assembly.body()))
            return False
        return packet.part == self._requested_until - 1

    def missing_parts(self) -> list[int]:
        """Return the missing parts to request, at most one window."""
        missing = self._assembly.missing_parts()
        if missing:
            self._requested_until = missing[-1] + 1
        return missing

    def receive_outcome(self, packet: RequestNotRun | RequestUnknown) -> None:
        """End with the failure that the agent reported."""
        if isinstance(packet, RequestUnknown):
            self.fail_unknown("its agent does not know the outcome")
            return
        error = NotRun(
            f"the request did not run ({packet.reason.name.lower()}); "
            "it may be sent again"
        )
        error.retry_after = packet.retry_after_ms / 1000
        error.reason = packet.reason
        self._done.set_exception(error)

    def fail_unknown(self, reason: str) -> None:
        """End with an unknown outcome, unless the request has already ended."""
        if self._done.done():
            return
        self._done.set_exception(
            OutcomeUnknown(
                f"the request may have run: {reason}; check before you send it again"
            )
        )
