"""Review an agent's backend server, and tell its siblings of a changed standing.

Load pattern: some servers of a service fail what they accept (see `outliers`). Those
who place openings have to know within milliseconds, as they send more to such a server.
"""

from __future__ import annotations

from collections.abc import Callable

from ..passthrough_effects import PassthroughEffect, ToPeer
from ..passthrough_state import PassthroughState
from ..peer_frames import Load
from .outliers import Standing

# Maximum number of agents of the service that are told at once.
MAX_TOLD = 256


class ServerReview:
    """Review the backend server of an agent.

    Parameters
    ----------
    state : PassthroughState
        State shared by the rules of the agent.
    pass_on_queued : callable
        Passes the queued openings on to siblings, at a time on the monotonic clock.
    """

    def __init__(
        self,
        state: PassthroughState,
        pass_on_queued: Callable[[float], list[PassthroughEffect]],
    ) -> None:
        self._state = state
        self._pass_on_queued = pass_on_queued

    def judge(self, now: float) -> list[PassthroughEffect]:
        """Judge the server by what it has done with its flows so far."""
        table = self._state.table
        self._state.outliers.find_unanswered(
            lambda key: table.route_of(key).aim_seconds, now
        )
        return self._review(now)

    def on_backend_packet(self, now: float) -> list[PassthroughEffect]:
        """Judge the server after a packet of it, if that may change its standing."""
        return self._review(now) if self._state.outliers.is_due(now) else []

    def on_ejected_sibling(self, now: float) -> list[PassthroughEffect]:
        """Check at once whether too many servers are left out, this one included."""
        if self._state.outliers.standing is not Standing.EJECTED:
            return []
        return self._review(now)

    def _review(self, now: float) -> list[PassthroughEffect]:
        state = self._state
        if not state.outliers.enabled:
            return []
        report = state.gate.report
        service = report.service if report is not None else ""
        agents = [
            agent
            for agent in state.agents.get(service, ())
            if agent.data_centre not in state.evacuated
        ]
        has_changed = state.outliers.review(
            agents, state.gate.refusal(service, now), state.gate.is_cold(now), now
        )
        if not has_changed or not state.outliers.enforced:
            return []
        frame = Load(state.load_report(now))
        others = [agent.host for agent in agents if agent.host != state.host]
        effects: list[PassthroughEffect] = [
            ToPeer(host, frame) for host in others[:MAX_TOLD]
        ]
        if state.outliers.ejected_seconds(now):
            effects += self._pass_on_queued(now)
        return effects
