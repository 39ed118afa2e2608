"""Library for callers: opens flows, sends requests, follows streams.

Stable interface: `Caller`, `CallerFlow`, `Session`, `Answer` and the errors
they raise. The wire format is in docs/CALLERS.md.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from datetime import timedelta

from .connection.packets import (
    FLOW_ID_BYTES,
    Accepted,
    AnswerPart,
    Cancel,
    Close,
    CloseReason,
    FlowClosed,
    Missing,
    Open,
    Packet,
    Ping,
    Pong,
    RefusalReason,
    Refused,
    Request,
    RequestNotRun,
    RequestUnknown,
    StreamItem,
    StreamState,
    decode_to_caller,
    encode_packet,
)
from .connection.parts import WINDOW_PARTS, Assembly, split_body
from .errors import FlowEnded, FlowRefused, NotRun, OutcomeUnknown, PacketError
from .process.clock import Clock, SystemClock
from .process.sockets import open_udp
from .request.retry import Failure, RetryBudget, decide_retry

Address = tuple[str, int]

OPEN_RETRY_SECONDS = 0.15
OPEN_SECONDS = 5.0
FIRST_RETRANSMIT_SECONDS = 0.1
MAX_RETRANSMIT_SECONDS = 0.5
PARTS_PAUSE_SECONDS = 0.04
PING_IDLE_SECONDS = 5.0
PING_STREAM_SECONDS = 0.25
PING_RETRY_SECONDS = 0.2
GAP_RETRY_SECONDS = 0.1
REBIND_SILENT_SECONDS = 0.7
LOST_SILENT_SECONDS = 2.0
CLOSED_LINGER_SECONDS = 1.5
DEFAULT_DEADLINE = timedelta(seconds=5)


@dataclass(frozen=True)
class Answer:
    """Whole answer to one request."""

    status: int
    body: bytes


@dataclass
class _Pending:
    """One request that waits for its outcome."""

    packets: list[bytes]
    done: asyncio.Future[Answer]
    assembly: Assembly | None = None
    status: int = 0
    asked_until: int = WINDOW_PARTS
    part_at: float = 0.0


@dataclass
class _StreamInbox:
    """Items of one stream, put in order."""

    packet: bytes
    queue: asyncio.Queue[bytes | None] = field(default_factory=asyncio.Queue)
    next_sequence: int = 0
    early: dict[int, bytes] = field(default_factory=dict)
    total: int = 0
    ended: bool = False
    heard: bool = False


class Caller:
    """Own one UDP socket towards the address of a service.

    Parameters
    ----------
    entry : tuple of str and int
        Address of the service.
    clock : Clock
        Source of time.

    Examples
    --------
    >>> async def order(line: bytes) -> bytes:
    ...     async with Caller(("127.0.0.1", 9000)) as caller:
    ...         session = Session(caller, "orders")
    ...         answer = await session.request(line, repeatable=False)
    ...         return answer.body
    """

    def __init__(self, entry: Address, clock: Clock | None = None) -> None:
        self._entry = entry
        self._clock = clock or SystemClock()
        self._flows: dict[bytes, CallerFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._rebound_at = 0.0
        self._rebinding: asyncio.Task[None] | None = None
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> Caller:
        """Open the socket."""
        await self._bind()
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close all flows and the socket."""
        for flow in list(self._flows.values()):
            flow.close()
        if self._rebinding is not None:
            await asyncio.wait([self._rebinding])
        self._transport.close()

    @property
    def clock(self) -> Clock:
        """Return the source of time."""
        return self._clock

    async def open(
        self, service: str, within: timedelta = timedelta(seconds=OPEN_SECONDS)
    ) -> CallerFlow:
        """Open a flow, trying other backend servers until `within` has passed.

        Raises
        ------
        FlowRefused
            No backend server admitted the flow in time.
        """
        flow = CallerFlow(self, service)
        self._flows[flow.flow_id] = flow
        deadline = self._clock.monotonic() + within.total_seconds()
        attempt = 0
        refusal = RefusalReason.NO_SERVER
        while self._clock.monotonic() < deadline:
            self.send(Open(flow.flow_id, service, attempt))
            answer = await flow.wait_opened(OPEN_RETRY_SECONDS)
            if isinstance(answer, Accepted):
                flow.start()
                return flow
            if isinstance(answer, Refused):
                refusal = answer.reason
                pause = answer.retry_after_ms / 1000
                await asyncio.sleep(min(pause, 1.0) * (0.5 + random.random()))
            attempt += 1
        self._flows.pop(flow.flow_id, None)
        raise FlowRefused(
            f"no backend server of {service} admitted a flow "
            f"({refusal.name.lower()}); try again later"
        )

    def send(self, packet: Packet) -> None:
        """Send one packet to the entry address."""
        self.send_bytes(encode_packet(packet))

    def send_bytes(self, data: bytes) -> None:
        """Send one encoded packet to the entry address."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._entry)

    def forget(self, flow_id: bytes) -> None:
        """Drop a flow that has ended."""
        self._flows.pop(flow_id, None)

    def rebind(self) -> None:
        """Use a new source port, at most once in a while."""
        now = self._clock.monotonic()
        if now - self._rebound_at < REBIND_SILENT_SECONDS:
            return
        self._rebound_at = now
        self.counters["rebinds"] += 1
        self._rebinding = asyncio.create_task(self._bind())

    async def _bind(self) -> None:
        old = self._transport
        host = "127.0.0.1" if self._entry[0].startswith("127.") else "0.0.0.0"
        self._transport = await open_udp((host, 0), self._on_datagram)
        if old is not None:
            old.close()

    def _on_datagram(self, data: bytes, _source: Address) -> None:
        try:
            packet = decode_to_caller(data)
        except PacketError:
            self.counters["malformed"] += 1
            return
        flow = self._flows.get(packet.flow_id)
        if flow is None:
            self.counters["late"] += 1
            return
        flow.on_packet(packet)


class CallerFlow:
    """One flow to one backend server; ends for good when that is lost.

    Parameters
    ----------
    caller : Caller
        Owner of the socket.
    service : str
        Name of the service.
    """

    def __init__(self, caller: Caller, service: str) -> None:
        self._caller = caller
        self._clock = caller.clock
        self._service = service
        self._flow_id = secrets.token_bytes(FLOW_ID_BYTES)
        self._token = b""
        self._incarnation = 0
        self._number = 0
        self._pending: dict[int, _Pending] = {}
        self._streams: dict[int, _StreamInbox] = {}
        self._opened: asyncio.Future[Accepted | Refused] | None = None
        self._accepted: Accepted | None = None
        self._awaiting_since: float | None = None
        self._heard_at = 0.0
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
        """Return why the flow ended, or None."""
        return self._close_reason

    async def request(
        self,
        body: bytes,
        repeatable: bool = False,
        deadline: timedelta = DEFAULT_DEADLINE,
    ) -> Answer:
        """Send one request and return its whole answer.

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
        future = asyncio.get_running_loop().create_future()
        pending = self._pending[number] = _Pending(packets, future)
        try:
            return await self._exchange(number, pending, deadline.total_seconds())
        finally:
            del self._pending[number]

    async def stream(self, body: bytes) -> AsyncIterator[bytes]:
        """Send a subscription and yield its data, in order and without gaps.

        Raises
        ------
        FlowEnded
            The flow ended while the stream was open.
        """
        self._check_usable()
        number, packets = self._number_request(body, True, True, timedelta())
        inbox = self._streams[number] = _StreamInbox(packets[0])
        self._send_bytes(packets[0])
        try:
            while True:
                item = await inbox.queue.get()
                if item is None:
                    break
                yield item
            if not inbox.ended:
                raise FlowEnded(
                    "the flow ended during the stream; open another and resubscribe"
                )
        finally:
            del self._streams[number]
            if self._token and self._close_reason is None:
                self._caller.send(Cancel(self._token, number))

    def cancel_all(self) -> None:
        """Withdraw all requests that wait for an answer."""
        for number in self._pending:
            self._caller.send(Cancel(self._token, number))

    def close(self) -> None:
        """End the flow from the caller's side."""
        if self._token and self._close_reason is None:
            self._caller.send(Close(self._token))
        self._end(CloseReason.CALLER)

    async def wait_opened(self, seconds: float) -> Accepted | Refused | None:
        """Return the answer to `Open`, or None when there was none in time.

        An acceptance that came between two attempts counts.
        """
        if self._accepted is not None:
            return self._accepted
        self._opened = asyncio.get_running_loop().create_future()
        try:
            return await asyncio.wait_for(self._opened, seconds)
        except TimeoutError:
            return self._accepted

    def start(self) -> None:
        """Begin to watch over the flow."""
        self._heard_at = self._clock.monotonic()
        self._send_ping()
        self._watcher = asyncio.create_task(self._watch())

    def on_packet(self, packet: Packet) -> None:
        """Take one packet of this flow."""
        if isinstance(packet, Accepted | Refused):
            self._on_opened(packet)
            return
        if packet.incarnation != self._incarnation:
            return
        self._heard_at = self._clock.monotonic()
        self._awaiting_since = None
        if isinstance(packet, AnswerPart):
            self._on_part(packet)
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
                " open another"
            )

    def _number_request(
        self, body: bytes, repeatable: bool, stream: bool, deadline: timedelta
    ) -> tuple[int, list[bytes]]:
        number = self._number
        self._number += 1
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
        return min([*self._pending, *self._streams, default])

    async def _exchange(self, number: int, pending: _Pending, seconds: float) -> Answer:
        deadline = self._clock.monotonic() + seconds
        delay = FIRST_RETRANSMIT_SECONDS
        self._send_request(pending)
        while True:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                self._caller.send(Cancel(self._token, number))
                raise OutcomeUnknown(
                    "no answer before the deadline; check before you send it again"
                )
            wait = PARTS_PAUSE_SECONDS if pending.assembly else delay
            done, _ = await asyncio.wait([pending.done], timeout=min(wait, remaining))
            if done:
                return pending.done.result()
            if pending.assembly is not None:
                self._ask_missing(number, pending)
            else:
                delay = min(2 * delay, MAX_RETRANSMIT_SECONDS)
                self._caller.counters["retransmits"] += 1
                self._send_request(pending)
            self._check_silence()

    def _send_request(self, pending: _Pending) -> None:
        for data in pending.packets:
            self._send_bytes(data)

    def _ask_missing(self, number: int, pending: _Pending) -> None:
        missing = pending.assembly.missing()
        if missing:
            pending.asked_until = missing[-1] + 1
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

    def _on_part(self, packet: AnswerPart) -> None:
        pending = self._pending.get(packet.number)
        if pending is None or pending.done.done():
            self._caller.counters["late"] += 1
            return
        if pending.assembly is None:
            pending.assembly = Assembly(packet.parts)
            pending.status = packet.status
        if not pending.assembly.add(packet.part, packet.body):
            return
        if pending.assembly.complete:
            pending.done.set_result(Answer(pending.status, pending.assembly.body()))
        elif packet.part == pending.asked_until - 1:
            self._ask_missing(packet.number, pending)

    def _on_outcome(self, packet: Packet) -> None:
        pending = self._pending.get(packet.number)
        if pending is None or pending.done.done():
            return
        if isinstance(packet, RequestNotRun):
            error = NotRun(
                f"the request did not run ({packet.reason.name.lower()}); "
                "it may be sent again"
            )
            error.retry_after = packet.retry_after_ms / 1000
            error.reason = packet.reason
            pending.done.set_exception(error)
        elif isinstance(packet, RequestUnknown):
            pending.done.set_exception(_unknown("its server lost track of it"))

    def _on_stream(self, packet: StreamItem | StreamState) -> None:
        inbox = self._streams.get(packet.number)
        if inbox is None:
            self._caller.send(Cancel(self._token, packet.number))
            return
        inbox.heard = True
        if isinstance(packet, StreamItem):
            if packet.sequence >= inbox.next_sequence:
                inbox.early[packet.sequence] = packet.body
            inbox.total = max(inbox.total, packet.sequence + 1)
        else:
            inbox.total = max(inbox.total, packet.items)
            inbox.ended = inbox.ended or packet.ended
        self._deliver(packet.number, inbox)

    def _deliver(self, number: int, inbox: _StreamInbox) -> None:
        while inbox.next_sequence in inbox.early:
            inbox.queue.put_nowait(inbox.early.pop(inbox.next_sequence))
            inbox.next_sequence += 1
        if inbox.next_sequence < inbox.total:
            self._ask_items(number, inbox)
        elif inbox.ended:
            inbox.queue.put_nowait(None)

    def _ask_items(self, number: int, inbox: _StreamInbox) -> None:
        if inbox.next_sequence < inbox.total:
            last = min(inbox.total, inbox.next_sequence + WINDOW_PARTS)
            wanted = range(inbox.next_sequence, last)
            missing = [s for s in wanted if s not in inbox.early]
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
        for pending in self._pending.values():
            if not pending.done.done():
                pending.done.set_exception(
                    _unknown(f"its flow ended ({reason.name.lower()})")
                )
        self._end_streams()

    def _end_streams(self) -> None:
        for inbox in self._streams.values():
            inbox.queue.put_nowait(None)

    def _send_bytes(self, data: bytes) -> None:
        if self._awaiting_since is None:
            self._awaiting_since = self._clock.monotonic()
        self._caller.send_bytes(data)

    def _send_ping(self) -> None:
        self._ping_sequence += 1
        low_water = self._low_water(self._number)
        ping = Ping(self._token, low_water, self._ping_sequence)
        self._send_bytes(encode_packet(ping))

    async def _watch(self) -> None:
        pinged_at = self._clock.monotonic()
        while True:
            interval = PING_STREAM_SECONDS if self._streams else PING_IDLE_SECONDS
            if self._awaiting_since is not None:
                interval = PING_RETRY_SECONDS
            await asyncio.sleep(min(interval, self._watch_pause()))
            now = self._clock.monotonic()
            if now - pinged_at >= interval:
                pinged_at = now
                self._send_ping()
            for number, inbox in list(self._streams.items()):
                if not inbox.heard:
                    self._send_bytes(inbox.packet)
                else:
                    self._ask_items(number, inbox)
            self._check_silence()

    def _watch_pause(self) -> float:
        gaps = any(i.next_sequence < i.total for i in self._streams.values())
        return GAP_RETRY_SECONDS if gaps else 2 * PING_STREAM_SECONDS

    def _check_silence(self) -> None:
        if self._awaiting_since is None:
            return
        silent = self._clock.monotonic() - self._awaiting_since
        if silent > LOST_SILENT_SECONDS:
            self._caller.counters["flows_lost"] += 1
            self._end(CloseReason.FLOW_LOST)
        elif silent > REBIND_SILENT_SECONDS:
            self._caller.rebind()


class Session:
    """Keep a flow open, reopen it when it ends, and retry what may be retried.

    Parameters
    ----------
    caller : Caller
        Owner of the socket.
    service : str
        Name of the service.
    budget : RetryBudget or None
        Bound on retries; one of its own when None.
    """

    def __init__(
        self, caller: Caller, service: str, budget: RetryBudget | None = None
    ) -> None:
        self._caller = caller
        self._service = service
        self._flow: CallerFlow | None = None
        self._lock = asyncio.Lock()
        self._budget = budget or RetryBudget()
        self.endings: Counter[CloseReason] = Counter()
        self.retries = 0

    @property
    def flow(self) -> CallerFlow | None:
        """Return the present flow, if one was opened."""
        return self._flow

    async def ensure_flow(self, within: timedelta = DEFAULT_DEADLINE) -> CallerFlow:
        """Return a usable flow, opened anew when the last one has ended."""
        async with self._lock:
            if self._flow is not None and self._flow.usable:
                return self._flow
            if self._flow is not None and self._flow.close_reason is not None:
                self.endings[self._flow.close_reason] += 1
                self._flow = None
            self._flow = await self._caller.open(self._service, within)
            return self._flow

    async def request(
        self,
        body: bytes,
        repeatable: bool = False,
        deadline: timedelta = DEFAULT_DEADLINE,
    ) -> Answer:
        """Send one request, retried as far as that is safe and in the budget.

        Raises
        ------
        NotRun
            The request certainly did not run.
        OutcomeUnknown
            The request may have run.
        """
        clock = self._caller.clock
        end = clock.monotonic() + deadline.total_seconds()
        self._budget.on_first_attempt()
        attempt = 0
        while True:
            attempt += 1
            remaining = timedelta(seconds=max(0.0, end - clock.monotonic()))
            try:
                flow = await self.ensure_flow(remaining)
                remaining = timedelta(seconds=max(0.0, end - clock.monotonic()))
                return await flow.request(body, repeatable, remaining)
            except (FlowRefused, FlowEnded) as error:
                failure = Failure(may_have_run=False)
                last: Exception = NotRun(f"the request was not sent: {error}")
            except NotRun as error:
                failure = Failure(False, error.retry_after)
                last = error
            except OutcomeUnknown as error:
                failure = Failure(may_have_run=True)
                last = error
            left = end - clock.monotonic()
            jitter = random.random()
            delay = decide_retry(
                failure, repeatable, attempt, left, jitter, self._budget
            )
            if delay is None:
                raise last
            self.retries += 1
            await asyncio.sleep(delay)

    async def stream(self, body: bytes) -> AsyncIterator[bytes]:
        """Follow a subscription across flows; data of a new flow starts anew."""
        while True:
            try:
                flow = await self.ensure_flow()
                async for item in flow.stream(body):
                    yield item
                return
            except (FlowEnded, FlowRefused):
                await asyncio.sleep(0.05)

    def close(self) -> None:
        """End the present flow."""
        if self._flow is not None:
            self._flow.close()


def _unknown(reason: str) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"the request may have run, {reason}; check before you send it again"
    )
