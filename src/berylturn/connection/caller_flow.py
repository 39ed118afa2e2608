"""One flow at the caller's end: requests, streams and loss detection."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Protocol

from ..clock import Clock
from ..domain import CloseReason
from ..errors import FlowEnded, OutcomeUnknown
from .exchange import Answer, Exchange
from .inbox import StreamInbox
from .packets import (
    Accepted,
    AnswerPart,
    Cancel,
    Close,
    FlowClosed,
    Missing,
    Packet,
    Ping,
    Pong,
    Refused,
    Request,
    RequestNotRun,
    RequestUnknown,
    StreamItem,
    StreamState,
    encode_packet,
)
from .parts import split_body

FIRST_RETRANSMIT_SECONDS = 0.1
MAX_RETRANSMIT_SECONDS = 0.5
PARTS_PAUSE_SECONDS = 0.04
PING_IDLE_SECONDS = 5.0
PING_STREAM_SECONDS = 0.25
PING_RETRY_SECONDS = 0.2
GAP_RETRY_SECONDS = 0.1
REBIND_SILENT_SECONDS = 0.7
LOST_SILENT_SECONDS = 2.0
# A flow that awaits a packet checks for silence at least every 0.5 s.
MAX_CHECK_INTERVAL_SECONDS = 0.6
CLOSED_LINGER_SECONDS = 1.5
DEFAULT_DEADLINE = timedelta(seconds=5)


class FlowSocket(Protocol):
    """Operations that a flow needs from the owner of its socket."""

    counters: Counter[str]

    @property
    def clock(self) -> Clock:
        """Return the source of time."""

    def new_flow_id(self) -> bytes:
        """Return a new 128-bit flow identifier."""

    def send(self, packet: Packet) -> None:
        """Send one packet to the entry address."""

    def send_bytes(self, data: bytes) -> None:
        """Send one encoded packet to the entry address."""

    def forget(self, flow_id: bytes) -> None:
        """Remove a flow that has ended."""

    def rebind(self) -> None:
        """Switch to a new source port, at most once per `REBIND_SILENT_SECONDS`."""


class CallerFlow:
    """Flow to one backend server; it ends for good when that server is lost.

    Parameters
    ----------
    caller : FlowSocket
        Owner of the socket.
    service : str
        Name of the service.
    """

    def __init__(self, caller: FlowSocket, service: str) -> None:
        self._caller = caller
        self._clock = caller.clock
        self._service = service
        self._flow_id = caller.new_flow_id()
        self._token = b""
        self._incarnation = 0
        self._next_number = 0
        self._pending: dict[int, Exchange] = {}
        self._streams: dict[int, StreamInbox] = {}
        self._opened: asyncio.Future[Accepted | Refused] | None = None
        self._accepted: Accepted | None = None
        self._awaiting_since: float | None = None
        self._last_packet_at = 0.0
        self._checked_at = 0.0
        self._ping_sequence = 0
        self._watcher: asyncio.Task[None] | None = None
        self._closing = False
        self._close_reason: CloseReason | None = None

    @property
    def flow_id(self) -> bytes:
        """Return the 128-bit identifier."""
        return self._flow_id

    @property
    def service(self) -> str:
        """Return the name of the service."""
        return self._service

    @property
    def usable(self) -> bool:
        """Tell whether new requests can be sent."""
        return bool(self._token) and not self._closing

    @property
    def close_reason(self) -> CloseReason | None:
        """Return why the flow ended, or None while it is open."""
        return self._close_reason

    async def request(
        self,
        body: bytes,
        repeatable: bool = False,
        deadline: timedelta = DEFAULT_DEADLINE,
    ) -> Answer:
        """Send one request and return its complete answer.

        Cancelling the waiting task cancels the request.

        Raises
        ------
        NotRun
            The request certainly did not run.
        OutcomeUnknown
            The request may have run.
        FlowEnded
            The flow had ended before the request was sent.
        """
        self._check_usable()
        number, packets = self._number_request(body, repeatable, False, deadline)
        exchange = self._pending[number] = Exchange(packets)
        try:
            return await self._await_answer(number, exchange, deadline.total_seconds())
        except asyncio.CancelledError:
            self._caller.send(Cancel(self._token, number))
            raise
        finally:
            del self._pending[number]

    async def stream(self, body: bytes) -> AsyncIterator[bytes]:
        """Subscribe to a stream and yield its items in order and without gaps.

        Raises
        ------
        FlowEnded
            The flow ended while the stream was open.
        """
        self._check_usable()
        number, packets = self._number_request(body, True, True, timedelta())
        inbox = self._streams[number] = StreamInbox(packets[0])
        self._send_bytes(packets[0])
        try:
            async for item in inbox.iter_items():
                yield item
            if not inbox.ended:
                raise FlowEnded(
                    "the flow ended during the stream; "
                    "open another flow and resubscribe"
                )
        finally:
            del self._streams[number]
            if self._token and self._close_reason is None:
                self._caller.send(Cancel(self._token, number))

    def close(self) -> None:
        """End the flow from the caller's side."""
        if self._token and self._close_reason is None:
            self._caller.send(Close(self._token))
        self._end(CloseReason.CALLER)

    async def wait_opened(self, seconds: float) -> Accepted | Refused | None:
        """Return the answer to `Open`, or None if none arrives in time.

        An acceptance that arrived between two attempts counts.
        """
        if self._accepted is not None:
            return self._accepted
        self._opened = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self._opened, seconds)
        except TimeoutError:
            return self._accepted

    def start(self) -> None:
        """Start to send pings and to detect the loss of the flow."""
        self._last_packet_at = self._clock.monotonic()
        self._send_ping()
        self._watcher = asyncio.create_task(self._watch())

    def on_packet(self, packet: Packet) -> None:
        """Handle one packet of this flow."""
        if isinstance(packet, Accepted | Refused):
            self._on_opened(packet)
            return
        if packet.incarnation != self._incarnation:
            return
        self._last_packet_at = self._clock.monotonic()
        self._awaiting_since = None
        if isinstance(packet, AnswerPart):
            self._on_answer_part(packet)
        elif isinstance(packet, StreamItem | StreamState):
            self._on_stream(packet)
        elif isinstance(packet, FlowClosed):
            self._on_closed(packet.reason)
        elif not isinstance(packet, Pong):
            self._on_outcome(packet)

    def _check_usable(self) -> None:
        if not self.usable:
            reason = self._close_reason
            raise FlowEnded(
                f"the flow has ended ({reason.name.lower() if reason else 'closing'});"
                " open another flow"
            )

    def _number_request(
        self, body: bytes, repeatable: bool, stream: bool, deadline: timedelta
    ) -> tuple[int, list[bytes]]:
        number = self._next_number
        self._next_number += 1
        parts = split_body(body)
        milliseconds = int(deadline.total_seconds() * 1000)
        low_water = self._low_water(number)
        packets = [
            encode_packet(
                Request(
                    self._token,
                    number,
                    low_water,
                    repeatable,
                    stream,
                    milliseconds,
                    index,
                    len(parts),
                    part,
                )
            )
            for index, part in enumerate(parts)
        ]
        return number, packets

    def _low_water(self, default: int) -> int:
        """Return the lowest awaited request; streams last long and do not count."""
        return min([*self._pending, default])

    async def _await_answer(
        self, number: int, exchange: Exchange, seconds: float
    ) -> Answer:
        deadline = self._clock.monotonic() + seconds
        delay = FIRST_RETRANSMIT_SECONDS
        self._send_request(exchange)
        while True:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                self._caller.send(Cancel(self._token, number))
                raise OutcomeUnknown(
                    "the request got no answer before its deadline and may have run; "
                    "check before you send it again"
                )
            wait = PARTS_PAUSE_SECONDS if exchange.has_answer_part else delay
            done, _ = await asyncio.wait([exchange.done], timeout=min(wait, remaining))
            if done:
                return exchange.done.result()
            if exchange.has_answer_part:
                self._request_missing_parts(number, exchange)
            else:
                delay = min(2 * delay, MAX_RETRANSMIT_SECONDS)
                self._caller.counters["retransmits"] += 1
                self._send_request(exchange)
            self._check_agent_silence()

    def _send_request(self, exchange: Exchange) -> None:
        for data in exchange.packets:
            self._send_bytes(data)

    def _request_missing_parts(self, number: int, exchange: Exchange) -> None:
        missing = exchange.missing_parts()
        if missing:
            self._send_bytes(encode_packet(Missing(self._token, number, missing)))

    def _on_opened(self, packet: Accepted | Refused) -> None:
        if self._token:
            accepted_elsewhere = (
                isinstance(packet, Accepted) and packet.token != self._token
            )
            if accepted_elsewhere:
                self._caller.send(Close(packet.token))
            return
        if isinstance(packet, Accepted):
            self._accepted = packet
            self._token = packet.token
            self._incarnation = packet.incarnation
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(packet)

    def _on_answer_part(self, packet: AnswerPart) -> None:
        exchange = self._pending.get(packet.number)
        if exchange is None or exchange.done.done():
            self._caller.counters["late"] += 1
            return
        if exchange.receive_part(packet):
            self._request_missing_parts(packet.number, exchange)

    def _on_outcome(self, packet: Packet) -> None:
        exchange = self._pending.get(packet.number)
        if exchange is None or exchange.done.done():
            return
        if isinstance(packet, RequestNotRun | RequestUnknown):
            exchange.receive_outcome(packet)

    def _on_stream(self, packet: StreamItem | StreamState) -> None:
        inbox = self._streams.get(packet.number)
        if inbox is None:
            self._caller.send(Cancel(self._token, packet.number))
            return
        inbox.receive(packet)
        self._request_missing_items(packet.number, inbox)

    def _request_missing_items(self, number: int, inbox: StreamInbox) -> None:
        missing = inbox.missing_sequences()
        if missing:
            self._send_bytes(encode_packet(Missing(self._token, number, missing)))

    def _on_closed(self, reason: CloseReason) -> None:
        if reason is CloseReason.DRAINED and not self._closing:
            self._closing = True
            self._close_reason = reason
            asyncio.get_running_loop().call_later(
                CLOSED_LINGER_SECONDS, self._end, reason
            )
            self._end_streams()
        elif reason is not CloseReason.DRAINED:
            self._end(reason)

    def _end(self, reason: CloseReason) -> None:
        if self._close_reason is None:
            self._close_reason = reason
        self._closing = True
        self._caller.forget(self._flow_id)
        if self._watcher is not None:
            self._watcher.cancel()
        for exchange in self._pending.values():
            exchange.fail_unknown(f"its flow ended ({reason.name.lower()})")
        self._end_streams()

    def _end_streams(self) -> None:
        for inbox in self._streams.values():
            inbox.close()

    def _send_bytes(self, data: bytes) -> None:
        if self._awaiting_since is None:
            self._awaiting_since = self._checked_at = self._clock.monotonic()
        self._caller.send_bytes(data)

    def _send_ping(self) -> None:
        self._ping_sequence += 1
        low_water = self._low_water(self._next_number)
        ping = Ping(self._token, low_water, self._ping_sequence)
        self._send_bytes(encode_packet(ping))

    async def _watch(self) -> None:
        pinged_at = self._clock.monotonic()
        while True:
            interval = PING_STREAM_SECONDS if self._streams else PING_IDLE_SECONDS
            if self._awaiting_since is not None:
                interval = PING_RETRY_SECONDS
            await asyncio.sleep(min(interval, self._max_watch_interval()))
            now = self._clock.monotonic()
            if now - pinged_at >= interval:
                pinged_at = now
                self._send_ping()
            for number, inbox in list(self._streams.items()):
                if not inbox.acknowledged:
                    self._send_bytes(inbox.packet)
                else:
                    self._request_missing_items(number, inbox)
            self._check_agent_silence()

    def _max_watch_interval(self) -> float:
        has_gap = any(inbox.has_gap for inbox in self._streams.values())
        return GAP_RETRY_SECONDS if has_gap else 2 * PING_STREAM_SECONDS

    def _check_agent_silence(self) -> None:
        now = self._clock.monotonic()
        since_last_check, self._checked_at = now - self._checked_at, now
        if self._awaiting_since is None:
            return
        # While the process did not run, answers may have queued in its socket, so that
        # time beyond the usual interval between checks does not count as silence.
        self._awaiting_since += max(0.0, since_last_check - MAX_CHECK_INTERVAL_SECONDS)
        silent_seconds = now - self._awaiting_since
        if silent_seconds > LOST_SILENT_SECONDS:
            self._caller.counters["flows_lost"] += 1
            self._end(CloseReason.FLOW_LOST)
        elif silent_seconds > REBIND_SILENT_SECONDS:
            self._caller.rebind()
