"""Describe the agents that an opening may go to, for operators."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import islice

from ..version.owners import AgentEntry
from .placement.load_board import LoadBoard

# Candidates that are named; the largest services have more.
MAX_DESCRIBED = 32


def describe_candidates(
    ranked: Iterable[AgentEntry],
    board: LoadBoard,
    evacuated: Collection[str],
    now: float,
    only_warm_outside: str | None = None,
) -> list[dict[str, object]]:
    """Return the first agents in a flow's order, with load and what excludes them.

    Parameters
    ----------
    ranked : iterable of AgentEntry
        Agents in the order of the flow.
    board : LoadBoard
        Load reports of the agents.
    evacuated : collection of str
        Evacuated data centres.
    now : float
        Seconds on the monotonic clock.
    only_warm_outside : str or None
        Data centre outside of which cold servers are excluded; None if nowhere.
    """
    return [
        {
            "agent": agent.name,
            "host": agent.host,
            "data_centre": agent.data_centre,
            "excluded": _find_exclusion(
                agent, board, evacuated, now, only_warm_outside
            ),
            "cold": board.is_cold(agent.host, now),
            "pressure": round(board.pressure(agent.host, now), 3),
            "completion_seconds": round(board.completion_seconds(agent.host, now), 4),
            "report_age": board.report_age(agent.host, now),
        }
        for agent in islice(ranked, MAX_DESCRIBED)
    ]


def _find_exclusion(
    agent: AgentEntry,
    board: LoadBoard,
    evacuated: Collection[str],
    now: float,
    only_warm_outside: str | None,
) -> str | None:
    """Return why an agent gets no opening, or None if it may."""
    if agent.data_centre in evacuated:
        return "data_centre_out"
    if board.is_suspect(agent.host, now):
        return "silent"
    if not board.accepts(agent.host, now):
        return "not_accepting"
    is_outside = only_warm_outside not in (None, agent.data_centre)
    if is_outside and board.is_cold(agent.host, now):
        return "cold_elsewhere"
    return None
