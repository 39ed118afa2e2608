"""Tasks that run requests and streams on the backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..connection.admission import AgentRules, split_answer
from ..connection.effects import CancelRequest, StartRequest
from ..domain import RefusalReason
from ..errors import ConnectError, ConnectionBroken, ShedError
from ..request.ledger import DidNotRun, MayHaveRun, Outcome
from .backend import Backend, Call
from .metrics import Metrics
from .tasks import TaskGroup

Key = tuple[bytes, int]

UNREACHABLE_RETRY_MS = 200
SHED_RETRY_MS = 200


class BackendRunner:
    """Run what the rules ask for and tell them how it ended.

    Parameters
    ----------
    backend : Backend
        Adapter of the backend server.
    rules : AgentRules
        Told of outcomes and data.
    tasks : TaskGroup
        Owner of the tasks.
    clock, metrics : Clock, Metrics
        Source of time, and sink of timers and counters.
    apply : callable
        Carries out the effects of the rules.
    note_cold : callable
        Told of each sign of a cold start, with its reason.
    """

    def __init__(
        self,
        backend: Backend,
        rules: AgentRules,
        tasks: TaskGroup,
        clock: Clock,
        metrics: Metrics,
        apply: Callable[[], None],
        note_cold: Callable[[str], None],
    ) -> None:
        self._backend = backend
        self._rules = rules
        self._tasks = tasks
        self._clock = clock
        self._metrics = metrics
        self._apply = apply
        self._note_cold = note_cold
        self._running: dict[Key, asyncio.Task[None]] = {}
        self._withdrawn: set[Key] = set()

    def start(self, request: StartRequest) -> None:
        """Run one request or stream in a task of its own."""
        work = self._run_stream if request.stream else self._run_request
        key = (request.flow_id, request.number)
        self._running[key] = self._tasks.spawn(work(request))

    async def _run_request(self, request: StartRequest) -> None:
        if not await self._connect(request):
            return
        started = self._clock.monotonic()
        outcome: Outcome = MayHaveRun()
        try:
            outcome = await self._ask_backend(request)
        finally:
            seconds = self._clock.monotonic() - started
            self._metrics.time("request", seconds)
            self._finish(request, outcome, seconds)

    async def _connect(self, request: StartRequest) -> bool:
        """Return whether the request may be written; until then it has not run."""
        refusal: DidNotRun | None = DidNotRun(RefusalReason.CANCELLED)
        try:
            await self._backend.prepare(request.flow_id)
            refusal = None
        except ConnectError:
            refusal = self._refuse_unreachable(request)
        finally:
            if refusal is not None:
                self._finish(request, refusal, 0.0)
        return refusal is None and self._confirm(request)

    def _confirm(self, request: StartRequest) -> bool:
        key = (request.flow_id, request.number)
        if self._rules.requests.confirm_start(*key, self._clock.monotonic()):
            return True
        self._metrics.count("requests.postponed")
        self._running.pop(key, None)
        self._apply()
        return False

    def _finish(self, request: StartRequest, outcome: Outcome, seconds: float) -> None:
        key = (request.flow_id, request.number)
        self._running.pop(key, None)
        now = self._clock.monotonic()
        self._rules.requests.on_finished(*key, outcome, seconds, now)
        self._apply()

    async def _ask_backend(self, request: StartRequest) -> Outcome:
        now = self._clock.monotonic()
        call = _call(request, request.deadline - now)
        try:
            reply = await self._backend.run(call)
        except ConnectError:
            return self._refuse_unreachable(request)
        except ShedError:
            self._note_sign(request, "shed")
            return DidNotRun(RefusalReason.SHED, SHED_RETRY_MS)
        except ConnectionBroken as error:
            self._metrics.count("requests.unknown")
            if isinstance(error.__cause__, TimeoutError):
                await self._backend.cancel(request.flow_id, request.number)
            else:
                self._note_break(request)
            return MayHaveRun()
        self._metrics.count("requests.answered")
        return split_answer(reply.status, reply.body)

    def _refuse_unreachable(self, request: StartRequest) -> DidNotRun:
        self._note_sign(request, "unreachable")
        return DidNotRun(RefusalReason.UNREACHABLE, UNREACHABLE_RETRY_MS)

    def _note_break(self, request: StartRequest) -> None:
        if not self._is_left(request):
            self._rules.on_connection_broken(
                self._clock.monotonic(), request.generation
            )
        self._note_sign(request, "reset")

    def _note_sign(self, request: StartRequest, reason: str) -> None:
        """Report a sign of a cold start."""
        if not self._is_left(request):
            self._note_cold(reason)

    def _is_left(self, request: StartRequest) -> bool:
        """Tell whether the caller has left the request or its flow.

        The agent itself closes the connection of a flow that has ended, and a server
        may close that of a request it cancels, so that a failure of either says
        nothing about the server.
        """
        key = (request.flow_id, request.number)
        return key in self._withdrawn or request.flow_id not in self._rules.flows

    async def _run_stream(self, request: StartRequest) -> None:
        key = (request.flow_id, request.number)
        try:
            async for data in self._backend.stream(_call(request, 0.0)):
                self._rules.streams.on_data(*key, data, self._clock.monotonic())
                self._apply()
        finally:
            self._running.pop(key, None)
            self._rules.streams.on_end(*key, self._clock.monotonic())
            self._apply()

    async def cancel(self, effect: CancelRequest) -> None:
        """Withdraw a request at the backend server, then free its slot."""
        task = self._running.get((effect.flow_id, effect.number))
        if task is None:
            return
        key = (effect.flow_id, effect.number)
        self._withdrawn.add(key)
        await self._backend.cancel(*key)
        self._withdrawn.discard(key)
        task.cancel()


def _call(request: StartRequest, seconds: float) -> Call:
    return Call(
        request.flow_id,
        request.number,
        request.service,
        request.body,
        seconds,
        request.resume_at,
    )
