"""The end of a search without an owner: whether its flow is certainly lost.

Load pattern: all nodes have restarted and all callers send on their old flows. Each is
told at its first packet that its flow is lost, but only when that is certain.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..passthrough_effects import PassthroughEffect, reset_caller
from ..passthrough_state import PassthroughState
from ..peer_frames import Findings
from .flow_inquiry import LOGGED_HOSTS, PendingInquiry, combine_started_together
from .power_loss import AgentStart, AgentStarts


class FlowEnd:
    """Decide whether a flow that nobody holds is reset.

    Parameters
    ----------
    state : PassthroughState
        State shared by the rules of the agent.
    """

    def __init__(self, state: PassthroughState) -> None:
        self._state = state
        self._starts = AgentStarts()

    def record_findings(self, host: str, findings: Findings, now: float) -> None:
        """Record what another agent says about its start and its server."""
        start = AgentStart(
            now - findings.process_seconds,
            findings.started_together,
            findings.has_reported,
            findings.started_later,
            findings.stopping,
            now,
        )
        self._starts.record(host, start)

    def keep_only(self, data_centres: Mapping[str, str]) -> None:
        """Forget agents that are no longer in use."""
        self._starts.keep_only(data_centres)

    def has_lost_power(self, host: str, now: float) -> bool:
        """Tell whether an agent's server, also the own one, certainly lost power.

        Parameters
        ----------
        host : str
            IP address of the agent.
        now : float
            Seconds on the monotonic clock.
        """
        state = self._state
        own = AgentStart(
            state.process.at,
            state.gate.started_together,
            state.signs.has_reported,
            state.signs.started_later,
            state.stopping,
            now,
        )
        self._starts.record(state.host, own)
        return self._starts.lost_power(host, state.data_centres(), now)

    def has_departed(self, host: str, now: float) -> bool:
        """Tell whether another agent was stopped beside a server that lost power.

        Parameters
        ----------
        host : str
            IP address of the agent.
        now : float
            Seconds on the monotonic clock.
        """
        if not self._starts.was_stopped(host):
            return False
        return self._starts.lost_power(host, self._state.data_centres(), now)

    def end_not_found(
        self, inquiry: PendingInquiry, own_missing: bool, now: float
    ) -> list[PassthroughEffect]:
        """Reset a flow that no backend server holds, if its caller expects an answer.

        A caller that only closes the flow repeats that for seconds, and each time all
        agents would be asked anew.

        Every agent in the directory has answered that its server does not hold the
        flow: while one answer is missing, the search does not complete. An agent that
        has just started, or that may have missed a change of the directory, cannot be
        certain and resets nothing. A server that nobody hears must have lost power.

        Parameters
        ----------
        inquiry : PendingInquiry
            The search, which all agents have answered.
        own_missing : bool
            Whether no server answers beside this agent.
        now : float
            Seconds on the monotonic clock.
        """
        state = self._state
        segment = inquiry.segment
        own_restarted = state.gate.started_together
        all_restarted = (
            combine_started_together(inquiry.all_restarted, own_restarted) is True
        )
        missing = sorted(inquiry.missing)
        if own_missing:
            missing.append(state.host)
        unproven = [host for host in missing if not self.has_lost_power(host, now)]
        is_complete = state.directory_trust(now).is_complete(all_restarted)
        certain = is_complete and not unproven
        expects_answer = (segment.size > 0 or segment.closing) and not segment.reset
        resets = certain and expects_answer
        state.log_decision(
            "flow_not_found",
            segment.flow,
            hops=sum(map(len, state.agents.values())),
            ended=resets,
            size=segment.size,
            closing=segment.closing,
            certain=certain,
            all_restarted=all_restarted,
            missing=missing[:LOGGED_HOSTS],
            unproven=unproven[:LOGGED_HOSTS],
        )
        if not resets:
            return []
        return [reset_caller(state.codec, segment.flow, segment.acknowledged)]
