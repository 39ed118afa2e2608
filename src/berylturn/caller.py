"""Library for callers: opens flows, sends requests and receives streams.

Stable interface: `Caller`, `CallerFlow`, `Session`, `Answer` and the errors that
they raise. docs/CALLERS.md describes the wire format.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable
from datetime import timedelta

from .clock import Clock, SystemClock
from .connection.caller_flow import (
    DEFAULT_DEADLINE,
    LOST_SILENT_SECONDS,
    REBIND_SILENT_SECONDS,
    Answer,
    CallerFlow,
)
from .connection.packets import (
    FLOW_ID_BYTES,
    Accepted,
    Open,
    Packet,
    Refused,
    decode_to_caller,
    encode_packet,
)
from .domain import CloseReason, RefusalReason
from .errors import FlowEnded, FlowRefused, NotRun, OutcomeUnknown, PacketError
from .process.sockets import open_udp
from .request.retry import FailedAttempt, RetryBudget, decide_retry

__all__ = ["Answer", "Caller", "CallerFlow", "Session"]

Address = tuple[str, int]

# The first retry is early, in case the first backend server chosen is dead. Later
# retries back off, since all callers on an overloaded host retry at the same time.
FIRST_OPEN_RETRY_SECONDS = 0.15
MAX_OPEN_RETRY_SECONDS = 1.0
# Answers to the previous port are accepted for as long as a flow waits for an answer.
PREVIOUS_SOCKET_SECONDS = LOST_SILENT_SECONDS
OPEN_TIMEOUT_SECONDS = 5.0
MAX_REFUSAL_DELAY_SECONDS = 1.0


class Caller:
    """Send and receive packets of flows through one UDP socket.

    Parameters
    ----------
    entry : tuple of str and int
        Address of the service.
    clock : Clock
        Source of time.
    draw_bytes : callable
        Takes a number and returns that many random bytes, for flow identifiers.
        They must be unpredictable in production; a seeded source makes measurements
        repeatable.

    Examples
    --------
    >>> async def order(line: bytes) -> bytes:
    ...     async with Caller(("127.0.0.1", 9000)) as caller:
    ...         session = Session(caller, "orders")
    ...         answer = await session.request(line, repeatable=False)
    ...         return answer.body
    """

    def __init__(
        self,
        entry: Address,
        clock: Clock | None = None,
        draw_bytes: Callable[[int], bytes] = secrets.token_bytes,
    ) -> None:
        self._entry = entry
        self._draw_bytes = draw_bytes
        self._clock = clock or SystemClock()
        self._flows: dict[bytes, CallerFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._previous_transports: deque[asyncio.DatagramTransport] = deque()
        self._last_rebind_at = 0.0
        self._rebind_task: asyncio.Task[None] | None = None
        self.counters: Counter[str] = Counter()

    async def __aenter__(self) -> Caller:
        """Open the socket."""
        await self._open_socket()
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close all flows and the socket."""
        for flow in list(self._flows.values()):
            flow.close()
        if self._rebind_task is not None:
            await asyncio.wait([self._rebind_task])
        while self._previous_transports:
            self._close_previous_transport()
        self._transport.close()

    @property
    def clock(self) -> Clock:
        """Return the source of time."""
        return self._clock

    async def open(
        self, service: str, within: timedelta = timedelta(seconds=OPEN_TIMEOUT_SECONDS)
    ) -> CallerFlow:
        """Open a flow, and try other backend servers until `within` has passed.

        Raises
        ------
        FlowRefused
            No backend server admitted the flow in time.
        """
        flow = CallerFlow(self, service)
        self._flows[flow.flow_id] = flow
        deadline = self._clock.monotonic() + within.total_seconds()
        attempt = 0
        retry_seconds = FIRST_OPEN_RETRY_SECONDS
        refusal = RefusalReason.NO_SERVER
        while (remaining_seconds := deadline - self._clock.monotonic()) > 0:
            self.send(Open(flow.flow_id, service, attempt))
            answer = await flow.wait_opened(min(retry_seconds, remaining_seconds))
            if isinstance(answer, Accepted):
                flow.start()
                return flow
            if isinstance(answer, Refused):
                refusal = answer.reason
                refusal_delay = answer.retry_after_ms / 1000
                await asyncio.sleep(
                    min(refusal_delay, MAX_REFUSAL_DELAY_SECONDS)
                    * (0.5 + random.random())
                )
            else:
                retry_seconds = min(2 * retry_seconds, MAX_OPEN_RETRY_SECONDS)
            attempt += 1
        self._flows.pop(flow.flow_id, None)
        raise FlowRefused(
            f"no backend server of {service} admitted a flow "
            f"({refusal.name.lower()}); try again later"
        )

    def new_flow_id(self) -> bytes:
        """Return the identifier of a new flow, 128 bits."""
        return self._draw_bytes(FLOW_ID_BYTES)

    def send(self, packet: Packet) -> None:
        """Send one packet to the entry address."""
        self.send_bytes(encode_packet(packet))

    def send_bytes(self, data: bytes) -> None:
        """Send one encoded packet to the entry address."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, self._entry)

    def forget(self, flow_id: bytes) -> None:
        """Stop delivering packets to a flow that has ended."""
        self._flows.pop(flow_id, None)

    def rebind(self) -> None:
        """Switch to a new source port, unless the last switch was a short time ago."""
        now = self._clock.monotonic()
        if now - self._last_rebind_at < REBIND_SILENT_SECONDS:
            return
        self._last_rebind_at = now
        self.counters["rebinds"] += 1
        self._rebind_task = asyncio.create_task(self._open_socket())

    async def _open_socket(self) -> None:
        previous = self._transport
        host = "127.0.0.1" if self._entry[0].startswith("127.") else "0.0.0.0"
        self._transport = await open_udp((host, 0), self._on_datagram)
        if previous is not None:
            self._previous_transports.append(previous)
            loop = asyncio.get_running_loop()
            loop.call_later(PREVIOUS_SOCKET_SECONDS, self._close_previous_transport)

    def _close_previous_transport(self) -> None:
        if self._previous_transports:
            self._previous_transports.popleft().close()

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


class Session:
    """Keep a flow open, reopen it when it ends, and retry requests where safe.

    Parameters
    ----------
    caller : Caller
        Caller that opens the flows.
    service : str
        Name of the service.
    budget : RetryBudget or None
        Limit on retries; by default, the session has its own.
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
        """Return the current flow, or None if none was opened."""
        return self._flow

    async def ensure_flow(self, within: timedelta = DEFAULT_DEADLINE) -> CallerFlow:
        """Return the current flow, or a new one if it has ended."""
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
        """Send one request, and retry it if that is safe and within the budget.

        Raises
        ------
        NotRun
            The request certainly did not run.
        OutcomeUnknown
            The request may have run.
        """
        clock = self._caller.clock
        deadline_at = clock.monotonic() + deadline.total_seconds()
        self._budget.record_first_attempt()
        attempt = 0
        may_have_run = False
        while True:
            attempt += 1
            try:
                return await self._attempt_request(body, repeatable, deadline_at)
            except (NotRun, OutcomeUnknown) as error:
                last_error = error
            failure = _to_failure(last_error)
            may_have_run = may_have_run or failure.may_have_run
            remaining_seconds = deadline_at - clock.monotonic()
            delay = decide_retry(
                failure,
                repeatable,
                attempt,
                remaining_seconds,
                random.random(),
                self._budget,
            )
            if delay is None:
                raise _choose_error(last_error, may_have_run)
            self.retries += 1
            await asyncio.sleep(delay)

    async def _attempt_request(
        self, body: bytes, repeatable: bool, deadline_at: float
    ) -> Answer:
        clock = self._caller.clock
        try:
            flow = await self.ensure_flow(_time_until(deadline_at, clock))
            return await flow.request(body, repeatable, _time_until(deadline_at, clock))
        except (FlowRefused, FlowEnded) as error:
            raise NotRun(f"the request was not sent: {error}") from error

    async def stream(self, body: bytes) -> AsyncIterator[bytes]:
        """Yield the data of a stream, which starts anew on each new flow."""
        while True:
            try:
                flow = await self.ensure_flow()
                async for data_item in flow.stream(body):
                    yield data_item
                return
            except (FlowEnded, FlowRefused):
                await asyncio.sleep(0.05)

    def close(self) -> None:
        """Close the current flow."""
        if self._flow is not None:
            self._flow.close()


def _time_until(deadline_at: float, clock: Clock) -> timedelta:
    return timedelta(seconds=max(0.0, deadline_at - clock.monotonic()))


def _to_failure(error: NotRun | OutcomeUnknown) -> FailedAttempt:
    if isinstance(error, OutcomeUnknown):
        return FailedAttempt(may_have_run=True)
    return FailedAttempt(may_have_run=False, retry_after=error.retry_after)


def _choose_error(
    last_error: NotRun | OutcomeUnknown, may_have_run: bool
) -> NotRun | OutcomeUnknown:
    """Return the error to raise: unknown if any attempt may have run."""
    if may_have_run and isinstance(last_error, NotRun):
        return OutcomeUnknown(
            "an earlier attempt may have run; check its effect before you send it again"
        )
    return last_error
