"""Tasks that run requests and streams on the backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..connection.agent_rules import AgentRules, split_answer
from ..connection.effects import CancelRequest, StartRequest
from ..domain import RefusalReason
from ..errors import ConnectError, ConnectionBroken, ShedError
from ..request.ledger import DidNotRun, MayHaveRun, Outcome
from .backend import Backend, Call
from .metrics import Metrics
from .tasks import TaskGroup

RequestKey = tuple[bytes, int]

UNREACHABLE_RETRY_AFTER_MS = 200
SHED_RETRY_AFTER_MS = 200


class BackendRunner:
    """Run the requests that the rules start, and report their outcomes to the rules.

    Parameters
    ----------
    backend : Backend
        Client of the backend server.
    rules : AgentRules
        Admission rules that receive outcomes and data.
    tasks : TaskGroup
        Group in which the requests run.
    clock, metrics : Clock, Metrics
        Source of time; store of timers and counters.
    apply_effects : callable
        Called to execute pending effects of the rules.
    on_cold_start : callable
        Called with a reason when the backend server seems to have started cold.
    """

    def __init__(
        self,
        backend: Backend,
        rules: AgentRules,
        tasks: TaskGroup,
        clock: Clock,
        metrics: Metrics,
        apply_effects: Callable[[], None],
        on_cold_start: Callable[[str], None],
    ) -> None:
        self._backend = backend
        self._rules = rules
        self._tasks = tasks
        self._clock = clock
        self._metrics = metrics
        self._apply_effects = apply_effects
        self._on_cold_start = on_cold_start
        self._running: dict[RequestKey, asyncio.Task[None]] = {}
        self._cancelled: set[RequestKey] = set()

    def start(self, request: StartRequest) -> None:
        """Run one request or stream in its own task."""
        run = self._run_stream if request.stream else self._run_request
        key = (request.flow_id, request.number)
        self._running[key] = self._tasks.spawn(run(request))

    async def _run_request(self, request: StartRequest) -> None:
        if not await self._prepare_connection(request):
            return
        started_at = self._clock.monotonic()
        outcome: Outcome = MayHaveRun()
        try:
            outcome = await self._execute(request)
        finally:
            duration_seconds = self._clock.monotonic() - started_at
            self._metrics.time("request", duration_seconds)
            self._finish(request, outcome, duration_seconds)

    async def _prepare_connection(self, request: StartRequest) -> bool:
        """Tell whether the request may be sent; if not, it has not run."""
        refusal: DidNotRun | None = DidNotRun(RefusalReason.CANCELLED)
        try:
            await self._backend.prepare(request.flow_id)
            refusal = None
        except ConnectError:
            refusal = self._refuse_unreachable(request)
        finally:
            if refusal is not None:
                self._finish(request, refusal, 0.0)
        return refusal is None and self._confirm_start(request)

    def _confirm_start(self, request: StartRequest) -> bool:
        key = (request.flow_id, request.number)
        if self._rules.requests.confirm_start(*key, self._clock.monotonic()):
            return True
        self._metrics.count("requests.postponed")
        self._running.pop(key, None)
        self._apply_effects()
        return False

    def _finish(
        self, request: StartRequest, outcome: Outcome, duration_seconds: float
    ) -> None:
        key = (request.flow_id, request.number)
        self._running.pop(key, None)
        now = self._clock.monotonic()
        self._rules.requests.on_finished(*key, outcome, duration_seconds, now)
        self._apply_effects()

    async def _execute(self, request: StartRequest) -> Outcome:
        now = self._clock.monotonic()
        call = _make_call(request, request.deadline - now)
        try:
            reply = await self._backend.run(call)
        except ConnectError:
            return self._refuse_unreachable(request)
        except ShedError:
            self._report_cold_start(request, "shed")
            return DidNotRun(RefusalReason.SHED, SHED_RETRY_AFTER_MS)
        except ConnectionBroken as error:
            self._metrics.count("requests.unknown")
            if isinstance(error.__cause__, TimeoutError):
                await self._backend.cancel(request.flow_id, request.number)
            else:
                self._record_broken_connection(request)
            return MayHaveRun()
        self._metrics.count("requests.answered")
        return split_answer(reply.status, reply.body)

    def _refuse_unreachable(self, request: StartRequest) -> DidNotRun:
        self._report_cold_start(request, "unreachable")
        return DidNotRun(RefusalReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_MS)

    def _record_broken_connection(self, request: StartRequest) -> None:
        if not self._is_abandoned(request):
            self._rules.on_connection_broken(
                self._clock.monotonic(), request.generation
            )
        self._report_cold_start(request, "reset")

    def _report_cold_start(self, request: StartRequest, reason: str) -> None:
        """Report that the backend server seems to have started cold."""
        if not self._is_abandoned(request):
            self._on_cold_start(reason)

    def _is_abandoned(self, request: StartRequest) -> bool:
        """Tell whether the request was cancelled or its flow has ended.

        The agent closes the connection of a flow that has ended, and a server may
        close the connection of a cancelled request, so that a failure of either does
        not show a fault of the server.
        """
        key = (request.flow_id, request.number)
        return key in self._cancelled or request.flow_id not in self._rules.flows

    async def _run_stream(self, request: StartRequest) -> None:
        key = (request.flow_id, request.number)
        try:
            async for data in self._backend.stream(_make_call(request, 0.0)):
                self._rules.streams.on_data(*key, data, self._clock.monotonic())
                self._apply_effects()
        finally:
            self._running.pop(key, None)
            self._rules.streams.on_end(*key, self._clock.monotonic())
            self._apply_effects()

    async def cancel(self, effect: CancelRequest) -> None:
        """Cancel a request at the backend server, then free its slot."""
        task = self._running.get((effect.flow_id, effect.number))
        if task is None:
            return
        key = (effect.flow_id, effect.number)
        self._cancelled.add(key)
        await self._backend.cancel(*key)
        self._cancelled.discard(key)
        task.cancel()


def _make_call(request: StartRequest, timeout_seconds: float) -> Call:
    return Call(
        request.flow_id,
        request.number,
        request.service,
        request.body,
        timeout_seconds,
        request.resume_at,
    )
