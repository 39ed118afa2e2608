"""Reordering and gap detection for one stream at the caller's end."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from .packets import StreamItem, StreamState
from .parts import WINDOW_PARTS


class StreamInbox:
    """Deliver the items of one stream in order and list the missing ones.

    Parameters
    ----------
    packet : bytes
        Encoded subscription, retransmitted until the agent acknowledges it.

    Examples
    --------
    >>> inbox = StreamInbox(b"")
    >>> inbox.receive(StreamItem(b"", 1, 0, sequence=1, body=b"late"))
    >>> inbox.missing_sequences()
    [0]
    """

    def __init__(self, packet: bytes) -> None:
        self._packet = packet
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._next_sequence = 0
        self._out_of_order: dict[int, bytes] = {}
        self._sent_count = 0
        self._ended = False
        self._acknowledged = False

    @property
    def packet(self) -> bytes:
        """Return the encoded subscription."""
        return self._packet

    @property
    def acknowledged(self) -> bool:
        """Tell whether the agent has received the subscription."""
        return self._acknowledged

    @property
    def ended(self) -> bool:
        """Tell whether the backend server has ended the stream."""
        return self._ended

    @property
    def has_gap(self) -> bool:
        """Tell whether items were sent that are not delivered yet."""
        return self._next_sequence < self._sent_count

    def receive(self, packet: StreamItem | StreamState) -> None:
        """Handle an item or a heartbeat and deliver the items that are in order."""
        self._acknowledged = True
        if isinstance(packet, StreamItem):
            if packet.sequence >= self._next_sequence:
                self._out_of_order[packet.sequence] = packet.body
            self._sent_count = max(self._sent_count, packet.sequence + 1)
        else:
            self._sent_count = max(self._sent_count, packet.items)
            self._ended = self._ended or packet.ended
        self._deliver()

    def missing_sequences(self) -> list[int]:
        """Return the missing sequence numbers to request, at most one window."""
        end = min(self._sent_count, self._next_sequence + WINDOW_PARTS)
        window = range(self._next_sequence, end)
        return [sequence for sequence in window if sequence not in self._out_of_order]

    def close(self) -> None:
        """Stop the delivery, whether or not the stream has ended."""
        self._queue.put_nowait(None)

    async def iter_items(self) -> AsyncIterator[bytes]:
        """Yield the items in order until the inbox is closed."""
        while (item := await self._queue.get()) is not None:
            yield item

    def _deliver(self) -> None:
        while self._next_sequence in self._out_of_order:
            self._queue.put_nowait(self._out_of_order.pop(self._next_sequence))
            self._next_sequence += 1
        if self._ended and not self.has_gap:
            self.close()
